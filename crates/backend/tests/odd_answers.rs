//! Answers that are none in the protocol: odd statuses, heads and framing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::{
    BackendClient, ConnectionPool, DispatchFlag, ExchangeRequest, HttpBackendClient, PartFailure,
    PartRequest, RequestKind,
};
use eelgrasspier_decide::verdict::Verdict;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SOUND: &str = "HTTP/1.1 200 OK\r\nindex-version: 1\r\ncontent-length: 5\r\n\r\nright";
/// Timeout of a request whose answer may be waited for without end.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What a server does with a connection after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    Keeps,
    Closes,
    Resets,
}

/// Starts a server that answers the first request on each connection.
async fn start_server(answer: String, then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            actix_rt::spawn(async move {
                let mut buffer = [0; 4096];
                let _bytes = stream.read(&mut buffer).await.unwrap();
                stream.write_all(answer.as_bytes()).await.unwrap();
                match then {
                    Then::Keeps => {
                        while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
                    }
                    Then::Closes => {}
                    Then::Resets => stream.set_zero_linger().unwrap(),
                }
            });
        }
    });
    addr
}

/// Sends a request to a backend server of the router.
async fn send_by_pool(pool: &ConnectionPool, addr: SocketAddr) -> Result<Bytes, PartFailure> {
    let exchange = pool.exchange(ExchangeRequest {
        server: addr.to_string().into(),
        addr,
        request: Request::builder().uri("/x").body(Full::new(Bytes::new())).unwrap(),
        max_connections: 100,
        is_repeatable: true,
        keep_alive: true,
        time_left: TIMEOUT,
        max_bytes: 1 << 20,
        tag: None,
        answer_id: None,
        needs_new_connection: false,
        dispatched: DispatchFlag::default(),
    });
    exchange.await.map(|answer| answer.body)
}

/// Sends a request to a backend server of the own daemon.
async fn send_by_client(
    client: &HttpBackendClient,
    addr: SocketAddr,
) -> Result<Bytes, PartFailure> {
    let exchange = client.exchange(PartRequest {
        addr,
        kind: RequestKind::Query,
        service: Rc::from("search"),
        shard: 0,
        version: None,
        time_left: TIMEOUT,
        id: "id".to_owned(),
        body: "body".into(),
        max_bytes: 1 << 20,
    });
    exchange.await.map(|answer| answer.body)
}

/// Checks that no client takes any of the answers for one, nor uses their connections again.
async fn assert_refused(answers: &[String]) {
    for answer in answers {
        for then in [Then::Keeps, Then::Closes] {
            let addr = start_server(answer.clone(), then).await;
            let pool = ConnectionPool::default();
            let by_pool = send_by_pool(&pool, addr).await;
            assert_eq!(pool.open_connections(&addr.to_string()), 0, "{answer:?}");
            let by_client = send_by_client(&HttpBackendClient::new(TIMEOUT), addr).await;
            for result in [by_pool, by_client] {
                let failure = result.expect_err(answer);
                assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{failure:?} of {answer:?}");
            }
        }
    }
}

/// Guards against an answer with a status that HTTP doesn't have, given to a caller as it is.
#[actix_rt::test]
async fn answers_with_odd_statuses_are_refused() {
    let statuses =
        ["000", "001", "099", "20", "0200", "2000", "", "OK", "-200", "2 0", "101", "600", "999"];
    assert_refused(&statuses.map(|status| SOUND.replace("200", status))).await;
}

/// Guards against an answer whose head can't be read, given to a caller in part.
#[actix_rt::test]
async fn answers_with_odd_heads_are_refused() {
    let lines = [
        "x y: z",
        " x: z",
        "\tx: z",
        "x\ty: z",
        "x\u{1}: z",
        "\u{1}x: z",
        "x\0: z",
        "x\ry: z",
        "x\u{7f}: z",
        "x(: z",
        ": z",
        "x",
        "x: a\r\n b",
        "x: a\0b",
        "x: a\rb",
        "index version: 9",
        "content length: 3",
        "content-length : 3",
    ];
    let with_line = |line| SOUND.replacen("\r\n", &format!("\r\n{line}\r\n"), 1);
    assert_refused(&lines.map(with_line)).await;
    let starts = [
        "HTTP/2.0 200 OK",
        "HTTP/1.9 200 OK",
        "http/1.1 200 OK",
        "HTTP/1.1200 OK",
        "ICY 200 OK",
        "200 OK",
        "",
    ];
    assert_refused(&starts.map(|start| SOUND.replace("HTTP/1.1 200 OK", start))).await;
}

/// Guards against a body of another length than the replica's.
#[actix_rt::test]
async fn answers_with_odd_lengths_are_refused() {
    let lengths = [
        "5\r\ncontent-length: 3",
        "5, 3",
        "+5",
        "-5",
        "0x5",
        "5 5",
        "",
        "5;",
        "five",
        "99999999999999999999999",
    ];
    let with_length = |length| SOUND.replace(": 5", &format!(": {length}"));
    assert_refused(&lengths.map(with_length)).await;
}

/// Returns [`SOUND`] with another transfer coding and body.
fn encoded(coding: &str, body: &str) -> String {
    let answer = SOUND.replace("content-length: 5", &format!("transfer-encoding: {coding}"));
    answer.replace("right", body)
}

/// Guards against a body that is not the replica's, since its chunks are odd.
#[actix_rt::test]
async fn answers_with_odd_chunks_are_refused() {
    let bodies = [
        "g\r\nright\r\n0\r\n\r\n",
        "+5\r\nright\r\n0\r\n\r\n",
        "-5\r\nright\r\n0\r\n\r\n",
        "\r\nright\r\n0\r\n\r\n",
        "5\r\nright0\r\n\r\n",
        "5\r\nrightright\r\n0\r\n\r\n",
        "0x5\r\nright\r\n0\r\n\r\n",
        "10000000000000005\r\nright\r\n0\r\n\r\n",
    ];
    assert_refused(&bodies.map(|body| encoded("chunked", body))).await;
}

/// Guards against a body that is given to a caller still encoded, or as empty.
#[actix_rt::test]
async fn answers_with_other_transfer_codings_are_refused() {
    let codings = [
        "gzip",
        "identity",
        "xchunked",
        "",
        "chunked, identity",
        "gzip, chunked",
        "chunked, chunked",
        "chunked\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding: gzip",
    ];
    assert_refused(&codings.map(|coding| encoded(coding, "5\r\nright\r\n0\r\n\r\n"))).await;
    let sound = encoded("Chunked", "5\r\nright\r\n0\r\n\r\n");
    let addr = start_server(sound, Then::Keeps).await;
    assert_eq!(send_by_pool(&ConnectionPool::default(), addr).await.unwrap(), "right");
    let client = HttpBackendClient::new(TIMEOUT);
    assert_eq!(send_by_client(&client, addr).await.unwrap(), "right");
}

/// Guards against a cut answer that the own daemon takes for a whole one.
#[actix_rt::test]
async fn cut_answers_are_refused() {
    const ANSWERS: [&str; 4] = [
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nx-last: 2\r\n\r\nabcdefghijkl",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nabcdefghijkl\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nghijkl\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nx-last: 2\r\n\r\nabcdefghijkl",
    ];
    let client = HttpBackendClient::new(TIMEOUT);
    for answer in ANSWERS {
        for then in [Then::Closes, Then::Resets] {
            for length in 0..answer.len() {
                let cut = &answer[..length];
                let addr = start_server(cut.to_owned(), then).await;
                let failure = send_by_client(&client, addr).await.expect_err(cut);
                assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{failure:?} of {cut:?}");
            }
        }
        let addr = start_server(answer.to_owned(), Then::Closes).await;
        assert_eq!(send_by_client(&client, addr).await.unwrap(), "abcdefghijkl");
    }
}

/// Guards against refusing, or cutting, answers of HTTP/1.0, whose end is that of their connection.
#[actix_rt::test]
async fn answers_may_end_with_their_connection() {
    let client = HttpBackendClient::new(TIMEOUT);
    for body in ["", "abcdefghijkl"] {
        let answer = format!("HTTP/1.0 200 OK\r\nx-last: 2\r\n\r\n{body}");
        let addr = start_server(answer.clone(), Then::Closes).await;
        assert_eq!(send_by_client(&client, addr).await.unwrap(), body);
        let addr = start_server(answer, Then::Resets).await;
        send_by_client(&client, addr).await.expect_err("it may be cut");
    }
}

/// Guards against an empty body in place of one whose end the own daemon's client doesn't see.
#[actix_rt::test]
async fn answers_without_an_end_are_not_taken_for_empty_ones() {
    let client = HttpBackendClient::new(TIMEOUT);
    for then in [Then::Keeps, Then::Closes, Then::Resets] {
        for line in ["x-last: 2", "connection: close"] {
            let answer = format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\nabcdefghijkl");
            let addr = start_server(answer, then).await;
            send_by_client(&client, addr).await.expect_err("its body is not empty");
        }
    }
}
