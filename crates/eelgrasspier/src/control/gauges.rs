//! What the control thread shows of its state in the metrics.

use std::rc::Rc;
use std::time::Duration;

use super::Control;

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Processor time of the calling thread, in nanoseconds, as the first field.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";

impl Control {
    /// Keeps the gauges up to date for as long as the thread runs.
    pub(super) async fn run_gauge_updates(self: Rc<Self>) {
        loop {
            self.set_gauges();
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }

    fn set_gauges(&self) {
        let members = self.membership.borrow().alive_count();
        let agreement = self.agreement.borrow();
        let version = self.in_force.borrow().version().unwrap_or(0);
        set_gauge("eelgrasspier_members", members as u64);
        set_gauge("eelgrasspier_share_holders", agreement.current().len() as u64);
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

/// Processor time that this thread has used, where the system tells.
fn thread_cpu_time() -> Option<Duration> {
    let text = std::fs::read_to_string(SCHEDSTAT_PATH).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
