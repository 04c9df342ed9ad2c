//! Runs with idempotency keys under faults. The simulated backend servers count the runs of each
//! key, which must never exceed one.

mod common;

use std::time::Duration;

use eelgrasspier_standin::backends::Faults as BackendFaults;
use eelgrasspier_standin::cluster::{TestCluster, entry_addr};
use eelgrasspier_standin::platform::Faults as PlatformFaults;
use futures_util::future::join;

/// Deadline of a run that allows for lost answers and busy machines.
const RUN_DEADLINE_MS: u64 = 8_000;

async fn slow_down(cluster: &TestCluster, slowness: u64) {
    for addr in cluster.backends[common::SERVICE].addrs() {
        let faults = BackendFaults { slowness, ..BackendFaults::default() };
        cluster.set_backend_faults(&addr, &faults).await.unwrap();
    }
}

/// Guards against a duplicate run: the answer to the first attempt is lost on its way to the
/// caller, and the retry reaches another instance. Only a claim visible to both prevents it.
#[actix_web::test]
async fn retry_on_another_instance_does_not_run_again() {
    let cluster = common::cluster(2, 2).await;
    let key = common::new_key();
    let first = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
    assert_eq!((first.status, first.text()), (200, format!("ran {key}")));
    for index in [1, 0] {
        let retry = common::send_run(&cluster, index, &key, RUN_DEADLINE_MS).await.unwrap();
        assert_eq!(retry.status, 409, "{}", retry.text());
        assert_eq!(retry.problem().verdict, "may_have_run");
    }
    assert_eq!(common::run_count(&cluster, &key).await, 1);
}

/// Guards against a duplicate run: a request and its retry reach two instances concurrently, and
/// both claim the key. A check before the write, or a write that is not conditional on the
/// version, would let both succeed.
#[actix_web::test]
async fn one_of_two_concurrent_attempts_runs() {
    let cluster = common::cluster(3, 2).await;
    for _ in 0..20 {
        let key = common::new_key();
        let (a, b) = join(
            common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS),
            common::send_run(&cluster, 1, &key, RUN_DEADLINE_MS),
        )
        .await;
        let statuses = [a.unwrap().status, b.unwrap().status];
        assert!(statuses == [200, 409] || statuses == [409, 200], "{statuses:?}");
        assert_eq!(common::run_count(&cluster, &key).await, 1);
    }
}

/// Guards against a request that never runs, or runs twice, after the answer to its claim is
/// lost. If this is treated as a failure, the key stays claimed without an owner. If it is treated
/// as a success without reading the claim again, the claim may belong to another instance.
#[actix_web::test]
async fn claim_with_lost_answer_is_confirmed_by_read() {
    let cluster = common::cluster(2, 2).await;
    for faults in [
        PlatformFaults { lost_updates: 1, ..PlatformFaults::default() },
        PlatformFaults { dropped_updates: 1, ..PlatformFaults::default() },
    ] {
        cluster.set_platform_faults(&faults).await.unwrap();
        let key = common::new_key();
        let answer = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(common::run_count(&cluster, &key).await, 1);
    }
}

/// Guards against a request that never runs although the caller retries it: the answer to the
/// claim is lost, the request is refused as not run, and the caller retries later, after an
/// outage. The claim is still stored on the platform and has to be released.
#[actix_web::test]
async fn request_refused_during_outage_runs_on_later_retry() {
    let cluster = common::cluster(2, 2).await;
    let key = common::new_key();
    let down = PlatformFaults { is_down: true, ..PlatformFaults::default() };
    cluster.set_platform_faults(&down).await.unwrap();
    let refused = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.problem().verdict, "not_run");
    assert!(refused.retry_after.is_some());
    assert_eq!(common::run_count(&cluster, &key).await, 0);

    let lossy = PlatformFaults { lost_updates: 1, ..PlatformFaults::default() };
    cluster.set_platform_faults(&lossy).await.unwrap();
    let refused = common::send_run(&cluster, 0, &key, 300).await.unwrap();
    assert_eq!(refused.problem().verdict, "not_run", "{}", refused.text());

    cluster.set_platform_faults(&PlatformFaults::default()).await.unwrap();
    eelgrasspier_standin::cluster::wait_until(
        "the claim is released and the retry runs",
        async || {
            let retry = common::send_run(&cluster, 1, &key, RUN_DEADLINE_MS).await;
            retry.is_ok_and(|r| r.status == 200)
        },
    )
    .await
    .unwrap();
    assert_eq!(common::run_count(&cluster, &key).await, 1);
}

/// Guards against a duplicate run after a pause: an instance claims the key and is paused for
/// longer than all timeouts, the retry reaches another instance, and the first one resumes. With
/// a lease, which expires during the pause, both would consider themselves the holder.
#[actix_web::test]
async fn resumed_claim_holder_does_not_run_again() {
    let cluster = common::cluster(3, 2).await;
    slow_down(&cluster, 50).await;
    for pause_ms in [0, 2, 5, 10, 20, 40, 80] {
        let key = common::new_key();
        let holder = &cluster.instances[0].process;
        let first = async {
            let answer = common::send_run(&cluster, 0, &key, 1_500).await;
            answer.map(|reply| reply.status)
        };
        let pause_and_retry = async {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            holder.signal("STOP");
            tokio::time::sleep(Duration::from_secs(2)).await;
            let retry = common::send_run(&cluster, 1, &key, 1_500).await.unwrap();
            holder.signal("CONT");
            retry.status
        };
        let statuses = join(first, pause_and_retry).await;
        let runs = common::run_count(&cluster, &key).await;
        assert!(runs <= 1, "{runs} runs after {pause_ms} ms, answers {statuses:?}");
        cluster.wait_ready().await.unwrap();
    }
}

/// Guards against verdict `not_run` for a request that ran: the backend server is killed after
/// it received the request, and the connection breaks without an answer. The HTTP client reports
/// this as a connect error; only a failure before the first byte was sent means not run.
#[actix_web::test]
async fn run_on_killed_server_may_have_run() {
    let mut cluster = common::cluster(2, 1).await;
    slow_down(&cluster, 500).await;
    let key = common::new_key();
    let url = format!("{}/v1/services/{}/run", cluster.instances[0].url(), common::SERVICE);
    let headers = [("deadline-ms", "8000"), ("idempotency-key", key.as_str())];
    let kill = async {
        eelgrasspier_standin::cluster::wait_until("the run has started", async || {
            common::run_count(&cluster, &key).await == 1
        })
        .await
        .unwrap();
        cluster.backends[common::SERVICE].process.signal("KILL");
    };
    let (answer, ()) = join(common::post(&url, &headers, b"run".to_vec()), kill).await;
    let problem = answer.unwrap().problem();
    assert_eq!(problem.verdict, "may_have_run", "{problem:?}");
    let retry = common::send_run(&cluster, 1, &key, 2_000).await.unwrap();
    assert_ne!(retry.status, 200);
    cluster.backends.clear();
}

/// Guards against a request that never runs: the caller closes its connection between claim and
/// send. The key stays claimed, so a run that stopped here could not be retried.
#[actix_web::test]
async fn caller_disconnect_does_not_stop_run() {
    let cluster = common::cluster(2, 2).await;
    let delay = PlatformFaults { delay_ms: 200, ..PlatformFaults::default() };
    cluster.set_platform_faults(&delay).await.unwrap();
    let key = common::new_key();
    let request = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS);
    let timed_out = tokio::time::timeout(Duration::from_millis(100), request).await;
    assert!(timed_out.is_err(), "the claim should take longer than the caller waits");
    eelgrasspier_standin::cluster::wait_until("the run has started", async || {
        common::run_count(&cluster, &key).await == 1
    })
    .await
    .unwrap();
}

/// Invalid keys, and keys too old to be distinguished from a retry, are refused.
#[actix_web::test]
async fn invalid_and_expired_keys_are_refused() {
    let cluster = common::cluster(1, 1).await;
    let old = uuid::Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_000_000, 0));
    for (key, status, verdict) in [
        ("reminder-7", 400, "not_run"),
        ("", 400, "not_run"),
        (&uuid::Uuid::nil().to_string(), 400, "not_run"),
        (&old.to_string(), 409, "may_have_run"),
    ] {
        let answer = common::send_run(&cluster, 0, key, RUN_DEADLINE_MS).await.unwrap();
        assert_eq!(answer.status, status, "{key}: {}", answer.text());
        assert_eq!(answer.problem().verdict, verdict);
        assert_eq!(common::run_count(&cluster, key).await, 0);
    }
}

/// A run on a shard that does not exist is refused as a bad request and does not claim the key.
#[actix_web::test]
async fn run_on_unknown_shard_is_refused() {
    let cluster = common::cluster(1, 2).await;
    let key = common::new_key();
    let url = format!("{}/v1/services/{}/run", cluster.instances[0].url(), common::SERVICE);
    let deadline = ("deadline-ms", "8000");
    let headers = [deadline, ("idempotency-key", key.as_str()), ("shards", "2")];
    let refused = common::post(&url, &headers, vec![]).await.unwrap();
    assert_eq!(refused.status, 400, "{}", refused.text());
    assert!(refused.problem().detail.contains("unknown shard 2"), "{}", refused.text());
    let answer = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// A run that a server sheds is refused with verdict `not_run`, and runs are accepted again once
/// the server stops shedding.
#[actix_web::test]
async fn shed_run_is_refused_as_not_run() {
    let cluster = common::cluster(1, 1).await;
    let addrs: Vec<String> =
        cluster.backends[common::SERVICE].shards.iter().flatten().map(|e| entry_addr(e)).collect();
    for is_shedding in [true, false] {
        for addr in &addrs {
            let faults = BackendFaults { is_shedding, ..BackendFaults::default() };
            cluster.set_backend_faults(addr, &faults).await.unwrap();
        }
        if !is_shedding {
            break;
        }
        let key = common::new_key();
        let refused = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
        assert_eq!(refused.problem().verdict, "not_run", "{}", refused.text());
        assert_eq!(common::run_count(&cluster, &key).await, 0);
    }
    let key = common::new_key();
    let answer = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}
