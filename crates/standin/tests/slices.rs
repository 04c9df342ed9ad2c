//! Fewer connections per replica than instances: each instance connects to a subset (slice).

mod common;

use eelgrasspier_standin::cluster::TestCluster;
use eelgrasspier_standin::load;

/// Guards against shards that are permanently missing from answers: with seven instances and
/// three connections per replica, no instance is connected to every shard. Each has to request the
/// other shards from instances that are connected to them.
///
/// Also guards against a race after startup. On a busy machine one answer in 120 lacked shards
/// ("no replica holds the index version"): an instance was asked for parts of a replica whose
/// first report it had not received, or no instance was asked because the state of the connected
/// ones had not arrived yet.
#[actix_web::test]
async fn queries_reach_shards_of_other_slices() {
    let mut spec = common::cluster_spec(7, 8);
    spec.services[0].backends.connections = 3;
    spec.services[0].backends.replicas = 1;
    spec.services[0].text = String::new();
    let cluster = TestCluster::start(spec).await.unwrap();
    let report = load::run(&common::load_options(&cluster, 30, 4)).await.unwrap();
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.full, report.offered, "{report}");
    let counters = cluster.counters(common::SERVICE).await.unwrap();
    let peak = counters.iter().map(|c| c.peak_connections).max().unwrap();
    // The test itself holds one more connection to read the counters.
    assert!(peak <= 3 + 1, "{peak} connections at one replica");
}

/// Guards against an instance that refuses every query because it knows no snapshot: with one
/// replica that allows one connection, two of three instances have no connection to the service.
/// Index versions are learned from answers of replicas, which these two never receive.
#[actix_web::test]
async fn instance_with_empty_slice_gets_snapshot_from_peer() {
    let mut spec = common::cluster_spec(3, 1);
    spec.services[0].backends.connections = 1;
    spec.services[0].backends.replicas = 1;
    spec.services[0].text = String::new();
    let cluster = TestCluster::start(spec).await.unwrap();
    for index in 0..3 {
        let headers = &[("deadline-ms", "2000")];
        let reply = common::send_query(&cluster, index, common::SERVICE, headers, vec![]).await;
        let answer = reply.answer();
        assert_eq!((answer.index_version, answer.covered), (1, vec![0]));
    }
}
