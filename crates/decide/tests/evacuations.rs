//! Evacuated zones, and the cold period after a zone is taken back.

use eelgrasspier_decide::evacuations::{Evacuations, ZoneChange};

fn evacuated(zone: &str) -> ZoneChange {
    ZoneChange::Evacuated(zone.into())
}

fn taken_back(zone: &str) -> ZoneChange {
    ZoneChange::Returned(zone.into())
}

#[test]
fn several_zones_may_be_evacuated_at_once() {
    let mut zones = Evacuations::default();
    assert!(zones.apply(evacuated("a"), 0));
    assert!(zones.apply(evacuated("b"), 10));
    assert!(!zones.apply(evacuated("b"), 20), "already evacuated");
    assert!(zones.apply(taken_back("a"), 30));
    assert_eq!((zones.is_evacuated("a"), zones.is_evacuated("b")), (false, true));
    assert_eq!(zones.evacuated_zones().count(), 1);
}

/// Guards against treating the replicas of a zone as warm just after it is taken back. They had
/// become cold during the evacuation, their entries showed it only with the next report, and they
/// crashed under the usual requests of one second.
#[test]
fn a_zone_that_was_taken_back_is_cold_for_the_warm_up_time() {
    let mut zones = Evacuations::default();
    zones.apply(evacuated("a"), 0);
    assert_eq!(zones.warm_at_ms("a", 3_000), None);
    zones.apply(taken_back("a"), 5_000);
    assert_eq!(zones.warm_at_ms("a", 3_000), Some(8_000));
    zones.apply(evacuated("a"), 6_000);
    assert_eq!(zones.warm_at_ms("a", 3_000), None, "an evacuated zone gets no requests");
}

/// An instance that starts after an evacuation learns of its end from another instance.
#[test]
fn the_end_of_an_unknown_evacuation_counts() {
    let mut zones = Evacuations::default();
    assert!(zones.apply(taken_back("a"), 100));
    assert_eq!(zones.warm_at_ms("a", 500), Some(600));
}
