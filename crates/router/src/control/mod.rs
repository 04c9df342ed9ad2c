//! The control thread: follows the store and the other instances, publishes views.

mod duties;
mod fetch;
mod follow;
mod instances;
mod join;
mod kept;
mod members;
mod reports;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::cold::Settled;
use eelgrasspier_decide::directory::{Directory, EntryChange, ReplicaEntry};
use eelgrasspier_decide::evacuations::{Evacuations, ZoneChange};
use eelgrasspier_decide::membership::{Member, Membership, Send, State};
use eelgrasspier_decide::mirror::{Changes, Effect, Mirror};
use eelgrasspier_decide::pulls::Pulls;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::roster::Roster;
use eelgrasspier_decide::route::{Configuration, RouteTable};
use eelgrasspier_peer::{Links, wire};
use eelgrasspier_store::{Collections, Decode, Kind};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::view::{Peer, Replicas, Shared, View};
use kept::Kept;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// What other threads ask of the control thread.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Another instance wants changes of a kind above a revision.
    Changes { kind: Kind, revision: u64, done: oneshot::Sender<Changes> },
    /// Another instance wants the records of all instances.
    Members { done: oneshot::Sender<wire::Members> },
    /// Something was found out of requests that end replicas.
    Tell(Vec<Report>),
    /// A planned stop begins.
    Stop,
}

/// This instance as others see it.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) capacity_milli: u32,
    pub(crate) is_first_start: bool,
    pub(crate) has_evacuations: bool,
}

/// The state of the control thread.
pub(crate) struct Control {
    shared: Arc<Shared>,
    identity: Identity,
    store: Rc<dyn Collections>,
    decode: Arc<dyn Decode>,
    links: Links,
    membership: RefCell<Membership>,
    outbox: mpsc::UnboundedSender<Send>,
    /// To the traffic thread: what others know of requests that end replicas.
    told: mpsc::UnboundedSender<Vec<Report>>,
    mirrors: RefCell<HashMap<Kind, Mirror>>,
    directory: RefCell<Directory>,
    /// Zones whose replicas are to get nothing.
    evacuations: RefCell<Evacuations>,
    /// Replicas of the directory that take new work, by service.
    replicas: RefCell<Arc<Replicas>>,
    /// Until when replicas are cold, where what they get is bounded.
    cold_until_ms: RefCell<Arc<HashMap<Arc<str>, u64>>>,
    /// Since when those of each zone who gather are the same.
    settled: RefCell<Settled>,
    /// Addresses of instances in other zones, as of the last view.
    far_addrs: RefCell<HashSet<SocketAddr>>,
    /// Whether members have changed since the last view.
    has_member_news: Cell<bool>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    table: RefCell<Arc<RouteTable>>,
    /// When the store last answered, in milliseconds.
    heard_ms: Cell<u64>,
    is_store_up: Cell<bool>,
    /// Other instances that the store answers, as they say.
    answered_by_store: Cell<usize>,
    /// Rings when the store answers another instance, after it answered none.
    store_answers_another: Notify,
    /// Whether some instance said that the store does not answer it.
    is_any_turned_away: Cell<bool>,
    /// When an instance that does not watch last told what it has taken in.
    told_ms: Cell<u64>,
    /// Since when only instances of other zones have seen more, in milliseconds.
    behind_since_ms: RefCell<HashMap<Kind, u64>>,
    /// The members' epoch from which duties were last drawn.
    seen_epoch: Cell<u64>,
    /// Who is listed and not there.
    roster: RefCell<Roster>,
    /// Instances of the fleet as the store's entries say, once these were read.
    listed_fleet: Cell<Option<u64>>,
    /// Changes that are being pulled from other instances.
    pulls: RefCell<HashMap<Kind, Pulls>>,
    /// Wakes those whose duties may have changed.
    duties: Notify,
    /// What the store keeps of requests that end replicas.
    kept: Kept,
}

impl Control {
    /// Starts all of control on the thread that calls it.
    ///
    /// # Errors
    /// Fails if the gossip socket can't be bound.
    pub(crate) async fn start(
        shared: Arc<Shared>,
        identity: Identity,
        (store, decode): (Rc<dyn Collections>, Arc<dyn Decode>),
        asks: mpsc::UnboundedReceiver<Ask>,
        told: mpsc::UnboundedSender<Vec<Report>>,
    ) -> std::io::Result<()> {
        let (gossip, received) = eelgrasspier_peer::Gossip::bind(identity.peer_addr).await?;
        let (outbox, outgoing) = mpsc::unbounded_channel();
        let control = Rc::new(Self {
            membership: RefCell::new(Membership::new(own_member(&identity))),
            // Nobody orders these frames, so they carry no clock stamp.
            links: Links::new(Rc::new(|| 0)),
            shared,
            identity,
            store,
            decode,
            outbox,
            told,
            mirrors: RefCell::default(),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            replicas: RefCell::default(),
            cold_until_ms: RefCell::default(),
            settled: RefCell::default(),
            far_addrs: RefCell::default(),
            has_member_news: Cell::new(false),
            configuration: RefCell::default(),
            table: RefCell::default(),
            heard_ms: Cell::new(0),
            is_store_up: Cell::new(true),
            answered_by_store: Cell::new(0),
            store_answers_another: Notify::new(),
            is_any_turned_away: Cell::new(false),
            told_ms: Cell::new(0),
            behind_since_ms: RefCell::default(),
            seen_epoch: Cell::new(0),
            roster: RefCell::default(),
            listed_fleet: Cell::new(None),
            pulls: RefCell::default(),
            duties: Notify::new(),
            kept: Kept::default(),
        });
        actix_rt::spawn(gossip.send_all(outgoing));
        actix_rt::spawn(members::receive_all(Rc::clone(&control), Box::pin(received)));
        actix_rt::spawn(Rc::clone(&control).follow(Kind::Configuration));
        actix_rt::spawn(Rc::clone(&control).follow(Kind::Replicas));
        if control.identity.has_evacuations {
            actix_rt::spawn(Rc::clone(&control).follow(Kind::Evacuations));
        }
        actix_rt::spawn(Rc::clone(&control).follow_instances());
        actix_rt::spawn(Rc::clone(&control).join());
        actix_rt::spawn(Rc::clone(&control).recall_kept());
        actix_rt::spawn(Rc::clone(&control).follow_due());
        actix_rt::spawn(Rc::clone(&control).tick());
        actix_rt::spawn(control.answer_asks(asks));
        Ok(())
    }

    async fn answer_asks(self: Rc<Self>, mut asks: mpsc::UnboundedReceiver<Ask>) {
        while let Some(ask) = asks.recv().await {
            match ask {
                Ask::Changes { kind, revision, done } => {
                    let mirrors = self.mirrors.borrow();
                    let changes = mirrors.get(&kind).map(|m| m.since(revision));
                    // The asker's connection may have gone meanwhile.
                    let _gone = done.send(changes.unwrap_or_default()).is_err();
                }
                Ask::Members { done } => {
                    let membership = self.membership.borrow();
                    let reports = membership.reports(self.shared.now_ms());
                    let answer = wire::Members { members: membership.table(), reports };
                    let _gone = done.send(answer).is_err();
                }
                Ask::Tell(reports) => self.tell_reports(&reports),
                Ask::Stop => self.leave(),
            }
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            if self.directory.borrow_mut().expire(self.shared.now_ms()) {
                log::info!("event=lapsed_entries_dropped");
                self.list_replicas();
                self.publish();
            }
            self.tick_members();
            if self.has_member_news.get() {
                self.publish();
            }
            tokio::time::sleep(TICK).await;
        }
    }

    /// Takes changes into the copy and draws the conclusions.
    fn take(&self, kind: Kind, changes: &Changes, source: &str) {
        let (effects, was_filled) = {
            let mut mirrors = self.mirrors.borrow_mut();
            let mirror = mirrors.entry(kind).or_default();
            let was_filled = mirror.is_filled();
            (mirror.apply(changes), was_filled)
        };
        let mut has_changed = !was_filled && changes.is_whole;
        // Told even where nothing changes here, such as an entry that is kept for a while:
        // the others would hear of it only by their next poll.
        let has_news = has_changed || !effects.is_empty();
        if has_changed {
            // One line in place of one for each: a fleet that starts wrote most of its lines here.
            log::info!(
                "event=listed kind={kind:?} entries={} as_of={} source={source}",
                changes.objects.len(),
                changes.as_of
            );
        }
        let is_first = has_changed;
        for effect in effects {
            has_changed |= match kind {
                Kind::Replicas => self.take_replica(effect, changes.as_of, source, is_first),
                Kind::Configuration => self.take_configuration(effect, source),
                Kind::Evacuations => self.take_evacuation(effect, changes.as_of, source),
                Kind::Instances | Kind::Suspects => false,
            };
        }
        if has_changed {
            self.list_replicas();
            self.publish();
        }
        if has_news {
            self.announce_changes();
        }
    }

    /// Takes one entry; `is_quiet` if its line is left out.
    fn take_replica(&self, effect: Effect, as_of: u64, source: &str, is_quiet: bool) -> bool {
        let change = match effect {
            Effect::Set(name, content) => match self.decode.replica(&name, &content) {
                Ok(entry) => EntryChange::Set(entry),
                Err(error) => {
                    log::warn!("event=entry_unreadable replica={name} cause=\"{error}\"");
                    EntryChange::Gone(name.as_str().into())
                }
            },
            Effect::Gone(name) => EntryChange::Gone(name.as_str().into()),
        };
        let text = match &change {
            EntryChange::Set(e) => format!(
                "replica={} service={} addr={} zone={} draining={} cold_left_ms={} report={}",
                e.id, e.service, e.addr, e.zone, e.is_draining, e.cold_left_ms, e.report.number
            ),
            EntryChange::Gone(id) => format!("replica={id} gone=true"),
        };
        let now_ms = self.shared.now_ms();
        let has_changed = self.directory.borrow_mut().apply(change, now_ms);
        let level = if is_quiet { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level,
            "event=replica_entry {text} as_of={as_of} source={source} applied={has_changed}"
        );
        has_changed
    }

    fn take_evacuation(&self, effect: Effect, as_of: u64, source: &str) -> bool {
        let change = match effect {
            Effect::Set(name, content) => {
                ZoneChange::Evacuated(self.decode.evacuated_zone(&name, &content))
            }
            Effect::Gone(name) => ZoneChange::TakenBack(name.into()),
        };
        let (event, zone) = match &change {
            ZoneChange::Evacuated(zone) => ("event=zone_evacuated", Arc::clone(zone)),
            ZoneChange::TakenBack(zone) => ("event=zone_taken_back", Arc::clone(zone)),
        };
        let mut evacuations = self.evacuations.borrow_mut();
        let has_changed = evacuations.apply(change, self.shared.now_ms());
        let evacuated = u32::try_from(evacuations.evacuated().count()).unwrap_or(u32::MAX);
        metrics::gauge!("eelgrasspier_evacuated_zones").set(f64::from(evacuated));
        let replicas = self.directory.borrow().entries().filter(|e| e.zone == zone).count();
        log::info!(
            "{event} zone={zone} replicas={replicas} as_of={as_of} source={source} \
             applied={has_changed}"
        );
        has_changed
    }

    fn take_configuration(&self, effect: Effect, source: &str) -> bool {
        let Effect::Set(_, content) = effect else {
            log::warn!("event=configuration_deleted source={source}");
            return false;
        };
        let configuration = match self.decode.configuration(&content) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!("event=configuration_unreadable cause=\"{error}\"");
                return false;
            }
        };
        let version = configuration.version;
        let known = self.configuration.borrow().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= version) {
            log::warn!("event=configuration_stale version={version} in_force={known:?}");
            return false;
        }
        let routes = configuration.routes.len();
        *self.table.borrow_mut() = Arc::new(RouteTable::from(&configuration));
        *self.configuration.borrow_mut() = Some(Arc::new(configuration));
        log::info!(
            "event=configuration version={version} before={known:?} routes={routes} source={source}"
        );
        true
    }

    /// Lists the replicas that take new work anew.
    ///
    /// Only where entries have changed: members change more often, and a view of 400 replicas
    /// takes most of its time for them.
    fn list_replicas(&self) {
        let mut replicas = Replicas::new();
        let evacuations = self.evacuations.borrow();
        let takes_work =
            |e: &&Arc<ReplicaEntry>| !e.is_draining && !evacuations.is_evacuated(&e.zone);
        for entry in self.directory.borrow().entries().filter(takes_work) {
            replicas.entry(Arc::clone(&entry.service)).or_default().push(Arc::clone(entry));
        }
        *self.cold_until_ms.borrow_mut() = Arc::new(self.list_cold(&replicas));
        *self.replicas.borrow_mut() = Arc::new(replicas);
    }

    /// Replicas that are cold, or may be, with until when; of services that bound what those get.
    fn list_cold(&self, replicas: &Replicas) -> HashMap<Arc<str>, u64> {
        let now_ms = self.shared.now_ms();
        let (configuration, directory) = (self.configuration.borrow(), self.directory.borrow());
        let evacuations = self.evacuations.borrow();
        let mut cold = HashMap::new();
        let Some(configuration) = configuration.as_ref() else { return cold };
        for (service, all) in replicas {
            let limits = configuration.services.get(service);
            let Some(limits) = limits.filter(|l| l.cold_rate_milli > 0) else { continue };
            for replica in all {
                let told_ms = directory.cold_until_ms(replica);
                let presumed_ms = evacuations.cold_until_ms(&replica.zone, limits.warm_up_ms);
                let until_ms = told_ms.max(presumed_ms.unwrap_or(0));
                if until_ms > now_ms {
                    cold.insert(Arc::clone(&replica.id), until_ms);
                }
            }
        }
        cold
    }

    /// Notes who of each zone gathers, this instance included.
    fn note_gatherers(&self, peers: &[Peer], is_gatherer: bool) -> Arc<Settled> {
        let mut keys: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        for peer in peers.iter().filter(|p| p.is_gatherer) {
            keys.entry(Arc::clone(&peer.zone)).or_default().push(peer.candidate().key);
        }
        if is_gatherer {
            let own = self.membership.borrow().own().key();
            keys.entry(self.identity.zone.as_str().into()).or_default().push(own);
        }
        let mut settled = self.settled.borrow_mut();
        settled.note(keys, self.shared.now_ms());
        Arc::new(settled.clone())
    }

    fn publish(&self) {
        self.has_member_news.set(false);
        let peers = self.peers();
        let far = peers.iter().filter(|p| *p.zone != *self.identity.zone).map(|p| p.addr);
        *self.far_addrs.borrow_mut() = far.collect();
        let mirrors = self.mirrors.borrow();
        let is_listed = |kind| mirrors.get(&kind).is_some_and(Mirror::is_filled);
        // One that starts must not send to a zone that was evacuated before.
        let has_replicas = is_listed(Kind::Replicas)
            && (!self.identity.has_evacuations || is_listed(Kind::Evacuations));
        let is_gatherer = self.is_gatherer();
        let settled = self.note_gatherers(&peers, is_gatherer);
        let view = View {
            configuration: self.configuration.borrow().clone(),
            table: Arc::clone(&self.table.borrow()),
            replicas: Arc::clone(&self.replicas.borrow()),
            has_replicas,
            instances: self.instances(),
            is_gatherer,
            settled,
            cold_until_ms: Arc::clone(&self.cold_until_ms.borrow()),
            capacity_milli: self.identity.capacity_milli,
            peers: Arc::new(peers),
            ..View::default()
        };
        self.set_ready(view.is_ready());
        self.shared.publish(view.share_out(&self.identity.zone));
    }
}

fn own_member(identity: &Identity) -> Member {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // Only an order of starts; a predecessor with a higher one is overtaken when heard of.
    let incarnation = since_epoch.map_or(1, |d| u64::try_from(d.as_millis()).unwrap_or(1));
    Member {
        name: identity.name.clone(),
        incarnation,
        revision: 1,
        state: State::Starting as i32,
        zone: identity.zone.clone(),
        peer_addr: identity.peer_addr.to_string(),
        is_store_reached: true,
        capacity_milli: identity.capacity_milli,
        ..Member::default()
    }
}
