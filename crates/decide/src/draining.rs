//! Draining backend servers, learned from their responses and spread by gossip.

use std::collections::BTreeMap;

/// Retention of a draining server after its last report, in milliseconds.
pub const RETENTION_MS: u64 = 10 * 60 * 1000;

/// Draining backend servers with their expiry times.
///
/// A server is identified by the hash of its address and its start time, so that a successor at the
/// same address is not mistaken for the one that left.
#[derive(Debug, Clone, Default)]
pub struct DrainingServers {
    expires_at_ms: BTreeMap<ServerIncarnation, u64>,
}

/// Identity of one incarnation of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIncarnation {
    /// Hash of the address.
    pub address_hash: u64,
    /// Start time as reported by the server; 0 if it reports none.
    pub incarnation: u64,
}

impl DrainingServers {
    /// Records that `server` is draining; returns true if this was not known.
    pub fn record(&mut self, server: ServerIncarnation, now_ms: u64) -> bool {
        self.expires_at_ms.insert(server, now_ms + RETENTION_MS).is_none()
    }

    /// Returns true if this incarnation of the server is draining.
    #[must_use]
    pub fn contains(&self, server: ServerIncarnation) -> bool {
        self.expires_at_ms.contains_key(&server)
    }

    /// Removes servers whose retention has expired.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.expires_at_ms.retain(|_, expires_at_ms| *expires_at_ms > now_ms);
    }

    /// Returns all servers known to be draining.
    pub fn iter(&self) -> impl Iterator<Item = ServerIncarnation> + '_ {
        self.expires_at_ms.keys().copied()
    }
}
