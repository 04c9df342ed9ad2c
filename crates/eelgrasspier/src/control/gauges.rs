//! Metrics gauges of the control thread.

use std::rc::Rc;
use std::time::Duration;

use super::Control;

/// Time between two updates of the gauges.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Scheduler statistics of the calling thread; the first field is its CPU time in nanoseconds.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";

impl Control {
    /// Updates the gauges periodically for as long as the thread runs.
    pub(super) async fn run_gauge_updates(self: Rc<Self>) {
        loop {
            self.set_gauges();
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }

    fn set_gauges(&self) {
        let members = self.membership.borrow().live_count();
        let agreement = self.agreement.borrow();
        let version = self.in_force.borrow().version().unwrap_or(0);
        set_gauge("eelgrasspier_members", members as u64);
        set_gauge("eelgrasspier_share_holders", agreement.current_members().len() as u64);
        set_gauge("eelgrasspier_share_agreed", u64::from(agreement.is_agreed()));
        set_gauge("eelgrasspier_text_version", version);
        set_gauge("eelgrasspier_servers_leaving", self.leaving.borrow().iter().count() as u64);
        if let Some(time) = thread_cpu_time() {
            metrics::gauge!("eelgrasspier_control_cpu_seconds").set(time.as_secs_f64());
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "gauges are floating point, counts are small")]
fn set_gauge(name: &'static str, value: u64) {
    metrics::gauge!(name).set(value as f64);
}

/// Returns the CPU time used by the calling thread, or `None` if it is not available.
fn thread_cpu_time() -> Option<Duration> {
    let text = std::fs::read_to_string(SCHEDSTAT_PATH).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
