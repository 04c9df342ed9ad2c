//! What became of changes that a copy of the store was told.

use bytes::Bytes;

use crate::changes::Versioned;
use crate::history::{Position, Stamp};

/// What a change did to the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The object has this content now.
    Set(String, Bytes),
    /// The object is gone, if it ever was here.
    Gone(String),
}

/// What was told and not taken in as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A change of the object was left out, since the `known` one is newer.
    LeftOut {
        /// Name of the object.
        name: String,
        /// Place of the change.
        told: Position,
        /// Place of the one that is known.
        known: Position,
    },
    /// The restored store lacks the object; it is kept until it is written again, for a while.
    Kept(String),
    /// The restored store has the object though it had been deleted; it is left out for a while.
    Doubted(String),
}

/// What became of changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// What they did to the copy.
    pub effects: Vec<Effect>,
    /// What was not taken in as it was told.
    pub notes: Vec<Note>,
    /// Whether the present era confirmed what was known from an earlier one.
    pub(crate) confirms_earlier: bool,
}

impl Applied {
    /// Whether other instances may go wrong if they don't hear of it.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.confirms_earlier || !self.effects.is_empty()
    }

    pub(crate) fn note_left_out(&mut self, object: &Versioned, known: Stamp) {
        let (name, told) = (object.name.clone(), object.stamp().at);
        self.notes.push(Note::LeftOut { name, told, known: known.at });
    }
}
