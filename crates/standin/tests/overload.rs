//! Overload: accepted queries meet their deadlines, the others are refused immediately.

mod common;

use eelgrasspier_standin::backends::Faults;
use eelgrasspier_standin::fleet::{addr_of, until};
use eelgrasspier_standin::load;

/// Guards against late answers under overload, and against an overload that outlasts the excess
/// load: the load is a multiple of the capacity of the backend servers. A queue without a limit
/// grows until each request waits for its whole deadline.
#[actix_web::test]
async fn a_flood_is_refused_with_a_time_to_come_back_and_ends_with_its_cause() {
    let fleet = common::fleet(2, 2).await;
    common::all_faults(&fleet, &Faults { slowness: 20, ..Faults::default() }).await;
    let flood = load::Plan { deadline_ms: 1_000, ..common::load_plan(&fleet, 1_000, 3) };
    let report = load::run(&flood).await.unwrap();
    // The load generator checks that refusals with verdict not_run have a retry time.
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.lost.len(), 0, "{report}");
    assert!(report.refused.values().sum::<u64>() > report.offered / 2, "{report}");
    assert!(report.full > 0, "{report}");

    let calm = load::Plan { deadline_ms: 2_000, ..common::load_plan(&fleet, 5, 2) };
    until("all queries of a low load are answered in full again", async || {
        let report = load::run(&calm).await.unwrap();
        report.full == report.offered
    })
    .await
    .unwrap();
}

/// Guards against queries that wait for their whole deadline because of one unavailable shard:
/// both replicas of a shard stop answering and recover later. Replicas that are known to be down
/// must not be tried by every query.
#[actix_web::test]
async fn a_lost_shard_is_missed_at_once_and_found_again() {
    let fleet = common::fleet(1, 3).await;
    let addrs: Vec<String> =
        fleet.backends[common::SERVICE].shards[1].iter().map(|e| addr_of(e)).collect();
    for is_lost in [true, false] {
        for addr in &addrs {
            fleet.backend_faults(addr, &Faults { is_lost, ..Faults::default() }).await.unwrap();
        }
        let headers: &[(&str, &str)] = &[("deadline-ms", "1000")];
        until("the instance has detected the state of the shard", async || {
            let reply = common::query(&fleet, 0, common::SERVICE, headers, vec![]).await;
            let missed: Vec<String> = reply.answer().missed.into_iter().map(|m| m.reason).collect();
            let expected =
                if is_lost { vec!["no replica holds the index version"] } else { vec![] };
            missed == expected
        })
        .await
        .unwrap();
    }
}
