//! Regression bounds on counts that do not depend on the machine: datagrams and
//! bytes in virtual time, messages to backend servers and to the platform.

mod common;

use eelgrasspier_standin::gossip_net::Net;
use eelgrasspier_standin::load;

/// Gossip stays within a few kilobytes a second for each instance, whatever their
/// number, and no datagram needs more than one packet.
#[test]
fn gossip_is_bounded_for_each_instance() {
    const MOST_BYTES_PER_S: u64 = 6_000;
    const ONE_PACKET_BYTES: u64 = 1_400;
    for count in [7, 40, 120] {
        let mut net = Net::new(count, 10);
        net.until(120_000, Net::is_joined).expect("all know each other");
        net.until(120_000, Net::is_agreed).expect("all agree on shares");
        let (before, start_ms) = (net.sent_bytes, net.now_ms());
        net.until(10_000, |_| false);
        let each = (net.sent_bytes - before) * 1000 / (net.now_ms() - start_ms) / count as u64;
        assert!(each <= MOST_BYTES_PER_S, "{each} bytes a second with {count} instances");
        assert!(net.longest_bytes <= ONE_PACKET_BYTES, "{} bytes", net.longest_bytes);
    }
}

/// A version is heard of everywhere within a number of rounds that grows slowly.
#[test]
fn a_version_spreads_in_few_rounds() {
    for (count, most_ms) in [(7, 3_000), (40, 5_000), (120, 7_000)] {
        let mut net = Net::new(count, 10);
        net.until(120_000, Net::is_agreed).expect("all agree on shares");
        net.put_in_force(0, 2);
        let took = net.until(60_000, |n| n.all_heard_of(2)).expect("all hear of it");
        assert!(took <= most_ms, "{took} ms with {count} instances");
    }
}

/// Without faults a query costs one exchange for each shard but for hedges, and the
/// platform is asked no more for it.
#[actix_web::test]
async fn a_query_costs_one_exchange_for_each_shard() {
    let fleet = common::fleet(2, 4).await;
    let calls_before: u64 = fleet.platform_calls().await.unwrap().values().sum();
    let before = common::parts(&fleet).await;
    let report = load::run(&common::load_plan(&fleet, 50, 4)).await.unwrap();
    let parts = common::parts(&fleet).await - before;
    let calls: u64 = fleet.platform_calls().await.unwrap().values().sum::<u64>() - calls_before;
    let ordinary = report.full * 4;
    // Hedges: 5 % and the 20 that each instance may have saved up.
    assert!(parts >= ordinary && parts <= ordinary * 105 / 100 + 40, "{parts} for {ordinary}");
    // Two instances: a list read every few seconds and a watch each.
    assert!(calls <= 30, "{calls} platform calls");
}
