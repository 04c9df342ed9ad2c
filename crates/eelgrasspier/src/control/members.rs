//! Gossip, the platform's instance list, and the connection shares derived from both.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::draining::ServerIncarnation;
use eelgrasspier_decide::membership::{
    Datagram, InstanceState, LeavingServer, ListedInstance, MembershipChange, OutgoingDatagram,
};
use eelgrasspier_decide::share::Agreement;
use futures_util::{Stream, StreamExt};

use super::Control;
use crate::event;

/// Time between two ticks of the membership timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause of the control thread after which it gives up its connection shares.
///
/// Other instances declare a silent instance dead after a few seconds. They take over its share
/// once the platform no longer lists it.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Minimum time between two reads of the platform's instance list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(3);
/// Time between reads per live instance, which keeps the rate of all instances at 20/s.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(50);

/// Time between reads while the list does not contain this instance yet.
const UNLISTED_POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn receive_datagrams(
    control: Rc<Control>,
    mut received: Pin<Box<dyn Stream<Item = (Datagram, SocketAddr)>>>,
) {
    while let Some((datagram, from)) = received.next().await {
        control.check_pause();
        control.shared.timeline.clock().observe(datagram.clock_stamp);
        let now_ms = control.shared.now_ms();
        let sends = control.membership.borrow_mut().receive(now_ms, from, &datagram);
        control.send(sends);
        control.refresh();
    }
}

impl Control {
    pub(super) async fn run_ticks(self: Rc<Self>) {
        loop {
            self.check_pause();
            let now_ms = self.shared.now_ms();
            let sends = self.membership.borrow_mut().tick(now_ms, rand::random());
            self.send(sends);
            self.contact_seeds();
            self.leaving.borrow_mut().remove_expired(now_ms);
            self.refresh();
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Gives up all connection shares after a pause in which others may have taken them over.
    fn check_pause(&self) {
        let paused = self.last_activity.replace(Instant::now()).elapsed();
        if paused < MAX_PAUSE {
            return;
        }
        self.record(event::PAUSED, &self.shared.settings.name, &format!("{paused:?}"));
        let own = self.membership.borrow().own().key();
        *self.agreement.borrow_mut() = Agreement::new(own);
        self.force_refresh();
        self.publish();
    }

    /// Makes the next refresh process the membership even if no record has changed.
    pub(super) fn force_refresh(&self) {
        self.processed_epoch.set(u64::MAX);
    }

    fn contact_seeds(&self) {
        const CONTACT_ONE_IN: u64 = 10;
        let mut membership = self.membership.borrow_mut();
        if membership.live_count() > 1 || !rand::random::<u64>().is_multiple_of(CONTACT_ONE_IN) {
            return;
        }
        let known = self.shared.settings.seeds.iter();
        let sends: Vec<OutgoingDatagram> =
            known.map(|&addr| membership.probe_address(addr)).collect();
        drop(membership);
        self.send(sends);
    }

    fn send(&self, sends: Vec<OutgoingDatagram>) {
        for mut send in sends {
            send.datagram.clock_stamp = self.shared.timeline.clock().stamp();
            drop(self.outbox.send(send));
        }
    }

    /// Processes membership changes: records events, updates shares and fetches newer texts.
    fn refresh(self: &Rc<Self>) {
        let changes = self.membership.borrow_mut().take_changes();
        let has_changes = !changes.is_empty();
        for change in changes {
            self.on_member_change(change);
        }
        let epoch = self.membership.borrow().change_count();
        if self.processed_epoch.replace(epoch) == epoch && !has_changes {
            return;
        }
        let has_changed_shares = self.update_agreement();
        if has_changed_shares || has_changes {
            self.publish();
            self.watch_roles_changed.notify_waiters();
        }
        self.fetch_newer_text();
    }

    fn on_member_change(&self, change: MembershipChange) {
        match change {
            // The next view contains the new state; no event is recorded.
            MembershipChange::StateChanged(_) | MembershipChange::Recovered(_) => {}
            MembershipChange::ReportReceived(report) => self.shared.apply_peer_report(&report),
            MembershipChange::Joined(name) => self.record(event::MEMBER_JOINED, &name, ""),
            MembershipChange::Suspected(name) => self.record(event::MEMBER_SUSPECT, &name, ""),
            MembershipChange::DeclaredDead(name) => self.record(event::MEMBER_DEAD, &name, ""),
            MembershipChange::Left(name) => self.record(event::MEMBER_LEFT, &name, ""),
            MembershipChange::Refuted => {
                self.record(event::REFUTED, &self.shared.settings.name, "");
            }
            MembershipChange::ServerLeaving(LeavingServer { address_hash, incarnation }) => {
                self.on_server_leaving(ServerIncarnation { address_hash, incarnation });
            }
        }
    }

    /// Updates the share agreement from the members; returns true if shares changed.
    fn update_agreement(&self) -> bool {
        if !self.can_agree() {
            return false;
        }
        let mut membership = self.membership.borrow_mut();
        let mut agreement = self.agreement.borrow_mut();
        let before = agreement.bounding_lists();
        agreement.set_members(&membership.possible_connection_holders());
        for member in membership.peers() {
            agreement.on_announcement(member.key(), member.share_digest);
        }
        let digest = agreement.digest();
        membership.update_own(|m| m.share_digest = digest);
        let has_changed_shares = agreement.bounding_lists() != before;
        if has_changed_shares {
            let about = &self.shared.settings.name;
            let lists = agreement.bounding_lists();
            let sizes: Vec<String> = lists.iter().map(|l| l.len().to_string()).collect();
            self.record(
                event::SHARE_CHANGED,
                about,
                &format!("member counts {}", sizes.join(", ")),
            );
        }
        has_changed_shares
    }

    /// Returns true if an instance holding connections, if there is one, is certainly known here.
    ///
    /// When many instances start at once, the instance list lags and is empty at first. Each
    /// instance would then agree with itself alone and claim all connections, exceeding the limit
    /// of a replica. Of two instances that both see themselves in the list, the later one also sees
    /// the earlier one. During an outage of the platform, a peer that is ready knows the others.
    fn can_agree(&self) -> bool {
        let membership = self.membership.borrow();
        self.is_listed.get() || membership.live_peers().any(|m| m.state() == InstanceState::Ready)
    }

    /// Records that a backend server is leaving and announces it to the other instances.
    pub(super) fn on_server_leaving(&self, server: ServerIncarnation) {
        let is_new = self.leaving.borrow_mut().record(server, self.shared.now_ms());
        if !is_new {
            return;
        }
        let ServerIncarnation { address_hash, incarnation } = server;
        let announcement = LeavingServer { address_hash, incarnation };
        self.membership.borrow_mut().announce_server_leaving(announcement);
        self.record(event::SERVER_LEAVING, &self.server_name(address_hash), "");
        self.publish();
    }

    fn server_name(&self, replica: u64) -> String {
        let services = self.services.borrow();
        let mut all = services.by_name.values().flat_map(|s| s.shards.iter().flatten());
        let known = all.find(|r| r.id == replica);
        known.map_or_else(|| format!("{replica:x}"), |r| r.addr.to_string())
    }

    /// Polls the platform's instance list; the interval grows with the number of instances.
    pub(super) async fn poll_instance_list(self: Rc<Self>) {
        loop {
            let read = self.store.instances().await;
            self.record_platform_state(read.is_ok());
            self.check_era();
            if let Ok(list) = read {
                let listed: Vec<ListedInstance> = list
                    .into_iter()
                    .filter_map(|l| {
                        let peer_addr = l.peer_addr.parse().ok()?;
                        Some(ListedInstance { name: l.name, zone: l.zone, peer_addr })
                    })
                    .collect();
                self.membership.borrow_mut().set_listed(&listed);
                let own = &self.shared.settings.name;
                if listed.iter().any(|l| l.name == *own) {
                    self.is_listed.set(true);
                    self.force_refresh();
                }
                self.refresh();
            }
            tokio::time::sleep(self.list_interval()).await;
        }
    }

    /// Rewrites data missing from the platform's store after it was restored from a copy.
    fn check_era(&self) {
        let era = self.store.era();
        let before = self.last_era.replace(era);
        if before == era {
            return;
        }
        self.record(event::RESTORED, &format!("era {era}"), &format!("previous era {before}"));
        self.restored.notify_waiters();
        for bucket in
            (0..eelgrasspier_store::BUCKET_COUNT).filter(|bucket| self.owns_bucket(*bucket))
        {
            self.claims.schedule_rewrite(bucket);
        }
    }

    fn list_interval(&self) -> Duration {
        if !self.is_listed.get() {
            return UNLISTED_POLL_INTERVAL;
        }
        let count = u32::try_from(self.membership.borrow().live_count()).unwrap_or(u32::MAX);
        let interval = MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_INSTANCE.saturating_mul(count));
        interval.mul_f64(rand::random_range(0.75..1.25))
    }

    /// Records an event when the platform stops or starts answering.
    pub(super) fn record_platform_state(&self, is_up: bool) {
        if self.is_platform_up.replace(is_up) != is_up {
            let event = if is_up { event::PLATFORM_UP } else { event::PLATFORM_DOWN };
            self.record(event, &self.shared.settings.platform_url, "");
        }
    }
}
