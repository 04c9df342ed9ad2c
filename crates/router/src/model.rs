//! Protocol-independent model of a caller's request and its outcome.

use std::cell::{Cell, OnceCell, Ref, RefCell};
use std::sync::Arc;

use bytes::Bytes;
use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::prelude::Refusal;
use http::header::HeaderValue;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use tokio::time::Instant;

use crate::backend::Reply;

/// One attempt of a caller's request.
#[derive(Debug)]
pub struct Request {
    /// Caller's identifier of this attempt.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Requested host.
    pub host: String,
    /// Path and query as received.
    pub path: PathAndQuery,
    /// Headers to forward.
    ///
    /// If the configuration has customers, the router removes the identity headers of the backend
    /// servers: whoever parses the request may see another configuration than the one that the
    /// request is served by.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the request head was read.
    pub arrived: Instant,
    /// Time that the caller waits, in milliseconds; `None` if unspecified.
    pub deadline_ms: Option<u64>,
    /// Credential that the caller sent; not forwarded if the configuration has customers.
    pub credential: Credential,
    /// Name of the customer, once it is known; replicas receive it.
    pub customer: Option<Arc<str>>,
    /// State gathered while the request is served.
    pub progress: RequestProgress,
}

/// Credential of a caller's request.
///
/// Its `Debug` output does not contain the key.
#[derive(Clone, Default, PartialEq, Eq)]
pub enum Credential {
    /// No API key was sent.
    #[default]
    None,
    /// An API key.
    Key(Bytes),
    /// Something that is no API key, such as another scheme or two keys.
    Malformed,
}

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::None => "None",
            Self::Key(_) => "Key",
            Self::Malformed => "Malformed",
        })
    }
}

/// State gathered while a request is served.
#[derive(Debug, Default)]
pub struct RequestProgress {
    fingerprint: OnceCell<Fingerprint>,
    /// True if a replica has answered the request, with any status.
    ///
    /// An answered request does not crash replicas.
    pub(crate) is_answered: Cell<bool>,
    /// True if a send of the unanswered request was lost.
    pub(crate) was_lost: Cell<bool>,
    /// Isolated trials of the request, made because replicas had crashed during it.
    pub(crate) isolated_trials: RefCell<Vec<IsolatedTrial>>,
}

/// Isolated trial of a request on one replica.
#[derive(Debug)]
pub(crate) struct IsolatedTrial {
    /// Id of the replica.
    pub(crate) replica: Arc<str>,
    /// True if the request was already lost in a crash with the id of the replica's next one.
    ///
    /// The replica has restarted under the same id.
    pub(crate) is_restarted: bool,
}

impl RequestProgress {
    /// Returns the isolated trial on a replica.
    pub(crate) fn trial_on(&self, replica: &str) -> Option<Ref<'_, IsolatedTrial>> {
        let trials = self.isolated_trials.borrow();
        Ref::filter_map(trials, |trials| trials.iter().find(|t| *t.replica == *replica)).ok()
    }
}

impl Request {
    /// Returns the identifier as text for logs.
    #[must_use]
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Returns a fingerprint that is the same for each attempt of the request.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let parts: [&[u8]; 4] = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_str().as_bytes(),
            &self.body,
        ];
        *self.progress.fingerprint.get_or_init(|| Fingerprint::of(&parts))
    }
}

/// Answer merged from the parts of several shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// Top records in descending order.
    pub body: Bytes,
    /// Signature of each included part.
    pub signatures: Vec<Bytes>,
    /// Number of shards without a part.
    pub missing: usize,
}

/// Outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// A replica's own answer, success or error.
    Relayed(Reply),
    /// An answer merged from several shards.
    Merged(Merged),
    /// No answer; the verdict tells whether the request may have run.
    Refused(Refusal),
}
