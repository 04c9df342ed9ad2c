//! SWIM-style membership of the instances: liveness, state and announcements by gossip.
//!
//! The platform's list of instances lags, so it only provides seeds and the upper bound of the
//! members. In each round an instance probes one other instance; if that does not answer, it asks a
//! few others to probe it as well. Updates are piggybacked on these datagrams. Only the instance
//! itself changes its record and raises its revision; others may only mark it as suspect, which the
//! instance refutes by a higher revision.
//!
//! Traffic is bounded: one probe per round, a bounded number of updates per datagram, and one
//! bucket of records compared per probe. The comparison repairs what a lost datagram carried
//! without ever sending the whole table.

mod dissemination;
mod probe;
mod reports;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::fingerprint::Fingerprint;
pub use crate::gossip::{
    Datagram, InstanceState, LeavingServer, ListedInstance, Liveness, Member, MembershipChange,
    OutgoingDatagram, Purpose,
};
use crate::quarantine::Quarantine;
use crate::rendezvous;

pub use probe::PROBE_INTERVAL_MS;

#[derive(Debug, Clone)]
struct PeerRecord {
    member: Member,
    addr: SocketAddr,
    /// Time at which it became suspect, dead or left.
    since_ms: u64,
    is_listed: bool,
}

impl PeerRecord {
    fn is_dead_or_left(&self) -> bool {
        self.member.is_dead_or_left()
    }

    /// True if the instance is probed; dead ones are included, since they may return.
    fn is_probe_target(&self) -> bool {
        self.member.state() != InstanceState::Left
    }
}

#[derive(Debug, Clone)]
struct Probe {
    number: u64,
    target: String,
    /// Start time of the process to which it was sent.
    incarnation: u64,
    sent_ms: u64,
    has_indirect_probes: bool,
}

/// A probe that this instance sends on behalf of another one.
#[derive(Debug, Clone)]
struct IndirectProbe {
    own_number: u64,
    requester_number: u64,
    requester: SocketAddr,
    requested_ms: u64,
}

#[derive(Debug, Clone, PartialEq)]
enum Update {
    Member(String),
    Leaving(LeavingServer),
    /// The current report on a request that crashes replicas.
    Report(Fingerprint),
}

/// One instance's view of all instances.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Member,
    peers: BTreeMap<String, PeerRecord>,
    listed: BTreeMap<String, ListedInstance>,
    queue: VecDeque<(Update, u32)>,
    probe: Option<Probe>,
    indirect_probes: Vec<IndirectProbe>,
    /// Names in this instance's zone still to be probed, the next one last.
    same_zone_order: Vec<String>,
    /// Names in all other zones still to be probed, the next one last.
    other_zone_order: Vec<String>,
    next_probe: u64,
    next_bucket: u64,
    last_probe_ms: u64,
    last_gossip_ms: u64,
    changes: Vec<MembershipChange>,
    /// Bytes that updates and repairs may still use; while negative, they are held back.
    send_budget_bytes: i64,
    last_tick_ms: u64,
    /// Incremented whenever a record or the platform's list changes.
    change_count: u64,
    /// Incremented whenever the presence of an instance changes.
    presence_count: u64,
    /// Reports on requests that crash replicas.
    quarantine: Quarantine,
    /// Rate limit of report broadcasts.
    broadcasts: reports::BroadcastLimiter,
}

impl Membership {
    /// Creates the view of an instance that has just started and knows no other.
    #[must_use]
    pub fn new(own: Member) -> Self {
        let mut membership = Self {
            own,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            queue: VecDeque::new(),
            probe: None,
            indirect_probes: Vec::new(),
            same_zone_order: Vec::new(),
            other_zone_order: Vec::new(),
            next_probe: 1,
            next_bucket: 0,
            last_probe_ms: 0,
            last_gossip_ms: 0,
            changes: Vec::new(),
            send_budget_bytes: 0,
            last_tick_ms: 0,
            change_count: 0,
            presence_count: 0,
            quarantine: Quarantine::default(),
            broadcasts: reports::BroadcastLimiter::default(),
        };
        membership.announce_own();
        membership
    }

    /// Returns the record of this instance.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes the record of this instance and announces it if it differs.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.own.revision = before.revision + 1;
            self.announce_own();
        }
    }

    /// Returns the records of the other instances, dead ones included.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|k| &k.member)
    }

    /// Returns the records of the other instances that have neither died nor left.
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(|k| !k.is_dead_or_left()).map(|k| &k.member)
    }

    /// Returns the number of instances that have neither died nor left, including this one.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.live_peers().count()
    }

    /// Returns the number of instances that the platform lists, including this one.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        1 + self.listed.len()
    }

    /// Returns a counter that changes with anything that shares or views may depend on.
    ///
    /// With thousands of members, callers recompute derived state only when the counter has
    /// changed.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns a counter that changes whenever the live or serving instances change, or the address,
    /// zone or capacity of a serving one.
    ///
    /// Other changes of records, such as announced versions, are far more frequent in a large fleet.
    #[must_use]
    pub fn presence_count(&self) -> u64 {
        self.presence_count
    }

    /// Returns the keys of all instances that may hold connections to backend servers.
    ///
    /// An instance counts until it announces that it has left, or until it is dead and no longer
    /// listed by the platform: a paused process answers no probe but still holds its connections.
    #[must_use]
    pub fn possible_connection_holders(&self) -> std::collections::BTreeSet<u64> {
        let left = |name: &String| {
            self.peers.get(name).is_some_and(|k| k.member.state() == InstanceState::Left)
        };
        let listed = self.listed.keys().filter(|name| !left(name));
        let alive = self.peers.iter().filter(|(_, k)| !k.is_dead_or_left()).map(|(name, _)| name);
        let names = listed.chain(alive).map(|name| rendezvous::hash(name));
        names.chain([self.own.key()]).collect()
    }

    /// Replaces the platform's list of instances.
    pub fn set_listed(&mut self, list: &[ListedInstance]) {
        let others = list.iter().filter(|l| l.name != self.own.name);
        let listed: BTreeMap<_, _> = others.map(|l| (l.name.clone(), l.clone())).collect();
        if listed == self.listed {
            return;
        }
        self.change_count += 1;
        self.listed = listed;
        for known in self.peers.values_mut() {
            known.is_listed = self.listed.contains_key(&known.member.name);
        }
    }

    /// Returns and clears the changes recorded since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Processes a datagram; returns the datagrams to send in response.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> Vec<OutgoingDatagram> {
        for member in &datagram.members {
            self.merge_record(member, now_ms, true);
        }
        for &server in &datagram.leaving {
            self.changes.push(MembershipChange::ServerLeaving(server));
        }
        self.merge_reports(&datagram.reports, now_ms);
        let sends = match datagram.purpose() {
            Purpose::Probe => self.on_probe(from, datagram),
            Purpose::Answer => self.on_answer(from, datagram),
            Purpose::ProbeFor => self.start_indirect_probe(now_ms, from, datagram),
            Purpose::Records | Purpose::WatcherCheck | Purpose::AbleToWatch => Vec::new(),
        };
        self.charge(&sends);
        sends
    }

    /// Returns the records of all live instances, including this one.
    #[must_use]
    pub fn live_records(&self) -> Vec<Member> {
        std::iter::once(&self.own).chain(self.live_peers()).cloned().collect()
    }

    /// Merges another instance's table.
    ///
    /// Gossip spreads these records already, so none of them is queued for spreading here.
    pub fn merge_table(&mut self, table: &[Member], now_ms: u64) {
        for member in table {
            self.merge_record(member, now_ms, false);
        }
    }

    /// Returns the address of a live listed instance, preferring this instance's zone.
    #[must_use]
    pub fn pick_listed_live(&self, random: u64) -> Option<SocketAddr> {
        let listed = self.peers.values().filter(|k| k.is_listed && !k.is_dead_or_left());
        let priority = |k: &&PeerRecord| {
            let is_in_other_zone = k.member.zone != self.own.zone;
            (is_in_other_zone, rendezvous::weight(random, k.member.key()))
        };
        listed.min_by_key(priority).map(|k| k.addr)
    }

    fn merge_record(&mut self, member: &Member, now_ms: u64, should_spread: bool) {
        if member.name == self.own.name {
            return self.on_own_record(member);
        }
        let Ok(addr) = member.peer_addr.parse() else { return };
        let known = self.peers.get(&member.name);
        if known.is_some_and(|k| k.member.rank() >= member.rank()) {
            return;
        }
        let is_new = known.is_none();
        let liveness_before = known.filter(|k| !k.is_dead_or_left()).map(|k| k.member.liveness());
        let is_same_state = known.is_some_and(|k| k.member.state == member.state);
        let presence_before = known.map(|k| k.member.presence()).unwrap_or_default();
        let is_present_as_before = presence_before == member.presence();
        let is_listed = self.listed.contains_key(&member.name);
        let known = PeerRecord { member: member.clone(), addr, since_ms: now_ms, is_listed };
        if !is_same_state && !is_new {
            self.changes.push(MembershipChange::StateChanged(member.name.clone()));
        }
        self.change_count += 1;
        self.presence_count += u64::from(!is_present_as_before);
        self.record_change(&known, liveness_before);
        self.peers.insert(member.name.clone(), known);
        if should_spread {
            let transmits = self.transmit_limit();
            self.enqueue(Update::Member(member.name.clone()), transmits);
        }
    }

    /// Records a change of liveness for the log; `before` is `None` for one that was dead or new.
    fn record_change(&mut self, known: &PeerRecord, before: Option<Liveness>) {
        let name = known.member.name.clone();
        match (known.member.state(), known.member.liveness()) {
            (InstanceState::Left, _) => self.changes.push(MembershipChange::Left(name)),
            (_, Liveness::Dead) => self.changes.push(MembershipChange::DeclaredDead(name)),
            (_, Liveness::Suspect) => self.changes.push(MembershipChange::Suspected(name)),
            (_, Liveness::Alive) => match before {
                None => self.changes.push(MembershipChange::Joined(name)),
                Some(Liveness::Suspect) => self.changes.push(MembershipChange::Recovered(name)),
                Some(_) => {}
            },
        }
    }

    /// Handles a record about this instance; refutes a suspicion by a higher revision.
    ///
    /// A record with a higher incarnation comes from this instance's previous process, whose clock
    /// was ahead. This instance has to exceed that incarnation: otherwise the others would reject
    /// all its records as stale and consider it dead although it answers.
    fn on_own_record(&mut self, member: &Member) {
        if member.incarnation > self.own.incarnation {
            self.own.incarnation = member.incarnation + 1;
            self.announce_own();
            return;
        }
        let is_current = member.incarnation == self.own.incarnation;
        let is_suspected = member.liveness() != Liveness::Alive;
        if is_current && member.revision >= self.own.revision && is_suspected {
            self.own.revision = member.revision + 1;
            self.changes.push(MembershipChange::Refuted);
            self.announce_own();
        }
    }

    fn downgrade_liveness(&mut self, name: &str, liveness: Liveness, now_ms: u64) {
        let Some(known) = self.peers.get_mut(name) else { return };
        if known.member.liveness >= liveness as i32 {
            return;
        }
        let before = known.member.clone();
        known.member.liveness = liveness as i32;
        known.since_ms = now_ms;
        self.change_count += 1;
        self.presence_count += u64::from(known.member.presence() != before.presence());
        let known = known.clone();
        self.record_change(&known, Some(before.liveness()));
        let transmits = self.transmit_limit();
        self.enqueue(Update::Member(name.to_owned()), transmits);
    }
}
