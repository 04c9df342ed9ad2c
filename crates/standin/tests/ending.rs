//! Requests that crash the backend servers that process them, sent over the native interface.
//!
//! Guards against crashes that repeat with each retry: the first attempt crashes one replica of
//! each shard, its retries crash the others, and the caller then retries on another instance.
//! This happened with queries, and with runs that were sent again under a new key, because
//! instances did not record which requests had crashed a server.

mod common;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use common::SERVICE;
use common::fuse::{CRASH_TRIGGER, CrashKind, CrashProxy};
use eelgrasspier_standin::cluster::TestCluster;

const SHARDS: u32 = 6;
const INSTANCES: usize = 3;

/// Starts a test cluster whose backend servers crash on requests that contain [`CRASH_TRIGGER`].
async fn cluster_with(kind: CrashKind) -> (TestCluster, Vec<Rc<CrashProxy>>) {
    let cluster = TestCluster::start_idle(common::cluster_spec(INSTANCES, SHARDS)).unwrap();
    cluster.publish_instances(0).await.unwrap();
    let mut text = cluster.text();
    let mut proxies = Vec::new();
    for addr in cluster.backends[SERVICE].addrs() {
        let proxy = CrashProxy::start(addr.parse().unwrap(), kind).await;
        text = text.replace(&addr, &proxy.addr.to_string());
        proxies.push(proxy);
    }
    cluster.submit(0, 1, &text).await.unwrap();
    cluster.wait_ready().await.unwrap();
    (cluster, proxies)
}

fn crash_count(proxies: &[Rc<CrashProxy>]) -> u32 {
    proxies.iter().map(|p| p.crashes()).sum()
}

/// Waits until crashed servers have restarted and the instances have detected it.
async fn wait_for_recovery() {
    tokio::time::sleep(Duration::from_secs(3)).await;
}

/// Sends a query that crashes its servers to each instance three times; returns the verdicts.
async fn send_nine_attempts(cluster: &TestCluster) -> BTreeMap<String, u32> {
    let deadline = [("deadline-ms", "2000"), ("least-coverage-percent", "50")];
    let mut verdicts: BTreeMap<String, u32> = BTreeMap::new();
    for attempt in 0..9 {
        let body = [CRASH_TRIGGER, b" at once"].concat();
        let reply =
            common::send_query(cluster, attempt % INSTANCES, SERVICE, &deadline, body).await;
        *verdicts.entry(reply.problem().verdict).or_default() += 1;
        wait_for_recovery().await;
    }
    verdicts
}

/// Checks that the query is refused before it has crashed more than one server per shard and a few.
async fn check_query_is_refused(kind: CrashKind) {
    let (cluster, proxies) = cluster_with(kind).await;
    let verdicts = send_nine_attempts(&cluster).await;
    // One server per shard, one more before the second crash is detected, and two trials.
    let crashes = crash_count(&proxies);
    println!("{kind:?}: {crashes} servers crashed: {verdicts:?}");
    assert!(crashes <= SHARDS + 4, "{crashes} servers crashed: {verdicts:?}");
    assert!(verdicts["not_run"] >= 7, "{verdicts:?}");
}

#[actix_web::test]
async fn query_that_crashes_servers_is_refused_on_all_instances() {
    check_query_is_refused(CrashKind::ClosesListenerAfter(Duration::ZERO)).await;
}

/// Guards against crashes without a bound if a check finds the listener of an ended server open.
#[actix_web::test]
async fn query_is_refused_if_listeners_outlive_the_connections() {
    let delays_ms = [20, 40, 100, 400].map(Duration::from_millis);
    let kinds =
        delays_ms.map(|delay| check_query_is_refused(CrashKind::ClosesListenerAfter(delay)));
    futures_util::future::join_all(kinds).await;
}

/// Guards against crashes without a bound of servers whose workers share a listener.
#[actix_web::test]
async fn query_is_refused_if_listeners_never_close() {
    check_query_is_refused(CrashKind::KeepsListening).await;
}

/// Guards against a query that locks up one server after the other.
#[actix_web::test]
async fn query_that_silences_servers_reaches_few_of_them() {
    let (cluster, proxies) = cluster_with(CrashKind::FallsSilent).await;
    let verdicts = send_nine_attempts(&cluster).await;
    let silenced = crash_count(&proxies);
    assert!(silenced <= SHARDS + 4, "{silenced} servers fell silent: {verdicts:?}");
}

/// Guards against crashes being taken for reset connections because the servers close their
/// listeners after their connections.
#[actix_web::test]
async fn query_is_refused_if_servers_close_their_listeners_last() {
    let (cluster, proxies) =
        cluster_with(CrashKind::ClosesListenerAfter(Duration::from_millis(5))).await;
    let deadline = [("deadline-ms", "2000"), ("least-coverage-percent", "50")];
    for attempt in 0..4 {
        let body = [CRASH_TRIGGER, b" listeners last"].concat();
        let reply =
            common::send_query(&cluster, attempt % INSTANCES, SERVICE, &deadline, body).await;
        let verdict = reply.problem().verdict;
        assert!(attempt < 2 || verdict == "not_run", "attempt {attempt}: {verdict}");
        wait_for_recovery().await;
    }
    let crashes = crash_count(&proxies);
    assert!(crashes <= SHARDS + 4, "{crashes} servers crashed");
}

async fn check_concurrent_queries_are_answered(kind: CrashKind) {
    let (cluster, _proxies) = cluster_with(kind).await;
    let deadline = [("deadline-ms", "2000"), ("least-coverage-percent", "50")];
    for round in 0..5 {
        let crashing = common::send_query(
            &cluster,
            round % INSTANCES,
            SERVICE,
            &deadline,
            [CRASH_TRIGGER, round.to_string().as_bytes()].concat(),
        );
        let concurrent = (0..6).map(async |n: usize| {
            tokio::time::sleep(Duration::from_millis(n as u64)).await;
            let body = format!("innocent {round} {n}").into_bytes();
            common::send_query(&cluster, n % INSTANCES, SERVICE, &deadline, body).await
        });
        let (_, replies) = tokio::join!(crashing, futures_util::future::join_all(concurrent));
        for reply in &replies {
            assert!(!reply.text().contains("ended while they ran"), "{}", reply.text());
        }
        wait_for_recovery().await;
        for n in 0..6 {
            let body = format!("innocent {round} {n}").into_bytes();
            let reply =
                common::send_query(&cluster, (n + 1) % INSTANCES, SERVICE, &deadline, body).await;
            assert!(reply.answer().missed.is_empty(), "{:?}", reply.answer().missed);
        }
    }
}

#[actix_web::test]
async fn queries_concurrent_with_crashing_query_are_answered() {
    check_concurrent_queries_are_answered(CrashKind::ClosesListenerAfter(Duration::ZERO)).await;
}

/// Guards against innocent queries being refused for crashes that look like lost connections.
#[actix_web::test]
async fn queries_concurrent_with_unexplained_losses_are_answered() {
    check_concurrent_queries_are_answered(CrashKind::KeepsListening).await;
}
