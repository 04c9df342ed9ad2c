//! Compares variants of the replica choice and hedging policy under the same load and faults.

use std::time::Duration;

use bpaf::Bpaf;
use futures_util::future::join;

use crate::backends::Faults;
use crate::cluster::{TestCluster, entry_addr};
use crate::demo;
use crate::load;

/// Fault injected after the first third of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// No faults apart from stragglers.
    Calm,
    /// One replica in ten is slower by a factor of eight.
    Slow,
    /// One replica in ten is slower by a factor of eight and reports no load.
    Lying,
    /// One replica in ten stops answering on the connections open at that time.
    Silent,
    /// One replica in twenty stops answering.
    Lost,
    /// All replicas in one availability zone stop answering.
    ZoneLost,
}

impl std::str::FromStr for Scenario {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "calm" => Ok(Self::Calm),
            "slow" => Ok(Self::Slow),
            "lying" => Ok(Self::Lying),
            "silent" => Ok(Self::Silent),
            "lost" => Ok(Self::Lost),
            "zone-lost" => Ok(Self::ZoneLost),
            _ => {
                Err("unknown scenario; use calm, slow, lying, silent, lost or zone-lost".to_owned())
            }
        }
    }
}

/// Options of the comparison.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of instances
    #[bpaf(long, argument("N"), fallback(7))]
    pub instances: usize,
    /// Queries per second
    #[bpaf(long, argument("N"), fallback(300))]
    pub rate: u32,
    /// Duration of the load, in seconds
    #[bpaf(long, argument("S"), fallback(9))]
    pub seconds: u32,
    /// Deadline of each query, in milliseconds
    #[bpaf(long, argument("MS"), fallback(100))]
    pub deadline_ms: u64,
    /// Fault: calm, slow, lying, silent, lost or zone-lost
    #[bpaf(long, argument("NAME"), fallback(Scenario::Calm))]
    pub scenario: Scenario,
    /// Policies to compare as choice/hedge-per-mille, comma separated
    #[bpaf(
        long,
        argument("LIST"),
        fallback("random/0,least-cost/0,random/950,least-cost/950".to_owned())
    )]
    pub ways: String,
}

/// Runs the load with each policy in turn and prints a table row for each.
///
/// # Errors
/// Fails if a cluster can't be started or an answer violates a guarantee.
pub async fn run(options: &Options) -> Result<(), String> {
    println!(
        "{:?} at {} queries/s, deadline {} ms",
        options.scenario, options.rate, options.deadline_ms
    );
    println!("| way | p50 ms | p99 ms | p99.9 ms | in time % | coverage % | extra load % |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for policy in options.ways.split(',') {
        println!("{}", measure_policy(options, policy).await?);
    }
    Ok(())
}

async fn measure_policy(options: &Options, policy: &str) -> Result<String, String> {
    const PERCENT: f64 = 100.0;
    let (choice, per_mille) =
        policy.split_once('/').ok_or("a policy must be given as choice/hedge-per-mille")?;
    let cluster = TestCluster::start(demo::deployment(
        options.instances,
        &demo::Variant {
            choice: choice.to_owned(),
            hedge_per_mille: per_mille.parse().map_err(|_| "hedge-per-mille must be a number")?,
            stragglers_per_mille: 5,
            connections: 25,
            work_us: 3_000,
        },
    ))
    .await?;
    let load_options =
        demo::grid_load_options(&cluster, options.rate, options.seconds, options.deadline_ms);
    let (report, injected) = join(load::run(&load_options), inject_faults(&cluster, options)).await;
    injected?;
    let report = report?;
    if !report.violations.is_empty() {
        return Err(format!("answers violate guarantees of the interface: {report}"));
    }
    let in_time = f64::from(u32::try_from(report.in_time).unwrap_or(u32::MAX)) * PERCENT
        / f64::from(u32::try_from(report.offered.max(1)).unwrap_or(u32::MAX));
    Ok(format!(
        "| {policy} | {:.1} | {:.1} | {:.1} | {in_time:.2} | {:.3} | {:.2} |",
        report.p50_ms,
        report.p99_ms,
        report.p999_ms,
        report.coverage_percent,
        report.extra_load_percent
    ))
}

/// Injects the faults of the scenario after a third of the duration.
async fn inject_faults(cluster: &TestCluster, options: &Options) -> Result<(), String> {
    const FAULTY_ONE_IN: usize = 10;
    const LOST_ONE_IN: usize = 20;
    tokio::time::sleep(Duration::from_secs(u64::from(options.seconds)) / 3).await;
    let shards = &cluster.backends[demo::GRID_SERVICE].shards;
    let all: Vec<&String> = shards.iter().flatten().collect();
    let zone = all[0].split('@').next().unwrap_or_default();
    let (faults, one_in) = match options.scenario {
        Scenario::Calm => return Ok(()),
        Scenario::Slow => (Faults { slowness: 8, ..Faults::default() }, FAULTY_ONE_IN),
        Scenario::Lying => {
            (Faults { slowness: 8, said_load: Some(0), ..Faults::default() }, FAULTY_ONE_IN)
        }
        Scenario::Silent => (Faults { silences_open: true, ..Faults::default() }, FAULTY_ONE_IN),
        Scenario::Lost => (Faults { is_lost: true, ..Faults::default() }, LOST_ONE_IN),
        Scenario::ZoneLost => (Faults { is_lost: true, ..Faults::default() }, 1),
    };
    for entry in all.iter().step_by(one_in) {
        if options.scenario != Scenario::ZoneLost || entry.starts_with(&format!("{zone}@")) {
            cluster.set_backend_faults(&entry_addr(entry), &faults).await?;
        }
    }
    Ok(())
}
