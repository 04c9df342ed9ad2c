//! Gathers the answers of the shards of one request: first sends, second sends, the end.

mod ends;
mod relay;
mod shard;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::patience::{Gathering, Next};
use eelgrasspier_decide::relays;
use eelgrasspier_decide::route::Route;
use tokio::sync::mpsc;

use crate::backend::{Attempt, Reply};
use crate::model::Request;
use crate::route_state::{Pace, RouteState};
use crate::router::Router;
use crate::view::{Peer, View};
use relay::{Check, RelayEnd};
use shard::{Shard, ShardState};

pub(crate) use shard::{Gathered, MergedParts};

/// Time between two looks for a free connection, in milliseconds: about half of a usual
/// exchange, after which one is free.
const ROOM_RETRY_MS: u64 = 4;
/// Sends beyond the route's attempts that surely did not run, for each shard.
const MOST_UNRUN_SENDS: usize = 2;

/// When a gathering ends, in milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// When an answer must be on its way to be in time.
    pub(crate) target_at_ms: u64,
    /// When the caller's time is over.
    pub(crate) limit_at_ms: u64,
}

/// For whom shards are gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum For {
    /// For a caller: other instances may be asked.
    Caller,
    /// For another instance, which takes any number of shards.
    Peer {
        /// Whether a third one may have sent them before.
        is_repeat: bool,
    },
}

/// The end of one send, or of one question to another instance.
enum Landed {
    Send {
        shard: usize,
        replica: Arc<str>,
        result: Result<Reply, PartFailure>,
    },
    Relay(RelayEnd),
    /// Whether an instance whose answer is late answers at all.
    Checked {
        peer: Peer,
        shards: Vec<usize>,
        is_alive: bool,
    },
}

/// Sends in progress; dropped, they are cancelled, unless they were let go.
#[derive(Default)]
struct Flights(Vec<JoinHandle<()>>);

impl Flights {
    /// Lets the sends end by themselves.
    ///
    /// A replica that was outrun answers a little later: its connection is kept and its
    /// latency learnt. To cut it would cost a new connection, which holds a slot.
    fn let_go(&mut self) {
        self.0.clear();
    }
}

impl Drop for Flights {
    fn drop(&mut self) {
        for flight in &self.0 {
            flight.abort();
        }
    }
}

/// One gathering.
pub(crate) struct Gather<'a> {
    router: &'a Rc<Router>,
    view: &'a Arc<View>,
    route: &'a Arc<Route>,
    route_state: Rc<RouteState>,
    request: &'a Rc<Request>,
    shards: Vec<Shard>,
    least: usize,
    times: Times,
    pace: Pace,
    flights: Flights,
    landed: mpsc::UnboundedReceiver<Landed>,
    land: mpsc::UnboundedSender<Landed>,
    /// Instances that are asked whether they answer, once that is due.
    checks: Vec<Check>,
    gathered: Gathered,
}

impl<'a> Gather<'a> {
    pub(crate) fn new(
        router: &'a Rc<Router>,
        view: &'a Arc<View>,
        route: &'a Arc<Route>,
        route_state: Rc<RouteState>,
        request: &'a Rc<Request>,
        services: Vec<Arc<str>>,
        times: Times,
    ) -> Self {
        let (land, landed) = mpsc::unbounded_channel();
        let pace = Pace::new(&route_state, route.target_latency_ms);
        let shard = |service: Arc<str>| {
            let accepted = view.accepted_connections(&service);
            Shard::new(service, accepted)
        };
        Self {
            router,
            view,
            route,
            route_state,
            request,
            least: route.least_shards(services.len()),
            pace,
            shards: services.into_iter().map(shard).collect(),
            times,
            flights: Flights::default(),
            landed,
            land,
            checks: Vec::new(),
            gathered: Gathered::default(),
        }
    }

    /// Restricts each shard to the replicas with the given marks.
    pub(crate) fn allow(&mut self, allowed: Vec<Vec<u32>>) {
        for (shard, marks) in self.shards.iter_mut().zip(allowed) {
            shard.allowed = Some(marks);
        }
    }

    /// Gathers until there is enough, or enough is out of reach.
    pub(crate) async fn run(mut self, whom: For) -> Gathered {
        match whom {
            For::Caller if !self.is_within_reach() => return self.gathered,
            For::Caller => self.ask_all(),
            For::Peer { is_repeat } => {
                self.least = 0;
                (0..self.shards.len()).for_each(|shard| self.send_for_peer(shard, is_repeat));
            }
        }
        loop {
            let now_ms = self.router.shared.now_ms();
            let wait_until_ms = match self.progress().next(now_ms) {
                Next::Answer => break,
                Next::GiveUp => {
                    self.gathered.is_timed_out = now_ms >= self.times.limit_at_ms;
                    break;
                }
                Next::WaitUntil(at_ms) => at_ms,
            };
            self.hedge_due(now_ms);
            self.check_due(now_ms);
            self.take_next(now_ms, wait_until_ms).await;
        }
        // What is still on its way may run; to say that it did not would be a lie.
        self.gathered.may_have_run |= self.shards.iter().any(|s| s.in_flight > 0);
        self.flights.let_go();
        self.gathered.missing = self.services(|state| state != ShardState::Covered);
        self.gathered.failed = self.services(|state| state == ShardState::Failed);
        self.gathered.drop_doubles();
        self.gathered
    }

    /// Services of the shards in a certain state.
    fn services(&self, is_wanted: impl Fn(ShardState) -> bool) -> Vec<Arc<str>> {
        let wanted = self.shards.iter().filter(|s| is_wanted(s.state));
        wanted.map(|s| Arc::clone(&s.service)).collect()
    }

    /// Waits for an end, the next hedge or `until_ms`, whichever comes first.
    async fn take_next(&mut self, now_ms: u64, until_ms: u64) {
        let hedges = self.shards.iter().filter_map(|s| s.hedge_at_ms);
        let next_ms = hedges.chain(self.checks.iter().map(|c| c.at_ms)).min();
        let wake_ms = next_ms.map_or(until_ms, |at| at.min(until_ms));
        let pause = Duration::from_millis(wake_ms.saturating_sub(now_ms).max(1));
        if let Ok(Some(landed)) = tokio::time::timeout(pause, self.landed.recv()).await {
            self.take(landed);
            while let Ok(landed) = self.landed.try_recv() {
                self.take(landed);
            }
        }
    }

    /// Whether enough shards have a replica at all; if not, waiting helps nobody.
    fn is_within_reach(&self) -> bool {
        let has_replica = |s: &&Shard| self.replicas(&s.service).next().is_some();
        self.shards.iter().filter(has_replica).count() >= self.least
    }

    /// Replicas of a service, without those that are known to be replaced.
    fn replicas(&self, service: &str) -> impl Iterator<Item = &'a Arc<ReplicaEntry>> + Clone {
        let listed = self.view.replicas.get(service).map_or(&[][..], Vec::as_slice);
        let router = self.router;
        listed.iter().filter(|r| !router.is_replaced(r))
    }

    fn progress(&self) -> Gathering {
        let count = |state| self.shards.iter().filter(|s| s.state == state).count();
        Gathering {
            total: self.shards.len(),
            least: self.least,
            covered: count(ShardState::Covered),
            failed: count(ShardState::Failed),
            target_at_ms: self.times.target_at_ms,
            limit_at_ms: self.times.limit_at_ms,
        }
    }

    /// The best replica for one more send of a shard.
    fn pick(&self, shard: &Shard) -> Option<&'a Arc<ReplicaEntry>> {
        let all = self.replicas(&shard.service);
        let attempts = self.route.attempts.max(1);
        if shard.used_attempts() >= attempts {
            return None;
        }
        let is_allowed = |r: &&Arc<ReplicaEntry>| {
            shard.allowed.as_ref().is_none_or(|marks| marks.contains(&relays::mark(&r.id)))
        };
        let open = all.filter(is_allowed).filter(|r| !shard.tried.contains(&r.id));
        let free = open.filter(|r| {
            let most = self.view.most_connections(&r.zone, shard.accepted_connections);
            self.router.backend.has_room(&r.id, most)
        });
        let cost_ms = |r: &'a Arc<ReplicaEntry>| (self.router.cost_ms(r, &self.pace), r);
        free.map(cost_ms).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, replica)| replica)
    }

    fn send_first(&mut self, index: usize) {
        self.router.note_request(&self.shards[index].service);
        self.send(index);
    }

    fn send_for_peer(&mut self, index: usize, is_repeat: bool) {
        if !is_repeat {
            self.send_first(index);
        } else if !self.send_again(index, "relay_lost") {
            self.settle(index);
        }
    }

    /// Sends a shard's request to the best replica left; returns whether there was one.
    fn send(&mut self, index: usize) -> bool {
        let now_ms = self.router.shared.now_ms();
        let Some(replica) = self.pick(&self.shards[index]).cloned() else {
            if self.is_crowded(index) {
                self.shards[index].hedge_at_ms = Some(now_ms + ROOM_RETRY_MS);
                return true;
            }
            self.settle(index);
            return false;
        };
        let hedge_ms = self.router.hedge_after_ms(self.view, &self.pace, &replica.service);
        let shard = &mut self.shards[index];
        let can_hedge = self.route.is_idempotent && shard.tried.is_empty();
        shard.tried.push(Arc::clone(&replica.id));
        shard.in_flight += 1;
        shard.hedge_at_ms = can_hedge.then_some(now_ms + hedge_ms);
        self.gathered.far += u32::from(replica.zone != self.router.zone);
        let left_ms = self.times.limit_at_ms.saturating_sub(now_ms);
        let attempt = Attempt {
            most_connections: self.view.most_connections(&replica.zone, shard.accepted_connections),
            replica: Arc::clone(&replica),
            request: Rc::clone(self.request),
            time_left: Duration::from_millis(left_ms),
            is_idempotent: self.route.is_idempotent,
        };
        let land = self.land.clone();
        let state = Rc::clone(&self.route_state);
        let sending = Rc::clone(self.router).send(attempt, state, self.pace.usual_ms);
        self.flights.0.push(actix_rt::spawn(async move {
            let result = sending.await;
            let replica = Arc::clone(&replica.id);
            // Nobody listens once the answer has gone out.
            let _is_late = land.send(Landed::Send { shard: index, replica, result }).is_err();
        }));
        true
    }

    /// Whether a shard was not sent yet, only because all connections are in use.
    fn is_crowded(&self, index: usize) -> bool {
        let shard = &self.shards[index];
        let is_unsent = shard.tried.is_empty() && shard.in_flight == 0;
        is_unsent && self.replicas(&shard.service).next().is_some()
    }

    fn hedge_due(&mut self, now_ms: u64) {
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
            } else {
                self.send_again(index, "hedge");
            }
        }
    }

    /// Sends a shard's request once more, if the budget allows it.
    fn send_again(&mut self, index: usize, cause: &'static str) -> bool {
        let shard = &self.shards[index];
        if self.pick(shard).is_none() {
            return false;
        }
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
