//! Rate limits of customers: takes a token for each request, and grants tokens to other instances.

mod asks;
mod token;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::customer_limits::{
    HeldTokens, LimitLedger, LimitTolerance, TokenAnswer, TokenRequest, UNAVAILABLE_RETRY_MS,
};
use eelgrasspier_decide::customers::RateLimit;
use eelgrasspier_decide::fleet_limit::{self, Role, Standing};
use eelgrasspier_decide::gatherers::Candidate;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_peer::wire::{LimitAnswer, LimitOutcome, LimitRequest};

use crate::log_budget::LogBudget;
use crate::model::Request;
use crate::router::Router;
use crate::view::{Peer, View};
use asks::AskTarget;
pub(crate) use token::{Token, TokenSource};

/// Interval at which unused tokens are returned and idle buckets removed.
///
/// A quarter of the lifetime of a held token.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between lines about this instance's role, in milliseconds.
const ROLE_LINE_INTERVAL_MS: u64 = 1_000;

/// Rate limiter of customers on the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct CustomerLimiter {
    tolerance: Cell<LimitTolerance>,
    ledger: RefCell<LimitLedger>,
    held: RefCell<HeldTokens>,
    /// Unused tokens that wait for their return to the owners.
    pending_returns: RefCell<HashMap<Arc<str>, u32>>,
    /// Customers whose held tokens are being renewed.
    renewing: RefCell<HashSet<Arc<str>>>,
    refused_lines: LogBudget,
    unavailable_lines: LogBudget,
    last_role_line: Cell<RoleLine>,
    /// Time from which this instance may grant as an owner after it knew no majority, in
    /// milliseconds.
    majority_settled_at_ms: Cell<u64>,
}

/// State that the last line about this instance's role reported.
#[derive(Debug, Clone, Copy, Default)]
struct RoleLine {
    is_connected: bool,
    knows_majority: bool,
    logged_ms: Option<u64>,
}

/// Customer with a rate limit.
#[derive(Debug, Clone)]
struct LimitedCustomer {
    name: Arc<str>,
    limit: RateLimit,
}

/// Outcome of taking a token for a request.
#[derive(Debug)]
pub(crate) enum TokenOutcome {
    /// The customer is unknown or has no limit.
    NotLimited,
    /// The request may run.
    Taken(Token),
    /// The request must not run.
    Refused(LimitRefusal),
}

/// Cause of a refusal by a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitCause {
    /// The customer is beyond its limit.
    Limited,
    /// The limit can't be checked.
    Unavailable,
}

/// Refusal of a request by its customer's rate limit, before anything was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LimitRefusal {
    pub(crate) customer: Arc<str>,
    pub(crate) cause: LimitCause,
    /// Time after which a retry may succeed, in milliseconds.
    pub(crate) retry_after_ms: u64,
}

impl LimitRefusal {
    pub(crate) fn to_refusal(&self) -> Refusal {
        let customer = self.customer.to_string();
        let reason = match self.cause {
            LimitCause::Limited => RefusalReason::CustomerLimit(customer),
            LimitCause::Unavailable => RefusalReason::LimitUnavailable(customer),
        };
        Refusal::not_run(reason, Some(self.retry_after_ms))
    }

    /// Returns the fields `limited_ms` and `limit_unavailable_ms` of an answer to another instance.
    pub(crate) fn to_wire_ms(&self) -> (u64, u64) {
        // Zero means "not refused" on the wire.
        let retry_after_ms = self.retry_after_ms.max(1);
        match self.cause {
            LimitCause::Limited => (retry_after_ms, 0),
            LimitCause::Unavailable => (0, retry_after_ms),
        }
    }
}

impl Router {
    /// Replaces the tolerance above the rate limits of customers.
    pub fn set_limit_tolerance(&self, tolerance: LimitTolerance) {
        self.customer_limiter.tolerance.set(tolerance);
    }

    /// Takes a token of the request's customer: a held one, or one of the owner or its deputy.
    ///
    /// Dropping the future loses a token that is granted later.
    pub(crate) async fn take_token(
        self: &Rc<Self>,
        view: &Arc<View>,
        request: &Request,
    ) -> TokenOutcome {
        let Some(customer) = limited_customer(view, request) else {
            return TokenOutcome::NotLimited;
        };
        let now_ms = self.shared.now_ms();
        let limiter = &self.customer_limiter;
        let is_active = limiter.held.borrow_mut().record_request(&customer.name, now_ms);
        let renewal = if is_active { self.start_renewal(&customer.name) } else { None };
        if self.try_take_held(&customer.name) {
            if let Some(renewal) = renewal {
                renewal.run(view, &customer);
            }
            return TokenOutcome::Taken(self.token(&customer.name, TokenSource::Advance));
        }
        self.ask_for_token(view, request, &customer, renewal.is_some()).await
    }

    /// Takes a token for a request that was already sent to a delegate, even if none is left.
    ///
    /// The message, if one is needed, is sent in the background.
    pub(crate) fn force_token(
        self: &Rc<Self>,
        view: &Arc<View>,
        request: &Request,
    ) -> Option<Token> {
        let customer = limited_customer(view, request)?;
        let mut token = self.token(&customer.name, TokenSource::Forced);
        token.commit();
        if !self.try_take_held(&customer.name) {
            let request = TokenRequest { needed: 1, is_forced: true, ..TokenRequest::default() };
            self.spawn_ask(view, &customer, request);
        }
        Some(token)
    }

    fn try_take_held(&self, customer: &str) -> bool {
        let now_ms = self.shared.now_ms();
        self.customer_limiter.held.borrow_mut().try_take(customer, now_ms)
    }

    fn token(self: &Rc<Self>, customer: &Arc<str>, source: TokenSource) -> Token {
        metrics::counter!("eelgrasspier_limit_tokens_total", "source" => source.label())
            .increment(1);
        Token::new(Rc::clone(self), Arc::clone(customer), source)
    }

    /// Starts the renewal of a customer's held token; returns `None` if there is one already.
    fn start_renewal(self: &Rc<Self>, customer: &Arc<str>) -> Option<Renewal> {
        let is_new = self.customer_limiter.renewing.borrow_mut().insert(Arc::clone(customer));
        is_new.then(|| Renewal { router: Rc::clone(self), customer: Arc::clone(customer) })
    }

    /// Keeps tokens that were granted beyond the needed ones.
    fn hold_tokens(&self, customer: &Arc<str>, count: u32) {
        for _ in 0..count {
            let now_ms = self.shared.now_ms();
            if !self.customer_limiter.held.borrow_mut().add(customer, now_ms) {
                self.schedule_return(customer, 1);
            }
        }
    }

    fn schedule_return(&self, customer: &Arc<str>, count: u32) {
        let mut pending_returns = self.customer_limiter.pending_returns.borrow_mut();
        *pending_returns.entry(Arc::clone(customer)).or_default() += count;
    }

    /// Gives back the token of a request that did not run.
    fn give_back_token(&self, customer: &Arc<str>) {
        let view = self.shared.view.load_full();
        let owner = self.limit_targets(&view, customer).into_iter().next();
        match (owner, customer_limit(&view, customer)) {
            (Some(AskTarget::Own { standing }), Some(limit)) => {
                let returned = TokenRequest { returned: 1, ..TokenRequest::default() };
                self.answer_from_ledger(customer, limit, standing, returned);
            }
            _ => self.hold_tokens(customer, 1),
        }
    }

    /// Answers another instance's request for tokens.
    #[must_use]
    pub fn answer_limit(&self, request: &LimitRequest) -> LimitAnswer {
        let view = self.shared.view.load_full();
        let customers = view.configuration.as_ref().and_then(|c| c.customers.as_ref());
        let Some(customer) = customers.and_then(|c| c.named(&request.customer)) else {
            return to_wire(TokenAnswer::Unavailable { retry_after_ms: UNAVAILABLE_RETRY_MS });
        };
        let Some(limit) = customer.limit else {
            return to_wire(TokenAnswer::Granted { advance: 0 });
        };
        let targets = self.limit_targets(&view, &customer.name);
        let own = targets.into_iter().find_map(|target| match target {
            AskTarget::Own { standing } => Some(standing),
            AskTarget::Peer(_) => None,
        });
        let Some(standing) = own else {
            return to_wire(TokenAnswer::Unavailable { retry_after_ms: UNAVAILABLE_RETRY_MS });
        };
        let token_request = TokenRequest {
            needed: request.needed,
            returned: request.returned,
            is_forced: request.is_forced,
            wants_advance: request.wants_advance,
        };
        to_wire(self.answer_from_ledger(&customer.name, limit, standing, token_request))
    }

    fn answer_from_ledger(
        &self,
        customer: &Arc<str>,
        limit: RateLimit,
        standing: Standing,
        request: TokenRequest,
    ) -> TokenAnswer {
        let now_ms = self.shared.now_ms();
        self.log_role(&standing, now_ms);
        let limiter = &self.customer_limiter;
        let limit = (limit, &limiter.tolerance.get());
        limiter.ledger.borrow_mut().answer(customer, limit, standing.role(), request, now_ms)
    }

    /// Returns the instances that may grant tokens of a customer, the owner first.
    fn limit_targets(&self, view: &View, customer: &str) -> Vec<AskTarget> {
        let ranked = self.owner_ranking(view, customer);
        let target = |(rank, index): (usize, usize)| match view.gatherers.get(index) {
            Some(peer) => AskTarget::Peer(peer.clone()),
            None => AskTarget::Own { standing: self.standing(view, rank) },
        };
        ranked.into_iter().enumerate().take(2).map(target).collect()
    }

    /// Returns the gathering instances in the order in which they may own `key`, the owner first.
    ///
    /// They are positions in `view.gatherers`, whose length stands for this instance. `key` is the name of a customer, or of a service for its retry pool.
    pub(crate) fn owner_ranking(&self, view: &View, key: &str) -> Vec<usize> {
        let mut candidates: Vec<Candidate> =
            view.gatherers.iter().map(Peer::gather_candidate).collect();
        if view.is_gatherer {
            candidates.push(Candidate { key: self.key, capacity_milli: view.capacity_milli });
        }
        fleet_limit::ranking(key, &candidates)
    }

    /// Returns what this instance knows about its own position in a ranking.
    ///
    /// While it knows no majority, there may be another owner on the other side of a partition.
    pub(crate) fn standing(&self, view: &View, rank: usize) -> Standing {
        let now_ms = self.shared.now_ms();
        let connection = self.shared.connection();
        let majority_settled_at_ms = &self.customer_limiter.majority_settled_at_ms;
        let mut standing = Standing {
            rank,
            is_connected: connection.is_settled(view.fleet_size, now_ms),
            known_instances: known_instances(view),
            fleet_size: view.fleet_size,
            settled_at_ms: view
                .gatherer_stability
                .settled_at_ms(None)
                .max(connection.settled_at_ms()),
        };
        if !standing.knows_majority() {
            majority_settled_at_ms.set(now_ms + fleet_limit::SETTLE_DELAY_MS);
        }
        standing.settled_at_ms = standing.settled_at_ms.max(majority_settled_at_ms.get());
        standing
    }

    /// Updates what this instance may grant after a change of the view, and from time to time.
    ///
    /// Buckets are dropped where another instance may grant from now on.
    pub(crate) fn update_limit_roles(&self, view: &View) {
        let may_own = matches!(self.standing(view, 0).role(), Role::Owner { .. });
        let own = view.gatherers.len();
        let is_owner =
            |customer: &str| may_own && self.owner_ranking(view, customer).first() == Some(&own);
        self.customer_limiter.ledger.borrow_mut().retain_owned(is_owner);
    }

    /// Logs when this instance gains or loses what it needs to grant tokens.
    fn log_role(&self, standing: &Standing, now_ms: u64) {
        let last = self.customer_limiter.last_role_line.get();
        let (is_connected, knows_majority) = (standing.is_connected, standing.knows_majority());
        let is_same = (last.is_connected, last.knows_majority) == (is_connected, knows_majority);
        let is_recent = last.logged_ms.is_some_and(|at_ms| now_ms < at_ms + ROLE_LINE_INTERVAL_MS);
        if is_same || is_recent {
            return;
        }
        let logged_ms = Some(now_ms);
        self.customer_limiter.last_role_line.set(RoleLine {
            is_connected,
            knows_majority,
            logged_ms,
        });
        let Standing { known_instances, fleet_size, .. } = standing;
        log::info!(
            "event=limit_role connected={is_connected} majority={knows_majority} \
             known={known_instances} fleet={fleet_size}"
        );
    }

    /// Returns unused tokens and removes idle buckets, from time to time.
    pub async fn maintain_limits(self: Rc<Self>) {
        loop {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            self.maintain_limits_once();
        }
    }

    fn maintain_limits_once(self: &Rc<Self>) {
        let limiter = &self.customer_limiter;
        let now_ms = self.shared.now_ms();
        for (customer, count) in limiter.held.borrow_mut().take_expired(now_ms) {
            self.schedule_return(&customer, count);
        }
        let view = self.shared.view.load_full();
        self.update_limit_roles(&view);
        for (name, returned) in limiter.pending_returns.take() {
            // Without a limit there is no bucket to which the tokens could return.
            if let Some(limit) = customer_limit(&view, &name) {
                let request = TokenRequest { returned, ..TokenRequest::default() };
                self.spawn_ask(&view, &LimitedCustomer { name, limit }, request);
            }
        }
        let is_limited = |customer: &str| customer_limit(&view, customer).is_some();
        limiter.ledger.borrow_mut().remove_idle(&limiter.tolerance.get(), is_limited, now_ms);
        let buckets = u32::try_from(limiter.ledger.borrow().len()).unwrap_or(u32::MAX);
        metrics::gauge!("eelgrasspier_limit_buckets").set(f64::from(buckets));
        let has_customers = view.configuration.as_ref().is_some_and(|c| c.customers.is_some());
        if has_customers && view.is_gatherer {
            self.log_role(&self.standing(&view, 0), now_ms);
        }
    }
}

/// Marks the renewal of a customer's held token as ended when dropped.
struct Renewal {
    router: Rc<Router>,
    customer: Arc<str>,
}

impl Renewal {
    /// Replaces a used token by a new one in the background.
    fn run(self, view: &Arc<View>, customer: &LimitedCustomer) {
        let (view, customer) = (Arc::clone(view), customer.clone());
        actix_rt::spawn(async move {
            let request = TokenRequest { wants_advance: true, ..TokenRequest::default() };
            self.router.ask_in_background(&view, &customer, request).await;
        });
    }
}

impl Drop for Renewal {
    fn drop(&mut self) {
        self.router.customer_limiter.renewing.borrow_mut().remove(&self.customer);
    }
}

fn limited_customer(view: &View, request: &Request) -> Option<LimitedCustomer> {
    let name = request.customer.as_ref()?;
    let limit = customer_limit(view, name)?;
    Some(LimitedCustomer { name: Arc::clone(name), limit })
}

fn customer_limit(view: &View, customer: &str) -> Option<RateLimit> {
    view.configuration.as_ref()?.customers.as_ref()?.named(customer)?.limit
}

fn known_instances(view: &View) -> u64 {
    u64::try_from(view.peers.len()).unwrap_or(u64::MAX).saturating_add(1)
}

fn to_wire(answer: TokenAnswer) -> LimitAnswer {
    let (outcome, retry_after_ms, advance) = match answer {
        TokenAnswer::Granted { advance } => (LimitOutcome::Granted, 0, advance),
        TokenAnswer::Limited { retry_after_ms } => (LimitOutcome::Limited, retry_after_ms, 0),
        TokenAnswer::Unavailable { retry_after_ms } => {
            (LimitOutcome::Unavailable, retry_after_ms, 0)
        }
    };
    LimitAnswer { outcome: outcome.into(), retry_after_ms, advance }
}
