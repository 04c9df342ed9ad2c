//! The immutable view of control state that the traffic thread works from.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::Instant;

use arc_swap::ArcSwap;
use eelgrasspier_decide::allowance;
use eelgrasspier_decide::cold::Settled;
use eelgrasspier_decide::connections::{LEAST_CONNECTIONS, Part, Place};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::gatherers::Candidate;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::route::{Configuration, RouteTable};
use tokio::sync::Notify;

/// Another instance that gathers parts for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it takes connections of other instances.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it holds connections to its zone's replicas and gathers for others.
    pub is_gatherer: bool,
    /// Its processor time, in thousandths of a core.
    pub capacity_milli: u32,
}

impl Peer {
    /// It, as one that gathers.
    #[must_use]
    pub fn candidate(&self) -> Candidate {
        let key = rendezvous::hash(&self.name);
        Candidate { key, capacity_milli: self.capacity_milli }
    }
}

/// Replicas that take new work, by service.
pub type Replicas = HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>>;

/// One state of control, published as a whole.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force; `None` before there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// Its routes.
    pub table: Arc<RouteTable>,
    /// Replicas that take new work, by service.
    pub replicas: Arc<Replicas>,
    /// Whether the lists of replicas, and of zones that are evacuated, were ever read.
    pub has_replicas: bool,
    /// Instances that share connections and repeats, this one included.
    pub instances: u64,
    /// Instances of the fleet as far as the store's entries or others say, this one included.
    pub fleet: u64,
    /// Whether this instance holds connections to its zone's replicas.
    pub is_gatherer: bool,
    /// The processor time of this instance, in thousandths of a core.
    pub capacity_milli: u32,
    /// The other live instances.
    pub peers: Arc<Vec<Peer>>,
    /// This instance's part of the connections to the replicas of each zone.
    pub parts: Vec<(Arc<str>, Part)>,
    /// The other instances that gather.
    pub gatherers: Vec<Peer>,
    /// Zones in which some gather for others, who don't themselves.
    pub sliced_zones: HashSet<Arc<str>>,
    /// Number of instances by which the slack for repeats is divided for this one.
    pub slack_sharers: u64,
    /// Until when replicas are cold, in milliseconds, where what they get is bounded.
    pub cold_until_ms: Arc<HashMap<Arc<str>, u64>>,
    /// Since when those of each zone who may keep count of its cold replicas are the same.
    pub settled: Arc<Settled>,
}

impl View {
    /// Whether some instances of the zone gather for others, who don't themselves.
    #[must_use]
    pub fn is_sliced(&self, zone: &str) -> bool {
        self.sliced_zones.contains(zone)
    }

    /// Works out what each send goes by, for an instance in `own_zone`.
    ///
    /// Once for each view: parts of connections took a twentieth of the traffic thread's
    /// instructions at 40 shards when they were worked out for each send, and what counts all
    /// instances for each shard grows with the fleet times the shards.
    #[must_use]
    pub fn share_out(mut self, own_zone: &str) -> Self {
        self.gatherers = self.peers.iter().filter(|p| p.is_gatherer).cloned().collect();
        let idle = self.peers.iter().filter(|p| !p.is_gatherer).map(|p| Arc::clone(&p.zone));
        self.sliced_zones = idle.collect();
        if !self.is_gatherer {
            self.sliced_zones.insert(own_zone.into());
        }
        let gatherers = u64::try_from(self.gatherers.len()).unwrap_or(u64::MAX);
        self.slack_sharers =
            allowance::sharers_of_slack(self.instances, gatherers, self.is_gatherer);
        let mut zones: Vec<&Arc<str>> = self.replicas.values().flatten().map(|r| &r.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let part = |zone: &Arc<str>| (Arc::clone(zone), self.place(zone, own_zone).into());
        self.parts = zones.into_iter().map(part).collect();
        self
    }

    fn place(&self, zone: &str, own_zone: &str) -> Place {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let near_peers = number(self.gatherers.iter().filter(|p| &*p.zone == zone).count());
        let known = number(self.peers.len()) + 1;
        Place {
            is_near: zone == own_zone && self.is_gatherer,
            is_sliced: self.is_sliced(zone),
            near_peers,
            far_peers: number(self.gatherers.len()) - near_peers,
            unknown: u32::try_from(self.instances).unwrap_or(u32::MAX).saturating_sub(known),
        }
    }

    /// Connections that this instance may open to a replica in `zone` that accepts `all`.
    #[must_use]
    pub fn most_connections(&self, zone: &str, all: u32) -> u32 {
        let part = self.parts.iter().find(|(known, _)| **known == *zone);
        part.map_or(LEAST_CONNECTIONS, |(_, part)| part.of(all))
    }

    /// Whether connections to replicas are kept open after an answer.
    ///
    /// Where some gather for others, these send a replica little, such as requests to one replica
    /// of a service: one in ten seconds each. Kept, their idle connections were more than it
    /// accepts: 195 of 120, so that it reset 1,195 in the seconds after a loss of power, when those
    /// of the dead still counted.
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        self.is_gatherer
    }

    /// Connections that each replica of a service accepts, from everybody.
    #[must_use]
    pub fn accepted_connections(&self, service: &str) -> u32 {
        let limits = self.configuration.as_ref().and_then(|c| c.services.get(service));
        limits.map_or(LEAST_CONNECTIONS, |l| l.max_connections)
    }

    /// Whether a replica takes new work.
    #[must_use]
    pub fn lists(&self, replica: &ReplicaEntry) -> bool {
        let listed = self.replicas.get(&replica.service);
        listed.is_some_and(|all| all.iter().any(|r| r.id == replica.id))
    }

    /// Whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.has_replicas
    }
}

/// What the threads of one process share.
#[derive(Debug)]
pub struct Shared {
    /// The latest view.
    pub view: ArcSwap<View>,
    /// Rings when a new view was published.
    pub(crate) has_changed: Notify,
    /// When another instance was last heard of, in milliseconds; 0 for never.
    heard_ms: AtomicU64,
    started: Instant,
}

impl Default for Shared {
    fn default() -> Self {
        Self::new()
    }
}

impl Shared {
    /// No view yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            view: ArcSwap::default(),
            has_changed: Notify::new(),
            heard_ms: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    /// Notes that another instance was heard of.
    pub(crate) fn note_heard(&self) {
        self.heard_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// When another instance was last heard of, in milliseconds, if ever.
    pub(crate) fn heard_ms(&self) -> Option<u64> {
        Some(self.heard_ms.load(Ordering::Relaxed)).filter(|&heard_ms| heard_ms > 0)
    }

    /// Milliseconds since this process started.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Puts a view in force.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.has_changed.notify_one();
    }
}
