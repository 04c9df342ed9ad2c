//! Stand-in of the platform's metadata store: objects, lists, watches and unconditional writes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;

const PREFIX: &str = "/eelgrasspier/objects/";

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind, object, and whether it was deleted.
    events: Vec<(u64, String, Value, bool)>,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// While true, calls get no answer and have no effect.
    pub is_silent: AtomicBool,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let store = Arc::new(Self {
            addr: listener.local_addr().expect("address of the store"),
            state: Mutex::new(State { rev: 100, ..State::default() }),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a replica does; returns false while the store is silent.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> bool {
        if self.is_silent.load(Ordering::SeqCst) {
            return false;
        }
        let mut state = self.state.lock().expect("store state");
        let key = (kind.to_owned(), name.to_owned());
        // The entry of a replica changes when more than `seq` changes.
        let without_seq = |spec: &Value| {
            let mut spec = spec.clone();
            spec.as_object_mut().map(|fields| fields.remove("seq"));
            spec
        };
        let known = state.objects.get(&key).map(|known| without_seq(&known["spec"]));
        if known.is_some_and(|known| known == without_seq(spec)) {
            return true;
        }
        state.rev += 1;
        let rev = state.rev;
        let meta =
            json!({"name": name, "rev": rev, "created": 1, "finalizers": [], "deleting": false});
        let object = json!({"meta": meta, "spec": spec, "status": null});
        state.objects.insert(key, object.clone());
        state.events.push((rev, kind.to_owned(), object, false));
        self.changed.notify_all();
        true
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().expect("store state");
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.rev += 1;
        let rev = state.rev;
        state.events.push((rev, kind.to_owned(), object, true));
        self.changed.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            if self.is_silent.load(Ordering::SeqCst) {
                // A connection on which a response is lost returns nothing further.
                std::thread::sleep(Duration::from_secs(30));
                return;
            }
            let (status, body) = self.answer(&request);
            if self.is_silent.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_secs(30));
                return;
            }
            let bytes = http::response(status, &[], body.to_string().as_bytes());
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, Value) {
        let (method, target) = request.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, value)| value.to_owned()).next()
        };
        let Some(rest) = path.strip_prefix(PREFIX) else { return (404, json!({})) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok());
        match (method, number("watch")) {
            ("GET", Some(since)) => self.watch(kind, since, number("wait_ms").unwrap_or(0)),
            ("GET", None) => {
                let state = self.state.lock().expect("store state");
                let items = state.objects.iter().filter(|((k, _), _)| k == kind);
                let items: Vec<&Value> = items.map(|(_, object)| object).collect();
                (200, json!({"items": items, "has_more": false, "as_of": state.rev}))
            }
            ("DELETE", _) if self.delete(kind, name) => (200, json!({})),
            ("DELETE", _) => (404, json!({})),
            _ => self.write(method, kind, name, &request.body),
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, Value) {
        let object: Value = serde_json::from_slice(body).unwrap_or_default();
        let name = object["meta"]["name"].as_str().unwrap_or(name).to_owned();
        let key = (kind.to_owned(), name.clone());
        let existing = self.state.lock().expect("store state").objects.get(&key).cloned();
        match (method, existing) {
            ("POST", Some(existing)) => (409, existing),
            ("PUT", None) => (404, json!({})),
            _ => {
                self.put(kind, &name, &object["spec"]);
                (200, object)
            }
        }
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("store state");
        loop {
            let new = state.events.iter().filter(|(rev, k, ..)| *rev > since && k == kind);
            let new: Vec<Value> = new
                .map(|(_, _, object, gone)| json!({"object": object, "deleted": gone}))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return (200, json!({"events": new, "as_of": state.rev.max(since)}));
            }
            state = self.changed.wait_timeout(state, left).expect("store state").0;
        }
    }
}
