//! Rate limit on requests to cold replicas, over all instances together.
//!
//! A cold replica is slow and crashes if it gets too many requests per second. The limit applies to
//! the whole fleet in every sliding second, even while instances cannot reach each other. Neither
//! equal shares (most instances send nothing) nor a gossiped count would achieve this. So each cold
//! replica has one coordinator, which counts the requests to it; other instances ask the
//! coordinator for permission. The coordinator is the owner of the replica in the sense of
//! [`crate::fleet_limit`]. While two instances both consider themselves the coordinator, each uses
//! at most half of the limit.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::fleet_limit::MAX_OWNERS;

/// Length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 1_000;
const MILLI: u64 = 1000;

/// Tolerance above the rate limit of a cold replica, as set by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdTolerance {
    /// Factor of the rate, in thousandths.
    pub rate_factor_milli: u64,
    /// Additional requests.
    pub slack: u64,
}

impl Default for ColdTolerance {
    /// No tolerance above the rate.
    fn default() -> Self {
        Self { rate_factor_milli: MILLI, slack: 0 }
    }
}

/// Returns the requests per second that one coordinator permits, or `None` if there is no limit.
///
/// `rate_milli` is the rate limit of a cold replica, in thousandths of a request per second.
#[must_use]
pub fn coordinator_limit(rate_milli: u64, bounds: ColdTolerance) -> Option<usize> {
    if rate_milli == 0 {
        return None;
    }
    let max_milli = rate_milli * bounds.rate_factor_milli / MILLI + bounds.slack * MILLI;
    let limit_milli = rate_milli.max(MILLI).min(max_milli / MAX_OWNERS);
    Some(usize::try_from(limit_milli / MILLI).unwrap_or(usize::MAX))
}

/// Sliding windows of the requests that one instance permitted to each cold replica.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindows {
    sent_at_ms: HashMap<Arc<str>, VecDeque<u64>>,
}

impl SlidingWindows {
    /// Returns true if one more request may be sent to a replica.
    #[must_use]
    pub fn has_room(&self, replica: &str, limit: usize, now_ms: u64) -> bool {
        let is_counted = |at_ms: &&u64| **at_ms + WINDOW_MS > now_ms;
        let sent = self.sent_at_ms.get(replica);
        sent.map_or(0, |sent| sent.iter().filter(is_counted).count()) < limit
    }

    /// Records one request to a replica; returns false if it may not be sent.
    pub fn try_record(&mut self, replica: &Arc<str>, limit: usize, now_ms: u64) -> bool {
        if !self.has_room(replica, limit, now_ms) {
            return false;
        }
        let sent = self.sent_at_ms.entry(Arc::clone(replica)).or_default();
        while sent.front().is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms) {
            sent.pop_front();
        }
        sent.push_back(now_ms);
        true
    }

    /// Removes replicas without recent requests.
    pub fn remove_idle(&mut self, now_ms: u64) {
        let is_counted = |at_ms: &u64| at_ms + WINDOW_MS > now_ms;
        self.sent_at_ms.retain(|_, sent| sent.back().is_some_and(is_counted));
    }
}
