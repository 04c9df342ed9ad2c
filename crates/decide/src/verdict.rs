//! Refusals, and the verdict on whether the request may have run.

use displaydoc::Display;

/// Verdict on whether a refused request may have run on a backend server.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// not_run
    NotRun,
    /// may_have_run
    MayHaveRun,
}

/// Reason for a refusal.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum RefusalReason {
    /// bad request: {0}
    BadRequest(String),
    /// the body is longer than {0} bytes
    BodyTooLarge(usize),
    /// the body was not complete in time
    BodyTimeout,
    /// callers hold all the memory or connections that they may
    NoRoom,
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
        /// Number of shards that answered.
        covered: u32,
        /// Minimum number of shards that the caller accepts.
        wanted: u32,
    },
    /// the deadline is too near to finish
    DeadlineTooClose,
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
    CrashesReplicas,
    /// backend servers lost this request without an answer, one after another
    NeverAnswered,
    /// the backend server refused: {0}
    BackendRefused(String),
    /// the instance is stopping
    Stopping,
    /// the API key is missing or unknown
    UnknownKey,
    /// the API key can't be checked now
    KeyUnconfirmed,
    /// customer {0} is beyond its rate limit
    CustomerLimit(String),
    /// the rate limit of customer {0} can't be checked now
    LimitUnavailable(String),
    /// more urgent requests need the capacity
    LowPriority,
}

/// Refusal of a request, with a retry-after time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Verdict on whether the request may have run.
    pub verdict: Verdict,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed, in milliseconds; `None` if it never may.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that definitely did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after_ms: Option<u64>) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after_ms }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_after_ms: None }
    }

    /// Returns true if the request can be retried without the risk of a second run.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        self.verdict == Verdict::NotRun && self.retry_after_ms.is_some()
    }
}
