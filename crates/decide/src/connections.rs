//! Limits how many connections an instance may open to a replica.
//!
//! A replica resets connections beyond its limit, and the requests on them are lost. No instance
//! knows how many connections the others hold, so each keeps to a part that follows from the
//! membership. An instance in the replica's zone gets a larger part, since the zone's own instances
//! send the replica most of its requests.

/// Number of connections to a replica that each instance may always open.
pub const LEAST_CONNECTIONS: u32 = 1;
/// Part of a replica's connections for the instances of its own zone, in percent.
///
/// They send it most of its requests, but it works on only a few at a time. With more connections,
/// requests would queue here that another replica could serve sooner.
const NEAR_PERCENT: u32 = 24;
/// Part of a replica's connections for all other instances, in percent.
///
/// An instance needs two of them if its local replica is unreachable or slow. The remainder,
/// including what rounding down leaves, is for instances that start while the connections of others
/// that have just died still count.
const FAR_PERCENT: u32 = 56;
/// Divisor of the number of unknown instances that gives those assumed to be in one zone.
const UNKNOWN_IN_ZONE_DIVISOR: u32 = 4;

/// Membership as seen from one instance, for the replicas of one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// True if this instance gathers and is in the replicas' zone.
    pub is_near: bool,
    /// True if some instances of that zone gather for the others of the zone.
    pub is_sliced: bool,
    /// Number of other gathering instances in that zone.
    pub near_peers: u32,
    /// Number of other gathering instances in other zones.
    pub far_peers: u32,
    /// Number of instances that are not known yet but hold connections too.
    pub unknown: u32,
}

/// Part of a replica's connections for one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    percent: u32,
    instances: u32,
}

impl Part {
    /// Returns the number of connections for this part if the replica accepts `all`.
    #[must_use]
    pub fn of(self, all: u32) -> u32 {
        (all * self.percent / 100 / self.instances.max(1)).max(LEAST_CONNECTIONS)
    }
}

impl From<Place> for Part {
    fn from(place: Place) -> Self {
        let Place { is_near, is_sliced, near_peers, far_peers, unknown } = place;
        if is_near {
            let instances = near_peers + 1 + unknown.div_ceil(UNKNOWN_IN_ZONE_DIVISOR);
            return Self { percent: NEAR_PERCENT, instances };
        }
        let instances = if is_sliced {
            // In each zone one instance gathers the shard; the others send hardly anything.
            far_peers.div_ceil(near_peers.max(1)) * 2 + 1 + unknown
        } else {
            far_peers + 1 + unknown
        };
        Self { percent: FAR_PERCENT, instances }
    }
}
