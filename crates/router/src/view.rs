//! The immutable view of the control state that the traffic thread works with.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::Instant;

use arc_swap::ArcSwap;
use eelgrasspier_decide::connections::{ConnectionShare, MIN_CONNECTIONS, MembershipView};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fleet_limit::CoordinatorStability;
use eelgrasspier_decide::gatherers::Candidate;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::retry_budget::{self, SlackShare};
use eelgrasspier_decide::route::{Configuration, RouteTable};
use tokio::sync::Notify;

/// Another instance that is serving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address at which it accepts connections of other instances.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// True if it holds connections to its zone's replicas and gathers for other instances.
    pub is_gatherer: bool,
    /// Its CPU capacity, in thousandths of a core.
    pub capacity_milli: u32,
}

impl Peer {
    /// Returns the instance as a candidate for gathering.
    #[must_use]
    pub fn gather_candidate(&self) -> Candidate {
        let key = rendezvous::hash(&self.name);
        Candidate { key, capacity_milli: self.capacity_milli }
    }
}

/// Replicas that accept new requests, by service.
pub type ReplicasByService = HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>>;

/// A consistent snapshot of the control state.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force; `None` before the first one.
    pub configuration: Option<Arc<Configuration>>,
    /// The routes of the configuration.
    pub route_table: Arc<RouteTable>,
    /// Replicas that accept new requests, by service.
    pub replicas: Arc<ReplicasByService>,
    /// True once the replicas, and the evacuations if used, have been read.
    ///
    /// A starting instance also waits, for a limited time, until another instance has sent what a
    /// restored store may lack.
    pub has_confirmed_replicas: bool,
    /// Number of instances that share connections and retries, this one included.
    pub instance_count: u64,
    /// Fleet size by the store's entries or the member table, whichever is larger.
    pub fleet_size: u64,
    /// True if this instance holds connections to its zone's replicas.
    pub is_gatherer: bool,
    /// CPU capacity of this instance, in thousandths of a core.
    pub capacity_milli: u32,
    /// The other serving instances.
    pub peers: Arc<Vec<Peer>>,
    /// This instance's share of the connections to the replicas of each zone.
    pub connection_shares: Vec<(Arc<str>, ConnectionShare)>,
    /// The other instances that gather.
    pub gatherers: Vec<Peer>,
    /// Zones in which some instances don't gather but relay to those that do.
    pub delegating_zones: HashSet<Arc<str>>,
    /// Number of instances per zone that hold connections to one replica of the zone.
    pub holders_by_zone: Vec<(Arc<str>, u64)>,
    /// Time until which each rate-limited replica is cold, in milliseconds.
    pub cold_until_ms: Arc<HashMap<Arc<str>, u64>>,
    /// Time since which the gathering instances of each zone are unchanged.
    ///
    /// They count the sends to the cold replicas of the zone.
    pub gatherer_stability: Arc<CoordinatorStability>,
}

impl View {
    /// True if some instances of the zone don't gather but relay to those that do.
    #[must_use]
    pub fn is_delegating(&self, zone: &str) -> bool {
        self.delegating_zones.contains(zone)
    }

    /// Computes the derived fields for an instance in `own_zone`.
    ///
    /// Done once for each view. When connection shares were computed for each send, they took a
    /// twentieth of the traffic thread's instructions at 40 shards. The cost of counting all
    /// instances for each shard would grow with the product of fleet size and shards.
    #[must_use]
    pub fn with_derived_fields(mut self, own_zone: &str) -> Self {
        self.gatherers = self.peers.iter().filter(|p| p.is_gatherer).cloned().collect();
        let non_gathering_zones =
            self.peers.iter().filter(|p| !p.is_gatherer).map(|p| Arc::clone(&p.zone));
        self.delegating_zones = non_gathering_zones.collect();
        if !self.is_gatherer {
            self.delegating_zones.insert(own_zone.into());
        }
        self.holders_by_zone = self.count_holders(own_zone);
        let mut zones: Vec<&Arc<str>> = self.replicas.values().flatten().map(|r| &r.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let part =
            |zone: &Arc<str>| (Arc::clone(zone), self.membership_view(zone, own_zone).into());
        self.connection_shares = zones.into_iter().map(part).collect();
        self
    }

    /// Counts the instances of each zone that hold connections to one replica of the zone.
    ///
    /// That is one where some instances delegate, and all gathering instances elsewhere.
    fn count_holders(&self, own_zone: &str) -> Vec<(Arc<str>, u64)> {
        let mut holders: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let own = self.is_gatherer.then(|| Arc::from(own_zone));
        for zone in self.gatherers.iter().map(|p| Arc::clone(&p.zone)).chain(own) {
            *holders.entry(zone).or_default() += 1;
        }
        let count = |(zone, gatherers): (Arc<str>, u64)| {
            let holders = if self.is_delegating(&zone) { 1 } else { gatherers };
            (zone, holders)
        };
        holders.into_iter().map(count).collect()
    }

    /// Returns this instance's part of the retry slack of a service.
    ///
    /// `zone` is the zone of this instance if it holds connections to the service's replicas there.
    /// Where no instance delegates, all send to all replicas and have the same part.
    #[must_use]
    pub fn retry_slack_share(
        &self,
        service: &str,
        zone: Option<&Arc<str>>,
        is_established: bool,
    ) -> SlackShare {
        if self.delegating_zones.is_empty() {
            return SlackShare::equal(self.instance_count);
        }
        let replicas = self.replicas.get(service).map_or(&[][..], Vec::as_slice);
        let has_replica = |zone: &Arc<str>| replicas.iter().any(|r| r.zone == *zone);
        let counted = self.holders_by_zone.iter().filter(|(zone, _)| has_replica(zone));
        let holders: u64 = counted.map(|(_, holders)| holders).sum();
        let is_holder = zone.is_some_and(has_replica);
        let other_holders = holders.saturating_sub(u64::from(is_holder));
        let divisor = retry_budget::slack_divisor(self.instance_count, other_holders, is_holder);
        SlackShare::of_holder(divisor, is_established)
    }

    fn membership_view(&self, zone: &str, own_zone: &str) -> MembershipView {
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let same_zone_gatherers =
            to_u32(self.gatherers.iter().filter(|p| &*p.zone == zone).count());
        let known = to_u32(self.peers.len()) + 1;
        MembershipView {
            is_same_zone: zone == own_zone && self.is_gatherer,
            has_delegating_instances: self.is_delegating(zone),
            same_zone_gatherers,
            other_zone_gatherers: to_u32(self.gatherers.len()) - same_zone_gatherers,
            unknown_instances: u32::try_from(self.instance_count)
                .unwrap_or(u32::MAX)
                .saturating_sub(known),
        }
    }

    /// Returns this instance's share of the connections to a replica in `zone`.
    ///
    /// The replica accepts `replica_limit` connections from all instances together.
    #[must_use]
    pub fn connection_share(&self, zone: &str, replica_limit: u32) -> u32 {
        let part = self.connection_shares.iter().find(|(name, _)| **name == *zone);
        part.map_or(MIN_CONNECTIONS, |(_, part)| part.connections(replica_limit))
    }

    /// True if connections to replicas stay open after an answer.
    ///
    /// Instances that don't gather send few requests directly, such as those of routes to a single
    /// replica: each sends one in 10 s. When they kept these connections, the idle ones exceeded a
    /// replica's limit: 195 where it accepts 120. The replica reset 1,195 connections in the
    /// seconds after a power loss, when connections of the lost instances still counted.
    #[must_use]
    pub fn uses_keep_alive(&self) -> bool {
        self.is_gatherer
    }

    /// Returns the connections that each replica of a service accepts from all instances together.
    #[must_use]
    pub fn replica_connection_limit(&self, service: &str) -> u32 {
        let limits = self.configuration.as_ref().and_then(|c| c.services.get(service));
        limits.map_or(MIN_CONNECTIONS, |l| l.max_connections)
    }

    /// True if a replica accepts new requests.
    #[must_use]
    pub fn has_replica(&self, replica: &ReplicaEntry) -> bool {
        let listed = self.replicas.get(&replica.service);
        listed.is_some_and(|all| all.iter().any(|r| r.id == replica.id))
    }

    /// True if callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.has_confirmed_replicas
    }
}

/// State shared by the threads of one process.
#[derive(Debug)]
pub struct SharedState {
    /// The latest view.
    pub view: ArcSwap<View>,
    /// Signalled when a new view is published.
    pub(crate) view_changed: Notify,
    /// Time of the last message from another instance, in milliseconds; 0 for never.
    last_contact_ms: AtomicU64,
    started: Instant,
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new()
    }
}

impl SharedState {
    /// Creates the state with an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self {
            view: ArcSwap::default(),
            view_changed: Notify::new(),
            last_contact_ms: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    /// Records that a message from another instance has arrived.
    pub(crate) fn record_peer_contact(&self) {
        self.last_contact_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns the time of the last message from another instance, in milliseconds, if any.
    pub(crate) fn last_contact_ms(&self) -> Option<u64> {
        Some(self.last_contact_ms.load(Ordering::Relaxed)).filter(|&contact_ms| contact_ms > 0)
    }

    /// Returns the milliseconds since this process started.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Replaces the current view and signals the change.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.view_changed.notify_one();
    }
}
