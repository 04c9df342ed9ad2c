//! Counters, gauges and latency histograms, exported in the Prometheus text format.
//!
//! The recorder does not calibrate a clock. The one used before compared the processor's cycle
//! counter with the system clock at each start, which took up to 200 ms of processor time on an
//! instance with an eighth of a core, at the worst moment: right after a restart of all instances.

use std::sync::Arc;

use displaydoc::Display;
use metrics_prometheus::Recorder;
use prometheus::{HistogramOpts, HistogramVec, Registry, TextEncoder};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Ratio of successive bucket bounds; quantiles are accurate to about 20%.
const BUCKET_RATIO: f64 = 1.5;
/// Number of buckets; the last bound is 2.2 s, above the longest deadline of callers.
const BUCKET_COUNT: usize = 20;

/// Error of the metrics setup.
#[derive(Debug, Display, thiserror::Error)]
pub enum TelemetryError {
    /// failed to register histogram {0}: {1}
    Histogram(&'static str, #[source] prometheus::Error),
    /// another metrics recorder is already installed: {0}
    RecorderInstalled(String),
}

/// Definition of a latency histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyHistogram {
    /// Name of the metric, with its unit as suffix.
    pub name: &'static str,
    /// Help text, on one line.
    pub help: &'static str,
    /// Label names.
    pub labels: &'static [&'static str],
}

impl LatencyHistogram {
    fn to_metric(self) -> Result<HistogramVec, TelemetryError> {
        let to_error = |error| TelemetryError::Histogram(self.name, error);
        let buckets = prometheus::exponential_buckets(FIRST_BUCKET_S, BUCKET_RATIO, BUCKET_COUNT);
        let options = HistogramOpts::new(self.name, self.help).buckets(buckets.map_err(to_error)?);
        HistogramVec::new(options, self.labels).map_err(to_error)
    }
}

/// Exporter of this process's metrics as text.
#[derive(Debug, Clone)]
pub struct MetricsExporter(Arc<Registry>);

impl MetricsExporter {
    /// Installs the recorder of all metrics of this process, with the given latency `histograms`.
    ///
    /// # Errors
    /// Fails if a name is taken or invalid, or if another recorder is already installed.
    pub fn install(histograms: &[LatencyHistogram]) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let recorder = Recorder::builder()
            .with_registry(&registry)
            .try_build_and_install()
            .map_err(|e| TelemetryError::RecorderInstalled(e.to_string()))?;
        for histogram in histograms {
            let registered = recorder.try_register_metric(histogram.to_metric()?);
            registered.map_err(|e| TelemetryError::Histogram(histogram.name, e))?;
        }
        Ok(Self(Arc::new(registry)))
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails if a metric can't be encoded.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.0.gather())
    }
}
