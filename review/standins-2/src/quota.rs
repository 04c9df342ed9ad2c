//! A tenant's limit after the machine that counts its requests has stood still for a moment.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::clients::{Ask, Client};
use crate::edge::{Fleet, free_addrs};
use crate::record::Record;
use crate::replica::{Profile, Replica};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [&str; 3] = ["bog-norte", "bog-centro", "bog-sur"];
const TENANT: &str = "naviera-uno";
const PER_S: f64 = 100.0;
const BURST: f64 = 20.0;
/// `quota_window_s`, `quota_over` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;
const CLIENTS: u64 = 36;
/// Requests per second of all clients as usual, and while the tenant is hot (6 times as many).
const USUAL_PER_S: f64 = 60.0;
const HOT_X: f64 = 6.0;
const ROUNDS: usize = 3;
/// Machine that owns the tenant's limit; any other tenant has an owner too.
const OWNER: usize = 1;
/// Well inside the 3.5 to 4 s that the site files have for `node_freeze`.
const FREEZE: Duration = Duration::from_millis(2500);
/// Longer than `stability_window_ms`, so that all machines are in touch again.
const REST: Duration = Duration::from_secs(6);
const HOT: Duration = Duration::from_millis(6500);

pub fn play(setting: &Setting) -> Verdict {
    let record = Arc::new(Record::new());
    let store = Store::start();
    let service = "soporte";
    store.put("config", "main", &json!({
        "version": 3,
        "routes": [{"name": "profile-fetch", "host": "pupu76.example", "path_prefix": "/timi402/",
            "type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "prio": 1,
            "service": service, "attempts": 2}],
        "services": [{"name": service, "health_path": "/healthz", "max_conns": 240, "warmup_s": 3}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": ["k-7c1f"], "per_s": PER_S, "burst": BURST}],
    }));
    let addrs = free_addrs("127.0.0.1", 6);
    let replicas: Vec<Arc<Replica>> = addrs
        .iter()
        .enumerate()
        .map(|(n, addr)| {
            let profile = Profile {
                id: format!("i-{n}a91c2"),
                service: service.to_owned(),
                zone: ZONES[n % 3].to_owned(),
                addr: *addr,
                slots: 6,
                work: Duration::from_millis(5),
                warmup: Duration::ZERO,
                cold_crash_at: None,
            };
            Replica::start(profile, false, &store, &record)
        })
        .collect();
    let bounds = json!({"quota_window_s": 5, "quota_over": OVER, "quota_slack": SLACK});
    let machines = [ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2], ZONES[2]];
    let fleet = Arc::new(Fleet::new(&machines, store.addr, &bounds, &setting.folder));
    if !fleet.start() {
        fleet.stop();
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(10));
    let (is_over, hot_milli) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1000)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let mut client =
                Client::new(&fleet, &record, ZONES[usize::try_from(n % 3).unwrap_or(0)], n + 1, 20);
            let (is_over, hot_milli) = (Arc::clone(&is_over), Arc::clone(&hot_milli));
            std::thread::spawn(move || {
                let mut next = Instant::now();
                let ask = Ask {
                    method: "GET",
                    path: "/timi402/2f".into(),
                    deadline_ms: 2000,
                    tenant: TENANT.into(),
                    key: "k-7c1f".into(),
                };
                while !is_over.load(Ordering::SeqCst) {
                    let factor =
                        f64::from(u32::try_from(hot_milli.load(Ordering::SeqCst)).unwrap_or(1000))
                            / 1000.0;
                    next += Duration::from_secs_f64(36.0 / (USUAL_PER_S * factor));
                    next = next.max(Instant::now() - Duration::from_millis(100));
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    client.send(&ask);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    if setting.has_trouble {
        let owner = &fleet.edges[OWNER];
        record.note(format!("node_freeze: {} stands still for {FREEZE:?}", owner.name));
        owner.signal("STOP");
        std::thread::sleep(FREEZE);
        owner.signal("CONT");
        record.note("it wakes again");
    } else {
        std::thread::sleep(FREEZE);
    }
    std::thread::sleep(REST);
    for _ in 0..ROUNDS {
        record.note("hot_tenant begins");
        hot_milli.store((HOT_X * 1000.0) as u64, Ordering::SeqCst);
        std::thread::sleep(HOT);
        hot_milli.store(1000, Ordering::SeqCst);
        record.note("hot_tenant ends");
        std::thread::sleep(REST);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }
    for replica in &replicas {
        replica.kill();
    }
    fleet.stop();
    let verdict = check(&record);
    record.write(&setting.record_path);
    verdict
}

/// QUOTA: requests that are both sent and run within one window, summed over all machines.
fn check(record: &Record) -> Verdict {
    let allowed = (PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    let sent = record.sent.lock().expect("sent");
    let sent_at: HashMap<&str, Instant> = sent.iter().map(|s| (s.id.as_str(), s.at)).collect();
    let runs = record.runs.lock().expect("runs");
    let mut pairs: Vec<(Instant, Instant)> = runs
        .iter()
        .filter(|r| r.tenant == TENANT)
        .filter_map(|r| Some((*sent_at.get(r.id.as_str())?, r.at)))
        .collect();
    pairs.sort();
    let mut worst = (0, None);
    for (n, (start, _)) in pairs.iter().enumerate() {
        let end = *start + WINDOW;
        let count =
            pairs[n..].iter().take_while(|(s, _)| *s <= end).filter(|(_, run)| *run <= end).count();
        if count > worst.0 {
            worst = (count, Some(*start));
        }
    }
    let (count, at) = worst;
    let at = at.map_or(0.0, |at| record.seconds(at));
    drop((runs, sent));
    record.note(format!(
        "most requests of the tenant in {} s: {count}, from {at:.3}; allowed {allowed}",
        WINDOW.as_secs()
    ));
    if count as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}
