//! The mirror and the replica directory under outages and stale answers.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasspier_decide::directory::{
    EntryChange, LAPSED_RETENTION_MS, ReplicaDirectory, ReplicaEntry,
};
use eelgrasspier_decide::history::{Edition, Position};
use eelgrasspier_decide::mirror::{
    Changes, Deleted, Effect, Mirror, RestorePolicy, Retention, Versioned,
};

fn object(name: &str, revision: u64) -> Versioned {
    let content = Bytes::from(format!("{name}@{revision}"));
    Versioned { name: name.to_owned(), revision, content, ..Versioned::default() }
}

fn full_list(as_of: u64, objects: &[(&str, u64)]) -> Changes {
    let objects = objects.iter().map(|(name, revision)| object(name, *revision)).collect();
    Changes { as_of, is_whole: true, objects, ..Changes::default() }
}

fn empty_mirror() -> Mirror {
    Mirror::new(RestorePolicy { retention: Retention::ForMs(2_000), withhold_ms: 4_000 })
}

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn names(mirror: &Mirror) -> Vec<String> {
    mirror
        .changes_since(at(0))
        .objects
        .into_iter()
        .map(|o| format!("{}@{}", o.name, o.revision))
        .collect()
}

/// Guards against the return of a replaced version. A poll got an answer that was seconds old after
/// the watch had delivered a newer version, and the last answer was regarded as the latest.
#[test]
fn a_stale_list_changes_nothing() {
    let mut mirror = empty_mirror();
    mirror.apply(&full_list(10, &[("a", 3), ("b", 4)]), 0);
    let newer = Changes {
        as_of: 20,
        objects: vec![object("a", 15), object("c", 16)],
        deleted: vec![Deleted { name: "b".to_owned(), revision: 17, ..Deleted::default() }],
        ..Changes::default()
    };
    mirror.apply(&newer, 0);
    let effects = mirror.apply(&full_list(10, &[("a", 3), ("b", 4)]), 0).effects;
    assert_eq!(effects, Vec::<Effect>::new());
    assert_eq!(names(&mirror), ["a@15", "c@16"]);
}

#[test]
fn changes_since_a_position_synchronize_another_instance() {
    let mut first = empty_mirror();
    let mut second = empty_mirror();
    for mirror in [&mut first, &mut second] {
        mirror.apply(&full_list(10, &[("a", 3), ("b", 4)]), 0);
    }
    first.apply(
        &Changes {
            as_of: 12,
            objects: vec![object("c", 11)],
            deleted: vec![Deleted { name: "a".to_owned(), revision: 12, ..Deleted::default() }],
            ..Changes::default()
        },
        0,
    );
    let changes = first.changes_since(second.position());
    assert!(!changes.is_whole && changes.objects.len() == 1);
    second.apply(&changes, 0);
    assert_eq!(names(&second), names(&first));
    assert_eq!(second.position(), first.position());
    // An instance that has just started gets everything.
    let mut third = empty_mirror();
    third.apply(&first.changes_since(at(0)), 0);
    assert!(third.has_full_list());
    assert_eq!(names(&third), names(&first));
}

/// Guards against repeated requests for the same changes. Two instances had the same objects, read
/// at different times; the later one announced a higher revision, and its answer, which changed
/// nothing, did not advance the position of the other one.
#[test]
fn an_answer_without_an_effect_advances_the_position() {
    let mut first = empty_mirror();
    first.apply(&full_list(30, &[("a", 3)]), 0);
    let mut second = empty_mirror();
    second.apply(&full_list(20, &[("a", 3)]), 0);
    assert!(second.apply(&first.changes_since(second.position()), 0).effects.is_empty());
    assert_eq!(second.position(), first.position());
}

fn entry(id: &str, is_draining: bool) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        name: id.into(),
        report: Edition::default(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 2,
        is_draining,
        cold_left_ms: 0,
    }
}

fn ids(directory: &ReplicaDirectory) -> Vec<Arc<str>> {
    directory.entries().map(|e| Arc::clone(&e.id)).collect()
}

/// Guards against services without replicas just after an outage of the store. Entries could not be
/// renewed during the outage and lapsed; the first list after it lacked them, and they were written
/// again two seconds later.
#[test]
fn entries_that_lapsed_in_an_outage_are_retained_for_a_grace_period() {
    let mut directory = ReplicaDirectory::default();
    directory.replace(vec![entry("lives", false), entry("dead", false), entry("left", true)], 0);
    directory.on_store_recovered(10_000);
    directory.replace(Vec::new(), 10_050);
    assert_eq!(ids(&directory), ["dead".into(), "lives".into()]);
    assert!(!directory.apply(EntryChange::Set(entry("lives", false)), 11_500));
    assert!(!directory.expire(10_000 + LAPSED_RETENTION_MS - 1));
    assert!(directory.expire(10_000 + LAPSED_RETENTION_MS));
    assert_eq!(ids(&directory), ["lives".into()]);
}

#[test]
fn missing_entries_are_removed_without_an_outage() {
    let mut directory = ReplicaDirectory::default();
    directory.replace(vec![entry("a", false), entry("b", false)], 0);
    assert!(directory.apply(EntryChange::Removed("a".into()), 5_000));
    assert!(directory.replace(Vec::new(), 6_000));
    assert!(ids(&directory).is_empty());
}

/// Returns a report of the replica `a`, started at `born_ms`.
fn report(born_ms: u64, number: u64, is_draining: bool) -> ReplicaEntry {
    let id = format!("a@{born_ms}").into();
    ReplicaEntry { id, report: Edition { born_ms, number }, ..entry("a", is_draining) }
}

/// Guards against requests to a replica that has ended while its successor is idle. The replica
/// crashed just after it gave up its last report for lost, and started again under the same name;
/// then the store applied the lost report, which overwrote the newer one.
#[test]
fn a_late_report_of_an_earlier_run_changes_nothing() {
    let mut directory = ReplicaDirectory::default();
    directory.apply(EntryChange::Set(report(1_000, 50, false)), 0);
    assert!(directory.apply(EntryChange::Set(report(9_000, 1, false)), 1));
    assert_eq!(ids(&directory), ["a@9000".into()]);
    assert!(!directory.apply(EntryChange::Set(report(1_000, 51, true)), 2));
    assert_eq!(ids(&directory), ["a@9000".into()]);
    assert!(directory.entries().all(|e| !e.is_draining));
}

/// Guards against new requests to a draining replica. It reported that it drains, and an earlier
/// report was applied after that one.
#[test]
fn reports_of_one_run_are_ordered_by_number() {
    let mut directory = ReplicaDirectory::default();
    directory.apply(EntryChange::Set(report(1_000, 7, true)), 0);
    assert!(!directory.apply(EntryChange::Set(report(1_000, 6, false)), 1));
    assert!(directory.entries().all(|e| e.is_draining));
    // A new report number alone is not a change.
    assert!(!directory.apply(EntryChange::Set(report(1_000, 8, true)), 2));
    assert!(!directory.apply(EntryChange::Set(report(1_000, 7, false)), 3));
}

/// Guards against requests to a replica three seconds after it left. The replica started and left
/// within a quarter of a second. One instance read the store in between; the watchers saw both
/// changes at once. They must keep the tombstone of an object they never had: otherwise the one
/// instance does not learn of the deletion until its next poll. Its log showed the new entry, but
/// not its end before that poll.
#[test]
fn an_object_created_and_deleted_between_two_reads_gets_a_tombstone() {
    let (mut watching, mut polling) = (empty_mirror(), empty_mirror());
    for mirror in [&mut watching, &mut polling] {
        mirror.apply(&full_list(10, &[("a", 3)]), 0);
    }
    let object = Versioned { name: "b".to_owned(), revision: 12, ..Versioned::default() };
    polling.apply(&Changes { as_of: 12, objects: vec![object], ..Changes::default() }, 0);
    let deleted = vec![Deleted { name: "b".to_owned(), revision: 14, ..Deleted::default() }];
    let both = Changes { as_of: 14, deleted, ..Changes::default() };
    // It counts as an effect although nothing changes here, so that other instances are notified.
    assert_eq!(watching.apply(&both, 0).effects, [Effect::Removed("b".to_owned())]);
    assert_eq!(watching.apply(&both, 0).effects, []);
    assert_eq!(
        polling.apply(&watching.changes_since(at(12)), 0).effects,
        [Effect::Removed("b".to_owned())]
    );
    assert_eq!(names(&polling), ["a@3"]);
}

/// Guards against a panic, or a cold replica taken for a warm one, at the greatest number.
#[test]
fn a_replica_that_is_cold_for_the_longest_time_stays_cold() {
    let mut directory = ReplicaDirectory::default();
    let cold = ReplicaEntry { cold_left_ms: u64::MAX, ..entry("a", false) };
    for now_ms in [1, 2_000] {
        directory.apply(EntryChange::Set(cold.clone()), now_ms);
        assert_eq!(directory.warm_at_ms(&cold), u64::MAX);
    }
}
