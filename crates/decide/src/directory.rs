//! Directory of the replicas, as listed by the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::history::Edition;
use crate::relays;

/// Time in milliseconds after an outage of the store for which lapsed entries are retained.
///
/// Live replicas renew their entries within about two seconds; the rest allows for propagation.
pub const LAPSED_RETENTION_MS: u64 = 2_200;

/// Change in a replica's warm-up end that is ignored, in milliseconds.
///
/// Reports state the remaining time as of when they were written, so the computed end varies
/// slightly.
const WARM_UP_TOLERANCE_MS: u64 = 500;

/// Replica as listed by the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Identity of this run of the replica.
    pub id: Arc<str>,
    /// Name under which the store lists it, which may stay the same across restarts.
    pub name: Arc<str>,
    /// Version number of the report in this entry.
    ///
    /// Older reports are ignored. The store may apply a write several seconds after its writer gave
    /// it up for lost, so the last write of a crashed replica may overwrite the first one of its
    /// successor.
    pub report: Edition,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// True if it is draining.
    pub is_draining: bool,
    /// Remaining warm-up time in milliseconds.
    pub cold_left_ms: u64,
}

impl ReplicaEntry {
    /// Returns the id of the crash that would end this run of the replica.
    ///
    /// An id without a start time belongs to a single run.
    #[must_use]
    pub fn crash_id(&self) -> u32 {
        relays::replica_hash(&self.id)
    }

    /// Returns true if the entries differ at most in report number and remaining warm-up time.
    fn is_equivalent(&self, other: &Self) -> bool {
        let (report, cold_left_ms) = (other.report, other.cold_left_ms);
        let renumbered = Self { report, cold_left_ms, ..self.clone() };
        renumbered == *other
    }
}

/// Change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry was created or changed.
    Set(ReplicaEntry),
    /// The entry of this name was removed, or does not describe a replica any more.
    Removed(Arc<str>),
}

/// Replicas by name, including entries that lapsed during an outage and are retained for a while.
#[derive(Debug, Clone, Default)]
pub struct ReplicaDirectory {
    entries: BTreeMap<Arc<str>, Arc<ReplicaEntry>>,
    /// Warm-up end by name of the replica, in milliseconds.
    warm_at_ms: BTreeMap<Arc<str>, u64>,
    /// End of retention in milliseconds of each entry that the list lacks.
    lapsed: BTreeMap<Arc<str>, u64>,
    /// Time in milliseconds until which removed entries are regarded as lapsed and retained.
    retention_until_ms: u64,
}

impl ReplicaDirectory {
    /// Starts the retention of lapsed entries after an outage of the store.
    ///
    /// During an outage replicas can't renew their entries, so the list loses live ones. Removing
    /// these would leave whole services without replicas just when the store is back.
    pub fn on_store_recovered(&mut self, now_ms: u64) {
        self.retention_until_ms = now_ms + LAPSED_RETENTION_MS;
    }

    /// Replaces the whole list; returns true if anything changed.
    pub fn replace(&mut self, list: Vec<ReplicaEntry>, now_ms: u64) -> bool {
        let listed: std::collections::BTreeSet<Arc<str>> =
            list.iter().map(|e| Arc::clone(&e.name)).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        let mut has_changed = false;
        for entry in list {
            has_changed |= self.apply(EntryChange::Set(entry), now_ms);
        }
        for name in missing {
            has_changed |= self.apply(EntryChange::Removed(name), now_ms);
        }
        has_changed
    }

    /// Applies one change; returns true if it had an effect.
    pub fn apply(&mut self, change: EntryChange, now_ms: u64) -> bool {
        match change {
            EntryChange::Set(entry) => {
                let known = self.entries.get(&entry.name);
                if known.is_some_and(|k| entry.report < k.report) {
                    return false;
                }
                self.lapsed.remove(&entry.name);
                let is_known = known.is_some_and(|k| k.is_equivalent(&entry));
                let is_known = !self.update_warm_up(&entry, now_ms) && is_known;
                self.entries.insert(Arc::clone(&entry.name), Arc::new(entry));
                !is_known
            }
            EntryChange::Removed(name) => self.remove(&name, now_ms),
        }
    }

    /// Updates the warm-up end of a replica; returns true if it changed noticeably.
    ///
    /// A warm replica may become cold again at any time. Reports are some time old when they
    /// arrive, so the computed end is slightly late.
    fn update_warm_up(&mut self, entry: &ReplicaEntry, now_ms: u64) -> bool {
        let known_ms = self.warm_at_ms.get(&entry.name).map_or(now_ms, |&at| at.max(now_ms));
        let until_ms = now_ms.saturating_add(entry.cold_left_ms);
        if known_ms.abs_diff(until_ms) < WARM_UP_TOLERANCE_MS {
            return false;
        }
        self.warm_at_ms.insert(Arc::clone(&entry.name), until_ms);
        true
    }

    /// Returns the end of a replica's warm-up in milliseconds; in the past if it is warm.
    #[must_use]
    pub fn warm_at_ms(&self, entry: &ReplicaEntry) -> u64 {
        self.warm_at_ms.get(&entry.name).copied().unwrap_or(0)
    }

    fn remove(&mut self, name: &Arc<str>, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(name) else { return false };
        if now_ms < self.retention_until_ms && !entry.is_draining {
            self.lapsed.entry(Arc::clone(name)).or_insert(self.retention_until_ms);
            return false;
        }
        self.lapsed.remove(name);
        self.remove_entry(name);
        true
    }

    fn remove_entry(&mut self, name: &Arc<str>) {
        self.entries.remove(name);
        self.warm_at_ms.remove(name);
    }

    /// Removes lapsed entries whose retention has ended; returns true if there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let due: Vec<Arc<str>> = self
            .lapsed
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &due {
            self.lapsed.remove(name);
            self.remove_entry(name);
        }
        !due.is_empty()
    }

    /// Returns all entries, including those of draining replicas.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<ReplicaEntry>> {
        self.entries.values()
    }
}
