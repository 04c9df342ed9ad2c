//! Results of sends: a shard is covered, retried or failed.

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::prelude::Verdict;

use super::shard::ShardState;
use super::{CONNECTION_RETRY_MS, Event, Gather, MAX_REJECTIONS, MAX_UNRUN_SENDS};
use crate::backend::Reply;

/// Divisor of the shard count that limits how many shards are retried for a late answer.
///
/// With more missing shards the retry would cost nearly as much as a new request.
const MAX_LATE_DIVISOR: usize = 16;

impl Gather<'_> {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Send { shard, replica, result } => {
                self.shards[shard].in_flight -= 1;
                match result {
                    Ok(reply) if reply.status.is_success() => self.mark_covered(shard, reply),
                    Ok(reply) => self.on_replica_error(shard, &replica, reply),
                    Err(failure) => self.on_send_error(shard, &replica, &failure),
                }
            }
            Event::Unpaid { shard, replica, is_hedge } => {
                self.shards[shard].in_flight -= 1;
                self.on_unpaid_send(shard, &replica, is_hedge);
            }
            Event::Relay(relay_result) => self.on_relay_result(relay_result),
            Event::Probed { peer, shards, is_alive } => {
                self.on_probe_result(&peer, &shards, is_alive);
            }
        }
    }

    fn mark_covered(&mut self, index: usize, reply: Reply) {
        self.gathered.may_have_run = true;
        let shard = &mut self.shards[index];
        if shard.state != ShardState::Covered {
            shard.state = ShardState::Covered;
            self.gathered.replies.push((index, reply));
        }
    }

    /// Handles an error status: the replica ran the request.
    fn on_replica_error(&mut self, index: usize, replica: &str, reply: Reply) {
        self.log_failure(replica, index, "status", reply.status.as_str());
        self.gathered.may_have_run = true;
        let is_final = reply.status.is_client_error() || !self.route.is_idempotent;
        self.gathered.failure = Some(reply);
        if is_final {
            self.mark_failed(index);
        } else {
            self.retry(index, true);
        }
    }

    /// Handles a send without a usable answer.
    fn on_send_error(&mut self, index: usize, replica: &str, failure: &PartFailure) {
        if *failure == PartFailure::Crowded {
            return self.schedule_connection_retry(index, replica);
        }
        self.log_failure(replica, index, failure.kind(), &failure.to_string());
        let may_have_run = failure.verdict() == Verdict::MayHaveRun;
        self.gathered.may_have_run |= may_have_run;
        if !may_have_run {
            self.trials.retract(replica);
        }
        if matches!(failure, PartFailure::Shed(_)) {
            self.shards[index].record_rejection(replica);
        } else if !may_have_run {
            self.shards[index].not_run += 1;
        }
        // A misdirected send reached a replica of another service.
        let has_arrived = !matches!(
            failure,
            PartFailure::NotReached(_) | PartFailure::NotListening | PartFailure::Misdirected
        );
        if may_have_run && !self.route.is_idempotent {
            self.mark_failed(index);
        } else {
            self.retry(index, has_arrived);
        }
    }

    /// Handles an extra send that the retry pool did not pay for.
    ///
    /// The replica was not contacted. The denial itself is no reason to send again, but if the
    /// first send has failed during the question for a hedge, its retry is still due.
    fn on_unpaid_send(&mut self, index: usize, replica: &str, is_hedge: bool) {
        self.gathered.extra_sends = self.gathered.extra_sends.saturating_sub(1);
        self.gathered.denied_extra_sends += 1;
        self.trials.retract(replica);
        let shard = &mut self.shards[index];
        shard.tried.retain(|tried| **tried != *replica);
        if is_hedge && shard.in_flight == 0 {
            self.retry(index, true);
        } else {
            self.mark_late_if_idle(index);
        }
    }

    /// Schedules another attempt after concurrent requests have used the last free connections.
    fn schedule_connection_retry(&mut self, index: usize, replica: &str) {
        let retry_at_ms = self.router.shared.now_ms() + CONNECTION_RETRY_MS;
        let shard = &mut self.shards[index];
        shard.tried.retain(|tried| **tried != *replica);
        shard.hedge_at_ms = Some(shard.hedge_at_ms.map_or(retry_at_ms, |at| at.min(retry_at_ms)));
    }

    fn mark_failed(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if shard.state == ShardState::Pending {
            shard.state = ShardState::Failed;
        }
    }

    /// Retries a shard after a failed send.
    ///
    /// Uses retry budget only if that send has arrived at the service.
    pub(super) fn retry(&mut self, index: usize, has_arrived: bool) {
        let shard = &self.shards[index];
        let is_over = self.router.shared.now_ms() >= self.deadlines.limit_at_ms;
        if shard.state != ShardState::Pending || is_over {
            return;
        }
        let max_sends = self.route.attempts.max(1) + MAX_UNRUN_SENDS;
        let is_exhausted = shard.tried.len() >= max_sends || shard.rejections > MAX_REJECTIONS;
        let has_sent = if is_exhausted {
            false
        } else if has_arrived {
            self.resend(index, "retry")
        } else {
            self.send(index)
        };
        if !has_sent {
            self.mark_late_if_idle(index);
        }
    }

    /// Marks an idle shard as late if it may still be retried, otherwise as failed.
    fn mark_late_if_idle(&mut self, index: usize) {
        let has_replica = self.eligible_replicas(&self.shards[index]).next().is_some();
        if self.required_shards == 0 || self.has_retried_late || !has_replica {
            return self.fail_if_idle(index);
        }
        let shard = &mut self.shards[index];
        if shard.in_flight == 0 && shard.state == ShardState::Pending {
            shard.state = ShardState::Late;
        }
    }

    /// Retries late shards once, if a few of them are enough to complete the answer.
    ///
    /// Otherwise an answer that lacked one shard of 83 failed at its target with five times as much
    /// time left until the deadline. The caller then retried and all shards ran a second time.
    pub(super) fn retry_late_shards(&mut self, now_ms: u64) {
        let count = |state| self.shards.iter().filter(|s| s.state == state).count();
        let [late, pending, covered] =
            [ShardState::Late, ShardState::Pending, ShardState::Covered].map(count);
        let is_due = pending == 0 || now_ms >= self.deadlines.target_at_ms;
        if late == 0 || !is_due || covered >= self.required_shards {
            return;
        }
        self.has_retried_late = true;
        let max_retried = self.shards.len() / MAX_LATE_DIVISOR + 1;
        let can_complete = covered + pending + late >= self.required_shards
            && covered + pending + max_retried >= self.required_shards;
        for index in 0..self.shards.len() {
            if self.shards[index].state == ShardState::Late {
                self.shards[index].state = ShardState::Pending;
                if !can_complete || !self.resend_late(index) {
                    self.fail_if_idle(index);
                }
            }
        }
    }

    /// Marks a shard as failed if nothing is in flight.
    pub(super) fn fail_if_idle(&mut self, index: usize) {
        if self.shards[index].in_flight == 0 {
            self.mark_failed(index);
        }
    }

    fn log_failure(&self, replica: &str, shard: usize, kind: &'static str, cause: &str) {
        let id = self.request.id_text();
        let service = &self.shards[shard].service;
        let fingerprint = self.request.fingerprint();
        metrics::counter!("eelgrasspier_failed_sends_total", "kind" => kind).increment(1);
        log::info!(
            "event=send_failed id={id} fingerprint={fingerprint} service={service} \
             replica={replica} cause=\"{cause}\""
        );
    }
}
