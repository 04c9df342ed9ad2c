//! Requests that crash replicas, and the requests that run beside them.

mod common;

use std::time::Duration;

use common::{Conduct, World, in_virtual_time, request_for, route};
use eelgrasspier_decide::prelude::{RefusalReason, Verdict};
use eelgrasspier_decide::route::Target;
use eelgrasspier_router::Outcome;

const SHARDS: usize = 20;
const DEADLINE_MS: u64 = 400;

fn is_quarantined(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(r) if r.reason == RefusalReason::CrashesReplicas)
}

async fn serve(world: &World, what: &str, id: &str) -> Outcome {
    world.router.serve(request_for(what, id, DEADLINE_MS)).await
}

fn arrivals(world: &World) -> usize {
    world.script.arrivals.borrow().len()
}

/// A request that crashes replicas must be quarantined after two trials. Without a quarantine its
/// first sends and retries crashed both replicas of each of twenty shards, and each further attempt
/// of the caller did so again.
#[test]
fn a_request_that_crashes_replicas_is_quarantined_after_two_trials() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        let Outcome::Refused(refusal) = serve(&world, "ends", "r1").await else { panic!() };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        // All first sends, one more before the second loss is detected, and two trials.
        let first = arrivals(&world);
        assert!(first <= SHARDS + 3, "{first}");
        world.script.start_all();
        for attempt in 0..5 {
            let outcome = serve(&world, "ends", &format!("r{attempt}")).await;
            let Outcome::Refused(refusal) = outcome else { panic!("served") };
            assert_eq!(refusal.reason, RefusalReason::CrashesReplicas);
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 60_000), "{refusal:?}");
        }
        assert_eq!(arrivals(&world), first);
    });
}

/// Serves typical requests, so that the router sends hedges early.
async fn train_latency(world: &World) {
    for number in 0..20 {
        let what = format!("usual-{number}");
        assert!(matches!(serve(world, &what, &what).await, Outcome::Merged(_)));
    }
}

/// Hedges must not crash the second replica of each shard. They may be due before any replica has
/// answered or crashed.
#[test]
fn a_request_that_crashes_replicas_late_crashes_one_per_shard() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        train_latency(&world).await;
        let before = arrivals(&world);
        world.script.ends_after_ms.set(45);
        serve(&world, "ends", "r1").await;
        let reached = arrivals(&world) - before;
        assert!(reached <= SHARDS + 3, "{reached}");
    });
}

/// Trials of one request must not overlap. Otherwise it reaches more replicas than the two whose
/// crashes are sufficient proof.
#[test]
fn trials_of_a_request_that_crashes_replicas_late_do_not_overlap() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        train_latency(&world).await;
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
fn a_single_shard_request_that_crashes_replicas_is_refused_after_four() {
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

/// Requests that run beside one that crashes replicas must be answered. They are in progress in
/// different phases on all replicas that crash, and must not be taken for the cause.
#[test]
fn requests_beside_one_that_crashes_replicas_are_answered() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        for round in 0..20 {
            let crashing = async {
                tokio::time::sleep(Duration::from_millis(1 + round % 6)).await;
                serve(&world, &format!("ends-{round}"), "ending").await
            };
            let innocent = async |number: u64| {
                let what = format!("innocent-{round}-{number}");
                tokio::time::sleep(Duration::from_millis(3 * number)).await;
                serve(&world, &what, &what).await
            };
            let (_, first, second) = tokio::join!(crashing, innocent(0), innocent(1));
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

/// Connection resets must not count as crashes, for example those above a replica's connection
/// limit after a power loss of all instances.
#[test]
fn connection_resets_are_not_crashes() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        let all = (0..SHARDS).flat_map(|s| [format!("s{s}/a"), format!("s{s}/b")]);
        let all: Vec<String> = all.collect();
        let set_all = |conduct| all.iter().for_each(|r| world.script.set(r, conduct));
        set_all(Conduct::Loses(2));
        for attempt in 0..10 {
            let outcome = serve(&world, "innocent", &format!("r{attempt}")).await;
            assert!(!is_quarantined(&outcome), "{outcome:?}");
        }
        set_all(Conduct::Answers(5));
        tokio::time::sleep(Duration::from_secs(5)).await;
        let outcome = serve(&world, "innocent", "last").await;
        assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
    });
}

/// Requests must not be quarantined if they run while all replicas lose power, even several times.
#[test]
fn requests_are_not_quarantined_when_replicas_lose_power() {
    in_virtual_time(async {
        let world = World::new(route(SHARDS), SHARDS);
        for cycle in 0..8 {
            let power_loss = async {
                tokio::time::sleep(Duration::from_millis(3)).await;
                for shard in 0..SHARDS {
                    world.script.end(&format!("s{shard}/a"));
                    world.script.end(&format!("s{shard}/b"));
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
                world.script.start_all();
            };
            let requests = (0..10).map(async |n| serve(&world, &format!("i{n}"), "r").await);
            let ((), outcomes) = tokio::join!(power_loss, futures_util::future::join_all(requests));
            assert!(!outcomes.iter().any(is_quarantined), "cycle {cycle}: {outcomes:?}");
            tokio::time::sleep(Duration::from_secs(3)).await;
            for number in 0..10 {
                let outcome = serve(&world, &format!("i{number}"), "again").await;
                assert!(matches!(outcome, Outcome::Merged(_)), "cycle {cycle}: {outcome:?}");
            }
        }
    });
}
