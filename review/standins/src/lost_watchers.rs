//! Case 1: machines are lost, among them those that watch the store, during a release.
//!
//! Six machines as in `sites/acompaname-pier.toml`. In each round four of them are killed at the
//! same moment and start again after five seconds. The moment is shortly after one of the other two
//! has polled the store, as it does every four to six seconds. Meanwhile replicas are replaced, one
//! each second.
//! The rule is broken if a request that was sent to a surviving machine reaches a replica later
//! than the drain timeout after the store has acknowledged that the replica drains.

use std::collections::{HashMap, HashSet};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::callers::{self, Kind, SentLog};
use crate::deployment::{self, HOST, MACHINE_ZONES, sleep_until};
use crate::machines::Machine;
use crate::record::Record;
use crate::replicas::{Arrivals, Replica, Work};
use crate::store::Store;

/// Zones of the replicas of each shard.
const SHARD_ZONES: [&str; 2] = ["bog-norte", "bog-centro"];
const SHARDS: usize = 20;
const SHARD_WORK: Work = Work { slots: 2, time: Duration::from_millis(10), body_bytes: 1000 };
const KINDS: &[Kind] = &[
    Kind { prefix: "/ziti980/", deadline_ms: 600, weight: 3 },
    Kind { prefix: "/bapu561/", deadline_ms: 300, weight: 1 },
];
/// Machines killed at once: 0.6 of them.
const KILLED: usize = 4;
const DARK: Duration = Duration::from_secs(5);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time for which a draining replica goes on serving after the drain timeout.
const SERVES_LONGER: Duration = Duration::from_millis(1800);
const ROUNDS: u32 = 4;
/// Times since the start of traffic.
const FIRST_ROUND: Duration = Duration::from_secs(10);
const ROUND_INTERVAL: Duration = Duration::from_secs(23);
const MAX_POLL_WAIT: Duration = Duration::from_secs(8);
/// Time between the poll of a surviving machine and the loss of the others.
const KILL_DELAY: Duration = Duration::from_millis(300);
/// Replicas replaced in each round, one each second.
const REPLACED: usize = 4;

/// A replica that drains.
#[derive(Debug)]
struct Drained {
    replica: Arc<Replica>,
    acked_at: Instant,
}

/// A time in which machines are dark.
#[derive(Debug)]
struct Round {
    from: Instant,
    until: Instant,
    killed: Vec<usize>,
}

/// Runs the case; returns true if the rule was broken.
///
/// # Errors
/// Fails if the case can't run.
pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let mut record = Record::new();
    let (store, arrivals) = (Arc::new(Store::default()), Arrivals::default());
    let mut replicas: Vec<Arc<Replica>> = Vec::new();
    for shard in 0..SHARDS {
        for zone in SHARD_ZONES {
            replicas.push(add_replica(&store, &arrivals, shard, zone, replicas.len())?);
        }
    }
    store.put("config", "main", &configuration());
    let stop = Arc::new(AtomicBool::new(false));
    let machines = deployment::start(&store, temporary, &stop)?;
    record.note("all machines run and are ready");
    let sent = SentLog::default();
    callers::start(12, Duration::from_millis(180), HOST, KINDS, &machines, &sent, &stop);
    record.note("traffic starts");

    let traffic_started = Instant::now();
    let (mut rounds, mut drained) = (Vec::new(), Vec::new());
    for number in 0..ROUNDS {
        sleep_until(traffic_started + FIRST_ROUND + ROUND_INTERVAL * number);
        let chosen = choose(&store);
        let survivor = (0..machines.len()).find(|i| !chosen.contains(i)).unwrap_or(0);
        if !store.wait_for_poll(survivor, MAX_POLL_WAIT) {
            return Err(io::Error::other("a machine that does not watch the store never polls it"));
        }
        record.note(&format!("{} has polled the store", machines[survivor].node));
        thread::sleep(KILL_DELAY);
        let killed = if has_trouble { chosen } else { Vec::new() };
        let round_started = Instant::now();
        for &index in &killed {
            machines[index].kill();
        }
        let names: Vec<&str> = killed.iter().map(|&i| machines[i].node.as_str()).collect();
        record.note(&format!("round {number}: killed {}", names.join(" ")));
        for step in 0..REPLACED {
            sleep_until(round_started + Duration::from_millis(100 + 1000 * step as u64));
            // Each shard once, in the zone of a surviving machine.
            let shard = number as usize * REPLACED + step;
            let old = Arc::clone(&replicas[shard * SHARD_ZONES.len() + 1]);
            let name = replicas.len() + drained.len();
            let new = add_replica(&store, &arrivals, shard, &old.zone, name)?;
            old.drain();
            store.put("servers", &old.id, &old.entry("draining"));
            let acked_at = Instant::now();
            record.add(acked_at, format!("{} of {} drains: acknowledged", old.id, old.service));
            record.add(acked_at, format!("{} of {} replaces it", new.id, new.service));
            end_later(&store, &old);
            drained.push(Drained { replica: old, acked_at });
        }
        sleep_until(round_started + DARK);
        let until = Instant::now();
        for &index in &killed {
            machines[index].start()?;
        }
        record.note(&format!("round {number}: the killed machines start again"));
        rounds.push(Round { from: round_started, until, killed });
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(600));
    let all_run = machines.iter().all(Machine::is_running);
    let sent = sent.lock().unwrap().clone();
    let late = find_late(&mut record, &sent, &arrivals, &drained, &rounds, has_trouble);
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for arrival in arrivals.lock().unwrap().iter() {
        runs.entry(arrival.request.clone()).or_default().push(arrival.replica.clone());
    }
    for attempt in &sent {
        let node = &machines[attempt.machine].node;
        let text = format!("request {} {} sent to {node}", attempt.request, attempt.path);
        record.add(attempt.at, text);
        let run_by = runs.get(&attempt.request).map_or("none".to_owned(), |r| r.join(" "));
        let text =
            format!("request {} answered: {}; run by {run_by}", attempt.request, attempt.answer);
        record.add(attempt.answered_at, text);
    }
    let served = sent.iter().filter(|s| s.answer == "200").count();
    let verdict = format!(
        "DRAIN: {} requests reached a draining replica later than {} ms after the acknowledgement\n\
         {} requests sent, {served} answered with 200; trouble={has_trouble}; all processes run: {all_run}",
        late,
        DRAIN_TIMEOUT.as_millis(),
        sent.len()
    );
    println!("{verdict}");
    record.write(&folder.join("record.txt"), &verdict)?;
    if served * 2 < sent.len() {
        return Err(io::Error::other("less than half of the requests were answered"));
    }
    Ok(late > 0)
}

/// Counts the requests that came too late, and adds all arrivals at draining replicas.
fn find_late(
    record: &mut Record,
    sent: &[callers::Sent],
    arrivals: &Arrivals,
    drained: &[Drained],
    rounds: &[Round],
    has_trouble: bool,
) -> usize {
    let by_id: HashMap<&str, &callers::Sent> =
        sent.iter().map(|s| (s.request.as_str(), s)).collect();
    let drained: HashMap<&str, &Drained> =
        drained.iter().map(|d| (d.replica.id.as_str(), d)).collect();
    let mut late = HashSet::new();
    for arrival in arrivals.lock().unwrap().iter() {
        let Some(drained) = drained.get(arrival.replica.as_str()) else { continue };
        let Some(since) = arrival.at.checked_duration_since(drained.acked_at) else { continue };
        let text = format!(
            "request {} reaches {} {} ms after its draining was acknowledged",
            arrival.request,
            arrival.replica,
            since.as_millis()
        );
        record.add(arrival.at, text);
        if since <= DRAIN_TIMEOUT {
            continue;
        }
        // While machines are dark, all others are in touch. Outside of these times a machine that
        // has just started might have sent the request on.
        let is_in_touch = |attempt: &callers::Sent| {
            !has_trouble
                || rounds.iter().any(|r| {
                    attempt.at >= r.from
                        && arrival.at < r.until
                        && !r.killed.contains(&attempt.machine)
                })
        };
        if by_id.get(arrival.request.as_str()).is_some_and(|attempt| is_in_touch(attempt)) {
            late.insert(arrival.request.clone());
            record.add(arrival.at, format!("BROKEN by request {}", arrival.request));
        }
    }
    late.len()
}

/// Chooses the machines that watch the store, and others up to the number to be killed.
///
/// The others come from zones that lose no machine otherwise.
fn choose(store: &Store) -> Vec<usize> {
    let mut chosen = store.watching(Duration::from_millis(600));
    let is_hit = |index: usize| chosen.iter().any(|c| MACHINE_ZONES[*c] == MACHINE_ZONES[index]);
    let mut others: Vec<usize> =
        (0..MACHINE_ZONES.len()).rev().filter(|i| !chosen.contains(i)).collect();
    others.sort_by_key(|i| is_hit(*i));
    chosen.extend(others);
    chosen.truncate(KILLED);
    chosen
}

fn add_replica(
    store: &Store,
    arrivals: &Arrivals,
    shard: usize,
    zone: &str,
    number: usize,
) -> io::Result<Arc<Replica>> {
    let (id, service) = (format!("i-{number:04}"), format!("shard-{shard:02}"));
    let replica = Replica::start(&id, &service, zone, SHARD_WORK, arrivals)?;
    store.put("servers", &id, &replica.entry("ready"));
    Ok(replica)
}

/// Ends a draining replica some time after the drain timeout; its entry is then removed.
fn end_later(store: &Arc<Store>, replica: &Arc<Replica>) {
    let (store, replica) = (Arc::clone(store), Arc::clone(replica));
    thread::spawn(move || {
        thread::sleep(DRAIN_TIMEOUT + SERVES_LONGER);
        replica.end();
        store.delete("servers", &replica.id);
    });
}

fn configuration() -> Value {
    let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n:02}")).collect();
    let service = |name: &String| json!({"name": name, "health_path": "/healthz", "max_conns": 25, "protocol": "h1", "tls": false});
    let services: Vec<Value> = shards.iter().map(service).collect();
    json!({
        "version": 7,
        "routes": [
            {"name": "r-1", "host": HOST, "path_prefix": "/bapu561/", "type": "idempotent",
             "timeout_ms": 300, "target_latency_ms": 50, "prio": 2, "fanout": shards,
             "attempts": 2, "top_k": 5, "min_shard_ratio": 0.75},
            {"name": "r-2", "host": HOST, "path_prefix": "/ziti980/", "type": "idempotent",
             "timeout_ms": 600, "target_latency_ms": 100, "prio": 1, "fanout": shards,
             "attempts": 2, "top_k": 50, "min_shard_ratio": 0.89}
        ],
        "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    })
}
