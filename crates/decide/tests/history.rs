//! The order of changes and the copy of the store, where the store is restored from a copy.

mod copies;

use bytes::Bytes;
use eelgrasspier_decide::history::{Eras, Position, Told};
use eelgrasspier_decide::mirror::{Changes, Deleted, Effect, Mirror, Note, Retention, Versioned};

use copies::{DOUBT_MS, KEPT_MS, copy, object, of_replicas, whole};

fn events((era, as_of): (u64, u64), objects: Vec<Versioned>) -> Changes {
    Changes { as_of, objects, ..Changes::default() }.in_era(era)
}

fn deletion((era, as_of): (u64, u64), name: &str) -> Changes {
    let deleted = Deleted { name: name.to_owned(), revision: as_of, ..Deleted::default() };
    Changes { as_of, deleted: vec![deleted], ..Changes::default() }.in_era(era)
}

/// Contents in use: an object that is told beside its deletion is left out.
fn contents(mirror: &Mirror) -> Vec<String> {
    let all = mirror.since(Position::default());
    let is_used = |o: &&Versioned| all.deleted.iter().all(|deleted| deleted.name != o.name);
    let used = all.objects.iter().filter(is_used);
    used.map(|o| String::from_utf8_lossy(&o.content).into_owned()).collect()
}

fn set(name: &str, edition: u64) -> Effect {
    Effect::Set(name.to_owned(), Bytes::from(format!("{name}:{edition}")))
}

/// Guards against a change that is ignored, since its revision was given out before.
#[test]
fn a_change_of_a_later_era_is_newer_at_whatever_revision() {
    let mut mirror = copy(Retention::Always);
    mirror.apply(&whole((7, 80), vec![object("main", 79, 79)]), 0);
    mirror.apply(&whole((8, 70), vec![object("main", 68, 79)]), 0);
    assert_eq!(
        mirror.apply(&events((8, 72), vec![object("main", 72, 83)]), 0).effects,
        [set("main", 83)]
    );
    assert_eq!(mirror.position(), Position { era: 8, revision: 72 });
}

/// Guards against an older version that a copy brings back.
#[test]
fn a_later_era_does_not_bring_an_older_edition_back() {
    let mut mirror = copy(Retention::Always);
    mirror.apply(&whole((7, 80), vec![object("main", 79, 79)]), 0);
    let applied = mirror.apply(&whole((8, 70), vec![object("main", 60, 77)]), 0);
    assert_eq!(applied.effects, []);
    assert!(matches!(&applied.notes[..], [Note::LeftOut { .. }]), "{applied:?}");
    mirror.expire(60_000);
    assert_eq!(contents(&mirror), ["main:79"]);
    // One that read the restored store alone gets it, also long after.
    let mut other = copy(Retention::Always);
    other.apply(&whole((8, 70), vec![object("main", 60, 77)]), 0);
    other.apply(&mirror.since(other.position()), 60_000);
    assert_eq!(contents(&other), ["main:79"]);
}

/// Guards against the loss of a version that only an instance knows which has not heard of the
/// restore.
#[test]
fn the_newest_version_is_taken_from_one_of_an_earlier_era() {
    let mut cut_off = copy(Retention::Always);
    cut_off.apply(&whole((7, 80), vec![object("main", 79, 79)]), 0);
    let mut started = copy(Retention::Always);
    started.apply(&whole((8, 70), vec![object("main", 60, 77)]), 0);
    let applied = started.apply(&cut_off.since(started.position()), 0);
    assert_eq!(applied.effects, [set("main", 79)]);
    assert_eq!(started.position().era, 8);
    // Entries of replicas are not: the store knows better.
    let mut cut_off = of_replicas();
    cut_off.apply(&whole((7, 80), vec![object("a", 79, 9)]), 0);
    assert_eq!(cut_off.since(started.position()).objects, []);
}

/// Guards against changes that are missed since the revisions have passed a watch's again.
#[test]
fn changes_from_a_place_in_an_earlier_era_are_not_taken() {
    let mut mirror = of_replicas();
    mirror.apply(&whole((7, 80), vec![object("a", 79, 1)]), 0);
    assert_eq!(mirror.apply(&events((8, 90), vec![object("b", 85, 1)]), 0).effects, []);
    assert_eq!(mirror.position(), Position { era: 7, revision: 80 });
}

/// Guards against an answer of the era before that arrives late.
#[test]
fn a_late_answer_of_an_earlier_era_changes_nothing() {
    let mut mirror = of_replicas();
    mirror.apply(&whole((7, 80), vec![object("a", 79, 5)]), 0);
    mirror.apply(&whole((8, 70), vec![object("a", 60, 5)]), 0);
    mirror.apply(&deletion((8, 71), "a"), 0);
    assert_eq!(mirror.apply(&events((7, 95), vec![object("a", 95, 6)]), 0).effects, []);
    assert_eq!(mirror.apply(&whole((7, 95), vec![object("a", 95, 6)]), 0).effects, []);
    assert_eq!(contents(&mirror), Vec::<String>::new());
}

/// Guards against live replicas that are dropped, since the copy lacks them, and dead ones that
/// are kept.
#[test]
fn what_the_copy_lacks_is_kept_until_it_must_be_written_again() {
    let mut mirror = of_replicas();
    let both = vec![object("dead", 78, 1), object("lives", 79, 1)];
    mirror.apply(&whole((7, 80), both), 0);
    let kept = ["dead", "lives"].map(|name| Note::Kept(name.to_owned()));
    assert_eq!(mirror.apply(&whole((8, 70), Vec::new()), 10_000).notes, kept);
    assert_eq!(mirror.unsettled(), 2);
    assert_eq!(
        mirror.apply(&events((8, 71), vec![object("lives", 71, 2)]), 11_000).effects,
        [set("lives", 2)]
    );
    assert_eq!(mirror.expire(10_000 + KEPT_MS - 1).effects, []);
    assert_eq!(mirror.expire(10_000 + KEPT_MS).effects, [Effect::Gone("dead".to_owned())]);
    assert_eq!(contents(&mirror), ["lives:2"]);
    assert_eq!(mirror.unsettled(), 0);
}

/// Guards against the loss of a live replica whose entry in the copy is older than the known one
/// and says the same, so that the store tells of no change.
#[test]
fn what_the_copy_has_in_an_older_edition_is_not_dropped() {
    let mut mirror = of_replicas();
    mirror.apply(&whole((7, 80), vec![object("a", 79, 5)]), 0);
    mirror.apply(&whole((8, 70), vec![object("a", 60, 4)]), 0);
    assert_eq!(mirror.expire(KEPT_MS).effects, []);
    assert_eq!(mirror.expire(DOUBT_MS).effects, []);
    assert_eq!(contents(&mirror), ["a:5"]);
    // It was deleted after all, in the new era.
    assert_eq!(
        mirror.apply(&deletion((8, 90), "a"), 9_000).effects,
        [Effect::Gone("a".to_owned())]
    );
}

/// Guards against requests to a replica that has left and is back in the copy.
#[test]
fn what_is_back_though_it_was_deleted_is_left_out_until_it_is_written_again() {
    let mut mirror = of_replicas();
    mirror.apply(&whole((7, 80), vec![object("left", 40, 3), object("lives", 41, 3)]), 0);
    mirror.apply(&deletion((7, 85), "left"), 0);
    mirror.apply(&deletion((7, 86), "lives"), 0);
    let back = vec![object("left", 40, 3), object("lives", 41, 3)];
    let doubted = ["left", "lives"].map(|name| Note::Doubted(name.to_owned()));
    assert_eq!(mirror.apply(&whole((8, 70), back.clone()), 0).notes, doubted);
    assert_eq!(
        mirror.apply(&events((8, 71), vec![object("lives", 71, 4)]), 0).effects,
        [set("lives", 4)]
    );
    // One that has read the restored store alone hears of it.
    let mut started = of_replicas();
    started.apply(&whole((8, 70), back), 0);
    started.apply(&mirror.since(started.position()), 0);
    assert_eq!(contents(&started), ["lives:4"]);
    // The store lets it lapse, since nobody renews it.
    assert_eq!(mirror.apply(&deletion((8, 75), "left"), 3_000).effects, []);
    assert_eq!(mirror.expire(DOUBT_MS).effects, []);
    assert_eq!(contents(&mirror), ["lives:4"]);
}

/// Guards against a live replica that others drop, since what it wrote again says the same as
/// before, and against one that they use though its entry has lapsed.
#[test]
fn what_the_new_era_confirms_is_told_to_others() {
    let mut mirror = of_replicas();
    let known = vec![object("left", 40, 3), object("lives", 79, 1)];
    mirror.apply(&whole((7, 80), known), 0);
    mirror.apply(&deletion((7, 85), "left"), 0);
    mirror.apply(&whole((8, 70), vec![object("left", 40, 3)]), 0);
    let written = mirror.apply(&events((8, 71), vec![object("lives", 71, 1)]), 0);
    assert_eq!((written.effects.len(), written.has_news()), (0, true));
    let lapsed = mirror.apply(&deletion((8, 72), "left"), 0);
    assert_eq!((lapsed.effects.len(), lapsed.has_news()), (0, true));
    // What is written once more in the same era says nothing new.
    let written = mirror.apply(&events((8, 73), vec![object("lives", 73, 1)]), 0);
    assert!(!written.has_news());
}

/// Guards against instances of which some use a replica for good and some never.
#[test]
fn what_is_left_out_is_left_out_where_another_tells_of_the_restore() {
    let mut first = of_replicas();
    first.apply(&whole((7, 80), vec![object("a", 40, 3)]), 0);
    first.apply(&deletion((7, 85), "a"), 0);
    let (mut second, mut started) = (first.clone(), of_replicas());
    first.apply(&whole((8, 70), vec![object("a", 40, 3)]), 0);
    for mirror in [&mut second, &mut started] {
        let told = mirror.apply(&first.since(mirror.position()), 0);
        assert!(!told.effects.contains(&set("a", 3)), "{told:?}");
        assert_eq!(contents(mirror), Vec::<String>::new());
        assert_eq!(mirror.expire(DOUBT_MS).effects, [set("a", 3)]);
    }
}

/// Guards against a replica that nobody uses for good, since its entry had lapsed before.
#[test]
fn what_is_still_there_when_it_must_have_lapsed_is_used() {
    let mut mirror = of_replicas();
    mirror.apply(&whole((7, 80), vec![object("a", 40, 3)]), 0);
    mirror.apply(&deletion((7, 85), "a"), 0);
    mirror.apply(&whole((8, 70), vec![object("a", 40, 3)]), 0);
    assert_eq!(mirror.expire(DOUBT_MS).effects, [set("a", 3)]);
}

/// Guards against the second of two restores before everything was written again.
#[test]
fn a_second_restore_begins_the_time_anew() {
    let mut mirror = of_replicas();
    mirror.apply(&whole((7, 80), vec![object("a", 79, 1)]), 0);
    mirror.apply(&whole((8, 70), Vec::new()), 10_000);
    assert_eq!(mirror.apply(&whole((9, 60), Vec::new()), 11_500).effects, []);
    assert_eq!(mirror.expire(12_100).effects, []);
    assert_eq!(
        mirror.apply(&events((9, 61), vec![object("a", 61, 2)]), 12_200).effects,
        [set("a", 2)]
    );
    assert_eq!(mirror.expire(11_500 + KEPT_MS).effects, []);
    assert_eq!(contents(&mirror), ["a:2"]);
}

/// Guards against an instance that tells the old as the newer, and one that goes on asking.
#[test]
fn instances_of_two_eras_end_with_the_same() {
    let (mut first, mut second) = (of_replicas(), of_replicas());
    for mirror in [&mut first, &mut second] {
        mirror.apply(&whole((7, 80), vec![object("a", 60, 1), object("b", 79, 1)]), 0);
    }
    first.apply(&whole((8, 70), vec![object("a", 60, 1)]), 0);
    first.apply(&events((8, 75), vec![object("c", 75, 1)]), 0);
    assert_eq!(first.apply(&second.since(first.position()), 0).effects, []);
    second.apply(&first.since(second.position()), 0);
    assert_eq!(second.position(), first.position());
    assert_eq!(contents(&second), contents(&first));
    for mirror in [&mut first, &mut second] {
        mirror.expire(KEPT_MS);
        assert_eq!(contents(mirror), ["a:1", "c:1"]);
    }
}

#[test]
fn an_answer_tells_of_a_restore_once_and_of_the_past_never() {
    let mut eras = Eras::default();
    assert_eq!(eras.take(Some(7), 0, false), Told::Restored);
    assert_eq!(eras.take(Some(7), 7, false), Told::Same);
    assert_eq!(eras.take(Some(8), 7, false), Told::Restored);
    // A watch from before, and a stale read, may still be of the era before.
    assert_eq!(eras.take(Some(7), 7, false), Told::Late);
    assert_eq!(eras.take(Some(7), 8, true), Told::Late);
    eras.hear(9);
    assert_eq!(eras.take(Some(9), 8, false), Told::Same);
}

/// Guards against a store whose header is missing or makes no sense: it is followed as before.
#[test]
fn an_era_that_goes_back_or_is_missing_is_the_present_one() {
    let mut eras = Eras::default();
    eras.take(Some(7), 0, false);
    assert_eq!(eras.take(None, 7, false), Told::Same);
    assert_eq!(eras.take(Some(6), 7, false), Told::Back);
    assert_eq!(eras.current(), 7);
}
