//! A hybrid logical clock that orders events across processes.
//!
//! Wall clocks differ between instances, so ordering by them could place an effect before its
//! cause. A hybrid logical clock follows the wall clock but never falls behind a stamp it has
//! observed. Every peer message carries a stamp.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of low bits of a stamp that order events within one millisecond.
pub const COUNTER_BITS: u32 = 16;

/// Maximum lead of an observed stamp over the local clock, in milliseconds.
///
/// Without a bound, one instance with a wrong clock would advance the clocks of all others.
const MAX_AHEAD_MS: u64 = 60_000;

/// Returns the time since the Unix epoch in milliseconds.
#[must_use]
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock(AtomicU64);

impl Clock {
    /// Returns a stamp greater than all stamps issued or observed by this process.
    pub fn stamp(&self) -> u64 {
        let wall = epoch_ms() << COUNTER_BITS;
        let next = |last: u64| Some(wall.max(last + 1));
        let last = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        wall.max(last.unwrap_or_default() + 1)
    }

    /// Advances the clock to a stamp from another process, unless that is too far ahead.
    pub fn observe(&self, stamp: u64) {
        let bound = (epoch_ms() + MAX_AHEAD_MS) << COUNTER_BITS;
        if stamp < bound {
            self.0.fetch_max(stamp, Ordering::AcqRel);
        }
    }
}
