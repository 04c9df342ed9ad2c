//! Common types, for glob import by the other packages.

pub use crate::service_config::{ReplicaSpec, Service, Services};
pub use crate::verdict::{Refusal, RefusalReason, Verdict};

/// Version of the operators' configuration, as numbered by the platform.
///
/// It includes the platform's era; see [`crate::history::Position::to_packed`].
pub type ConfigVersion = u64;

/// Version of an index, as numbered by the backend servers.
pub type IndexVersion = u64;

/// Number of a shard within the partition map of one index version.
pub type ShardId = u32;

/// Identity of an instance's process: name and incarnation.
///
/// A restarted process has a higher incarnation, so that messages of its predecessor are never
/// attributed to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// Name of the instance, as listed by the platform.
    pub name: String,
    /// Start time of the process in milliseconds since the epoch.
    pub incarnation: u64,
}

impl std::fmt::Display for InstanceId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
