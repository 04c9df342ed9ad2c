//! Refusals as `application/problem+json` (RFC 9457).

use actix_web::HttpResponse;
use actix_web::http::{StatusCode, header};
use eelgrasspier_decide::verdict::{Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

use crate::request::headers;

/// Body of a refusal, as defined by RFC 9457.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type, as a stable relative reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation for humans.
    pub detail: String,
    /// `not_run` or `may_have_run`.
    pub verdict: String,
    /// Id of the request.
    pub request_id: String,
    /// Time in milliseconds after which a retry is worthwhile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Returns the HTTP response for a refusal.
#[must_use]
pub fn problem_response(refusal: &Refusal, request_id: &str) -> HttpResponse {
    const MS_PER_SECOND: u64 = 1000;
    let (status, kind) = classify(&refusal.reason);
    let problem = Problem {
        kind: format!("/problems/{kind}"),
        status: status.as_u16(),
        detail: refusal.reason.to_string(),
        verdict: refusal.verdict.to_string(),
        request_id: request_id.to_owned(),
        retry_after_ms: refusal.retry_after_ms,
    };
    let mut response = HttpResponse::build(status);
    response
        .insert_header((headers::REQUEST_ID, request_id))
        .insert_header((headers::VERDICT, problem.verdict.as_str()));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_PER_SECOND);
        response.insert_header((header::RETRY_AFTER, seconds));
    }
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    response.content_type("application/problem+json").body(body)
}

fn classify(reason: &RefusalReason) -> (StatusCode, &'static str) {
    use RefusalReason as R;
    match reason {
        R::BadRequest(_) => (StatusCode::BAD_REQUEST, "bad-request"),
        R::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
        R::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "body-timeout"),
        R::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no-room"),
        R::UnknownService(_) => (StatusCode::NOT_FOUND, "unknown-service"),
        R::UnknownRoute(_) => (StatusCode::NOT_FOUND, "unknown-route"),
        R::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
        R::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        R::TeamShare(_) => (StatusCode::TOO_MANY_REQUESTS, "team-share"),
        R::NoSnapshot => (StatusCode::SERVICE_UNAVAILABLE, "no-snapshot"),
        R::SnapshotGone(_) => (StatusCode::CONFLICT, "snapshot-gone"),
        R::Coverage { .. } => (StatusCode::SERVICE_UNAVAILABLE, "coverage"),
        R::DeadlineTooClose => (StatusCode::GATEWAY_TIMEOUT, "too-late"),
        R::ClaimUnavailable => (StatusCode::SERVICE_UNAVAILABLE, "claim-unavailable"),
        R::AlreadyClaimed => (StatusCode::CONFLICT, "already-claimed"),
        R::KeyExpired => (StatusCode::CONFLICT, "key-expired"),
        R::AnswerLost => (StatusCode::BAD_GATEWAY, "answer-lost"),
        R::NoReplica => (StatusCode::SERVICE_UNAVAILABLE, "no-replica"),
        R::CrashesReplicas => (StatusCode::SERVICE_UNAVAILABLE, "ends-replicas"),
        R::NeverAnswered => (StatusCode::SERVICE_UNAVAILABLE, "never-answered"),
        R::BackendRefused(_) => (StatusCode::BAD_GATEWAY, "backend-refused"),
        R::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        R::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown-key"),
        R::KeyUnconfirmed => (StatusCode::SERVICE_UNAVAILABLE, "key-unconfirmed"),
        R::CustomerLimit(_) => (StatusCode::TOO_MANY_REQUESTS, "customer-limit"),
        R::LimitUnavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "limit-unavailable"),
        R::LowPriority => (StatusCode::SERVICE_UNAVAILABLE, "low-priority"),
    }
}
