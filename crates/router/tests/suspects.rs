//! Requests under which replicas end, and those that run beside them.

mod common;

use std::time::Duration;

use common::{Conduct, World, in_virtual_time, request_for, route};
use eelgrasspier_decide::prelude::{RefusalReason, Verdict};
use eelgrasspier_decide::route::Target;
use eelgrasspier_router::Outcome;

const SHARDS: usize = 20;
const DEADLINE_MS: u64 = 400;

fn is_refused_for_ends(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(r) if r.reason == RefusalReason::EndsReplicas)
}

async fn serve(world: &World, what: &str, id: &str) -> Outcome {
    world.router.serve(request_for(what, id, DEADLINE_MS)).await
}

fn arrivals(world: &World) -> usize {
    world.script.arrivals.borrow().len()
}

/// Symptom: one request ended both replicas of each of twenty shards, and did so again with each
/// attempt of its caller.
/// Sequence: the first sends ended a replica of each shard; each was sent once more to the other
/// one; the caller came again.
/// Cause: nothing was concluded from replicas that ended.
#[test]
fn a_request_that_ends_replicas_is_sent_no_more_after_two_trials() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        let Outcome::Refused(refusal) = serve(&world, "ends", "r1").await else { panic!() };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        // All first sends, one more before the second loss was seen, two trials.
        let first = arrivals(&world);
        assert!(first <= SHARDS + 3, "{first}");
        world.script.start_all();
        for attempt in 0..5 {
            let outcome = serve(&world, "ends", &format!("r{attempt}")).await;
            let Outcome::Refused(refusal) = outcome else { panic!("served") };
            assert_eq!(refusal.reason, RefusalReason::EndsReplicas);
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 60_000), "{refusal:?}");
        }
        assert_eq!(arrivals(&world), first);
    });
}

/// Has the router see some usual requests, so that second sends are due early.
async fn learn_usual_latency(world: &World) {
    for number in 0..20 {
        let what = format!("usual-{number}");
        assert!(matches!(serve(world, &what, &what).await, Outcome::Merged(_)));
    }
}

/// Guards against a wave that ends both replicas of each shard: second sends that are due before
/// anybody has answered, or has ended.
#[test]
fn a_request_that_ends_replicas_late_ends_one_of_each_shard() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        learn_usual_latency(&world).await;
        let before = arrivals(&world);
        world.script.ends_after_ms.set(45);
        serve(&world, "ends", "r1").await;
        let reached = arrivals(&world) - before;
        assert!(reached <= SHARDS + 3, "{reached}");
    });
}

/// Guards against trials of one request that overlap, so that it reaches more replicas than the
/// two whose ends would prove enough.
#[test]
fn trials_of_a_request_that_ends_replicas_late_follow_one_another() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        learn_usual_latency(&world).await;
        world.script.ends_after_ms.set(75);
        serve(&world, "ends", "r1").await;
        let first = arrivals(&world);
        for attempt in 0..8 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            world.script.start_all();
            serve(&world, "ends", &format!("again-{attempt}")).await;
        }
        assert!(arrivals(&world) <= first + 3, "{first}, then {}", arrivals(&world));
    });
}

#[test]
fn one_that_goes_to_one_replica_is_refused_after_four() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut single = route(1);
            single.target = Target::Service("s0".into());
            single.is_idempotent = is_idempotent;
            let world = World::new(single, 1);
            for attempt in 0..20 {
                serve(&world, "ends", &format!("r{attempt}")).await;
                tokio::time::sleep(Duration::from_secs(1)).await;
                world.script.start_all();
            }
            assert!(arrivals(&world) <= 4, "{}", arrivals(&world));
        }
    });
}

/// Symptom: requests were refused for the ends that another one had caused.
/// Sequence: some requests were in progress at all replicas that the ending one ended, in
/// whatever phase.
/// Cause it guards against: taking each request that was lost with a replica for the reason.
#[test]
fn requests_beside_one_that_ends_replicas_are_answered() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        for round in 0..20 {
            let ending = async {
                tokio::time::sleep(Duration::from_millis(1 + round % 6)).await;
                serve(&world, &format!("ends-{round}"), "ending").await
            };
            let beside = async |number: u64| {
                let what = format!("innocent-{round}-{number}");
                tokio::time::sleep(Duration::from_millis(3 * number)).await;
                serve(&world, &what, &what).await
            };
            let (_, first, second) = tokio::join!(ending, beside(0), beside(1));
            for outcome in [first, second] {
                assert!(matches!(outcome, Outcome::Merged(_)), "{round}: {outcome:?}");
            }
            world.script.start_all();
            tokio::time::sleep(Duration::from_secs(3)).await;
            let outcome = serve(&world, &format!("innocent-{round}-0"), "again").await;
            assert!(matches!(outcome, Outcome::Merged(_)), "{round}: {outcome:?}");
        }
    });
}

/// Sequence: connections are reset, such as those over a replica's cap after a loss of power of
/// all instances; the replicas live.
#[test]
fn connections_that_are_reset_are_no_ends() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        let all = (0..SHARDS).flat_map(|s| [format!("s{s}/a"), format!("s{s}/b")]);
        let all: Vec<String> = all.collect();
        let set_all = |conduct| all.iter().for_each(|r| world.script.set(r, conduct));
        set_all(Conduct::Loses(2));
        for attempt in 0..10 {
            let outcome = serve(&world, "innocent", &format!("r{attempt}")).await;
            assert!(!is_refused_for_ends(&outcome), "{outcome:?}");
        }
        set_all(Conduct::Answers(5));
        tokio::time::sleep(Duration::from_secs(5)).await;
        let outcome = serve(&world, "innocent", "last").await;
        assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
    });
}

/// Sequence: all replicas lose power together, several times, while the same requests run.
#[test]
fn requests_that_run_as_replicas_lose_power_are_not_refused_for_it() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        for time in 0..8 {
            let down = async {
                tokio::time::sleep(Duration::from_millis(3)).await;
                for shard in 0..SHARDS {
                    world.script.end(&format!("s{shard}/a"));
                    world.script.end(&format!("s{shard}/b"));
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
                world.script.start_all();
            };
            let asked = (0..10).map(async |n| serve(&world, &format!("i{n}"), "r").await);
            let ((), outcomes) = tokio::join!(down, futures_util::future::join_all(asked));
            assert!(!outcomes.iter().any(is_refused_for_ends), "time {time}: {outcomes:?}");
            tokio::time::sleep(Duration::from_secs(3)).await;
            for number in 0..10 {
                let outcome = serve(&world, &format!("i{number}"), "again").await;
                assert!(matches!(outcome, Outcome::Merged(_)), "time {time}: {outcome:?}");
            }
        }
    });
}
