//! Backend servers that are leaving, learnt in band and spread by gossip.

use std::collections::BTreeMap;

/// How long a leaving server is remembered after it was last heard of.
pub const REMEMBER_MS: u64 = 10 * 60 * 1000;

/// Leaving backend servers with the time until which each is remembered.
///
/// A server is known by the hash of its address and its own start time, so that
/// a successor on the same address is not taken for the one that left.
#[derive(Debug, Clone, Default)]
pub struct Leaving {
    until_ms: BTreeMap<Server, u64>,
}

/// Identity of one run of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Server {
    /// Hash of its address.
    pub replica: u64,
    /// Its start time, as it says itself; 0 where it says none.
    pub incarnation: u64,
}

impl Leaving {
    /// Notes that `server` says it is leaving; returns whether that is news.
    pub fn note(&mut self, server: Server, now_ms: u64) -> bool {
        self.until_ms.insert(server, now_ms + REMEMBER_MS).is_none()
    }

    /// Whether this run of the server is leaving.
    #[must_use]
    pub fn contains(&self, server: Server) -> bool {
        self.until_ms.contains_key(&server)
    }

    /// Forgets servers that were last heard of long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// All servers known to be leaving.
    pub fn iter(&self) -> impl Iterator<Item = Server> + '_ {
        self.until_ms.keys().copied()
    }
}
