//! Which replicas there are, as far as the store has said.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::history::Edition;

/// Time after the store's return in which entries that lapsed meanwhile come back.
///
/// Live replicas write again within about two seconds; the rest is the way of the news.
pub const COME_BACK_MS: u64 = 2_200;

/// Difference in when a replica is warm that is nothing new, in milliseconds: reports tell the time
/// that is left as of when they were written.
const SAME_WARMTH_MS: u64 = 500;

/// A replica as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Identity of this start of the replica.
    pub id: Arc<str>,
    /// Name under which the store lists it; a replica that starts again may keep it.
    pub name: Arc<str>,
    /// Which of its reports this is.
    ///
    /// The store may carry out a write that was given up for lost seconds later: the last write
    /// of a crashed replica then overwrites the first one of its successor.
    pub report: Edition,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_left_ms: u64,
}

impl ReplicaEntry {
    /// Whether an entry differs from this one in nothing but the number of its report and the
    /// time for which the replica is cold.
    fn says_the_same(&self, other: &Self) -> bool {
        let (report, cold_left_ms) = (other.report, other.cold_left_ms);
        let renumbered = Self { report, cold_left_ms, ..self.clone() };
        renumbered == *other
    }
}

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry is as given.
    Set(ReplicaEntry),
    /// The entry of this name is gone, or names no replica any more.
    Gone(Arc<str>),
}

/// The replicas by name, with those that lapsed during an outage kept for a while.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Arc<ReplicaEntry>>,
    /// Until when replicas are cold, by name.
    cold_until_ms: BTreeMap<Arc<str>, u64>,
    /// Entries that are gone from the list but kept.
    lapsed: BTreeMap<Arc<str>, u64>,
    /// Until when entries that vanish are taken for lapsed, not gone.
    lenient_until_ms: u64,
}

impl Directory {
    /// The store answers again after an outage.
    ///
    /// During an outage replicas can't renew their entries, so the list loses live ones;
    /// taking them for gone would empty whole services just when the store returns.
    pub fn store_is_back(&mut self, now_ms: u64) {
        self.lenient_until_ms = now_ms + COME_BACK_MS;
    }

    /// Takes in the whole list; returns whether anything changed.
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
            has_changed |= self.apply(EntryChange::Gone(name), now_ms);
        }
        has_changed
    }

    /// Takes in one change; returns whether it changed anything.
    pub fn apply(&mut self, change: EntryChange, now_ms: u64) -> bool {
        match change {
            EntryChange::Set(entry) => {
                let known = self.entries.get(&entry.name);
                if known.is_some_and(|k| entry.report < k.report) {
                    return false;
                }
                self.lapsed.remove(&entry.name);
                let is_known = known.is_some_and(|k| k.says_the_same(&entry));
                let is_known = !self.note_warmth(&entry, now_ms) && is_known;
                self.entries.insert(Arc::clone(&entry.name), Arc::new(entry));
                !is_known
            }
            EntryChange::Gone(name) => self.remove(&name, now_ms),
        }
    }

    /// Notes until when a replica is cold; returns whether that is news.
    ///
    /// It may turn cold again at any moment. What a report says is some time old, so that the
    /// replica is warm a little earlier.
    fn note_warmth(&mut self, entry: &ReplicaEntry, now_ms: u64) -> bool {
        let known_ms = self.cold_until_ms.get(&entry.name).map_or(now_ms, |&at| at.max(now_ms));
        let until_ms = now_ms + entry.cold_left_ms;
        if known_ms.abs_diff(until_ms) < SAME_WARMTH_MS {
            return false;
        }
        self.cold_until_ms.insert(Arc::clone(&entry.name), until_ms);
        true
    }

    /// Until when a replica is cold, as its entry says; in the past where it is warm.
    #[must_use]
    pub fn cold_until_ms(&self, entry: &ReplicaEntry) -> u64 {
        self.cold_until_ms.get(&entry.name).copied().unwrap_or(0)
    }

    fn remove(&mut self, name: &Arc<str>, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(name) else { return false };
        if now_ms < self.lenient_until_ms && !entry.is_draining {
            self.lapsed.entry(Arc::clone(name)).or_insert(self.lenient_until_ms);
            return false;
        }
        self.lapsed.remove(name);
        self.drop_entry(name);
        true
    }

    fn drop_entry(&mut self, name: &Arc<str>) {
        self.entries.remove(name);
        self.cold_until_ms.remove(name);
    }

    /// Drops lapsed entries that did not come back; returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let due: Vec<Arc<str>> = self
            .lapsed
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &due {
            self.lapsed.remove(name);
            self.drop_entry(name);
        }
        !due.is_empty()
    }

    /// All entries, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<ReplicaEntry>> {
        self.entries.values()
    }
}
