//! How late questions are, by clocks that differ.

use eelgrasspier_decide::transit::Transit;

/// Symptom: replicas were handed 2,987 ms for a request whose caller had 145 left.
/// Sequence: an instance was frozen for a second and a half; the questions that had come
/// meanwhile were answered when it woke, each with the time that was left when it was sent.
/// Cause: nothing told how long a question had been on its way.
#[test]
fn what_waited_while_the_reader_was_frozen_is_late_by_that() {
    let mut transit = Transit::default();
    // The sender's clock is 70 s ahead; the way takes 2 ms.
    for sent_ms in [80_000, 80_300, 80_700] {
        assert_eq!(transit.late_ms(sent_ms, sent_ms - 70_000 + 2), 0);
    }
    let woken_ms = 12_500;
    assert_eq!(transit.late_ms(81_000, woken_ms), 1_498);
    assert_eq!(transit.late_ms(82_400, woken_ms), 98);
    // The next one is as usual again.
    assert_eq!(transit.late_ms(82_600, 12_602), 0);
}

#[test]
fn a_shorter_way_is_the_usual_one_from_then_on() {
    let mut transit = Transit::default();
    assert_eq!(transit.late_ms(1_000, 5_040), 0);
    assert_eq!(transit.late_ms(2_000, 6_002), 0);
    assert_eq!(transit.late_ms(3_000, 7_040), 38);
}

#[test]
fn clocks_that_drift_apart_are_not_taken_for_delay() {
    let mut transit = Transit::default();
    let mut late_ms = 0;
    for second in 1..36_000_u64 {
        let sent_ms = second * 1_000;
        // Fifty parts in a million.
        late_ms = late_ms.max(transit.late_ms(sent_ms, sent_ms + sent_ms / 20_000));
    }
    assert!(late_ms <= 1, "{late_ms}");
}
