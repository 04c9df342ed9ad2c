//! One part of a query: replica, hedge, retry.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use eelgrasspier_backend::{Kind, PartFailure, PartRequest};
use eelgrasspier_decide::prelude::ShardId;
use eelgrasspier_decide::replica::{self, Candidate};
use eelgrasspier_decide::snapshot::{Held, Snapshot};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::flight::{Flight, Landed};
use crate::gather::{Reach, Source};
use crate::replica::{Lane, Replica};
use crate::service::ServiceState;
use crate::slices;
use crate::suspicion::Suspicion;
use crate::traffic::Traffic;

/// Why a shard is missed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub(crate) enum Miss {
    /// late
    Late,
    /// no replica holds the index version
    NoReplica,
    /// the index version is gone
    VersionGone,
    /// shed
    Shed,
    /// held back since servers were lost
    Held,
    /// {0}
    Failed(String),
}

/// What all parts of one query have in common.
#[derive(Debug)]
pub(crate) struct PartContext {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) service: Rc<ServiceState>,
    pub(crate) request_id: Rc<str>,
    pub(crate) body: Bytes,
    pub(crate) snapshot: Snapshot,
    pub(crate) cutoff: Instant,
    /// Which shards and hedges other instances may be asked for.
    pub(crate) reach: Reach,
    /// The longest exchange that brought a part, to tell the own time from theirs.
    pub(crate) slowest: Cell<Duration>,
    /// Its part in the ends of servers.
    pub(crate) suspicion: Suspicion,
}

/// One part on its way.
struct Part<'a> {
    context: &'a PartContext,
    shard: ShardId,
    tried: Vec<u64>,
    flights: FuturesUnordered<Flight>,
    /// A hedge by way of another instance.
    elsewhere: Option<Source<'a>>,
}

/// What comes first of the exchanges and the hedge elsewhere.
enum Arrived {
    Here(Landed),
    Elsewhere(Option<Bytes>),
}

/// What made an exchange start, for the extra load's count.
#[derive(Debug, Clone, Copy)]
enum Cause {
    First,
    Hedge,
    Retry,
}

/// Gathers one part; dropped early, whatever is on its way is cancelled.
pub(crate) async fn gather(context: &PartContext, shard: ShardId) -> Result<Bytes, Miss> {
    let mut part = Part {
        context,
        shard,
        tried: Vec::new(),
        flights: FuturesUnordered::new(),
        elsewhere: None,
    };
    part.launch_first().await?;
    context.service.hedges.borrow_mut().earn();
    context.service.retries.borrow_mut().earn();
    part.finish().await
}

impl Part<'_> {
    /// Starts the first exchange, waiting for a free connection if need be.
    async fn launch_first(&mut self) -> Result<(), Miss> {
        loop {
            let freed = self.context.traffic.freed.notified();
            if self.launch(Cause::First) {
                return Ok(());
            }
            if self.holders().next().is_none() {
                return Err(Miss::NoReplica);
            }
            freed.await;
        }
    }

    async fn finish(&mut self) -> Result<Bytes, Miss> {
        let mut hedge_after = self.hedge_after();
        loop {
            let arrived = match hedge_after {
                None => self.arrive().await,
                Some(pause) => {
                    let waited = tokio::time::timeout(pause, self.arrive()).await;
                    let Ok(arrived) = waited else {
                        hedge_after = None;
                        self.hedge();
                        continue;
                    };
                    arrived
                }
            };
            let landed = match arrived {
                Arrived::Here(landed) => landed,
                Arrived::Elsewhere(Some(body)) => return Ok(body),
                Arrived::Elsewhere(None) if self.flights.is_empty() => {
                    return Err(Miss::NoReplica);
                }
                Arrived::Elsewhere(None) => continue,
            };
            self.context.traffic.landed(&self.context.service, &landed);
            match landed.result {
                Ok(answer) => {
                    self.context.suspicion.answered();
                    let slowest = &self.context.slowest;
                    slowest.set(slowest.get().max(landed.took));
                    return Ok(answer.body);
                }
                Err(failure) => {
                    if matches!(failure, PartFailure::Lost(_)) {
                        self.context.suspicion.lost(&landed.replica);
                    }
                    self.failed(failure)?;
                }
            }
        }
    }

    /// Waits for an exchange, or for the hedge elsewhere, which is then used up.
    async fn arrive(&mut self) -> Arrived {
        let Some(elsewhere) = &mut self.elsewhere else {
            return self.flights.next().await.map_or(Arrived::Elsewhere(None), Arrived::Here);
        };
        let outcomes = if self.flights.is_empty() {
            elsewhere.await
        } else {
            tokio::select! {
                Some(landed) = self.flights.next() => return Arrived::Here(landed),
                outcomes = elsewhere => outcomes,
            }
        };
        self.elsewhere = None;
        Arrived::Elsewhere(outcomes.into_iter().find_map(|(_, outcome)| outcome.ok()))
    }

    /// The wait before a hedge; `None` where there is to be none.
    fn hedge_after(&self) -> Option<Duration> {
        let per_mille = self.context.traffic.shared.settings.policy.hedge_per_mille;
        if per_mille == 0 || self.context.service.spec.hedge_percent == 0 {
            return None;
        }
        let quantile_us = self.context.service.latency.borrow().value_us(per_mille);
        quantile_us.map(Duration::from_micros)
    }

    fn hedge(&mut self) {
        let context = self.context;
        if context.suspicion.is_held_back() {
            return;
        }
        let is_here = !self.candidates().is_empty();
        let peer = match context.reach {
            _ if is_here => None,
            Reach::OwnSlice => return,
            // The other replicas may be in other instances' slices only.
            Reach::Everywhere | Reach::Hedges => slices::holder(context, self.shard, &self.tried),
        };
        if (!is_here && peer.is_none()) || !context.service.hedges.borrow_mut().spend() {
            return;
        }
        match peer {
            None => {
                self.launch(Cause::Hedge);
            }
            Some(peer) => {
                count(Cause::Hedge);
                let asked = slices::ask(context, peer, vec![self.shard], Reach::OwnSlice);
                self.elsewhere = Some(Box::pin(asked));
            }
        }
    }

    /// Tries another replica where one may do better; else the part is missed.
    fn failed(&mut self, failure: PartFailure) -> Result<(), Miss> {
        let is_held = self.context.suspicion.is_held_back();
        let may_retry = failure.is_retryable() && !is_held && !self.candidates().is_empty();
        if may_retry && self.context.service.retries.borrow_mut().spend() {
            self.launch(Cause::Retry);
        }
        if !self.flights.is_empty() || self.elsewhere.is_some() {
            return Ok(());
        }
        Err(match failure {
            PartFailure::Lost(_) if is_held => Miss::Held,
            PartFailure::WrongVersion(_) => Miss::VersionGone,
            PartFailure::Shed(_) => Miss::Shed,
            PartFailure::TimedOut => Miss::Late,
            other => Miss::Failed(other.to_string()),
        })
    }

    /// Replicas that may hold the snapshot, take new work and are not down.
    ///
    /// A shard whose replicas are all down is missed at once. To try one all the same
    /// would hold up every query until its cut-off; the probes find the replica back
    /// within a moment of its return.
    fn holders(&self) -> impl Iterator<Item = &Rc<Replica>> {
        let Snapshot { version, shard_count, .. } = self.context.snapshot;
        let held = Held { version, shard_count };
        let replicas = self.context.service.shards.get(self.shard as usize);
        replicas.into_iter().flatten().filter(move |r| {
            let is_reached = r.limit(Lane::Query) > 0 && !r.is_down();
            is_reached && self.context.traffic.is_open(r) && r.may_hold(held)
        })
    }

    /// Holders with a free connection that were not tried yet.
    fn candidates(&self) -> Vec<Candidate> {
        let now_ms = self.context.traffic.shared.now_ms();
        let slots = self.context.service.spec.slots;
        let replicas = self.context.service.shards.get(self.shard as usize);
        let position = |replica: &Rc<Replica>| {
            replicas.and_then(|all| all.iter().position(|r| Rc::ptr_eq(r, replica)))
        };
        let free: Vec<&Rc<Replica>> = self
            .holders()
            .filter(|r| r.is_free(Lane::Query) && !self.tried.contains(&r.spec.id))
            .collect();
        free.into_iter()
            .filter_map(|r| {
                let index = position(r)?;
                let cost_us = r.load.borrow().cost_us(slots, now_ms);
                Some(Candidate { index, cost_us, is_near: r.is_near })
            })
            .collect()
    }

    /// Starts an exchange with the best candidate; returns whether there was one.
    fn launch(&mut self, cause: Cause) -> bool {
        let context = self.context;
        let choice = context.traffic.shared.settings.policy.choice;
        let Some(index) = replica::pick(&self.candidates(), choice, rand::random()) else {
            return false;
        };
        let Some(replica) = context.service.shards[self.shard as usize].get(index) else {
            return false;
        };
        let Some(permit) = replica.take(Lane::Query) else { return false };
        let id = format!("{}.{}.{}", context.request_id, self.shard, self.tried.len());
        self.tried.push(replica.spec.id);
        let request = PartRequest {
            addr: replica.spec.addr,
            kind: Kind::Query,
            service: Rc::clone(&context.service.name),
            shard: self.shard,
            version: Some(context.snapshot.version),
            time_left: context.cutoff.saturating_duration_since(Instant::now()),
            id: id.clone(),
            body: context.body.clone(),
            max_bytes: context.service.spec.max_part_bytes,
        };
        let exchanger = context.traffic.exchanger();
        let exchange = exchanger.exchange(request);
        self.flights.push(Flight::new(
            exchange,
            permit,
            id,
            exchanger,
            context.traffic.shared.now_ms(),
        ));
        count(cause);
        true
    }
}

fn count(cause: Cause) {
    let cause = match cause {
        Cause::First => "first",
        Cause::Hedge => "hedge",
        Cause::Retry => "retry",
    };
    metrics::counter!("eelgrasspier_parts_total", "cause" => cause).increment(1);
}
