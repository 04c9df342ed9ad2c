//! Which instance is asked for a part of a shard whose replicas only others hold connections to.

use crate::rendezvous;

/// A live instance in whose slice one of the shard's replicas is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Its key in member lists.
    pub key: u64,
    /// Whether it was heard to be ready.
    pub is_ready: bool,
}

/// Key of the one that is asked, drawn by `random` among those that were heard to be ready.
///
/// Where there is none, one that starts is asked: it may be ready by now, and says at once if it
/// has no connection yet.
#[must_use]
pub fn pick(holders: &[Holder], random: u64) -> Option<u64> {
    let rank = |holder: &&Holder| (holder.is_ready, rendezvous::weight(random, holder.key));
    holders.iter().max_by_key(rank).map(|holder| holder.key)
}
