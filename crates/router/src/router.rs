//! The traffic thread's state: standings, budgets, latencies; and the way of a request.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::allowance::{Allowance, RepeatLimits};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::hedge::Quantile;
use eelgrasspier_decide::merge::Greatest;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::route::{Dealer, Route, Target};
use eelgrasspier_decide::standing::Standing;
use eelgrasspier_peer::Links;
use tokio::time::Instant;

use crate::backend::{Attempt, Backend, Reply};
use crate::gather::{For, Gather, Gathered, Times};
use crate::model::{Merged, Outcome, Request};
use crate::view::{Shared, View};

/// When to come back to an instance that knows no configuration yet, at first: one that
/// finds the store up has read it within 30 ms.
const LEAST_NOT_READY_RETRY_MS: u64 = 40;
/// The same, at most: it learns a configuration within a second of the store's return.
const MOST_NOT_READY_RETRY_MS: u64 = 1_000;
/// When to come back where no replica is known: the list is a second old at the most.
const NO_REPLICA_RETRY_MS: u64 = 300;
/// Latency that is taken for usual until enough answers were measured, in milliseconds.
const FIRST_USUAL_MS: f64 = 10.0;
/// Answers within this quantile are no reason for a second send.
const HEDGE_PER_MILLE: u32 = 940;
/// The same while the budget for repeats is scarce: then it is kept for replicas that are
/// paused or lost, which make up about a twentieth of all parts.
const SCARCE_HEDGE_PER_MILLE: u32 = 960;
/// The usual latency is the median.
const MEDIAN_PER_MILLE: u32 = 500;
/// Least time before a second send, in milliseconds: less is within the network's noise.
const LEAST_HEDGE_MS: u64 = 4;
/// Share of the target latency before which no second send goes out: an answer within it
/// is in time without one, and second sends cross zones.
const EARLIEST_DIVISOR: u64 = 5;
/// The same while the budget is scarce.
const SCARCE_EARLIEST_DIVISOR: u64 = 4;
/// Share of the target latency after which a second send goes out at the latest, so that
/// the other replica has as long again.
const HEDGE_LATEST_DIVISOR: u64 = 3;
/// Quantile of merged answers after which the instance is asked whether it is alive.
const RELAY_CHECK_PER_MILLE: u32 = 800;
/// Share of the target latency after which that happens at the latest.
const RELAY_TARGET_DIVISOR: u64 = 3;
/// Part of the slack for repeats of the instances that gather, in hundredths, where others
/// do not: nearly all repeats are sent by those who gather.
const GATHERERS_PERCENT: u64 = 80;
/// Connections to a replica that each instance may open whatever the others do.
const LEAST_CONNECTIONS: u32 = 1;
/// Part of a replica's connections for the instances of its own zone, in hundredths; they
/// send it most of its requests, the others hedges only.
const NEAR_PERCENT: u32 = 60;
/// Part for all other instances, in hundredths. Rounding down leaves room for instances
/// that start while connections of others that have just died still count.
const FAR_PERCENT: u32 = 40;
/// Of the instances not heard of yet, one in this many is assumed in any one zone.
const UNKNOWN_IN_ZONE_DIVISOR: u32 = 4;
/// Kept of the target latency for the way to and from the caller and for merging.
const TARGET_MARGIN_MS: u64 = 7;
/// Kept of the caller's deadline for the same.
const DEADLINE_MARGIN_MS: u64 = 10;
/// Cost, in multiples of the usual latency, from which another instance is not asked.
pub(crate) const UNSOUND_PEER_COST: f64 = 4.0;
/// Questions that another instance answers side by side without delay.
pub(crate) const PEER_SLOTS: u32 = 8;
/// Share of the target latency by which a replica in another zone must be expected to
/// answer sooner.
///
/// An answer that is in time anyway gains nothing by coming sooner, and bytes between zones
/// are dear: with a fixed 1.5 times the usual latency in its place a quarter of all first
/// sends crossed zones, mostly around a queue of one.
const FAR_DIVISOR: f64 = 4.0;

/// The traffic thread's state.
pub struct Router {
    pub(crate) shared: Arc<Shared>,
    pub(crate) backend: Rc<dyn Backend>,
    pub(crate) zone: Arc<str>,
    /// Key of this instance in rendezvous order.
    pub(crate) key: u64,
    pub(crate) links: Links,
    limits: RepeatLimits,
    standings: RefCell<HashMap<Arc<str>, Rc<RefCell<Standing>>>>,
    allowances: RefCell<HashMap<Arc<str>, Allowance>>,
    routes: RefCell<HashMap<Arc<str>, Rc<RouteState>>>,
}

/// What is learnt of one route's requests.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    latency: RefCell<Quantile>,
    relay_latency: RefCell<Quantile>,
    dealer: RefCell<Dealer>,
    /// Longest deadline that a caller named: that of its first attempt.
    full_deadline_ms: Cell<u64>,
}

impl RouteState {
    /// The usual latency of one exchange, in milliseconds.
    pub(crate) fn usual_ms(&self) -> f64 {
        let median_us = self.latency.borrow().value_us(MEDIAN_PER_MILLE);
        median_us.map_or(FIRST_USUAL_MS, |us| Duration::from_micros(us).as_secs_f64() * 1000.0)
    }

    /// Time after which a second send may go out, in milliseconds.
    fn hedge_after_ms(&self, target_ms: u64, is_scarce: bool) -> u64 {
        let (per_mille, earliest_ms) = if is_scarce {
            (SCARCE_HEDGE_PER_MILLE, target_ms / SCARCE_EARLIEST_DIVISOR)
        } else {
            (HEDGE_PER_MILLE, target_ms / EARLIEST_DIVISOR)
        };
        let earliest_ms = earliest_ms.max(LEAST_HEDGE_MS);
        let latest_ms = (target_ms / HEDGE_LATEST_DIVISOR).max(LEAST_HEDGE_MS);
        let quantile_us = self.latency.borrow().value_us(per_mille);
        quantile_us.map_or(latest_ms, |us| us.div_ceil(1000).clamp(earliest_ms, latest_ms))
    }

    /// Time after which an instance that gathers is asked whether it answers at all.
    pub(crate) fn relay_check_after_ms(&self, target_ms: u64) -> u64 {
        let latest_ms = (target_ms / RELAY_TARGET_DIVISOR).max(LEAST_HEDGE_MS);
        let quantile_us = self.relay_latency.borrow().value_us(RELAY_CHECK_PER_MILLE);
        quantile_us.map_or(latest_ms, |us| us.div_ceil(1000).clamp(LEAST_HEDGE_MS, latest_ms))
    }

    /// The usual latency of another instance's answer, in milliseconds.
    pub(crate) fn usual_relay_ms(&self) -> f64 {
        let median_us = self.relay_latency.borrow().value_us(MEDIAN_PER_MILLE);
        median_us
            .map_or(2.0 * FIRST_USUAL_MS, |us| Duration::from_micros(us).as_secs_f64() * 1000.0)
    }

    pub(crate) fn note_relay(&self, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.relay_latency.borrow_mut().record(took_us);
    }

    /// Time that the caller has spent on earlier attempts, in milliseconds.
    ///
    /// Callers lower the deadline with each attempt, so the longest one seen tells.
    fn spent_ms(&self, deadline_ms: u64) -> u64 {
        self.full_deadline_ms.set(self.full_deadline_ms.get().max(deadline_ms));
        self.full_deadline_ms.get() - deadline_ms
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").field("zone", &self.zone).finish_non_exhaustive()
    }
}

impl Router {
    /// The state of the traffic thread of the instance `name` in the zone `zone`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        backend: Rc<dyn Backend>,
        name: &str,
        zone: Arc<str>,
        limits: RepeatLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared,
            backend,
            zone,
            key: rendezvous::hash(name),
            // Nobody orders these frames, so they carry no clock stamp.
            links: Links::new(Rc::new(|| 0)),
            limits,
            standings: RefCell::default(),
            allowances: RefCell::default(),
            routes: RefCell::default(),
        })
    }

    /// Bounds on callers, as of the configuration in force.
    #[must_use]
    pub fn caller_limits(&self) -> eelgrasspier_decide::route::CallerLimits {
        let view = self.shared.view.load();
        view.configuration.as_ref().map(|c| c.limits).unwrap_or_default()
    }

    /// Serves one request; dropped, whatever is on its way is cancelled.
    pub async fn serve(self: &Rc<Self>, request: Request) -> Outcome {
        let view = self.shared.view.load_full();
        let version = view.configuration.as_ref().map_or(0, |c| c.version);
        let request = Rc::new(request);
        let (route, outcome) = match self.find(&view, &request) {
            Ok(route) => {
                let outcome = self.serve_on(&view, &route, &request).await;
                (Arc::clone(&route.name), outcome)
            }
            Err(refusal) => ("-".into(), Outcome::Refused(refusal)),
        };
        note_outcome(&request, &route, version, &outcome);
        outcome
    }

    fn find(&self, view: &View, request: &Request) -> Result<Arc<Route>, Refusal> {
        if !view.is_ready() {
            // The longer it has lasted, the longer it is likely to last.
            let retry_after_ms =
                (self.shared.now_ms() / 2).clamp(LEAST_NOT_READY_RETRY_MS, MOST_NOT_READY_RETRY_MS);
            return Err(Refusal::not_run(RefusalReason::NotReady, Some(retry_after_ms)));
        }
        let found = view.table.find(&request.host, request.path.path());
        let path = || format!("{}{}", request.host, request.path.path());
        found.cloned().ok_or_else(|| Refusal::not_run(RefusalReason::UnknownRoute(path()), None))
    }

    async fn serve_on(
        self: &Rc<Self>,
        view: &Arc<View>,
        route: &Arc<Route>,
        request: &Rc<Request>,
    ) -> Outcome {
        let state = self.route_state(&route.name);
        let services = match &route.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(split) => state.dealer.borrow_mut().next(split).into_iter().collect(),
            Target::Shards(shards) => shards.to_vec(),
        };
        let total = services.len();
        let times = self.times(route, &state, request);
        let gather = Gather::new(self, view, route, state, request, services, times);
        let gathered = gather.run(For::Caller).await;
        log::info!("event=gathered id={} {}", request.id_text(), gathered.effort());
        match &route.target {
            Target::Shards(_) => merge(route, total, gathered),
            Target::Service(_) | Target::Split(_) => hand_on(gathered),
        }
    }

    fn times(&self, route: &Route, state: &RouteState, request: &Request) -> Times {
        let ago_ms = u64::try_from(request.arrived.elapsed().as_millis()).unwrap_or(0);
        let arrived_ms = self.shared.now_ms().saturating_sub(ago_ms);
        let deadline_ms = request.deadline_ms.unwrap_or(route.timeout_ms);
        let spent_ms = state.spent_ms(deadline_ms);
        let limit_ms = deadline_ms.min(route.timeout_ms);
        let margin_ms = DEADLINE_MARGIN_MS.min(limit_ms / 4);
        let target_ms = match &route.target {
            // One answer is all or nothing, so that there is nothing to stop short of.
            Target::Service(_) | Target::Split(_) => limit_ms,
            Target::Shards(_) => {
                route.target_latency_ms.saturating_sub(TARGET_MARGIN_MS + spent_ms)
            }
        };
        Times {
            target_at_ms: arrived_ms + target_ms,
            limit_at_ms: arrived_ms + limit_ms - margin_ms,
        }
    }

    pub(crate) fn route_state(&self, name: &Arc<str>) -> Rc<RouteState> {
        Rc::clone(self.routes.borrow_mut().entry(Arc::clone(name)).or_default())
    }

    pub(crate) fn standing(&self, id: &Arc<str>) -> Rc<RefCell<Standing>> {
        Rc::clone(self.standings.borrow_mut().entry(Arc::clone(id)).or_default())
    }

    /// Notes a request whose first send goes to `service`.
    pub(crate) fn note_request(&self, service: &Arc<str>) {
        let now_ms = self.shared.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        allowances.entry(Arc::clone(service)).or_default().note_request(&self.limits, now_ms);
    }

    /// Time after which a second send to `service` may go out, in milliseconds.
    pub(crate) fn hedge_after_ms(
        &self,
        view: &View,
        state: &RouteState,
        service: &Arc<str>,
        target_ms: u64,
    ) -> u64 {
        let now_ms = self.shared.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(Arc::clone(service)).or_default();
        let is_scarce = allowance.is_scarce(&self.limits, sharers_of_slack(view), now_ms);
        state.hedge_after_ms(target_ms, is_scarce)
    }

    /// Takes one second send to `service` from the budget, if there is one.
    pub(crate) fn take_repeat(&self, service: &Arc<str>, view: &View) -> bool {
        let instances = sharers_of_slack(view);
        let now_ms = self.shared.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(Arc::clone(service)).or_default();
        allowance.take(&self.limits, instances, now_ms)
    }

    /// Expected latency of one more request in milliseconds, with what crossing zones costs.
    pub(crate) fn cost_ms(&self, replica: &ReplicaEntry, usual_ms: f64, target_ms: u64) -> f64 {
        let now_ms = self.shared.now_ms();
        let cost = self.standing(&replica.id).borrow().cost(replica.slots, now_ms);
        let target_ms = f64::from(u32::try_from(target_ms).unwrap_or(u32::MAX));
        let far_ms = if replica.zone == self.zone { 0.0 } else { target_ms / FAR_DIVISOR };
        usual_ms * cost + far_ms
    }

    pub(crate) fn has_room(&self, view: &View, replica: &ReplicaEntry) -> bool {
        self.backend.has_room(&replica.id, self.most_connections(view, replica))
    }

    /// Connections that this instance may open to a replica.
    pub(crate) fn most_connections(&self, view: &View, replica: &ReplicaEntry) -> u32 {
        let limits = view.configuration.as_ref().and_then(|c| c.services.get(&replica.service));
        let all = limits.map_or(LEAST_CONNECTIONS, |l| l.max_connections);
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        // Instances that this one has not heard of yet hold connections too.
        let unknown = number(usize::try_from(view.instances).unwrap_or(usize::MAX))
            .saturating_sub(number(view.peers.len()) + 1);
        let is_sliced = view.is_sliced(&replica.zone, &self.zone);
        let gatherers = view.peers.iter().filter(|p| p.is_gatherer);
        let near_peers = number(gatherers.clone().filter(|p| p.zone == replica.zone).count());
        let far_peers = number(gatherers.count()) - near_peers;
        let is_near = self.zone == replica.zone && view.is_gatherer;
        let (percent, instances) = if is_near {
            (NEAR_PERCENT, near_peers + 1 + unknown.div_ceil(UNKNOWN_IN_ZONE_DIVISOR))
        } else if is_sliced {
            // In each zone one instance gathers the shard; the others send next to nothing.
            (FAR_PERCENT, far_peers.div_ceil(near_peers.max(1)) * 2 + 1 + unknown)
        } else {
            (FAR_PERCENT, far_peers + 1 + unknown)
        };
        (all * percent / 100 / instances.max(1)).max(LEAST_CONNECTIONS)
    }

    /// Sends one attempt and learns from how it ends.
    pub(crate) async fn send(
        self: Rc<Self>,
        attempt: Attempt,
        state: Rc<RouteState>,
    ) -> Result<Reply, PartFailure> {
        let replica = Arc::clone(&attempt.replica);
        let standing = self.standing(&replica.id);
        let usual_ms = state.usual_ms();
        let started = Instant::now();
        let in_progress = InProgress::start(&standing, self.shared.now_ms(), usual_ms);
        let result = self.backend.send(attempt).await;
        drop(in_progress);
        let took = started.elapsed();
        let now_ms = self.shared.now_ms();
        let mut standing = standing.borrow_mut();
        match &result {
            Ok(reply) => {
                standing.reported(reply.load.unwrap_or(0), now_ms);
                if reply.status.is_server_error() {
                    standing.failed(now_ms);
                } else {
                    standing.answered(took.as_secs_f64() * 1000.0, usual_ms, now_ms);
                    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                    state.latency.borrow_mut().record(took_us);
                }
            }
            Err(PartFailure::Shed(report)) => {
                standing.reported(report.load.unwrap_or(replica.slots), now_ms);
                standing.failed(now_ms);
            }
            // The own limit says nothing of the replica.
            Err(PartFailure::Crowded) => {}
            Err(_) => standing.failed(now_ms),
        }
        result
    }

    /// Follows the views: forgets replicas that are gone, connects to new ones.
    pub(crate) async fn follow_views(self: Rc<Self>) {
        let mut known: HashSet<Arc<str>> = HashSet::new();
        loop {
            let view = self.shared.view.load_full();
            let entries = || view.replicas.values().flatten();
            let ids: HashSet<Arc<str>> = entries().map(|e| Arc::clone(&e.id)).collect();
            self.backend.retain(&ids);
            let is_peer = |id: &Arc<str>| view.peers.iter().any(|p| peer_key(&p.name) == *id);
            self.standings.borrow_mut().retain(|id, _| ids.contains(id) || is_peer(id));
            if view.configuration.is_some() {
                // Far replicas are asked by way of others, but for a hedge now and then.
                let is_own =
                    |e: &Arc<ReplicaEntry>| e.zone == self.zone && self.gathers(&view, &e.service);
                let is_new = |e: &&Arc<ReplicaEntry>| !known.contains(&e.id) && is_own(e);
                for entry in entries().filter(is_new) {
                    self.warm(&view, entry);
                }
                known = if view.is_gatherer { ids } else { HashSet::new() };
            }
            self.shared.has_changed.notified().await;
        }
    }

    fn warm(&self, view: &View, entry: &Arc<ReplicaEntry>) {
        let most = self.most_connections(view, entry);
        let warming = self.backend.warm(Arc::clone(entry), most);
        let id = Arc::clone(&entry.id);
        actix_rt::spawn(async move {
            if let Err(error) = warming.await {
                log::info!("event=not_warmed replica={id} cause={error:?}");
            }
        });
    }
}

/// Key of another instance among the standings.
pub(crate) fn peer_key(name: &str) -> Arc<str> {
    format!("instance {name}").into()
}

/// A request in progress at a replica, until dropped.
pub(crate) struct InProgress {
    standing: Rc<RefCell<Standing>>,
    sent_ms: u64,
}

impl InProgress {
    pub(crate) fn start(standing: &Rc<RefCell<Standing>>, now_ms: u64, usual_ms: f64) -> Self {
        standing.borrow_mut().sent(now_ms, usual_ms);
        Self { standing: Rc::clone(standing), sent_ms: now_ms }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.standing.borrow_mut().ended(self.sent_ms);
    }
}

/// Number of instances by which the slack is divided for this one.
fn sharers_of_slack(view: &View) -> u64 {
    let others = view.peers.iter().filter(|p| p.is_gatherer).count();
    let gatherers = u64::try_from(others).unwrap_or(u64::MAX) + u64::from(view.is_gatherer);
    let rest = view.instances.saturating_sub(gatherers);
    match (rest, view.is_gatherer) {
        (0, _) => view.instances,
        (_, true) => (gatherers * 100).div_ceil(GATHERERS_PERCENT),
        (_, false) => (rest * 100).div_ceil(100 - GATHERERS_PERCENT),
    }
}

fn hand_on(gathered: Gathered) -> Outcome {
    let refusal = gathered.refusal(NO_REPLICA_RETRY_MS);
    let reply = gathered.replies.into_iter().next().map(|(_, reply)| reply);
    reply.or(gathered.failure).map_or(Outcome::Refused(refusal), Outcome::Relayed)
}

fn merge(route: &Route, total: usize, gathered: Gathered) -> Outcome {
    let merged_parts: usize = gathered.merged.iter().map(|m| m.parts.len()).sum();
    if gathered.replies.len() + merged_parts < route.least_shards(total) {
        return Outcome::Refused(gathered.refusal(NO_REPLICA_RETRY_MS));
    }
    let mut greatest = Greatest::new(route.top_k);
    let mut signatures = Vec::with_capacity(total);
    for merged in gathered.merged {
        greatest.add(&merged.records);
        signatures.extend(merged.parts.into_iter().map(|(_, signature)| signature));
    }
    for (_, reply) in gathered.replies {
        greatest.add(&reply.body);
        signatures.extend(reply.signature);
    }
    let missing = total - signatures.len();
    Outcome::Merged(Merged { body: greatest.into_bytes().into(), signatures, missing })
}

fn note_outcome(request: &Request, route: &str, version: u64, outcome: &Outcome) {
    let took = request.arrived.elapsed();
    let (name, detail) = match outcome {
        Outcome::Relayed(reply) => ("relayed", format!("status={}", reply.status.as_u16())),
        Outcome::Merged(merged) => {
            ("merged", format!("parts={} missing={}", merged.signatures.len(), merged.missing))
        }
        Outcome::Refused(refusal) => {
            let wait = refusal.retry_after_ms.unwrap_or(0);
            let Refusal { verdict, reason, .. } = refusal;
            ("refused", format!("verdict={verdict} reason=\"{reason}\" retry_after_ms={wait}"))
        }
    };
    metrics::counter!("eelgrasspier_requests_total", "outcome" => name).increment(1);
    metrics::histogram!("eelgrasspier_request_seconds", "outcome" => name)
        .record(took.as_secs_f64());
    let id = request.id_text();
    let took_ms = took.as_millis();
    log::info!("event={name} id={id} route={route} version={version} {detail} took_ms={took_ms}");
}
