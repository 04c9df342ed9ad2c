//! By what a request is known when its caller sends it again.

use std::fmt;

use xxhash_rust::xxh3::Xxh3Default;

/// Digest of what a backend server is given of a request.
///
/// A caller's next attempt has another id and may come to another instance, so that nothing else
/// tells that it is the same request. Headers are left out: they differ between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The digest of a request's parts, such as method, host, path and body, in this order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Xxh3Default::new();
        for part in parts {
            // With its length, so that no two lists of parts run together.
            digest.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            digest.update(part);
        }
        Self(digest.digest())
    }

    /// Position of a shard in the order in which this request is tried on shards.
    #[must_use]
    pub fn order(self, service: &str) -> u64 {
        crate::rendezvous::weight(self.0, crate::rendezvous::hash(service))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
