//! Dissemination: the queue of updates, size-bounded datagrams and repair of differences.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use prost::Message;

use super::{Membership, PeerRecord, Update};
use crate::gossip::{Datagram, LeavingServer, Member, OutgoingDatagram, Purpose};
use crate::rendezvous;
use crate::watchers;

/// Maximum number of updates on one datagram.
pub(super) const MAX_UPDATES: usize = 12;
/// Average number of records in a bucket; a bucket is compared and repaired as a whole.
const RECORDS_PER_BUCKET: usize = 8;
/// Time in milliseconds between datagrams that only carry updates, while any are queued.
///
/// With datagrams of a kilobyte this limits what an instance sends to about 5 KB per second.
pub(super) const GOSSIP_INTERVAL_MS: u64 = 200;
/// Transmissions of each update, as a multiple of the logarithm of the member count.
const TRANSMITS_PER_LOG: u32 = 2;

/// Average bytes per second that an instance may send.
///
/// Probes and answers are always sent; they take about 4 KB per second when all are full. Updates
/// and repairs are held back while the average is exceeded.
const SEND_BYTES_PER_S: u64 = 6_000;
/// Live peers in the same zone from which on datagrams rarely go to other zones.
///
/// With this many, updates keep spreading within the zone even if some of its instances fail.
const MIN_SAME_ZONE_PEERS: u64 = 8;
/// In a large zone, one in this many datagrams goes to another zone.
const CROSS_ZONE_ONE_IN: u64 = 8;
/// Key that separates this draw from others made with the same random number.
const CROSS_ZONE_DRAW_KEY: u64 = 1;
/// Maximum bytes that may accumulate for a burst of updates.
const MAX_BURST_BYTES: i64 = 12_000;

impl Membership {
    /// Adds the byte allowance for the time since the last tick.
    pub(super) fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        let bytes = i64::try_from(elapsed_ms * SEND_BYTES_PER_S / 1000).unwrap_or(MAX_BURST_BYTES);
        self.send_budget_bytes = (self.send_budget_bytes + bytes).min(MAX_BURST_BYTES);
    }

    /// Deducts the bytes of the given datagrams from the allowance.
    pub(super) fn charge(&mut self, sends: &[OutgoingDatagram]) {
        let bytes: usize = sends.iter().map(|s| s.datagram.encoded_len()).sum();
        self.send_budget_bytes -= i64::try_from(bytes).unwrap_or(0);
    }

    /// Queues the announcement that a backend server is leaving.
    pub fn announce_server_leaving(&mut self, server: LeavingServer) {
        let transmits = self.transmit_limit();
        self.enqueue(Update::Leaving(server), transmits);
    }

    /// Returns datagrams that announce this instance's last state to up to `max` others at once.
    ///
    /// Instances of the same zone come first; at most `max_other_zone` are in other zones. Among
    /// these, the fetchers of their zones come first, since they pass updates on within their zone.
    pub fn broadcast_own_record(
        &mut self,
        max: usize,
        max_other_zone: usize,
        random: u64,
    ) -> Vec<OutgoingDatagram> {
        let records = |to| OutgoingDatagram {
            to,
            datagram: Datagram {
                purpose: Purpose::Records as i32,
                members: vec![self.own.clone()],
                ..Datagram::default()
            },
        };
        self.broadcast_targets(max, max_other_zone, random).into_iter().map(records).collect()
    }

    /// Returns up to `max` addresses for a broadcast, at most `max_other_zone` in other zones.
    pub(super) fn broadcast_targets(
        &self,
        max: usize,
        max_other_zone: usize,
        random: u64,
    ) -> Vec<SocketAddr> {
        let alive: Vec<&PeerRecord> =
            self.peers.values().filter(|k| !k.is_dead_or_left()).collect();
        let mut max_rank_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        for known in alive.iter().filter(|k| k.member.may_hold_roles()) {
            let rank = max_rank_by_zone.entry(&known.member.zone).or_default();
            *rank = (*rank).max(watchers::rank(known.member.key()));
        }
        let priority = |known: &&PeerRecord| {
            let member = &known.member;
            let is_fetcher =
                max_rank_by_zone.get(member.zone.as_str()) == Some(&watchers::rank(member.key()));
            let weight = rendezvous::weight(random, member.key());
            (self.is_in_other_zone(member), !is_fetcher, weight, known.addr)
        };
        let mut ranked: Vec<_> = alive.iter().map(priority).collect();
        ranked.sort_unstable();
        let (other_zone, same_zone): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(is_in_other_zone, ..)| *is_in_other_zone);
        let targets =
            same_zone.into_iter().chain(other_zone.into_iter().take(max_other_zone)).take(max);
        targets.map(|(.., to)| to).collect()
    }

    /// True if an instance is in another zone.
    pub(super) fn is_in_other_zone(&self, member: &Member) -> bool {
        member.zone != self.own.zone
    }

    /// True if the next datagram goes to another zone.
    ///
    /// In a small zone the probability follows the share of instances in other zones. In a large
    /// zone it is low: updates spread just as fast within the zone, and each of its instances
    /// carries some across. Without this rule, such gossip made up 42 of 72 MB of cross-zone
    /// traffic of 195 instances in 48 seconds without disturbances.
    pub(super) fn picks_other_zone(&self, random: u64) -> bool {
        let alive = || self.peers.values().filter(|k| !k.is_dead_or_left());
        let other_zone = alive().filter(|k| self.is_in_other_zone(&k.member)).count() as u64;
        let same_zone = alive().count() as u64 - other_zone;
        let draw = rendezvous::weight(random, CROSS_ZONE_DRAW_KEY);
        if same_zone < MIN_SAME_ZONE_PEERS {
            draw % (same_zone + other_zone).max(1) < other_zone
        } else {
            draw.is_multiple_of(CROSS_ZONE_ONE_IN)
        }
    }

    /// Sends queued updates to one other member without waiting for a probe.
    pub(super) fn send_updates(&mut self, random: u64, sends: &mut Vec<OutgoingDatagram>) {
        if self.send_budget_bytes < 0 {
            return;
        }
        let is_in_other_zone = self.picks_other_zone(random);
        let alive = self.peers.values().filter(|k| !k.is_dead_or_left());
        let candidates = alive.filter(|k| self.is_in_other_zone(&k.member) == is_in_other_zone);
        let chosen = candidates.max_by_key(|k| rendezvous::weight(random, k.member.key()));
        if let Some(to) = chosen.map(|k| k.addr) {
            sends.push(OutgoingDatagram { to, datagram: self.datagram(Purpose::Records, 0) });
        }
    }

    pub(super) fn announce_own(&mut self) {
        let transmits = self.transmit_limit();
        self.enqueue(Update::Member(self.own.name.clone()), transmits);
    }

    pub(super) fn transmit_limit(&self) -> u32 {
        TRANSMITS_PER_LOG * (self.peers.len() as u64 + 2).ilog2().max(1)
    }

    /// Puts an update at the front of the queue, so that new updates are sent before older ones.
    pub(super) fn enqueue(&mut self, update: Update, transmits: u32) {
        self.queue.retain(|(u, _)| *u != update);
        self.queue.push_front((update, transmits));
    }

    /// Sends the records of a bucket whose digests differ.
    pub(super) fn repair_bucket(
        &mut self,
        to: SocketAddr,
        probe: &Datagram,
    ) -> Vec<OutgoingDatagram> {
        if self.send_budget_bytes < 0 {
            return Vec::new();
        }
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
            .map(|datagram| OutgoingDatagram { to, datagram })
            .collect()
    }

    pub(super) fn in_bucket(&self, bucket: u64, buckets: u64) -> impl Iterator<Item = &Member> {
        let all = std::iter::once(&self.own).chain(self.peers());
        all.filter(move |m| m.key() % buckets == bucket)
    }

    pub(super) fn bucket_digest(&self, bucket: u64, buckets: u64) -> u64 {
        let rank = |m: &Member| {
            let (incarnation, revision, liveness) = m.rank();
            let liveness = u64::from(liveness.unsigned_abs());
            rendezvous::weight(m.key(), incarnation ^ (revision << 20) ^ liveness)
        };
        self.in_bucket(bucket, buckets).fold(0, |acc, m| acc ^ rank(m))
    }

    /// Builds a datagram with this instance's record, queued updates and the digest of one bucket.
    pub(super) fn datagram(&mut self, purpose: Purpose, probe_number: u64) -> Datagram {
        let mut members = vec![self.own.clone()];
        let (mut leaving, mut reports) = (Vec::new(), Vec::new());
        let now_ms = self.last_tick_ms;
        for _ in 0..MAX_UPDATES.min(self.queue.len()) {
            let Some((update, remaining)) = self.queue.pop_front() else { break };
            match &update {
                Update::Member(name) => {
                    members.extend(self.peers.get(name).map(|k| k.member.clone()));
                }
                Update::Leaving(server) => leaving.push(*server),
                Update::Report(request) => reports.extend(self.quarantine.report(*request, now_ms)),
            }
            if remaining > 1 {
                self.queue.push_back((update, remaining - 1));
            }
        }
        let buckets = (self.peers.len() / RECORDS_PER_BUCKET + 1) as u64;
        self.next_bucket = (self.next_bucket + 1) % buckets;
        Datagram {
            purpose: purpose as i32,
            probe_number,
            members,
            leaving,
            bucket: self.next_bucket,
            buckets,
            bucket_digest: self.bucket_digest(self.next_bucket, buckets),
            reports,
            reports_digest: self.quarantine.digest(now_ms),
            ..Datagram::default()
        }
    }
}
