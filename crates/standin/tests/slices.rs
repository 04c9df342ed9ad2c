//! Fewer connections than instances: each holds a slice of the replicas.

mod common;

use eelgrasspier_standin::fleet::Fleet;
use eelgrasspier_standin::load;

/// Symptom: an instance without a connection to a shard misses it for ever.
/// Sequence: seven instances, three connections a replica, so that no instance holds
/// one to every shard; queries come to all of them.
/// Cause: the other shards have to be asked through instances that do.
///
/// On a busy machine one answer in 120 lacked shards ("no replica holds the index version"): an
/// instance was asked for parts from a replica whose first report it had not heard, or nobody was
/// asked, since the news that the holders are ready was on its way.
#[actix_web::test]
async fn queries_reach_the_shards_in_other_slices() {
    let mut plan = common::plan(7, 8);
    plan.services[0].shape.connections = 3;
    plan.services[0].shape.replicas = 1;
    plan.services[0].text = String::new();
    let fleet = Fleet::start(plan).await.unwrap();
    let report = load::run(&common::load_plan(&fleet, 30, 4)).await.unwrap();
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.full, report.offered, "{report}");
    let counters = fleet.counters(common::SERVICE).await.unwrap();
    let peak = counters.iter().map(|c| c.peak_connections).max().unwrap();
    // The test's own question is one more.
    assert!(peak <= 3 + 1, "{peak} connections at one replica");
}

/// Symptom: one instance of several refuses every query for want of a snapshot.
/// Sequence: one replica that allows one connection, three instances: two of them have
/// nothing of the service in their slice.
/// Cause: versions are learnt from replicas' own answers, and those two get none.
#[actix_web::test]
async fn an_instance_with_an_empty_slice_asks_another_for_the_snapshot() {
    let mut plan = common::plan(3, 1);
    plan.services[0].shape.connections = 1;
    plan.services[0].shape.replicas = 1;
    plan.services[0].text = String::new();
    let fleet = Fleet::start(plan).await.unwrap();
    for at in 0..3 {
        let headers = &[("deadline-ms", "2000")];
        let reply = common::query(&fleet, at, common::SERVICE, headers, vec![]).await;
        let answer = reply.answer();
        assert_eq!((answer.index_version, answer.covered), (1, vec![0]));
    }
}
