//! Number and destination of the sends of a request.

mod common;

use common::{Fixture, ReplicaBehavior, in_virtual_time, route};
use eelgrasspier_decide::prelude::Verdict;
use eelgrasspier_decide::retry_budget::RetryLimits;
use eelgrasspier_decide::route::Target;
use eelgrasspier_router::Outcome;

/// Sends in flight must count towards the attempts of a route. Only finished sends were counted, so
/// that a request limited to one replica was hedged and ran on two.
#[test]
fn a_route_with_one_attempt_is_never_hedged() {
    in_virtual_time(async {
        let mut one = route(3);
        one.attempts = 1;
        let fixture = Fixture::new(one, 3);
        fixture.replicas.set_behavior("s1/a", ReplicaBehavior::Silent);
        // Two of three shards are less than the minimum share.
        assert!(matches!(fixture.serve("r1", 400).await, Outcome::Refused(_)));
        assert_eq!(fixture.replicas.arrivals_at("s1/a"), 1);
        assert_eq!(fixture.replicas.arrivals_at("s1/b"), 0);
    });
}

#[test]
fn a_slow_shard_is_hedged_within_the_target() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(4), 4);
        fixture.replicas.set_behavior("s2/a", ReplicaBehavior::Silent);
        let started = tokio::time::Instant::now();
        let Outcome::Merged(merged) = fixture.serve("r1", 400).await else { panic!("refused") };
        assert_eq!((merged.signatures.len(), merged.missing), (4, 0));
        assert!(started.elapsed().as_millis() < 80, "took {:?}", started.elapsed());
        assert_eq!(fixture.replicas.arrivals_at("s2/b"), 1);
    });
}

/// A request that must not run twice must not be retried after a lost answer, since the replica may
/// have run it.
#[test]
fn a_non_idempotent_request_is_not_retried_after_a_lost_answer() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        single.is_idempotent = false;
        let fixture = Fixture::new(single, 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::LosesAnswerAfter(20));
        let Outcome::Refused(refusal) = fixture.serve("r1", 400).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 1);
    });
}

#[test]
fn a_shed_non_idempotent_request_is_sent_to_another_replica() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        single.is_idempotent = false;
        let fixture = Fixture::new(single, 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Sheds);
        let Outcome::Relayed(reply) = fixture.serve("r1", 400).await else { panic!("refused") };
        assert!(reply.status.is_success());
        fixture.replicas.set_behavior("s0/b", ReplicaBehavior::Sheds);
        let Outcome::Refused(refusal) = fixture.serve("r2", 400).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after_ms.is_some());
    });
}

/// The verdict must account for sends in flight. Otherwise a request whose replica does not answer
/// before the deadline is reported as not run although it may be running.
#[test]
fn a_send_without_an_answer_may_have_run() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        single.is_idempotent = false;
        let fixture = Fixture::new(single, 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Silent);
        let started = tokio::time::Instant::now();
        let Outcome::Refused(refusal) = fixture.serve("r1", 300).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert!(started.elapsed().as_millis() <= 300);
    });
}

/// Sends must be cancelled when the caller disconnects. They are separate tasks and could outlive
/// the request's future, so that replicas work for callers that are gone.
#[test]
fn a_caller_that_disconnects_cancels_its_sends() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(2), 2);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Silent);
        fixture.replicas.set_behavior("s1/a", ReplicaBehavior::Silent);
        let short = std::time::Duration::from_millis(5);
        assert!(tokio::time::timeout(short, fixture.serve("r1", 400)).await.is_err());
        tokio::task::yield_now().await;
        assert_eq!(*fixture.replicas.cancelled.borrow(), 2);
    });
}

/// A send that is overtaken by its hedge must not be cancelled. Cancelling it closes the
/// connection, so that each hedge costs a new one.
#[test]
fn a_send_overtaken_by_its_hedge_is_not_cancelled() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::AnswersAfter(60));
        assert!(matches!(fixture.serve("r1", 400).await, Outcome::Merged(_)));
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        assert_eq!(*fixture.replicas.cancelled.borrow(), 0);
    });
}

/// A replica whose address now belongs to another one must not be used again. Addresses of crashed
/// replicas were reused by another service while their entries stayed listed during a store outage.
/// The answer of the other replica counted as a transient failure, so that each retry reached a
/// replica of the other service: it received 300 extra sends where the budget allowed 270, although
/// each instance kept to its share.
#[test]
fn a_replaced_replica_is_not_used_again() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Replaced);
        for i in 0..50 {
            let outcome = fixture.serve(&format!("r{i}"), 400).await;
            assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        }
        assert_eq!(fixture.replicas.arrivals_at("s0/a"), 1);
    });
}

/// A retry after a send that reached another service must not use the retry budget. With an empty
/// budget the request would fail although a healthy replica is listed.
#[test]
fn a_misdirected_send_is_retried_without_the_retry_budget() {
    in_virtual_time(async {
        let limits = RetryLimits { ratio_milli: 0, slack: 0, window_ms: 10_000 };
        let fixture = Fixture::with_limits(route(1), 1, limits);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Replaced);
        assert!(matches!(fixture.serve("r1", 400).await, Outcome::Merged(_)));
    });
}

/// A service whose replicas have all been replaced must refuse requests at once. Counting replaced
/// replicas as available makes callers wait for nothing.
#[test]
fn a_service_with_only_replaced_replicas_refuses_at_once() {
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        let fixture = Fixture::new(single, 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Replaced);
        fixture.replicas.set_behavior("s0/b", ReplicaBehavior::Replaced);
        fixture.serve("r1", 400).await;
        let Outcome::Refused(refusal) = fixture.serve("r2", 400).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 2);
    });
}

#[test]
fn an_instance_with_little_cpu_capacity_answers_earlier() {
    in_virtual_time(async {
        for (capacity_milli, latest_ms) in [(500, 73), (120, 63)] {
            let fixture = Fixture::new(route(4), 4);
            let mut view = common::view(route(4), 4);
            view.capacity_milli = capacity_milli;
            fixture.shared.publish(view);
            for replica in ["s2/a", "s2/b"] {
                fixture.replicas.set_behavior(replica, ReplicaBehavior::Silent);
            }
            let started = tokio::time::Instant::now();
            let Outcome::Merged(merged) = fixture.serve("r1", 400).await else { panic!("refused") };
            assert_eq!(merged.missing, 1);
            let took_ms = started.elapsed().as_millis();
            assert!((latest_ms - 2..=latest_ms).contains(&took_ms), "{took_ms} of {latest_ms}");
        }
    });
}

/// A send that no connection has carried must count as not run. Connections were still being set up
/// at the deadline, and the sends counted as possibly run, so that callers could not retry a
/// request that must not run twice.
#[test]
fn a_request_that_no_connection_carried_has_not_run() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut once = route(1);
            once.is_idempotent = is_idempotent;
            let fixture = Fixture::new(once, 1);
            for replica in ["s0/a", "s0/b"] {
                fixture.replicas.set_behavior(replica, ReplicaBehavior::Unreachable);
            }
            let Outcome::Refused(refusal) = fixture.serve("r1", 200).await else {
                panic!("served")
            };
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(refusal.retry_after_ms.is_some());
        }
    });
}

#[test]
fn a_request_without_an_answer_may_have_run() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut once = route(1);
            once.is_idempotent = is_idempotent;
            let fixture = Fixture::new(once, 1);
            for replica in ["s0/a", "s0/b"] {
                fixture.replicas.set_behavior(replica, ReplicaBehavior::Silent);
            }
            let Outcome::Refused(refusal) = fixture.serve("r1", 200).await else {
                panic!("served")
            };
            assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        }
    });
}
