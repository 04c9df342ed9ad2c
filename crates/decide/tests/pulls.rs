//! Pulls of changes from other instances, and backoff when the store does not answer.

use eelgrasspier_decide::outage::{LEAST_PAUSE_MS, MOST_PAUSE_MS, pause_ms};
use eelgrasspier_decide::pulls::{GIVE_UP_MS, HEDGE_AFTER_MS, Pulls};

/// Guards against a large configuration that never comes into force on some instances. Their
/// callers were refused with an unknown route. Twenty instances pulled 1,800 routes from one over a
/// slow link; each cancelled after 400 ms and started again from the beginning.
#[test]
fn a_slow_pull_continues_while_another_instance_is_asked() {
    let mut pulls = Pulls::default();
    assert!(pulls.may_start(0));
    pulls.start("a", 0);
    assert!(!pulls.may_start(HEDGE_AFTER_MS - 1));
    assert!(pulls.may_start(HEDGE_AFTER_MS));
    assert!(pulls.is_asked("a"));
    pulls.start("b", HEDGE_AFTER_MS);
    assert!(pulls.is_asked("a") && pulls.is_asked("b"));
    assert!(!pulls.may_start(HEDGE_AFTER_MS + 1));
    pulls.end("a");
    assert!(!pulls.is_asked("a"));
    assert!(pulls.may_start(2 * HEDGE_AFTER_MS));
}

/// Guards against a change that is in force three seconds late. The only instance with the change
/// froze while it was asked, and the pull was not hedged before its timeout.
#[test]
fn a_frozen_instance_delays_a_change_by_less_than_half_a_second() {
    let mut pulls = Pulls::default();
    pulls.start("frozen", 10);
    let hedged_ms = (10..GIVE_UP_MS).find(|&now_ms| pulls.may_start(now_ms)).unwrap();
    assert!(hedged_ms - 10 < 500);
}

#[test]
fn concurrent_pulls_are_limited() {
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

/// Guards against expensive outages of the store. 77 instances retried every 600 ms, each call was
/// refused, and six seconds cost more calls than the rest of the day. The backoff has to follow the
/// fleet size.
#[test]
fn backoff_grows_with_the_fleet_size() {
    assert_eq!(pause_ms(MOST_PAUSE_MS, 7), 600);
    assert_eq!(pause_ms(MOST_PAUSE_MS, 77), 1_800);
    assert_eq!(pause_ms(MOST_PAUSE_MS, 2_600), 2_400);
    // A call that failed by chance is retried at once in a fleet of any size.
    assert_eq!(pause_ms(LEAST_PAUSE_MS, 2_600), LEAST_PAUSE_MS);
    // A large fleet as a whole still retries more often than a small one.
    assert!(2_600 / pause_ms(MOST_PAUSE_MS, 2_600) > 7 / pause_ms(MOST_PAUSE_MS, 7));
}
