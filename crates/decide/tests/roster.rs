//! Which entries of instances are withdrawn, and when the own one is written anew.

use eelgrasspier_decide::roster::{GONE_AFTER_MS, Roster};

const LISTED: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn an_entry_is_withdrawn_once_its_instance_was_gone_for_long() {
    let mut roster = Roster::default();
    let is_there = |name: &str| name != "d";
    assert!(roster.gone(&LISTED, is_there, 1_000).is_empty());
    assert!(roster.gone(&LISTED, is_there, GONE_AFTER_MS).is_empty());
    assert_eq!(roster.gone(&LISTED, is_there, GONE_AFTER_MS + 1_000), ["d"]);
}

#[test]
fn an_instance_that_came_back_meanwhile_keeps_its_entry() {
    let mut roster = Roster::default();
    assert!(roster.gone(&LISTED, |name| name != "d", 1_000).is_empty());
    assert!(roster.gone(&LISTED, |_| true, 20_000).is_empty());
    let late_ms = GONE_AFTER_MS + 10_000;
    assert!(roster.gone(&LISTED, |name| name != "d", late_ms).is_empty());
}

/// Symptom: after a cut between zones no instance could be found by those that started.
/// Sequence: each side took the other for gone and withdrew its entries.
/// Cause it guards against: an instance that is cut off itself judging the others.
#[test]
fn one_that_misses_most_others_withdraws_nobody() {
    let mut roster = Roster::default();
    let is_there = |name: &str| name == "a";
    assert!(roster.gone(&LISTED, is_there, 0).is_empty());
    assert!(roster.gone(&LISTED, is_there, 2 * GONE_AFTER_MS).is_empty());
}

#[test]
fn an_own_entry_that_is_missing_twice_is_written_anew() {
    let mut roster = Roster::default();
    let lists = [true, false, true, false, false, false, true];
    let written = lists.map(|is_listed| roster.is_own_lost(is_listed));
    assert_eq!(written, [false, false, false, false, true, false, false]);
}
