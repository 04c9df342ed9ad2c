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
mod report;

pub use exchange::{Exchanger, HttpExchanger, Kind, PartAnswer, PartFuture, PartRequest};
pub use failure::PartFailure;
pub use report::Report;

/// Headers of the servers' protocol.
pub mod headers {
    /// Name of the service that is asked.
    pub const SERVICE: &str = "query-service";
    /// Number of the shard that is asked.
    pub const SHARD: &str = "query-shard";
    /// Index version that the answer must be made from, or was made from.
    pub const VERSION: &str = "index-version";
    /// Versions that the server holds, as `version/shard-count`, comma separated.
    pub const VERSIONS: &str = "index-versions";
    /// Time in milliseconds that is left to answer.
    pub const TIME_LEFT: &str = "time-left-ms";
    /// Id of the request, for cancellation.
    pub const REQUEST_ID: &str = "request-id";
    /// Requests that the server runs or holds in its queue.
    pub const LOAD: &str = "server-load";
    /// Set to 1 by a server that is leaving.
    pub const DRAINING: &str = "server-draining";
    /// Start time of the server's process in milliseconds since the epoch.
    pub const STARTED: &str = "server-started-ms";
    /// The caller's idempotency key, for a run.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}
