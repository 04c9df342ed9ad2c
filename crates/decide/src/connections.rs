//! Limits how many connections an instance may open to a replica.
//!
//! A replica resets connections beyond its limit, and the requests on them are lost. No instance
//! knows how many connections the others hold, so each keeps to a part that follows from the
//! membership. An instance in the replica's zone gets a larger part, since the zone's own instances
//! send the replica most of its requests.

/// Number of connections to a replica that each instance may always open.
pub const MIN_CONNECTIONS: u32 = 1;
/// Part of a replica's connections for the instances of its own zone, in percent.
///
/// They send it most of its requests, but it works on only a few at a time. With more connections,
/// requests would queue here that another replica could serve sooner.
const SAME_ZONE_PERCENT: u32 = 24;
/// Part of a replica's connections for all other instances, in percent.
///
/// An instance needs two of them if its local replica is unreachable or slow. The remainder,
/// including what rounding down leaves, is for instances that start while the connections of others
/// that have just died still count.
const OTHER_ZONE_PERCENT: u32 = 56;
/// Divisor of the unknown instances: one in this many is assumed to be in any one zone.
const UNKNOWN_IN_ZONE_DIVISOR: u32 = 4;

/// Membership as seen from one instance, for the replicas of one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipView {
    /// True if this instance gathers and is in the replicas' zone.
    pub is_same_zone: bool,
    /// True if some instances of that zone gather for the others of the zone.
    pub has_delegating_instances: bool,
    /// Number of other gathering instances in that zone.
    pub same_zone_gatherers: u32,
    /// Number of other gathering instances in other zones.
    pub other_zone_gatherers: u32,
    /// Number of instances that are not known yet but hold connections too.
    pub unknown_instances: u32,
}

/// Part of a replica's connections for one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    percent: u32,
    instances: u32,
}

impl ConnectionShare {
    /// Returns the number of connections for this part if the replica accepts `all`.
    #[must_use]
    pub fn connections(self, all: u32) -> u32 {
        (all * self.percent / 100 / self.instances.max(1)).max(MIN_CONNECTIONS)
    }
}

impl From<MembershipView> for ConnectionShare {
    fn from(view: MembershipView) -> Self {
        let MembershipView {
            is_same_zone,
            has_delegating_instances,
            same_zone_gatherers,
            other_zone_gatherers,
            unknown_instances,
        } = view;
        if is_same_zone {
            let instances =
                same_zone_gatherers + 1 + unknown_instances.div_ceil(UNKNOWN_IN_ZONE_DIVISOR);
            return Self { percent: SAME_ZONE_PERCENT, instances };
        }
        let instances = if has_delegating_instances {
            // In each zone one instance gathers the shard; the others send hardly anything.
            other_zone_gatherers.div_ceil(same_zone_gatherers.max(1)) * 2 + 1 + unknown_instances
        } else {
            other_zone_gatherers + 1 + unknown_instances
        };
        Self { percent: OTHER_ZONE_PERCENT, instances }
    }
}
