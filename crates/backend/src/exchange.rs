//! Exchanges with backend servers over pooled HTTP connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::StatusCode;
use awc::http::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use eelgrasspier_decide::prelude::{IndexVersion, ShardId};

use crate::failure::{PartFailure, check_transfer_codings};
use crate::headers;
use crate::report::{ServerReport, header_number};
use crate::whole_bodies::{read_body, strict_connector};

/// Idle time after which a pooled connection is closed.
///
/// Shorter than the servers' own keep-alive timeout, so that a request is rarely written to a
/// connection that the server is about to close.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Age after which a pooled connection is closed, so that none stays open indefinitely.
const POOL_MAX_AGE: Duration = Duration::from_secs(75);
/// Connection limit of the client's pool, high enough to have no effect.
///
/// The pool counts connections over all hosts, so one unresponsive host could block requests to the
/// others. Permits limit the connections to each replica instead.
const POOL_CONNECTION_LIMIT: usize = 1 << 20;

/// Maximum size of the body of an answer that is read for its headers only, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Kind of request that a part belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A query, which may be retried.
    Query,
    /// A run, which must not be executed twice.
    Run {
        /// Idempotency key given by the caller.
        key: String,
    },
}

/// Request for one shard, sent to one backend server.
#[derive(Debug, Clone)]
pub struct PartRequest {
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Query or run.
    pub kind: RequestKind,
    /// Name of the service.
    pub service: Rc<str>,
    /// Number of the shard.
    pub shard: ShardId,
    /// Index version required for the answer.
    pub version: Option<IndexVersion>,
    /// Remaining time.
    pub time_left: Duration,
    /// Unique id of this exchange, used for cancellation.
    pub id: String,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Maximum size of the answer's body in bytes.
    pub max_bytes: usize,
}

/// Successful answer of a backend server.
#[derive(Debug, Clone)]
pub struct PartAnswer {
    /// Response body.
    pub body: Bytes,
    /// Index version used for the answer, if reported.
    pub version: Option<IndexVersion>,
    /// Server state reported with the answer.
    pub report: ServerReport,
}

/// Future of an exchange; dropping it closes the connection.
pub type PartFuture<T> = Pin<Box<dyn Future<Output = Result<T, PartFailure>>>>;

/// Sends requests to backend servers.
pub trait BackendClient: std::fmt::Debug {
    /// Sends one request and waits for its answer.
    fn exchange(&self, request: PartRequest) -> PartFuture<PartAnswer>;

    /// Requests the state of a server; also opens a connection to it.
    fn probe(&self, addr: SocketAddr, timeout: Duration) -> PartFuture<ServerReport>;

    /// Tells a server that the answer to request `id` is no longer needed.
    fn cancel(&self, addr: SocketAddr, id: &str, timeout: Duration) -> PartFuture<()>;
}

/// [`BackendClient`] over HTTP; its connection pool belongs to one thread.
#[derive(Clone)]
pub struct HttpBackendClient {
    pooled: Client,
    /// Opens a connection for each request. A run sent on a pooled connection that the server is
    /// closing would be lost with an unknown outcome.
    unpooled: Client,
}

impl std::fmt::Debug for HttpBackendClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpExchanger").finish_non_exhaustive()
    }
}

impl HttpBackendClient {
    /// Creates a client, which must be used on the calling thread only.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        let connector = || strict_connector().limit(POOL_CONNECTION_LIMIT).timeout(connect_timeout);
        let pooled = connector().conn_keep_alive(POOL_IDLE_TIMEOUT).conn_lifetime(POOL_MAX_AGE);
        // Following redirects would require a copy of all headers and the body.
        let client = |connector| {
            let builder = Client::builder().disable_timeout().disable_redirects();
            builder.no_default_headers().connector(connector).finish()
        };
        Self { pooled: client(pooled), unpooled: client(connector()) }
    }

    fn request(&self, part: &PartRequest) -> ClientRequest {
        let url = |path| format!("http://{}/{path}", part.addr);
        let request = match &part.kind {
            RequestKind::Query => self.pooled.post(url("query")),
            RequestKind::Run { key } => {
                let request = self.unpooled.post(url("run")).force_close();
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
        check_request_id(answer.headers(), Some(&part.id))?;
        let codings = answer.headers().get_all(TRANSFER_ENCODING);
        check_transfer_codings(codings.map(HeaderValue::as_bytes))?;
        let report = ServerReport::from(answer.headers());
        check_status(answer.status(), &report)?;
        let version = header_number(answer.headers(), &headers::VERSION);
        if part.version.is_some() && version != part.version {
            return Err(PartFailure::WrongVersion(Box::new(report)));
        }
        let body = read_body(&mut answer, part.max_bytes).await;
        let body = body.map_err(|e| classify_body_error(&e, part.max_bytes))?;
        Ok(PartAnswer { body, version, report })
    }
}

/// Checks that an answer does not name another request than `id`.
///
/// A server may answer a request a second time, where the next answer is expected. The connection is
/// then closed, since the body is not read.
fn check_request_id(answer_headers: &HeaderMap, id: Option<&str>) -> Result<(), PartFailure> {
    let found = answer_headers.get(&headers::REQUEST_ID).map(HeaderValue::as_bytes);
    if found.is_some() && found != id.map(str::as_bytes) {
        return Err(PartFailure::Unusable("the answer belongs to another request".to_owned()));
    }
    Ok(())
}

fn check_status(status: StatusCode, report: &ServerReport) -> Result<(), PartFailure> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE => Err(PartFailure::Shed(Box::new(report.clone()))),
        StatusCode::CONFLICT => Err(PartFailure::WrongVersion(Box::new(report.clone()))),
        status => Err(PartFailure::Status(status.as_u16())),
    }
}

fn classify_body_error(error: &PayloadError, max_bytes: usize) -> PartFailure {
    match error {
        PayloadError::Overflow => PartFailure::TooLarge(max_bytes),
        other => PartFailure::Lost(other.to_string()),
    }
}

/// Awaits `work` for at most `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, PartFailure>>,
) -> Result<T, PartFailure> {
    let result = actix_rt::time::timeout(timeout, work).await;
    result.unwrap_or(Err(PartFailure::TimedOut))
}

/// Sends a request, reads its body to the end so that the connection can be reused, and returns the
/// reported state.
async fn fetch_report(request: ClientRequest) -> Result<ServerReport, PartFailure> {
    let mut answer = request.send().await.map_err(|e| PartFailure::from(&e))?;
    check_request_id(answer.headers(), None)?;
    let report = ServerReport::from(answer.headers());
    check_status(answer.status(), &report)?;
    let drained = read_body(&mut answer, MAX_REPORT_BYTES).await;
    drained.map_err(|e| PartFailure::Lost(e.to_string()))?;
    Ok(report)
}

impl BackendClient for HttpBackendClient {
    fn exchange(&self, request: PartRequest) -> PartFuture<PartAnswer> {
        let client = self.clone();
        Box::pin(async move { with_timeout(request.time_left, client.send(&request)).await })
    }

    fn probe(&self, addr: SocketAddr, timeout: Duration) -> PartFuture<ServerReport> {
        let request = self.pooled.get(format!("http://{addr}/state"));
        Box::pin(with_timeout(timeout, fetch_report(request)))
    }

    fn cancel(&self, addr: SocketAddr, id: &str, timeout: Duration) -> PartFuture<()> {
        let request = self.pooled.delete(format!("http://{addr}/requests/{id}"));
        Box::pin(with_timeout(timeout, async move { fetch_report(request).await.map(drop) }))
    }
}
