//! Sends of a shard's request: to whom, and when once more.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_backend::{Offered, PartFailure};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::prelude::Verdict;

use super::caution::Permission;
use super::shard::{Shard, ShardState};
use super::{Gather, Landed, ROOM_RETRY_MS};
use crate::backend::Attempt;
use crate::cold::Leave;

/// Time between two looks whether a second send helps, in milliseconds: a fraction of the time
/// that a request holds a slot.
const HEDGE_AGAIN_MS: u64 = 10;

impl<'a> Gather<'a> {
    /// Replicas that a shard's request may still be sent to.
    pub(super) fn open_replicas(
        &self,
        shard: &Shard,
    ) -> impl Iterator<Item = &'a Arc<ReplicaEntry>> {
        let has_attempts = shard.used_attempts() < self.route.attempts.max(1);
        let open = self.replicas(&shard.service).filter(move |_| has_attempts);
        let open = open.filter(|r| shard.allows(r)).filter(|r| !shard.tried.contains(&r.id));
        open.filter(|r| self.may_get_more(r))
    }

    /// Whether a replica is warm, or may get one more request though it is cold.
    ///
    /// Of many shards only one without a warm replica asks another instance for leave: the others
    /// are as well off without.
    fn may_get_more(&self, replica: &ReplicaEntry) -> bool {
        match self.router.leave_for(&self.newest, replica) {
            Leave::Free | Leave::Counted => true,
            Leave::Ask(_) if self.shards.len() == 1 => true,
            Leave::Ask(_) => self.replicas(&replica.service).all(|r| !self.is_open_here(r)),
            Leave::Denied => false,
        }
    }

    /// The best replica for one more send of a shard, of those with a free connection.
    ///
    /// None where those would be late and a better one has no connection free: a moment later
    /// it has. Without this a third of the parts of a shard with one slow replica went there
    /// whenever the connections to the other were in use, to take over a second.
    fn pick(&self, shard: &Shard) -> Option<&'a Arc<ReplicaEntry>> {
        let spent = self.router.spent(&shard.service, self.view);
        let cost_ms = |r: &Arc<ReplicaEntry>| {
            let is_asked = matches!(self.router.leave_for(&self.newest, r), Leave::Ask(_));
            let asking_ms = if is_asked { self.pace.target_ms } else { 0.0 };
            self.router.cost_ms(r, &self.pace, spent) + asking_ms
        };
        let costs: Vec<_> = self.open_replicas(shard).map(|r| (cost_ms(r), r)).collect();
        let has_room = |r: &ReplicaEntry| {
            let most = self.view.most_connections(&r.zone, shard.accepted_connections);
            self.router.backend.has_room(&r.id, most)
        };
        let free = costs.iter().filter(|(_, r)| has_room(r));
        let (cost_ms, replica) = *free.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let is_best = costs.iter().all(|(other_ms, _)| *other_ms >= cost_ms);
        (is_best || self.is_in_time(replica)).then_some(replica)
    }

    pub(super) fn send_first(&mut self, index: usize) {
        self.router.note_request(&self.shards[index].service);
        self.send(index);
    }

    pub(super) fn send_all_for_peer(&mut self, is_repeat: bool) {
        for index in 0..self.shards.len() {
            if self.shards[index].state == ShardState::Open {
                self.send_for_peer(index, is_repeat);
            }
        }
    }

    pub(super) fn send_for_peer(&mut self, index: usize, is_repeat: bool) {
        if !is_repeat {
            self.send_first(index);
        } else if !self.send_again(index, "relay_lost") {
            self.settle(index);
        }
    }

    /// Sends a shard's request to the best replica left; returns whether there was one.
    pub(super) fn send(&mut self, index: usize) -> bool {
        let now_ms = self.router.shared.now_ms();
        let Some(replica) = self.pick(&self.shards[index]).cloned() else {
            if self.is_crowded(index) {
                self.shards[index].hedge_at_ms = Some(now_ms + ROOM_RETRY_MS);
                return true;
            }
            self.settle(index);
            return false;
        };
        match self.judge_send(index, &replica, now_ms) {
            Permission::Now => {}
            Permission::Later => {
                self.shards[index].hedge_at_ms = Some(now_ms + ROOM_RETRY_MS);
                return true;
            }
            Permission::Never => {
                self.settle(index);
                return false;
            }
        }
        self.launch(index, replica, now_ms);
        true
    }

    /// Sends a shard's request to `replica`, whatever speaks against it.
    fn launch(&mut self, index: usize, replica: Arc<ReplicaEntry>, now_ms: u64) {
        let hedge_ms = self.router.hedge_after_ms(self.view, &self.pace, &replica);
        let shard = &mut self.shards[index];
        let can_hedge = self.route.is_idempotent && shard.tried.is_empty();
        shard.tried.push(Arc::clone(&replica.id));
        shard.in_flight += 1;
        shard.hedge_at_ms = can_hedge.then_some(now_ms + hedge_ms);
        self.gathered.far += u32::from(replica.zone != self.router.zone);
        let left_ms = self.times.limit_at_ms.saturating_sub(now_ms);
        let offered = Offered::default();
        self.offers.push(offered.clone());
        let attempt = Attempt {
            offered: offered.clone(),
            most_connections: self.view.most_connections(&replica.zone, shard.accepted_connections),
            replica: Arc::clone(&replica),
            request: Rc::clone(self.request),
            time_left: Duration::from_millis(left_ms),
            is_connection_kept: self.view.keeps_connections(),
            is_idempotent: self.route.is_idempotent,
        };
        let land = self.land.clone();
        let state = Rc::clone(&self.route_state);
        let leave = self.router.leave_for(&self.newest, &replica);
        if leave == Leave::Counted && self.router.take_cold(&self.newest, &replica) {
            self.gathered.cold += 1;
        }
        let (router, request) = (Rc::clone(self.router), Rc::clone(self.request));
        let sending = Rc::clone(self.router).send(attempt, state, self.pace.usual_ms);
        self.flights.sends.push(actix_rt::spawn(async move {
            let is_allowed = match &leave {
                Leave::Ask(keeper) => router.ask_cold(keeper, &replica, &request).await,
                _ => true,
            };
            let result = if is_allowed {
                sending.await
            } else {
                Err(PartFailure::NotReached("it is cold and has got enough".to_owned()))
            };
            if result.as_ref().is_err_and(|failure| failure.verdict() == Verdict::NotRun) {
                offered.clear();
            }
            let replica = Arc::clone(&replica.id);
            // Nobody listens once the answer has gone out.
            let _is_late = land.send(Landed::Send { shard: index, replica, result }).is_err();
        }));
    }

    /// Whether a shard is not on its way, only because all connections are in use.
    fn is_crowded(&self, index: usize) -> bool {
        let shard = &self.shards[index];
        shard.in_flight == 0 && self.open_replicas(shard).next().is_some()
    }

    pub(super) fn hedge_due(&mut self, now_ms: u64) {
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.hedge_at_ms.is_none_or(|at| at > now_ms) {
                continue;
            }
            shard.hedge_at_ms = None;
            if shard.state != ShardState::Open {
                continue;
            }
            if self.is_crowded(index) {
                self.send(index);
            } else if self.is_held_back() {
                self.hedge_later(index, now_ms);
            } else if self.has_slot_for_hedge(index) {
                self.send_again(index, "hedge");
            } else {
                self.hedge_later(index, now_ms);
            }
        }
    }

    /// Whether a hedge would find a free slot: where none is, it makes the queue longer for others.
    fn has_slot_for_hedge(&self, index: usize) -> bool {
        let replica = self.pick(&self.shards[index]);
        replica.is_some_and(|r| self.router.expect(r, &self.pace, 0.0).wait_ms <= 0.0)
    }

    /// Looks again soon whether a second send helps: a slot may be free by then.
    fn hedge_later(&mut self, index: usize, now_ms: u64) {
        let at_ms = now_ms + HEDGE_AGAIN_MS;
        if at_ms < self.times.target_at_ms {
            self.shards[index].hedge_at_ms = Some(at_ms);
        }
    }

    /// Whether a replica is expected to answer in time; a second send is worth nothing else.
    fn is_in_time(&self, replica: &ReplicaEntry) -> bool {
        self.is_before(replica, self.times.target_at_ms)
    }

    /// Whether a replica is expected to answer before `at_ms`.
    fn is_before(&self, replica: &ReplicaEntry, at_ms: u64) -> bool {
        let answer_ms = self.router.expect(replica, &self.pace, 0.0).answer_ms;
        let left_ms = at_ms.saturating_sub(self.router.shared.now_ms());
        answer_ms <= f64::from(u32::try_from(left_ms).unwrap_or(u32::MAX))
    }

    /// Sends a shard's request once more, if the budget allows it and it helps.
    pub(super) fn send_again(&mut self, index: usize, cause: &'static str) -> bool {
        let Some(replica) = self.pick(&self.shards[index]) else { return false };
        if !self.is_in_time(replica) {
            metrics::counter!("eelgrasspier_repeats_saved_total", "cause" => cause).increment(1);
            return false;
        }
        self.send_paid(index, cause)
    }

    /// The same for an answer that is late already: the caller still waits for some time.
    pub(super) fn send_late(&mut self, index: usize) -> bool {
        let Some(replica) = self.pick(&self.shards[index]) else { return false };
        self.is_before(replica, self.times.limit_at_ms) && self.send_paid(index, "late")
    }

    fn send_paid(&mut self, index: usize, cause: &'static str) -> bool {
        let shard = &self.shards[index];
        let is_paid = self.router.take_repeat(&shard.service, self.view);
        let paid = if is_paid { "yes" } else { "no" };
        metrics::counter!("eelgrasspier_repeats_total", "cause" => cause, "paid" => paid)
            .increment(1);
        let (id, service) = (self.request.id_text(), &shard.service);
        log::info!("event=sent_again id={id} service={service} cause={cause} paid={paid}");
        if !is_paid {
            self.gathered.unpaid += 1;
            return false;
        }
        self.gathered.repeats += 1;
        self.send(index)
    }
}
