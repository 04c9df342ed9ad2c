//! Answers keep to one snapshot and report accurate coverage during version and shard changes.

mod common;

use eelgrasspier_standin::backends::Faults;
use eelgrasspier_standin::cluster::entry_addr;
use eelgrasspier_standin::load;
use futures_util::future::join;

fn with_versions(versions: &[(u64, u32)]) -> Faults {
    Faults { versions: versions.to_vec(), ..Faults::default() }
}

/// Guards against answers with parts of two index versions, which show entries twice or at their
/// old place: replicas load a new version one by one and drop the old one while queries run.
#[actix_web::test]
async fn answers_do_not_mix_versions_during_rollout() {
    let cluster = common::cluster(3, 4).await;
    let options = common::load_options(&cluster, 40, 6);
    let roll = async {
        let addrs = cluster.backends[common::SERVICE].addrs();
        for version in 2..6 {
            for addr in &addrs {
                let both = with_versions(&[(version - 1, 4), (version, 4)]);
                cluster.set_backend_faults(addr, &both).await.unwrap();
                tokio::time::sleep(std::time::Duration::from_millis(40)).await;
            }
            for addr in &addrs {
                cluster.set_backend_faults(addr, &with_versions(&[(version, 4)])).await.unwrap();
                tokio::time::sleep(std::time::Duration::from_millis(40)).await;
            }
        }
    };
    let (report, ()) = join(load::run(&options), roll).await;
    let report = report.unwrap();
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.lost.len(), 0, "{report}");
    assert!(report.full * 10 > report.offered * 9, "{report}");
}

/// Guards against entries that are missing or duplicated after a shard split: a new index version
/// has four shards instead of three, and the text lists the replicas of the fourth in advance.
/// The number of shards is a property of the version, not of the text.
#[actix_web::test]
async fn shard_split_is_atomic_for_answers() {
    let cluster = common::cluster(2, 4).await;
    let shards = cluster.backends[common::SERVICE].shards.clone();
    let old: Vec<String> = shards[..3].iter().flatten().map(|e| entry_addr(e)).collect();
    let new: Vec<String> = shards[3].iter().map(|e| entry_addr(e)).collect();
    // Version 2 has three shards; the servers of the fourth shard don't hold it.
    for addr in &old {
        cluster.set_backend_faults(addr, &with_versions(&[(2, 3)])).await.unwrap();
    }
    for addr in &new {
        cluster.set_backend_faults(addr, &with_versions(&[(3, 4)])).await.unwrap();
    }
    let options = common::load_options(&cluster, 40, 4);
    let split = async {
        for addr in &old {
            cluster.set_backend_faults(addr, &with_versions(&[(2, 3), (3, 4)])).await.unwrap();
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
    };
    let (report, ()) = join(load::run(&options), split).await;
    let report = report.unwrap();
    assert_eq!(report.violations, Vec::<String>::new());
    let last =
        common::send_query(&cluster, 0, common::SERVICE, &[("deadline-ms", "2000")], vec![]).await;
    let last = last.answer();
    assert_eq!((last.index_version, last.shard_count), (3, 4));
    assert_eq!(last.covered, [0, 1, 2, 3]);
}

/// Guards against coverage that includes a shard without an answer, as when it is counted from
/// the requests sent: all replicas of one shard refuse, and the caller then sets a minimum
/// coverage, with and without a selection of shards.
#[actix_web::test]
async fn missing_shards_are_reported_and_minimum_coverage_is_enforced() {
    let cluster = common::cluster(1, 4).await;
    for entry in &cluster.backends[common::SERVICE].shards[2] {
        let faults = Faults { is_shedding: true, ..Faults::default() };
        cluster.set_backend_faults(&entry_addr(entry), &faults).await.unwrap();
    }
    let deadline = ("deadline-ms", "1000");
    let answer =
        common::send_query(&cluster, 0, common::SERVICE, &[deadline], vec![]).await.answer();
    assert_eq!(answer.covered, [0, 1, 3]);
    assert_eq!(answer.missed.iter().map(|m| m.shard).collect::<Vec<_>>(), [2]);
    assert_eq!(load::answer_violations(&answer, common::SERVICE, ""), Vec::<String>::new());

    let least = ("least-coverage-percent", "90");
    let refused =
        common::send_query(&cluster, 0, common::SERVICE, &[deadline, least], vec![]).await;
    assert_eq!(refused.problem().kind, "/problems/coverage");
    let chosen = ("shards", "0-1,3");
    let answer =
        common::send_query(&cluster, 0, common::SERVICE, &[deadline, least, chosen], vec![]).await;
    assert_eq!(answer.answer().covered, [0, 1, 3]);
}

/// Callers can pin an index version, as a backend server does for the services it depends on.
#[actix_web::test]
async fn pinned_version_is_used_or_refused() {
    let cluster = common::cluster(1, 2).await;
    common::set_all_faults(&cluster, &with_versions(&[(1, 2), (2, 2)])).await;
    let deadline = ("deadline-ms", "1000");
    eelgrasspier_standin::cluster::wait_until("the instance knows version 2", async || {
        let answer = common::send_query(&cluster, 0, common::SERVICE, &[deadline], vec![]).await;
        answer.answer().index_version == 2
    })
    .await
    .unwrap();
    let pinned = ("index-version", "1");
    let answer =
        common::send_query(&cluster, 0, common::SERVICE, &[deadline, pinned], vec![]).await;
    assert_eq!(answer.answer().index_version, 1);
    let gone = ("index-version", "9");
    let refused = common::send_query(&cluster, 0, common::SERVICE, &[deadline, gone], vec![]).await;
    assert_eq!((refused.status, refused.problem().verdict.as_str()), (409, "not_run"));
}
