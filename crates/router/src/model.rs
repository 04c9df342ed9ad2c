//! A caller's request and its outcome, in no particular protocol's terms.

use std::cell::{Cell, OnceCell, RefCell};
use std::sync::Arc;

use bytes::Bytes;
use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::prelude::Refusal;
use http::header::HeaderValue;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use tokio::time::Instant;

use crate::backend::Reply;

/// One attempt of a caller.
#[derive(Debug)]
pub struct Request {
    /// The caller's id of this attempt.
    pub id: HeaderValue,
    /// Method.
    pub method: Method,
    /// Host that the caller named.
    pub host: String,
    /// Path and query, as sent.
    pub path: PathAndQuery,
    /// Headers to be forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its head was read.
    pub arrived: Instant,
    /// Time that the caller waits, in milliseconds; `None` if it does not say.
    pub deadline_ms: Option<u64>,
    /// What shows while it is served.
    pub learnt: Learnt,
}

/// What shows of a request while it is served.
#[derive(Debug, Default)]
pub struct Learnt {
    fingerprint: OnceCell<Fingerprint>,
    /// Whether a replica has answered it, in whatever way: it does not end those that run it.
    pub(crate) is_answered: Cell<bool>,
    /// Replicas on which it was tried by itself, since others had ended under it.
    pub(crate) isolated_trials: RefCell<Vec<Arc<str>>>,
}

impl Request {
    /// The id as text, for logs.
    #[must_use]
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// By what it is known when its caller sends it again.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let parts: [&[u8]; 4] = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_str().as_bytes(),
            &self.body,
        ];
        *self.learnt.fingerprint.get_or_init(|| Fingerprint::of(&parts))
    }
}

/// An answer that was merged from the parts of several shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The greatest records, greatest first.
    pub body: Bytes,
    /// Signature of each part that is in.
    pub signatures: Vec<Bytes>,
    /// Shards that are left out.
    pub missing: usize,
}

/// What a request came to.
#[derive(Debug)]
pub enum Outcome {
    /// A replica's own answer, success or failure.
    Relayed(Reply),
    /// An answer from several shards.
    Merged(Merged),
    /// No answer; the verdict says whether it may have run.
    Refused(Refusal),
}
