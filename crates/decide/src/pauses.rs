//! Detection of pauses of the own process.
//!
//! What arrives while a process is frozen waits unread. Requests on known connections show by their
//! send times how long they have waited, but not those on a connection opened during the pause.

use std::collections::VecDeque;

/// Minimum time without an observation that counts as a pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;
/// Time after a pause in which data that arrived during it may still be unread, in milliseconds.
const RECOVERY_MS: u64 = 300;

/// Recent pauses, found from gaps between observations that usually follow closely.
#[derive(Debug, Clone, Default)]
pub struct PauseDetector {
    observed_ms: Option<u64>,
    /// Starts and ends of the pauses that had ended recently at the latest one, oldest first.
    pauses: VecDeque<(u64, u64)>,
}

impl PauseDetector {
    /// Records that the process runs.
    pub fn observe(&mut self, now_ms: u64) {
        let Some(before_ms) = self.observed_ms.replace(now_ms) else { return };
        if now_ms.saturating_sub(before_ms) >= MIN_PAUSE_MS {
            self.pauses.retain(|&(_, ended_ms)| is_recent(ended_ms, now_ms));
            self.pauses.push_back((before_ms, now_ms));
        }
    }

    /// Returns the time for which data read now may have waited because of a pause, in milliseconds.
    ///
    /// `None` if no pause has ended recently. The time is bounded even if a process is stopped again
    /// and again, such as one that exceeds its CPU quota.
    #[must_use]
    pub fn max_wait_ms(&self, now_ms: u64) -> Option<u64> {
        let oldest = self.pauses.iter().find(|&&(_, ended_ms)| is_recent(ended_ms, now_ms));
        oldest.map(|&(started_ms, _)| now_ms.saturating_sub(started_ms))
    }
}

fn is_recent(ended_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(ended_ms) < RECOVERY_MS
}
