//! State of one traffic thread: its replicas, services and connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrasspier_backend::{BackendClient, HttpBackendClient, PartFailure, ServerReport};
use eelgrasspier_decide::draining::DrainingServers;
use eelgrasspier_decide::prelude::{Service, ShardId};
use eelgrasspier_decide::service_config::ReplicaSpec;
use eelgrasspier_decide::snapshot::Snapshot;
use eelgrasspier_peer::PeerConnections;
use futures_util::future::join_all;
use tokio::sync::{Notify, mpsc};

use crate::event;
use crate::exchange::CompletedExchange;
use crate::forward;
use crate::replica::{ConnectionKind, Permit, Replica, ReportChange};
use crate::service::ServiceState;
use crate::shared::{ControlRequest, SharedRef};
use crate::view::View;

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that an isolated trial waits for the answers to its probes.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of maintenance rounds for which missing snapshots delay readiness.
const MAX_WARMUP_ROUNDS: u32 = 12;
/// Time in milliseconds without contact after which a replica is probed.
const PROBE_AFTER_SILENCE_MS: u64 = 1_500;

/// State of one traffic thread.
pub(crate) struct TrafficThread {
    pub(crate) shared: SharedRef,
    pub(crate) peer_connections: PeerConnections,
    pub(crate) view: RefCell<Arc<View>>,
    /// Wakes tasks that wait for a free connection.
    pub(crate) connection_freed: Rc<Notify>,
    thread_index: u32,
    backend_client: RefCell<Rc<dyn BackendClient>>,
    replicas: RefCell<HashMap<u64, Rc<Replica>>>,
    services: RefCell<HashMap<String, Rc<ServiceState>>>,
    /// Maintenance rounds spent waiting for snapshots; `None` once this thread counts as warm.
    warmup_rounds: Cell<Option<u32>>,
    /// Incremented whenever snapshots must be selected again.
    snapshot_epoch: Cell<u64>,
}

impl std::fmt::Debug for TrafficThread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Traffic").field("number", &self.thread_index).finish_non_exhaustive()
    }
}

impl TrafficThread {
    /// Creates the state of the calling thread and starts its background tasks.
    pub(crate) fn start(shared: SharedRef) -> Rc<Self> {
        let (parts_sender, parts_requests) = mpsc::unbounded_channel();
        let thread_index = {
            let mut all =
                shared.parts_senders.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            all.push(parts_sender);
            u32::try_from(all.len() - 1).unwrap_or(0)
        };
        let clock_owner = Arc::clone(&shared);
        let traffic = Rc::new(Self {
            peer_connections: PeerConnections::new(Rc::new(move || {
                clock_owner.timeline.clock().stamp()
            })),
            shared,
            view: RefCell::default(),
            connection_freed: Rc::default(),
            thread_index,
            backend_client: RefCell::new(Rc::new(HttpBackendClient::new(CONNECT_TIMEOUT))),
            replicas: RefCell::default(),
            services: RefCell::default(),
            warmup_rounds: Cell::new(Some(0)),
            snapshot_epoch: Cell::new(0),
        });
        actix_rt::spawn(Rc::clone(&traffic).run_maintenance());
        actix_rt::spawn(forward::serve_peers(Rc::clone(&traffic), parts_requests));
        traffic
    }

    /// Returns the service with this name in the latest view.
    pub(crate) fn service(self: &Rc<Self>, name: &str) -> Option<Rc<ServiceState>> {
        self.refresh_view();
        self.services.borrow().get(name).cloned()
    }

    pub(crate) fn backend_client(&self) -> Rc<dyn BackendClient> {
        Rc::clone(&self.backend_client.borrow())
    }

    /// Returns the newest complete snapshot, or else the one with the most reachable shards.
    pub(crate) fn choose_snapshot(&self, service: &ServiceState) -> Option<Snapshot> {
        let view = self.view.borrow();
        let services = self.services.borrow();
        let epoch = self.snapshot_epoch.get();
        let dependencies: Vec<_> = view
            .services
            .with_dependencies(&service.spec.name)
            .into_iter()
            .filter(|s| s.name != service.spec.name)
            .filter_map(|s| services.get(&s.name))
            .map(|s| s.catalog(epoch, &view.leaving))
            .collect();
        let dependencies: Vec<_> = dependencies.iter().map(Rc::as_ref).collect();
        service.catalog(epoch, &view.leaving).select(&dependencies)
    }

    /// Returns the snapshot at the version requested by the caller.
    pub(crate) fn snapshot_at(&self, service: &ServiceState, version: u64) -> Option<Snapshot> {
        let view = self.view.borrow();
        service.catalog(self.snapshot_epoch.get(), &view.leaving).snapshot_at(version)
    }

    /// Updates load, latency and health of the replica after an exchange.
    pub(crate) fn on_exchange_completed(
        &self,
        service: &ServiceState,
        completed: &CompletedExchange,
    ) {
        let now_ms = self.shared.now_ms();
        let replica = &completed.replica;
        match &completed.result {
            Ok(answer) => {
                let took_us = u64::try_from(completed.took.as_micros()).unwrap_or(u64::MAX);
                service.latency.borrow_mut().record(took_us);
                replica.load.borrow_mut().record_answer(took_us, answer.report.load, now_ms);
                self.apply_report(replica, &answer.report);
            }
            Err(PartFailure::Shed(report) | PartFailure::WrongVersion(report)) => {
                self.apply_report(replica, report);
                replica.load.borrow_mut().record_failure(now_ms);
            }
            // A timeout may be due to a short deadline, so it is not counted as a failed contact.
            // Probes detect whether the replica is down.
            Err(PartFailure::TimedOut) => {
                let took_us = u64::try_from(completed.took.as_micros()).unwrap_or(u64::MAX);
                replica.load.borrow_mut().record_abandoned(took_us, now_ms);
            }
            Err(failure) => self.record_failure(replica, failure),
        }
    }

    fn apply_report(&self, replica: &Replica, report: &ServerReport) {
        let ReportChange { is_changed, leaving, is_recovered } =
            replica.apply_report(report, self.shared.now_ms());
        if is_changed {
            self.snapshot_epoch.set(self.snapshot_epoch.get() + 1);
        }
        if is_recovered {
            self.shared.timeline.record(event::SERVER_UP, &replica.spec.addr.to_string(), "");
        }
        if let Some(server) = leaving {
            drop(self.shared.control.send(ControlRequest::ServerLeaving(server)));
        }
    }

    fn record_failure(&self, replica: &Replica, failure: &PartFailure) {
        if replica.record_failure(self.shared.now_ms()) {
            self.snapshot_epoch.set(self.snapshot_epoch.get() + 1);
            let about = replica.spec.addr.to_string();
            self.shared.timeline.record(event::SERVER_DOWN, &about, &failure.to_string());
        }
    }

    /// Applies the latest view if it is new.
    fn refresh_view(self: &Rc<Self>) {
        let latest = self.shared.view.load_full();
        if latest.serial == self.view.borrow().serial {
            return;
        }
        let has_new_text = latest.version != self.view.borrow().version;
        if has_new_text {
            self.rebuild_services(&latest);
        }
        let has_shrunk = self.set_limits(&latest);
        *self.view.borrow_mut() = latest;
        self.snapshot_epoch.set(self.snapshot_epoch.get() + 1);
        if has_shrunk {
            // Dropping the old pool closes idle connections beyond the share, so that another
            // instance can use them.
            *self.backend_client.borrow_mut() = Rc::new(HttpBackendClient::new(CONNECT_TIMEOUT));
        }
        self.open_connections(has_shrunk);
    }

    fn rebuild_services(&self, view: &View) {
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
        let shards = spec.shards.iter().map(|shard| {
            shard.iter().map(|replica| self.reuse_or_create_replica(replica)).collect()
        });
        ServiceState::new(spec, shards.collect())
    }

    /// Returns the existing replica, or a new one.
    ///
    /// Reuse keeps load and health information across changes of the text.
    fn reuse_or_create_replica(&self, spec: &ReplicaSpec) -> Rc<Replica> {
        let known = self.replicas.borrow().get(&spec.id).cloned();
        let is_near = spec.zone == self.shared.settings.zone;
        known.unwrap_or_else(|| {
            Rc::new(Replica::new(spec.clone(), is_near, Rc::clone(&self.connection_freed)))
        })
    }

    /// Sets the connection limits of all replicas; returns true if any limit was lowered.
    fn set_limits(&self, view: &View) -> bool {
        let mut has_shrunk = false;
        for service in self.services.borrow().values() {
            let spec = &service.spec;
            for replica in service.shards.iter().flatten() {
                let id = replica.spec.id;
                let query = view.connection_share(id, spec.connections - spec.run_connections);
                let run = view.connection_share(id, spec.run_connections);
                has_shrunk |=
                    replica.set_limit(ConnectionKind::Query, self.thread_share(query, id));
                has_shrunk |= replica.set_limit(ConnectionKind::Run, self.thread_share(run, id));
            }
            service.update_admission_limit();
        }
        has_shrunk
    }

    /// Returns this thread's part of the process's connection share.
    ///
    /// The parts of two threads differ by at most one.
    fn thread_share(&self, share: u32, replica: u64) -> u32 {
        let threads = u32::try_from(self.shared.settings.traffic_threads).unwrap_or(1).max(1);
        let offset = u32::try_from(replica % u64::from(threads)).unwrap_or(0);
        let position = (self.thread_index + offset) % threads;
        share / threads + u32::from(position < share % threads)
    }

    /// Opens connections by probing, before requests need them.
    fn open_connections(self: &Rc<Self>, is_pool_new: bool) {
        for replica in self.replicas.borrow().values() {
            if is_pool_new || replica.last_contact_ms().is_none() {
                for _ in 0..replica.limit(ConnectionKind::Query) {
                    self.probe(replica);
                }
            }
        }
    }

    fn probe(self: &Rc<Self>, replica: &Rc<Replica>) {
        let Some(permit) = replica.acquire(ConnectionKind::Query) else { return };
        let traffic = Rc::clone(self);
        actix_rt::spawn(async move {
            traffic.probe_with(&permit).await;
        });
    }

    /// Probes a replica; returns true if it answers.
    async fn probe_with(&self, permit: &Permit) -> bool {
        let replica = permit.replica();
        let result = self.backend_client().probe(replica.spec.addr, PROBE_TIMEOUT).await;
        match &result {
            Ok(report) => self.apply_report(replica, report),
            Err(failure) => self.record_failure(replica, failure),
        }
        result.is_ok()
    }

    /// Returns true if a replica answers a probe, or none can be sent.
    pub(crate) async fn answers_probe(&self, replica: &Rc<Replica>) -> bool {
        let Some(permit) = replica.acquire(ConnectionKind::Query) else { return true };
        self.probe_with(&permit).await
    }

    /// Probes all replicas of a shard, so that their current runs are known.
    ///
    /// An isolated trial identifies the crash of its server by the run of the server, which may
    /// have restarted since its last answer.
    pub(crate) async fn refresh_replicas(&self, service: &ServiceState, shard: Option<ShardId>) {
        let replicas = shard.and_then(|shard| service.shards.get(shard as usize));
        let permits = replicas.into_iter().flatten();
        let permits: Vec<Permit> =
            permits.filter_map(|r| r.acquire(ConnectionKind::Query)).collect();
        let probes = join_all(permits.iter().map(|permit| self.probe_with(permit)));
        drop(tokio::time::timeout(REFRESH_TIMEOUT, probes).await);
    }

    /// Counts this thread as warm once every service has a complete snapshot.
    ///
    /// Before that, queries would be refused for lack of a snapshot. The number of rounds is
    /// limited so that a service with unreachable servers cannot block the others.
    fn update_warmup(&self) {
        let Some(rounds) = self.warmup_rounds.get() else { return };
        if !self.view.borrow().is_ready() {
            return;
        }
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        let is_complete =
            |s: &Rc<ServiceState>| self.choose_snapshot(s).is_some_and(|s| s.is_complete());
        if rounds >= MAX_WARMUP_ROUNDS || services.iter().all(is_complete) {
            self.warmup_rounds.set(None);
            self.shared.warm_threads.fetch_add(1, Ordering::AcqRel);
            return;
        }
        self.warmup_rounds.set(Some(rounds + 1));
    }

    async fn run_maintenance(self: Rc<Self>) {
        loop {
            self.refresh_view();
            let now_ms = self.shared.now_ms();
            let replicas: Vec<Rc<Replica>> = self.replicas.borrow().values().cloned().collect();
            for replica in replicas {
                if replica
                    .last_contact_ms()
                    .is_none_or(|heard| now_ms >= heard + PROBE_AFTER_SILENCE_MS)
                {
                    self.probe(&replica);
                }
            }
            for service in self.services.borrow().values() {
                service.expire_waiters(now_ms);
                service.set_gauges();
            }
            self.update_warmup();
            actix_rt::time::sleep(MAINTENANCE_INTERVAL).await;
        }
    }

    /// Returns true if new work may be sent to the replica.
    pub(crate) fn accepts_work(&self, replica: &Replica) -> bool {
        let view = self.view.borrow();
        let leaving: &DrainingServers = &view.leaving;
        replica.accepts_work(leaving)
    }
}
