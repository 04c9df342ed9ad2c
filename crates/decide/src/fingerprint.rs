//! Fingerprint that identifies a request across the retries of its caller.

use std::fmt;

use xxhash_rust::xxh3::Xxh3Default;

/// Digest of the parts of a request that are passed to a backend server.
///
/// A caller's retry has another id and may reach another instance, so only the content shows that
/// it is the same request. Headers are not included, because they differ between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the digest of a request's parts, such as method, host, path and body, in this order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Xxh3Default::new();
        for part in parts {
            // The length is included so that different lists of parts never give the same input.
            digest.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            digest.update(part);
        }
        Self(digest.digest())
    }

    /// Returns the sort key of a shard in the order in which this request is tried on shards.
    #[must_use]
    pub fn shard_order_key(self, service: &str) -> u64 {
        crate::rendezvous::weight(self.0, crate::rendezvous::hash(service))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
