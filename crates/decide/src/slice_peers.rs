//! Choice of a peer for a shard whose replicas are all outside this instance's slice.

use crate::rendezvous;

/// A live instance that has one of the shard's replicas in its slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlicePeer {
    /// Its key in member lists.
    pub key: u64,
    /// True if it has announced that it is ready.
    pub is_ready: bool,
}

/// Returns the key of the instance to ask, chosen by `random` among those that are ready.
///
/// If none is ready, a starting one is asked: it may have become ready by now, and otherwise
/// replies at once that it has no connection yet.
#[must_use]
pub fn pick_peer(peers: &[SlicePeer], random: u64) -> Option<u64> {
    let priority = |peer: &&SlicePeer| (peer.is_ready, rendezvous::weight(random, peer.key));
    peers.iter().max_by_key(priority).map(|peer| peer.key)
}
