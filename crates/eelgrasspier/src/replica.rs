//! State of one replica on a traffic thread, and permits for its connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use eelgrasspier_backend::ServerReport;
use eelgrasspier_decide::draining::{DrainingServers, ServerIncarnation};
use eelgrasspier_decide::relays;
use eelgrasspier_decide::replica::ReplicaLoad;
use eelgrasspier_decide::service_config::ReplicaSpec;
use eelgrasspier_decide::snapshot::HeldVersion;
use tokio::sync::Notify;

/// Number of consecutive failed contacts after which a replica counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// Use of a connection; each kind has its own limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// Queries, probes and cancellations.
    Query = 0,
    /// Requests that must not be executed twice.
    Run = 1,
}

/// State of one replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) spec: ReplicaSpec,
    pub(crate) is_near: bool,
    pub(crate) load: RefCell<ReplicaLoad>,
    limits: [Cell<u32>; 2],
    used: [Cell<u32>; 2],
    report: RefCell<ServerReport>,
    last_contact_ms: Cell<Option<u64>>,
    consecutive_failures: Cell<u32>,
    /// Wakes tasks that wait for a free connection.
    connection_freed: Rc<Notify>,
}

/// Change in the state of a replica caused by a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ReportChange {
    /// True if its versions or its availability changed.
    pub(crate) is_changed: bool,
    /// Set if the server newly announces that it is leaving.
    pub(crate) leaving: Option<ServerIncarnation>,
    /// True if the replica was down before.
    pub(crate) is_recovered: bool,
}

/// Permit to use one connection; dropping it releases the connection.
#[derive(Debug)]
pub(crate) struct Permit {
    replica: Rc<Replica>,
    kind: ConnectionKind,
}

impl Permit {
    pub(crate) fn replica(&self) -> &Rc<Replica> {
        &self.replica
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let used = &self.replica.used[self.kind as usize];
        used.set(used.get() - 1);
        self.replica.load.borrow_mut().outstanding -= 1;
        self.replica.connection_freed.notify_waiters();
    }
}

impl Replica {
    pub(crate) fn new(spec: ReplicaSpec, is_near: bool, connection_freed: Rc<Notify>) -> Self {
        Self {
            spec,
            is_near,
            load: RefCell::default(),
            limits: Default::default(),
            used: Default::default(),
            report: RefCell::default(),
            last_contact_ms: Cell::new(None),
            consecutive_failures: Cell::new(0),
            connection_freed,
        }
    }

    /// Returns the connection limit of a kind.
    pub(crate) fn limit(&self, kind: ConnectionKind) -> u32 {
        self.limits[kind as usize].get()
    }

    /// Returns the number of connections of a kind in use.
    pub(crate) fn used(&self, kind: ConnectionKind) -> u32 {
        self.used[kind as usize].get()
    }

    /// Sets the connection limit of a kind; returns true if it was lowered.
    pub(crate) fn set_limit(&self, kind: ConnectionKind, limit: u32) -> bool {
        self.limits[kind as usize].replace(limit) > limit
    }

    /// Acquires a connection of a kind, if one is free.
    pub(crate) fn acquire(self: &Rc<Self>, kind: ConnectionKind) -> Option<Permit> {
        let used = &self.used[kind as usize];
        if used.get() >= self.limit(kind) {
            return None;
        }
        used.set(used.get() + 1);
        self.load.borrow_mut().outstanding += 1;
        Some(Permit { replica: Rc::clone(self), kind })
    }

    /// Returns true if a connection of the kind is free.
    pub(crate) fn is_free(&self, kind: ConnectionKind) -> bool {
        self.used(kind) < self.limit(kind)
    }

    /// Applies the report that came with an answer.
    pub(crate) fn apply_report(&self, report: &ServerReport, now_ms: u64) -> ReportChange {
        self.last_contact_ms.set(Some(now_ms));
        let is_recovered = self.consecutive_failures.replace(0) >= FAILURES_UNTIL_DOWN;
        let mut known = self.report.borrow_mut();
        let is_same_incarnation = known.incarnation == report.incarnation;
        let is_leaving = report.is_draining && !(is_same_incarnation && known.is_draining);
        let is_changed = known.held_versions != report.held_versions
            || !is_same_incarnation
            || is_leaving
            || is_recovered;
        if is_changed {
            known.clone_from(report);
        }
        let leaving = is_leaving.then(|| self.server(report.incarnation));
        ReportChange { is_changed, leaving, is_recovered }
    }

    /// Records a failed contact; returns true if the replica is down as of this one.
    pub(crate) fn record_failure(&self, now_ms: u64) -> bool {
        self.load.borrow_mut().record_failure(now_ms);
        self.consecutive_failures.set(self.consecutive_failures.get().saturating_add(1));
        self.consecutive_failures.get() == FAILURES_UNTIL_DOWN
    }

    /// Returns true if too many consecutive contacts have failed.
    pub(crate) fn is_down(&self) -> bool {
        self.consecutive_failures.get() >= FAILURES_UNTIL_DOWN
    }

    /// Returns true if new work may be sent.
    ///
    /// Neither the server itself nor another instance has reported that the server is leaving.
    pub(crate) fn accepts_work(&self, leaving: &DrainingServers) -> bool {
        let report = self.report.borrow();
        !report.is_draining && !leaving.contains(self.server(report.incarnation))
    }

    /// Returns true if the replica reports this version with this shard count.
    pub(crate) fn holds(&self, held: HeldVersion) -> bool {
        self.report.borrow().held_versions.contains(&held)
    }

    /// Returns true if the replica holds this version or has not reported yet.
    ///
    /// An instance serves as soon as its connection share is agreed on; on a busy machine the first
    /// report of a replica arrives slightly later. Other instances already request parts of that
    /// replica by then, and their answers would lack these shards. A replica that lacks the version
    /// refuses the request.
    pub(crate) fn may_hold(&self, held: HeldVersion) -> bool {
        self.last_contact_ms().is_none() || self.holds(held)
    }

    /// Returns the versions that the replica reports.
    pub(crate) fn held(&self) -> Vec<HeldVersion> {
        self.report.borrow().held_versions.clone()
    }

    /// True if the server has answered nothing after `since_ms`.
    pub(crate) fn is_silent_since(&self, since_ms: u64) -> bool {
        self.last_contact_ms().is_none_or(|heard_ms| heard_ms <= since_ms)
    }

    /// Returns the time of the last contact, in milliseconds since this process started.
    pub(crate) fn last_contact_ms(&self) -> Option<u64> {
        self.last_contact_ms.get()
    }

    /// Returns the id of the crash that would end the current run of the server.
    ///
    /// `None` if the server has not reported its start time.
    pub(crate) fn crash_id(&self) -> Option<u32> {
        let incarnation = self.report.borrow().incarnation;
        let run = || format!("{}@{incarnation}", self.spec.id);
        (incarnation != 0).then(|| relays::replica_hash(&run()))
    }

    fn server(&self, incarnation: u64) -> ServerIncarnation {
        ServerIncarnation { address_hash: self.spec.id, incarnation }
    }
}
