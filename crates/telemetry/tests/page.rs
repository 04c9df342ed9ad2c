//! Tests of the rendered metrics page.

use eelgrasspier_telemetry::{LatencyHistogram, MetricsExporter};

const LATENCY: LatencyHistogram =
    LatencyHistogram { name: "answer_seconds", help: "Time to an answer.", labels: &["outcome"] };

#[test]
fn counters_gauges_and_latencies_are_on_the_page() {
    let exporter = MetricsExporter::install(&[LATENCY]).unwrap();
    metrics::counter!("answers_total", "outcome" => "merged").increment(2);
    metrics::gauge!("version").set(7.0);
    metrics::histogram!("answer_seconds", "outcome" => "merged").record(0.02);
    metrics::histogram!("answer_seconds", "outcome" => "refused").record(5.0);
    let text = exporter.render().unwrap();
    for line in [
        "answers_total{outcome=\"merged\"} 2",
        "version 7",
        "answer_seconds_count{outcome=\"merged\"} 1",
        "answer_seconds_bucket{outcome=\"refused\",le=\"+Inf\"} 1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    let is_low_bucket =
        |l: &&str| l.starts_with("answer_seconds_bucket{outcome=\"merged\",le=\"0.0");
    let counts: Vec<&str> =
        text.lines().filter(is_low_bucket).filter_map(|l| l.split(' ').nth(1)).collect();
    assert!(counts.contains(&"0") && counts.contains(&"1"), "{counts:?}");
    assert!(MetricsExporter::install(&[]).is_err(), "a second recorder was set up");
}
