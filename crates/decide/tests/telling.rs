//! How instances tell each other of requests that end replicas, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::losses::Ended;
use eelgrasspier_decide::membership::{Member, Membership, Send, State};
use eelgrasspier_decide::quarantine::{Quarantine, Report};

const ENDING: Fingerprint = Fingerprint(1);
const TICK_MS: u64 = 50;
const HOP_MS: u64 = 5;

fn addr(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

/// A report of a request that is refused.
fn refused(request: Fingerprint) -> Report {
    let mut quarantine = Quarantine::default();
    for send in 0..4 {
        quarantine.note_ended(Ended { request, send, is_alone: send > 1 }, 0);
    }
    quarantine.report(request, 0).unwrap()
}

/// A report of a request under which two replicas have ended.
fn suspected(request: Fingerprint) -> Report {
    let mut quarantine = Quarantine::default();
    for send in 0..2 {
        quarantine.note_ended(Ended { request, send, is_alone: false }, 0);
    }
    quarantine.report(request, 0).unwrap()
}

/// Instances that know each other, with what travels between them.
struct Net {
    nodes: BTreeMap<u16, Membership>,
    travelling: Vec<(u64, u16, Send)>,
    now_ms: u64,
    /// One that nothing reaches, and that reaches nobody.
    cut_off: Option<u16>,
    sent: usize,
}

impl Net {
    fn new(count: u16) -> Self {
        let member = |number: u16| Member {
            name: format!("instance-{number}"),
            incarnation: 1,
            revision: 1,
            state: State::Ready as i32,
            zone: format!("zone-{}", number % 3),
            peer_addr: addr(number).to_string(),
            ..Member::default()
        };
        let table: Vec<Member> = (1..=count).map(member).collect();
        let node = |number: u16| {
            let mut membership = Membership::new(member(number));
            membership.learn_table(&table, 0);
            (number, membership)
        };
        let nodes = (1..=count).map(node).collect();
        Self { nodes, travelling: Vec::new(), now_ms: 0, cut_off: None, sent: 0 }
    }

    fn send(&mut self, from: u16, sends: Vec<Send>) {
        self.sent += sends.len();
        let reached = sends
            .into_iter()
            .filter(|s| self.cut_off.is_none_or(|cut| cut != from && cut != s.to.port()));
        let at_ms = self.now_ms + HOP_MS;
        self.travelling.extend(reached.map(|send| (at_ms, from, send)));
    }

    fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while self.now_ms < until_ms {
            self.now_ms += HOP_MS;
            let now_ms = self.now_ms;
            let due: Vec<_> = self.travelling.extract_if(.., |(at, ..)| *at <= now_ms).collect();
            for (_, from, send) in due {
                let to = send.to.port();
                let node = self.nodes.get_mut(&to).unwrap();
                let answers = node.receive(now_ms, addr(from), &send.datagram);
                self.send(to, answers);
            }
            if now_ms.is_multiple_of(TICK_MS) {
                for number in self.nodes.keys().copied().collect::<Vec<_>>() {
                    let random = now_ms * 31 + u64::from(number);
                    let sends = self.nodes.get_mut(&number).unwrap().tick(now_ms, random);
                    self.send(number, sends);
                }
            }
        }
    }

    fn tell(&mut self, from: u16, report: &Report, most: (usize, usize)) -> usize {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(&from).unwrap();
        let sends = node.tell_reports(std::slice::from_ref(report), now_ms, most, 7);
        let count = sends.len();
        self.send(from, sends);
        count
    }

    fn knowing(&self, request: Fingerprint) -> usize {
        let knows = |m: &&Membership| {
            m.report(request, self.now_ms).is_some_and(|report| report.refused_ms > 0)
        };
        self.nodes.values().filter(knows).count()
    }
}

#[test]
fn a_small_fleet_knows_within_one_hop() {
    let mut net = Net::new(6);
    net.run_for(1_000);
    net.tell(1, &refused(ENDING), (100, 16));
    net.run_for(2 * HOP_MS);
    assert_eq!(net.knowing(ENDING), 6);
}

#[test]
fn a_fleet_of_hundreds_knows_within_the_time_for_it() {
    let mut net = Net::new(300);
    net.run_for(1_000);
    let told = net.tell(1, &refused(ENDING), (100, 16));
    assert!(told <= 116, "{told}");
    net.run_for(3_000);
    assert_eq!(net.knowing(ENDING), 300);
}

/// Symptom: an instance that had been cut off sent a request to all shards that all others refused.
/// Sequence: it was cut off for a minute, while the others found the request out; gossip had long
/// stopped to spread it when it was back.
/// Cause: news is spread for a while only. Proof: the digests on probes differ, and it is told.
#[test]
fn one_that_was_cut_off_is_told_soon_after_its_return() {
    let mut net = Net::new(6);
    net.run_for(1_000);
    net.cut_off = Some(6);
    net.tell(1, &refused(ENDING), (100, 16));
    net.run_for(60_000);
    assert_eq!(net.knowing(ENDING), 5);
    net.cut_off = None;
    net.run_for(3_000);
    assert_eq!(net.knowing(ENDING), 6);
}

/// It also tells the others what only it knows.
#[test]
fn what_one_that_was_cut_off_has_found_out_is_told_by_it() {
    let mut net = Net::new(6);
    net.run_for(1_000);
    net.cut_off = Some(6);
    net.tell(6, &refused(ENDING), (100, 16));
    net.run_for(60_000);
    assert_eq!(net.knowing(ENDING), 1);
    net.cut_off = None;
    net.run_for(3_000);
    assert_eq!(net.knowing(ENDING), 6);
}

/// Symptom: what one had forgotten came back with the next probe, for ever.
/// Sequence: instances forget at different moments, since each heard at another one.
/// Cause it guards against: counting the time anew with each report.
#[test]
fn all_forget_in_time() {
    let mut net = Net::new(6);
    net.run_for(1_000);
    net.tell(1, &suspected(ENDING), (100, 16));
    net.run_for(290_000);
    let is_suspect = |net: &Net, m: &Membership| {
        m.report(ENDING, net.now_ms).is_some_and(|report| report.is_suspect())
    };
    assert!(net.nodes.values().all(|m| is_suspect(&net, m)));
    net.run_for(15_000);
    assert!(!net.nodes.values().any(|m| is_suspect(&net, m) && !m.reports(net.now_ms).is_empty()));
}

/// What is known to all costs nothing more than the digests.
#[test]
fn nothing_is_told_twice() {
    let mut net = Net::new(6);
    net.run_for(1_000);
    net.tell(1, &refused(ENDING), (100, 16));
    net.run_for(20_000);
    let before = net.sent;
    net.run_for(10_000);
    let with = net.sent - before;
    let mut quiet = Net::new(6);
    quiet.run_for(21_000);
    let before = quiet.sent;
    quiet.run_for(10_000);
    assert_eq!(with, quiet.sent - before);
    let again = net.nodes[&2].report(ENDING, net.now_ms).unwrap();
    assert_eq!(net.tell(1, &again, (100, 16)), 0);
}

#[test]
fn many_are_told_at_once_a_few_times_a_second_only() {
    let mut net = Net::new(6);
    net.run_for(1_000);
    let told: usize =
        (0..100).map(|n| net.tell(1, &refused(Fingerprint(100 + n)), (100, 16))).sum();
    assert!(told <= 8 * 5, "{told}");
    net.run_for(20_000);
    assert_eq!(net.knowing(Fingerprint(199)), 6);
}
