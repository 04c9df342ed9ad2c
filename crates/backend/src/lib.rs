//! Client of the backend servers: one exchange, and what its end tells.
//!
//! The servers' protocol is HTTP. A part is `POST /query` or `POST /run` with the
//! service, shard, index version, remaining time and request id in headers; the
//! answer says the version that it was made from, the server's load, whether the
//! server is draining, its start time and the versions that it holds. `DELETE
//! /requests/{id}` cancels. Status 503 means that the server shed the request and
//! did not run it; 409 that it does not hold the version.

mod exchange;
mod failure;
mod lanes;
mod report;

pub use exchange::{Exchanger, HttpExchanger, Kind, PartAnswer, PartFuture, PartRequest};
pub use failure::PartFailure;
pub use lanes::{Lanes, Offered, Send, WireAnswer, has_ended};
pub use report::Report;

/// Headers of the servers' protocol.
pub mod headers {
    use awc::http::header::HeaderName;

    /// Name of the service that is asked.
    pub static SERVICE: HeaderName = HeaderName::from_static("query-service");
    /// Number of the shard that is asked.
    pub static SHARD: HeaderName = HeaderName::from_static("query-shard");
    /// Index version that the answer must be made from, or was made from.
    pub static VERSION: HeaderName = HeaderName::from_static("index-version");
    /// Versions that the server holds, as `version/shard-count`, comma separated.
    pub static VERSIONS: HeaderName = HeaderName::from_static("index-versions");
    /// Time in milliseconds that is left to answer.
    pub static TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
    /// Id of the request, for cancellation.
    pub static REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
    /// Requests that the server runs or holds in its queue.
    pub static LOAD: HeaderName = HeaderName::from_static("server-load");
    /// Set to 1 by a server that is leaving.
    pub static DRAINING: HeaderName = HeaderName::from_static("server-draining");
    /// Start time of the server's process in milliseconds since the epoch.
    pub static STARTED: HeaderName = HeaderName::from_static("server-started-ms");
    /// The caller's idempotency key, for a run.
    pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
}
