//! End-to-end tests with instances, backend servers and platform as separate processes.

mod common;

use eelgrasspier_standin::load;

/// Names and values of request headers.
type Headers = &'static [(&'static str, &'static str)];

/// Answers from several instances are complete, from one snapshot and with accurate coverage;
/// the load generator checks every answer.
#[actix_web::test]
async fn queries_cover_all_shards() {
    let cluster = common::cluster(3, 4).await;
    let report = load::run(&common::load_options(&cluster, 20, 3)).await.unwrap();
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.lost.len(), 0, "{report}");
    assert!(report.full > 0, "{report}");
}

/// An instance without faults exports every metric that docs/METRICS.md lists for it.
#[actix_web::test]
async fn listed_metrics_are_exported() {
    let cluster = common::cluster(1, 2).await;
    let headers = &[("deadline-ms", "2000")];
    common::send_query(&cluster, 0, common::SERVICE, headers, vec![]).await.answer();
    let listed = [
        "eelgrasspier_query_seconds",
        "eelgrasspier_added_seconds",
        "eelgrasspier_shards_covered_total",
        "eelgrasspier_parts_total{cause=\"first\"}",
        "eelgrasspier_platform_calls_total{kind=\"instances\"}",
        "eelgrasspier_connections_allowed{service=\"search\"}",
        "eelgrasspier_connections_used{service=\"search\"}",
        "eelgrasspier_members 1",
        "eelgrasspier_share_agreed 1",
        "eelgrasspier_text_version 1",
        "eelgrasspier_control_cpu_seconds",
    ];
    eelgrasspier_standin::cluster::wait_until("every metric is exported", async || {
        let text = cluster.metrics(0).await.unwrap();
        listed.iter().all(|name| text.contains(name))
    })
    .await
    .unwrap();
}

/// Invalid requests are refused with a message that names the error, and don't reach any backend
/// server.
#[actix_web::test]
async fn invalid_requests_are_refused_without_backend_requests() {
    let cluster = common::cluster(1, 2).await;
    let before = common::part_count(&cluster).await;
    let cases: [(&str, Headers, u16, &str); 8] = [
        ("search", &[], 400, "deadline-ms is required"),
        ("search", &[("deadline-ms", "soon")], 400, "deadline-ms makes no sense: soon"),
        ("search", &[("deadline-ms", "0")], 400, "between 1 and"),
        ("search", &[("deadline-ms", "99999999")], 400, "between 1 and"),
        ("nothing", &[("deadline-ms", "100")], 404, "unknown service nothing"),
        ("search", &[("deadline-ms", "100"), ("shards", "7")], 400, "unknown shard 7"),
        ("search", &[("deadline-ms", "100"), ("shards", "5-2")], 400, "shards makes no sense"),
        ("search", &[("deadline-ms", "100"), ("least-coverage-percent", "101")], 400, "101"),
    ];
    for (service, headers, status, detail) in cases {
        let answer = common::send_query(&cluster, 0, service, headers, b"q".to_vec()).await;
        assert_eq!(answer.status, status, "{headers:?}: {}", answer.text());
        let problem = answer.problem();
        assert!(problem.detail.contains(detail), "{headers:?}: {}", problem.detail);
        assert_eq!(problem.verdict, "not_run");
    }
    let oversized = vec![b'x'; 65 * 1024];
    let answer =
        common::send_query(&cluster, 0, "search", &[("deadline-ms", "100")], oversized).await;
    assert_eq!(answer.status, 413, "{}", answer.text());
    assert_eq!(common::part_count(&cluster).await, before);
}
