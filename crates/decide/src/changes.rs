//! Changes of the store's objects, as they travel.

use bytes::Bytes;

use crate::history::{Edition, Position, Stamp};

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
    /// Era of that change.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// How its writer numbered the content.
    #[prost(message, optional, tag = "5")]
    pub edition: Option<Edition>,
    /// Whether the store lacks it since it was restored.
    #[prost(bool, tag = "6")]
    pub is_missing: bool,
}

impl Versioned {
    pub(crate) fn stamp(&self) -> Stamp {
        let at = Position { era: self.era, revision: self.revision };
        Stamp { at, edition: self.edition }
    }
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
    /// Era of the deletion.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// The last edition that was known of it.
    #[prost(message, optional, tag = "4")]
    pub edition: Option<Edition>,
}

impl Deleted {
    pub(crate) fn stamp(&self) -> Stamp {
        let at = Position { era: self.era, revision: self.revision };
        Stamp { at, edition: self.edition }
    }
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
    /// Era of `as_of`.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

impl Changes {
    /// An answer of the store, in the era in which it was made.
    #[must_use]
    pub fn in_era(mut self, era: u64) -> Self {
        self.era = era;
        self.objects.iter_mut().for_each(|o| o.era = era);
        self.deleted.iter_mut().for_each(|d| d.era = era);
        self
    }

    /// Place up to which this is complete.
    #[must_use]
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.as_of }
    }
}
