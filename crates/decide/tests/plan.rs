//! Which shards of a request are left out, and when it is refused as a whole.

use eelgrasspier_decide::admission::{Plan, plan};
use eelgrasspier_decide::patience;

const LEFT_MS: f64 = 180.0;

#[test]
fn a_request_whose_shards_are_all_in_time_is_sent_to_all() {
    let begun = Plan::Begin { left_out: Vec::new() };
    assert_eq!(plan(&[28.0; 20], 2, LEFT_MS, 0.5), begun);
    assert_eq!(plan(&[], 0, LEFT_MS, 0.5), begun);
}

/// Symptom: where three shards in twenty had lost a replica, a tenth of all requests was
/// answered in time, with every replica at work.
/// Sequence: each request was sent to all shards and waited for the full ones; when they
/// shed it, what the seventeen others had done for it was thrown away.
/// Cause: nothing went by what was known of the shards' queues before the request was sent.
#[test]
fn shards_that_would_be_late_are_left_out_as_far_as_the_answer_may() {
    let mut answer_ms = [28.0; 20];
    answer_ms[3] = 170.0;
    answer_ms[7] = 238.0;
    assert_eq!(plan(&answer_ms, 2, LEFT_MS, 0.5), Plan::Begin { left_out: vec![3, 7] });
}

#[test]
fn with_more_late_shards_than_may_miss_it_is_refused_before_anything_runs() {
    let mut answer_ms = [28.0; 20];
    for (i, late_ms) in [(1, 240.0), (5, 190.0), (9, 146.0)] {
        answer_ms[i] = late_ms;
    }
    // The third fullest decides; it needs 20 ms to be in time again.
    let refused = |retry_after_ms| Plan::Refuse { late: 3, retry_after_ms };
    assert_eq!(plan(&answer_ms, 2, LEFT_MS, 0.0), refused(20));
    // Those that are refused together come back apart.
    assert_eq!(plan(&answer_ms, 2, LEFT_MS, 0.5), refused(110));
}

/// Symptom: callers that had been turned away got answers without many of the shards.
/// Sequence: they came back when the target latency of their first attempt was over; the
/// answer went out as soon as it was enough, since it was late anyway.
/// Cause: a late answer was taken for an urgent one.
#[test]
fn a_caller_who_comes_back_late_is_served_like_a_new_one() {
    assert_eq!(patience::time_ms(200, 0), 200);
    assert_eq!(patience::time_ms(200, 60), 140);
    assert_eq!(patience::time_ms(200, 140), 200);
    assert_eq!(patience::time_ms(200, 900), 200);
}
