//! The control thread: membership, configuration, shares and claims.

mod claims;
mod gauges;
mod members;
mod peers;
mod status;
mod text;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::config::InForce;
use eelgrasspier_decide::leaving::Leaving;
use eelgrasspier_decide::membership::{Member, Membership, Send, State};
use eelgrasspier_decide::prelude::Services;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::share::Agreement;
use eelgrasspier_peer::Links;
use eelgrasspier_store::{Claims, HttpStore, ObjectStore};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::event;
use crate::shared::{ControlRequest, SharedRef};
use crate::view::{Peer, View};

/// Instances that are told of a stop or a finding at once; gossip tells the rest.
const MAX_DIRECT_SENDS: usize = 16;
/// Time for which the last datagrams may travel.
const DATAGRAM_FLUSH_TIME: Duration = Duration::from_millis(200);

/// The state of the control thread.
pub(crate) struct Control {
    shared: SharedRef,
    store: Rc<dyn ObjectStore>,
    links: Links,
    claims: Claims,
    membership: RefCell<Membership>,
    agreement: RefCell<Agreement>,
    in_force: RefCell<InForce>,
    services: RefCell<Arc<Services>>,
    /// The stored object in force, to be handed to other instances.
    stored: RefCell<Option<bytes::Bytes>>,
    leaving: RefCell<Leaving>,
    outbox: mpsc::UnboundedSender<Send>,
    state: Cell<State>,
    serial: Cell<u64>,
    last_activity: Cell<Instant>,
    is_fetching: Cell<bool>,
    is_platform_up: Cell<bool>,
    /// The platform's era as of the last look.
    last_era: Cell<u64>,
    /// Wakes the text's watcher after a restore of the platform.
    restored: Notify,
    /// Whether another instance that serves was asked for its text.
    is_confirmed: Cell<bool>,
    /// The members' epoch from which conclusions were last drawn.
    processed_epoch: Cell<u64>,
    /// Whether the platform's list has shown this instance.
    is_listed: Cell<bool>,
    /// Wakes the text's watcher when its duties may have changed.
    watch_roles_changed: Notify,
}

/// What the control thread serves.
pub(crate) struct Sockets {
    pub(crate) listener: TcpListener,
    pub(crate) peer_addr: std::net::SocketAddr,
    pub(crate) http_addr: std::net::SocketAddr,
}

impl Control {
    /// Starts all of control on the thread that calls it.
    pub(crate) async fn start(
        shared: SharedRef,
        sockets: Sockets,
        requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> std::io::Result<()> {
        let (gossip, received) = eelgrasspier_peer::Gossip::bind(sockets.peer_addr).await?;
        let (outbox, outgoing) = mpsc::unbounded_channel();
        let settings = &shared.settings;
        let store: Rc<dyn ObjectStore> =
            Rc::new(HttpStore::new(&settings.platform_url, settings.platform_timeout_ms));
        let clock_owner = Arc::clone(&shared);
        let member = own_member(&shared, &sockets);
        let control = Rc::new(Self {
            links: Links::new(Rc::new(move || clock_owner.timeline.clock().stamp())),
            claims: Claims::new(Rc::clone(&store)),
            store,
            agreement: RefCell::new(Agreement::new(member.key())),
            membership: RefCell::new(Membership::new(member)),
            in_force: RefCell::default(),
            services: RefCell::default(),
            stored: RefCell::default(),
            leaving: RefCell::default(),
            outbox,
            state: Cell::new(State::Starting),
            serial: Cell::new(0),
            last_activity: Cell::new(Instant::now()),
            is_fetching: Cell::new(false),
            is_platform_up: Cell::new(true),
            last_era: Cell::new(0),
            restored: Notify::new(),
            is_confirmed: Cell::new(false),
            processed_epoch: Cell::new(u64::MAX),
            is_listed: Cell::new(false),
            watch_roles_changed: Notify::new(),
            shared,
        });
        actix_rt::spawn(gossip.send_all(outgoing));
        actix_rt::spawn(members::receive_datagrams(Rc::clone(&control), Box::pin(received)));
        actix_rt::spawn(Rc::clone(&control).run_ticks());
        actix_rt::spawn(Rc::clone(&control).run_gauge_updates());
        actix_rt::spawn(Rc::clone(&control).poll_instance_list());
        actix_rt::spawn(Rc::clone(&control).follow_text());
        actix_rt::spawn(Rc::clone(&control).handle_requests(requests));
        actix_rt::spawn(eelgrasspier_peer::serve(sockets.listener, control));
        Ok(())
    }

    async fn handle_requests(
        self: Rc<Self>,
        mut requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) {
        while let Some(request) = requests.recv().await {
            match request {
                ControlRequest::Claim { key, nonce, until, reply } => {
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        drop(reply.send(control.claim(key, nonce, until).await));
                    });
                }
                ControlRequest::Release { key, nonce } => self.claims.release(key, nonce),
                ControlRequest::ServerLeaving(server) => self.on_server_leaving(server),
                ControlRequest::Submit { submitted, reply } => {
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        drop(reply.send(control.submit(submitted).await));
                    });
                }
                ControlRequest::Text { reply } => {
                    // Whoever asked may have gone; then nobody wants the answer.
                    let _send_failed = reply.send(self.text_in_force()).is_err();
                }
                ControlRequest::Status { reply } => {
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move { drop(reply.send(control.all_status().await)) });
                }
                ControlRequest::Timeline { about, from_stamp, reply } => {
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        drop(reply.send(control.all_events(&about, from_stamp).await));
                    });
                }
                ControlRequest::SendReport(report) => self.send_report(report),
                ControlRequest::BeginStop => self.set_state(State::Leaving),
                ControlRequest::AnnounceLeft { reply } => self.announce_left(reply),
            }
        }
    }

    /// Tells others what was found out of a request that ends backend servers.
    fn send_report(&self, report: Report) {
        let limits = (MAX_DIRECT_SENDS, MAX_DIRECT_SENDS);
        let now_ms = self.shared.now_ms();
        let mut membership = self.membership.borrow_mut();
        for send in membership.tell_reports(&[report], now_ms, limits, rand::random()) {
            drop(self.outbox.send(send));
        }
    }

    fn set_state(&self, state: State) {
        if self.state.replace(state) != state {
            self.membership.borrow_mut().update_own(|m| m.state = state as i32);
            self.publish();
        }
    }

    /// Tells the others that all connections are let go, so that they may grow.
    fn announce_left(&self, reply: oneshot::Sender<()>) {
        self.set_state(State::Left);
        for send in self.membership.borrow_mut().farewell(
            MAX_DIRECT_SENDS,
            MAX_DIRECT_SENDS,
            rand::random(),
        ) {
            drop(self.outbox.send(send));
        }
        actix_rt::spawn(async move {
            tokio::time::sleep(DATAGRAM_FLUSH_TIME).await;
            let _send_failed = reply.send(()).is_err();
        });
    }

    /// Publishes the present state to the traffic threads.
    fn publish(&self) {
        if self.state.get() == State::Starting && self.can_serve() {
            self.state.set(State::Ready);
            self.membership.borrow_mut().update_own(|m| m.state = State::Ready as i32);
            self.record(event::READY, &self.shared.settings.name, "");
        }
        self.serial.set(self.serial.get() + 1);
        let view = View {
            serial: self.serial.get(),
            version: self.in_force.borrow().version(),
            services: Arc::clone(&self.services.borrow()),
            own_key: self.membership.borrow().own().key(),
            bounds: self.agreement.borrow().bounds(),
            leaving: self.leaving.borrow().clone(),
            peers: self.peers(),
            state: self.state.get(),
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Whether a starting instance has all that it needs to serve callers.
    ///
    /// The platform may answer with an old version. Members announce the version
    /// that they have in force, and a share is agreed on only once all of them were
    /// heard: whoever serves has the newest version that any of them knew.
    fn can_serve(&self) -> bool {
        let membership = self.membership.borrow();
        if membership.alive().any(|m| self.needs_confirmation_from(m)) {
            return false;
        }
        let newest = membership.alive().map(|m| m.config_version).max();
        let version = self.in_force.borrow().version();
        version.is_some() && version >= newest && !self.agreement.borrow().bounds().is_empty()
    }

    fn peers(&self) -> Vec<Peer> {
        let membership = self.membership.borrow();
        let peer = |m: &Member| {
            let is_ready = m.state() == State::Ready;
            Some(Peer { key: m.key(), addr: m.peer_addr.parse().ok()?, is_ready })
        };
        membership.alive().filter(|m| m.state() <= State::Ready).filter_map(peer).collect()
    }

    fn record(&self, event: crate::event::Event, about: &str, detail: &str) {
        self.shared.timeline.record(event, about, detail);
    }
}

fn own_member(shared: &SharedRef, sockets: &Sockets) -> Member {
    Member {
        name: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        revision: 1,
        zone: shared.settings.zone.clone(),
        peer_addr: sockets.peer_addr.to_string(),
        http_addr: sockets.http_addr.to_string(),
        ..Member::default()
    }
}
