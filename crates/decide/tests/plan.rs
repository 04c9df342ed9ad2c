//! Selection of the shards that a request leaves out, and refusal of whole requests.

use eelgrasspier_decide::admission::{Plan, divide_allowed_misses, plan, plan_group};
use eelgrasspier_decide::wait_policy;

const LEFT_MS: f64 = 180.0;

#[test]
fn a_request_with_no_late_shards_is_sent_to_all() {
    let begun = Plan::Send { left_out: Vec::new() };
    assert_eq!(plan(&[28.0; 20], 2, LEFT_MS, 0.5), begun);
    assert_eq!(plan(&[], 0, LEFT_MS, 0.5), begun);
}

/// Guards against sending requests regardless of the known queues of their shards. With three of
/// twenty shards short of a replica, each request waited for the full shards. When these shed it,
/// the work of the other seventeen was wasted: a tenth of all requests was answered in time, with
/// every replica busy.
#[test]
fn late_shards_are_left_out_up_to_the_allowance() {
    let mut answer_ms = [28.0; 20];
    answer_ms[3] = 170.0;
    answer_ms[7] = 238.0;
    assert_eq!(plan(&answer_ms, 2, LEFT_MS, 0.5), Plan::Send { left_out: vec![3, 7] });
}

#[test]
fn a_request_with_too_many_late_shards_is_refused_before_it_runs() {
    let mut answer_ms = [28.0; 20];
    for (i, late_ms) in [(1, 240.0), (5, 190.0), (9, 146.0)] {
        answer_ms[i] = late_ms;
    }
    // The shard with the third longest queue decides; it needs 20 ms to be in time again.
    let refused = |retry_after_ms| Plan::Refuse { late_count: 3, retry_after_ms };
    assert_eq!(plan(&answer_ms, 2, LEFT_MS, 0.0), refused(20));
    // Retries of requests that are refused together are spread out.
    assert_eq!(plan(&answer_ms, 2, LEFT_MS, 0.5), refused(110));
}

/// Guards against treating a late retry as urgent. Refused callers that retried after the target
/// latency of their first attempt got an answer as soon as it covered the minimum, without many of
/// the shards, since it was late anyway.
#[test]
fn a_late_retry_gets_the_full_target_latency() {
    assert_eq!(wait_policy::effective_target_ms(200, 0), 200);
    assert_eq!(wait_policy::effective_target_ms(200, 60), 140);
    assert_eq!(wait_policy::effective_target_ms(200, 140), 200);
    assert_eq!(wait_policy::effective_target_ms(200, 900), 200);
}

/// Guards against giving the whole allowance for missed shards to each relaying instance. Of a
/// request to 87 shards through eight instances, each left out up to four shards, as many as the
/// whole answer may miss, and the request failed after 15 ms.
#[test]
fn the_allowance_for_missed_shards_is_divided_between_groups() {
    assert_eq!(
        divide_allowed_misses(4, &[10, 11, 9, 12, 10, 11, 12, 12]),
        [0, 1, 0, 1, 0, 0, 1, 1]
    );
    assert_eq!(divide_allowed_misses(19, &[60, 60, 9]), [9, 9, 1]);
    assert_eq!(divide_allowed_misses(3, &[30]), [3]);
    assert!(divide_allowed_misses(3, &[]).is_empty());
    for may_miss in 0..20 {
        let shares = divide_allowed_misses(may_miss, &[3, 17, 29, 40]);
        assert_eq!(shares.iter().sum::<usize>(), may_miss);
    }
}

#[test]
fn an_instance_tries_the_least_late_shards_beyond_its_share() {
    let mut answer_ms = [28.0; 20];
    for (i, late_ms) in [(1, 240.0), (5, 190.0), (9, 146.0)] {
        answer_ms[i] = late_ms;
    }
    let part = |may_leave_out| plan_group(&answer_ms, 4, may_leave_out, LEFT_MS, 0.0);
    assert_eq!(part(4), Plan::Send { left_out: vec![1, 5, 9] });
    assert_eq!(part(2), Plan::Send { left_out: vec![1, 5] });
    assert_eq!(part(0), Plan::Send { left_out: Vec::new() });
    assert!(matches!(
        plan_group(&answer_ms, 2, 0, LEFT_MS, 0.0),
        Plan::Refuse { late_count: 3, .. }
    ));
}
