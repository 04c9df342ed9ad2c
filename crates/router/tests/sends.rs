//! How often, and to whom, a request is sent.

mod common;

use common::{Conduct, World, in_virtual_time, route};
use eelgrasspier_decide::allowance::RepeatLimits;
use eelgrasspier_decide::prelude::Verdict;
use eelgrasspier_decide::route::Target;
use eelgrasspier_router::Outcome;

/// Symptom: requests of a route that allows one replica ran on two.
/// Sequence: the first replica was slow; a hedge went to the second before the first had
/// answered or failed; both ran.
/// Cause: only ended sends counted towards the attempts, not those on their way.
#[test]
fn a_route_with_one_attempt_is_never_hedged() {
    in_virtual_time(async {
        let mut one = route(3);
        one.attempts = 1;
        let world = World::new(one, 3);
        world.script.set("s1/a", Conduct::Silent);
        // Two of three shards are less than the least share.
        assert!(matches!(world.serve("r1", 400).await, Outcome::Refused(_)));
        assert_eq!(world.script.arrivals_at("s1/a"), 1);
        assert_eq!(world.script.arrivals_at("s1/b"), 0);
    });
}

#[test]
fn a_slow_shard_is_hedged_within_the_target() {
    in_virtual_time(async {
        let world = World::new(route(4), 4);
        world.script.set("s2/a", Conduct::Silent);
        let started = tokio::time::Instant::now();
        let Outcome::Merged(merged) = world.serve("r1", 400).await else { panic!("refused") };
        assert_eq!((merged.signatures.len(), merged.missing), (4, 0));
        assert!(started.elapsed().as_millis() < 80, "took {:?}", started.elapsed());
        assert_eq!(world.script.arrivals_at("s2/b"), 1);
    });
}

/// Symptom: a request that must not run twice ran on two replicas.
/// Sequence: the first replica ran it and the answer was lost; it was sent again.
/// Cause it guards against: taking a lost answer for one that did not run.
#[test]
fn a_lost_answer_is_never_made_good_by_a_second_run() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        single.is_idempotent = false;
        let world = World::new(single, 1);
        world.script.set("s0/a", Conduct::Loses(20));
        let Outcome::Refused(refusal) = world.serve("r1", 400).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert_eq!(world.script.arrivals.borrow().len(), 1);
    });
}

#[test]
fn a_shed_request_that_must_not_run_twice_moves_to_another_replica() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        single.is_idempotent = false;
        let world = World::new(single, 1);
        world.script.set("s0/a", Conduct::Sheds);
        let Outcome::Relayed(reply) = world.serve("r1", 400).await else { panic!("refused") };
        assert!(reply.status.is_success());
        world.script.set("s0/b", Conduct::Sheds);
        let Outcome::Refused(refusal) = world.serve("r2", 400).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after_ms.is_some());
    });
}

/// Symptom: a refusal said "not run" while the request was being run.
/// Sequence: the only replica did not answer until the caller's time was over.
/// Cause it guards against: counting only ended sends when the verdict is drawn.
#[test]
fn a_send_without_an_answer_may_have_run() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        single.is_idempotent = false;
        let world = World::new(single, 1);
        world.script.set("s0/a", Conduct::Silent);
        let started = tokio::time::Instant::now();
        let Outcome::Refused(refusal) = world.serve("r1", 300).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert!(started.elapsed().as_millis() <= 300);
    });
}

/// Symptom: replicas went on working for callers that had gone.
/// Sequence: the caller closed its connection, which drops its request's future.
/// Cause it guards against: sends that are tasks of their own outlive that future.
#[test]
fn a_caller_that_goes_away_cancels_what_is_on_its_way() {
    in_virtual_time(async {
        let world = World::new(route(2), 2);
        world.script.set("s0/a", Conduct::Silent);
        world.script.set("s1/a", Conduct::Silent);
        let short = std::time::Duration::from_millis(5);
        assert!(tokio::time::timeout(short, world.serve("r1", 400)).await.is_err());
        tokio::task::yield_now().await;
        assert_eq!(*world.script.cancelled.borrow(), 2);
    });
}

/// Symptom: each hedge cost a new connection.
/// Sequence: the hedge answered first; the first send was cancelled, closing its connection.
/// Cause it guards against: cancelling what a replica is about to answer.
#[test]
fn an_outrun_send_is_let_go_not_cancelled() {
    in_virtual_time(async {
        let world = World::new(route(1), 1);
        world.script.set("s0/a", Conduct::Answers(60));
        assert!(matches!(world.serve("r1", 400).await, Outcome::Merged(_)));
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        assert_eq!(*world.script.cancelled.borrow(), 0);
    });
}

/// Symptom: a service got 300 sends beyond the first of its requests, where 270 were
/// allowed, though each instance had kept to its part of the budget.
/// Sequence: replicas of another service crashed and their addresses went to this one;
/// while the store was down their entries stayed listed, so that they were tried again and
/// again, and each try reached a replica of this service.
/// Cause: that another replica answers was taken for a failure that may pass.
#[test]
fn a_replica_whose_address_another_has_is_sent_nothing_more() {
    in_virtual_time(async {
        let world = World::new(route(1), 1);
        world.script.set("s0/a", Conduct::Replaced);
        for i in 0..50 {
            let outcome = world.serve(&format!("r{i}"), 400).await;
            assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        }
        assert_eq!(world.script.arrivals_at("s0/a"), 1);
    });
}

/// Symptom: a request failed at once though a sound replica was listed.
/// Sequence: its first replica's address had gone to another service, and the budget for
/// repeats was used up.
/// Cause it guards against: paying for a repeat where the first send never reached the
/// service.
#[test]
fn a_send_that_reached_another_service_is_made_good_without_the_budget() {
    in_virtual_time(async {
        let limits = RepeatLimits { ratio_milli: 0, slack: 0, window_ms: 10_000 };
        let world = World::with_limits(route(1), 1, limits);
        world.script.set("s0/a", Conduct::Replaced);
        assert!(matches!(world.serve("r1", 400).await, Outcome::Merged(_)));
    });
}

/// Symptom: callers waited for replicas that were known to be gone.
/// Sequence: both replicas of a service had been replaced; each request was sent to both.
/// Cause it guards against: counting a replica that is gone as one that could be asked.
#[test]
fn a_service_whose_replicas_are_all_replaced_is_refused_at_once() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        let world = World::new(single, 1);
        world.script.set("s0/a", Conduct::Replaced);
        world.script.set("s0/b", Conduct::Replaced);
        world.serve("r1", 400).await;
        let Outcome::Refused(refusal) = world.serve("r2", 400).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(world.script.arrivals.borrow().len(), 2);
    });
}

#[test]
fn an_instance_with_little_processor_time_answers_earlier() {
    in_virtual_time(async {
        for (capacity_milli, latest_ms) in [(500, 73), (120, 63)] {
            let world = World::new(route(4), 4);
            let mut view = common::view(route(4), 4);
            view.capacity_milli = capacity_milli;
            world.shared.publish(view);
            for replica in ["s2/a", "s2/b"] {
                world.script.set(replica, Conduct::Silent);
            }
            let started = tokio::time::Instant::now();
            let Outcome::Merged(merged) = world.serve("r1", 400).await else { panic!("refused") };
            assert_eq!(merged.missing, 1);
            let took_ms = started.elapsed().as_millis();
            assert!((latest_ms - 2..=latest_ms).contains(&took_ms), "{took_ms} of {latest_ms}");
        }
    });
}

/// Symptom: a caller of a request that must not run twice could not try it again, though no
/// replica had it.
/// Sequence: its replicas were cut off; its time was over while the connections to them were
/// still being set up.
/// Cause: whatever was on its way at the end counted as sent.
#[test]
fn what_no_connection_has_carried_has_not_run() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut once = route(1);
            once.is_idempotent = is_idempotent;
            let world = World::new(once, 1);
            for replica in ["s0/a", "s0/b"] {
                world.script.set(replica, Conduct::Unreached);
            }
            let Outcome::Refused(refusal) = world.serve("r1", 200).await else { panic!("served") };
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(refusal.retry_after_ms.is_some());
        }
    });
}

#[test]
fn what_a_replica_has_and_does_not_answer_may_have_run() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut once = route(1);
            once.is_idempotent = is_idempotent;
            let world = World::new(once, 1);
            for replica in ["s0/a", "s0/b"] {
                world.script.set(replica, Conduct::Silent);
            }
            let Outcome::Refused(refusal) = world.serve("r1", 200).await else { panic!("served") };
            assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        }
    });
}
