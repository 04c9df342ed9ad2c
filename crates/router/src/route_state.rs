//! Per-route state: latency quantiles, traffic split and the longest deadline of callers.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use eelgrasspier_decide::hedge::LatencyQuantile;
use eelgrasspier_decide::route::WeightedRoundRobin;

/// Typical latency assumed until enough answers have been measured, in milliseconds.
const INITIAL_TYPICAL_MS: f64 = 10.0;
/// Time without a new sample after which the typical latency is measured afresh, in milliseconds.
///
/// In a fleet of 195 instances each one gets a request of a route about every ten seconds. Its
/// first samples after a start come from replicas to which all instances connect at once, and would
/// stay in use for just as long, although such queues last a few seconds at most.
const TYPICAL_LATENCY_TTL_MS: u64 = 2_000;
/// Divisor of the target latency that gives the upper limit of the typical latency.
///
/// A high typical latency must not cause refusals. Anything above this limit is tracked for each
/// replica as its own latency ratio, which expires within seconds once it is no longer true.
/// Without the limit three instances in a hundred refused every request of a route after a power
/// loss.
const MAX_TYPICAL_DIVISOR: f64 = 3.0;
/// Latency quantile after which a send is hedged.
const HEDGE_PER_MILLE: u32 = 940;
/// Latency quantile after which a send is hedged while the retry budget is low.
///
/// The budget is then reserved for replicas that are paused or lost, about 5 % of all parts.
const LOW_BUDGET_HEDGE_PER_MILLE: u32 = 960;
/// Quantile used as the typical latency: the median.
const MEDIAN_PER_MILLE: u32 = 500;
/// Minimum hedge delay in milliseconds; anything less is within network jitter.
const MIN_HEDGE_DELAY_MS: u64 = 4;
/// Divisor of the target latency that gives the minimum hedge delay.
///
/// An answer within this time meets the target without a hedge, and hedges cross zones.
const MIN_HEDGE_DIVISOR: u64 = 6;
/// Divisor for the minimum hedge delay while the retry budget is low.
const LOW_BUDGET_MIN_HEDGE_DIVISOR: u64 = 5;
/// Divisor of the target latency that gives the maximum hedge delay.
///
/// With many shards some are late in most requests, and the other replica may have a queue too.
const MAX_HEDGE_DIVISOR: u64 = 4;
/// Latency quantile of merged answers after which the gathering instance is probed.
const RELAY_PROBE_PER_MILLE: u32 = 800;
/// Divisor of the target latency that gives the maximum delay of that probe.
const MAX_RELAY_PROBE_DIVISOR: u64 = 3;

/// Latency parameters of one request, computed when it starts.
///
/// They hardly change during a request, and computing the quantiles for each send took about 4 % of
/// the daemon's instructions at 40 shards.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Timing {
    /// Typical latency of one exchange, in milliseconds.
    pub(crate) typical_ms: f64,
    /// Target latency of the route, in milliseconds.
    pub(crate) target_ms: f64,
    /// Delay before a send may be hedged, in milliseconds.
    pub(crate) hedge_delay_ms: u64,
    /// Delay before a send may be hedged while the retry budget is low, in milliseconds.
    pub(crate) low_budget_hedge_delay_ms: u64,
}

impl Timing {
    pub(crate) fn new(state: &RouteState, target_ms: u64) -> Self {
        let target = f64::from(u32::try_from(target_ms).unwrap_or(u32::MAX));
        Self {
            typical_ms: state.typical_ms().min(target / MAX_TYPICAL_DIVISOR),
            target_ms: target,
            hedge_delay_ms: state.hedge_delay_ms(target_ms, false),
            low_budget_hedge_delay_ms: state.hedge_delay_ms(target_ms, true),
        }
    }
}

/// State learned from the requests of one route.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    latency: RefCell<LatencyQuantile>,
    /// Time of the latest latency sample, in milliseconds.
    last_sample_ms: Cell<u64>,
    relay_latency: RefCell<LatencyQuantile>,
    pub(crate) splitter: RefCell<WeightedRoundRobin>,
    /// Longest deadline that a caller has set, in milliseconds; that of a first attempt.
    max_deadline_ms: Cell<u64>,
}

impl RouteState {
    /// Records the latency of one exchange without its queueing time.
    pub(crate) fn record_exchange(&self, took: Duration, now_ms: u64) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        if now_ms >= self.last_sample_ms.replace(now_ms) + TYPICAL_LATENCY_TTL_MS {
            *self.latency.borrow_mut() = LatencyQuantile::default();
        }
        self.latency.borrow_mut().record(took_us);
    }

    /// Returns the typical latency of one exchange, in milliseconds.
    fn typical_ms(&self) -> f64 {
        let median_us = self.latency.borrow().value_us(MEDIAN_PER_MILLE);
        median_us.map_or(INITIAL_TYPICAL_MS, |us| Duration::from_micros(us).as_secs_f64() * 1000.0)
    }

    /// Returns the delay before a send may be hedged, in milliseconds.
    fn hedge_delay_ms(&self, target_ms: u64, is_budget_low: bool) -> u64 {
        let (per_mille, min_delay_ms) = if is_budget_low {
            (LOW_BUDGET_HEDGE_PER_MILLE, target_ms / LOW_BUDGET_MIN_HEDGE_DIVISOR)
        } else {
            (HEDGE_PER_MILLE, target_ms / MIN_HEDGE_DIVISOR)
        };
        let min_delay_ms = min_delay_ms.max(MIN_HEDGE_DELAY_MS);
        let max_delay_ms = (target_ms / MAX_HEDGE_DIVISOR).max(MIN_HEDGE_DELAY_MS);
        let quantile_us = self.latency.borrow().value_us(per_mille);
        quantile_us.map_or(max_delay_ms, |us| us.div_ceil(1000).clamp(min_delay_ms, max_delay_ms))
    }

    /// Returns the delay before an instance that gathers relayed shards is probed, in milliseconds.
    pub(crate) fn relay_probe_delay_ms(&self, target_ms: u64) -> u64 {
        let max_delay_ms = (target_ms / MAX_RELAY_PROBE_DIVISOR).max(MIN_HEDGE_DELAY_MS);
        let quantile_us = self.relay_latency.borrow().value_us(RELAY_PROBE_PER_MILLE);
        quantile_us
            .map_or(max_delay_ms, |us| us.div_ceil(1000).clamp(MIN_HEDGE_DELAY_MS, max_delay_ms))
    }

    /// Returns the typical latency of a relay request, in milliseconds.
    pub(crate) fn typical_relay_ms(&self) -> f64 {
        let median_us = self.relay_latency.borrow().value_us(MEDIAN_PER_MILLE);
        median_us
            .map_or(2.0 * INITIAL_TYPICAL_MS, |us| Duration::from_micros(us).as_secs_f64() * 1000.0)
    }

    pub(crate) fn record_relay(&self, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.relay_latency.borrow_mut().record(took_us);
    }

    /// Returns the time that the caller has spent on earlier attempts, in milliseconds.
    ///
    /// Callers shorten the deadline with each attempt, so it is the difference to the longest one
    /// seen.
    pub(crate) fn earlier_attempts_ms(&self, deadline_ms: u64) -> u64 {
        self.max_deadline_ms.set(self.max_deadline_ms.get().max(deadline_ms));
        self.max_deadline_ms.get() - deadline_ms
    }
}
