//! Interface to backend servers.

use std::collections::HashSet;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::{DispatchFlag, PartFailure};
use eelgrasspier_decide::directory::ReplicaEntry;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, StatusCode};

use crate::model::Request;

/// One send of a request to one replica.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Replica that receives the request.
    pub replica: Arc<ReplicaEntry>,
    /// Request to send.
    pub request: Rc<Request>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Maximum number of open connections to the replica.
    pub max_connections: u32,
    /// True if the connection is kept open for further requests.
    pub keep_alive: bool,
    /// True if the request may run more than once.
    pub is_idempotent: bool,
    /// Set once the request has been handed to a connection.
    pub dispatched: DispatchFlag,
}

/// A replica's complete answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to return to the caller, including the signature.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Signature of the replica; present on every success.
    pub signature: Option<Bytes>,
    /// Number of requests that the replica runs or queues, if reported.
    pub load: Option<u32>,
}

/// Pending answer; dropping it closes the connection, which cancels the request.
pub type BackendFuture<T> = Pin<Box<dyn Future<Output = Result<T, PartFailure>>>>;

/// Sends requests to replicas.
pub trait Backend {
    /// Returns the names of the headers that state a caller's identity, such as the credential.
    fn identity_headers(&self) -> &'static [HeaderName];

    /// Sends a request and reads the complete answer.
    fn send(&self, attempt: Attempt) -> BackendFuture<Reply>;

    /// True if a request can be sent immediately within `max_connections` connections.
    fn has_capacity(&self, replica: &str, max_connections: u32) -> bool;

    /// Opens a connection to a replica in advance.
    fn preconnect(&self, replica: Arc<ReplicaEntry>, max_connections: u32) -> BackendFuture<()>;

    /// Checks whether a replica accepts connections.
    ///
    /// Fails with [`PartFailure::NotListening`] if its process no longer runs.
    fn check_listening(
        &self,
        replica: Arc<ReplicaEntry>,
        max_connections: u32,
    ) -> BackendFuture<()>;

    /// Checks whether a replica answers a health check at `path` within a second, with any status.
    fn check_answering(
        &self,
        replica: Arc<ReplicaEntry>,
        path: PathAndQuery,
        max_connections: u32,
    ) -> BackendFuture<()>;

    /// Drops the state of replicas that are not in `ids`.
    fn retain(&self, ids: &HashSet<Arc<str>>);
}
