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

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::rendezvous;

/// Time between probes in milliseconds.
pub const ROUND_MS: u64 = 500;
/// Time in milliseconds after which an unanswered probe goes by way of others.
const DIRECT_MS: u64 = 200;
/// Others that are asked to probe in our place.
const INDIRECT: usize = 3;
/// Time in milliseconds that a suspected instance has to refute.
const SUSPECT_MS: u64 = 3_000;
/// Time in milliseconds for which a record that is over is kept, against stale rumours.
const TOMBSTONE_MS: u64 = 60_000;
/// Updates on one datagram.
const MAX_UPDATES: usize = 12;
/// Records in one bucket, which are compared and repaired together.
const RECORDS_PER_BUCKET: usize = 8;
/// Time between datagrams that only bring news, while there is any; with datagrams
/// of a kilobyte this bounds what an instance sends to about 5 KB a second.
const NEWS_MS: u64 = 200;
/// Each update is sent this many times the logarithm of the member count.
const SENDS_PER_LOG: u32 = 2;

/// What an instance says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// It has no configuration yet, or no share of connections.
    Starting = 0,
    /// It serves callers.
    Ready = 1,
    /// It finishes what is in progress and takes nothing new.
    Leaving = 2,
    /// It has let go of all connections.
    Left = 3,
}

/// What others think of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Liveness {
    /// It answers.
    Alive = 0,
    /// It did not answer a probe and has not refuted yet.
    Suspect = 1,
    /// It did not refute in time.
    Dead = 2,
}

/// Record of one instance, as it travels.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Start time of its process in milliseconds since the epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Raised by the instance itself with every change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// What it says about itself.
    #[prost(enumeration = "State", tag = "4")]
    pub state: i32,
    /// What others think of it.
    #[prost(enumeration = "Liveness", tag = "5")]
    pub liveness: i32,
    /// Its availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Where it gossips and where it takes peer connections.
    #[prost(string, tag = "7")]
    pub peer_addr: String,
    /// Where it serves callers and operators.
    #[prost(string, tag = "8")]
    pub http_addr: String,
    /// Configuration version in force there; 0 for none.
    #[prost(uint64, tag = "9")]
    pub config_version: u64,
    /// Digest of the member list that bounds its share.
    #[prost(fixed64, tag = "10")]
    pub share_digest: u64,
}

impl Member {
    /// Key of the instance in member lists and rendezvous order.
    #[must_use]
    pub fn key(&self) -> u64 {
        rendezvous::hash(&self.name)
    }

    fn rank(&self) -> (u64, u64, i32) {
        (self.incarnation, self.revision, self.liveness)
    }
}

/// A backend server that is leaving, as it travels.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LeavingServer {
    /// Hash of its address.
    #[prost(fixed64, tag = "1")]
    pub replica: u64,
    /// Its start time.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// One gossip datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// What it is for.
    #[prost(enumeration = "Purpose", tag = "1")]
    pub purpose: i32,
    /// Number of the probe that it belongs to.
    #[prost(uint64, tag = "2")]
    pub probe: u64,
    /// Name of the instance to be probed, for [`Purpose::ProbeFor`].
    #[prost(string, tag = "3")]
    pub target: String,
    /// Records, the sender's own first.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Backend servers that are leaving.
    #[prost(message, repeated, tag = "5")]
    pub leaving: Vec<LeavingServer>,
    /// Bucket whose digest the sender gives for comparison.
    #[prost(uint64, tag = "6")]
    pub bucket: u64,
    /// Digest of the records in that bucket.
    #[prost(fixed64, tag = "7")]
    pub bucket_digest: u64,
    /// The sender's clock stamp, which orders events over all processes.
    #[prost(uint64, tag = "8")]
    pub stamp: u64,
    /// Number of buckets that the sender splits its records into.
    #[prost(uint64, tag = "9")]
    pub buckets: u64,
}

/// What a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Purpose {
    /// Asks for an answer.
    Probe = 0,
    /// Answers a probe.
    Answer = 1,
    /// Asks to probe `target` in the sender's place.
    ProbeFor = 2,
    /// Only brings records.
    Records = 3,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it gossips.
    pub peer_addr: SocketAddr,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub datagram: Datagram,
}

/// What a datagram or a tick has changed, for the events log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An instance was heard of for the first time, or came back.
    Joined(String),
    /// An instance says something new of its state.
    State(String),
    /// An instance is suspected.
    Suspected(String),
    /// An instance is taken for dead.
    Died(String),
    /// An instance has left.
    Left(String),
    /// This instance was suspected and has refuted it.
    Refuted,
    /// A leaving backend server was learnt from a peer.
    ServerLeaving(LeavingServer),
}

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
    order: Vec<String>,
    next_probe: u64,
    next_bucket: u64,
    last_round_ms: u64,
    last_news_ms: u64,
    changes: Vec<Change>,
    /// Moves whenever a record or the platform's list changes.
    epoch: u64,
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
            order: Vec::new(),
            next_probe: 1,
            next_bucket: 0,
            last_round_ms: 0,
            last_news_ms: 0,
            changes: Vec::new(),
            epoch: 0,
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

    /// Spreads that a backend server is leaving.
    pub fn spread_leaving(&mut self, server: LeavingServer) {
        let sends = self.sends();
        self.enqueue(Update::Leaving(server), sends);
    }

    /// A greeting for an instance of which only the address is known.
    pub fn greet(&mut self, to: SocketAddr) -> Send {
        let number = self.number();
        Send { to, datagram: self.datagram(Purpose::Probe, number) }
    }

    /// Datagrams that tell up to `most` others this instance's last state at once.
    pub fn farewell(&mut self, most: usize, random: u64) -> Vec<Send> {
        let mut addrs: Vec<(u64, SocketAddr)> = self
            .others
            .values()
            .filter(|k| !k.is_over())
            .map(|k| (rendezvous::weight(random, k.member.key()), k.addr))
            .collect();
        addrs.sort_unstable();
        let records = |to| Send {
            to,
            datagram: Datagram {
                purpose: Purpose::Records as i32,
                members: vec![self.own.clone()],
                ..Datagram::default()
            },
        };
        addrs.into_iter().take(most).map(|(_, to)| records(to)).collect()
    }

    /// What has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Does what is due at `now_ms`; `random` is a fresh random number.
    pub fn tick(&mut self, now_ms: u64, random: u64) -> Vec<Send> {
        let mut sends = Vec::new();
        self.errands.retain(|e| now_ms < e.asked_ms + ROUND_MS);
        self.ask_others(now_ms, random, &mut sends);
        if now_ms >= self.last_round_ms + ROUND_MS {
            self.last_round_ms = now_ms;
            self.judge_probe(now_ms);
            self.judge_suspects(now_ms);
            self.forget(now_ms);
            self.start_probe(now_ms, random, &mut sends);
            self.greet_listed(random, &mut sends);
        }
        if now_ms >= self.last_news_ms + NEWS_MS && !self.queue.is_empty() {
            self.last_news_ms = now_ms;
            self.send_news(random, &mut sends);
        }
        sends
    }

    /// Brings what is in the queue to one other member, without waiting for a probe.
    fn send_news(&mut self, random: u64, sends: &mut Vec<Send>) {
        let live = self.others.values().filter(|k| !k.is_over());
        let chosen = live.max_by_key(|k| rendezvous::weight(random, k.member.key()));
        if let Some(to) = chosen.map(|k| k.addr) {
            sends.push(Send { to, datagram: self.datagram(Purpose::Records, 0) });
        }
    }

    /// Takes in a datagram; returns the answers to it.
    pub fn receive(&mut self, now_ms: u64, from: SocketAddr, datagram: &Datagram) -> Vec<Send> {
        for member in &datagram.members {
            self.learn(member, now_ms);
        }
        for &server in &datagram.leaving {
            self.changes.push(Change::ServerLeaving(server));
        }
        match datagram.purpose() {
            Purpose::Probe => self.answer(from, datagram),
            Purpose::Answer => self.answered(datagram),
            Purpose::ProbeFor => self.run_errand(now_ms, from, datagram),
            Purpose::Records => Vec::new(),
        }
    }

    fn announce_own(&mut self) {
        let sends = self.sends();
        self.enqueue(Update::Member(self.own.name.clone()), sends);
    }

    fn sends(&self) -> u32 {
        SENDS_PER_LOG * (self.others.len() as u64 + 2).ilog2().max(1)
    }

    /// Puts an update first in the queue: fresh news travels before old.
    fn enqueue(&mut self, update: Update, sends: u32) {
        self.queue.retain(|(u, _)| *u != update);
        self.queue.push_front((update, sends));
    }

    fn learn(&mut self, member: &Member, now_ms: u64) {
        if member.name == self.own.name {
            return self.hear_of_self(member);
        }
        let Ok(addr) = member.peer_addr.parse() else { return };
        let known = self.others.get(&member.name);
        if known.is_some_and(|k| k.member.rank() >= member.rank()) {
            return;
        }
        let was_over = known.is_none_or(Known::is_over);
        let is_same_state = known.is_some_and(|k| k.member.state == member.state);
        let is_listed = self.listed.contains_key(&member.name);
        let known = Known { member: member.clone(), addr, since_ms: now_ms, is_listed };
        if !is_same_state {
            self.changes.push(Change::State(member.name.clone()));
        }
        self.epoch += 1;
        self.note_change(&known, was_over);
        self.others.insert(member.name.clone(), known);
        let sends = self.sends();
        self.enqueue(Update::Member(member.name.clone()), sends);
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
    fn hear_of_self(&mut self, member: &Member) {
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

    fn judge_probe(&mut self, now_ms: u64) {
        if let Some(probe) = self.probe.take() {
            self.doubt(&probe.target, Liveness::Suspect, now_ms);
        }
    }

    fn judge_suspects(&mut self, now_ms: u64) {
        let is_due = |k: &&Known| {
            k.member.liveness() == Liveness::Suspect && now_ms >= k.since_ms + SUSPECT_MS
        };
        let due: Vec<String> =
            self.others.values().filter(is_due).map(|k| k.member.name.clone()).collect();
        for name in due {
            self.doubt(&name, Liveness::Dead, now_ms);
        }
    }

    fn forget(&mut self, now_ms: u64) {
        self.others
            .retain(|_, k| k.is_listed || !k.is_over() || now_ms < k.since_ms + TOMBSTONE_MS);
    }

    /// Probes the next one of a random order, so that each gets its turn.
    fn start_probe(&mut self, now_ms: u64, random: u64, sends: &mut Vec<Send>) {
        let target = loop {
            let Some(name) = self.order.pop() else {
                self.order = self.shuffled(random);
                if self.order.is_empty() {
                    return;
                }
                continue;
            };
            // A dead one that is still listed is probed too: it may be back.
            match self.others.get(&name) {
                Some(k) if !k.is_over() || k.is_listed => break k.clone(),
                _ => {}
            }
        };
        if target.member.state() == State::Left {
            return;
        }
        let number = self.number();
        sends.push(Send { to: target.addr, datagram: self.datagram(Purpose::Probe, number) });
        if !target.is_over() {
            let target = target.member.name;
            self.probe = Some(Probe { number, target, sent_ms: now_ms, is_indirect: false });
        }
    }

    fn shuffled(&self, random: u64) -> Vec<String> {
        let candidates = self.others.values().filter(|k| !k.is_over() || k.is_listed);
        let mut order: Vec<String> = candidates.map(|k| k.member.name.clone()).collect();
        order.sort_by_key(|name| rendezvous::weight(random, rendezvous::hash(name)));
        order
    }

    /// Greets one listed instance that was never heard of, so that views join.
    fn greet_listed(&mut self, random: u64, sends: &mut Vec<Send>) {
        let strangers = self.listed.values().filter(|l| !self.others.contains_key(&l.name));
        let chosen = strangers
            .min_by_key(|l| rendezvous::weight(random, rendezvous::hash(&l.name)))
            .map(|l| l.peer_addr);
        if let Some(to) = chosen {
            let number = self.number();
            sends.push(Send { to, datagram: self.datagram(Purpose::Probe, number) });
        }
    }

    fn ask_others(&mut self, now_ms: u64, random: u64, sends: &mut Vec<Send>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.is_indirect || now_ms < probe.sent_ms + DIRECT_MS {
            return;
        }
        probe.is_indirect = true;
        let probe = probe.clone();
        let mut helpers: Vec<(u64, SocketAddr)> = self
            .others
            .values()
            .filter(|k| !k.is_over() && k.member.name != probe.target)
            .map(|k| (rendezvous::weight(random, k.member.key()), k.addr))
            .collect();
        helpers.sort_unstable();
        for (_, to) in helpers.into_iter().take(INDIRECT) {
            let mut datagram = self.datagram(Purpose::ProbeFor, probe.number);
            datagram.target.clone_from(&probe.target);
            sends.push(Send { to, datagram });
        }
    }

    fn run_errand(&mut self, now_ms: u64, asker: SocketAddr, datagram: &Datagram) -> Vec<Send> {
        let Some(to) = self.others.get(&datagram.target).map(|k| k.addr) else {
            return Vec::new();
        };
        let own_number = self.number();
        let their_number = datagram.probe;
        self.errands.push(Errand { own_number, their_number, asker, asked_ms: now_ms });
        vec![Send { to, datagram: self.datagram(Purpose::Probe, own_number) }]
    }

    fn answer(&mut self, from: SocketAddr, probe: &Datagram) -> Vec<Send> {
        let mut sends =
            vec![Send { to: from, datagram: self.datagram(Purpose::Answer, probe.probe) }];
        sends.extend(self.repair(from, probe));
        sends
    }

    fn answered(&mut self, answer: &Datagram) -> Vec<Send> {
        if self.probe.as_ref().is_some_and(|p| p.number == answer.probe) {
            self.probe = None;
        }
        let Some(at) = self.errands.iter().position(|e| e.own_number == answer.probe) else {
            return Vec::new();
        };
        let errand = self.errands.swap_remove(at);
        let datagram = self.datagram(Purpose::Answer, errand.their_number);
        vec![Send { to: errand.asker, datagram }]
    }

    /// Sends the records of a bucket in which the two views differ.
    fn repair(&mut self, to: SocketAddr, probe: &Datagram) -> Vec<Send> {
        let (bucket, buckets) = (probe.bucket, probe.buckets.max(1));
        if probe.bucket_digest == self.bucket_digest(bucket, buckets) {
            return Vec::new();
        }
        let members: Vec<Member> = self.in_bucket(bucket, buckets).cloned().collect();
        let chunks = members.chunks(MAX_UPDATES);
        chunks
            .map(|chunk| Datagram {
                purpose: Purpose::Records as i32,
                members: chunk.to_vec(),
                ..Datagram::default()
            })
            .map(|datagram| Send { to, datagram })
            .collect()
    }

    fn in_bucket(&self, bucket: u64, buckets: u64) -> impl Iterator<Item = &Member> {
        let all = std::iter::once(&self.own).chain(self.others());
        all.filter(move |m| m.key() % buckets == bucket)
    }

    fn bucket_digest(&self, bucket: u64, buckets: u64) -> u64 {
        let rank = |m: &Member| {
            let (incarnation, revision, liveness) = m.rank();
            let liveness = u64::from(liveness.unsigned_abs());
            rendezvous::weight(m.key(), incarnation ^ (revision << 20) ^ liveness)
        };
        self.in_bucket(bucket, buckets).fold(0, |acc, m| acc ^ rank(m))
    }

    fn number(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }

    /// A datagram with the own record, the next updates and one bucket's digest.
    fn datagram(&mut self, purpose: Purpose, probe: u64) -> Datagram {
        let mut members = vec![self.own.clone()];
        let mut leaving = Vec::new();
        for _ in 0..MAX_UPDATES.min(self.queue.len()) {
            let Some((update, left)) = self.queue.pop_front() else { break };
            match &update {
                Update::Member(name) => {
                    members.extend(self.others.get(name).map(|k| k.member.clone()));
                }
                Update::Leaving(server) => leaving.push(*server),
            }
            if left > 1 {
                self.queue.push_back((update, left - 1));
            }
        }
        let buckets = (self.others.len() / RECORDS_PER_BUCKET + 1) as u64;
        self.next_bucket = (self.next_bucket + 1) % buckets;
        Datagram {
            purpose: purpose as i32,
            probe,
            members,
            leaving,
            bucket: self.next_bucket,
            buckets,
            bucket_digest: self.bucket_digest(self.next_bucket, buckets),
            ..Datagram::default()
        }
    }
}
