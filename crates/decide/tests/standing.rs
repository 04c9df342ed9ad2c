//! What is remembered of a replica, and for how long.

use eelgrasspier_decide::standing::Standing;

const SLOTS: u32 = 2;

#[test]
fn a_slow_replica_costs_more_than_a_usual_one() {
    let mut slow = Standing::default();
    for turn in 0..10 {
        slow.answered(60.0, 8.0, turn * 100);
    }
    assert!(slow.cost(SLOTS, 1_000) > 3.0);
    assert!(Standing::default().cost(SLOTS, 1_000) < 1.1);
}

/// Symptom: a third of all first sends crossed zones though near replicas were sound.
/// Sequence: a replica paused for 100 ms; its one late answer raised its cost; it was not
/// chosen again, so that no answer could lower it.
/// Cause: what was remembered did not fade.
#[test]
fn one_late_answer_is_forgotten_within_seconds() {
    let mut paused = Standing::default();
    paused.answered(100.0, 5.0, 1_000);
    assert!(paused.cost(SLOTS, 1_001) > 2.0);
    assert!(paused.cost(SLOTS, 5_000) < 1.2);
}

#[test]
fn failures_in_a_row_weigh_more_and_more_and_fade() {
    let mut lost = Standing::default();
    lost.failed(1_000);
    let once = lost.cost(SLOTS, 1_000);
    lost.failed(1_000);
    lost.failed(1_000);
    assert!(lost.cost(SLOTS, 1_000) > 4.0 * once);
    assert!(lost.cost(SLOTS, 8_000) < 1.5);
}

/// Symptom: requests queued up at a replica that had paused.
/// Sequence: a request had no answer for several times the usual; more were sent there.
/// Cause it guards against: judging a replica by its answers alone.
#[test]
fn a_request_without_an_answer_makes_its_replica_costly() {
    let mut paused = Standing::default();
    paused.sent(1_000, 8.0);
    let soon = paused.cost(SLOTS, 1_005);
    assert!(!paused.is_overdue(1_005));
    assert!(paused.is_overdue(1_040));
    assert!(paused.cost(SLOTS, 1_040) > soon + 4.0);
    paused.ended(1_000);
    assert!(!paused.is_overdue(1_040));
}
