//! Demo: runs a test cluster on this machine, queries it and prints measurements.

use bpaf::Bpaf;
use futures_util::future::join;

use crate::backends::Shape;
use crate::fleet::{Fleet, Plan as FleetPlan, ServicePlan};
use crate::load;

/// Number of shards of grid-builder.
const GRID_SHARDS: u64 = 20;

/// Options of the demo.
#[derive(Debug, Clone, Bpaf)]
pub struct Plan {
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
pub fn tt_north(variant: &Variant) -> Vec<ServicePlan> {
    let &Variant { stragglers_per_mille, connections, work_us, .. } = variant;
    let zones = "pos-hall,chag-hall,arima-hall,tuna-hall";
    let shape = |name: &str, shards, replicas, connections, connect_ms| Shape {
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
    let plan = |shape, text: &str| ServicePlan { shape, text: text.to_owned() };
    vec![
        plan(shape("grid-builder", 20, 2, connections, 6), "depends_on = detail-page\n"),
        plan(shape("member-portal", 30, 2, connections, 6), ""),
        plan(shape("detail-page", 1, 5, 100, 1), "run_connections = 30\n"),
        plan(shape("ad-reports", 1, 4, 100, 1), ""),
    ]
}

/// Name of the service that is queried.
pub const GRID: &str = "grid-builder";

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
pub fn deployment(instances: usize, variant: &Variant) -> FleetPlan {
    let zones = ["pos-hall", "chag-hall", "arima-hall", "tuna-hall"];
    FleetPlan {
        instances,
        zones: zones.map(str::to_owned).to_vec(),
        services: tt_north(variant),
        settings: format!(
            "lame_duck_ms = 500\n[policy]\nreplica_choice = {}\nhedge_per_mille = {}",
            variant.choice, variant.hedge_per_mille
        ),
    }
}

/// Returns load generator options for queries to grid-builder through all instances.
#[must_use]
pub fn grid_load(fleet: &Fleet, rate: u32, seconds: u32, deadline_ms: u64) -> load::Plan {
    let counters = fleet.backends.get(GRID).map(|b| b.addrs().join(","));
    load::Plan {
        instances: fleet.urls().join(","),
        service: GRID.to_owned(),
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
pub async fn run(plan: &Plan) -> Result<(), String> {
    let variant = Variant {
        choice: plan.choice.clone(),
        hedge_per_mille: plan.hedge_per_mille,
        stragglers_per_mille: plan.stragglers_per_mille,
        connections: plan.connections,
        work_us: plan.work_us,
    };
    let fleet = Fleet::start(deployment(plan.instances, &variant)).await?;
    let usage_before: Vec<_> = fleet.instances.iter().map(|i| i.process.usage()).collect();
    let calls_before: u64 = fleet.platform_calls().await?.values().sum();
    let offered = grid_load(&fleet, plan.rate, plan.seconds, plan.deadline_ms);
    let offered = load::Plan { json: plan.json, team: plan.team.clone(), ..offered };
    let flood = load::Plan {
        rate: plan.flood_rate,
        team: "flood".to_owned(),
        counters: String::new(),
        ..offered.clone()
    };
    let (result, flooded) = join(load::run_and_print(&offered), load::run(&flood)).await;
    if plan.flood_rate > 0 {
        println!("the other team:\n{}", flooded?);
    }
    let calls_after: u64 = fleet.platform_calls().await?.values().sum();
    print_cost(&fleet, &usage_before, plan);
    let opened: u64 = fleet.counters(GRID).await?.iter().map(|c| c.opened).sum();
    println!("connections opened to {GRID}, from the start: {opened}");
    let metrics = fleet.metrics(0).await?;
    let shown = ["eelgrasspier_added_seconds", "eelgrasspier_control_cpu_seconds"];
    let is_shown = |line: &&str| shown.iter().any(|name| line.starts_with(name));
    for line in metrics.lines().filter(is_shown) {
        println!("{line}");
    }
    println!("platform calls while offering: {}", calls_after - calls_before);
    result
}

fn print_cost(fleet: &Fleet, before: &[(u64, u64)], plan: &Plan) {
    let offered = u64::from(plan.rate) * u64::from(plan.seconds);
    let after: Vec<_> = fleet.instances.iter().map(|i| i.process.usage()).collect();
    let spent: u64 = after.iter().zip(before).map(|(a, b)| a.0 - b.0).sum();
    let used_us = spent * 1000;
    let (a_query, a_part) = (used_us / offered, used_us / offered / GRID_SHARDS);
    println!("processor time  {a_query} us a query, {a_part} us a part");
    let count = after.len().max(1) as u64;
    let idle: u64 = before.iter().map(|u| u.1).sum::<u64>() / count;
    let busy: u64 = after.iter().map(|u| u.1).sum::<u64>() / count;
    println!("memory of a daemon  {idle} KB idle, {busy} KB loaded");
}
