//! Simulated backend servers of one service, all in one process.
//!
//! Each replica listens on its own port and has its own slots, connection count and
//! injected faults. `PUT /standin/faults` on a replica's port replaces its faults.

mod handlers;

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse, HttpResponseBuilder, HttpServer};
use bpaf::Bpaf;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

/// Number of running and queued requests above which a replica sheds new ones.
const MAX_PENDING_REQUESTS: u64 = 40;
/// Time for which a silent connection delays each request.
const SILENT_DELAY: Duration = Duration::from_mins(1);

/// Options for the backend servers of one service.
#[derive(Debug, Clone, Bpaf)]
pub struct BackendOptions {
    /// Name of the service
    #[bpaf(long, argument("NAME"))]
    pub service: String,
    /// Number of shards
    #[bpaf(long, argument("N"), fallback(20))]
    pub shards: u32,
    /// Replicas of each shard
    #[bpaf(long, argument("N"), fallback(2))]
    pub replicas: u32,
    /// Requests that a replica runs concurrently
    #[bpaf(long, argument("N"), fallback(2))]
    pub slots: u32,
    /// Maximum connections to a replica
    #[bpaf(long, argument("N"), fallback(25))]
    pub connections: u32,
    /// Delay of the first request on each connection, in milliseconds
    #[bpaf(long, argument("MS"), fallback(6))]
    pub connect_ms: u64,
    /// Mean service time of a request, in microseconds
    #[bpaf(long, argument("US"), fallback(3000))]
    pub work_us: u64,
    /// Requests per thousand that take ten times as long
    #[bpaf(long, argument("N"), fallback(5))]
    pub stragglers_per_mille: u64,
    /// Availability zones over which replicas are spread, comma separated
    #[bpaf(long, argument("LIST"), fallback("zone-a,zone-b".to_owned()))]
    pub zones: String,
}

/// Faults injected into a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "each flag enables an independent fault")]
pub struct Faults {
    /// Announces that the replica is draining, while it still serves requests.
    pub is_draining: bool,
    /// Sheds all queries and runs.
    pub is_shedding: bool,
    /// Factor by which the service time is multiplied.
    pub slowness: u64,
    /// Load to report instead of the actual load.
    pub said_load: Option<u32>,
    /// Index versions that the replica holds, with shard counts; empty keeps the current ones.
    pub versions: Vec<(u64, u32)>,
    /// Accepts connections and requests on all connections, but does not answer.
    pub is_lost: bool,
    /// Does not answer on connections opened before this fault was set.
    pub silences_open: bool,
}

/// Counters of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Parts started.
    pub parts: u64,
    /// Parts and runs started while the replica announced that it was draining.
    pub after_drain: u64,
    /// Parts that were cancelled or exceeded their deadline.
    pub cancelled: u64,
    /// Requests shed.
    pub shed: u64,
    /// Maximum number of connections open at the same time.
    pub peak_connections: u64,
    /// Total number of connections opened.
    pub opened: u64,
    /// Runs started, by idempotency key.
    pub runs: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Replica {
    options: BackendOptions,
    shard: u32,
    started_ms: AtomicU64,
    slots: Semaphore,
    load: AtomicU64,
    open_connections: AtomicU64,
    faults: Mutex<Faults>,
    counters: Mutex<Counters>,
    in_progress: Mutex<HashMap<String, Arc<Notify>>>,
    /// Number of the last connection that does not answer; 0 for none.
    last_silent_connection: AtomicU64,
}

type Replicas = Arc<HashMap<u16, Arc<Replica>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An open connection; decrements the count of open connections when dropped.
struct Connection {
    replica: Arc<Replica>,
    number: u64,
    is_warm: AtomicBool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.replica.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves every replica on a free port and prints the addresses as one line of JSON.
///
/// # Errors
/// Fails if a port can't be bound.
pub async fn serve(options: BackendOptions) -> std::io::Result<()> {
    let zones: Vec<String> = options.zones.split(',').map(str::to_owned).collect();
    let mut replicas = HashMap::new();
    let mut listeners = Vec::new();
    let mut addrs_by_shard = Vec::new();
    for shard in 0..options.shards {
        let mut entries = Vec::new();
        for number in 0..options.replicas {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let addr = listener.local_addr()?;
            let zone = &zones[(shard + number) as usize % zones.len()];
            entries.push(format!("{zone}@{addr}"));
            replicas.insert(addr.port(), Arc::new(Replica::new(options.clone(), shard)));
            listeners.push(listener);
        }
        addrs_by_shard.push(entries);
    }
    let replicas: Replicas = Arc::new(replicas);
    let by_port = Arc::clone(&replicas);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(Arc::clone(&replicas)))
            .route("/query", web::post().to(handlers::query))
            .route("/run", web::post().to(handlers::run))
            .route("/state", web::get().to(handlers::state))
            .route("/requests/{id}", web::delete().to(handlers::cancel))
            .route("/standin/faults", web::put().to(handlers::put_faults))
            .route("/standin/restart", web::put().to(handlers::restart))
            .route("/standin/counters", web::get().to(handlers::get_counters))
    })
    .workers(2)
    .on_connect(move |io, data| on_connect(&by_port, io, data));
    for listener in listeners {
        server = server.listen(listener)?;
    }
    println!("{}", serde_json::json!({ "service": options.service, "shards": addrs_by_shard }));
    server.run().await
}

fn on_connect(replicas: &Replicas, io: &dyn std::any::Any, data: &mut Extensions) {
    let port = io.downcast_ref::<TcpStream>().and_then(|s| s.local_addr().ok()).map(|a| a.port());
    let Some(replica) = port.and_then(|port| replicas.get(&port)) else { return };
    let open_connections = replica.open_connections.fetch_add(1, Ordering::AcqRel) + 1;
    let mut counters = lock(&replica.counters);
    counters.peak_connections = counters.peak_connections.max(open_connections);
    counters.opened += 1;
    data.insert(Connection {
        replica: Arc::clone(replica),
        number: counters.opened,
        is_warm: AtomicBool::new(false),
    });
}

impl Replica {
    fn new(options: BackendOptions, shard: u32) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let versions = vec![(1, options.shards)];
        Self {
            shard,
            started_ms: AtomicU64::new(u64::try_from(since_epoch.as_millis()).unwrap_or(1)),
            slots: Semaphore::new(options.slots as usize),
            load: AtomicU64::new(0),
            open_connections: AtomicU64::new(0),
            faults: Mutex::new(Faults { versions, slowness: 1, ..Faults::default() }),
            counters: Mutex::default(),
            in_progress: Mutex::default(),
            last_silent_connection: AtomicU64::new(0),
            options,
        }
    }

    /// Starts a response with the headers in which a server reports its state.
    fn response_builder(&self, status: u16) -> HttpResponseBuilder {
        let faults = lock(&self.faults);
        let versions: Vec<String> =
            faults.versions.iter().map(|(v, count)| format!("{v}/{count}")).collect();
        let load = faults.said_load.map_or(self.load.load(Ordering::Acquire), u64::from);
        let status = actix_web::http::StatusCode::from_u16(status).unwrap_or_default();
        let mut response = HttpResponse::build(status);
        response
            .insert_header(("index-versions", versions.join(",")))
            .insert_header(("server-load", load))
            .insert_header(("server-started-ms", self.started_ms.load(Ordering::Acquire)));
        if faults.is_draining {
            response.insert_header(("server-draining", "1"));
        }
        response
    }

    fn sample_service_time(&self) -> Duration {
        const STRAGGLER_FACTOR: u64 = 10;
        let mean_us = self.options.work_us;
        // Half of the mean is fixed, the other half exponentially distributed.
        let uniform: f64 = rand::random_range(f64::EPSILON..1.0);
        let random = Duration::from_micros(mean_us / 2).mul_f64(-uniform.ln());
        let mut work = Duration::from_micros(mean_us / 2) + random;
        if rand::random_range(0..1000) < self.options.stragglers_per_mille {
            work *= u32::try_from(STRAGGLER_FACTOR).unwrap_or(1);
        }
        work * u32::try_from(lock(&self.faults).slowness.max(1)).unwrap_or(1)
    }

    /// Waits for a slot and simulates the work; returns false if cancelled or out of time.
    async fn work(&self, time_left: Duration, cancelled: &Notify) -> bool {
        let work = async {
            let Ok(_slot) = self.slots.acquire().await else { return };
            tokio::time::sleep(self.sample_service_time()).await;
        };
        tokio::select! {
            () = work => true,
            () = cancelled.notified() => false,
            () = tokio::time::sleep(time_left) => false,
        }
    }
}

/// Guard that counts a request towards the load of a replica until it is dropped.
struct LoadGuard<'a>(&'a Replica);

impl<'a> LoadGuard<'a> {
    fn new(replica: &'a Replica) -> Self {
        replica.load.fetch_add(1, Ordering::AcqRel);
        Self(replica)
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.load.fetch_sub(1, Ordering::AcqRel);
    }
}
