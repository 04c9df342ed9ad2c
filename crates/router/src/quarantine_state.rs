//! The traffic thread's view of requests that crash replicas, and its reports to other instances.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::lost_sends::{CrashedSend, UnexplainedLoss};
use eelgrasspier_decide::quarantine::{
    EvidenceEffect, Quarantine, REPORT_WAIT_MS, Report, Treatment,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::control::ControlRequest;
use crate::model::{IsolatedTrial, Request};
use crate::router::Router;

/// Delay before a single crash during a request is reported to other instances.
///
/// Another replica usually answers the request first, and then no report is needed.
const REPORT_DELAY: Duration = Duration::from_millis(25);

/// Requests during which replicas have crashed.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    quarantine: RefCell<Quarantine>,
    /// Requests whose latest findings have not been reported yet.
    pending_reports: RefCell<BTreeSet<Fingerprint>>,
    report_notify: Notify,
    /// True if the report must not be delayed.
    ///
    /// A caller whose request has failed reaches another instance within milliseconds, which must
    /// know of the finding by then.
    is_urgent: Cell<bool>,
}

impl Router {
    /// Returns how a request is treated.
    pub(crate) fn treatment(&self, fingerprint: Fingerprint) -> Treatment {
        let pending_silences = self.lost_sends.borrow().pending_silences(fingerprint);
        let quarantine = self.quarantine_state.quarantine.borrow();
        quarantine.treatment(fingerprint, self.shared.now_ms()).with_silences(pending_silences)
    }

    /// Returns the findings on a request, to be sent along with it to another instance.
    pub(crate) fn report_on(&self, fingerprint: Fingerprint) -> Option<Report> {
        self.quarantine_state.quarantine.borrow().report(fingerprint, self.shared.now_ms())
    }

    /// Records that a replica has answered a request.
    pub(crate) fn record_answered(&self, request: &Request) {
        if request.progress.is_answered.replace(true) {
            return;
        }
        let fingerprint = request.fingerprint();
        self.lost_sends.borrow_mut().discard_answered(fingerprint);
        let now_ms = self.shared.now_ms();
        let finding =
            self.quarantine_state.quarantine.borrow_mut().record_answer(fingerprint, now_ms);
        if finding != EvidenceEffect::Unchanged {
            self.publish_finding(fingerprint, finding);
            self.log_contested();
        }
    }

    /// Records that a replica has crashed while it ran a request.
    pub(crate) fn record_crash(&self, crashed: CrashedSend) {
        let now_ms = self.shared.now_ms();
        self.update_report_wait();
        let finding = self.quarantine_state.quarantine.borrow_mut().record_crash(crashed, now_ms);
        self.publish_finding(crashed.request, finding);
        self.log_contested();
    }

    /// Records the losses that no crash explains.
    pub(crate) fn record_unexplained(&self) {
        let losses = self.lost_sends.borrow_mut().take_unexplained();
        for loss in losses {
            self.record_unexplained_loss(loss);
        }
    }

    fn record_unexplained_loss(&self, loss: UnexplainedLoss) {
        let now_ms = self.shared.now_ms();
        self.update_report_wait();
        let finding =
            self.quarantine_state.quarantine.borrow_mut().record_unexplained(loss, now_ms);
        let UnexplainedLoss { request, crash_id, is_trial, weight_milli, .. } = loss;
        log::info!(
            "event=loss_unexplained fingerprint={request} crash={crash_id:08x} trial={is_trial} \
             weight_milli={weight_milli}"
        );
        if weight_milli > 0 {
            self.publish_finding(request, finding);
        } else {
            // Other instances hear of it if the request fails, see `publish_losses`.
            self.log_finding(request, finding, "own");
        }
        self.log_contested();
    }

    /// Schedules a report on the unexplained losses of a request that has failed.
    pub(crate) fn publish_losses(&self, fingerprint: Fingerprint) {
        let report = self.report_on(fingerprint);
        if report.is_some_and(|r| !r.is_cleared && !r.lost.is_empty()) {
            self.quarantine_state.is_urgent.set(true);
            self.quarantine_state.pending_reports.borrow_mut().insert(fingerprint);
            self.quarantine_state.report_notify.notify_one();
        }
    }

    /// Merges reports of other instances; `source` names the channel for the log.
    pub(crate) fn merge_reports(&self, reports: &[Report], source: &str) {
        if reports.is_empty() {
            return;
        }
        self.update_report_wait();
        for report in reports {
            let fingerprint = Fingerprint(report.fingerprint);
            let finding = self
                .quarantine_state
                .quarantine
                .borrow_mut()
                .merge_report(report, self.shared.now_ms());
            self.log_finding(fingerprint, finding, source);
        }
        self.log_contested();
    }

    /// Sets the wait before refusals, which is needed only if there are other instances.
    fn update_report_wait(&self) {
        let has_others = self.shared.view.load().instance_count > 1;
        let report_wait_ms = if has_others { REPORT_WAIT_MS } else { 0 };
        self.quarantine_state.quarantine.borrow_mut().set_report_wait(report_wait_ms);
    }

    /// Logs the requests whose evidence is contested, or is so no longer.
    fn log_contested(&self) {
        let now_ms = self.shared.now_ms();
        let changes = self.quarantine_state.quarantine.borrow_mut().contest_changes(now_ms);
        for (fingerprint, is_contested) in changes {
            log::info!(
                "event=evidence_contested fingerprint={fingerprint} contested={is_contested}"
            );
        }
    }

    /// True if a request has been paused and not answered since.
    pub(crate) fn was_paused(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine_state.quarantine.borrow().was_paused(fingerprint)
    }

    /// Starts an isolated trial of a request on a replica; returns false if one is in progress.
    ///
    /// Further trials of the same request wait for up to `max_ms` milliseconds.
    pub(crate) fn begin_trial(
        &self,
        request: &Request,
        replica: &ReplicaEntry,
        max_ms: u64,
    ) -> bool {
        let (fingerprint, now_ms) = (request.fingerprint(), self.shared.now_ms());
        let mut quarantine = self.quarantine_state.quarantine.borrow_mut();
        if !quarantine.begin_trial(fingerprint, now_ms, max_ms) {
            return false;
        }
        let is_restarted = quarantine.has_crash(fingerprint, replica.crash_id());
        let trial = IsolatedTrial { replica: Arc::clone(&replica.id), is_restarted };
        request.progress.isolated_trials.borrow_mut().push(trial);
        let id = request.id_text();
        metrics::counter!("eelgrasspier_trials_total").increment(1);
        log::info!("event=tried_alone id={id} fingerprint={fingerprint} replica={}", replica.id);
        true
    }

    /// Ends the isolated trial, if the send was one.
    pub(crate) fn end_trial(&self, request: &Request, replica: &ReplicaEntry) {
        if request.progress.trial_on(&replica.id).is_some() {
            self.quarantine_state.quarantine.borrow_mut().end_trial(request.fingerprint());
        }
    }

    /// Logs a local finding and schedules a report to other instances.
    fn publish_finding(&self, fingerprint: Fingerprint, finding: EvidenceEffect) {
        self.log_finding(fingerprint, finding, "own");
        if matches!(
            finding,
            EvidenceEffect::Suspected | EvidenceEffect::Refused | EvidenceEffect::Paused
        ) {
            self.quarantine_state.is_urgent.set(true);
        }
        if finding != EvidenceEffect::Unchanged {
            self.quarantine_state.pending_reports.borrow_mut().insert(fingerprint);
            self.quarantine_state.report_notify.notify_one();
        }
    }

    fn log_finding(&self, fingerprint: Fingerprint, finding: EvidenceEffect, source: &str) {
        let event = match finding {
            EvidenceEffect::Unchanged | EvidenceEffect::Recorded => return,
            EvidenceEffect::Suspected => "event=suspected",
            EvidenceEffect::Refused => "event=quarantined",
            EvidenceEffect::Paused => "event=paused",
            EvidenceEffect::Cleared => "event=cleared",
        };
        let Some(report) = self.report_on(fingerprint) else { return };
        let (ended, alone) = (report.ended.len(), report.ended_alone.len());
        let (lost, lost_alone) = (report.lost.len(), report.lost_alone.len());
        let Report { refused_ms, refusals, paused_ms, pauses, .. } = report;
        let label = event.trim_start_matches("event=");
        metrics::counter!("eelgrasspier_suspects_total", "finding" => label).increment(1);
        metrics::gauge!("eelgrasspier_suspects").set(self.tracked_count());
        log::info!(
            "{event} fingerprint={fingerprint} ended={ended} ended_alone={alone} \
             refused_ms={refused_ms} refusals={refusals} lost={lost} lost_alone={lost_alone} \
             paused_ms={paused_ms} pauses={pauses} source={source}"
        );
    }

    fn tracked_count(&self) -> f64 {
        let count = self.quarantine_state.quarantine.borrow().len();
        f64::from(u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Sends local findings to the control thread until its channel closes.
    pub(crate) async fn send_pending_reports(
        self: Rc<Self>,
        control: mpsc::UnboundedSender<ControlRequest>,
    ) {
        loop {
            self.quarantine_state.report_notify.notified().await;
            let until = Instant::now() + REPORT_DELAY;
            while !self.quarantine_state.is_urgent.get() {
                let more =
                    tokio::time::timeout_at(until, self.quarantine_state.report_notify.notified());
                if more.await.is_err() {
                    break;
                }
            }
            self.quarantine_state.is_urgent.set(false);
            let pending_reports =
                std::mem::take(&mut *self.quarantine_state.pending_reports.borrow_mut());
            let reports = pending_reports.into_iter().filter_map(|f| self.report_on(f)).collect();
            if control.send(ControlRequest::PublishReports(reports)).is_err() {
                return;
            }
        }
    }

    /// Merges reports of other instances, received by the control thread, until its channel closes.
    pub(crate) async fn receive_reports(
        self: Rc<Self>,
        mut reports_rx: mpsc::UnboundedReceiver<Vec<Report>>,
    ) {
        while let Some(reports) = reports_rx.recv().await {
            self.merge_reports(&reports, "gossip");
        }
    }
}
