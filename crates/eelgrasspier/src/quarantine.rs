//! What this process knows of requests that end backend servers; all its threads share it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::losses::{Ended, Known, Losses, Lost};
use eelgrasspier_decide::quarantine::{Finding, Quarantine, Report, Treatment};

use crate::event;
use crate::shared::{ControlRequest, Shared};

/// Requests under which backend servers have ended, and losses that are looked into.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    requests: Mutex<Quarantine>,
    losses: Mutex<Losses>,
}

/// Held for some microseconds at a time.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// How a request is treated.
    pub(crate) fn treatment(&self, request: Fingerprint) -> Treatment {
        lock(&self.quarantine.requests).treatment(request, self.now_ms())
    }

    /// Notes that a server has answered a request.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        lock(&self.quarantine.losses).answered(request);
        let finding = lock(&self.quarantine.requests).note_answered(request, self.now_ms());
        self.publish_finding(request, finding);
    }

    /// Notes a loss of a request that nobody has answered; returns what is to be done about it.
    pub(crate) fn record_loss(&self, server: u64, lost: Lost) -> Known {
        let status = lock(&self.quarantine.losses).add(server, lost, self.now_ms());
        if let Known::HasEnded(ended) = status {
            self.record_crash(ended);
        }
        status
    }

    /// Notes whether a server that has lost requests has ended.
    pub(crate) fn record_crash_check(&self, server: u64, has_crashed: bool) {
        let ended = lock(&self.quarantine.losses).resolve(server, has_crashed, self.now_ms());
        for ended in ended {
            self.record_crash(ended);
        }
    }

    /// Servers that have lost a request and of which it is not known yet whether they ended.
    pub(crate) fn pending_crash_checks(&self, request: Fingerprint) -> usize {
        lock(&self.quarantine.losses).awaited(request)
    }

    /// Whether a request may be tried on one server now, for `most_ms` at the most.
    pub(crate) fn begin_trial(&self, request: Fingerprint, max_ms: u64) -> bool {
        lock(&self.quarantine.requests).begin_trial(request, self.now_ms(), max_ms)
    }

    /// Notes that a trial has ended, however it did.
    pub(crate) fn end_trial(&self, request: Fingerprint) {
        lock(&self.quarantine.requests).end_trial(request);
    }

    /// Takes in what another instance knows.
    pub(crate) fn apply_peer_report(&self, report: &Report) {
        let finding = lock(&self.quarantine.requests).merge(report, self.now_ms());
        self.record_finding(Fingerprint(report.fingerprint), finding, "another instance");
    }

    fn record_crash(&self, ended: Ended) {
        let finding = lock(&self.quarantine.requests).note_ended(ended, self.now_ms());
        self.publish_finding(ended.request, finding);
    }

    /// Writes down what was found out here, and has others told.
    fn publish_finding(&self, request: Fingerprint, finding: Finding) {
        if finding == Finding::Unchanged {
            return;
        }
        self.record_finding(request, finding, "own");
        let report = lock(&self.quarantine.requests).report(request, self.now_ms());
        if let Some(report) = report {
            // A control thread that has ended has nobody left to tell.
            let _send_failed = self.control.send(ControlRequest::SendReport(report)).is_err();
        }
    }

    fn record_finding(&self, request: Fingerprint, finding: Finding, source: &str) {
        let event = match finding {
            Finding::Unchanged | Finding::Noted => return,
            Finding::Suspected => event::REQUEST_SUSPECTED,
            Finding::Refused => event::REQUEST_REFUSED,
            Finding::Cleared => event::REQUEST_CLEARED,
        };
        let report = lock(&self.quarantine.requests).report(request, self.now_ms());
        let Report { ended, ended_alone, refused_ms, .. } = report.unwrap_or_default();
        let (ended, alone) = (ended.len(), ended_alone.len());
        let detail =
            format!("ended {ended}, alone {alone}, refused for {refused_ms} ms, from {source}");
        self.timeline.record(event, &request.to_string(), &detail);
    }
}
