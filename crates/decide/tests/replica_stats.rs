//! State kept about a replica, and its decay.

use eelgrasspier_decide::replica_stats::{ReplicaReport, ReplicaStats};

const SLOTS: u32 = 2;

#[test]
fn a_slow_replica_costs_more_than_a_usual_one() {
    let mut slow = ReplicaStats::default();
    for turn in 0..10 {
        slow.record_answer(60.0, 8.0, turn * 100);
    }
    assert!(slow.cost(SLOTS, 1_000) > 3.0);
    assert!(ReplicaStats::default().cost(SLOTS, 1_000) < 1.1);
}

/// Guards against latency ratios that do not decay. A replica that had been slow was not selected
/// again, so no answer could lower its cost, and a third of all first sends crossed zones although
/// local replicas were healthy.
#[test]
fn latency_ratio_decays_within_seconds() {
    let mut slow = ReplicaStats::default();
    slow.record_answer(100.0, 5.0, 1_000);
    slow.record_answer(100.0, 5.0, 1_100);
    assert!(slow.cost(SLOTS, 1_101) > 2.0);
    assert!(slow.cost(SLOTS, 5_000) < 1.2);
}

/// Guards against taking one pause for a slow replica. Each replica pauses for 100 ms every few
/// seconds; the answers delayed by one pause raised its cost for a second, and a twentieth of all
/// first sends crossed zones although local replicas were healthy.
#[test]
fn one_pause_does_not_raise_the_cost_of_a_replica() {
    let mut paused = ReplicaStats::default();
    paused.record_answer(100.0, 5.0, 1_000);
    paused.record_answer(80.0, 5.0, 1_001);
    paused.record_answer(60.0, 5.0, 1_002);
    assert!(paused.cost(SLOTS, 1_003) < 1.1);
    // The next request was sent after the pause, so its late answer shows that the replica is slow.
    paused.record_answer(60.0, 5.0, 1_063);
    assert!(paused.cost(SLOTS, 1_064) > 2.0);
}

#[test]
fn consecutive_failures_add_growing_penalties_that_decay() {
    let mut unreachable = ReplicaStats::default();
    unreachable.record_failure(1_000);
    let once = unreachable.cost(SLOTS, 1_000);
    unreachable.record_failure(1_000);
    unreachable.record_failure(1_000);
    assert!(unreachable.cost(SLOTS, 1_000) > 4.0 * once);
    assert!(unreachable.cost(SLOTS, 8_000) < 1.5);
}

/// Guards against rating a replica by its answers alone. While a request was unanswered for several
/// times the usual latency, more requests were sent to the paused replica and queued there.
#[test]
fn an_overdue_request_raises_the_cost_of_its_replica() {
    let mut paused = ReplicaStats::default();
    paused.record_sent(1_000, 8.0);
    let soon = paused.cost(SLOTS, 1_005);
    assert!(!paused.is_overdue(1_005));
    assert!(paused.is_overdue(1_040));
    assert!(paused.cost(SLOTS, 1_040) > soon + 4.0);
    paused.record_end(1_000);
    assert!(!paused.is_overdue(1_040));
}

/// Guards against mixing queueing time and work. Latencies were compared with the usual latency,
/// which rose with all queues, and a short request counted the long ones ahead of it as short. A
/// replica with a queue then looked slow, and its queue was ignored.
#[test]
fn expected_latency_accounts_for_queued_work_and_replica_speed() {
    let mut busy = ReplicaStats::default();
    for _ in 0..4 {
        busy.record_sent_work(30.0, SLOTS, 1_000);
    }
    // Two requests run and two are queued: the next waits for three to end, two at a time.
    assert!((busy.expected_wait_ms(10.0, SLOTS, 1_000) - 45.0).abs() < 0.1);
    assert!((busy.expected_latency_ms(10.0, SLOTS, 1_000) - 55.0).abs() < 0.1);
    // An answer delayed by the queue alone does not change the latency ratio.
    busy.record_answer(75.0, 75.0, 1_075);
    busy.record_answer(75.0, 75.0, 1_175);
    assert!((busy.expected_latency_ms(10.0, SLOTS, 1_176) - 55.0).abs() < 0.1);
}

#[test]
fn reported_load_counts_until_the_report_is_stale() {
    let mut shared = ReplicaStats::default();
    shared.record_sent_work(30.0, SLOTS, 1_000);
    shared.record_reported_load(5, 1_000);
    assert!((shared.load(1_000) - 5.0).abs() < 0.1);
    assert!((shared.load(1_125) - 3.0).abs() < 0.1);
    assert!((shared.load(1_500) - 1.0).abs() < 0.1);
}

/// Guards against treating a replica that sheds some requests as unreachable. Each refusal counted
/// as a lost request and the penalty doubled with each in a row. Replicas that shed half of their
/// requests at random got nothing, and the other replica of their shards was overloaded.
#[test]
fn a_replica_that_refuses_some_is_used_while_second_sends_can_be_paid() {
    let mut shedding = ReplicaStats::default();
    for turn in 0..40_u64 {
        if turn % 2 == 0 {
            shedding.record_shed(turn * 10);
        } else {
            shedding.record_answer(10.0, 10.0, turn * 10);
        }
    }
    // Costs as much as a queue of four while the budget lasts; rarely selected once it is spent.
    assert!(shedding.penalty_cost(0.0, 400) < 3.0);
    assert!(shedding.penalty_cost(1.0, 400) > 10.0);
    // The cost decays while nothing is sent, so the replica is tried again.
    assert!(shedding.penalty_cost(1.0, 6_000) < 1.0);
}

#[test]
fn a_peer_report_counts_until_it_is_stale() {
    let mut replica = ReplicaStats::default();
    replica.apply_report(ReplicaReport { load: 6, ratio: 5.0 }, 1_000);
    assert!((replica.load(1_000) - 6.0).abs() < 0.1);
    assert!(replica.expected_latency_ms(10.0, SLOTS, 1_000) > 150.0);
    assert!(replica.expected_latency_ms(10.0, SLOTS, 6_000) < 11.0);
    // A lower ratio in a report does not override the local measurement.
    replica.apply_report(ReplicaReport { load: 0, ratio: 1.0 }, 1_010);
    assert!(replica.ratio(1_010) > 4.0);
}
