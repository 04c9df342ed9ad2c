//! Which instances watch the store; the others hear from them.
//!
//! Each call of the store is paid for and its rates grow more slowly than the fleet. A few
//! watchers, the same at every instance by rendezvous over the members, carry news to all
//! others; their number depends on neither the instances nor the zones. In each zone without a
//! watcher one instance, its fetcher, has the news from another zone at once, and the others
//! of the zone from it, so that changes cross zones but once. Where the store turns a watcher
//! away, the next one steps in as soon as the first one's record says so.

use crate::rendezvous;

/// Instances that watch. Two may be lost at once, such as one that has just died and one whose
/// connection has gone silent.
const WATCHERS: usize = 3;
/// Instances that step in for watchers that are turned away, at the most.
///
/// Without a bound an outage went through the whole fleet: each one that stepped in was turned
/// away too and went on trying, so that 195 instances made 2,500 calls in four seconds. Where a
/// store serves two instances in three, this many fail to find one of them in one outage of
/// three hundred thousand.
const MOST_STAND_INS: usize = 9;
/// Instances that find out when an outage is over.
pub const FINDERS: u64 = (WATCHERS + MOST_STAND_INS) as u64;
/// Key under which instances are ranked.
const RANKING: &str = "store-watchers";

/// One instance that may watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its key in rendezvous order.
    pub key: u64,
    /// Key of its zone.
    pub zone: u64,
    /// Whether the store answers it.
    pub is_store_reached: bool,
}

/// Whether the instance `own` watches, among itself and `others`.
///
/// One that is turned away goes on trying, though others step in: its connection may only have
/// been cut, and when nobody is reached somebody has to find out first.
#[must_use]
pub fn is_watcher(own: Candidate, others: &[Candidate]) -> bool {
    let reached = others.iter().filter(|c| c.is_store_reached);
    is_in_top(own, reached, WATCHERS) && is_finder(own, others)
}

/// Whether the instance `own` is one of those that find out when an outage is over.
#[must_use]
pub fn is_finder(own: Candidate, others: &[Candidate]) -> bool {
    is_in_top(own, others.iter(), WATCHERS + MOST_STAND_INS)
}

/// Whether the instance `own` fetches for its zone what only other zones have.
#[must_use]
pub fn is_fetcher(own: Candidate, others: &[Candidate]) -> bool {
    is_in_top(own, others.iter().filter(|c| c.zone == own.zone), 1)
}

/// Rank of the instance with this key, higher ones first.
#[must_use]
pub fn rank(key: u64) -> u64 {
    rendezvous::weight(rendezvous::hash(RANKING), key)
}

fn is_in_top<'c>(own: Candidate, others: impl Iterator<Item = &'c Candidate>, top: usize) -> bool {
    let keys: Vec<u64> = others.map(|c| c.key).chain([own.key]).collect();
    rendezvous::is_in_top(rendezvous::hash(RANKING), own.key, &keys, top)
}
