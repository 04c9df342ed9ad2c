//! Claims of idempotency keys, which ensure that a request runs at most once.
//!
//! A key is claimed in a bucket object on the platform before the request is sent. Only the
//! conditional update of the bucket decides. Ownership of buckets makes batches large and conflicts
//! rare, but no lease and no clock is relied upon. Otherwise a holder that was paused beyond its
//! lease would resume and run a request that another instance has run in the meantime; the caller
//! would notice that its effect, such as a reminder, occurs twice.
//!
//! A key contains the time of its issue (`UUIDv7`). The bucket has a floor: claims of keys issued
//! before it are always refused, so old entries can be dropped without relying on any clock for
//! safety.

use std::collections::BTreeMap;

/// Idempotency key: a `UUIDv7` as a number, whose first 48 bits are its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u128);

impl Key {
    /// Returns the time of issue in milliseconds since the Unix epoch.
    #[must_use]
    pub fn issued_ms(self) -> u64 {
        const TIME_SHIFT: u32 = 80;
        u64::try_from(self.0 >> TIME_SHIFT).unwrap_or(u64::MAX)
    }
}

/// Random number of one attempt.
///
/// After a lost answer it shows whether this attempt's update took effect or another one's.
pub type Nonce = u64;

/// Content of one bucket object.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bucket {
    /// Time in milliseconds since the Unix epoch; keys issued earlier are refused.
    pub floor_ms: u64,
    /// Attempt that holds each claimed key.
    pub claims: BTreeMap<Key, Nonce>,
    /// Platform era for which the claims are complete; in a later one some may be lost.
    pub era: u64,
}

/// Change to a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BucketChange {
    /// Claims the key for this attempt.
    Claim(Key, Nonce),
    /// Releases the key; allowed only if the attempt has definitely sent nothing.
    Release(Key, Nonce),
}

/// Outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimResult {
    /// This attempt holds the key and may send once.
    Granted,
    /// Another attempt holds the key.
    Taken,
    /// The key was issued before the floor.
    Expired,
}

impl Bucket {
    /// Returns the bucket after a batch, which takes effect only by a conditional update.
    #[must_use]
    pub fn with_changes(&self, batch: &[BucketChange]) -> Self {
        let mut next = self.clone();
        for change in batch {
            next.apply(*change);
        }
        next
    }

    fn apply(&mut self, change: BucketChange) {
        match change {
            BucketChange::Claim(key, nonce) => {
                if key.issued_ms() >= self.floor_ms {
                    self.claims.entry(key).or_insert(nonce);
                }
            }
            BucketChange::Release(key, nonce) => {
                if self.claims.get(&key) == Some(&nonce) {
                    self.claims.remove(&key);
                }
            }
        }
    }

    /// Returns the outcome of a claim, or `None` if the key is neither claimed nor expired.
    ///
    /// The bucket must have been confirmed by the platform, or re-read after an answer was lost; in
    /// that case the nonce shows whether the update took effect.
    #[must_use]
    pub fn outcome(&self, key: Key, nonce: Nonce) -> Option<ClaimResult> {
        match self.claims.get(&key) {
            Some(&holder) if holder == nonce => Some(ClaimResult::Granted),
            Some(_) => Some(ClaimResult::Taken),
            None if key.issued_ms() < self.floor_ms => Some(ClaimResult::Expired),
            None => None,
        }
    }

    /// Makes a bucket of an earlier era, or one missing after a restore, safe to claim in.
    ///
    /// Claims may have been lost, or overwritten by a writer whose expected version was assigned
    /// again, since conditions contain no era. Keys issued before `floor_ms` are therefore refused
    /// from now on. Keys of callers whose clocks are further ahead are known only if they are
    /// `remembered`.
    pub fn enter_era(&mut self, era: u64, floor_ms: u64, remembered: &Self) {
        self.era = era;
        for (&key, &nonce) in &remembered.claims {
            self.claims.entry(key).or_insert(nonce);
        }
        self.raise_floor(floor_ms.max(remembered.floor_ms), usize::MAX);
    }

    /// Raises the floor and drops the claims below it.
    ///
    /// `max_claims` limits the object's size. Beyond it, the oldest claims are dropped and the
    /// floor rises above them, so that their keys are refused rather than run again.
    pub fn raise_floor(&mut self, floor_ms: u64, max_claims: usize) {
        self.floor_ms = self.floor_ms.max(floor_ms);
        if self.claims.len() > max_claims {
            let excess = self.claims.len() - max_claims;
            if let Some(key) = self.claims.keys().nth(excess - 1) {
                self.floor_ms = self.floor_ms.max(key.issued_ms() + 1);
            }
        }
        let floor_ms = self.floor_ms;
        self.claims.retain(|key, _| key.issued_ms() >= floor_ms);
    }
}

/// State of one attempt, which sends at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Attempt {
    /// The claim is not resolved yet.
    Claiming,
    /// The key is claimed and nothing was sent.
    Claimed,
    /// The request was sent, or may have been.
    Sent,
    /// The attempt has ended without sending anything.
    Abandoned,
}

impl Attempt {
    /// Returns the state after the outcome of the claim.
    #[must_use]
    pub fn with_outcome(self, outcome: ClaimResult) -> Self {
        match (self, outcome) {
            (Self::Claiming, ClaimResult::Granted) => Self::Claimed,
            (Self::Claiming, _) => Self::Abandoned,
            (state, _) => state,
        }
    }

    /// Uses the permission to send; returns `None` if there is none or it is used up.
    #[must_use]
    pub fn use_permission(self) -> Option<Self> {
        (self == Self::Claimed).then_some(Self::Sent)
    }

    /// Restores the permission to send after a send that definitely did not run.
    ///
    /// That is the case if no byte was sent, or if the server refused the request before running
    /// it. Only the sender itself may call this, for the send that it has just made.
    #[must_use]
    pub fn restore_permission(self) -> Self {
        if self == Self::Sent { Self::Claimed } else { self }
    }

    /// Ends the attempt permanently; a later grant does not permit a send.
    #[must_use]
    pub fn abandon(self) -> Self {
        if self == Self::Sent { self } else { Self::Abandoned }
    }

    /// Returns true if a refusal may state that this attempt did not run.
    #[must_use]
    pub fn has_not_run(self) -> bool {
        self != Self::Sent
    }
}
