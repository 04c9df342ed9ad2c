//! Scatter-gather of one request: first sends, hedges, retries and completion.

mod admission;
mod priority;
mod relay;
mod relay_results;
mod results;
mod send;
mod send_permission;
mod shard;
mod token_state;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eelgrasspier_backend::{DispatchFlag, PartFailure};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::route::Route;
use eelgrasspier_decide::wait_policy::{GatherState, WaitDecision};
use tokio::sync::mpsc;

use crate::backend::Reply;
use crate::cold_limiter::ColdAdmission;
use crate::model::Request;
use crate::route_state::{RouteState, Timing};
use crate::router::Router;
use crate::view::{Peer, View};
use priority::TrackedRequest;
use relay::{Probe, RelayResult};
use relay_results::UnreachedDelegate;
use send_permission::Trials;
use shard::{Shard, ShardState};
use token_state::TokenState;

pub(crate) use shard::{Gathered, MergedParts};

/// Interval at which a shard without a free connection is tried again, in milliseconds.
///
/// It is about half of a typical exchange, after which a connection is free.
const CONNECTION_RETRY_MS: u64 = 4;
/// Maximum sends per shard, beyond the route's attempts, that are known not to have run.
const MAX_UNRUN_SENDS: usize = 2;
/// Maximum rejections of a shard's request after which it is sent again.
///
/// A rejection arrives within milliseconds, and a replica that rejects six in ten requests accepts
/// one of five sends with a probability of 92 %. Without repeated sends to the same replica, a
/// request to 90 such shards lacked a quarter of them.
const MAX_REJECTIONS: usize = 5;

/// Time limits of one gather, in milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// Latest time at which an answer that meets the target latency is sent.
    pub(crate) target_at_ms: u64,
    /// Time at which the caller's deadline expires.
    pub(crate) limit_at_ms: u64,
}

/// Origin of a gather request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A caller; shards may be relayed to other instances.
    Caller,
    /// Another instance, which accepts partial results.
    Peer {
        /// True if a third instance may already have sent the shards.
        is_retry: bool,
        /// Number of shards that the complete answer may lack.
        max_omitted: usize,
        /// Number of these that may be left out here because they would be late.
        may_leave_out: usize,
        /// True if these are all shards of the request, so that they may be relayed again.
        has_all_shards: bool,
    },
}

/// Result of a send to a replica, of a relay request or of a probe.
enum Event {
    Send {
        shard: usize,
        replica: Arc<str>,
        result: Result<Reply, PartFailure>,
    },
    /// The retry pool did not pay for an extra send, so nothing was sent.
    Unpaid {
        shard: usize,
        replica: Arc<str>,
        is_hedge: bool,
    },
    Relay(RelayResult),
    /// Result of a liveness probe to an instance whose answer is late.
    Probed {
        peer: Peer,
        shards: Vec<usize>,
        is_alive: bool,
    },
}

/// Tasks in flight; dropping them cancels all but detached sends.
#[derive(Default)]
struct InFlightTasks {
    /// Requests to replicas.
    sends: Vec<JoinHandle<()>>,
    /// Requests and probes to other instances.
    peer_requests: Vec<JoinHandle<()>>,
}

impl InFlightTasks {
    /// Detaches the sends, which then run to their end.
    ///
    /// A replica that was overtaken by another one usually answers a little later: its connection
    /// stays open and its latency is measured, while cancelling would cost a new connection, which
    /// occupies a slot. Relay requests are still cancelled. Otherwise an instance that was frozen
    /// would gather, once it resumes, for callers that have already been answered.
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

/// Scatter-gather of one request.
pub(crate) struct Gather<'a> {
    router: &'a Rc<Router>,
    view: &'a Arc<View>,
    /// Latest view; replicas may leave and zones be evacuated while a request is served.
    current_view: Arc<View>,
    route: &'a Arc<Route>,
    route_state: Rc<RouteState>,
    request: &'a Rc<Request>,
    shards: Vec<Shard>,
    required_shards: usize,
    deadlines: Deadlines,
    timing: Timing,
    tasks: InFlightTasks,
    /// Flags of sends and relay requests that may have been written to a connection.
    write_flags: Vec<DispatchFlag>,
    events: mpsc::UnboundedReceiver<Event>,
    event_sender: mpsc::UnboundedSender<Event>,
    /// Liveness probes that are scheduled for instances with relayed shards.
    probes: Vec<Probe>,
    /// Token of the customer's rate limit.
    token: TokenState,
    /// Delegate whose shards are sent once a token has been taken.
    unreached_delegate: Option<UnreachedDelegate>,
    /// True once late shards have been retried.
    has_retried_late: bool,
    /// Isolated trials of a request during which replicas have crashed.
    trials: Trials,
    /// Set for an admitted request whose end is recorded for its priority.
    tracked: Option<TrackedRequest>,
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
        let is_established = router.is_established(view);
        let shard = |service: Arc<str>| {
            let connection_limit = view.replica_connection_limit(&service);
            let is_holder = router.holds_connections_to(view, &service);
            let held_zone = Some(&router.zone).filter(|_| is_holder);
            let slack_share = view.retry_slack_share(&service, held_zone, is_established);
            Shard::new(service, connection_limit, slack_share)
        };
        Self {
            router,
            view,
            current_view: Arc::clone(view),
            route,
            route_state,
            request,
            required_shards: route.min_shards(services.len()),
            timing,
            shards: services.into_iter().map(shard).collect(),
            deadlines,
            tasks: InFlightTasks::default(),
            write_flags: Vec::new(),
            events,
            event_sender,
            probes: Vec::new(),
            token: TokenState::default(),
            unreached_delegate: None,
            has_retried_late: false,
            trials: Trials::default(),
            tracked: None,
            gathered: Gathered::default(),
        }
    }

    /// Restricts each shard to the replicas with the given hashes.
    pub(crate) fn restrict_replicas(&mut self, allowed: Vec<Vec<u32>>) {
        for (shard, hashes) in self.shards.iter_mut().zip(allowed) {
            shard.allowed = Some(hashes);
        }
    }

    /// Gathers until the answer is sufficient or can't become sufficient any more.
    pub(crate) async fn run(mut self, requester: Requester) -> Gathered {
        self.trials.run_locally =
            !matches!(requester, Requester::Peer { has_all_shards: false, .. });
        if self.is_quarantined() || !self.take_token_and_start(requester).await {
            self.record_quarantine();
            return self.gathered;
        }
        let is_given_up = loop {
            let now_ms = self.router.shared.now_ms();
            self.current_view = self.router.shared.view.load_full();
            self.retry_late_shards(now_ms);
            let wait_until_ms = match self.progress().decide(now_ms) {
                WaitDecision::Answer => break false,
                WaitDecision::Fail => {
                    self.gathered.is_timed_out = now_ms >= self.deadlines.limit_at_ms;
                    break true;
                }
                WaitDecision::WaitUntil(at_ms) => at_ms,
            };
            self.send_due_hedges(now_ms);
            self.send_due_probes(now_ms);
            self.handle_events(now_ms, wait_until_ms).await;
            if !self.replace_unreached_delegate().await {
                break true;
            }
        };
        self.delay_failure().await;
        // A request that is in flight may still run, so it must not be reported as not run.
        self.gathered.may_have_run |= self.write_flags.iter().any(DispatchFlag::is_set);
        self.token.settle(self.gathered.may_have_run);
        self.record_end();
        if !is_given_up {
            self.tasks.detach_sends();
        }
        if self.gathered.limit_refusal.is_some() && !self.gathered.may_have_run {
            // A customer may be refused a hundred times a second; the shards' names explain nothing.
            return self.gathered;
        }
        self.gathered.missing = self.services(|state| state != ShardState::Covered);
        self.gathered.failed = self.services(|state| state == ShardState::Failed);
        self.gathered.left_out = self.services(|state| state == ShardState::LeftOut);
        self.gathered.drop_duplicates();
        self.record_quarantine();
        self.gathered
    }

    /// Takes the customer's token and sends or relays all shards; returns false if nothing is sent.
    ///
    /// The instance that gathers the whole request takes the token, a delegate if there is one.
    async fn take_token_and_start(&mut self, requester: Requester) -> bool {
        let delegate = match requester {
            Requester::Caller if !self.has_enough_replicas() => return false,
            Requester::Caller => self.delegate().cloned(),
            Requester::Peer { .. } => None,
        };
        let is_part = matches!(requester, Requester::Peer { has_all_shards: false, .. });
        let takes_token = delegate.is_none() && !is_part;
        if takes_token && !self.take_token().await {
            return false;
        }
        self.start(requester, delegate)
    }

    /// Sends or relays all shards; returns false if nothing is sent.
    fn start(&mut self, requester: Requester, delegate: Option<Peer>) -> bool {
        match requester {
            Requester::Caller => self.start_for_caller(delegate),
            Requester::Peer { is_retry, max_omitted, may_leave_out, has_all_shards } => {
                // The requesting instance accepts partial results.
                self.required_shards =
                    if has_all_shards { self.shards.len().saturating_sub(max_omitted) } else { 0 };
                let is_started = self.admit_for_peer(max_omitted, may_leave_out, has_all_shards);
                match (is_started, has_all_shards) {
                    (false, _) => {}
                    (true, true) => self.dispatch_all(is_retry),
                    (true, false) => self.send_all_for_peer(is_retry),
                }
                is_started
            }
        }
    }

    fn start_for_caller(&mut self, delegate: Option<Peer>) -> bool {
        if let Some(peer) = delegate {
            // The delegate knows the replicas' load better and does the admission control as well.
            self.delegate_to(&peer);
            return true;
        }
        let is_started = self.admit();
        if is_started {
            self.dispatch_all(false);
        }
        is_started
    }

    /// Returns the services of the shards whose state matches.
    fn services(&self, is_wanted: impl Fn(ShardState) -> bool) -> Vec<Arc<str>> {
        let wanted = self.shards.iter().filter(|s| is_wanted(s.state));
        wanted.map(|s| Arc::clone(&s.service)).collect()
    }

    /// Waits for an event, the next hedge or probe, or `until_ms`, whichever comes first.
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

    /// True if enough shards have a replica; otherwise the request fails without waiting.
    fn has_enough_replicas(&self) -> bool {
        let has_replica = |s: &&Shard| self.replicas(&s.service).next().is_some();
        self.shards.iter().filter(has_replica).count() >= self.required_shards
    }

    /// Returns the replicas of a service that accept new requests and have not been replaced.
    fn replicas(&self, service: &str) -> impl Iterator<Item = &'a Arc<ReplicaEntry>> + Clone {
        let listed = self.view.replicas.get(service).map_or(&[][..], Vec::as_slice);
        let (router, current_view) = (self.router, &self.current_view);
        let is_same = Arc::ptr_eq(self.view, current_view);
        let accepts_requests = move |r: &&Arc<ReplicaEntry>| is_same || current_view.has_replica(r);
        let homes = &self.route.home_regions;
        let is_home = move |r: &&Arc<ReplicaEntry>| router.is_home(homes, &r.zone);
        listed.iter().filter(accepts_requests).filter(is_home).filter(|r| !router.is_replaced(r))
    }

    /// Returns healthy instances to which shards of the request may be relayed.
    ///
    /// If the route has home regions, the request body is sent only there. Outside of them only the
    /// instance to which the caller connected has it.
    fn healthy_peers(&self) -> Vec<&'a Peer> {
        let mut peers = self.router.healthy_peers(self.view);
        peers.retain(|p| self.router.is_home(&self.route.home_regions, &p.zone));
        peers
    }

    /// True if a replica is warm, or is rate limited by this instance and below its limit.
    fn may_send_directly(&self, replica: &ReplicaEntry) -> bool {
        matches!(
            self.router.cold_admission(&self.current_view, replica),
            ColdAdmission::Unlimited | ColdAdmission::CountedHere
        )
    }

    fn progress(&self) -> GatherState {
        let count = |state| self.shards.iter().filter(|s| s.state == state).count();
        let covered = count(ShardState::Covered);
        // Late shards still count as outstanding while the answer is insufficient without them.
        let late = if covered >= self.required_shards { count(ShardState::Late) } else { 0 };
        GatherState {
            shard_count: self.shards.len(),
            min_covered: self.required_shards,
            covered,
            failed: count(ShardState::Failed) + count(ShardState::LeftOut) + late,
            target_at_ms: self.deadlines.target_at_ms,
            deadline_at_ms: self.deadlines.limit_at_ms,
        }
    }
}
