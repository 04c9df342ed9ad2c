//! What the threads of one process share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use eelgrasspier_decide::claim::{Key, Nonce, Outcome};
use eelgrasspier_decide::leaving::Server;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_operator::{InstanceStatus, ShownText, SubmitAnswer, Submitted, TimelineEntry};
use eelgrasspier_peer::wire::{Parts, PartsDone};
use eelgrasspier_store::ClaimError;
use tokio::sync::{mpsc, oneshot};

use crate::quarantine::QuarantineState;
use crate::settings::Settings;
use crate::timeline::Timeline;
use crate::view::View;

/// What traffic threads ask of the control thread.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Claim an idempotency key.
    Claim {
        key: Key,
        nonce: Nonce,
        until: Instant,
        reply: oneshot::Sender<Result<Outcome, ClaimError>>,
    },
    /// Give back the claim of an attempt that surely never sent anything.
    Release { key: Key, nonce: Nonce },
    /// A backend server says that it is leaving.
    ServerLeaving(Server),
    /// Submit an edit of the operators' text.
    Submit { submitted: Submitted, reply: oneshot::Sender<SubmitAnswer> },
    /// Show the text in force.
    Text { reply: oneshot::Sender<Option<ShownText>> },
    /// Status of all instances.
    Status { reply: oneshot::Sender<Vec<InstanceStatus>> },
    /// Events of all instances.
    Timeline { about: String, from_stamp: u64, reply: oneshot::Sender<Vec<TimelineEntry>> },
    /// Something was found out of a request that ends backend servers.
    SendReport(Report),
    /// A planned stop begins.
    BeginStop,
    /// Connections are let go: tell the others and end.
    AnnounceLeft { reply: oneshot::Sender<()> },
}

/// Parts that another instance asks for.
#[derive(Debug)]
pub(crate) struct PartsRequest {
    pub(crate) parts: Parts,
    pub(crate) reply: oneshot::Sender<PartsDone>,
}

/// What the threads of one process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    pub(crate) view: ArcSwap<View>,
    pub(crate) timeline: Timeline,
    pub(crate) control: mpsc::UnboundedSender<ControlRequest>,
    /// Traffic threads that know a snapshot of every service.
    pub(crate) warm_threads: AtomicUsize,
    /// Snapshot in use of each service.
    pub(crate) snapshots: Mutex<BTreeMap<String, u64>>,
    /// Traffic threads that gather parts for other instances.
    pub(crate) parts_senders: Mutex<Vec<mpsc::UnboundedSender<PartsRequest>>>,
    /// Requests that end backend servers.
    pub(crate) quarantine: QuarantineState,
}

impl Shared {
    /// Milliseconds since this process started.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether a balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let warm = self.warm_threads.load(Ordering::Acquire);
        warm >= self.settings.traffic_threads && self.view.load().is_ready()
    }

    /// Asks the control thread and waits; `None` if it is gone.
    pub(crate) async fn call_control<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.control.send(build(reply)).ok()?;
        answer.await.ok()
    }

    /// Notes the snapshot that a service is answered from; returns whether it is new.
    pub(crate) fn record_snapshot(&self, service: &str, version: u64) -> bool {
        let mut snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        if snapshots.get(service) == Some(&version) {
            return false;
        }
        snapshots.insert(service.to_owned(), version);
        true
    }

    /// The traffic thread that gathers parts for another instance.
    pub(crate) fn parts_sender(
        &self,
        selector: u64,
    ) -> Option<mpsc::UnboundedSender<PartsRequest>> {
        let parts_senders = self.parts_senders.lock().unwrap_or_else(PoisonError::into_inner);
        let count = parts_senders.len().max(1) as u64;
        parts_senders.get(usize::try_from(selector % count).unwrap_or(0)).cloned()
    }
}

/// The shared state, as each thread holds it.
pub(crate) type SharedRef = Arc<Shared>;
