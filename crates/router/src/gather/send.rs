//! Sends to replicas: choice of the replica, hedges and retries.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::prelude::Verdict;
use tokio::sync::mpsc;

use super::send_permission::Permission;
use super::shard::{Shard, ShardState};
use super::{CONNECTION_RETRY_MS, Event, Gather};
use crate::backend::Attempt;
use crate::cold_limiter::ColdAdmission;
use crate::model::Request;
use crate::retry_pool::{ExtraSend, PoolAdmission, PoolAsk};
use crate::router::Router;

/// Interval at which a postponed hedge is reconsidered, in milliseconds.
///
/// It is a fraction of the time for which a request occupies a slot.
const HEDGE_RECHECK_MS: u64 = 10;

/// Used fraction of the retry budget from which hedges are no longer sent.
///
/// Without a retry a rejected shard is lost, while a late one usually answers without a hedge.
const MAX_HEDGE_BUDGET_USED: f64 = 0.75;

/// Cause of a hedge in log lines and metrics.
const HEDGE_CAUSE: &str = "hedge";

impl<'a> Gather<'a> {
    /// Returns the replicas to which a shard's request may still be sent.
    pub(super) fn eligible_replicas(
        &self,
        shard: &Shard,
    ) -> impl Iterator<Item = &'a Arc<ReplicaEntry>> {
        let has_attempts = shard.used_attempts() < self.route.attempts.max(1);
        let eligible = self.replicas(&shard.service).filter(move |_| has_attempts);
        let eligible =
            eligible.filter(|r| shard.allows(r)).filter(|r| !shard.tried.contains(&r.id));
        eligible.filter(|r| self.may_send_to(r))
    }

    /// True if a replica is warm, or is cold and may receive one more request.
    ///
    /// A request with many shards asks another instance for permission only for a shard without a
    /// warm replica; for the other shards a cold replica has no advantage.
    fn may_send_to(&self, replica: &ReplicaEntry) -> bool {
        match self.router.cold_admission(&self.current_view, replica) {
            ColdAdmission::Unlimited | ColdAdmission::CountedHere => true,
            ColdAdmission::AskCoordinator(_) if self.shards.len() == 1 => true,
            ColdAdmission::AskCoordinator(_) => {
                self.replicas(&replica.service).all(|r| !self.may_send_directly(r))
            }
            ColdAdmission::Denied => false,
        }
    }

    /// Returns the cheapest replica with a free connection.
    ///
    /// Returns none if that replica would be late and a cheaper one has no free connection, because
    /// one becomes free soon. Without this rule a third of the parts of a shard with one slow
    /// replica were sent there whenever the connections to the other one were in use, and took over
    /// a second.
    fn pick_replica(&self, shard: &Shard) -> Option<&'a Arc<ReplicaEntry>> {
        let budget_used = self.router.retry_budget_used(&shard.service, shard.slack_share);
        let cost_ms = |r: &Arc<ReplicaEntry>| {
            let needs_permission = matches!(
                self.router.cold_admission(&self.current_view, r),
                ColdAdmission::AskCoordinator(_)
            );
            let permission_ms = if needs_permission { self.timing.target_ms } else { 0.0 };
            self.router.cost_ms(r, &self.timing, budget_used) + permission_ms
        };
        let costs: Vec<_> = self.eligible_replicas(shard).map(|r| (cost_ms(r), r)).collect();
        let has_capacity = |r: &ReplicaEntry| {
            let max_connections =
                self.view.connection_share(&r.zone, shard.replica_connection_limit);
            self.router.backend.has_capacity(&r.id, max_connections)
        };
        let free = costs.iter().filter(|(_, r)| has_capacity(r));
        let (cost_ms, replica) = *free.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let is_best = costs.iter().all(|(other_ms, _)| *other_ms >= cost_ms);
        (is_best || self.meets_target(replica)).then_some(replica)
    }

    pub(super) fn send_first(&mut self, index: usize) {
        self.router.record_request(&self.shards[index].service);
        self.send(index);
    }

    pub(super) fn send_all_for_peer(&mut self, is_retry: bool) {
        for index in 0..self.shards.len() {
            if self.shards[index].state == ShardState::Pending {
                self.send_for_peer(index, is_retry);
            }
        }
    }

    pub(super) fn send_for_peer(&mut self, index: usize, is_retry: bool) {
        if !is_retry {
            self.send_first(index);
        } else if !self.resend(index, "relay_lost") {
            self.fail_if_idle(index);
        }
    }

    /// Sends a shard's request to the best remaining replica; returns false if none is left.
    pub(super) fn send(&mut self, index: usize) -> bool {
        let now_ms = self.router.shared.now_ms();
        let Some(replica) = self.pick_replica(&self.shards[index]).cloned() else {
            if self.awaits_connection(index) {
                self.shards[index].hedge_at_ms = Some(now_ms + CONNECTION_RETRY_MS);
                return true;
            }
            self.fail_if_idle(index);
            return false;
        };
        match self.check_send(index, &replica, now_ms) {
            Permission::Now => {}
            Permission::Later => {
                self.shards[index].hedge_at_ms = Some(now_ms + CONNECTION_RETRY_MS);
                return true;
            }
            Permission::Never => {
                self.fail_if_idle(index);
                return false;
            }
        }
        self.spawn_send(index, replica, now_ms);
        true
    }

    /// Starts a send to `replica` without further checks.
    fn spawn_send(&mut self, index: usize, replica: Arc<ReplicaEntry>, now_ms: u64) {
        let dispatched = self.begin_send();
        let shard = &mut self.shards[index];
        let pool_ask = shard.pool_ask.take();
        let hedge_delay_ms = self.router.hedge_delay_ms(shard.slack_share, &self.timing, &replica);
        let can_hedge = self.route.is_idempotent && shard.tried.is_empty();
        shard.tried.push(Arc::clone(&replica.id));
        shard.in_flight += 1;
        shard.hedge_at_ms = can_hedge.then_some(now_ms + hedge_delay_ms);
        self.gathered.cross_zone_sends += u32::from(replica.zone != self.router.zone);
        let left_ms = self.deadlines.limit_at_ms.saturating_sub(now_ms);
        let attempt = Attempt {
            dispatched: dispatched.clone(),
            max_connections: self
                .view
                .connection_share(&replica.zone, shard.replica_connection_limit),
            replica: Arc::clone(&replica),
            request: Rc::clone(self.request),
            time_left: Duration::from_millis(left_ms),
            keep_alive: self.view.uses_keep_alive(),
            is_idempotent: self.route.is_idempotent,
        };
        let event_sender = self.event_sender.clone();
        let state = Rc::clone(&self.route_state);
        let admission = self.router.cold_admission(&self.current_view, &replica);
        if admission == ColdAdmission::CountedHere
            && self.router.try_take_cold_send(&self.current_view, &replica)
        {
            self.gathered.cold_sends += 1;
        }
        let (router, request) = (Rc::clone(self.router), Rc::clone(self.request));
        let send_future = Rc::clone(self.router).send(attempt, state, self.timing.typical_ms);
        self.tasks.sends.push(actix_rt::spawn(async move {
            if let Some(ask) = pool_ask {
                let granted = ask_pool(&router, &ask, &replica, &request, &event_sender).await;
                if granted != Some(true) {
                    router.end_trial(&request, &replica);
                    if granted == Some(false) {
                        let (replica, is_hedge) = (Arc::clone(&replica.id), ask.purpose.is_hedge);
                        let event = Event::Unpaid { shard: index, replica, is_hedge };
                        drop(event_sender.send(event));
                    }
                    return;
                }
            }
            let is_allowed = match &admission {
                ColdAdmission::AskCoordinator(coordinator) => {
                    router.request_cold_send(coordinator, &replica, &request).await
                }
                _ => true,
            };
            let result = if is_allowed {
                send_future.await
            } else {
                Err(PartFailure::NotReached("no permission to send to the cold replica".to_owned()))
            };
            if result.as_ref().is_err_and(|failure| failure.verdict() == Verdict::NotRun) {
                dispatched.clear();
            }
            let replica = Arc::clone(&replica.id);
            // The receiver is closed once the request has been answered.
            let _is_closed =
                event_sender.send(Event::Send { shard: index, replica, result }).is_err();
        }));
    }

    /// True if a shard has nothing in flight only because all connections are in use.
    fn awaits_connection(&self, index: usize) -> bool {
        let shard = &self.shards[index];
        shard.in_flight == 0 && self.eligible_replicas(shard).next().is_some()
    }

    pub(super) fn send_due_hedges(&mut self, now_ms: u64) {
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.hedge_at_ms.is_none_or(|at| at > now_ms) {
                continue;
            }
            shard.hedge_at_ms = None;
            if shard.state != ShardState::Pending {
                continue;
            }
            if self.awaits_connection(index) {
                self.send(index);
            } else if self.are_hedges_held() {
                self.postpone_hedge(index, now_ms);
            } else if self.has_slot_for_hedge(index) && self.has_budget_for_hedge(index) {
                self.resend(index, HEDGE_CAUSE);
            } else {
                self.postpone_hedge(index, now_ms);
            }
        }
    }

    /// True if a hedge would find a free slot; without one it only lengthens the queue.
    fn has_slot_for_hedge(&self, index: usize) -> bool {
        let replica = self.pick_replica(&self.shards[index]);
        replica.is_some_and(|r| self.router.estimate(r, &self.timing, 0.0).wait_ms <= 0.0)
    }

    /// True if enough retry budget is left for retries after a hedge.
    ///
    /// An instance without slack then asks the owner of the service's pool.
    fn has_budget_for_hedge(&self, index: usize) -> bool {
        let Shard { service, slack_share, .. } = &self.shards[index];
        let purpose = ExtraSend { cause: HEDGE_CAUSE, is_hedge: true };
        self.has_own_budget_for_hedge(index)
            || (slack_share.is_none()
                && self.router.may_use_pool(&self.current_view, service, purpose))
    }

    /// True if enough of this instance's own budget is left for retries after a hedge.
    fn has_own_budget_for_hedge(&self, index: usize) -> bool {
        let Shard { service, slack_share, .. } = &self.shards[index];
        self.router.retry_budget_used(service, *slack_share) < MAX_HEDGE_BUDGET_USED
    }

    /// Schedules another check, because a slot may become free soon.
    fn postpone_hedge(&mut self, index: usize, now_ms: u64) {
        let at_ms = now_ms + HEDGE_RECHECK_MS;
        if at_ms < self.deadlines.target_at_ms {
            self.shards[index].hedge_at_ms = Some(at_ms);
        }
    }

    /// True if a replica is expected to answer within the target; otherwise a hedge is useless.
    fn meets_target(&self, replica: &ReplicaEntry) -> bool {
        self.answers_before(replica, self.deadlines.target_at_ms)
    }

    /// True if a replica is expected to answer before `at_ms`.
    fn answers_before(&self, replica: &ReplicaEntry, at_ms: u64) -> bool {
        let answer_ms = self.router.estimate(replica, &self.timing, 0.0).answer_ms;
        let left_ms = at_ms.saturating_sub(self.router.shared.now_ms());
        answer_ms <= f64::from(u32::try_from(left_ms).unwrap_or(u32::MAX))
    }

    /// Sends a shard's request again if the answer would be in time and the retry budget allows it.
    pub(super) fn resend(&mut self, index: usize, cause: &'static str) -> bool {
        let Some(replica) = self.pick_replica(&self.shards[index]) else { return false };
        if !self.meets_target(replica) {
            metrics::counter!("eelgrasspier_repeats_saved_total", "cause" => cause).increment(1);
            return false;
        }
        let spare_ms = self.spare_ms(replica, self.deadlines.target_at_ms);
        self.resend_within_budget(index, cause, spare_ms)
    }

    /// Sends a shard's request again after the target, if an answer is due before the deadline.
    pub(super) fn resend_late(&mut self, index: usize) -> bool {
        let Some(replica) = self.pick_replica(&self.shards[index]) else { return false };
        let spare_ms = self.spare_ms(replica, self.deadlines.limit_at_ms);
        self.answers_before(replica, self.deadlines.limit_at_ms)
            && self.resend_within_budget(index, "late", spare_ms)
    }

    /// Returns the time by which a send may be delayed for an answer before `at_ms`, in
    /// milliseconds.
    fn spare_ms(&self, replica: &ReplicaEntry, at_ms: u64) -> u64 {
        let answer_ms = self.router.estimate(replica, &self.timing, 0.0).answer_ms;
        let answer_time = Duration::try_from_secs_f64(answer_ms / 1000.0).unwrap_or(Duration::MAX);
        let left_ms = at_ms.saturating_sub(self.router.shared.now_ms());
        let spare = Duration::from_millis(left_ms).saturating_sub(answer_time);
        u64::try_from(spare.as_millis()).unwrap_or(u64::MAX)
    }

    /// Sends a shard's request again if the retry budget or the service's pool allows it.
    ///
    /// If another instance owns the pool, it is asked just before the send; see
    /// [`Self::on_unpaid_send`] for a denial. `spare_ms` is the time left for that.
    fn resend_within_budget(&mut self, index: usize, cause: &'static str, spare_ms: u64) -> bool {
        let shard = &self.shards[index];
        let (service, slack_share) = (Arc::clone(&shard.service), shard.slack_share);
        let purpose = ExtraSend { cause, is_hedge: cause == HEDGE_CAUSE };
        let may_use_own = !purpose.is_hedge || self.has_own_budget_for_hedge(index);
        let paid = if may_use_own && self.router.try_take_retry(&service, slack_share) {
            "yes"
        } else if slack_share.is_none() {
            let (router, view) = (self.router, &self.current_view);
            match router.pool_admission(view, &service, self.request, purpose, spare_ms) {
                PoolAdmission::Taken => "pool",
                PoolAdmission::Ask(ask) => return self.send_after_asking(index, ask),
                PoolAdmission::Denied => "no",
            }
        } else {
            "no"
        };
        record_extra_send(self.request, &service, cause, paid);
        if paid == "no" {
            self.gathered.denied_extra_sends += 1;
            return false;
        }
        // A send that was postponed before the owner was asked is replaced by this one.
        self.shards[index].pool_ask = None;
        self.gathered.extra_sends += 1;
        self.send(index)
    }

    /// Sends a shard's request again once the owner of the pool has granted it.
    fn send_after_asking(&mut self, index: usize, ask: PoolAsk) -> bool {
        self.shards[index].pool_ask = Some(ask);
        // If nothing is sent now, the question remains due before a later send.
        let is_started = self.send(index);
        self.gathered.extra_sends += u32::from(is_started);
        is_started
    }
}

/// Asks the owner of the pool for an extra send to `replica`.
///
/// Returns `None` if the request was answered or given up while the owner was asked.
async fn ask_pool(
    router: &Router,
    ask: &PoolAsk,
    replica: &ReplicaEntry,
    request: &Request,
    event_sender: &mpsc::UnboundedSender<Event>,
) -> Option<bool> {
    let is_granted = router.request_retry_token(ask, &replica.service, request).await;
    if event_sender.is_closed() {
        return None;
    }
    let paid = if is_granted { "pool" } else { "no" };
    record_extra_send(request, &replica.service, ask.purpose.cause, paid);
    Some(is_granted)
}

/// Logs and counts an extra send, or one that was not paid for and therefore not sent.
fn record_extra_send(request: &Request, service: &str, cause: &'static str, paid: &'static str) {
    metrics::counter!("eelgrasspier_repeats_total", "cause" => cause, "paid" => paid).increment(1);
    let id = request.id_text();
    log::info!("event=sent_again id={id} service={service} cause={cause} paid={paid}");
}
