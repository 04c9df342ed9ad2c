//! Execution of a non-idempotent request: one claim, at most one send that may execute it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrasspier_backend::{PartFailure, PartRequest, RequestKind};
use eelgrasspier_caller::{RunAnswer, RunParams};
use eelgrasspier_decide::claim::{Attempt, ClaimResult, Nonce};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, ShardId, Verdict};
use eelgrasspier_decide::replica::{self, Candidate};
use eelgrasspier_store::ClaimError;

use crate::clock::epoch_ms;
use crate::crash_tracker::CrashTracker;
use crate::event;
use crate::exchange::{CompletedExchange, PendingExchange};
use crate::replica::{ConnectionKind, Permit};
use crate::service::ServiceState;
use crate::shared::ControlRequest;
use crate::traffic::TrafficThread;

/// Time reserved for execution on the backend server while a claim or connection is pending.
const MIN_EXECUTION_TIME: Duration = Duration::from_millis(50);
/// Time between attempts to acquire a free connection.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Retry delay suggested to callers when the platform did not confirm the claim.
const CLAIM_RETRY_AFTER_MS: u64 = 1_000;
/// Retry delay suggested to callers when no backend server accepted the request.
const REPLICA_RETRY_AFTER_MS: u64 = 500;

/// Request kind that enters the fingerprint of a run.
const RUN_KIND: &str = "run";

/// A validated request that must not be executed twice.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) service: Rc<ServiceState>,
    pub(crate) params: RunParams,
    pub(crate) request_id: Rc<str>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// Claim of one attempt; dropping it releases the claim unless the request may have run.
struct ClaimGuard<'a> {
    run: &'a Run,
    traffic: &'a TrafficThread,
    nonce: Nonce,
    attempt: Attempt,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if self.attempt == Attempt::Claimed {
            let request = ControlRequest::Release { key: self.run.params.key, nonce: self.nonce };
            drop(self.traffic.shared.control.send(request));
        }
    }
}

impl Run {
    /// Executes the request at most once and returns its answer.
    ///
    /// # Errors
    /// Returns a refusal whose verdict states whether the request may have been executed.
    pub(crate) async fn execute(self, traffic: &Rc<TrafficThread>) -> Result<RunAnswer, Refusal> {
        self.check_shard()?;
        let scope = (&*self.service.name, RUN_KIND);
        let crash_tracker = CrashTracker::new(&traffic.shared, scope, &self.body, &self.request_id);
        crash_tracker.check_refusal()?;
        let common = &self.params.common;
        let admitted =
            self.service.admit(&common.team, common.weight, self.deadline, epoch_ms).await?;
        let trial = crash_tracker.wait_for_permission(self.deadline).await?;
        if trial.is_some() {
            traffic.refresh_replicas(&self.service, self.target_shard()).await;
        }
        let result = self.claim_and_send(traffic, &crash_tracker).await;
        drop(trial);
        crash_tracker.delay_failure(self.deadline).await;
        drop(admitted);
        if let Err(refusal) = &result {
            let detail = format!("{}: {}", refusal.verdict, refusal.reason);
            traffic.shared.timeline.record(event::RUN_REFUSED, &self.request_id, &detail);
        }
        result
    }

    /// Rejects shard numbers that the service does not have.
    fn check_shard(&self) -> Result<(), Refusal> {
        let count = self.service.shards.len();
        let chosen = self.params.common.shards.as_ref().and_then(|s| s.first().copied());
        match chosen {
            Some(shard) if shard as usize >= count => {
                let reason = format!("unknown shard {shard}: the service has {count}");
                Err(Refusal::not_run(RefusalReason::BadRequest(reason), None))
            }
            _ => Ok(()),
        }
    }

    async fn claim_and_send(
        &self,
        traffic: &Rc<TrafficThread>,
        crash_tracker: &CrashTracker,
    ) -> Result<RunAnswer, Refusal> {
        // Acquire the connection before the claim: a claim without a connection would be released.
        let permit = self.acquire_permit(traffic, None).await?;
        let mut claim = self.claim(traffic).await?;
        let record = |e, detail: &str| traffic.shared.timeline.record(e, &self.request_id, detail);
        record(event::RUN_CLAIMED, &format!("key {} nonce {}", self.params.key_text, claim.nonce));
        let mut permit = permit;
        loop {
            if Instant::now() >= self.deadline {
                return Err(Refusal::not_run(
                    RefusalReason::DeadlineTooClose,
                    Some(REPLICA_RETRY_AFTER_MS),
                ));
            }
            let Some(sent) = claim.attempt.use_permission() else {
                return Err(Refusal::may_have_run(RefusalReason::AlreadyClaimed));
            };
            claim.attempt = sent;
            let replica = Rc::clone(permit.replica());
            if crash_tracker.is_trial() {
                crash_tracker.record_trial_server(&replica);
            }
            record(event::RUN_SENT, &replica.spec.addr.to_string());
            let completed = self.send(traffic, permit).await;
            traffic.on_exchange_completed(&self.service, &completed);
            let is_silent = completed.is_silent();
            match completed.result {
                Ok(answer) => {
                    crash_tracker.record_answer(&replica);
                    record(event::RUN_DONE, "");
                    let request_id = self.request_id.to_string();
                    return Ok(RunAnswer { request_id, body: answer.body });
                }
                Err(PartFailure::NotReached(_)) => {
                    claim.attempt = claim.attempt.restore_permission();
                    permit = self.acquire_permit(traffic, Some(replica.spec.id)).await?;
                }
                Err(failure) => {
                    match failure {
                        PartFailure::Lost(_) => crash_tracker.record_loss(&replica),
                        PartFailure::TimedOut if is_silent => {
                            crash_tracker.record_silence(&replica, traffic);
                        }
                        _ => {}
                    }
                    return Err(refusal_for(&mut claim, &failure));
                }
            }
        }
    }

    async fn claim<'a>(&'a self, traffic: &'a TrafficThread) -> Result<ClaimGuard<'a>, Refusal> {
        let nonce: Nonce = rand::random();
        let key = self.params.key;
        let until = self.deadline.checked_sub(MIN_EXECUTION_TIME).unwrap_or(self.deadline);
        let answer = traffic
            .shared
            .call_control(|reply| ControlRequest::Claim { key, nonce, until, reply })
            .await;
        let outcome = answer.unwrap_or(Err(ClaimError::Unavailable));
        let attempt =
            outcome.as_ref().map_or(Attempt::Abandoned, |o| Attempt::Claiming.with_outcome(*o));
        match outcome {
            Ok(ClaimResult::Granted) => Ok(ClaimGuard { run: self, traffic, nonce, attempt }),
            Ok(ClaimResult::Taken) => Err(Refusal::may_have_run(RefusalReason::AlreadyClaimed)),
            Ok(ClaimResult::Expired) => Err(Refusal::may_have_run(RefusalReason::KeyExpired)),
            Err(ClaimError::Unavailable) => {
                Err(Refusal::not_run(RefusalReason::ClaimUnavailable, Some(CLAIM_RETRY_AFTER_MS)))
            }
        }
    }

    /// Acquires a connection to a replica other than `excluded`.
    ///
    /// Waits for a free connection while enough time remains to execute the request.
    async fn acquire_permit(
        &self,
        traffic: &TrafficThread,
        excluded: Option<u64>,
    ) -> Result<Permit, Refusal> {
        let no_replica =
            || Refusal::not_run(RefusalReason::NoReplica, Some(REPLICA_RETRY_AFTER_MS));
        let give_up_at = self.deadline.checked_sub(MIN_EXECUTION_TIME).unwrap_or(self.deadline);
        loop {
            let connection_freed = traffic.connection_freed.notified();
            if let Some(permit) = self.try_acquire(traffic, excluded) {
                return Ok(permit);
            }
            if !self.has_usable_replica(traffic, excluded) {
                return Err(no_replica());
            }
            let waited = tokio::time::timeout_at(give_up_at.into(), async {
                tokio::select! {
                    () = connection_freed => {}
                    () = tokio::time::sleep(CONNECTION_POLL_INTERVAL) => {}
                }
            });
            waited.await.map_err(|_| no_replica())?;
        }
    }

    fn try_acquire(&self, traffic: &TrafficThread, excluded: Option<u64>) -> Option<Permit> {
        let shard = self.target_shard()?;
        let now_ms = traffic.shared.now_ms();
        let replicas = self.service.shards.get(shard as usize)?;
        let is_any_up = replicas.iter().any(|r| !r.is_down() && Some(r.spec.id) != excluded);
        let candidates: Vec<Candidate> = replicas
            .iter()
            .enumerate()
            .filter(|(_, r)| r.is_free(ConnectionKind::Run) && traffic.accepts_work(r))
            .filter(|(_, r)| Some(r.spec.id) != excluded && (!is_any_up || !r.is_down()))
            .map(|(index, r)| {
                let cost_us = r.load.borrow().cost_us(self.service.spec.slots, now_ms);
                Candidate { index, cost_us, is_same_zone: r.is_near }
            })
            .collect();
        let choice = traffic.shared.settings.policy.choice;
        let index = replica::select_replica(&candidates, choice, rand::random())?;
        replicas.get(index)?.acquire(ConnectionKind::Run)
    }

    fn has_usable_replica(&self, traffic: &TrafficThread, excluded: Option<u64>) -> bool {
        let replicas =
            self.target_shard().and_then(|shard| self.service.shards.get(shard as usize));
        replicas.into_iter().flatten().any(|r| {
            r.limit(ConnectionKind::Run) > 0
                && traffic.accepts_work(r)
                && Some(r.spec.id) != excluded
        })
    }

    /// Returns the shard requested by the caller, or one derived from the idempotency key.
    fn target_shard(&self) -> Option<ShardId> {
        let chosen = self.params.common.shards.as_ref().and_then(|s| s.first().copied());
        let count = self.service.shards.len() as u128;
        chosen.or_else(|| ShardId::try_from(self.params.key.0.checked_rem(count)?).ok())
    }

    async fn send(&self, traffic: &TrafficThread, permit: Permit) -> CompletedExchange {
        let request = PartRequest {
            addr: permit.replica().spec.addr,
            kind: RequestKind::Run { key: self.params.key_text.clone() },
            service: Rc::clone(&self.service.name),
            shard: self.target_shard().unwrap_or_default(),
            version: None,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            id: self.request_id.to_string(),
            body: self.body.clone(),
            max_bytes: self.service.spec.max_part_bytes,
        };
        let client = traffic.backend_client();
        let exchange = client.exchange(request);
        let started_ms = traffic.shared.now_ms();
        PendingExchange::new(exchange, permit, self.request_id.to_string(), client, started_ms)
            .await
    }
}

/// Returns the refusal for a failed exchange.
///
/// The claim is released if the request was certainly not executed.
fn refusal_for(claim: &mut ClaimGuard<'_>, failure: &PartFailure) -> Refusal {
    if failure.verdict() == Verdict::NotRun {
        claim.attempt = claim.attempt.restore_permission();
        return Refusal::not_run(RefusalReason::Overloaded, Some(REPLICA_RETRY_AFTER_MS));
    }
    match failure {
        PartFailure::Status(status) => {
            Refusal::may_have_run(RefusalReason::BackendRefused(format!("status {status}")))
        }
        _ => Refusal::may_have_run(RefusalReason::AnswerLost),
    }
}
