//! Which instances of a zone hold connections to the zone's replicas.
//!
//! A replica accepts fewer connections than there are instances, and each new one holds
//! one of its few slots for milliseconds. So in a large zone some instances gather for
//! the others, and keep their connections warm; in a small one every instance does.

use crate::rendezvous;

/// Instances of a zone up to which each gathers for itself, and gatherers at least in a
/// larger zone of equal instances.
const ALL_UP_TO: usize = 4;
/// Gatherers at least, however large they are: one may just have died.
const AT_LEAST: usize = 2;
/// The zone's processor time for each unit of it at those that gather.
///
/// At a fifth their connections stay in use, some 300 parts a second each of 19 instances
/// with a quarter of a core, and a part takes under a tenth of a millisecond of it.
const FOR_EACH: u64 = 5;

/// An instance of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its key in rendezvous order.
    pub key: u64,
    /// Its processor time, in thousandths of a core.
    pub capacity_milli: u32,
}

/// Keys of the instances that gather, of all of one zone.
///
/// The largest ones do, as few as have enough processor time together: a part takes 0.2 ms
/// of half a core and 0.8 ms of an eighth, and each question that an asking instance need
/// not send spares it a millisecond on the way of the answer. One that comes or goes moves
/// only its own place.
#[must_use]
pub fn choose(zone: &str, candidates: &[Candidate]) -> Vec<u64> {
    let mut ranked = candidates.to_vec();
    let ranking = rendezvous::hash(zone);
    ranked.sort_by_key(|c| {
        (std::cmp::Reverse(c.capacity_milli), rendezvous::weight(ranking, c.key), c.key)
    });
    let count = if ranked.len() <= ALL_UP_TO { ranked.len() } else { count(&ranked) };
    ranked.into_iter().take(count).map(|c| c.key).collect()
}

/// How many gather, of those of a zone, largest first.
fn count(ranked: &[Candidate]) -> usize {
    let capacity = |c: &Candidate| u64::from(c.capacity_milli.max(1));
    let Some(median) = ranked.get(ranked.len() / 2).map(capacity) else { return 0 };
    let total: u64 = ranked.iter().map(capacity).sum();
    let needed = (ALL_UP_TO as u64 * median).max(total.div_ceil(FOR_EACH));
    let mut held = 0;
    let suffices = |c: &Candidate| {
        held += capacity(c);
        held >= needed
    };
    let enough = ranked.iter().position(suffices).map_or(ranked.len(), |last| last + 1);
    enough.max(AT_LEAST).min(ranked.len())
}

/// The one of a zone's gatherers that gathers a shard.
///
/// Each shard has one, so that few instances hold connections to a replica and keep them
/// in use; and the shards of one request are spread over all in proportion to their
/// processor time, since a part takes some 0.4 ms of a small instance and 68 of them one
/// after the other a third of the target.
#[must_use]
pub fn owner(service: &str, gatherers: &[Candidate]) -> Option<usize> {
    let key = rendezvous::hash(service);
    let distance = |c: &Candidate| rendezvous::distance(key, c.key, c.capacity_milli);
    let nearer = |a: &usize, b: &usize| {
        let (a, b) = (&gatherers[*a], &gatherers[*b]);
        distance(a).total_cmp(&distance(b)).then(a.key.cmp(&b.key))
    };
    (0..gatherers.len()).min_by(nearer)
}
