//! Requests that crash replicas, and the requests that run concurrently.

mod common;

use std::time::Duration;

use common::{Fixture, ReplicaBehavior, in_virtual_time, request_to_path, route};
use eelgrasspier_decide::prelude::{RefusalReason, Verdict};
use eelgrasspier_decide::route::Target;
use eelgrasspier_router::Outcome;

const SHARDS: usize = 20;
const DEADLINE_MS: u64 = 400;

fn is_quarantined(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(r) if r.reason == RefusalReason::CrashesReplicas)
}

async fn serve(fixture: &Fixture, path: &str, id: &str) -> Outcome {
    fixture.router.serve(request_to_path(path, id, DEADLINE_MS)).await
}

fn arrivals(fixture: &Fixture) -> usize {
    fixture.replicas.arrivals.borrow().len()
}

/// A request that crashes replicas must be quarantined after two trials. Without a quarantine its
/// first sends and retries crashed both replicas of each of twenty shards, and each further attempt
/// of the caller did so again.
#[test]
fn a_request_that_crashes_replicas_is_quarantined_after_two_trials() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        let Outcome::Refused(refusal) = serve(&fixture, "ends", "r1").await else { panic!() };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        // All first sends, one more before the second loss is detected, and two trials.
        let first = arrivals(&fixture);
        assert!(first <= SHARDS + 3, "{first}");
        fixture.replicas.restart_all();
        for attempt in 0..5 {
            let outcome = serve(&fixture, "ends", &format!("r{attempt}")).await;
            let Outcome::Refused(refusal) = outcome else { panic!("served") };
            assert_eq!(refusal.reason, RefusalReason::CrashesReplicas);
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 60_000), "{refusal:?}");
        }
        assert_eq!(arrivals(&fixture), first);
    });
}

/// Serves typical requests, so that the router sends hedges early.
async fn train_latency(fixture: &Fixture) {
    for number in 0..20 {
        let path = format!("usual-{number}");
        assert!(matches!(serve(fixture, &path, &path).await, Outcome::Merged(_)));
    }
}

/// Hedges must not crash the second replica of each shard. They may be due before any replica has
/// answered or crashed.
#[test]
fn a_request_that_crashes_replicas_late_crashes_one_per_shard() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        train_latency(&fixture).await;
        let before = arrivals(&fixture);
        fixture.replicas.crash_delay_ms.set(45);
        serve(&fixture, "ends", "r1").await;
        let reached = arrivals(&fixture) - before;
        assert!(reached <= SHARDS + 3, "{reached}");
    });
}

/// Guards against a request that takes down a second replica of each shard: its caller was told of
/// the failure before the instance knew of the crashes, and sent it to another instance, which could
/// not know of them either.
#[test]
fn a_failed_request_is_answered_once_its_crashes_are_known() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        fixture.replicas.crash_delay_ms.set(70);
        fixture.replicas.check_delay_ms.set(30);
        let Outcome::Refused(refusal) = serve(&fixture, "ends", "r1").await else { panic!() };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert_eq!(fixture.replicas.pending_checks.get(), 0);
    });
}

/// Trials of one request must not overlap. Otherwise it reaches more replicas than the two whose
/// crashes are sufficient proof.
#[test]
fn trials_of_a_request_that_crashes_replicas_late_do_not_overlap() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        train_latency(&fixture).await;
        fixture.replicas.crash_delay_ms.set(75);
        serve(&fixture, "ends", "r1").await;
        let first = arrivals(&fixture);
        for attempt in 0..8 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            fixture.replicas.restart_all();
            serve(&fixture, "ends", &format!("again-{attempt}")).await;
        }
        assert!(arrivals(&fixture) <= first + 3, "{first}, then {}", arrivals(&fixture));
    });
}

#[test]
fn a_single_shard_request_that_crashes_replicas_is_refused_after_four() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut single = route(1);
            single.target = Target::Service("s0".into());
            single.is_idempotent = is_idempotent;
            let fixture = Fixture::new(single, 1);
            for attempt in 0..20 {
                serve(&fixture, "ends", &format!("r{attempt}")).await;
                tokio::time::sleep(Duration::from_secs(1)).await;
                fixture.replicas.restart_all();
            }
            assert!(arrivals(&fixture) <= 4, "{}", arrivals(&fixture));
        }
    });
}

/// Requests that run concurrently with one that crashes replicas must be answered. They run in
/// different phases on all replicas that crash, and must not be taken for the cause.
#[test]
fn requests_concurrent_with_one_that_crashes_replicas_are_answered() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        for round in 0..20 {
            let crashing = async {
                tokio::time::sleep(Duration::from_millis(1 + round % 6)).await;
                serve(&fixture, &format!("ends-{round}"), "ending").await
            };
            let harmless = async |number: u64| {
                let path = format!("innocent-{round}-{number}");
                tokio::time::sleep(Duration::from_millis(3 * number)).await;
                serve(&fixture, &path, &path).await
            };
            let (_, first, second) = tokio::join!(crashing, harmless(0), harmless(1));
            for outcome in [first, second] {
                assert!(matches!(outcome, Outcome::Merged(_)), "{round}: {outcome:?}");
            }
            fixture.replicas.restart_all();
            tokio::time::sleep(Duration::from_secs(3)).await;
            let outcome = serve(&fixture, &format!("innocent-{round}-0"), "again").await;
            assert!(matches!(outcome, Outcome::Merged(_)), "{round}: {outcome:?}");
        }
    });
}

/// Connection resets must not count as crashes, for example those above a replica's connection
/// limit after a power loss of all instances.
#[test]
fn connection_resets_are_not_crashes() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        let all = (0..SHARDS).flat_map(|s| [format!("s{s}/a"), format!("s{s}/b")]);
        let all: Vec<String> = all.collect();
        let set_all =
            |behavior| all.iter().for_each(|r| fixture.replicas.set_behavior(r, behavior));
        set_all(ReplicaBehavior::LosesAnswerAfter(2));
        for attempt in 0..10 {
            let outcome = serve(&fixture, "innocent", &format!("r{attempt}")).await;
            assert!(!is_quarantined(&outcome), "{outcome:?}");
        }
        set_all(ReplicaBehavior::AnswersAfter(5));
        tokio::time::sleep(Duration::from_secs(5)).await;
        let outcome = serve(&fixture, "innocent", "last").await;
        assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
    });
}

/// Requests must not be quarantined if they run while all replicas lose power, even several times.
#[test]
fn requests_are_not_quarantined_when_replicas_lose_power() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        for cycle in 0..8 {
            let power_loss = async {
                tokio::time::sleep(Duration::from_millis(3)).await;
                for shard in 0..SHARDS {
                    fixture.replicas.crash(&format!("s{shard}/a"));
                    fixture.replicas.crash(&format!("s{shard}/b"));
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
                fixture.replicas.restart_all();
            };
            let requests = (0..10).map(async |n| serve(&fixture, &format!("i{n}"), "r").await);
            let ((), outcomes) = tokio::join!(power_loss, futures_util::future::join_all(requests));
            assert!(!outcomes.iter().any(is_quarantined), "cycle {cycle}: {outcomes:?}");
            tokio::time::sleep(Duration::from_secs(3)).await;
            for number in 0..10 {
                let outcome = serve(&fixture, &format!("i{number}"), "again").await;
                assert!(matches!(outcome, Outcome::Merged(_)), "cycle {cycle}: {outcome:?}");
            }
        }
    });
}

fn is_paused(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(r) if r.reason == RefusalReason::NeverAnswered)
}

/// Guards against crashes without a bound of replicas whose listeners stay open.
#[test]
fn a_request_that_crashes_replicas_that_keep_listening_is_paused() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        fixture.replicas.keeps_listening.set(true);
        for attempt in 0..9 {
            let outcome = serve(&fixture, "ends", &format!("r{attempt}")).await;
            let Outcome::Refused(refusal) = &outcome else { panic!("served") };
            if attempt >= 2 {
                assert!(is_paused(&outcome), "{attempt}: {outcome:?}");
                assert_eq!(refusal.verdict, Verdict::NotRun);
                assert!(refusal.retry_after_ms.is_some());
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
        }
        assert!(arrivals(&fixture) <= SHARDS + 4, "{}", arrivals(&fixture));
    });
}

/// Guards against the same for single services, also for requests that must not run twice.
#[test]
fn a_single_shard_request_that_crashes_replicas_that_keep_listening_is_paused() {
    in_virtual_time(async {
        for is_idempotent in [true, false] {
            let mut single = route(1);
            single.target = Target::Service("s0".into());
            single.is_idempotent = is_idempotent;
            let fixture = Fixture::new(single, 1);
            fixture.replicas.keeps_listening.set(true);
            for attempt in 0..9 {
                serve(&fixture, "ends", &format!("r{attempt}")).await;
                tokio::time::sleep(Duration::from_secs(3)).await;
            }
            assert!(arrivals(&fixture) <= 5, "{}", arrivals(&fixture));
        }
    });
}

/// Guards against a request that locks up one replica after the other.
#[test]
fn a_request_that_silences_replicas_reaches_few_of_them() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        fixture.replicas.falls_silent.set(true);
        for attempt in 0..9 {
            serve(&fixture, "ends", &format!("r{attempt}")).await;
            tokio::time::sleep(Duration::from_secs(3)).await;
            fixture.replicas.restart_all();
        }
        assert!(arrivals(&fixture) <= SHARDS + 4, "{}", arrivals(&fixture));
    });
}

/// Guards against requests being refused for replicas that are slower than their deadlines.
#[test]
fn requests_to_slow_replicas_are_not_refused() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        for shard in 0..SHARDS {
            for replica in ["a", "b"] {
                let slow = ReplicaBehavior::AnswersAfter(2 * DEADLINE_MS);
                fixture.replicas.set_behavior(&format!("s{shard}/{replica}"), slow);
            }
        }
        for attempt in 0..9 {
            let outcome = serve(&fixture, "slow", &format!("r{attempt}")).await;
            assert!(!is_paused(&outcome) && !is_quarantined(&outcome), "{outcome:?}");
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against innocent requests being refused while half of all sends are reset for seconds.
#[test]
fn requests_are_not_refused_while_half_of_the_sends_are_reset() {
    const REQUESTS: u64 = 400;
    const PAUSE_MS: u64 = 200;
    in_virtual_time(async {
        let mut single = route(1);
        single.target = Target::Service("s0".into());
        let fixture = Fixture::new(single, 1);
        for replica in ["s0/a", "s0/b"] {
            fixture.replicas.set_behavior(replica, ReplicaBehavior::LosesHalfAfter(5));
        }
        let requests = (0..REQUESTS).map(async |number: u64| {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS * number)).await;
            let path = format!("innocent-{number}");
            let mut outcomes = Vec::new();
            for attempt in 0..4 {
                outcomes.push(serve(&fixture, &path, &format!("{number}-{attempt}")).await);
            }
            outcomes
        });
        let outcomes = futures_util::future::join_all(requests).await;
        let refused = outcomes.iter().flatten().filter(|o| is_paused(o) || is_quarantined(o));
        assert_eq!(refused.count(), 0);
    });
}
