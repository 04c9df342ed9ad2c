//! Replacement of watchers that are lost together, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use eelgrasspier_decide::membership::{
    Datagram, InstanceState, Liveness, Member, Membership, OutgoingDatagram, Purpose,
};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::watcher_health::WatcherHealth;
use eelgrasspier_decide::watchers::{self, Candidate, WATCHER_COUNT};

/// Time between ticks, and the delay of a datagram, in milliseconds.
const TICK_MS: u64 = 50;
/// Time in which a remaining instance must watch: changes have to be in force within 3 s.
const MAX_REPLACEMENT_MS: u64 = 2_000;
/// Instances that replace lost watchers.
const STANDBYS: usize = 9;

struct Node {
    membership: Membership,
    health: WatcherHealth,
    is_lost: bool,
}

impl Node {
    fn candidates(&self) -> (Candidate, Vec<Candidate>) {
        let candidate = |m: &Member| Candidate {
            key: m.key(),
            zone: rendezvous::hash(&m.zone),
            is_store_reached: true,
            is_responsive: m.may_hold_roles() && self.health.is_responsive(m.key()),
        };
        (candidate(self.membership.own()), self.membership.live_peers().map(candidate).collect())
    }

    fn is_watcher(&self) -> bool {
        let (own, others) = self.candidates();
        watchers::is_watcher(own, &others)
    }

    fn check_watchers(&mut self, now_ms: u64) -> Vec<OutgoingDatagram> {
        if !self.health.is_check_due(now_ms) {
            return Vec::new();
        }
        let (own, others) = self.candidates();
        let keys = watchers::check_targets(own, &others);
        let checked = self.membership.live_peers().filter(|m| keys.contains(&m.key()));
        let targets: Vec<(u64, SocketAddr)> =
            checked.map(|m| (m.key(), m.peer_addr.parse().unwrap())).collect();
        self.health.record_checks(&targets, now_ms);
        targets.iter().map(|(_, to)| message(*to, Purpose::WatcherCheck)).collect()
    }

    fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> Vec<OutgoingDatagram> {
        match datagram.purpose() {
            Purpose::WatcherCheck => vec![message(from, Purpose::AbleToWatch)],
            Purpose::AbleToWatch => {
                self.health.record_answer(from);
                Vec::new()
            }
            _ => self.membership.receive(now_ms, from, datagram),
        }
    }
}

fn message(to: SocketAddr, purpose: Purpose) -> OutgoingDatagram {
    OutgoingDatagram { to, datagram: Datagram { purpose: purpose as i32, ..Datagram::default() } }
}

struct Fleet {
    nodes: Vec<Node>,
    index_by_addr: BTreeMap<SocketAddr, usize>,
    in_flight: Vec<(SocketAddr, OutgoingDatagram)>,
    now_ms: u64,
    seed: u64,
    drawn: u64,
    lost_per_mille: u64,
}

impl Fleet {
    /// Creates a fleet whose instances all know each other.
    fn new(count: usize, zones: usize, lost_per_mille: u64, seed: u64) -> Self {
        let member = |n: usize| Member {
            name: format!("instance-{n}"),
            incarnation: 1,
            revision: 1,
            state: InstanceState::Ready as i32,
            zone: format!("zone-{}", n % zones),
            peer_addr: addr(n).to_string(),
            is_store_reached: true,
            ..Member::default()
        };
        let all: Vec<Member> = (0..count).map(member).collect();
        let node = |own: &Member| {
            let mut membership = Membership::new(own.clone());
            membership.merge_table(&all, 0);
            Node { membership, health: WatcherHealth::default(), is_lost: false }
        };
        let mut fleet = Self {
            nodes: all.iter().map(node).collect(),
            index_by_addr: (0..count).map(|n| (addr(n), n)).collect(),
            in_flight: Vec::new(),
            now_ms: 0,
            seed,
            drawn: 0,
            lost_per_mille,
        };
        fleet.run(1_000);
        fleet
    }

    fn random(&mut self) -> u64 {
        self.drawn += 1;
        rendezvous::weight(self.seed, self.drawn)
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for (from, send) in std::mem::take(&mut self.in_flight) {
            let to = self.index_by_addr[&send.to];
            if !self.nodes[to].is_lost {
                let sends = self.nodes[to].receive(self.now_ms, from, &send.datagram);
                self.send(to, sends);
            }
        }
        for number in 0..self.nodes.len() {
            if self.nodes[number].is_lost {
                continue;
            }
            let random = self.random();
            let mut sends = self.nodes[number].membership.tick(self.now_ms, random);
            sends.extend(self.nodes[number].check_watchers(self.now_ms));
            self.send(number, sends);
        }
    }

    fn send(&mut self, from: usize, sends: Vec<OutgoingDatagram>) {
        for send in sends {
            if self.random() % 1_000 >= self.lost_per_mille {
                self.in_flight.push((addr(from), send));
            }
        }
    }

    /// Returns the instances by rank, the first watcher first.
    fn ranked(&self) -> Vec<usize> {
        let mut ranked: Vec<usize> = (0..self.nodes.len()).collect();
        ranked.sort_by_key(|&n| {
            std::cmp::Reverse(watchers::rank(self.nodes[n].membership.own().key()))
        });
        ranked
    }

    fn lose(&mut self, lost: impl IntoIterator<Item = usize>) {
        for number in lost {
            self.nodes[number].is_lost = true;
        }
    }

    fn watchers(&self) -> BTreeSet<usize> {
        let watches = |&n: &usize| !self.nodes[n].is_lost && self.nodes[n].is_watcher();
        (0..self.nodes.len()).filter(watches).collect()
    }

    /// Returns the time until a remaining instance watches, in milliseconds.
    fn replacement_ms(&mut self) -> u64 {
        let lost_ms = self.now_ms;
        while self.watchers().is_empty() {
            assert!(self.now_ms < lost_ms + 60_000, "nobody watches");
            self.tick();
        }
        self.now_ms - lost_ms
    }
}

fn addr(number: usize) -> SocketAddr {
    ([10, 0, u8::try_from(number / 250).unwrap(), u8::try_from(number % 250).unwrap()], 7000).into()
}

/// Guards against changes that nobody follows for over four seconds after all watchers were lost.
#[test]
fn all_watchers_lost_together_are_replaced_in_time() {
    for (count, zones, lost) in [(4, 2, 3), (6, 3, 3), (6, 3, 4), (7, 4, 4), (7, 4, 6)] {
        for seed in 0..20 {
            let mut fleet = Fleet::new(count, zones, 10, seed);
            let ranked = fleet.ranked();
            fleet.lose(ranked[..lost].iter().copied());
            let replacement_ms = fleet.replacement_ms();
            assert!(
                replacement_ms <= MAX_REPLACEMENT_MS,
                "{lost} of {count}, seed {seed}: {replacement_ms} ms"
            );
        }
    }
}

/// Guards against the same in a large fleet, in which probes find the lost ones only after seconds.
#[test]
fn all_watchers_of_a_large_fleet_are_replaced_in_time() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(300, 4, 10, seed);
        let ranked = fleet.ranked();
        // One standby remains, and two in five of the others.
        let standbys = WATCHER_COUNT..WATCHER_COUNT + STANDBYS;
        let kept = standbys.start + usize::try_from(seed).unwrap() * 4;
        let others = ranked[standbys.end..].iter().filter(|&&n| n % 5 < 3);
        let lost: Vec<usize> = others.chain(&ranked[..standbys.end]).copied().collect();
        fleet.lose(lost.into_iter().filter(|&n| n != ranked[kept]));
        let replacement_ms = fleet.replacement_ms();
        assert!(replacement_ms <= MAX_REPLACEMENT_MS, "seed {seed}: {replacement_ms} ms");
    }
}

/// Guards against store calls of more instances than needed while only datagrams are lost.
#[test]
fn lost_datagrams_make_no_instance_watch() {
    for (count, zones) in [(6, 3), (60, 4)] {
        let mut fleet = Fleet::new(count, zones, 10, 1);
        let expected = fleet.watchers();
        assert_eq!(expected.len(), WATCHER_COUNT);
        let mut extra_ticks = 0;
        for _ in 0..60_000 / TICK_MS {
            fleet.tick();
            extra_ticks += fleet.watchers().difference(&expected).count();
        }
        assert_eq!(extra_ticks, 0, "of {count}");
    }
}

/// Guards against more instances that are taken for dead than without the checks.
#[test]
fn unanswered_checks_declare_no_instance_dead() {
    let mut fleet = Fleet::new(6, 3, 0, 1);
    let ranked = fleet.ranked();
    let last = *ranked.last().unwrap();
    let node = &mut fleet.nodes[last];
    for step in 1..=20 {
        // The checks are not sent, so that they stay unanswered.
        node.check_watchers(fleet.now_ms + step * 1_000);
    }
    assert!(node.is_watcher());
    assert!(node.membership.peers().all(|m| m.liveness() == Liveness::Alive));
    fleet.run(2_000);
    assert!(!fleet.nodes[last].is_watcher());
}
