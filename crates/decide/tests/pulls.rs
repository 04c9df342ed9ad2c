//! How changes are pulled from other instances, and a store that does not answer is tried.

use eelgrasspier_decide::outage::{LEAST_PAUSE_MS, MOST_PAUSE_MS, pause_ms};
use eelgrasspier_decide::pulls::{ASK_ANOTHER_MS, GIVE_UP_MS, Pulls};

/// Symptom: a configuration of 1,800 routes was never in force on some instances; their
/// callers were told that routes don't exist.
/// Sequence: twenty instances pulled it from one over a thin link; each gave up after 400 ms,
/// asked again and started from nothing.
/// Cause: a slow pull was taken for a dead instance.
#[test]
fn a_slow_pull_goes_on_while_another_instance_is_asked() {
    let mut pulls = Pulls::default();
    assert!(pulls.may_start(0));
    pulls.start("a", 0);
    assert!(!pulls.may_start(ASK_ANOTHER_MS - 1));
    assert!(pulls.may_start(ASK_ANOTHER_MS));
    assert!(pulls.is_asked("a"));
    pulls.start("b", ASK_ANOTHER_MS);
    assert!(pulls.is_asked("a") && pulls.is_asked("b"));
    assert!(!pulls.may_start(ASK_ANOTHER_MS + 1));
    pulls.end("a");
    assert!(!pulls.is_asked("a"));
    assert!(pulls.may_start(2 * ASK_ANOTHER_MS));
}

/// Symptom: a change was in force three seconds late.
/// Sequence: the one instance that was ahead froze while it was asked.
/// Cause it guards against: waiting for it until the pull is given up.
#[test]
fn a_frozen_instance_holds_a_change_up_for_less_than_half_a_second() {
    let mut pulls = Pulls::default();
    pulls.start("frozen", 10);
    let asked_at = (10..GIVE_UP_MS).find(|&now_ms| pulls.may_start(now_ms)).unwrap();
    assert!(asked_at - 10 < 500);
}

#[test]
fn pulls_side_by_side_are_few() {
    let mut pulls = Pulls::default();
    let mut started = 0;
    for now_ms in 0..GIVE_UP_MS {
        if pulls.may_start(now_ms) {
            pulls.start(&format!("i{started}"), now_ms);
            started += 1;
        }
    }
    assert_eq!(started, 3);
}

/// Symptom: an outage of six seconds cost more calls of the store than the rest of the day.
/// Sequence: 77 instances tried it every 600 ms, and each call was refused.
/// Cause: the pause did not follow the size of the fleet.
#[test]
fn a_large_fleet_tries_a_lost_store_less_often() {
    assert_eq!(pause_ms(MOST_PAUSE_MS, 7), 600);
    assert_eq!(pause_ms(MOST_PAUSE_MS, 77), 1_800);
    assert_eq!(pause_ms(MOST_PAUSE_MS, 2_600), 2_400);
    // A call that was lost by chance is made good at once in any fleet.
    assert_eq!(pause_ms(LEAST_PAUSE_MS, 2_600), LEAST_PAUSE_MS);
    // The fleet as a whole still tries more often than a small one does.
    assert!(2_600 / pause_ms(MOST_PAUSE_MS, 2_600) > 7 / pause_ms(MOST_PAUSE_MS, 7));
}
