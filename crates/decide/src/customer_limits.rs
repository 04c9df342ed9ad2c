//! Rate limits of customers over all instances together.
//!
//! The owner of a customer keeps its token bucket; the instances that gather its requests ask the
//! owner for tokens and hold one per customer in advance. In each sliding window, all instances together grant
//! at most the limit and the tolerance above it. Two owners during a change of the members, a
//! deputy that replaces a lost owner and the smaller side of a partition share the tolerance.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::customers::RateLimit;
use crate::fleet_limit::Role;

/// Tokens in millionths: a rate in thousandths per second accrues a whole number of them in each
/// millisecond, so that no part of a token is lost to rounding.
type Micro = i128;

const TOKEN_MICRO: Micro = 1_000_000;
const MICRO_PER_MILLI: Micro = 1_000;
const MILLI_PER_TOKEN: u64 = 1_000;
const MS_PER_S: u64 = 1_000;
/// Divisor of the tolerance that gives the balance of a new owner's bucket.
///
/// After a restart of all instances in a partition, several instances start such a bucket.
const NEW_OWNER_TOLERANCE_DIVISOR: u64 = 16;
/// Divisor of the tolerance that gives the addition to the burst.
///
/// Requests that are within the limit by the caller's clock arrive somewhat closer together here.
const OWNER_TOLERANCE_DIVISOR: u64 = 8;
/// Divisor of the tolerance that gives the maximum refill per second of a new owner's bucket until
/// the previous owner has surely learned of the change.
///
/// The previous owner may refill its bucket at the full rate during this time.
const UNSETTLED_TOLERANCE_DIVISOR: u64 = 8;
/// Divisor of the tolerance that gives the capacity of a deputy's bucket.
///
/// The bucket refills once per window and starts full again after a restart. The deputies of both
/// sides of a partition, three at most, therefore grant at most nine sixteenths of the tolerance in
/// a window, even if all instances restart in it.
const DEPUTY_TOLERANCE_DIVISOR: u64 = 16;
/// Divisor of the tolerance that gives the maximum number of tokens held in advance at all
/// instances.
///
/// They may be used in a later window than that of their grant. Up to one per instance would
/// exceed the tolerance: at 40 requests per second, 72 instances held one each of a tolerance of 40.
const ADVANCE_TOLERANCE_DIVISOR: u64 = 4;
/// Maximum `Retry-After` of a request beyond the limit, in milliseconds.
///
/// Callers honor at most a third of their deadline, which is some seconds at most.
const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// `Retry-After` of a request whose limit can't be checked, in milliseconds: a new owner is known
/// about this long after the previous one was lost.
pub const UNAVAILABLE_RETRY_MS: u64 = 500;
/// Lifetime of a token that is held in advance, in milliseconds.
const ADVANCE_TTL_MS: u64 = 2_000;
/// Time after its grant at which a token in advance has certainly expired, in milliseconds: the
/// lifetime and the time that an answer takes at most.
const ADVANCE_MAX_AGE_MS: u64 = ADVANCE_TTL_MS + 100;
/// Maximum number of tokens that one instance holds in advance per customer.
const MAX_HELD_TOKENS: usize = 1;
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
        let by_rate = u128::from(limit.rate_milli) * u128::from(self.window_ms);
        let in_window_milli = by_rate / u128::from(MS_PER_S) + u128::from(limit.burst) * 1_000;
        let over = in_window_milli.saturating_mul(self.over_milli.into()) / 1_000;
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

#[derive(Debug, Clone)]
struct Bucket {
    balance_micro: Micro,
    updated_ms: u64,
    /// Time before which the bucket is refilled slowly, in milliseconds.
    settled_at_ms: u64,
    /// Highest burst of the last window, and the time when it was last in force, in milliseconds.
    highest_burst: u64,
    highest_burst_ms: u64,
    /// Due time of the last token that was announced to a refused caller, in milliseconds.
    announced_ms: u64,
    /// Grant times of the tokens in advance that may be unused, oldest first, in milliseconds.
    advances_ms: VecDeque<u64>,
}

/// Capacity and refill of a bucket in one role.
#[derive(Debug, Clone, Copy)]
struct BucketSize {
    capacity_micro: Micro,
    rate_milli: u64,
    /// Rate of a new bucket before it is settled.
    unsettled_rate_milli: u64,
    start_micro: Micro,
    /// Maximum number of tokens in advance that may be unused.
    max_advances: usize,
    /// Time from which no previous owner grants, in milliseconds.
    settled_at_ms: u64,
}

impl BucketSize {
    fn new(limit: RateLimit, tolerance: &LimitTolerance, role: Role) -> Option<Self> {
        let extra_milli = tolerance.extra_milli(limit);
        let max_advances = extra_milli / ADVANCE_TOLERANCE_DIVISOR / MILLI_PER_TOKEN;
        match role {
            Role::Owner { settled_at_ms } => {
                let extra = to_micro(extra_milli / OWNER_TOLERANCE_DIVISOR);
                let start = to_micro(extra_milli / NEW_OWNER_TOLERANCE_DIVISOR);
                let burst = Micro::from(limit.burst) * TOKEN_MICRO;
                Some(Self {
                    capacity_micro: burst.saturating_add(extra).max(TOKEN_MICRO),
                    rate_milli: limit.rate_milli,
                    unsettled_rate_milli: limit
                        .rate_milli
                        .min(extra_milli / UNSETTLED_TOLERANCE_DIVISOR),
                    start_micro: start,
                    max_advances: usize::try_from(max_advances).unwrap_or(usize::MAX),
                    settled_at_ms,
                })
            }
            Role::Deputy => {
                let capacity = extra_milli / DEPUTY_TOLERANCE_DIVISOR;
                let rate_milli = capacity.saturating_mul(MS_PER_S) / tolerance.window_ms.max(1);
                let capacity_micro = to_micro(capacity);
                Some(Self {
                    capacity_micro,
                    rate_milli: rate_milli.min(limit.rate_milli),
                    unsettled_rate_milli: 0,
                    start_micro: capacity_micro,
                    max_advances: 0,
                    settled_at_ms: 0,
                })
            }
            Role::Denied => None,
        }
    }

    /// Returns the tokens that accrue from `from_ms` to `to_ms` in a bucket that is settled at
    /// `settled_at_ms`, in millionths.
    fn accrued_micro(&self, from_ms: u64, to_ms: u64, settled_at_ms: u64) -> Micro {
        let total_ms = to_ms.saturating_sub(from_ms);
        let unsettled_ms = settled_at_ms.saturating_sub(from_ms).min(total_ms);
        let accrue = |rate_milli: u64, ms: u64| u128::from(rate_milli) * u128::from(ms);
        let unsettled = accrue(self.unsettled_rate_milli, unsettled_ms);
        let settled = accrue(self.rate_milli, total_ms - unsettled_ms);
        Micro::try_from(unsettled.saturating_add(settled)).unwrap_or(Micro::MAX)
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
        if !matches!(role, Role::Owner { .. }) {
            // Another owner may grant from here on; a later term starts with a new bucket.
            self.owned.remove(customer);
        }
        let Some(size) = BucketSize::new(limit, tolerance, role) else {
            return TokenAnswer::Unavailable { retry_after_ms: UNAVAILABLE_RETRY_MS };
        };
        let is_owner = matches!(role, Role::Owner { .. });
        let buckets = if is_owner { &mut self.owned } else { &mut self.reserves };
        let bucket = buckets
            .entry(Arc::clone(customer))
            .or_insert_with(|| Bucket::new(&size, limit.burst, is_owner, now_ms));
        bucket.refill(&size, now_ms);
        let raised = bucket.raise_burst(limit.burst, tolerance.window_ms, now_ms);
        bucket.add(Micro::from(raised) * TOKEN_MICRO, &size);
        bucket.add(Micro::from(request.returned) * TOKEN_MICRO, &size);
        let needed_micro = Micro::from(request.needed) * TOKEN_MICRO;
        let is_short = request.needed > 0 && bucket.balance_micro < needed_micro;
        if is_short && !request.is_forced {
            if !is_owner {
                return TokenAnswer::Unavailable { retry_after_ms: UNAVAILABLE_RETRY_MS };
            }
            let missing_micro = needed_micro - bucket.balance_micro;
            return TokenAnswer::Limited {
                retry_after_ms: bucket.announce(missing_micro, size.rate_milli, now_ms),
            };
        }
        bucket.balance_micro -= needed_micro;
        if request.needed == 0 && request.wants_advance {
            // The instance renews a token because it has used the previous one.
            bucket.advances_ms.pop_front();
        }
        let has_advance = request.wants_advance && bucket.try_advance(&size, now_ms);
        TokenAnswer::Granted { advance: u32::from(has_advance) }
    }

    /// Drops the buckets of customers that this instance no longer owns.
    ///
    /// Meanwhile another instance grants their tokens; a later term starts with a new bucket.
    pub fn retain_owned(&mut self, is_owner: impl Fn(&str) -> bool) {
        self.owned.retain(|customer, _| is_owner(customer));
    }

    /// Removes buckets of customers without a limit that were not used for two windows.
    ///
    /// The other buckets stay: a new one starts with the refill of the whole term.
    pub fn remove_idle(
        &mut self,
        tolerance: &LimitTolerance,
        is_limited: impl Fn(&str) -> bool,
        now_ms: u64,
    ) {
        let is_kept = |customer: &str, bucket: &Bucket| {
            let idle_ms = now_ms.saturating_sub(bucket.updated_ms);
            is_limited(customer) || idle_ms < tolerance.window_ms.saturating_mul(2)
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
    fn new(size: &BucketSize, burst: u64, is_owner: bool, now_ms: u64) -> Self {
        Self {
            balance_micro: size.start_micro,
            // No other instance has granted since then, so the refill since then is due.
            updated_ms: if is_owner { size.settled_at_ms.min(now_ms) } else { now_ms },
            settled_at_ms: size.settled_at_ms,
            highest_burst: burst,
            highest_burst_ms: now_ms,
            announced_ms: now_ms,
            advances_ms: VecDeque::new(),
        }
    }

    fn refill(&mut self, size: &BucketSize, now_ms: u64) {
        let accrued = size.accrued_micro(self.updated_ms, now_ms, self.settled_at_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.add(accrued, size);
    }

    /// Returns the tokens by which the burst is raised; they are available at once.
    ///
    /// A burst that is lowered and raised again within a window was already granted; a lowered one
    /// takes effect by the smaller capacity.
    fn raise_burst(&mut self, burst: u64, window_ms: u64, now_ms: u64) -> u64 {
        let raised = burst.saturating_sub(self.highest_burst);
        let is_forgotten = now_ms.saturating_sub(self.highest_burst_ms) >= window_ms;
        if burst >= self.highest_burst || is_forgotten {
            (self.highest_burst, self.highest_burst_ms) = (burst, now_ms);
        }
        raised
    }

    /// Grants a token in advance while the bucket has half of its capacity and not too many such
    /// tokens may be unused; returns false if it does not.
    fn try_advance(&mut self, size: &BucketSize, now_ms: u64) -> bool {
        let may_advance = self.may_advance(size, now_ms)
            && self.balance_micro >= (size.capacity_micro / 2).max(TOKEN_MICRO);
        if may_advance {
            self.balance_micro -= TOKEN_MICRO;
            self.advances_ms.push_back(now_ms);
        }
        may_advance
    }

    /// Returns true if one more token in advance may be unused.
    fn may_advance(&mut self, size: &BucketSize, now_ms: u64) -> bool {
        let is_expired = |&at_ms: &u64| now_ms.saturating_sub(at_ms) >= ADVANCE_MAX_AGE_MS;
        while self.advances_ms.front().is_some_and(is_expired) {
            self.advances_ms.pop_front();
        }
        self.advances_ms.len() < size.max_advances
    }

    fn add(&mut self, tokens: Micro, size: &BucketSize) {
        let balance = self.balance_micro.saturating_add(tokens);
        self.balance_micro = balance.min(size.capacity_micro);
    }

    /// Returns the time until a token is due for one more refused caller, in milliseconds.
    ///
    /// Each refused caller is told a later token, so that they don't return together.
    fn announce(&mut self, missing_micro: Micro, rate_milli: u64, now_ms: u64) -> u64 {
        let ms_for = |tokens: Micro| {
            let tokens = u128::try_from(tokens).unwrap_or(0);
            u64::try_from(tokens.div_ceil(rate_milli.max(1).into())).unwrap_or(u64::MAX)
        };
        let first_ms = now_ms.saturating_add(ms_for(missing_micro));
        let next_ms = self.announced_ms.saturating_add(ms_for(TOKEN_MICRO));
        let due_ms = first_ms.max(next_ms).min(now_ms.saturating_add(MAX_RETRY_AFTER_MS));
        self.announced_ms = due_ms;
        due_ms - now_ms
    }
}

/// Converts thousandths to millionths.
fn to_micro(milli: u64) -> Micro {
    Micro::from(milli) * MICRO_PER_MILLI
}

/// Tokens that one instance holds in advance.
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
        previous_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < ADVANCE_INTERVAL_MS)
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
            held.expires_at_ms.push(now_ms.saturating_add(ADVANCE_TTL_MS));
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
            let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < ADVANCE_INTERVAL_MS;
            !held.expires_at_ms.is_empty() || held.last_request_ms.is_some_and(is_recent)
        });
        expired
    }
}
