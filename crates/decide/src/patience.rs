//! When an answer from many shards stops waiting for the missing ones.
//!
//! An answer is worth the square of the share of its shards, and a tenth of that or so
//! once the target latency has passed. So all shards are waited for up to the target;
//! then whatever is enough goes out; if it is not enough, the answer is late anyway and
//! waits until it is, or until the caller's time is over.

/// State of one answer that is being gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gathering {
    /// Shards of the route.
    pub total: usize,
    /// Least shards for a success.
    pub least: usize,
    /// Shards whose parts are in.
    pub covered: usize,
    /// Shards that can't come any more.
    pub failed: usize,
    /// When the answer must be on its way to be in time, in milliseconds.
    pub target_at_ms: u64,
    /// When the caller's time is over, in milliseconds.
    pub limit_at_ms: u64,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Answer with what is there.
    Answer,
    /// Give up: a success is out of reach.
    GiveUp,
    /// Wait, and ask again at this time at the latest, in milliseconds.
    WaitUntil(u64),
}

impl Gathering {
    /// What to do at `now_ms`.
    #[must_use]
    pub fn next(&self, now_ms: u64) -> Next {
        if self.covered + self.failed >= self.total {
            return if self.covered >= self.least { Next::Answer } else { Next::GiveUp };
        }
        if self.total - self.failed < self.least || now_ms >= self.limit_at_ms {
            return if self.covered >= self.least { Next::Answer } else { Next::GiveUp };
        }
        if now_ms < self.target_at_ms {
            return Next::WaitUntil(self.target_at_ms.min(self.limit_at_ms));
        }
        if self.covered >= self.least {
            return Next::Answer;
        }
        Next::WaitUntil(self.limit_at_ms)
    }
}
