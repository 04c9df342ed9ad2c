//! Gossip with the other instances: who is there, and what they are told.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use eelgrasspier_decide::membership::{Change, Datagram, Member, Send, State};
use eelgrasspier_decide::mirror::Mirror;
use eelgrasspier_store::Kind;
use futures_util::{Stream, StreamExt};
use prost::Message;

use super::Control;
use crate::zone_bytes::{self, Cause};

/// Instances that are told of news at once, those of the own zone first; gossip tells the
/// rest, too late for a configuration where a zone has many more; a datagram has some 150 bytes.
pub(super) const TOLD_AT_ONCE: usize = 100;
/// Of them, instances of other zones at the most: one that fetches for each zone, and some more
/// in case that one of these is lost. With many the datagrams that tell of a change cost more bytes
/// between zones than the change.
pub(super) const FAR_AT_ONCE: usize = 16;
/// Time between two records of an instance that does not watch, in milliseconds.
const TELL_EVERY_MS: u64 = 30_000;
/// Greets seeds at one tick in this many while nobody else is known.
const GREET_ONE_IN: u64 = 5;

pub(super) async fn receive_all(
    control: Rc<Control>,
    mut received: Pin<Box<dyn Stream<Item = (Datagram, SocketAddr)>>>,
) {
    while let Some((datagram, from)) = received.next().await {
        let now_ms = control.shared.now_ms();
        control.shared.note_heard();
        let sends = control.membership.borrow_mut().receive(now_ms, from, &datagram);
        control.send(sends);
        control.refresh();
    }
}

impl Control {
    pub(super) fn tick_members(self: &Rc<Self>) {
        let now_ms = self.shared.now_ms();
        let sends = self.membership.borrow_mut().tick(now_ms, rand::random());
        self.send(sends);
        self.greet_seeds_while_alone();
        self.refresh();
    }

    fn greet_seeds_while_alone(&self) {
        let is_alone = self.membership.borrow().alive_count() == 1;
        if is_alone && rand::random::<u64>().is_multiple_of(GREET_ONE_IN) {
            self.greet_seeds();
        }
    }

    pub(super) fn greet_seeds(&self) {
        self.greet(self.other_seeds());
    }

    /// Makes this instance known to those at the given addresses.
    pub(super) fn greet(&self, addrs: impl Iterator<Item = SocketAddr>) {
        let greetings = addrs.map(|addr| self.membership.borrow_mut().greet(addr));
        self.send(greetings.collect());
    }

    /// Where some other instances are, or were.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.identity.peer_addr;
        self.identity.seeds.iter().copied().filter(move |addr| *addr != own)
    }

    /// Counts bytes to or from the instance at `addr`.
    pub(super) fn count_bytes(&self, cause: Cause, addr: SocketAddr, bytes: usize) {
        zone_bytes::count(cause, self.far_addrs.borrow().contains(&addr), bytes);
    }

    pub(super) fn send(&self, sends: Vec<Send>) {
        for send in sends {
            self.count_bytes(Cause::Gossip, send.to, send.datagram.encoded_len());
            // The sender's task lives as long as this thread.
            let _gone = self.outbox.send(send).is_err();
        }
    }

    /// Draws the conclusions from what has changed among the members.
    pub(super) fn refresh(self: &Rc<Self>) {
        let changes = self.membership.borrow_mut().take_changes();
        let has_changes = !changes.is_empty();
        let mut reports = Vec::new();
        for change in changes {
            note(&change);
            if let Change::Reported(report) = change {
                reports.push(report);
            }
        }
        self.pass_on(reports);
        if has_changes {
            // With the next tick: while a fleet starts, each datagram brings changes, and to
            // draw conclusions from each of 200 records by itself holds up callers' requests.
            self.has_member_news.set(true);
        }
        // Also where a record only says that the store does not answer: without this nobody
        // stepped in before the next poll, and a change was in force five seconds late.
        let epoch = self.membership.borrow().epoch();
        if self.seen_epoch.replace(epoch) != epoch {
            self.duties.notify_waiters();
        }
        self.judge_store();
        self.fetch_newer(Kind::Configuration);
        self.fetch_newer(Kind::Replicas);
        if self.identity.has_evacuations {
            self.fetch_newer(Kind::Evacuations);
        }
    }

    /// Learns of an outage that only others have noticed.
    ///
    /// Instances that don't watch hear that entries are gone from those who do; without
    /// this they would drop entries that lapsed because the store was away.
    fn judge_store(&self) {
        let is_turned_away = |m: &Member| !m.is_store_reached;
        let is_any = self.membership.borrow().alive().any(is_turned_away);
        if self.is_any_turned_away.replace(is_any) && !is_any {
            self.directory.borrow_mut().store_is_back(self.shared.now_ms());
            self.duties.notify_waiters();
        }
        let answered = self.membership.borrow().alive().filter(|m| m.is_store_reached).count();
        let before = self.answered_by_store.replace(answered);
        if before == 0 && answered > 0 && !self.is_store_up.get() {
            // Before anything is fetched from the one that is answered: it may tell of entries
            // that lapsed, and an instance that dropped them knew no replica for two seconds.
            self.directory.borrow_mut().store_is_back(self.shared.now_ms());
            self.store_answers_another.notify_waiters();
        }
    }

    /// Tells the others what this instance has taken in.
    pub(super) fn announce_changes(&self) {
        // Others fetch from these; that each instance told of each change cost more bytes than
        // the changes themselves.
        let is_source = self.is_watcher() || self.is_fetcher() || self.has_newest_version();
        if !is_source && !self.is_told_due() {
            return;
        }
        let position =
            |kind| self.mirrors.borrow().get(&kind).map(Mirror::position).unwrap_or_default();
        let [replicas, configuration, evacuations] =
            [Kind::Replicas, Kind::Configuration, Kind::Evacuations].map(position);
        let version = self.configuration.borrow().as_ref().map_or(0, |c| c.version);
        self.membership.borrow_mut().update_own(|m| {
            (m.replicas_era, m.replicas_revision) = (replicas.era, replicas.revision);
            (m.configuration_era, m.configuration_revision) =
                (configuration.era, configuration.revision);
            (m.evacuations_era, m.evacuations_revision) = (evacuations.era, evacuations.revision);
            m.config_version = version;
        });
        if is_source {
            self.spread_at_once();
        }
    }

    /// Whether nobody else tells of a version as new as the one in force here.
    ///
    /// A restored store may lack it, and those who watch the store may have started since.
    fn has_newest_version(&self) -> bool {
        let told = self.membership.borrow().alive().map(|m| m.config_version).max();
        self.configuration.borrow().as_ref().is_some_and(|c| Some(c.version) > told)
    }

    /// Whether an instance that does not watch may tell again what it has taken in.
    fn is_told_due(&self) -> bool {
        let now_ms = self.shared.now_ms();
        let is_due = now_ms >= self.told_ms.get() + TELL_EVERY_MS;
        if is_due {
            self.told_ms.set(now_ms);
        }
        is_due
    }

    /// Sends the own record to some others without waiting for a round of gossip.
    pub(super) fn spread_at_once(&self) {
        let sends =
            self.membership.borrow_mut().farewell(TOLD_AT_ONCE, FAR_AT_ONCE, rand::random());
        self.send(sends);
    }

    pub(super) fn set_ready(&self, is_ready: bool) {
        let mut membership = self.membership.borrow_mut();
        if is_ready && membership.own().state() == State::Starting {
            membership.update_own(|m| m.state = State::Ready as i32);
            drop(membership);
            log::info!("event=ready");
            // Others ask it for parts only once they know.
            self.spread_at_once();
        }
    }

    /// Tells the others that this instance takes nothing new.
    pub(super) fn leave(&self) {
        self.membership.borrow_mut().update_own(|m| m.state = State::Leaving as i32);
        self.spread_at_once();
    }
}

fn note(change: &Change) {
    match change {
        Change::State(name) => log::info!("event=instance_state instance={name}"),
        Change::Joined(name) => log::info!("event=instance_joined instance={name}"),
        Change::Suspected(name) => log::info!("event=instance_suspected instance={name}"),
        Change::Died(name) => log::info!("event=instance_dead instance={name}"),
        Change::Left(name) => log::info!("event=instance_left instance={name}"),
        Change::Refuted => log::info!("event=suspicion_refuted"),
        // Replicas that leave are learnt from the store's entries; what follows from a report
        // the traffic thread writes down.
        Change::ServerLeaving(_) | Change::Reported(_) => {}
    }
}
