//! Demo: runs a test cluster on this machine, queries it and prints measurements.

use bpaf::Bpaf;
use futures_util::future::join;

use crate::backends::BackendOptions;
use crate::cluster::{ClusterSpec, ServiceSpec, TestCluster};
use crate::load;

/// Number of shards of grid-builder.
const GRID_SHARDS: u64 = 20;

/// Options of the demo.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of instances
    #[bpaf(long, argument("N"), fallback(7))]
    pub instances: usize,
    /// Queries per second
    #[bpaf(long, argument("N"), fallback(150))]
    pub rate: u32,
    /// Duration of the load, in seconds
    #[bpaf(long, argument("S"), fallback(10))]
    pub seconds: u32,
    /// Deadline of each query, in milliseconds
    #[bpaf(long, argument("MS"), fallback(100))]
    pub deadline_ms: u64,
    /// Replica choice policy: least-cost or random
    #[bpaf(long, argument("NAME"), fallback("least-cost".to_owned()))]
    pub choice: String,
    /// Latency quantile in thousandths after which a part is hedged; 0 disables hedging
    #[bpaf(long, argument("N"), fallback(950))]
    pub hedge_per_mille: u32,
    /// Requests per thousand that take ten times as long
    #[bpaf(long, argument("N"), fallback(5))]
    pub stragglers_per_mille: u64,
    /// Maximum connections to a replica
    #[bpaf(long, argument("N"), fallback(25))]
    pub connections: u32,
    /// Mean service time of a part, in microseconds
    #[bpaf(long, argument("US"), fallback(3000))]
    pub work_us: u64,
    /// Team that sends the queries
    #[bpaf(long, argument("NAME"), fallback("newspaper".to_owned()))]
    pub team: String,
    /// Additional queries per second from a second team
    #[bpaf(long, argument("N"), fallback(0))]
    pub flood_rate: u32,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
}

/// Returns the services of the tt-north deployment.
#[must_use]
pub fn tt_north_services(variant: &Variant) -> Vec<ServiceSpec> {
    let &Variant { stragglers_per_mille, connections, work_us, .. } = variant;
    let zones = "pos-hall,chag-hall,arima-hall,tuna-hall";
    let backends = |name: &str, shards, replicas, connections, connect_ms| BackendOptions {
        service: name.to_owned(),
        shards,
        replicas,
        slots: 2,
        connections,
        connect_ms,
        work_us,
        stragglers_per_mille,
        zones: zones.to_owned(),
    };
    let service = |backends, text: &str| ServiceSpec { backends, text: text.to_owned() };
    vec![
        service(backends("grid-builder", 20, 2, connections, 6), "depends_on = detail-page\n"),
        service(backends("member-portal", 30, 2, connections, 6), ""),
        service(backends("detail-page", 1, 5, 100, 1), "run_connections = 30\n"),
        service(backends("ad-reports", 1, 4, 100, 1), ""),
    ]
}

/// Name of the service that is queried.
pub const GRID_SERVICE: &str = "grid-builder";

/// Parameters in which compared deployments differ.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Replica choice policy.
    pub choice: String,
    /// Latency quantile in thousandths after which a part is hedged; 0 disables hedging.
    pub hedge_per_mille: u32,
    /// Requests per thousand that take ten times as long.
    pub stragglers_per_mille: u64,
    /// Maximum connections to a replica.
    pub connections: u32,
    /// Mean service time of a part, in microseconds.
    pub work_us: u64,
}

/// Returns the specification of a tt-north deployment.
#[must_use]
pub fn deployment(instances: usize, variant: &Variant) -> ClusterSpec {
    let zones = ["pos-hall", "chag-hall", "arima-hall", "tuna-hall"];
    ClusterSpec {
        instances,
        zones: zones.map(str::to_owned).to_vec(),
        services: tt_north_services(variant),
        settings: format!(
            "lame_duck_ms = 500\n[policy]\nreplica_choice = {}\nhedge_per_mille = {}",
            variant.choice, variant.hedge_per_mille
        ),
    }
}

/// Returns load generator options for queries to grid-builder through all instances.
#[must_use]
pub fn grid_load_options(
    cluster: &TestCluster,
    rate: u32,
    seconds: u32,
    deadline_ms: u64,
) -> load::Options {
    let counters = cluster.backends.get(GRID_SERVICE).map(|b| b.addrs().join(","));
    load::Options {
        instances: cluster.urls().join(","),
        service: GRID_SERVICE.to_owned(),
        rate,
        seconds,
        deadline_ms,
        team: "newspaper".to_owned(),
        shards: GRID_SHARDS,
        counters: counters.unwrap_or_default(),
        json: false,
    }
}

/// Starts the cluster, sends queries to grid-builder and prints the measurements.
///
/// # Errors
/// Fails if the cluster can't be started or an answer violates a guarantee.
pub async fn run(options: &Options) -> Result<(), String> {
    let variant = Variant {
        choice: options.choice.clone(),
        hedge_per_mille: options.hedge_per_mille,
        stragglers_per_mille: options.stragglers_per_mille,
        connections: options.connections,
        work_us: options.work_us,
    };
    let cluster = TestCluster::start(deployment(options.instances, &variant)).await?;
    let usage_before: Vec<_> = cluster.instances.iter().map(|i| i.process.usage()).collect();
    let calls_before: u64 = cluster.platform_calls().await?.values().sum();
    let load_options =
        grid_load_options(&cluster, options.rate, options.seconds, options.deadline_ms);
    let load_options =
        load::Options { json: options.json, team: options.team.clone(), ..load_options };
    let flood = load::Options {
        rate: options.flood_rate,
        team: "flood".to_owned(),
        counters: String::new(),
        ..load_options.clone()
    };
    let (result, flood_report) = join(load::run_and_print(&load_options), load::run(&flood)).await;
    if options.flood_rate > 0 {
        println!("the other team:\n{}", flood_report?);
    }
    let calls_after: u64 = cluster.platform_calls().await?.values().sum();
    print_usage(&cluster, &usage_before, options);
    let opened: u64 = cluster.counters(GRID_SERVICE).await?.iter().map(|c| c.opened).sum();
    println!("connections opened to {GRID_SERVICE}, from the start: {opened}");
    let metrics = cluster.metrics(0).await?;
    let shown = ["eelgrasspier_added_seconds", "eelgrasspier_control_cpu_seconds"];
    let is_shown = |line: &&str| shown.iter().any(|name| line.starts_with(name));
    for line in metrics.lines().filter(is_shown) {
        println!("{line}");
    }
    println!("platform calls while offering: {}", calls_after - calls_before);
    result
}

fn print_usage(cluster: &TestCluster, before: &[(u64, u64)], options: &Options) {
    let query_count = u64::from(options.rate) * u64::from(options.seconds);
    let after: Vec<_> = cluster.instances.iter().map(|i| i.process.usage()).collect();
    let cpu_time_ms: u64 = after.iter().zip(before).map(|(a, b)| a.0 - b.0).sum();
    let cpu_us = cpu_time_ms * 1000;
    let (us_per_query, us_per_part) = (cpu_us / query_count, cpu_us / query_count / GRID_SHARDS);
    println!("processor time  {us_per_query} us a query, {us_per_part} us a part");
    let count = after.len().max(1) as u64;
    let idle: u64 = before.iter().map(|u| u.1).sum::<u64>() / count;
    let busy: u64 = after.iter().map(|u| u.1).sum::<u64>() / count;
    println!("memory of a daemon  {idle} KB idle, {busy} KB loaded");
}
