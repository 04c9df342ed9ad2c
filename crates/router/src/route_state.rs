//! What is learnt of one route: latencies, whose turn it is, callers' whole deadlines.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use eelgrasspier_decide::hedge::Quantile;
use eelgrasspier_decide::route::Dealer;

/// Latency that is taken for usual until enough answers were measured, in milliseconds.
const INITIAL_TYPICAL_MS: f64 = 10.0;
/// Time without a new measurement after which the usual latency is learnt anew, in milliseconds.
///
/// Of 195 instances each gets a request of a kind in some ten seconds, and what the first ones
/// after a start were told by replicas that all instances connected to at once would stand for
/// as long; queues last for some seconds at the most.
const TYPICAL_LATENCY_TTL_MS: u64 = 2_000;
/// Share of the target latency that the usual one takes at the most.
///
/// What is usual is no reason to refuse: more than this is learnt of each replica by itself, as
/// its ratio, which is forgotten within seconds where it was not so. Without it three instances
/// in a hundred refused every request of a route after a loss of power.
const MAX_TYPICAL_DIVISOR: f64 = 3.0;
/// Answers within this quantile are no reason for a second send.
const HEDGE_PER_MILLE: u32 = 940;
/// The same while the budget for repeats is scarce: then it is kept for replicas that are
/// paused or lost, which make up about a twentieth of all parts.
const LOW_BUDGET_HEDGE_PER_MILLE: u32 = 960;
/// The usual latency is the median.
const MEDIAN_PER_MILLE: u32 = 500;
/// Least time before a second send, in milliseconds: less is within the network's noise.
const MIN_HEDGE_DELAY_MS: u64 = 4;
/// Share of the target latency before which no second send goes out: an answer within it
/// is in time without one, and second sends cross zones.
const MIN_HEDGE_DIVISOR: u64 = 6;
/// The same while the budget is scarce.
const LOW_BUDGET_MIN_HEDGE_DIVISOR: u64 = 5;
/// Share of the target latency after which a second send goes out at the latest: with many shards
/// some are late in most requests, and the other replica may have a queue as well.
const MAX_HEDGE_DIVISOR: u64 = 4;
/// Quantile of merged answers after which the instance is asked whether it is alive.
const RELAY_PROBE_PER_MILLE: u32 = 800;
/// Share of the target latency after which that happens at the latest.
const MAX_RELAY_PROBE_DIVISOR: u64 = 3;

/// What a request's sends go by, as of its start.
///
/// Reading the quantiles anew for each send took some 4 % of the daemon's instructions at 40
/// shards; they hardly change within one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Timing {
    /// The usual latency of one exchange, in milliseconds.
    pub(crate) typical_ms: f64,
    /// The route's target latency, in milliseconds.
    pub(crate) target_ms: f64,
    /// Time after which a second send may go out, in milliseconds.
    pub(crate) hedge_delay_ms: u64,
    /// The same while the budget is scarce.
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

/// What is learnt of one route's requests.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    latency: RefCell<Quantile>,
    /// When the last exchange was noted, in milliseconds.
    last_sample_ms: Cell<u64>,
    relay_latency: RefCell<Quantile>,
    pub(crate) splitter: RefCell<Dealer>,
    /// Longest deadline that a caller named: that of its first attempt.
    max_deadline_ms: Cell<u64>,
}

impl RouteState {
    /// Notes how long one exchange took, without its wait in a queue.
    pub(crate) fn record_exchange(&self, took: Duration, now_ms: u64) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        if now_ms >= self.last_sample_ms.replace(now_ms) + TYPICAL_LATENCY_TTL_MS {
            *self.latency.borrow_mut() = Quantile::default();
        }
        self.latency.borrow_mut().record(took_us);
    }

    /// The usual latency of one exchange, in milliseconds.
    fn typical_ms(&self) -> f64 {
        let median_us = self.latency.borrow().value_us(MEDIAN_PER_MILLE);
        median_us.map_or(INITIAL_TYPICAL_MS, |us| Duration::from_micros(us).as_secs_f64() * 1000.0)
    }

    /// Time after which a second send may go out, in milliseconds.
    fn hedge_delay_ms(&self, target_ms: u64, is_scarce: bool) -> u64 {
        let (per_mille, min_delay_ms) = if is_scarce {
            (LOW_BUDGET_HEDGE_PER_MILLE, target_ms / LOW_BUDGET_MIN_HEDGE_DIVISOR)
        } else {
            (HEDGE_PER_MILLE, target_ms / MIN_HEDGE_DIVISOR)
        };
        let min_delay_ms = min_delay_ms.max(MIN_HEDGE_DELAY_MS);
        let max_delay_ms = (target_ms / MAX_HEDGE_DIVISOR).max(MIN_HEDGE_DELAY_MS);
        let quantile_us = self.latency.borrow().value_us(per_mille);
        quantile_us.map_or(max_delay_ms, |us| us.div_ceil(1000).clamp(min_delay_ms, max_delay_ms))
    }

    /// Time after which an instance that gathers is asked whether it answers at all.
    pub(crate) fn relay_probe_delay_ms(&self, target_ms: u64) -> u64 {
        let max_delay_ms = (target_ms / MAX_RELAY_PROBE_DIVISOR).max(MIN_HEDGE_DELAY_MS);
        let quantile_us = self.relay_latency.borrow().value_us(RELAY_PROBE_PER_MILLE);
        quantile_us
            .map_or(max_delay_ms, |us| us.div_ceil(1000).clamp(MIN_HEDGE_DELAY_MS, max_delay_ms))
    }

    /// The usual latency of another instance's answer, in milliseconds.
    pub(crate) fn typical_relay_ms(&self) -> f64 {
        let median_us = self.relay_latency.borrow().value_us(MEDIAN_PER_MILLE);
        median_us
            .map_or(2.0 * INITIAL_TYPICAL_MS, |us| Duration::from_micros(us).as_secs_f64() * 1000.0)
    }

    pub(crate) fn record_relay(&self, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.relay_latency.borrow_mut().record(took_us);
    }

    /// Time that the caller has spent on earlier attempts, in milliseconds.
    ///
    /// Callers lower the deadline with each attempt, so the longest one seen tells.
    pub(crate) fn earlier_attempts_ms(&self, deadline_ms: u64) -> u64 {
        self.max_deadline_ms.set(self.max_deadline_ms.get().max(deadline_ms));
        self.max_deadline_ms.get() - deadline_ms
    }
}
