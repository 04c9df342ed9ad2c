//! Choice of the replica that a part is sent to.

/// Age in milliseconds at which a reported load counts for nothing any more.
const REPORT_LIFE_MS: u64 = 200;
/// Share of a new latency in the running mean, as a power of two.
const MEAN_SHIFT: u32 = 3;
/// Score that a failure adds; it halves with every half-life.
const FAILURE_PENALTY_US: u64 = 200_000;
/// Time in which a failure's penalty halves, in milliseconds.
const PENALTY_HALF_LIFE_MS: u64 = 250;

/// What one traffic thread knows of a replica's load.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Own requests in progress there.
    pub outstanding: u32,
    mean_us: u64,
    reported: u32,
    reported_ms: u64,
    penalty_us: u64,
    penalty_ms: u64,
}

impl Load {
    /// Notes an answer: how long it took and how many requests it reported.
    pub fn answered(&mut self, latency_us: u64, reported: Option<u32>, now_ms: u64) {
        if self.mean_us == 0 {
            self.mean_us = latency_us;
        }
        self.mean_us = self.mean_us - (self.mean_us >> MEAN_SHIFT) + (latency_us >> MEAN_SHIFT);
        if let Some(load) = reported {
            self.reported = load;
            self.reported_ms = now_ms;
        }
    }

    /// Notes that the replica shed, failed or fell silent.
    pub fn failed(&mut self, now_ms: u64) {
        self.penalty_us = self.penalty_us(now_ms) + FAILURE_PENALTY_US;
        self.penalty_ms = now_ms;
    }

    /// Expected cost of one more request here; the lowest wins.
    ///
    /// Own outstanding requests are exact and count in full. The reported load
    /// includes them and lags, so only the surplus counts, fading with its age:
    /// a report that lies or stopped changing loses its weight.
    #[must_use]
    pub fn cost_us(&self, slots: u32, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms);
        let others = u64::from(self.reported.saturating_sub(self.outstanding));
        let fresh = REPORT_LIFE_MS.saturating_sub(age_ms);
        let others_milli = others * 1000 * fresh / REPORT_LIFE_MS;
        let queue_milli = u64::from(self.outstanding) * 1000 + others_milli;
        let per_slot_milli = queue_milli / u64::from(slots.max(1));
        let mean_us = self.mean_us.max(1);
        mean_us + mean_us * per_slot_milli / 1000 + self.penalty_us(now_ms)
    }

    fn penalty_us(&self, now_ms: u64) -> u64 {
        let halvings = now_ms.saturating_sub(self.penalty_ms) / PENALTY_HALF_LIFE_MS;
        self.penalty_us.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0)
    }
}

/// One replica that could take a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Position in the caller's own list.
    pub index: usize,
    /// Cost as of [`Load::cost_us`].
    pub cost_us: u64,
    /// Whether it is in this instance's availability zone.
    pub is_near: bool,
}

/// Ways to choose among candidates; all but one are kept for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Choice {
    /// Least expected cost; a far replica costs one way and back more.
    #[default]
    LeastCost,
    /// Any, with equal chances.
    Random,
}

/// Cost in microseconds of crossing to another availability zone and back.
pub const FAR_COST_US: u64 = 1000;

/// Picks a replica; `random` breaks ties.
#[must_use]
pub fn pick(candidates: &[Candidate], choice: Choice, random: u64) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let start = usize::try_from(random % candidates.len() as u64).unwrap_or(0);
    if choice == Choice::Random {
        return Some(candidates[start].index);
    }
    let cost = |c: &Candidate| c.cost_us + if c.is_near { 0 } else { FAR_COST_US };
    let turned = candidates[start..].iter().chain(&candidates[..start]);
    turned.min_by_key(|c| cost(c)).map(|c| c.index)
}
