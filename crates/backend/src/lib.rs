//! HTTP client for backend servers.
//!
//! Queries are sent as `POST /query` and runs as `POST /run`. The request headers carry the
//! service, shard, index version, remaining time and request id. The response headers carry the
//! index version used, the server's load, its draining state, its start time and the versions it
//! holds, and may carry the request id; an answer with another id is not used.
//! `DELETE /requests/{id}` cancels a request. Status 503 means that the server shed the request
//! without running it; 409 means that it does not hold the requested version.

mod answer_budget;
mod connect;
mod exchange;
mod failure;
mod pool;
mod report;
mod whole_bodies;

pub use answer_budget::AnswerBudget;
pub use connect::refuses_connections;
pub use exchange::{
    BackendClient, HttpBackendClient, PartAnswer, PartFuture, PartRequest, RequestKind,
};
pub use failure::PartFailure;
pub use pool::{ConnectionPool, DispatchFlag, ExchangeRequest, RawAnswer};
pub use report::ServerReport;
pub use whole_bodies::{StrictStream, read_body, strict_connector};

/// Headers of the backend protocol.
pub mod headers {
    use awc::http::header::HeaderName;

    /// Name of the requested service.
    pub static SERVICE: HeaderName = HeaderName::from_static("query-service");
    /// Number of the requested shard.
    pub static SHARD: HeaderName = HeaderName::from_static("query-shard");
    /// Index version required for, or used for, the answer.
    pub static VERSION: HeaderName = HeaderName::from_static("index-version");
    /// Index versions held by the server, as comma-separated `version/shard-count` pairs.
    pub static VERSIONS: HeaderName = HeaderName::from_static("index-versions");
    /// Time remaining for the answer, in milliseconds.
    pub static TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
    /// Request id, used for cancellation.
    pub static REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
    /// Number of requests that the server is running or has queued.
    pub static LOAD: HeaderName = HeaderName::from_static("server-load");
    /// Set to `1` by a server that is draining.
    pub static DRAINING: HeaderName = HeaderName::from_static("server-draining");
    /// Start time of the server process, in milliseconds since the Unix epoch.
    pub static STARTED: HeaderName = HeaderName::from_static("server-started-ms");
    /// Idempotency key given by the caller for a run.
    pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
}
