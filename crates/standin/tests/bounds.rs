//! Upper bounds on machine-independent costs: gossip traffic in virtual time, and requests to
//! backend servers and to the platform.

mod common;

use eelgrasspier_standin::gossip_net::GossipNet;
use eelgrasspier_standin::load;

/// Gossip traffic per instance is bounded independently of the cluster size, and each datagram
/// fits into one packet.
#[test]
fn gossip_traffic_per_instance_is_bounded() {
    const MAX_BYTES_PER_S: u64 = 6_000;
    const MAX_PACKET_BYTES: u64 = 1_400;
    for count in [7, 40, 120] {
        let mut net = GossipNet::new(count, 10);
        net.run_until(120_000, GossipNet::all_joined).expect("all instances join");
        net.run_until(120_000, GossipNet::all_agreed).expect("all instances agree on shares");
        let (before, start_ms) = (net.sent_bytes, net.now_ms());
        net.run_until(10_000, |_| false);
        let bytes_per_s =
            (net.sent_bytes - before) * 1000 / (net.now_ms() - start_ms) / count as u64;
        assert!(
            bytes_per_s <= MAX_BYTES_PER_S,
            "{bytes_per_s} bytes/s per instance with {count} instances"
        );
        assert!(net.max_datagram_bytes <= MAX_PACKET_BYTES, "{} bytes", net.max_datagram_bytes);
    }
}

/// The time until all instances know a new version grows slowly with the cluster size.
#[test]
fn version_propagation_time_is_bounded() {
    for (count, max_ms) in [(7, 3_000), (40, 5_000), (120, 7_000)] {
        let mut net = GossipNet::new(count, 10);
        net.run_until(120_000, GossipNet::all_agreed).expect("all instances agree on shares");
        net.set_config_version(0, 2);
        let elapsed_ms = net
            .run_until(60_000, |n| n.all_know_version(2))
            .expect("all instances learn of the version");
        assert!(elapsed_ms <= max_ms, "{elapsed_ms} ms with {count} instances");
    }
}

/// Without faults a query costs one request per shard plus hedges, and causes no platform calls.
#[actix_web::test]
async fn query_costs_one_request_per_shard() {
    let cluster = common::cluster(2, 4).await;
    let calls_before: u64 = cluster.platform_calls().await.unwrap().values().sum();
    let before = common::part_count(&cluster).await;
    let report = load::run(&common::load_options(&cluster, 50, 4)).await.unwrap();
    let parts = common::part_count(&cluster).await - before;
    let calls: u64 = cluster.platform_calls().await.unwrap().values().sum::<u64>() - calls_before;
    let expected_parts = report.full * 4;
    // Hedges: 5 % of the parts, plus an accumulated budget of up to 20 on each instance.
    assert!(
        parts >= expected_parts && parts <= expected_parts * 105 / 100 + 40,
        "{parts} for {expected_parts}"
    );
    // Each of the two instances reads the list every few seconds and keeps a watch.
    assert!(calls <= 30, "{calls} platform calls");
}
