//! Gathers the answers of the shards of one request: first sends, second sends, the end.

mod admission;
mod quarantine;
mod relay;
mod relay_results;
mod results;
mod send;
mod shard;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eelgrasspier_backend::{Offered, PartFailure};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::patience::{Gathering, Next};
use eelgrasspier_decide::route::Route;
use tokio::sync::mpsc;

use crate::backend::Reply;
use crate::cold::ColdAdmission;
use crate::model::Request;
use crate::route_state::{RouteState, Timing};
use crate::router::Router;
use crate::view::{Peer, View};
use quarantine::Trials;
use relay::{Probe, RelayResult};
use shard::{Shard, ShardState};

pub(crate) use shard::{Gathered, MergedParts};

/// Time between two looks for a free connection, in milliseconds: about half of a usual
/// exchange, after which one is free.
const CONNECTION_RETRY_MS: u64 = 4;
/// Sends beyond the route's attempts that surely did not run, for each shard.
const MAX_UNRUN_SENDS: usize = 2;

/// When a gathering ends, in milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// When an answer must be on its way to be in time.
    pub(crate) target_at_ms: u64,
    /// When the caller's time is over.
    pub(crate) limit_at_ms: u64,
}

/// For whom shards are gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    /// For a caller: other instances may be asked.
    Caller,
    /// For another instance, which takes any number of shards.
    Peer {
        /// Whether a third one may have sent them before.
        is_repeat: bool,
        /// Shards that the whole answer may miss.
        may_miss: usize,
        /// Of them, those that may be left out here since they would be late.
        may_leave_out: usize,
        /// Whether these are all shards of the request, so that others are asked in turn.
        is_whole: bool,
    },
}

/// The end of one send, or of one question to another instance.
enum Event {
    Send {
        shard: usize,
        replica: Arc<str>,
        result: Result<Reply, PartFailure>,
    },
    Relay(RelayResult),
    /// Whether an instance whose answer is late answers at all.
    Probed {
        peer: Peer,
        shards: Vec<usize>,
        is_alive: bool,
    },
}

/// What is in progress; dropped, it is cancelled, but for sends that were let go.
#[derive(Default)]
struct InFlightTasks {
    /// Requests to replicas.
    sends: Vec<JoinHandle<()>>,
    /// Questions to other instances.
    peer_requests: Vec<JoinHandle<()>>,
}

impl InFlightTasks {
    /// Lets the sends end by themselves.
    ///
    /// A replica that was outrun answers a little later: its connection is kept and its
    /// latency learnt. To cut it would cost a new connection, which holds a slot. An instance
    /// that was outrun is told to stop: one that was frozen began to gather for callers who had
    /// long been answered when it woke.
    fn detach_sends(&mut self) {
        self.sends.clear();
    }
}

impl Drop for InFlightTasks {
    fn drop(&mut self) {
        for task in self.sends.iter().chain(&self.peer_requests) {
            task.abort();
        }
    }
}

/// One gathering.
pub(crate) struct Gather<'a> {
    router: &'a Rc<Router>,
    view: &'a Arc<View>,
    /// The view in force: replicas may leave, and zones be evacuated, while a request is served.
    current_view: Arc<View>,
    route: &'a Arc<Route>,
    route_state: Rc<RouteState>,
    request: &'a Rc<Request>,
    shards: Vec<Shard>,
    required_shards: usize,
    deadlines: Deadlines,
    timing: Timing,
    tasks: InFlightTasks,
    /// Requests and questions on their way, as far as they may have gone out.
    write_flags: Vec<Offered>,
    events: mpsc::UnboundedReceiver<Event>,
    event_sender: mpsc::UnboundedSender<Event>,
    /// Instances that are asked whether they answer, once that is due.
    probes: Vec<Probe>,
    /// Whether shards that were not in time have been asked for once more.
    has_retried_late: bool,
    /// Sends to one replica at a time, since others have ended under the request.
    trials: Trials,
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
        deadlines: Deadlines,
    ) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        let timing = Timing::new(&route_state, route.target_latency_ms);
        let shard = |service: Arc<str>| {
            let accepted = view.accepted_connections(&service);
            Shard::new(service, accepted)
        };
        Self {
            router,
            view,
            current_view: Arc::clone(view),
            route,
            route_state,
            request,
            required_shards: route.least_shards(services.len()),
            timing,
            shards: services.into_iter().map(shard).collect(),
            deadlines,
            tasks: InFlightTasks::default(),
            write_flags: Vec::new(),
            events,
            event_sender,
            probes: Vec::new(),
            has_retried_late: false,
            trials: Trials::default(),
            gathered: Gathered::default(),
        }
    }

    /// Restricts each shard to the replicas with the given marks.
    pub(crate) fn restrict_replicas(&mut self, allowed: Vec<Vec<u32>>) {
        for (shard, marks) in self.shards.iter_mut().zip(allowed) {
            shard.allowed = Some(marks);
        }
    }

    /// Gathers until there is enough, or enough is out of reach.
    pub(crate) async fn run(mut self, requester: Requester) -> Gathered {
        self.trials.run_locally = !matches!(requester, Requester::Peer { is_whole: false, .. });
        if self.is_quarantined() || !self.start(requester) {
            self.record_quarantine();
            return self.gathered;
        }
        let is_given_up = loop {
            let now_ms = self.router.shared.now_ms();
            self.current_view = self.router.shared.view.load_full();
            self.retry_late_shards(now_ms);
            let wait_until_ms = match self.progress().next(now_ms) {
                Next::Answer => break false,
                Next::GiveUp => {
                    self.gathered.is_timed_out = now_ms >= self.deadlines.limit_at_ms;
                    break true;
                }
                Next::WaitUntil(at_ms) => at_ms,
            };
            self.send_due_hedges(now_ms);
            self.send_due_probes(now_ms);
            self.handle_events(now_ms, wait_until_ms).await;
        };
        // What is still on its way may run; to say that it did not would be a lie.
        self.gathered.may_have_run |= self.write_flags.iter().any(Offered::is_marked);
        if !is_given_up {
            self.tasks.detach_sends();
        }
        self.gathered.missing = self.services(|state| state != ShardState::Covered);
        self.gathered.failed = self.services(|state| state == ShardState::Failed);
        self.gathered.left_out = self.services(|state| state == ShardState::LeftOut);
        self.gathered.drop_duplicates();
        self.record_quarantine();
        self.gathered
    }

    /// Sends or asks for all shards; false if none of them is.
    fn start(&mut self, requester: Requester) -> bool {
        match requester {
            Requester::Caller => self.start_for_caller(),
            Requester::Peer { is_repeat, may_miss, may_leave_out, is_whole } => {
                // The asking instance takes any number of some shards.
                self.required_shards =
                    if is_whole { self.shards.len().saturating_sub(may_miss) } else { 0 };
                let is_started = self.admit_for_peer(may_miss, may_leave_out);
                match (is_started, is_whole) {
                    (false, _) => {}
                    (true, true) => self.dispatch_all(is_repeat),
                    (true, false) => self.send_all_for_peer(is_repeat),
                }
                is_started
            }
        }
    }

    fn start_for_caller(&mut self) -> bool {
        if !self.has_enough_replicas() {
            return false;
        }
        if let Some(peer) = self.delegate().cloned() {
            // That one knows more of the replicas, and plans for this one too.
            self.delegate_to(&peer);
            return true;
        }
        let is_started = self.admit();
        if is_started {
            self.dispatch_all(false);
        }
        is_started
    }

    /// Services of the shards in a certain state.
    fn services(&self, is_wanted: impl Fn(ShardState) -> bool) -> Vec<Arc<str>> {
        let wanted = self.shards.iter().filter(|s| is_wanted(s.state));
        wanted.map(|s| Arc::clone(&s.service)).collect()
    }

    /// Waits for an end, the next hedge or `until_ms`, whichever comes first.
    async fn handle_events(&mut self, now_ms: u64, until_ms: u64) {
        let hedges = self.shards.iter().filter_map(|s| s.hedge_at_ms);
        let next_ms = hedges.chain(self.probes.iter().map(|c| c.at_ms)).min();
        let wake_ms = next_ms.map_or(until_ms, |at| at.min(until_ms));
        let pause = Duration::from_millis(wake_ms.saturating_sub(now_ms).max(1));
        if let Ok(Some(event)) = tokio::time::timeout(pause, self.events.recv()).await {
            self.handle_event(event);
            while let Ok(event) = self.events.try_recv() {
                self.handle_event(event);
            }
        }
    }

    /// Whether enough shards have a replica at all; if not, waiting helps nobody.
    fn has_enough_replicas(&self) -> bool {
        let has_replica = |s: &&Shard| self.replicas(&s.service).next().is_some();
        self.shards.iter().filter(has_replica).count() >= self.required_shards
    }

    /// Replicas of a service that take new work, without those that are known to be replaced.
    fn replicas(&self, service: &str) -> impl Iterator<Item = &'a Arc<ReplicaEntry>> + Clone {
        let listed = self.view.replicas.get(service).map_or(&[][..], Vec::as_slice);
        let (router, current_view) = (self.router, &self.current_view);
        let is_same = Arc::ptr_eq(self.view, current_view);
        let takes_work = move |r: &&Arc<ReplicaEntry>| is_same || current_view.lists(r);
        let homes = &self.route.home_regions;
        let is_home = move |r: &&Arc<ReplicaEntry>| router.is_home(homes, &r.zone);
        listed.iter().filter(takes_work).filter(is_home).filter(|r| !router.is_replaced(r))
    }

    /// Instances that may be asked for shards of the request.
    ///
    /// Its body goes to no region but its homes, and the one to which its caller came.
    fn healthy_peers(&self) -> Vec<&'a Peer> {
        let mut peers = self.router.healthy_peers(self.view);
        peers.retain(|p| self.router.is_home(&self.route.home_regions, &p.zone));
        peers
    }

    /// Whether a replica is warm, or counted here and may get more.
    fn may_send_directly(&self, replica: &ReplicaEntry) -> bool {
        matches!(
            self.router.cold_admission(&self.current_view, replica),
            ColdAdmission::Unlimited | ColdAdmission::CountedHere
        )
    }

    fn progress(&self) -> Gathering {
        let count = |state| self.shards.iter().filter(|s| s.state == state).count();
        let covered = count(ShardState::Covered);
        // Those that are late still count as long as the answer can't do without them.
        let late = if covered >= self.required_shards { count(ShardState::Late) } else { 0 };
        Gathering {
            total: self.shards.len(),
            least: self.required_shards,
            covered,
            failed: count(ShardState::Failed) + count(ShardState::LeftOut) + late,
            target_at_ms: self.deadlines.target_at_ms,
            limit_at_ms: self.deadlines.limit_at_ms,
        }
    }
}
