//! Builds the outcome for the caller from the gathered results, and logs it.

use eelgrasspier_decide::merge::{MergeError, TopRecords};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_decide::route::Route;

use crate::gather::Gathered;
use crate::model::{Merged, Outcome, Request};
use crate::view::View;

/// Retry delay sent to callers if no replica is known, in milliseconds.
///
/// The list of replicas is at most a second old.
const NO_REPLICA_RETRY_MS: u64 = 300;
/// Divisor of the caller's time left that gives the maximum retry delay.
///
/// A retry at a third of the time leaves room for a second one before the caller gives up.
const RETRY_DELAY_DIVISOR: u64 = 3;

/// Returns the outcome of a request to a single service.
pub(crate) fn single_outcome(gathered: Gathered) -> Outcome {
    let refusal = gathered.refusal(NO_REPLICA_RETRY_MS);
    let reply = gathered.replies.into_iter().next().map(|(_, reply)| reply);
    reply.or(gathered.failure).map_or(Outcome::Refused(refusal), Outcome::Relayed)
}

/// Returns the outcome of a request to `total` shards.
///
/// Parts that would make up a wrong answer are discarded.
pub(crate) fn merged_outcome(
    request: &Request,
    route: &Route,
    total: usize,
    mut gathered: Gathered,
) -> Outcome {
    if let Err(error) = gathered.check(total, route.top_k) {
        record_rejected_merge(request, "own", error);
        gathered.discard_parts();
    }
    let (covered, wanted) = (gathered.parts(), route.min_shards(total));
    if covered < wanted {
        return Outcome::Refused(coverage_refusal(&gathered, covered, wanted));
    }
    let mut greatest = TopRecords::new(route.top_k);
    let mut signatures = Vec::with_capacity(total);
    for merged in gathered.merged {
        greatest.add(&merged.records);
        signatures.extend(merged.parts.into_iter().map(|(_, signature)| signature));
    }
    for (_, reply) in gathered.replies {
        greatest.add(&reply.body);
        signatures.extend(reply.signature);
    }
    let missing = total - signatures.len();
    Outcome::Merged(Merged { body: greatest.into_bytes().into(), signatures, missing })
}

/// Logs and counts parts that were discarded since an answer of them would be wrong.
///
/// `source` is the instance that merged them, or `own`.
pub(crate) fn record_rejected_merge(request: &Request, source: &str, error: MergeError) {
    metrics::counter!("eelgrasspier_merges_rejected_total").increment(1);
    log::error!("event=merge_rejected id={} source={source} cause=\"{error}\"", request.id_text());
}

/// Returns the refusal of a request with too few covered shards.
fn coverage_refusal(gathered: &Gathered, covered: usize, wanted: usize) -> Refusal {
    let refusal = gathered.refusal(NO_REPLICA_RETRY_MS);
    if refusal.reason != RefusalReason::AnswerLost {
        return refusal;
    }
    let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let reason = RefusalReason::Coverage { covered: to_u32(covered), wanted: to_u32(wanted) };
    Refusal { reason, ..refusal }
}

/// Shortens the retry delay of a refusal by API key, rate limit or priority to fit the time left.
///
/// Refusals for other causes are left as they are.
pub(crate) fn limit_retry_delay(refusal: &mut Refusal, request: &Request, route: &Route) {
    if !matches!(
        refusal.reason,
        RefusalReason::KeyUnconfirmed
            | RefusalReason::CustomerLimit(_)
            | RefusalReason::LimitUnavailable(_)
            | RefusalReason::LowPriority
    ) {
        return;
    }
    let elapsed_ms = u64::try_from(request.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
    let left_ms = request.deadline_ms.unwrap_or(route.timeout_ms).saturating_sub(elapsed_ms);
    let max_ms = (left_ms / RETRY_DELAY_DIVISOR).max(1);
    refusal.retry_after_ms = refusal.retry_after_ms.map(|delay_ms| delay_ms.clamp(1, max_ms));
}

/// Returns the metric label for the cause of a refusal.
fn cause_label(reason: &RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::Coverage { .. } => "coverage",
        RefusalReason::DeadlineTooClose => "too_late",
        RefusalReason::AnswerLost => "answer_lost",
        RefusalReason::NoReplica => "no_replica",
        RefusalReason::CrashesReplicas => "ends_replicas",
        RefusalReason::NeverAnswered => "never_answered",
        RefusalReason::NotReady => "not_ready",
        RefusalReason::UnknownRoute(_) => "unknown_route",
        RefusalReason::UnknownKey => "unknown_key",
        RefusalReason::KeyUnconfirmed => "key_unconfirmed",
        RefusalReason::CustomerLimit(_) => "customer_limit",
        RefusalReason::LimitUnavailable(_) => "limit_unavailable",
        RefusalReason::LowPriority => "low_priority",
        _ => "other",
    }
}

/// Logs the outcome of a request and updates its metrics; returns its metric label.
pub(crate) fn record_outcome(
    request: &Request,
    route: Option<&Route>,
    view: &View,
    outcome: &Outcome,
) -> &'static str {
    let took = request.arrived.elapsed();
    let (name, detail) = match outcome {
        Outcome::Relayed(reply) => ("relayed", format!("status={}", reply.status.as_u16())),
        Outcome::Merged(merged) => {
            ("merged", format!("parts={} missing={}", merged.signatures.len(), merged.missing))
        }
        Outcome::Refused(refusal) => {
            let retry_after_ms = refusal.retry_after_ms.unwrap_or(0);
            let Refusal { verdict, reason, .. } = refusal;
            metrics::counter!("eelgrasspier_refused_total", "cause" => cause_label(reason))
                .increment(1);
            let fingerprint = request.fingerprint();
            let detail = format!(
                "fingerprint={fingerprint} verdict={verdict} reason=\"{reason}\" \
                 retry_after_ms={retry_after_ms}"
            );
            ("refused", detail)
        }
    };
    metrics::counter!("eelgrasspier_requests_total", "outcome" => name).increment(1);
    metrics::histogram!("eelgrasspier_request_seconds", "outcome" => name)
        .record(took.as_secs_f64());
    let id = request.id_text();
    let took_ms = took.as_millis();
    let version = view.configuration_version();
    let identity = identity_fields(request, route, view);
    let route = route.map_or("-", |r| &r.name);
    log::info!(
        "event={name} id={id} route={route} version={version} {identity}{detail} took_ms={took_ms}"
    );
    name
}

/// Returns the log fields for the customer; empty if the configuration has no customers.
fn identity_fields(request: &Request, route: Option<&Route>, view: &View) -> String {
    let Some(route) = route.filter(|_| view.customers().is_some()) else { return String::new() };
    let customer = request.customer.as_deref().unwrap_or("-");
    format!("customer={customer} priority={} ", route.priority)
}
