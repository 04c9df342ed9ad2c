//! Retry pools: extra sends that instances without retry slack of their own borrow.
//!
//! The pool of a service has one owner among the gathering instances, which counts what it lends.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::fleet_limit::Role;
use eelgrasspier_decide::retry_budget::RetryBudget;
use eelgrasspier_peer::wire::{Body, RetryTokenRequest};

use crate::log_budget::LogBudget;
use crate::model::Request;
use crate::router::{NameMap, Router};
use crate::view::{Peer, View};

/// Timeout for the owner's answer: several round trips within a region.
const ASK_TIMEOUT_MS: u64 = 30;
/// Time left for the owner's answer below which it is not asked, in milliseconds.
///
/// A round trip within a region takes up to 6 ms.
const MIN_ASK_TIMEOUT_MS: u64 = 6;
/// Time for which a denial holds for further extra sends to the service, in milliseconds.
///
/// A pool that is spent regains tokens in spans of half a second.
const DENIAL_MS: u64 = 300;

/// Retry pools that this instance owns, and denials by the owners of others.
#[derive(Debug, Default)]
pub(crate) struct RetryPool {
    /// What this instance has lent, by service.
    lent: RefCell<NameMap<RetryBudget>>,
    denials: RefCell<NameMap<Denial>>,
    refused_lines: LogBudget,
}

/// Times until which the pool of a service is not asked, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Denial {
    retries_until_ms: u64,
    hedges_until_ms: u64,
}

/// Purpose of an extra send from a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExtraSend {
    /// Cause of the send in log lines and metrics.
    pub(crate) cause: &'static str,
    /// True for a hedge, which may use only the first half of a pool.
    pub(crate) is_hedge: bool,
}

/// Question to the owner of a pool, asked just before the send.
#[derive(Debug, Clone)]
pub(crate) struct PoolAsk {
    pub(crate) owner: Peer,
    pub(crate) purpose: ExtraSend,
    pub(crate) timeout: Duration,
}

/// Outcome of an attempt to take an extra send from a pool.
#[derive(Debug)]
pub(crate) enum PoolAdmission {
    /// This instance owns the pool and has taken the extra send.
    Taken,
    /// Another instance owns the pool and must be asked.
    Ask(PoolAsk),
    /// There is no pool, or nothing can be taken from it in time.
    Denied,
}

impl Router {
    /// True if `service` has a pool and it has not denied such an extra send recently.
    pub(crate) fn may_use_pool(&self, view: &View, service: &Arc<str>, purpose: ExtraSend) -> bool {
        view.retry_pool_share(service, false).is_some() && !self.is_denied(service, purpose)
    }

    /// Takes an extra send from the pool of `service` if this instance owns it.
    ///
    /// `left_ms` is the time that is left for the owner's answer, in milliseconds.
    pub(crate) fn pool_admission(
        &self,
        view: &View,
        service: &Arc<str>,
        request: &Request,
        purpose: ExtraSend,
        left_ms: u64,
    ) -> PoolAdmission {
        if !self.may_use_pool(view, service, purpose) {
            return PoolAdmission::Denied;
        }
        let Some(&owner) = self.owner_ranking(view, service).first() else {
            return PoolAdmission::Denied;
        };
        let Some(owner) = view.gatherers.get(owner) else {
            let is_taken = self.try_lend(view, service, purpose.is_hedge);
            if !is_taken {
                self.deny(service, purpose);
                self.log_denial(service, request, "own", "denied");
            }
            return if is_taken { PoolAdmission::Taken } else { PoolAdmission::Denied };
        };
        if left_ms < MIN_ASK_TIMEOUT_MS {
            return PoolAdmission::Denied;
        }
        let timeout = Duration::from_millis(left_ms.min(ASK_TIMEOUT_MS));
        PoolAdmission::Ask(PoolAsk { owner: owner.clone(), purpose, timeout })
    }

    /// Asks the owner of a pool for an extra send to `service`; returns false if it is not granted.
    pub(crate) async fn request_retry_token(
        &self,
        ask: &PoolAsk,
        service: &Arc<str>,
        request: &Request,
    ) -> bool {
        let PoolAsk { owner, purpose, timeout } = ask;
        let peer_request = Body::RetryToken(RetryTokenRequest {
            service: service.to_string(),
            request_id: request.id.as_bytes().to_vec().into(),
            is_hedge: purpose.is_hedge,
        });
        // A connection is given up only after the full timeout, since a late answer may still
        // arrive on it.
        let full_timeout = Duration::from_millis(ASK_TIMEOUT_MS);
        let answer = self.peer_connections.request(owner.addr, peer_request, full_timeout);
        let answer = tokio::time::timeout(*timeout, answer).await;
        let is_late = answer.is_err();
        let cause = match answer {
            Ok(Ok(Body::RetryTokenGranted(true))) => return true,
            Ok(Ok(Body::RetryTokenGranted(false))) => "denied".to_owned(),
            // An older version does not know the message.
            Ok(Ok(_)) => "refused the message".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out waiting for the answer".to_owned(),
        };
        // An answer that was late for a shortened timeout says nothing about the pool.
        if !(is_late && *timeout < full_timeout) {
            self.deny(service, *purpose);
        }
        self.log_denial(service, request, &owner.name, &cause);
        false
    }

    /// Answers another instance that wants an extra send from a pool.
    pub fn grant_retry_token(&self, peer_request: &RetryTokenRequest) -> bool {
        let view = self.shared.view.load_full();
        // A service that is not listed has no replica, and the map of pools must not grow with it.
        let Some((service, _)) = view.replicas.get_key_value(peer_request.service.as_str()) else {
            return false;
        };
        self.try_lend(&view, service, peer_request.is_hedge)
    }

    /// Takes an extra send from a pool; returns false if it is spent or not owned by this instance.
    fn try_lend(&self, view: &View, service: &Arc<str>, is_hedge: bool) -> bool {
        let now_ms = self.shared.now_ms();
        let limits = self.retry_limits();
        if now_ms < limits.window_ms {
            // This process may replace one that lent a part of the pool in the same window, and
            // whose successor has lent another part since.
            return false;
        }
        let changed_at_ms = view.gatherer_stability.last_changed_at_ms();
        let is_established = limits.is_established(changed_at_ms, now_ms);
        let Some(share) = view.retry_pool_share(service, is_established) else { return false };
        let is_first = self.owner_ranking(view, service).first() == Some(&view.gatherers.len());
        if !is_first || !matches!(self.standing(view, 0).role(), Role::Owner { .. }) {
            return false;
        }
        let limits = limits.of_pool();
        let mut lent = self.retry_pool.lent.borrow_mut();
        let pool = lent.entry(Arc::clone(service)).or_default();
        let is_reserved = is_hedge && pool.is_half_spent(&limits, share, now_ms);
        !is_reserved && pool.try_take(&limits, share, now_ms)
    }

    fn is_denied(&self, service: &Arc<str>, purpose: ExtraSend) -> bool {
        let denials = self.retry_pool.denials.borrow();
        let denial = denials.get(service).copied().unwrap_or_default();
        let until_ms = if purpose.is_hedge {
            denial.hedges_until_ms.max(denial.retries_until_ms)
        } else {
            denial.retries_until_ms
        };
        self.shared.now_ms() < until_ms
    }

    /// Remembers that the pool of a service does not grant such an extra send.
    fn deny(&self, service: &Arc<str>, purpose: ExtraSend) {
        let now_ms = self.shared.now_ms();
        let mut denials = self.retry_pool.denials.borrow_mut();
        let denial = denials.entry(Arc::clone(service)).or_default();
        // The rest of the pool may still pay for retries after a failure.
        let until_ms = if purpose.is_hedge {
            &mut denial.hedges_until_ms
        } else {
            &mut denial.retries_until_ms
        };
        *until_ms = now_ms + DENIAL_MS;
    }

    /// Logs that an extra send was not granted.
    fn log_denial(&self, service: &Arc<str>, request: &Request, owner: &str, cause: &str) {
        let now_ms = self.shared.now_ms();
        if let Some(skipped) = self.retry_pool.refused_lines.try_take(now_ms) {
            log::info!(
                "event=budget_refused id={} service={service} owner={owner} cause=\"{cause}\" \
                 skipped={skipped}",
                request.id_text()
            );
        }
    }

    /// Drops counts and denials that no longer have an effect.
    pub(crate) fn prune_retry_pools(&self) {
        let now_ms = self.shared.now_ms();
        let limits = self.retry_limits().of_pool();
        let RetryPool { lent, denials, .. } = &self.retry_pool;
        lent.borrow_mut().retain(|_, pool| !pool.is_idle(&limits, now_ms));
        denials
            .borrow_mut()
            .retain(|_, denial| now_ms < denial.retries_until_ms.max(denial.hedges_until_ms));
    }
}
