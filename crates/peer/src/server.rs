//! Server for framed requests of other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrasspier_decide::excess_delay::DelayEstimator;
use eelgrasspier_decide::pauses::PauseDetector;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

use crate::wire::{self, Body, Frame, GatherRequest};

/// Maximum number of answers per connection that wait to be written.
const MAX_QUEUED: usize = 256;

/// Interval of the observations by which pauses of the process are detected.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// Future of an answer.
pub type AnswerFuture<'a> = Pin<Box<dyn Future<Output = Body> + 'a>>;

/// Handler of requests from other instances.
pub trait PeerService {
    /// Answers one request.
    fn answer(&self, request: Body) -> AnswerFuture<'_>;

    /// Returns the clock stamp for an answer that is about to be sent.
    fn stamp(&self) -> u64;

    /// Updates the local clock from the stamp of a request.
    fn observe_stamp(&self, stamp: u64);
}

/// Requests of one connection that are being answered; dropping cancels them.
#[derive(Debug, Default)]
struct InProgress(RefCell<HashMap<u64, JoinHandle<()>>>);

impl InProgress {
    fn cancel(&self, id: u64) {
        if let Some(task) = self.0.borrow_mut().remove(&id) {
            task.abort();
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        for (_, task) in self.0.borrow_mut().drain() {
            task.abort();
        }
    }
}

/// Pauses of the process, on the clock of the server.
#[derive(Debug)]
struct Pauses {
    started: Instant,
    detector: RefCell<PauseDetector>,
}

impl Pauses {
    fn new() -> Self {
        Self { started: Instant::now(), detector: RefCell::default() }
    }

    /// Returns the time since the server started, and how long data read now may have waited.
    fn observe(&self) -> (u64, Option<u64>) {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut detector = self.detector.borrow_mut();
        detector.observe(now_ms);
        (now_ms, detector.max_wait_ms(now_ms))
    }

    async fn observe_regularly(&self) {
        loop {
            self.observe();
            tokio::time::sleep(OBSERVATION_INTERVAL).await;
        }
    }
}

/// Accepts connections indefinitely.
pub async fn serve(listener: TcpListener, service: Rc<dyn PeerService>) {
    let pauses = Rc::new(Pauses::new());
    tokio::select! {
        () = accept_all(listener, service, &pauses) => {}
        () = pauses.observe_regularly() => {}
    }
}

async fn accept_all(listener: TcpListener, service: Rc<dyn PeerService>, pauses: &Rc<Pauses>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (service, pauses) = (Rc::clone(&service), Rc::clone(pauses));
                actix_rt::spawn(serve_connection(stream, service, pauses));
            }
            // Probably out of file descriptors: wait for some connections to end.
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, service: Rc<dyn PeerService>, pauses: Rc<Pauses>) {
    drop(stream.set_nodelay(true));
    let (mut sink, mut frames) = Framed::new(stream, wire::codec()).split::<Bytes>();
    let (answers, mut queued) = mpsc::channel::<Frame>(MAX_QUEUED);
    let writer = actix_rt::spawn(async move {
        while let Some(frame) = queued.recv().await {
            if sink.send(frame.encode_to_vec().into()).await.is_err() {
                break;
            }
        }
    });
    let in_progress = Rc::new(InProgress::default());
    let mut estimator = DelayEstimator::default();
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(frame) = Frame::decode(bytes) else { break };
        service.observe_stamp(frame.stamp);
        let (now_ms, max_wait_ms) = pauses.observe();
        match frame.body {
            Some(Body::Cancel(id)) => in_progress.cancel(id),
            Some(mut request) => {
                if let Body::Gather(gather) = &mut request {
                    subtract_transit_delay(gather, &mut estimator, now_ms, max_wait_ms);
                }
                spawn_answer(frame.id, request, &service, &in_progress, answers.clone());
            }
            None => {}
        }
    }
    drop(in_progress);
    drop(answers);
    writer.abort();
}

/// Subtracts the delay of a request in transit from its remaining time.
fn subtract_transit_delay(
    gather: &mut GatherRequest,
    estimator: &mut DelayEstimator,
    now_ms: u64,
    max_wait_ms: Option<u64>,
) {
    if gather.sent_ms > 0 {
        let late_ms = estimator.excess_delay_ms(gather.sent_ms, now_ms, max_wait_ms);
        if late_ms > 0 && !estimator.has_baseline() {
            let id = gather.request_id.escape_ascii();
            log::info!("event=delay_assumed id={id} after_pause_ms={late_ms}");
        }
        gather.time_left_ms = gather.time_left_ms.saturating_sub(late_ms);
        gather.answer_within_ms = gather.answer_within_ms.saturating_sub(late_ms);
    }
}

fn spawn_answer(
    id: u64,
    request: Body,
    service: &Rc<dyn PeerService>,
    in_progress: &Rc<InProgress>,
    answers: mpsc::Sender<Frame>,
) {
    let service = Rc::clone(service);
    let weak_in_progress = Rc::downgrade(in_progress);
    let task = actix_rt::spawn(async move {
        let body = service.answer(request).await;
        let frame = Frame { id, stamp: service.stamp(), body: Some(body) };
        drop(answers.send(frame).await);
        if let Some(in_progress) = weak_in_progress.upgrade() {
            in_progress.0.borrow_mut().remove(&id);
        }
    });
    in_progress.0.borrow_mut().insert(id, task);
}
