//! Measures how the cost of gossip and of routing decisions grows with cluster size.

use std::hint::black_box;
use std::time::Instant;

use bpaf::Bpaf;
use eelgrasspier_decide::hedge::LatencyQuantile;
use eelgrasspier_decide::replica::{Candidate, ReplicaLoad, SelectionPolicy, select_replica};
use eelgrasspier_decide::share;
use eelgrasspier_decide::snapshot::{HeldVersion, SnapshotCatalog};

use crate::gossip_net::GossipNet;

/// Maximum virtual time to wait for a condition.
const MAX_WAIT_MS: u64 = 300_000;
/// Virtual time over which steady-state gossip is measured.
const STEADY_STATE_MS: u64 = 10_000;

/// Options of the measurements.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Instance counts for gossip, comma separated
    #[bpaf(long, argument("LIST"), fallback("7,50,200,600".to_owned()))]
    pub members: String,
}

/// Runs all measurements and prints their tables.
///
/// # Errors
/// Fails if an instance count is not a number.
pub fn run(options: &Options) -> Result<(), String> {
    println!("gossip, in virtual time, 1 % of datagrams lost");
    println!(
        "| instances | join s | bytes/s each | longest datagram | version heard ms | shares agreed after a leave s | CPU us/s each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in options.members.split(',') {
        let count = count.trim().parse().map_err(|_| format!("{count} is not a number"))?;
        println!("{}", measure_gossip(count));
    }
    println!("\nshares of 21,000 replicas: time to compute all anew");
    for count in [7, 200, 2_600] {
        println!("| {count} members | {} us |", shares_us(count));
    }
    println!("\ndecisions of one query with 890 parts");
    println!("| snapshot from 890 x 2 reports | {} us |", catalogue_us(890));
    println!("| replica choice and latency, a part | {} ns |", part_ns());
    Ok(())
}

fn measure_gossip(count: usize) -> String {
    const LOST_PER_MILLE: u64 = 10;
    let seconds = |ms: Option<u64>| {
        ms.map_or_else(|| "-".to_owned(), |ms| format!("{:.1}", to_f64(ms) / 1e3))
    };
    let mut net = GossipNet::new(count, LOST_PER_MILLE);
    let joined = net.run_until(MAX_WAIT_MS, GossipNet::all_joined);
    let agreed = net.run_until(MAX_WAIT_MS, GossipNet::all_agreed);
    let (bytes_before, start_ms, started) = (net.sent_bytes, net.now_ms(), Instant::now());
    while net.now_ms() < start_ms + STEADY_STATE_MS {
        net.tick();
    }
    let busy_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let bytes_per_s = (net.sent_bytes - bytes_before) * 1000 / STEADY_STATE_MS / count as u64;
    net.set_config_version(0, 2);
    let propagated = net.run_until(MAX_WAIT_MS, |n| n.all_know_version(2));
    net.leave(count / 2);
    let after_leave = net.run_until(MAX_WAIT_MS, GossipNet::all_agreed);
    let cpu_us = busy_us * 1000 / STEADY_STATE_MS / count as u64;
    format!(
        "| {count} | {} (agreed +{}) | {bytes_per_s} | {} | {} | {} | {cpu_us} |",
        seconds(joined),
        seconds(agreed),
        net.max_datagram_bytes,
        propagated.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
        seconds(after_leave)
    )
}

#[expect(clippy::cast_precision_loss, reason = "for display only")]
fn to_f64(value: u64) -> f64 {
    value as f64
}

fn shares_us(count: u64) -> u128 {
    const REPLICAS: u64 = 21_000;
    const LIMIT: u32 = 25;
    let members: Vec<u64> = (0..count).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    let started = Instant::now();
    let held: u32 = (0..REPLICAS).map(|r| share::share_of(&members, members[0], r, LIMIT)).sum();
    black_box(held);
    started.elapsed().as_micros()
}

fn catalogue_us(shards: u32) -> u128 {
    const ROUNDS: u32 = 100;
    let held = [
        HeldVersion { version: 7, shard_count: shards },
        HeldVersion { version: 8, shard_count: shards },
    ];
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let mut catalog = SnapshotCatalog::default();
        for shard in 0..shards {
            catalog.add(shard, &held);
            catalog.add(shard, &held);
        }
        black_box(catalog.select(&[]));
    }
    started.elapsed().as_micros() / u128::from(ROUNDS)
}

fn part_ns() -> u128 {
    const ROUNDS: u32 = 1_000_000;
    let mut loads = [ReplicaLoad::default(), ReplicaLoad::default()];
    let mut quantile = LatencyQuantile::default();
    let started = Instant::now();
    for round in 0..u64::from(ROUNDS) {
        let candidate = |index: usize, load: &ReplicaLoad| Candidate {
            index,
            cost_us: load.cost_us(2, round),
            is_same_zone: index == 0,
        };
        let candidates = [candidate(0, &loads[0]), candidate(1, &loads[1])];
        let picked = select_replica(&candidates, SelectionPolicy::LeastCost, round).unwrap_or(0);
        loads[picked].record_answer(1_000 + round % 7, Some(1), round);
        quantile.record(1_000 + round % 7);
        black_box(quantile.value_us(950));
    }
    started.elapsed().as_nanos() / u128::from(ROUNDS)
}
