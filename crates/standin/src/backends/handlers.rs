//! HTTP handlers of a replica.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json, Path};
use actix_web::{HttpRequest, HttpResponse};
use tokio::sync::Notify;

use super::{Connection, Faults, Loaded, MAX_QUEUE, Replica, Replicas, SILENCE, lock};

fn replica_of(request: &HttpRequest, replicas: &Replicas) -> Option<Arc<Replica>> {
    replicas.get(&request.app_config().local_addr().port()).cloned()
}

fn number(request: &HttpRequest, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn text(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Applies silence and connection delay before a request is handled.
async fn begin(request: &HttpRequest, replica: &Replica) {
    let Some(connection) = request.conn_data::<Connection>() else { return };
    // The `/standin` routes don't call this function, so tests can always reach them.
    if lock(&replica.faults).is_lost
        || connection.number <= replica.silent_up_to.load(Ordering::Acquire)
    {
        tokio::time::sleep(SILENCE).await;
    }
    if !connection.is_warm.swap(true, Ordering::AcqRel) {
        tokio::time::sleep(Duration::from_millis(replica.shape.connect_ms)).await;
    }
}

fn is_shed(replica: &Replica) -> bool {
    let is_full = replica.load.load(Ordering::Acquire) > MAX_QUEUE;
    let sheds = is_full || lock(&replica.faults).is_shedding;
    let mut counters = lock(&replica.counters);
    counters.shed += u64::from(sheds);
    sheds
}

pub(super) async fn query(
    request: HttpRequest,
    body: Bytes,
    replicas: Data<Replicas>,
) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    begin(&request, &replica).await;
    let version = number(&request, "index-version").unwrap_or_default();
    let faults = lock(&replica.faults).clone();
    if !faults.versions.iter().any(|(held, _)| *held == version) {
        return replica.respond(409).finish();
    }
    if is_shed(&replica) {
        return replica.respond(503).finish();
    }
    let _loaded = Loaded::new(&replica);
    {
        let mut counters = lock(&replica.counters);
        counters.parts += 1;
        counters.after_drain += u64::from(faults.is_draining);
    }
    let id = text(&request, "request-id");
    let cancelled = Arc::new(Notify::new());
    lock(&replica.working).insert(id.clone(), Arc::clone(&cancelled));
    let time_left = Duration::from_millis(number(&request, "time-left-ms").unwrap_or(0));
    let is_done = replica.work(time_left, &cancelled).await;
    lock(&replica.working).remove(&id);
    if !is_done {
        lock(&replica.counters).cancelled += 1;
        return replica.respond(504).finish();
    }
    let answer = serde_json::json!({
        "service": text(&request, "query-service"),
        "shard": replica.shard,
        "version": version,
        "echo": String::from_utf8_lossy(&body),
    });
    replica.respond(200).insert_header(("index-version", version)).json(answer)
}

pub(super) async fn run(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    begin(&request, &replica).await;
    if is_shed(&replica) {
        return replica.respond(503).finish();
    }
    let _loaded = Loaded::new(&replica);
    let key = text(&request, "idempotency-key");
    {
        let is_draining = lock(&replica.faults).is_draining;
        let mut counters = lock(&replica.counters);
        *counters.runs.entry(key.clone()).or_default() += 1;
        counters.after_drain += u64::from(is_draining);
    }
    let time_left = Duration::from_millis(number(&request, "time-left-ms").unwrap_or(0));
    replica.work(time_left, &Notify::new()).await;
    replica.respond(200).body(format!("ran {key}"))
}

pub(super) async fn state(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    begin(&request, &replica).await;
    replica.respond(200).finish()
}

pub(super) async fn cancel(
    request: HttpRequest,
    id: Path<String>,
    replicas: Data<Replicas>,
) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    begin(&request, &replica).await;
    if let Some(cancelled) = lock(&replica.working).get(id.as_str()) {
        cancelled.notify_one();
    }
    replica.respond(200).finish()
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
        replica.silent_up_to.store(opened, Ordering::Release);
    }
    *current = faults;
    HttpResponse::NoContent().finish()
}

pub(super) async fn get_counters(request: HttpRequest, replicas: Data<Replicas>) -> HttpResponse {
    let Some(replica) = replica_of(&request, &replicas) else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().json(&*lock(&replica.counters))
}
