//! Removal of stale instance entries, and rewriting of the own entry.

use eelgrasspier_decide::stale_entries::{STALE_AFTER_MS, StaleEntries};

const LISTED: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn an_entry_is_removed_after_its_instance_was_missing_for_long() {
    let mut entries = StaleEntries::default();
    let is_present = |name: &str| name != "d";
    assert!(entries.stale(&LISTED, is_present, 1_000).is_empty());
    assert!(entries.stale(&LISTED, is_present, STALE_AFTER_MS).is_empty());
    assert_eq!(entries.stale(&LISTED, is_present, STALE_AFTER_MS + 1_000), ["d"]);
}

#[test]
fn an_instance_that_returned_in_time_keeps_its_entry() {
    let mut entries = StaleEntries::default();
    assert!(entries.stale(&LISTED, |name| name != "d", 1_000).is_empty());
    assert!(entries.stale(&LISTED, |_| true, 20_000).is_empty());
    let late_ms = STALE_AFTER_MS + 10_000;
    assert!(entries.stale(&LISTED, |name| name != "d", late_ms).is_empty());
}

/// Guards against a zone partition after which starting instances found none. Each side considered
/// the other one gone and removed its entries. An instance that is cut off itself must not judge
/// the others.
#[test]
fn an_instance_that_misses_most_others_removes_no_entry() {
    let mut entries = StaleEntries::default();
    let is_present = |name: &str| name == "a";
    assert!(entries.stale(&LISTED, is_present, 0).is_empty());
    assert!(entries.stale(&LISTED, is_present, 2 * STALE_AFTER_MS).is_empty());
}

#[test]
fn own_entry_missing_twice_in_a_row_is_rewritten() {
    let mut entries = StaleEntries::default();
    let lists = [true, false, true, false, false, false, true];
    let rewritten = lists.map(|is_listed| entries.must_rewrite_own(is_listed));
    assert_eq!(rewritten, [false, false, false, false, true, false, false]);
}
