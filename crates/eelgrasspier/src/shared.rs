//! State shared by the threads of the process.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use eelgrasspier_decide::claim::{ClaimResult, Key, Nonce};
use eelgrasspier_decide::draining::ServerIncarnation;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_operator::{
    InstanceStatus, SubmitRequest, SubmitResponse, TextResponse, TimelineEntry,
};
use eelgrasspier_peer::wire::{PartsDone, QueryPartsRequest};
use eelgrasspier_store::ClaimError;
use tokio::sync::{mpsc, oneshot};

use crate::quarantine::QuarantineState;
use crate::settings::Settings;
use crate::timeline::Timeline;
use crate::view::View;

/// Request from a traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Claims an idempotency key.
    Claim {
        key: Key,
        nonce: Nonce,
        until: Instant,
        reply: oneshot::Sender<Result<ClaimResult, ClaimError>>,
    },
    /// Releases the claim of an attempt whose request certainly did not run.
    Release { key: Key, nonce: Nonce },
    /// Reports that a backend server announced that it is leaving.
    ServerLeaving(ServerIncarnation),
    /// Submits an edit of the operators' text.
    Submit { submit_request: SubmitRequest, reply: oneshot::Sender<SubmitResponse> },
    /// Returns the text in force.
    Text { reply: oneshot::Sender<Option<TextResponse>> },
    /// Returns the status of all instances.
    Status { reply: oneshot::Sender<Vec<InstanceStatus>> },
    /// Returns the events of all instances.
    Timeline { about: String, from_stamp: u64, reply: oneshot::Sender<Vec<TimelineEntry>> },
    /// Sends a report about a request that crashes backend servers to other instances.
    SendReport(Report),
    /// Begins a planned stop.
    BeginStop,
    /// Announces to the other instances that all connections are closed.
    AnnounceLeft { reply: oneshot::Sender<()> },
}

/// Request for parts from another instance.
#[derive(Debug)]
pub(crate) struct PartsRequest {
    pub(crate) parts: QueryPartsRequest,
    pub(crate) reply: oneshot::Sender<PartsDone>,
}

/// State shared by the threads of the process.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    pub(crate) view: ArcSwap<View>,
    pub(crate) timeline: Timeline,
    pub(crate) control: mpsc::UnboundedSender<ControlRequest>,
    /// Number of traffic threads that have complete snapshots or no longer wait for them.
    pub(crate) warm_threads: AtomicUsize,
    /// Index version in use by each service.
    pub(crate) snapshots: Mutex<BTreeMap<String, u64>>,
    /// Channels to the traffic threads that gather parts for other instances.
    pub(crate) parts_senders: Mutex<Vec<mpsc::UnboundedSender<PartsRequest>>>,
    /// Quarantine of requests that crash backend servers.
    pub(crate) quarantine: QuarantineState,
}

impl Shared {
    /// Returns the time since the process started, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns true if a load balancer may send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        let warm = self.warm_threads.load(Ordering::Acquire);
        warm >= self.settings.traffic_threads && self.view.load().is_ready()
    }

    /// Sends a request to the control thread and returns its reply; `None` if the thread has ended.
    pub(crate) async fn call_control<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.control.send(build(reply)).ok()?;
        answer.await.ok()
    }

    /// Records the index version in use by a service; returns true if it changed.
    pub(crate) fn record_snapshot(&self, service: &str, version: u64) -> bool {
        let mut snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        if snapshots.get(service) == Some(&version) {
            return false;
        }
        snapshots.insert(service.to_owned(), version);
        true
    }

    /// Returns the channel to the traffic thread chosen by `selector`.
    pub(crate) fn parts_sender(
        &self,
        selector: u64,
    ) -> Option<mpsc::UnboundedSender<PartsRequest>> {
        let parts_senders = self.parts_senders.lock().unwrap_or_else(PoisonError::into_inner);
        let count = parts_senders.len().max(1) as u64;
        parts_senders.get(usize::try_from(selector % count).unwrap_or(0)).cloned()
    }
}

/// Reference to the shared state, as held by each thread.
pub(crate) type SharedRef = Arc<Shared>;
