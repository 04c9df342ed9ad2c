//! How many of a replica's connections an instance may open.
//!
//! A replica resets connections beyond its limit, and the requests on them are lost. No
//! instance knows what the others hold, so each keeps to a part that follows from who there
//! is: most for the instances of the replica's zone, which send it most of its requests.

/// Connections to a replica that each instance may open whatever the others do.
pub const LEAST_CONNECTIONS: u32 = 1;
/// Part of a replica's connections for the instances of its own zone, in hundredths.
///
/// They send it most of its requests, and it works on a few at a time: a connection that only
/// queues there takes its request away from a replica that is free sooner.
const NEAR_PERCENT: u32 = 24;
/// Part for all other instances, in hundredths.
///
/// Where the replica beside it is lost or slow, an instance needs two of them. What is left, and
/// what rounding down leaves, is for instances that start while connections of others that have
/// just died still count.
const FAR_PERCENT: u32 = 56;
/// Of the instances not heard of yet, one in this many is assumed in any one zone.
const UNKNOWN_IN_ZONE_DIVISOR: u32 = 4;

/// The instances, as seen from one of them and for the replicas of one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Whether this instance gathers, in the replicas' zone.
    pub is_near: bool,
    /// Whether some of that zone gather for its others.
    pub is_sliced: bool,
    /// Other instances that gather there.
    pub near_peers: u32,
    /// Other instances that gather elsewhere.
    pub far_peers: u32,
    /// Instances that this one has not heard of yet; they hold connections too.
    pub unknown: u32,
}

/// One instance's part of a replica's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    percent: u32,
    instances: u32,
}

impl Part {
    /// Connections of the part, of `all` that a replica accepts.
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
            // In each zone one instance gathers the shard; the others send next to nothing.
            far_peers.div_ceil(near_peers.max(1)) * 2 + 1 + unknown
        } else {
            far_peers + 1 + unknown
        };
        Self { percent: FAR_PERCENT, instances }
    }
}
