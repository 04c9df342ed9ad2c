//! More work than can be done: what is accepted stays in time, the rest learns at once.

mod common;

use eelgrasspier_standin::backends::Faults;
use eelgrasspier_standin::fleet::{addr_of, until};
use eelgrasspier_standin::load;

/// Symptom: under a flood every answer is late, which counts as none at all; and the
/// flood goes on after its end.
/// Sequence: many times the load that the backend servers can carry.
/// Cause: a queue that grows until each request waits for its whole deadline.
#[actix_web::test]
async fn a_flood_is_refused_with_a_time_to_come_back_and_ends_with_its_cause() {
    let fleet = common::fleet(2, 2).await;
    common::all_faults(&fleet, &Faults { slowness: 20, ..Faults::default() }).await;
    let flood = load::Plan { deadline_ms: 1_000, ..common::load_plan(&fleet, 1_000, 3) };
    let report = load::run(&flood).await.unwrap();
    // The driver checks each refusal's verdict and time to come back.
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.lost.len(), 0, "{report}");
    assert!(report.refused.values().sum::<u64>() > report.offered / 2, "{report}");
    assert!(report.full > 0, "{report}");

    let calm = load::Plan { deadline_ms: 2_000, ..common::load_plan(&fleet, 5, 2) };
    until("calm load is answered in full again", async || {
        let report = load::run(&calm).await.unwrap();
        report.full == report.offered
    })
    .await
    .unwrap();
}

/// Symptom: one lost shard makes every query wait for its whole deadline.
/// Sequence: both replicas of a shard are lost without a word, and come back.
/// Cause: a replica that is known to be down is tried all the same.
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
        until("the shard's state is known", async || {
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
