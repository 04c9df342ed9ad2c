//! How many requests may be sent to a second replica, for each service.
//!
//! All instances together may add `ratio` x the requests for a service, and a fixed
//! slack, in every span of the window. The ratio is split by itself, since each
//! instance counts its own requests; the slack is split by the number of instances.

use std::collections::VecDeque;

/// Spans into which the window is cut; a span is counted whole while any of it counts.
const SPANS_PER_WINDOW: u64 = 20;
/// Part of the slack that is used, in thousandths.
///
/// An instance that restarts has forgotten what it spent, and one that joins makes the
/// others' parts too large for a moment: half is left for them.
const SLACK_USED_MILLI: u64 = 500;
/// Part of the ratio that is used, in thousandths; arrivals and requests are counted at
/// different moments by those who check.
const RATIO_USED_MILLI: u64 = 850;
const MILLI: u64 = 1000;
/// Part of the slack of the instances that gather, in hundredths, where others do not: nearly
/// all repeats are sent by those who gather.
const GATHERERS_PERCENT: u64 = 80;

/// Number of instances by which the slack is divided for one of them.
///
/// `other_gatherers` of the other instances gather; `is_gatherer` if this one does.
#[must_use]
pub fn sharers_of_slack(instances: u64, other_gatherers: u64, is_gatherer: bool) -> u64 {
    let gatherers = other_gatherers + u64::from(is_gatherer);
    let rest = instances.saturating_sub(gatherers);
    match (rest, is_gatherer) {
        (0, _) => instances,
        (_, true) => (gatherers * 100).div_ceil(GATHERERS_PERCENT),
        (_, false) => (rest * 100).div_ceil(100 - GATHERERS_PERCENT),
    }
}

/// What all instances together may add.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimits {
    /// Second sends for each request, in thousandths.
    pub ratio_milli: u64,
    /// Second sends on top of that in each window, over all instances.
    pub slack: u64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Span {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Account of one service at one instance.
#[derive(Debug, Clone, Default)]
pub struct Allowance {
    spans: VecDeque<Span>,
}

impl Allowance {
    /// Notes a request whose first send goes to the service.
    pub fn note_request(&mut self, limits: &RepeatLimits, now_ms: u64) {
        self.span(limits, now_ms).requests += 1;
    }

    /// Takes one second send; returns whether there was one.
    ///
    /// `instances` is the number of instances that share the slack.
    pub fn take(&mut self, limits: &RepeatLimits, instances: u64, now_ms: u64) -> bool {
        let (repeats_milli, most_milli) = self.balance(limits, instances, now_ms);
        if repeats_milli + MILLI > most_milli {
            return false;
        }
        self.span(limits, now_ms).repeats += 1;
        true
    }

    /// Whether more than half of what may be sent now has been sent.
    pub fn is_scarce(&mut self, limits: &RepeatLimits, instances: u64, now_ms: u64) -> bool {
        let (repeats_milli, most_milli) = self.balance(limits, instances, now_ms);
        2 * repeats_milli > most_milli
    }

    /// Part of what may be sent now that has been sent, from 0 to 1.
    pub fn spent(&mut self, limits: &RepeatLimits, instances: u64, now_ms: u64) -> f64 {
        let (repeats_milli, most_milli) = self.balance(limits, instances, now_ms);
        let figure = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        (figure(repeats_milli) / figure(most_milli).max(1.0)).min(1.0)
    }

    /// Second sends in the window and the most there may be, both in thousandths.
    fn balance(&mut self, limits: &RepeatLimits, instances: u64, now_ms: u64) -> (u64, u64) {
        self.span(limits, now_ms);
        // The oldest span may have left the window for requests, but not for repeats.
        let requests: u64 = self.spans.iter().skip(1).map(|s| s.requests).sum();
        let repeats: u64 = self.spans.iter().map(|s| s.repeats).sum();
        let by_ratio = requests * limits.ratio_milli * RATIO_USED_MILLI / MILLI;
        let by_slack = limits.slack * SLACK_USED_MILLI / instances.max(1);
        (repeats * MILLI, by_ratio + by_slack)
    }

    fn span(&mut self, limits: &RepeatLimits, now_ms: u64) -> &mut Span {
        let length_ms = (limits.window_ms / SPANS_PER_WINDOW).max(1);
        let number = now_ms / length_ms;
        while self.spans.front().is_some_and(|s| s.number + SPANS_PER_WINDOW < number) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|s| s.number != number) {
            self.spans.push_back(Span { number, requests: 0, repeats: 0 });
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
}
