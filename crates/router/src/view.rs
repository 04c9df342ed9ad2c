//! The immutable view of the control state that the traffic thread works with.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::time::Instant;

use arc_swap::ArcSwap;
use eelgrasspier_decide::connections::{ConnectionShare, MIN_CONNECTIONS, MembershipView};
use eelgrasspier_decide::customers::Customers;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fleet_limit::{Connection, GathererStability};
use eelgrasspier_decide::freshness::ConfigurationSources;
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
    pub gatherer_stability: Arc<GathererStability>,
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
    /// Where no instance delegates, all send to all replicas and have the same part. Elsewhere only
    /// the holders of a shard have one. Every entry instance sends the requests to a single service
    /// itself, so the slack of such a service is in its pool; see [`Self::retry_pool_share`].
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
        let is_holder = zone.is_some_and(|zone| self.has_replica_in(service, zone));
        if !is_holder || !self.route_table.is_shard(service) {
            return SlackShare::none();
        }
        let holders = self.count_holders_of(service).max(1);
        let divisor = retry_budget::slack_divisor(self.instance_count, holders);
        SlackShare::of_holder(divisor, is_established)
    }

    /// Returns the pool of a service's retry slack; `None` if there is none.
    ///
    /// The holders of a shard have the whole slack if there are no other instances.
    #[must_use]
    pub fn retry_pool_share(&self, service: &str, is_established: bool) -> Option<SlackShare> {
        let has_holders = self.route_table.is_shard(service);
        let is_all_held = has_holders && self.count_holders_of(service) >= self.instance_count;
        let has_pool = !self.delegating_zones.is_empty() && !is_all_held;
        has_pool.then(|| SlackShare::of_pool(has_holders, is_established))
    }

    /// Counts the instances that hold connections to the replicas of a service.
    fn count_holders_of(&self, service: &str) -> u64 {
        let counted =
            self.holders_by_zone.iter().filter(|(zone, _)| self.has_replica_in(service, zone));
        counted.map(|(_, holders)| holders).sum()
    }

    fn has_replica_in(&self, service: &str, zone: &str) -> bool {
        let replicas = self.replicas.get(service).map_or(&[][..], Vec::as_slice);
        replicas.iter().any(|r| *r.zone == *zone)
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

    /// Returns the customers; `None` if requests need no API key.
    #[must_use]
    pub fn customers(&self) -> Option<&Arc<Customers>> {
        self.configuration.as_ref()?.customers.as_ref()
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// True if callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.has_confirmed_replicas
    }
}

/// Confirmations of the configuration in force; times are in milliseconds, 0 for never.
#[derive(Debug, Default)]
struct Confirmation {
    store_answered_ms: AtomicU64,
    peer_confirmed_ms: AtomicU64,
    has_peer_with_store: AtomicBool,
    is_outdated: AtomicBool,
    /// True if the latest configuration is invalid, so that an earlier one stays in force.
    is_latest_rejected: AtomicBool,
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
    /// Time since which messages have arrived without a longer pause, in milliseconds.
    connected_since_ms: AtomicU64,
    /// True if there was a longer pause before.
    was_interrupted: AtomicBool,
    confirmation: Confirmation,
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
            connected_since_ms: AtomicU64::new(0),
            was_interrupted: AtomicBool::new(false),
            confirmation: Confirmation::default(),
            started: Instant::now(),
        }
    }

    /// Records that a message from another instance has arrived.
    pub fn record_peer_contact(&self) {
        let now_ms = self.now_ms();
        let mut connection = self.connection();
        connection.record_message(now_ms);
        // Neither time goes back if a thread is delayed here. Release: a reader that sees the
        // message also sees whether it ended a pause.
        self.connected_since_ms.fetch_max(connection.since_ms(), Ordering::Relaxed);
        self.was_interrupted.fetch_or(connection.was_interrupted(), Ordering::Relaxed);
        self.last_contact_ms.fetch_max(now_ms, Ordering::Release);
    }

    /// Returns since when and until when messages from other instances have arrived.
    pub(crate) fn connection(&self) -> Connection {
        // Read in this order: otherwise the message that ends a pause may be seen without it.
        let last_contact_ms = self.last_contact_ms();
        let since_ms = self.connected_since_ms.load(Ordering::Relaxed);
        let was_interrupted = self.was_interrupted.load(Ordering::Relaxed);
        Connection::new(since_ms, last_contact_ms, was_interrupted)
    }

    /// Returns the time of the last message from another instance, in milliseconds, if any.
    pub(crate) fn last_contact_ms(&self) -> Option<u64> {
        Some(self.last_contact_ms.load(Ordering::Acquire)).filter(|&contact_ms| contact_ms > 0)
    }

    /// Records an answer of the store on the configuration, which the published view includes.
    ///
    /// `answered_ms` is a time at which the store's answer was current.
    pub fn record_store_confirmation(&self, answered_ms: u64) {
        // 0 stands for never. Release: a reader that sees the confirmation sees the view as well.
        self.confirmation.store_answered_ms.fetch_max(answered_ms.max(1), Ordering::Release);
    }

    /// Records what the other instances say about the configuration in force.
    ///
    /// `has_peer_with_store` is true if some live instance reports that it watches the store,
    /// `is_outdated` if the configuration in force is known not to be the latest.
    pub fn record_peer_state(&self, has_peer_with_store: bool, is_outdated: bool) {
        let confirmation = &self.confirmation;
        if has_peer_with_store && !is_outdated {
            let heard_ms = self.last_contact_ms().unwrap_or(0);
            confirmation.peer_confirmed_ms.fetch_max(heard_ms, Ordering::Release);
        }
        confirmation.has_peer_with_store.store(has_peer_with_store, Ordering::Release);
        confirmation.is_outdated.store(is_outdated, Ordering::Release);
    }

    /// Records whether the latest configuration is invalid, so that an earlier one stays in force.
    pub(crate) fn record_rejection(&self, is_latest_rejected: bool) {
        self.confirmation.is_latest_rejected.store(is_latest_rejected, Ordering::Release);
    }

    /// Returns the confirmations of the configuration.
    ///
    /// They must be read before the view. With the opposite order, a configuration confirmed in
    /// between would vouch for the older one that was read.
    #[must_use]
    pub fn configuration_sources(&self) -> ConfigurationSources {
        let confirmation = &self.confirmation;
        let time = |at_ms: &AtomicU64| Some(at_ms.load(Ordering::Acquire)).filter(|&at| at > 0);
        ConfigurationSources {
            store_answered_ms: time(&confirmation.store_answered_ms),
            peer_heard_ms: self.last_contact_ms(),
            has_peer_with_store: confirmation.has_peer_with_store.load(Ordering::Acquire),
            peer_confirmed_ms: time(&confirmation.peer_confirmed_ms),
            is_outdated: confirmation.is_outdated.load(Ordering::Acquire)
                || confirmation.is_latest_rejected.load(Ordering::Acquire),
        }
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
