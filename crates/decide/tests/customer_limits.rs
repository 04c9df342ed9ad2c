//! Token buckets of customers and tokens held in advance.

use std::sync::Arc;

use arbtest::arbtest;
use eelgrasspier_decide::customer_limits::{
    HeldTokens, LimitLedger, LimitTolerance, TokenAnswer, TokenRequest,
};
use eelgrasspier_decide::customers::RateLimit;
use eelgrasspier_decide::fleet_limit::Role;

const TOLERANCE: LimitTolerance = LimitTolerance { window_ms: 5_000, over_milli: 100, slack: 20 };
const OWNER: Role = Role::Owner { settled_at_ms: 0 };
const ONE: TokenRequest =
    TokenRequest { needed: 1, returned: 0, is_forced: false, wants_advance: false };

fn limit(rate_milli: u64, burst: u64) -> RateLimit {
    RateLimit { rate_milli, burst }
}

fn customer() -> Arc<str> {
    "c".into()
}

/// Asks the owner.
fn ask(
    ledger: &mut LimitLedger,
    limit: RateLimit,
    request: TokenRequest,
    now_ms: u64,
) -> TokenAnswer {
    ledger.answer(&customer(), (limit, &TOLERANCE), OWNER, request, now_ms)
}

fn granted_in(
    ledger: &mut LimitLedger,
    limit: RateLimit,
    times_ms: impl Iterator<Item = u64>,
) -> usize {
    let is_granted = |answer| matches!(answer, TokenAnswer::Granted { .. });
    times_ms.filter(|&now_ms| is_granted(ask(ledger, limit, ONE, now_ms))).count()
}

/// Asks for one token at a time until none is left; returns the number granted.
fn drain(ledger: &mut LimitLedger, limit: RateLimit, role: Role, now_ms: u64) -> u64 {
    let is_granted = |answer| matches!(answer, TokenAnswer::Granted { .. });
    let mut ask = || ledger.answer(&customer(), (limit, &TOLERANCE), role, ONE, now_ms);
    let mut granted = 0;
    while granted < 10_000 && is_granted(ask()) {
        granted += 1;
    }
    granted
}

/// Guards against a second burst after the limit was lowered and raised again within a window, and
/// against tokens that return twice or accrue at the wrong rate.
#[test]
fn an_owner_grants_at_most_the_limit_and_a_quarter_of_the_tolerance() {
    arbtest(|u| {
        let mut ledger = LimitLedger::default();
        let (mut now_ms, mut current) = (u.int_in_range(0..=20_000)?, limit(19_000, 19));
        let settled_at_ms = now_ms + u.int_in_range(0..=1_000)?;
        // Changes of the granted tokens, and limits in force from a time.
        let (mut changes, mut limits) = (Vec::<(u64, i64)>::new(), vec![(0, current)]);
        let mut outstanding = 0;
        for _ in 0..300 {
            now_ms += *u.choose(&[0, 0, 0, 1, 52, 53, 400, 2_600])?;
            if u.ratio(1, 20)? {
                current = limit(*u.choose(&[700, 1_000, 19_000])?, *u.choose(&[0, 1, 19, 60])?);
                limits.push((now_ms, current));
            }
            let returned = u.int_in_range(0..=outstanding)?.min(2);
            let needed = u.int_in_range(0..=12)?;
            let request = TokenRequest { needed, returned, wants_advance: u.arbitrary()?, ..ONE };
            let role = Role::Owner { settled_at_ms };
            let answer = ledger.answer(&customer(), (current, &TOLERANCE), role, request, now_ms);
            let mut change = -i64::from(returned);
            outstanding -= returned;
            if let TokenAnswer::Granted { advance } = answer {
                change += i64::from(needed + advance);
                outstanding += needed + advance;
            }
            changes.push((now_ms, change));
            if u.ratio(1, 50)? {
                ledger.remove_idle(&TOLERANCE, |_| true, now_ms);
            }
        }
        for (i, &(from_ms, _)) in changes.iter().enumerate() {
            let to_ms = from_ms + TOLERANCE.window_ms;
            let within = changes[i..].iter().take_while(|&&(at_ms, _)| at_ms < to_ms);
            // A lower limit binds one window after it is in force.
            let in_force = limits.iter().enumerate().filter(|&(k, &(at_ms, _))| {
                at_ms < to_ms && limits.get(k + 1).is_none_or(|next| next.0 >= from_ms)
            });
            let (mut rate_milli, mut burst) = (0, 0);
            for (_, (_, l)) in in_force {
                (rate_milli, burst) = (rate_milli.max(l.rate_milli), burst.max(l.burst));
            }
            let largest = limit(rate_milli, burst);
            let extra_milli = TOLERANCE.extra_milli(largest);
            let bound_milli = rate_milli * 5 + burst * 1_000 + extra_milli / 4;
            let granted: i64 = within.map(|&(_, change)| change).sum();
            let bound_milli = i64::try_from(bound_milli).expect("small");
            assert!(granted * 1_000 <= bound_milli, "{granted} of {bound_milli} from {from_ms}");
        }
        Ok(())
    });
}

/// Guards against a burst that is granted again each time that the limit is lowered and raised.
#[test]
fn a_burst_is_raised_once_per_window() {
    let (mut ledger, mut granted) = (LimitLedger::default(), 0);
    for now_ms in 0..10 {
        let burst = if now_ms % 2 == 0 { 1 } else { 100 };
        granted += drain(&mut ledger, limit(1_000, burst), OWNER, now_ms);
    }
    assert!(granted <= 100 + 3, "{granted}");
    // Two successive raises are both available at once.
    assert_eq!(drain(&mut ledger, limit(1_000, 150), OWNER, 10), 50);
    assert_eq!(drain(&mut ledger, limit(1_000, 1), OWNER, 5_010), 3);
    assert_eq!(drain(&mut ledger, limit(1_000, 150), OWNER, 5_011), 149);
}

/// Guards against a limit that is stricter than stated: rounding at each request uses up the
/// balance of a customer whose rate is not a multiple of the resolution.
#[test]
fn evenly_spaced_requests_at_the_limit_are_never_refused() {
    arbtest(|u| {
        let rate_milli = u.int_in_range(1..=200_000)?;
        let limit = limit(rate_milli, u.int_in_range(0..=2)?);
        let (mut ledger, start_ms) = (LimitLedger::default(), u.int_in_range(0..=1_000_000)?);
        for k in 0..5_000 {
            let now_ms = start_ms + k * 1_000_000 / rate_milli;
            let answer = ask(&mut ledger, limit, ONE, now_ms);
            assert_eq!(answer, TokenAnswer::Granted { advance: 0 }, "{limit:?}, request {k}");
        }
        Ok(())
    });
}

/// Guards against a customer without its burst because it has sent nothing since its owner started.
#[test]
fn the_burst_is_available_to_the_first_request_of_a_long_term() {
    let (mut ledger, limit) = (LimitLedger::default(), limit(19_000, 19));
    assert_eq!(drain(&mut ledger, limit, OWNER, 60_000), 19 + 3);
}

/// Guards against callers that are refused together and return together.
#[test]
fn retry_times_grow_up_to_two_seconds() {
    for rate_milli in [1, 1_000, 19_000, 5_000_000, 9_007_199_254_740_992_000] {
        let (limit, mut previous_ms) = (limit(rate_milli, 0), 0);
        let mut ledger = LimitLedger::default();
        let many = TokenRequest { needed: u32::MAX, is_forced: true, ..ONE };
        for _ in 0..3 {
            ask(&mut ledger, limit, many, 0);
        }
        for _ in 0..3_000 {
            let answer = ask(&mut ledger, limit, ONE, 0);
            let TokenAnswer::Limited { retry_after_ms } = answer else { break };
            assert!(retry_after_ms > previous_ms || retry_after_ms == 2_000);
            assert!(retry_after_ms <= 2_000);
            previous_ms = retry_after_ms;
        }
    }
}

/// No limits, tolerances or clock values overflow, and a refusal always names a time.
#[test]
fn any_input_is_answered() {
    arbtest(|u| {
        let (mut ledger, mut held) = (LimitLedger::default(), HeldTokens::default());
        for _ in 0..40 {
            let any_ms = u.arbitrary()?;
            let now_ms = *u.choose(&[0, 7, u64::MAX, any_ms])?;
            let largest = 1 << 53;
            let limit = limit(
                u.int_in_range(1..=largest)? * u.int_in_range(1..=1_000)?,
                u.int_in_range(0..=largest)?,
            );
            let tolerance = LimitTolerance {
                window_ms: u.arbitrary()?,
                over_milli: u.arbitrary()?,
                slack: u.arbitrary()?,
            };
            let owner = Role::Owner { settled_at_ms: u.arbitrary()? };
            let role = *u.choose(&[owner, Role::Deputy, Role::Denied])?;
            let request = TokenRequest {
                needed: u.arbitrary()?,
                returned: u.arbitrary()?,
                is_forced: u.arbitrary()?,
                wants_advance: u.arbitrary()?,
            };
            let answer = ledger.answer(&customer(), (limit, &tolerance), role, request, now_ms);
            match answer {
                TokenAnswer::Granted { advance } => assert!(advance <= 1),
                TokenAnswer::Limited { retry_after_ms: ms }
                | TokenAnswer::Unavailable { retry_after_ms: ms } => {
                    assert!((1..=2_000).contains(&ms));
                }
            }
            held.record_request(&customer(), now_ms);
            held.add(&customer(), now_ms);
            held.try_take("c", now_ms);
            ledger.remove_idle(&tolerance, |_| false, now_ms);
            held.take_expired(now_ms);
        }
        Ok(())
    });
}

/// Guards against tokens that accrue while the clock stands still.
#[test]
fn a_standing_clock_grants_one_bucket() {
    let (mut ledger, owner) = (LimitLedger::default(), Role::Owner { settled_at_ms: 50 });
    assert_eq!(drain(&mut ledger, limit(19_000, 19), owner, 50), 1);
    assert_eq!(drain(&mut ledger, limit(19_000, 19), owner, 50), 0);
    assert_eq!(drain(&mut ledger, limit(19_000, 19), owner, 49), 0, "a clock that goes back");
}

/// Guards against a customer without burst that is never served.
#[test]
fn a_bucket_below_one_token_serves_at_the_rate() {
    let none = LimitTolerance { slack: 0, over_milli: 0, ..TOLERANCE };
    let mut ledger = LimitLedger::default();
    let mut ask = |now_ms| {
        let answer = ledger.answer(&customer(), (limit(500, 0), &none), OWNER, ONE, now_ms);
        matches!(answer, TokenAnswer::Granted { .. })
    };
    let granted = (0..=60_000).step_by(100).filter(|&now_ms| ask(now_ms)).count();
    assert_eq!(granted, 30, "one in two seconds");
}

#[test]
fn deputies_grant_an_eighth_of_the_tolerance_and_others_nothing() {
    let mut ledger = LimitLedger::default();
    let rate = limit(19_000, 19);
    assert_eq!(drain(&mut ledger, rate, Role::Denied, 0), 0);
    assert!(ledger.is_empty());
    let granted: u64 = (0..5_000).map(|at| drain(&mut ledger, rate, Role::Deputy, at)).sum();
    assert_eq!(granted, 3, "an eighth of 31.4");
    // The bucket of the owner is separate, and a lost term starts a new one.
    assert_eq!(drain(&mut ledger, rate, Role::Owner { settled_at_ms: 5_000 }, 5_000), 1);
    ledger.retain_owned(|_| false);
    assert_eq!(ledger.len(), 1);
}

/// Guards against requests at a lost delegate that are never counted.
#[test]
fn forced_tokens_are_counted_afterwards() {
    let mut ledger = LimitLedger::default();
    let forced = TokenRequest { needed: 5, is_forced: true, ..ONE };
    let answer = ask(&mut ledger, limit(1_000, 1), forced, 0);
    assert_eq!(answer, TokenAnswer::Granted { advance: 0 });
    // A sixteenth of 20.6 less five tokens needs 3.7125 s to return to 0.
    assert_eq!(drain(&mut ledger, limit(1_000, 1), OWNER, 4_712), 0);
    assert_eq!(drain(&mut ledger, limit(1_000, 1), OWNER, 4_713), 1);
}

/// Guards against a refill that shrinks with the number of refused requests: fractions of a
/// thousandth were dropped at each of them.
#[test]
fn refused_requests_do_not_slow_the_refill() {
    let limit = limit(1_900, 0);
    let mut ledger = LimitLedger::default();
    let granted = granted_in(&mut ledger, limit, 0..100_000);
    assert!((190..=193).contains(&granted), "{granted}");
}

/// Guards against refusing the burst of a customer that was idle: its bucket was dropped, and a new
/// one starts without the burst.
#[test]
fn an_idle_customer_keeps_its_burst() {
    let limit = limit(1_000, 50);
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
    let limit = limit(10_000, 0);
    let mut ledger = LimitLedger::default();
    let forced = TokenRequest { needed: 10, is_forced: true, ..ONE };
    ask(&mut ledger, limit, forced, 0);
    let mut without_return = ledger.clone();
    let renewal = TokenRequest { needed: 0, wants_advance: true, ..ONE };
    assert_eq!(ask(&mut ledger, limit, renewal, 0), TokenAnswer::Granted { advance: 0 });
    assert_eq!(ask(&mut ledger, limit, ONE, 0), ask(&mut without_return, limit, ONE, 0));
}

/// Guards against a surge that uses tokens held at many instances beyond the limit of a window: each
/// of 72 instances held one, while the tolerance was 40.
#[test]
fn tokens_held_at_many_instances_are_within_the_tolerance() {
    let (limit, mut ledger) = (limit(40_000, 1), LimitLedger::default());
    let mut instances = vec![HeldTokens::default(); 72];
    let mut used_at_surge = 0;
    let mut serve = |held: &mut HeldTokens, now_ms| {
        let is_active = held.record_request(&customer(), now_ms);
        let is_held = held.try_take("c", now_ms);
        let request = TokenRequest { needed: u32::from(!is_held), wants_advance: is_active, ..ONE };
        let answer = ask(&mut ledger, limit, request, now_ms);
        if answer == (TokenAnswer::Granted { advance: 1 }) {
            held.add(&customer(), now_ms);
        }
        u64::from(is_held || matches!(answer, TokenAnswer::Granted { .. }))
    };
    for request in 0..4_000 {
        serve(&mut instances[request % 72], 26 * request as u64);
    }
    for now_ms in (26 * 4_000..).step_by(20).take(250) {
        for held in &mut instances {
            used_at_surge += serve(held, now_ms);
        }
    }
    let bound_milli = 5 * 40_000 + 1_000 + TOLERANCE.extra_milli(limit);
    assert!(used_at_surge * 1_000 <= bound_milli, "{used_at_surge} of {bound_milli}");
}

/// Guards against a prefetched token that is used and also returned, or used twice.
#[test]
fn a_held_token_is_used_or_returned_once() {
    arbtest(|u| {
        let (mut held, mut now_ms) = (HeldTokens::default(), 0);
        let (mut added, mut gone, mut newest_ms) = (0, 0, None);
        for _ in 0..200 {
            now_ms += *u.choose(&[0, 1, 500, 1_999, 2_000])?;
            match u.int_in_range(0..=3)? {
                0 if held.add(&customer(), now_ms) => {
                    (added, newest_ms) = (added + 1, Some(now_ms));
                }
                1 if held.try_take("c", now_ms) => {
                    assert!(newest_ms.is_some_and(|at| now_ms < at + 2_000), "expired");
                    gone += 1;
                }
                2 => gone += held.take_expired(now_ms).iter().map(|(_, n)| n).sum::<u32>(),
                _ => {
                    held.record_request(&customer(), now_ms);
                }
            }
            assert!((gone..=gone + 2).contains(&added), "{added} added, {gone} gone");
        }
        gone += held.take_expired(now_ms + 2_000).iter().map(|(_, n)| n).sum::<u32>();
        assert_eq!(added, gone);
        Ok(())
    });
}
