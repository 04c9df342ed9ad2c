//! From what was gathered to what the caller gets, and the line that tells it.

use eelgrasspier_decide::merge::Greatest;
use eelgrasspier_decide::prelude::Refusal;
use eelgrasspier_decide::route::Route;

use crate::gather::Gathered;
use crate::model::{Merged, Outcome, Request};

/// When to come back where no replica is known: the list is a second old at the most.
const NO_REPLICA_RETRY_MS: u64 = 300;
/// The outcome of a request to one replica.
pub(crate) fn hand_on(gathered: Gathered) -> Outcome {
    let refusal = gathered.refusal(NO_REPLICA_RETRY_MS);
    let reply = gathered.replies.into_iter().next().map(|(_, reply)| reply);
    reply.or(gathered.failure).map_or(Outcome::Refused(refusal), Outcome::Relayed)
}

/// The outcome of a request to `total` shards.
pub(crate) fn merge(route: &Route, total: usize, gathered: Gathered) -> Outcome {
    let merged_parts: usize = gathered.merged.iter().map(|m| m.parts.len()).sum();
    if gathered.replies.len() + merged_parts < route.least_shards(total) {
        return Outcome::Refused(gathered.refusal(NO_REPLICA_RETRY_MS));
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

/// Writes the line of a request and counts it.
pub(crate) fn note_outcome(request: &Request, route: &str, version: u64, outcome: &Outcome) {
    let took = request.arrived.elapsed();
    let (name, detail) = match outcome {
        Outcome::Relayed(reply) => ("relayed", format!("status={}", reply.status.as_u16())),
        Outcome::Merged(merged) => {
            ("merged", format!("parts={} missing={}", merged.signatures.len(), merged.missing))
        }
        Outcome::Refused(refusal) => {
            let wait = refusal.retry_after_ms.unwrap_or(0);
            let Refusal { verdict, reason, .. } = refusal;
            ("refused", format!("verdict={verdict} reason=\"{reason}\" retry_after_ms={wait}"))
        }
    };
    metrics::counter!("eelgrasspier_requests_total", "outcome" => name).increment(1);
    metrics::histogram!("eelgrasspier_request_seconds", "outcome" => name)
        .record(took.as_secs_f64());
    let id = request.id_text();
    let took_ms = took.as_millis();
    log::info!("event={name} id={id} route={route} version={version} {detail} took_ms={took_ms}");
}
