//! Which shards of a request are left out, and when it is refused as a whole.

use eelgrasspier_decide::admission::{Plan, plan, plan_part, share_misses};
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

/// Symptom: requests to 87 shards by way of eight instances failed after 15 ms.
/// Sequence: each instance left out up to four shards, as many as the whole answer may miss.
/// Cause: what may be missed was not divided between them.
#[test]
fn what_may_be_missed_is_divided_between_those_who_are_asked() {
    assert_eq!(share_misses(4, &[10, 11, 9, 12, 10, 11, 12, 12]), [0, 1, 0, 1, 0, 0, 1, 1]);
    assert_eq!(share_misses(19, &[60, 60, 9]), [9, 9, 1]);
    assert_eq!(share_misses(3, &[30]), [3]);
    assert!(share_misses(3, &[]).is_empty());
    for may_miss in 0..20 {
        let shares = share_misses(may_miss, &[3, 17, 29, 40]);
        assert_eq!(shares.iter().sum::<usize>(), may_miss);
    }
}

#[test]
fn of_more_late_shards_than_its_share_an_instance_tries_the_least_late() {
    let mut answer_ms = [28.0; 20];
    for (i, late_ms) in [(1, 240.0), (5, 190.0), (9, 146.0)] {
        answer_ms[i] = late_ms;
    }
    let part = |may_leave_out| plan_part(&answer_ms, 4, may_leave_out, LEFT_MS, 0.0);
    assert_eq!(part(4), Plan::Begin { left_out: vec![1, 5, 9] });
    assert_eq!(part(2), Plan::Begin { left_out: vec![1, 5] });
    assert_eq!(part(0), Plan::Begin { left_out: Vec::new() });
    assert!(matches!(plan_part(&answer_ms, 2, 0, LEFT_MS, 0.0), Plan::Refuse { late: 3, .. }));
}
