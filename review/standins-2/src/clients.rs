//! Clients that keep connections open and go through the platform's ingress.

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::edge::{Edge, Fleet};
use crate::http;
use crate::record::{Record, Sent};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other attempt has.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// What a client sends.
#[derive(Debug, Clone)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub tenant: String,
    /// API key; empty for none.
    pub key: String,
}

/// One client with at most one connection.
pub struct Client {
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    zone: String,
    hash: u64,
    open: Option<(Arc<Edge>, BufReader<TcpStream>)>,
    /// Requests after which it opens a new connection.
    max_on_connection: u32,
    sent_on_connection: u32,
}

impl Client {
    pub fn new(
        fleet: &Arc<Fleet>,
        record: &Arc<Record>,
        zone: &str,
        hash: u64,
        max_on_connection: u32,
    ) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            record: Arc::clone(record),
            zone: zone.to_owned(),
            hash,
            open: None,
            max_on_connection,
            sent_on_connection: 0,
        }
    }

    /// Sends one attempt; returns the status and the time to wait before the next one, if any.
    pub fn send(&mut self, ask: &Ask) -> (u16, Option<Duration>) {
        let id = new_id();
        let at = Instant::now();
        if self.sent_on_connection >= self.max_on_connection {
            self.open = None;
        }
        if self.open.is_none() {
            self.sent_on_connection = 0;
            let edge = self.fleet.pick(&self.zone, self.hash);
            let connected = http::connect(edge.front, Duration::from_millis(ask.deadline_ms + 200));
            self.open = connected.ok().map(|connection| (edge, connection));
        }
        let Some((edge, mut connection)) = self.open.take() else {
            std::thread::sleep(Duration::from_millis(50));
            return (0, None);
        };
        let authorization = if ask.key.is_empty() {
            String::new()
        } else {
            format!("Authorization: Bearer {}\r\n", ask.key)
        };
        let length = if ask.method == "POST" { "Content-Length: 4\r\n" } else { "" };
        let body = if ask.method == "POST" { "work" } else { "" };
        let request = format!(
            "{} {} HTTP/1.1\r\nHost: pupu76.example\r\nX-Eelgrasspier-Request-Id: {id}\r\n\
             X-Eelgrasspier-Deadline-Ms: {}\r\n{authorization}{length}\r\n{body}",
            ask.method, ask.path, ask.deadline_ms
        );
        self.sent_on_connection += 1;
        let answer = http::exchange(&mut connection, request.as_bytes());
        let status = answer.as_ref().map_or(0, http::Message::status);
        let wait = answer.as_ref().ok().and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        let (tenant, edge_name) = (ask.tenant.clone(), edge.name.clone());
        self.record.sent(Sent { id, tenant, edge: edge_name, at, ended: Instant::now(), status });
        if answer.is_ok_and(|answer| !answer.closes()) {
            self.open = Some((edge, connection));
        }
        (status, wait.map(Duration::from_secs_f64))
    }
}
