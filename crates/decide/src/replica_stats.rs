//! Latency, load and failure state of one replica, as seen by one traffic thread.
//!
//! It combines the results of the thread's own requests with reports from other instances.

/// Divisor of the weight of a new latency ratio in the EWMA.
///
/// Each sample has been confirmed by an earlier one, so few samples are needed.
const LATENCY_EWMA_DIVISOR: f64 = 2.0;
/// Penalty of a failure, in multiples of the usual latency; doubles with each consecutive failure.
const FAILURE_COST_FACTOR: f64 = 4.0;
/// Number of doublings after which the penalty no longer grows.
const MAX_DOUBLINGS: u32 = 5;
/// Half-life of the failure penalty, in milliseconds.
///
/// Each attempt on a replica that is down costs one hedge. With this half-life, an unreachable
/// replica is retried about once in two seconds, and one that has recovered is found within two
/// seconds.
const PENALTY_HALF_LIFE_MS: f64 = 400.0;
/// Multiple of the expected latency after which an unanswered request suggests a paused replica.
///
/// The expected latency includes the queue, so a small excess is already significant. A pause must
/// be detected while most of it is still to come.
const OVERDUE_LATENCY_FACTOR: f64 = 1.8;
/// Cost of an overdue request, in multiples of the usual latency.
const OVERDUE_COST_FACTOR: f64 = 6.0;
/// Age at which a reported load no longer counts, in milliseconds.
const MAX_REPORT_AGE_MS: f64 = 250.0;
/// Upper bound on the latency ratio of one answer; a pause of 100 ms is 20 times the usual latency.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Half-life of the excess of the latency ratio over 1, in milliseconds.
///
/// A replica that was slow once is not selected, so no answer can show that it has recovered;
/// without decay it would be avoided forever. At this half-life a replica that is five times slower
/// is retried after about 1.5 s, at the cost of a hedge.
const RATIO_HALF_LIFE_MS: f64 = 800.0;
/// Divisor of the weight of one answer or refusal in the EWMA of the shed rate.
///
/// About ten samples are enough to change the rate noticeably.
const SHED_EWMA_DIVISOR: f64 = 8.0;
/// Cost of an extra send after a shed request, in multiples of the usual latency.
///
/// The round trip is short, but each retry is paid from the retry budget. A replica that sheds half
/// of its requests is still used while the others have queues.
const SHED_COST_FACTOR: f64 = 2.5;
/// Cost of such an extra send once the retry budget is spent, in multiples of the usual latency.
///
/// The request then fails and the work of the other shards is wasted, so a queue as long as the
/// target latency is preferable.
const SHED_COST_FACTOR_BUDGET_SPENT: f64 = 20.0;
/// Shed rate above which the expected number of extra sends no longer grows.
const MAX_SHED_RATE: f64 = 0.95;
/// Half-life of the shed rate while nothing is sent, in milliseconds.
///
/// A replica that no longer sheds is found within a few seconds, like one that was unreachable.
const SHED_HALF_LIFE_MS: f64 = 1_000.0;
/// Divisor of the weight of a new request in the EWMA of the work per request.
const WORK_EWMA_DIVISOR: f64 = 8.0;

/// State of a replica as reported by another instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaReport {
    /// Number of requests that the replica runs or has queued.
    pub load: u32,
    /// Latency relative to the usual latency.
    pub ratio: f64,
}

/// Request in progress that was sent by this thread.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PendingRequest {
    sent_at_ms: u64,
    /// Expected latency including queueing, in milliseconds.
    expected_ms: f64,
}

/// Latency, load and failure state of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaStats {
    /// EWMA of the latency relative to the usual latency of the same requests.
    ratio: f64,
    ratio_at_ms: u64,
    /// Ratio of the last answer that counts as a separate sample, and its time of arrival.
    last_ratio: f64,
    last_ratio_at_ms: u64,
    in_progress: Vec<PendingRequest>,
    /// EWMA of the work of one sent request, in milliseconds.
    work_ms: f64,
    /// Requests from other senders at the replica, and the time of that report.
    other_load: f64,
    other_load_at_ms: u64,
    /// Recent fraction of shed requests, and the time of its last update.
    shed_rate: f64,
    shed_rate_at_ms: u64,
    /// Time of the last answer or rejection.
    responded_at_ms: Option<u64>,
    consecutive_failures: u32,
    penalty: f64,
    penalty_at_ms: u64,
    is_replaced: bool,
}

impl Default for ReplicaStats {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            ratio_at_ms: 0,
            last_ratio: 1.0,
            last_ratio_at_ms: 0,
            in_progress: Vec::new(),
            work_ms: 0.0,
            other_load: 0.0,
            other_load_at_ms: 0,
            shed_rate: 0.0,
            shed_rate_at_ms: 0,
            responded_at_ms: None,
            consecutive_failures: 0,
            penalty: 0.0,
            penalty_at_ms: 0,
            is_replaced: false,
        }
    }
}

impl ReplicaStats {
    /// Records a sent request with an expected latency of `expected_ms`.
    pub fn record_sent(&mut self, now_ms: u64, expected_ms: f64) {
        self.in_progress.push(PendingRequest { sent_at_ms: now_ms, expected_ms });
    }

    /// Records a sent request that takes `work_ms` if the queue is empty.
    ///
    /// Returns the expected latency in milliseconds, at usual speed and with this replica's queue.
    pub fn record_sent_work(&mut self, work_ms: f64, slots: u32, now_ms: u64) -> f64 {
        let expected_ms = work_ms + self.expected_wait_ms(work_ms, slots, now_ms);
        self.record_sent(now_ms, expected_ms);
        let previous_ms = if self.work_ms > 0.0 { self.work_ms } else { work_ms };
        self.work_ms = previous_ms + (work_ms - previous_ms) / WORK_EWMA_DIVISOR;
        expected_ms
    }

    /// True if the replica has responded to nothing after `since_ms`.
    #[must_use]
    pub fn is_silent_since(&self, since_ms: u64) -> bool {
        self.responded_at_ms.is_none_or(|at_ms| at_ms <= since_ms)
    }

    /// Records the end of the request sent at `sent_at_ms`, with any outcome.
    pub fn record_end(&mut self, sent_at_ms: u64) {
        if let Some(i) = self.in_progress.iter().position(|s| s.sent_at_ms == sent_at_ms) {
            self.in_progress.swap_remove(i);
        }
    }

    /// Records an answer that took `took_ms` where `expected_ms` was expected.
    pub fn record_answer(&mut self, took_ms: f64, expected_ms: f64, now_ms: u64) {
        let ratio = (took_ms / expected_ms.max(0.1)).min(MAX_LATENCY_RATIO);
        let previous = self.ratio(now_ms);
        let confirmed = self.confirmed_ratio(ratio, took_ms, now_ms);
        self.ratio = previous + (confirmed - previous) / LATENCY_EWMA_DIVISOR;
        self.ratio_at_ms = now_ms;
        self.responded_at_ms = Some(now_ms);
        self.consecutive_failures = 0;
        self.record_shed_sample(0.0, now_ms);
    }

    /// Records that the replica shed a request without running it.
    ///
    /// Shedding costs little time, and a replica that sheds some requests still runs the others. It
    /// is used when the other replicas have queues, and not avoided like an unreachable one.
    pub fn record_shed(&mut self, now_ms: u64) {
        self.record_shed_sample(1.0, now_ms);
    }

    fn record_shed_sample(&mut self, sample: f64, now_ms: u64) {
        let previous = self.shed_rate(now_ms);
        self.shed_rate = previous + (sample - previous) / SHED_EWMA_DIVISOR;
        self.shed_rate_at_ms = now_ms;
        self.responded_at_ms = Some(now_ms);
    }

    fn shed_rate(&self, now_ms: u64) -> f64 {
        self.shed_rate * 0.5_f64.powf(elapsed_ms(self.shed_rate_at_ms, now_ms) / SHED_HALF_LIFE_MS)
    }

    /// Returns the part of `ratio` that an earlier answer confirms.
    ///
    /// Every replica pauses for about 100 ms now and then, and one pause delays all answers that
    /// were in progress together. A slow replica also delays an answer to a request that was sent
    /// after the previous answer arrived. Without this check, a single pause moved first sends to
    /// other zones for a second and increased cross-zone traffic by 10 %.
    fn confirmed_ratio(&mut self, ratio: f64, took_ms: f64, now_ms: u64) -> f64 {
        let is_separate_sample = elapsed_ms(self.last_ratio_at_ms, now_ms) >= took_ms;
        if !is_separate_sample && ratio >= self.last_ratio {
            return self.ratio(now_ms);
        }
        self.last_ratio_at_ms = now_ms;
        ratio.min(std::mem::replace(&mut self.last_ratio, ratio))
    }

    /// Returns the latency ratio, decayed towards 1 with its age.
    #[must_use]
    pub fn ratio(&self, now_ms: u64) -> f64 {
        let decay = 0.5_f64.powf(elapsed_ms(self.ratio_at_ms, now_ms) / RATIO_HALF_LIFE_MS);
        1.0 + (self.ratio - 1.0) * decay
    }

    /// Records the number of running and queued requests that the replica reported.
    pub fn record_reported_load(&mut self, load: u32, now_ms: u64) {
        self.other_load = (f64::from(load) - self.own_load()).max(0.0);
        self.other_load_at_ms = now_ms;
    }

    /// Applies a report from another instance.
    ///
    /// An instance that delegates a shard to another instance sends nothing to its replicas itself,
    /// and so knows their state only from reports.
    pub fn apply_report(&mut self, report: ReplicaReport, now_ms: u64) {
        self.record_reported_load(report.load, now_ms);
        if report.ratio > self.ratio(now_ms) {
            self.ratio = report.ratio.min(MAX_LATENCY_RATIO);
            self.ratio_at_ms = now_ms;
        }
    }

    /// Records a failure or a timeout.
    pub fn record_failure(&mut self, now_ms: u64) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures += 1;
        self.penalty = self.penalty(now_ms) + FAILURE_COST_FACTOR * f64::from(1_u32 << doublings);
        self.penalty_at_ms = now_ms;
    }

    /// Records a response that says nothing about the latency of requests.
    ///
    /// The next failure is then the first one again. The penalty of earlier ones keeps decaying,
    /// because other kinds of requests may still fail.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records that another replica answered at the address of this one.
    ///
    /// A replica id stands for one incarnation, so this replica has ended and never returns, even
    /// if it is still listed. Each further send would reach a replica of another service and count
    /// there as a retry. In a store outage of a few seconds, six instances made 120 such sends,
    /// which exceeds the slack left for errors.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Returns true if another replica has taken over the address.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the number of failures since the last answer.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns the number of this thread's requests in progress.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.in_progress.len()
    }

    /// Returns true if a request has been unanswered for much longer than expected.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.in_progress.iter().any(|s| {
            elapsed_ms(s.sent_at_ms, now_ms) > s.expected_ms * OVERDUE_LATENCY_FACTOR + 2.0
        })
    }

    fn own_load(&self) -> f64 {
        f64::from(u32::try_from(self.in_progress.len()).unwrap_or(u32::MAX))
    }

    /// Returns the estimated number of requests that the replica runs or has queued.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> f64 {
        let freshness =
            (1.0 - elapsed_ms(self.other_load_at_ms, now_ms) / MAX_REPORT_AGE_MS).max(0.0);
        self.own_load() + self.other_load * freshness
    }

    /// Returns the time that one more request would wait in the queue, in milliseconds.
    ///
    /// Assumes a replica of usual speed. `usual_ms` is the work of one request, used if this thread
    /// has sent none yet.
    #[must_use]
    pub fn expected_wait_ms(&self, usual_ms: f64, slots: u32, now_ms: u64) -> f64 {
        let slots = f64::from(slots.max(1));
        let queued = (self.load(now_ms) + 1.0 - slots).max(0.0);
        let work_ms = if self.work_ms > 0.0 { self.work_ms } else { usual_ms };
        queued / slots * work_ms
    }

    /// Returns the expected latency of one more request of `work_ms`, in milliseconds.
    ///
    /// It accounts for queue and speed, but not for failures.
    #[must_use]
    pub fn expected_latency_ms(&self, work_ms: f64, slots: u32, now_ms: u64) -> f64 {
        self.ratio(now_ms) * (work_ms + self.expected_wait_ms(work_ms, slots, now_ms))
    }

    /// Returns the cost of overdue, failed and shed requests, in multiples of the usual latency.
    ///
    /// `spent` is the fraction of the retry budget that is spent, from 0 to 1.
    #[must_use]
    pub fn penalty_cost(&self, spent: f64, now_ms: u64) -> f64 {
        let overdue = if self.is_overdue(now_ms) { OVERDUE_COST_FACTOR } else { 0.0 };
        let shed_cost =
            SHED_COST_FACTOR + (SHED_COST_FACTOR_BUDGET_SPENT - SHED_COST_FACTOR) * spent;
        overdue + self.penalty(now_ms) + shed_cost * self.expected_extra_sends(now_ms)
    }

    /// Returns the expected number of sends that are shed before one is answered.
    ///
    /// It grows faster than the shed rate: the retry budget must not be spent on a replica that
    /// sheds most requests while one in another zone sheds none.
    fn expected_extra_sends(&self, now_ms: u64) -> f64 {
        let rate = self.shed_rate(now_ms).min(MAX_SHED_RATE);
        rate / (1.0 - rate)
    }

    /// Returns the expected cost of one more request, in multiples of the usual latency.
    #[must_use]
    pub fn cost(&self, slots: u32, now_ms: u64) -> f64 {
        let queue = self.load(now_ms) / f64::from(slots.max(1));
        self.ratio(now_ms) * (1.0 + queue) + self.penalty_cost(0.0, now_ms)
    }

    fn penalty(&self, now_ms: u64) -> f64 {
        self.penalty * 0.5_f64.powf(elapsed_ms(self.penalty_at_ms, now_ms) / PENALTY_HALF_LIFE_MS)
    }
}

fn elapsed_ms(since_ms: u64, now_ms: u64) -> f64 {
    f64::from(u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX))
}
