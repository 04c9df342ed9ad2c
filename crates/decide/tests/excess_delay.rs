//! Excess delay of requests, measured with differing clocks.

use eelgrasspier_decide::excess_delay::DelayEstimator;

/// Guards against passing 2,987 ms to replicas for a request whose caller had 145 ms left. An
/// instance was frozen for 1.5 s and then answered the requests received in the meantime, each with
/// the remaining time as of when it was sent.
#[test]
fn requests_queued_during_a_freeze_are_late_by_its_duration() {
    let mut estimator = DelayEstimator::default();
    // The sender's clock is 70 s ahead; the normal delay is 2 ms.
    for sent_ms in [80_000, 80_300, 80_700] {
        assert_eq!(estimator.excess_delay_ms(sent_ms, sent_ms - 70_000 + 2, None), 0);
    }
    let resumed_ms = 12_500;
    assert_eq!(estimator.excess_delay_ms(81_000, resumed_ms, None), 1_498);
    assert_eq!(estimator.excess_delay_ms(82_400, resumed_ms, None), 98);
    // The next request has the normal delay again.
    assert_eq!(estimator.excess_delay_ms(82_600, 12_602, None), 0);
}

#[test]
fn a_shorter_delay_becomes_the_baseline() {
    let mut estimator = DelayEstimator::default();
    assert_eq!(estimator.excess_delay_ms(1_000, 5_040, None), 0);
    assert_eq!(estimator.excess_delay_ms(2_000, 6_002, None), 0);
    assert_eq!(estimator.excess_delay_ms(3_000, 7_040, None), 38);
}

#[test]
fn clock_drift_is_not_counted_as_delay() {
    let mut estimator = DelayEstimator::default();
    let mut late_ms = 0;
    for second in 1..36_000_u64 {
        let sent_ms = second * 1_000;
        // 50 ppm.
        late_ms = late_ms.max(estimator.excess_delay_ms(sent_ms, sent_ms + sent_ms / 20_000, None));
    }
    assert!(late_ms <= 1, "{late_ms}");
}

/// Guards against passing on the time that a request waited on a connection that was opened while
/// this process was paused, and has no baseline.
#[test]
fn requests_on_new_connections_are_late_by_the_pause() {
    let mut estimator = DelayEstimator::default();
    assert_eq!(estimator.excess_delay_ms(81_000, 12_500, Some(1_500)), 1_500);
    assert_eq!(estimator.excess_delay_ms(82_400, 12_501, Some(1_501)), 1_501);
    // The first request after that sets the baseline.
    assert_eq!(estimator.excess_delay_ms(82_900, 12_902, None), 0);
    assert_eq!(estimator.excess_delay_ms(83_000, 13_502, Some(1_500)), 500);
}
