//! Which changes of records affect the roles of other instances.

use std::net::SocketAddr;

use eelgrasspier_decide::membership::{
    InstanceState, Liveness, Member, Membership, MembershipChange,
};

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
