//! Test cluster on loopback: platform, backend servers and instances as child processes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

use awc::Client;
use eelgrasspier_operator::{AdminClient, InstanceStatus, SubmitRequest, SubmitResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::backends::{BackendOptions, Counters, Faults as BackendFaults};
use crate::platform::{Faults as PlatformFaults, ListedInstance};
use crate::process::Process;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls before a wait fails: at least one minute in total, so that loaded machines don't time out.
const MAX_POLLS: usize = 1_200;
/// Administration token that every instance is configured with.
pub const ADMIN_TOKEN: &str = "standin-token";

/// Specification of a test cluster.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Number of instances.
    pub instances: usize,
    /// Availability zones, assigned to instances in rotation.
    pub zones: Vec<String>,
    /// Services and their backend servers.
    pub services: Vec<ServiceSpec>,
    /// Additional lines for the settings file of each instance, after its `[instance]` keys.
    pub settings: String,
}

/// Specification of one service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Options for its backend servers.
    pub backends: BackendOptions,
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
    pub fn start(options: &BackendOptions) -> Result<Self, String> {
        let args: Vec<String> = [
            ("--service", options.service.clone()),
            ("--shards", options.shards.to_string()),
            ("--replicas", options.replicas.to_string()),
            ("--slots", options.slots.to_string()),
            ("--connections", options.connections.to_string()),
            ("--connect-ms", options.connect_ms.to_string()),
            ("--work-us", options.work_us.to_string()),
            ("--stragglers-per-mille", options.stragglers_per_mille.to_string()),
            ("--zones", options.zones.clone()),
        ]
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
        let all = [&["backends".to_owned()], args.as_slice()].concat();
        let process = Process::start("eelgrasspier-standin", &all)?;
        let shards = serde_json::from_value(process.startup_info["shards"].clone());
        Ok(Self { process, shards: shards.map_err(|e| e.to_string())? })
    }

    /// Returns the addresses of all replicas, ordered by shard.
    #[must_use]
    pub fn addrs(&self) -> Vec<String> {
        self.shards.iter().flatten().map(|entry| entry_addr(entry)).collect()
    }
}

/// Returns the address part of a `zone@address` entry.
#[must_use]
pub fn entry_addr(entry: &str) -> String {
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
        format!("http://{}", self.process.startup_field("http"))
    }
}

/// Running test cluster; dropping it kills all processes and deletes the settings files.
#[derive(Debug)]
pub struct TestCluster {
    /// Platform process.
    pub platform: Process,
    /// Backend servers by service name.
    pub backends: BTreeMap<String, Backends>,
    /// Running instances.
    pub instances: Vec<Instance>,
    spec: ClusterSpec,
    dir: PathBuf,
    started_count: usize,
}

impl TestCluster {
    /// Starts all processes, submits the operators' text and waits until all instances are ready.
    ///
    /// # Errors
    /// Fails if a process can't be started or an instance does not become ready.
    pub async fn start(spec: ClusterSpec) -> Result<Self, String> {
        let cluster = Self::start_idle(spec)?;
        cluster.publish_instances(0).await?;
        let text = cluster.text();
        cluster.submit(0, 1, &text).await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts all processes without publishing the instance list or submitting a text.
    ///
    /// # Errors
    /// Fails if a process can't be started.
    pub fn start_idle(spec: ClusterSpec) -> Result<Self, String> {
        let platform = Process::start("eelgrasspier-standin", &["platform".to_owned()])?;
        let mut backends = BTreeMap::new();
        for service in &spec.services {
            backends.insert(service.backends.service.clone(), Backends::start(&service.backends)?);
        }
        // The process id keeps the name unique while the platform process runs.
        let dir = std::env::temp_dir().join(format!("eelgrasspier-{}", platform.id()));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let count = spec.instances;
        let instances = Vec::new();
        let mut cluster = Self { platform, backends, instances, spec, dir, started_count: 0 };
        for _ in 0..count {
            cluster.add_instance()?;
        }
        Ok(cluster)
    }

    /// Starts another instance and returns its index; the platform does not list it yet.
    ///
    /// # Errors
    /// Fails if the daemon can't be started.
    pub fn add_instance(&mut self) -> Result<usize, String> {
        let number = self.started_count;
        self.started_count += 1;
        let name = format!("instance-{number}");
        let zone = self.spec.zones[number % self.spec.zones.len()].clone();
        let process = self.start_daemon(&name, &zone)?;
        self.instances.push(Instance { name, zone, process });
        Ok(self.instances.len() - 1)
    }

    /// Kills an instance and starts a new one with the same name and zone.
    ///
    /// # Errors
    /// Fails if the daemon can't be started.
    pub fn restart_instance(&mut self, index: usize) -> Result<(), String> {
        self.instances[index].process.kill();
        let Instance { name, zone, .. } = &self.instances[index];
        let process = self.start_daemon(name, zone)?;
        self.instances[index].process = process;
        Ok(())
    }

    fn start_daemon(&self, name: &str, zone: &str) -> Result<Process, String> {
        let seeds: Vec<String> =
            self.instances.iter().map(|i| i.process.startup_field("peer")).collect();
        let mut settings = String::new();
        let platform = self.platform.startup_field("addr");
        let written = write!(
            settings,
            "[instance]\nname = {name}\nzone = {zone}\nhttp = 127.0.0.1:0\n\
             peer = 127.0.0.1:0\nseeds = {}\nadmin_token = {ADMIN_TOKEN}\n{}\n\
             [platform]\nurl = http://{platform}\n",
            seeds.join(","),
            self.spec.settings
        );
        written.map_err(|e| e.to_string())?;
        let path = self.dir.join(format!("{name}.ini"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        Process::start("eelgrasspierd", &[path.display().to_string()])
    }

    /// Returns the operators' text that describes all services of the cluster.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for service_spec in &self.spec.services {
            let options = &service_spec.backends;
            let BackendOptions { service, slots, connections, .. } = options;
            let lines = [
                format!("[{service}]"),
                format!("slots = {slots}"),
                format!("connections = {connections}"),
                service_spec.text.clone(),
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
    pub async fn publish_instances(&self, lag_ms: u64) -> Result<(), String> {
        let entry = |i: &Instance| {
            let (name, zone) = (i.name.clone(), i.zone.clone());
            ListedInstance { name, zone, peer_addr: i.process.startup_field("peer") }
        };
        let list: Vec<ListedInstance> = self.instances.iter().map(entry).collect();
        put_json(&self.platform_url(&format!("instances?lag_ms={lag_ms}")), &list).await
    }

    /// Returns a client for the administration API of one instance.
    #[must_use]
    pub fn admin(&self, index: usize) -> AdminClient {
        AdminClient::new(&self.instances[index].url(), Some(ADMIN_TOKEN))
    }

    /// Submits a text through the first instance and returns the accepted version.
    ///
    /// # Errors
    /// Fails if the edit is not accepted.
    pub async fn submit(&self, base: u64, edit_id: u64, text: &str) -> Result<u64, String> {
        let submitter = "standin".to_owned();
        let edit = SubmitRequest { edit_id, base, submitter, text: text.to_owned() };
        match self.admin(0).submit(&edit).await {
            Ok(SubmitResponse::Accepted { version }) => Ok(version),
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
            wait_until(&format!("{} is ready", instance.name), async || {
                get_status(&url).await == Some(200)
            })
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
        condition: &str,
        predicate: impl Fn(&[InstanceStatus]) -> bool,
    ) -> Result<(), String> {
        let admin = self.admin(0);
        wait_until(condition, async || admin.status().await.is_ok_and(|all| predicate(&all))).await
    }

    /// Replaces the faults that the platform injects.
    ///
    /// # Errors
    /// Fails if the platform does not accept the request.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), String> {
        put_json(&self.platform_url("faults"), faults).await
    }

    /// Makes the platform back up all objects (`copy`) or restore the backup (`restore`).
    ///
    /// # Errors
    /// Fails if the platform does not accept the request.
    pub async fn send_platform_command(&self, command: &str) -> Result<(), String> {
        put_json(&self.platform_url(command), &()).await
    }

    fn platform_url(&self, path: &str) -> String {
        format!("http://{}/standin/{path}", self.platform.startup_field("addr"))
    }

    /// Returns the number of calls that the platform has received, by kind.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    pub async fn platform_calls(&self) -> Result<BTreeMap<String, u64>, String> {
        get_json(&self.platform_url("calls")).await
    }

    /// Replaces the faults that the replica at an address injects.
    ///
    /// # Errors
    /// Fails if the replica does not accept the request.
    pub async fn set_backend_faults(
        &self,
        addr: &str,
        faults: &BackendFaults,
    ) -> Result<(), String> {
        put_json(&format!("http://{addr}/standin/faults"), faults).await
    }

    /// Returns the counters of every replica of a service, ordered by shard.
    ///
    /// # Errors
    /// Fails if a replica does not answer.
    pub async fn counters(&self, service: &str) -> Result<Vec<Counters>, String> {
        let addrs = self.backends.get(service).map(Backends::addrs).unwrap_or_default();
        fetch_counters(&addrs).await
    }

    /// Returns the metrics of one instance in Prometheus text format.
    ///
    /// # Errors
    /// Fails if the instance does not answer.
    pub async fn metrics(&self, index: usize) -> Result<String, String> {
        let body = get_bytes(&format!("{}/metrics", self.instances[index].url())).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Returns the base URLs of all instances.
    #[must_use]
    pub fn urls(&self) -> Vec<String> {
        self.instances.iter().map(Instance::url).collect()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

/// Fetches the counters of the replicas at the given addresses.
///
/// # Errors
/// Fails if a replica does not answer.
pub async fn fetch_counters(addrs: &[String]) -> Result<Vec<Counters>, String> {
    let mut all = Vec::new();
    for addr in addrs {
        all.push(get_json(&format!("http://{addr}/standin/counters")).await?);
    }
    Ok(all)
}

/// Polls a condition until it holds.
///
/// # Errors
/// Fails if the condition does not hold in time.
pub async fn wait_until(condition: &str, predicate: impl AsyncFn() -> bool) -> Result<(), String> {
    for _ in 0..MAX_POLLS {
        if predicate().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("timed out waiting until {condition}"))
}

async fn get_status(url: &str) -> Option<u16> {
    Client::default().get(url).send().await.ok().map(|answer| answer.status().as_u16())
}

async fn put_json<T: Serialize>(url: &str, value: &T) -> Result<(), String> {
    let sent = Client::default().put(url).send_json(value).await;
    let answer = sent.map_err(|e| format!("{url}: {e}"))?;
    if answer.status().is_success() { Ok(()) } else { Err(format!("{url}: {}", answer.status())) }
}

async fn get_json<T: DeserializeOwned>(url: &str) -> Result<T, String> {
    serde_json::from_slice(&get_bytes(url).await?).map_err(|e| format!("{url}: {e}"))
}

async fn get_bytes(url: &str) -> Result<Vec<u8>, String> {
    const MAX_BYTES: usize = 16 << 20;
    let sent = Client::default().get(url).send().await;
    let mut answer = sent.map_err(|e| format!("{url}: {e}"))?;
    let body = answer.body().limit(MAX_BYTES).await;
    body.map(|b| b.to_vec()).map_err(|e| format!("{url}: {e}"))
}
