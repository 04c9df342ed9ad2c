//! Asks other instances over one connection each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream::SplitStream;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::wire::{self, Body, Frame};

/// Time in which a connection must be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Questions of one connection that wait to be written.
const MAX_QUEUED: usize = 1024;

/// A question to another instance was not answered.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// the instance can't be reached: {0}
    NotReached(String),
    /// the connection was lost before the answer came
    Lost,
    /// no answer came in time
    TimedOut,
}

/// Connections to other instances, one for each, opened when first needed.
///
/// A connection on which a question timed out is closed: it may have gone silent
/// for good, which one would notice by every question on it timing out while new
/// connections to the same place work.
#[derive(Clone)]
pub struct Links {
    links: Rc<RefCell<HashMap<SocketAddr, Rc<Link>>>>,
    stamp: Rc<dyn Fn() -> u64>,
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links").field("links", &self.links.borrow().len()).finish_non_exhaustive()
    }
}

struct Link {
    questions: mpsc::Sender<Frame>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Body>>>,
    next_id: Cell<u64>,
}

/// A question that waits; dropped early it tells the other side to stop.
struct Question {
    link: Rc<Link>,
    id: u64,
}

impl Drop for Question {
    fn drop(&mut self) {
        if self.link.waiting.borrow_mut().remove(&self.id).is_some() {
            let frame = Frame { id: 0, stamp: 0, body: Some(Body::Cancel(self.id)) };
            drop(self.link.questions.try_send(frame));
        }
    }
}

impl Links {
    /// No connections yet; `stamp` gives the clock stamp of a frame to be sent.
    #[must_use]
    pub fn new(stamp: Rc<dyn Fn() -> u64>) -> Self {
        Self { links: Rc::default(), stamp }
    }

    /// Asks the instance at `addr`.
    ///
    /// # Errors
    /// Fails if it can't be reached or does not answer in time.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        self.ask_noting(addr, body, timeout, || ()).await
    }

    /// The same; `note_sent` is called once the question goes out.
    ///
    /// # Errors
    /// Fails with [`PeerError::NotReached`] as long as it did not, also where time is over.
    pub async fn ask_noting(
        &self,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
        note_sent: impl Fn(),
    ) -> Result<Body, PeerError> {
        let is_sent = Cell::new(false);
        let asking = self.ask_untimed(addr, body, || {
            is_sent.set(true);
            note_sent();
        });
        let waited = tokio::time::timeout(timeout, asking).await;
        waited.unwrap_or_else(|_| {
            self.links.borrow_mut().remove(&addr);
            Err(if is_sent.get() { PeerError::TimedOut } else { not_connected() })
        })
    }

    async fn ask_untimed(
        &self,
        addr: SocketAddr,
        body: Body,
        note_sent: impl Fn(),
    ) -> Result<Body, PeerError> {
        let link = self.link(addr).await?;
        note_sent();
        let id = link.next_id.get();
        link.next_id.set(id + 1);
        let (done, answer) = oneshot::channel();
        link.waiting.borrow_mut().insert(id, done);
        let question = Question { link: Rc::clone(&link), id };
        let frame = Frame { id, stamp: (self.stamp)(), body: Some(body) };
        link.questions.send(frame).await.map_err(|_| PeerError::Lost)?;
        let answer = answer.await.map_err(|_| PeerError::Lost);
        drop(question);
        answer
    }

    async fn link(&self, addr: SocketAddr) -> Result<Rc<Link>, PeerError> {
        let open = self.links.borrow().get(&addr).filter(|l| !l.questions.is_closed()).cloned();
        if let Some(link) = open {
            return Ok(link);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(PeerError::NotReached(error.to_string())),
            Err(_) => return Err(not_connected()),
        };
        drop(stream.set_nodelay(true));
        let link = start(stream);
        let mut links = self.links.borrow_mut();
        // Instances are replaced all the time; their closed links must not pile up.
        links.retain(|_, known| !known.questions.is_closed());
        links.insert(addr, Rc::clone(&link));
        Ok(link)
    }
}

fn not_connected() -> PeerError {
    PeerError::NotReached("connect timed out".to_owned())
}

fn start(stream: TcpStream) -> Rc<Link> {
    let (mut sink, frames) = Framed::new(stream, wire::codec()).split::<Bytes>();
    let (questions, mut queued) = mpsc::channel::<Frame>(MAX_QUEUED);
    let link = Rc::new(Link { questions, waiting: RefCell::default(), next_id: Cell::new(1) });
    let weak = Rc::downgrade(&link);
    actix_rt::spawn(async move {
        let writing = async {
            while let Some(frame) = queued.recv().await {
                if sink.send(frame.encode_to_vec().into()).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = writing => {}
            () = read(frames, &weak) => {}
        }
        // Whoever still waits learns that the connection is lost.
        if let Some(link) = weak.upgrade() {
            link.waiting.borrow_mut().clear();
        }
    });
    link
}

async fn read(
    mut frames: SplitStream<Framed<TcpStream, LengthDelimitedCodec>>,
    link: &std::rc::Weak<Link>,
) {
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(frame) = Frame::decode(bytes) else { return };
        let Some(link) = link.upgrade() else { return };
        let waiting = link.waiting.borrow_mut().remove(&frame.id);
        if let (Some(done), Some(body)) = (waiting, frame.body) {
            drop(done.send(body));
        }
    }
}
