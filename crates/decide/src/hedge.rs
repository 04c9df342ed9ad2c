//! Latency quantile that determines when a late part is hedged.

/// Number of buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: u32 = 8;
/// Number of buckets, which cover 1 microsecond to about 2 minutes.
const BUCKET_COUNT: usize = 27 * BUCKETS_PER_OCTAVE as usize;
/// Number of counted parts at which all counts are halved.
const HALVE_AFTER_PARTS: u32 = 4096;
/// Minimum number of measured parts for a valid quantile.
const MIN_PARTS: u32 = 64;

/// Quantile of recent part latencies in constant memory.
///
/// A histogram with eight equal buckets per doubling, each 7 to 13 % wide. Counts are halved
/// regularly so that the quantile follows the load.
#[derive(Debug, Clone)]
pub struct LatencyQuantile {
    counts: Vec<u32>,
    total: u32,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self { counts: vec![0; BUCKET_COUNT], total: 0 }
    }
}

impl LatencyQuantile {
    /// Records one measured latency.
    pub fn record(&mut self, latency_us: u64) {
        self.counts[bucket(latency_us)] += 1;
        self.total += 1;
        if self.total >= HALVE_AFTER_PARTS {
            self.halve();
        }
    }

    /// Returns the latency that `per_mille` of recent parts do not exceed, or `None` if unknown.
    #[must_use]
    pub fn value_us(&self, per_mille: u32) -> Option<u64> {
        if self.total < MIN_PARTS {
            return None;
        }
        let target_count = u64::from(self.total) * u64::from(per_mille) / 1000;
        let mut seen = 0;
        for (i, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if seen > target_count {
                return Some(upper_bound_us(i));
            }
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(latency_us: u64) -> usize {
    let value = latency_us.max(1);
    let octave = value.ilog2();
    let remainder = value - (1 << octave);
    let step = (remainder * u64::from(BUCKETS_PER_OCTAVE)) >> octave;
    let index = octave as usize * BUCKETS_PER_OCTAVE as usize + usize::try_from(step).unwrap_or(0);
    index.min(BUCKET_COUNT - 1)
}

fn upper_bound_us(bucket: usize) -> u64 {
    let octave = bucket / BUCKETS_PER_OCTAVE as usize;
    let step = (bucket % BUCKETS_PER_OCTAVE as usize) as u64 + 1;
    (1 << octave) + ((step << octave) / u64::from(BUCKETS_PER_OCTAVE))
}
