//! Callers that keep connections open, and the log of what they sent.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, request};
use crate::machines::Machine;

/// Requests after which a caller opens a new connection.
const REQUESTS_PER_CONNECTION: usize = 12;

/// Kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Path prefix of its route.
    pub prefix: &'static str,
    /// Time that callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// Part of the requests.
    pub weight: usize,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Id.
    pub request: String,
    /// Path.
    pub path: String,
    /// Index of the machine to which it was sent.
    pub machine: usize,
    /// Time at which it was sent.
    pub at: Instant,
    /// Status, or the reason why there is none.
    pub answer: String,
    /// Time of the answer.
    pub answered_at: Instant,
}

/// All attempts.
pub type SentLog = Arc<Mutex<Vec<Sent>>>;

/// Starts callers that send until `stop` is set.
pub fn start(
    count: usize,
    pause: Duration,
    host: &'static str,
    kinds: &'static [Kind],
    machines: &Arc<Vec<Machine>>,
    sent: &SentLog,
    stop: &Arc<AtomicBool>,
) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    for number in 0..count {
        let (machines, sent, stop) = (Arc::clone(machines), Arc::clone(sent), Arc::clone(stop));
        thread::spawn(move || {
            let mut turn = number;
            while !stop.load(Ordering::SeqCst) {
                let usable: Vec<usize> =
                    (0..machines.len()).filter(|i| machines[*i].is_in_rotation()).collect();
                if usable.is_empty() {
                    thread::sleep(pause);
                    continue;
                }
                let index = usable[turn % usable.len()];
                turn += 1;
                let Ok(mut connection) =
                    Connection::open(machines[index].front, Duration::from_secs(1))
                else {
                    thread::sleep(pause);
                    continue;
                };
                for _ in 0..REQUESTS_PER_CONNECTION {
                    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
                    let kind = pick(kinds, turn);
                    turn += 1;
                    let attempt = send_one(&mut connection, &id, host, kind, index);
                    let is_over = attempt.answer.parse::<u16>().is_err();
                    sent.lock().unwrap().push(attempt);
                    thread::sleep(pause);
                    if is_over || stop.load(Ordering::SeqCst) {
                        break;
                    }
                }
            }
        });
    }
}

fn pick(kinds: &[Kind], turn: usize) -> &Kind {
    let mut at = turn % kinds.iter().map(|k| k.weight).sum::<usize>();
    for kind in kinds {
        if at < kind.weight {
            return kind;
        }
        at -= kind.weight;
    }
    &kinds[0]
}

fn send_one(
    connection: &mut Connection,
    id: &str,
    host: &str,
    kind: &Kind,
    machine: usize,
) -> Sent {
    let path = format!("{}{id}", kind.prefix);
    let at = Instant::now();
    let mut exchange = || -> io::Result<String> {
        connection.set_timeout(Duration::from_millis(kind.deadline_ms))?;
        let deadline = kind.deadline_ms.to_string();
        let headers = [
            ("Host", host),
            ("X-Eelgrasspier-Request-Id", id),
            ("X-Eelgrasspier-Deadline-Ms", deadline.as_str()),
        ];
        connection.send(&request("GET", &path, &headers, b""))?;
        Ok(connection.read()?.map_or("closed".to_owned(), |answer| answer.status().to_string()))
    };
    let answer = exchange().unwrap_or_else(|error| format!("no answer ({:?})", error.kind()));
    Sent { request: id.to_owned(), path, machine, at, answer, answered_at: Instant::now() }
}
