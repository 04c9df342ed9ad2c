//! The project's program as processes, one per machine, and the platform's load balancer.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{Connection, request};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/eelgrasspier-edge";
/// Unanswered readiness questions after which a machine gets no new connections.
const MAX_MISSES: usize = 2;

/// Address and zone of a machine.
#[derive(Debug, Clone)]
struct Place {
    node: String,
    zone: String,
    ip: String,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
}

/// One machine with its process.
#[derive(Debug)]
pub struct Machine {
    /// Name.
    pub node: String,
    /// Address for callers.
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    misses: AtomicUsize,
    is_answering: AtomicBool,
}

/// Returns an address with a free port.
fn free_addr(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Prepares one machine for each zone named; `store` gives the store's address of each machine.
pub fn prepare(
    zones: &[&str],
    bounds: &Value,
    folder: &Path,
    store: impl Fn(usize) -> io::Result<SocketAddr>,
) -> io::Result<Vec<Machine>> {
    let mut places: Vec<Place> = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let in_zone = places.iter().filter(|p| p.zone == *zone).count();
        let ip = format!("127.0.1.{}", index + 1);
        let [front, ready, control] = [free_addr(&ip)?, free_addr(&ip)?, free_addr(&ip)?];
        let node = format!("edge-{zone}-{}", in_zone + 1);
        places.push(Place { node, zone: (*zone).to_owned(), ip, front, ready, control });
    }
    let seeds: Vec<SocketAddr> = places.iter().take(3).map(|p| p.control).collect();
    let regions: serde_json::Map<String, Value> =
        zones.iter().map(|zone| ((*zone).to_owned(), json!("region-1"))).collect();
    let mut machines = Vec::new();
    for (index, place) in places.into_iter().enumerate() {
        let settings = folder.join(format!("{}.json", place.node));
        let text = json!({
            "node": place.node, "role": "entry", "machine_class": "edge",
            "serve_roles": ["edge", "control"], "ip": place.ip, "zone": place.zone,
            "region": "region-1", "zones": regions,
            "listen": {"front": place.front, "ready": place.ready, "control": place.control},
            "port_range": [7380, 7395], "seed_addrs": seeds, "bootstrap": true,
            "counts_as_loss": false,
            "limits": {"cpu_share": 0.25, "vcpus": 1, "ram_mb": 260, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "policies": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                "platform"],
            "fault_tolerance": {"nodes": 2, "zones": 0, "regions": 0},
            "bounds": bounds,
            "platform": {"addr": store(index)?, "form": "objects", "writes_per_s": 400,
                "reads_per_s": 2000, "history_s": 20, "max_value_bytes": 1_048_576,
                "min_ttl_ms": 1000}
        });
        std::fs::write(&settings, text.to_string())?;
        machines.push(Machine {
            log: folder.join(format!("{}.log", place.node)),
            node: place.node,
            front: place.front,
            ready: place.ready,
            settings,
            child: Mutex::new(None),
            misses: AtomicUsize::new(MAX_MISSES),
            is_answering: AtomicBool::new(false),
        });
    }
    Ok(machines)
}

impl Machine {
    /// Starts the process.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("EELGRASSPIER_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        *self.child.lock().unwrap() = Some(command.spawn()?);
        Ok(())
    }

    /// Later starts are not the first one of the whole system.
    pub fn end_bootstrap(&self) -> io::Result<()> {
        let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(&self.settings)?)?;
        settings["bootstrap"] = json!(false);
        std::fs::write(&self.settings, settings.to_string())
    }

    /// Writes another address of the store to the settings file; returns the previous one.
    pub fn move_store(&self, addr: SocketAddr) -> io::Result<Option<SocketAddr>> {
        let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(&self.settings)?)?;
        let previous = settings["platform"]["addr"].as_str().and_then(|a| a.parse().ok());
        settings["platform"]["addr"] = json!(addr);
        std::fs::write(&self.settings, settings.to_string())?;
        Ok(previous)
    }

    /// Sends SIGHUP to the process.
    pub fn hang_up(&self) -> io::Result<()> {
        let child = self.child.lock().unwrap();
        let Some(id) = child.as_ref().map(Child::id) else { return Ok(()) };
        Command::new("kill").arg("-HUP").arg(id.to_string()).status().map(drop)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Returns true if the process runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Asks the machine whether it is ready, like the platform once a second.
    pub fn check_ready(&self) {
        if self.ask_ready().unwrap_or(false) {
            self.misses.store(0, Ordering::SeqCst);
            self.is_answering.store(true, Ordering::SeqCst);
        } else if self.misses.fetch_add(1, Ordering::SeqCst) + 1 >= MAX_MISSES {
            self.is_answering.store(false, Ordering::SeqCst);
        }
    }

    /// True if the platform forwards new connections to the machine.
    pub fn is_in_rotation(&self) -> bool {
        self.is_answering.load(Ordering::SeqCst)
    }

    fn ask_ready(&self) -> io::Result<bool> {
        let timeout = Duration::from_millis(900);
        let mut connection = Connection::open(self.ready, timeout)?;
        connection.set_timeout(timeout)?;
        let host = self.ready.to_string();
        connection.send(&request("GET", "/eelgrasspier/ready", &[("Host", &host)], b""))?;
        Ok(connection.read()?.is_some_and(|answer| answer.status() == 200))
    }
}
