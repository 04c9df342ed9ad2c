//! Second answers of a server to earlier requests, at any moment, with and without an id.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use bytes::Bytes;
use eelgrasspier_backend::{ConnectionPool, DispatchFlag, ExchangeRequest};
use http::{HeaderName, Request};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ID: HeaderName = HeaderName::from_static("id");
const SEND: HeaderName = HeaderName::from_static("send");
const REQUESTS: u8 = 3;
/// Time for trying steps, in milliseconds.
const BUDGET_MS: u64 = 2_000;

/// What a server does with one request, as bits.
#[derive(Debug, Clone, Copy)]
struct Step(u8);

impl Step {
    /// Sends a second answer to an earlier request first.
    fn is_late(self) -> bool {
        self.0 & 0b01 != 0
    }

    /// Sends a second answer to this request directly after the first one.
    fn is_doubled(self) -> bool {
        self.0 & 0b10 != 0
    }

    /// Leaves the id out of its answers; rarer, since that ends the use of the connection.
    fn is_anonymous(self) -> bool {
        self.0 & 0b1100 == 0b1100
    }

    /// Sends a part of an answer, and the rest later.
    fn is_split(self) -> bool {
        self.0 & 0b1_0000 != 0
    }
}

fn answer(id: &str, body: &str, step: Step) -> Vec<u8> {
    let id = if step.is_anonymous() { String::new() } else { format!("id: {id}\r\n") };
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\n\r\n{body}").into_bytes()
}

async fn start_server(steps: Vec<Step>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let steps = Rc::new(RefCell::new(steps));
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, Rc::clone(&steps)));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, steps: Rc<RefCell<Vec<Step>>>) -> Option<()> {
    let mut earlier: Vec<(String, String)> = Vec::new();
    loop {
        let (id, send) = read_request(&mut stream).await?;
        let step = steps.borrow_mut().pop().unwrap_or(Step(0));
        let mut bytes = Vec::new();
        if let Some((id, send)) = earlier.pop().filter(|_| step.is_late()) {
            bytes.extend(answer(&id, &format!("second answer to {send}"), step));
        }
        bytes.extend(answer(&id, &send, step));
        if step.is_doubled() {
            bytes.extend(answer(&id, &format!("second answer to {send}"), step));
        }
        earlier.push((id, send));
        let rest = bytes.split_off(if step.is_split() { bytes.len() / 2 } else { bytes.len() });
        stream.write_all(&bytes).await.ok()?;
        actix_rt::task::yield_now().await;
        stream.write_all(&rest).await.ok()?;
    }
}

/// Reads a request; returns its id and the number of the send.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        received.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(received).unwrap();
    let value = |name: &HeaderName| {
        let prefix = format!("{name}: ");
        head.lines().find_map(|l| l.strip_prefix(&prefix)).unwrap().to_owned()
    };
    Some((value(&ID), value(&SEND)))
}

fn exchange_request(addr: SocketAddr, id: u16, send: usize) -> ExchangeRequest {
    let request = Request::builder().uri("/x").header(ID, id).header(SEND, send.to_string());
    ExchangeRequest {
        server: "i-1".into(),
        addr,
        request: request.body(Full::new(Bytes::new())).unwrap(),
        max_connections: 2,
        is_repeatable: true,
        time_left: Duration::from_secs(5),
        max_bytes: 1 << 16,
        tag: Some(id.into()),
        answer_id: Some((ID, id.into())),
        needs_new_connection: false,
        keep_alive: true,
        dispatched: DispatchFlag::default(),
    }
}

/// Sends requests again and again; each answer must be that to the send.
async fn check_answers(steps: Vec<Step>, ids: Vec<u8>) {
    let addr = start_server(steps).await;
    let pool = ConnectionPool::default();
    for (send, id) in ids.into_iter().enumerate() {
        let answer = pool.exchange(exchange_request(addr, (id % REQUESTS).into(), send)).await;
        if let Ok(answer) = answer {
            assert_eq!(answer.body, send.to_string(), "request {}", id % REQUESTS);
        }
        // The connection returns to the pool at different moments.
        for _ in 0..id / REQUESTS {
            actix_rt::task::yield_now().await;
        }
    }
}

/// Guards against a wrong answer given as right: a second answer is taken for that to another send.
#[test]
fn no_second_answer_is_taken_for_that_to_another_send() {
    let property = |u: &mut Unstructured<'_>| {
        let steps: Vec<u8> = u.arbitrary()?;
        let ids: Vec<u8> = u.arbitrary()?;
        let steps = steps.into_iter().map(Step).collect();
        actix_rt::System::new().block_on(check_answers(steps, ids));
        Ok(())
    };
    // Accepted second answers with the right id, and without one.
    for seed in [0x35de_cde0_0001_0000, 0xca95_bde7_0001_0000] {
        arbtest::arbtest(property).seed(seed);
    }
    arbtest::arbtest(property).budget_ms(BUDGET_MS);
}
