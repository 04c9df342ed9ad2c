//! How often an instance tries a store that does not answer.

/// First pause after a call that failed, in milliseconds.
pub const LEAST_PAUSE_MS: u64 = 60;
/// Longest pause in a small fleet, in milliseconds: the time in which at least one of a few
/// instances finds out that the store is back.
pub const MOST_PAUSE_MS: u64 = 600;
/// Instances for each such longest pause, and how often it is lengthened at the most.
///
/// Refused calls are paid for too: 77 instances made 2,500 of them in an outage of six
/// seconds. One that hears that the store answers another tries at once, so that the outage
/// ends for all with the first call that succeeds.
const PAUSE_FOR_INSTANCES: u64 = 24;
const MOST_LENGTHENED: u64 = 4;

/// A pause between two tries, for one of `instances`; only long pauses are lengthened, since
/// most failures last for a moment.
#[must_use]
pub fn pause_ms(pause_ms: u64, instances: u64) -> u64 {
    if pause_ms < MOST_PAUSE_MS / 2 {
        return pause_ms;
    }
    pause_ms * (instances / PAUSE_FOR_INSTANCES).clamp(1, MOST_LENGTHENED)
}
