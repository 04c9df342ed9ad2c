//! Answers the framed questions of other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use eelgrasspier_decide::transit::Transit;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

use crate::wire::{self, Body, Frame};

/// Answers of one connection that wait to be written.
const MAX_QUEUED: usize = 256;

/// An answer on its way.
pub type AnswerFuture<'a> = Pin<Box<dyn Future<Output = Body> + 'a>>;

/// What answers the questions of other instances.
pub trait PeerService {
    /// Answers one question.
    fn answer(&self, question: Body) -> AnswerFuture<'_>;

    /// The clock stamp of an answer that is about to be sent.
    fn stamp(&self) -> u64;

    /// Takes in the clock stamp of a question.
    fn observe(&self, stamp: u64);
}

/// Questions of one connection that are being answered; dropping cancels them.
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

/// Accepts connections for as long as the thread runs.
pub async fn serve(listener: TcpListener, service: Rc<dyn PeerService>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_one(stream, Rc::clone(&service)));
            }
            // Out of descriptors, most likely: let some connections end first.
            Err(error) => {
                log::warn!("peer connection not accepted: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_one(stream: TcpStream, service: Rc<dyn PeerService>) {
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
    let opened = Instant::now();
    let mut transit = Transit::default();
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(frame) = Frame::decode(bytes) else { break };
        service.observe(frame.stamp);
        match frame.body {
            Some(Body::Cancel(id)) => in_progress.cancel(id),
            Some(mut question) => {
                let now_ms = u64::try_from(opened.elapsed().as_millis()).unwrap_or(u64::MAX);
                take_off_delay(&mut question, &mut transit, now_ms);
                start(frame.id, question, &service, &in_progress, answers.clone());
            }
            None => {}
        }
    }
    drop(in_progress);
    drop(answers);
    writer.abort();
}

/// Takes the time that a question was held up on its way off the time that it leaves.
fn take_off_delay(question: &mut Body, transit: &mut Transit, now_ms: u64) {
    let Body::Gather(gather) = question else { return };
    if gather.sent_ms > 0 {
        let late_ms = transit.late_ms(gather.sent_ms, now_ms);
        gather.time_left_ms = gather.time_left_ms.saturating_sub(late_ms);
        gather.answer_within_ms = gather.answer_within_ms.saturating_sub(late_ms);
    }
}

fn start(
    id: u64,
    question: Body,
    service: &Rc<dyn PeerService>,
    in_progress: &Rc<InProgress>,
    answers: mpsc::Sender<Frame>,
) {
    let service = Rc::clone(service);
    let ended = Rc::downgrade(in_progress);
    let task = actix_rt::spawn(async move {
        let body = service.answer(question).await;
        let frame = Frame { id, stamp: service.stamp(), body: Some(body) };
        drop(answers.send(frame).await);
        if let Some(in_progress) = ended.upgrade() {
            in_progress.0.borrow_mut().remove(&id);
        }
    });
    in_progress.0.borrow_mut().insert(id, task);
}
