//! Removal of stale instance entries, and rewriting of the own entry.

use eelgrasspier_decide::roster::{STALE_AFTER_MS, StaleEntries};

const LISTED: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn an_entry_is_removed_after_its_instance_was_missing_for_long() {
    let mut roster = StaleEntries::default();
    let is_present = |name: &str| name != "d";
    assert!(roster.stale(&LISTED, is_present, 1_000).is_empty());
    assert!(roster.stale(&LISTED, is_present, STALE_AFTER_MS).is_empty());
    assert_eq!(roster.stale(&LISTED, is_present, STALE_AFTER_MS + 1_000), ["d"]);
}

#[test]
fn an_instance_that_returned_in_time_keeps_its_entry() {
    let mut roster = StaleEntries::default();
    assert!(roster.stale(&LISTED, |name| name != "d", 1_000).is_empty());
    assert!(roster.stale(&LISTED, |_| true, 20_000).is_empty());
    let late_ms = STALE_AFTER_MS + 10_000;
    assert!(roster.stale(&LISTED, |name| name != "d", late_ms).is_empty());
}

/// Guards against a zone partition after which starting instances found none. Each side considered
/// the other one gone and removed its entries. An instance that is cut off itself must not judge
/// the others.
#[test]
fn an_instance_that_misses_most_others_removes_no_entry() {
    let mut roster = StaleEntries::default();
    let is_present = |name: &str| name == "a";
    assert!(roster.stale(&LISTED, is_present, 0).is_empty());
    assert!(roster.stale(&LISTED, is_present, 2 * STALE_AFTER_MS).is_empty());
}

#[test]
fn own_entry_missing_twice_in_a_row_is_rewritten() {
    let mut roster = StaleEntries::default();
    let lists = [true, false, true, false, false, false, true];
    let rewritten = lists.map(|is_listed| roster.must_rewrite_own(is_listed));
    assert_eq!(rewritten, [false, false, false, false, true, false, false]);
}
