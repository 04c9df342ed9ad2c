//! Ordering of the store's changes across restores from a backup.
//!
//! The store numbers its changes by one counter, the revision. When it is restored from a backup,
//! the counter goes back and the same numbers are assigned again to other changes; the store then
//! increments its era. A change is therefore ordered by era and revision. An object that a restore
//! brings back may be older than the known one although its era is later. Contents that their
//! writers number are therefore ordered by that number first.

/// Position of a change in the store's history.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Position {
    /// Number of restores before the change.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Revision of the change within the era.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Number of low bits of [`Position::to_packed`] that hold the revision.
const REVISION_BITS: u32 = 40;

impl Position {
    /// Packs the position into one number with the same order.
    ///
    /// For a store that reports no era, this is the revision.
    #[must_use]
    pub fn to_packed(self) -> u64 {
        self.era << REVISION_BITS | self.revision & ((1 << REVISION_BITS) - 1)
    }

    /// Unpacks a position from its number.
    #[must_use]
    pub fn from_packed(number: u64) -> Self {
        let revision = number & ((1 << REVISION_BITS) - 1);
        Self { era: number >> REVISION_BITS, revision }
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.era == 0 {
            return write!(f, "{}", self.revision);
        }
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl std::str::FromStr for Position {
    type Err = std::num::ParseIntError;

    /// Parses `REVISION` or `ERA.REVISION`, the formats that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self { era: era.parse()?, revision: revision.parse()? })
    }
}

/// Version number that a writer assigns to the content of an object, increasing with each write.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Edition {
    /// Unix time of the writer's start in milliseconds; 0 if numbers continue across its restarts.
    #[prost(uint64, tag = "1")]
    pub born_ms: u64,
    /// Number of the write since that start.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Version of an object, by which its changes are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionStamp {
    /// Position of the change in the store's history.
    pub position: Position,
    /// The writer's version number; `None` if the writer assigns none or it can't be read.
    pub edition: Option<Edition>,
}

impl VersionStamp {
    /// Returns true if content with this stamp replaces the `known` one.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        match (self.edition, known.edition) {
            (Some(edition), Some(known)) if edition != known => edition > known,
            _ => self.position > known.position,
        }
    }

    /// Returns true if a restore brought this content back after its deletion.
    #[must_use]
    pub fn is_resurrected_after(&self, deletion: &Self) -> bool {
        let is_written_before = self.edition.is_some() && self.edition <= deletion.edition;
        self.position.era > deletion.position.era && is_written_before
    }
}

/// Result of comparing the era of an answer with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraComparison {
    /// The era is unchanged.
    Unchanged,
    /// The store was restored since the last answer.
    Restored,
    /// The answer precedes a restore that is already known.
    Stale,
    /// The era went back, which it never should; the answer is treated as one of the current era.
    Regressed,
}

/// The store's current era, learned from its answers and from other instances.
#[derive(Debug, Clone, Default)]
pub struct EraTracker {
    current: u64,
}

impl EraTracker {
    /// Returns the latest known era; 0 while the store reports none.
    #[must_use]
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Records an era reported by another instance.
    pub fn observe_peer(&mut self, era: u64) {
        self.current = self.current.max(era);
    }

    /// Records the `era` of a store answer; `None` if the answer has none or it can't be read.
    ///
    /// `request_era` is the era known when the request was sent. A request that allows stale reads
    /// may get an answer of an earlier era at any time.
    pub fn observe_answer(
        &mut self,
        era: Option<u64>,
        request_era: u64,
        may_be_stale: bool,
    ) -> EraComparison {
        let Some(era) = era.filter(|era| *era != self.current) else {
            return EraComparison::Unchanged;
        };
        if era > self.current {
            self.current = era;
            return EraComparison::Restored;
        }
        if may_be_stale || request_era < self.current {
            EraComparison::Stale
        } else {
            EraComparison::Regressed
        }
    }
}
