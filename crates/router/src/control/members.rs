//! Gossip with the other instances, and what is fetched from them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_decide::contacts;
use eelgrasspier_decide::gatherers;
use eelgrasspier_decide::membership::{Change, Datagram, Liveness, Member, Send, State};
use eelgrasspier_decide::mirror::{Changes, Mirror};
use eelgrasspier_decide::pulls;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::watchers::{self, Candidate};
use eelgrasspier_peer::wire::{Body, ChangesAbove};
use eelgrasspier_peer::{PeerError, packed};
use eelgrasspier_store::Kind;
use futures_util::{Stream, StreamExt};
use prost::Message;

use super::Control;
use crate::view::Peer;
use crate::zone_bytes::{self, Cause};

/// Instances that are told of news at once, those of the own zone first; gossip tells the
/// rest. With 300 instances, 75 in a zone, 16 let a configuration be in force after 4.9 s,
/// just within its bound; a datagram has some 150 bytes.
const TOLD_AT_ONCE: usize = 100;
/// Of them, instances of other zones at the most: one that fetches for each zone, and some more
/// in case that one of these is lost. With 68 of them in place of 16 the datagrams that tell of
/// a change cost more bytes between zones than the change.
const FAR_AT_ONCE: usize = 16;
/// Time between two records of an instance that does not watch, in milliseconds.
const TELL_EVERY_MS: u64 = 30_000;
/// Instances that are assumed until the store's entries were read: more than most deployments
/// have in a few zones.
const ASSUMED_INSTANCES: u64 = 16;
/// Age of the process from which gossip has joined the fleet, in milliseconds: 200 instances
/// that all start at once know each other after some seconds.
const SETTLED_AFTER_MS: u64 = 10_000;
/// Time that the own zone has to bring a change, in milliseconds; a change must be in
/// force within three seconds.
const OWN_ZONE_MS: u64 = 400;
/// Greets seeds at one tick in this many while nobody else is known.
const GREET_ONE_IN: u64 = 5;

pub(super) async fn receive_all(
    control: Rc<Control>,
    mut received: Pin<Box<dyn Stream<Item = (Datagram, SocketAddr)>>>,
) {
    while let Some((datagram, from)) = received.next().await {
        let now_ms = control.shared.now_ms();
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

    /// Has the changes of a kind above `revision` from another instance; `None` if it refuses.
    pub(super) async fn changes_from(
        &self,
        addr: SocketAddr,
        kind: Kind,
        revision: u64,
        timeout: Duration,
    ) -> Result<Option<Changes>, PeerError> {
        let is_replicas = kind == Kind::Replicas;
        let question = Body::ChangesAbove(ChangesAbove { is_replicas, revision });
        let answer = self.links.ask(addr, question, timeout).await?;
        self.count_bytes(Cause::Changes, addr, answer.encoded_len());
        Ok(packed::unpack(answer))
    }

    /// Counts bytes to or from the instance at `addr`.
    pub(super) fn count_bytes(&self, cause: Cause, addr: SocketAddr, bytes: usize) {
        zone_bytes::count(cause, self.far_addrs.borrow().contains(&addr), bytes);
    }

    fn send(&self, sends: Vec<Send>) {
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
        for change in changes {
            note(&change);
        }
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

    /// Fetches changes from an instance that has seen more.
    fn fetch_newer(self: &Rc<Self>, kind: Kind) {
        let known = self.mirrors.borrow().get(&kind).map_or(0, Mirror::changed);
        let now_ms = self.shared.now_ms();
        let pulls = self.pulls.borrow().get(&kind).cloned().unwrap_or_default();
        if !pulls.may_start(now_ms) {
            return;
        }
        let membership = self.membership.borrow();
        let is_ahead = |m: &&Member| revision_of(m, kind) > known && !pulls.is_asked(&m.name);
        let ahead = membership.alive().filter(is_ahead);
        // One in the own zone, if there is one: so changes cross zones but once.
        let best = ahead.min_by_key(|m| (m.zone != self.identity.zone, rand::random::<u32>()));
        let found = best.map(|m| (m.name.clone(), m.zone.clone(), m.peer_addr.parse()));
        let Some((name, zone, Ok(addr))) = found else {
            self.behind_since_ms.borrow_mut().remove(&kind);
            return;
        };
        drop(membership);
        if zone != self.identity.zone && !self.is_fetcher() && !self.is_long_behind(kind) {
            return;
        }
        self.behind_since_ms.borrow_mut().remove(&kind);
        self.pulls.borrow_mut().entry(kind).or_default().start(&name, now_ms);
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let timeout = Duration::from_millis(pulls::GIVE_UP_MS);
            match control.changes_from(addr, kind, known, timeout).await {
                Ok(Some(changes)) => control.take(kind, &changes, &name),
                Ok(None) => log::warn!("event=fetch_refused from={name}"),
                Err(error) => log::info!("event=fetch_failed from={name} cause=\"{error}\""),
            }
            control.pulls.borrow_mut().entry(kind).or_default().end(&name);
        });
    }

    /// Whether the own zone has had its time to bring a change that another zone has.
    ///
    /// Its fetcher has it a few milliseconds later; without the wait half of all changes were
    /// fetched across zones, by each instance for itself.
    fn is_long_behind(&self, kind: Kind) -> bool {
        let now_ms = self.shared.now_ms();
        let mut behind = self.behind_since_ms.borrow_mut();
        let since_ms = *behind.entry(kind).or_insert(now_ms);
        now_ms >= since_ms + OWN_ZONE_MS
    }

    /// Tells the others what this instance has taken in.
    pub(super) fn announce_changes(&self) {
        // Others fetch from these; that each instance told of each change cost more bytes than
        // the changes themselves.
        let is_source = self.is_watcher() || self.is_fetcher();
        if !is_source && !self.is_told_due() {
            return;
        }
        let revision = |kind| self.mirrors.borrow().get(&kind).map_or(0, Mirror::changed);
        let (replicas, configuration) = (revision(Kind::Replicas), revision(Kind::Configuration));
        self.membership.borrow_mut().update_own(|m| {
            m.replicas_revision = replicas;
            m.configuration_revision = configuration;
        });
        if is_source {
            self.spread_at_once();
        }
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

    /// Whether this instance has one of the duties that follow from who there is.
    fn has_duty(&self, is_chosen: fn(Candidate, &[Candidate]) -> bool) -> bool {
        let membership = self.membership.borrow();
        let candidate = |m: &Member| Candidate {
            key: m.key(),
            zone: rendezvous::hash(&m.zone),
            is_store_reached: m.is_store_reached,
        };
        let others: Vec<Candidate> =
            membership.alive().filter(|m| m.state() != State::Left).map(candidate).collect();
        is_chosen(candidate(membership.own()), &others)
    }

    /// Whether this instance watches the store.
    pub(super) fn is_watcher(&self) -> bool {
        self.has_duty(watchers::is_watcher)
    }

    /// Whether it finds out, with a few others, when an outage of the store is over.
    pub(super) fn is_finder(&self) -> bool {
        self.has_duty(watchers::is_finder)
    }

    /// Whether it fetches changes for its zone.
    fn is_fetcher(&self) -> bool {
        self.has_duty(watchers::is_fetcher)
    }

    /// Whether it has an entry in the store, by which those that start find the others.
    pub(super) fn is_contact(&self) -> bool {
        self.has_duty(contacts::is_contact)
    }

    /// Instances that share connections and repeats, this one included.
    ///
    /// After a restart of all, each at first knows only itself and would take the whole
    /// slack for its own: together they would send many times what is allowed, in the very
    /// seconds in which most sends fail. Until gossip has joined them, as many are assumed as
    /// the store's entries say, or some before these were read.
    pub(super) fn instances(&self) -> u64 {
        let known = u64::try_from(self.membership.borrow().alive_count()).unwrap_or(u64::MAX);
        if self.shared.now_ms() >= SETTLED_AFTER_MS {
            return known;
        }
        known.max(self.listed_fleet.get().unwrap_or(ASSUMED_INSTANCES))
    }

    /// Instances of a zone that gather for the others.
    fn gatherers(&self, zone: &str) -> Vec<u64> {
        let membership = self.membership.borrow();
        let own = std::iter::once(membership.own());
        let candidate =
            |m: &Member| gatherers::Candidate { key: m.key(), capacity_milli: m.capacity_milli };
        let all =
            own.chain(membership.alive().filter(|m| is_serving(m))).filter(|m| m.zone == zone);
        gatherers::choose(zone, &all.map(candidate).collect::<Vec<_>>())
    }

    pub(super) fn is_gatherer(&self) -> bool {
        let own = self.membership.borrow().own().key();
        self.gatherers(&self.identity.zone).contains(&own)
    }

    /// The other instances that serve.
    pub(super) fn peers(&self) -> Vec<Peer> {
        let membership = self.membership.borrow();
        let serving: Vec<&Member> = membership.alive().filter(|m| is_serving(m)).collect();
        let mut chosen: HashMap<&str, Vec<u64>> = HashMap::new();
        for member in &serving {
            chosen.entry(&member.zone).or_insert_with(|| self.gatherers(&member.zone));
        }
        let peer = |m: &&Member| {
            let is_gatherer = chosen.get(m.zone.as_str()).is_some_and(|c| c.contains(&m.key()));
            Some(Peer {
                name: m.name.as_str().into(),
                addr: m.peer_addr.parse().ok()?,
                zone: m.zone.as_str().into(),
                is_gatherer,
                capacity_milli: m.capacity_milli,
            })
        };
        serving.iter().filter_map(peer).collect()
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

fn is_serving(member: &Member) -> bool {
    member.state() == State::Ready && member.liveness() == Liveness::Alive
}

fn revision_of(member: &Member, kind: Kind) -> u64 {
    match kind {
        Kind::Replicas => member.replicas_revision,
        Kind::Configuration => member.configuration_revision,
        Kind::Instances => 0,
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
        // Replicas that leave are learnt from the store's entries.
        Change::ServerLeaving(_) => {}
    }
}
