//! Overload: accepted queries meet their deadlines, the others are refused immediately.

mod common;

use eelgrasspier_standin::backends::Faults;
use eelgrasspier_standin::cluster::{entry_addr, wait_until};
use eelgrasspier_standin::load;

/// Guards against late answers under overload, which are worthless to callers, and against an
/// overload that outlasts its cause: the load is a multiple of the capacity of the backend
/// servers. A queue without a limit grows until each request waits for its whole deadline.
#[actix_web::test]
async fn overload_is_refused_with_retry_time_and_recovers() {
    let cluster = common::cluster(2, 2).await;
    common::set_all_faults(&cluster, &Faults { slowness: 20, ..Faults::default() }).await;
    let overload = load::Options { deadline_ms: 1_000, ..common::load_options(&cluster, 1_000, 3) };
    let report = load::run(&overload).await.unwrap();
    // The load generator checks that refusals with verdict not_run have a retry time.
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.lost.len(), 0, "{report}");
    assert!(report.refused.values().sum::<u64>() > report.offered / 2, "{report}");
    assert!(report.full > 0, "{report}");

    let low_load = load::Options { deadline_ms: 2_000, ..common::load_options(&cluster, 5, 2) };
    wait_until("all queries of a low load are answered in full again", async || {
        let report = load::run(&low_load).await.unwrap();
        report.full == report.offered
    })
    .await
    .unwrap();
}

/// Guards against queries that wait for their whole deadline because of one unavailable shard:
/// both replicas of a shard stop answering and recover later. Queries wait this long if replicas
/// that are known to be down are tried all the same.
#[actix_web::test]
async fn unavailable_shard_is_skipped_and_recovers() {
    let cluster = common::cluster(1, 3).await;
    let addrs: Vec<String> =
        cluster.backends[common::SERVICE].shards[1].iter().map(|e| entry_addr(e)).collect();
    for is_lost in [true, false] {
        for addr in &addrs {
            cluster
                .set_backend_faults(addr, &Faults { is_lost, ..Faults::default() })
                .await
                .unwrap();
        }
        let headers: &[(&str, &str)] = &[("deadline-ms", "1000")];
        wait_until("the instance has detected the state of the shard", async || {
            let reply = common::send_query(&cluster, 0, common::SERVICE, headers, vec![]).await;
            let missed: Vec<String> = reply.answer().missed.into_iter().map(|m| m.reason).collect();
            let expected =
                if is_lost { vec!["no replica holds the index version"] } else { vec![] };
            missed == expected
        })
        .await
        .unwrap();
    }
}
