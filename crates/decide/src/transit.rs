//! How long a question was on its way, where the clocks of both ends differ.
//!
//! A question says how much time is left, counted from when it was sent. An instance that is
//! frozen for a second and a half finds it on its connection when it wakes, and would hand
//! replicas all of that time again: they worked for callers who had long been answered. The two
//! clocks have nothing in common but their pace, so the shortest way of the questions of one
//! connection is taken for the usual one, and what is beyond it for delay.

/// Time in milliseconds in which the clocks may drift apart by one: a hundred parts in a million,
/// more than servers' clocks do. A connection that is kept for hours would look ever later.
const DRIFT_EVERY_MS: u64 = 10_000;

/// What is known of the ways of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Transit {
    /// Least difference of the clocks at both ends of a question's way, and as of when.
    least: Option<(i64, u64)>,
}

impl Transit {
    /// Milliseconds beyond the usual that a question was on its way, which was sent at `sent_ms`
    /// of the sender's clock and read at `now_ms` of this one.
    pub fn late_ms(&mut self, sent_ms: u64, now_ms: u64) -> u64 {
        let difference = signed(now_ms) - signed(sent_ms);
        let usual = self.least.map_or(difference, |(least, since_ms)| {
            least + signed(now_ms.saturating_sub(since_ms) / DRIFT_EVERY_MS)
        });
        if difference <= usual {
            self.least = Some((difference, now_ms));
        }
        u64::try_from(difference - usual).unwrap_or(0)
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
