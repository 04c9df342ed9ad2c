//! A router with scripted replicas, mostly in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::history::Edition;
use eelgrasspier_decide::prelude::RefusalReason;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::retry_budget::RetryLimits;
use eelgrasspier_decide::route::{Configuration, Route, RouteTable, ServiceLimits, Target};
use eelgrasspier_router::{
    Attempt, Backend, BackendFuture, Credential, Outcome, Reply, Request, RequestProgress,
};
use eelgrasspier_router::{Router, SharedState, View};
use http::header::{AUTHORIZATION, HeaderName};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The behavior of a replica for the requests that reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaBehavior {
    /// It answers after this many milliseconds.
    AnswersAfter(u64),
    /// It answers with its own error after this many milliseconds.
    FailsAfter(u64),
    /// It reports at once that it did not run the request.
    Sheds,
    /// It runs the request, and the answer is lost after this many milliseconds.
    LosesAnswerAfter(u64),
    /// It runs the request, and half of the answers are lost after this many milliseconds.
    LosesHalfAfter(u64),
    /// It never answers.
    Silent,
    /// Another replica has taken over its address and says so.
    Replaced,
    /// No connection to it can be established.
    Unreachable,
}

/// One request that reached a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    pub replica: String,
    pub id: String,
    pub at_ms: u64,
    pub time_left: Duration,
    pub headers: HeaderMap,
    pub customer: Option<Arc<str>>,
}

/// Scripted replicas.
#[derive(Default)]
pub struct ScriptedReplicas {
    pub behaviors: RefCell<HashMap<String, ReplicaBehavior>>,
    /// Replicas without a free connection.
    pub saturated: RefCell<HashSet<String>>,
    /// Replicas that have crashed.
    pub crashed: RefCell<HashSet<String>>,
    /// Signalled when a replica crashes.
    crash_signals: RefCell<HashMap<String, Rc<Notify>>>,
    pub arrivals: RefCell<Vec<Arrival>>,
    pub cancelled: Rc<RefCell<u32>>,
    started: RefCell<Option<Instant>>,
    /// Time that a crashing request runs before the crash, in milliseconds, in addition to 1 ms.
    pub crash_delay_ms: Cell<u64>,
    /// Time that a check for a listening replica takes, in milliseconds, in addition to 1 ms.
    pub check_delay_ms: Cell<u64>,
    /// Number of checks that have not ended.
    pub pending_checks: Cell<u32>,
    /// True if replicas fall silent instead of crashing.
    pub falls_silent: Cell<bool>,
    /// True if crashed replicas keep listening: only their connections are lost.
    pub keeps_listening: Cell<bool>,
}

impl ScriptedReplicas {
    pub fn set_behavior(&self, replica: &str, behavior: ReplicaBehavior) {
        self.behaviors.borrow_mut().insert(replica.to_owned(), behavior);
    }

    /// Crashes a replica: its requests in progress are lost, and it usually stops listening.
    pub fn crash(&self, replica: &str) {
        if !self.keeps_listening.get() {
            self.crashed.borrow_mut().insert(replica.to_owned());
        }
        self.crash_signal(replica).notify_waiters();
    }

    /// Restarts all crashed and silent replicas.
    pub fn restart_all(&self) {
        self.crashed.borrow_mut().clear();
        self.behaviors.borrow_mut().retain(|_, b| *b != ReplicaBehavior::Silent);
    }

    fn crash_signal(&self, replica: &str) -> Rc<Notify> {
        Rc::clone(self.crash_signals.borrow_mut().entry(replica.to_owned()).or_default())
    }

    pub fn arrivals_at(&self, replica: &str) -> usize {
        self.arrivals.borrow().iter().filter(|a| a.replica == replica).count()
    }
}

/// Counts an exchange that is dropped before its end.
struct CancelGuard(Rc<RefCell<u32>>, bool);

impl CancelGuard {
    fn finish(&mut self) {
        self.1 = true;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.1 {
            *self.0.borrow_mut() += 1;
        }
    }
}

pub struct ScriptedBackend(pub Rc<ScriptedReplicas>);

impl Backend for ScriptedBackend {
    fn identity_headers(&self) -> &'static [HeaderName] {
        &IDENTITY_HEADERS
    }

    fn send(&self, attempt: Attempt) -> BackendFuture<Reply> {
        let replicas = &self.0;
        let started = *replicas.started.borrow_mut().get_or_insert_with(Instant::now);
        let replica = attempt.replica.id.to_string();
        if replicas.crashed.borrow().contains(&replica) {
            return Box::pin(std::future::ready(Err(PartFailure::NotListening)));
        }
        let behavior = replicas.behaviors.borrow().get(&replica).copied();
        replicas.arrivals.borrow_mut().push(Arrival {
            replica: replica.clone(),
            id: attempt.request.id_text().to_owned(),
            at_ms: u64::try_from(started.elapsed().as_millis()).unwrap(),
            time_left: attempt.time_left,
            headers: attempt.request.headers.clone(),
            customer: attempt.request.customer.clone(),
        });
        let arrival = u64::try_from(replicas.arrivals.borrow().len()).unwrap();
        let is_lost = rendezvous::weight(arrival, 0).is_multiple_of(2);
        let behavior = match behavior {
            Some(ReplicaBehavior::LosesHalfAfter(ms)) if is_lost => {
                Some(ReplicaBehavior::LosesAnswerAfter(ms))
            }
            Some(ReplicaBehavior::LosesHalfAfter(ms)) => Some(ReplicaBehavior::AnswersAfter(ms)),
            other => other,
        };
        let mut guard = CancelGuard(Rc::clone(&replicas.cancelled), false);
        let replicas = Rc::clone(replicas);
        Box::pin(async move {
            let crash_signal = replicas.crash_signal(&replica);
            let crashed = crash_signal.notified();
            let answering =
                perform(behavior.unwrap_or(ReplicaBehavior::AnswersAfter(5)), &replica, &attempt);
            let is_crashing = attempt.request.path.path().contains(CRASH_PATH);
            let crashing = async {
                if is_crashing {
                    attempt.dispatched.set();
                    let runs_ms = 1 + replicas.crash_delay_ms.get();
                    tokio::time::sleep(Duration::from_millis(runs_ms)).await;
                    if replicas.falls_silent.get() {
                        replicas.set_behavior(&replica, ReplicaBehavior::Silent);
                    } else {
                        replicas.crash(&replica);
                    }
                }
                std::future::pending::<()>().await;
            };
            let result = tokio::select! {
                biased;
                () = crashed => Err(PartFailure::Lost("reset".to_owned())),
                () = crashing => unreachable!("it is never ready"),
                result = answering, if !is_crashing => result,
            };
            guard.finish();
            result
        })
    }

    fn has_capacity(&self, replica: &str, max_connections: u32) -> bool {
        let saturated = self.0.saturated.borrow();
        max_connections > 0 && !saturated.contains(replica)
    }

    fn preconnect(&self, _: Arc<ReplicaEntry>, _: u32) -> BackendFuture<()> {
        Box::pin(std::future::ready(Ok(())))
    }

    fn check_listening(&self, replica: Arc<ReplicaEntry>, _: u32) -> BackendFuture<()> {
        let has_crashed = self.0.crashed.borrow().contains(&*replica.id);
        let result = if has_crashed { Err(PartFailure::NotListening) } else { Ok(()) };
        let replicas = Rc::clone(&self.0);
        replicas.pending_checks.update(|count| count + 1);
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(1 + replicas.check_delay_ms.get())).await;
            replicas.pending_checks.update(|count| count - 1);
            result
        })
    }

    fn check_answering(
        &self,
        replica: Arc<ReplicaEntry>,
        _: PathAndQuery,
        _: u32,
    ) -> BackendFuture<()> {
        let behavior = self.0.behaviors.borrow().get(&*replica.id).copied();
        Box::pin(async move {
            if behavior == Some(ReplicaBehavior::Silent) {
                tokio::time::sleep(Duration::from_secs(1)).await;
                return Err(PartFailure::TimedOut);
            }
            Ok(())
        })
    }

    fn retain(&self, _: &HashSet<Arc<str>>) {}
}

async fn perform(
    behavior: ReplicaBehavior,
    replica: &str,
    attempt: &Attempt,
) -> Result<Reply, PartFailure> {
    let pause = |ms| tokio::time::sleep(Duration::from_millis(ms));
    if behavior != ReplicaBehavior::Unreachable {
        attempt.dispatched.set();
    }
    match behavior {
        ReplicaBehavior::AnswersAfter(ms) | ReplicaBehavior::LosesHalfAfter(ms) => pause(ms).await,
        ReplicaBehavior::FailsAfter(ms) => {
            pause(ms).await;
            return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, replica));
        }
        ReplicaBehavior::Replaced => return Err(PartFailure::Misdirected),
        ReplicaBehavior::Sheds => return Err(PartFailure::Shed(Box::default())),
        ReplicaBehavior::LosesAnswerAfter(ms) => {
            pause(ms).await;
            return Err(PartFailure::Lost("reset".to_owned()));
        }
        ReplicaBehavior::Silent => {
            tokio::time::sleep(attempt.time_left).await;
            return Err(PartFailure::TimedOut);
        }
        ReplicaBehavior::Unreachable => {
            tokio::time::sleep(attempt.time_left).await;
            return Err(PartFailure::NotReached("connect timed out".to_owned()));
        }
    }
    Ok(reply(StatusCode::OK, replica))
}

fn reply(status: StatusCode, replica: &str) -> Reply {
    Reply {
        status,
        headers: HeaderMap::new(),
        body: Bytes::copy_from_slice(&[7; 16]),
        signature: Some(replica.to_owned().into()),
        load: None,
    }
}

/// A router and its scripted replicas, two for each shard: `s0/a`, `s0/b` and so on.
pub struct Fixture {
    pub replicas: Rc<ScriptedReplicas>,
    pub shared: Arc<SharedState>,
    pub router: Rc<Router>,
}

pub fn route(shards: usize) -> Route {
    let names: Vec<Arc<str>> = (0..shards).map(|i| format!("s{i}").into()).collect();
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/q/".into(),
        target: Target::Shards(names.into()),
        is_idempotent: true,
        attempts: 2,
        timeout_ms: 400,
        target_latency_ms: 80,
        priority: 0,
        top_k: 5,
        min_coverage: 0.75,
        home_regions: [].into(),
        is_public: false,
    }
}

pub const RETRY_LIMITS: RetryLimits =
    RetryLimits { ratio_milli: 200, slack: 54, window_ms: 10_000 };

impl Fixture {
    pub fn new(route: Route, services: usize) -> Self {
        Self::with_limits(route, services, RETRY_LIMITS)
    }

    pub fn with_limits(route: Route, services: usize, limits: RetryLimits) -> Self {
        let replicas = Rc::new(ScriptedReplicas::default());
        let shared = Arc::new(SharedState::new());
        let backend = Rc::new(ScriptedBackend(Rc::clone(&replicas)));
        let router = Router::new(Arc::clone(&shared), backend, "own", "z1".into(), limits);
        shared.publish(view(route, services));
        Self { replicas, shared, router }
    }

    pub async fn serve(&self, id: &str, deadline_ms: u64) -> Outcome {
        self.router.serve(request(id, deadline_ms)).await
    }

    /// Serves requests whose answers are lost until the router refuses one as overloaded.
    ///
    /// Each is another request: one whose answers are always lost is paused. In real time the losses of a fixed number of requests may not be enough, since they age.
    pub async fn lose_answers_until_refused(&self, deadline_ms: u64) {
        const MAX_REQUESTS: usize = 50;
        for number in 0..MAX_REQUESTS {
            let path = format!("t{number}");
            let outcome = self.router.serve(request_to_path(&path, &path, deadline_ms)).await;
            if matches!(outcome, Outcome::Refused(r) if r.reason == RefusalReason::Overloaded) {
                return;
            }
        }
        panic!("no request was refused as overloaded");
    }
}

/// Headers that state the caller's identity.
static IDENTITY_HEADERS: [HeaderName; 2] = [AUTHORIZATION, HeaderName::from_static("x-name")];

/// Part of the path of requests that crash each replica that runs them, after 1 ms.
pub const CRASH_PATH: &str = "ends";

pub fn request(id: &str, deadline_ms: u64) -> Request {
    request_to_path("x", id, deadline_ms)
}

/// Creates a request whose path ends with `path`.
pub fn request_to_path(path: &str, id: &str, deadline_ms: u64) -> Request {
    Request {
        id: HeaderValue::from_str(id).unwrap(),
        method: Method::GET,
        host: "h".to_owned(),
        path: format!("/q/{path}").parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: Instant::now(),
        deadline_ms: Some(deadline_ms),
        credential: Credential::None,
        customer: None,
        progress: RequestProgress::default(),
    }
}

pub fn view(route: Route, services: usize) -> View {
    let mut configuration = Configuration { version: 1, ..Configuration::default() };
    configuration.routes.push(Arc::new(route));
    let mut replicas: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>> = HashMap::new();
    for i in 0..services {
        let service: Arc<str> = format!("s{i}").into();
        let limits = ServiceLimits {
            max_connections: 25,
            health_path: "/healthz".to_owned(),
            warm_up_ms: 3_000,
            cold_rate_milli: 4_000,
        };
        configuration.services.insert(Arc::clone(&service), limits);
        let entries = [("a", "z1"), ("b", "z2")].map(|(name, zone)| {
            Arc::new(ReplicaEntry {
                id: format!("{service}/{name}").into(),
                name: format!("{service}/{name}").into(),
                report: Edition::default(),
                service: Arc::clone(&service),
                addr: ([127, 0, 0, 1], 1).into(),
                zone: zone.into(),
                slots: 2,
                is_draining: false,
                cold_left_ms: 0,
            })
        });
        replicas.insert(service, entries.to_vec());
    }
    View {
        route_table: Arc::new(RouteTable::from(&configuration)),
        configuration: Some(Arc::new(configuration)),
        replicas: Arc::new(replicas),
        has_confirmed_replicas: true,
        instance_count: 1,
        is_gatherer: true,
        capacity_milli: 250,
        ..View::default()
    }
    .with_derived_fields("z1")
}

/// Runs a test in virtual time on one thread.
pub fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Runs a test over real connections on one thread.
pub fn in_real_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
