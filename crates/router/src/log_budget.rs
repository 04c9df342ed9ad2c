//! Bound on the log lines of a decision that may occur hundreds of times a second.

use std::cell::Cell;

/// Default number of lines per second; enough to show the affected customers.
const MAX_LINES_PER_S: u32 = 10;
/// Length of the window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Number of lines that may still be written in the current second.
#[derive(Debug)]
pub struct LogBudget {
    max_lines_per_s: u32,
    state: Cell<State>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    window_end_ms: u64,
    written: u32,
    skipped: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new(MAX_LINES_PER_S)
    }
}

impl LogBudget {
    /// Creates a budget of `max_lines_per_s` lines in each second.
    #[must_use]
    pub fn new(max_lines_per_s: u32) -> Self {
        Self { max_lines_per_s, state: Cell::default() }
    }

    /// Takes a line; returns the number of lines skipped since the previous one, or `None` if this
    /// line must be skipped too.
    pub fn try_take(&self, now_ms: u64) -> Option<u64> {
        let mut state = self.state.get();
        if now_ms >= state.window_end_ms {
            (state.window_end_ms, state.written) = (now_ms + WINDOW_MS, 0);
        }
        let is_allowed = state.written < self.max_lines_per_s;
        let skipped = if is_allowed {
            state.written += 1;
            Some(std::mem::take(&mut state.skipped))
        } else {
            state.skipped += 1;
            None
        };
        self.state.set(state);
        skipped
    }
}
