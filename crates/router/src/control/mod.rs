//! The control thread: follows the store and the other instances, publishes views.

mod duties;
mod fetch;
mod follow;
mod instances;
mod join;
mod kept;
mod members;
mod reports;
mod restore;
mod take;
mod views;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::cold::Settled;
use eelgrasspier_decide::directory::Directory;
use eelgrasspier_decide::evacuations::Evacuations;
use eelgrasspier_decide::history::{Eras, Position};
use eelgrasspier_decide::membership::{Member, Membership, Send, State};
use eelgrasspier_decide::mirror::{Changes, Mirror};
use eelgrasspier_decide::pulls::Pulls;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::roster::Roster;
use eelgrasspier_decide::route::{Configuration, RouteTable};
use eelgrasspier_peer::{Links, wire};
use eelgrasspier_store::{Collections, Decode, Kind};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::view::{Replicas, Shared};
use kept::Kept;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// What other threads ask of the control thread.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Another instance wants changes of a kind above a place.
    Changes { kind: Kind, above: Position, done: oneshot::Sender<Changes> },
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
    pub(crate) heartbeat: Duration,
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
    /// How often the store has been restored from a copy.
    eras: RefCell<Eras>,
    /// The last era of the store that was told though a later one was known.
    told_back: Cell<Option<u64>>,
    /// Wakes those whose call of the store began before a restore.
    restored: Notify,
    /// Whether another instance was asked what it knows, which a restored store may lack.
    is_confirmed: Cell<bool>,
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
        let is_first_start = identity.is_first_start;
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
            eras: RefCell::default(),
            told_back: Cell::new(None),
            restored: Notify::new(),
            is_confirmed: Cell::new(is_first_start),
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
        actix_rt::spawn(Rc::clone(&control).confirm());
        actix_rt::spawn(Rc::clone(&control).keep_again_after_restores());
        actix_rt::spawn(Rc::clone(&control).recall_kept());
        actix_rt::spawn(Rc::clone(&control).follow_due());
        actix_rt::spawn(Rc::clone(&control).tick());
        actix_rt::spawn(control.answer_asks(asks));
        Ok(())
    }

    async fn answer_asks(self: Rc<Self>, mut asks: mpsc::UnboundedReceiver<Ask>) {
        while let Some(ask) = asks.recv().await {
            match ask {
                Ask::Changes { kind, above, done } => {
                    let mirrors = self.mirrors.borrow();
                    let changes = mirrors.get(&kind).map(|m| m.since(above));
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
            self.expire_kept();
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
