//! Pulls of changes from other instances, and backoff when the store does not answer.

use eelgrasspier_decide::pulls::{ConcurrentPulls, HEDGE_AFTER_MS, PULL_TIMEOUT_MS};
use eelgrasspier_decide::store_backoff::{MAX_BACKOFF_MS, MIN_BACKOFF_MS, scaled_backoff_ms};

/// Guards against a large configuration that never comes into force on some instances. Their
/// callers were refused with an unknown route. Twenty instances pulled 1,800 routes from one over a
/// slow link; each cancelled after 400 ms and started again from the beginning.
#[test]
fn a_slow_pull_continues_while_another_instance_is_asked() {
    let mut pulls = ConcurrentPulls::default();
    assert!(pulls.may_start(0));
    pulls.record_start("a", 0);
    assert!(!pulls.may_start(HEDGE_AFTER_MS - 1));
    assert!(pulls.may_start(HEDGE_AFTER_MS));
    assert!(pulls.is_pulling_from("a"));
    pulls.record_start("b", HEDGE_AFTER_MS);
    assert!(pulls.is_pulling_from("a") && pulls.is_pulling_from("b"));
    assert!(!pulls.may_start(HEDGE_AFTER_MS + 1));
    pulls.record_end("a");
    assert!(!pulls.is_pulling_from("a"));
    assert!(pulls.may_start(2 * HEDGE_AFTER_MS));
}

/// Guards against a change that is in force three seconds late. The only instance with the change
/// froze while it was asked, and the pull was not hedged before its timeout.
#[test]
fn a_frozen_instance_delays_a_change_by_less_than_half_a_second() {
    let mut pulls = ConcurrentPulls::default();
    pulls.record_start("frozen", 10);
    let hedged_ms = (10..PULL_TIMEOUT_MS).find(|&now_ms| pulls.may_start(now_ms)).unwrap();
    assert!(hedged_ms - 10 < 500);
}

#[test]
fn concurrent_pulls_are_limited() {
    let mut pulls = ConcurrentPulls::default();
    let mut started = 0;
    for now_ms in 0..PULL_TIMEOUT_MS {
        if pulls.may_start(now_ms) {
            pulls.record_start(&format!("i{started}"), now_ms);
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
    assert_eq!(scaled_backoff_ms(MAX_BACKOFF_MS, 7), 600);
    assert_eq!(scaled_backoff_ms(MAX_BACKOFF_MS, 77), 1_800);
    assert_eq!(scaled_backoff_ms(MAX_BACKOFF_MS, 2_600), 2_400);
    // A call that failed by chance is retried after the initial backoff in a fleet of any size.
    assert_eq!(scaled_backoff_ms(MIN_BACKOFF_MS, 2_600), MIN_BACKOFF_MS);
    // A large fleet as a whole still retries more often than a small one.
    assert!(
        2_600 / scaled_backoff_ms(MAX_BACKOFF_MS, 2_600) > 7 / scaled_backoff_ms(MAX_BACKOFF_MS, 7)
    );
}
