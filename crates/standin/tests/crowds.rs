//! Crowds of callers that never finish their requests, against a daemon with little memory and few
//! descriptors.

mod common;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::rt::System;
use eelgrasspier_standin::cluster::{ClusterSpec, TestCluster, wait_until};
use eelgrasspier_standin::crowd::{Crowd, Shape, Usage};

/// Memory of the instance in units of a million bytes.
const MEMORY_MB: usize = 64;
/// Usual descriptors of an instance.
const MAX_DESCRIPTORS: usize = 4100;
/// Descriptors of an instance with few.
const FEW_DESCRIPTORS: usize = 300;
const MAX_BODY_BYTES: usize = 256 << 10;
/// Body in chunks of one byte, which is many bytes on the wire.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Longer than a test waits, so that a held stop is seen.
const STOP_LIMIT_MS: u64 = 600_000;
/// Requests that an ordinary caller sends before it gives up.
const ATTEMPTS: usize = 3;
/// Time that an ordinary caller waits for each answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Lines of a request with a body, without its framing.
const POST: &str = "POST /v1/services/search/query HTTP/1.1\r\nhost: {n}\r\ndeadline-ms: 60000\r\n";

/// Lets only one of these tests run at a time.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One instance with low limits.
struct Scene {
    cluster: TestCluster,
    max_descriptors: usize,
}

impl Scene {
    async fn start(max_descriptors: usize) -> Self {
        let mut spec: ClusterSpec = common::cluster_spec(1, 2);
        write!(
            spec.settings,
            "\nmemory_mb = {MEMORY_MB}\nmax_descriptors = {max_descriptors}\n\
             stop_limit_ms = {STOP_LIMIT_MS}"
        )
        .unwrap();
        for service in &mut spec.services {
            let text = format!("max_request_bytes = {MAX_BODY_BYTES}\nmax_deadline_ms = 60000\n");
            service.text.push_str(&text);
        }
        Self { cluster: TestCluster::start(spec).await.unwrap(), max_descriptors }
    }

    fn addr(&self) -> SocketAddr {
        self.cluster.instances[0].process.startup_field("http").parse().unwrap()
    }

    async fn open(&self, count: usize, shape: Shape) -> Crowd {
        Crowd::open(self.addr(), count, shape, POST).await
    }

    /// Checks that an ordinary request is answered.
    async fn assert_answers(&self) {
        let url = format!("{}/v1/services/{}/query", self.cluster.urls()[0], common::SERVICE);
        let mut outcomes = Vec::new();
        for _ in 0..ATTEMPTS {
            let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
            let request = client.post(&url).insert_header(("deadline-ms", "20000"));
            match request.send_body("query").await {
                Ok(answer) if answer.status() == 200 => return,
                outcome => outcomes.push(outcome.map(|answer| answer.status())),
            }
        }
        panic!("an ordinary request is not answered: {outcomes:?}");
    }

    /// Waits until the daemon has read what the crowds have sent, and checks what it has used.
    async fn assert_within_limits(&self) {
        let process = self.cluster.instances[0].process.id();
        let usage = Usage::of_settled(process).await.expect("the daemon has ended");
        println!("{usage:?}");
        let Usage { memory_bytes, sockets, .. } = usage;
        assert!(memory_bytes <= MEMORY_MB * 1_000_000, "{memory_bytes} bytes of memory");
        assert!(sockets <= self.max_descriptors, "{sockets} sockets and pipes");
    }
}

fn assert_bears_crowd(max_descriptors: usize, count: usize, shape: Shape) {
    let _guard = one_at_a_time();
    System::new().block_on(async {
        let scene = Scene::start(max_descriptors).await;
        let crowd = scene.open(count, shape).await;
        scene.assert_within_limits().await;
        scene.assert_answers().await;
        drop(crowd);
        scene.assert_answers().await;
        scene.assert_within_limits().await;
    });
}

/// Whole bodies of many callers must not exhaust the memory.
#[test]
fn own_memory_is_bounded_with_many_whole_bodies() {
    assert_bears_crowd(MAX_DESCRIPTORS, 400, Shape::Whole(MAX_BODY_BYTES));
}

/// Bodies that never end must not exhaust the memory.
#[test]
fn own_memory_is_bounded_with_bodies_one_byte_short() {
    assert_bears_crowd(MAX_DESCRIPTORS, 400, Shape::Short(MAX_BODY_BYTES));
}

/// The same for bodies that come in pieces.
#[test]
fn own_memory_is_bounded_with_bodies_in_pieces() {
    assert_bears_crowd(MAX_DESCRIPTORS, 400, Shape::ShortInPieces(MAX_BODY_BYTES));
}

/// The same for bodies in large chunks.
#[test]
fn own_memory_is_bounded_with_large_chunks() {
    let shape = Shape::Chunked { body_bytes: MAX_BODY_BYTES, chunk_bytes: MAX_BODY_BYTES / 4 };
    assert_bears_crowd(MAX_DESCRIPTORS, 400, shape);
}

/// Chunks of one byte must not take many times the memory of their body.
#[test]
fn own_memory_is_bounded_with_chunks_of_one_byte() {
    let shape = Shape::Chunked { body_bytes: SMALL_BODY_BYTES, chunk_bytes: 1 };
    assert_bears_crowd(MAX_DESCRIPTORS, 200, shape);
}

/// Heads that never end must not exhaust the memory.
#[test]
fn own_memory_is_bounded_with_unfinished_heads() {
    assert_bears_crowd(MAX_DESCRIPTORS, 1500, Shape::Head(60 << 10));
}

/// Idle connections must not exhaust the memory.
#[test]
fn own_memory_is_bounded_with_idle_connections() {
    assert_bears_crowd(MAX_DESCRIPTORS, 3500, Shape::Idle);
}

/// Idle connections must not take all descriptors.
#[test]
fn own_descriptors_are_bounded_with_idle_connections() {
    assert_bears_crowd(FEW_DESCRIPTORS, 500, Shape::Idle);
}

/// The same for bodies that never end.
#[test]
fn own_descriptors_are_bounded_with_bodies_one_byte_short() {
    assert_bears_crowd(FEW_DESCRIPTORS, 500, Shape::Short(1024));
}

/// Requests that never end must not hold a process that stops.
#[test]
fn own_planned_stop_is_not_held_by_unfinished_requests() {
    let _guard = one_at_a_time();
    System::new().block_on(async {
        let mut scene = Scene::start(MAX_DESCRIPTORS).await;
        let mut crowds = Vec::new();
        for shape in [Shape::Short(MAX_BODY_BYTES), Shape::Head(1024), Shape::Idle] {
            crowds.push(scene.open(40, shape).await);
        }
        scene.assert_within_limits().await;
        scene.cluster.instances[0].process.signal("TERM");
        scene.assert_answers().await;
        let process = std::cell::RefCell::new(&mut scene.cluster.instances[0].process);
        let has_exited = async || process.borrow_mut().has_exited();
        wait_until("the process has exited", has_exited).await.unwrap();
        drop(crowds);
    });
}
