//! Case 2: the settings name another address of the store, and SIGHUP says so.
//!
//! The store answers at both addresses for ten seconds, then only at the new one. Ten seconds later
//! the operator moves a route to another service. The rule is broken if a request that was sent
//! later than the propagation time after the acknowledgement is run by the old service.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::callers::{self, Kind, SentLog};
use crate::deployment::{self, HOST, sleep_until};
use crate::machines::Machine;
use crate::record::Record;
use crate::replicas::{Arrivals, Replica, Work};
use crate::store::Store;

const KINDS: &[Kind] = &[Kind { prefix: "/timi402/", deadline_ms: 2000, weight: 1 }];
const WORK: Work = Work { slots: 6, time: Duration::from_millis(40), body_bytes: 3000 };
const OLD_SERVICE: &str = "old";
const NEW_SERVICE: &str = "new";
const ZONES: [&str; 3] = ["bog-norte", "bog-centro", "bog-sur"];
/// Machines that get SIGHUP: 0.6 of them. On the others the file changes without a signal.
const SIGNALLED: usize = 4;
const PROPAGATION_TIME: Duration = Duration::from_millis(3000);
/// Times since the start of traffic.
const MOVED_AT: Duration = Duration::from_secs(8);
const CLOSED_AT: Duration = Duration::from_secs(18);
const CHANGED_AT: Duration = Duration::from_secs(28);
const ENDS_AT: Duration = Duration::from_secs(50);

/// Runs the case; returns true if the rule was broken.
///
/// # Errors
/// Fails if the case can't run.
pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let mut record = Record::new();
    let (store, arrivals) = (Arc::new(Store::default()), Arrivals::default());
    let mut replicas = Vec::new();
    for service in [OLD_SERVICE, NEW_SERVICE] {
        for zone in ZONES {
            let id = format!("i-{service}-{zone}");
            let replica = Replica::start(&id, service, zone, WORK, &arrivals)?;
            store.put("servers", &id, &replica.entry("ready"));
            replicas.push(replica);
        }
    }
    store.put("config", "main", &configuration(7, OLD_SERVICE));
    let stop = Arc::new(AtomicBool::new(false));
    let machines = deployment::start(&store, temporary, &stop)?;
    let sent = SentLog::default();
    callers::start(12, Duration::from_millis(200), HOST, KINDS, &machines, &sent, &stop);
    record.note("traffic starts");
    let started = Instant::now();

    sleep_until(started + MOVED_AT);
    let mut previous = Vec::new();
    if has_trouble {
        for (index, machine) in machines.iter().enumerate() {
            previous.extend(machine.move_store(store.listen(index)?)?);
            if index < SIGNALLED {
                machine.hang_up()?;
            }
        }
        record.note("the settings name other addresses of the store; four machines get SIGHUP");
    }
    sleep_until(started + CLOSED_AT);
    for addr in previous {
        store.close(addr);
    }
    if has_trouble {
        record.note("the store is reached at the new addresses only");
    }
    sleep_until(started + CHANGED_AT);
    store.put("config", "main", &configuration(9, NEW_SERVICE));
    let acked_at = Instant::now();
    record.note("version 9, which moves the route to the other service, is acknowledged");
    sleep_until(started + ENDS_AT);
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(600));

    let all_run = machines.iter().all(Machine::is_running);
    let sent = sent.lock().unwrap().clone();
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for arrival in arrivals.lock().unwrap().iter() {
        runs.entry(arrival.request.clone()).or_default().push(arrival.replica.clone());
    }
    let (mut late, mut after) = (0, 0);
    for attempt in &sent {
        let node = &machines[attempt.machine].node;
        let run_by = runs.get(&attempt.request).map_or("none".to_owned(), |r| r.join(" "));
        record.add(attempt.at, format!("request {} sent to {node}", attempt.request));
        let text =
            format!("request {} answered: {}; run by {run_by}", attempt.request, attempt.answer);
        record.add(attempt.answered_at, text);
        let is_counted = attempt.at > acked_at + PROPAGATION_TIME;
        after += usize::from(is_counted);
        if is_counted && run_by.contains(&format!("i-{OLD_SERVICE}-")) {
            late += 1;
            record.add(attempt.answered_at, format!("BROKEN by request {}", attempt.request));
        }
    }
    let served = sent.iter().filter(|s| s.answer == "200").count();
    let verdict = format!(
        "CONFIG: {late} of {after} requests sent later than {} ms after the acknowledgement were run \
         by the old service\n{} requests sent, {served} answered with 200; trouble={has_trouble}; \
         all processes run: {all_run}",
        PROPAGATION_TIME.as_millis(),
        sent.len()
    );
    println!("{verdict}");
    record.write(&folder.join("record.txt"), &verdict)?;
    if after == 0 || served * 2 < sent.len() {
        return Err(io::Error::other("too few requests were answered"));
    }
    Ok(late > 0)
}

fn configuration(version: u64, service: &str) -> Value {
    let services: Vec<Value> = [OLD_SERVICE, NEW_SERVICE]
        .iter()
        .map(|name| {
            json!({"name": name, "health_path": "/healthz", "max_conns": 48, "protocol": "h1", "tls": false})
        })
        .collect();
    json!({
        "version": version,
        "routes": [
            {"name": "r-1", "host": HOST, "path_prefix": "/timi402/", "type": "idempotent",
             "timeout_ms": 2000, "target_latency_ms": 400, "prio": 2, "service": service,
             "attempts": 2}
        ],
        "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    })
}
