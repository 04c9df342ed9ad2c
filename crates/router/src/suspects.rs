//! What the traffic thread knows of requests that end replicas, and what it tells of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::losses::Ended;
use eelgrasspier_decide::quarantine::{Finding, Quarantine, Report, Treatment};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::control::Ask;
use crate::model::Request;
use crate::router::Router;

/// Time after which others are told of a single replica that has ended under a request: mostly
/// it is answered by another replica before, and nothing is told of it.
const REPORT_DELAY: Duration = Duration::from_millis(25);

/// Requests under which replicas have ended.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    quarantine: RefCell<Quarantine>,
    /// Those of which others have not been told the latest.
    pending_reports: RefCell<BTreeSet<Fingerprint>>,
    report_notify: Notify,
    /// Whether others are to be told at once: a caller whose request has failed comes to another
    /// instance within milliseconds, and then it must be known there.
    is_urgent: Cell<bool>,
}

impl Router {
    /// How a request is treated.
    pub(crate) fn treatment(&self, fingerprint: Fingerprint) -> Treatment {
        self.suspects.quarantine.borrow().treatment(fingerprint, self.shared.now_ms())
    }

    /// What is known of a request, for another instance that works for it.
    pub(crate) fn report_on(&self, fingerprint: Fingerprint) -> Option<Report> {
        self.suspects.quarantine.borrow().report(fingerprint, self.shared.now_ms())
    }

    /// Notes that a replica has answered a request.
    pub(crate) fn record_answered(&self, request: &Request) {
        if request.learnt.is_answered.replace(true) {
            return;
        }
        let fingerprint = request.fingerprint();
        self.losses.borrow_mut().answered(fingerprint);
        let now_ms = self.shared.now_ms();
        let finding = self.suspects.quarantine.borrow_mut().note_answered(fingerprint, now_ms);
        self.publish_finding(fingerprint, finding);
    }

    /// Notes that a replica has ended while it ran a request.
    pub(crate) fn record_crash(&self, ended: Ended) {
        let now_ms = self.shared.now_ms();
        let finding = self.suspects.quarantine.borrow_mut().note_ended(ended, now_ms);
        self.publish_finding(ended.request, finding);
    }

    /// Takes in what other instances know; `source` says how it came.
    pub(crate) fn merge_reports(&self, reports: &[Report], source: &str) {
        for report in reports {
            let fingerprint = Fingerprint(report.fingerprint);
            let finding = self.suspects.quarantine.borrow_mut().merge(report, self.shared.now_ms());
            self.log_finding(fingerprint, finding, source);
        }
    }

    /// Whether a request may be tried on a replica by itself now; another of the same waits for
    /// up to `most_ms`.
    pub(crate) fn begin_trial(
        &self,
        request: &Request,
        replica: &ReplicaEntry,
        max_ms: u64,
    ) -> bool {
        let (fingerprint, now_ms) = (request.fingerprint(), self.shared.now_ms());
        let mut quarantine = self.suspects.quarantine.borrow_mut();
        if !quarantine.begin_trial(fingerprint, now_ms, max_ms) {
            return false;
        }
        request.learnt.isolated_trials.borrow_mut().push(Arc::clone(&replica.id));
        let id = request.id_text();
        metrics::counter!("eelgrasspier_trials_total").increment(1);
        log::info!("event=tried_alone id={id} fingerprint={fingerprint} replica={}", replica.id);
        true
    }

    /// Notes the end of a send that may have been such a trial.
    pub(crate) fn end_trial(&self, request: &Request, replica: &ReplicaEntry) {
        if request.learnt.isolated_trials.borrow().contains(&replica.id) {
            self.suspects.quarantine.borrow_mut().end_trial(request.fingerprint());
        }
    }

    /// Writes down what was found out here, and has others told.
    fn publish_finding(&self, fingerprint: Fingerprint, finding: Finding) {
        self.log_finding(fingerprint, finding, "own");
        if matches!(finding, Finding::Suspected | Finding::Refused) {
            self.suspects.is_urgent.set(true);
        }
        if finding != Finding::Unchanged {
            self.suspects.pending_reports.borrow_mut().insert(fingerprint);
            self.suspects.report_notify.notify_one();
        }
    }

    fn log_finding(&self, fingerprint: Fingerprint, finding: Finding, source: &str) {
        let event = match finding {
            Finding::Unchanged | Finding::Noted => return,
            Finding::Suspected => "event=suspected",
            Finding::Refused => "event=quarantined",
            Finding::Cleared => "event=cleared",
        };
        let Some(report) = self.report_on(fingerprint) else { return };
        let (ended, alone) = (report.ended.len(), report.ended_alone.len());
        let Report { refused_ms, refusals, .. } = report;
        let label = event.trim_start_matches("event=");
        metrics::counter!("eelgrasspier_suspects_total", "finding" => label).increment(1);
        metrics::gauge!("eelgrasspier_suspects").set(self.tracked_count());
        log::info!(
            "{event} fingerprint={fingerprint} ended={ended} ended_alone={alone} \
             refused_ms={refused_ms} refusals={refusals} source={source}"
        );
    }

    fn tracked_count(&self) -> f64 {
        let count = self.suspects.quarantine.borrow().len();
        f64::from(u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Tells the control thread what was found out, for as long as that runs.
    pub(crate) async fn tell_findings(self: Rc<Self>, control: mpsc::UnboundedSender<Ask>) {
        loop {
            self.suspects.report_notify.notified().await;
            let until = Instant::now() + REPORT_DELAY;
            while !self.suspects.is_urgent.get() {
                let more = tokio::time::timeout_at(until, self.suspects.report_notify.notified());
                if more.await.is_err() {
                    break;
                }
            }
            self.suspects.is_urgent.set(false);
            let pending_reports = std::mem::take(&mut *self.suspects.pending_reports.borrow_mut());
            let reports = pending_reports.into_iter().filter_map(|f| self.report_on(f)).collect();
            if control.send(Ask::Tell(reports)).is_err() {
                return;
            }
        }
    }

    /// Takes in what the control thread hears from other instances, for as long as that runs.
    pub(crate) async fn hear_findings(
        self: Rc<Self>,
        mut reports_rx: mpsc::UnboundedReceiver<Vec<Report>>,
    ) {
        while let Some(reports) = reports_rx.recv().await {
            self.merge_reports(&reports, "gossip");
        }
    }
}
