//! A hybrid logical clock, which orders events over all processes.
//!
//! Wall clocks differ between instances, so by them an effect could stand before
//! its cause on the time line. A hybrid clock follows the wall clock but never
//! falls behind a stamp that it has seen: stamps travel on every peer message.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Bits of a stamp below its milliseconds, for events within one.
pub const COUNTER_BITS: u32 = 16;

/// Most that a seen stamp may lie ahead of the own clock, in milliseconds.
///
/// Without a bound, one instance with a wrong clock would drag all others along.
const MAX_AHEAD_MS: u64 = 60_000;

/// Milliseconds since the epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The clock of one process.
#[derive(Debug, Default)]
pub struct Clock(AtomicU64);

impl Clock {
    /// A stamp above all that this process has given or seen.
    pub fn stamp(&self) -> u64 {
        let wall = epoch_ms() << COUNTER_BITS;
        let next = |last: u64| Some(wall.max(last + 1));
        let last = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        wall.max(last.unwrap_or_default() + 1)
    }

    /// Takes in a stamp from another process.
    pub fn observe(&self, stamp: u64) {
        let bound = (epoch_ms() + MAX_AHEAD_MS) << COUNTER_BITS;
        if stamp < bound {
            self.0.fetch_max(stamp, Ordering::AcqRel);
        }
    }
}
