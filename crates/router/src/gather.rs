//! Gathers the answers of the shards of one request: first sends, second sends, the end.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::patience::{Gathering, Next};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, Verdict};
use eelgrasspier_decide::route::Route;
use tokio::sync::mpsc;

use crate::backend::{Attempt, Reply};
use crate::model::Request;
use crate::router::{RouteState, Router};
use crate::view::View;

/// Kept of the target latency for the way to and from the caller and for merging.
const TARGET_MARGIN_MS: u64 = 6;
/// Kept of the caller's deadline for the same.
const DEADLINE_MARGIN_MS: u64 = 10;
/// Sends beyond the route's attempts that surely did not run, for each shard.
const MOST_UNRUN_SENDS: usize = 2;

/// One shard of a request.
struct Shard {
    service: Arc<str>,
    /// Replicas that it was sent to.
    tried: Vec<Arc<str>>,
    /// Sends that surely did not run.
    not_run: usize,
    in_flight: usize,
    hedge_at_ms: Option<u64>,
    state: ShardState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShardState {
    Open,
    Covered,
    Failed,
}

/// The end of one send.
struct Landed {
    shard: usize,
    replica: Arc<str>,
    result: Result<Reply, PartFailure>,
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

/// What was gathered.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    /// Successes by shard.
    pub(crate) replies: Vec<(usize, Reply)>,
    /// The last failure that a replica itself gave.
    pub(crate) failure: Option<Reply>,
    /// Whether a replica may have run any of it.
    pub(crate) may_have_run: bool,
    /// Whether the time was over.
    pub(crate) is_timed_out: bool,
}

impl Gathered {
    /// The refusal where this does not make a success.
    pub(crate) fn refusal(&self, retry_after_ms: u64) -> Refusal {
        let reason = match (self.is_timed_out, self.may_have_run) {
            (true, _) => RefusalReason::TooLate,
            (false, true) => RefusalReason::AnswerLost,
            (false, false) => RefusalReason::NoReplica,
        };
        let verdict = if self.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
        Refusal { verdict, reason, retry_after_ms: Some(retry_after_ms) }
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
    flights: Flights,
    landed: mpsc::UnboundedReceiver<Landed>,
    land: mpsc::UnboundedSender<Landed>,
    gathered: Gathered,
    limit_at_ms: u64,
}

impl<'a> Gather<'a> {
    pub(crate) fn new(
        router: &'a Rc<Router>,
        view: &'a Arc<View>,
        route: &'a Arc<Route>,
        route_state: Rc<RouteState>,
        request: &'a Rc<Request>,
        services: Vec<Arc<str>>,
    ) -> Self {
        let (land, landed) = mpsc::unbounded_channel();
        let shard = |service| Shard {
            service,
            tried: Vec::new(),
            not_run: 0,
            in_flight: 0,
            hedge_at_ms: None,
            state: ShardState::Open,
        };
        Self {
            router,
            view,
            route,
            route_state,
            request,
            shards: services.into_iter().map(shard).collect(),
            flights: Flights::default(),
            landed,
            land,
            gathered: Gathered::default(),
            limit_at_ms: 0,
        }
    }

    /// Gathers until there is enough, or enough is out of reach.
    ///
    /// `spent_ms` is the time of the caller's earlier attempts, `limit_ms` what this one
    /// may take since its arrival.
    pub(crate) async fn run(mut self, spent_ms: u64, limit_ms: u64) -> Gathered {
        let arrived_ms = self.arrived_ms();
        let margin_ms = DEADLINE_MARGIN_MS.min(limit_ms / 4);
        self.limit_at_ms = arrived_ms + limit_ms - margin_ms;
        let target_ms = self.route.target_latency_ms.saturating_sub(TARGET_MARGIN_MS + spent_ms);
        if !self.is_within_reach() {
            return self.gathered;
        }
        for shard in 0..self.shards.len() {
            self.router.note_request(&self.shards[shard].service);
            self.launch(shard);
        }
        loop {
            let now_ms = self.router.shared.now_ms();
            let wait_until_ms = match self.progress(arrived_ms + target_ms).next(now_ms) {
                Next::Answer => break,
                Next::GiveUp => {
                    self.gathered.is_timed_out = now_ms >= self.limit_at_ms;
                    break;
                }
                Next::WaitUntil(at_ms) => at_ms,
            };
            self.hedge_due(now_ms);
            let next_hedge_ms = self.shards.iter().filter_map(|s| s.hedge_at_ms).min();
            let wake_ms = next_hedge_ms.map_or(wait_until_ms, |at| at.min(wait_until_ms));
            let pause = Duration::from_millis(wake_ms.saturating_sub(now_ms).max(1));
            if let Ok(Some(landed)) = tokio::time::timeout(pause, self.landed.recv()).await {
                self.take(landed);
                while let Ok(landed) = self.landed.try_recv() {
                    self.take(landed);
                }
            }
        }
        // What is still on its way may run; to say that it did not would be a lie.
        self.gathered.may_have_run |= self.shards.iter().any(|s| s.in_flight > 0);
        self.flights.let_go();
        self.gathered
    }

    fn arrived_ms(&self) -> u64 {
        let ago = u64::try_from(self.request.arrived.elapsed().as_millis()).unwrap_or(0);
        self.router.shared.now_ms().saturating_sub(ago)
    }

    /// Whether enough shards have a replica at all; if not, waiting helps nobody.
    fn is_within_reach(&self) -> bool {
        let has_replica =
            |s: &&Shard| self.view.replicas.get(&s.service).is_some_and(|r| !r.is_empty());
        let reachable = self.shards.iter().filter(has_replica).count();
        reachable >= self.least()
    }

    fn least(&self) -> usize {
        if self.shards.len() == 1 { 1 } else { self.route.least_shards(self.shards.len()) }
    }

    fn progress(&self, target_at_ms: u64) -> Gathering {
        let count = |state| self.shards.iter().filter(|s| s.state == state).count();
        Gathering {
            total: self.shards.len(),
            least: self.least(),
            covered: count(ShardState::Covered),
            failed: count(ShardState::Failed),
            target_at_ms,
            limit_at_ms: self.limit_at_ms,
        }
    }

    /// The best replica for one more send of a shard.
    fn pick(&self, shard: &Shard) -> Option<Arc<ReplicaEntry>> {
        let all = self.view.replicas.get(&shard.service)?;
        // A send that is on its way may run too: a second one beside it counts.
        let is_full = shard.tried.len() - shard.not_run >= self.route.attempts.max(1);
        let is_open = |r: &&Arc<ReplicaEntry>| !is_full && !shard.tried.contains(&r.id);
        let cost = |r: &&Arc<ReplicaEntry>| self.router.cost(r);
        all.iter().filter(is_open).min_by(|a, b| cost(a).total_cmp(&cost(b))).cloned()
    }

    /// Sends a shard's request to the best replica left; returns whether there was one.
    fn launch(&mut self, index: usize) -> bool {
        let Some(replica) = self.pick(&self.shards[index]) else {
            self.settle(index);
            return false;
        };
        let now_ms = self.router.shared.now_ms();
        let left_ms = self.limit_at_ms.saturating_sub(now_ms);
        let hedge_ms = self.route_state.hedge_after_ms(self.route.target_latency_ms);
        let can_hedge = self.route.is_idempotent && self.shards[index].tried.is_empty();
        let shard = &mut self.shards[index];
        shard.tried.push(Arc::clone(&replica.id));
        shard.in_flight += 1;
        shard.hedge_at_ms = can_hedge.then_some(now_ms + hedge_ms);
        let attempt = Attempt {
            most_connections: self.router.most_connections(self.view, &replica.service),
            replica: Arc::clone(&replica),
            request: Rc::clone(self.request),
            time_left: Duration::from_millis(left_ms),
            is_idempotent: self.route.is_idempotent,
        };
        let land = self.land.clone();
        let sending = Rc::clone(self.router).send(attempt, Rc::clone(&self.route_state));
        self.flights.0.push(actix_rt::spawn(async move {
            let result = sending.await;
            let landed = Landed { shard: index, replica: Arc::clone(&replica.id), result };
            // Nobody listens once the answer has gone out.
            let _is_late = land.send(landed).is_err();
        }));
        true
    }

    fn hedge_due(&mut self, now_ms: u64) {
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.hedge_at_ms.is_none_or(|at| at > now_ms) {
                continue;
            }
            shard.hedge_at_ms = None;
            if shard.state == ShardState::Open {
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
        let is_paid = self.router.take_repeat(&shard.service, self.view.instances);
        metrics::counter!("eelgrasspier_repeats_total", "cause" => cause, "paid" => if is_paid { "yes" } else { "no" })
            .increment(1);
        is_paid && self.launch(index)
    }

    fn take(&mut self, landed: Landed) {
        let index = landed.shard;
        self.shards[index].in_flight -= 1;
        match landed.result {
            Ok(reply) if reply.status.is_success() => {
                self.gathered.may_have_run = true;
                if self.shards[index].state != ShardState::Covered {
                    self.shards[index].state = ShardState::Covered;
                    self.gathered.replies.push((index, reply));
                }
            }
            Ok(reply) => {
                self.note_failure(&landed.replica, index, reply.status.as_str());
                self.gathered.may_have_run = true;
                let is_final = reply.status.is_client_error() || !self.route.is_idempotent;
                self.gathered.failure = Some(reply);
                if is_final {
                    self.shards[index].state = ShardState::Failed;
                } else {
                    self.recover(index, true);
                }
            }
            Err(failure) => {
                self.note_failure(&landed.replica, index, &failure.to_string());
                let may_have_run = failure.verdict() == Verdict::MayHaveRun;
                if may_have_run {
                    self.gathered.may_have_run = true;
                } else {
                    self.shards[index].not_run += 1;
                }
                let is_arrival = !matches!(failure, PartFailure::NotReached(_));
                if may_have_run && !self.route.is_idempotent {
                    self.shards[index].state = ShardState::Failed;
                } else {
                    self.recover(index, is_arrival);
                }
            }
        }
    }

    /// Sends once more after a failed send; `is_paid_for` if that counts as a repeat.
    fn recover(&mut self, index: usize, is_paid_for: bool) {
        let shard = &self.shards[index];
        if shard.state != ShardState::Open || self.router.shared.now_ms() >= self.limit_at_ms {
            return;
        }
        let most = self.route.attempts.max(1) + MOST_UNRUN_SENDS;
        let has_sent = if shard.tried.len() >= most {
            false
        } else if is_paid_for {
            self.send_again(index, "retry")
        } else {
            self.launch(index)
        };
        if !has_sent {
            self.settle(index);
        }
    }

    /// A shard with nothing on its way has failed.
    fn settle(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if shard.in_flight == 0 && shard.state == ShardState::Open {
            shard.state = ShardState::Failed;
        }
    }

    fn note_failure(&self, replica: &str, shard: usize, cause: &str) {
        let id = self.request.id_text();
        let service = &self.shards[shard].service;
        metrics::counter!("eelgrasspier_failed_sends_total").increment(1);
        log::info!(
            "event=send_failed id={id} service={service} replica={replica} cause=\"{cause}\""
        );
    }
}
