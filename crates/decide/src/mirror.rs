//! A copy of one kind of the store's objects, kept by changes from several sources.
//!
//! Changes come from the store's own lists and watches and from other instances, in any
//! order; an older one ([`crate::history`]) never overwrites a newer one. After a restore of the
//! store its list is not the whole truth: objects that it lacks are kept for a while, and those
//! that are back though they had been deleted are left out for a while, until their writers have
//! written again.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

pub use crate::applied::{Applied, Effect, Note};
pub use crate::changes::{Changes, Deleted, Versioned};
use crate::history::{Position, Stamp};

/// Deletions that are remembered for other instances; at 60 bytes each about 60 KB.
const MOST_DELETIONS: usize = 1000;

/// What becomes of objects that a restored store lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// They stay until a newer edition replaces them, whoever has it.
    Always,
    /// They stay for so many milliseconds.
    ForMs(u64),
}

/// Bounds of the time after a restore in which writers have not written again yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settling {
    /// What becomes of objects that the store lacks.
    pub retention: Retention,
    /// Time for which objects are left out that are back, in milliseconds: those of writers that
    /// are gone have lapsed by then.
    pub doubt_ms: u64,
}

#[derive(Debug, Clone)]
struct Known {
    stamp: Stamp,
    content: Bytes,
    /// Whether the store lacks it since it was restored.
    is_missing: bool,
}

/// The copy.
#[derive(Debug, Clone)]
pub struct Mirror {
    settling: Settling,
    objects: BTreeMap<String, Known>,
    deleted: BTreeMap<String, Stamp>,
    /// Objects that a restored store has though they had been deleted.
    doubted: BTreeMap<String, Versioned>,
    /// Change of this era from which on deletions are known.
    horizon: u64,
    /// Place up to which the copy is complete.
    position: Position,
    /// Place of the list by which it entered this era.
    entered: Position,
    /// Whether a whole list was ever taken in.
    is_filled: bool,
    /// Until when objects of earlier eras are kept, in milliseconds, while they are.
    kept_until_ms: Option<u64>,
    /// Until when objects that are back are left out, in milliseconds, while they are.
    doubted_until_ms: Option<u64>,
}

impl Mirror {
    /// An empty copy.
    #[must_use]
    pub fn new(settling: Settling) -> Self {
        Self {
            settling,
            objects: BTreeMap::new(),
            deleted: BTreeMap::new(),
            doubted: BTreeMap::new(),
            horizon: 0,
            position: Position::default(),
            entered: Position::default(),
            is_filled: false,
            kept_until_ms: None,
            doubted_until_ms: None,
        }
    }

    /// Whether a whole list was ever taken in.
    #[must_use]
    pub fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// Place up to which the copy is complete.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Objects that are kept though the restored store lacks them, and that are left out though
    /// it has them.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.objects.values().filter(|known| known.is_missing).count() + self.doubted.len()
    }

    /// Takes changes in; returns what they did.
    ///
    /// A later era is entered by a whole list only: changes from a place in an earlier one may
    /// lack some, since its revisions were given out again.
    pub fn apply(&mut self, changes: &Changes, now_ms: u64) -> Applied {
        let mut applied = Applied::default();
        if changes.era < self.position.era {
            self.take_newer_editions(changes, &mut applied);
            return applied;
        }
        if changes.era > self.position.era {
            if !changes.is_whole {
                return applied;
            }
            self.enter(changes, now_ms);
        }
        // One that tells of an object that it leaves out tells of its earlier deletion, too.
        let is_earlier = |deleted: &&Deleted| deleted.era < changes.era;
        let (earlier, present): (Vec<_>, Vec<_>) = changes.deleted.iter().partition(is_earlier);
        for deleted in earlier {
            self.delete(&deleted.name, deleted.stamp(), now_ms, &mut applied);
        }
        for object in &changes.objects {
            self.set(object, now_ms, &mut applied);
        }
        for deleted in present {
            self.delete(&deleted.name, deleted.stamp(), now_ms, &mut applied);
        }
        if changes.is_whole {
            self.delete_missing(changes, now_ms, &mut applied);
        }
        // Also without an effect: otherwise an instance would go on asking for changes that
        // it has already.
        self.position = self.position.max(changes.position());
        applied
    }

    fn enter(&mut self, changes: &Changes, now_ms: u64) {
        self.position = Position { era: changes.era, revision: 0 };
        self.entered = changes.position();
        self.horizon = changes.as_of;
        self.doubted.clear();
        self.doubted_until_ms = Some(now_ms + self.settling.doubt_ms);
        self.kept_until_ms = match self.settling.retention {
            Retention::Always => None,
            Retention::ForMs(kept_ms) => Some(now_ms + kept_ms),
        };
    }

    /// What an instance still knows that has not heard of the restore.
    ///
    /// It may be the only one left that knows the newest content.
    fn take_newer_editions(&mut self, changes: &Changes, applied: &mut Applied) {
        if self.settling.retention != Retention::Always {
            return;
        }
        for object in &changes.objects {
            let known = self.objects.get(&object.name).and_then(|known| known.stamp.edition);
            if object.edition > known {
                self.insert(object, applied);
            }
        }
    }

    fn set(&mut self, object: &Versioned, now_ms: u64, applied: &mut Applied) {
        let stamp = object.stamp();
        if stamp.at.era < self.position.era && !self.keeps_earlier(now_ms) {
            return;
        }
        if let Some(known) = self.objects.get_mut(&object.name)
            && !stamp.replaces(&known.stamp)
        {
            if stamp.at.era == self.position.era {
                // What the store has of it is older, and yet it has it.
                applied.confirms_earlier |= std::mem::take(&mut known.is_missing);
            } else if stamp == known.stamp {
                known.is_missing |= object.is_missing;
            }
            if known.stamp.replaces(&stamp) {
                applied.note_left_out(object, known.stamp);
            }
            return;
        }
        if let Some(&deletion) = self.deleted.get(&object.name) {
            let stamp = self.confirmed(stamp, object.is_missing);
            if stamp.is_back_after(&deletion) && self.is_in_doubt(stamp.at, now_ms) {
                self.doubt(object.clone());
                return applied.notes.push(Note::Doubted(object.name.clone()));
            }
            if deletion.at >= stamp.at {
                return applied.note_left_out(object, deletion);
            }
        }
        self.insert(object, applied);
    }

    /// Whether objects of earlier eras are kept.
    fn keeps_earlier(&self, now_ms: u64) -> bool {
        let is_always = self.settling.retention == Retention::Always;
        is_always || self.kept_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Whether what was made at `at` came with the copy, and its writer may be gone.
    fn is_in_doubt(&self, at: Position, now_ms: u64) -> bool {
        at <= self.entered && self.doubted_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// The stamp of an object with its least place in this era, if the store has it in this era.
    fn confirmed(&self, Stamp { at, edition }: Stamp, is_missing: bool) -> Stamp {
        let start = Position { era: self.position.era, revision: 0 };
        Stamp { at: if is_missing { at } else { at.max(start) }, edition }
    }

    /// Leaves an object out until the time of the doubt is over, if the store has it.
    fn doubt(&mut self, object: Versioned) {
        if !object.is_missing {
            self.doubted.insert(object.name.clone(), object);
        }
    }

    fn insert(&mut self, object: &Versioned, applied: &mut Applied) {
        let name = &object.name;
        self.deleted.remove(name);
        self.doubted.remove(name);
        let content = object.content.clone();
        let known = Known { stamp: object.stamp(), content, is_missing: object.is_missing };
        let before = self.objects.insert(name.clone(), known);
        applied.confirms_earlier |= before.as_ref().is_some_and(|b| b.stamp.at.era < object.era);
        if before.is_none_or(|before| before.content != object.content) {
            applied.effects.push(Effect::Set(name.clone(), object.content.clone()));
        }
    }

    fn delete(&mut self, name: &str, deletion: Stamp, now_ms: u64, applied: &mut Applied) {
        if let Some(known) = self.objects.get(name) {
            let stamp = self.confirmed(known.stamp, known.is_missing);
            if stamp.is_back_after(&deletion) && self.is_in_doubt(stamp.at, now_ms) {
                self.doubt(to_versioned(name, known));
                self.objects.remove(name);
                self.deleted.insert(name.to_owned(), deletion);
                return applied.effects.push(Effect::Gone(name.to_owned()));
            }
            if stamp.at > deletion.at {
                return;
            }
        }
        if deletion.at.era == self.position.era {
            self.doubted.remove(name);
        }
        let removed = self.objects.remove(name);
        let before = self.deleted.get(name).copied();
        applied.confirms_earlier |= before.is_some_and(|before| before.at.era < deletion.at.era);
        // Also what never was here: an instance that read the store between the two changes has
        // it, hears of the deletion from this one only, and would keep it until its next poll.
        if removed.is_some() || before.is_none() {
            applied.effects.push(Effect::Gone(name.to_owned()));
        }
        let removed = removed.and_then(|known| known.stamp.edition);
        let edition = deletion.edition.max(removed).max(before.and_then(|before| before.edition));
        let at = before.map_or(deletion.at, |before| before.at.max(deletion.at));
        self.remember_deleted(name, Stamp { at, edition });
    }

    fn remember_deleted(&mut self, name: &str, deletion: Stamp) {
        self.deleted.insert(name.to_owned(), deletion);
        if self.deleted.len() > MOST_DELETIONS {
            let oldest = self.deleted.iter().min_by_key(|(_, deletion)| deletion.at);
            if let Some((name, at)) = oldest.map(|(name, deletion)| (name.clone(), deletion.at)) {
                if at.era == self.position.era {
                    self.horizon = self.horizon.max(at.revision);
                }
                self.deleted.remove(&name);
            }
        }
    }

    fn delete_missing(&mut self, changes: &Changes, now_ms: u64, applied: &mut Applied) {
        let listed = changes.objects.iter().filter(|object| !object.is_missing);
        let listed: BTreeSet<&str> = listed.map(|object| object.name.as_str()).collect();
        let as_of = changes.position();
        let keeps_earlier = self.keeps_earlier(now_ms);
        let mut deleted = Vec::new();
        for (name, known) in &mut self.objects {
            if listed.contains(name.as_str()) || known.stamp.at > as_of {
                continue;
            }
            if known.stamp.at.era == changes.era || !keeps_earlier {
                deleted.push(name.clone());
            } else if !known.is_missing {
                known.is_missing = true;
                applied.notes.push(Note::Kept(name.clone()));
            }
        }
        self.doubted
            .retain(|name, object| listed.contains(name.as_str()) || object.stamp().at > as_of);
        for name in deleted {
            self.delete(&name, Stamp { at: as_of, edition: None }, now_ms, applied);
        }
        if !self.is_filled {
            self.is_filled = true;
            self.horizon = changes.as_of;
        }
    }

    /// Ends the time in which writers write again after a restore; returns what that did.
    pub fn expire(&mut self, now_ms: u64) -> Applied {
        let mut applied = Applied::default();
        if self.kept_until_ms.is_some_and(|until_ms| now_ms >= until_ms) {
            self.kept_until_ms = None;
            let missing = self.objects.iter().filter(|(_, known)| known.is_missing);
            let missing: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
            let deletion = Stamp { at: self.position, edition: None };
            for name in missing {
                self.delete(&name, deletion, now_ms, &mut applied);
            }
        }
        if self.doubted_until_ms.is_some_and(|until_ms| now_ms >= until_ms) {
            self.doubted_until_ms = None;
            for object in std::mem::take(&mut self.doubted).into_values() {
                self.insert(&object, &mut applied);
            }
            self.settle();
        }
        applied
    }

    /// Gives what is of earlier eras a place in this one: all instances have entered it by now, and
    /// it need not be told to each again.
    fn settle(&mut self) {
        let era = self.position.era;
        let start = Position { era, revision: 0 };
        let earlier = self.deleted.values_mut().filter(|deletion| deletion.at.era < era);
        earlier.for_each(|deletion| deletion.at = start);
        if self.settling.retention == Retention::Always {
            return;
        }
        let known = self.objects.values_mut().map(|known| &mut known.stamp.at);
        known.filter(|at| at.era < era).for_each(|at| *at = start);
    }

    /// What another instance lacks that has seen everything up to `position`.
    #[must_use]
    pub fn since(&self, position: Position) -> Changes {
        let Position { era, revision } = self.position;
        let is_ahead = position.era > era;
        let is_whole = position.era < era || !is_ahead && position.revision < self.horizon;
        let is_silent = is_ahead && self.settling.retention != Retention::Always;
        // What this era has not confirmed yet has no place in it by which it could be asked for.
        let is_wanted =
            |at: Position| !is_silent && (is_whole || is_ahead || at.era < era || at > position);
        let known = self.objects.iter().filter(|(_, known)| is_wanted(known.stamp.at));
        let known = known.map(|(name, known)| to_versioned(name, known));
        let doubted = self.doubted.values().filter(|object| is_wanted(object.stamp().at)).cloned();
        let deleted = self.deleted.iter().filter(|(_, deletion)| is_wanted(deletion.at));
        let to_deleted = |(name, deletion): (&String, &Stamp)| {
            let Stamp { at: Position { era, revision }, edition } = *deletion;
            Deleted { name: name.clone(), revision, era, edition }
        };
        Changes {
            as_of: revision,
            is_whole,
            objects: known.chain(doubted).collect(),
            deleted: deleted.map(to_deleted).collect(),
            era,
        }
    }
}

fn to_versioned(name: &str, known: &Known) -> Versioned {
    let Known { stamp: Stamp { at: Position { era, revision }, edition }, .. } = *known;
    let content = known.content.clone();
    let is_missing = known.is_missing;
    Versioned { name: name.to_owned(), revision, content, era, edition, is_missing }
}
