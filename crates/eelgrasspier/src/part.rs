//! Gathering of one part of a query: replica selection, hedging and retries.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use eelgrasspier_backend::{PartFailure, PartRequest, RequestKind};
use eelgrasspier_decide::prelude::ShardId;
use eelgrasspier_decide::replica::{self, Candidate};
use eelgrasspier_decide::snapshot::{HeldVersion, Snapshot};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::crash_tracker::CrashTracker;
use crate::exchange::{CompletedExchange, PendingExchange};
use crate::forward;
use crate::gather::{Forwarding, ShardFuture};
use crate::replica::{ConnectionKind, Replica};
use crate::service::ServiceState;
use crate::traffic::TrafficThread;

/// Number of shards from which hedges wait for the first answer to the query.
///
/// With this many shards at least one usually answers before hedges are due. A query that silences
/// servers would otherwise silence both of each shard.
const MIN_SHARDS_TO_HOLD_HEDGES: u32 = 4;
/// Interval at which held hedges are reconsidered.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time before the cut-off from which an exchange counts as unanswered.
const CUTOFF_TOLERANCE: Duration = Duration::from_millis(2);

/// Reason why a shard is missing from an answer.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub(crate) enum MissReason {
    /// late
    Late,
    /// no replica holds the index version
    NoReplica,
    /// the index version is gone
    VersionGone,
    /// shed
    Shed,
    /// held back since servers were lost
    Deferred,
    /// {0}
    Failed(String),
}

/// State shared by all parts of one query.
#[derive(Debug)]
pub(crate) struct PartContext {
    pub(crate) traffic: Rc<TrafficThread>,
    pub(crate) service: Rc<ServiceState>,
    pub(crate) request_id: Rc<str>,
    pub(crate) body: Bytes,
    pub(crate) snapshot: Snapshot,
    pub(crate) cutoff: Instant,
    /// Parts and hedges that may be forwarded to other instances.
    pub(crate) forwarding: Forwarding,
    /// Longest successful exchange; subtracted from the total to measure the time added here.
    pub(crate) slowest_exchange: Cell<Duration>,
    /// Tracks crashes of backend servers under this query.
    pub(crate) crash_tracker: CrashTracker,
}

/// Gathering of one part, in progress.
struct PartTask<'a> {
    context: &'a PartContext,
    shard: ShardId,
    tried: Vec<u64>,
    in_flight: FuturesUnordered<PendingExchange>,
    /// A hedge sent through another instance.
    remote_hedge: Option<ShardFuture<'a>>,
}

/// Completion of a local exchange or of the hedge sent through another instance.
enum Completion {
    Local(CompletedExchange),
    Remote(Option<Bytes>),
}

/// Cause of an exchange, as a label of the parts counter.
#[derive(Debug, Clone, Copy)]
enum Cause {
    First,
    Hedge,
    Retry,
}

/// Gathers one part.
///
/// Dropping the future cancels the exchanges in progress.
///
/// # Errors
/// Returns the reason why the shard is missing.
pub(crate) async fn gather_part(
    context: &PartContext,
    shard: ShardId,
) -> Result<Bytes, MissReason> {
    let mut part = PartTask {
        context,
        shard,
        tried: Vec::new(),
        in_flight: FuturesUnordered::new(),
        remote_hedge: None,
    };
    if context.crash_tracker.is_trial() {
        context.traffic.refresh_replicas(&context.service, Some(shard)).await;
    }
    part.start_first_exchange().await?;
    context.service.hedges.borrow_mut().earn();
    context.service.retries.borrow_mut().earn();
    part.wait_for_answer().await
}

impl Drop for PartTask<'_> {
    /// Records the servers that have not answered the part by the cut-off.
    fn drop(&mut self) {
        let context = self.context;
        if Instant::now() + CUTOFF_TOLERANCE < context.cutoff {
            return;
        }
        for exchange in &self.in_flight {
            if let Some(replica) = exchange.silent_replica() {
                context.crash_tracker.record_silence(replica, &context.traffic);
            }
        }
    }
}

impl PartTask<'_> {
    /// Starts the first exchange, after waiting for a free connection if there is none.
    async fn start_first_exchange(&mut self) -> Result<(), MissReason> {
        loop {
            let connection_freed = self.context.traffic.connection_freed.notified();
            if self.start_exchange(Cause::First) {
                return Ok(());
            }
            if self.eligible_replicas().next().is_none() {
                return Err(MissReason::NoReplica);
            }
            connection_freed.await;
        }
    }

    async fn wait_for_answer(&mut self) -> Result<Bytes, MissReason> {
        let mut hedge_delay = self.hedge_delay();
        loop {
            let completion = match hedge_delay {
                None => self.next_completion().await,
                Some(pause) => {
                    let waited = tokio::time::timeout(pause, self.next_completion()).await;
                    let Ok(completion) = waited else {
                        hedge_delay = self.are_hedges_held().then_some(HEDGE_RECHECK_INTERVAL);
                        if hedge_delay.is_none() {
                            self.send_hedge();
                        }
                        continue;
                    };
                    completion
                }
            };
            let completed = match completion {
                Completion::Local(completed) => completed,
                Completion::Remote(Some(body)) => return Ok(body),
                Completion::Remote(None) if self.in_flight.is_empty() => {
                    return Err(MissReason::NoReplica);
                }
                Completion::Remote(None) => continue,
            };
            self.context.traffic.on_exchange_completed(&self.context.service, &completed);
            let is_silent = completed.is_silent();
            match completed.result {
                Ok(answer) => {
                    self.context.crash_tracker.record_answer(&completed.replica);
                    let slowest_exchange = &self.context.slowest_exchange;
                    slowest_exchange.set(slowest_exchange.get().max(completed.took));
                    return Ok(answer.body);
                }
                Err(failure) => {
                    match failure {
                        PartFailure::Lost(_) => {
                            self.context.crash_tracker.record_loss(&completed.replica);
                        }
                        PartFailure::TimedOut if is_silent => {
                            let (replica, traffic) = (&completed.replica, &self.context.traffic);
                            self.context.crash_tracker.record_silence(replica, traffic);
                        }
                        _ => {}
                    }
                    self.handle_failure(failure)?;
                }
            }
        }
    }

    /// Waits for the next completed exchange or for the remote hedge, which is then cleared.
    async fn next_completion(&mut self) -> Completion {
        let Some(remote_hedge) = &mut self.remote_hedge else {
            return self.in_flight.next().await.map_or(Completion::Remote(None), Completion::Local);
        };
        let outcomes = if self.in_flight.is_empty() {
            remote_hedge.await
        } else {
            tokio::select! {
                Some(completed) = self.in_flight.next() => return Completion::Local(completed),
                outcomes = remote_hedge => outcomes,
            }
        };
        self.remote_hedge = None;
        Completion::Remote(outcomes.into_iter().find_map(|(_, outcome)| outcome.ok()))
    }

    /// Returns the delay before a hedge; `None` if hedging is disabled or no latency is known.
    fn hedge_delay(&self) -> Option<Duration> {
        let per_mille = self.context.traffic.shared.settings.policy.hedge_per_mille;
        if per_mille == 0 || self.context.service.spec.hedge_percent == 0 {
            return None;
        }
        let quantile_us = self.context.service.latency.borrow().value_us(per_mille);
        quantile_us.map(Duration::from_micros)
    }

    /// True if hedges wait for the first answer to the query.
    fn are_hedges_held(&self) -> bool {
        let context = self.context;
        !context.crash_tracker.is_answered()
            && context.snapshot.shard_count >= MIN_SHARDS_TO_HOLD_HEDGES
    }

    fn send_hedge(&mut self) {
        let context = self.context;
        if context.crash_tracker.should_defer() {
            return;
        }
        let is_local = !self.candidates().is_empty();
        let peer = match context.forwarding {
            _ if is_local => None,
            Forwarding::Forbidden => return,
            // The other replicas may be reachable through other instances only.
            Forwarding::Allowed | Forwarding::HedgesOnly => {
                forward::pick_peer(context, self.shard, &self.tried)
            }
        };
        if (!is_local && peer.is_none()) || !context.service.hedges.borrow_mut().try_take() {
            return;
        }
        match peer {
            None => {
                self.start_exchange(Cause::Hedge);
            }
            Some(peer) => {
                count_exchange(Cause::Hedge);
                let asked =
                    forward::request_parts(context, peer, vec![self.shard], Forwarding::Forbidden);
                self.remote_hedge = Some(Box::pin(asked));
            }
        }
    }

    /// Retries on another replica if that may succeed.
    ///
    /// # Errors
    /// Returns the reason if nothing else is in progress for this shard.
    fn handle_failure(&mut self, failure: PartFailure) -> Result<(), MissReason> {
        let is_deferred = self.context.crash_tracker.should_defer();
        let may_retry = failure.is_retryable() && !is_deferred && !self.candidates().is_empty();
        if may_retry && self.context.service.retries.borrow_mut().try_take() {
            self.start_exchange(Cause::Retry);
        }
        if !self.in_flight.is_empty() || self.remote_hedge.is_some() {
            return Ok(());
        }
        Err(match failure {
            PartFailure::Lost(_) if is_deferred => MissReason::Deferred,
            PartFailure::WrongVersion(_) => MissReason::VersionGone,
            PartFailure::Shed(_) => MissReason::Shed,
            PartFailure::TimedOut => MissReason::Late,
            other => MissReason::Failed(other.to_string()),
        })
    }

    /// Returns the reachable replicas that may hold the snapshot and accept new work.
    ///
    /// A shard whose replicas are all down is missed at once: trying one anyway would delay every
    /// query until its cut-off. Probes detect a recovered replica shortly after its return.
    fn eligible_replicas(&self) -> impl Iterator<Item = &Rc<Replica>> {
        let Snapshot { version, shard_count, .. } = self.context.snapshot;
        let held = HeldVersion { version, shard_count };
        let replicas = self.context.service.shards.get(self.shard as usize);
        replicas.into_iter().flatten().filter(move |r| {
            let is_reachable = r.limit(ConnectionKind::Query) > 0 && !r.is_down();
            is_reachable && self.context.traffic.accepts_work(r) && r.may_hold(held)
        })
    }

    /// Returns eligible replicas with a free connection that were not tried yet.
    fn candidates(&self) -> Vec<Candidate> {
        let now_ms = self.context.traffic.shared.now_ms();
        let slots = self.context.service.spec.slots;
        let replicas = self.context.service.shards.get(self.shard as usize);
        let position = |replica: &Rc<Replica>| {
            replicas.and_then(|all| all.iter().position(|r| Rc::ptr_eq(r, replica)))
        };
        let free: Vec<&Rc<Replica>> = self
            .eligible_replicas()
            .filter(|r| r.is_free(ConnectionKind::Query) && !self.tried.contains(&r.spec.id))
            .collect();
        free.into_iter()
            .filter_map(|r| {
                let index = position(r)?;
                let cost_us = r.load.borrow().cost_us(slots, now_ms);
                Some(Candidate { index, cost_us, is_same_zone: r.is_near })
            })
            .collect()
    }

    /// Starts an exchange with the best candidate; returns false if there is none.
    fn start_exchange(&mut self, cause: Cause) -> bool {
        let context = self.context;
        let choice = context.traffic.shared.settings.policy.choice;
        let Some(index) = replica::select_replica(&self.candidates(), choice, rand::random())
        else {
            return false;
        };
        let Some(replica) = context.service.shards[self.shard as usize].get(index) else {
            return false;
        };
        let Some(permit) = replica.acquire(ConnectionKind::Query) else { return false };
        if context.crash_tracker.is_trial() {
            context.crash_tracker.record_trial_server(replica);
        }
        let id = format!("{}.{}.{}", context.request_id, self.shard, self.tried.len());
        self.tried.push(replica.spec.id);
        let request = PartRequest {
            addr: replica.spec.addr,
            kind: RequestKind::Query,
            service: Rc::clone(&context.service.name),
            shard: self.shard,
            version: Some(context.snapshot.version),
            time_left: context.cutoff.saturating_duration_since(Instant::now()),
            id: id.clone(),
            body: context.body.clone(),
            max_bytes: context.service.spec.max_part_bytes,
        };
        let client = context.traffic.backend_client();
        let exchange = client.exchange(request);
        self.in_flight.push(PendingExchange::new(
            exchange,
            permit,
            id,
            client,
            context.traffic.shared.now_ms(),
        ));
        count_exchange(cause);
        true
    }
}

fn count_exchange(cause: Cause) {
    let cause = match cause {
        Cause::First => "first",
        Cause::Hedge => "hedge",
        Cause::Retry => "retry",
    };
    metrics::counter!("eelgrasspier_parts_total", "cause" => cause).increment(1);
}
