//! Stand-in of a replica: checks its id, limits its concurrency, and records what it runs.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::{Record, Run};
use crate::store::Store;

/// Requests that wait for a slot before further ones are rejected.
const QUEUE: usize = 12;
/// Interval of the reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What stays the same across the starts of one replica.
#[derive(Debug, Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// Time for which it is cold after a start during traffic.
    pub warmup: Duration,
    /// Requests in one second at which a cold replica crashes; `None` for never.
    pub cold_crash_at: Option<usize>,
}

/// One running process of a replica.
pub struct Replica {
    profile: Profile,
    started: Instant,
    is_cold_start: bool,
    born_ms: u64,
    seq: AtomicU64,
    is_up: AtomicBool,
    /// Running and waiting requests.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Instant>>,
    record: Arc<Record>,
    store: Arc<Store>,
    has_crashed: AtomicBool,
}

impl Replica {
    /// Starts a process; it reports itself at once and then with each heartbeat.
    pub fn start(
        profile: Profile,
        is_cold_start: bool,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(profile.addr).expect("bind a replica");
        let replica = Arc::new(Self {
            started: Instant::now(),
            is_cold_start,
            born_ms: crate::unix_ms(),
            seq: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            load: Mutex::new((0, 0)),
            freed: Condvar::new(),
            streams: Mutex::default(),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
            has_crashed: AtomicBool::new(false),
            profile,
        });
        replica.report();
        let reporting = Arc::clone(&replica);
        std::thread::spawn(move || {
            while reporting.is_up.load(Ordering::SeqCst) {
                reporting.report();
                std::thread::sleep(HEARTBEAT);
            }
        });
        let accepting = Arc::clone(&replica);
        std::thread::spawn(move || accepting.accept(&listener));
        replica
    }

    fn cold_left(&self) -> Duration {
        let warmup = if self.is_cold_start { self.profile.warmup } else { Duration::ZERO };
        warmup.saturating_sub(self.started.elapsed())
    }

    fn entry(&self) -> Value {
        let Profile { service, addr, zone, slots, .. } = &self.profile;
        json!({
            "service": service, "addr": addr.to_string(), "zone": zone, "version": "v1",
            "max_concurrency": slots, "state": "ready",
            "cold_left_ms": u64::try_from(self.cold_left().as_millis()).unwrap_or(0),
            "seq": self.seq.fetch_add(1, Ordering::SeqCst) + 1, "born": self.born_ms,
        })
    }

    /// Writes the entry; a report that gets no answer is given up.
    fn report(&self) {
        let _is_written = self.store.put("servers", &self.profile.id, &self.entry());
    }

    /// Ends the process: its sockets close and it reports nothing more.
    pub fn kill(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        drop(TcpStream::connect(self.profile.addr));
        for stream in self.streams.lock().expect("streams").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        self.freed.notify_all();
    }

    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            drop(stream.set_nodelay(true));
            if let Ok(kept) = stream.try_clone() {
                self.streams.lock().expect("streams").push(kept);
            }
            let replica = Arc::clone(&self);
            std::thread::spawn(move || replica.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let Some(bytes) = self.answer(&request) else { return };
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn load_header(&self) -> (&'static str, String) {
        let (running, waiting) = *self.load.lock().expect("load");
        ("X-Eelgrasspier-Replica-Load", format!("{running},{waiting},{}", self.profile.slots))
    }

    /// Returns the response, or `None` if the process has ended meanwhile.
    fn answer(&self, request: &http::Message) -> Option<Vec<u8>> {
        let (method, path) = request.request_line();
        let id = request.header("x-eelgrasspier-request-id").unwrap_or("").to_owned();
        if path == "/healthz" {
            let cold_ms = self.cold_left().as_millis().to_string();
            let headers = [
                ("X-Eelgrasspier-Replica-Id", self.profile.id.clone()),
                ("X-Eelgrasspier-Cold-Ms", cold_ms),
                self.load_header(),
            ];
            return Some(http::response(200, &headers, b""));
        }
        let not_executed = |status| {
            let headers = [
                ("X-Eelgrasspier-Request-Id", id.clone()),
                ("X-Eelgrasspier-Not-Executed", "1".to_owned()),
                self.load_header(),
            ];
            Some(http::response(status, &headers, b""))
        };
        let expected = request.header("x-eelgrasspier-expect-replica");
        if expected.is_some_and(|expected| expected != self.profile.id) {
            return not_executed(421);
        }
        self.arrivals.lock().expect("arrivals").push(Instant::now());
        let cold_left = self.cold_left();
        self.record.arrival(&self.profile, &id, cold_left);
        if !cold_left.is_zero() && self.is_beyond_cold_crash() {
            self.has_crashed.store(true, Ordering::SeqCst);
            self.kill();
            return None;
        }
        {
            let mut load = self.load.lock().expect("load");
            if load.0 >= self.profile.slots {
                if load.1 >= QUEUE {
                    drop(load);
                    return not_executed(503);
                }
                load.1 += 1;
                while load.0 >= self.profile.slots && self.is_up.load(Ordering::SeqCst) {
                    load = self.freed.wait(load).expect("load");
                }
                load.1 -= 1;
            }
            load.0 += 1;
        }
        if !self.is_up.load(Ordering::SeqCst) {
            return None;
        }
        let tenant = request.header("x-eelgrasspier-tenant").unwrap_or("").to_owned();
        self.record.run(Run {
            id: id.clone(),
            method: method.to_owned(),
            replica: self.profile.id.clone(),
            tenant,
            at: Instant::now(),
        });
        std::thread::sleep(self.profile.work);
        self.load.lock().expect("load").0 -= 1;
        self.freed.notify_one();
        if !self.is_up.load(Ordering::SeqCst) {
            return None;
        }
        let headers = [
            ("X-Eelgrasspier-Request-Id", id.clone()),
            ("X-Eelgrasspier-Server-Stamp", format!("{}.{id}", self.profile.id)),
            self.load_header(),
        ];
        Some(http::response(200, &headers, format!("answer to {id}").as_bytes()))
    }

    fn is_beyond_cold_crash(&self) -> bool {
        let Some(limit) = self.profile.cold_crash_at else { return false };
        let now = Instant::now();
        let arrivals = self.arrivals.lock().expect("arrivals");
        let recent = arrivals
            .iter()
            .rev()
            .take_while(|at| now.duration_since(**at) < Duration::from_secs(1));
        recent.count() >= limit
    }
}
