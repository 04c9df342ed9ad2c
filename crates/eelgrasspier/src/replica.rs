//! One replica as a traffic thread knows it, and permits for its connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use eelgrasspier_backend::Report;
use eelgrasspier_decide::leaving::{Leaving, Server};
use eelgrasspier_decide::replica::Load;
use eelgrasspier_decide::snapshot::Held;
use eelgrasspier_decide::text::ReplicaSpec;
use tokio::sync::Notify;

/// Failed contacts in a row after which a replica is taken for down.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// What a connection is used for; each lane has its own share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// Queries, probes and cancellations.
    Query = 0,
    /// Requests that must not run twice.
    Run = 1,
}

/// One replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) spec: ReplicaSpec,
    pub(crate) is_near: bool,
    pub(crate) load: RefCell<Load>,
    limits: [Cell<u32>; 2],
    used: [Cell<u32>; 2],
    report: RefCell<Report>,
    last_contact_ms: Cell<Option<u64>>,
    consecutive_failures: Cell<u32>,
    /// Wakes parts that wait for a free connection.
    connection_freed: Rc<Notify>,
}

/// How an answer has changed what is known of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ReportChange {
    /// What it holds, or whether it can be used.
    pub(crate) is_changed: bool,
    /// It says that it is leaving, which it did not before.
    pub(crate) leaving: Option<Server>,
    /// It was down and is not any more.
    pub(crate) is_recovered: bool,
}

/// Permission to use one connection; dropping it gives the connection back.
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

    /// Connections of a lane.
    pub(crate) fn limit(&self, kind: ConnectionKind) -> u32 {
        self.limits[kind as usize].get()
    }

    /// Connections of a lane that are in use.
    pub(crate) fn used(&self, kind: ConnectionKind) -> u32 {
        self.used[kind as usize].get()
    }

    /// Sets the connections of a lane; returns whether there are fewer than before.
    pub(crate) fn set_limit(&self, kind: ConnectionKind, limit: u32) -> bool {
        self.limits[kind as usize].replace(limit) > limit
    }

    /// Takes a connection, if one is free.
    pub(crate) fn acquire(self: &Rc<Self>, kind: ConnectionKind) -> Option<Permit> {
        let used = &self.used[kind as usize];
        if used.get() >= self.limit(kind) {
            return None;
        }
        used.set(used.get() + 1);
        self.load.borrow_mut().outstanding += 1;
        Some(Permit { replica: Rc::clone(self), kind })
    }

    /// Whether a connection of the lane is free.
    pub(crate) fn is_free(&self, kind: ConnectionKind) -> bool {
        self.used(kind) < self.limit(kind)
    }

    /// Takes in an answer's report.
    pub(crate) fn apply_report(&self, report: &Report, now_ms: u64) -> ReportChange {
        self.last_contact_ms.set(Some(now_ms));
        let is_recovered = self.consecutive_failures.replace(0) >= FAILURES_UNTIL_DOWN;
        let mut known = self.report.borrow_mut();
        let is_same_incarnation = known.incarnation == report.incarnation;
        let is_leaving = report.is_draining && !(is_same_incarnation && known.is_draining);
        let is_changed =
            known.held != report.held || !is_same_incarnation || is_leaving || is_recovered;
        if is_changed {
            known.clone_from(report);
        }
        let leaving = is_leaving.then(|| self.server(report.incarnation));
        ReportChange { is_changed, leaving, is_recovered }
    }

    /// Notes a failed contact; returns whether the replica is down from now on.
    pub(crate) fn record_failure(&self, now_ms: u64) -> bool {
        self.load.borrow_mut().failed(now_ms);
        self.consecutive_failures.set(self.consecutive_failures.get().saturating_add(1));
        self.consecutive_failures.get() == FAILURES_UNTIL_DOWN
    }

    /// Whether several contacts in a row have failed.
    pub(crate) fn is_down(&self) -> bool {
        self.consecutive_failures.get() >= FAILURES_UNTIL_DOWN
    }

    /// Whether new work may be sent: it neither is leaving nor was said to.
    pub(crate) fn accepts_work(&self, leaving: &Leaving) -> bool {
        let report = self.report.borrow();
        !report.is_draining && !leaving.contains(self.server(report.incarnation))
    }

    /// Whether it says that it holds this version in this partition map.
    pub(crate) fn holds(&self, held: Held) -> bool {
        self.report.borrow().held.contains(&held)
    }

    /// Whether it holds this version, or was never heard of: it says so itself if it does not.
    ///
    /// An instance serves as soon as its share of connections is agreed on, and on a busy machine
    /// the first report of a replica comes a moment later. Other instances ask it for parts from
    /// that replica already, and answers lacked these shards.
    pub(crate) fn may_hold(&self, held: Held) -> bool {
        self.last_contact_ms().is_none() || self.holds(held)
    }

    /// The versions that it says it holds.
    pub(crate) fn held(&self) -> Vec<Held> {
        self.report.borrow().held.clone()
    }

    /// When it was last heard of, in milliseconds since this process started.
    pub(crate) fn last_contact_ms(&self) -> Option<u64> {
        self.last_contact_ms.get()
    }

    fn server(&self, incarnation: u64) -> Server {
        Server { replica: self.spec.id, incarnation }
    }
}
