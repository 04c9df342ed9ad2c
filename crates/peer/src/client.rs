//! Client for requests to other instances, with one connection per instance.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of requests per connection that wait to be written.
const MAX_QUEUED: usize = 1024;

/// Error of a request to another instance.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// the instance can't be reached: {0}
    NotReached(String),
    /// the connection was lost before the answer came
    Lost,
    /// timed out waiting for the answer
    TimedOut,
}

/// Connections to other instances, one per instance, opened on first use.
///
/// A connection on which a request timed out is closed, since it may never respond again: all
/// requests on it would time out while new connections to the same address work.
#[derive(Clone)]
pub struct PeerConnections {
    connections: Rc<RefCell<HashMap<SocketAddr, Rc<PeerConnection>>>>,
    stamp: Rc<dyn Fn() -> u64>,
}

impl std::fmt::Debug for PeerConnections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links")
            .field("links", &self.connections.borrow().len())
            .finish_non_exhaustive()
    }
}

struct PeerConnection {
    outgoing: mpsc::Sender<Frame>,
    pending_answers: RefCell<HashMap<u64, oneshot::Sender<Body>>>,
    next_id: Cell<u64>,
}

/// Request that waits for its answer; dropping it early sends a cancellation.
struct PendingRequest {
    connection: Rc<PeerConnection>,
    id: u64,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.connection.pending_answers.borrow_mut().remove(&self.id).is_some() {
            let frame = Frame { id: 0, stamp: 0, body: Some(Body::Cancel(self.id)) };
            drop(self.connection.outgoing.try_send(frame));
        }
    }
}

impl PeerConnections {
    /// Creates an empty set of connections; `stamp` returns the clock stamp for an outgoing frame.
    #[must_use]
    pub fn new(stamp: Rc<dyn Fn() -> u64>) -> Self {
        Self { connections: Rc::default(), stamp }
    }

    /// Sends a request to the instance at `addr` and waits for its answer.
    ///
    /// # Errors
    /// Fails if the instance can't be reached or does not answer within `timeout`.
    pub async fn request(
        &self,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        self.request_with_callback(addr, body, timeout, || ()).await
    }

    /// Like [`Self::request`], but opens a new connection, which later requests use.
    ///
    /// An open connection may have gone silent without a reset. Requests in progress on it go on.
    ///
    /// # Errors
    /// Fails like [`Self::request`].
    pub async fn request_on_new_connection(
        &self,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        let connection = self.open_connection(addr);
        self.request_on(addr, connection, body, timeout, || ()).await
    }

    /// Like [`Self::request`], but calls `on_sent` just before the request is queued for sending.
    ///
    /// # Errors
    /// Fails with [`PeerError::NotReached`] if the request was not sent, including when the timeout
    /// expires before that.
    pub async fn request_with_callback(
        &self,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
        on_sent: impl Fn(),
    ) -> Result<Body, PeerError> {
        self.request_on(addr, self.connection(addr), body, timeout, on_sent).await
    }

    async fn request_on(
        &self,
        addr: SocketAddr,
        connection: impl Future<Output = Result<Rc<PeerConnection>, PeerError>>,
        body: Body,
        timeout: Duration,
        on_sent: impl Fn(),
    ) -> Result<Body, PeerError> {
        let used = RefCell::new(None);
        let request = async {
            let connection = connection.await?;
            used.replace(Some(Rc::clone(&connection)));
            on_sent();
            self.exchange(connection, body).await
        };
        let result = tokio::time::timeout(timeout, request).await;
        result.unwrap_or_else(|_| {
            let Some(connection) = used.take() else { return Err(connect_timed_out()) };
            self.remove(addr, &connection);
            Err(PeerError::TimedOut)
        })
    }

    async fn exchange(
        &self,
        connection: Rc<PeerConnection>,
        body: Body,
    ) -> Result<Body, PeerError> {
        let id = connection.next_id.get();
        connection.next_id.set(id + 1);
        let (sender, answer) = oneshot::channel();
        connection.pending_answers.borrow_mut().insert(id, sender);
        let pending = PendingRequest { connection: Rc::clone(&connection), id };
        let frame = Frame { id, stamp: (self.stamp)(), body: Some(body) };
        connection.outgoing.send(frame).await.map_err(|_| PeerError::Lost)?;
        let answer = answer.await.map_err(|_| PeerError::Lost);
        drop(pending);
        answer
    }

    /// Removes a connection unless a newer one has replaced it.
    fn remove(&self, addr: SocketAddr, connection: &Rc<PeerConnection>) {
        let mut connections = self.connections.borrow_mut();
        if connections.get(&addr).is_some_and(|known| Rc::ptr_eq(known, connection)) {
            connections.remove(&addr);
        }
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Rc<PeerConnection>, PeerError> {
        let open =
            self.connections.borrow().get(&addr).filter(|c| !c.outgoing.is_closed()).cloned();
        match open {
            Some(connection) => Ok(connection),
            None => self.open_connection(addr).await,
        }
    }

    async fn open_connection(&self, addr: SocketAddr) -> Result<Rc<PeerConnection>, PeerError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(PeerError::NotReached(error.to_string())),
            Err(_) => return Err(connect_timed_out()),
        };
        drop(stream.set_nodelay(true));
        let connection = spawn_connection(stream);
        let mut connections = self.connections.borrow_mut();
        // Instances are replaced continually, so closed connections must not accumulate.
        connections.retain(|_, known| !known.outgoing.is_closed());
        connections.insert(addr, Rc::clone(&connection));
        Ok(connection)
    }
}

fn connect_timed_out() -> PeerError {
    PeerError::NotReached("connect timed out".to_owned())
}

fn spawn_connection(stream: TcpStream) -> Rc<PeerConnection> {
    let (mut sink, frames) = Framed::new(stream, wire::codec()).split::<Bytes>();
    let (outgoing, mut queued) = mpsc::channel::<Frame>(MAX_QUEUED);
    let connection = Rc::new(PeerConnection {
        outgoing,
        pending_answers: RefCell::default(),
        next_id: Cell::new(1),
    });
    let weak = Rc::downgrade(&connection);
    actix_rt::spawn(async move {
        let writer = async {
            while let Some(frame) = queued.recv().await {
                if sink.send(frame.encode_to_vec().into()).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = writer => {}
            () = read_answers(frames, &weak) => {}
        }
        // Fails all requests that still wait for an answer.
        if let Some(connection) = weak.upgrade() {
            connection.pending_answers.borrow_mut().clear();
        }
    });
    connection
}

async fn read_answers(
    mut frames: SplitStream<Framed<TcpStream, LengthDelimitedCodec>>,
    connection: &std::rc::Weak<PeerConnection>,
) {
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(frame) = Frame::decode(bytes) else { return };
        let Some(connection) = connection.upgrade() else { return };
        let pending_answer = connection.pending_answers.borrow_mut().remove(&frame.id);
        if let (Some(sender), Some(body)) = (pending_answer, frame.body) {
            drop(sender.send(body));
        }
    }
}
