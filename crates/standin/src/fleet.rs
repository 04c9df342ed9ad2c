//! A whole deployment on loopback: platform, backend servers, instances.

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

/// Pause between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Looks before a condition is given up: generous, for busy machines.
const MOST_LOOKS: usize = 1_200;
/// Token for edits.
pub const TOKEN: &str = "standin-token";

/// What a deployment is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of instances.
    pub instances: usize,
    /// Availability zones over which they are spread.
    pub zones: Vec<String>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Further lines for each instance's settings, by section.
    pub settings: String,
}

/// One service of a deployment.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its backend servers.
    pub shape: Shape,
    /// Further lines for the operators' text.
    pub text: String,
}

/// The backend servers of one running service.
#[derive(Debug)]
pub struct Backends {
    /// The process that stands in for them.
    pub process: Process,
    /// Replicas as `zone@address`, by shard.
    pub shards: Vec<Vec<String>>,
}

impl Backends {
    /// Starts the servers of one service.
    ///
    /// # Errors
    /// Fails if the process can't be started.
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

    /// Addresses of all replicas.
    #[must_use]
    pub fn addrs(&self) -> Vec<String> {
        self.shards.iter().flatten().map(|entry| addr_of(entry)).collect()
    }
}

/// The address in `zone@address`.
#[must_use]
pub fn addr_of(entry: &str) -> String {
    entry.split('@').next_back().unwrap_or_default().to_owned()
}

/// One running instance.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The daemon.
    pub process: Process,
}

impl Instance {
    /// Base address for callers and operators.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.process.field("http"))
    }
}

/// A running deployment; everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// The backend servers, by service.
    pub backends: BTreeMap<String, Backends>,
    /// The instances.
    pub instances: Vec<Instance>,
    plan: Plan,
    folder: PathBuf,
    started: usize,
}

impl Fleet {
    /// Starts everything, submits the operators' text and waits until all are ready.
    ///
    /// # Errors
    /// Fails if something can't be started or does not become ready.
    pub async fn start(plan: Plan) -> Result<Self, String> {
        let fleet = Self::start_idle(plan)?;
        fleet.list_instances(0).await?;
        let text = fleet.text();
        fleet.submit(0, 1, &text).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts everything, but lists no instance and submits nothing.
    ///
    /// # Errors
    /// Fails if something can't be started.
    pub fn start_idle(plan: Plan) -> Result<Self, String> {
        let platform = Process::start("eelgrasspier-standin", &["platform".to_owned()])?;
        let mut backends = BTreeMap::new();
        for service in &plan.services {
            backends.insert(service.shape.service.clone(), Backends::start(&service.shape)?);
        }
        // The name is unique as long as the platform's process lives.
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

    /// Starts one more instance; it is not listed yet.
    ///
    /// # Errors
    /// Fails if it can't be started.
    pub fn add_instance(&mut self) -> Result<usize, String> {
        let number = self.started;
        self.started += 1;
        let name = format!("instance-{number}");
        let zone = self.plan.zones[number % self.plan.zones.len()].clone();
        let process = self.start_daemon(&name, &zone)?;
        self.instances.push(Instance { name, zone, process });
        Ok(self.instances.len() - 1)
    }

    /// Kills an instance and starts its successor under the same name.
    ///
    /// # Errors
    /// Fails if it can't be started.
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

    /// The operators' text of this deployment.
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

    /// Tells the platform which instances there are, to be seen after `lag_ms`.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    pub async fn list_instances(&self, lag_ms: u64) -> Result<(), String> {
        let listed = |i: &Instance| {
            let (name, zone) = (i.name.clone(), i.zone.clone());
            Listed { name, zone, peer_addr: i.process.field("peer") }
        };
        let list: Vec<Listed> = self.instances.iter().map(listed).collect();
        put(&self.platform_url(&format!("instances?lag_ms={lag_ms}")), &list).await
    }

    /// A client for the administration API of the instance `at`.
    #[must_use]
    pub fn admin(&self, at: usize) -> AdminClient {
        AdminClient::new(&self.instances[at].url(), Some(TOKEN))
    }

    /// Submits a text through the first instance; returns its version.
    ///
    /// # Errors
    /// Fails if it is not accepted.
    pub async fn submit(&self, base: u64, edit_id: u64, text: &str) -> Result<u64, String> {
        let submitter = "standin".to_owned();
        let edit = Submitted { edit_id, base, submitter, text: text.to_owned() };
        match self.admin(0).submit(&edit).await {
            Ok(SubmitAnswer::Accepted { version }) => Ok(version),
            other => Err(format!("edit not accepted: {other:?}")),
        }
    }

    /// Waits until every instance is ready for callers.
    ///
    /// # Errors
    /// Fails if one does not become ready.
    pub async fn wait_ready(&self) -> Result<(), String> {
        for instance in &self.instances {
            let url = format!("{}/readyz", instance.url());
            until(&format!("{} is ready", instance.name), async || status(&url).await == Some(200))
                .await?;
        }
        Ok(())
    }

    /// Waits until the first instance's status of all satisfies a condition.
    ///
    /// # Errors
    /// Fails if it never does.
    pub async fn wait_status(
        &self,
        what: &str,
        holds: impl Fn(&[InstanceStatus]) -> bool,
    ) -> Result<(), String> {
        let admin = self.admin(0);
        until(what, async || admin.status().await.is_ok_and(|all| holds(&all))).await
    }

    /// Sets the platform's faults.
    ///
    /// # Errors
    /// Fails if it does not answer.
    pub async fn platform_faults(&self, faults: &PlatformFaults) -> Result<(), String> {
        put(&self.platform_url("faults"), faults).await
    }

    /// Has the platform keep a copy of all objects (`copy`), or come back from it (`restore`).
    ///
    /// # Errors
    /// Fails if it does not answer.
    pub async fn tell_platform(&self, what: &str) -> Result<(), String> {
        put(&self.platform_url(what), &()).await
    }

    fn platform_url(&self, what: &str) -> String {
        format!("http://{}/standin/{what}", self.platform.field("addr"))
    }

    /// Calls that the platform has counted, by kind.
    ///
    /// # Errors
    /// Fails if it does not answer.
    pub async fn platform_calls(&self) -> Result<BTreeMap<String, u64>, String> {
        get(&self.platform_url("calls")).await
    }

    /// Sets the faults of one replica, by its address.
    ///
    /// # Errors
    /// Fails if it does not answer.
    pub async fn backend_faults(&self, addr: &str, faults: &BackendFaults) -> Result<(), String> {
        put(&format!("http://{addr}/standin/faults"), faults).await
    }

    /// Counters of every replica of a service, in the order of shards.
    ///
    /// # Errors
    /// Fails if one does not answer.
    pub async fn counters(&self, service: &str) -> Result<Vec<Counters>, String> {
        let addrs = self.backends.get(service).map(Backends::addrs).unwrap_or_default();
        counters_of(&addrs).await
    }

    /// The metrics of one instance, as Prometheus reads them.
    ///
    /// # Errors
    /// Fails if it does not answer.
    pub async fn metrics(&self, at: usize) -> Result<String, String> {
        let body = get_bytes(&format!("{}/metrics", self.instances[at].url())).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Addresses of all instances, for load.
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

/// Counters of the replicas at these addresses.
///
/// # Errors
/// Fails if one does not answer.
pub async fn counters_of(addrs: &[String]) -> Result<Vec<Counters>, String> {
    let mut all = Vec::new();
    for addr in addrs {
        all.push(get(&format!("http://{addr}/standin/counters")).await?);
    }
    Ok(all)
}

/// Waits until a condition holds.
///
/// # Errors
/// Fails if it never does.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) -> Result<(), String> {
    for _ in 0..MOST_LOOKS {
        if holds().await {
            return Ok(());
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Err(format!("waited in vain until {what}"))
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
