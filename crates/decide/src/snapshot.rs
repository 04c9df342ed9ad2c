//! Selection of the snapshot that a query is pinned to.
//!
//! A snapshot is an index version together with its partition map, that is, the number of shards of
//! the index in that version. Replicas report the versions they hold in their answers. A query
//! pinned to one version never mixes parts of two, even during version changes and shard splits.

use std::collections::BTreeMap;

use crate::prelude::{IndexVersion, ShardId};

/// Version that a replica holds, with the partition map it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldVersion {
    /// Index version.
    pub version: IndexVersion,
    /// Number of shards of the index in that version.
    pub shard_count: u32,
}

/// Snapshot that a query is pinned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Snapshot {
    /// Index version of every part.
    pub version: IndexVersion,
    /// Number of shards of a complete answer.
    pub shard_count: u32,
    /// Number of shards with a usable replica that holds the version.
    pub reachable: u32,
}

impl Snapshot {
    /// Returns true if every shard is reachable at this version.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.reachable == self.shard_count
    }
}

/// Versions held by the usable replicas of one service, per shard.
#[derive(Debug, Clone, Default)]
pub struct SnapshotCatalog {
    shards_by_held: BTreeMap<HeldVersion, Vec<ShardId>>,
}

impl SnapshotCatalog {
    /// Records that a usable replica of `shard` holds `held`.
    pub fn add(&mut self, shard: ShardId, held: &[HeldVersion]) {
        for &held_version in held {
            let shards = self.shards_by_held.entry(held_version).or_default();
            if shard < held_version.shard_count && !shards.contains(&shard) {
                shards.push(shard);
            }
        }
    }

    /// Returns the snapshots that any shard holds, newest first.
    pub fn snapshots(&self) -> impl Iterator<Item = Snapshot> + '_ {
        self.shards_by_held.iter().rev().map(|(held, shards)| Snapshot {
            version: held.version,
            shard_count: held.shard_count,
            reachable: u32::try_from(shards.len()).unwrap_or(u32::MAX),
        })
    }

    /// Returns true if every shard of one partition map holds `version`.
    #[must_use]
    pub fn is_complete_at(&self, version: IndexVersion) -> bool {
        self.snapshots().any(|s| s.version == version && s.is_complete())
    }

    /// Returns the newest complete snapshot that all dependencies hold, or else the most complete
    /// one.
    ///
    /// A complete snapshot that the dependencies lack is preferred to an incomplete one. The answer
    /// from an incomplete snapshot names the missing shards. Among equally complete snapshots, the
    /// newest is used.
    #[must_use]
    pub fn select(&self, dependencies: &[&Self]) -> Option<Snapshot> {
        let holds = |s: &Snapshot| dependencies.iter().all(|d| d.is_complete_at(s.version));
        self.snapshots().find(|s| s.is_complete() && holds(s)).or_else(|| self.most_complete())
    }

    /// Returns the snapshot at `version`, if any shard holds it.
    #[must_use]
    pub fn snapshot_at(&self, version: IndexVersion) -> Option<Snapshot> {
        self.snapshots().find(|s| s.version == version)
    }

    fn most_complete(&self) -> Option<Snapshot> {
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
