//! Which changes of records affect the roles of other instances.

use std::net::SocketAddr;

use eelgrasspier_decide::membership::{
    Datagram, InstanceState, Liveness, Member, Membership, MembershipChange, PROBE_INTERVAL_MS,
    Purpose,
};

const TICK_MS: u64 = 50;

fn addr(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + number).into()
}

fn member(number: u16) -> Member {
    Member {
        name: format!("a-{number}"),
        incarnation: 1,
        revision: 1,
        state: InstanceState::Ready as i32,
        zone: "a".to_owned(),
        peer_addr: addr(number).to_string(),
        capacity_milli: 500,
        ..Member::default()
    }
}

/// Returns an instance that knows the given one.
fn knowing(other: &Member) -> Membership {
    let mut own = Membership::new(member(0));
    merge(&mut own, other);
    own
}

/// Merges a record; returns true if the presence changed.
fn merge(own: &mut Membership, record: &Member) -> bool {
    let before = own.presence_count();
    own.merge_table(std::slice::from_ref(record), 0);
    own.presence_count() != before
}

fn suspect(record: &Member) -> Member {
    Member { liveness: Liveness::Suspect as i32, ..record.clone() }
}

/// Guards against an instance that stays replaced after it has refuted a suspicion.
#[test]
fn refuted_suspicion_changes_the_presence() {
    let other = member(1);
    let mut own = knowing(&other);
    assert!(merge(&mut own, &suspect(&other)));
    own.take_changes();
    assert!(merge(&mut own, &Member { revision: 2, ..other.clone() }));
    assert_eq!(own.take_changes(), [MembershipChange::Recovered(other.name)]);
}

/// Guards against a restarted instance that stays replaced since its record only gets a new
/// incarnation.
#[test]
fn new_incarnation_of_a_suspect_changes_the_presence() {
    let other = member(1);
    let mut own = knowing(&suspect(&other));
    assert!(merge(&mut own, &Member { incarnation: 2, ..other }));
}

/// Guards against roles that are computed from the address or capacity of a previous process.
#[test]
fn changed_address_and_capacity_change_the_presence() {
    let other = Member { incarnation: 2, ..member(1) };
    let mut own = knowing(&member(1));
    assert!(merge(&mut own, &Member { peer_addr: addr(2).to_string(), ..other.clone() }));
    let mut own = knowing(&member(1));
    assert!(merge(&mut own, &Member { capacity_milli: 250, ..other }));
}

#[test]
fn leaving_and_death_change_the_presence() {
    let other = member(1);
    let mut own = knowing(&other);
    let leaving = Member { revision: 2, state: InstanceState::Leaving as i32, ..other.clone() };
    assert!(merge(&mut own, &leaving));
    // It no longer serves, so a suspicion takes nothing more from it.
    assert!(!merge(&mut own, &suspect(&leaving)));
    let dead = Member { liveness: Liveness::Dead as i32, ..leaving.clone() };
    assert!(merge(&mut own, &dead));
    let left = Member { revision: 3, state: InstanceState::Left as i32, ..leaving };
    assert!(!merge(&mut own, &left));
}

/// Guards against a view that each instance of a large fleet computes for every announced version.
#[test]
fn positions_and_versions_leave_the_presence_unchanged() {
    let other = member(1);
    let mut own = knowing(&other);
    let announced = Member {
        revision: 2,
        config_version: 7,
        replicas_revision: 8,
        configuration_revision: 9,
        is_watching_store: true,
        ..other.clone()
    };
    assert!(!merge(&mut own, &announced));
    assert!(!merge(&mut own, &Member { revision: 3, is_store_reached: true, ..announced }));
    assert!(!merge(&mut own, &Member { incarnation: 2, ..other }));
}

/// Runs ticks until a probe was sent; returns the time.
fn tick_until_probe(own: &mut Membership, mut now_ms: u64) -> u64 {
    loop {
        now_ms += TICK_MS;
        if own.tick(now_ms, 1).iter().any(|s| s.datagram.purpose() == Purpose::Probe) {
            return now_ms;
        }
    }
}

/// Returns true if the other instance is suspected after a probe without an answer.
///
/// `meanwhile` is a record that arrives before the probe expires.
fn is_suspected_after_probe(meanwhile: Option<&Member>) -> bool {
    let mut own = knowing(&member(1));
    let sent_ms = tick_until_probe(&mut own, 0);
    if let Some(record) = meanwhile {
        let datagram = Datagram { members: vec![record.clone()], ..Datagram::default() };
        own.receive(sent_ms + TICK_MS, addr(1), &datagram);
    }
    own.take_changes();
    for now_ms in (1..=PROBE_INTERVAL_MS / TICK_MS).map(|tick| sent_ms + tick * TICK_MS) {
        own.tick(now_ms, 1);
    }
    own.take_changes().contains(&MembershipChange::Suspected(member(1).name))
}

#[test]
fn instance_that_does_not_answer_a_probe_is_suspected() {
    assert!(is_suspected_after_probe(None));
    // A record may have been delayed on its way; only a new process proves that the probe is void.
    assert!(is_suspected_after_probe(Some(&Member { revision: 2, ..member(1) })));
}

/// Guards against the suspicion of a new process for a probe that its predecessor was sent.
#[test]
fn probe_of_a_previous_process_does_not_suspect_its_successor() {
    assert!(!is_suspected_after_probe(Some(&Member { incarnation: 2, ..member(1) })));
}
