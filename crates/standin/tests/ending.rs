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
use common::fuse::{ENDS, Fuse};
use eelgrasspier_standin::fleet::Fleet;

const SHARDS: u32 = 6;
const INSTANCES: usize = 3;

/// Starts a test cluster whose backend servers crash on requests that contain [`ENDS`].
async fn fleet() -> (Fleet, Vec<Rc<Fuse>>) {
    let fleet = Fleet::start_idle(common::plan(INSTANCES, SHARDS)).unwrap();
    fleet.list_instances(0).await.unwrap();
    let mut text = fleet.text();
    let mut fuses = Vec::new();
    for addr in fleet.backends[SERVICE].addrs() {
        let fuse = Fuse::start(addr.parse().unwrap()).await;
        text = text.replace(&addr, &fuse.addr.to_string());
        fuses.push(fuse);
    }
    fleet.submit(0, 1, &text).await.unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, fuses)
}

fn ends(fuses: &[Rc<Fuse>]) -> u32 {
    fuses.iter().map(|f| f.ends()).sum()
}

/// Waits until crashed servers have restarted and the instances have detected it.
async fn settle() {
    tokio::time::sleep(Duration::from_secs(3)).await;
}

#[actix_web::test]
async fn a_query_that_ends_its_servers_is_refused_at_all_instances() {
    let (fleet, fuses) = fleet().await;
    let deadline = [("deadline-ms", "2000"), ("least-coverage-percent", "50")];
    let mut verdicts: BTreeMap<String, u32> = BTreeMap::new();
    for attempt in 0..9 {
        let body = [ENDS, b" at once"].concat();
        let reply = common::query(&fleet, attempt % INSTANCES, SERVICE, &deadline, body).await;
        *verdicts.entry(reply.problem().verdict).or_default() += 1;
        settle().await;
    }
    // One server per shard, one more before the second crash is detected, and two trials.
    let ended = ends(&fuses);
    println!("{ended} servers crashed: {verdicts:?}");
    assert!(ended <= SHARDS + 4, "{ended} servers crashed: {verdicts:?}");
    assert!(verdicts["not_run"] >= 7, "{verdicts:?}");
}

#[actix_web::test]
async fn queries_beside_one_that_ends_servers_are_answered() {
    let (fleet, _fuses) = fleet().await;
    let deadline = [("deadline-ms", "2000"), ("least-coverage-percent", "50")];
    for round in 0..5 {
        let ending = common::query(
            &fleet,
            round % INSTANCES,
            SERVICE,
            &deadline,
            [ENDS, round.to_string().as_bytes()].concat(),
        );
        let beside = (0..6).map(async |n: usize| {
            tokio::time::sleep(Duration::from_millis(n as u64)).await;
            let body = format!("innocent {round} {n}").into_bytes();
            common::query(&fleet, n % INSTANCES, SERVICE, &deadline, body).await
        });
        let (_, replies) = tokio::join!(ending, futures_util::future::join_all(beside));
        for reply in &replies {
            assert!(!reply.text().contains("ended while they ran"), "{}", reply.text());
        }
        settle().await;
        for n in 0..6 {
            let body = format!("innocent {round} {n}").into_bytes();
            let reply = common::query(&fleet, (n + 1) % INSTANCES, SERVICE, &deadline, body).await;
            assert!(reply.answer().missed.is_empty(), "{:?}", reply.answer().missed);
        }
    }
}
