//! Counts of the last two seconds.

/// Length of a span, in milliseconds.
const SPAN_MS: u64 = 250;
/// Number of spans that are counted: two seconds.
pub(super) const SPANS: u64 = 8;
const SPAN_COUNT: usize = 8;

/// Count of events in each of the latest spans.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentCount {
    counts: [u32; SPAN_COUNT],
    /// Number of the latest span with an event, since the start of the process.
    last_span: u64,
}

impl RecentCount {
    /// Counts an event.
    pub(super) fn add(&mut self, now_ms: u64) {
        let span = (now_ms / SPAN_MS).max(self.last_span);
        let skipped = (span - self.last_span).min(SPANS);
        for earlier in 0..skipped {
            self.counts[position(span - earlier)] = 0;
        }
        self.last_span = span;
        let count = &mut self.counts[position(span)];
        *count = count.saturating_add(1);
    }

    /// Returns the number of events in the last `spans` spans, including the current one.
    pub(super) fn sum(&self, spans: u64, now_ms: u64) -> u32 {
        let now_span = (now_ms / SPAN_MS).max(self.last_span);
        let first = (now_span + 1).saturating_sub(spans.min(SPANS));
        (first..=self.last_span).map(|span| self.counts[position(span)]).sum()
    }
}

fn position(span: u64) -> usize {
    usize::try_from(span % SPANS).unwrap_or(0)
}
