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
    Gone(String),
}

/// Deviation from the changes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A change was ignored because the `known` version is newer.
    LeftOut {
        /// Name of the object.
        name: String,
        /// Position of the ignored change.
        told: Position,
        /// Position of the known version.
        known: Position,
    },
    /// The restored store lacks the object; it is retained for a while, until it is written again.
    Kept(String),
    /// The restored store has the object after its deletion; it is withheld for a while.
    Doubted(String),
}

/// Result of applying changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// Effects on the mirror.
    pub effects: Vec<Effect>,
    /// Deviations from the changes as received.
    pub notes: Vec<Note>,
    /// True if the current era confirmed something known from an earlier one.
    pub(crate) confirms_earlier: bool,
}

impl Applied {
    /// Returns true if other instances need to be notified.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.confirms_earlier || !self.effects.is_empty()
    }

    pub(crate) fn record_left_out(&mut self, object: &Versioned, known: VersionStamp) {
        let (name, told) = (object.name.clone(), object.stamp().at);
        self.notes.push(Note::LeftOut { name, told, known: known.at });
    }
}
