//! Evacuated zones, and what holds just after one was taken back.

use eelgrasspier_decide::evacuations::{Evacuations, ZoneChange};

fn evacuated(zone: &str) -> ZoneChange {
    ZoneChange::Evacuated(zone.into())
}

fn taken_back(zone: &str) -> ZoneChange {
    ZoneChange::TakenBack(zone.into())
}

#[test]
fn several_zones_may_be_evacuated_at_a_time() {
    let mut zones = Evacuations::default();
    assert!(zones.apply(evacuated("a"), 0));
    assert!(zones.apply(evacuated("b"), 10));
    assert!(!zones.apply(evacuated("b"), 20), "it was known");
    assert!(zones.apply(taken_back("a"), 30));
    assert_eq!((zones.is_evacuated("a"), zones.is_evacuated("b")), (false, true));
    assert_eq!(zones.evacuated().count(), 1);
}

/// Symptom: replicas crashed under a second's usual requests just after their zone was taken back.
/// Sequence: they had turned cold while the zone was evacuated; their entries said so a report later.
/// Cause: without an entry that says so a replica counts as warm.
#[test]
fn a_zone_that_was_taken_back_counts_as_cold_for_as_long_as_a_start() {
    let mut zones = Evacuations::default();
    zones.apply(evacuated("a"), 0);
    assert_eq!(zones.cold_until_ms("a", 3_000), None);
    zones.apply(taken_back("a"), 5_000);
    assert_eq!(zones.cold_until_ms("a", 3_000), Some(8_000));
    zones.apply(evacuated("a"), 6_000);
    assert_eq!(zones.cold_until_ms("a", 3_000), None, "it gets nothing at all");
}

/// Sequence: an instance started after the evacuation had ended, and hears of the end from another.
#[test]
fn an_end_without_a_beginning_counts_too() {
    let mut zones = Evacuations::default();
    assert!(zones.apply(taken_back("a"), 100));
    assert_eq!(zones.cold_until_ms("a", 500), Some(600));
}
