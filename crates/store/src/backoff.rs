//! Exponential backoff with jitter.

use std::time::Duration;

/// Delays that double up to a maximum, each with random jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    current_ms: u64,
}

impl Backoff {
    /// Creates a backoff with delays from `min_ms` up to `max_ms`, in milliseconds.
    #[must_use]
    pub fn new(min_ms: u64, max_ms: u64) -> Self {
        Self { min_ms, max_ms, current_ms: min_ms }
    }

    /// Returns the next delay, drawn at random between half of the current delay and all of it.
    pub fn next_delay(&mut self) -> Duration {
        let delay_ms = self.current_ms;
        self.current_ms = (delay_ms * 2).min(self.max_ms);
        Duration::from_millis(rand::random_range(delay_ms / 2..=delay_ms))
    }

    /// Resets the delay to its minimum after a success.
    pub fn reset(&mut self) {
        self.current_ms = self.min_ms;
    }
}
