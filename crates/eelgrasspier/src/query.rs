//! Execution of one query: pins a snapshot, gathers all requested shards and reports the coverage.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrasspier_caller::{Answer, Missed, Part, RequestError, RequestParams};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, ShardId};
use eelgrasspier_decide::quarantine::Treatment;
use eelgrasspier_decide::snapshot::Snapshot;

use crate::clock::epoch_ms;
use crate::crash_tracker::CrashTracker;
use crate::event;
use crate::forward;
use crate::gather::{Forwarding, GatherResult, gather};
use crate::part::PartContext;
use crate::service::ServiceState;
use crate::traffic::TrafficThread;

/// Minimum time reserved for merging the parts and sending the response.
const MIN_RESPONSE_MARGIN: Duration = Duration::from_millis(4);
/// Divisor of the deadline that gives the reserved time if that exceeds the minimum.
///
/// A busy thread is late itself at the cut-off, so longer deadlines reserve more time.
const RESPONSE_MARGIN_DIVISOR: u32 = 25;
/// Minimum remaining time for a retry on a newer snapshot.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(10);
/// Retry delay suggested to callers when no snapshot is known or the coverage is too low.
const RETRY_AFTER_MS: u64 = 500;

/// Request kind that enters the fingerprint of a query.
pub(crate) const QUERY_KIND: &str = "query";
/// Maximum number of isolated trials of one query.
///
/// Two crashes are sufficient evidence, and one trial may be inconclusive.
const MAX_TRIALS: usize = 3;

/// A validated query.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) service: Rc<ServiceState>,
    pub(crate) params: RequestParams,
    pub(crate) request_id: Rc<str>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

impl Query {
    /// Executes the query and returns its answer.
    ///
    /// # Errors
    /// Returns a refusal if the query is quarantined, not admitted, has no snapshot or lacks
    /// coverage.
    pub(crate) async fn execute(self, traffic: &Rc<TrafficThread>) -> Result<Answer, Refusal> {
        let params = &self.params;
        let scope = (&*self.service.name, QUERY_KIND);
        let crash_tracker = CrashTracker::new(&traffic.shared, scope, &self.body, &self.request_id);
        crash_tracker.check_refusal()?;
        let budget = Duration::from_millis(params.deadline_ms);
        let margin = MIN_RESPONSE_MARGIN.max(budget / RESPONSE_MARGIN_DIVISOR);
        let cutoff = self.deadline.checked_sub(margin).unwrap_or(self.deadline);
        let admitted = self.service.admit(&params.team, params.weight, cutoff, epoch_ms).await?;
        let snapshot = self.select_snapshot(traffic, cutoff).await?;
        let wanted = self.requested_shards(snapshot)?;
        let mut context = PartContext {
            traffic: Rc::clone(traffic),
            service: Rc::clone(&self.service),
            request_id: Rc::clone(&self.request_id),
            body: self.body.clone(),
            snapshot,
            cutoff,
            forwarding: Forwarding::Allowed,
            slowest_exchange: Cell::default(),
            crash_tracker,
        };
        let started = Instant::now();
        let mut gathered = gather_with_quarantine(&context, &wanted).await;
        if let Some(newer) = self.retry_snapshot(&context, &gathered) {
            context.snapshot = newer;
            let wanted = self.requested_shards(newer)?;
            gathered = gather_with_quarantine(&context, &wanted).await;
        }
        if gathered.missed.is_empty() {
            let added = started.elapsed().saturating_sub(context.slowest_exchange.get());
            metrics::histogram!("eelgrasspier_added_seconds").record(added.as_secs_f64());
        }
        admitted.set_ending(gathered.load_ending());
        drop(admitted);
        self.check_coverage(&gathered)?;
        Ok(self.build_answer(&context, gathered))
    }

    async fn select_snapshot(
        &self,
        traffic: &TrafficThread,
        cutoff: Instant,
    ) -> Result<Snapshot, Refusal> {
        let refuse = |reason| Refusal::not_run(reason, Some(RETRY_AFTER_MS));
        if let Some(version) = self.params.version {
            let at = traffic.snapshot_at(&self.service, version);
            return at.ok_or_else(|| refuse(RefusalReason::SnapshotGone(version)));
        }
        let chosen = match traffic.choose_snapshot(&self.service) {
            None => forward::request_snapshot(traffic, &self.service, cutoff).await,
            chosen => chosen,
        };
        let snapshot = chosen.ok_or_else(|| refuse(RefusalReason::NoSnapshot))?;
        let shared = &traffic.shared;
        if shared.record_snapshot(&self.service.name, snapshot.version) {
            let detail = format!(
                "version {} with {}/{} shards",
                snapshot.version, snapshot.reachable, snapshot.shard_count
            );
            shared.timeline.record(event::SNAPSHOT, &self.service.name, &detail);
        }
        Ok(snapshot)
    }

    fn requested_shards(&self, snapshot: Snapshot) -> Result<Vec<ShardId>, Refusal> {
        let Snapshot { version, shard_count, .. } = snapshot;
        let Some(chosen) = &self.params.shards else {
            return Ok((0..shard_count).collect());
        };
        if let Some(&shard) = chosen.iter().find(|&&shard| shard >= shard_count) {
            let error = RequestError::UnknownShard { shard, version, shard_count };
            let reason = RefusalReason::BadRequest(error.to_string());
            return Err(Refusal::not_run(reason, None));
        }
        Ok(chosen.iter().copied().collect())
    }

    /// Returns a newer snapshot for a retry if the pinned version has disappeared.
    ///
    /// The parts of the first attempt are discarded, because an answer must not mix versions.
    fn retry_snapshot(&self, context: &PartContext, gathered: &GatherResult) -> Option<Snapshot> {
        let left = context.cutoff.saturating_duration_since(Instant::now());
        if self.params.version.is_some() || !gathered.is_version_gone() || left < MIN_TIME_FOR_RETRY
        {
            return None;
        }
        let newer = context.traffic.choose_snapshot(&self.service)?;
        (newer.version > context.snapshot.version).then_some(newer)
    }

    fn check_coverage(&self, gathered: &GatherResult) -> Result<(), Refusal> {
        const PERCENT: usize = 100;
        let covered = gathered.parts.len();
        let total = covered + gathered.missed.len();
        let required = (total * self.params.min_coverage_percent as usize).div_ceil(PERCENT);
        if covered >= required {
            return Ok(());
        }
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let reason = RefusalReason::Coverage { covered: number(covered), wanted: number(required) };
        // Some parts were executed, but queries are idempotent, so the caller may retry.
        let refusal = Refusal::may_have_run(reason);
        Err(Refusal { retry_after_ms: Some(RETRY_AFTER_MS), ..refusal })
    }

    fn build_answer(&self, context: &PartContext, gathered: GatherResult) -> Answer {
        if !gathered.missed.is_empty() {
            let reasons: Vec<String> =
                gathered.missed.iter().map(|(shard, miss)| format!("{shard}: {miss}")).collect();
            let timeline = &context.traffic.shared.timeline;
            timeline.record_rate_limited(
                event::QUERY_PARTIAL,
                &self.request_id,
                &reasons.join(", "),
            );
        }
        Answer {
            request_id: self.request_id.to_string(),
            index_version: context.snapshot.version,
            shard_count: context.snapshot.shard_count,
            covered: gathered.parts.iter().map(|(shard, _)| *shard).collect(),
            missed: gathered
                .missed
                .into_iter()
                .map(|(shard, miss)| Missed { shard, reason: miss.to_string() })
                .collect(),
            parts: gathered.parts.into_iter().map(|(shard, body)| Part { shard, body }).collect(),
        }
    }
}

/// Gathers `wanted`, then the shards deferred because backend servers may have crashed.
///
/// If the query is suspected of crashing backend servers, it is sent to one server at a time until
/// one answers; the remaining shards follow. If it becomes refused, its shards stay deferred.
async fn gather_with_quarantine(context: &PartContext, wanted: &[ShardId]) -> GatherResult {
    let crash_tracker = &context.crash_tracker;
    let mut gathered = GatherResult::default();
    if crash_tracker.treatment() == Treatment::Normal {
        gathered = gather(context, wanted).await;
    } else {
        gathered.defer(wanted.iter().copied());
    }
    for _ in 0..=MAX_TRIALS {
        let mut deferred = gathered.take_deferred();
        if deferred.is_empty() || Instant::now() >= context.cutoff {
            gathered.defer(deferred);
            break;
        }
        if crash_tracker.is_answered() {
            gathered.merge(gather(context, &deferred).await);
            continue;
        }
        crash_tracker.wait_for_crash_checks(context.cutoff).await;
        let trial = match crash_tracker.wait_for_permission(context.cutoff).await {
            Ok(Some(trial)) => trial,
            Ok(None) => {
                gathered.merge(gather(context, &deferred).await);
                continue;
            }
            Err(_) => {
                gathered.defer(deferred);
                break;
            }
        };
        deferred.sort_by_key(|shard| crash_tracker.fingerprint.shard_order_key(&shard.to_string()));
        let trial_shard = deferred.remove(0);
        let outcome = gather(context, &[trial_shard]).await;
        drop(trial);
        gathered.merge(outcome);
        gathered.defer(deferred);
    }
    crash_tracker.delay_failure(context.cutoff).await;
    gathered
}
