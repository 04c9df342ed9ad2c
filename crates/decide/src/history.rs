//! The order of what the store says.
//!
//! The store numbers its changes by one counter. When it is restored from a copy, the counter goes
//! back and its numbers are given out again for other changes; the store then counts one era more.
//! So a change has its place by era and revision. What a copy brings back may be older than what
//! is known, at whatever place: contents that their writers number are ordered by that first.

/// A place in the store's history.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Position {
    /// How often the store had been restored.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Number of the change within the era.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Bits of [`Position::to_number`] that hold the revision.
const REVISION_BITS: u32 = 40;

impl Position {
    /// Both in one number of the same order, for where there is room for one.
    ///
    /// A store that tells no era has its revisions for numbers.
    #[must_use]
    pub fn to_number(self) -> u64 {
        self.era << REVISION_BITS | self.revision & ((1 << REVISION_BITS) - 1)
    }

    /// The position that such a number stands for.
    #[must_use]
    pub fn from_number(number: u64) -> Self {
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

    /// Reads a revision, or an era and a revision, as they are shown.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self { era: era.parse()?, revision: revision.parse()? })
    }
}

/// Number that a writer gives to what it writes under a name, greater each time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Edition {
    /// Unix time of the writer's start in milliseconds; 0 where numbers go on over its starts.
    #[prost(uint64, tag = "1")]
    pub born_ms: u64,
    /// Number since then.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// What orders the changes of one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Where the store made the change.
    pub at: Position,
    /// How the writer numbered the content; `None` where it does not, or it can't be read.
    pub edition: Option<Edition>,
}

impl Stamp {
    /// Whether a content with this stamp replaces the `known` one.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        match (self.edition, known.edition) {
            (Some(edition), Some(known)) if edition != known => edition > known,
            _ => self.at > known.at,
        }
    }

    /// Whether a copy brings this content back though it had been deleted.
    #[must_use]
    pub fn is_back_after(&self, deletion: &Self) -> bool {
        let is_written_before = self.edition.is_some() && self.edition <= deletion.edition;
        self.at.era > deletion.at.era && is_written_before
    }
}

/// What the era of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The store is as it was.
    Same,
    /// The store was restored since the last answer.
    Restored,
    /// The answer was made before a restore that is known already.
    Late,
    /// The store's era went back, which it never should: taken for the present one.
    Back,
}

/// The store's era, as its answers and other instances say.
#[derive(Debug, Clone, Default)]
pub struct Eras {
    current: u64,
}

impl Eras {
    /// The latest era that was heard of; 0 while the store tells none.
    #[must_use]
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Hears of an era from another instance.
    pub fn hear(&mut self, era: u64) {
        self.current = self.current.max(era);
    }

    /// Takes in an answer of the store that names `era`, if it names one that can be read.
    ///
    /// `asked_in` is the era that was known when the question went out. A question that allows
    /// a stale answer may get one of an era before at any time.
    pub fn take(&mut self, era: Option<u64>, asked_in: u64, may_be_stale: bool) -> Told {
        let Some(era) = era.filter(|era| *era != self.current) else { return Told::Same };
        if era > self.current {
            self.current = era;
            return Told::Restored;
        }
        if may_be_stale || asked_in < self.current { Told::Late } else { Told::Back }
    }
}
