//! Connections held by hand: whole answers, lost answers, and what never went out.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::{Lanes, Offered, PartFailure, Send, WireAnswer};
use eelgrasspier_decide::verdict::Verdict;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A server that reads a request and writes the next of the given bytes.
///
/// After an empty text it closes the connection without an answer; a text that ends with
/// `!` is written without that and the connection closed.
async fn server(answers: &'static [&'static str]) -> (SocketAddr, Rc<RefCell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Rc::new(RefCell::new(0));
    let count = Rc::clone(&connections);
    actix_rt::spawn(async move {
        let mut answers = answers.iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            *count.borrow_mut() += 1;
            while read_request(&mut stream).await {
                let Some(answer) = answers.next() else { return };
                let bytes = answer.strip_suffix('!').unwrap_or(answer);
                stream.write_all(bytes.as_bytes()).await.unwrap();
                if bytes.is_empty() || bytes.len() < answer.len() {
                    break;
                }
            }
        }
    });
    (addr, connections)
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).await.is_err() {
            return false;
        }
        seen.push(byte[0]);
    }
    true
}

async fn get(lanes: &Lanes, addr: SocketAddr) -> Result<WireAnswer, PartFailure> {
    exchange(lanes, send(addr)).await
}

fn send(addr: SocketAddr) -> Send {
    Send {
        server: "i-1".into(),
        addr,
        request: Request::builder()
            .uri("/x")
            .header("host", "h")
            .body(Full::new(Bytes::new()))
            .unwrap(),
        most_connections: 2,
        is_repeatable: true,
        time_left: Duration::from_secs(5),
        max_bytes: 1 << 16,
        is_kept: true,
        offered: Offered::default(),
    }
}

async fn exchange(lanes: &Lanes, send: Send) -> Result<WireAnswer, PartFailure> {
    let result = lanes.exchange(send).await;
    // The connection goes back once its driver has seen the end of the answer.
    tokio::time::sleep(Duration::from_millis(20)).await;
    result
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

#[actix_rt::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let (addr, connections) = server(&[WHOLE, WHOLE, WHOLE]).await;
    let lanes = Lanes::default();
    for _ in 0..3 {
        assert_eq!(&get(&lanes, addr).await.unwrap().body[..], b"whole");
    }
    assert_eq!((*connections.borrow(), lanes.open("i-1")), (1, 1));
}

/// Symptom: after a loss of power a service of two replicas reset a thousand connections.
/// Sequence: each of 195 instances asked it now and then and kept its connection; a replica
/// accepts 120 of all together.
/// Cause: each instance may hold one whatever the others do, and an idle one counts as well.
#[actix_rt::test]
async fn a_connection_that_is_not_kept_is_closed_after_the_answer() {
    let (addr, connections) = server(&[WHOLE, WHOLE, WHOLE]).await;
    let lanes = Lanes::default();
    for _ in 0..3 {
        let once = Send { is_kept: false, ..send(addr) };
        assert_eq!(&exchange(&lanes, once).await.unwrap().body[..], b"whole");
        assert_eq!(lanes.open("i-1"), 0);
    }
    assert_eq!(*connections.borrow(), 3);
}

/// Symptom: a caller got half of an answer as a whole one.
/// Sequence: a replica broke off in the middle of a chunked body; the connection ended.
/// Cause it guards against: a client that takes the end of the connection for the end of
/// the body, as the pooled client does where neither a chunk nor a length is missing it.
#[actix_rt::test]
async fn an_answer_that_ends_early_is_lost() {
    let answers: &[&str] = &[
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n!",
        "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf!",
        "",
    ];
    let (addr, _) = server(answers).await;
    let lanes = Lanes::default();
    for _ in answers {
        let failure = get(&lanes, addr).await.unwrap_err();
        assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{failure}");
    }
    assert_eq!(lanes.open("i-1"), 0);
}

/// Symptom: an answer went to the next request on the connection.
/// Sequence: a replica sent a second answer after a complete one.
/// Cause it guards against: going on with a connection that has bytes nobody asked for.
#[actix_rt::test]
async fn a_connection_with_bytes_after_the_answer_is_never_used_again() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
    let (addr, connections) = server(Box::leak(Box::new([twice, WHOLE]))).await;
    let lanes = Lanes::default();
    assert_eq!(&get(&lanes, addr).await.unwrap().body[..], b"whole");
    assert_eq!(&get(&lanes, addr).await.unwrap().body[..], b"whole");
    assert_eq!(*connections.borrow(), 2);
}

#[actix_rt::test]
async fn an_answer_without_a_length_is_whole_when_the_connection_ends_in_good_order() {
    let (addr, _) = server(&["HTTP/1.1 200 OK\r\n\r\nuntil the end!"]).await;
    assert_eq!(&get(&Lanes::default(), addr).await.unwrap().body[..], b"until the end");
}

#[actix_rt::test]
async fn what_never_went_out_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let failure = get(&Lanes::default(), addr).await.unwrap_err();
    assert_eq!(failure.verdict(), Verdict::NotRun, "{failure}");
}

/// Symptom: callers were told "may have run" of requests that had reached no server, and could
/// not try them again.
/// Sequence: a server was cut off; the request's time was over while a connection to it was
/// still being set up.
/// Cause: the end of the time was taken for the silence of a server.
#[actix_rt::test]
async fn a_request_whose_connection_is_not_set_up_in_time_has_not_run() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    // Nobody accepts, and once the queue is full the opening packet is dropped.
    let mut queued = Vec::new();
    let once = Duration::from_millis(50);
    while let Ok(Ok(stream)) = tokio::time::timeout(once, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    let lanes = Lanes::default();
    let offered = Offered::default();
    let send = Send {
        server: "i-1".into(),
        addr,
        request: Request::builder().uri("/x").body(Full::default()).unwrap(),
        most_connections: 2,
        is_repeatable: true,
        time_left: once,
        max_bytes: 1 << 16,
        is_kept: true,
        offered: offered.clone(),
    };
    let failure = lanes.exchange(send).await.unwrap_err();
    assert_eq!(failure.verdict(), Verdict::NotRun, "{failure}");
    assert!(!offered.is_marked());
}
