//! Send permission for requests during which replicas have crashed.
//!
//! Without this check each shard whose replica has crashed is sent to its other replica at once,
//! and a request that crashes the replicas that run it takes down both replicas of each shard
//! within milliseconds. A request that merely ran at the same time loses as many sends and must
//! still be answered: it is tried on one replica, and the remaining shards are sent after the first
//! answer.

use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::quarantine::Treatment;

use super::Gather;
use super::shard::ShardState;

/// Maximum replicas on which one request is tried in isolation.
///
/// Two crashes are sufficient proof, and one trial may be inconclusive, for example on a paused
/// replica. A request that has been paused, or whose silent replicas are being checked, is tried on
/// one only.
const MAX_TRIALS: usize = 3;
/// Number of replicas that have lost an unanswered request from which further sends wait.
///
/// They wait for some milliseconds until it is known whether the replicas have crashed. A single
/// loss is common.
const LOSSES_TO_HOLD: usize = 2;

/// Maximum time for which a failed request waits for its crash checks, in milliseconds.
const MAX_CHECK_WAIT_MS: u64 = 60;
/// Interval at which it is looked whether they have ended.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time in which a report reaches the other instances, also if they are busy.
const REPORT_TIME: Duration = Duration::from_millis(25);

/// Number of shards from which hedges wait for the first answer.
///
/// With this many shards at least one usually answers before hedges are due.
const HEDGE_HOLD_MIN_SHARDS: usize = 4;

/// Decision on a single send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permission {
    Now,
    /// Deferred by some milliseconds until more is known.
    Later,
    Never,
}

/// Isolated trials: sends of one request to one replica at a time.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// True if trials are run here; for a subset of the shards the requesting instance runs them.
    pub(super) run_locally: bool,
    /// Replicas on which the request was tried.
    replicas: Vec<Arc<str>>,
    /// Time at which the latest trial counts as inconclusive, in milliseconds.
    until_ms: u64,
}

impl Trials {
    /// Removes a trial whose replica is known not to have run the request.
    pub(super) fn retract(&mut self, replica: &str) {
        if let Some(at) = self.replicas.iter().position(|tried| **tried == *replica) {
            self.replicas.swap_remove(at);
            self.until_ms = 0;
        }
    }
}

impl Gather<'_> {
    /// True if the request is refused because it crashes replicas, or they all lost it.
    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.treatment(), Treatment::Refused(_) | Treatment::Paused(_))
    }

    /// True if the request is sent to one replica at a time or not at all.
    pub(super) fn is_suspect(&self) -> bool {
        self.treatment() != Treatment::Normal
    }

    /// True if hedges must wait.
    ///
    /// If none of many shards has answered, the cause is not a single replica, and hedging a
    /// request that crashes replicas would take down the second replica of each shard.
    pub(super) fn are_hedges_held(&self) -> bool {
        let is_answered = self.request.progress.is_answered.get();
        let has_many = self.shards.len() >= HEDGE_HOLD_MIN_SHARDS;
        !is_answered
            && (has_many || self.is_suspect() || self.unresolved_losses() >= LOSSES_TO_HOLD)
    }

    /// Records the remaining refusal time if the request is quarantined.
    pub(super) fn record_quarantine(&mut self) {
        match self.treatment() {
            Treatment::Refused(left_ms) => self.gathered.quarantined_ms = Some(left_ms),
            Treatment::Paused(left_ms) => self.gathered.paused_ms = Some(left_ms),
            _ => {}
        }
    }

    /// Decides whether a shard's request may be sent to `replica`.
    pub(super) fn check_send(
        &mut self,
        index: usize,
        replica: &Arc<ReplicaEntry>,
        now_ms: u64,
    ) -> Permission {
        if self.request.progress.is_answered.get() {
            return Permission::Now;
        }
        let treatment = self.treatment();
        let is_normal = treatment == Treatment::Normal;
        match treatment {
            Treatment::Refused(_) | Treatment::Paused(_) => Permission::Never,
            _ if !is_normal && !self.trials.run_locally => Permission::Never,
            Treatment::AwaitsReports(left_ms) if now_ms + left_ms < self.deadlines.limit_at_ms => {
                Permission::Later
            }
            Treatment::AwaitsReports(_) => Permission::Never,
            Treatment::OneReplicaAtATime => self.check_trial(index, replica, now_ms),
            Treatment::Normal if self.unresolved_losses() >= LOSSES_TO_HOLD => Permission::Later,
            Treatment::Normal => Permission::Now,
        }
    }

    /// Permits a trial if nothing else of the request is in flight.
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
            // A send from before the request became suspect is as conclusive as a trial.
            self.trials.until_ms = now_ms + self.trial_ms();
            return Permission::Later;
        }
        if self.trials.replicas.len() >= self.max_trials() {
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

    fn max_trials(&self) -> usize {
        let fingerprint = self.request.fingerprint();
        let has_silences = self.router.lost_sends.borrow().pending_silences(fingerprint) > 0;
        if has_silences || self.router.was_paused(fingerprint) { 1 } else { MAX_TRIALS }
    }

    /// Returns the time after which a trial is inconclusive, in milliseconds.
    ///
    /// A replica that has just started is slow to crash as well, and a trial that is abandoned
    /// before that proves nothing.
    fn trial_ms(&self) -> u64 {
        self.timing.hedge_delay_ms.max(self.route.target_latency_ms)
    }

    /// Returns the shard for the next trial.
    ///
    /// The order depends on the request, so that concurrent trials of two requests rarely use the
    /// same replica.
    fn next_trial_shard(&self) -> Option<usize> {
        let fingerprint = self.request.fingerprint();
        let is_waiting = |i: &usize| {
            let shard = &self.shards[*i];
            let is_pending = shard.state == ShardState::Pending && shard.in_flight == 0;
            is_pending && self.eligible_replicas(shard).next().is_some()
        };
        let waiting = (0..self.shards.len()).filter(is_waiting);
        waiting.min_by_key(|&i| fingerprint.shard_order_key(&self.shards[i].service))
    }

    /// Delays the failure of a request until other instances know of its crashes.
    ///
    /// Its caller sends it to another instance next, within a millisecond.
    pub(super) async fn delay_failure(&self) {
        let progress = &self.request.progress;
        if progress.is_answered.get() || !progress.was_lost.get() {
            return;
        }
        let now_ms = || self.router.shared.now_ms();
        let until_ms = self.deadlines.limit_at_ms.min(now_ms() + MAX_CHECK_WAIT_MS);
        while self.unresolved_losses() > 0 && now_ms() < until_ms {
            tokio::time::sleep(CHECK_POLL_INTERVAL).await;
        }
        if self.trials.run_locally {
            self.router.publish_losses(self.request.fingerprint());
        }
        if self.is_suspect() {
            let left_ms = self.deadlines.limit_at_ms.saturating_sub(now_ms());
            tokio::time::sleep(REPORT_TIME.min(Duration::from_millis(left_ms))).await;
        }
    }

    fn treatment(&self) -> Treatment {
        self.router.treatment(self.request.fingerprint())
    }

    /// Returns the number of replicas that lost the request and are still being probed.
    fn unresolved_losses(&self) -> usize {
        self.router.lost_sends.borrow().pending_checks(self.request.fingerprint())
    }
}
