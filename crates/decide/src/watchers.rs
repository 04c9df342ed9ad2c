//! Which instances watch the store; the others hear from them.
//!
//! Each call of the store is paid for and its rates grow more slowly than the fleet. A
//! few watchers, the same at every instance by rendezvous over the members, carry news
//! to all others by gossip. An instance that the store turns away drops out of the
//! choice as soon as its record says so, and the next one steps in.

use crate::rendezvous;

/// Instances that watch: one may just have died, and one be cut off unnoticed.
const WATCHERS: usize = 3;
/// Key under which instances are ranked.
const RANKING: &str = "store-watchers";

/// One instance that may watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its key in rendezvous order.
    pub key: u64,
    /// Whether the store answers it.
    pub is_store_reached: bool,
}

/// Whether the instance `own` watches, among itself and `others`.
#[must_use]
pub fn is_watcher(own: Candidate, others: &[Candidate]) -> bool {
    let reached: Vec<u64> = others.iter().filter(|c| c.is_store_reached).map(|c| c.key).collect();
    if !own.is_store_reached {
        // Somebody has to find out when the store is back.
        return reached.is_empty();
    }
    let all: Vec<u64> = reached.into_iter().chain([own.key]).collect();
    rendezvous::is_in_top(rendezvous::hash(RANKING), own.key, &all, WATCHERS)
}
