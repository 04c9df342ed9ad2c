//! Upper bounds on machine-independent costs: gossip traffic in virtual time, and requests to
//! backend servers and to the platform.

mod common;

use eelgrasspier_standin::gossip_net::Net;
use eelgrasspier_standin::load;

/// Gossip traffic per instance is bounded independently of the cluster size, and each datagram
/// fits into one packet.
#[test]
fn gossip_is_bounded_for_each_instance() {
    const MOST_BYTES_PER_S: u64 = 6_000;
    const ONE_PACKET_BYTES: u64 = 1_400;
    for count in [7, 40, 120] {
        let mut net = Net::new(count, 10);
        net.until(120_000, Net::is_joined).expect("all instances join");
        net.until(120_000, Net::is_agreed).expect("all instances agree on shares");
        let (before, start_ms) = (net.sent_bytes, net.now_ms());
        net.until(10_000, |_| false);
        let each = (net.sent_bytes - before) * 1000 / (net.now_ms() - start_ms) / count as u64;
        assert!(each <= MOST_BYTES_PER_S, "{each} bytes/s per instance with {count} instances");
        assert!(net.longest_bytes <= ONE_PACKET_BYTES, "{} bytes", net.longest_bytes);
    }
}

/// The time until all instances know a new version grows slowly with the cluster size.
#[test]
fn a_version_spreads_in_few_rounds() {
    for (count, most_ms) in [(7, 3_000), (40, 5_000), (120, 7_000)] {
        let mut net = Net::new(count, 10);
        net.until(120_000, Net::is_agreed).expect("all instances agree on shares");
        net.put_in_force(0, 2);
        let took =
            net.until(60_000, |n| n.all_heard_of(2)).expect("all instances learn of the version");
        assert!(took <= most_ms, "{took} ms with {count} instances");
    }
}

/// Without faults a query costs one request per shard plus hedges, and causes no platform calls.
#[actix_web::test]
async fn a_query_costs_one_exchange_for_each_shard() {
    let fleet = common::fleet(2, 4).await;
    let calls_before: u64 = fleet.platform_calls().await.unwrap().values().sum();
    let before = common::parts(&fleet).await;
    let report = load::run(&common::load_plan(&fleet, 50, 4)).await.unwrap();
    let parts = common::parts(&fleet).await - before;
    let calls: u64 = fleet.platform_calls().await.unwrap().values().sum::<u64>() - calls_before;
    let ordinary = report.full * 4;
    // Hedges: 5 % of the parts, plus an accumulated budget of up to 20 on each instance.
    assert!(parts >= ordinary && parts <= ordinary * 105 / 100 + 40, "{parts} for {ordinary}");
    // Each of the two instances reads the list every few seconds and keeps a watch.
    assert!(calls <= 30, "{calls} platform calls");
}
