//! Which replicas there are, as far as the store has said.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after the store's return in which entries that lapsed meanwhile come back.
///
/// Live replicas write again within about two seconds; the rest is the way of the news.
pub const COME_BACK_MS: u64 = 2_200;

/// A replica as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Identity of this start of the replica.
    pub id: Arc<str>,
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

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry is as given.
    Set(ReplicaEntry),
    /// The entry is gone.
    Gone(Arc<str>),
}

/// The replicas by id, with those that lapsed during an outage kept for a while.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Arc<ReplicaEntry>>,
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
            list.iter().map(|e| Arc::clone(&e.id)).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut has_changed = false;
        for entry in list {
            has_changed |= self.apply(EntryChange::Set(entry), now_ms);
        }
        for id in missing {
            has_changed |= self.apply(EntryChange::Gone(id), now_ms);
        }
        has_changed
    }

    /// Takes in one change; returns whether it changed anything.
    pub fn apply(&mut self, change: EntryChange, now_ms: u64) -> bool {
        match change {
            EntryChange::Set(entry) => {
                self.lapsed.remove(&entry.id);
                let known = self.entries.get(&entry.id);
                if known.is_some_and(|k| **k == entry) {
                    return false;
                }
                self.entries.insert(Arc::clone(&entry.id), Arc::new(entry));
                true
            }
            EntryChange::Gone(id) => self.remove(&id, now_ms),
        }
    }

    fn remove(&mut self, id: &Arc<str>, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(id) else { return false };
        if now_ms < self.lenient_until_ms && !entry.is_draining {
            self.lapsed.entry(Arc::clone(id)).or_insert(self.lenient_until_ms);
            return false;
        }
        self.lapsed.remove(id);
        self.entries.remove(id);
        true
    }

    /// Drops lapsed entries that did not come back; returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let due: Vec<Arc<str>> = self
            .lapsed
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &due {
            self.lapsed.remove(id);
            self.entries.remove(id);
        }
        !due.is_empty()
    }

    /// All entries, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<ReplicaEntry>> {
        self.entries.values()
    }
}
