//! Open-loop load generator that verifies every answer.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::StatusCode;
use bpaf::Bpaf;
use eelgrasspier_caller::{Answer, Problem};
use prost::Message;
use serde::Deserialize;

use crate::cluster::fetch_counters;
use crate::report::{LoadStats, Report};

/// Number of tracked tasks above which finished ones are removed from the list.
const MAX_TRACKED_TASKS: usize = 20_000;
/// Time to wait for an answer after its deadline.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Options of the load generator.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Addresses of the instances, comma separated
    #[bpaf(long, argument("URLS"))]
    pub instances: String,
    /// Service to query
    #[bpaf(long, argument("NAME"))]
    pub service: String,
    /// Queries per second
    #[bpaf(long, argument("N"), fallback(100))]
    pub rate: u32,
    /// Duration of the load, in seconds
    #[bpaf(long, argument("S"), fallback(10))]
    pub seconds: u32,
    /// Deadline of each query, in milliseconds
    #[bpaf(long, argument("MS"), fallback(100))]
    pub deadline_ms: u64,
    /// Team that sends the queries
    #[bpaf(long, argument("NAME"), fallback("default".to_owned()))]
    pub team: String,
    /// Number of shards of the service, to calculate extra load
    #[bpaf(long, argument("N"), fallback(20))]
    pub shards: u64,
    /// Addresses of backend servers whose part counters are read, comma separated
    #[bpaf(long, argument("ADDRS"), fallback(String::new()))]
    pub counters: String,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
}

/// Runs the load and prints the report.
///
/// # Errors
/// Fails if counters can't be read or an answer violates a guarantee.
pub async fn run_and_print(options: &Options) -> Result<(), String> {
    let report = run(options).await?;
    if options.json {
        println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
    } else {
        println!("{report}");
    }
    if report.violations.is_empty() {
        Ok(())
    } else {
        Err("answers violate guarantees of the interface".to_owned())
    }
}

/// Runs the load and returns the report.
///
/// # Errors
/// Fails if the counters of backend servers can't be read.
pub async fn run(options: &Options) -> Result<Report, String> {
    let counters: Vec<String> = split_list(&options.counters);
    let before = count_parts(&counters).await?;
    let stats = Rc::new(RefCell::new(LoadStats::default()));
    generate_load(options, &stats).await;
    let after = count_parts(&counters).await?;
    let stats = stats.borrow();
    // Refused queries don't reach a backend server.
    let answered = stats.in_time + stats.late;
    Ok(stats.report(after - before, answered * options.shards))
}

fn split_list(text: &str) -> Vec<String> {
    text.split(',').filter(|e| !e.is_empty()).map(str::to_owned).collect()
}

async fn count_parts(addrs: &[String]) -> Result<u64, String> {
    Ok(fetch_counters(addrs).await?.iter().map(|c| c.parts).sum())
}

/// Sends queries at a fixed rate, independent of the completion of earlier ones.
async fn generate_load(options: &Options, stats: &Rc<RefCell<LoadStats>>) {
    let urls: Vec<String> = split_list(&options.instances);
    let client = Client::builder().disable_timeout().finish();
    let total = options.rate * options.seconds;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..total {
        let scheduled_at = start + Duration::from_secs(1) * number / options.rate.max(1);
        tokio::time::sleep_until(scheduled_at.into()).await;
        stats.borrow_mut().offered += 1;
        if tasks.len() > MAX_TRACKED_TASKS {
            tasks.retain(|task: &tokio::task::JoinHandle<()>| !task.is_finished());
        }
        let url =
            format!("{}/v1/services/{}/query", urls[number as usize % urls.len()], options.service);
        let query =
            Query { client: client.clone(), url, scheduled_at, number, options: options.clone() };
        tasks.push(actix_rt::spawn(query.run(Rc::clone(stats))));
    }
    for task in tasks {
        drop(task.await);
    }
}

struct Query {
    client: Client,
    url: String,
    /// Scheduled send time, from which latency is measured.
    scheduled_at: Instant,
    number: u32,
    options: Options,
}

/// Body of a part, as written by the simulated backend servers.
#[derive(Debug, Deserialize)]
struct PartBody {
    service: String,
    shard: u32,
    version: u64,
    echo: String,
}

impl Query {
    async fn run(self, stats: Rc<RefCell<LoadStats>>) {
        let body = format!("query {}", self.number);
        let deadline = Duration::from_millis(self.options.deadline_ms);
        let sent = self
            .client
            .post(&self.url)
            .insert_header(("deadline-ms", self.options.deadline_ms))
            .insert_header(("team", self.options.team.as_str()))
            .insert_header(("accept", "application/x-protobuf"))
            .send_body(body.clone());
        let received = async {
            let mut answer = sent.await.map_err(|e| e.to_string())?;
            let body = answer.body().limit(MAX_ANSWER_BYTES).await.map_err(|e| e.to_string())?;
            Ok::<_, String>((answer.status(), body))
        };
        let received = tokio::time::timeout(deadline + ANSWER_GRACE_PERIOD, received).await;
        let elapsed = self.scheduled_at.elapsed();
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let mut stats = stats.borrow_mut();
        match received {
            Err(_) => stats.record_failure("no answer".to_owned()),
            Ok(Err(error)) => stats.record_failure(error),
            Ok(Ok((StatusCode::OK, bytes))) => {
                stats.record_answer(elapsed_us);
                stats.in_time += u64::from(elapsed <= deadline);
                stats.late += u64::from(elapsed > deadline);
                self.verify(&mut stats, &bytes, &body);
            }
            Ok(Ok((_, bytes))) => match serde_json::from_slice::<Problem>(&bytes) {
                Ok(problem) => {
                    if problem.verdict == "not_run" && problem.retry_after_ms.is_none() {
                        stats.record_violation(format!(
                            "refusal with verdict not_run lacks retry_after_ms: {problem:?}"
                        ));
                    }
                    stats.record_refusal(
                        format!("{} {}", problem.verdict, problem.kind),
                        elapsed_us,
                    );
                }
                Err(error) => stats.record_violation(format!("invalid body of a refusal: {error}")),
            },
        }
    }

    /// Checks that an answer has one snapshot, consistent coverage and only parts of this query.
    fn verify(&self, stats: &mut LoadStats, bytes: &[u8], body: &str) {
        let answer = match Answer::decode(bytes) {
            Ok(answer) => answer,
            Err(error) => {
                return stats.record_violation(format!("invalid body of an answer: {error}"));
            }
        };
        stats.covered_shards += answer.covered.len() as u64;
        stats.expected_shards += (answer.covered.len() + answer.missed.len()) as u64;
        stats.full += u64::from(answer.missed.is_empty());
        for missed in &answer.missed {
            *stats.missed.entry(missed.reason.clone()).or_default() += 1;
        }
        for violation in answer_violations(&answer, &self.options.service, body) {
            stats.record_violation(format!("request {}: {violation}", answer.request_id));
        }
    }
}

/// Returns all guarantees that an answer to a query for all shards violates.
#[must_use]
pub fn answer_violations(answer: &Answer, service: &str, body: &str) -> Vec<String> {
    let mut violations = Vec::new();
    let covered: BTreeSet<u32> = answer.covered.iter().copied().collect();
    let missed: BTreeSet<u32> = answer.missed.iter().map(|m| m.shard).collect();
    let part_shards: BTreeSet<u32> = answer.parts.iter().map(|p| p.shard).collect();
    if covered != part_shards || answer.parts.len() != answer.covered.len() {
        violations.push(format!(
            "covered shards are {covered:?}, but parts are from shards {part_shards:?}"
        ));
    }
    let all: BTreeSet<u32> = covered.union(&missed).copied().collect();
    if !covered.is_disjoint(&missed) || all != (0..answer.shard_count).collect() {
        violations
            .push(format!("covered {covered:?} and missed {missed:?} don't add up to all shards"));
    }
    for part in &answer.parts {
        match serde_json::from_slice::<PartBody>(&part.body) {
            Ok(part_body) => {
                if part_body.version != answer.index_version {
                    violations.push(format!(
                        "shard {} answered from version {} instead of {}",
                        part.shard, part_body.version, answer.index_version
                    ));
                }
                if part_body.shard != part.shard
                    || part_body.service != service
                    || part_body.echo != body
                {
                    violations.push(format!(
                        "shard {} returned a part that belongs to another query",
                        part.shard
                    ));
                }
            }
            Err(error) => violations.push(format!("shard {}: {error}", part.shard)),
        }
    }
    violations
}
