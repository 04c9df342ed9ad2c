//! From what was gathered to what the caller gets, and the line that tells it.

use eelgrasspier_decide::merge::Greatest;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_decide::route::Route;

use crate::gather::Gathered;
use crate::model::{Merged, Outcome, Request};

/// When to come back where no replica is known: the list is a second old at the most.
const NO_REPLICA_RETRY_MS: u64 = 300;

/// The outcome of a request to one replica.
pub(crate) fn single_outcome(gathered: Gathered) -> Outcome {
    let refusal = gathered.refusal(NO_REPLICA_RETRY_MS);
    let reply = gathered.replies.into_iter().next().map(|(_, reply)| reply);
    reply.or(gathered.failure).map_or(Outcome::Refused(refusal), Outcome::Relayed)
}

/// The outcome of a request to `total` shards.
pub(crate) fn merged_outcome(route: &Route, total: usize, gathered: Gathered) -> Outcome {
    let (covered, wanted) = (gathered.parts(), route.least_shards(total));
    if covered < wanted {
        return Outcome::Refused(coverage_refusal(&gathered, covered, wanted));
    }
    let mut greatest = Greatest::new(route.top_k);
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

/// The refusal of a request of which too few shards are in.
fn coverage_refusal(gathered: &Gathered, covered: usize, wanted: usize) -> Refusal {
    let refusal = gathered.refusal(NO_REPLICA_RETRY_MS);
    if refusal.reason != RefusalReason::AnswerLost {
        return refusal;
    }
    let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let reason = RefusalReason::Coverage { covered: to_u32(covered), wanted: to_u32(wanted) };
    Refusal { reason, ..refusal }
}

/// The cause of a refusal, as a label.
fn cause_label(reason: &RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::Coverage { .. } => "coverage",
        RefusalReason::TooLate => "too_late",
        RefusalReason::AnswerLost => "answer_lost",
        RefusalReason::NoReplica => "no_replica",
        RefusalReason::EndsReplicas => "ends_replicas",
        RefusalReason::NotReady => "not_ready",
        RefusalReason::UnknownRoute(_) => "unknown_route",
        _ => "other",
    }
}

/// Writes the line of a request and counts it.
pub(crate) fn record_outcome(request: &Request, route: &str, version: u64, outcome: &Outcome) {
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
    log::info!("event={name} id={id} route={route} version={version} {detail} took_ms={took_ms}");
}
