//! Who is alive: probes, helpers, suspicion.

use std::net::SocketAddr;

use super::spread::NEWS_MS;
use super::{Errand, Known, Membership, Probe};
use crate::gossip::{Datagram, Liveness, Purpose, Send};
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

impl Membership {
    /// A greeting for an instance of which only the address is known.
    pub fn greet(&mut self, to: SocketAddr) -> Send {
        let number = self.number();
        Send { to, datagram: self.datagram(Purpose::Probe, number) }
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
        self.refill(now_ms);
        self.spend(&sends);
        sends
    }

    pub(super) fn judge_probe(&mut self, now_ms: u64) {
        if let Some(probe) = self.probe.take() {
            self.doubt(&probe.target, Liveness::Suspect, now_ms);
        }
    }

    pub(super) fn judge_suspects(&mut self, now_ms: u64) {
        let is_due = |k: &&Known| {
            k.member.liveness() == Liveness::Suspect && now_ms >= k.since_ms + SUSPECT_MS
        };
        let due: Vec<String> =
            self.others.values().filter(is_due).map(|k| k.member.name.clone()).collect();
        for name in due {
            self.doubt(&name, Liveness::Dead, now_ms);
        }
    }

    pub(super) fn forget(&mut self, now_ms: u64) {
        self.others
            .retain(|_, k| k.is_listed || !k.is_over() || now_ms < k.since_ms + TOMBSTONE_MS);
    }

    /// Probes the next one of a random order, so that each gets its turn.
    pub(super) fn start_probe(&mut self, now_ms: u64, random: u64, sends: &mut Vec<Send>) {
        let is_far = self.draws_far(random);
        let next = self.next_target(is_far, random);
        let Some(target) = next.or_else(|| self.next_target(!is_far, random)) else { return };
        let number = self.number();
        sends.push(Send { to: target.addr, datagram: self.datagram(Purpose::Probe, number) });
        if !target.is_over() {
            let target = target.member.name;
            self.probe = Some(Probe { number, target, sent_ms: now_ms, is_indirect: false });
        }
    }

    fn next_target(&mut self, is_far: bool, random: u64) -> Option<Known> {
        let mut order =
            std::mem::take(if is_far { &mut self.far_order } else { &mut self.near_order });
        if order.is_empty() {
            order = self.shuffled(is_far, random);
        }
        let target = loop {
            let Some(name) = order.pop() else { break None };
            match self.others.get(&name) {
                Some(k) if k.is_probed() => break Some(k.clone()),
                _ => {}
            }
        };
        *(if is_far { &mut self.far_order } else { &mut self.near_order }) = order;
        target
    }

    fn shuffled(&self, is_far: bool, random: u64) -> Vec<String> {
        let is_wanted = |k: &&Known| k.is_probed() && self.is_far(&k.member) == is_far;
        let candidates = self.others.values().filter(is_wanted);
        let mut order: Vec<String> = candidates.map(|k| k.member.name.clone()).collect();
        order.sort_by_key(|name| rendezvous::weight(random, rendezvous::hash(name)));
        order
    }

    /// Greets one listed instance that was never heard of, so that views join.
    pub(super) fn greet_listed(&mut self, random: u64, sends: &mut Vec<Send>) {
        let strangers = self.listed.values().filter(|l| !self.others.contains_key(&l.name));
        let chosen = strangers
            .min_by_key(|l| rendezvous::weight(random, rendezvous::hash(&l.name)))
            .map(|l| l.peer_addr);
        if let Some(to) = chosen {
            let number = self.number();
            sends.push(Send { to, datagram: self.datagram(Purpose::Probe, number) });
        }
    }

    pub(super) fn ask_others(&mut self, now_ms: u64, random: u64, sends: &mut Vec<Send>) {
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

    pub(super) fn run_errand(
        &mut self,
        now_ms: u64,
        asker: SocketAddr,
        datagram: &Datagram,
    ) -> Vec<Send> {
        let Some(to) = self.others.get(&datagram.target).map(|k| k.addr) else {
            return Vec::new();
        };
        let own_number = self.number();
        let their_number = datagram.probe;
        self.errands.push(Errand { own_number, their_number, asker, asked_ms: now_ms });
        vec![Send { to, datagram: self.datagram(Purpose::Probe, own_number) }]
    }

    pub(super) fn answer(&mut self, from: SocketAddr, probe: &Datagram) -> Vec<Send> {
        let mut sends =
            vec![Send { to: from, datagram: self.datagram(Purpose::Answer, probe.probe) }];
        sends.extend(self.repair(from, probe));
        sends.extend(self.repair_reports(from, probe));
        sends
    }

    pub(super) fn answered(&mut self, from: SocketAddr, answer: &Datagram) -> Vec<Send> {
        if self.probe.as_ref().is_some_and(|p| p.number == answer.probe) {
            self.probe = None;
        }
        let Some(at) = self.errands.iter().position(|e| e.own_number == answer.probe) else {
            return self.repair_reports(from, answer);
        };
        let errand = self.errands.swap_remove(at);
        let datagram = self.datagram(Purpose::Answer, errand.their_number);
        vec![Send { to: errand.asker, datagram }]
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }
}
