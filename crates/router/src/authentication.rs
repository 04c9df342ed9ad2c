//! Checks the API keys of callers' requests and counts the requests of each customer.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::authentication::{KeyCheck, KeyRefusal, PresentedKey};
use eelgrasspier_decide::freshness::ConfigurationSources;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_decide::route::Route;

use crate::log_budget::LogBudget;
use crate::model::{Credential, Request};
use crate::router::Router;
use crate::view::View;

/// Retry delay sent to callers whose key can't be checked, in milliseconds.
///
/// An instance that reaches the store or another instance again is current within a second.
const UNCONFIRMED_RETRY_MS: u64 = 500;
/// Maximum number of lines on refused keys in a second; the metric counts all of them.
const MAX_LINES_PER_S: u32 = 20;
/// Maximum number of customers with a metric label of their own.
const MAX_CUSTOMER_LABELS: usize = 128;
/// Metric label of all further customers.
const OTHER_CUSTOMERS: &str = "other";

/// State of the checks of API keys.
#[derive(Debug)]
pub(crate) struct Authentication {
    /// Time without a confirmed configuration after which keys are refused.
    revocation_timeout: Cell<Option<Duration>>,
    refused_lines: LogBudget,
    labelled_customers: RefCell<HashSet<Arc<str>>>,
}

impl Default for Authentication {
    fn default() -> Self {
        Self {
            revocation_timeout: Cell::default(),
            refused_lines: LogBudget::new(MAX_LINES_PER_S),
            labelled_customers: RefCell::default(),
        }
    }
}

impl Router {
    /// Replaces the time without a confirmed configuration after which API keys are refused.
    ///
    /// `None` accepts them for any time.
    pub fn set_revocation_timeout(&self, timeout: Option<Duration>) {
        self.authentication.revocation_timeout.set(timeout);
    }

    /// Checks the request's key and sets its customer; returns the route with its priority.
    ///
    /// If the view's configuration has customers, the headers that state an identity are removed.
    /// `sources` must have been read before the view.
    pub(crate) fn authenticate(
        &self,
        view: &View,
        sources: &ConfigurationSources,
        route: &Arc<Route>,
        request: &mut Request,
    ) -> Result<Arc<Route>, Refusal> {
        let Some(customers) = view.customers() else { return Ok(Arc::clone(route)) };
        self.remove_identity_headers(request);
        let timeout = self.authentication.revocation_timeout.get();
        let to_ms = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
        let now_ms = self.shared.now_ms();
        let check =
            KeyCheck { customers, sources, revocation_timeout_ms: timeout.map(to_ms), now_ms };
        let presented = match &request.credential {
            Credential::None => PresentedKey::Missing,
            Credential::Key(key) => PresentedKey::Key(key),
            Credential::Malformed => PresentedKey::Malformed,
        };
        let customer = check.authenticate(presented, route.is_public).map_err(|cause| {
            let unconfirmed_ms = sources.unconfirmed_ms(now_ms);
            self.record_key_refusal(view, route, request, (cause, unconfirmed_ms), now_ms);
            to_refusal(cause)
        })?;
        request.customer = customer.map(|c| Arc::clone(&c.name));
        let priority = customer.and_then(|c| c.priority).unwrap_or(route.priority);
        if priority == route.priority {
            return Ok(Arc::clone(route));
        }
        Ok(Arc::new(Route { priority, ..Route::clone(route) }))
    }

    /// Counts a request that is refused by its key, and logs it within the budget.
    fn record_key_refusal(
        &self,
        view: &View,
        route: &Route,
        request: &Request,
        (cause, unconfirmed_ms): (KeyRefusal, u64),
        now_ms: u64,
    ) {
        metrics::counter!("eelgrasspier_keys_refused_total", "cause" => cause.to_string())
            .increment(1);
        if let Some(skipped) = self.authentication.refused_lines.try_take(now_ms) {
            log::info!(
                "event=key_refused id={} route={} cause={cause} version={} \
                 unconfirmed_ms={unconfirmed_ms} skipped={skipped}",
                request.id_text(),
                route.name,
                view.configuration_version()
            );
        }
    }

    /// Removes the headers that state an identity.
    pub(crate) fn remove_identity_headers(&self, request: &mut Request) {
        for name in self.backend.identity_headers() {
            request.headers.remove(name);
        }
    }

    /// Counts an outcome for the request's customer, if it has one.
    pub(crate) fn count_customer_outcome(&self, request: &Request, outcome: &'static str) {
        let Some(customer) = &request.customer else { return };
        let mut labelled = self.authentication.labelled_customers.borrow_mut();
        if !labelled.contains(customer) && labelled.len() < MAX_CUSTOMER_LABELS {
            labelled.insert(Arc::clone(customer));
        }
        let label = if labelled.contains(customer) { customer } else { OTHER_CUSTOMERS };
        metrics::counter!(
            "eelgrasspier_customer_requests_total",
            "customer" => label.to_owned(), "outcome" => outcome
        )
        .increment(1);
    }
}

fn to_refusal(cause: KeyRefusal) -> Refusal {
    if cause.is_retryable() {
        Refusal::not_run(RefusalReason::KeyUnconfirmed, Some(UNCONFIRMED_RETRY_MS))
    } else {
        Refusal::not_run(RefusalReason::UnknownKey, None)
    }
}
