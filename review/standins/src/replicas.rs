//! Replicas that answer every request for their id, and log when each one arrived.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Connection, Message, response};

/// Requests that wait for a slot; further ones are rejected.
const MAX_QUEUED: usize = 12;
/// Size of one record in bytes.
const RECORD_BYTES: usize = 16;

/// One request that reached a replica and was not answered 421 or rejected.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the caller's attempt.
    pub request: String,
    /// Id of the replica.
    pub replica: String,
    /// Time at which the replica had read it.
    pub at: Instant,
}

/// Arrivals at all replicas.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// Id.
    pub id: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub addr: SocketAddr,
    slots: usize,
    work: Duration,
    body_bytes: usize,
    seq: AtomicU64,
    count: AtomicU64,
    /// Running and waiting requests.
    load: Mutex<(usize, usize)>,
    has_slot: Condvar,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    arrivals: Arrivals,
}

/// What the replicas of one service have in common.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Time that a request takes.
    pub time: Duration,
    /// Size of an answer.
    pub body_bytes: usize,
}

impl Replica {
    /// Starts a replica.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Work,
        arrivals: &Arrivals,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.3.1:0")?;
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            slots: work.slots,
            work: work.time,
            body_bytes: work.body_bytes,
            seq: AtomicU64::new(0),
            count: AtomicU64::new(0),
            load: Mutex::default(),
            has_slot: Condvar::new(),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            streams: Mutex::default(),
            arrivals: Arc::clone(arrivals),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                serving.streams.lock().unwrap().extend(stream.try_clone());
                let replica = Arc::clone(&serving);
                thread::spawn(move || replica.serve(Connection::new(stream)));
            }
        });
        Ok(replica)
    }

    /// Returns the next entry for the store.
    pub fn entry(&self, state: &str) -> Value {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        json!({
            "service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
            "max_concurrency": self.slots, "state": state, "cold_left_ms": 0, "seq": seq
        })
    }

    /// From now on health checks fail; requests are served as before.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Ends the replica and closes its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let bytes = self.answer(&request);
            if self.has_ended.load(Ordering::SeqCst) || connection.send(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-eelgrasspier-request-id");
        let own = ("X-Eelgrasspier-Replica-Id", self.id.as_str());
        if request.word(1) == "/healthz" {
            let status = if self.is_draining.load(Ordering::SeqCst) { 503 } else { 200 };
            return response(status, &[own], b"");
        }
        let expected = request.header("x-eelgrasspier-expect-replica");
        if !expected.is_empty() && expected != self.id {
            return response(421, &[own], b"");
        }
        if !self.take_slot() {
            let headers = [("X-Eelgrasspier-Not-Executed", "1"), ("X-Eelgrasspier-Request-Id", id)];
            return response(503, &headers, b"");
        }
        let arrival =
            Arrival { request: id.to_owned(), replica: self.id.clone(), at: Instant::now() };
        self.arrivals.lock().unwrap().push(arrival);
        thread::sleep(self.work);
        let (running, waiting) = self.release_slot();
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let stamp = format!("{}.{number}.{id}", self.id);
        let load = format!("{running},{waiting},{}", self.slots);
        let headers = [
            ("X-Eelgrasspier-Request-Id", id),
            ("X-Eelgrasspier-Server-Stamp", stamp.as_str()),
            ("X-Eelgrasspier-Replica-Load", load.as_str()),
        ];
        response(200, &headers, &self.body(number))
    }

    fn body(&self, number: u64) -> Vec<u8> {
        let seed: u64 = self.id.bytes().fold(number + 1, |s, b| s.wrapping_mul(31) + u64::from(b));
        let mut state = seed | 1;
        let mut byte = || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state.to_le_bytes()[3]
        };
        (0..self.body_bytes / RECORD_BYTES * RECORD_BYTES).map(|_| byte()).collect()
    }

    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.slots {
            if load.1 >= MAX_QUEUED {
                return false;
            }
            load.1 += 1;
            load = self.has_slot.wait_while(load, |l| l.0 >= self.slots).unwrap();
            load.1 -= 1;
        }
        load.0 += 1;
        true
    }

    fn release_slot(&self) -> (usize, usize) {
        let mut load = self.load.lock().unwrap();
        let before = *load;
        load.0 -= 1;
        self.has_slot.notify_one();
        before
    }
}
