//! Failure detection: probes, indirect probes and suspicion.

use std::net::SocketAddr;

use super::dissemination::GOSSIP_INTERVAL_MS;
use super::{IndirectProbe, Membership, PeerRecord, Probe};
use crate::gossip::{Datagram, Liveness, Member, OutgoingDatagram, Purpose};
use crate::rendezvous;

/// Time between probes in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Time in milliseconds without an answer after which indirect probes are requested.
const DIRECT_TIMEOUT_MS: u64 = 200;
/// Number of other instances that are asked to probe on this one's behalf.
const INDIRECT_PROBERS: usize = 3;
/// Time in milliseconds within which a suspected instance must refute the suspicion.
const SUSPECT_TIMEOUT_MS: u64 = 3_000;
/// Time in milliseconds for which dead and departed instances are remembered.
///
/// Their records protect against stale updates.
const TOMBSTONE_MS: u64 = 60_000;

impl Membership {
    /// Returns a probe for an instance of which only the address is known.
    pub fn probe_address(&mut self, to: SocketAddr) -> OutgoingDatagram {
        let number = self.next_probe_number();
        OutgoingDatagram { to, datagram: self.datagram(Purpose::Probe, number) }
    }

    /// Does the work due at `now_ms`; `random` is a fresh random number.
    pub fn tick(&mut self, now_ms: u64, random: u64) -> Vec<OutgoingDatagram> {
        let mut sends = Vec::new();
        self.indirect_probes.retain(|e| now_ms < e.requested_ms + PROBE_INTERVAL_MS);
        self.request_indirect_probes(now_ms, random, &mut sends);
        if now_ms >= self.last_probe_ms + PROBE_INTERVAL_MS {
            self.last_probe_ms = now_ms;
            self.expire_probe(now_ms);
            self.expire_suspects(now_ms);
            self.remove_expired(now_ms);
            self.start_probe(now_ms, random, &mut sends);
            self.probe_unknown_listed(random, &mut sends);
        }
        if now_ms >= self.last_gossip_ms + GOSSIP_INTERVAL_MS && !self.queue.is_empty() {
            self.last_gossip_ms = now_ms;
            self.send_updates(random, &mut sends);
        }
        self.refill(now_ms);
        self.charge(&sends);
        sends
    }

    pub(super) fn expire_probe(&mut self, now_ms: u64) {
        let Some(probe) = self.probe.take() else { return };
        let known = self.peers.get(&probe.target);
        // A process that has started since was not sent the probe.
        if known.is_some_and(|k| k.member.incarnation == probe.incarnation) {
            self.downgrade_liveness(&probe.target, Liveness::Suspect, now_ms);
        }
    }

    pub(super) fn expire_suspects(&mut self, now_ms: u64) {
        let is_due = |k: &&PeerRecord| {
            k.member.liveness() == Liveness::Suspect && now_ms >= k.since_ms + SUSPECT_TIMEOUT_MS
        };
        let due: Vec<String> =
            self.peers.values().filter(is_due).map(|k| k.member.name.clone()).collect();
        for name in due {
            self.downgrade_liveness(&name, Liveness::Dead, now_ms);
        }
    }

    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.peers.retain(|_, k| {
            k.is_listed || !k.is_dead_or_left() || now_ms < k.since_ms + TOMBSTONE_MS
        });
    }

    /// Probes the next instance of a random order, so that each one is probed in turn.
    pub(super) fn start_probe(
        &mut self,
        now_ms: u64,
        random: u64,
        sends: &mut Vec<OutgoingDatagram>,
    ) {
        let is_in_other_zone = self.picks_other_zone(random);
        let next = self.next_target(is_in_other_zone, random);
        let Some(target) = next.or_else(|| self.next_target(!is_in_other_zone, random)) else {
            return;
        };
        let number = self.next_probe_number();
        sends.push(OutgoingDatagram {
            to: target.addr,
            datagram: self.datagram(Purpose::Probe, number),
        });
        if !target.is_dead_or_left() {
            let Member { name, incarnation, .. } = target.member;
            self.probe = Some(Probe {
                number,
                target: name,
                incarnation,
                sent_ms: now_ms,
                has_indirect_probes: false,
            });
        }
    }

    fn next_target(&mut self, is_in_other_zone: bool, random: u64) -> Option<PeerRecord> {
        let mut order = std::mem::take(if is_in_other_zone {
            &mut self.other_zone_order
        } else {
            &mut self.same_zone_order
        });
        if order.is_empty() {
            order = self.shuffled(is_in_other_zone, random);
        }
        let target = loop {
            let Some(name) = order.pop() else { break None };
            match self.peers.get(&name) {
                Some(k) if k.is_probe_target() => break Some(k.clone()),
                _ => {}
            }
        };
        *(if is_in_other_zone { &mut self.other_zone_order } else { &mut self.same_zone_order }) =
            order;
        target
    }

    fn shuffled(&self, is_in_other_zone: bool, random: u64) -> Vec<String> {
        let is_candidate = |k: &&PeerRecord| {
            k.is_probe_target() && self.is_in_other_zone(&k.member) == is_in_other_zone
        };
        let candidates = self.peers.values().filter(is_candidate);
        let mut order: Vec<String> = candidates.map(|k| k.member.name.clone()).collect();
        order.sort_by_key(|name| rendezvous::weight(random, rendezvous::hash(name)));
        order
    }

    /// Probes one listed instance without a record, so that separate groups find each other.
    pub(super) fn probe_unknown_listed(&mut self, random: u64, sends: &mut Vec<OutgoingDatagram>) {
        let unknown = self.listed.values().filter(|l| !self.peers.contains_key(&l.name));
        let chosen = unknown
            .min_by_key(|l| rendezvous::weight(random, rendezvous::hash(&l.name)))
            .map(|l| l.peer_addr);
        if let Some(to) = chosen {
            let number = self.next_probe_number();
            sends.push(OutgoingDatagram { to, datagram: self.datagram(Purpose::Probe, number) });
        }
    }

    pub(super) fn request_indirect_probes(
        &mut self,
        now_ms: u64,
        random: u64,
        sends: &mut Vec<OutgoingDatagram>,
    ) {
        let Some(probe) = &mut self.probe else { return };
        if probe.has_indirect_probes || now_ms < probe.sent_ms + DIRECT_TIMEOUT_MS {
            return;
        }
        probe.has_indirect_probes = true;
        let probe = probe.clone();
        let mut probers: Vec<(u64, SocketAddr)> = self
            .peers
            .values()
            .filter(|k| !k.is_dead_or_left() && k.member.name != probe.target)
            .map(|k| (rendezvous::weight(random, k.member.key()), k.addr))
            .collect();
        probers.sort_unstable();
        for (_, to) in probers.into_iter().take(INDIRECT_PROBERS) {
            let mut datagram = self.datagram(Purpose::ProbeFor, probe.number);
            datagram.target.clone_from(&probe.target);
            sends.push(OutgoingDatagram { to, datagram });
        }
    }

    pub(super) fn start_indirect_probe(
        &mut self,
        now_ms: u64,
        requester: SocketAddr,
        datagram: &Datagram,
    ) -> Vec<OutgoingDatagram> {
        let Some(to) = self.peers.get(&datagram.target).map(|k| k.addr) else {
            return Vec::new();
        };
        let own_number = self.next_probe_number();
        let requester_number = datagram.probe_number;
        self.indirect_probes.push(IndirectProbe {
            own_number,
            requester_number,
            requester,
            requested_ms: now_ms,
        });
        vec![OutgoingDatagram { to, datagram: self.datagram(Purpose::Probe, own_number) }]
    }

    pub(super) fn on_probe(&mut self, from: SocketAddr, probe: &Datagram) -> Vec<OutgoingDatagram> {
        let mut sends = vec![OutgoingDatagram {
            to: from,
            datagram: self.datagram(Purpose::Answer, probe.probe_number),
        }];
        sends.extend(self.repair_bucket(from, probe));
        sends.extend(self.repair_reports(from, probe));
        sends
    }

    pub(super) fn on_answer(
        &mut self,
        from: SocketAddr,
        answer: &Datagram,
    ) -> Vec<OutgoingDatagram> {
        if self.probe.as_ref().is_some_and(|p| p.number == answer.probe_number) {
            self.probe = None;
        }
        let Some(at) =
            self.indirect_probes.iter().position(|e| e.own_number == answer.probe_number)
        else {
            return self.repair_reports(from, answer);
        };
        let indirect = self.indirect_probes.swap_remove(at);
        let datagram = self.datagram(Purpose::Answer, indirect.requester_number);
        vec![OutgoingDatagram { to: indirect.requester, datagram }]
    }

    pub(super) fn next_probe_number(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }
}
