//! Requests to an instance whose process is paused.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use eelgrasspier_peer::wire::{Body, Empty, GatherRequest};
use eelgrasspier_peer::{AnswerFuture, PeerConnections, PeerService, serve};
use tokio::net::TcpListener;

const PAUSE: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(30);
const TIME_LEFT_MS: u64 = 20_000;
/// Time by which replicas may be handed more than is left, in milliseconds.
const TOLERANCE_MS: u64 = 500;
/// Send time on the sender's clock, in milliseconds.
const SENT_MS: u64 = 5_000;

/// Reports the remaining time of each request, and when it was passed on.
struct Recorder {
    requests: mpsc::Sender<(u64, Instant)>,
    has_paused: Arc<AtomicBool>,
}

impl PeerService for Recorder {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            if let Body::Gather(gather) = request {
                self.requests.send((gather.time_left_ms, Instant::now())).unwrap();
            } else {
                self.has_paused.store(true, Ordering::Relaxed);
                // Blocks all tasks, like a paused process.
                thread::sleep(PAUSE);
            }
            Body::MembersAsk(Empty {})
        })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _: u64) {}
}

/// Starts an instance on a thread of its own.
fn start_instance(has_paused: Arc<AtomicBool>) -> (SocketAddr, mpsc::Receiver<(u64, Instant)>) {
    let (requests, received) = mpsc::channel();
    let (started, addr) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            started.send(listener.local_addr().unwrap()).unwrap();
            serve(listener, Rc::new(Recorder { requests, has_paused })).await;
        });
    });
    (addr.recv().unwrap(), received)
}

fn gather() -> Body {
    Body::Gather(GatherRequest {
        time_left_ms: TIME_LEFT_MS,
        answer_within_ms: TIME_LEFT_MS,
        sent_ms: SENT_MS,
        ..GatherRequest::default()
    })
}

/// Guards against requests passed on with time that they spent unread in a paused process, on a
/// connection that was opened during the pause.
#[test]
fn requests_on_a_connection_opened_during_a_pause_lose_the_time_of_the_pause() {
    let has_paused = Arc::new(AtomicBool::new(false));
    let (addr, requests) = start_instance(Arc::clone(&has_paused));
    actix_rt::System::new().block_on(async {
        let earlier = PeerConnections::new(Rc::new(|| 0));
        let pause = earlier.request(addr, Body::MembersAsk(Empty {}), TIMEOUT);
        let queued = async {
            while !has_paused.load(Ordering::Relaxed) {
                tokio::time::sleep(PAUSE / 20).await;
            }
            let sent = Instant::now();
            let connections = PeerConnections::new(Rc::new(|| 0));
            connections.request(addr, gather(), TIMEOUT).await.unwrap();
            sent
        };
        let (_, sent) = tokio::join!(pause, queued);
        let (time_left_ms, passed_on) = requests.recv().unwrap();
        let waited_ms = u64::try_from((passed_on - sent).as_millis()).unwrap();
        let total_ms = time_left_ms + waited_ms;
        assert!(total_ms <= TIME_LEFT_MS + TOLERANCE_MS, "{time_left_ms} after {waited_ms} ms");
    });
}
