//! A replica that starts again, cold, under the id that it had.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::clients::{Ask, Client};
use crate::edge::{Fleet, free_addrs};
use crate::record::Record;
use crate::replica::{Profile, Replica};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [&str; 3] = ["bog-norte", "bog-centro", "bog-sur"];
/// `cold_per_s` and `warmup_s` of the service, `cold_over` and `cold_slack` of the settings.
const COLD_PER_S: f64 = 5.0;
const WARMUP: Duration = Duration::from_secs(3);
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const CLIENTS: u64 = 18;
const PER_S: f64 = 90.0;
const DOWN: Duration = Duration::from_millis(1000);
/// As the silent `platform_down` of the site file.
const OUTAGE: Duration = Duration::from_millis(2800);
const ROUNDS: usize = 2;

pub fn play(setting: &Setting) -> Verdict {
    let record = Arc::new(Record::new());
    let store = Store::start();
    let service = "soporte";
    store.put("config", "main", &json!({
        "version": 3,
        "routes": [{"name": "profile-fetch", "host": "pupu76.example", "path_prefix": "/timi402/",
            "type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "prio": 1,
            "service": service, "attempts": 2}],
        "services": [{"name": service, "health_path": "/healthz", "max_conns": 240,
            "warmup_s": WARMUP.as_secs(), "cold_per_s": COLD_PER_S}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
    }));
    let limit = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let addrs = free_addrs("127.0.0.1", 3);
    let profiles: Vec<Profile> = addrs
        .iter()
        .enumerate()
        .map(|(n, addr)| Profile {
            id: format!("i-{n}a91c2"),
            service: service.to_owned(),
            zone: ZONES[n].to_owned(),
            addr: *addr,
            slots: 6,
            work: Duration::from_millis(90),
            warmup: WARMUP,
            cold_crash_at: Some((2.0 * limit) as usize),
        })
        .collect();
    let mut replicas: Vec<Arc<Replica>> =
        profiles.iter().map(|p| Replica::start(p.clone(), false, &store, &record)).collect();
    let bounds = json!({"cold_over": COLD_OVER, "cold_slack": COLD_SLACK});
    let machines = [ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2], ZONES[2]];
    let fleet = Arc::new(Fleet::new(&machines, store.addr, &bounds, &setting.folder));
    if !fleet.start() {
        fleet.stop();
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(10));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let mut client =
                Client::new(&fleet, &record, ZONES[usize::try_from(n % 3).unwrap_or(0)], n + 1, 20);
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                let mut next = Instant::now();
                let ask = Ask {
                    method: "POST",
                    path: "/timi402/2f".into(),
                    deadline_ms: 2000,
                    tenant: String::new(),
                    key: String::new(),
                };
                while !is_over.load(Ordering::SeqCst) {
                    next += Duration::from_secs_f64(18.0 / PER_S);
                    next = next.max(Instant::now() - Duration::from_millis(100));
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    client.send(&ask);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    for round in 0..ROUNDS {
        let n = round % replicas.len();
        if setting.has_trouble {
            record.note(format!("platform_down: the store is silent for {OUTAGE:?}"));
            store.is_silent.store(true, Ordering::SeqCst);
            let up_at = Instant::now() + OUTAGE;
            record.note(format!("srv_crash: {} is down for {DOWN:?}", profiles[n].id));
            replicas[n].kill();
            std::thread::sleep(DOWN);
            replicas[n] = Replica::start(profiles[n].clone(), true, &store, &record);
            record.note(format!("{} is back, cold", profiles[n].id));
            std::thread::sleep(up_at.saturating_duration_since(Instant::now()));
            store.is_silent.store(false, Ordering::SeqCst);
            record.note("the store is back");
        }
        std::thread::sleep(WARMUP + Duration::from_secs(5));
        if replicas[n].has_crashed() {
            record.note(format!("{} crashed while cold", profiles[n].id));
            replicas[n] = Replica::start(profiles[n].clone(), true, &store, &record);
            std::thread::sleep(WARMUP + Duration::from_secs(5));
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }
    replicas.iter().for_each(|replica| replica.kill());
    fleet.stop();
    let verdict = check(&record, limit);
    record.write(&setting.record_path);
    verdict
}

/// FAILBACK: requests that arrive at a cold replica inside one second.
fn check(record: &Record, limit: f64) -> Verdict {
    let arrivals = record.arrivals.lock().expect("arrivals").clone();
    let sent = record.sent.lock().expect("sent").clone();
    let sent_at: std::collections::HashMap<&str, Instant> =
        sent.iter().map(|s| (s.id.as_str(), s.at)).collect();
    let mut worst = (0, String::new());
    for (n, first) in arrivals.iter().enumerate().filter(|(_, a)| !a.cold_left.is_zero()) {
        let end = first.at + Duration::from_secs(1);
        let in_second = arrivals[n..]
            .iter()
            .filter(|a| a.replica == first.replica && a.at <= end && !a.cold_left.is_zero());
        let in_second = in_second
            .filter(|a| sent_at.get(a.id.as_str()).is_some_and(|at| *at >= first.at))
            .count();
        if in_second > worst.0 {
            worst = (in_second, format!("{} from {:.3}", first.replica, record.seconds(first.at)));
        }
    }
    let runs = record.runs.lock().expect("runs").clone();
    let status = |id: &str| sent.iter().find(|s| s.id == id).map_or(0, |s| s.status);
    let lost = runs.iter().filter(|r| status(&r.id) != 200).count();
    record.note(format!(
        "requests that ran at most once, were begun by a replica and not served: {lost}"
    ));
    let (count, place) = worst;
    record.note(format!(
        "most requests at a cold replica in 1 s: {count} ({place}); allowed {limit}"
    ));
    if count as f64 > limit { Verdict::Broken } else { Verdict::Held }
}
