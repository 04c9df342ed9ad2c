//! Tests of HTTP client behaviour that could break delivery guarantees.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_backend::{
    BackendClient, HttpBackendClient, PartFailure, PartRequest, RequestKind,
};
use eelgrasspier_decide::verdict::Verdict;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nindex-version: 1\r\ncontent-length: 2\r\n\r\nok";

fn request(addr: SocketAddr, kind: RequestKind, time_left: Duration) -> PartRequest {
    PartRequest {
        addr,
        kind,
        service: Rc::from("search"),
        shard: 0,
        version: None,
        time_left,
        id: "id".to_owned(),
        body: "body".into(),
        max_bytes: 100,
    }
}

/// Reads one request to its end, which is the four bytes of its body.
async fn read_request(stream: &mut TcpStream) -> usize {
    let mut read = Vec::new();
    let mut chunk = [0; 1024];
    while !read.ends_with(b"body") {
        match stream.read(&mut chunk).await {
            Ok(count) if count > 0 => read.extend_from_slice(&chunk[..count]),
            _ => break,
        }
    }
    read.len()
}

/// A request that was read but not answered must not be reported as "not run".
///
/// The server answers once, reads the next request on the same connection and closes it without an
/// answer. The client reports this as a connect error, as if nothing had been sent.
#[actix_rt::test]
async fn a_request_that_was_read_but_not_answered_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(ANSWER).await.unwrap();
        let second = read_request(&mut stream).await;
        drop(stream);
        // The client must not have retried the request itself.
        let retry = tokio::time::timeout(Duration::from_millis(300), listener.accept()).await;
        (second, retry.is_err())
    });
    let client = HttpBackendClient::new(Duration::from_secs(1));
    let timeout = Duration::from_secs(5);
    client.exchange(request(addr, RequestKind::Query, timeout)).await.unwrap();
    let failure = client.exchange(request(addr, RequestKind::Query, timeout)).await.unwrap_err();
    assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{failure:?}");
    let (second_bytes, is_not_retried) = server.await.unwrap();
    assert!(second_bytes > 0 && is_not_retried);
}

/// A refused connection can't have carried any byte of the request.
#[actix_rt::test]
async fn a_refused_connection_means_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpBackendClient::new(Duration::from_secs(1));
    let kind = RequestKind::Run { key: "key".to_owned() };
    let sent = client.exchange(request(addr, kind, Duration::from_secs(5))).await;
    let failure = sent.unwrap_err();
    assert!(matches!(failure, PartFailure::NotReached(_)), "{failure:?}");
    assert_eq!(failure.verdict(), Verdict::NotRun);
}

/// Requests waiting for an unresponsive server must not block requests to another one. The client's
/// own connection limit counts over all hosts.
#[actix_rt::test]
async fn an_unresponsive_server_does_not_block_another() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unresponsive_addr = unresponsive.local_addr().unwrap();
    let healthy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let healthy_addr = healthy.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = healthy.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(ANSWER).await.unwrap();
    });
    let client = HttpBackendClient::new(Duration::from_secs(1));
    let timeout = Duration::from_mins(1);
    let waiting: Vec<_> = (0..200)
        .map(|_| {
            actix_rt::spawn(client.exchange(request(
                unresponsive_addr,
                RequestKind::Query,
                timeout,
            )))
        })
        .collect();
    tokio::task::yield_now().await;
    let answer = client.exchange(request(healthy_addr, RequestKind::Query, timeout)).await;
    assert_eq!(answer.unwrap().body, "ok");
    assert!(waiting.iter().all(|task| !task.is_finished()));
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
}

/// A run must not reuse a connection, since the server may be closing it at that moment.
#[actix_rt::test]
async fn each_run_opens_a_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = actix_rt::spawn(async move {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            stream.write_all(ANSWER).await.unwrap();
            // The server keeps the connection open; the client must not reuse it.
            actix_rt::spawn(async move {
                let mut rest = Vec::new();
                let _closed = stream.read_to_end(&mut rest).await;
                assert_eq!(rest, b"");
            });
        }
    });
    let client = HttpBackendClient::new(Duration::from_secs(1));
    for _ in 0..2 {
        let kind = RequestKind::Run { key: "key".to_owned() };
        client.exchange(request(addr, kind, Duration::from_secs(5))).await.unwrap();
    }
    server.await.unwrap();
}

/// Guards against a wrong answer given as right: a server's second answer to a query, taken for that
/// to the next one.
#[actix_rt::test]
async fn a_second_answer_is_not_taken_for_that_to_the_next_query() {
    let answer = |id: &str, body: &str| {
        format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 5\r\n\r\n{body}")
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        // The first connection is one answer behind; the second one is not.
        for answers in [["q1", "q1", "q2"], ["q3", "q3", "q3"]] {
            let (mut stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(async move {
                for id in answers {
                    read_request(&mut stream).await;
                    stream.write_all(answer(id, "right").as_bytes()).await.unwrap();
                }
            });
        }
    });
    let client = HttpBackendClient::new(Duration::from_secs(1));
    let query = async |id: &str| {
        let query = request(addr, RequestKind::Query, Duration::from_secs(5));
        client.exchange(PartRequest { id: id.to_owned(), ..query }).await
    };
    query("q1").await.unwrap();
    let failure = query("q2").await.unwrap_err();
    assert!(matches!(failure, PartFailure::Unusable(_)), "{failure:?}");
    query("q3").await.unwrap();
}
