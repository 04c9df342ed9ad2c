//! Decides how long a merged answer waits for missing shards.
//!
//! The value of an answer is the square of the fraction of shards it covers, and about a tenth of
//! that after the target latency. So all shards are awaited until the target. After it, the answer
//! is sent as soon as it covers enough shards. If it does not, it is late in any case and waits
//! until it does or until the caller's time limit.

/// Part of the target latency reserved for the round trip and for timers, in milliseconds.
///
/// The round trip is that between caller and instance; timers fire slightly late.
const ROUND_TRIP_MS: u64 = 4;
/// CPU time between the end of waiting and the delivery of the answer, in microseconds of one core.
///
/// It covers merging and writing the answer and concurrent work for other requests. It is given as
/// CPU time: with a fixed duration, a small instance would answer just after the target with the
/// margin of a large one, and a large one would wait for fewer parts with the margin of a small
/// one.
const DELIVERY_CPU_US: u64 = 1_600;
/// Divisor of the target latency that gives an additional reserve.
///
/// Hardly any part arrives in the last fortieth of the target, and an answer that is a few
/// milliseconds late gains nothing from having waited.
const RESERVE_DIVISOR: u64 = 40;
/// Divisor of the target latency that gives the maximum margin; the rest is for the replicas.
const MAX_MARGIN_DIVISOR: u64 = 3;

/// Returns the part of the target latency that an instance reserves for itself, in milliseconds.
///
/// `capacity_milli` is the CPU capacity of the instance, in thousandths of a core.
#[must_use]
pub fn delivery_margin_ms(target_latency_ms: u64, capacity_milli: u32) -> u64 {
    let work_ms = DELIVERY_CPU_US / u64::from(capacity_milli.max(1));
    let reserve_ms = target_latency_ms / RESERVE_DIVISOR;
    (ROUND_TRIP_MS + reserve_ms + work_ms).min(target_latency_ms / MAX_MARGIN_DIVISOR)
}

/// Divisor of the target latency that gives the least time left for a retry to be still in time.
const MIN_REMAINING_DIVISOR: u64 = 2;

/// Returns the time in which to answer a caller that spent `spent_ms` on earlier attempts.
///
/// If too little of the target latency is left, the answer is late for the first attempt in any
/// case, and the retry gets the full target like a new request. An immediate partial answer would
/// miss more shards and be just as late.
#[must_use]
pub fn effective_target_ms(target_latency_ms: u64, spent_ms: u64) -> u64 {
    let remaining_ms = target_latency_ms.saturating_sub(spent_ms);
    if remaining_ms < target_latency_ms / MIN_REMAINING_DIVISOR {
        target_latency_ms
    } else {
        remaining_ms
    }
}

/// State of one merged answer in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatherState {
    /// Number of shards of the route.
    pub shard_count: usize,
    /// Minimum number of shards for a successful answer.
    pub min_covered: usize,
    /// Number of shards whose parts have arrived.
    pub covered: usize,
    /// Number of shards whose parts can no longer arrive.
    pub failed: usize,
    /// Time at which the answer must be sent to be in time, in milliseconds.
    pub target_at_ms: u64,
    /// Time at which the caller's time limit ends, in milliseconds.
    pub deadline_at_ms: u64,
}

/// Next step for an answer in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Send the answer with the parts that have arrived.
    Answer,
    /// Fail: a successful answer is no longer possible.
    Fail,
    /// Wait until this time at the latest, in milliseconds, and then decide again.
    WaitUntil(u64),
}

impl GatherState {
    /// Returns the next step at `now_ms`.
    #[must_use]
    pub fn decide(&self, now_ms: u64) -> WaitDecision {
        if self.covered + self.failed >= self.shard_count {
            return if self.covered >= self.min_covered {
                WaitDecision::Answer
            } else {
                WaitDecision::Fail
            };
        }
        if self.shard_count - self.failed < self.min_covered || now_ms >= self.deadline_at_ms {
            return if self.covered >= self.min_covered {
                WaitDecision::Answer
            } else {
                WaitDecision::Fail
            };
        }
        if now_ms < self.target_at_ms {
            return WaitDecision::WaitUntil(self.target_at_ms.min(self.deadline_at_ms));
        }
        if self.covered >= self.min_covered {
            return WaitDecision::Answer;
        }
        WaitDecision::WaitUntil(self.deadline_at_ms)
    }
}
