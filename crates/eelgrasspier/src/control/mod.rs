//! The control thread: membership, configuration, connection shares and claims.

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

use eelgrasspier_decide::config::ConfigInForce;
use eelgrasspier_decide::draining::DrainingServers;
use eelgrasspier_decide::membership::{InstanceState, Member, Membership, OutgoingDatagram};
use eelgrasspier_decide::prelude::Services;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::share::Agreement;
use eelgrasspier_peer::PeerConnections;
use eelgrasspier_store::{Claims, HttpStore, ObjectStore};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::event;
use crate::shared::{ControlRequest, SharedRef};
use crate::view::{Peer, View};

/// Number of instances that receive a stop or a report directly; gossip informs the others.
const MAX_DIRECT_SENDS: usize = 16;
/// Time for the last datagrams to be sent before the process exits.
const DATAGRAM_FLUSH_TIME: Duration = Duration::from_millis(200);

/// State of the control thread.
pub(crate) struct Control {
    shared: SharedRef,
    store: Rc<dyn ObjectStore>,
    peer_connections: PeerConnections,
    claims: Claims,
    membership: RefCell<Membership>,
    agreement: RefCell<Agreement>,
    in_force: RefCell<ConfigInForce>,
    services: RefCell<Arc<Services>>,
    /// Stored text object in force, sent to other instances on request.
    stored: RefCell<Option<bytes::Bytes>>,
    leaving: RefCell<DrainingServers>,
    outbox: mpsc::UnboundedSender<OutgoingDatagram>,
    state: Cell<InstanceState>,
    serial: Cell<u64>,
    last_activity: Cell<Instant>,
    is_fetching: Cell<bool>,
    is_platform_up: Cell<bool>,
    /// Era of the platform at the last check; it changes when the platform is restored.
    last_era: Cell<u64>,
    /// Wakes the text watcher after the platform was restored.
    restored: Notify,
    /// True once another instance has answered a request for its text.
    is_confirmed: Cell<bool>,
    /// Membership epoch that was last processed.
    processed_epoch: Cell<u64>,
    /// True once the platform's instance list contains this instance.
    is_listed: Cell<bool>,
    /// Wakes the text watcher when the choice of watching instances may have changed.
    watch_roles_changed: Notify,
}

/// Listener and addresses of this instance.
pub(crate) struct Sockets {
    pub(crate) listener: TcpListener,
    pub(crate) peer_addr: std::net::SocketAddr,
    pub(crate) http_addr: std::net::SocketAddr,
}

impl Control {
    /// Creates the control state on the calling thread and starts its tasks.
    ///
    /// # Errors
    /// Fails if the gossip socket cannot be bound.
    pub(crate) async fn start(
        shared: SharedRef,
        sockets: Sockets,
        requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> std::io::Result<()> {
        let (gossip, received) = eelgrasspier_peer::GossipSender::bind(sockets.peer_addr).await?;
        let (outbox, outgoing) = mpsc::unbounded_channel();
        let settings = &shared.settings;
        let store: Rc<dyn ObjectStore> =
            Rc::new(HttpStore::new(&settings.platform_url, settings.platform_timeout_ms));
        let clock_owner = Arc::clone(&shared);
        let member = own_member(&shared, &sockets);
        let control = Rc::new(Self {
            peer_connections: PeerConnections::new(Rc::new(move || {
                clock_owner.timeline.clock().stamp()
            })),
            claims: Claims::new(Rc::clone(&store)),
            store,
            agreement: RefCell::new(Agreement::new(member.key())),
            membership: RefCell::new(Membership::new(member)),
            in_force: RefCell::default(),
            services: RefCell::default(),
            stored: RefCell::default(),
            leaving: RefCell::default(),
            outbox,
            state: Cell::new(InstanceState::Starting),
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
                ControlRequest::Submit { submit_request, reply } => {
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        drop(reply.send(control.submit(submit_request).await));
                    });
                }
                ControlRequest::Text { reply } => {
                    // The receiver may have been dropped; then the answer is discarded.
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
                ControlRequest::BeginStop => self.set_state(InstanceState::Leaving),
                ControlRequest::AnnounceLeft { reply } => self.announce_left(reply),
            }
        }
    }

    /// Sends a report about a request that crashes backend servers to other instances.
    fn send_report(&self, report: Report) {
        let limits = (MAX_DIRECT_SENDS, MAX_DIRECT_SENDS);
        let now_ms = self.shared.now_ms();
        let mut membership = self.membership.borrow_mut();
        for send in membership.broadcast_reports(&[report], now_ms, limits, rand::random()) {
            drop(self.outbox.send(send));
        }
    }

    fn set_state(&self, state: InstanceState) {
        if self.state.replace(state) != state {
            self.membership.borrow_mut().update_own(|m| m.state = state as i32);
            self.publish();
        }
    }

    /// Announces that all connections are closed, so that other instances can use the freed share.
    fn announce_left(&self, reply: oneshot::Sender<()>) {
        self.set_state(InstanceState::Left);
        for send in self.membership.borrow_mut().broadcast_own_record(
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

    /// Publishes the current state to the traffic threads.
    fn publish(&self) {
        if self.state.get() == InstanceState::Starting && self.can_serve() {
            self.state.set(InstanceState::Ready);
            self.membership.borrow_mut().update_own(|m| m.state = InstanceState::Ready as i32);
            self.record(event::READY, &self.shared.settings.name, "");
        }
        self.serial.set(self.serial.get() + 1);
        let view = View {
            serial: self.serial.get(),
            version: self.in_force.borrow().version(),
            services: Arc::clone(&self.services.borrow()),
            own_key: self.membership.borrow().own().key(),
            share_bounds: self.agreement.borrow().bounding_lists(),
            leaving: self.leaving.borrow().clone(),
            peers: self.peers(),
            state: self.state.get(),
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Returns true if a starting instance has all that it needs to serve callers.
    ///
    /// The platform may return an old version of the text. Members announce the version that they
    /// have in force, and a share is agreed on only after a message from each of them, so a ready
    /// instance has the newest version known to any member.
    fn can_serve(&self) -> bool {
        let membership = self.membership.borrow();
        if membership.live_peers().any(|m| self.needs_confirmation_from(m)) {
            return false;
        }
        let newest = membership.live_peers().map(|m| m.config_version).max();
        let version = self.in_force.borrow().version();
        version.is_some()
            && version >= newest
            && !self.agreement.borrow().bounding_lists().is_empty()
    }

    fn peers(&self) -> Vec<Peer> {
        let membership = self.membership.borrow();
        let peer = |m: &Member| {
            let is_ready = m.state() == InstanceState::Ready;
            Some(Peer { key: m.key(), addr: m.peer_addr.parse().ok()?, is_ready })
        };
        membership
            .live_peers()
            .filter(|m| m.state() <= InstanceState::Ready)
            .filter_map(peer)
            .collect()
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
