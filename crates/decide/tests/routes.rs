//! Route lookup by host and longest prefix, weighted splits, and minimum coverage.

use std::collections::HashMap;
use std::sync::Arc;

use eelgrasspier_decide::route::{
    Configuration, Route, RouteTable, Target, WeightedRoundRobin, WeightedService,
};

fn route(name: &str, host: &str, path_prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        target: Target::Service("s".into()),
        is_idempotent: true,
        attempts: 2,
        timeout_ms: 400,
        target_latency_ms: 80,
        priority: 1,
        top_k: 5,
        min_coverage: 0.89,
        home_regions: [].into(),
        is_public: false,
    })
}

fn find_name(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|r| r.name.to_string())
}

/// Guards against running requests for similar names on another service: a path under another host,
/// or a prefix without its final slash, must not match.
#[test]
fn only_the_longest_prefix_of_the_host_matches() {
    let routes = vec![
        route("short", "h.example", "/a/"),
        route("long", "h.example", "/a/b/"),
        route("other", "x", "/a/"),
    ];
    let table = RouteTable::from(&Configuration { routes, ..Configuration::default() });
    assert_eq!(find_name(&table, "h.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find_name(&table, "H.Example:80", "/a/bc").as_deref(), Some("short"));
    assert_eq!(find_name(&table, "x", "/a/b/c").as_deref(), Some("other"));
    for (host, path) in [("h.example", "/a"), ("h.example", "/ab/"), ("y", "/a/"), ("", "/a/")] {
        assert_eq!(find_name(&table, host, path), None, "{host}{path}");
    }
}

#[test]
fn a_split_stays_within_one_request_of_its_weights() {
    let split = [("a", 5.0), ("b", 3.0), ("c", 2.0), ("none", 0.0)]
        .map(|(service, weight)| WeightedService { service: service.into(), weight });
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts: HashMap<String, f64> = HashMap::new();
    for turn in 1..=1000 {
        let service = round_robin.next_service(&split).unwrap();
        *counts.entry(service.to_string()).or_default() += 1.0;
        for part in &split[..3] {
            let expected = f64::from(turn) * part.weight / 10.0;
            let count = counts.get(&*part.service).copied().unwrap_or_default();
            assert!((count - expected).abs() <= 1.5, "{} {count} {expected}", part.service);
        }
    }
    assert!(!counts.contains_key("none"));
}

#[test]
fn minimum_coverage_is_rounded_up_without_rounding_errors() {
    let with_min_coverage =
        |min_coverage| Route { min_coverage, ..(*route("r", "h", "/")).clone() };
    assert_eq!(with_min_coverage(0.89).min_shards(20), 18);
    assert_eq!(with_min_coverage(0.75).min_shards(20), 15);
    assert_eq!(with_min_coverage(0.95).min_shards(90), 86);
    assert_eq!(with_min_coverage(0.9).min_shards(10), 9);
    assert_eq!(with_min_coverage(0.0).min_shards(10), 1);
    assert_eq!(with_min_coverage(1.0).min_shards(30), 30);
}
