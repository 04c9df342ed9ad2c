//! Processes of `eelgrasspier-edge`, and the platform's ingress in front of them.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;

pub struct Edge {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    in_rotation: AtomicBool,
}

/// Loopback addresses with free ports; all are held until the last one is found.
pub fn free_addrs(ip: &str, count: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).expect("free port")).collect();
    held.iter().map(|l| l.local_addr().expect("address")).collect()
}

/// Loopback address of a machine; each has its own, since the port of its metrics is fixed.
fn machine_ip(number: usize) -> String {
    format!("127.0.0.{}", 11 + number)
}

impl Edge {
    pub fn signal(&self, name: &str) {
        let id = self.child.lock().expect("child").as_ref().map(Child::id);
        if let Some(id) = id {
            drop(Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status());
        }
    }

    fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let mut command = Command::new(&self.program);
        command.env_clear().env("PATH", std::env::var("PATH").unwrap_or_default());
        command.env("EELGRASSPIER_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        *self.child.lock().expect("child") =
            Some(command.spawn().expect("start eelgrasspier-edge"));
    }

    fn answers_ready(&self) -> bool {
        let request =
            b"GET /eelgrasspier/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        let exchange = || {
            let mut connection = http::connect(self.ready, Duration::from_millis(900))?;
            http::exchange(&mut connection, request)
        };
        exchange().is_ok_and(|answer| answer.status() == 200)
    }
}

impl Edge {
    fn kill(&self) {
        if let Some(child) = self.child.lock().expect("child").as_mut() {
            drop((child.kill(), child.wait()));
        }
    }
}

impl Drop for Fleet {
    /// Ends all processes; other threads may still hold the machines.
    fn drop(&mut self) {
        self.stop();
    }
}

pub struct Fleet {
    pub edges: Vec<Arc<Edge>>,
}

impl Fleet {
    /// Prepares one machine for each entry of `zones`; `bounds` are added to the usual ones.
    pub fn new(zones: &[&str], store: SocketAddr, bounds: &Value, folder: &Path) -> Self {
        let program =
            std::env::current_dir().expect("folder").join("target/release/eelgrasspier-edge");
        assert!(
            program.is_file(),
            "run from the project's root after the build of the deploy file"
        );
        let addrs: Vec<SocketAddr> =
            (0..zones.len()).flat_map(|n| free_addrs(&machine_ip(n), 3)).collect();
        let controls: Vec<SocketAddr> = addrs.chunks(3).map(|a| a[2]).collect();
        let mut zone_regions = json!({});
        zones.iter().for_each(|zone| zone_regions[*zone] = json!("bogota"));
        let mut all_bounds = json!({
            "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_timeout_ms": 5000,
            "sync_s": 4, "drain_timeout_ms": 3000, "grace_period_s": 6, "loss_slack_ms": 200,
            "config_propagation_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "recovery_s": 12,
        });
        for (name, value) in bounds.as_object().expect("bounds") {
            all_bounds[name] = value.clone();
        }
        let edge = |(number, zone): (usize, &&str)| {
            let [front, ready, control] =
                [addrs[3 * number], addrs[3 * number + 1], addrs[3 * number + 2]];
            let name = format!("edge-{zone}-{number}");
            let settings = json!({
                "node": name, "role": "entry", "machine_class": "edge",
                "serve_roles": ["edge", "control"], "ip": machine_ip(number), "zone": zone,
                "region": "bogota", "zones": zone_regions,
                "listen": {"front": front, "ready": ready, "control": control},
                "port_range": [7380, 7395], "seed_addrs": controls[..controls.len().min(3)],
                "bootstrap": true, "counts_as_loss": false,
                "limits": {"cpu_share": 0.25, "vcpus": 1, "ram_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
                "policies": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"],
                "fault_tolerance": {"nodes": 2, "zones": 0, "regions": 0},
                "bounds": all_bounds,
                "platform": {"addr": store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "max_value_bytes": 1_048_576, "min_ttl_ms": 1000},
            });
            let path = folder.join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).expect("write settings");
            Arc::new(Edge {
                log: folder.join(format!("{name}.log")),
                name,
                zone: (*zone).to_owned(),
                front,
                ready,
                settings: path,
                program: program.clone(),
                child: Mutex::new(None),
                in_rotation: AtomicBool::new(true),
            })
        };
        Self { edges: zones.iter().enumerate().map(edge).collect() }
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.edges.iter().for_each(|edge| edge.kill());
    }

    /// Starts all processes and the ingress' readiness probes; waits until all are ready.
    pub fn start(&self) -> bool {
        for edge in &self.edges {
            edge.start();
        }
        let until = Instant::now() + Duration::from_secs(12);
        while !self.edges.iter().all(|e| e.answers_ready()) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        for edge in &self.edges {
            let edge = Arc::clone(edge);
            std::thread::spawn(move || {
                let mut misses = 0;
                loop {
                    misses = if edge.answers_ready() { 0 } else { misses + 1 };
                    edge.in_rotation.store(misses < 2, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        true
    }

    /// Returns the machine for a new connection of a client, by a hash of the client.
    pub fn pick(&self, zone: &str, client: u64) -> Arc<Edge> {
        let in_zone: Vec<&Arc<Edge>> = self.edges.iter().filter(|e| e.zone == zone).collect();
        let rotating: Vec<&Arc<Edge>> =
            in_zone.iter().copied().filter(|e| e.in_rotation.load(Ordering::SeqCst)).collect();
        let all: Vec<&Arc<Edge>> =
            self.edges.iter().filter(|e| e.in_rotation.load(Ordering::SeqCst)).collect();
        let chosen = match () {
            () if rotating.is_empty() && !all.is_empty() => all,
            () if 2 * rotating.len() < in_zone.len() => in_zone,
            () => rotating,
        };
        // The finalizer of SplitMix64 spreads consecutive numbers.
        let hash = (client ^ (client >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB) >> 33;
        Arc::clone(chosen[usize::try_from(hash).unwrap_or(0) % chosen.len()])
    }
}
