//! Whether the configuration in force is known to be current.
//!
//! An instance that is cut off, has just started or reads a restored store may lack keys that were
//! added, and accept keys that were removed.

/// Maximum age of the store's confirmation, in milliseconds.
///
/// The store holds a watch open for two seconds, and the next one follows after a short pause.
const STORE_TTL_MS: u64 = 3_000;
/// Time that another instance may take to learn that this one no longer watches, in milliseconds.
///
/// This is one tick and the delivery of a datagram.
const REPORT_DELAY_MS: u64 = 200;
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
    /// True if some live instance reports that it watches the store and is answered.
    pub has_peer_with_store: bool,
    /// Time at which another instance last confirmed the configuration, in milliseconds.
    ///
    /// This is the last message that came while some live instance reached the store. Instances
    /// that don't watch the store are confirmed by others only; if the store is lost for all, their
    /// own last answer may be a minute old.
    pub peer_confirmed_ms: Option<u64>,
    /// True if the configuration in force is known not to be the latest.
    ///
    /// Another instance has a newer one, the latest one was rejected as invalid, or the store was
    /// restored and has not been read since.
    pub is_outdated: bool,
}

impl ConfigurationSources {
    /// Returns true if the configuration in force is known to be current.
    #[must_use]
    pub fn is_current(&self, now_ms: u64) -> bool {
        let is_recent =
            |at_ms: Option<u64>, ttl_ms| at_ms.is_some_and(|at| now_ms.saturating_sub(at) < ttl_ms);
        let is_confirmed = is_recent(self.store_answered_ms, STORE_TTL_MS)
            || (self.has_peer_with_store && is_recent(self.peer_heard_ms, PEER_TTL_MS));
        is_confirmed && !self.is_outdated
    }

    /// Returns true if a watcher may report to the others that the store answers it.
    ///
    /// They confirm their configuration by this report. It has to end before the store's last
    /// answer expires, even if the next watch has not failed yet or has not started.
    #[must_use]
    pub fn may_report_watching(&self, now_ms: u64) -> bool {
        let ttl_ms = STORE_TTL_MS - REPORT_DELAY_MS;
        self.store_answered_ms.is_some_and(|at| now_ms.saturating_sub(at) < ttl_ms)
    }

    /// Returns the time for which the configuration has not been confirmed, in milliseconds.
    ///
    /// An instance that was never confirmed counts from its start.
    #[must_use]
    pub fn unconfirmed_ms(&self, now_ms: u64) -> u64 {
        let confirmed_ms = self.store_answered_ms.max(self.peer_confirmed_ms).unwrap_or(0);
        now_ms.saturating_sub(confirmed_ms)
    }
}

/// Whether the reports of other instances are recent.
///
/// After a start, a pause of the process or a partition, the first messages may be old ones that
/// waited in the socket, and the known records of other instances may name the configuration from
/// before. Their reports count again after three probe rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerReports {
    last_heard_ms: Option<u64>,
    recent_from_ms: u64,
}

impl PeerReports {
    /// Records a message of another instance; returns true if it ends a silence.
    pub fn record_message(&mut self, now_ms: u64) -> bool {
        let last_ms = self.last_heard_ms.replace(now_ms);
        let ends_silence = last_ms.is_none_or(|at| now_ms.saturating_sub(at) >= PEER_TTL_MS);
        if ends_silence {
            self.recent_from_ms = now_ms.saturating_add(PEER_TTL_MS);
        }
        ends_silence
    }

    /// Returns true if the reports are recent; false before the first message.
    #[must_use]
    pub fn are_recent(&self, now_ms: u64) -> bool {
        self.last_heard_ms.is_some() && now_ms >= self.recent_from_ms
    }
}
