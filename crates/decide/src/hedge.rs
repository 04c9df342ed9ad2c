//! When a part that is late is asked for again from another replica.

/// Buckets per doubling of the latency.
const STEPS_PER_OCTAVE: u32 = 8;
/// Number of buckets; covers 1 microsecond to about 2 minutes.
const BUCKETS: usize = 27 * STEPS_PER_OCTAVE as usize;
/// Parts after which old measurements count half.
const HALVE_AFTER: u32 = 4096;
/// Parts that must be measured before the quantile is trusted.
const LEAST_PARTS: u32 = 64;

/// A quantile of recent part latencies, tracked in constant memory.
///
/// A histogram with geometric buckets whose counts are halved from time to time,
/// so that it follows the load; one bucket is 9 % wide.
#[derive(Debug, Clone)]
pub struct Quantile {
    counts: Vec<u32>,
    total: u32,
}

impl Default for Quantile {
    fn default() -> Self {
        Self { counts: vec![0; BUCKETS], total: 0 }
    }
}

impl Quantile {
    /// Notes one measured latency.
    pub fn record(&mut self, latency_us: u64) {
        self.counts[bucket(latency_us)] += 1;
        self.total += 1;
        if self.total >= HALVE_AFTER {
            self.halve();
        }
    }

    /// The latency that `per_mille` of recent parts stay within; `None` if unknown.
    #[must_use]
    pub fn value_us(&self, per_mille: u32) -> Option<u64> {
        if self.total < LEAST_PARTS {
            return None;
        }
        let wanted = u64::from(self.total) * u64::from(per_mille) / 1000;
        let mut seen = 0;
        for (i, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if seen > wanted {
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
    let rest = value - (1 << octave);
    let step = (rest * u64::from(STEPS_PER_OCTAVE)) >> octave;
    let index = octave as usize * STEPS_PER_OCTAVE as usize + usize::try_from(step).unwrap_or(0);
    index.min(BUCKETS - 1)
}

fn upper_bound_us(bucket: usize) -> u64 {
    let octave = bucket / STEPS_PER_OCTAVE as usize;
    let step = (bucket % STEPS_PER_OCTAVE as usize) as u64 + 1;
    (1 << octave) + ((step << octave) / u64::from(STEPS_PER_OCTAVE))
}
