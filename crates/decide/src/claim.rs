//! Claims of idempotency keys: the rule by which a request runs at most once.
//!
//! A key is claimed in a bucket object on the platform before the request goes
//! out. Only the conditional update of the bucket decides: ownership of buckets
//! makes batches large and conflicts rare, but no lease and no clock is trusted.
//! What would go wrong otherwise: a holder that was paused past its lease wakes
//! up and runs the request that another instance has run meanwhile; the caller
//! would notice a second reminder.
//!
//! A key carries the time of its issue (`UUIDv7`). The bucket keeps a floor: claims
//! of keys issued before it are refused for good, so old entries can be dropped
//! without trusting any clock for safety.

use std::collections::BTreeMap;

/// An idempotency key: a `UUIDv7` as a number; its first 48 bits are its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u128);

impl Key {
    /// Time of issue in milliseconds since the epoch.
    #[must_use]
    pub fn issued_ms(self) -> u64 {
        const TIME_SHIFT: u32 = 80;
        u64::try_from(self.0 >> TIME_SHIFT).unwrap_or(u64::MAX)
    }
}

/// Random number of one attempt; it tells a lost answer's effect from a rival's.
pub type Nonce = u64;

/// Content of one bucket object.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bucket {
    /// Keys issued before this time are refused, in milliseconds since the epoch.
    pub floor_ms: u64,
    /// The attempt that holds each claimed key.
    pub claims: BTreeMap<Key, Nonce>,
    /// Era of the platform for which the claims are complete: in a later one some may be lost.
    pub era: u64,
}

/// One wanted change of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// Claim the key for this attempt.
    Claim(Key, Nonce),
    /// Give the key back; only for an attempt that surely never sent anything.
    Release(Key, Nonce),
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// This attempt holds the key: it may send once.
    Granted,
    /// Another attempt holds the key.
    Taken,
    /// The key is older than the floor.
    Expired,
}

impl Bucket {
    /// Applies a batch; the result takes effect only by a conditional update.
    #[must_use]
    pub fn with(&self, batch: &[Change]) -> Self {
        let mut next = self.clone();
        for change in batch {
            next.apply(*change);
        }
        next
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Claim(key, nonce) => {
                if key.issued_ms() >= self.floor_ms {
                    self.claims.entry(key).or_insert(nonce);
                }
            }
            Change::Release(key, nonce) => {
                if self.claims.get(&key) == Some(&nonce) {
                    self.claims.remove(&key);
                }
            }
        }
    }

    /// What became of the claim of `key` by the attempt `nonce`.
    ///
    /// Read from a bucket that the platform confirmed, or that was re-read after
    /// an answer was lost: the nonce shows whether the lost update took effect.
    #[must_use]
    pub fn outcome(&self, key: Key, nonce: Nonce) -> Option<Outcome> {
        match self.claims.get(&key) {
            Some(&holder) if holder == nonce => Some(Outcome::Granted),
            Some(_) => Some(Outcome::Taken),
            None if key.issued_ms() < self.floor_ms => Some(Outcome::Expired),
            None => None,
        }
    }

    /// Makes a bucket of an earlier era, or one that a restored platform lacks, safe to claim in.
    ///
    /// Claims may be lost, or overwritten by a writer whose version was given out again, since a
    /// condition names no era. So keys issued before `floor_ms` are refused from now on; keys of
    /// callers whose clocks run further ahead are known only where they are `remembered`.
    pub fn enter(&mut self, era: u64, floor_ms: u64, remembered: &Self) {
        self.era = era;
        for (&key, &nonce) in &remembered.claims {
            self.claims.entry(key).or_insert(nonce);
        }
        self.raise_floor(floor_ms.max(remembered.floor_ms), usize::MAX);
    }

    /// Raises the floor and drops the claims below it.
    ///
    /// `keep_most` bounds the object's size: beyond it the oldest claims go, and
    /// the floor rises past them, so that they are refused rather than run again.
    pub fn raise_floor(&mut self, floor_ms: u64, keep_most: usize) {
        self.floor_ms = self.floor_ms.max(floor_ms);
        if self.claims.len() > keep_most {
            let cut = self.claims.len() - keep_most;
            if let Some(key) = self.claims.keys().nth(cut - 1) {
                self.floor_ms = self.floor_ms.max(key.issued_ms() + 1);
            }
        }
        let floor_ms = self.floor_ms;
        self.claims.retain(|key, _| key.issued_ms() >= floor_ms);
    }
}

/// Where one attempt stands; it sends at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Attempt {
    /// The claim is not resolved yet.
    Claiming,
    /// The claim is held and nothing was sent.
    Holding,
    /// The request went out, or may have.
    Sent,
    /// The attempt is over without having sent anything.
    GivenUp,
}

impl Attempt {
    /// Takes in the outcome of the claim.
    #[must_use]
    pub fn resolved(self, outcome: Outcome) -> Self {
        match (self, outcome) {
            (Self::Claiming, Outcome::Granted) => Self::Holding,
            (Self::Claiming, _) => Self::GivenUp,
            (state, _) => state,
        }
    }

    /// Takes the one permission to send; `None` where there is none (left).
    #[must_use]
    pub fn send(self) -> Option<Self> {
        (self == Self::Holding).then_some(Self::Sent)
    }

    /// The send surely never ran: no byte went out, or the server refused it unrun.
    ///
    /// Only the sender itself may say so, of the send that it has just made.
    #[must_use]
    pub fn not_sent(self) -> Self {
        if self == Self::Sent { Self::Holding } else { self }
    }

    /// Ends the attempt for good; a later grant can no longer lead to a send.
    #[must_use]
    pub fn give_up(self) -> Self {
        if self == Self::Sent { self } else { Self::GivenUp }
    }

    /// Whether a refusal may truly say that this attempt did not run.
    #[must_use]
    pub fn is_surely_not_run(self) -> bool {
        self != Self::Sent
    }
}
