//! What one traffic thread knows of a replica: from its own requests, and told by others.

/// Weight of a new latency in the running mean, as a divisor; each was confirmed by another,
/// so that few make a replica slow.
const BLEND: f64 = 2.0;
/// Penalty of a failure in multiples of the usual latency; it doubles with each in a row.
const FAILURE_COST: f64 = 4.0;
/// Doublings after which the penalty stays the same.
const MOST_DOUBLINGS: u32 = 5;
/// Time in which a penalty halves, in milliseconds.
///
/// A replica that is down costs one hedge for each try: with this half-life a lost one is
/// tried about once in two seconds, and one that is back is found within them.
const PENALTY_HALF_LIFE_MS: f64 = 400.0;
/// Multiples of the expected latency after which a request without answer says "paused".
///
/// What is expected includes the queue, so that little more is no longer chance; a pause has to be
/// noticed while most of it is still to come.
const OVERDUE_RATIO: f64 = 1.8;
/// Cost of an overdue request in multiples of the usual latency.
const OVERDUE_COST: f64 = 6.0;
/// Age in milliseconds at which a reported load counts for nothing any more.
const REPORT_LIFE_MS: f64 = 250.0;
/// Highest ratio that one answer counts with; a pause of 100 ms is 20 times the usual.
const MOST_RATIO: f64 = 10.0;
/// Time in which what is remembered of the ratio halves, in milliseconds.
///
/// A replica that was slow once isn't chosen, so no answer of it shows that it is not slow
/// any more: it would be shunned for good. At this half-life one that is five times slower
/// is tried again after about a second and a half, at the price of a hedge.
const RATIO_HALF_LIFE_MS: f64 = 800.0;
/// Weight of one answer or refusal in the share of refusals, as a divisor: ten of them tell.
const SHED_BLEND: f64 = 8.0;
/// Cost of a refused request in multiples of the usual latency: the way there and back is
/// short, but each one is paid from the budget for repeats.
const SHED_COST: f64 = 4.0;
/// The same once the budget is spent: the request is lost with what the others did for it, so
/// that a queue as long as a target latency is better.
const UNPAID_SHED_COST: f64 = 32.0;
/// Time in which the share of refusals halves where nothing is sent, in milliseconds: one that
/// refuses no more is found within a few seconds, as a lost one is.
const SHED_HALF_LIFE_MS: f64 = 1_000.0;
/// Weight of a new request in the running mean of the work of one, as a divisor.
const WORK_BLEND: f64 = 8.0;

/// What another instance knows of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Told {
    /// Requests that it runs or holds.
    pub load: u32,
    /// Its latency relative to the usual one.
    pub ratio: f64,
}

/// An own request in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Sent {
    at_ms: u64,
    /// Time that it was expected to take, in milliseconds, its wait included.
    expected_ms: f64,
}

/// Conduct of one replica.
#[derive(Debug, Clone)]
pub struct Standing {
    /// Latency relative to the usual one of the same requests.
    ratio: f64,
    ratio_ms: u64,
    /// Ratio of the last answer that counts by itself, and when it came.
    last_ratio: f64,
    last_ms: u64,
    in_progress: Vec<Sent>,
    /// Work of one request in milliseconds, as a running mean of those sent.
    work_ms: f64,
    /// Requests of others that the replica held, and when it said so.
    others: f64,
    others_ms: u64,
    /// Share of requests that it refused of late, and as of when.
    shed: f64,
    shed_ms: u64,
    failures_in_a_row: u32,
    penalty: f64,
    penalty_ms: u64,
    is_replaced: bool,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            ratio_ms: 0,
            last_ratio: 1.0,
            last_ms: 0,
            in_progress: Vec::new(),
            work_ms: 0.0,
            others: 0.0,
            others_ms: 0,
            shed: 0.0,
            shed_ms: 0,
            failures_in_a_row: 0,
            penalty: 0.0,
            penalty_ms: 0,
            is_replaced: false,
        }
    }
}

impl Standing {
    /// Notes that a request was sent that is expected to take `expected_ms`.
    pub fn sent(&mut self, now_ms: u64, expected_ms: f64) {
        self.in_progress.push(Sent { at_ms: now_ms, expected_ms });
    }

    /// Notes that a request is sent that takes `work_ms` where nothing is ahead of it.
    ///
    /// Returns how long it is expected to take at a usual replica with this one's queue.
    pub fn sent_work(&mut self, work_ms: f64, slots: u32, now_ms: u64) -> f64 {
        let expected_ms = work_ms + self.wait_ms(work_ms, slots, now_ms);
        self.sent(now_ms, expected_ms);
        let known_ms = if self.work_ms > 0.0 { self.work_ms } else { work_ms };
        self.work_ms = known_ms + (work_ms - known_ms) / WORK_BLEND;
        expected_ms
    }

    /// Notes that the request sent at `sent_ms` has ended, however it did.
    pub fn ended(&mut self, sent_ms: u64) {
        if let Some(i) = self.in_progress.iter().position(|s| s.at_ms == sent_ms) {
            self.in_progress.swap_remove(i);
        }
    }

    /// Notes an answer that took `took_ms`, where `expected_ms` was expected.
    pub fn answered(&mut self, took_ms: f64, expected_ms: f64, now_ms: u64) {
        let ratio = (took_ms / expected_ms.max(0.1)).min(MOST_RATIO);
        let known = self.ratio(now_ms);
        let confirmed = self.confirm(ratio, took_ms, now_ms);
        self.ratio = known + (confirmed - known) / BLEND;
        self.ratio_ms = now_ms;
        self.failures_in_a_row = 0;
        self.note_shed(0.0, now_ms);
    }

    /// Notes that the replica refused a request without running it.
    ///
    /// That costs little time, and one that refuses some requests runs the others: it is made
    /// use of where the others have queues, and not shunned like one that is lost.
    pub fn shed(&mut self, now_ms: u64) {
        self.note_shed(1.0, now_ms);
    }

    fn note_shed(&mut self, share: f64, now_ms: u64) {
        let known = self.shed_share(now_ms);
        self.shed = known + (share - known) / SHED_BLEND;
        self.shed_ms = now_ms;
    }

    fn shed_share(&self, now_ms: u64) -> f64 {
        self.shed * 0.5_f64.powf(elapsed_ms(self.shed_ms, now_ms) / SHED_HALF_LIFE_MS)
    }

    /// As much of a ratio as an earlier answer confirms.
    ///
    /// Every replica pauses for a tenth of a second now and then, and answers that were in
    /// progress together were held up by the same pause. A replica that is slow is so for an
    /// answer that was sent after the last one had come, too. Without this one pause sent
    /// first sends to other zones for a second: bytes between zones were a tenth more.
    fn confirm(&mut self, ratio: f64, took_ms: f64, now_ms: u64) -> f64 {
        let is_apart = elapsed_ms(self.last_ms, now_ms) >= took_ms;
        if !is_apart && ratio >= self.last_ratio {
            return self.ratio(now_ms);
        }
        self.last_ms = now_ms;
        ratio.min(std::mem::replace(&mut self.last_ratio, ratio))
    }

    /// The ratio, as far as it still holds.
    #[must_use]
    pub fn ratio(&self, now_ms: u64) -> f64 {
        let kept = 0.5_f64.powf(elapsed_ms(self.ratio_ms, now_ms) / RATIO_HALF_LIFE_MS);
        1.0 + (self.ratio - 1.0) * kept
    }

    /// Notes the requests that the replica says it runs or holds.
    pub fn reported(&mut self, load: u32, now_ms: u64) {
        self.others = (f64::from(load) - self.own()).max(0.0);
        self.others_ms = now_ms;
    }

    /// Notes what another instance knows of the replica.
    ///
    /// An instance that asks others for a shard sends its replicas nothing itself.
    pub fn told(&mut self, told: Told, now_ms: u64) {
        self.reported(told.load, now_ms);
        if told.ratio > self.ratio(now_ms) {
            self.ratio = told.ratio.min(MOST_RATIO);
            self.ratio_ms = now_ms;
        }
    }

    /// Notes a failure or a silence.
    pub fn failed(&mut self, now_ms: u64) {
        let step = self.failures_in_a_row.min(MOST_DOUBLINGS);
        self.failures_in_a_row += 1;
        self.penalty = self.penalty(now_ms) + FAILURE_COST * f64::from(1_u32 << step);
        self.penalty_ms = now_ms;
    }

    /// Notes that another replica answered at its address.
    ///
    /// An id stands for one start of a replica, so this one has ended and never comes back,
    /// whatever the list still says. Each further send would reach a replica of another
    /// service and count there as a repeat: over a store outage of some seconds six instances
    /// made 120 of them, more than the slack that is left for mistakes.
    pub fn replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Whether another replica has its address.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Failures since the last answer.
    #[must_use]
    pub fn failures_in_a_row(&self) -> u32 {
        self.failures_in_a_row
    }

    /// Own requests in progress.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether a request has been without an answer for much longer than usual.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.in_progress
            .iter()
            .any(|s| elapsed_ms(s.at_ms, now_ms) > s.expected_ms * OVERDUE_RATIO + 2.0)
    }

    fn own(&self) -> f64 {
        f64::from(u32::try_from(self.in_progress.len()).unwrap_or(u32::MAX))
    }

    /// Requests that the replica is believed to run or hold.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> f64 {
        let fresh = (1.0 - elapsed_ms(self.others_ms, now_ms) / REPORT_LIFE_MS).max(0.0);
        self.own() + self.others * fresh
    }

    /// Time until one more request would run at a usual replica with this one's queue, in
    /// milliseconds; `usual_ms` is the work of one where none was sent from here.
    #[must_use]
    pub fn wait_ms(&self, usual_ms: f64, slots: u32, now_ms: u64) -> f64 {
        let slots = f64::from(slots.max(1));
        let ahead = (self.load(now_ms) + 1.0 - slots).max(0.0);
        let work_ms = if self.work_ms > 0.0 { self.work_ms } else { usual_ms };
        ahead / slots * work_ms
    }

    /// Time after which the replica is expected to answer one more request of `work_ms`, in
    /// milliseconds: its queue and its speed, whatever failures there were.
    #[must_use]
    pub fn answer_ms(&self, work_ms: f64, slots: u32, now_ms: u64) -> f64 {
        self.ratio(now_ms) * (work_ms + self.wait_ms(work_ms, slots, now_ms))
    }

    /// What speaks against the replica besides its queue, in multiples of a usual answer.
    ///
    /// `spent` is the part of the budget for repeats that is spent, from 0 to 1.
    #[must_use]
    pub fn doubt(&self, spent: f64, now_ms: u64) -> f64 {
        let overdue = if self.is_overdue(now_ms) { OVERDUE_COST } else { 0.0 };
        let shed_cost = SHED_COST + (UNPAID_SHED_COST - SHED_COST) * spent;
        overdue + self.penalty(now_ms) + shed_cost * self.shed_share(now_ms)
    }

    /// Expected latency of one more request, in multiples of the usual one.
    #[must_use]
    pub fn cost(&self, slots: u32, now_ms: u64) -> f64 {
        let queue = self.load(now_ms) / f64::from(slots.max(1));
        self.ratio(now_ms) * (1.0 + queue) + self.doubt(0.0, now_ms)
    }

    fn penalty(&self, now_ms: u64) -> f64 {
        self.penalty * 0.5_f64.powf(elapsed_ms(self.penalty_ms, now_ms) / PENALTY_HALF_LIFE_MS)
    }
}

fn elapsed_ms(since_ms: u64, now_ms: u64) -> f64 {
    f64::from(u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX))
}
