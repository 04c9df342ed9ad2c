//! Which shards are asked for by way of an instance in their replicas' zone.
//!
//! Parts that cross zones one by one cost a kilobyte and more each; the instance beside
//! the replicas merges them to the greatest records and sends those once. So the shards
//! without a replica in the own zone are grouped under as few other zones as possible.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Fewer shards than this are asked directly where that is as good: the merged answer of
/// one shard is about as long as its part, and the detour costs time.
pub const LEAST_GROUP: usize = 2;

/// Shards to be asked for in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group<'a> {
    /// The zone.
    pub zone: &'a str,
    /// Positions of the shards.
    pub shards: Vec<usize>,
}

/// Replicas that a shard's request may be sent to when it is asked for in `zone`, best
/// first: positions in `replicas`.
///
/// The asking instance and the one in `zone` both send second tries, and neither knows
/// whom the other has chosen. With more replicas than attempts the two together could
/// reach too many; so the asking one draws them, by the request's id, and says which. That
/// the other one draws them too isn't enough: lists of replicas differ while they change.
/// Slow ones come last: the asked instance says which are, since it sends to them. Drawn
/// blindly, one shard in six had two bad replicas of three while two in five were bad, and no
/// answer was complete enough.
#[must_use]
pub fn allowed(replicas: &[Place<'_>], zone: &str, attempts: usize, request: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_by_key(|&i| {
        let Place { id, zone: place, is_slow } = replicas[i];
        (is_slow, place != zone, rendezvous::weight(request, rendezvous::hash(id)))
    });
    order.truncate(attempts.max(1));
    order
}

/// Stands for no replica.
pub const NO_MARK: u32 = 0;

/// Short mark of a replica's id; of the few replicas of a shard two are hardly ever alike,
/// and then one more is allowed.
#[must_use]
pub fn mark(id: &str) -> u32 {
    const HALF: u32 = 32;
    u32::try_from(rendezvous::hash(id) >> HALF).unwrap_or(u32::MAX).max(NO_MARK + 1)
}

/// A replica and its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it was said to be slow.
    pub is_slow: bool,
}

/// Groups shards by zone; `zones` lists for each shard the zones that could serve it.
///
/// Shards in no group are asked directly; groups have `least` shards or more. The zone
/// `first` comes first, whatever the others could serve: its answers cross no zones, and each
/// zone serves its own callers. Without it the zone with most replicas was asked by all.
/// `turn` rotates which of several equally good zones is taken.
#[must_use]
pub fn group<'a>(
    mut zones: BTreeMap<usize, Vec<&'a str>>,
    first: &'a str,
    least: usize,
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
        let most = by_zone.values().map(Vec::len).max().unwrap_or(0);
        if most < least.max(1) {
            return groups;
        }
        let best: Vec<(&str, Vec<usize>)> =
            by_zone.into_iter().filter(|(_, shards)| shards.len() == most).collect();
        let index = usize::try_from(turn % best.len() as u64).unwrap_or(0);
        let (zone, shards) = best[index].clone();
        for shard in &shards {
            zones.remove(shard);
        }
        groups.push(Group { zone, shards });
    }
}
