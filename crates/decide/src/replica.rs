//! Selection of the replica that a part is sent to.

/// Age at which a reported load no longer counts, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 200;
/// Weight of a new latency in the EWMA, as a negative power of two.
const LATENCY_EWMA_SHIFT: u32 = 3;
/// Cost added by a failure, in microseconds; it decays with [`PENALTY_HALF_LIFE_MS`].
const FAILURE_PENALTY_US: u64 = 200_000;
/// Cost added by the first abandoned exchange, in microseconds; doubles with each consecutive one.
const ABANDONED_PENALTY_US: u64 = 5_000;
/// Number of doublings after which that cost no longer grows.
const MAX_DOUBLINGS: u32 = 6;
/// Half-life of the penalty, in milliseconds.
const PENALTY_HALF_LIFE_MS: u64 = 250;

/// Load and latency of a replica, as seen by one traffic thread.
#[derive(Debug, Clone, Default)]
pub struct ReplicaLoad {
    /// Number of this thread's requests in progress at the replica.
    pub outstanding: u32,
    mean_us: u64,
    reported: u32,
    reported_at_ms: u64,
    penalty_us: u64,
    penalty_at_ms: u64,
    /// Number of consecutive abandoned exchanges.
    consecutive_abandoned: u32,
}

impl ReplicaLoad {
    /// Records an answer with its latency and the number of requests that it reported.
    pub fn record_answer(&mut self, latency_us: u64, reported: Option<u32>, now_ms: u64) {
        if self.mean_us == 0 {
            self.mean_us = latency_us;
        }
        self.record_latency(latency_us);
        self.consecutive_abandoned = 0;
        if let Some(load) = reported {
            self.reported = load;
            self.reported_at_ms = now_ms;
        }
    }

    /// Records that another replica answered first, or none did before the timeout.
    ///
    /// The exchange was abandoned, so its latency is only known to exceed `elapsed_us`. If it were
    /// ignored, a slow replica would look as fast as its few timely answers and would still be
    /// selected. Consecutive exchanges without an answer weigh more and more, so that an
    /// unreachable replica is soon avoided.
    pub fn record_abandoned(&mut self, elapsed_us: u64, now_ms: u64) {
        if elapsed_us > self.mean_us {
            self.record_latency(elapsed_us);
        }
        let doublings = self.consecutive_abandoned.min(MAX_DOUBLINGS);
        self.consecutive_abandoned = self.consecutive_abandoned.saturating_add(1);
        self.add_penalty(ABANDONED_PENALTY_US << doublings, now_ms);
    }

    /// Records that the replica shed a request, failed or timed out.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.add_penalty(FAILURE_PENALTY_US, now_ms);
    }

    fn add_penalty(&mut self, added_us: u64, now_ms: u64) {
        self.penalty_us = self.penalty_us(now_ms) + added_us;
        self.penalty_at_ms = now_ms;
    }

    fn record_latency(&mut self, latency_us: u64) {
        self.mean_us = self.mean_us - (self.mean_us >> LATENCY_EWMA_SHIFT)
            + (latency_us >> LATENCY_EWMA_SHIFT);
    }

    /// Returns the expected cost of one more request, in microseconds; the lowest is selected.
    ///
    /// This thread's outstanding requests are exact and count in full. The reported load includes
    /// them and lags behind, so only the excess counts, with a weight that decreases with its age:
    /// a wrong or stale report loses its effect.
    #[must_use]
    pub fn cost_us(&self, slots: u32, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms);
        let excess = u64::from(self.reported.saturating_sub(self.outstanding));
        let freshness_ms = MAX_REPORT_AGE_MS.saturating_sub(age_ms);
        let excess_milli = excess * 1000 * freshness_ms / MAX_REPORT_AGE_MS;
        let queue_milli = u64::from(self.outstanding) * 1000 + excess_milli;
        let per_slot_milli = queue_milli / u64::from(slots.max(1));
        let mean_us = self.mean_us.max(1);
        mean_us + mean_us * per_slot_milli / 1000 + self.penalty_us(now_ms)
    }

    fn penalty_us(&self, now_ms: u64) -> u64 {
        let halvings = now_ms.saturating_sub(self.penalty_at_ms) / PENALTY_HALF_LIFE_MS;
        self.penalty_us.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0)
    }
}

/// Replica that could serve a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Position in the list of the calling code.
    pub index: usize,
    /// Cost as returned by [`ReplicaLoad::cost_us`].
    pub cost_us: u64,
    /// True if the replica is in this instance's availability zone.
    pub is_same_zone: bool,
}

/// Selection policy; all but the default are kept for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SelectionPolicy {
    /// Lowest expected cost; a replica in another zone costs [`CROSS_ZONE_COST_US`] more.
    #[default]
    LeastCost,
    /// Uniformly random.
    Random,
}

/// Cost of the round trip to another availability zone, in microseconds.
pub const CROSS_ZONE_COST_US: u64 = 1000;

/// Selects a replica; `random` breaks ties.
#[must_use]
pub fn select_replica(
    candidates: &[Candidate],
    choice: SelectionPolicy,
    random: u64,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let start = usize::try_from(random % candidates.len() as u64).unwrap_or(0);
    if choice == SelectionPolicy::Random {
        return Some(candidates[start].index);
    }
    let cost = |c: &Candidate| c.cost_us + if c.is_same_zone { 0 } else { CROSS_ZONE_COST_US };
    let rotated = candidates[start..].iter().chain(&candidates[..start]);
    rotated.min_by_key(|c| cost(c)).map(|c| c.index)
}
