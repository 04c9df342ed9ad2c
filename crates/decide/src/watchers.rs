//! Selection of the instances that watch the store and distribute its changes.
//!
//! Each call of the store costs money, and its rate limits grow more slowly than the fleet. A few
//! watchers therefore distribute changes to all others. Each instance selects the same ones by
//! rendezvous hashing; their number is independent of the number of instances and zones. In each
//! zone without a watcher, one instance, the fetcher, gets changes from another zone at once and
//! passes them on within its zone, so that changes cross zones only once. If the store refuses a
//! watcher, the next instance takes over as soon as the record of the first one states that. If a
//! watcher does not respond or is about to leave, the next one takes over before the first one is
//! declared dead; see [`crate::watcher_health`].

use crate::rendezvous;

/// Number of watchers.
///
/// Two may fail at once, such as one that has just died and one whose connection is stalled. If all
/// of them are lost, their standbys take over.
pub const WATCHER_COUNT: usize = 3;
/// Maximum number of substitutes for watchers that the store refuses or that don't respond.
///
/// Without a limit, an outage affected the whole fleet: each substitute was refused as well and
/// kept retrying, so that 195 instances made 2,500 calls in four seconds. If the store serves two
/// in three instances, none of this many is served in one of 300,000 outages.
const MAX_SUBSTITUTES: usize = 9;
/// Number of instances that retry during an outage to detect its end.
pub const MAX_OUTAGE_PROBERS: u64 = (WATCHER_COUNT + MAX_SUBSTITUTES) as u64;
/// Key under which instances are ranked.
const RANKING_KEY: &str = "store-watchers";

/// Instance that may become a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its key in rendezvous hashing.
    pub key: u64,
    /// Key of its zone.
    pub zone: u64,
    /// True if the store answers its requests.
    pub is_store_reached: bool,
    /// False if it does not answer checks or may not hold roles.
    pub is_responsive: bool,
}

/// Returns true if the instance `own` is a watcher, given all `others`.
///
/// A refused watcher keeps retrying although others have taken over: only its connection may have
/// failed, and if no instance reaches the store, one of them has to detect the end of the outage. A
/// leaving one goes on only if there are too few others.
#[must_use]
pub fn is_watcher(own: Candidate, others: &[Candidate]) -> bool {
    let working: Vec<&Candidate> =
        others.iter().filter(|c| c.is_responsive && c.is_store_reached).collect();
    if !own.is_responsive && working.len() >= WATCHER_COUNT {
        return false;
    }
    is_in_top(own, working.into_iter(), WATCHER_COUNT) && is_outage_prober(own, others)
}

/// Returns true if the instance `own` is one of those that detect the end of an outage.
#[must_use]
pub fn is_outage_prober(own: Candidate, others: &[Candidate]) -> bool {
    let responsive = others.iter().filter(|c| c.is_responsive);
    is_in_top(own, responsive, WATCHER_COUNT + MAX_SUBSTITUTES)
}

/// Returns the keys of the instances that `own` checks, since it watches if too few of them do.
///
/// Only the instances that would replace lost watchers check any.
#[must_use]
pub fn check_targets(own: Candidate, others: &[Candidate]) -> Vec<u64> {
    let is_watcher_if_all_respond = is_in_top(own, others.iter(), WATCHER_COUNT);
    if is_watcher_if_all_respond || !is_outage_prober(own, others) {
        return Vec::new();
    }
    let position = |c: &Candidate| (rank(c.key), c.key);
    others.iter().filter(|c| position(c) > position(&own)).map(|c| c.key).collect()
}

/// Returns true if the instance `own` is the fetcher of its zone.
#[must_use]
pub fn is_fetcher(own: Candidate, others: &[Candidate]) -> bool {
    let same_zone = others.iter().filter(|c| c.is_responsive && c.zone == own.zone);
    is_in_top(own, same_zone, 1)
}

/// Returns the rank of the instance with this key; higher ranks come first.
#[must_use]
pub fn rank(key: u64) -> u64 {
    rendezvous::weight(rendezvous::hash(RANKING_KEY), key)
}

fn is_in_top<'c>(own: Candidate, others: impl Iterator<Item = &'c Candidate>, top: usize) -> bool {
    let keys: Vec<u64> = others.map(|c| c.key).chain([own.key]).collect();
    rendezvous::is_in_top(rendezvous::hash(RANKING_KEY), own.key, &keys, top)
}
