//! Choice of the one snapshot that a query is answered from.
//!
//! A snapshot is an index version together with its partition map, that is, how
//! many shards the index has in that version. Replicas say in their own answers
//! which versions they hold. A query pinned to one version never mixes parts of
//! two, also while versions roll and shards are split.

use std::collections::BTreeMap;

use crate::prelude::{IndexVersion, ShardId};

/// One version that a replica holds, with the partition map it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Held {
    /// The index version.
    pub version: IndexVersion,
    /// Number of shards of the index in that version.
    pub shard_count: u32,
}

/// The snapshot that a query is pinned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Snapshot {
    /// The index version of every part.
    pub version: IndexVersion,
    /// Number of shards that make up the whole picture.
    pub shard_count: u32,
    /// Number of shards with a usable replica that holds the version.
    pub reachable: u32,
}

impl Snapshot {
    /// Whether every shard can be reached at this version.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.reachable == self.shard_count
    }
}

/// What the usable replicas of one service hold, shard by shard.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    shards_by_held: BTreeMap<Held, Vec<ShardId>>,
}

impl Catalogue {
    /// Notes that a usable replica of `shard` holds `held`.
    pub fn add(&mut self, shard: ShardId, held: &[Held]) {
        for &one in held {
            let shards = self.shards_by_held.entry(one).or_default();
            if shard < one.shard_count && !shards.contains(&shard) {
                shards.push(shard);
            }
        }
    }

    /// The snapshots that some shard holds, newest first.
    pub fn snapshots(&self) -> impl Iterator<Item = Snapshot> + '_ {
        self.shards_by_held.iter().rev().map(|(held, shards)| Snapshot {
            version: held.version,
            shard_count: held.shard_count,
            reachable: u32::try_from(shards.len()).unwrap_or(u32::MAX),
        })
    }

    /// Whether every shard holds `version` in one partition map.
    #[must_use]
    pub fn is_complete_at(&self, version: IndexVersion) -> bool {
        self.snapshots().any(|s| s.version == version && s.is_complete())
    }

    /// Newest complete snapshot that the dependencies hold too, else the fullest.
    ///
    /// An incomplete snapshot is chosen only where no complete one is left: the
    /// answer then names the missed shards. Between equals the newer one wins.
    #[must_use]
    pub fn choose(&self, dependencies: &[&Self]) -> Option<Snapshot> {
        let holds = |s: &Snapshot| dependencies.iter().all(|d| d.is_complete_at(s.version));
        self.snapshots().find(|s| s.is_complete() && holds(s)).or_else(|| self.fullest())
    }

    /// The snapshot at `version`, where any shard holds it.
    #[must_use]
    pub fn at(&self, version: IndexVersion) -> Option<Snapshot> {
        self.snapshots().find(|s| s.version == version)
    }

    fn fullest(&self) -> Option<Snapshot> {
        // Compares reachable / shard_count without division.
        self.snapshots().fold(None, |best: Option<Snapshot>, s| match best {
            Some(b)
                if u64::from(b.reachable) * u64::from(s.shard_count)
                    >= u64::from(s.reachable) * u64::from(b.shard_count) =>
            {
                Some(b)
            }
            _ => Some(s),
        })
    }
}
