//! Tests of the connection pool: complete answers, lost answers and requests that were never sent.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::{
    ConnectionPool, DispatchFlag, ExchangeRequest, PartFailure, RawAnswer, refuses_connections,
};
use eelgrasspier_decide::verdict::Verdict;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Starts a server that answers each request with the next of the given texts.
///
/// After an empty text it closes the connection without an answer. A text that ends with `!` is
/// written without the `!`, and the connection is closed.
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
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).await.is_err() {
            return false;
        }
        received.push(byte[0]);
    }
    true
}

async fn get(pool: &ConnectionPool, addr: SocketAddr) -> Result<RawAnswer, PartFailure> {
    exchange(pool, exchange_request(addr)).await
}

fn exchange_request(addr: SocketAddr) -> ExchangeRequest {
    ExchangeRequest {
        server: "i-1".into(),
        addr,
        request: Request::builder()
            .uri("/x")
            .header("host", "h")
            .body(Full::new(Bytes::new()))
            .unwrap(),
        max_connections: 2,
        is_repeatable: true,
        time_left: Duration::from_secs(5),
        max_bytes: 1 << 16,
        tag: None,
        answer_id: None,
        needs_new_connection: false,
        keep_alive: true,
        dispatched: DispatchFlag::default(),
    }
}

async fn exchange(
    pool: &ConnectionPool,
    request: ExchangeRequest,
) -> Result<RawAnswer, PartFailure> {
    let result = pool.exchange(request).await;
    // The connection returns to the pool once its driver has seen the end of the answer.
    tokio::time::sleep(Duration::from_millis(20)).await;
    result
}

const COMPLETE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

#[actix_rt::test]
async fn a_connection_is_reused_after_a_complete_answer() {
    let (addr, connections) = server(&[COMPLETE_ANSWER, COMPLETE_ANSWER, COMPLETE_ANSWER]).await;
    let pool = ConnectionPool::default();
    for _ in 0..3 {
        assert_eq!(&get(&pool, addr).await.unwrap().body[..], b"whole");
    }
    assert_eq!((*connections.borrow(), pool.open_connections("i-1")), (1, 1));
}

/// Idle connections must not exhaust the connections that a replica accepts.
///
/// A replica accepts 120 connections from all instances together. 195 instances occasionally asked
/// a service with two replicas and kept their connections open; after a power loss the service
/// reset a thousand connections. Each instance may hold one connection whatever the others do, and
/// idle connections count too.
#[actix_rt::test]
async fn a_connection_without_keep_alive_is_closed_after_the_answer() {
    let (addr, connections) = server(&[COMPLETE_ANSWER, COMPLETE_ANSWER, COMPLETE_ANSWER]).await;
    let pool = ConnectionPool::default();
    for _ in 0..3 {
        let once = ExchangeRequest { keep_alive: false, ..exchange_request(addr) };
        assert_eq!(&exchange(&pool, once).await.unwrap().body[..], b"whole");
        assert_eq!(pool.open_connections("i-1"), 0);
    }
    assert_eq!(*connections.borrow(), 3);
}

/// An answer that breaks off in the middle of its body must not reach a caller as complete.
///
/// The pooled client takes the end of the connection for the end of the body if neither an
/// unfinished chunk nor a stated length shows that bytes are missing.
#[actix_rt::test]
async fn a_truncated_answer_is_lost() {
    let answers: &[&str] = &[
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n!",
        "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf!",
        "",
    ];
    let (addr, _) = server(answers).await;
    let pool = ConnectionPool::default();
    for _ in answers {
        let failure = get(&pool, addr).await.unwrap_err();
        assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{failure}");
    }
    assert_eq!(pool.open_connections("i-1"), 0);
}

/// Bytes after a complete answer must not be read as the answer to the next request. A replica may
/// send a second answer to the same request.
#[actix_rt::test]
async fn a_connection_with_bytes_after_the_answer_is_not_reused() {
    let two_answers = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
    let (addr, connections) = server(Box::leak(Box::new([two_answers, COMPLETE_ANSWER]))).await;
    let pool = ConnectionPool::default();
    assert_eq!(&get(&pool, addr).await.unwrap().body[..], b"whole");
    assert_eq!(&get(&pool, addr).await.unwrap().body[..], b"whole");
    assert_eq!(*connections.borrow(), 2);
}

#[actix_rt::test]
async fn an_answer_without_a_length_ends_with_an_orderly_close() {
    let (addr, _) = server(&["HTTP/1.1 200 OK\r\n\r\nuntil the end!"]).await;
    assert_eq!(&get(&ConnectionPool::default(), addr).await.unwrap().body[..], b"until the end");
}

#[actix_rt::test]
async fn a_request_that_was_never_sent_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let failure = get(&ConnectionPool::default(), addr).await.unwrap_err();
    assert_eq!(failure.verdict(), Verdict::NotRun, "{failure}");
}

/// A timeout while the connection is still being opened must be reported as "not run".
///
/// When a server was cut off from the network, such timeouts were treated like a server that does
/// not answer. Callers were told "may have run" and could not retry requests that had reached no
/// server.
#[actix_rt::test]
async fn a_connect_timeout_means_the_request_did_not_run() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    // Nothing accepts connections, and once the queue is full SYN packets are dropped.
    let mut queued = Vec::new();
    let once = Duration::from_millis(50);
    while let Ok(Ok(stream)) = tokio::time::timeout(once, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    let pool = ConnectionPool::default();
    let dispatched = DispatchFlag::default();
    let request = ExchangeRequest {
        server: "i-1".into(),
        addr,
        request: Request::builder().uri("/x").body(Full::default()).unwrap(),
        max_connections: 2,
        is_repeatable: true,
        time_left: once,
        max_bytes: 1 << 16,
        tag: None,
        answer_id: None,
        needs_new_connection: false,
        keep_alive: true,
        dispatched: dispatched.clone(),
    };
    let failure = pool.exchange(request).await.unwrap_err();
    assert_eq!(failure.verdict(), Verdict::NotRun, "{failure}");
    assert!(!dispatched.is_set());
}

/// Guards against an answer with the wrong body: a replica that rejects a request and answers it a
/// second time later, while the request is sent to it again on the same connection.
#[actix_rt::test]
async fn a_second_send_of_a_request_uses_another_connection() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                while read_request(&mut stream).await {
                    stream.write_all(OK).await.unwrap();
                }
            });
        }
    });
    let pool = ConnectionPool::default();
    // The second answer may also come after that to another request.
    for (tag, expected) in [(1, 1), (2, 1), (1, 2), (2, 2), (3, 2)] {
        let request = ExchangeRequest { tag: Some(tag), ..exchange_request(addr) };
        exchange(&pool, request).await.unwrap();
        assert_eq!(pool.open_connections("i-1"), expected, "request {tag}");
    }
}

/// Starts a server that closes each connection at once, and its listener a little after the first.
async fn ending_server(is_ending: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        loop {
            drop(listener.accept().await.unwrap());
            if is_ending {
                tokio::time::sleep(Duration::from_millis(5)).await;
                return;
            }
        }
    });
    addr
}

/// Guards against a crash being taken for a reset connection because the listener of the process
/// was closed after its connections.
#[actix_rt::test]
async fn a_server_whose_listener_closes_last_has_ended() {
    assert!(refuses_connections(ending_server(true).await).await);
    let pool = ConnectionPool::default();
    let addr = ending_server(true).await;
    let checked = pool.check_listening(&"i-1".into(), addr, 2).await;
    assert_eq!(checked, Err(PartFailure::NotListening));
}

/// Guards against a reset connection being taken for a crash.
#[actix_rt::test]
async fn a_server_that_closes_new_connections_is_running() {
    assert!(!refuses_connections(ending_server(false).await).await);
    let pool = ConnectionPool::default();
    let addr = ending_server(false).await;
    assert_eq!(pool.check_listening(&"i-1".into(), addr, 2).await, Ok(()));
}

/// Guards against a wrong answer: the answer to an earlier request comes first, and that to the
/// present one is taken for the answer to the next.
#[actix_rt::test]
async fn a_connection_with_the_answer_to_another_request_is_not_reused() {
    let answers: &[&str] = &[
        "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nid: 3\r\ncontent-length: 5\r\n\r\nthird",
    ];
    let (addr, connections) = server(answers).await;
    let pool = ConnectionPool::default();
    for (id, is_own, expected) in [("1", true, 1), ("2", false, 1), ("3", true, 2)] {
        let answer_id = Some(("id".parse().unwrap(), id.parse().unwrap()));
        let request = ExchangeRequest { answer_id, ..exchange_request(addr) };
        let answer = exchange(&pool, request).await;
        assert_eq!(answer.is_ok(), is_own, "request {id}");
        assert_eq!(*connections.borrow(), expected, "request {id}");
    }
}

/// Guards against an answer without a length being taken for complete although its connection was
/// reset in the middle of the body.
#[actix_rt::test]
async fn an_answer_without_a_length_that_is_reset_is_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
            stream.set_zero_linger().unwrap();
        }
    });
    let failure = get(&ConnectionPool::default(), addr).await.unwrap_err();
    assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{failure}");
}

/// Guards against a wrong answer given as right: a replica's late second answer to a request, taken
/// for that to another send of the same request, by which an instance took over a lost one's work.
#[actix_rt::test]
async fn a_late_second_answer_is_not_taken_for_that_to_another_send_of_the_request() {
    let answer = |id: u32, body: &str| {
        format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 5\r\n\r\n{body}").into_bytes()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                read_request(&mut stream).await;
                stream.write_all(&answer(1, "right")).await.unwrap();
                // The second answer comes where the next one is expected.
                while read_request(&mut stream).await {
                    stream.write_all(&answer(1, "wrong")).await.unwrap();
                }
            });
        }
    });
    let pool = ConnectionPool::default();
    for _ in 0..3 {
        let answer_id = Some(("id".parse().unwrap(), "1".parse().unwrap()));
        let request = ExchangeRequest { answer_id, tag: Some(1), ..exchange_request(addr) };
        assert_eq!(&exchange(&pool, request).await.unwrap().body[..], b"right");
    }
}

/// Starts a server that answers each request with the number of its connection.
async fn counting_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        for number in 100_u16.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(async move {
                while read_request(&mut stream).await {
                    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{number}");
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    addr
}

/// Sends a request; returns the number of its connection once that is idle again.
async fn send_tagged(
    pool: &ConnectionPool,
    addr: SocketAddr,
    tag: u64,
    time_left: Duration,
) -> Bytes {
    let request = ExchangeRequest { tag: Some(tag), time_left, ..exchange_request(addr) };
    let answer = pool.exchange(request).await.unwrap();
    while !pool.has_capacity("i-1", 1) {
        tokio::task::yield_now().await;
    }
    answer.body
}

/// Guards against a second send of a request on the connection of the first, after many others.
#[actix_rt::test]
async fn a_request_is_not_sent_on_its_connection_again_after_many_others() {
    let addr = counting_server().await;
    for others in [1, 63, 64, 600] {
        let (pool, time_left) = (ConnectionPool::default(), Duration::from_mins(1));
        let first = send_tagged(&pool, addr, 0, time_left).await;
        for tag in 1..=others {
            send_tagged(&pool, addr, tag, time_left).await;
        }
        assert_ne!(send_tagged(&pool, addr, 0, time_left).await, first, "after {others}");
    }
}

/// Guards against connections being closed because of requests whose deadline has passed.
#[actix_rt::test]
async fn a_connection_is_kept_after_many_expired_requests() {
    let addr = counting_server().await;
    let (pool, time_left) = (ConnectionPool::default(), Duration::from_secs(2));
    let mut connections = HashSet::new();
    for tag in 0..1_200 {
        if tag > 0 && tag % 400 == 0 {
            tokio::time::sleep(time_left).await;
        }
        connections.insert(send_tagged(&pool, addr, tag, time_left).await);
    }
    assert_eq!(connections.len(), 1);
}
