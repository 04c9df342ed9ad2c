//! Membership of the instances: liveness, state and announcements by gossip.
//!
//! The platform's list lags, so it only seeds and bounds the members. Each
//! instance probes one other a round, asks a few others to probe it too where it
//! does not answer, and spreads what it knows on the same datagrams. A record is
//! only changed by its own instance, which raises its revision; others may only
//! add a suspicion, which the instance refutes by a higher revision.
//!
//! Bytes are bounded: one probe a round, a bounded number of updates on each
//! datagram, and one bucket of records compared per probe, so that what a lost
//! datagram carried is repaired without ever sending the whole table.

mod probe;
mod reports;
mod spread;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::fingerprint::Fingerprint;
pub use crate::gossip::{
    Change, Datagram, LeavingServer, Listed, Liveness, Member, Purpose, Send, State,
};
use crate::quarantine::Quarantine;
use crate::rendezvous;

pub use probe::ROUND_MS;

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    addr: SocketAddr,
    /// Since when it is suspected, dead or left.
    since_ms: u64,
    is_listed: bool,
}

impl Known {
    fn is_over(&self) -> bool {
        self.member.liveness() == Liveness::Dead || self.member.state() == State::Left
    }

    /// Whether it is worth a probe: a dead one may be back, as long as it is remembered.
    fn is_probed(&self) -> bool {
        self.member.state() != State::Left
    }
}

#[derive(Debug, Clone)]
struct Probe {
    number: u64,
    target: String,
    sent_ms: u64,
    is_indirect: bool,
}

/// A probe that this instance makes for another one.
#[derive(Debug, Clone)]
struct Errand {
    own_number: u64,
    their_number: u64,
    asker: SocketAddr,
    asked_ms: u64,
}

#[derive(Debug, Clone, PartialEq)]
enum Update {
    Member(String),
    Leaving(LeavingServer),
    /// What is known of a request that ends replicas.
    Report(Fingerprint),
}

/// One instance's view of all instances.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Member,
    others: BTreeMap<String, Known>,
    listed: BTreeMap<String, Listed>,
    queue: VecDeque<(Update, u32)>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    /// Who of the own zone is probed next, from the end.
    near_order: Vec<String>,
    /// The same of all other zones.
    far_order: Vec<String>,
    next_probe: u64,
    next_bucket: u64,
    last_round_ms: u64,
    last_news_ms: u64,
    changes: Vec<Change>,
    /// Bytes that news and repairs may still take; below zero they wait.
    allowance_bytes: i64,
    allowance_ms: u64,
    /// Moves whenever a record or the platform's list changes.
    epoch: u64,
    /// What instances tell each other of requests that end replicas.
    quarantine: Quarantine,
    /// What was told to many at once in the present second.
    told: reports::Told,
}

impl Membership {
    /// The view of an instance that has just started and knows nobody.
    #[must_use]
    pub fn new(own: Member) -> Self {
        let mut membership = Self {
            own,
            others: BTreeMap::new(),
            listed: BTreeMap::new(),
            queue: VecDeque::new(),
            probe: None,
            errands: Vec::new(),
            near_order: Vec::new(),
            far_order: Vec::new(),
            next_probe: 1,
            next_bucket: 0,
            last_round_ms: 0,
            last_news_ms: 0,
            changes: Vec::new(),
            allowance_bytes: 0,
            allowance_ms: 0,
            epoch: 0,
            quarantine: Quarantine::default(),
            told: reports::Told::default(),
        };
        membership.announce_own();
        membership
    }

    /// The record of this instance.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes the record of this instance and announces it, if it differs.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.own.revision = before.revision + 1;
            self.announce_own();
        }
    }

    /// The records of the other instances, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|k| &k.member)
    }

    /// The other instances that are neither dead nor gone.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.others.values().filter(|k| !k.is_over()).map(|k| &k.member)
    }

    /// Number of instances that are neither dead nor gone, this one included.
    #[must_use]
    pub fn alive_count(&self) -> usize {
        1 + self.alive().count()
    }

    /// Number of instances that the platform lists, this one included.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        1 + self.listed.len()
    }

    /// Moves whenever something changes that shares or views may depend on.
    ///
    /// With thousands of members, conclusions are drawn only when there are any.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Keys of all instances that may hold connections to backend servers.
    ///
    /// An instance counts until it says that it has left, or until it is dead and
    /// the platform no longer lists it: a paused process answers no probe but
    /// still holds its connections.
    #[must_use]
    pub fn holders(&self) -> std::collections::BTreeSet<u64> {
        let left =
            |name: &String| self.others.get(name).is_some_and(|k| k.member.state() == State::Left);
        let listed = self.listed.keys().filter(|name| !left(name));
        let alive = self.others.iter().filter(|(_, k)| !k.is_over()).map(|(name, _)| name);
        let names = listed.chain(alive).map(|name| rendezvous::hash(name));
        names.chain([self.own.key()]).collect()
    }

    /// Takes in the platform's list of instances.
    pub fn set_listed(&mut self, list: &[Listed]) {
        let others = list.iter().filter(|l| l.name != self.own.name);
        let listed: BTreeMap<_, _> = others.map(|l| (l.name.clone(), l.clone())).collect();
        if listed == self.listed {
            return;
        }
        self.epoch += 1;
        self.listed = listed;
        for known in self.others.values_mut() {
            known.is_listed = self.listed.contains_key(&known.member.name);
        }
    }

    /// What has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in a datagram; returns the answers to it.
    pub fn receive(&mut self, now_ms: u64, from: SocketAddr, datagram: &Datagram) -> Vec<Send> {
        for member in &datagram.members {
            self.learn(member, now_ms, true);
        }
        for &server in &datagram.leaving {
            self.changes.push(Change::ServerLeaving(server));
        }
        self.learn_reports(&datagram.reports, now_ms);
        let sends = match datagram.purpose() {
            Purpose::Probe => self.answer(from, datagram),
            Purpose::Answer => self.answered(from, datagram),
            Purpose::ProbeFor => self.run_errand(now_ms, from, datagram),
            Purpose::Records => Vec::new(),
        };
        self.spend(&sends);
        sends
    }

    /// Records of all instances that are alive, this one included.
    #[must_use]
    pub fn table(&self) -> Vec<Member> {
        std::iter::once(&self.own).chain(self.alive()).cloned().collect()
    }

    /// Takes in another instance's table.
    ///
    /// It is old news, which gossip has carried or does: nothing of it is spread from here.
    pub fn learn_table(&mut self, table: &[Member], now_ms: u64) {
        for member in table {
            self.learn(member, now_ms, false);
        }
    }

    /// The address of a listed instance that is alive, if there is one, of the own zone first.
    #[must_use]
    pub fn listed_alive(&self, random: u64) -> Option<SocketAddr> {
        let listed = self.others.values().filter(|k| k.is_listed && !k.is_over());
        let place = |k: &&Known| {
            let is_far = k.member.zone != self.own.zone;
            (is_far, rendezvous::weight(random, k.member.key()))
        };
        listed.min_by_key(place).map(|k| k.addr)
    }

    fn learn(&mut self, member: &Member, now_ms: u64, is_news: bool) {
        if member.name == self.own.name {
            return self.hear_of_self(member);
        }
        let Ok(addr) = member.peer_addr.parse() else { return };
        let known = self.others.get(&member.name);
        if known.is_some_and(|k| k.member.rank() >= member.rank()) {
            return;
        }
        let is_new = known.is_none();
        let was_over = known.is_none_or(Known::is_over);
        let is_same_state = known.is_some_and(|k| k.member.state == member.state);
        let is_listed = self.listed.contains_key(&member.name);
        let known = Known { member: member.clone(), addr, since_ms: now_ms, is_listed };
        if !is_same_state && !is_new {
            self.changes.push(Change::State(member.name.clone()));
        }
        self.epoch += 1;
        self.note_change(&known, was_over);
        self.others.insert(member.name.clone(), known);
        if is_news {
            let sends = self.sends();
            self.enqueue(Update::Member(member.name.clone()), sends);
        }
    }

    fn note_change(&mut self, known: &Known, was_over: bool) {
        let name = known.member.name.clone();
        match (known.member.state(), known.member.liveness()) {
            (State::Left, _) => self.changes.push(Change::Left(name)),
            (_, Liveness::Dead) => self.changes.push(Change::Died(name)),
            (_, Liveness::Suspect) => self.changes.push(Change::Suspected(name)),
            (_, Liveness::Alive) if was_over => self.changes.push(Change::Joined(name)),
            (_, Liveness::Alive) => {}
        }
    }

    /// A rumour about this instance; a suspicion is refuted by a higher revision.
    ///
    /// A record of a higher incarnation is this instance's predecessor, whose clock was
    /// ahead: without overtaking it the others would take every own record for stale, and
    /// this instance would stay dead to them though it answers.
    fn hear_of_self(&mut self, member: &Member) {
        if member.incarnation > self.own.incarnation {
            self.own.incarnation = member.incarnation + 1;
            self.announce_own();
            return;
        }
        let is_current = member.incarnation == self.own.incarnation;
        let is_doubted = member.liveness() != Liveness::Alive;
        if is_current && member.revision >= self.own.revision && is_doubted {
            self.own.revision = member.revision + 1;
            self.changes.push(Change::Refuted);
            self.announce_own();
        }
    }

    fn doubt(&mut self, name: &str, liveness: Liveness, now_ms: u64) {
        let Some(known) = self.others.get_mut(name) else { return };
        if known.member.liveness >= liveness as i32 {
            return;
        }
        known.member.liveness = liveness as i32;
        known.since_ms = now_ms;
        self.epoch += 1;
        let known = known.clone();
        self.note_change(&known, false);
        let sends = self.sends();
        self.enqueue(Update::Member(name.to_owned()), sends);
    }
}
