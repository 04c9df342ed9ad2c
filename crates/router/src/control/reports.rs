//! What is known of requests that end replicas: told to the others.

use eelgrasspier_decide::quarantine::Report;

use super::Control;
use super::members::{FAR_AT_ONCE, TOLD_AT_ONCE};

impl Control {
    /// Tells others what this instance has found out.
    pub(super) fn tell_reports(&self, reports: &[Report]) {
        let (now_ms, most) = (self.shared.now_ms(), (TOLD_AT_ONCE, FAR_AT_ONCE));
        let sends =
            self.membership.borrow_mut().tell_reports(reports, now_ms, most, rand::random());
        self.send(sends);
        self.keep_reports(reports, true);
    }

    /// Passes what others have found out on to the traffic thread.
    pub(super) fn pass_on(&self, reports: Vec<Report>) {
        if reports.is_empty() {
            return;
        }
        self.keep_reports(&reports, false);
        // A traffic thread that has ended decides nothing any more.
        let _gone = self.told.send(reports).is_err();
    }
}
