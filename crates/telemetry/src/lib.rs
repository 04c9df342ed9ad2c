//! Counters, gauges and latency histograms, served as Prometheus' text.
//!
//! The recorder calibrates no clock: the one used before measured the processor's counter
//! against the system's clock at each start, for up to 200 ms of processor time on an instance
//! with an eighth of a core, in the very moments after a restart of everything.

use std::sync::Arc;

use displaydoc::Display;
use metrics_prometheus::Recorder;
use prometheus::{HistogramOpts, HistogramVec, Registry, TextEncoder};

/// Upper bound of the first bucket of a latency, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Each bucket is so many times as wide as the one before: a quantile is known to a fifth.
const BUCKET_RATIO: f64 = 1.5;
/// Number of buckets; the last one ends at 2.2 s, beyond the longest deadline of callers.
const BUCKETS: usize = 20;

/// The metrics can't be set up.
#[derive(Debug, Display, thiserror::Error)]
pub enum TelemetryError {
    /// histogram {0} can't be registered: {1}
    Histogram(&'static str, #[source] prometheus::Error),
    /// there is another recorder already: {0}
    Taken(String),
}

/// A histogram of latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Latency {
    /// Name of the metric, with its unit as suffix.
    pub name: &'static str,
    /// What it measures, on one line.
    pub help: &'static str,
    /// Its labels.
    pub labels: &'static [&'static str],
}

impl Latency {
    fn to_metric(self) -> Result<HistogramVec, TelemetryError> {
        let failed = |error| TelemetryError::Histogram(self.name, error);
        let buckets = prometheus::exponential_buckets(FIRST_BUCKET_S, BUCKET_RATIO, BUCKETS);
        let options = HistogramOpts::new(self.name, self.help).buckets(buckets.map_err(failed)?);
        HistogramVec::new(options, self.labels).map_err(failed)
    }
}

/// The metrics of this process as a page of text.
#[derive(Debug, Clone)]
pub struct Page(Arc<Registry>);

impl Page {
    /// Records all metrics of this process from now on, `latencies` with buckets.
    ///
    /// # Errors
    /// Fails if a name is taken or no metric name, or if another recorder was set up before.
    pub fn install(latencies: &[Latency]) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let recorder = Recorder::builder()
            .with_registry(&registry)
            .try_build_and_install()
            .map_err(|e| TelemetryError::Taken(e.to_string()))?;
        for latency in latencies {
            let registered = recorder.try_register_metric(latency.to_metric()?);
            registered.map_err(|e| TelemetryError::Histogram(latency.name, e))?;
        }
        Ok(Self(Arc::new(registry)))
    }

    /// All metrics in Prometheus' text format.
    ///
    /// # Errors
    /// Fails if a metric has no valid form.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.0.gather())
    }
}
