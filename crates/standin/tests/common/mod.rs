//! Small test clusters and requests to them.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod fuse;

use awc::Client;
use eelgrasspier_caller::{Answer, Problem};
use eelgrasspier_standin::backends::BackendOptions;
use eelgrasspier_standin::cluster::{ClusterSpec, ServiceSpec, TestCluster};
use eelgrasspier_standin::load;
use prost::Message;

/// Name of the service that tests query.
pub const SERVICE: &str = "search";

/// Returns a service with two replicas per shard and connections reserved for runs.
pub fn service_spec(shards: u32) -> ServiceSpec {
    let backends = BackendOptions {
        service: SERVICE.to_owned(),
        shards,
        replicas: 2,
        slots: 2,
        connections: 25,
        connect_ms: 6,
        work_us: 2_000,
        stragglers_per_mille: 0,
        zones: "zone-a,zone-b".to_owned(),
    };
    ServiceSpec { backends, text: "run_connections = 8\n".to_owned() }
}

/// Returns the specification of a small test cluster.
pub fn cluster_spec(instances: usize, shards: u32) -> ClusterSpec {
    ClusterSpec {
        instances,
        zones: vec!["zone-a".to_owned(), "zone-b".to_owned()],
        services: vec![service_spec(shards)],
        settings: "lame_duck_ms = 500".to_owned(),
    }
}

/// Starts a small test cluster and waits until it is ready.
pub async fn cluster(instances: usize, shards: u32) -> TestCluster {
    TestCluster::start(cluster_spec(instances, shards)).await.unwrap()
}

/// Returns load options with a deadline that a busy machine can meet.
pub fn load_options(cluster: &TestCluster, rate: u32, seconds: u32) -> load::Options {
    load::Options {
        instances: cluster.urls().join(","),
        service: SERVICE.to_owned(),
        rate,
        seconds,
        deadline_ms: 2_000,
        team: "default".to_owned(),
        shards: 4,
        counters: String::new(),
        json: false,
    }
}

/// Returns the number of parts that all backend servers have started.
pub async fn part_count(cluster: &TestCluster) -> u64 {
    cluster.counters(SERVICE).await.unwrap().iter().map(|c| c.parts).sum()
}

/// Returns the number of runs that backend servers have started for a key.
pub async fn run_count(cluster: &TestCluster, key: &str) -> u64 {
    let counters = cluster.counters(SERVICE).await.unwrap();
    counters.iter().filter_map(|c| c.runs.get(key)).sum()
}

/// HTTP response of an instance.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<String>,
    pub request_id: String,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn problem(&self) -> Problem {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {}", self.text()))
    }

    pub fn answer(&self) -> Answer {
        assert_eq!(self.status, 200, "{}", self.text());
        Answer::decode(self.body.as_slice()).unwrap()
    }
}

/// Sends a POST request to one instance.
pub async fn post(url: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Result<Reply, String> {
    let client = Client::builder().disable_timeout().finish();
    let mut request = client.post(url).insert_header(("accept", "application/x-protobuf"));
    for &(name, value) in headers {
        request = request.insert_header((name, value));
    }
    let mut answer = request.send_body(body).await.map_err(|e| e.to_string())?;
    let retry_after = answer.headers().get("retry-after");
    let retry_after = retry_after.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let request_id = answer.headers().get("request-id").and_then(|v| v.to_str().ok());
    let request_id = request_id.unwrap_or_default().to_owned();
    let status = answer.status().as_u16();
    let body = answer.body().limit(16 << 20).await.map_err(|e| e.to_string())?.to_vec();
    Ok(Reply { status, body, retry_after, request_id })
}

/// Sends a query to one instance.
pub async fn send_query(
    cluster: &TestCluster,
    index: usize,
    service: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Reply {
    let url = format!("{}/v1/services/{service}/query", cluster.instances[index].url());
    post(&url, headers, body).await.unwrap()
}

/// Sends a run with an idempotency key to one instance.
pub async fn send_run(
    cluster: &TestCluster,
    index: usize,
    key: &str,
    deadline_ms: u64,
) -> Result<Reply, String> {
    let url = format!("{}/v1/services/{SERVICE}/run", cluster.instances[index].url());
    let deadline = deadline_ms.to_string();
    post(&url, &[("deadline-ms", &deadline), ("idempotency-key", key)], b"run".to_vec()).await
}

/// Returns a new idempotency key.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends a GET request and returns the status.
pub async fn get_status(url: &str) -> Result<u16, String> {
    let answer = Client::default().get(url).send().await.map_err(|e| e.to_string())?;
    Ok(answer.status().as_u16())
}

/// Sets the same faults on every replica of the service.
pub async fn set_all_faults(
    cluster: &TestCluster,
    faults: &eelgrasspier_standin::backends::Faults,
) {
    for addr in cluster.backends[SERVICE].addrs() {
        cluster.set_backend_faults(&addr, faults).await.unwrap();
    }
}
