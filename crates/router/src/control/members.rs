//! Gossip with the other instances: membership and announcements.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use eelgrasspier_decide::membership::{
    Datagram, InstanceState, Member, MembershipChange, OutgoingDatagram,
};
use eelgrasspier_decide::mirror::Mirror;
use eelgrasspier_store::CollectionKind;
use futures_util::{Stream, StreamExt};
use prost::Message;

use super::Control;
use crate::traffic_metrics::{self, TrafficCause};

/// Maximum number of instances that are notified of a change directly, own zone first.
///
/// Gossip notifies the rest. In a zone with many more instances it is too slow for a configuration.
/// A datagram has about 150 bytes.
pub(super) const MAX_NOTIFIED: usize = 100;
/// Maximum number of instances of other zones among those notified directly.
///
/// It covers the fetching instance of each zone and some more in case one of them is lost. With
/// many more, the notifications of a change cost more bytes between zones than the change.
pub(super) const MAX_REMOTE_NOTIFIED: usize = 16;
/// Minimum interval between announcements of an instance that others need not fetch from, in ms.
const ANNOUNCE_INTERVAL_MS: u64 = 30_000;
/// Average number of ticks between probes of the seeds while no other instance is known.
const MEAN_TICKS_PER_SEED_PROBE: u64 = 5;

pub(super) async fn receive_all(
    control: Rc<Control>,
    mut received: Pin<Box<dyn Stream<Item = (Datagram, SocketAddr)>>>,
) {
    while let Some((datagram, from)) = received.next().await {
        let now_ms = control.shared.now_ms();
        if control.peer_reports.borrow_mut().record_message(now_ms) {
            // Before the contact is recorded, so that it confirms nothing with old reports.
            control.update_confirmation();
        }
        control.shared.record_peer_contact();
        if control.process_watcher_check(from, datagram.purpose()) {
            continue;
        }
        let sends = control.membership.borrow_mut().receive(now_ms, from, &datagram);
        control.send(sends);
        control.process_member_changes();
    }
}

impl Control {
    pub(super) fn tick_members(self: &Rc<Self>) {
        let now_ms = self.shared.now_ms();
        let sends = self.membership.borrow_mut().tick(now_ms, rand::random());
        self.send(sends);
        self.probe_seeds_if_alone();
        self.check_watchers();
        self.process_member_changes();
    }

    fn probe_seeds_if_alone(&self) {
        let is_alone = self.membership.borrow().live_count() == 1;
        if is_alone && rand::random::<u64>().is_multiple_of(MEAN_TICKS_PER_SEED_PROBE) {
            self.probe_seeds();
        }
    }

    pub(super) fn probe_seeds(&self) {
        self.probe_instances(self.other_seeds());
    }

    /// Sends a probe to the instances at the given addresses.
    pub(super) fn probe_instances(&self, addrs: impl Iterator<Item = SocketAddr>) {
        let probes = addrs.map(|addr| self.membership.borrow_mut().probe_address(addr));
        self.send(probes.collect());
    }

    /// Returns the configured seed addresses except the own one; they may be stale.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.identity.peer_addr;
        self.identity.seed_addrs.iter().copied().filter(move |addr| *addr != own)
    }

    /// Counts bytes to or from the instance at `addr`.
    pub(super) fn count_bytes(&self, cause: TrafficCause, addr: SocketAddr, bytes: usize) {
        traffic_metrics::count(cause, self.remote_zone_addrs.borrow().contains(&addr), bytes);
    }

    pub(super) fn send(&self, sends: Vec<OutgoingDatagram>) {
        for send in sends {
            self.count_bytes(TrafficCause::Gossip, send.to, send.datagram.encoded_len());
            // The receiving task lives as long as this thread.
            let _is_disconnected = self.outbox.send(send).is_err();
        }
    }

    /// Processes the membership changes that have accumulated.
    pub(super) fn process_member_changes(self: &Rc<Self>) {
        let changes = self.membership.borrow_mut().take_changes();
        let mut reports = Vec::new();
        for change in changes {
            log_change(&change);
            if let MembershipChange::ReportReceived(report) = change {
                reports.push(report);
            }
        }
        self.forward_reports(reports);
        let presence_count = self.membership.borrow().presence_count();
        if self.presence_count.replace(presence_count) != presence_count {
            // Published with the next tick. While a fleet starts each datagram brings changes, and
            // publishing for each of 200 records delayed callers' requests.
            self.has_member_changes.set(true);
        }
        // The epoch also changes when a record only reports the store as unreachable. Without this
        // no other instance stepped in before its next poll, and a change was in force 5 s late.
        let epoch = self.membership.borrow().change_count();
        if self.roles_epoch.replace(epoch) != epoch {
            self.update_roles();
        }
        self.detect_peer_outage();
        if self.membership.borrow().own().is_watching_store && !self.may_report_watching() {
            self.set_watching_store(false);
        }
        self.update_confirmation();
        self.fetch_newer(CollectionKind::Configuration);
        self.fetch_newer(CollectionKind::Replicas);
        if self.identity.is_evacuation_enabled {
            self.fetch_newer(CollectionKind::Evacuations);
        }
    }

    /// Detects a store outage that only other instances have noticed.
    ///
    /// Non-watching instances learn of missing entries from the watchers. Without this check they
    /// would drop entries that lapsed because of the outage.
    fn detect_peer_outage(&self) {
        let is_without_store = |m: &Member| !m.is_store_reached;
        let has_any = self.membership.borrow().live_peers().any(is_without_store);
        if self.has_peer_without_store.replace(has_any) && !has_any {
            self.directory.borrow_mut().on_store_recovered(self.shared.now_ms());
            self.roles_changed.notify_waiters();
        }
        let reaching = self.membership.borrow().live_peers().filter(|m| m.is_store_reached).count();
        let before = self.peers_reaching_store.replace(reaching);
        if before == 0 && reaching > 0 && !self.is_store_up.get() {
            // This comes before fetching changes from the instance that the store answers. Those
            // may contain entries that lapsed in the outage, and an instance that dropped them had
            // no replicas for 2 s.
            self.directory.borrow_mut().on_store_recovered(self.shared.now_ms());
            self.peer_reached_store.notify_waiters();
        }
    }

    /// Updates what the other instances say about the configuration in force here.
    pub(super) fn update_confirmation(&self) {
        let known = self.complete_position(CollectionKind::Configuration);
        let known_era = known.filter(|at| at.era == self.era()).map(|at| at.era);
        let version = self.configuration.borrow().as_ref().map_or(0, |c| c.version);
        let membership = self.membership.borrow();
        let is_behind = |m: &Member| {
            m.config_version > version || known_era.is_some_and(|era| m.configuration_era > era)
        };
        let is_outdated = known_era.is_none() || membership.live_peers().any(is_behind);
        let health = self.watcher_health.borrow();
        let is_working_watcher =
            |m: &Member| m.is_watching_store && m.may_hold_roles() && health.is_responsive(m.key());
        let has_peer_with_store = self.peer_reports.borrow().are_recent(self.shared.now_ms())
            && membership.live_peers().any(is_working_watcher);
        self.shared.record_peer_state(has_peer_with_store, is_outdated);
    }

    /// True if this instance watches the store's configuration and was answered recently.
    pub(super) fn may_report_watching(&self) -> bool {
        let sources = self.shared.configuration_sources();
        sources.may_report_watching(self.shared.now_ms()) && self.is_watcher()
    }

    /// Announces whether this instance watches the store's configuration and is answered.
    pub(super) fn set_watching_store(&self, is_watching: bool) {
        if self.membership.borrow().own().is_watching_store != is_watching {
            let unconfirmed_ms =
                self.shared.configuration_sources().unconfirmed_ms(self.shared.now_ms());
            log::info!("event=watch_report watching={is_watching} unconfirmed_ms={unconfirmed_ms}");
            self.membership.borrow_mut().update_own(|m| m.is_watching_store = is_watching);
            self.send_own_record();
        }
    }

    /// Announces the positions and the configuration version of this instance.
    pub(super) fn announce_positions(&self) {
        // The other instances fetch from these. When each instance announced each change, that cost
        // more bytes than the changes themselves.
        let is_source = self.is_watcher() || self.is_fetcher() || self.has_sole_newest_version();
        if !is_source && !self.is_announcement_due() {
            return;
        }
        let position =
            |kind| self.mirrors.borrow().get(&kind).map(Mirror::position).unwrap_or_default();
        let [replicas, configuration, evacuations] =
            [CollectionKind::Replicas, CollectionKind::Configuration, CollectionKind::Evacuations]
                .map(position);
        let version = self.configuration.borrow().as_ref().map_or(0, |c| c.version);
        self.membership.borrow_mut().update_own(|m| {
            (m.replicas_era, m.replicas_revision) = (replicas.era, replicas.revision);
            (m.configuration_era, m.configuration_revision) =
                (configuration.era, configuration.revision);
            (m.evacuations_era, m.evacuations_revision) = (evacuations.era, evacuations.revision);
            m.config_version = version;
        });
        if is_source {
            self.send_own_record();
        }
    }

    /// True if no other instance announces a version as new as the one in force here.
    ///
    /// A restored store may lack that version, and the watchers may have started since.
    fn has_sole_newest_version(&self) -> bool {
        let announced = self.membership.borrow().live_peers().map(|m| m.config_version).max();
        self.configuration.borrow().as_ref().is_some_and(|c| Some(c.version) > announced)
    }

    /// True if an instance that others need not fetch from may announce its positions again.
    ///
    /// Records the time of the announcement if so.
    fn is_announcement_due(&self) -> bool {
        let now_ms = self.shared.now_ms();
        let is_due = now_ms >= self.announced_ms.get() + ANNOUNCE_INTERVAL_MS;
        if is_due {
            self.announced_ms.set(now_ms);
        }
        is_due
    }

    /// Sends the own record to some other instances without waiting for a gossip round.
    pub(super) fn send_own_record(&self) {
        let sends = self.membership.borrow_mut().broadcast_own_record(
            MAX_NOTIFIED,
            MAX_REMOTE_NOTIFIED,
            rand::random(),
        );
        self.send(sends);
    }

    pub(super) fn set_ready(&self, is_ready: bool) {
        let mut membership = self.membership.borrow_mut();
        if is_ready && membership.own().state() == InstanceState::Starting {
            membership.update_own(|m| m.state = InstanceState::Ready as i32);
            drop(membership);
            log::info!("event=ready");
            // The others send it gather requests only after they know that it is ready.
            self.send_own_record();
        }
    }

    /// Announces that this instance accepts no new requests.
    pub(super) fn announce_leaving(&self) {
        self.membership.borrow_mut().update_own(|m| m.state = InstanceState::Leaving as i32);
        self.send_own_record();
    }
}

fn log_change(change: &MembershipChange) {
    match change {
        MembershipChange::StateChanged(name) => log::info!("event=instance_state instance={name}"),
        MembershipChange::Joined(name) => log::info!("event=instance_joined instance={name}"),
        MembershipChange::Suspected(name) => log::info!("event=instance_suspected instance={name}"),
        MembershipChange::Recovered(name) => log::info!("event=instance_recovered instance={name}"),
        MembershipChange::DeclaredDead(name) => log::info!("event=instance_dead instance={name}"),
        MembershipChange::Left(name) => log::info!("event=instance_left instance={name}"),
        MembershipChange::Refuted => log::info!("event=suspicion_refuted"),
        // The store's entries report replicas that are leaving, and the traffic thread logs
        // findings from reports.
        MembershipChange::ServerLeaving(_) | MembershipChange::ReportReceived(_) => {}
    }
}
