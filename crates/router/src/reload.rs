//! Settings that change while the process runs.
//!
//! Retry limits, the cold limits, the tolerance of customers' limits, the revocation timeout, the
//! regions and the grace period follow the file. Addresses, name and zone are fixed for the life of
//! a process, since other instances know it by them. A change of those is logged and takes effect at
//! the next start.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use crate::router::Router;
use crate::settings::InstanceSettings;

/// Interval between checks of the file, which may change without a signal.
///
/// A check costs one system call.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The settings file.
pub trait SettingsFile {
    /// Returns the time of the last change; `None` if it is not available.
    fn modified_at(&self) -> Option<SystemTime>;

    /// Reads and validates the settings.
    ///
    /// # Errors
    /// Fails with one line that names the invalid field.
    fn read(&self) -> Result<InstanceSettings, String>;
}

/// The settings in force.
pub(crate) struct ActiveSettings {
    file: Box<dyn SettingsFile>,
    settings: InstanceSettings,
    router: Rc<Router>,
    grace_period: Rc<Cell<Duration>>,
}

impl ActiveSettings {
    pub(crate) fn new(
        file: Box<dyn SettingsFile>,
        settings: InstanceSettings,
        router: Rc<Router>,
    ) -> Self {
        let grace_period = Rc::new(Cell::new(settings.grace_period));
        Self { file, settings, router, grace_period }
    }

    /// Returns the current time between the stop signal and the kill.
    pub(crate) fn grace_period(&self) -> Rc<Cell<Duration>> {
        Rc::clone(&self.grace_period)
    }

    /// Reloads the settings after each signal and each change of the file.
    pub(crate) async fn follow(mut self, mut hangup_signals: tokio::signal::unix::Signal) {
        let mut last_modified_at = self.file.modified_at();
        loop {
            let signal = tokio::time::timeout(CHECK_INTERVAL, hangup_signals.recv()).await;
            let cause = match signal {
                Ok(Some(())) => "signal",
                // No more signals can arrive; the periodic checks continue.
                Ok(None) => {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                    "look"
                }
                Err(_) => "look",
            };
            let modified_at = self.file.modified_at();
            if cause == "signal" || modified_at != last_modified_at {
                last_modified_at = modified_at;
                self.reload(cause);
            }
        }
    }

    fn reload(&mut self, cause: &str) {
        let settings = match self.file.read() {
            Ok(settings) => settings,
            Err(error) => {
                log::error!("event=settings_unusable cause=\"{error}\"");
                return;
            }
        };
        let needs_restart = self.has_fixed_changes(&settings);
        let limits = settings.retry_limits;
        log::info!(
            "event=reload cause={cause} repeats_ratio_milli={} repeats_slack={} grace_ms={} \
             needs_restart={needs_restart}",
            limits.ratio_milli,
            limits.slack,
            settings.grace_period.as_millis()
        );
        self.router.set_retry_limits(limits);
        self.router.set_cold_tolerance(settings.cold_tolerance);
        self.router.set_revocation_timeout(settings.revocation_timeout);
        self.router.set_limit_tolerance(settings.limit_tolerance);
        self.router.set_regions(settings.regions);
        self.grace_period.set(settings.grace_period);
    }

    /// True if a value differs that is fixed for the life of a process.
    fn has_fixed_changes(&self, new: &InstanceSettings) -> bool {
        let current = &self.settings;
        let addrs = |s: &InstanceSettings| [s.caller_addr, s.readiness_addr, s.peer_addr];
        (&current.name, &current.zone, addrs(current)) != (&new.name, &new.zone, addrs(new))
    }
}
