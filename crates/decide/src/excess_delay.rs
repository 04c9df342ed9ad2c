//! Estimate of the delay of a request on its way, without synchronized clocks.
//!
//! A request states the remaining time as of when it was sent. An instance that was frozen for a
//! second and a half reads it from the connection after it resumes, and would pass all of that time
//! on to replicas; these worked for callers that had been answered long before. Only the rates of
//! the two clocks can be compared. The shortest delay seen on a connection therefore counts as the
//! normal one, and anything beyond it as excess delay.

/// Time in milliseconds in which the clocks may drift apart by one millisecond.
///
/// The rate of 100 ppm exceeds that of server clocks. Without this allowance, requests on a
/// connection kept for hours would seem to be increasingly late.
const DRIFT_INTERVAL_MS: u64 = 10_000;

/// Delay baseline of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct DelayEstimator {
    /// Least difference of receive and send time in milliseconds, and when it was measured.
    baseline: Option<(i64, u64)>,
}

impl DelayEstimator {
    /// Returns true if a request has shown the normal delay.
    #[must_use]
    pub fn has_baseline(&self) -> bool {
        self.baseline.is_some()
    }

    /// Returns the delay of a request beyond the normal one, in milliseconds.
    ///
    /// `sent_ms` is the time at which it was sent by the sender's clock, `now_ms` the time at which
    /// it was read by the local clock. `max_wait_ms` is the time for which it may have waited unread
    /// because of a pause of this process, if any. Without a baseline, it counts as excess delay, and
    /// the request is no baseline for later ones.
    pub fn excess_delay_ms(&mut self, sent_ms: u64, now_ms: u64, max_wait_ms: Option<u64>) -> u64 {
        if self.baseline.is_none()
            && let Some(max_wait_ms) = max_wait_ms
        {
            return max_wait_ms;
        }
        let difference = signed(now_ms) - signed(sent_ms);
        let expected = self.baseline.map_or(difference, |(baseline, since_ms)| {
            baseline + signed(now_ms.saturating_sub(since_ms) / DRIFT_INTERVAL_MS)
        });
        if difference <= expected {
            self.baseline = Some((difference, now_ms));
        }
        u64::try_from(difference - expected).unwrap_or(0)
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
