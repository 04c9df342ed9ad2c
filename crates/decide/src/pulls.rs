//! Concurrent pulls of changes from other instances.
//!
//! A pull may be late for two reasons. If the instance is frozen or cut off, another one must be
//! asked soon, since a change has to be in force within seconds. If the answer is long and the link
//! slow, the pull needs more time: twenty instances of a zone that pull a configuration of 1,800
//! routes from one instance over 30 Mbit/s take two seconds. Cancelling such a pull is worse than
//! waiting: the next one starts from the beginning, and the version never comes into force. A late
//! pull therefore continues, and another one is started in parallel.

/// Time in milliseconds after which another instance is asked as well.
///
/// It is about a hundred round trips within a region.
pub const HEDGE_AFTER_MS: u64 = 400;
/// Timeout of a pull in milliseconds, sufficient for 10 MB over a link of 30 Mbit/s.
pub const PULL_TIMEOUT_MS: u64 = 2_500;
/// Maximum number of concurrent pulls; each takes bandwidth from the others.
const MAX_CONCURRENT_PULLS: usize = 3;

/// Pulls of one kind of objects that are in progress.
#[derive(Debug, Clone, Default)]
pub struct ConcurrentPulls {
    /// Instances being asked, with the start time in milliseconds; the latest is last.
    in_progress: Vec<(String, u64)>,
}

impl ConcurrentPulls {
    /// Returns true if another pull may be started now.
    #[must_use]
    pub fn may_start(&self, now_ms: u64) -> bool {
        let is_late = |(_, since_ms): &(String, u64)| now_ms >= since_ms + HEDGE_AFTER_MS;
        self.in_progress.len() < MAX_CONCURRENT_PULLS && self.in_progress.last().is_none_or(is_late)
    }

    /// Returns true if a pull from `instance` is in progress.
    #[must_use]
    pub fn is_pulling_from(&self, instance: &str) -> bool {
        self.in_progress.iter().any(|(name, _)| name == instance)
    }

    /// Returns true if a pull that may be started now follows one that is late.
    ///
    /// It needs a new connection then, since open ones may have gone silent.
    #[must_use]
    pub fn is_any_late(&self) -> bool {
        !self.in_progress.is_empty()
    }

    /// Records the start of a pull from `instance`.
    pub fn record_start(&mut self, instance: &str, now_ms: u64) {
        self.in_progress.push((instance.to_owned(), now_ms));
    }

    /// Records the end of the pull from `instance`, by an answer or a timeout.
    pub fn record_end(&mut self, instance: &str) {
        self.in_progress.retain(|(name, _)| name != instance);
    }
}
