//! Detection of pauses of the own process.
//!
//! What arrives while a process is frozen waits unread. Requests on known connections show by their
//! send times how long they have waited, but not those on a connection opened during the pause.

/// Minimum time without an observation that counts as a pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;
/// Time after a pause in which data that arrived during it may still be unread, in milliseconds.
const RECOVERY_MS: u64 = 300;

/// The latest pause, found from gaps between observations that usually follow closely.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseDetector {
    observed_ms: Option<u64>,
    /// Start and end of the latest pause.
    pause: Option<(u64, u64)>,
}

impl PauseDetector {
    /// Records that the process runs.
    pub fn observe(&mut self, now_ms: u64) {
        let Some(before_ms) = self.observed_ms.replace(now_ms) else { return };
        if now_ms.saturating_sub(before_ms) >= MIN_PAUSE_MS {
            // What arrived before an earlier pause may not have been read between the two.
            let is_recovering = self.max_wait_ms(before_ms).is_some();
            let started_ms = self.pause.filter(|_| is_recovering).map_or(before_ms, |p| p.0);
            self.pause = Some((started_ms, now_ms));
        }
    }

    /// Returns the time for which data read now may have waited because of a pause, in milliseconds.
    ///
    /// `None` if no pause has ended recently.
    #[must_use]
    pub fn max_wait_ms(&self, now_ms: u64) -> Option<u64> {
        let (started_ms, ended_ms) = self.pause?;
        let is_recent = now_ms.saturating_sub(ended_ms) < RECOVERY_MS;
        is_recent.then(|| now_ms.saturating_sub(started_ms))
    }
}
