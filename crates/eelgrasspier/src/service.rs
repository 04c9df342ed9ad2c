//! State of one service on a traffic thread: replicas, admission, budgets and snapshots.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::admission::{Completion, Decision, Gate, LoadSignal, Resolution, Ticket};
use eelgrasspier_decide::draining::DrainingServers;
use eelgrasspier_decide::hedge::LatencyQuantile;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, Service, ShardId};
use eelgrasspier_decide::snapshot::{HeldVersion, SnapshotCatalog};
use eelgrasspier_decide::token_bucket::TokenBucket;
use tokio::sync::oneshot;

use crate::replica::{ConnectionKind, Replica};

/// Maximum number of unused hedges in the budget.
const MAX_SAVED_HEDGES: u32 = 20;
/// Retry budget in percent of regular parts.
const RETRY_PERCENT: u32 = 10;
/// Maximum number of unused retries in the budget.
const MAX_SAVED_RETRIES: u32 = 50;

/// State of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) spec: Arc<Service>,
    pub(crate) name: Rc<str>,
    pub(crate) shards: Vec<Vec<Rc<Replica>>>,
    pub(crate) latency: RefCell<LatencyQuantile>,
    pub(crate) hedges: RefCell<TokenBucket>,
    pub(crate) retries: RefCell<TokenBucket>,
    admission: RefCell<Gate>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>>,
    catalog: RefCell<Rc<SnapshotCatalog>>,
    catalogue_epoch: Cell<u64>,
}

impl ServiceState {
    pub(crate) fn new(spec: &Arc<Service>, shards: Vec<Vec<Rc<Replica>>>) -> Self {
        Self {
            name: spec.name.as_str().into(),
            shards,
            latency: RefCell::default(),
            hedges: RefCell::new(TokenBucket::new(spec.hedge_percent, MAX_SAVED_HEDGES)),
            retries: RefCell::new(TokenBucket::new(RETRY_PERCENT, MAX_SAVED_RETRIES)),
            admission: RefCell::new(Gate::new(1)),
            waiters: RefCell::default(),
            catalog: RefCell::default(),
            catalogue_epoch: Cell::new(u64::MAX),
            spec: Arc::clone(spec),
        }
    }

    /// Limits the requests in progress to the connections of the shard that has the fewest.
    pub(crate) fn update_admission_limit(&self) {
        let shard_limit = |shard: &Vec<Rc<Replica>>| -> u32 {
            shard.iter().map(|r| r.limit(ConnectionKind::Query)).sum()
        };
        let limit = self.shards.iter().map(shard_limit).filter(|&limit| limit > 0).min();
        self.admission.borrow_mut().set_max_running(limit.unwrap_or(1));
    }

    /// Updates the gauges of allowed and used connections.
    pub(crate) fn set_gauges(&self) {
        let replicas = || self.shards.iter().flatten();
        let kinds = [ConnectionKind::Query, ConnectionKind::Run];
        let allowed: u32 =
            replicas().map(|r| kinds.map(|kind| r.limit(kind)).iter().sum::<u32>()).sum();
        let used: u32 =
            replicas().map(|r| kinds.map(|kind| r.used(kind)).iter().sum::<u32>()).sum();
        let service = self.spec.name.clone();
        metrics::gauge!("eelgrasspier_connections_allowed", "service" => service.clone())
            .set(f64::from(allowed));
        metrics::gauge!("eelgrasspier_connections_used", "service" => service).set(f64::from(used));
    }

    /// Returns the versions held by the replicas that accept work; rebuilt when `epoch` changes.
    pub(crate) fn catalog(&self, epoch: u64, leaving: &DrainingServers) -> Rc<SnapshotCatalog> {
        if self.catalogue_epoch.replace(epoch) != epoch {
            *self.catalog.borrow_mut() = Rc::new(self.build_catalog(leaving));
        }
        Rc::clone(&self.catalog.borrow())
    }

    fn build_catalog(&self, leaving: &DrainingServers) -> SnapshotCatalog {
        let mut catalog = SnapshotCatalog::default();
        let mut all: Vec<HeldVersion> = Vec::new();
        for (number, replicas) in self.numbered_shards() {
            for replica in replicas.iter().filter(|r| !r.is_down() && r.accepts_work(leaving)) {
                let held = replica.held();
                catalog.add(number, &held);
                all.extend(held);
            }
        }
        all.sort_unstable();
        all.dedup();
        // The versions of replicas without a local connection are not known here. They are assumed
        // to hold every known version; the request for a part shows whether they do.
        for (number, replicas) in self.numbered_shards() {
            if !has_connections(replicas) {
                catalog.add(number, &all);
            }
        }
        catalog
    }

    fn numbered_shards(&self) -> impl Iterator<Item = (ShardId, &Vec<Rc<Replica>>)> {
        self.shards.iter().enumerate().map(|(i, r)| (ShardId::try_from(i).unwrap_or(0), r))
    }

    /// Admits a request, at once or after waiting in the queue.
    ///
    /// # Errors
    /// Returns a refusal if the request cannot be admitted early enough to be executed in time.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        team: &str,
        weight: u32,
        deadline: Instant,
        clock: fn() -> u64,
    ) -> Result<AdmissionGuard, Refusal> {
        let left = deadline.saturating_duration_since(Instant::now());
        let deadline_ms = clock() + u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let decision = self.admission.borrow_mut().admit(team, weight, deadline_ms, clock());
        let admitted = |service: &Rc<Self>| AdmissionGuard {
            service: Rc::clone(service),
            team: team.to_owned(),
            started: Instant::now(),
            deadline,
            ending: Cell::new(LoadSignal::Neutral),
            clock,
        };
        match decision {
            Decision::Run => Ok(admitted(self)),
            Decision::Refuse(refusal) => Err(refusal),
            Decision::Wait { ticket, until_ms } => {
                let pause = Duration::from_millis(until_ms.saturating_sub(clock()));
                self.wait(ticket, Instant::now() + pause).await?;
                Ok(admitted(self))
            }
        }
    }

    async fn wait(self: &Rc<Self>, ticket: Ticket, until: Instant) -> Result<(), Refusal> {
        let (reply, resolved) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, reply);
        let guard = WaitGuard { service: Rc::clone(self), ticket };
        let waited = tokio::time::timeout_at(until.into(), resolved).await;
        drop(guard);
        match waited {
            Ok(Ok(result)) => result,
            _ => {
                Err(Refusal::not_run(RefusalReason::Overloaded, Some(QUEUE_TIMEOUT_RETRY_AFTER_MS)))
            }
        }
    }

    /// Refuses waiting requests whose remaining time no longer suffices.
    pub(crate) fn expire_waiters(&self, now_ms: u64) {
        let resolved = self.admission.borrow_mut().refuse_expired(now_ms);
        self.resolve(resolved);
    }

    fn resolve(&self, resolved: Vec<Resolution>) {
        for entry in resolved {
            let (ticket, result) = match entry {
                Resolution::Start(ticket) => (ticket, Ok(())),
                Resolution::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(reply) = self.waiters.borrow_mut().remove(&ticket) {
                drop(reply.send(result));
            }
        }
    }
}

/// Retry delay suggested to callers whose request timed out in the queue.
const QUEUE_TIMEOUT_RETRY_AFTER_MS: u64 = 100;

/// Returns true if this instance may connect to any replica of a shard.
pub(crate) fn has_connections(replicas: &[Rc<Replica>]) -> bool {
    replicas.iter().any(|r| r.limit(ConnectionKind::Query) > 0)
}

/// A waiting request; dropping it early removes it from the queue.
struct WaitGuard {
    service: Rc<ServiceState>,
    ticket: Ticket,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.service.waiters.borrow_mut().remove(&self.ticket).is_some() {
            self.service.admission.borrow_mut().cancel(self.ticket);
        }
    }
}

/// An admitted request; dropping it admits the next one.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    service: Rc<ServiceState>,
    team: String,
    started: Instant,
    deadline: Instant,
    ending: Cell<LoadSignal>,
    clock: fn() -> u64,
}

impl AdmissionGuard {
    /// Sets the outcome of the request for admission control.
    pub(crate) fn set_ending(&self, ending: LoadSignal) {
        self.ending.set(ending);
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let ended = Completion {
            signal: self.ending.get(),
            took_us: micros(self.started.elapsed()),
            budget_us: micros(self.deadline.saturating_duration_since(self.started)),
        };
        let now_ms = (self.clock)();
        let resolved = {
            let mut admission = self.service.admission.borrow_mut();
            admission.complete(&self.team, ended, now_ms)
        };
        self.service.resolve(resolved);
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
