//! Server for framed requests of other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use eelgrasspier_decide::excess_delay::DelayEstimator;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

use crate::wire::{self, Body, Frame};

/// Maximum number of answers per connection that wait to be written.
const MAX_QUEUED: usize = 256;

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

/// Accepts connections indefinitely.
pub async fn serve(listener: TcpListener, service: Rc<dyn PeerService>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(stream, Rc::clone(&service)));
            }
            // Probably out of file descriptors: wait for some connections to end.
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, service: Rc<dyn PeerService>) {
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
    let opened_at = Instant::now();
    let mut estimator = DelayEstimator::default();
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(frame) = Frame::decode(bytes) else { break };
        service.observe_stamp(frame.stamp);
        match frame.body {
            Some(Body::Cancel(id)) => in_progress.cancel(id),
            Some(mut request) => {
                let now_ms = u64::try_from(opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                subtract_transit_delay(&mut request, &mut estimator, now_ms);
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
fn subtract_transit_delay(request: &mut Body, estimator: &mut DelayEstimator, now_ms: u64) {
    let Body::Gather(gather) = request else { return };
    if gather.sent_ms > 0 {
        let late_ms = estimator.excess_delay_ms(gather.sent_ms, now_ms);
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
