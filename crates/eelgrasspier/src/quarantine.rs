//! Quarantine of requests that crash backend servers, shared by all threads of the process.

use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::lost_sends::{CrashedSend, LostSend, LostSends, ServerState};
use eelgrasspier_decide::quarantine::{
    EvidenceEffect, Quarantine, REPORT_WAIT_MS, Report, Treatment,
};

use crate::event;
use crate::shared::{ControlRequest, Shared};

/// Quarantined requests and losses whose cause is being checked.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    requests: Mutex<Quarantine>,
    losses: Mutex<LostSends>,
}

/// Locks a mutex; it is held for a few microseconds at a time.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Returns the current treatment of a request.
    pub(crate) fn treatment(&self, request: Fingerprint) -> Treatment {
        let pending_silences = lock(&self.quarantine.losses).pending_silences(request);
        let treatment = lock(&self.quarantine.requests).treatment(request, self.now_ms());
        treatment.with_silences(pending_silences)
    }

    /// Records that a server was the first to answer a request.
    pub(crate) fn record_answer(&self, request: Fingerprint, server: u64) {
        let mut losses = lock(&self.quarantine.losses);
        losses.record_answer(server, self.now_ms());
        losses.discard_answered(request);
        drop(losses);
        let finding = lock(&self.quarantine.requests).record_answer(request, self.now_ms());
        if finding != EvidenceEffect::Unchanged {
            self.publish_finding(request, finding);
            self.record_contest();
        }
    }

    /// Records that a server lost an unanswered request; returns what is known about the server.
    ///
    /// `is_silence` is true if it has not answered in time, and the connection is still open.
    pub(crate) fn record_loss(&self, server: u64, lost: LostSend, is_silence: bool) -> ServerState {
        let mut losses = lock(&self.quarantine.losses);
        let status = if is_silence {
            losses.record_silence(server, lost, self.now_ms())
        } else {
            losses.record_loss(server, lost, self.now_ms())
        };
        drop(losses);
        if let ServerState::Crashed(ended) = status {
            self.record_crash(ended);
        }
        self.record_unexplained();
        status
    }

    /// Records that a request that has been answered lost another send.
    pub(crate) fn record_answered_loss(&self, server: u64, request: Fingerprint) {
        lock(&self.quarantine.losses).record_answered_loss(server, request, self.now_ms());
    }

    /// Records that a server that left a request unanswered has answered a probe.
    pub(crate) fn record_probe_answer(&self, server: u64) {
        lock(&self.quarantine.losses).record_probe_answer(server);
    }

    /// Records whether a server that lost requests has crashed.
    pub(crate) fn record_crash_check(&self, server: u64, has_crashed: bool) {
        let ended =
            lock(&self.quarantine.losses).record_server_state(server, has_crashed, self.now_ms());
        for ended in ended {
            self.record_crash(ended);
        }
        self.record_unexplained();
    }

    /// Returns the number of servers that lost the request and are still being checked for a crash.
    pub(crate) fn pending_crash_checks(&self, request: Fingerprint) -> usize {
        lock(&self.quarantine.losses).pending_checks(request)
    }

    /// Starts an isolated trial for `max_ms` at most; returns false if another one is in progress.
    pub(crate) fn begin_trial(&self, request: Fingerprint, max_ms: u64) -> bool {
        lock(&self.quarantine.requests).begin_trial(request, self.now_ms(), max_ms)
    }

    /// Records that a trial has ended, with any result.
    pub(crate) fn end_trial(&self, request: Fingerprint) {
        lock(&self.quarantine.requests).end_trial(request);
    }

    /// Merges a report from another instance.
    pub(crate) fn apply_peer_report(&self, report: &Report) {
        self.update_report_wait();
        let finding = lock(&self.quarantine.requests).merge_report(report, self.now_ms());
        self.record_finding(Fingerprint(report.fingerprint), finding, "another instance");
        self.record_contest();
    }

    fn record_crash(&self, ended: CrashedSend) {
        self.update_report_wait();
        let finding = lock(&self.quarantine.requests).record_crash(ended, self.now_ms());
        self.publish_finding(ended.request, finding);
        self.record_contest();
    }

    /// Records the losses that no crash explains.
    fn record_unexplained(&self) {
        let losses = lock(&self.quarantine.losses).take_unexplained();
        for loss in losses {
            self.update_report_wait();
            let finding = lock(&self.quarantine.requests).record_unexplained(loss, self.now_ms());
            if loss.weight_milli > 0 {
                self.publish_finding(loss.request, finding);
            } else {
                // Other instances hear of it if the request fails, see `publish_losses`.
                self.record_finding(loss.request, finding, "own");
            }
            self.record_contest();
        }
    }

    /// Sends the unexplained losses of a request that has failed to the other instances.
    pub(crate) fn publish_losses(&self, request: Fingerprint) {
        let report = lock(&self.quarantine.requests).report(request, self.now_ms());
        if let Some(report) = report.filter(|r| !r.is_cleared && !r.lost.is_empty()) {
            // Sending fails only after the control thread has ended; then nothing needs to be sent.
            let _send_failed = self.control.send(ControlRequest::SendReport(report)).is_err();
        }
    }

    /// Returns true if the request is known to have lost a send in this crash.
    pub(crate) fn has_crash(&self, request: Fingerprint, crash_id: u32) -> bool {
        lock(&self.quarantine.requests).has_crash(request, crash_id)
    }

    /// Sets the wait before refusals, which is needed only if there are other instances.
    fn update_report_wait(&self) {
        let has_others = !self.view.load().peers.is_empty();
        let report_wait_ms = if has_others { REPORT_WAIT_MS } else { 0 };
        lock(&self.quarantine.requests).set_report_wait(report_wait_ms);
    }

    /// Records the requests whose evidence is contested, or is so no longer.
    fn record_contest(&self) {
        let changes = lock(&self.quarantine.requests).contest_changes(self.now_ms());
        for (request, is_contested) in changes {
            let detail = if is_contested { "refusal suspended" } else { "refusal resumed" };
            self.timeline.record(event::EVIDENCE_CONTESTED, &request.to_string(), detail);
        }
    }

    /// Records a local finding and sends it to the other instances.
    fn publish_finding(&self, request: Fingerprint, finding: EvidenceEffect) {
        if finding == EvidenceEffect::Unchanged {
            return;
        }
        self.record_finding(request, finding, "own");
        let report = lock(&self.quarantine.requests).report(request, self.now_ms());
        if let Some(report) = report {
            // Sending fails only after the control thread has ended; then nothing needs to be sent.
            let _send_failed = self.control.send(ControlRequest::SendReport(report)).is_err();
        }
    }

    fn record_finding(&self, request: Fingerprint, finding: EvidenceEffect, source: &str) {
        let event = match finding {
            EvidenceEffect::Unchanged | EvidenceEffect::Recorded => return,
            EvidenceEffect::Suspected => event::REQUEST_SUSPECTED,
            EvidenceEffect::Refused => event::REQUEST_REFUSED,
            EvidenceEffect::Paused => event::REQUEST_PAUSED,
            EvidenceEffect::Cleared => event::REQUEST_CLEARED,
        };
        let report = lock(&self.quarantine.requests).report(request, self.now_ms());
        let Report { ended, ended_alone, refused_ms, lost, lost_alone, paused_ms, .. } =
            report.unwrap_or_default();
        let (ended, alone) = (ended.len(), ended_alone.len());
        let (lost, lost_alone) = (lost.len(), lost_alone.len());
        let detail = format!(
            "crashes {ended}, of these isolated {alone}, refused for {refused_ms} ms, \
             unexplained losses {lost}, of these isolated {lost_alone}, paused for {paused_ms} ms, \
             from {source}"
        );
        self.timeline.record(event, &request.to_string(), &detail);
    }
}
