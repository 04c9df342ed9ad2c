//! The control thread: follows the store, gossips with other instances and publishes views.

mod apply;
mod fetch;
mod follow;
mod instances;
mod join;
mod members;
mod reports;
mod restore;
mod roles;
mod stored_suspects;
mod views;
mod watcher_checks;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::directory::ReplicaDirectory;
use eelgrasspier_decide::evacuations::Evacuations;
use eelgrasspier_decide::fleet_limit::GathererStability;
use eelgrasspier_decide::freshness::PeerReports;
use eelgrasspier_decide::history::{EraTracker, Position};
use eelgrasspier_decide::membership::{InstanceState, Member, Membership, OutgoingDatagram};
use eelgrasspier_decide::mirror::{Changes, Mirror};
use eelgrasspier_decide::pulls::ConcurrentPulls;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::route::{Configuration, RouteTable};
use eelgrasspier_decide::stale_entries::StaleEntries;
use eelgrasspier_decide::watcher_health::WatcherHealth;
use eelgrasspier_peer::{PeerConnections, wire};
use eelgrasspier_store::{CollectionKind, Collections, DecodeContent};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::view::{ReplicasByService, SharedState};
use stored_suspects::StoredSuspects;

/// Interval at which expirations and membership timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A request from another thread to the control thread.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Another instance requests the changes of a kind after a position.
    Changes { kind: CollectionKind, after: Position, reply: oneshot::Sender<Changes> },
    /// Another instance requests its member table.
    Members { reply: oneshot::Sender<wire::Members> },
    /// The traffic thread has new reports on requests that crash replicas.
    PublishReports(Vec<Report>),
    /// A planned stop begins.
    Stop,
}

/// The identity and fixed settings of this instance.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) seed_addrs: Vec<SocketAddr>,
    pub(crate) capacity_milli: u32,
    pub(crate) is_bootstrap: bool,
    pub(crate) is_evacuation_enabled: bool,
    pub(crate) heartbeat_interval: Duration,
}

/// The state of the control thread.
pub(crate) struct Control {
    shared: Arc<SharedState>,
    identity: Identity,
    store: Rc<dyn Collections>,
    decoder: Arc<dyn DecodeContent>,
    peer_connections: PeerConnections,
    membership: RefCell<Membership>,
    outbox: mpsc::UnboundedSender<OutgoingDatagram>,
    /// Sends reports of other instances on crashing requests to the traffic thread.
    reports_to_traffic: mpsc::UnboundedSender<Vec<Report>>,
    mirrors: RefCell<HashMap<CollectionKind, Mirror>>,
    directory: RefCell<ReplicaDirectory>,
    /// Zones whose replicas must not receive requests.
    evacuations: RefCell<Evacuations>,
    /// Replicas of the directory that accept new requests, by service.
    replicas: RefCell<Arc<ReplicasByService>>,
    /// Time until which each rate-limited replica is cold.
    cold_until_ms: RefCell<Arc<HashMap<Arc<str>, u64>>>,
    /// Time since which the set of gathering instances of each zone is unchanged.
    gatherer_stability: RefCell<GathererStability>,
    /// Addresses of instances in other zones, as of the last published view.
    remote_zone_addrs: RefCell<HashSet<SocketAddr>>,
    /// Counter of the membership at which members were last compared with the published view.
    presence_count: Cell<u64>,
    /// True if members have changed since the last published view.
    has_member_changes: Cell<bool>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    route_table: RefCell<Arc<RouteTable>>,
    /// Time of the store's last answer, in milliseconds.
    store_answered_ms: Cell<u64>,
    is_store_up: Cell<bool>,
    /// The era of the store, which increases with each restore from a backup.
    eras: RefCell<EraTracker>,
    /// The last era reported by the store that was lower than a known one.
    regressed_era: Cell<Option<u64>>,
    /// Wakes store calls that began before a restore.
    store_restored: Notify,
    /// True once another instance has sent what a restored store may lack, or that wait timed out.
    is_confirmed: Cell<bool>,
    /// Whether other instances confirm the configuration in force.
    peer_reports: RefCell<PeerReports>,
    /// Number of other instances that report the store as reachable.
    peers_reaching_store: Cell<usize>,
    /// Signalled when the store becomes reachable for another instance after being so for none.
    peer_reached_store: Notify,
    /// True if some other instance reports the store as unreachable.
    has_peer_without_store: Cell<bool>,
    /// Time at which a non-watching instance last announced its positions, in milliseconds.
    announced_ms: Cell<u64>,
    /// Time since which only instances of other zones are ahead, in milliseconds.
    behind_since_ms: RefCell<HashMap<CollectionKind, u64>>,
    /// Health of the watchers, if this instance replaces them when they are lost.
    watcher_health: RefCell<WatcherHealth>,
    /// Membership epoch at which roles were last evaluated.
    roles_epoch: Cell<u64>,
    /// True if this instance was a watcher when roles were last evaluated.
    was_watcher: Cell<bool>,
    /// Listed instances that are not alive.
    stale_entries: RefCell<StaleEntries>,
    /// Fleet size according to the store's entries; `None` until they have been read.
    listed_fleet_size: Cell<Option<u64>>,
    /// Changes that are being fetched from other instances.
    pulls: RefCell<HashMap<CollectionKind, ConcurrentPulls>>,
    /// Wakes tasks when roles may have changed.
    roles_changed: Notify,
    /// State of the crashing requests that the store holds.
    stored_suspects: StoredSuspects,
}

impl Control {
    /// Starts all control tasks on the calling thread.
    ///
    /// # Errors
    /// Fails if the gossip socket can't be bound.
    pub(crate) async fn start(
        shared: Arc<SharedState>,
        identity: Identity,
        (store, decoder): (Rc<dyn Collections>, Arc<dyn DecodeContent>),
        requests: mpsc::UnboundedReceiver<ControlRequest>,
        reports_to_traffic: mpsc::UnboundedSender<Vec<Report>>,
    ) -> std::io::Result<()> {
        let (gossip, received) = eelgrasspier_peer::GossipSender::bind(identity.peer_addr).await?;
        let (outbox, outgoing) = mpsc::unbounded_channel();
        let is_bootstrap = identity.is_bootstrap;
        let control = Rc::new(Self {
            membership: RefCell::new(Membership::new(own_member(&identity))),
            // These messages need no ordering, so the clock stamp is constant.
            peer_connections: PeerConnections::new(Rc::new(|| 0)),
            shared,
            identity,
            store,
            decoder,
            outbox,
            reports_to_traffic,
            mirrors: RefCell::default(),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            replicas: RefCell::default(),
            cold_until_ms: RefCell::default(),
            gatherer_stability: RefCell::default(),
            remote_zone_addrs: RefCell::default(),
            presence_count: Cell::new(0),
            has_member_changes: Cell::new(false),
            configuration: RefCell::default(),
            route_table: RefCell::default(),
            store_answered_ms: Cell::new(0),
            is_store_up: Cell::new(true),
            eras: RefCell::default(),
            regressed_era: Cell::new(None),
            store_restored: Notify::new(),
            is_confirmed: Cell::new(is_bootstrap),
            peer_reports: RefCell::default(),
            peers_reaching_store: Cell::new(0),
            peer_reached_store: Notify::new(),
            has_peer_without_store: Cell::new(false),
            announced_ms: Cell::new(0),
            behind_since_ms: RefCell::default(),
            watcher_health: RefCell::default(),
            roles_epoch: Cell::new(0),
            was_watcher: Cell::new(false),
            stale_entries: RefCell::default(),
            listed_fleet_size: Cell::new(None),
            pulls: RefCell::default(),
            roles_changed: Notify::new(),
            stored_suspects: StoredSuspects::default(),
        });
        actix_rt::spawn(gossip.send_all(outgoing));
        actix_rt::spawn(members::receive_all(Rc::clone(&control), Box::pin(received)));
        actix_rt::spawn(Rc::clone(&control).follow(CollectionKind::Configuration));
        actix_rt::spawn(Rc::clone(&control).follow(CollectionKind::Replicas));
        if control.identity.is_evacuation_enabled {
            actix_rt::spawn(Rc::clone(&control).follow(CollectionKind::Evacuations));
        }
        actix_rt::spawn(Rc::clone(&control).follow_instances());
        actix_rt::spawn(Rc::clone(&control).join());
        actix_rt::spawn(Rc::clone(&control).confirm_with_peer());
        actix_rt::spawn(Rc::clone(&control).rewrite_suspects_after_restores());
        actix_rt::spawn(Rc::clone(&control).load_suspects_at_start());
        actix_rt::spawn(Rc::clone(&control).write_due_suspects());
        actix_rt::spawn(Rc::clone(&control).tick());
        actix_rt::spawn(control.answer_requests(requests));
        Ok(())
    }

    async fn answer_requests(
        self: Rc<Self>,
        mut requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) {
        while let Some(request) = requests.recv().await {
            match request {
                ControlRequest::Changes { kind, after, reply } => {
                    let mirrors = self.mirrors.borrow();
                    let changes = mirrors.get(&kind).map(|m| m.changes_since(after));
                    // The requester may have disconnected.
                    let _is_disconnected = reply.send(changes.unwrap_or_default()).is_err();
                }
                ControlRequest::Members { reply } => {
                    let membership = self.membership.borrow();
                    let reports = membership.reports(self.shared.now_ms());
                    let answer = wire::Members { members: membership.live_records(), reports };
                    let _is_disconnected = reply.send(answer).is_err();
                }
                ControlRequest::PublishReports(reports) => self.send_reports(&reports),
                ControlRequest::Stop => self.announce_leaving(),
            }
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            self.expire_retained();
            if self.directory.borrow_mut().expire(self.shared.now_ms()) {
                log::info!("event=lapsed_entries_dropped");
                self.rebuild_replicas();
                self.publish();
            }
            self.tick_members();
            if self.has_member_changes.get() || self.has_fleet_size_changed() {
                self.publish();
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }
}

fn own_member(identity: &Identity) -> Member {
    let since_unix_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // Only orders restarts. If a predecessor had a higher value, this one is raised after it as
    // soon as gossip reports it.
    let incarnation = since_unix_epoch.map_or(1, |d| u64::try_from(d.as_millis()).unwrap_or(1));
    Member {
        name: identity.name.clone(),
        incarnation,
        revision: 1,
        state: InstanceState::Starting as i32,
        zone: identity.zone.clone(),
        peer_addr: identity.peer_addr.to_string(),
        is_store_reached: true,
        capacity_milli: identity.capacity_milli,
        ..Member::default()
    }
}
