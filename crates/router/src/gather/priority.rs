//! Priorities and fairness between customers: the queue limit of a request, and how requests end.

use eelgrasspier_decide::admission::{Candidate, GroupKey, QueueLimit, RequestEnd};
use eelgrasspier_decide::rendezvous;

use super::Gather;
use super::shard::ShardState;

/// Time after the target within which an answer still counts as in time, in milliseconds.
///
/// An answer that lacks some shards goes out at the first wake-up after the target.
const LATE_TOLERANCE_MS: u64 = 5;

/// Admitted request whose end is to be recorded.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedRequest {
    group: GroupKey,
    /// Time to its target when it was admitted, in milliseconds.
    left_ms: f64,
}

impl Gather<'_> {
    /// Returns the queue limit of the request, or of a part of it.
    pub(super) fn queue_limit(
        &self,
        left_ms: f64,
        has_all_shards: bool,
        now_ms: u64,
    ) -> QueueLimit {
        let Some(first) = self.shards.first() else { return QueueLimit::USUAL };
        let priorities = self.router.priorities.borrow();
        let candidate = self.candidate(left_ms);
        if has_all_shards {
            priorities.limit(self.group(), &candidate, self.chance(), now_ms)
        } else {
            priorities.part_limit(&first.service, &candidate, self.chance(), now_ms)
        }
    }

    /// Records that a whole request is admitted or refused.
    pub(super) fn record_plan(&mut self, left_ms: f64, is_admitted: bool, now_ms: u64) {
        let group = self.group();
        let candidate = self.candidate(left_ms);
        let services = self.shards.iter().map(|s| &*s.service);
        let mut priorities = self.router.priorities.borrow_mut();
        priorities.record_start(group, services, &candidate, now_ms);
        if !is_admitted {
            priorities.record_end(group, &candidate, RequestEnd::Refused, now_ms);
        }
        drop(priorities);
        self.tracked = is_admitted.then_some(TrackedRequest { group, left_ms });
    }

    /// Records the end of an admitted request.
    pub(super) fn record_end(&mut self) {
        let Some(TrackedRequest { group, left_ms }) = self.tracked.take() else { return };
        let now_ms = self.router.shared.now_ms();
        let covered = self.shards.iter().filter(|s| s.state == ShardState::Covered).count();
        let is_in_time = now_ms <= self.deadlines.target_at_ms + LATE_TOLERANCE_MS;
        // A client error is the answer to this request, not a sign of overload.
        let is_client_error =
            self.gathered.failure.as_ref().is_some_and(|reply| reply.status.is_client_error());
        let is_answered = covered >= self.required_shards || is_client_error;
        let end = if is_answered && is_in_time { RequestEnd::Served } else { RequestEnd::Late };
        let mut priorities = self.router.priorities.borrow_mut();
        priorities.record_end(group, &self.candidate(left_ms), end, now_ms);
    }

    pub(super) fn candidate(&self, left_ms: f64) -> Candidate<'_> {
        Candidate {
            priority: self.route.priority,
            customer: self.request.customer.as_deref(),
            left_ms,
            typical_ms: self.timing.typical_ms,
        }
    }

    fn group(&self) -> GroupKey {
        GroupKey::of(self.shards.iter().map(|s| &*s.service))
    }

    /// Returns a number from 0 to 1 that is the same for the request at all instances.
    fn chance(&self) -> f64 {
        let hash = rendezvous::hash(self.request.id_text());
        let high = u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX);
        f64::from(high) / f64::from(u32::MAX)
    }
}
