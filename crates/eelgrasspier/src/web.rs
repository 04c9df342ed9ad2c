//! HTTP interface for callers and operators.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::http::header;
use actix_web::web::{self, Bytes, Data, Path, Payload, Query as UrlQuery};
use actix_web::{HttpRequest, HttpResponse};
use eelgrasspier_caller::{
    Answer, BodyError, Charge, Connection, RequestError, RequestParams, RunAnswer, RunParams,
    problem_response, read_payload,
};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_operator::{SubmitRequest, SubmitResponse, tokens_match};
use eelgrasspier_telemetry::MetricsExporter;
use serde::Deserialize;

use crate::clock::epoch_ms;
use crate::event;
use crate::query::Query;
use crate::run::Run;
use crate::service::ServiceState;
use crate::shared::ControlRequest;
use crate::traffic::TrafficThread;

/// Retry delay suggested by an instance that is not ready or is stopping.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;

/// Retry delay for requests that are refused since callers hold all the memory or connections.
const NO_ROOM_RETRY_AFTER_MS: u64 = 250;
/// Maximum size of the body of an administration request: the text, escaped as JSON.
const MAX_ADMIN_BODY_BYTES: usize = 4 << 20;
/// Time within which the body of an administration request must be complete.
const ADMIN_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Registers all routes.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/services/{service}/query", web::post().to(query))
        .route("/v1/services/{service}/run", web::post().to(run))
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics_text))
        .route("/admin/status", web::get().to(status))
        .route("/admin/timeline", web::get().to(timeline))
        .route("/admin/text", web::get().to(show_text))
        .route("/admin/text", web::put().to(submit_text));
}

type TrafficData = Data<Rc<TrafficThread>>;

async fn query(
    request: HttpRequest,
    name: Path<String>,
    payload: Payload,
    traffic: TrafficData,
) -> HttpResponse {
    let started = Instant::now();
    let request_id = new_request_id();
    let response = match try_query(&request, &name, payload, &traffic, &request_id).await {
        Ok(answer) => {
            count_shards(&answer);
            answer.to_response(&request)
        }
        Err(refusal) => {
            let detail = refusal.reason.to_string();
            traffic.shared.timeline.record_rate_limited(event::QUERY_REFUSED, &request_id, &detail);
            refusal_response(&refusal, &request_id)
        }
    };
    let took_s = started.elapsed().as_secs_f64();
    metrics::histogram!("eelgrasspier_query_seconds").record(took_s);
    close_if_stopping(response, &traffic)
}

async fn try_query(
    request: &HttpRequest,
    name: &str,
    payload: Payload,
    traffic: &Rc<TrafficThread>,
    request_id: &Rc<str>,
) -> Result<Answer, Refusal> {
    let started = Instant::now();
    let parse = |service: &ServiceState| RequestParams::try_from((request, &*service.spec));
    let (service, params) = parse_request(name, traffic, parse)?;
    let deadline = started + Duration::from_millis(params.deadline_ms);
    let body = read_body(request, payload, service.spec.max_request_bytes, deadline).await?;
    let _copies = charge_copies(request, &service, &body)?;
    let request_id = Rc::clone(request_id);
    Query { service, params, request_id, body, deadline }.execute(traffic).await
}

fn count_shards(answer: &Answer) {
    let (covered, missed) = (answer.covered.len() as u64, answer.missed.len() as u64);
    metrics::counter!("eelgrasspier_shards_covered_total").increment(covered);
    metrics::counter!("eelgrasspier_shards_missed_total").increment(missed);
}

async fn run(
    request: HttpRequest,
    name: Path<String>,
    payload: Payload,
    traffic: TrafficData,
) -> HttpResponse {
    let request_id = new_request_id();
    let response = match try_run(&request, &name, payload, &traffic, &request_id).await {
        Ok(answer) => answer.to_response(),
        Err(refusal) => refusal_response(&refusal, &request_id),
    };
    close_if_stopping(response, &traffic)
}

async fn try_run(
    request: &HttpRequest,
    name: &str,
    payload: Payload,
    traffic: &Rc<TrafficThread>,
    request_id: &Rc<str>,
) -> Result<RunAnswer, Refusal> {
    let started = Instant::now();
    let parse = |service: &ServiceState| RunParams::parse(request, &service.spec, epoch_ms());
    let (service, params) = parse_request(name, traffic, parse)?;
    let deadline = started + Duration::from_millis(params.common.deadline_ms);
    let body = read_body(request, payload, service.spec.max_request_bytes, deadline).await?;
    let run = Run { service, params, request_id: Rc::clone(request_id), body, deadline };
    let traffic = Rc::clone(traffic);
    // Run in a separate task, so that a caller that disconnects does not abort a started run.
    let task = actix_rt::spawn(async move { run.execute(&traffic).await });
    task.await.unwrap_or_else(|_| Err(Refusal::may_have_run(RefusalReason::AnswerLost)))
}

/// Finds the service and validates the headers.
fn parse_request<C>(
    name: &str,
    traffic: &Rc<TrafficThread>,
    parse: impl FnOnce(&ServiceState) -> Result<C, RequestError>,
) -> Result<(Rc<ServiceState>, C), Refusal> {
    let service = find_service(traffic, name)?;
    let params = parse(&service).map_err(|error| bad_request(&error))?;
    Ok((service, params))
}

/// Reads the body; no backend server is contacted.
async fn read_body(
    request: &HttpRequest,
    payload: Payload,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let Some(connection) = request.conn_data::<Rc<Connection>>() else {
        return Err(Refusal::not_run(RefusalReason::NoRoom, Some(NO_ROOM_RETRY_AFTER_MS)));
    };
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let body = read_payload(connection, payload, is_chunked, max_bytes, deadline.into()).await;
    body.map_err(|error| match error {
        BodyError::TooLarge(max_bytes) => {
            Refusal::not_run(RefusalReason::BodyTooLarge(max_bytes), None)
        }
        BodyError::TimedOut => Refusal::not_run(RefusalReason::BodyTimeout, None),
        BodyError::NoRoom => Refusal::not_run(RefusalReason::NoRoom, Some(NO_ROOM_RETRY_AFTER_MS)),
        BodyError::Stopping => {
            Refusal::not_run(RefusalReason::Stopping, Some(NOT_READY_RETRY_AFTER_MS))
        }
        error @ BodyError::Incomplete => {
            Refusal::not_run(RefusalReason::BadRequest(error.to_string()), None)
        }
        BodyError::Refused(never) => match never {},
    })
}

/// Charges the copies of a body in the buffers of its requests to shards.
fn charge_copies(
    request: &HttpRequest,
    service: &ServiceState,
    body: &Bytes,
) -> Result<Option<Charge>, Refusal> {
    let Some(connection) = request.conn_data::<Rc<Connection>>() else { return Ok(None) };
    let bytes = body.len().saturating_mul(service.shards.len());
    let no_room = || Refusal::not_run(RefusalReason::NoRoom, Some(NO_ROOM_RETRY_AFTER_MS));
    connection.charge_copies(bytes).map(Some).ok_or_else(no_room)
}

fn find_service(traffic: &Rc<TrafficThread>, name: &str) -> Result<Rc<ServiceState>, Refusal> {
    let service = traffic.service(name);
    let view = traffic.view.borrow();
    if view.version.is_none() || view.share_bounds.is_empty() {
        return Err(Refusal::not_run(RefusalReason::NotReady, Some(NOT_READY_RETRY_AFTER_MS)));
    }
    service.ok_or_else(|| Refusal::not_run(RefusalReason::UnknownService(name.to_owned()), None))
}

fn bad_request(error: &RequestError) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest(error.to_string()), None)
}

fn refusal_response(refusal: &Refusal, request_id: &str) -> HttpResponse {
    let verdict = refusal.verdict.to_string();
    metrics::counter!("eelgrasspier_refusals_total", "verdict" => verdict).increment(1);
    let mut response = problem_response(refusal, request_id);
    if is_body_unread(&refusal.reason) {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

/// True if the rest of the request's body may still arrive.
fn is_body_unread(reason: &RefusalReason) -> bool {
    use RefusalReason as R;
    matches!(reason, R::BodyTooLarge(_) | R::BodyTimeout | R::NoRoom | R::Stopping)
}

/// Asks callers to close their connections while the instance is stopping.
///
/// A request sent on an idle connection just as the server closes it would be lost: the caller sees
/// an end of file instead of an answer.
fn close_if_stopping(mut response: HttpResponse, traffic: &TrafficThread) -> HttpResponse {
    if traffic.shared.view.load().is_stopping() {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

fn new_request_id() -> Rc<str> {
    uuid::Uuid::now_v7().simple().to_string().into()
}

async fn ready(traffic: TrafficData) -> HttpResponse {
    let response = if traffic.shared.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    };
    close_if_stopping(response, &traffic)
}

async fn metrics_text(exporter: Data<MetricsExporter>) -> HttpResponse {
    match exporter.render() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => {
            log::error!("cannot render metrics: {error}");
            HttpResponse::InternalServerError().finish()
        }
    }
}

async fn status(traffic: TrafficData) -> HttpResponse {
    json(traffic.shared.call_control(|reply| ControlRequest::Status { reply }).await)
}

#[derive(Debug, Deserialize)]
struct TimelineQuery {
    #[serde(default)]
    about: String,
    #[serde(default)]
    from_stamp: u64,
}

async fn timeline(query: UrlQuery<TimelineQuery>, traffic: TrafficData) -> HttpResponse {
    let TimelineQuery { about, from_stamp } = query.into_inner();
    json(
        traffic
            .shared
            .call_control(|reply| ControlRequest::Timeline { about, from_stamp, reply })
            .await,
    )
}

async fn show_text(traffic: TrafficData) -> HttpResponse {
    match traffic.shared.call_control(|reply| ControlRequest::Text { reply }).await {
        Some(Some(text)) => HttpResponse::Ok().json(text),
        Some(None) => HttpResponse::NotFound().finish(),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn submit_text(request: HttpRequest, payload: Payload, traffic: TrafficData) -> HttpResponse {
    if !may_submit(&request, traffic.shared.settings.admin_token.as_deref()) {
        return HttpResponse::Forbidden().json(SubmitResponse::Forbidden);
    }
    let until = Instant::now() + ADMIN_BODY_TIMEOUT;
    let body = match read_body(&request, payload, MAX_ADMIN_BODY_BYTES, until).await {
        Ok(body) => body,
        Err(refusal) => return refusal_response(&refusal, &new_request_id()),
    };
    let submit_request: SubmitRequest = match serde_json::from_slice(&body) {
        Ok(submit_request) => submit_request,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    let answer =
        traffic.shared.call_control(|reply| ControlRequest::Submit { submit_request, reply }).await;
    let Some(answer) = answer else { return HttpResponse::ServiceUnavailable().finish() };
    let mut response = match &answer {
        SubmitResponse::Accepted { .. } | SubmitResponse::Superseded { .. } => HttpResponse::Ok(),
        SubmitResponse::Conflict { .. } => HttpResponse::Conflict(),
        SubmitResponse::Broken { .. } => HttpResponse::UnprocessableEntity(),
        SubmitResponse::Unknown { .. } => HttpResponse::ServiceUnavailable(),
        SubmitResponse::Forbidden => HttpResponse::Forbidden(),
    };
    response.json(answer)
}

/// Returns true if the request has the token from the settings; false if none is configured.
fn may_submit(request: &HttpRequest, token: Option<&str>) -> bool {
    let given = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix("Bearer "));
    matches!((given, token), (Some(given), Some(wanted)) if tokens_match(given, wanted))
}

fn json<T: serde::Serialize>(value: Option<T>) -> HttpResponse {
    match value {
        Some(value) => HttpResponse::Ok().json(value),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}
