//! Exchange of reports on requests that crash replicas.

use eelgrasspier_decide::quarantine::Report;

use super::Control;
use super::members::{MAX_NOTIFIED, MAX_REMOTE_NOTIFIED};

impl Control {
    /// Sends reports of this instance to some others and schedules their store writes.
    pub(super) fn send_reports(&self, reports: &[Report]) {
        let (now_ms, max_notified) = (self.shared.now_ms(), (MAX_NOTIFIED, MAX_REMOTE_NOTIFIED));
        let sends = self.membership.borrow_mut().broadcast_reports(
            reports,
            now_ms,
            max_notified,
            rand::random(),
        );
        self.send(sends);
        self.schedule_suspect_writes(reports, true);
    }

    /// Forwards reports of other instances to the traffic thread.
    pub(super) fn forward_reports(&self, reports: Vec<Report>) {
        if reports.is_empty() {
            return;
        }
        self.schedule_suspect_writes(&reports, false);
        // If the traffic thread has ended the reports are not needed.
        let _is_disconnected = self.reports_to_traffic.send(reports).is_err();
    }
}
