//! Which instances have an entry in the store, by which those that start find the others.
//!
//! An instance that starts knows a few addresses that may be stale, and the store. An entry for
//! each instance is a write for each start and a list that grows with the fleet: at 2,600
//! instances 390 KB for everyone who reads it. A few in each zone do as well, since one that
//! answers knows all others.

use crate::rendezvous;
use crate::watchers::Candidate;

/// Instances of each zone that have an entry: two may have died since.
const CONTACTS_IN_ZONE: usize = 3;
/// Key under which instances are ranked.
const RANKING: &str = "store-contacts";
/// Part by which the fleet's size must differ from what the entry says for it to be written
/// anew, as a divisor. The size only bounds what one that has just started may use.
const RESIZED_DIVISOR: u64 = 4;

/// Whether the instance `own` has an entry, among itself and `others`.
#[must_use]
pub fn is_contact(own: Candidate, others: &[Candidate]) -> bool {
    let near = others.iter().filter(|c| c.zone == own.zone).map(|c| c.key);
    let keys: Vec<u64> = near.chain([own.key]).collect();
    rendezvous::is_in_top(rendezvous::hash(RANKING), own.key, &keys, CONTACTS_IN_ZONE)
}

/// Whether an entry that says that there are `written` instances must be written anew.
#[must_use]
pub fn is_outdated(written: u64, instances: u64) -> bool {
    written.abs_diff(instances) > written / RESIZED_DIVISOR
}
