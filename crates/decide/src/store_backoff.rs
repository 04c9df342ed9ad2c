//! Backoff between attempts to reach a store that does not answer.

/// Initial backoff after a failed call, in milliseconds.
pub const MIN_BACKOFF_MS: u64 = 60;
/// Maximum backoff in a small fleet, in milliseconds.
///
/// Within it, at least one of a few instances notices that the store is back.
pub const MAX_BACKOFF_MS: u64 = 600;
/// Number of instances per multiple of the maximum backoff, and the limit of that multiple.
///
/// Refused calls cost money, too: 77 instances made 2,500 of them in an outage of six seconds. An
/// instance that learns that the store answers another one retries at once, so the outage ends for
/// all with the first successful call.
const INSTANCES_PER_MULTIPLE: u64 = 24;
const MAX_MULTIPLE: u64 = 4;

/// Returns the backoff of one of `instances`, scaled to the size of the fleet.
///
/// Only long backoffs are scaled, since most failures are brief.
#[must_use]
pub fn scaled_backoff_ms(backoff_ms: u64, instances: u64) -> u64 {
    if backoff_ms < MAX_BACKOFF_MS / 2 {
        return backoff_ms;
    }
    backoff_ms * (instances / INSTANCES_PER_MULTIPLE).clamp(1, MAX_MULTIPLE)
}
