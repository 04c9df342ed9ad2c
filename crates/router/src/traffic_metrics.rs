//! Counts bytes between instances and replicas by cause and by whether they cross zones.
//!
//! Traffic between zones is expensive, and separate counters show which causes are worth it. Only
//! payloads are counted, without protocol headers.

/// Cause of traffic.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TrafficCause {
    /// Membership datagrams.
    Gossip,
    /// Relay requests between instances for callers' requests, and the answers.
    Gather,
    /// Changes of the configuration and of replica entries.
    Changes,
    /// Records of all instances, sent to an instance that starts.
    Members,
    /// Request and response bodies of replicas.
    Replica,
}

impl TrafficCause {
    fn label(self) -> &'static str {
        match self {
            Self::Gossip => "gossip",
            Self::Gather => "gather",
            Self::Changes => "changes",
            Self::Members => "members",
            Self::Replica => "replica",
        }
    }
}

/// Adds `bytes` to the counter of the cause.
pub(crate) fn count(cause: TrafficCause, is_cross_zone: bool, bytes: usize) {
    let zone = if is_cross_zone { "other" } else { "own" };
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("eelgrasspier_zone_bytes_total", "cause" => cause.label(), "zone" => zone)
        .increment(bytes);
}
