//! Selects the instances of a zone that hold connections to the zone's replicas.
//!
//! A replica accepts fewer connections than there are instances, and each new connection occupies
//! one of its few slots for milliseconds. So in a large zone, some instances gather for the others
//! and keep their connections warm; in a small zone, every instance gathers.

use crate::rendezvous;

/// Zone size up to which each instance gathers for itself.
///
/// Also the minimum number of gatherers in a larger zone of equal instances.
const MAX_SELF_GATHERING_INSTANCES: usize = 4;
/// Minimum number of gatherers, regardless of their capacity, since one may just have died.
const MIN_GATHERERS: usize = 2;
/// Ratio of the zone's CPU capacity to that of its gatherers.
///
/// At a fifth, their connections stay in use: about 300 parts per second at each of 19 instances
/// with a quarter of a core, and a part takes less than 0.1 ms of CPU time.
const CAPACITY_RATIO: u64 = 5;

/// Instance of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Key for rendezvous hashing.
    pub key: u64,
    /// CPU capacity in thousandths of a core.
    pub capacity_milli: u32,
}

/// Returns the keys of the instances of a zone that gather.
///
/// The largest instances are selected, as few as provide enough CPU capacity together. A part takes
/// 0.2 ms on half a core and 0.8 ms on an eighth, and each request that an asking instance need not
/// send saves a millisecond in the latency of the answer. An instance that joins or leaves affects
/// only its own place.
#[must_use]
pub fn select_gatherers(zone: &str, candidates: &[Candidate]) -> Vec<u64> {
    let mut ranked = candidates.to_vec();
    let zone_key = rendezvous::hash(zone);
    ranked.sort_by_key(|c| {
        (std::cmp::Reverse(c.capacity_milli), rendezvous::weight(zone_key, c.key), c.key)
    });
    let count = if ranked.len() <= MAX_SELF_GATHERING_INSTANCES {
        ranked.len()
    } else {
        gatherer_count(&ranked)
    };
    ranked.into_iter().take(count).map(|c| c.key).collect()
}

/// Returns the number of gatherers in a zone, given its instances with the largest first.
fn gatherer_count(ranked: &[Candidate]) -> usize {
    let capacity = |c: &Candidate| u64::from(c.capacity_milli.max(1));
    let Some(median) = ranked.get(ranked.len() / 2).map(capacity) else { return 0 };
    let total: u64 = ranked.iter().map(capacity).sum();
    let needed_milli =
        (MAX_SELF_GATHERING_INSTANCES as u64 * median).max(total.div_ceil(CAPACITY_RATIO));
    let mut selected_milli = 0;
    let suffices = |c: &Candidate| {
        selected_milli += capacity(c);
        selected_milli >= needed_milli
    };
    let count = ranked.iter().position(suffices).map_or(ranked.len(), |last| last + 1);
    count.max(MIN_GATHERERS).min(ranked.len())
}

/// Returns the index of the gatherer that is responsible for a shard.
///
/// Each shard has one, so that few instances hold connections to a replica and keep them in use.
/// The shards of one request are spread over all gatherers in proportion to their CPU capacity: a
/// part takes about 0.4 ms on a small instance, and 68 of them in sequence a third of the target
/// latency.
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
