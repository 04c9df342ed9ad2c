//! Exponential backoff with jitter.

use std::time::Duration;

/// Pauses that double up to a maximum, each with random jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    current_ms: u64,
}

impl Backoff {
    /// Creates a backoff with pauses from `min_ms` up to `max_ms`, in milliseconds.
    #[must_use]
    pub fn new(min_ms: u64, max_ms: u64) -> Self {
        Self { min_ms, max_ms, current_ms: min_ms }
    }

    /// Returns the next pause, drawn at random between half of the current pause and all of it.
    pub fn next_pause(&mut self) -> Duration {
        let pause_ms = self.current_ms;
        self.current_ms = (pause_ms * 2).min(self.max_ms);
        Duration::from_millis(rand::random_range(pause_ms / 2..=pause_ms))
    }

    /// Resets the pause to its minimum after a success.
    pub fn reset(&mut self) {
        self.current_ms = self.min_ms;
    }
}
