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

use crate::fleet::counters_of;
use crate::report::{Report, Tally};

/// Number of tracked tasks above which finished ones are removed from the list.
const MAX_IN_PROGRESS: usize = 20_000;
/// Time to wait for an answer after its deadline.
const GRACE: Duration = Duration::from_secs(2);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Options of the load generator.
#[derive(Debug, Clone, Bpaf)]
pub struct Plan {
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
pub async fn run_and_print(plan: &Plan) -> Result<(), String> {
    let report = run(plan).await?;
    if plan.json {
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
pub async fn run(plan: &Plan) -> Result<Report, String> {
    let counters: Vec<String> = list(&plan.counters);
    let before = parts(&counters).await?;
    let tally = Rc::new(RefCell::new(Tally::default()));
    offer(plan, &tally).await;
    let after = parts(&counters).await?;
    let tally = tally.borrow();
    // Refused queries don't reach a backend server.
    let answered = tally.in_time + tally.late;
    Ok(tally.report(after - before, answered * plan.shards))
}

fn list(text: &str) -> Vec<String> {
    text.split(',').filter(|e| !e.is_empty()).map(str::to_owned).collect()
}

async fn parts(addrs: &[String]) -> Result<u64, String> {
    Ok(counters_of(addrs).await?.iter().map(|c| c.parts).sum())
}

/// Sends queries at a fixed rate, independent of the completion of earlier ones.
async fn offer(plan: &Plan, tally: &Rc<RefCell<Tally>>) {
    let urls: Vec<String> = list(&plan.instances);
    let client = Client::builder().disable_timeout().finish();
    let total = plan.rate * plan.seconds;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..total {
        let due = start + Duration::from_secs(1) * number / plan.rate.max(1);
        tokio::time::sleep_until(due.into()).await;
        tally.borrow_mut().offered += 1;
        if tasks.len() > MAX_IN_PROGRESS {
            tasks.retain(|task: &tokio::task::JoinHandle<()>| !task.is_finished());
        }
        let url =
            format!("{}/v1/services/{}/query", urls[number as usize % urls.len()], plan.service);
        let query = Query { client: client.clone(), url, due, number, plan: plan.clone() };
        tasks.push(actix_rt::spawn(query.run(Rc::clone(tally))));
    }
    for task in tasks {
        drop(task.await);
    }
}

struct Query {
    client: Client,
    url: String,
    /// Scheduled send time, from which latency is measured.
    due: Instant,
    number: u32,
    plan: Plan,
}

/// Body of a part, as written by the simulated backend servers.
#[derive(Debug, Deserialize)]
struct Said {
    service: String,
    shard: u32,
    version: u64,
    echo: String,
}

impl Query {
    async fn run(self, tally: Rc<RefCell<Tally>>) {
        let body = format!("query {}", self.number);
        let deadline = Duration::from_millis(self.plan.deadline_ms);
        let sent = self
            .client
            .post(&self.url)
            .insert_header(("deadline-ms", self.plan.deadline_ms))
            .insert_header(("team", self.plan.team.as_str()))
            .insert_header(("accept", "application/x-protobuf"))
            .send_body(body.clone());
        let received = async {
            let mut answer = sent.await.map_err(|e| e.to_string())?;
            let body = answer.body().limit(MAX_ANSWER_BYTES).await.map_err(|e| e.to_string())?;
            Ok::<_, String>((answer.status(), body))
        };
        let received = tokio::time::timeout(deadline + GRACE, received).await;
        let took = self.due.elapsed();
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let mut tally = tally.borrow_mut();
        match received {
            Err(_) => tally.lost("no answer".to_owned()),
            Ok(Err(error)) => tally.lost(error),
            Ok(Ok((StatusCode::OK, bytes))) => {
                tally.answered(took_us);
                tally.in_time += u64::from(took <= deadline);
                tally.late += u64::from(took > deadline);
                self.check(&mut tally, &bytes, &body);
            }
            Ok(Ok((_, bytes))) => match serde_json::from_slice::<Problem>(&bytes) {
                Ok(problem) => {
                    if problem.verdict == "not_run" && problem.retry_after_ms.is_none() {
                        tally.violated(format!(
                            "refusal with verdict not_run lacks retry_after_ms: {problem:?}"
                        ));
                    }
                    tally.refused(format!("{} {}", problem.verdict, problem.kind), took_us);
                }
                Err(error) => tally.violated(format!("invalid body of a refusal: {error}")),
            },
        }
    }

    /// Checks that an answer has one snapshot, consistent coverage and only parts of this query.
    fn check(&self, tally: &mut Tally, bytes: &[u8], body: &str) {
        let answer = match Answer::decode(bytes) {
            Ok(answer) => answer,
            Err(error) => return tally.violated(format!("invalid body of an answer: {error}")),
        };
        tally.covered += answer.covered.len() as u64;
        tally.wanted += (answer.covered.len() + answer.missed.len()) as u64;
        tally.full += u64::from(answer.missed.is_empty());
        for missed in &answer.missed {
            *tally.missed.entry(missed.reason.clone()).or_default() += 1;
        }
        for problem in problems(&answer, &self.plan.service, body) {
            tally.violated(format!("request {}: {problem}", answer.request_id));
        }
    }
}

/// Returns all guarantees that an answer to a query for all shards violates.
#[must_use]
pub fn problems(answer: &Answer, service: &str, body: &str) -> Vec<String> {
    let mut problems = Vec::new();
    let covered: BTreeSet<u32> = answer.covered.iter().copied().collect();
    let missed: BTreeSet<u32> = answer.missed.iter().map(|m| m.shard).collect();
    let brought: BTreeSet<u32> = answer.parts.iter().map(|p| p.shard).collect();
    if covered != brought || answer.parts.len() != answer.covered.len() {
        problems
            .push(format!("covered shards are {covered:?}, but parts are from shards {brought:?}"));
    }
    let all: BTreeSet<u32> = covered.union(&missed).copied().collect();
    if !covered.is_disjoint(&missed) || all != (0..answer.shard_count).collect() {
        problems
            .push(format!("covered {covered:?} and missed {missed:?} don't add up to all shards"));
    }
    for part in &answer.parts {
        match serde_json::from_slice::<Said>(&part.body) {
            Ok(said) => {
                if said.version != answer.index_version {
                    problems.push(format!(
                        "shard {} answered from version {} instead of {}",
                        part.shard, said.version, answer.index_version
                    ));
                }
                if said.shard != part.shard || said.service != service || said.echo != body {
                    problems.push(format!(
                        "shard {} returned a part that belongs to another query",
                        part.shard
                    ));
                }
            }
            Err(error) => problems.push(format!("shard {}: {error}", part.shard)),
        }
    }
    problems
}
