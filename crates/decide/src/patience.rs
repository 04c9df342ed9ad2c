//! When an answer from many shards stops waiting for the missing ones.
//!
//! An answer is worth the square of the share of its shards, and a tenth of that or so
//! once the target latency has passed. So all shards are waited for up to the target;
//! then whatever is enough goes out; if it is not enough, the answer is late anyway and
//! waits until it is, or until the caller's time is over.

/// Kept of the target latency for the way from and to the caller and for timers, which fire
/// a little late, in milliseconds.
const WAY_MS: u64 = 4;
/// Processor time of a whole core between the end of waiting and the caller's having the
/// answer, in microseconds: merging it, writing it, and what others' requests take just then.
///
/// By processor time, since an answer of a small instance would come just after its target with
/// the time that a large one needs, and a large one would wait for fewer parts with a small one's.
const WORK_US: u64 = 1_600;
/// Part of the target latency that is kept besides, as a divisor: the last fortieth of it brings
/// hardly a part more, and what is late for some milliseconds has waited for nothing.
const SPARE_DIVISOR: u64 = 40;
/// Part of the target latency that is kept at the most, as a divisor: the rest is for replicas.
const MOST_MARGIN_DIVISOR: u64 = 3;

/// What an instance keeps of a target latency, in milliseconds.
///
/// `capacity_milli` is its processor time, in thousandths of a core.
#[must_use]
pub fn margin_ms(target_latency_ms: u64, capacity_milli: u32) -> u64 {
    let work_ms = WORK_US / u64::from(capacity_milli.max(1));
    let spare_ms = target_latency_ms / SPARE_DIVISOR;
    (WAY_MS + spare_ms + work_ms).min(target_latency_ms / MOST_MARGIN_DIVISOR)
}

/// Part of the target latency that must be left to a caller who comes again for his answer to
/// be in time still, as a divisor.
const LEAST_LEFT_DIVISOR: u64 = 2;

/// Time in which an answer is wanted by a caller who has spent `spent_ms` on earlier attempts.
///
/// Once too little of the target latency is left, the answer is late for his first attempt
/// whatever happens, and he is served like one who has just come: an answer with what is there
/// at that moment would miss more shards and be no less late.
#[must_use]
pub fn time_ms(target_latency_ms: u64, spent_ms: u64) -> u64 {
    let left_ms = target_latency_ms.saturating_sub(spent_ms);
    if left_ms < target_latency_ms / LEAST_LEFT_DIVISOR { target_latency_ms } else { left_ms }
}

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
