//! Rate limits of customers over all instances together.
//!
//! The owner of a customer keeps its token bucket; the instances that gather its requests ask the
//! owner for tokens and hold a few in advance. In each sliding window, all instances together grant
//! at most the limit and the tolerance above it. Two owners during a change of the members, a
//! deputy that replaces a lost owner and the smaller side of a partition share the tolerance.

use std::collections::HashMap;
use std::sync::Arc;

use crate::customers::RateLimit;
use crate::fleet_limit::Role;

/// Tokens in thousandths.
type Milli = i64;

const TOKEN_MILLI: Milli = 1_000;
const MS_PER_S: u64 = 1_000;
/// Divisor of the accrued amount, which is computed in half milliseconds.
const ACCRUAL_DIVISOR: u128 = 2_000;
/// Divisor of the tolerance that gives the balance of a new owner.
///
/// It is also added to the burst: requests that are within the limit by the caller's clock arrive
/// somewhat closer together here.
const OWNER_TOLERANCE_DIVISOR: u64 = 8;
/// Divisor of the tolerance that gives the capacity of a deputy's bucket.
///
/// The bucket refills once per window, so that two deputies grant at most half of the tolerance in
/// a window.
const DEPUTY_TOLERANCE_DIVISOR: u64 = 8;
/// Maximum `Retry-After` of a request beyond the limit, in milliseconds.
///
/// Callers honor at most a third of their deadline, which is some seconds at most.
const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// `Retry-After` of a request whose limit can't be checked, in milliseconds: a new owner is known
/// about this long after the previous one was lost.
pub const UNAVAILABLE_RETRY_MS: u64 = 500;
/// Lifetime of a token that is held in advance, in milliseconds.
const ADVANCE_TTL_MS: u64 = 2_000;
/// Maximum number of tokens that one instance holds in advance per customer.
const MAX_HELD_TOKENS: usize = 2;
/// Maximum time between two requests of a customer at one instance for tokens in advance, in
/// milliseconds; with more time between them the tokens expire unused.
const ADVANCE_INTERVAL_MS: u64 = ADVANCE_TTL_MS;

/// Tolerance above the limits, as set by the operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitTolerance {
    /// Length of the sliding window in which the limit is checked, in milliseconds.
    pub window_ms: u64,
    /// Additional requests per request of the limit, in thousandths.
    pub over_milli: u64,
    /// Additional requests.
    pub slack: u64,
}

impl LimitTolerance {
    /// Returns the requests above the limit that all instances may grant in a window, in
    /// thousandths.
    #[must_use]
    pub fn extra_milli(&self, limit: RateLimit) -> u64 {
        let in_window_milli = limit
            .rate_milli
            .saturating_mul(self.window_ms)
            .saturating_div(MS_PER_S)
            .saturating_add(limit.burst.saturating_mul(1_000));
        let over = u128::from(in_window_milli) * u128::from(self.over_milli) / 1_000;
        u64::try_from(over).unwrap_or(u64::MAX).saturating_add(self.slack.saturating_mul(1_000))
    }
}

/// Request of an instance for tokens of a customer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenRequest {
    /// Number of tokens needed now; 0 to only return some.
    pub needed: u32,
    /// Number of unused tokens that are returned.
    pub returned: u32,
    /// True if the request was already sent, so that its token is taken even if none is left.
    pub is_forced: bool,
    /// True if a token in advance is useful.
    pub wants_advance: bool,
}

/// Answer to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAnswer {
    /// The needed tokens are granted.
    Granted {
        /// Number of further tokens, in advance.
        advance: u32,
    },
    /// The customer is beyond its limit.
    Limited {
        /// Time until a token is due, in milliseconds.
        retry_after_ms: u64,
    },
    /// This instance may not grant tokens of the customer now.
    Unavailable {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    balance_milli: Milli,
    updated_ms: u64,
    /// Accrued part below a thousandth of a token, in units of [`ACCRUAL_DIVISOR`].
    remainder: u128,
    /// Burst of the limit by which the balance was computed.
    burst: u64,
    /// Time of the last token that was announced to a refused caller, in milliseconds.
    announced_ms: u64,
}

/// Capacity and refill of a bucket in one role.
#[derive(Debug, Clone, Copy)]
struct BucketSize {
    capacity_milli: Milli,
    rate_milli: u64,
    start_milli: Milli,
    /// Time before which the refill is halved, in milliseconds.
    settled_at_ms: u64,
}

impl BucketSize {
    fn new(limit: RateLimit, tolerance: &LimitTolerance, role: Role) -> Option<Self> {
        let extra_milli = tolerance.extra_milli(limit);
        match role {
            Role::Owner { settled_at_ms } => {
                let start = to_milli(extra_milli / OWNER_TOLERANCE_DIVISOR);
                let burst = to_milli(limit.burst.saturating_mul(1_000));
                Some(Self {
                    capacity_milli: burst.saturating_add(start).max(TOKEN_MILLI),
                    rate_milli: limit.rate_milli,
                    start_milli: start,
                    settled_at_ms,
                })
            }
            Role::Deputy => {
                let capacity = extra_milli / DEPUTY_TOLERANCE_DIVISOR;
                let rate_milli = capacity.saturating_mul(MS_PER_S) / tolerance.window_ms.max(1);
                let capacity_milli = to_milli(capacity);
                Some(Self {
                    capacity_milli,
                    rate_milli: rate_milli.min(limit.rate_milli),
                    start_milli: capacity_milli,
                    settled_at_ms: 0,
                })
            }
            Role::Denied => None,
        }
    }

    /// Returns the tokens that accrue from `from_ms` to `to_ms`, in thousandths, and the remainder.
    fn accrued_milli(&self, from_ms: u64, to_ms: u64, remainder: u128) -> (Milli, u128) {
        let unsettled_ms = self.settled_at_ms.clamp(from_ms, to_ms.max(from_ms)) - from_ms;
        let settled_ms = to_ms.saturating_sub(from_ms) - unsettled_ms;
        let half_ms = 2 * u128::from(settled_ms) + u128::from(unsettled_ms);
        let accrued = u128::from(self.rate_milli).saturating_mul(half_ms).saturating_add(remainder);
        let whole = Milli::try_from(accrued / ACCRUAL_DIVISOR).unwrap_or(Milli::MAX);
        (whole, accrued % ACCRUAL_DIVISOR)
    }
}

/// Token buckets of the customers that this instance owns or is a deputy of.
#[derive(Debug, Clone, Default)]
pub struct LimitLedger {
    owned: HashMap<Arc<str>, Bucket>,
    reserves: HashMap<Arc<str>, Bucket>,
}

impl LimitLedger {
    /// Answers a request for tokens of a customer, in the given role.
    pub fn answer(
        &mut self,
        customer: &Arc<str>,
        (limit, tolerance): (RateLimit, &LimitTolerance),
        role: Role,
        request: TokenRequest,
        now_ms: u64,
    ) -> TokenAnswer {
        let Some(size) = BucketSize::new(limit, tolerance, role) else {
            return TokenAnswer::Unavailable { retry_after_ms: UNAVAILABLE_RETRY_MS };
        };
        let is_owner = matches!(role, Role::Owner { .. });
        let buckets = if is_owner { &mut self.owned } else { &mut self.reserves };
        let bucket = buckets.entry(Arc::clone(customer)).or_insert(Bucket {
            balance_milli: size.start_milli,
            updated_ms: now_ms,
            remainder: 0,
            burst: limit.burst,
            announced_ms: now_ms,
        });
        bucket.refill(&size, limit.burst, now_ms);
        bucket.add(i64::from(request.returned) * TOKEN_MILLI, &size);
        let needed_milli = i64::from(request.needed) * TOKEN_MILLI;
        let is_short = request.needed > 0 && bucket.balance_milli < needed_milli;
        if is_short && !request.is_forced {
            if !is_owner {
                return TokenAnswer::Unavailable { retry_after_ms: UNAVAILABLE_RETRY_MS };
            }
            let missing_milli = needed_milli - bucket.balance_milli;
            return TokenAnswer::Limited {
                retry_after_ms: bucket.announce(missing_milli, size.rate_milli, now_ms),
            };
        }
        bucket.balance_milli -= needed_milli;
        let may_advance = is_owner
            && request.wants_advance
            && bucket.balance_milli >= (size.capacity_milli / 2).max(TOKEN_MILLI);
        if may_advance {
            bucket.balance_milli -= TOKEN_MILLI;
        }
        TokenAnswer::Granted { advance: u32::from(may_advance) }
    }

    /// Drops the buckets of customers that this instance no longer owns.
    ///
    /// Meanwhile another instance grants their tokens; a later term starts with a new bucket.
    pub fn retain_owned(&mut self, is_owner: impl Fn(&str) -> bool) {
        self.owned.retain(|customer, _| is_owner(customer));
    }

    /// Removes buckets of customers without a limit that were not used for two windows.
    ///
    /// The other buckets stay: a new one starts without the customer's burst.
    pub fn remove_idle(
        &mut self,
        tolerance: &LimitTolerance,
        is_limited: impl Fn(&str) -> bool,
        now_ms: u64,
    ) {
        let is_kept = |customer: &str, bucket: &Bucket| {
            is_limited(customer) || now_ms < bucket.updated_ms + 2 * tolerance.window_ms
        };
        self.owned.retain(|customer, bucket| is_kept(customer, bucket));
        self.reserves.retain(|customer, bucket| is_kept(customer, bucket));
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owned.len() + self.reserves.len()
    }

    /// Returns true if there are no buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Bucket {
    fn refill(&mut self, size: &BucketSize, burst: u64, now_ms: u64) {
        // The remainder is kept: with frequent requests, up to half of a slow refill would be lost.
        let (accrued, remainder) = size.accrued_milli(self.updated_ms, now_ms, self.remainder);
        self.remainder = remainder;
        self.updated_ms = self.updated_ms.max(now_ms);
        // A raised burst is available at once; a lowered one takes effect by the smaller capacity.
        let raised = burst.saturating_sub(std::mem::replace(&mut self.burst, burst));
        let raised = to_milli(raised.saturating_mul(1_000));
        self.add(accrued.saturating_add(raised), size);
    }

    fn add(&mut self, tokens: Milli, size: &BucketSize) {
        let balance = self.balance_milli.saturating_add(tokens);
        self.balance_milli = balance.min(size.capacity_milli);
    }

    /// Returns the time until a token is due for one more refused caller, in milliseconds.
    ///
    /// Each refused caller is told a later token, so that they don't return together.
    fn announce(&mut self, missing_milli: Milli, rate_milli: u64, now_ms: u64) -> u64 {
        let ms_for = |tokens: Milli| {
            let tokens = u64::try_from(tokens).unwrap_or(0);
            tokens.saturating_mul(MS_PER_S).div_ceil(rate_milli.max(1))
        };
        let first_ms = now_ms.saturating_add(ms_for(missing_milli));
        let next_ms = self.announced_ms.saturating_add(ms_for(TOKEN_MILLI));
        let due_ms = first_ms.max(next_ms).min(now_ms + MAX_RETRY_AFTER_MS);
        self.announced_ms = due_ms;
        due_ms - now_ms
    }
}

fn to_milli(value: u64) -> Milli {
    Milli::try_from(value).unwrap_or(Milli::MAX)
}

/// Tokens of one instance that asks the owners.
#[derive(Debug, Clone, Default)]
pub struct HeldTokens {
    by_customer: HashMap<Arc<str>, Held>,
}

#[derive(Debug, Clone, Default)]
struct Held {
    /// Expiry times of the tokens, in milliseconds.
    expires_at_ms: Vec<u64>,
    last_request_ms: Option<u64>,
}

impl HeldTokens {
    /// Records a request of a customer; returns true if tokens in advance are useful.
    pub fn record_request(&mut self, customer: &Arc<str>, now_ms: u64) -> bool {
        let held = self.by_customer.entry(Arc::clone(customer)).or_default();
        let previous_ms = held.last_request_ms.replace(now_ms);
        previous_ms.is_some_and(|at_ms| now_ms < at_ms + ADVANCE_INTERVAL_MS)
    }

    /// Takes a held token; returns false if there is none.
    pub fn try_take(&mut self, customer: &str, now_ms: u64) -> bool {
        let Some(held) = self.by_customer.get_mut(customer) else { return false };
        let usable = held.expires_at_ms.iter().position(|&at_ms| now_ms < at_ms);
        usable.map(|i| held.expires_at_ms.swap_remove(i)).is_some()
    }

    /// Adds a token that was granted in advance or whose request did not run.
    ///
    /// Returns false if this instance holds enough; the token must then be returned to the owner.
    pub fn add(&mut self, customer: &Arc<str>, now_ms: u64) -> bool {
        let held = self.by_customer.entry(Arc::clone(customer)).or_default();
        let has_room = held.expires_at_ms.len() < MAX_HELD_TOKENS;
        if has_room {
            held.expires_at_ms.push(now_ms + ADVANCE_TTL_MS);
        }
        has_room
    }

    /// Removes expired tokens, to be returned to the owners, with their number per customer.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(Arc<str>, u32)> {
        let mut expired = Vec::new();
        self.by_customer.retain(|customer, held| {
            let before = held.expires_at_ms.len();
            held.expires_at_ms.retain(|&at_ms| now_ms < at_ms);
            let count = u32::try_from(before - held.expires_at_ms.len()).unwrap_or(u32::MAX);
            if count > 0 {
                expired.push((Arc::clone(customer), count));
            }
            let is_recent = |at_ms: u64| now_ms < at_ms + ADVANCE_INTERVAL_MS;
            !held.expires_at_ms.is_empty() || held.last_request_ms.is_some_and(is_recent)
        });
        expired
    }
}
