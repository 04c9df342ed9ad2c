//! Test cluster on loopback: platform, backend servers and instances as child processes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

use awc::Client;
use eelgrasspier_operator::{AdminClient, InstanceStatus, SubmitAnswer, Submitted};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::backends::{Counters, Faults as BackendFaults, Shape};
use crate::platform::{Faults as PlatformFaults, Listed};
use crate::process::Process;

/// Interval at which a condition is polled.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Polls before a wait fails: at least one minute in total, so that loaded machines don't time out.
const MOST_LOOKS: usize = 1_200;
/// Administration token that every instance is configured with.
pub const TOKEN: &str = "standin-token";

/// Specification of a test cluster.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of instances.
    pub instances: usize,
    /// Availability zones, assigned to instances in rotation.
    pub zones: Vec<String>,
    /// Services and their backend servers.
    pub services: Vec<ServicePlan>,
    /// Additional lines for the settings file of each instance, after its `[instance]` keys.
    pub settings: String,
}

/// Specification of one service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Options for its backend servers.
    pub shape: Shape,
    /// Additional lines for the section of the service in the operators' text.
    pub text: String,
}

/// Running backend servers of one service.
#[derive(Debug)]
pub struct Backends {
    /// Process that serves all of them.
    pub process: Process,
    /// Replicas as `zone@address`, by shard.
    pub shards: Vec<Vec<String>>,
}

impl Backends {
    /// Starts the backend servers of one service.
    ///
    /// # Errors
    /// Fails if the process can't be started or prints no replica addresses.
    pub fn start(shape: &Shape) -> Result<Self, String> {
        let args: Vec<String> = [
            ("--service", shape.service.clone()),
            ("--shards", shape.shards.to_string()),
            ("--replicas", shape.replicas.to_string()),
            ("--slots", shape.slots.to_string()),
            ("--connections", shape.connections.to_string()),
            ("--connect-ms", shape.connect_ms.to_string()),
            ("--work-us", shape.work_us.to_string()),
            ("--stragglers-per-mille", shape.stragglers_per_mille.to_string()),
            ("--zones", shape.zones.clone()),
        ]
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
        let all = [&["backends".to_owned()], args.as_slice()].concat();
        let process = Process::start("eelgrasspier-standin", &all)?;
        let shards = serde_json::from_value(process.said["shards"].clone());
        Ok(Self { process, shards: shards.map_err(|e| e.to_string())? })
    }

    /// Returns the addresses of all replicas, ordered by shard.
    #[must_use]
    pub fn addrs(&self) -> Vec<String> {
        self.shards.iter().flatten().map(|entry| addr_of(entry)).collect()
    }
}

/// Returns the address part of a `zone@address` entry.
#[must_use]
pub fn addr_of(entry: &str) -> String {
    entry.split('@').next_back().unwrap_or_default().to_owned()
}

/// One running instance.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Daemon process.
    pub process: Process,
}

impl Instance {
    /// Returns the base URL for callers and operators.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.process.field("http"))
    }
}

/// Running test cluster; dropping it kills all processes and deletes the settings files.
#[derive(Debug)]
pub struct Fleet {
    /// Platform process.
    pub platform: Process,
    /// Backend servers by service name.
    pub backends: BTreeMap<String, Backends>,
    /// Running instances.
    pub instances: Vec<Instance>,
    plan: Plan,
    folder: PathBuf,
    started: usize,
}

impl Fleet {
    /// Starts all processes, submits the operators' text and waits until all instances are ready.
    ///
    /// # Errors
    /// Fails if a process can't be started or an instance does not become ready.
    pub async fn start(plan: Plan) -> Result<Self, String> {
        let fleet = Self::start_idle(plan)?;
        fleet.list_instances(0).await?;
        let text = fleet.text();
        fleet.submit(0, 1, &text).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts all processes without publishing the instance list or submitting a text.
    ///
    /// # Errors
    /// Fails if a process can't be started.
    pub fn start_idle(plan: Plan) -> Result<Self, String> {
        let platform = Process::start("eelgrasspier-standin", &["platform".to_owned()])?;
        let mut backends = BTreeMap::new();
        for service in &plan.services {
            backends.insert(service.shape.service.clone(), Backends::start(&service.shape)?);
        }
        // The process id keeps the name unique while the platform process runs.
        let folder = std::env::temp_dir().join(format!("eelgrasspier-{}", platform.id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let count = plan.instances;
        let instances = Vec::new();
        let mut fleet = Self { platform, backends, instances, plan, folder, started: 0 };
        for _ in 0..count {
            fleet.add_instance()?;
        }
        Ok(fleet)
    }

    /// Starts another instance and returns its index; the platform does not list it yet.
    ///
    /// # Errors
    /// Fails if the daemon can't be started.
    pub fn add_instance(&mut self) -> Result<usize, String> {
        let number = self.started;
        self.started += 1;
        let name = format!("instance-{number}");
        let zone = self.plan.zones[number % self.plan.zones.len()].clone();
        let process = self.start_daemon(&name, &zone)?;
        self.instances.push(Instance { name, zone, process });
        Ok(self.instances.len() - 1)
    }

    /// Kills an instance and starts a new one with the same name and zone.
    ///
    /// # Errors
    /// Fails if the daemon can't be started.
    pub fn restart_instance(&mut self, at: usize) -> Result<(), String> {
        self.instances[at].process.kill();
        let Instance { name, zone, .. } = &self.instances[at];
        let process = self.start_daemon(name, zone)?;
        self.instances[at].process = process;
        Ok(())
    }

    fn start_daemon(&self, name: &str, zone: &str) -> Result<Process, String> {
        let seeds: Vec<String> = self.instances.iter().map(|i| i.process.field("peer")).collect();
        let mut settings = String::new();
        let platform = self.platform.field("addr");
        let written = write!(
            settings,
            "[instance]\nname = {name}\nzone = {zone}\nhttp = 127.0.0.1:0\n\
             peer = 127.0.0.1:0\nseeds = {}\nadmin_token = {TOKEN}\n{}\n\
             [platform]\nurl = http://{platform}\n",
            seeds.join(","),
            self.plan.settings
        );
        written.map_err(|e| e.to_string())?;
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        Process::start("eelgrasspierd", &[path.display().to_string()])
    }

    /// Returns the operators' text that describes all services of the cluster.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for service_plan in &self.plan.services {
            let shape = &service_plan.shape;
            let Shape { service, slots, connections, .. } = shape;
            let lines = [
                format!("[{service}]"),
                format!("slots = {slots}"),
                format!("connections = {connections}"),
                service_plan.text.clone(),
            ];
            text += &lines.join("\n");
            let Some(backends) = self.backends.get(service) else { continue };
            let shards = backends.shards.iter().enumerate();
            let lines = shards.map(|(n, entries)| format!("shard.{n} = {}\n", entries.join(", ")));
            text.extend(lines);
        }
        text
    }

    /// Sends the instance list to the platform, which publishes it after `lag_ms`.
    ///
    /// # Errors
    /// Fails if the platform does not accept the request.
    pub async fn list_instances(&self, lag_ms: u64) -> Result<(), String> {
        let listed = |i: &Instance| {
            let (name, zone) = (i.name.clone(), i.zone.clone());
            Listed { name, zone, peer_addr: i.process.field("peer") }
        };
        let list: Vec<Listed> = self.instances.iter().map(listed).collect();
        put(&self.platform_url(&format!("instances?lag_ms={lag_ms}")), &list).await
    }

    /// Returns a client for the administration API of one instance.
    #[must_use]
    pub fn admin(&self, at: usize) -> AdminClient {
        AdminClient::new(&self.instances[at].url(), Some(TOKEN))
    }

    /// Submits a text through the first instance and returns the accepted version.
    ///
    /// # Errors
    /// Fails if the edit is not accepted.
    pub async fn submit(&self, base: u64, edit_id: u64, text: &str) -> Result<u64, String> {
        let submitter = "standin".to_owned();
        let edit = Submitted { edit_id, base, submitter, text: text.to_owned() };
        match self.admin(0).submit(&edit).await {
            Ok(SubmitAnswer::Accepted { version }) => Ok(version),
            other => Err(format!("edit not accepted: {other:?}")),
        }
    }

    /// Waits until every instance reports that it is ready for callers.
    ///
    /// # Errors
    /// Fails if an instance does not become ready in time.
    pub async fn wait_ready(&self) -> Result<(), String> {
        for instance in &self.instances {
            let url = format!("{}/readyz", instance.url());
            until(&format!("{} is ready", instance.name), async || status(&url).await == Some(200))
                .await?;
        }
        Ok(())
    }

    /// Waits until the cluster status that the first instance reports satisfies a condition.
    ///
    /// # Errors
    /// Fails if the condition does not hold in time.
    pub async fn wait_status(
        &self,
        what: &str,
        holds: impl Fn(&[InstanceStatus]) -> bool,
    ) -> Result<(), String> {
        let admin = self.admin(0);
        until(what, async || admin.status().await.is_ok_and(|all| holds(&all))).await
    }

    /// Replaces the faults that the platform injects.
    ///
    /// # Errors
    /// Fails if the platform does not accept the request.
    pub async fn platform_faults(&self, faults: &PlatformFaults) -> Result<(), String> {
        put(&self.platform_url("faults"), faults).await
    }

    /// Makes the platform back up all objects (`copy`) or restore the backup (`restore`).
    ///
    /// # Errors
    /// Fails if the platform does not accept the request.
    pub async fn tell_platform(&self, what: &str) -> Result<(), String> {
        put(&self.platform_url(what), &()).await
    }

    fn platform_url(&self, what: &str) -> String {
        format!("http://{}/standin/{what}", self.platform.field("addr"))
    }

    /// Returns the number of calls that the platform has received, by kind.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    pub async fn platform_calls(&self) -> Result<BTreeMap<String, u64>, String> {
        get(&self.platform_url("calls")).await
    }

    /// Replaces the faults that the replica at an address injects.
    ///
    /// # Errors
    /// Fails if the replica does not accept the request.
    pub async fn backend_faults(&self, addr: &str, faults: &BackendFaults) -> Result<(), String> {
        put(&format!("http://{addr}/standin/faults"), faults).await
    }

    /// Returns the counters of every replica of a service, ordered by shard.
    ///
    /// # Errors
    /// Fails if a replica does not answer.
    pub async fn counters(&self, service: &str) -> Result<Vec<Counters>, String> {
        let addrs = self.backends.get(service).map(Backends::addrs).unwrap_or_default();
        counters_of(&addrs).await
    }

    /// Returns the metrics of one instance in Prometheus text format.
    ///
    /// # Errors
    /// Fails if the instance does not answer.
    pub async fn metrics(&self, at: usize) -> Result<String, String> {
        let body = get_bytes(&format!("{}/metrics", self.instances[at].url())).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Returns the base URLs of all instances.
    #[must_use]
    pub fn urls(&self) -> Vec<String> {
        self.instances.iter().map(Instance::url).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Fetches the counters of the replicas at the given addresses.
///
/// # Errors
/// Fails if a replica does not answer.
pub async fn counters_of(addrs: &[String]) -> Result<Vec<Counters>, String> {
    let mut all = Vec::new();
    for addr in addrs {
        all.push(get(&format!("http://{addr}/standin/counters")).await?);
    }
    Ok(all)
}

/// Polls a condition until it holds.
///
/// # Errors
/// Fails if the condition does not hold in time.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) -> Result<(), String> {
    for _ in 0..MOST_LOOKS {
        if holds().await {
            return Ok(());
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Err(format!("timed out waiting until {what}"))
}

async fn status(url: &str) -> Option<u16> {
    Client::default().get(url).send().await.ok().map(|answer| answer.status().as_u16())
}

async fn put<T: Serialize>(url: &str, value: &T) -> Result<(), String> {
    let sent = Client::default().put(url).send_json(value).await;
    let answer = sent.map_err(|e| format!("{url}: {e}"))?;
    if answer.status().is_success() { Ok(()) } else { Err(format!("{url}: {}", answer.status())) }
}

async fn get<T: DeserializeOwned>(url: &str) -> Result<T, String> {
    serde_json::from_slice(&get_bytes(url).await?).map_err(|e| format!("{url}: {e}"))
}

async fn get_bytes(url: &str) -> Result<Vec<u8>, String> {
    const MAX_BYTES: usize = 16 << 20;
    let sent = Client::default().get(url).send().await;
    let mut answer = sent.map_err(|e| format!("{url}: {e}"))?;
    let body = answer.body().limit(MAX_BYTES).await;
    body.map(|b| b.to_vec()).map_err(|e| format!("{url}: {e}"))
}
