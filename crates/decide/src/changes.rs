//! Wire format of changes to the store's objects.

use bytes::Bytes;

use crate::history::{Edition, Position, VersionStamp};

/// Object as of its last change.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Versioned {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its content, encoded as in the store.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
    /// Era of that change.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// The writer's version number of the content.
    #[prost(message, optional, tag = "5")]
    pub edition: Option<Edition>,
    /// True if the restored store lacks the object.
    #[prost(bool, tag = "6")]
    pub is_missing: bool,
}

impl Versioned {
    pub(crate) fn stamp(&self) -> VersionStamp {
        let position = Position { era: self.era, revision: self.revision };
        VersionStamp { position, edition: self.edition }
    }
}

/// Tombstone of a deleted object.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Deleted {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of the deletion or of a later change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of the deletion.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// The last known version number of its content.
    #[prost(message, optional, tag = "4")]
    pub edition: Option<Edition>,
}

impl Deleted {
    pub(crate) fn stamp(&self) -> VersionStamp {
        let position = Position { era: self.era, revision: self.revision };
        VersionStamp { position, edition: self.edition }
    }
}

/// Changes of one kind of objects.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    #[prost(uint64, tag = "1")]
    pub as_of: u64,
    /// True if `objects` holds all objects, so that any other is deleted.
    #[prost(bool, tag = "2")]
    pub is_whole: bool,
    /// Current objects.
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
    /// Assigns the era in which the store made this answer.
    #[must_use]
    pub fn with_era(mut self, era: u64) -> Self {
        self.era = era;
        self.objects.iter_mut().for_each(|o| o.era = era);
        self.deleted.iter_mut().for_each(|d| d.era = era);
        self
    }

    /// Returns the position up to which the changes are complete.
    #[must_use]
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.as_of }
    }
}
