//! Ordering of changes and the mirror across restores of the store from a backup.

mod mirrors;

use bytes::Bytes;
use eelgrasspier_decide::history::{EraComparison, EraTracker, Position};
use eelgrasspier_decide::mirror::{
    Changes, Deleted, Deviation, Effect, Mirror, Retention, Versioned,
};

use mirrors::{RETENTION_MS, WITHHOLD_MS, full_list, new_mirror, object, replica_mirror};

fn events((era, as_of): (u64, u64), objects: Vec<Versioned>) -> Changes {
    Changes { as_of, objects, ..Changes::default() }.with_era(era)
}

fn deletion((era, as_of): (u64, u64), name: &str) -> Changes {
    let deleted = Deleted { name: name.to_owned(), revision: as_of, ..Deleted::default() };
    Changes { as_of, deleted: vec![deleted], ..Changes::default() }.with_era(era)
}

/// Returns the contents in use, without objects that are sent together with a tombstone.
fn contents(mirror: &Mirror) -> Vec<String> {
    let all = mirror.changes_since(Position::default());
    let is_in_use = |o: &&Versioned| all.deleted.iter().all(|deleted| deleted.name != o.name);
    let in_use = all.objects.iter().filter(is_in_use);
    in_use.map(|o| String::from_utf8_lossy(&o.content).into_owned()).collect()
}

fn set(name: &str, edition: u64) -> Effect {
    Effect::Set(name.to_owned(), Bytes::from(format!("{name}:{edition}")))
}

/// Guards against ignoring a change because its revision was assigned before the restore.
#[test]
fn a_change_of_a_later_era_is_newer_at_any_revision() {
    let mut mirror = new_mirror(Retention::Always);
    mirror.apply(&full_list((7, 80), vec![object("main", 79, 79)]), 0);
    mirror.apply(&full_list((8, 70), vec![object("main", 68, 79)]), 0);
    assert_eq!(
        mirror.apply(&events((8, 72), vec![object("main", 72, 83)]), 0).effects,
        [set("main", 83)]
    );
    assert_eq!(mirror.position(), Position { era: 8, revision: 72 });
}

/// Guards against a restore that brings back an older version.
#[test]
fn a_later_era_does_not_revert_to_an_older_edition() {
    let mut mirror = new_mirror(Retention::Always);
    mirror.apply(&full_list((7, 80), vec![object("main", 79, 79)]), 0);
    let applied = mirror.apply(&full_list((8, 70), vec![object("main", 60, 77)]), 0);
    assert_eq!(applied.effects, []);
    assert!(matches!(&applied.deviations[..], [Deviation::IgnoredStale { .. }]), "{applied:?}");
    mirror.expire(60_000);
    assert_eq!(contents(&mirror), ["main:79"]);
    // An instance that read only the restored store gets the newer version, even long afterwards.
    let mut other = new_mirror(Retention::Always);
    other.apply(&full_list((8, 70), vec![object("main", 60, 77)]), 0);
    other.apply(&mirror.changes_since(other.position()), 60_000);
    assert_eq!(contents(&other), ["main:79"]);
}

/// Guards against losing a version that is known only to an instance unaware of the restore.
#[test]
fn the_newest_version_is_accepted_from_an_instance_of_an_earlier_era() {
    let mut unaware = new_mirror(Retention::Always);
    unaware.apply(&full_list((7, 80), vec![object("main", 79, 79)]), 0);
    let mut started = new_mirror(Retention::Always);
    started.apply(&full_list((8, 70), vec![object("main", 60, 77)]), 0);
    let applied = started.apply(&unaware.changes_since(started.position()), 0);
    assert_eq!(applied.effects, [set("main", 79)]);
    assert_eq!(started.position().era, 8);
    // Replica entries are not taken over, since the store is authoritative for them.
    let mut unaware = replica_mirror();
    unaware.apply(&full_list((7, 80), vec![object("a", 79, 9)]), 0);
    assert_eq!(unaware.changes_since(started.position()).objects, []);
}

/// Guards against missing changes once the restored store's revisions exceed those of a watch.
#[test]
fn changes_since_a_position_of_an_earlier_era_are_ignored() {
    let mut mirror = replica_mirror();
    mirror.apply(&full_list((7, 80), vec![object("a", 79, 1)]), 0);
    assert_eq!(mirror.apply(&events((8, 90), vec![object("b", 85, 1)]), 0).effects, []);
    assert_eq!(mirror.position(), Position { era: 7, revision: 80 });
}

/// Guards against a late answer from the previous era.
#[test]
fn a_late_answer_of_an_earlier_era_changes_nothing() {
    let mut mirror = replica_mirror();
    mirror.apply(&full_list((7, 80), vec![object("a", 79, 5)]), 0);
    mirror.apply(&full_list((8, 70), vec![object("a", 60, 5)]), 0);
    mirror.apply(&deletion((8, 71), "a"), 0);
    assert_eq!(mirror.apply(&events((7, 95), vec![object("a", 95, 6)]), 0).effects, []);
    assert_eq!(mirror.apply(&full_list((7, 95), vec![object("a", 95, 6)]), 0).effects, []);
    assert_eq!(contents(&mirror), Vec::<String>::new());
}

/// Guards against dropping live replicas that the backup lacks, and against retaining dead ones.
#[test]
fn objects_missing_from_the_backup_are_retained_until_rewritten() {
    let mut mirror = replica_mirror();
    let entries = vec![object("dead", 78, 1), object("lives", 79, 1)];
    mirror.apply(&full_list((7, 80), entries), 0);
    let retained = ["dead", "lives"].map(|name| Deviation::Retained(name.to_owned()));
    assert_eq!(mirror.apply(&full_list((8, 70), Vec::new()), 10_000).deviations, retained);
    assert_eq!(mirror.unsettled_count(), 2);
    assert_eq!(
        mirror.apply(&events((8, 71), vec![object("lives", 71, 2)]), 11_000).effects,
        [set("lives", 2)]
    );
    assert_eq!(mirror.expire(10_000 + RETENTION_MS - 1).effects, []);
    assert_eq!(mirror.expire(10_000 + RETENTION_MS).effects, [Effect::Removed("dead".to_owned())]);
    assert_eq!(contents(&mirror), ["lives:2"]);
    assert_eq!(mirror.unsettled_count(), 0);
}

/// Guards against dropping a live replica with an older, equivalent entry in the backup. The store
/// reports no change of it.
#[test]
fn objects_with_an_older_edition_in_the_backup_are_not_dropped() {
    let mut mirror = replica_mirror();
    mirror.apply(&full_list((7, 80), vec![object("a", 79, 5)]), 0);
    mirror.apply(&full_list((8, 70), vec![object("a", 60, 4)]), 0);
    assert_eq!(mirror.expire(RETENTION_MS).effects, []);
    assert_eq!(mirror.expire(WITHHOLD_MS).effects, []);
    assert_eq!(contents(&mirror), ["a:5"]);
    // It is deleted in the new era after all.
    assert_eq!(
        mirror.apply(&deletion((8, 90), "a"), 9_000).effects,
        [Effect::Removed("a".to_owned())]
    );
}

/// Guards against requests to a replica that has left and is back in the restored store.
#[test]
fn resurrected_objects_are_withheld_until_rewritten() {
    let mut mirror = replica_mirror();
    mirror.apply(&full_list((7, 80), vec![object("left", 40, 3), object("lives", 41, 3)]), 0);
    mirror.apply(&deletion((7, 85), "left"), 0);
    mirror.apply(&deletion((7, 86), "lives"), 0);
    let restored = vec![object("left", 40, 3), object("lives", 41, 3)];
    let withheld = ["left", "lives"].map(|name| Deviation::Withheld(name.to_owned()));
    assert_eq!(mirror.apply(&full_list((8, 70), restored.clone()), 0).deviations, withheld);
    assert_eq!(
        mirror.apply(&events((8, 71), vec![object("lives", 71, 4)]), 0).effects,
        [set("lives", 4)]
    );
    // An instance that read only the restored store learns that the object is withheld.
    let mut started = replica_mirror();
    started.apply(&full_list((8, 70), restored), 0);
    started.apply(&mirror.changes_since(started.position()), 0);
    assert_eq!(contents(&started), ["lives:4"]);
    // The store expires the entry, since it is not renewed.
    assert_eq!(mirror.apply(&deletion((8, 75), "left"), 3_000).effects, []);
    assert_eq!(mirror.expire(WITHHOLD_MS).effects, []);
    assert_eq!(contents(&mirror), ["lives:4"]);
}

/// Guards against other instances dropping a live replica that wrote the same content again. They
/// must not use one whose entry has lapsed, either.
#[test]
fn confirmations_in_the_new_era_are_news() {
    let mut mirror = replica_mirror();
    let existing = vec![object("left", 40, 3), object("lives", 79, 1)];
    mirror.apply(&full_list((7, 80), existing), 0);
    mirror.apply(&deletion((7, 85), "left"), 0);
    mirror.apply(&full_list((8, 70), vec![object("left", 40, 3)]), 0);
    let written = mirror.apply(&events((8, 71), vec![object("lives", 71, 1)]), 0);
    assert_eq!((written.effects.len(), written.needs_notification()), (0, true));
    let lapsed = mirror.apply(&deletion((8, 72), "left"), 0);
    assert_eq!((lapsed.effects.len(), lapsed.needs_notification()), (0, true));
    // Writing the object once more in the same era needs no notification.
    let written = mirror.apply(&events((8, 73), vec![object("lives", 73, 1)]), 0);
    assert!(!written.needs_notification());
}

/// Guards against instances that permanently disagree on the use of a replica.
#[test]
fn withheld_objects_are_withheld_by_peers_that_learn_of_the_restore() {
    let mut first = replica_mirror();
    first.apply(&full_list((7, 80), vec![object("a", 40, 3)]), 0);
    first.apply(&deletion((7, 85), "a"), 0);
    let (mut second, mut started) = (first.clone(), replica_mirror());
    first.apply(&full_list((8, 70), vec![object("a", 40, 3)]), 0);
    for mirror in [&mut second, &mut started] {
        let applied = mirror.apply(&first.changes_since(mirror.position()), 0);
        assert!(!applied.effects.contains(&set("a", 3)), "{applied:?}");
        assert_eq!(contents(mirror), Vec::<String>::new());
        assert_eq!(mirror.expire(WITHHOLD_MS).effects, [set("a", 3)]);
    }
}

/// Guards against a replica that is never used because its entry had lapsed before the restore.
#[test]
fn objects_that_outlast_the_withhold_time_are_used() {
    let mut mirror = replica_mirror();
    mirror.apply(&full_list((7, 80), vec![object("a", 40, 3)]), 0);
    mirror.apply(&deletion((7, 85), "a"), 0);
    mirror.apply(&full_list((8, 70), vec![object("a", 40, 3)]), 0);
    assert_eq!(mirror.expire(WITHHOLD_MS).effects, [set("a", 3)]);
}

/// Guards against a retention that is not restarted by a second restore. The second one comes
/// before all objects were written again.
#[test]
fn a_second_restore_restarts_the_retention() {
    let mut mirror = replica_mirror();
    mirror.apply(&full_list((7, 80), vec![object("a", 79, 1)]), 0);
    mirror.apply(&full_list((8, 70), Vec::new()), 10_000);
    assert_eq!(mirror.apply(&full_list((9, 60), Vec::new()), 11_500).effects, []);
    assert_eq!(mirror.expire(12_100).effects, []);
    assert_eq!(
        mirror.apply(&events((9, 61), vec![object("a", 61, 2)]), 12_200).effects,
        [set("a", 2)]
    );
    assert_eq!(mirror.expire(11_500 + RETENTION_MS).effects, []);
    assert_eq!(contents(&mirror), ["a:2"]);
}

/// Guards against an instance that spreads old state as newer, or keeps requesting changes.
#[test]
fn instances_of_two_eras_converge() {
    let (mut first, mut second) = (replica_mirror(), replica_mirror());
    for mirror in [&mut first, &mut second] {
        mirror.apply(&full_list((7, 80), vec![object("a", 60, 1), object("b", 79, 1)]), 0);
    }
    first.apply(&full_list((8, 70), vec![object("a", 60, 1)]), 0);
    first.apply(&events((8, 75), vec![object("c", 75, 1)]), 0);
    assert_eq!(first.apply(&second.changes_since(first.position()), 0).effects, []);
    second.apply(&first.changes_since(second.position()), 0);
    assert_eq!(second.position(), first.position());
    assert_eq!(contents(&second), contents(&first));
    for mirror in [&mut first, &mut second] {
        mirror.expire(RETENTION_MS);
        assert_eq!(contents(mirror), ["a:1", "c:1"]);
    }
}

#[test]
fn a_restore_is_reported_once_and_late_answers_are_detected() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe_answer(Some(7), 0, false), EraComparison::Restored);
    assert_eq!(eras.observe_answer(Some(7), 7, false), EraComparison::Unchanged);
    assert_eq!(eras.observe_answer(Some(8), 7, false), EraComparison::Restored);
    // A watch opened earlier, and a stale read, may still return the previous era.
    assert_eq!(eras.observe_answer(Some(7), 7, false), EraComparison::Stale);
    assert_eq!(eras.observe_answer(Some(7), 8, true), EraComparison::Stale);
    eras.observe_peer(9);
    assert_eq!(eras.observe_answer(Some(9), 8, false), EraComparison::Unchanged);
}

/// Guards against a missing or invalid era header: the store is followed as before.
#[test]
fn a_missing_or_lower_era_keeps_the_current_one() {
    let mut eras = EraTracker::default();
    eras.observe_answer(Some(7), 0, false);
    assert_eq!(eras.observe_answer(None, 7, false), EraComparison::Unchanged);
    assert_eq!(eras.observe_answer(Some(6), 7, false), EraComparison::Regressed);
    assert_eq!(eras.current(), 7);
}
