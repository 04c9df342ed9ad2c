//! Exchange of reports on requests that crash replicas, simulated in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::lost_sends::CrashedSend;
use eelgrasspier_decide::membership::{InstanceState, Member, Membership, OutgoingDatagram};
use eelgrasspier_decide::quarantine::{Quarantine, Report};

const CRASHING: Fingerprint = Fingerprint(1);
const TICK_MS: u64 = 50;
const LATENCY_MS: u64 = 5;

fn addr(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

/// Returns the id of one of four crashes that ended sends of this request only.
fn crash_id(request: Fingerprint, send_id: u32) -> u32 {
    u32::try_from(request.0 * 4).unwrap() + send_id
}

/// Returns a report of a request that is refused.
fn refused_report(request: Fingerprint) -> Report {
    let mut quarantine = Quarantine::default();
    for send_id in 0..4 {
        quarantine.record_crash(
            CrashedSend {
                request,
                send_id,
                crash_id: crash_id(request, send_id),
                is_trial: send_id > 1,
                is_isolated: send_id > 1,
            },
            0,
        );
    }
    quarantine.report(request, 0).unwrap()
}

/// Returns a report of a request under which two replicas have crashed.
fn suspect_report(request: Fingerprint) -> Report {
    let mut quarantine = Quarantine::default();
    for send_id in 0..2 {
        quarantine.record_crash(
            CrashedSend {
                request,
                send_id,
                crash_id: crash_id(request, send_id),
                is_trial: false,
                is_isolated: false,
            },
            0,
        );
    }
    quarantine.report(request, 0).unwrap()
}

/// Instances that know each other, with the datagrams in flight between them.
struct Network {
    nodes: BTreeMap<u16, Membership>,
    in_flight: Vec<(u64, u16, OutgoingDatagram)>,
    now_ms: u64,
    /// Instance that can neither send nor receive.
    partitioned: Option<u16>,
    sent: usize,
}

impl Network {
    fn new(count: u16) -> Self {
        let member = |number: u16| Member {
            name: format!("instance-{number}"),
            incarnation: 1,
            revision: 1,
            state: InstanceState::Ready as i32,
            zone: format!("zone-{}", number % 3),
            peer_addr: addr(number).to_string(),
            ..Member::default()
        };
        let table: Vec<Member> = (1..=count).map(member).collect();
        let node = |number: u16| {
            let mut membership = Membership::new(member(number));
            membership.merge_table(&table, 0);
            (number, membership)
        };
        let nodes = (1..=count).map(node).collect();
        Self { nodes, in_flight: Vec::new(), now_ms: 0, partitioned: None, sent: 0 }
    }

    fn send(&mut self, from: u16, sends: Vec<OutgoingDatagram>) {
        self.sent += sends.len();
        let reached = sends.into_iter().filter(|s| {
            self.partitioned.is_none_or(|number| number != from && number != s.to.port())
        });
        let at_ms = self.now_ms + LATENCY_MS;
        self.in_flight.extend(reached.map(|send| (at_ms, from, send)));
    }

    fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += LATENCY_MS;
            let now_ms = self.now_ms;
            let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= now_ms).collect();
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

    fn broadcast(&mut self, from: u16, report: &Report, limits: (usize, usize)) -> usize {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(&from).unwrap();
        let sends = node.broadcast_reports(std::slice::from_ref(report), now_ms, limits, 7);
        let count = sends.len();
        self.send(from, sends);
        count
    }

    fn refusing_count(&self, request: Fingerprint) -> usize {
        let is_refusing = |m: &&Membership| {
            m.report(request, self.now_ms).is_some_and(|report| report.refused_ms > 0)
        };
        self.nodes.values().filter(is_refusing).count()
    }
}

#[test]
fn small_fleet_receives_a_report_within_one_hop() {
    let mut net = Network::new(6);
    net.run_for(1_000);
    net.broadcast(1, &refused_report(CRASHING), (100, 16));
    net.run_for(2 * LATENCY_MS);
    assert_eq!(net.refusing_count(CRASHING), 6);
}

#[test]
fn fleet_of_hundreds_receives_a_report_within_3_s() {
    let mut net = Network::new(300);
    net.run_for(1_000);
    let recipients = net.broadcast(1, &refused_report(CRASHING), (100, 16));
    assert!(recipients <= 116, "{recipients}");
    net.run_for(3_000);
    assert_eq!(net.refusing_count(CRASHING), 300);
}

/// Guards against an instance that runs a request which all others refuse. It was partitioned for a
/// minute while the report spread, and gossip had stopped repeating the report when it rejoined.
/// The digests on probes make the others send it.
#[test]
fn partitioned_instance_receives_reports_after_rejoining() {
    let mut net = Network::new(6);
    net.run_for(1_000);
    net.partitioned = Some(6);
    net.broadcast(1, &refused_report(CRASHING), (100, 16));
    net.run_for(60_000);
    assert_eq!(net.refusing_count(CRASHING), 5);
    net.partitioned = None;
    net.run_for(3_000);
    assert_eq!(net.refusing_count(CRASHING), 6);
}

/// An instance also spreads the reports that it made while partitioned.
#[test]
fn partitioned_instance_spreads_its_reports_after_rejoining() {
    let mut net = Network::new(6);
    net.run_for(1_000);
    net.partitioned = Some(6);
    net.broadcast(6, &refused_report(CRASHING), (100, 16));
    net.run_for(60_000);
    assert_eq!(net.refusing_count(CRASHING), 1);
    net.partitioned = None;
    net.run_for(3_000);
    assert_eq!(net.refusing_count(CRASHING), 6);
}

/// Guards against reports that never expire. Instances forget a report at different times, since
/// each received it at a different time; restarting the retention with each copy would keep it
/// forever.
#[test]
fn reports_expire_on_all_instances() {
    let mut net = Network::new(6);
    net.run_for(1_000);
    net.broadcast(1, &suspect_report(CRASHING), (100, 16));
    net.run_for(290_000);
    let is_suspect = |net: &Network, m: &Membership| {
        m.report(CRASHING, net.now_ms).is_some_and(|report| report.is_suspect())
    };
    assert!(net.nodes.values().all(|m| is_suspect(&net, m)));
    net.run_for(15_000);
    assert!(!net.nodes.values().any(|m| is_suspect(&net, m) && !m.reports(net.now_ms).is_empty()));
}

/// Once all instances know a report, only its digest is sent.
#[test]
fn known_reports_are_not_sent_again() {
    let mut net = Network::new(6);
    net.run_for(1_000);
    net.broadcast(1, &refused_report(CRASHING), (100, 16));
    net.run_for(20_000);
    let before = net.sent;
    net.run_for(10_000);
    let sent_with_report = net.sent - before;
    let mut idle = Network::new(6);
    idle.run_for(21_000);
    let before = idle.sent;
    idle.run_for(10_000);
    assert_eq!(sent_with_report, idle.sent - before);
    let again = net.nodes[&2].report(CRASHING, net.now_ms).unwrap();
    assert_eq!(net.broadcast(1, &again, (100, 16)), 0);
}

#[test]
fn broadcasts_are_rate_limited() {
    let mut net = Network::new(6);
    net.run_for(1_000);
    let recipients: usize =
        (0..100).map(|n| net.broadcast(1, &refused_report(Fingerprint(100 + n)), (100, 16))).sum();
    assert!(recipients <= 8 * 5, "{recipients}");
    net.run_for(20_000);
    assert_eq!(net.refusing_count(Fingerprint(199)), 6);
}
