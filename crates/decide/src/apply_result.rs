//! Result of applying changes to a mirror of the store.

use bytes::Bytes;

use crate::changes::Versioned;
use crate::history::{Position, VersionStamp};

/// Effect of a change on the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The object now has this content.
    Set(String, Bytes),
    /// The object does not exist any more, or never existed here.
    Removed(String),
}

/// Deviation from the changes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deviation {
    /// A change was ignored because the `known` version is newer.
    IgnoredStale {
        /// Name of the object.
        name: String,
        /// Position of the ignored change.
        received: Position,
        /// Position of the known version.
        known: Position,
    },
    /// The restored store lacks the object; it is retained until it is written again.
    ///
    /// The retention may also be limited in time; see [`crate::mirror::Retention`].
    Retained(String),
    /// The restored store has the object after its deletion; it is withheld for a while.
    Withheld(String),
}

/// Result of applying changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplyResult {
    /// Effects on the mirror.
    pub effects: Vec<Effect>,
    /// Deviations from the changes as received.
    pub deviations: Vec<Deviation>,
    /// True if the current era confirmed something known from an earlier one.
    pub(crate) confirms_earlier: bool,
}

impl ApplyResult {
    /// Returns true if other instances need to be notified.
    #[must_use]
    pub fn needs_notification(&self) -> bool {
        self.confirms_earlier || !self.effects.is_empty()
    }

    pub(crate) fn record_ignored(&mut self, object: &Versioned, known: VersionStamp) {
        let (name, received) = (object.name.clone(), object.stamp().position);
        self.deviations.push(Deviation::IgnoredStale { name, received, known: known.position });
    }
}
