//! Fewer connections than instances: each holds a slice of the replicas.

mod common;

use eelgrasspier_standin::fleet::Fleet;
use eelgrasspier_standin::load;

/// Symptom: an instance without a connection to a shard misses it for ever.
/// Sequence: seven instances, three connections a replica, so that no instance holds
/// one to every shard; queries come to all of them.
/// Cause: the other shards have to be asked through instances that do.
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
