//! Whether the configuration in force is known to be current.
//!
//! An instance that is cut off, has just started or reads a restored store may lack keys that were
//! added, and accept keys that were removed.

/// Maximum age of the store's confirmation, in milliseconds.
///
/// The store holds a watch open for two seconds, and the next one follows after a short pause.
const STORE_TTL_MS: u64 = 3_000;
/// Maximum time since the last message of another instance, in milliseconds.
///
/// This is three probe rounds, after which the others replace an instance that they don't hear.
const PEER_TTL_MS: u64 = 1_500;

/// Sources by which an instance confirms its configuration; times are those of its own clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigurationSources {
    /// Time of the store's last answer on the configuration, in milliseconds.
    pub store_answered_ms: Option<u64>,
    /// Time of the last message of another instance, in milliseconds.
    pub peer_heard_ms: Option<u64>,
    /// True if some live instance reports that it reaches the store.
    pub has_peer_with_store: bool,
}

impl ConfigurationSources {
    /// Returns true if the configuration in force is known to be current.
    #[must_use]
    pub fn is_current(&self, now_ms: u64) -> bool {
        let is_recent =
            |at_ms: Option<u64>, ttl_ms| at_ms.is_some_and(|at| now_ms.saturating_sub(at) < ttl_ms);
        is_recent(self.store_answered_ms, STORE_TTL_MS)
            || (self.has_peer_with_store && is_recent(self.peer_heard_ms, PEER_TTL_MS))
    }

    /// Returns the time for which the configuration has not been confirmed, in milliseconds.
    #[must_use]
    pub fn unconfirmed_ms(&self, now_ms: u64) -> u64 {
        let by_peer_ms = self.peer_heard_ms.filter(|_| self.has_peer_with_store);
        let confirmed_ms = self.store_answered_ms.max(by_peer_ms).unwrap_or(0);
        now_ms.saturating_sub(confirmed_ms)
    }
}
