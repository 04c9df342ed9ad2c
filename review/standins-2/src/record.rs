//! What the clients and the replicas have seen, with times from the start of the script.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::replica::Profile;

/// A request that a replica began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub method: String,
    pub replica: String,
    pub tenant: String,
    pub at: Instant,
}

/// A request that reached a replica, other than one answered 421.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub replica: String,
    pub at: Instant,
    pub cold_left: Duration,
}

/// A request of a client and how it ended: a status, or 0 without a whole answer.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub tenant: String,
    pub edge: String,
    pub at: Instant,
    pub ended: Instant,
    pub status: u16,
}

pub struct Record {
    pub started: Instant,
    pub runs: Mutex<Vec<Run>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub sent: Mutex<Vec<Sent>>,
    pub notes: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            sent: Mutex::default(),
            notes: Mutex::default(),
        }
    }

    pub fn run(&self, run: Run) {
        self.runs.lock().expect("runs").push(run);
    }

    pub fn arrival(&self, profile: &Profile, id: &str, cold_left: Duration) {
        let (id, replica) = (id.to_owned(), profile.id.clone());
        let arrival = Arrival { id, replica, at: Instant::now(), cold_left };
        self.arrivals.lock().expect("arrivals").push(arrival);
    }

    pub fn sent(&self, sent: Sent) {
        self.sent.lock().expect("sent").push(sent);
    }

    pub fn note(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.seconds(Instant::now()));
        self.notes.lock().expect("notes").push((Instant::now(), text));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes everything to `path`, ordered by time.
    pub fn write(&self, path: &str) {
        let mut lines: Vec<(f64, String)> = Vec::new();
        for (at, text) in self.notes.lock().expect("notes").iter() {
            lines.push((self.seconds(*at), text.clone()));
        }
        for s in self.sent.lock().expect("sent").iter() {
            let text = format!(
                "sent id={} tenant={} edge={} status={} after={:.3}",
                s.id,
                s.tenant,
                s.edge,
                s.status,
                s.ended.duration_since(s.at).as_secs_f64()
            );
            lines.push((self.seconds(s.at), text));
        }
        for a in self.arrivals.lock().expect("arrivals").iter() {
            let text = format!(
                "arrived id={} replica={} cold_left_ms={}",
                a.id,
                a.replica,
                a.cold_left.as_millis()
            );
            lines.push((self.seconds(a.at), text));
        }
        for r in self.runs.lock().expect("runs").iter() {
            let text = format!(
                "run id={} method={} replica={} tenant={}",
                r.id, r.method, r.replica, r.tenant
            );
            lines.push((self.seconds(r.at), text));
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, text)| format!("{at:.3} {text}\n")).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("can't write {path}: {error}");
        }
    }
}
