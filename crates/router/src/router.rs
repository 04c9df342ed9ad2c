//! State of the traffic thread (replica statistics, retry budgets, latencies) and request routing.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::admission::PriorityTracker;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::lost_sends::LostSends;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_decide::regions::Regions;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::replica_stats::ReplicaStats;
use eelgrasspier_decide::retry_budget::{RetryBudget, RetryLimits, SlackShare};
use eelgrasspier_decide::route::{Route, Target};
use eelgrasspier_decide::wait_policy;
use eelgrasspier_peer::PeerConnections;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::authentication::Authentication;
use crate::backend::{Attempt, Backend, Reply};
use crate::cold_limiter::ColdLimiter;
use crate::customer_limiter::CustomerLimiter;
use crate::gather::{Deadlines, Gather, Requester};
use crate::log_budget::LogBudget;
use crate::model::{Outcome, Request};
use crate::outcome::{limit_retry_delay, merged_outcome, record_outcome, single_outcome};
use crate::quarantine_state::QuarantineState;
use crate::retry_pool::RetryPool;
use crate::route_state::{RouteState, Timing};
use crate::traffic_metrics::{self, TrafficCause};
use crate::view::{SharedState, View};

/// Minimum retry delay sent to callers while no configuration is loaded.
///
/// An instance that starts with the store available has read the configuration within 30 ms.
const MIN_NOT_READY_RETRY_MS: u64 = 40;
/// Maximum retry delay sent to callers while no configuration is loaded.
///
/// A configuration is loaded within a second after the store becomes available again.
const MAX_NOT_READY_RETRY_MS: u64 = 1_000;
/// Part of the caller's deadline reserved for network transfer and for merging the answer.
const DEADLINE_MARGIN_MS: u64 = 10;
/// Cost, in multiples of the typical latency, at which a peer instance receives no more requests.
pub(crate) const UNHEALTHY_PEER_COST: f64 = 4.0;
/// Requests that a peer instance serves concurrently without queueing.
pub(crate) const PEER_SLOTS: u32 = 8;
/// Divisor of the target latency that gives the cost penalty for a replica in another zone.
///
/// A faster answer has no benefit if a local one meets the target, and traffic between zones is
/// expensive. A fixed penalty of 1.5 times the typical latency sent a quarter of all first sends to
/// other zones, mostly because of a queue of one request.
const CROSS_ZONE_PENALTY_DIVISOR: f64 = 4.0;

/// Map keyed by names from the store.
///
/// The names are trusted, so no protection against hash collisions is needed. Each send does about
/// a dozen look-ups, and the standard hasher took 5 % of the instructions of a send.
pub(crate) type NameMap<T> = HashMap<Arc<str>, T, foldhash::fast::RandomState>;

/// Route of a request, or why it is refused.
struct Admission {
    /// View by which it was decided.
    view: Arc<View>,
    /// Route of the request, even if its API key is refused.
    route: Option<Arc<Route>>,
    result: Result<Arc<Route>, Refusal>,
}

/// State of the traffic thread.
pub struct Router {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) backend: Rc<dyn Backend>,
    pub(crate) zone: Arc<str>,
    /// Hash of this instance's name for rendezvous hashing.
    pub(crate) key: u64,
    pub(crate) peer_connections: PeerConnections,
    limits: Cell<RetryLimits>,
    pub(crate) replica_stats: RefCell<NameMap<Rc<RefCell<ReplicaStats>>>>,
    /// Expiry times of replicas that peer instances reported as slow, by replica hash.
    pub(crate) slow_until_ms: RefCell<HashMap<u32, u64>>,
    retry_budgets: RefCell<NameMap<RetryBudget>>,
    pub(crate) retry_pool: RetryPool,
    routes: RefCell<HashMap<Arc<str>, Rc<RouteState>>>,
    pub(crate) lost_sends: RefCell<LostSends>,
    pub(crate) quarantine_state: QuarantineState,
    pub(crate) cold_limiter: ColdLimiter,
    pub(crate) customer_limiter: CustomerLimiter,
    pub(crate) priorities: RefCell<PriorityTracker>,
    pub(crate) priority_lines: LogBudget,
    regions: RefCell<Regions>,
    pub(crate) authentication: Authentication,
    /// True once requests in progress are answered without waiting for replicas.
    is_ending: watch::Sender<bool>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").field("zone", &self.zone).finish_non_exhaustive()
    }
}

impl Router {
    /// Creates the traffic thread's state for the instance `name` in the availability zone `zone`.
    #[must_use]
    pub fn new(
        shared: Arc<SharedState>,
        backend: Rc<dyn Backend>,
        name: &str,
        zone: Arc<str>,
        limits: RetryLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared,
            backend,
            zone,
            key: rendezvous::hash(name),
            // These messages need no ordering, so the clock stamp is constant.
            peer_connections: PeerConnections::new(Rc::new(|| 0)),
            limits: Cell::new(limits),
            replica_stats: RefCell::default(),
            slow_until_ms: RefCell::default(),
            retry_budgets: RefCell::default(),
            retry_pool: RetryPool::default(),
            routes: RefCell::default(),
            lost_sends: RefCell::default(),
            quarantine_state: QuarantineState::default(),
            cold_limiter: ColdLimiter::default(),
            customer_limiter: CustomerLimiter::default(),
            priorities: RefCell::default(),
            priority_lines: LogBudget::default(),
            regions: RefCell::default(),
            authentication: Authentication::default(),
            is_ending: watch::Sender::new(false),
        })
    }

    /// Answers all requests in progress as unfinished, since the process is about to end.
    pub fn end_requests(&self) {
        self.is_ending.send_replace(true);
    }

    async fn ended(&self) {
        // The sender lives as long as this router.
        let _is_closed = self.is_ending.subscribe().wait_for(|is_ending| *is_ending).await.is_err();
    }

    /// Returns the limits for callers from the current configuration.
    #[must_use]
    pub fn caller_limits(&self) -> eelgrasspier_decide::route::CallerLimits {
        let view = self.shared.view.load();
        view.configuration.as_ref().map(|c| c.limits).unwrap_or_default()
    }

    /// Serves one request; dropping the future cancels everything that is in flight.
    pub async fn serve(self: &Rc<Self>, mut request: Request) -> Outcome {
        let Admission { view, route, result } = self.admit(&mut request);
        let request = Rc::new(request);
        let outcome = match result {
            Ok(route) => tokio::select! {
                biased;
                outcome = self.serve_route(&view, &route, &request) => outcome,
                () = self.ended() => {
                    Outcome::Refused(Refusal::may_have_run(RefusalReason::Stopping))
                }
            },
            Err(refusal) => Outcome::Refused(refusal),
        };
        self.finish(&request, route.as_deref(), &view, outcome)
    }

    /// Checks a request whose body has not arrived yet, without running anything.
    ///
    /// Returns the time after its arrival within which it must be answered, in milliseconds, or the
    /// outcome if the request can't be served.
    ///
    /// # Errors
    /// Fails if no configuration is loaded, no route matches or the API key is refused.
    pub fn check(&self, request: &mut Request) -> Result<u64, Box<Outcome>> {
        let Admission { view, route, result } = self.admit(request);
        match result {
            Ok(route) => Ok(request.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms)),
            Err(refusal) => {
                let refused = Outcome::Refused(refusal);
                Err(Box::new(self.finish(request, route.as_deref(), &view, refused)))
            }
        }
    }

    /// Finds the route of a request and checks its API key.
    fn admit(&self, request: &mut Request) -> Admission {
        // Before the view, so that the sources confirm no newer configuration than the view's.
        let sources = self.shared.configuration_sources();
        let view = self.shared.view.load_full();
        let (route, result) = match self.resolve_route(&view, request) {
            Ok(route) => {
                let result = self.authenticate(&view, &sources, &route, request);
                (Some(result.clone().unwrap_or(route)), result)
            }
            Err(refusal) => (None, Err(refusal)),
        };
        Admission { view, route, result }
    }

    /// Records the outcome of a request and returns it with its final retry delay.
    fn finish(
        &self,
        request: &Request,
        route: Option<&Route>,
        view: &View,
        mut outcome: Outcome,
    ) -> Outcome {
        if let (Outcome::Refused(refusal), Some(route)) = (&mut outcome, route) {
            limit_retry_delay(refusal, request, route);
        }
        let name = record_outcome(request, route, view, &outcome);
        self.count_customer_outcome(request, name);
        outcome
    }

    fn resolve_route(&self, view: &View, request: &Request) -> Result<Arc<Route>, Refusal> {
        if !view.is_ready() {
            // The longer the wait has lasted, the longer it is likely to last.
            let retry_after_ms =
                (self.shared.now_ms() / 2).clamp(MIN_NOT_READY_RETRY_MS, MAX_NOT_READY_RETRY_MS);
            return Err(Refusal::not_run(RefusalReason::NotReady, Some(retry_after_ms)));
        }
        let found = view.route_table.find(&request.host, request.path.path());
        let path = || format!("{}{}", request.host, request.path.path());
        found.cloned().ok_or_else(|| Refusal::not_run(RefusalReason::UnknownRoute(path()), None))
    }

    async fn serve_route(
        self: &Rc<Self>,
        view: &Arc<View>,
        route: &Arc<Route>,
        request: &Rc<Request>,
    ) -> Outcome {
        let state = self.route_state(&route.name);
        let services = match &route.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(split) => {
                state.splitter.borrow_mut().next_service(split).into_iter().collect()
            }
            Target::Shards(shards) => shards.to_vec(),
        };
        let total = services.len();
        let deadlines = self.deadlines(view, route, &state, request);
        let gather = Gather::new(self, view, route, state, request, services, deadlines);
        let gathered = gather.run(Requester::Caller).await;
        log::info!("event=gathered id={} {}", request.id_text(), gathered.log_fields());
        match &route.target {
            Target::Shards(_) => merged_outcome(request, route, total, gathered),
            Target::Service(_) | Target::Split(_) => single_outcome(gathered),
        }
    }

    fn deadlines(
        &self,
        view: &View,
        route: &Route,
        state: &RouteState,
        request: &Request,
    ) -> Deadlines {
        let ago_ms = u64::try_from(request.arrived.elapsed().as_millis()).unwrap_or(0);
        let arrived_ms = self.shared.now_ms().saturating_sub(ago_ms);
        let deadline_ms = request.deadline_ms.unwrap_or(route.timeout_ms);
        let earlier_attempts_ms = state.earlier_attempts_ms(deadline_ms);
        let limit_ms = deadline_ms.min(route.timeout_ms);
        let margin_ms = DEADLINE_MARGIN_MS.min(limit_ms / 4);
        let target_ms = match &route.target {
            // A single answer can't be partial, so there is no reason to stop before the deadline.
            Target::Service(_) | Target::Split(_) => limit_ms,
            Target::Shards(_) => {
                let target_ms = route.target_latency_ms;
                let margin_ms = wait_policy::delivery_margin_ms(target_ms, view.capacity_milli);
                wait_policy::effective_target_ms(target_ms, earlier_attempts_ms)
                    .saturating_sub(margin_ms)
            }
        };
        Deadlines {
            target_at_ms: arrived_ms + target_ms,
            limit_at_ms: arrived_ms + limit_ms - margin_ms,
        }
    }

    pub(crate) fn route_state(&self, name: &Arc<str>) -> Rc<RouteState> {
        Rc::clone(self.routes.borrow_mut().entry(Arc::clone(name)).or_default())
    }

    pub(crate) fn stats(&self, id: &Arc<str>) -> Rc<RefCell<ReplicaStats>> {
        Rc::clone(self.replica_stats.borrow_mut().entry(Arc::clone(id)).or_default())
    }

    /// True if another replica is known to have taken over this one's address.
    pub(crate) fn is_replaced(&self, replica: &ReplicaEntry) -> bool {
        let replica_stats = self.replica_stats.borrow();
        replica_stats.get(&replica.id).is_some_and(|s| s.borrow().is_replaced())
    }

    /// Replaces the mapping of availability zones to regions.
    pub fn set_regions(&self, regions: Regions) {
        *self.regions.borrow_mut() = regions;
    }

    /// True if requests with these home regions may be sent to the zone.
    pub(crate) fn is_home(&self, homes: &[Arc<str>], zone: &str) -> bool {
        self.regions.borrow().is_home_zone(homes, zone)
    }

    pub(crate) fn retry_limits(&self) -> RetryLimits {
        self.limits.get()
    }

    /// Replaces the retry budget limits.
    pub(crate) fn set_retry_limits(&self, limits: RetryLimits) {
        self.limits.set(limits);
    }

    /// True if the instances of this zone that gather have not changed for a retry window.
    ///
    /// Until then this instance, or the one whose shards it took over, may have used its part of
    /// the retry slack without that being counted here.
    pub(crate) fn is_established(&self, view: &View) -> bool {
        let changed_at_ms = view.gatherer_stability.changed_at_ms(&self.zone);
        self.limits.get().is_established(changed_at_ms, self.shared.now_ms())
    }

    /// Records a request whose first send goes to `service`, which earns retry budget.
    pub(crate) fn record_request(&self, service: &Arc<str>) {
        let now_ms = self.shared.now_ms();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets
            .entry(Arc::clone(service))
            .or_default()
            .record_request(&self.limits.get(), now_ms);
    }

    /// Returns the delay before a send to `replica` may be hedged, in milliseconds.
    pub(crate) fn hedge_delay_ms(
        &self,
        slack_share: SlackShare,
        timing: &Timing,
        replica: &ReplicaEntry,
    ) -> u64 {
        let wait_ms = Duration::from_secs_f64(self.estimate(replica, timing, 0.0).wait_ms / 1000.0);
        let wait_ms = u64::try_from(wait_ms.as_millis()).unwrap_or(u64::MAX);
        let service = &replica.service;
        let now_ms = self.shared.now_ms();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let retry_budget = retry_budgets.entry(Arc::clone(service)).or_default();
        let is_budget_low = retry_budget.is_half_spent(&self.limits.get(), slack_share, now_ms);
        wait_ms
            + if is_budget_low { timing.low_budget_hedge_delay_ms } else { timing.hedge_delay_ms }
    }

    /// Takes one extra send to `service` from its retry budget; false if the budget is empty.
    pub(crate) fn try_take_retry(&self, service: &Arc<str>, slack_share: SlackShare) -> bool {
        let now_ms = self.shared.now_ms();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let retry_budget = retry_budgets.entry(Arc::clone(service)).or_default();
        retry_budget.try_take(&self.limits.get(), slack_share, now_ms)
    }

    /// Returns the expected latency of one more request, in milliseconds.
    ///
    /// Includes the cross-zone penalty.
    pub(crate) fn cost_ms(&self, replica: &ReplicaEntry, timing: &Timing, budget_used: f64) -> f64 {
        let cross_zone_penalty_ms = if replica.zone == self.zone {
            0.0
        } else {
            timing.target_ms / CROSS_ZONE_PENALTY_DIVISOR
        };
        self.estimate(replica, timing, budget_used).cost_ms + cross_zone_penalty_ms
    }

    /// Returns the used fraction of the retry budget of `service`, from 0 to 1.
    pub(crate) fn retry_budget_used(&self, service: &Arc<str>, slack_share: SlackShare) -> f64 {
        let now_ms = self.shared.now_ms();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let retry_budget = retry_budgets.entry(Arc::clone(service)).or_default();
        retry_budget.spent_fraction(&self.limits.get(), slack_share, now_ms)
    }

    /// Estimates the latency of one more request to `replica`.
    pub(crate) fn estimate(
        &self,
        replica: &ReplicaEntry,
        timing: &Timing,
        budget_used: f64,
    ) -> Estimate {
        let now_ms = self.shared.now_ms();
        let stats = self.stats(&replica.id);
        let stats = stats.borrow();
        let answer_ms = stats.expected_latency_ms(timing.typical_ms, replica.slots, now_ms);
        Estimate {
            answer_ms,
            cost_ms: answer_ms + timing.typical_ms * stats.penalty_cost(budget_used, now_ms),
            wait_ms: stats.expected_wait_ms(timing.typical_ms, replica.slots, now_ms),
        }
    }

    /// Sends one attempt and updates the replica's statistics with the result.
    pub(crate) async fn send(
        self: Rc<Self>,
        attempt: Attempt,
        state: Rc<RouteState>,
        work_ms: f64,
    ) -> Result<Reply, PartFailure> {
        let replica = Arc::clone(&attempt.replica);
        let request = Rc::clone(&attempt.request);
        let replica_stats = self.stats(&replica.id);
        let started = Instant::now();
        let sent_ms = self.shared.now_ms();
        let expected_ms =
            replica_stats.borrow_mut().record_sent_work(work_ms, replica.slots, sent_ms);
        let guard = InFlightGuard { stats: Rc::clone(&replica_stats), sent_ms };
        let mut abandoned = AbandonedSend {
            router: Rc::clone(&self),
            request: Rc::clone(&request),
            replica: Arc::clone(&replica),
            sent_ms,
            deadline_ms: sent_ms + u64::try_from(attempt.time_left.as_millis()).unwrap_or(u64::MAX),
            is_pending: true,
        };
        let is_cross_zone = replica.zone != self.zone;
        traffic_metrics::count(TrafficCause::Replica, is_cross_zone, attempt.request.body.len());
        let result = self.backend.send(attempt).await;
        drop(guard);
        abandoned.is_pending = result == Err(PartFailure::TimedOut);
        drop(abandoned);
        self.end_trial(&request, &replica);
        let took = started.elapsed();
        metrics::histogram!("eelgrasspier_part_seconds").record(took.as_secs_f64());
        let now_ms = self.shared.now_ms();
        let mut replica_stats = replica_stats.borrow_mut();
        match &result {
            Ok(reply) => {
                if !request.progress.is_answered.get() {
                    let replica_hash = rendezvous::hash(&replica.id);
                    self.lost_sends.borrow_mut().record_answer(replica_hash, now_ms);
                }
                self.record_answered(&request);
                traffic_metrics::count(TrafficCause::Replica, is_cross_zone, reply.body.len());
                // The reported load includes the request that was just answered.
                replica_stats
                    .record_reported_load(reply.load.unwrap_or(0).saturating_sub(1), now_ms);
                if reply.status.is_server_error() {
                    replica_stats.record_failure(now_ms);
                } else {
                    replica_stats.record_answer(took.as_secs_f64() * 1000.0, expected_ms, now_ms);
                    // Excludes the estimated time in the replica's queue.
                    let work_time = took.mul_f64(work_ms / expected_ms.max(work_ms));
                    state.record_exchange(work_time, now_ms);
                }
            }
            Err(PartFailure::Shed(report)) => {
                replica_stats.record_reported_load(report.load.unwrap_or(replica.slots), now_ms);
                replica_stats.record_shed(now_ms);
            }
            // The connection limit is local and says nothing about the replica.
            Err(PartFailure::Crowded) => {}
            Err(PartFailure::Misdirected) => {
                log::info!("event=replica_replaced replica={} addr={}", replica.id, replica.addr);
                replica_stats.mark_replaced();
            }
            Err(failure) => {
                replica_stats.record_failure(now_ms);
                if matches!(failure, PartFailure::Lost(_)) {
                    self.record_loss(&request, &replica);
                }
            }
        }
        result
    }
}

/// Returns the key of a peer instance in the map of replica statistics.
pub(crate) fn peer_key(name: &str) -> Arc<str> {
    format!("instance {name}").into()
}

/// Latency estimate for one more request to a replica, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Estimate {
    /// Time until the answer, from the replica's queue and speed.
    pub(crate) answer_ms: f64,
    /// `answer_ms` with a penalty for recent failures and missing answers.
    pub(crate) cost_ms: f64,
    /// Time spent waiting for a slot.
    pub(crate) wait_ms: f64,
}

/// Records a replica's silence when dropped, if a trial or a send at its deadline is still pending.
struct AbandonedSend {
    router: Rc<Router>,
    request: Rc<Request>,
    replica: Arc<ReplicaEntry>,
    sent_ms: u64,
    deadline_ms: u64,
    is_pending: bool,
}

impl Drop for AbandonedSend {
    fn drop(&mut self) {
        // A trial is abandoned once it counts as inconclusive.
        let is_trial = self.request.progress.trial_on(&self.replica.id).is_some();
        let is_due = self.router.shared.now_ms() + DEADLINE_MARGIN_MS >= self.deadline_ms;
        if self.is_pending && (is_due || is_trial) {
            self.router.record_silence(&self.request, &self.replica, self.sent_ms);
        }
    }
}

/// Counts a request as in flight at a replica until dropped.
pub(crate) struct InFlightGuard {
    stats: Rc<RefCell<ReplicaStats>>,
    sent_ms: u64,
}

impl InFlightGuard {
    pub(crate) fn start(stats: &Rc<RefCell<ReplicaStats>>, now_ms: u64, typical_ms: f64) -> Self {
        stats.borrow_mut().record_sent(now_ms, typical_ms);
        Self { stats: Rc::clone(stats), sent_ms: now_ms }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.stats.borrow_mut().record_end(self.sent_ms);
    }
}
