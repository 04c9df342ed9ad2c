//! HTTP handlers of a replica.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json, Path};
use actix_web::{HttpRequest, HttpResponse};
use tokio::sync::Notify;

use super::{
    Connection, Faults, LoadGuard, MAX_PENDING_REQUESTS, Replica, Replicas, SILENT_DELAY, lock,
};

fn replica_of(request: &HttpRequest, replicas: &Replicas) -> Option<Arc<Replica>> {
    replicas.get(&request.app_config().local_addr().port()).cloned()
}

fn header_u64(request: &HttpRequest, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn header_text(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Applies silence and connection delay before a request is handled.
async fn apply_connection_faults(request: &HttpRequest, replica: &Replica) {
    let Some(connection) = request.conn_data::<Connection>() else { return };
    // The `/standin` routes don't call this function, so tests can always reach them.
    if lock(&replica.faults).is_lost
        || connection.number <= replica.last_silent_connection.load(Ordering::Acquire)
    {
        tokio::time::sleep(SILENT_DELAY).await;
    }
    if !connection.is_warm.swap(true, Ordering::AcqRel) {
        tokio::time::sleep(Duration::from_millis(replica.options.connect_ms)).await;
    }
}

fn shed_if_overloaded(replica: &Replica) -> bool {
    let is_full = replica.load.load(Ordering::Acquire) > MAX_PENDING_REQUESTS;
    let is_shed = is_full || lock(&replica.faults).is_shedding;
    let mut counters = lock(&replica.counters);
    counters.shed += u64::from(is_shed);
    is_shed
}

pub(super) async fn query(
    request: HttpRequest,
    body: Bytes,
    replicas: Data<Replicas>,
) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    apply_connection_faults(&request, &replica).await;
    let id = header_text(&request, "request-id");
    let respond = |status| {
        let mut response = replica.response_builder(status);
        response.insert_header(("request-id", id.as_str()));
        response
    };
    let version = header_u64(&request, "index-version").unwrap_or_default();
    let faults = lock(&replica.faults).clone();
    if !faults.versions.iter().any(|(held_version, _)| *held_version == version) {
        return respond(409).finish();
    }
    if shed_if_overloaded(&replica) {
        return respond(503).finish();
    }
    let _load_guard = LoadGuard::new(&replica);
    {
        let mut counters = lock(&replica.counters);
        counters.parts += 1;
        counters.after_drain += u64::from(faults.is_draining);
    }
    let cancelled = Arc::new(Notify::new());
    lock(&replica.in_progress).insert(id.clone(), Arc::clone(&cancelled));
    let time_left = Duration::from_millis(header_u64(&request, "time-left-ms").unwrap_or(0));
    let is_done = replica.work(time_left, &cancelled).await;
    lock(&replica.in_progress).remove(&id);
    if !is_done {
        lock(&replica.counters).cancelled += 1;
        return respond(504).finish();
    }
    let answer = serde_json::json!({
        "service": header_text(&request, "query-service"),
        "shard": replica.shard,
        "version": version,
        "echo": String::from_utf8_lossy(&body),
    });
    respond(200).insert_header(("index-version", version)).json(answer)
}

pub(super) async fn run(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    apply_connection_faults(&request, &replica).await;
    if shed_if_overloaded(&replica) {
        return replica.response_builder(503).finish();
    }
    let _load_guard = LoadGuard::new(&replica);
    let key = header_text(&request, "idempotency-key");
    {
        let is_draining = lock(&replica.faults).is_draining;
        let mut counters = lock(&replica.counters);
        *counters.runs.entry(key.clone()).or_default() += 1;
        counters.after_drain += u64::from(is_draining);
    }
    let time_left = Duration::from_millis(header_u64(&request, "time-left-ms").unwrap_or(0));
    replica.work(time_left, &Notify::new()).await;
    replica.response_builder(200).body(format!("ran {key}"))
}

pub(super) async fn state(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    apply_connection_faults(&request, &replica).await;
    replica.response_builder(200).finish()
}

pub(super) async fn cancel(
    request: HttpRequest,
    id: Path<String>,
    replicas: Data<Replicas>,
) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    apply_connection_faults(&request, &replica).await;
    if let Some(cancelled) = lock(&replica.in_progress).get(id.as_str()) {
        cancelled.notify_one();
    }
    replica.response_builder(200).finish()
}

pub(super) async fn put_faults(
    request: HttpRequest,
    faults: Json<Faults>,
    replicas: Data<Replicas>,
) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    let mut faults = faults.into_inner();
    let mut current = lock(&replica.faults);
    if faults.versions.is_empty() {
        faults.versions.clone_from(&current.versions);
    }
    if faults.silences_open {
        let opened = lock(&replica.counters).opened;
        replica.last_silent_connection.store(opened, Ordering::Release);
    }
    *current = faults;
    HttpResponse::NoContent().finish()
}

/// Gives the replica another start time, as after a restart of its process.
pub(super) async fn restart(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    replica.started_ms.fetch_add(1, Ordering::AcqRel);
    HttpResponse::NoContent().finish()
}

pub(super) async fn get_counters(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().json(&*lock(&replica.counters))
}
