//! The copy of the store and the list of replicas, under outages and stale answers.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasspier_decide::directory::{COME_BACK_MS, Directory, EntryChange, ReplicaEntry};
use eelgrasspier_decide::history::{Edition, Position};
use eelgrasspier_decide::mirror::{
    Changes, Deleted, Effect, Mirror, Retention, Settling, Versioned,
};

fn object(name: &str, revision: u64) -> Versioned {
    let content = Bytes::from(format!("{name}@{revision}"));
    Versioned { name: name.to_owned(), revision, content, ..Versioned::default() }
}

fn whole(as_of: u64, objects: &[(&str, u64)]) -> Changes {
    let objects = objects.iter().map(|(name, revision)| object(name, *revision)).collect();
    Changes { as_of, is_whole: true, objects, ..Changes::default() }
}

fn empty() -> Mirror {
    Mirror::new(Settling { retention: Retention::ForMs(2_000), doubt_ms: 4_000 })
}

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn names(mirror: &Mirror) -> Vec<String> {
    mirror.since(at(0)).objects.into_iter().map(|o| format!("{}@{}", o.name, o.revision)).collect()
}

/// Symptom: a version that was replaced came back.
/// Sequence: a poll was answered from a copy that was seconds old, after the watch had
/// brought a newer version.
/// Cause it guards against: taking the last answer for the newest.
#[test]
fn a_stale_list_neither_lowers_nor_deletes_nor_brings_back() {
    let mut mirror = empty();
    mirror.apply(&whole(10, &[("a", 3), ("b", 4)]), 0);
    let newer = Changes {
        as_of: 20,
        objects: vec![object("a", 15), object("c", 16)],
        deleted: vec![Deleted { name: "b".to_owned(), revision: 17, ..Deleted::default() }],
        ..Changes::default()
    };
    mirror.apply(&newer, 0);
    let effects = mirror.apply(&whole(10, &[("a", 3), ("b", 4)]), 0).effects;
    assert_eq!(effects, Vec::<Effect>::new());
    assert_eq!(names(&mirror), ["a@15", "c@16"]);
}

#[test]
fn what_another_instance_lacks_makes_it_the_same() {
    let mut first = empty();
    let mut second = empty();
    for mirror in [&mut first, &mut second] {
        mirror.apply(&whole(10, &[("a", 3), ("b", 4)]), 0);
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
    let changes = first.since(second.position());
    assert!(!changes.is_whole && changes.objects.len() == 1);
    second.apply(&changes, 0);
    assert_eq!(names(&second), names(&first));
    assert_eq!(second.position(), first.position());
    // One that has just started gets everything.
    let mut third = empty();
    third.apply(&first.since(at(0)), 0);
    assert!(third.is_filled());
    assert_eq!(names(&third), names(&first));
}

/// Symptom: an instance asked another for changes again and again.
/// Sequence: both had the same objects, read at different moments; the later reader told
/// the higher number, and the answer had nothing new in it.
/// Cause: an answer without an effect left the own number as it was.
#[test]
fn an_answer_without_an_effect_still_counts_as_seen() {
    let mut first = empty();
    first.apply(&whole(30, &[("a", 3)]), 0);
    let mut second = empty();
    second.apply(&whole(20, &[("a", 3)]), 0);
    assert!(second.apply(&first.since(second.position()), 0).effects.is_empty());
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

fn ids(directory: &Directory) -> Vec<Arc<str>> {
    directory.entries().map(|e| Arc::clone(&e.id)).collect()
}

/// Symptom: whole services were empty just when the store had come back.
/// Sequence: entries could not be renewed during the outage and lapsed; the first list
/// after it did not have them; they were written again two seconds later.
/// Cause: what is missing was taken for gone.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_they_must_be_back() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("lives", false), entry("dead", false), entry("left", true)], 0);
    directory.store_is_back(10_000);
    directory.replace(Vec::new(), 10_050);
    assert_eq!(ids(&directory), ["dead".into(), "lives".into()]);
    assert!(!directory.apply(EntryChange::Set(entry("lives", false)), 11_500));
    assert!(!directory.expire(10_000 + COME_BACK_MS - 1));
    assert!(directory.expire(10_000 + COME_BACK_MS));
    assert_eq!(ids(&directory), ["lives".into()]);
}

#[test]
fn without_an_outage_what_is_missing_is_gone() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a", false), entry("b", false)], 0);
    assert!(directory.apply(EntryChange::Gone("a".into()), 5_000));
    assert!(directory.replace(Vec::new(), 6_000));
    assert!(ids(&directory).is_empty());
}

/// A report of the replica `a`, started at `born_ms`.
fn report(born_ms: u64, number: u64, is_draining: bool) -> ReplicaEntry {
    let id = format!("a@{born_ms}").into();
    ReplicaEntry { id, report: Edition { born_ms, number }, ..entry("a", is_draining) }
}

/// Symptom: requests went to a replica that had ended, while its successor idled.
/// Sequence: a replica crashed just after its last report was given up for lost; it started
/// again under its id and reported; then the store carried the lost write out.
/// Cause: the entry that was written last was taken for the newest report.
#[test]
fn a_late_report_of_an_earlier_start_changes_nothing() {
    let mut directory = Directory::default();
    directory.apply(EntryChange::Set(report(1_000, 50, false)), 0);
    assert!(directory.apply(EntryChange::Set(report(9_000, 1, false)), 1));
    assert_eq!(ids(&directory), ["a@9000".into()]);
    assert!(!directory.apply(EntryChange::Set(report(1_000, 51, true)), 2));
    assert_eq!(ids(&directory), ["a@9000".into()]);
    assert!(directory.entries().all(|e| !e.is_draining));
}

/// Symptom: a leaving replica got new work.
/// Sequence: it reported that it leaves; an earlier report was carried out after that one.
/// Cause: as above, within one start.
#[test]
fn reports_of_one_start_are_ordered_by_their_numbers() {
    let mut directory = Directory::default();
    directory.apply(EntryChange::Set(report(1_000, 7, true)), 0);
    assert!(!directory.apply(EntryChange::Set(report(1_000, 6, false)), 1));
    assert!(directory.entries().all(|e| e.is_draining));
    // A number alone changes nothing for anybody.
    assert!(!directory.apply(EntryChange::Set(report(1_000, 8, true)), 2));
    assert!(!directory.apply(EntryChange::Set(report(1_000, 7, false)), 3));
}

/// Symptom: an instance sent requests to a replica three seconds after it had left.
/// Sequence: the replica started and left within a quarter of a second. One instance read the store
/// in between; those who watch it saw both changes at once, and the others hear from them.
/// Cause: the deletion of an object that a copy never had was not remembered, so that nobody told
/// the one instance. Proof: its line on the entry, and none on the end of it, until its next poll.
#[test]
fn an_object_that_came_and_went_between_two_looks_is_told_as_deleted() {
    let (mut watching, mut polling) = (empty(), empty());
    for mirror in [&mut watching, &mut polling] {
        mirror.apply(&whole(10, &[("a", 3)]), 0);
    }
    let object = Versioned { name: "b".to_owned(), revision: 12, ..Versioned::default() };
    polling.apply(&Changes { as_of: 12, objects: vec![object], ..Changes::default() }, 0);
    let deleted = vec![Deleted { name: "b".to_owned(), revision: 14, ..Deleted::default() }];
    let both = Changes { as_of: 14, deleted, ..Changes::default() };
    // Also news where it changes nothing here: others must hear that there is something to fetch.
    assert_eq!(watching.apply(&both, 0).effects, [Effect::Gone("b".to_owned())]);
    assert_eq!(watching.apply(&both, 0).effects, []);
    assert_eq!(polling.apply(&watching.since(at(12)), 0).effects, [Effect::Gone("b".to_owned())]);
    assert_eq!(names(&polling), ["a@3"]);
}
