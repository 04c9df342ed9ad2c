//! Choice of the replica that a part is sent to.

/// Age in milliseconds at which a reported load counts for nothing any more.
const REPORT_LIFE_MS: u64 = 200;
/// Share of a new latency in the running mean, as a power of two.
const MEAN_SHIFT: u32 = 3;
/// Score that a failure adds; it halves with every half-life.
const FAILURE_PENALTY_US: u64 = 200_000;
/// Score that the first exchange given up adds; it doubles with each in a row.
const OUTRUN_PENALTY_US: u64 = 5_000;
/// Doublings after which it stays the same.
const MOST_DOUBLINGS: u32 = 6;
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
    /// Exchanges in a row that were given up.
    unanswered: u32,
}

impl Load {
    /// Notes an answer: how long it took and how many requests it reported.
    pub fn answered(&mut self, latency_us: u64, reported: Option<u32>, now_ms: u64) {
        if self.mean_us == 0 {
            self.mean_us = latency_us;
        }
        self.blend(latency_us);
        self.unanswered = 0;
        if let Some(load) = reported {
            self.reported = load;
            self.reported_ms = now_ms;
        }
    }

    /// Notes that another replica answered first, or none did before the cut-off.
    ///
    /// The exchange was given up, so its latency is only known to be more than
    /// `elapsed_us`. Left out, a slow replica would look as fast as its few answers
    /// that were in time, and would go on being chosen. Several in a row without an
    /// answer weigh more and more, so that a lost replica is soon left alone.
    pub fn outrun(&mut self, elapsed_us: u64, now_ms: u64) {
        if elapsed_us > self.mean_us {
            self.blend(elapsed_us);
        }
        let step = self.unanswered.min(MOST_DOUBLINGS);
        self.unanswered = self.unanswered.saturating_add(1);
        self.add_penalty(OUTRUN_PENALTY_US << step, now_ms);
    }

    /// Notes that the replica shed, failed or fell silent.
    pub fn failed(&mut self, now_ms: u64) {
        self.add_penalty(FAILURE_PENALTY_US, now_ms);
    }

    fn add_penalty(&mut self, added_us: u64, now_ms: u64) {
        self.penalty_us = self.penalty_us(now_ms) + added_us;
        self.penalty_ms = now_ms;
    }

    fn blend(&mut self, latency_us: u64) {
        self.mean_us = self.mean_us - (self.mean_us >> MEAN_SHIFT) + (latency_us >> MEAN_SHIFT);
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
