//! One exchange with a backend server.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::StatusCode;
use awc::{Client, ClientRequest, Connector};
use bytes::Bytes;
use eelgrasspier_decide::prelude::{IndexVersion, ShardId};

use crate::failure::PartFailure;
use crate::headers;
use crate::report::{Report, number};

/// Idle time after which a pooled connection is closed.
///
/// Shorter than servers keep theirs, so that a request is rarely written on a
/// connection that the server is closing at that moment.
const KEEP_IDLE: Duration = Duration::from_secs(3);
/// Age after which a connection is closed, so that none lives on forgotten.
const KEEP_LIFETIME: Duration = Duration::from_secs(75);
/// The pool's own limit counts over all hosts, where one silent host would hold up
/// the others; the share of each replica is kept by permits instead.
const NO_LIMIT: usize = 1 << 20;

/// What kind of request a part belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A repeatable query.
    Query,
    /// A request that must not run twice, with its idempotency key.
    Run {
        /// The caller's key.
        key: String,
    },
}

/// One part to be asked of one backend server.
#[derive(Debug, Clone)]
pub struct PartRequest {
    /// Address of the server.
    pub addr: SocketAddr,
    /// Query or run.
    pub kind: Kind,
    /// Name of the service.
    pub service: Rc<str>,
    /// The shard.
    pub shard: ShardId,
    /// The version that the part must be made from.
    pub version: Option<IndexVersion>,
    /// Time that is left.
    pub time_left: Duration,
    /// Unique id of this exchange, for cancellation.
    pub id: String,
    /// The caller's body.
    pub body: Bytes,
    /// Largest answer in bytes.
    pub max_bytes: usize,
}

/// A usable answer.
#[derive(Debug, Clone)]
pub struct PartAnswer {
    /// Its body.
    pub body: Bytes,
    /// The version that it was made from, where the server says one.
    pub version: Option<IndexVersion>,
    /// What the server says of itself.
    pub report: Report,
}

/// The end of an exchange; dropping it closes the connection.
pub type PartFuture<T> = Pin<Box<dyn Future<Output = Result<T, PartFailure>>>>;

/// Exchanges with backend servers.
pub trait Exchanger: std::fmt::Debug {
    /// Sends one part and waits for its answer.
    fn exchange(&self, request: PartRequest) -> PartFuture<PartAnswer>;

    /// Asks a server for its state, which also opens a connection to it.
    fn probe(&self, addr: SocketAddr, timeout: Duration) -> PartFuture<Report>;

    /// Tells a server that the answer to `id` is not wanted any more.
    fn cancel(&self, addr: SocketAddr, id: &str, timeout: Duration) -> PartFuture<()>;
}

/// Exchanges over HTTP, with pooled connections of one thread.
#[derive(Clone)]
pub struct HttpExchanger {
    pooled: Client,
    /// Never reuses a connection: a run written on one that the server is closing
    /// would be lost with an unknown outcome.
    fresh: Client,
}

impl std::fmt::Debug for HttpExchanger {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpExchanger").finish_non_exhaustive()
    }
}

impl HttpExchanger {
    /// Must be called on the thread that will use it.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        let connector = || Connector::new().limit(NO_LIMIT).timeout(connect_timeout);
        let pooled = connector().conn_keep_alive(KEEP_IDLE).conn_lifetime(KEEP_LIFETIME);
        // Following redirects would cost a copy of every header and body.
        let client = |c| {
            let builder = Client::builder().disable_timeout().disable_redirects();
            builder.no_default_headers().connector(c).finish()
        };
        Self { pooled: client(pooled), fresh: client(connector()) }
    }

    fn request(&self, part: &PartRequest) -> ClientRequest {
        let url = |path| format!("http://{}/{path}", part.addr);
        let request = match &part.kind {
            Kind::Query => self.pooled.post(url("query")),
            Kind::Run { key } => {
                let request = self.fresh.post(url("run")).force_close();
                request.insert_header((headers::IDEMPOTENCY_KEY.clone(), key.as_str()))
            }
        };
        let time_left_ms = u64::try_from(part.time_left.as_millis()).unwrap_or(u64::MAX);
        let request = request
            .insert_header((headers::SERVICE.clone(), &*part.service))
            .insert_header((headers::SHARD.clone(), part.shard))
            .insert_header((headers::TIME_LEFT.clone(), time_left_ms))
            .insert_header((headers::REQUEST_ID.clone(), part.id.as_str()));
        match part.version {
            Some(version) => request.insert_header((headers::VERSION.clone(), version)),
            None => request,
        }
    }

    async fn send(&self, part: &PartRequest) -> Result<PartAnswer, PartFailure> {
        let request = self.request(part);
        let sent = request.send_body(part.body.clone()).await;
        let mut answer = sent.map_err(|e| PartFailure::from(&e))?;
        let report = Report::from(answer.headers());
        check_status(answer.status(), &report)?;
        let version = number(answer.headers(), &headers::VERSION);
        if part.version.is_some() && version != part.version {
            return Err(PartFailure::WrongVersion(Box::new(report)));
        }
        let body = answer.body().limit(part.max_bytes).await;
        let body = body.map_err(|e| body_failure(&e, part.max_bytes))?;
        Ok(PartAnswer { body, version, report })
    }
}

fn check_status(status: StatusCode, report: &Report) -> Result<(), PartFailure> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE => Err(PartFailure::Shed(Box::new(report.clone()))),
        StatusCode::CONFLICT => Err(PartFailure::WrongVersion(Box::new(report.clone()))),
        status => Err(PartFailure::Status(status.as_u16())),
    }
}

fn body_failure(error: &PayloadError, max_bytes: usize) -> PartFailure {
    match error {
        PayloadError::Overflow => PartFailure::TooLarge(max_bytes),
        other => PartFailure::Lost(other.to_string()),
    }
}

/// Runs `work` for at most `timeout`.
async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, PartFailure>>,
) -> Result<T, PartFailure> {
    let waited = actix_rt::time::timeout(timeout, work).await;
    waited.unwrap_or(Err(PartFailure::TimedOut))
}

/// Drains an answer whose body does not matter, so that its connection is reused.
async fn read_report(request: ClientRequest) -> Result<Report, PartFailure> {
    let mut answer = request.send().await.map_err(|e| PartFailure::from(&e))?;
    let report = Report::from(answer.headers());
    check_status(answer.status(), &report)?;
    let drained = answer.body().await;
    drained.map_err(|e| PartFailure::Lost(e.to_string()))?;
    Ok(report)
}

impl Exchanger for HttpExchanger {
    fn exchange(&self, request: PartRequest) -> PartFuture<PartAnswer> {
        let client = self.clone();
        Box::pin(async move { within(request.time_left, client.send(&request)).await })
    }

    fn probe(&self, addr: SocketAddr, timeout: Duration) -> PartFuture<Report> {
        let request = self.pooled.get(format!("http://{addr}/state"));
        Box::pin(within(timeout, read_report(request)))
    }

    fn cancel(&self, addr: SocketAddr, id: &str, timeout: Duration) -> PartFuture<()> {
        let request = self.pooled.delete(format!("http://{addr}/requests/{id}"));
        Box::pin(within(timeout, async move { read_report(request).await.map(drop) }))
    }
}
