//! Simulated platform: versioned objects, conditional updates, watches and the instance list.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::http::header;
use actix_web::web::{self, Bytes, Data, Json, Path, Query};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Delay of an answer that counts as lost; clients time out well before it.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(20);
/// Maximum size of an object.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Faults injected into the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers 503 to all object and instance list requests.
    pub is_down: bool,
    /// Delay of each object request, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming updates that take effect, but whose answers are lost.
    pub lost_updates: u32,
    /// Number of coming updates that are lost before they take effect.
    pub dropped_updates: u32,
    /// Reads return the previous version, as from a lagging replica.
    pub is_stale: bool,
}

/// Entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address on which the instance receives gossip.
    pub peer_addr: String,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Vec<(u64, Bytes)>>,
    /// Backup of `objects` that a restore brings back.
    backup: BTreeMap<String, Vec<(u64, Bytes)>>,
    /// Number of restores; sent in the `store-era` header if above 0.
    restore_count: u64,
    faults: Faults,
    visible_instances: Vec<ListedInstance>,
    /// Next instance list and the time at which it becomes visible.
    pending_instances: Option<(Instant, Vec<ListedInstance>)>,
    calls: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_call(&self, kind: &'static str) -> Faults {
        let mut state = self.lock();
        *state.calls.entry(kind).or_default() += 1;
        state.faults.clone()
    }

    /// Returns the visible version and value of an object.
    fn read(&self, name: &str) -> Option<(u64, Bytes)> {
        let state = self.lock();
        let versions = state.objects.get(name)?;
        let newest = versions.len().checked_sub(1)?;
        let visible = if state.faults.is_stale { newest.saturating_sub(1) } else { newest };
        versions.get(visible).cloned()
    }

    fn restore(&self) {
        let mut state = self.lock();
        state.objects = state.backup.clone();
        state.restore_count += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Adds the `store-era` header to an answer if the platform has been restored.
    fn with_restore_header(&self, mut answer: HttpResponse) -> HttpResponse {
        let restore_count = self.lock().restore_count;
        if restore_count > 0 {
            let name = header::HeaderName::from_static("store-era");
            answer.headers_mut().insert(name, header::HeaderValue::from(restore_count));
        }
        answer
    }

    fn update(&self, name: &str, expected: Option<u64>, value: Bytes) -> Result<u64, ()> {
        const KEPT_VERSIONS: usize = 4;
        let mut state = self.lock();
        let versions = state.objects.entry(name.to_owned()).or_default();
        let current = versions.last().map(|(version, _)| *version);
        if current != expected {
            return Err(());
        }
        let version = current.unwrap_or(0) + 1;
        versions.push((version, value));
        let surplus = versions.len().saturating_sub(KEPT_VERSIONS);
        versions.drain(..surplus);
        drop(state);
        self.changed.notify_waiters();
        Ok(version)
    }
}

type PlatformData = Data<Arc<Platform>>;

/// Serves on a free port until killed; prints the address as one line of JSON.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn serve() -> std::io::Result<()> {
    let platform = Arc::new(Platform::default());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(Arc::clone(&platform)))
            .app_data(web::PayloadConfig::new(MAX_OBJECT_BYTES))
            .route("/objects/{name}", web::get().to(get_object))
            .route("/objects/{name}", web::put().to(put_object))
            .route("/instances", web::get().to(get_instances))
            .route("/standin/faults", web::put().to(put_faults))
            .route("/standin/instances", web::put().to(put_instances))
            .route("/standin/copy", web::put().to(put_copy))
            .route("/standin/restore", web::put().to(put_restore))
            .route("/standin/calls", web::get().to(get_calls))
    })
    .workers(1)
    .bind("127.0.0.1:0")?;
    for addr in server.addrs() {
        println!("{{\"addr\":\"{addr}\"}}");
    }
    server.run().await
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    watch_after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

async fn get_object(
    name: Path<String>,
    watch: Query<WatchQuery>,
    platform: PlatformData,
) -> HttpResponse {
    let kind = if watch.watch_after.is_some() { "watch" } else { "read" };
    let faults = platform.count_call(kind);
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.is_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Some(known_version) = watch.watch_after else {
        let read = platform.read(&name);
        return platform.with_restore_header(
            read.map_or_else(|| HttpResponse::NotFound().finish(), object_response),
        );
    };
    let deadline = Instant::now() + Duration::from_millis(watch.wait_ms);
    loop {
        let changed = platform.changed.notified();
        if let Some((version, value)) = platform.read(&name).filter(|(v, _)| *v > known_version) {
            return platform.with_restore_header(object_response((version, value)));
        }
        if tokio::time::timeout_at(deadline.into(), changed).await.is_err() {
            return platform.with_restore_header(HttpResponse::NotModified().finish());
        }
        if platform.lock().faults.is_down {
            return HttpResponse::ServiceUnavailable().finish();
        }
    }
}

fn object_response((version, value): (u64, Bytes)) -> HttpResponse {
    HttpResponse::Ok().insert_header((header::ETAG, format!("\"{version}\""))).body(value)
}

async fn put_object(
    request: HttpRequest,
    name: Path<String>,
    value: Bytes,
    platform: PlatformData,
) -> HttpResponse {
    let faults = platform.count_call("update");
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.is_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if faults.dropped_updates > 0 {
        platform.lock().faults.dropped_updates -= 1;
        tokio::time::sleep(LOST_ANSWER_DELAY).await;
        return HttpResponse::ServiceUnavailable().finish();
    }
    let expected = request.headers().get(header::IF_MATCH);
    let expected = expected.and_then(|v| v.to_str().ok()?.trim_matches('"').parse().ok());
    let updated = platform.update(&name, expected, value);
    if faults.lost_updates > 0 {
        platform.lock().faults.lost_updates -= 1;
        tokio::time::sleep(LOST_ANSWER_DELAY).await;
        return HttpResponse::ServiceUnavailable().finish();
    }
    platform.with_restore_header(match updated {
        Ok(version) => {
            HttpResponse::Ok().insert_header((header::ETAG, format!("\"{version}\""))).finish()
        }
        Err(()) => HttpResponse::PreconditionFailed().finish(),
    })
}

async fn put_copy(platform: PlatformData) -> HttpResponse {
    let mut state = platform.lock();
    state.backup = state.objects.clone();
    HttpResponse::NoContent().finish()
}

async fn put_restore(platform: PlatformData) -> HttpResponse {
    platform.restore();
    HttpResponse::NoContent().finish()
}

async fn get_instances(platform: PlatformData) -> HttpResponse {
    let faults = platform.count_call("instances");
    if faults.is_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut state = platform.lock();
    if let Some((_, list)) =
        state.pending_instances.take_if(|(visible_at, _)| Instant::now() >= *visible_at)
    {
        state.visible_instances = list;
    }
    let answer = HttpResponse::Ok().json(&state.visible_instances);
    drop(state);
    platform.with_restore_header(answer)
}

async fn put_faults(faults: Json<Faults>, platform: PlatformData) -> HttpResponse {
    platform.lock().faults = faults.into_inner();
    platform.changed.notify_waiters();
    HttpResponse::NoContent().finish()
}

#[derive(Debug, Deserialize)]
struct LagQuery {
    #[serde(default)]
    lag_ms: u64,
}

async fn put_instances(
    lag: Query<LagQuery>,
    list: Json<Vec<ListedInstance>>,
    platform: PlatformData,
) -> HttpResponse {
    let visible_at = Instant::now() + Duration::from_millis(lag.lag_ms);
    platform.lock().pending_instances = Some((visible_at, list.into_inner()));
    HttpResponse::NoContent().finish()
}

async fn get_calls(platform: PlatformData) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().calls)
}
