//! Destinations of gossip in a fleet of several zones, and merging of member tables.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eelgrasspier_decide::membership::{
    Datagram, ListedInstance, Member, Membership, OutgoingDatagram,
};

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;

fn member(number: u16, zone: &str) -> Member {
    Member {
        name: format!("{zone}-{number}"),
        incarnation: 1,
        revision: 1,
        zone: zone.to_owned(),
        peer_addr: addr(number).to_string(),
        ..Member::default()
    }
}

fn addr(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + number).into()
}

/// Returns an instance of zone `a` that knows `same_zone` others there and `other_zone` elsewhere.
fn fleet(same_zone: u16, other_zone: u16) -> (Membership, BTreeSet<SocketAddr>) {
    let mut own = Membership::new(member(0, "a"));
    let others = (1..=same_zone).map(|n| member(n, "a"));
    let elsewhere = (same_zone + 1..=same_zone + other_zone)
        .map(|n| member(n, ["b", "c", "d"][usize::from(n) % 3]));
    let all: Vec<Member> = others.chain(elsewhere).collect();
    own.merge_table(&all, 0);
    (own, (1..=same_zone).map(addr).collect())
}

/// Returns the datagrams that it sends in a minute in which all instances answer.
fn run_minute(own: &mut Membership) -> Vec<OutgoingDatagram> {
    let mut sent = Vec::new();
    for step in 1..=60_000 / TICK_MS {
        let now_ms = step * TICK_MS;
        for send in own.tick(now_ms, step.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
            let answer = Datagram {
                purpose: 1,
                probe_number: send.datagram.probe_number,
                ..Datagram::default()
            };
            own.receive(now_ms, send.to, &answer);
            sent.push(send);
        }
    }
    sent
}

/// Guards against gossip that takes more than half of the cross-zone bandwidth, which is expensive.
/// With six zones of 33 instances, a target drawn from all instances is in another zone in five of
/// six cases.
#[test]
fn gossip_of_a_large_zone_mostly_stays_in_it() {
    let (mut own, same_zone) = fleet(32, 162);
    let sent = run_minute(&mut own);
    let other_zone = sent.iter().filter(|s| !same_zone.contains(&s.to)).count();
    assert!(other_zone * 6 < sent.len(), "{other_zone} of {}", sent.len());
    // Some datagrams must cross zones: this is how updates get from zone to zone.
    assert!(other_zone * 12 > sent.len(), "{other_zone} of {}", sent.len());
}

/// A small deployment with two instances in each zone.
#[test]
fn gossip_of_a_small_zone_goes_to_all_zones_equally() {
    let (mut own, same_zone) = fleet(1, 6);
    let sent = run_minute(&mut own);
    let other_zone = sent.iter().filter(|s| !same_zone.contains(&s.to)).count();
    assert!(other_zone * 4 > sent.len() * 3, "{other_zone} of {}", sent.len());
}

/// Guards against slow discovery of the fleet. After a power failure, 195 instances needed ten
/// seconds to know each other by gossip alone, since each of them relayed the dozen records of
/// every datagram.
#[test]
fn a_table_is_merged_at_once_and_not_gossiped() {
    let (asked, _) = fleet(32, 162);
    let mut own = Membership::new(member(300, "a"));
    own.merge_table(&asked.live_records(), 100);
    assert_eq!(own.live_count(), 196);
    let relayed: usize = run_minute(&mut own).iter().map(|s| s.datagram.members.len() - 1).sum();
    assert_eq!(relayed, 0);
}

#[test]
fn a_table_does_not_replace_newer_records() {
    let (mut own, _) = fleet(2, 2);
    let newer = Member { revision: 7, config_version: 3, ..member(1, "a") };
    own.merge_table(std::slice::from_ref(&newer), 10);
    own.merge_table(&[member(1, "a")], 20);
    assert!(own.peers().any(|m| *m == newer));
}

#[test]
fn listed_alive_prefers_the_same_zone() {
    let (mut own, _) = fleet(5, 5);
    assert_eq!(own.pick_listed_live(1), None);
    let listed = |m: Member| ListedInstance {
        name: m.name,
        zone: m.zone,
        peer_addr: m.peer_addr.parse().unwrap(),
    };
    own.set_listed(&[listed(member(3, "a")), listed(member(8, "d")), listed(member(9, "b"))]);
    for random in 0..20 {
        assert_eq!(own.pick_listed_live(random), Some(addr(3)));
    }
}
