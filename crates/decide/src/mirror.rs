//! A copy of one kind of the store's objects, kept by changes from several sources.
//!
//! The store numbers every change by one counter. Changes come from the store's own
//! lists and watches and from other instances, in any order; an older one never
//! overwrites a newer one, so a stale read can't bring back what was replaced.

use std::collections::BTreeMap;

use bytes::Bytes;

/// Deletions that are remembered for other instances; at 60 bytes each about 60 KB.
const MOST_DELETIONS: usize = 1000;

/// An object as of its last change.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Versioned {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its content, as the store spells it.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
}

/// An object that was deleted.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Deleted {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of the deletion, or of a later change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Changes of one kind of objects.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Changes {
    /// Change up to which this is complete.
    #[prost(uint64, tag = "1")]
    pub as_of: u64,
    /// Whether these are all objects, so that others are deleted.
    #[prost(bool, tag = "2")]
    pub is_whole: bool,
    /// Objects as they are.
    #[prost(message, repeated, tag = "3")]
    pub objects: Vec<Versioned>,
    /// Deleted objects.
    #[prost(message, repeated, tag = "4")]
    pub deleted: Vec<Deleted>,
    /// How often the store has been restored from a copy, as its answer says.
    #[prost(uint64, optional, tag = "5")]
    pub era: Option<u64>,
}

/// What a change did to the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The object has this content now.
    Set(String, Bytes),
    /// The object is gone, if it ever was here.
    Gone(String),
    /// A change of the object was left out: one with the revision `known` is newer.
    LeftOut {
        /// Name of the object.
        name: String,
        /// Revision of the change.
        told: u64,
        /// Revision that is known.
        known: u64,
    },
}

/// The copy.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    objects: BTreeMap<String, (u64, Bytes)>,
    deleted: BTreeMap<String, u64>,
    /// Change from which on deletions are known.
    horizon: u64,
    /// Change up to which the copy is complete.
    changed: u64,
    /// Whether a whole list was ever taken in.
    is_filled: bool,
}

impl Mirror {
    /// Whether a whole list was ever taken in.
    #[must_use]
    pub fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// Change up to which the copy is complete.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Takes changes in; returns what they did.
    pub fn apply(&mut self, changes: &Changes) -> Vec<Effect> {
        let mut effects = Vec::new();
        for object in &changes.objects {
            self.set(object, &mut effects);
        }
        for deleted in &changes.deleted {
            self.delete(&deleted.name, deleted.revision, &mut effects);
        }
        if changes.is_whole {
            self.delete_missing(changes, &mut effects);
        }
        // Also without an effect: otherwise an instance would go on asking for changes that
        // it has already.
        self.changed = self.changed.max(changes.as_of);
        effects
    }

    fn set(&mut self, object: &Versioned, effects: &mut Vec<Effect>) {
        let known = self.objects.get(&object.name).map(|(revision, _)| *revision);
        let deleted = self.deleted.get(&object.name).copied();
        if let Some(newest) = known.max(deleted).filter(|newest| *newest >= object.revision) {
            if newest > object.revision {
                let (name, told) = (object.name.clone(), object.revision);
                effects.push(Effect::LeftOut { name, told, known: newest });
            }
            return;
        }
        self.deleted.remove(&object.name);
        let content = object.content.clone();
        self.objects.insert(object.name.clone(), (object.revision, content.clone()));
        effects.push(Effect::Set(object.name.clone(), content));
    }

    fn delete(&mut self, name: &str, revision: u64, effects: &mut Vec<Effect>) {
        if self.objects.get(name).is_some_and(|(known, _)| *known > revision) {
            return;
        }
        let was_here = self.objects.remove(name).is_some();
        let deleted = self.deleted.get(name).copied();
        // Also what never was here: an instance that read the store between the two changes has
        // it, hears of the deletion from this one only, and would keep it until its next poll.
        if was_here || deleted.is_none() {
            effects.push(Effect::Gone(name.to_owned()));
        }
        self.remember_deleted(name, revision.max(deleted.unwrap_or(0)));
    }

    fn remember_deleted(&mut self, name: &str, revision: u64) {
        self.deleted.insert(name.to_owned(), revision);
        if self.deleted.len() > MOST_DELETIONS {
            let oldest = self.deleted.iter().min_by_key(|(_, revision)| **revision);
            if let Some((name, revision)) = oldest.map(|(n, r)| (n.clone(), *r)) {
                self.horizon = self.horizon.max(revision);
                self.deleted.remove(&name);
            }
        }
    }

    fn delete_missing(&mut self, changes: &Changes, effects: &mut Vec<Effect>) {
        let listed: std::collections::BTreeSet<&str> =
            changes.objects.iter().map(|o| o.name.as_str()).collect();
        let is_missing = |(name, (revision, _)): &(&String, &(u64, Bytes))| {
            !listed.contains(name.as_str()) && *revision <= changes.as_of
        };
        let missing: Vec<String> =
            self.objects.iter().filter(is_missing).map(|(name, _)| name.clone()).collect();
        for name in missing {
            self.delete(&name, changes.as_of, effects);
        }
        if !self.is_filled {
            self.is_filled = true;
            self.horizon = changes.as_of;
        }
    }

    /// What another instance lacks that has seen everything up to `revision`.
    #[must_use]
    pub fn since(&self, revision: u64) -> Changes {
        let is_whole = revision < self.horizon;
        let object = |(name, (revision, content)): (&String, &(u64, Bytes))| Versioned {
            name: name.clone(),
            revision: *revision,
            content: content.clone(),
        };
        let objects = self.objects.iter().filter(|(_, (known, _))| is_whole || *known > revision);
        let deleted = self.deleted.iter().filter(|(_, known)| **known > revision);
        Changes {
            as_of: self.changed,
            is_whole,
            objects: objects.map(object).collect(),
            deleted: deleted
                .map(|(name, revision)| Deleted { name: name.clone(), revision: *revision })
                .collect(),
            era: None,
        }
    }
}
