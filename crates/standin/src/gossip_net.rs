//! Gossip state machines of many instances in one process, run in virtual time.
//!
//! Measures how traffic and propagation time grow with the number of instances. This is not a
//! cluster simulator: lost datagrams are the only simulated fault, and time is a counter.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use eelgrasspier_decide::membership::{
    Datagram, InstanceState, ListedInstance, Member, Membership, OutgoingDatagram,
};
use eelgrasspier_decide::share::Agreement;
use prost::Message;

/// Virtual time between ticks, and the delay of a datagram, in milliseconds.
const TICK_MS: u64 = 50;
/// Number of instances that each instance initially gets from the platform's list.
const SEED_COUNT: usize = 16;

/// Control state of one instance.
#[derive(Debug)]
struct Node {
    membership: Membership,
    agreement: Agreement,
    seen_epoch: u64,
}

/// Simulated instances and the datagrams in flight between them.
#[derive(Debug)]
pub struct GossipNet {
    nodes: Vec<Node>,
    index_by_addr: BTreeMap<SocketAddr, usize>,
    in_flight: Vec<(SocketAddr, OutgoingDatagram)>,
    now_ms: u64,
    random: u64,
    lost_per_mille: u64,
    /// Total size of all datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Number of datagrams sent.
    pub sent_datagrams: u64,
    /// Size of the largest datagram sent, in bytes.
    pub max_datagram_bytes: u64,
}

fn instance_addr(number: usize) -> SocketAddr {
    let bits = 0x0a00_0000 + u32::try_from(number).unwrap_or(0) + 1;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(bits)), 7000)
}

impl GossipNet {
    /// Creates `count` instances that each know a few others from the platform's list.
    #[must_use]
    pub fn new(count: usize, lost_per_mille: u64) -> Self {
        let listed: Vec<ListedInstance> = (0..count)
            .map(|n| ListedInstance {
                name: format!("instance-{n}"),
                zone: format!("zone-{}", n % 8),
                peer_addr: instance_addr(n),
            })
            .collect();
        let nodes = (0..count).map(|n| new_node(&listed, n, count)).collect();
        Self {
            nodes,
            index_by_addr: (0..count).map(|n| (instance_addr(n), n)).collect(),
            in_flight: Vec::new(),
            now_ms: 0,
            random: 0x5eed,
            lost_per_mille,
            sent_bytes: 0,
            sent_datagrams: 0,
            max_datagram_bytes: 0,
        }
    }

    /// Returns the virtual time in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Advances virtual time by one tick and delivers the datagrams in flight.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for (from, send) in std::mem::take(&mut self.in_flight) {
            if let Some(&to) = self.index_by_addr.get(&send.to) {
                let sends = self.nodes[to].membership.receive(self.now_ms, from, &send.datagram);
                self.enqueue(to, sends);
            }
        }
        for number in 0..self.nodes.len() {
            let random = self.next_random();
            let sends = self.nodes[number].membership.tick(self.now_ms, random);
            self.enqueue(number, sends);
            self.nodes[number].update_agreement();
        }
    }

    /// Advances time until `predicate` returns true and returns the elapsed milliseconds.
    ///
    /// Returns `None` if this takes longer than `max_ms`.
    pub fn run_until(&mut self, max_ms: u64, predicate: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while !predicate(self) {
            if self.now_ms >= start_ms + max_ms {
                return None;
            }
            self.tick();
        }
        Some(self.now_ms - start_ms)
    }

    /// Sets the active configuration version of one instance.
    pub fn set_config_version(&mut self, index: usize, version: u64) {
        self.nodes[index].membership.update_own(|m| m.config_version = version);
    }

    /// Returns true if every instance knows of this configuration version or a newer one.
    #[must_use]
    pub fn all_know_version(&self, version: u64) -> bool {
        self.nodes.iter().all(|n| {
            let others = n.membership.peers().map(|m| m.config_version);
            others.chain([n.membership.own().config_version]).max() >= Some(version)
        })
    }

    /// Returns true if every instance considers all others alive.
    #[must_use]
    pub fn all_joined(&self) -> bool {
        let count = self.nodes.len();
        self.nodes.iter().all(|n| n.membership.live_count() == count)
    }

    /// Returns true if all instances agree on the division of connections.
    #[must_use]
    pub fn all_agreed(&self) -> bool {
        let count = self.nodes.len();
        self.nodes
            .iter()
            .all(|n| n.agreement.is_agreed() && n.agreement.current_members().len() == count)
    }

    /// Removes one instance as in a planned stop.
    pub fn leave(&mut self, index: usize) {
        let random = self.next_random();
        self.nodes[index].membership.update_own(|m| m.state = InstanceState::Left as i32);
        let sends = self.nodes[index].membership.broadcast_own_record(16, 16, random);
        self.enqueue(index, sends);
        let node = self.nodes.remove(index);
        self.index_by_addr.remove(&own_addr(&node.membership));
        let nodes = self.nodes.iter().enumerate();
        self.index_by_addr = nodes.map(|(n, node)| (own_addr(&node.membership), n)).collect();
    }

    fn enqueue(&mut self, from: usize, sends: Vec<OutgoingDatagram>) {
        let from = own_addr(&self.nodes[from].membership);
        for send in sends {
            let size_bytes = encoded_bytes(&send.datagram);
            self.sent_bytes += size_bytes;
            self.sent_datagrams += 1;
            self.max_datagram_bytes = self.max_datagram_bytes.max(size_bytes);
            if self.next_random() % 1000 >= self.lost_per_mille {
                self.in_flight.push((from, send));
            }
        }
    }

    /// Returns the next number of a fixed xorshift sequence, which makes runs reproducible.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}

impl Node {
    /// Updates the share agreement after a membership change and announces its digest.
    ///
    /// Follows the daemon's `control` module: the members determine the shares of connections.
    fn update_agreement(&mut self) {
        if self.seen_epoch == self.membership.change_count() {
            return;
        }
        self.seen_epoch = self.membership.change_count();
        self.agreement.set_members(&self.membership.possible_connection_holders());
        for member in self.membership.peers() {
            self.agreement.on_announcement(member.key(), member.share_digest);
        }
        let digest = self.agreement.digest();
        self.membership.update_own(|m| m.share_digest = digest);
    }
}

fn new_node(listed: &[ListedInstance], number: usize, count: usize) -> Node {
    let member = Member {
        name: listed[number].name.clone(),
        incarnation: 1_764_700_000_000,
        revision: 1,
        state: InstanceState::Ready as i32,
        zone: listed[number].zone.clone(),
        peer_addr: instance_addr(number).to_string(),
        http_addr: instance_addr(number).to_string(),
        ..Member::default()
    };
    let agreement = Agreement::new(member.key());
    let mut membership = Membership::new(member);
    let seeds = (0..SEED_COUNT.min(count)).map(|i| listed[(number + i * 37) % count].clone());
    membership.set_listed(&seeds.collect::<Vec<_>>());
    Node { membership, agreement, seen_epoch: 0 }
}

fn own_addr(membership: &Membership) -> SocketAddr {
    membership.own().peer_addr.parse().unwrap_or_else(|_| instance_addr(0))
}

fn encoded_bytes(datagram: &Datagram) -> u64 {
    datagram.encoded_len() as u64
}
