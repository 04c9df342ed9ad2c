//! Priorities and fairness between customers while a group of services is overloaded.
//!
//! All requests to the same services share their queues. [`plan()`](super::plan()) alone lets a
//! request with a loose target fill the queues beyond what a request with a tight target can wait,
//! so that the more urgent priority is refused first. This module remembers for each group of
//! services how the recent requests of each priority and customer ended, and limits the queue that
//! the next request may wait in.
//!
//! # Why local observation is enough
//!
//! Each gathering instance counts only its own requests, but all of them see the same queues:
//! replicas report their load to each instance, and a queue that is too long for the urgent
//! priority is so at all instances. Callers and delegating instances spread the requests of a
//! priority over the gathering instances of a zone, so each of them sees about the same mixture of
//! priorities and customers, and equal local decisions add up to the same shares as a common one.
//!
//! Two cases are not covered. An instance that sees fewer than [`MIN_LOST`] losses of the urgent
//! priority per second does not react, such as most entry instances of a large fleet for a single
//! service; the number of losses per group and priority would have to be exchanged once per second.
//! A customer whose requests all enter in one zone is compared only with the customers there; the
//! served requests of the heaviest customers per group would have to be exchanged.

use std::collections::HashMap;

use super::plan::{Limits, MAX_EXPECTED_LATENCY_PERCENT, Plan, plan_within};
use super::recent::{RecentCount, SPANS};
use super::shares::{CustomerShares, ServedShare};
use crate::rendezvous;

/// Maximum number of groups of services.
const MAX_GROUPS: usize = 64;
/// Time without requests after which a group is forgotten, in milliseconds.
const GROUP_TTL_MS: u64 = 10_000;
/// Maximum number of priorities per group; the longest unused one is replaced.
const MAX_PRIORITIES: usize = 8;
/// Number of spans in which losses of a more urgent priority restrict the others: one second.
const PRESSURE_SPANS: u64 = SPANS / 2;
/// Minimum number of requests lost to overload that restricts others.
///
/// A single one may be due to a pause or a crash of one replica.
const MIN_LOST: u32 = 2;
/// Divisor of the number of requests that gives the minimum number of lost ones.
///
/// At a high rate a few losses per second are usual.
const MIN_LOST_DIVISOR: u32 = 20;
/// Minimum headroom of a priority that restricts others, in milliseconds.
///
/// With less, no queue is short enough for it. Less urgent requests were then refused wherever a
/// replica was slightly slower than usual.
const MIN_HEADROOM_MS: f64 = 1.0;
/// Part of the urgent priority's longest queue that less urgent requests may fill, in percent.
///
/// Load reports are some milliseconds old and several instances send at once. Without a margin the
/// queue stays near the urgent priority's limit: at 1.5 times the capacity, 63 % of the urgent
/// requests were served in place of 93 %.
const QUEUE_PERCENT: f64 = 50.0;
/// The same for a less urgent priority that is served less than its floor.
const STARVED_QUEUE_PERCENT: f64 = 100.0;
/// Part of the mean served fraction below which a priority is starved.
///
/// Each priority must get a quarter; the rules for a starved one act only once it has fallen below
/// this, and at 0.25 it got 0.24 to 0.26.
const FLOOR: f64 = 0.3;
/// Part of the requests of a priority below its floor that are exempt from restriction.
///
/// Some of them find queues that are too long for themselves: with 0.25, a priority with a tenth
/// of the load got 0.22 of the mean fraction where a more urgent one offered 1.5 times the capacity.
const MAX_EXEMPT: f64 = 0.4;
/// Weight of a new headroom in the moving average; a late retry has less time left than usual.
const HEADROOM_WEIGHT: f64 = 0.25;
/// Part of the time for customers that were served more than their fair share, in percent.
const OVERSERVED_LATENCY_PERCENT: f64 = 50.0;
/// Part of the time for customers that were served less than their fair share, in percent.
///
/// Above 85, more of the admitted requests fail.
const UNDERSERVED_LATENCY_PERCENT: f64 = 80.0;

/// Hash of the names of a group of services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GroupKey(u64);

impl GroupKey {
    /// Returns the key of the group with these services, in any order.
    pub fn of<'a>(services: impl IntoIterator<Item = &'a str>) -> Self {
        let hashes = services.into_iter().map(rendezvous::hash);
        Self(hashes.fold(0, u64::wrapping_add))
    }
}

/// The properties of a request on which its priority decision depends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Priority, where 0 is the most urgent.
    pub priority: u32,
    /// Name of the customer, if there is one.
    pub customer: Option<&'a str>,
    /// Time until the answer is late, in milliseconds.
    pub left_ms: f64,
    /// Typical latency of one exchange without a queue, in milliseconds.
    pub typical_ms: f64,
}

impl Candidate<'_> {
    /// Returns the longest queue that lets the request finish in time, in milliseconds.
    fn headroom_ms(&self) -> f64 {
        (self.left_ms * MAX_EXPECTED_LATENCY_PERCENT / 100.0 - self.typical_ms).max(0.0)
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered in time.
    Served,
    /// It was admitted, and answered late or not at all.
    Late,
    /// It was refused because of overload or by its priority.
    Refused,
}

/// A priority that lost requests and restricts those of others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Protected {
    /// Its priority.
    pub priority: u32,
    /// The longest queue that lets its requests finish in time, in milliseconds.
    pub headroom_ms: f64,
    /// Time until its answers are late, in milliseconds.
    pub left_ms: f64,
    /// Requests of the last second that were refused.
    pub refused: u32,
    /// Requests of the last second that were answered late or failed.
    pub late: u32,
}

/// Limits on the queue of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueLimit {
    /// Part of the remaining time within which a shard must be expected to answer, in percent.
    pub max_latency_percent: f64,
    /// Priority for which the request makes room: a more urgent one that lost requests, or one
    /// that is served less than its floor.
    pub protected: Option<Protected>,
}

impl QueueLimit {
    /// Limit of a request that is restricted neither by priority nor by fairness.
    pub const USUAL: Self =
        Self { max_latency_percent: MAX_EXPECTED_LATENCY_PERCENT, protected: None };
}

/// Decision on a request, with its priority and customer taken into account.
#[derive(Debug, Clone, PartialEq)]
pub enum PriorityPlan {
    /// The decision does not depend on a more urgent priority, or the request is sent.
    Usual(Plan),
    /// The request is refused only because another priority needs the capacity.
    MakesRoom {
        /// The other priority, usually a more urgent one.
        protected: Protected,
        /// Number of shards whose queue is too long for the other priority.
        late_count: usize,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides on a request like [`plan_group`](super::plan_group), within a queue limit.
#[must_use]
pub fn plan_with_priority(
    answer_ms: &[f64],
    (may_miss, may_leave_out): (usize, usize),
    candidate: &Candidate<'_>,
    limit: &QueueLimit,
    jitter: f64,
) -> PriorityPlan {
    let left_ms = candidate.left_ms;
    let own_max_ms = left_ms * limit.max_latency_percent / 100.0;
    let own = Limits { may_miss, may_leave_out, max_expected_ms: own_max_ms, left_ms };
    let Some(protected) = limit.protected else {
        return PriorityPlan::Usual(plan_within(answer_ms, &own, jitter));
    };
    let is_urgent = protected.priority < candidate.priority;
    let queue_percent = if is_urgent { QUEUE_PERCENT } else { STARVED_QUEUE_PERCENT };
    let queue_ms = protected.headroom_ms * queue_percent / 100.0;
    let max_expected_ms = own_max_ms.min(candidate.typical_ms + queue_ms);
    let restricted = Limits { max_expected_ms, ..own };
    let plan = plan_within(answer_ms, &restricted, jitter);
    let Plan::Refuse { late_count, retry_after_ms } = plan else {
        return PriorityPlan::Usual(plan);
    };
    let own_plan = plan_within(answer_ms, &own, jitter);
    if matches!(own_plan, Plan::Refuse { .. }) {
        return PriorityPlan::Usual(own_plan);
    }
    // The retries of a more urgent priority are spread over its remaining time and go first.
    let delay_ms = if is_urgent { to_ms(protected.left_ms) } else { 0 };
    let retry_after_ms = retry_after_ms.saturating_add(delay_ms);
    PriorityPlan::MakesRoom { protected, late_count, retry_after_ms }
}

/// Recent requests of one priority to one group.
#[derive(Debug, Clone)]
struct PriorityCounts {
    priority: u32,
    admitted: RecentCount,
    refused: RecentCount,
    late: RecentCount,
    headroom_ms: f64,
    left_ms: f64,
    used_ms: u64,
}

impl PriorityCounts {
    fn new(priority: u32, candidate: &Candidate<'_>) -> Self {
        Self {
            priority,
            admitted: RecentCount::default(),
            refused: RecentCount::default(),
            late: RecentCount::default(),
            headroom_ms: candidate.headroom_ms(),
            left_ms: candidate.left_ms,
            used_ms: 0,
        }
    }

    /// Returns this priority as one to protect if enough of its requests were lost in the last
    /// second and a shorter queue lets them finish in time.
    fn protected(&self, now_ms: u64) -> Option<Protected> {
        if self.headroom_ms < MIN_HEADROOM_MS {
            return None;
        }
        let Sums { admitted, refused, late } = self.sums(PRESSURE_SPANS, now_ms);
        let min_lost = MIN_LOST.max((admitted + refused) / MIN_LOST_DIVISOR);
        (refused + late >= min_lost).then_some(Protected {
            priority: self.priority,
            headroom_ms: self.headroom_ms,
            left_ms: self.left_ms,
            refused,
            late,
        })
    }

    fn sums(&self, spans: u64, now_ms: u64) -> Sums {
        let [admitted, refused, late] =
            [&self.admitted, &self.refused, &self.late].map(|c| c.sum(spans, now_ms));
        Sums { admitted, refused, late }
    }

    fn is_refused(&self, now_ms: u64) -> bool {
        self.refused.sum(PRESSURE_SPANS, now_ms) >= MIN_LOST
    }
}

/// Numbers of requests in some spans.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    admitted: u32,
    refused: u32,
    late: u32,
}

impl Sums {
    /// Returns the fraction that was answered in time.
    fn served_fraction(&self) -> f64 {
        let all = f64::from(self.admitted + self.refused);
        if all == 0.0 { 1.0 } else { f64::from(self.admitted.saturating_sub(self.late)) / all }
    }
}

/// Recent requests to one group of services.
#[derive(Debug, Clone, Default)]
struct ServiceGroup {
    /// Sorted hashes of the service names; a part of a request is found by one of them.
    services: Box<[u64]>,
    priorities: Vec<PriorityCounts>,
    customers: CustomerShares,
    used_ms: u64,
}

impl ServiceGroup {
    /// Returns the priority for which a request makes room, if there is one.
    ///
    /// It is the one with the least headroom among the more urgent priorities that lost requests
    /// in the last second and those that are served less than the floor.
    /// For a part of a request, only more urgent priorities count.
    fn protected(
        &self,
        priority: u32,
        is_part: bool,
        chance: f64,
        now_ms: u64,
    ) -> Option<Protected> {
        // Most of the time nothing is lost.
        let lossy = || self.priorities.iter().filter_map(|c| Some((c, c.protected(now_ms)?)));
        lossy().next()?;
        let mut all = Sums::default();
        for counts in &self.priorities {
            let Sums { admitted, refused, late } = counts.sums(SPANS, now_ms);
            all.admitted += admitted;
            all.refused += refused;
            all.late += late;
        }
        let floor = FLOOR * all.served_fraction();
        let is_starved = |c: &PriorityCounts| c.sums(SPANS, now_ms).served_fraction() < floor;
        let is_own_starved =
            self.priorities.iter().any(|c| c.priority == priority && is_starved(c));
        // Some of the exempt requests find queues that are too long for themselves, so that a
        // priority may get less than its exempt part.
        if chance < if is_own_starved { MAX_EXEMPT } else { floor } {
            return None;
        }
        let is_starved_other =
            |c: &PriorityCounts| !is_part && c.priority > priority && is_starved(c);
        lossy()
            .filter(|(c, _)| c.priority < priority || is_starved_other(c))
            .map(|(_, protected)| protected)
            .min_by(|a, b| a.headroom_ms.total_cmp(&b.headroom_ms))
    }

    fn max_latency_percent(&self, candidate: &Candidate<'_>, now_ms: u64) -> f64 {
        let is_refused = || {
            self.priorities.iter().any(|c| c.priority == candidate.priority && c.is_refused(now_ms))
        };
        let Some(customer) = candidate.customer.filter(|_| is_refused()) else {
            return MAX_EXPECTED_LATENCY_PERCENT;
        };
        match self.customers.compare(rendezvous::hash(customer), now_ms) {
            ServedShare::Overserved => OVERSERVED_LATENCY_PERCENT,
            ServedShare::Usual => MAX_EXPECTED_LATENCY_PERCENT,
            ServedShare::Underserved => UNDERSERVED_LATENCY_PERCENT,
        }
    }

    fn counts_of(&mut self, candidate: &Candidate<'_>, now_ms: u64) -> &mut PriorityCounts {
        let priority = candidate.priority;
        let index =
            self.priorities.iter().position(|c| c.priority == priority).unwrap_or_else(|| {
                if self.priorities.len() >= MAX_PRIORITIES {
                    let oldest = (0..MAX_PRIORITIES)
                        .min_by_key(|&i| self.priorities[i].used_ms)
                        .unwrap_or(0);
                    self.priorities.swap_remove(oldest);
                }
                self.priorities.push(PriorityCounts::new(priority, candidate));
                self.priorities.len() - 1
            });
        let counts = &mut self.priorities[index];
        counts.used_ms = now_ms;
        counts
    }
}

/// Recent requests of this instance by group of services, priority and customer.
#[derive(Debug, Clone, Default)]
pub struct PriorityTracker {
    groups: HashMap<GroupKey, ServiceGroup>,
}

impl PriorityTracker {
    /// Returns the queue limit of a whole request to a group.
    ///
    /// `chance`, from 0 to 1, must depend on the request only: the instances that are asked for
    /// its parts must decide alike.
    #[must_use]
    pub fn limit(
        &self,
        group: GroupKey,
        candidate: &Candidate<'_>,
        chance: f64,
        now_ms: u64,
    ) -> QueueLimit {
        let Some(group) = self.groups.get(&group) else { return QueueLimit::USUAL };
        QueueLimit {
            max_latency_percent: group.max_latency_percent(candidate, now_ms),
            protected: group.protected(candidate.priority, false, chance, now_ms),
        }
    }

    /// Returns the queue limit of a part of a request, whose services belong to some group.
    ///
    /// Only more urgent priorities restrict it, and none if the gathering instance may have exempted
    /// the request, so that it is not refused in part. That instance has checked the customer's
    /// share.
    #[must_use]
    pub fn part_limit(
        &self,
        service: &str,
        candidate: &Candidate<'_>,
        chance: f64,
        now_ms: u64,
    ) -> QueueLimit {
        if chance < MAX_EXEMPT {
            return QueueLimit::USUAL;
        }
        let hash = rendezvous::hash(service);
        let groups = self.groups.values().filter(|g| g.services.binary_search(&hash).is_ok());
        let protected = groups
            .filter_map(|g| g.protected(candidate.priority, true, chance, now_ms))
            .min_by(|a, b| a.headroom_ms.total_cmp(&b.headroom_ms));
        QueueLimit { protected, ..QueueLimit::USUAL }
    }

    /// Records the start of a whole request, with the time that it has left.
    ///
    /// `services` are the names of the group; they are read only if the group is new.
    pub fn record_start<'a>(
        &mut self,
        group: GroupKey,
        services: impl Iterator<Item = &'a str>,
        candidate: &Candidate<'_>,
        now_ms: u64,
    ) {
        if !self.groups.contains_key(&group) {
            self.make_room(now_ms);
            let mut services: Box<[u64]> = services.map(rendezvous::hash).collect();
            services.sort_unstable();
            self.groups.insert(group, ServiceGroup { services, ..ServiceGroup::default() });
        }
        let Some(group) = self.groups.get_mut(&group) else { return };
        group.used_ms = now_ms;
        let counts = group.counts_of(candidate, now_ms);
        counts.headroom_ms += (candidate.headroom_ms() - counts.headroom_ms) * HEADROOM_WEIGHT;
        counts.left_ms += (candidate.left_ms - counts.left_ms) * HEADROOM_WEIGHT;
        if let Some(customer) = candidate.customer {
            group.customers.record_asked(rendezvous::hash(customer), now_ms);
        }
    }

    /// Records the end of a whole request whose start was recorded.
    pub fn record_end(
        &mut self,
        group: GroupKey,
        candidate: &Candidate<'_>,
        end: RequestEnd,
        now_ms: u64,
    ) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let counts = group.counts_of(candidate, now_ms);
        match end {
            RequestEnd::Served => counts.admitted.add(now_ms),
            RequestEnd::Late => {
                counts.admitted.add(now_ms);
                counts.late.add(now_ms);
            }
            RequestEnd::Refused => counts.refused.add(now_ms),
        }
        if let (RequestEnd::Served, Some(customer)) = (end, candidate.customer) {
            group.customers.record_served(rendezvous::hash(customer), now_ms);
        }
    }

    /// Returns the number of groups.
    #[must_use]
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns true if there are no groups.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Makes room for one more group.
    fn make_room(&mut self, now_ms: u64) {
        self.groups.retain(|_, group| now_ms.saturating_sub(group.used_ms) < GROUP_TTL_MS);
        if self.groups.len() >= MAX_GROUPS {
            let oldest = self.groups.iter().min_by_key(|(_, g)| g.used_ms).map(|(&key, _)| key);
            oldest.and_then(|key| self.groups.remove(&key));
        }
    }
}

fn to_ms(ms: f64) -> u64 {
    let duration = std::time::Duration::try_from_secs_f64(ms / 1_000.0);
    duration.map_or(0, |duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
