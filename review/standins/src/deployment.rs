//! Six machines as in `sites/acompaname-pier.toml`, with their settings.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::machines::{self, Machine};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "pupu76.example";
/// Zones of the machines.
pub const MACHINE_ZONES: [&str; 6] =
    ["bog-norte", "bog-norte", "bog-centro", "bog-centro", "bog-sur", "bog-sur"];
/// Time from the start of the machines to that of traffic.
const LEAD: Duration = Duration::from_secs(10);

/// Running machines, whose processes are killed on drop.
///
/// Other threads hold the machines too, and may outlive the case.
#[derive(Debug)]
pub struct Fleet(Arc<Vec<Machine>>);

impl std::ops::Deref for Fleet {
    type Target = Arc<Vec<Machine>>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.0.iter().for_each(Machine::kill);
    }
}

/// Starts the machines and waits until traffic may begin.
///
/// # Errors
/// Fails if a machine does not start or is not ready by then.
pub fn start(store: &Arc<Store>, temporary: &Path, stop: &Arc<AtomicBool>) -> io::Result<Fleet> {
    let bounds = json!({
        "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_timeout_ms": 5000,
        "sync_s": 4, "drain_timeout_ms": 3000, "grace_period_s": 6, "loss_slack_ms": 200,
        "config_propagation_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
        "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "recovery_s": 12
    });
    let listen = |index| store.listen(index);
    let machines = Arc::new(machines::prepare(&MACHINE_ZONES, &bounds, temporary, listen)?);
    let fleet = Fleet(Arc::clone(&machines));
    machines.iter().try_for_each(Machine::start)?;
    start_balancer(&machines, stop);
    thread::sleep(LEAD);
    machines.iter().try_for_each(Machine::end_bootstrap)?;
    if !machines.iter().all(Machine::is_in_rotation) {
        return Err(io::Error::other("not all machines are ready after 10 s"));
    }
    Ok(fleet)
}

/// Sleeps until a time.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn start_balancer(machines: &Arc<Vec<Machine>>, stop: &Arc<AtomicBool>) {
    for index in 0..machines.len() {
        let (machines, stop) = (Arc::clone(machines), Arc::clone(stop));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                machines[index].check_ready();
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
}
