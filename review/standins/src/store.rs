//! The platform's store: objects, events and watches, as `PROTOCOL.md` describes them.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Connection, Message, response};

const PREFIX: &str = "/eelgrasspier/objects/";
/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    object: Value,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<Event>,
    /// Number of waiting watches of the replica entries, by machine.
    waiting: HashMap<usize, usize>,
    /// Time of the last watch of the replica entries, by machine.
    last_watch: HashMap<usize, Instant>,
    /// Time of the last poll of the replica entries by a machine that does not watch them.
    last_poll: HashMap<usize, Instant>,
}

/// The store; each machine has an address of its own there, by which its calls are known.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    has_changed: Condvar,
    /// Open connections by address; an address that is missing is closed.
    streams: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl Store {
    /// Starts to listen for the calls of one machine.
    pub fn listen(self: &Arc<Self>, machine: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.2.1:0")?;
        let addr = listener.local_addr()?;
        self.streams.lock().unwrap().insert(addr, Vec::new());
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                match store.streams.lock().unwrap().get_mut(&addr) {
                    Some(open) => open.extend(stream.try_clone()),
                    None => return,
                }
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(Connection::new(stream), machine));
            }
        });
        Ok(addr)
    }

    /// Closes an address and its connections.
    pub fn close(&self, addr: SocketAddr) {
        let streams = self.streams.lock().unwrap().remove(&addr).unwrap_or_default();
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&addr, Duration::from_millis(200));
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes an object; the change is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let meta = json!({"name": name, "rev": revision, "created": 1, "finalizers": [], "deleting": false});
        let object = json!({"meta": meta, "spec": spec, "status": null});
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event =
            Event { revision, kind: kind.to_owned(), object: object.clone(), is_deleted: false };
        state.events.push(event);
        self.has_changed.notify_all();
        object
    }

    /// Deletes an object; returns false if there is none.
    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else { return false };
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event { revision, kind: kind.to_owned(), object, is_deleted: true });
        self.has_changed.notify_all();
        true
    }

    /// Returns the machines that watch the replica entries, or did so within `recent`.
    pub fn watching(&self, recent: Duration) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        let is_waiting = |m: &usize| state.waiting.get(m).is_some_and(|n| *n > 0);
        let watched = state.last_watch.iter();
        let mut machines: Vec<usize> = watched
            .filter(|(m, at)| is_waiting(m) || at.elapsed() < recent)
            .map(|(m, _)| *m)
            .collect();
        machines.sort_unstable();
        machines
    }

    /// Waits until a machine has polled the replica entries; returns false after `max_wait`.
    pub fn wait_for_poll(&self, machine: usize, max_wait: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < max_wait {
            let state = self.state.lock().unwrap();
            if state.last_poll.get(&machine).is_some_and(|at| *at >= started) {
                return true;
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    fn serve(&self, mut connection: Connection, machine: usize) {
        while let Ok(Some(call)) = connection.read() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&call, machine);
            let headers = [("Content-Type", "application/json")];
            let bytes = response(status, &headers, body.to_string().as_bytes());
            if connection.send(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, machine: usize) -> (u16, Value) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let Some(rest) = path.strip_prefix(PREFIX) else { return (404, json!({})) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        match (call.word(0), parameter("watch")) {
            ("GET", Some(since)) => {
                let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
                // Polls for stale data are no watches.
                let is_stale = parameter("allow_stale").is_some();
                let is_watch = kind == "servers" && !is_stale;
                if kind == "servers" && is_stale {
                    self.state.lock().unwrap().last_poll.insert(machine, Instant::now());
                }
                self.count_watch(machine, is_watch, 1);
                let events = self.watch(kind, since, wait);
                self.count_watch(machine, is_watch, -1);
                (200, events)
            }
            ("GET", None) if name.is_empty() => (200, self.list(kind)),
            ("GET", None) => self.get(kind, name).map_or((404, json!({})), |o| (200, o)),
            ("POST", _) => {
                let name = body["meta"]["name"].as_str().unwrap_or_default();
                match self.get(kind, name) {
                    Some(existing) => (409, existing),
                    None => (200, self.put(kind, name, &body["spec"])),
                }
            }
            ("PUT", _) if self.get(kind, name).is_some() => {
                (200, self.put(kind, name, &body["spec"]))
            }
            ("DELETE", _) if self.delete(kind, name) => (200, json!({})),
            _ => (404, json!({})),
        }
    }

    fn count_watch(&self, machine: usize, is_watch: bool, change: isize) {
        if is_watch {
            let mut state = self.state.lock().unwrap();
            let count = state.waiting.entry(machine).or_default();
            *count = count.saturating_add_signed(change);
            state.last_watch.insert(machine, Instant::now());
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.state.lock().unwrap().objects.get(&key).cloned()
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.state.lock().unwrap();
        let items: Vec<&Value> =
            state.objects.iter().filter(|((k, _), _)| k == kind).map(|(_, o)| o).collect();
        json!({"items": items, "has_more": false, "as_of": state.revision})
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Value {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let new: Vec<Value> = state
                .events
                .iter()
                .filter(|e| e.kind == kind && e.revision > since)
                .map(|e| json!({"deleted": e.is_deleted, "object": e.object}))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return json!({"events": new, "as_of": state.revision});
            }
            state = self.has_changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
