//! Which instances watch the store; the others hear from them.
//!
//! Each call of the store is paid for and its rates grow more slowly than the fleet. A
//! few watchers, the same at every instance by rendezvous over the members, carry news
//! to all others by gossip: one in each zone, so that changes cross zones but once, and
//! one more of all. Where the store turns one away, the next one steps in as soon as the
//! first one's record says so.

use crate::rendezvous;

/// Watchers in each zone. One may just have died or be cut off unnoticed; then the zone
/// hears from the other zones' watchers.
const WATCHERS_IN_ZONE: usize = 1;
/// Watchers at least, wherever they are.
const WATCHERS_AT_LEAST: usize = 2;
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
#[must_use]
pub fn is_watcher(own: Candidate, others: &[Candidate]) -> bool {
    // One that is turned away goes on trying, though others step in: its connection may
    // only have been cut, and when nobody is reached somebody has to find out first.
    let reached: Vec<&Candidate> = others.iter().filter(|c| c.is_store_reached).collect();
    let ranking = rendezvous::hash(RANKING);
    let is_in_top = |wanted: &dyn Fn(&Candidate) -> bool, top: usize| {
        let keys = reached.iter().filter(|c| wanted(c)).map(|c| c.key);
        let all: Vec<u64> = keys.chain([own.key]).collect();
        rendezvous::is_in_top(ranking, own.key, &all, top)
    };
    is_in_top(&|c| c.zone == own.zone, WATCHERS_IN_ZONE) || is_in_top(&|_| true, WATCHERS_AT_LEAST)
}
