//! Requests under which replicas have ended: whether a send goes out now, later or never.
//!
//! Without this, each shard whose replica has ended is sent to its other replica at once, and a
//! request that ends those that run it takes both of each shard within milliseconds. A request
//! that merely ran beside it loses as many sends in the same moment, and is to be answered all
//! the same: it is tried on one replica, and the rest follows with the first answer.

use std::sync::Arc;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::quarantine::Treatment;

use super::Gather;
use super::shard::ShardState;

/// Replicas on which one request is tried by itself at the most: two ends prove enough, and one
/// trial may bring nothing, such as one at a replica that is paused.
const MAX_TRIALS: usize = 3;
/// Replicas that have lost a request which nobody has answered from which further sends wait
/// until it is known whether they have ended, some milliseconds. One is lost often.
const LOSSES_TO_HOLD: usize = 2;

/// Shards of which one answers before second sends are due, as a rule.
const HEDGE_HOLD_MIN_SHARDS: usize = 4;

/// Whether a send may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permission {
    Now,
    /// Once more is known, which takes milliseconds.
    Later,
    Never,
}

/// Sends of one request to one replica at a time.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// Whether they are made here; the instance that asks for some shards makes them itself.
    pub(super) run_locally: bool,
    /// Replicas that it was tried on.
    replicas: Vec<Arc<str>>,
    /// When the last one counts as without a finding, in milliseconds.
    until_ms: u64,
}

impl Trials {
    /// Takes back a trial whose replica surely did not run the request.
    pub(super) fn retract(&mut self, replica: &str) {
        if let Some(at) = self.replicas.iter().position(|tried| **tried == *replica) {
            self.replicas.swap_remove(at);
            self.until_ms = 0;
        }
    }
}

impl Gather<'_> {
    /// Whether the request is refused since replicas end under it.
    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.treatment(), Treatment::Refused(_))
    }

    /// Whether it is sent to one replica at a time, if at all.
    pub(super) fn is_suspect(&self) -> bool {
        self.treatment() != Treatment::Usual
    }

    /// Whether second sends wait.
    ///
    /// Where none of many shards has answered, no single replica is to blame, and a request that
    /// ends replicas would take the other one of each shard.
    pub(super) fn are_hedges_held(&self) -> bool {
        let is_answered = self.request.learnt.is_answered.get();
        let has_many = self.shards.len() >= HEDGE_HOLD_MIN_SHARDS;
        !is_answered
            && (has_many || self.is_suspect() || self.unresolved_losses() >= LOSSES_TO_HOLD)
    }

    /// Notes for how long it is refused, where it is.
    pub(super) fn record_quarantine(&mut self) {
        if let Treatment::Refused(left_ms) = self.treatment() {
            self.gathered.quarantined_ms = Some(left_ms);
        }
    }

    /// Whether a shard's request may go to `replica`.
    pub(super) fn check_send(
        &mut self,
        index: usize,
        replica: &Arc<ReplicaEntry>,
        now_ms: u64,
    ) -> Permission {
        if self.request.learnt.is_answered.get() {
            return Permission::Now;
        }
        match self.treatment() {
            Treatment::Refused(_) => Permission::Never,
            Treatment::OneByOne if !self.trials.run_locally => Permission::Never,
            Treatment::OneByOne => self.check_trial(index, replica, now_ms),
            Treatment::Usual if self.unresolved_losses() >= LOSSES_TO_HOLD => Permission::Later,
            Treatment::Usual => Permission::Now,
        }
    }

    /// Lets one shard's send out, if nothing else of the request is on its way.
    fn check_trial(
        &mut self,
        index: usize,
        replica: &Arc<ReplicaEntry>,
        now_ms: u64,
    ) -> Permission {
        let in_flight: usize = self.shards.iter().map(|s| s.in_flight).sum();
        let is_trial_pending = in_flight > 0 && now_ms < self.trials.until_ms;
        if is_trial_pending
            || self.unresolved_losses() > 0
            || Some(index) != self.next_trial_shard()
        {
            return Permission::Later;
        }
        if self.trials.until_ms == 0 && in_flight > 0 {
            // What was sent before it became suspect shows as much as a trial.
            self.trials.until_ms = now_ms + self.trial_ms();
            return Permission::Later;
        }
        if self.trials.replicas.len() >= MAX_TRIALS {
            return Permission::Never;
        }
        let trial_ms = self.trial_ms();
        if !self.router.begin_trial(self.request, replica, trial_ms) {
            return Permission::Later;
        }
        self.trials.replicas.push(Arc::clone(&replica.id));
        self.trials.until_ms = now_ms + trial_ms;
        Permission::Now
    }

    /// Longest time in which a trial brings a finding: a replica that has just started is slow to
    /// end as well, and a trial that is given up before proves nothing.
    fn trial_ms(&self) -> u64 {
        self.timing.hedge_delay_ms.max(self.route.target_latency_ms)
    }

    /// The shard that is tried next: another one for each request, so that two that are tried at
    /// the same time meet at the same replica but rarely.
    fn next_trial_shard(&self) -> Option<usize> {
        let fingerprint = self.request.fingerprint();
        let is_waiting = |i: &usize| {
            let shard = &self.shards[*i];
            let is_open = shard.state == ShardState::Pending && shard.in_flight == 0;
            is_open && self.eligible_replicas(shard).next().is_some()
        };
        let waiting = (0..self.shards.len()).filter(is_waiting);
        waiting.min_by_key(|&i| fingerprint.order(&self.shards[i].service))
    }

    fn treatment(&self) -> Treatment {
        self.router.treatment(self.request.fingerprint())
    }

    /// Replicas that have lost it and of which it is not known yet whether they have ended.
    fn unresolved_losses(&self) -> usize {
        self.router.losses.borrow().awaited(self.request.fingerprint())
    }
}
