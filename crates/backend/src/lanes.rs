//! Connections to backend servers on which each answer can be told for sure.
//!
//! The pooled client of `exchange` can't tell two things that matter where a request
//! must not run twice: whether a request on a reused connection went out at all, and
//! whether a chunked body that ends with the connection is complete. Here each
//! connection is held by hand: one request at a time, an exchange that is dropped closes
//! its connection, and a connection that showed anything odd is never used again.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::failure::PartFailure;

/// Time in which a connection must be set up; zones are a few milliseconds apart and a
/// server takes up to 6 ms for a new connection, so more means that it is lost or full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection is not used where the server states no timeout.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Taken off the timeout that a server states in whole seconds: the way there, and its
/// clock may have started earlier than ours.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Idle time after which a connection is too old for a request that must not be lost
/// between a closing server and us.
const FRESH: Duration = Duration::from_millis(1500);
/// Stale connections that are tried before a new one is opened.
const MOST_STALE: usize = 4;

/// One request and the bounds of its exchange.
#[derive(Debug)]
pub struct Send {
    /// Identity of the server's process, which owns the connections.
    pub server: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// Connections that may be open to the server.
    pub most_connections: u32,
    /// Whether a lost answer can be made good by another send.
    pub is_repeatable: bool,
    /// Whether the connection is kept open for the next request.
    pub is_kept: bool,
    /// Time for the whole exchange.
    pub time_left: Duration,
    /// Largest body of an answer in bytes.
    pub max_bytes: usize,
    /// Set once the request is given to a connection.
    pub offered: Offered,
}

/// Whether a request was given to a connection, for those who wait for its answer.
///
/// Who gives up waiting must say whether the request may have run, and a connection that is
/// still being set up has carried nothing: to say "may have run" there keeps a caller from
/// trying again what must not run twice.
#[derive(Debug, Clone, Default)]
pub struct Offered(Rc<Cell<bool>>);

impl Offered {
    /// Notes that the request may go out from now on.
    pub fn mark(&self) {
        self.0.set(true);
    }

    /// Notes that it surely did not, or was not run.
    pub fn clear(&self) {
        self.0.set(false);
    }

    /// Whether a server may have the request.
    #[must_use]
    pub fn is_marked(&self) -> bool {
        self.0.get()
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct WireAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

/// Connections of one thread to all servers.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: RefCell<HashMap<Arc<str>, Rc<Lane>, foldhash::fast::RandomState>>,
}

#[derive(Debug, Default)]
struct Lane {
    idle: RefCell<Vec<Connection>>,
    open: Rc<Cell<u32>>,
}

/// An open connection; dropped, it is closed at once.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    open: Rc<Cell<u32>>,
    idle_since: Instant,
    keep: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.set(self.open.get().saturating_sub(1));
    }
}

impl Connection {
    fn is_usable(&self, is_repeatable: bool) -> bool {
        let most = if is_repeatable { self.keep } else { self.keep.min(FRESH) };
        self.sender.is_ready() && self.idle_since.elapsed() < most
    }
}

impl Lanes {
    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    /// Fails with [`PartFailure::NotReached`] or [`PartFailure::Crowded`] where no byte of
    /// the request went out.
    pub async fn exchange(&self, send: Send) -> Result<WireAnswer, PartFailure> {
        let time_left = send.time_left;
        let offered = send.offered.clone();
        let waited = actix_rt::time::timeout(time_left, self.exchange_untimed(send)).await;
        waited.unwrap_or_else(|_| {
            let is_connecting = !offered.is_marked();
            Err(if is_connecting { not_connected() } else { PartFailure::TimedOut })
        })
    }

    async fn exchange_untimed(&self, send: Send) -> Result<WireAnswer, PartFailure> {
        let lane = self.lane(&send.server);
        let bounds = Bounds { is_kept: send.is_kept, max_bytes: send.max_bytes };
        let mut request = send.request;
        for _ in 0..MOST_STALE {
            let Some(mut connection) = lane.take_idle(send.is_repeatable) else { break };
            send.offered.mark();
            match connection.sender.try_send_request(request).await {
                Ok(answer) => return read(lane, connection, answer, bounds).await,
                Err(mut error) => match error.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => {
                        send.offered.clear();
                        request = unsent;
                    }
                    None => return Err(PartFailure::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut connection = lane.connect(send.addr, send.most_connections).await?;
        send.offered.mark();
        match connection.sender.try_send_request(request).await {
            Ok(answer) => read(lane, connection, answer, bounds).await,
            Err(mut error) => match error.take_message() {
                Some(_) => Err(PartFailure::NotReached(error.into_error().to_string())),
                None => Err(PartFailure::Lost(error.into_error().to_string())),
            },
        }
    }

    /// Opens a connection before a request needs it, if there is none.
    ///
    /// # Errors
    /// Fails if the server can't be reached.
    pub async fn warm(
        &self,
        server: &Arc<str>,
        addr: SocketAddr,
        most_connections: u32,
    ) -> Result<(), PartFailure> {
        let lane = self.lane(server);
        if lane.open.get() > 0 {
            return Ok(());
        }
        let connection = lane.connect(addr, most_connections).await?;
        lane.idle.borrow_mut().push(connection);
        Ok(())
    }

    /// Finds out whether a server still takes connections, by opening one more.
    ///
    /// It is kept for the next request, in place of the lost one that gave rise to the question.
    ///
    /// # Errors
    /// Fails with [`PartFailure::NotListening`] where its process has ended.
    pub async fn reach(
        &self,
        server: &Arc<str>,
        addr: SocketAddr,
        most_connections: u32,
    ) -> Result<(), PartFailure> {
        let lane = self.lane(server);
        match lane.connect(addr, most_connections).await {
            Ok(connection) => lane.idle.borrow_mut().push(connection),
            // All that may be open are, or are being opened: one that is closed again at once.
            Err(PartFailure::Crowded) => drop(connect(addr).await?),
            Err(failure) => return Err(failure),
        }
        Ok(())
    }

    /// Whether a connection is idle, or another may be opened.
    #[must_use]
    pub fn has_room(&self, server: &str, most_connections: u32) -> bool {
        let lanes = self.lanes.borrow();
        let Some(lane) = lanes.get(server) else { return true };
        !lane.idle.borrow().is_empty() || lane.open.get() < most_connections
    }

    /// Forgets servers that are gone, with their idle connections.
    pub fn retain(&self, servers: &HashSet<Arc<str>>) {
        self.lanes.borrow_mut().retain(|server, _| servers.contains(server));
    }

    /// Connections that are open to a server.
    #[must_use]
    pub fn open(&self, server: &str) -> u32 {
        self.lanes.borrow().get(server).map_or(0, |lane| lane.open.get())
    }

    fn lane(&self, server: &Arc<str>) -> Rc<Lane> {
        Rc::clone(self.lanes.borrow_mut().entry(Arc::clone(server)).or_default())
    }
}

impl Lane {
    /// The connection used last, so that the others may time out.
    fn take_idle(&self, is_repeatable: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|c| c.is_usable(true));
        let connection = idle.pop()?;
        if connection.is_usable(is_repeatable) {
            return Some(connection);
        }
        idle.push(connection);
        None
    }

    async fn connect(&self, addr: SocketAddr, most: u32) -> Result<Connection, PartFailure> {
        if self.open.get() >= most.max(1) {
            // An idle one that is too old for this request makes room.
            self.idle.borrow_mut().pop();
        }
        if self.open.get() >= most.max(1) {
            return Err(PartFailure::Crowded);
        }
        let slot = Slot::take(&self.open);
        let stream = connect(addr).await?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("no-delay not set on a connection to {addr}: {error}");
        }
        metrics::counter!("eelgrasspier_backend_connections_total").increment(1);
        let shaken = handshake(TokioIo::new(stream)).await;
        let unreached = |e: hyper::Error| PartFailure::NotReached(e.to_string());
        let (sender, connection) = shaken.map_err(unreached)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {addr} ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            driver,
            open: slot.keep(),
            idle_since: Instant::now(),
            keep: DEFAULT_KEEP,
        })
    }
}

/// Whether a server's process has ended: nothing listens at its address any more.
pub async fn has_ended(addr: SocketAddr) -> bool {
    matches!(connect(addr).await, Err(PartFailure::NotListening))
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, PartFailure> {
    let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(|error| {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => PartFailure::NotListening,
            io::ErrorKind::TimedOut => not_connected(),
            _ => PartFailure::NotReached(error.to_string()),
        }
    })
}

fn not_connected() -> PartFailure {
    PartFailure::NotReached("connect timed out".to_owned())
}

/// A place among the open connections; given back unless it is kept.
struct Slot(Option<Rc<Cell<u32>>>);

impl Slot {
    fn take(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self(Some(Rc::clone(open)))
    }

    fn keep(mut self) -> Rc<Cell<u32>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get().saturating_sub(1));
        }
    }
}

/// Bounds on an answer and what becomes of its connection.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    is_kept: bool,
    max_bytes: usize,
}

async fn read(
    lane: Rc<Lane>,
    connection: Connection,
    answer: Response<Incoming>,
    Bounds { is_kept, max_bytes }: Bounds,
) -> Result<WireAnswer, PartFailure> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, max_bytes).collect().await.map_err(|error| match error
        .downcast_ref::<LengthLimitError>(
    ) {
        Some(_) => PartFailure::TooLarge(max_bytes),
        None => PartFailure::Lost(error.to_string()),
    })?;
    if is_kept && !says_close(&head.headers) {
        release(lane, connection, stated_keep(&head.headers));
    }
    Ok(WireAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
}

/// Puts a connection back as soon as it is ready for the next request.
fn release(lane: Rc<Lane>, mut connection: Connection, keep: Option<Duration>) {
    connection.keep = keep.unwrap_or(connection.keep);
    connection.idle_since = Instant::now();
    actix_rt::spawn(async move {
        if connection.sender.ready().await.is_ok() {
            lane.idle.borrow_mut().push(connection);
        }
    });
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// The idle timeout that the server states, less a margin.
fn stated_keep(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(KEEP_MARGIN))
}
