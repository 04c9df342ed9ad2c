//! How news spreads: the queue of updates, datagrams of bounded size, repair.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use prost::Message;

use super::{Known, Membership, Update};
use crate::gossip::{Datagram, LeavingServer, Member, Purpose, Send};
use crate::rendezvous;
use crate::watchers;

/// Updates on one datagram.
pub(super) const MAX_UPDATES: usize = 12;
/// Records in one bucket, which are compared and repaired together.
const RECORDS_PER_BUCKET: usize = 8;
/// Time between datagrams that only bring news, while there is any; with datagrams
/// of a kilobyte this bounds what an instance sends to about 5 KB a second.
pub(super) const NEWS_MS: u64 = 200;
/// Each update is sent this many times the logarithm of the member count.
const SENDS_PER_LOG: u32 = 2;

/// Bytes a second that an instance sends on the average, at most.
///
/// Probes and their answers always go out; they take about 4 KB a second when all
/// are full. News and repairs wait while more was sent than this.
const BYTES_PER_S: u64 = 6_000;
/// Others of the own zone from which on datagrams go to other zones seldom: enough that news
/// goes on within the zone, whoever of it is lost.
const LEAST_NEAR: u64 = 8;
/// Of the datagrams of an instance in a large zone one in this many goes to another zone.
const FAR_ONE_IN: u64 = 8;
/// Key of that draw, among others made from the same random number.
const FAR_DRAW: u64 = 1;
/// Most bytes that are saved up for a burst of news.
const MOST_SAVED_BYTES: i64 = 12_000;

impl Membership {
    /// Saves up bytes for the time that has passed.
    pub(super) fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.allowance_ms);
        self.allowance_ms = now_ms;
        let bytes = i64::try_from(passed_ms * BYTES_PER_S / 1000).unwrap_or(MOST_SAVED_BYTES);
        self.allowance_bytes = (self.allowance_bytes + bytes).min(MOST_SAVED_BYTES);
    }

    /// Takes the bytes of what is being sent off the savings.
    pub(super) fn spend(&mut self, sends: &[Send]) {
        let bytes: usize = sends.iter().map(|s| s.datagram.encoded_len()).sum();
        self.allowance_bytes -= i64::try_from(bytes).unwrap_or(0);
    }

    /// Spreads that a backend server is leaving.
    pub fn spread_leaving(&mut self, server: LeavingServer) {
        let sends = self.sends();
        self.enqueue(Update::Leaving(server), sends);
    }

    /// Datagrams that tell up to `most` others this instance's last state at once, those of its
    /// own zone first and `most_far` of other zones at the most.
    ///
    /// Of the others those first that fetch for their zone: they tell it what they have heard.
    pub fn farewell(&mut self, most: usize, most_far: usize, random: u64) -> Vec<Send> {
        let records = |to| Send {
            to,
            datagram: Datagram {
                purpose: Purpose::Records as i32,
                members: vec![self.own.clone()],
                ..Datagram::default()
            },
        };
        self.told_at_once(most, most_far, random).into_iter().map(records).collect()
    }

    /// Whom to tell at once, of up to `most` others, `most_far` of other zones at the most.
    pub(super) fn told_at_once(
        &self,
        most: usize,
        most_far: usize,
        random: u64,
    ) -> Vec<SocketAddr> {
        let alive: Vec<&Known> = self.others.values().filter(|k| !k.is_over()).collect();
        let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
        for known in &alive {
            let rank = highest.entry(&known.member.zone).or_default();
            *rank = (*rank).max(watchers::rank(known.member.key()));
        }
        let place = |known: &&Known| {
            let member = &known.member;
            let is_fetcher =
                highest.get(member.zone.as_str()) == Some(&watchers::rank(member.key()));
            let weight = rendezvous::weight(random, member.key());
            (self.is_far(member), !is_fetcher, weight, known.addr)
        };
        let mut places: Vec<_> = alive.iter().map(place).collect();
        places.sort_unstable();
        let (far, near): (Vec<_>, Vec<_>) = places.into_iter().partition(|(is_far, ..)| *is_far);
        let told = near.into_iter().chain(far.into_iter().take(most_far)).take(most);
        told.map(|(.., to)| to).collect()
    }

    /// Whether an instance is in another zone.
    pub(super) fn is_far(&self, member: &Member) -> bool {
        member.zone != self.own.zone
    }

    /// Whether the next datagram goes to another zone.
    ///
    /// In proportion to the instances there while the own zone has few. In a large zone it goes
    /// there seldom: news spreads within the zone just as fast, each of its instances brings some
    /// of it across. Of 72 MB between zones in 48 calm seconds of 195 instances 42 were such gossip.
    pub(super) fn draws_far(&self, random: u64) -> bool {
        let alive = || self.others.values().filter(|k| !k.is_over());
        let far = alive().filter(|k| self.is_far(&k.member)).count() as u64;
        let near = alive().count() as u64 - far;
        let draw = rendezvous::weight(random, FAR_DRAW);
        if near < LEAST_NEAR {
            draw % (near + far).max(1) < far
        } else {
            draw.is_multiple_of(FAR_ONE_IN)
        }
    }

    /// Brings what is in the queue to one other member, without waiting for a probe.
    pub(super) fn send_news(&mut self, random: u64, sends: &mut Vec<Send>) {
        if self.allowance_bytes < 0 {
            return;
        }
        let is_far = self.draws_far(random);
        let live = self.others.values().filter(|k| !k.is_over());
        let wanted = live.filter(|k| self.is_far(&k.member) == is_far);
        let chosen = wanted.max_by_key(|k| rendezvous::weight(random, k.member.key()));
        if let Some(to) = chosen.map(|k| k.addr) {
            sends.push(Send { to, datagram: self.datagram(Purpose::Records, 0) });
        }
    }

    pub(super) fn announce_own(&mut self) {
        let sends = self.sends();
        self.enqueue(Update::Member(self.own.name.clone()), sends);
    }

    pub(super) fn sends(&self) -> u32 {
        SENDS_PER_LOG * (self.others.len() as u64 + 2).ilog2().max(1)
    }

    /// Puts an update first in the queue: fresh news travels before old.
    pub(super) fn enqueue(&mut self, update: Update, sends: u32) {
        self.queue.retain(|(u, _)| *u != update);
        self.queue.push_front((update, sends));
    }

    /// Sends the records of a bucket in which the two views differ.
    pub(super) fn repair(&mut self, to: SocketAddr, probe: &Datagram) -> Vec<Send> {
        if self.allowance_bytes < 0 {
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
            .map(|datagram| Send { to, datagram })
            .collect()
    }

    pub(super) fn in_bucket(&self, bucket: u64, buckets: u64) -> impl Iterator<Item = &Member> {
        let all = std::iter::once(&self.own).chain(self.others());
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

    /// A datagram with the own record, the next updates and one bucket's digest.
    pub(super) fn datagram(&mut self, purpose: Purpose, probe: u64) -> Datagram {
        let mut members = vec![self.own.clone()];
        let (mut leaving, mut reports) = (Vec::new(), Vec::new());
        let now_ms = self.allowance_ms;
        for _ in 0..MAX_UPDATES.min(self.queue.len()) {
            let Some((update, left)) = self.queue.pop_front() else { break };
            match &update {
                Update::Member(name) => {
                    members.extend(self.others.get(name).map(|k| k.member.clone()));
                }
                Update::Leaving(server) => leaving.push(*server),
                Update::Report(request) => reports.extend(self.quarantine.report(*request, now_ms)),
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
            reports,
            reports_digest: self.quarantine.digest(now_ms),
            ..Datagram::default()
        }
    }
}
