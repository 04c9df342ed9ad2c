//! Exponential backoff with jitter.

use std::time::Duration;

/// Pauses that double up to a bound, each drawn at random below it.
#[derive(Debug, Clone)]
pub struct Backoff {
    least_ms: u64,
    most_ms: u64,
    current_ms: u64,
}

impl Backoff {
    /// Pauses from `least_ms` up to `most_ms`.
    #[must_use]
    pub fn new(least_ms: u64, most_ms: u64) -> Self {
        Self { least_ms, most_ms, current_ms: least_ms }
    }

    /// The next pause; between half of the bound and all of it.
    pub fn next_pause(&mut self) -> Duration {
        let bound_ms = self.current_ms;
        self.current_ms = (bound_ms * 2).min(self.most_ms);
        Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.current_ms = self.least_ms;
    }
}
