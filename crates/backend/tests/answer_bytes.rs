//! Answers that never end, and answers that are cut, byte by byte.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::{
    AnswerBudget, ConnectionPool, DispatchFlag, ExchangeRequest, PartFailure, RawAnswer,
};
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MAX_ANSWER_BYTES: usize = 4 << 20;
const BUDGET_BYTES: usize = 1 << 20;
const BODY_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED_BODY: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server that writes `start` to each connection and then `repeated` without end.
async fn endless_server(start: &'static str, repeated: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let repeated = repeated.clone();
            actix_rt::spawn(async move {
                read_head(&mut stream).await;
                let mut written = stream.write_all(start.as_bytes()).await;
                while written.is_ok() {
                    written = stream.write_all(repeated.as_bytes()).await;
                }
            });
        }
    });
    addr
}

/// Starts a server that answers each request with the given bytes and then closes or resets.
async fn answering_server(answer: Vec<u8>, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_head(&mut stream).await;
            stream.write_all(&answer).await.unwrap();
            if is_reset {
                stream.set_zero_linger().unwrap();
            }
        }
    });
    addr
}

async fn read_head(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") && stream.read_buf(&mut received).await.unwrap() > 0 {}
}

async fn get(pool: &ConnectionPool, addr: SocketAddr) -> Result<RawAnswer, PartFailure> {
    let body = Full::new(Bytes::new());
    let exchange = pool.exchange(ExchangeRequest {
        server: addr.to_string().into(),
        addr,
        request: Request::builder().uri("/x").header("host", "h").body(body).unwrap(),
        max_connections: 100,
        is_repeatable: true,
        keep_alive: true,
        time_left: Duration::from_secs(20),
        max_bytes: MAX_ANSWER_BYTES,
        tag: None,
        answer_id: None,
        needs_new_connection: false,
        dispatched: DispatchFlag::default(),
    });
    exchange.await
}

/// Reads several endless answers at once; returns their outcomes and the most memory used.
async fn read_endless(addr: SocketAddr, budget: &AnswerBudget) -> (Vec<PartFailure>, usize) {
    const ANSWERS: usize = 8;
    let pool = ConnectionPool::new(budget.clone());
    let most_bytes = std::cell::Cell::new(0);
    let watching = async {
        loop {
            most_bytes.set(budget.used_bytes().max(most_bytes.get()));
            tokio::task::yield_now().await;
        }
    };
    let reading = futures_util::future::join_all((0..ANSWERS).map(|_| get(&pool, addr)));
    let answers = tokio::select! {
        answers = reading => answers,
        () = watching => unreachable!("it never ends"),
    };
    let failures = answers.into_iter().map(|answer| answer.expect_err("it never ends"));
    (failures.collect(), most_bytes.get())
}

/// Guards against an instance that exceeds its memory by answers that never end: each alone stays
/// below the maximum of an answer.
#[actix_rt::test]
async fn endless_bodies_stay_within_the_budget() {
    let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
    for (start, repeated) in [(BODY_WITHOUT_LENGTH, "x".repeat(1 << 10)), (CHUNKED_BODY, chunk)] {
        let addr = endless_server(start, repeated).await;
        let budget = AnswerBudget::new(BUDGET_BYTES);
        let (failures, most_bytes) = read_endless(addr, &budget).await;
        assert!(failures.iter().all(|f| *f == PartFailure::NoMemory(BUDGET_BYTES)), "{failures:?}");
        assert!(most_bytes > BUDGET_BYTES / 4 && most_bytes <= BUDGET_BYTES, "{most_bytes} bytes");
        assert_eq!(budget.used_bytes(), 0);
    }
}

/// Guards against a head that is read into memory for as long as its bytes arrive.
#[actix_rt::test]
async fn endless_heads_are_refused() {
    let addr = endless_server("HTTP/1.1 200 OK\r\nx: ", "x".repeat(1 << 10)).await;
    let pool = ConnectionPool::default();
    assert!(matches!(get(&pool, addr).await, Err(PartFailure::Lost(_))));
}

/// Guards against usual answers that are lost while others have spent the budget.
#[actix_rt::test]
async fn usual_answers_are_read_while_the_budget_is_spent() {
    let body = "x".repeat(10_000);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n{body}");
    let addr = answering_server(text.into_bytes(), false).await;
    let pool = ConnectionPool::new(AnswerBudget::new(0));
    assert_eq!(get(&pool, addr).await.unwrap().body, body);
}

/// Guards against answers that wait for a merge and are no longer counted.
#[actix_rt::test]
async fn memory_is_reserved_until_the_body_is_dropped() {
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 50000\r\n\r\n{}", "x".repeat(50_000));
    let addr = answering_server(text.into_bytes(), false).await;
    let budget = AnswerBudget::new(BUDGET_BYTES);
    let answer = get(&ConnectionPool::new(budget.clone()), addr).await.unwrap();
    let part = answer.body.slice(..10);
    drop(answer);
    assert!(budget.used_bytes() >= 50_000 - (16 << 10), "{} bytes", budget.used_bytes());
    drop(part);
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a cut answer that is taken for a whole one with an empty or shorter body.
#[actix_rt::test]
async fn no_cut_answer_is_taken_for_a_whole_one() {
    const ANSWERS: [&str; 4] = [
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 12\r\nx-last: 2\r\n\r\nabcdefghijkl",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nx-last: 2\r\n\r\nc\r\nabcdefghijkl\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n0c\r\nabcdefghijkl\r\n0\r\nx-sum: 34\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nx-last: 2\r\n\r\nabcdefghijkl",
    ];
    for answer in ANSWERS {
        for is_reset in [false, true] {
            for length in 0..answer.len() {
                let cut = &answer.as_bytes()[..length];
                let addr = answering_server(cut.to_vec(), is_reset).await;
                let result = get(&ConnectionPool::default(), addr).await;
                assert!(
                    matches!(result, Err(PartFailure::Lost(_))),
                    "{result:?} of {:?}, reset: {is_reset}",
                    &answer[..length]
                );
            }
        }
        let addr = answering_server(answer.as_bytes().to_vec(), false).await;
        assert_eq!(get(&ConnectionPool::default(), addr).await.unwrap().body, "abcdefghijkl");
    }
}

/// Guards against a cut head that is taken for a whole one where the connection's end is the
/// answer's.
#[actix_rt::test]
async fn no_cut_head_is_taken_for_an_answer_without_a_length() {
    for length in 0..BODY_WITHOUT_LENGTH.len() {
        for is_reset in [false, true] {
            let cut = BODY_WITHOUT_LENGTH.as_bytes()[..length].to_vec();
            let addr = answering_server(cut, is_reset).await;
            let result = get(&ConnectionPool::default(), addr).await;
            assert!(matches!(result, Err(PartFailure::Lost(_))), "{result:?} after {length} bytes");
        }
    }
}
