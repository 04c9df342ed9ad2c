//! Local mirror of one kind of the store's objects, updated from several sources.
//!
//! Changes come from the store's lists and watches and from other instances, in any order; an older
//! change never overwrites a newer one (see [`crate::history`]). After the store was restored from
//! a backup, its list is temporarily unreliable. Until the writers have written again, objects that
//! it lacks are retained, and objects that it brings back after their deletion are withheld.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

pub use crate::apply_result::{ApplyResult, Deviation, Effect};
pub use crate::changes::{Changes, Deleted, Versioned};
use crate::history::{Position, VersionStamp};

/// Maximum number of tombstones kept for other instances; at 60 bytes each about 60 KB.
const MAX_TOMBSTONES: usize = 1000;

/// Retention of objects that a restored store lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// Retains them until any source supplies a newer version.
    Always,
    /// Retains them for this many milliseconds.
    ForMs(u64),
}

/// Handling of objects after a restore, until their writers have written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestorePolicy {
    /// Retention of objects that the store lacks.
    pub retention: Retention,
    /// Time in milliseconds for which objects that a restore brought back are withheld.
    ///
    /// Within it, the store removes the objects of writers that are gone.
    pub withhold_ms: u64,
}

#[derive(Debug, Clone)]
struct CachedObject {
    stamp: VersionStamp,
    content: Bytes,
    /// True if the restored store lacks the object.
    is_missing: bool,
}

/// Local mirror of one kind of the store's objects.
#[derive(Debug, Clone)]
pub struct Mirror {
    policy: RestorePolicy,
    objects: BTreeMap<String, CachedObject>,
    tombstones: BTreeMap<String, VersionStamp>,
    /// Objects that a restored store brought back after their deletion.
    withheld: BTreeMap<String, Versioned>,
    /// Revision of the current era from which on all deletions are known.
    tombstone_horizon: u64,
    /// Position up to which the mirror is complete.
    position: Position,
    /// Position of the full list with which the mirror entered the current era.
    era_entered_at: Position,
    /// True once a full list was applied.
    has_full_list: bool,
    /// Time in milliseconds until which objects of earlier eras are retained.
    ///
    /// `None` after it, and with [`Retention::Always`].
    retained_until_ms: Option<u64>,
    /// Time in milliseconds until which restored objects are withheld; `None` after it.
    withheld_until_ms: Option<u64>,
}

impl Mirror {
    /// Creates an empty mirror.
    #[must_use]
    pub fn new(policy: RestorePolicy) -> Self {
        Self {
            policy,
            objects: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            withheld: BTreeMap::new(),
            tombstone_horizon: 0,
            position: Position::default(),
            era_entered_at: Position::default(),
            has_full_list: false,
            retained_until_ms: None,
            withheld_until_ms: None,
        }
    }

    /// Returns true once a full list was applied.
    #[must_use]
    pub fn has_full_list(&self) -> bool {
        self.has_full_list
    }

    /// Returns the position up to which the mirror is complete.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the number of objects retained without the store having them, plus those withheld.
    #[must_use]
    pub fn unsettled_count(&self) -> usize {
        self.objects.values().filter(|known| known.is_missing).count() + self.withheld.len()
    }

    /// Applies changes; returns their effects.
    ///
    /// A later era is entered only by a full list. Changes relative to a position of an earlier era
    /// may be incomplete, since the store assigns its revisions again.
    pub fn apply(&mut self, changes: &Changes, now_ms: u64) -> ApplyResult {
        let mut applied = ApplyResult::default();
        if changes.era < self.position.era {
            self.apply_newer_editions(changes, &mut applied);
            return applied;
        }
        if changes.era > self.position.era {
            if !changes.is_whole {
                return applied;
            }
            self.enter_era(changes, now_ms);
        }
        // Tombstones of earlier eras come first: a sender that withholds an object sends its
        // earlier tombstone together with the object.
        let is_earlier = |deleted: &&Deleted| deleted.era < changes.era;
        let (earlier, current): (Vec<_>, Vec<_>) = changes.deleted.iter().partition(is_earlier);
        for deleted in earlier {
            self.apply_deletion(&deleted.name, deleted.stamp(), now_ms, &mut applied);
        }
        for object in &changes.objects {
            self.apply_object(object, now_ms, &mut applied);
        }
        for deleted in current {
            self.apply_deletion(&deleted.name, deleted.stamp(), now_ms, &mut applied);
        }
        if changes.is_whole {
            self.delete_unlisted(changes, now_ms, &mut applied);
        }
        // Advances the position even if nothing changed; otherwise this instance would request the
        // same changes again and again.
        self.position = self.position.max(changes.position());
        applied
    }

    fn enter_era(&mut self, changes: &Changes, now_ms: u64) {
        self.position = Position { era: changes.era, revision: 0 };
        self.era_entered_at = changes.position();
        self.tombstone_horizon = changes.as_of;
        self.withheld.clear();
        self.withheld_until_ms = Some(now_ms + self.policy.withhold_ms);
        self.retained_until_ms = match self.policy.retention {
            Retention::Always => None,
            Retention::ForMs(retention_ms) => Some(now_ms + retention_ms),
        };
    }

    /// Applies newer versions from an instance that does not know of the restore yet.
    ///
    /// It may be the only one left with the latest content.
    fn apply_newer_editions(&mut self, changes: &Changes, applied: &mut ApplyResult) {
        if self.policy.retention != Retention::Always {
            return;
        }
        for object in &changes.objects {
            let known = self.objects.get(&object.name).and_then(|known| known.stamp.edition);
            if object.edition > known {
                self.insert(object, applied);
            }
        }
    }

    fn apply_object(&mut self, object: &Versioned, now_ms: u64, applied: &mut ApplyResult) {
        let stamp = object.stamp();
        if stamp.position.era < self.position.era && !self.retains_earlier_eras(now_ms) {
            return;
        }
        if let Some(known) = self.objects.get_mut(&object.name)
            && !stamp.replaces(&known.stamp)
        {
            if stamp.position.era == self.position.era {
                // The store has an older version of the object, so the object is not missing.
                applied.confirms_earlier |= std::mem::take(&mut known.is_missing);
            } else if stamp == known.stamp {
                known.is_missing |= object.is_missing;
            }
            if known.stamp.replaces(&stamp) {
                applied.record_ignored(object, known.stamp);
            }
            return;
        }
        if let Some(&deletion) = self.tombstones.get(&object.name) {
            let stamp = self.confirmed_stamp(stamp, object.is_missing);
            if stamp.is_resurrected_after(&deletion) && self.is_unconfirmed(stamp.position, now_ms)
            {
                self.withhold(object.clone());
                return applied.deviations.push(Deviation::Withheld(object.name.clone()));
            }
            if deletion.position >= stamp.position {
                return applied.record_ignored(object, deletion);
            }
        }
        self.insert(object, applied);
    }

    /// True if objects of earlier eras are retained.
    fn retains_earlier_eras(&self, now_ms: u64) -> bool {
        let is_always = self.policy.retention == Retention::Always;
        is_always || self.retained_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// True if a change at `position` came with the restored list and its writer may be gone.
    fn is_unconfirmed(&self, position: Position, now_ms: u64) -> bool {
        position <= self.era_entered_at
            && self.withheld_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Raises the position of a stamp to the start of the current era.
    ///
    /// Objects that the store lacks keep their position.
    fn confirmed_stamp(
        &self,
        VersionStamp { position, edition }: VersionStamp,
        is_missing: bool,
    ) -> VersionStamp {
        let start = Position { era: self.position.era, revision: 0 };
        VersionStamp { position: if is_missing { position } else { position.max(start) }, edition }
    }

    /// Withholds an object until the withholding time is over, if the store has it.
    fn withhold(&mut self, object: Versioned) {
        if !object.is_missing {
            self.withheld.insert(object.name.clone(), object);
        }
    }

    fn insert(&mut self, object: &Versioned, applied: &mut ApplyResult) {
        let name = &object.name;
        self.tombstones.remove(name);
        self.withheld.remove(name);
        let content = object.content.clone();
        let known = CachedObject { stamp: object.stamp(), content, is_missing: object.is_missing };
        let previous = self.objects.insert(name.clone(), known);
        applied.confirms_earlier |=
            previous.as_ref().is_some_and(|b| b.stamp.position.era < object.era);
        if previous.is_none_or(|previous| previous.content != object.content) {
            applied.effects.push(Effect::Set(name.clone(), object.content.clone()));
        }
    }

    fn apply_deletion(
        &mut self,
        name: &str,
        deletion: VersionStamp,
        now_ms: u64,
        applied: &mut ApplyResult,
    ) {
        if let Some(known) = self.objects.get(name) {
            let stamp = self.confirmed_stamp(known.stamp, known.is_missing);
            if stamp.is_resurrected_after(&deletion) && self.is_unconfirmed(stamp.position, now_ms)
            {
                self.withhold(to_versioned(name, known));
                self.objects.remove(name);
                self.tombstones.insert(name.to_owned(), deletion);
                return applied.effects.push(Effect::Removed(name.to_owned()));
            }
            if stamp.position > deletion.position {
                return;
            }
        }
        if deletion.position.era == self.position.era {
            self.withheld.remove(name);
        }
        let removed = self.objects.remove(name);
        let previous = self.tombstones.get(name).copied();
        applied.confirms_earlier |=
            previous.is_some_and(|previous| previous.position.era < deletion.position.era);
        // Deletions of unknown objects have an effect, too. Another instance may have read the
        // store between creation and deletion; it learns of the deletion only from this instance
        // and would otherwise keep the object until its next poll.
        if removed.is_some() || previous.is_none() {
            applied.effects.push(Effect::Removed(name.to_owned()));
        }
        let removed = removed.and_then(|known| known.stamp.edition);
        let edition =
            deletion.edition.max(removed).max(previous.and_then(|previous| previous.edition));
        let position =
            previous.map_or(deletion.position, |previous| previous.position.max(deletion.position));
        self.insert_tombstone(name, VersionStamp { position, edition });
    }

    fn insert_tombstone(&mut self, name: &str, deletion: VersionStamp) {
        self.tombstones.insert(name.to_owned(), deletion);
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, deletion)| deletion.position);
            if let Some((name, position)) =
                oldest.map(|(name, deletion)| (name.clone(), deletion.position))
            {
                if position.era == self.position.era {
                    self.tombstone_horizon = self.tombstone_horizon.max(position.revision);
                }
                self.tombstones.remove(&name);
            }
        }
    }

    fn delete_unlisted(&mut self, changes: &Changes, now_ms: u64, applied: &mut ApplyResult) {
        let listed = changes.objects.iter().filter(|object| !object.is_missing);
        let listed: BTreeSet<&str> = listed.map(|object| object.name.as_str()).collect();
        let as_of = changes.position();
        let retains_earlier_eras = self.retains_earlier_eras(now_ms);
        let mut deleted = Vec::new();
        for (name, known) in &mut self.objects {
            if listed.contains(name.as_str()) || known.stamp.position > as_of {
                continue;
            }
            if known.stamp.position.era == changes.era || !retains_earlier_eras {
                deleted.push(name.clone());
            } else if !known.is_missing {
                known.is_missing = true;
                applied.deviations.push(Deviation::Retained(name.clone()));
            }
        }
        self.withheld.retain(|name, object| {
            listed.contains(name.as_str()) || object.stamp().position > as_of
        });
        for name in deleted {
            self.apply_deletion(
                &name,
                VersionStamp { position: as_of, edition: None },
                now_ms,
                applied,
            );
        }
        if !self.has_full_list {
            self.has_full_list = true;
            self.tombstone_horizon = changes.as_of;
        }
    }

    /// Ends retention and withholding when their times are over; returns the effects.
    pub fn expire(&mut self, now_ms: u64) -> ApplyResult {
        let mut applied = ApplyResult::default();
        if self.retained_until_ms.is_some_and(|until_ms| now_ms >= until_ms) {
            self.retained_until_ms = None;
            let missing = self.objects.iter().filter(|(_, known)| known.is_missing);
            let missing: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
            let deletion = VersionStamp { position: self.position, edition: None };
            for name in missing {
                self.apply_deletion(&name, deletion, now_ms, &mut applied);
            }
        }
        if self.withheld_until_ms.is_some_and(|until_ms| now_ms >= until_ms) {
            self.withheld_until_ms = None;
            for object in std::mem::take(&mut self.withheld).into_values() {
                self.insert(&object, &mut applied);
            }
            self.move_to_current_era();
        }
        applied
    }

    /// Moves entries of earlier eras to the start of the current one.
    ///
    /// All instances have entered it by now, so these entries need not be sent with each answer any
    /// more.
    fn move_to_current_era(&mut self) {
        let era = self.position.era;
        let start = Position { era, revision: 0 };
        let earlier = self.tombstones.values_mut().filter(|deletion| deletion.position.era < era);
        earlier.for_each(|deletion| deletion.position = start);
        if self.policy.retention == Retention::Always {
            return;
        }
        let known = self.objects.values_mut().map(|known| &mut known.stamp.position);
        known.filter(|position| position.era < era).for_each(|position| *position = start);
    }

    /// Returns the changes that an instance lacks which has seen everything up to `position`.
    #[must_use]
    pub fn changes_since(&self, position: Position) -> Changes {
        let Position { era, revision } = self.position;
        let is_ahead = position.era > era;
        let is_whole =
            position.era < era || !is_ahead && position.revision < self.tombstone_horizon;
        let sends_nothing = is_ahead && self.policy.retention != Retention::Always;
        // Entries that the current era has not confirmed have no position in it, so they are always
        // included.
        let is_included = |at: Position| {
            !sends_nothing && (is_whole || is_ahead || at.era < era || at > position)
        };
        let known = self.objects.iter().filter(|(_, known)| is_included(known.stamp.position));
        let known = known.map(|(name, known)| to_versioned(name, known));
        let withheld =
            self.withheld.values().filter(|object| is_included(object.stamp().position)).cloned();
        let deleted = self.tombstones.iter().filter(|(_, deletion)| is_included(deletion.position));
        let to_deleted = |(name, deletion): (&String, &VersionStamp)| {
            let VersionStamp { position: Position { era, revision }, edition } = *deletion;
            Deleted { name: name.clone(), revision, era, edition }
        };
        Changes {
            as_of: revision,
            is_whole,
            objects: known.chain(withheld).collect(),
            deleted: deleted.map(to_deleted).collect(),
            era,
        }
    }
}

fn to_versioned(name: &str, known: &CachedObject) -> Versioned {
    let CachedObject {
        stamp: VersionStamp { position: Position { era, revision }, edition }, ..
    } = *known;
    let content = known.content.clone();
    let is_missing = known.is_missing;
    Versioned { name: name.to_owned(), revision, content, era, edition, is_missing }
}
