//! Selects the shards that are requested through an instance in the zone of their replicas.
//!
//! Parts that cross zones individually cost a kilobyte or more each. An instance in the replicas'
//! zone merges them to the greatest records and sends those once. So shards without a local replica
//! are grouped into as few other zones as possible.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Minimum number of shards in a group; smaller groups are requested directly.
///
/// The merged answer of one shard is about as long as its part, and the relay adds latency. Where
/// direct requests are not as good, since others gather for this instance, the minimum is one.
pub const MIN_GROUP_SHARDS: usize = 2;

/// Shards to be requested through one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group<'a> {
    /// Zone of the relaying instance.
    pub zone: &'a str,
    /// Positions of the shards.
    pub shards: Vec<usize>,
}

/// Returns the replicas that a shard's request relayed through `zone` may be sent to, best first.
///
/// The result contains positions in `replicas`. The asking instance and the one in `zone` both send
/// hedges and retries, and neither knows which replicas the other has selected. With more replicas
/// than attempts, they could together reach too many. So the asking instance selects the replicas
/// by the request's id and passes them on; a selection by both is not enough, because their lists
/// of replicas differ during changes. Slow replicas come last, as reported by the relaying
/// instance, which sends to them. Without this, when two in five replicas were bad, one shard in
/// six got two bad ones of three, and no answer was complete enough.
#[must_use]
pub fn select_replicas(
    replicas: &[ReplicaLocation<'_>],
    zone: &str,
    attempts: usize,
    request: u64,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_by_key(|&i| {
        let ReplicaLocation { id, zone: replica_zone, is_slow } = replicas[i];
        (is_slow, replica_zone != zone, rendezvous::weight(request, rendezvous::hash(id)))
    });
    order.truncate(attempts.max(1));
    order
}

/// Id hash that stands for no replica.
pub const NO_REPLICA_HASH: u32 = 0;

/// Returns a short hash of a replica's id.
///
/// The few replicas of one shard hardly ever collide; a collision permits one more replica.
#[must_use]
pub fn replica_hash(id: &str) -> u32 {
    const HALF: u32 = 32;
    u32::try_from(rendezvous::hash(id) >> HALF).unwrap_or(u32::MAX).max(NO_REPLICA_HASH + 1)
}

/// Replica and its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLocation<'a> {
    /// Id of the replica.
    pub id: &'a str,
    /// Availability zone of the replica.
    pub zone: &'a str,
    /// True if it was reported as slow.
    pub is_slow: bool,
}

/// Groups shards by zone; `zones` lists the zones that could serve each shard.
///
/// Shards in no group are requested directly. The zone `first` always comes first and may have a
/// group of any size: its answers cross no zones, and each zone serves its own callers. Otherwise
/// all instances would ask the zone with the most replicas. All other groups have at least
/// `min_shards` shards. `turn` rotates between equally good zones.
#[must_use]
pub fn group_by_zone<'a>(
    mut zones: BTreeMap<usize, Vec<&'a str>>,
    first: &'a str,
    min_shards: usize,
    turn: u64,
) -> Vec<Group<'a>> {
    let in_first = zones.extract_if(.., |_, places| places.contains(&first));
    let shards: Vec<usize> = in_first.map(|(shard, _)| shard).collect();
    let mut groups = Vec::new();
    if !shards.is_empty() {
        groups.push(Group { zone: first, shards });
    }
    loop {
        let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (&shard, places) in &zones {
            for &zone in places {
                by_zone.entry(zone).or_default().push(shard);
            }
        }
        let max_shards = by_zone.values().map(Vec::len).max().unwrap_or(0);
        if max_shards < min_shards.max(1) {
            return groups;
        }
        let best: Vec<(&str, Vec<usize>)> =
            by_zone.into_iter().filter(|(_, shards)| shards.len() == max_shards).collect();
        let index = usize::try_from(turn % best.len() as u64).unwrap_or(0);
        let (zone, shards) = best[index].clone();
        for shard in &shards {
            zones.remove(shard);
        }
        groups.push(Group { zone, shards });
    }
}
