//! Selection of the contacts: instances whose entries in the store starting instances read.
//!
//! A starting instance knows a few addresses, which may be stale, and the store. An entry for each
//! instance would cost one write per start, and a list that grows with the fleet: at 2,600
//! instances, 390 KB for each reader. A few entries per zone suffice, since any instance that
//! answers knows all others.

use crate::rendezvous;
use crate::watchers::Candidate;

/// Instances per zone that have an entry; any two of them may have died since.
const CONTACTS_PER_ZONE: usize = 3;
/// Key under which instances are ranked.
const RANKING_KEY: &str = "store-contacts";
/// Part of the fleet size in an entry, as a divisor, by which it may be wrong before a rewrite.
///
/// The size in the entry only limits what an instance that has just started may use.
const RESIZE_DIVISOR: u64 = 4;

/// Returns true if the instance `own` has an entry, given all `others`.
#[must_use]
pub fn is_contact(own: Candidate, others: &[Candidate]) -> bool {
    let same_zone = others.iter().filter(|c| c.zone == own.zone).map(|c| c.key);
    let keys: Vec<u64> = same_zone.chain([own.key]).collect();
    rendezvous::is_in_top(rendezvous::hash(RANKING_KEY), own.key, &keys, CONTACTS_PER_ZONE)
}

/// Returns true if an entry that states `written` instances must be rewritten.
#[must_use]
pub fn must_rewrite(written: u64, instances: u64) -> bool {
    written.abs_diff(instances) > written / RESIZE_DIVISOR
}
