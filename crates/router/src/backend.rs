//! The border towards backend servers.

use std::collections::HashSet;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::{Offered, PartFailure};
use eelgrasspier_decide::directory::ReplicaEntry;
use http::{HeaderMap, StatusCode};

use crate::model::Request;

/// One send of a request to one replica.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The replica.
    pub replica: Arc<ReplicaEntry>,
    /// The request.
    pub request: Rc<Request>,
    /// Time that is left.
    pub time_left: Duration,
    /// Connections that may be open to the replica.
    pub most_connections: u32,
    /// Whether the connection is kept open for the next request.
    pub is_connection_kept: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Set once the request is given to a connection.
    pub offered: Offered,
}

/// A replica's complete answer to this request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Headers to be handed back, signature included.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// The replica's signature; every success has one.
    pub signature: Option<Bytes>,
    /// Requests that the replica runs or holds, if it says so.
    pub load: Option<u32>,
}

/// An answer on its way; dropped, the connection closes, which cancels the request.
pub type BackendFuture<T> = Pin<Box<dyn Future<Output = Result<T, PartFailure>>>>;

/// Sends requests to replicas.
pub trait Backend {
    /// Sends a request and reads its whole answer.
    fn send(&self, attempt: Attempt) -> BackendFuture<Reply>;

    /// Whether a request could be sent at once within `most_connections`.
    fn has_room(&self, replica: &str, most_connections: u32) -> bool;

    /// Opens a connection to a replica before it is needed.
    fn warm(&self, replica: Arc<ReplicaEntry>, most_connections: u32) -> BackendFuture<()>;

    /// Finds out whether a replica still takes connections.
    ///
    /// Fails with [`PartFailure::NotListening`] where its process has ended.
    fn reach(&self, replica: Arc<ReplicaEntry>, most_connections: u32) -> BackendFuture<()>;

    /// Forgets replicas that are gone.
    fn retain(&self, ids: &HashSet<Arc<str>>);
}
