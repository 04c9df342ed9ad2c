//! Settings that change while the process runs.
//!
//! What others share with this instance follows the file: the repeats that all may add, the
//! time for a planned stop. Addresses, name and zone stay for the life of a process, since
//! others know it by them; a change of those is told and waits for the next start.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use crate::router::Router;
use crate::setup::Setup;

/// Time between two looks at the file, which may change without a signal; a look is one call
/// of the system.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// The settings file.
pub trait SettingsFile {
    /// When it was last changed; `None` if it can't be told.
    fn changed_at(&self) -> Option<SystemTime>;

    /// Reads and checks it; the error names what is wrong.
    ///
    /// # Errors
    /// Fails with one line that names the field.
    fn read(&self) -> Result<Setup, String>;
}

/// The settings in force.
pub(crate) struct InForce {
    file: Box<dyn SettingsFile>,
    setup: Setup,
    router: Rc<Router>,
    grace: Rc<Cell<Duration>>,
}

impl InForce {
    pub(crate) fn new(file: Box<dyn SettingsFile>, setup: Setup, router: Rc<Router>) -> Self {
        let grace = Rc::new(Cell::new(setup.grace));
        Self { file, setup, router, grace }
    }

    /// Time from the signal to stop to the kill, as of now.
    pub(crate) fn grace(&self) -> Rc<Cell<Duration>> {
        Rc::clone(&self.grace)
    }

    /// Takes in each change of the file, at a signal or when a look shows one.
    pub(crate) async fn follow(mut self, mut hangups: tokio::signal::unix::Signal) {
        let mut seen = self.file.changed_at();
        loop {
            let signalled = tokio::time::timeout(LOOK_EVERY, hangups.recv()).await;
            let cause = match signalled {
                Ok(Some(())) => "signal",
                // No more signals can come; the looks go on.
                Ok(None) => {
                    tokio::time::sleep(LOOK_EVERY).await;
                    "look"
                }
                Err(_) => "look",
            };
            let now = self.file.changed_at();
            if cause == "signal" || now != seen {
                seen = now;
                self.reload(cause);
            }
        }
    }

    fn reload(&mut self, cause: &str) {
        let setup = match self.file.read() {
            Ok(setup) => setup,
            Err(error) => {
                log::error!("event=settings_unusable cause=\"{error}\"");
                return;
            }
        };
        let is_kept = self.is_another_instance(&setup);
        let limits = setup.repeat_limits;
        log::info!(
            "event=reload cause={cause} repeats_ratio_milli={} repeats_slack={} grace_ms={} \
             needs_restart={is_kept}",
            limits.ratio_milli,
            limits.slack,
            setup.grace.as_millis()
        );
        self.router.set_repeat_limits(limits);
        self.router.set_cold_bounds(setup.cold_bounds);
        self.router.set_regions(setup.regions);
        self.grace.set(setup.grace);
    }

    /// Whether a value differs that stays for the life of a process.
    fn is_another_instance(&self, new: &Setup) -> bool {
        let known = &self.setup;
        let addrs = |s: &Setup| [s.front_addr, s.ready_addr, s.peer_addr];
        (&known.name, &known.zone, addrs(known)) != (&new.name, &new.zone, addrs(new))
    }
}
