//! Tail latency, coverage and extra load of a load test, and violated guarantees.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Maximum latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Maximum number of violations that are kept.
const MAX_VIOLATIONS: usize = 20;

/// Measurements collected during a load test.
#[derive(Debug)]
pub struct LoadStats {
    latency_us: Histogram<u64>,
    accepted_us: Histogram<u64>,
    refused_us: Histogram<u64>,
    /// Queries sent.
    pub offered: u64,
    /// Answers received within the deadline.
    pub in_time: u64,
    /// Answers received after the deadline.
    pub late: u64,
    /// Answers that cover all shards.
    pub full: u64,
    /// Missed shards by reason.
    pub missed: BTreeMap<String, u64>,
    /// Refusals by verdict and kind.
    pub refused: BTreeMap<String, u64>,
    /// Queries without an answer, by error.
    pub lost: BTreeMap<String, u64>,
    /// Shards covered, summed over all answers.
    pub covered_shards: u64,
    /// Shards expected, summed over all answers.
    pub expected_shards: u64,
    /// Violated guarantees, up to [`MAX_VIOLATIONS`].
    pub violations: Vec<String>,
}

impl Default for LoadStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_US, 3)
                .unwrap_or_else(|e| unreachable!("fixed bounds are valid: {e}"))
        };
        Self {
            latency_us: histogram(),
            accepted_us: histogram(),
            refused_us: histogram(),
            offered: 0,
            in_time: 0,
            late: 0,
            full: 0,
            missed: BTreeMap::new(),
            refused: BTreeMap::new(),
            lost: BTreeMap::new(),
            covered_shards: 0,
            expected_shards: 0,
            violations: Vec::new(),
        }
    }
}

impl LoadStats {
    /// Records the latency of an answered query.
    pub fn record_answer(&mut self, elapsed_us: u64) {
        self.latency_us.saturating_record(elapsed_us);
        self.accepted_us.saturating_record(elapsed_us);
    }

    /// Records a refusal and its latency.
    pub fn record_refusal(&mut self, kind: String, elapsed_us: u64) {
        *self.refused.entry(kind).or_default() += 1;
        self.refused_us.saturating_record(elapsed_us);
    }

    /// Records a query without an answer; its latency counts as the histogram's maximum.
    pub fn record_failure(&mut self, error: String) {
        *self.lost.entry(error).or_default() += 1;
        self.latency_us.saturating_record(MAX_LATENCY_US);
    }

    /// Records a violated guarantee.
    pub fn record_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Returns the report; `parts` is the number that backend servers started during the test.
    #[must_use]
    pub fn report(&self, parts: u64, expected_parts: u64) -> Report {
        const US_PER_MS: f64 = 1000.0;
        let percentile_ms = |histogram: &Histogram<u64>, quantile: f64| {
            ratio(histogram.value_at_quantile(quantile), 1) / US_PER_MS
        };
        Report {
            offered: self.offered,
            in_time: self.in_time,
            late: self.late,
            full: self.full,
            missed: self.missed.clone(),
            refused: self.refused.clone(),
            lost: self.lost.clone(),
            p50_ms: percentile_ms(&self.latency_us, 0.50),
            p99_ms: percentile_ms(&self.latency_us, 0.99),
            p999_ms: percentile_ms(&self.latency_us, 0.999),
            refused_p99_ms: percentile_ms(&self.refused_us, 0.99),
            coverage_percent: ratio(self.covered_shards * 100, self.expected_shards),
            extra_load_percent: ratio(parts * 100, expected_parts) - 100.0,
            violations: self.violations.clone(),
        }
    }
}

/// Returns a quotient for display, or 0 if the divisor is 0.
#[expect(clippy::cast_precision_loss, reason = "for display only")]
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Results of a load test.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Queries sent.
    pub offered: u64,
    /// Answers received within the deadline.
    pub in_time: u64,
    /// Answers received after the deadline, which are worthless to callers.
    pub late: u64,
    /// Answers that cover all shards.
    pub full: u64,
    /// Missed shards by reason.
    pub missed: BTreeMap<String, u64>,
    /// Refusals by verdict and kind.
    pub refused: BTreeMap<String, u64>,
    /// Queries without an answer, by error.
    pub lost: BTreeMap<String, u64>,
    /// Median latency; queries without an answer count as the maximum.
    pub p50_ms: f64,
    /// 99th percentile of latency.
    pub p99_ms: f64,
    /// 99.9th percentile of latency.
    pub p999_ms: f64,
    /// 99th percentile of the latency of refusals.
    pub refused_p99_ms: f64,
    /// Percentage of the expected shards that answers covered.
    pub coverage_percent: f64,
    /// Parts started beyond one for each expected shard, as a percentage.
    pub extra_load_percent: f64,
    /// Violated guarantees; any entry is a failure.
    pub violations: Vec<String>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "offered {}  in time {}  late {}  full {}  missed {:?}  refused {:?}  lost {:?}",
            self.offered, self.in_time, self.late, self.full, self.missed, self.refused, self.lost
        )?;
        writeln!(
            f,
            "tail latency  p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms  (refusals p99 {:.1} ms)",
            self.p50_ms, self.p99_ms, self.p999_ms, self.refused_p99_ms
        )?;
        writeln!(f, "coverage      {:.3} %", self.coverage_percent)?;
        writeln!(f, "extra load    {:.2} %", self.extra_load_percent)?;
        write!(f, "violated guarantees: {}", self.violations.len())?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}
