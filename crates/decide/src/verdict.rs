//! The verdict of a refusal: whether the request may have run.

use displaydoc::Display;

/// Whether a refused request may have run on a backend server.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// not_run
    NotRun,
    /// may_have_run
    MayHaveRun,
}

/// Why a request was refused.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum RefusalReason {
    /// bad request: {0}
    BadRequest(String),
    /// the body is longer than {0} bytes
    BodyTooLarge(usize),
    /// no route leads to {0}
    UnknownRoute(String),
    /// unknown service {0}
    UnknownService(String),
    /// no configuration is in force yet
    NotReady,
    /// more work is offered than can be answered in time
    Overloaded,
    /// team {0} uses its whole share
    TeamShare(String),
    /// no complete snapshot of the index is known
    NoSnapshot,
    /// index version {0} is not held by the shards
    SnapshotGone(u64),
    /// coverage {covered} of {wanted} shards is below the least accepted
    Coverage {
        /// Shards that answered.
        covered: u32,
        /// Least number of shards that the caller accepts.
        wanted: u32,
    },
    /// the deadline is too near to finish
    TooLate,
    /// the platform did not confirm the claim of the idempotency key
    ClaimUnavailable,
    /// the idempotency key was claimed before
    AlreadyClaimed,
    /// the idempotency key is older than the claims that are kept
    KeyExpired,
    /// the connection to the backend server was lost after the request went out
    AnswerLost,
    /// no backend server took the request
    NoReplica,
    /// backend servers ended while they ran this request
    EndsReplicas,
    /// the backend server refused: {0}
    BackendRefused(String),
    /// the instance is stopping
    Stopping,
}

/// A final answer to a request that is given up, with when to come back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When a new try is worth it, in milliseconds; `None` where it never is.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that surely was not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after_ms: Option<u64>) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after_ms }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_after_ms: None }
    }

    /// Whether the same request can be sent again without risk of a second run.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        self.verdict == Verdict::NotRun && self.retry_after_ms.is_some()
    }
}
