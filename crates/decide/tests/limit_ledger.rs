//! Tests of the buckets of customers' rate limits over long times and many requests.

use std::sync::Arc;

use eelgrasspier_decide::customer_limits::{
    LimitLedger, LimitTolerance, TokenAnswer, TokenRequest,
};
use eelgrasspier_decide::customers::RateLimit;
use eelgrasspier_decide::fleet_limit::Role;

const TOLERANCE: LimitTolerance = LimitTolerance { window_ms: 5_000, over_milli: 100, slack: 20 };
const ONE: TokenRequest =
    TokenRequest { needed: 1, returned: 0, is_forced: false, wants_advance: false };

fn ask(
    ledger: &mut LimitLedger,
    limit: RateLimit,
    request: TokenRequest,
    now_ms: u64,
) -> TokenAnswer {
    let role = Role::Owner { settled_at_ms: 0 };
    ledger.answer(&Arc::from("acme"), (limit, &TOLERANCE), role, request, now_ms)
}

fn granted_in(
    ledger: &mut LimitLedger,
    limit: RateLimit,
    times_ms: impl Iterator<Item = u64>,
) -> usize {
    let is_granted = |answer| matches!(answer, TokenAnswer::Granted { .. });
    times_ms.filter(|&now_ms| is_granted(ask(ledger, limit, ONE, now_ms))).count()
}

/// Guards against a refill that shrinks with the number of refused requests: fractions of a
/// thousandth were dropped at each of them.
#[test]
fn refused_requests_do_not_slow_the_refill() {
    let limit = RateLimit { rate_milli: 1_900, burst: 0 };
    let mut ledger = LimitLedger::default();
    let granted = granted_in(&mut ledger, limit, 0..100_000);
    assert!((190..=193).contains(&granted), "{granted}");
}

/// Guards against refusing the burst of a customer that was idle: its bucket was dropped, and a new
/// one starts without the burst.
#[test]
fn an_idle_customer_keeps_its_burst() {
    let limit = RateLimit { rate_milli: 1_000, burst: 50 };
    let mut ledger = LimitLedger::default();
    granted_in(&mut ledger, limit, 0..60_000);
    ledger.remove_idle(&TOLERANCE, |_| true, 200_000);
    assert!(granted_in(&mut ledger, limit, (0..100).map(|_| 200_000)) >= 50);
    ledger.remove_idle(&TOLERANCE, |_| false, 300_000);
    assert!(ledger.is_empty());
}

/// Guards against later retry times for callers because tokens were returned to an empty bucket.
#[test]
fn returned_tokens_do_not_postpone_the_next_retry() {
    let limit = RateLimit { rate_milli: 10_000, burst: 0 };
    let mut ledger = LimitLedger::default();
    let forced = TokenRequest { needed: 10, is_forced: true, ..ONE };
    ask(&mut ledger, limit, forced, 0);
    let mut without_return = ledger.clone();
    let renewal = TokenRequest { needed: 0, wants_advance: true, ..ONE };
    assert_eq!(ask(&mut ledger, limit, renewal, 0), TokenAnswer::Granted { advance: 0 });
    assert_eq!(ask(&mut ledger, limit, ONE, 0), ask(&mut without_return, limit, ONE, 0));
}
