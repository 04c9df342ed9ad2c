//! Bytes between instances and replicas, by cause, and whether they cross zones.
//!
//! Those between zones are dear, and which of them are worth less than they cost shows only where
//! they are counted apart. Contents are counted, without the headers of the network's protocols.

/// What bytes are for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Cause {
    /// Datagrams of membership.
    Gossip,
    /// Questions to other instances and their answers, for callers' requests.
    Gather,
    /// Changes of the configuration and of replicas' entries.
    Changes,
    /// Records of all instances, for one that starts.
    Members,
    /// Bodies to and from replicas.
    Replica,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::Gossip => "gossip",
            Self::Gather => "gather",
            Self::Changes => "changes",
            Self::Members => "members",
            Self::Replica => "replica",
        }
    }
}

/// Counts `bytes`, which cross zones if `is_far`.
pub(crate) fn count(cause: Cause, is_far: bool, bytes: usize) {
    let zone = if is_far { "other" } else { "own" };
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("eelgrasspier_zone_bytes_total", "cause" => cause.name(), "zone" => zone)
        .increment(bytes);
}
