//! Connection pool that knows whether each request was written and each answer is complete.
//!
//! The pooled client in `exchange` can't determine two things that matter for requests that must
//! not run twice: whether a request on a reused connection was written at all, and whether a
//! chunked body that ends with the connection is complete. This pool manages connections itself:
//! each one carries one request at a time, dropping an exchange closes its connection, and a
//! connection that showed any irregularity is never reused.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;

use crate::answer_budget::AnswerBudget;
use crate::connect::{RECHECK_DELAY, check_listening, connect, connect_timed_out, is_final};
use crate::failure::{PartFailure, check_transfer_codings};

/// Idle timeout of a connection if the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin subtracted from the server's stated keep-alive timeout, which is in whole seconds. Covers
/// the network delay and a server timer that started earlier than the local one.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle time of a connection reused for a non-repeatable request, to reduce the risk of
/// losing the request while the server closes the connection.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(1500);
/// Maximum number of tags stored for each connection, which is closed when it is reached.
const MAX_TAGS: usize = 512;
/// Number of stored tags after which those of expired requests are removed.
const TAGS_PER_SWEEP: usize = 64;
/// Maximum size of the read buffer of a connection in bytes, and so of an answer's head.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// Statuses of final answers (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of idle connections that are tried before a new one is opened.
const MAX_REUSE_ATTEMPTS: usize = 4;

/// Request to a backend server, with its limits.
#[derive(Debug)]
pub struct ExchangeRequest {
    /// Id of the server process; connections are pooled by it.
    pub server: Arc<str>,
    /// Address of the server.
    pub addr: SocketAddr,
    /// HTTP request to send.
    pub request: Request<Full<Bytes>>,
    /// Maximum number of open connections to the server.
    pub max_connections: u32,
    /// True if the request may be sent again after its answer was lost.
    pub is_repeatable: bool,
    /// True if the connection is kept alive for the next request.
    pub keep_alive: bool,
    /// Timeout of the whole exchange.
    pub time_left: Duration,
    /// Maximum size of the answer's body in bytes.
    pub max_bytes: usize,
    /// Tag by which a second send of the same request is known; `None` if there is none.
    ///
    /// It never uses a connection of the first one: a late second answer to the first would be
    /// taken for its own, since both have the same id.
    pub tag: Option<u64>,
    /// Header in which the server names the request that it answers, and its value for this one.
    ///
    /// An answer without the header is accepted only as the first on its connection, which is then
    /// closed: a later one may be a second answer to an earlier request.
    pub answer_id: Option<(HeaderName, HeaderValue)>,
    /// True if the request must be the first on its connection.
    pub needs_new_connection: bool,
    /// Set once the request is handed to a connection.
    pub dispatched: DispatchFlag,
}

/// Flag that records whether a request was handed to a connection.
///
/// A waiter that gives up must report whether the request may have run. Nothing was sent while the
/// connection was still being opened; reporting "may have run" in that case would keep the caller
/// from retrying a request that must not run twice.
#[derive(Debug, Clone, Default)]
pub struct DispatchFlag(Rc<Cell<bool>>);

impl DispatchFlag {
    /// Records that the request may be written from now on.
    pub fn set(&self) {
        self.0.set(true);
    }

    /// Records that the request was not sent, or was not run.
    pub fn clear(&self) {
        self.0.set(false);
    }

    /// Returns true if a server may have received the request.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Complete answer of a backend server.
#[derive(Debug)]
pub struct RawAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// Pool of one thread's connections to all backend servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    servers: RefCell<HashMap<Arc<str>, Rc<ServerPool>, foldhash::fast::RandomState>>,
    budget: AnswerBudget,
}

#[derive(Debug, Default)]
struct ServerPool {
    idle: RefCell<Vec<Connection>>,
    open_count: Rc<Cell<u32>>,
}

/// Open connection; dropping it closes the connection immediately.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    open_count: Rc<Cell<u32>>,
    idle_since: Instant,
    idle_timeout: Duration,
    /// Deadlines of the requests sent on it by tag, at most [`MAX_TAGS`]; `None` if it never passes.
    ///
    /// A tag may be removed after the deadline: the answer to a later send reaches no caller.
    tags: HashMap<u64, Option<Instant>, foldhash::fast::RandomState>,
    /// True if an answer was read from it.
    is_used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open_count.set(self.open_count.get().saturating_sub(1));
    }
}

impl Connection {
    fn add_tag(&mut self, tag: Option<u64>, time_left: Duration) {
        let deadline = Instant::now().checked_add(time_left);
        self.tags.extend(tag.map(|tag| (tag, deadline)));
    }

    /// True if the request with this tag was not sent on the connection before.
    fn accepts(&self, tag: Option<u64>) -> bool {
        tag.is_none_or(|tag| !self.tags.contains_key(&tag))
    }

    /// Removes tags of expired requests from time to time; returns false if no other one fits.
    fn make_room_for_tag(&mut self) -> bool {
        if self.tags.len().is_multiple_of(TAGS_PER_SWEEP) {
            let now = Instant::now();
            self.tags.retain(|_, deadline| deadline.is_none_or(|at| at > now));
        }
        self.tags.len() < MAX_TAGS
    }

    fn is_usable(&self, is_repeatable: bool) -> bool {
        let max_idle = if is_repeatable {
            self.idle_timeout
        } else {
            self.idle_timeout.min(MAX_IDLE_NON_REPEATABLE)
        };
        self.sender.is_ready() && self.idle_since.elapsed() < max_idle
    }
}

impl ConnectionPool {
    /// Creates a pool whose answers share a budget.
    #[must_use]
    pub fn new(budget: AnswerBudget) -> Self {
        Self { servers: RefCell::default(), budget }
    }

    /// Sends a request and reads its complete answer.
    ///
    /// # Errors
    /// Fails with [`PartFailure::NotReached`], [`PartFailure::NotListening`] or
    /// [`PartFailure::Crowded`] if no byte of the request was written.
    pub async fn exchange(&self, exchange: ExchangeRequest) -> Result<RawAnswer, PartFailure> {
        let time_left = exchange.time_left;
        let dispatched = exchange.dispatched.clone();
        let result =
            actix_rt::time::timeout(time_left, self.exchange_without_timeout(exchange)).await;
        result.unwrap_or_else(|_| {
            let is_connecting = !dispatched.is_set();
            Err(if is_connecting { connect_timed_out() } else { PartFailure::TimedOut })
        })
    }

    async fn exchange_without_timeout(
        &self,
        exchange: ExchangeRequest,
    ) -> Result<RawAnswer, PartFailure> {
        let pool = self.server_pool(&exchange.server);
        let limits = AnswerLimits {
            keep_alive: exchange.keep_alive,
            max_bytes: exchange.max_bytes,
            answer_id: exchange.answer_id,
            budget: self.budget.clone(),
        };
        let mut request = exchange.request;
        let reuse_attempts = if exchange.needs_new_connection { 0 } else { MAX_REUSE_ATTEMPTS };
        for _ in 0..reuse_attempts {
            let idle = pool.take_idle(exchange.is_repeatable, exchange.tag);
            let Some(mut connection) = idle else { break };
            connection.add_tag(exchange.tag, exchange.time_left);
            exchange.dispatched.set();
            match connection.sender.try_send_request(request).await {
                Ok(answer) => return read_answer(pool, connection, answer, limits).await,
                Err(mut error) => match error.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => {
                        exchange.dispatched.clear();
                        request = unsent;
                    }
                    None => return Err(PartFailure::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut connection = pool.connect(exchange.addr, exchange.max_connections).await?;
        connection.add_tag(exchange.tag, exchange.time_left);
        exchange.dispatched.set();
        match connection.sender.try_send_request(request).await {
            Ok(answer) => read_answer(pool, connection, answer, limits).await,
            Err(mut error) => match error.take_message() {
                Some(_) => Err(PartFailure::NotReached(error.into_error().to_string())),
                None => Err(PartFailure::Lost(error.into_error().to_string())),
            },
        }
    }

    /// Opens a connection in advance if there is none.
    ///
    /// # Errors
    /// Fails if the server can't be reached.
    pub async fn preconnect(
        &self,
        server: &Arc<str>,
        addr: SocketAddr,
        max_connections: u32,
    ) -> Result<(), PartFailure> {
        let pool = self.server_pool(server);
        if pool.open_count.get() > 0 {
            return Ok(());
        }
        let connection = pool.connect(addr, max_connections).await?;
        pool.idle.borrow_mut().push(connection);
        Ok(())
    }

    /// Checks that a server still accepts connections by opening a new one.
    ///
    /// The connection is kept for the next request, replacing the lost one that prompted the check.
    /// If it is closed meanwhile, another one is opened.
    ///
    /// # Errors
    /// Fails with [`PartFailure::NotListening`] if the server process has ended.
    pub async fn check_listening(
        &self,
        server: &Arc<str>,
        addr: SocketAddr,
        max_connections: u32,
    ) -> Result<(), PartFailure> {
        let pool = self.server_pool(server);
        let opened = match pool.connect(addr, max_connections).await {
            // The connection limit is reached: open one outside the pool.
            Err(PartFailure::Crowded) => return check_listening(addr).await,
            Err(failure) if is_final(&failure) => return Err(failure),
            opened => opened,
        };
        actix_rt::time::sleep(RECHECK_DELAY).await;
        match opened {
            Ok(connection) if !connection.sender.is_closed() => {
                pool.idle.borrow_mut().push(connection);
                Ok(())
            }
            _ => connect(addr).await.map(drop),
        }
    }

    /// Returns true if a connection is idle or another one may be opened.
    #[must_use]
    pub fn has_capacity(&self, server: &str, max_connections: u32) -> bool {
        let servers = self.servers.borrow();
        let Some(pool) = servers.get(server) else { return true };
        !pool.idle.borrow().is_empty() || pool.open_count.get() < max_connections
    }

    /// Removes all servers that are not in `servers`, with their idle connections.
    pub fn retain(&self, servers: &HashSet<Arc<str>>) {
        self.servers.borrow_mut().retain(|server, _| servers.contains(server));
    }

    /// Returns the number of open connections to a server.
    #[must_use]
    pub fn open_connections(&self, server: &str) -> u32 {
        self.servers.borrow().get(server).map_or(0, |pool| pool.open_count.get())
    }

    fn server_pool(&self, server: &Arc<str>) -> Rc<ServerPool> {
        Rc::clone(self.servers.borrow_mut().entry(Arc::clone(server)).or_default())
    }
}

impl ServerPool {
    /// Takes the most recently used idle connection, so that the others can time out.
    ///
    /// The request with this tag was not sent on it before.
    fn take_idle(&self, is_repeatable: bool, tag: Option<u64>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|c| c.is_usable(true) && c.make_room_for_tag());
        let newest = idle.iter().rposition(|c| c.accepts(tag))?;
        idle[newest].is_usable(is_repeatable).then(|| idle.remove(newest))
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        max_connections: u32,
    ) -> Result<Connection, PartFailure> {
        if self.open_count.get() >= max_connections.max(1) {
            // Closes an idle connection that is too old for this request, to free its slot.
            self.idle.borrow_mut().pop();
        }
        if self.open_count.get() >= max_connections.max(1) {
            return Err(PartFailure::Crowded);
        }
        let slot = ConnectionSlot::acquire(&self.open_count);
        let stream = connect(addr).await?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY on the connection to {addr}: {error}");
        }
        metrics::counter!("eelgrasspier_backend_connections_total").increment(1);
        let handshaken = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let not_reached = |e: hyper::Error| PartFailure::NotReached(e.to_string());
        let (sender, connection) = handshaken.map_err(not_reached)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {addr} ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            driver,
            open_count: slot.commit(),
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            tags: HashMap::default(),
            is_used: false,
        })
    }
}

/// Counted slot of an open connection; released on drop unless it is committed.
struct ConnectionSlot(Option<Rc<Cell<u32>>>);

impl ConnectionSlot {
    fn acquire(open_count: &Rc<Cell<u32>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self(Some(Rc::clone(open_count)))
    }

    fn commit(mut self) -> Rc<Cell<u32>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(open_count) = &self.0 {
            open_count.set(open_count.get().saturating_sub(1));
        }
    }
}

/// Limits on an answer, and whether its connection is kept alive.
#[derive(Debug, Clone)]
struct AnswerLimits {
    keep_alive: bool,
    max_bytes: usize,
    answer_id: Option<(HeaderName, HeaderValue)>,
    budget: AnswerBudget,
}

async fn read_answer(
    pool: Rc<ServerPool>,
    mut connection: Connection,
    answer: Response<Incoming>,
    AnswerLimits { keep_alive, max_bytes, answer_id, budget }: AnswerLimits,
) -> Result<RawAnswer, PartFailure> {
    let (head, mut incoming) = answer.into_parts();
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Err(PartFailure::Unusable(format!("status {}", head.status.as_u16())));
    }
    let codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    check_transfer_codings(codings.map(HeaderValue::as_bytes))?;
    let is_first = !std::mem::replace(&mut connection.is_used, true);
    // On a mismatch the connection is closed: the answer to this request is still to come on it.
    let names_request = match &answer_id {
        Some((name, id)) => check_answer_id(head.headers.get(name), id, is_first)?,
        None => true,
    };
    let mut body = budget.body(max_bytes);
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|e| PartFailure::Lost(e.to_string()))?;
        if let Some(part) = frame.data_ref() {
            body.append(part)?;
        }
    }
    if keep_alive && names_request && !has_close_token(&head.headers) {
        release(pool, connection, stated_idle_timeout(&head.headers));
    }
    Ok(RawAnswer { status: head.status, headers: head.headers, body: body.finish() })
}

/// Checks the id in an answer; returns false if there is none.
///
/// # Errors
/// Fails if the answer names another request, or none and is not the first on its connection.
fn check_answer_id(
    found: Option<&HeaderValue>,
    expected: &HeaderValue,
    is_first: bool,
) -> Result<bool, PartFailure> {
    let (label, cause) = match found {
        Some(found) if found == expected => return Ok(true),
        Some(_) => ("other", "the answer belongs to another request"),
        None if is_first => return Ok(false),
        None => ("none", "the answer names no request and may belong to an earlier one"),
    };
    metrics::counter!("eelgrasspier_answers_mismatched_total", "id" => label).increment(1);
    Err(PartFailure::Unusable(cause.to_owned()))
}

/// Returns a connection to the pool once it is ready for the next request.
fn release(pool: Rc<ServerPool>, mut connection: Connection, idle_timeout: Option<Duration>) {
    connection.idle_timeout = idle_timeout.unwrap_or(connection.idle_timeout);
    connection.idle_since = Instant::now();
    actix_rt::spawn(async move {
        if connection.sender.ready().await.is_ok() {
            pool.idle.borrow_mut().push(connection);
        }
    });
}

fn has_close_token(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns the keep-alive timeout stated by the server, less [`KEEP_ALIVE_MARGIN`].
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let header = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = header.split(',').find_map(|param| param.trim().strip_prefix("timeout="))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(KEEP_ALIVE_MARGIN))
}
