//! Retry budget: limits how many requests are sent to a second replica, per service.
//!
//! Retries include hedges. In any window, all instances together may add `ratio_milli` retries per
//! thousand requests of a service, plus a fixed slack. The ratio needs no division, since each
//! instance counts its own requests; the slack is divided by the number of instances.
//!
//! Where some instances hold connections for the others, the others have no slack of their own.
//! They borrow from a pool for each service that one of the gathering instances counts.

use std::collections::VecDeque;

use crate::fleet_limit::SETTLE_DELAY_MS;

/// Number of spans in the window; a span counts in full while any part of it is in the window.
const SPANS_PER_WINDOW: u64 = 20;
/// Part of the slack that is used where all instances send to all replicas, in thousandths.
///
/// A restarted instance has lost its counts, and a joining one makes the parts of the others too
/// large for a moment; half of the slack is reserved for them.
const EQUAL_SLACK_MILLI: u64 = 500;
/// Part of the slack that an instance uses in the first window of its tenure, in thousandths.
///
/// Its predecessor may have used its own part in the same window. This part and
/// [`ESTABLISHED_SLACK_MILLI`] add up to the whole slack.
const NEW_SLACK_MILLI: u64 = 250;
/// Part of the slack that an instance uses after the first window of its tenure, in thousandths.
const ESTABLISHED_SLACK_MILLI: u64 = 750;
/// Part of the ratio that is used, in thousandths.
///
/// The margin covers checks that count arrivals and requests at different times.
const RATIO_USED_MILLI: u64 = 850;
const MILLI: u64 = 1000;
/// Part of the slack for the instances that hold connections to a service if others do not, in
/// percent.
///
/// They send nearly all retries.
const HOLDERS_SLACK_PERCENT: u64 = 80;

/// Divisor of the slack that gives the pool of a service without holders.
///
/// The service may become a shard within a window. Its holders and its new pool then use three
/// quarters of the slack, and a third of three quarters is the rest.
const NO_HOLDERS_POOL_DIVISOR: u64 = 3;

/// Returns the number by which the slack of a service is divided for each instance that holds
/// connections to its replicas.
///
/// `holders` is the number of these instances. The rest of the slack is the service's pool; see
/// [`SlackShare::of_pool`].
#[must_use]
pub fn slack_divisor(instances: u64, holders: u64) -> u64 {
    if holders >= instances { instances } else { (holders * 100).div_ceil(HOLDERS_SLACK_PERCENT) }
}

/// An instance's part of the slack of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlackShare {
    /// Number of instances by which the slack is divided.
    divisor: u64,
    /// Part of the slack that is used, in thousandths.
    used_milli: u64,
}

impl SlackShare {
    /// Returns the part of each of `instances` that all send to all replicas.
    #[must_use]
    pub fn equal(instances: u64) -> Self {
        Self { divisor: instances, used_milli: EQUAL_SLACK_MILLI }
    }

    /// Returns the part of an instance where some hold connections for the others.
    ///
    /// `divisor` is that of [`slack_divisor`]; `is_established` is true if the instances that hold
    /// connections in its zone have not changed for a window.
    #[must_use]
    pub fn of_holder(divisor: u64, is_established: bool) -> Self {
        Self { divisor, used_milli: tenure_milli(is_established) }
    }

    /// Returns the pool of a service, from which instances without a part of their own borrow.
    ///
    /// `has_holders` is true if the holders of the service have most of the slack. `is_established`
    /// is true if the instances that may own the pool have not changed for a window; until then the
    /// previous owner may have lent the remaining part.
    #[must_use]
    pub fn of_pool(has_holders: bool, is_established: bool) -> Self {
        let divisor =
            if has_holders { 100 / (100 - HOLDERS_SLACK_PERCENT) } else { NO_HOLDERS_POOL_DIVISOR };
        Self { divisor, used_milli: tenure_milli(is_established) }
    }

    /// Returns the part of an instance that has no slack of its own.
    #[must_use]
    pub fn none() -> Self {
        Self { divisor: 1, used_milli: 0 }
    }

    /// Returns true if the instance has no slack of its own.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.used_milli == 0
    }
}

fn tenure_milli(is_established: bool) -> u64 {
    if is_established { ESTABLISHED_SLACK_MILLI } else { NEW_SLACK_MILLI }
}

/// Limits on retries of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries per request, in thousandths.
    pub ratio_milli: u64,
    /// Additional retries in each window, over all instances.
    pub slack: u64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Span {
    number: u64,
    requests: u64,
    retries: u64,
}

impl RetryLimits {
    /// Returns true if a change at `changed_at_ms` no longer restricts the slack of an instance.
    ///
    /// A predecessor may have used its part until it learned of the change, up to
    /// [`SETTLE_DELAY_MS`] later, and that part must have left the window.
    #[must_use]
    pub fn is_established(&self, changed_at_ms: u64, now_ms: u64) -> bool {
        let restricted_ms = self.window_ms.saturating_add(SETTLE_DELAY_MS);
        now_ms >= changed_at_ms.saturating_add(restricted_ms)
    }

    /// Returns the limits of a pool, to which requests add nothing.
    #[must_use]
    pub fn of_pool(self) -> Self {
        Self { ratio_milli: 0, ..self }
    }
}

/// Retry budget of one service at one instance, or its pool at the pool's owner.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    spans: VecDeque<Span>,
}

impl RetryBudget {
    /// Records a request whose first send goes to the service.
    pub fn record_request(&mut self, limits: &RetryLimits, now_ms: u64) {
        self.current_span(limits, now_ms).requests += 1;
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_take(&mut self, limits: &RetryLimits, share: SlackShare, now_ms: u64) -> bool {
        let (retries_milli, max_milli) = self.retries_and_max_milli(limits, share, now_ms);
        if retries_milli + MILLI > max_milli {
            return false;
        }
        self.current_span(limits, now_ms).retries += 1;
        true
    }

    /// Returns true if more than half of the current budget is spent.
    pub fn is_half_spent(&mut self, limits: &RetryLimits, share: SlackShare, now_ms: u64) -> bool {
        let (retries_milli, max_milli) = self.retries_and_max_milli(limits, share, now_ms);
        2 * retries_milli > max_milli
    }

    /// Returns true if nothing was counted in the window.
    pub fn is_idle(&mut self, limits: &RetryLimits, now_ms: u64) -> bool {
        self.current_span(limits, now_ms);
        self.spans.iter().all(|s| s.requests == 0 && s.retries == 0)
    }

    /// Returns the fraction of the current budget that is spent, from 0 to 1.
    pub fn spent_fraction(&mut self, limits: &RetryLimits, share: SlackShare, now_ms: u64) -> f64 {
        let (retries_milli, max_milli) = self.retries_and_max_milli(limits, share, now_ms);
        let to_f64 = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        (to_f64(retries_milli) / to_f64(max_milli).max(1.0)).min(1.0)
    }

    /// Returns the retries in the window and their maximum, both in thousandths.
    fn retries_and_max_milli(
        &mut self,
        limits: &RetryLimits,
        share: SlackShare,
        now_ms: u64,
    ) -> (u64, u64) {
        self.current_span(limits, now_ms);
        // The oldest span may be partly outside the window; it counts for retries but not for
        // requests.
        let requests: u64 = self.spans.iter().skip(1).map(|s| s.requests).sum();
        let retries: u64 = self.spans.iter().map(|s| s.retries).sum();
        let by_ratio = requests * limits.ratio_milli * RATIO_USED_MILLI / MILLI;
        let by_slack = limits.slack * share.used_milli / share.divisor.max(1);
        (retries * MILLI, by_ratio + by_slack)
    }

    fn current_span(&mut self, limits: &RetryLimits, now_ms: u64) -> &mut Span {
        let length_ms = (limits.window_ms / SPANS_PER_WINDOW).max(1);
        let number = now_ms / length_ms;
        while self.spans.front().is_some_and(|s| s.number + SPANS_PER_WINDOW < number) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|s| s.number != number) {
            self.spans.push_back(Span { number, requests: 0, retries: 0 });
        }
        let last_index = self.spans.len() - 1;
        &mut self.spans[last_index]
    }
}
