//! Pauses of the own process.

use eelgrasspier_decide::pauses::PauseDetector;

/// Guards against requests that seem new because a pause was not noticed or two were taken for one.
#[test]
fn data_read_after_a_pause_may_have_waited_since_its_start() {
    let mut detector = PauseDetector::default();
    for now_ms in (0..=1_000).step_by(50) {
        detector.observe(now_ms);
        assert_eq!(detector.max_wait_ms(now_ms), None);
    }
    detector.observe(3_000);
    assert_eq!(detector.max_wait_ms(3_000), Some(2_000));
    detector.observe(3_050);
    assert_eq!(detector.max_wait_ms(3_050), Some(2_050));
    // A short second pause follows before everything has been read.
    detector.observe(3_200);
    assert_eq!(detector.max_wait_ms(3_200), Some(2_200));
    assert_eq!(detector.max_wait_ms(3_299), Some(2_299));
    assert_eq!(detector.max_wait_ms(3_300), Some(250));
    assert_eq!(detector.max_wait_ms(3_500), None);
    for now_ms in (3_250..=4_000).step_by(50) {
        detector.observe(now_ms);
    }
    detector.observe(4_500);
    assert_eq!(detector.max_wait_ms(4_500), Some(500));
}

/// Guards against an instance that refuses all requests on new connections because it is throttled.
#[test]
fn many_short_pauses_are_not_taken_for_a_long_one() {
    let mut detector = PauseDetector::default();
    for now_ms in (0..60_000).step_by(120) {
        detector.observe(now_ms);
        assert!(detector.max_wait_ms(now_ms).is_none_or(|waited_ms| waited_ms < 500));
    }
}

/// Guards against overflow, and against more waiting time than has passed since the start.
#[test]
fn any_clock_is_accepted() {
    arbtest::arbtest(|u| {
        let mut detector = PauseDetector::default();
        for now_ms in u.arbitrary::<Vec<u64>>()? {
            detector.observe(now_ms);
            assert!(detector.max_wait_ms(now_ms).is_none_or(|waited_ms| waited_ms <= now_ms));
        }
        Ok(())
    });
}
