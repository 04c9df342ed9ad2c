//! One traffic thread: its replicas, services and connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrasspier_backend::{Exchanger, HttpExchanger, PartFailure, Report};
use eelgrasspier_decide::leaving::Leaving;
use eelgrasspier_decide::prelude::Service;
use eelgrasspier_decide::snapshot::Snapshot;
use eelgrasspier_decide::text::ReplicaSpec;
use eelgrasspier_peer::Links;
use tokio::sync::{Notify, mpsc};

use crate::event;
use crate::flight::Landed;
use crate::replica::{Lane, Learnt, Replica};
use crate::service::ServiceState;
use crate::shared::{Ask, SharedRef};
use crate::slices;
use crate::view::View;

/// Time in which a connection to a backend server must be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a probe must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds of upkeep.
const UPKEEP: Duration = Duration::from_millis(250);
/// Rounds of upkeep for which missing snapshots hold up readiness.
const MOST_WARMING_ROUNDS: u32 = 12;
/// Silence of a replica in milliseconds after which it is probed.
const QUIET_MS: u64 = 1_500;

/// The state of one traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: SharedRef,
    pub(crate) links: Links,
    pub(crate) view: RefCell<Arc<View>>,
    /// Wakes parts that wait for a free connection.
    pub(crate) freed: Rc<Notify>,
    number: u32,
    exchanger: RefCell<Rc<dyn Exchanger>>,
    replicas: RefCell<HashMap<u64, Rc<Replica>>>,
    services: RefCell<HashMap<String, Rc<ServiceState>>>,
    /// Upkeep rounds since there is a text, until every service has a snapshot.
    warming: Cell<Option<u32>>,
    /// Moves whenever a snapshot may have to be chosen anew.
    epoch: Cell<u64>,
}

impl std::fmt::Debug for Traffic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Traffic").field("number", &self.number).finish_non_exhaustive()
    }
}

impl Traffic {
    /// Starts a traffic thread's state on the thread that calls it.
    pub(crate) fn start(shared: SharedRef) -> Rc<Self> {
        let (gatherer, asked) = mpsc::unbounded_channel();
        let number = {
            let mut all =
                shared.gatherers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            all.push(gatherer);
            u32::try_from(all.len() - 1).unwrap_or(0)
        };
        let stamps = Arc::clone(&shared);
        let traffic = Rc::new(Self {
            links: Links::new(Rc::new(move || stamps.timeline.clock().stamp())),
            shared,
            view: RefCell::default(),
            freed: Rc::default(),
            number,
            exchanger: RefCell::new(Rc::new(HttpExchanger::new(CONNECT_TIMEOUT))),
            replicas: RefCell::default(),
            services: RefCell::default(),
            warming: Cell::new(Some(0)),
            epoch: Cell::new(0),
        });
        actix_rt::spawn(Rc::clone(&traffic).upkeep());
        actix_rt::spawn(slices::serve(Rc::clone(&traffic), asked));
        traffic
    }

    /// The service of that name in the latest view.
    pub(crate) fn service(self: &Rc<Self>, name: &str) -> Option<Rc<ServiceState>> {
        self.sync();
        self.services.borrow().get(name).cloned()
    }

    pub(crate) fn exchanger(&self) -> Rc<dyn Exchanger> {
        Rc::clone(&self.exchanger.borrow())
    }

    /// The newest complete snapshot, or the fullest one.
    pub(crate) fn choose_snapshot(&self, service: &ServiceState) -> Option<Snapshot> {
        let view = self.view.borrow();
        let services = self.services.borrow();
        let epoch = self.epoch.get();
        let needed: Vec<_> = view
            .services
            .with_dependencies(&service.spec.name)
            .into_iter()
            .filter(|s| s.name != service.spec.name)
            .filter_map(|s| services.get(&s.name))
            .map(|s| s.catalogue(epoch, &view.leaving))
            .collect();
        let needed: Vec<_> = needed.iter().map(Rc::as_ref).collect();
        service.catalogue(epoch, &view.leaving).choose(&needed)
    }

    /// The snapshot at a version that the caller asks for.
    pub(crate) fn snapshot_at(&self, service: &ServiceState, version: u64) -> Option<Snapshot> {
        let view = self.view.borrow();
        service.catalogue(self.epoch.get(), &view.leaving).at(version)
    }

    /// Takes in the end of an exchange.
    pub(crate) fn landed(&self, service: &ServiceState, landed: &Landed) {
        let now_ms = self.shared.now_ms();
        let replica = &landed.replica;
        match &landed.result {
            Ok(answer) => {
                let took_us = u64::try_from(landed.took.as_micros()).unwrap_or(u64::MAX);
                service.latency.borrow_mut().record(took_us);
                replica.load.borrow_mut().answered(took_us, answer.report.load, now_ms);
                self.learn(replica, &answer.report);
            }
            Err(PartFailure::Shed(report) | PartFailure::WrongVersion(report)) => {
                self.learn(replica, report);
                replica.load.borrow_mut().failed(now_ms);
            }
            // Time ran out: that may say more about the deadline than the replica.
            // Whether it is down, the probes find out.
            Err(PartFailure::TimedOut) => {
                let took_us = u64::try_from(landed.took.as_micros()).unwrap_or(u64::MAX);
                replica.load.borrow_mut().outrun(took_us, now_ms);
            }
            Err(failure) => self.failed(replica, failure),
        }
    }

    fn learn(&self, replica: &Replica, report: &Report) {
        let Learnt { is_change, leaving, is_back } = replica.heard(report, self.shared.now_ms());
        if is_change {
            self.epoch.set(self.epoch.get() + 1);
        }
        if is_back {
            self.shared.timeline.record(event::SERVER_UP, &replica.spec.addr.to_string(), "");
        }
        if let Some(server) = leaving {
            drop(self.shared.control.send(Ask::Leaving(server)));
        }
    }

    fn failed(&self, replica: &Replica, failure: &PartFailure) {
        if replica.not_heard(self.shared.now_ms()) {
            self.epoch.set(self.epoch.get() + 1);
            let about = replica.spec.addr.to_string();
            self.shared.timeline.record(event::SERVER_DOWN, &about, &failure.to_string());
        }
    }

    /// Takes in the latest view, if it is new.
    fn sync(self: &Rc<Self>) {
        let latest = self.shared.view.load_full();
        if latest.serial == self.view.borrow().serial {
            return;
        }
        let has_new_text = latest.version != self.view.borrow().version;
        if has_new_text {
            self.rebuild(&latest);
        }
        let has_shrunk = self.set_limits(&latest);
        *self.view.borrow_mut() = latest;
        self.epoch.set(self.epoch.get() + 1);
        if has_shrunk {
            // Idle connections beyond the share close with the old pool, so that
            // another instance can grow into them.
            *self.exchanger.borrow_mut() = Rc::new(HttpExchanger::new(CONNECT_TIMEOUT));
        }
        self.warm(has_shrunk);
    }

    fn rebuild(&self, view: &View) {
        let mut replicas = HashMap::new();
        let mut services = HashMap::new();
        for (name, spec) in &view.services.by_name {
            let known = self.services.borrow().get(name).cloned();
            let state = match known {
                Some(state) if state.spec == *spec => state,
                _ => Rc::new(self.new_service(spec)),
            };
            for replica in state.shards.iter().flatten() {
                replicas.insert(replica.spec.id, Rc::clone(replica));
            }
            services.insert(name.clone(), state);
        }
        *self.replicas.borrow_mut() = replicas;
        *self.services.borrow_mut() = services;
    }

    fn new_service(&self, spec: &Arc<Service>) -> ServiceState {
        let shards = spec
            .shards
            .iter()
            .map(|shard| shard.iter().map(|replica| self.replica(replica)).collect());
        ServiceState::new(spec, shards.collect())
    }

    /// The replica as known, so that a new text forgets nothing that still holds.
    fn replica(&self, spec: &ReplicaSpec) -> Rc<Replica> {
        let known = self.replicas.borrow().get(&spec.id).cloned();
        let is_near = spec.zone == self.shared.settings.zone;
        known
            .unwrap_or_else(|| Rc::new(Replica::new(spec.clone(), is_near, Rc::clone(&self.freed))))
    }

    /// Sets each replica's connections; returns whether any has fewer than before.
    fn set_limits(&self, view: &View) -> bool {
        let mut has_shrunk = false;
        for service in self.services.borrow().values() {
            let spec = &service.spec;
            for replica in service.shards.iter().flatten() {
                let id = replica.spec.id;
                let query = view.share(id, spec.connections - spec.run_connections);
                let run = view.share(id, spec.run_connections);
                has_shrunk |= replica.set_limit(Lane::Query, self.part_of(query, id));
                has_shrunk |= replica.set_limit(Lane::Run, self.part_of(run, id));
            }
            service.fit_gate();
        }
        has_shrunk
    }

    /// This thread's part of the process's share; threads differ by at most one.
    fn part_of(&self, share: u32, replica: u64) -> u32 {
        let threads = u32::try_from(self.shared.settings.traffic_threads).unwrap_or(1).max(1);
        let turn = u32::try_from(replica % u64::from(threads)).unwrap_or(0);
        let place = (self.number + turn) % threads;
        share / threads + u32::from(place < share % threads)
    }

    /// Opens connections before requests need them.
    fn warm(self: &Rc<Self>, is_pool_new: bool) {
        for replica in self.replicas.borrow().values() {
            if is_pool_new || replica.heard_ms().is_none() {
                for _ in 0..replica.limit(Lane::Query) {
                    self.probe(replica);
                }
            }
        }
    }

    fn probe(self: &Rc<Self>, replica: &Rc<Replica>) {
        let Some(permit) = replica.take(Lane::Query) else { return };
        let traffic = Rc::clone(self);
        let exchange = self.exchanger().probe(replica.spec.addr, PROBE_TIMEOUT);
        actix_rt::spawn(async move {
            let result = exchange.await;
            match &result {
                Ok(report) => traffic.learn(permit.replica(), report),
                Err(failure) => traffic.failed(permit.replica(), failure),
            }
        });
    }

    /// Counts this thread as warm once every service has a complete snapshot.
    ///
    /// Callers sent here before would be refused for want of one. A service whose
    /// servers stay away must not hold up the others for long.
    fn note_warm(&self) {
        let Some(rounds) = self.warming.get() else { return };
        if !self.view.borrow().is_ready() {
            return;
        }
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        let is_complete =
            |s: &Rc<ServiceState>| self.choose_snapshot(s).is_some_and(|s| s.is_complete());
        if rounds >= MOST_WARMING_ROUNDS || services.iter().all(is_complete) {
            self.warming.set(None);
            self.shared.warm_threads.fetch_add(1, Ordering::AcqRel);
            return;
        }
        self.warming.set(Some(rounds + 1));
    }

    async fn upkeep(self: Rc<Self>) {
        loop {
            self.sync();
            let now_ms = self.shared.now_ms();
            let replicas: Vec<Rc<Replica>> = self.replicas.borrow().values().cloned().collect();
            for replica in replicas {
                if replica.heard_ms().is_none_or(|heard| now_ms >= heard + QUIET_MS) {
                    self.probe(&replica);
                }
            }
            for service in self.services.borrow().values() {
                service.expire(now_ms);
                service.set_gauges();
            }
            self.note_warm();
            actix_rt::time::sleep(UPKEEP).await;
        }
    }

    /// Backend servers that are leaving, as control knows them.
    pub(crate) fn is_open(&self, replica: &Replica) -> bool {
        let view = self.view.borrow();
        let leaving: &Leaving = &view.leaving;
        replica.is_open(leaving)
    }
}
