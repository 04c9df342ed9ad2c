//! Gossip state machines of many instances in one process and in virtual time.
//!
//! Not a simulator of a cluster: no faults but lost datagrams, no time but a
//! counter. It measures how bytes and spread grow with the number of instances.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use eelgrasspier_decide::membership::{Datagram, Listed, Member, Membership, Send, State};
use eelgrasspier_decide::share::Agreement;
use prost::Message;

/// Virtual time between two ticks, and the delay of a datagram, in milliseconds.
const TICK_MS: u64 = 50;
/// Instances of which a starting one reads in the platform's list.
const LISTED: usize = 16;

/// One instance's control state.
#[derive(Debug)]
struct Node {
    membership: Membership,
    agreement: Agreement,
    seen_epoch: u64,
}

/// Many instances and the datagrams between them.
#[derive(Debug)]
pub struct Net {
    nodes: Vec<Node>,
    at: BTreeMap<SocketAddr, usize>,
    in_flight: Vec<(SocketAddr, Send)>,
    now_ms: u64,
    random: u64,
    lost_per_mille: u64,
    /// Bytes of all datagrams sent so far.
    pub sent_bytes: u64,
    /// Datagrams sent so far.
    pub sent: u64,
    /// The longest datagram, in bytes.
    pub longest_bytes: u64,
}

fn addr(number: usize) -> SocketAddr {
    let bits = 0x0a00_0000 + u32::try_from(number).unwrap_or(0) + 1;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(bits)), 7000)
}

impl Net {
    /// `count` instances that know a few of each other from the platform's list.
    #[must_use]
    pub fn new(count: usize, lost_per_mille: u64) -> Self {
        let listed: Vec<Listed> = (0..count)
            .map(|n| Listed {
                name: format!("instance-{n}"),
                zone: format!("zone-{}", n % 8),
                peer_addr: addr(n),
            })
            .collect();
        let nodes = (0..count).map(|n| node(&listed, n, count)).collect();
        Self {
            nodes,
            at: (0..count).map(|n| (addr(n), n)).collect(),
            in_flight: Vec::new(),
            now_ms: 0,
            random: 0x5eed,
            lost_per_mille,
            sent_bytes: 0,
            sent: 0,
            longest_bytes: 0,
        }
    }

    /// Virtual time in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Lets one tick pass.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for (from, send) in std::mem::take(&mut self.in_flight) {
            if let Some(&to) = self.at.get(&send.to) {
                let sends = self.nodes[to].membership.receive(self.now_ms, from, &send.datagram);
                self.post(to, sends);
            }
        }
        for number in 0..self.nodes.len() {
            let random = self.next_random();
            let sends = self.nodes[number].membership.tick(self.now_ms, random);
            self.post(number, sends);
            self.nodes[number].agree();
        }
    }

    /// Lets time pass until `holds`, for at most `most_ms`; returns the time it took.
    pub fn until(&mut self, most_ms: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while !holds(self) {
            if self.now_ms >= start_ms + most_ms {
                return None;
            }
            self.tick();
        }
        Some(self.now_ms - start_ms)
    }

    /// Puts a configuration version in force on one instance.
    pub fn put_in_force(&mut self, at: usize, version: u64) {
        self.nodes[at].membership.update_own(|m| m.config_version = version);
    }

    /// Whether every instance has heard of a version at least this high.
    #[must_use]
    pub fn all_heard_of(&self, version: u64) -> bool {
        self.nodes.iter().all(|n| {
            let others = n.membership.others().map(|m| m.config_version);
            others.chain([n.membership.own().config_version]).max() >= Some(version)
        })
    }

    /// Whether every instance knows all others as live.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        let count = self.nodes.len();
        self.nodes.iter().all(|n| n.membership.alive_count() == count)
    }

    /// Whether all instances agree on shares.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        let count = self.nodes.len();
        self.nodes.iter().all(|n| n.agreement.is_agreed() && n.agreement.current().len() == count)
    }

    /// Lets one instance leave as in a planned stop.
    pub fn leave(&mut self, at: usize) {
        let random = self.next_random();
        self.nodes[at].membership.update_own(|m| m.state = State::Left as i32);
        let sends = self.nodes[at].membership.farewell(16, 16, random);
        self.post(at, sends);
        let node = self.nodes.remove(at);
        self.at.remove(&addr_of(&node.membership));
        let nodes = self.nodes.iter().enumerate();
        self.at = nodes.map(|(n, node)| (addr_of(&node.membership), n)).collect();
    }

    fn post(&mut self, from: usize, sends: Vec<Send>) {
        let from = addr_of(&self.nodes[from].membership);
        for send in sends {
            let size_bytes = size(&send.datagram);
            self.sent_bytes += size_bytes;
            self.sent += 1;
            self.longest_bytes = self.longest_bytes.max(size_bytes);
            if self.next_random() % 1000 >= self.lost_per_mille {
                self.in_flight.push((from, send));
            }
        }
    }

    /// A fixed sequence, so that every run counts the same.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}

impl Node {
    /// As control does: the members bound the share, whose digest is announced.
    fn agree(&mut self) {
        if self.seen_epoch == self.membership.epoch() {
            return;
        }
        self.seen_epoch = self.membership.epoch();
        self.agreement.set_members(&self.membership.holders());
        for member in self.membership.others() {
            self.agreement.heard(member.key(), member.share_digest);
        }
        let digest = self.agreement.digest();
        self.membership.update_own(|m| m.share_digest = digest);
    }
}

fn node(listed: &[Listed], number: usize, count: usize) -> Node {
    let member = Member {
        name: listed[number].name.clone(),
        incarnation: 1_764_700_000_000,
        revision: 1,
        state: State::Ready as i32,
        zone: listed[number].zone.clone(),
        peer_addr: addr(number).to_string(),
        http_addr: addr(number).to_string(),
        ..Member::default()
    };
    let agreement = Agreement::new(member.key());
    let mut membership = Membership::new(member);
    let seen = (0..LISTED.min(count)).map(|i| listed[(number + i * 37) % count].clone());
    membership.set_listed(&seen.collect::<Vec<_>>());
    Node { membership, agreement, seen_epoch: 0 }
}

fn addr_of(membership: &Membership) -> SocketAddr {
    membership.own().peer_addr.parse().unwrap_or_else(|_| addr(0))
}

fn size(datagram: &Datagram) -> u64 {
    datagram.encoded_len() as u64
}
