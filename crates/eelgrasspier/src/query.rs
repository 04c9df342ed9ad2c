//! A query: one snapshot, all wanted shards, true coverage.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrasspier_caller::{Answer, Call, CallError, Missed, Part};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, ShardId};
use eelgrasspier_decide::quarantine::Treatment;
use eelgrasspier_decide::snapshot::Snapshot;

use crate::clock::epoch_ms;
use crate::event;
use crate::gather::{Gathered, Reach, gather};
use crate::part::PartContext;
use crate::service::ServiceState;
use crate::slices;
use crate::suspicion::Suspicion;
use crate::traffic::Traffic;

/// Least time that is kept for merging and for the way back to the caller.
const LEAST_RETURN_MARGIN: Duration = Duration::from_millis(4);
/// Part of a longer deadline that is kept for them: busy threads are late themselves.
const RETURN_MARGIN_ONE_IN: u32 = 25;
/// Least time that is worth a second try on a newer snapshot.
const LEAST_FOR_SECOND_TRY: Duration = Duration::from_millis(10);
/// When to come back where no snapshot is known yet.
const NO_SNAPSHOT_RETRY_MS: u64 = 500;

/// Kind of these requests, as part of their fingerprints.
pub(crate) const QUERY: &str = "query";
/// Times that a query is tried on one server at the most: two ends prove enough, and one trial
/// may bring nothing.
const MOST_TRIALS: usize = 3;
/// Time for which the trial of another query of the same is waited for.
const TRIAL_PAUSE: Duration = Duration::from_millis(20);

/// A checked query.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) service: Rc<ServiceState>,
    pub(crate) call: Call,
    pub(crate) request_id: Rc<str>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

impl Query {
    /// Answers the query, or refuses it at once.
    pub(crate) async fn answer(self, traffic: &Rc<Traffic>) -> Result<Answer, Refusal> {
        let call = &self.call;
        let of = (&*self.service.name, QUERY);
        let suspicion = Suspicion::new(&traffic.shared, of, &self.body, &self.request_id);
        if let Treatment::Refused(left_ms) = suspicion.treatment() {
            return Err(Refusal::not_run(RefusalReason::EndsReplicas, Some(left_ms)));
        }
        let budget = Duration::from_millis(call.deadline_ms);
        let margin = LEAST_RETURN_MARGIN.max(budget / RETURN_MARGIN_ONE_IN);
        let cutoff = self.deadline.checked_sub(margin).unwrap_or(self.deadline);
        let entered = self.service.enter(&call.team, call.weight, cutoff, epoch_ms).await?;
        let snapshot = self.snapshot(traffic, cutoff).await?;
        let wanted = self.wanted(snapshot)?;
        let mut context = PartContext {
            traffic: Rc::clone(traffic),
            service: Rc::clone(&self.service),
            request_id: Rc::clone(&self.request_id),
            body: self.body.clone(),
            snapshot,
            cutoff,
            reach: Reach::Everywhere,
            slowest: Cell::default(),
            suspicion,
        };
        let started = Instant::now();
        let mut gathered = gather_with_caution(&context, &wanted).await;
        if let Some(newer) = self.second_try(&context, &gathered) {
            context.snapshot = newer;
            let wanted = self.wanted(newer)?;
            gathered = gather_with_caution(&context, &wanted).await;
        }
        if gathered.missed.is_empty() {
            let added = started.elapsed().saturating_sub(context.slowest.get());
            metrics::histogram!("eelgrasspier_added_seconds").record(added.as_secs_f64());
        }
        entered.end(gathered.ending());
        drop(entered);
        self.check_coverage(&gathered)?;
        Ok(self.compose(&context, gathered))
    }

    async fn snapshot(&self, traffic: &Traffic, cutoff: Instant) -> Result<Snapshot, Refusal> {
        let refuse = |reason| Refusal::not_run(reason, Some(NO_SNAPSHOT_RETRY_MS));
        if let Some(version) = self.call.version {
            let at = traffic.snapshot_at(&self.service, version);
            return at.ok_or_else(|| refuse(RefusalReason::SnapshotGone(version)));
        }
        let chosen = match traffic.choose_snapshot(&self.service) {
            None => slices::ask_snapshot(traffic, &self.service, cutoff).await,
            chosen => chosen,
        };
        let snapshot = chosen.ok_or_else(|| refuse(RefusalReason::NoSnapshot))?;
        let shared = &traffic.shared;
        if shared.note_snapshot(&self.service.name, snapshot.version) {
            let detail = format!(
                "version {} with {}/{} shards",
                snapshot.version, snapshot.reachable, snapshot.shard_count
            );
            shared.timeline.record(event::SNAPSHOT, &self.service.name, &detail);
        }
        Ok(snapshot)
    }

    fn wanted(&self, snapshot: Snapshot) -> Result<Vec<ShardId>, Refusal> {
        let Snapshot { version, shard_count, .. } = snapshot;
        let Some(chosen) = &self.call.shards else {
            return Ok((0..shard_count).collect());
        };
        if let Some(&shard) = chosen.iter().find(|&&shard| shard >= shard_count) {
            let error = CallError::UnknownShard { shard, version, shard_count };
            let reason = RefusalReason::BadRequest(error.to_string());
            return Err(Refusal::not_run(reason, None));
        }
        Ok(chosen.iter().copied().collect())
    }

    /// A newer snapshot for one more try, where the pinned version vanished.
    ///
    /// The parts of the first try are thrown away: an answer never mixes versions.
    fn second_try(&self, context: &PartContext, gathered: &Gathered) -> Option<Snapshot> {
        let left = context.cutoff.saturating_duration_since(Instant::now());
        if self.call.version.is_some() || !gathered.is_version_gone() || left < LEAST_FOR_SECOND_TRY
        {
            return None;
        }
        let newer = context.traffic.choose_snapshot(&self.service)?;
        (newer.version > context.snapshot.version).then_some(newer)
    }

    fn check_coverage(&self, gathered: &Gathered) -> Result<(), Refusal> {
        const ALL_PERCENT: usize = 100;
        let covered = gathered.parts.len();
        let total = covered + gathered.missed.len();
        let least = (total * self.call.least_coverage_percent as usize).div_ceil(ALL_PERCENT);
        if covered >= least {
            return Ok(());
        }
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let reason = RefusalReason::Coverage { covered: number(covered), wanted: number(least) };
        // Parts of it did run; a query may be repeated, so it is worth coming back.
        let refusal = Refusal::may_have_run(reason);
        Err(Refusal { retry_after_ms: Some(NO_SNAPSHOT_RETRY_MS), ..refusal })
    }

    fn compose(&self, context: &PartContext, gathered: Gathered) -> Answer {
        if !gathered.missed.is_empty() {
            let reasons: Vec<String> =
                gathered.missed.iter().map(|(shard, miss)| format!("{shard}: {miss}")).collect();
            let timeline = &context.traffic.shared.timeline;
            timeline.record_some(event::QUERY_PARTIAL, &self.request_id, &reasons.join(", "));
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

/// Gathers `wanted`, and what was held back since servers were lost, once more is known.
///
/// A query under which servers have ended goes to one server at a time until one answers; the
/// rest follows. It is refused, or given up, where that one ends too.
async fn gather_with_caution(context: &PartContext, wanted: &[ShardId]) -> Gathered {
    let suspicion = &context.suspicion;
    let mut gathered = Gathered::default();
    if suspicion.treatment() == Treatment::Usual {
        gathered = gather(context, wanted).await;
    } else {
        gathered.hold(wanted.iter().copied());
    }
    for _ in 0..=MOST_TRIALS {
        let mut held = gathered.take_held();
        if held.is_empty() || Instant::now() >= context.cutoff {
            gathered.hold(held);
            break;
        }
        if !suspicion.is_answered() {
            suspicion.settle().await;
        }
        let treatment = suspicion.treatment();
        if suspicion.is_answered() || treatment == Treatment::Usual {
            gathered.join(gather(context, &held).await);
            continue;
        }
        if matches!(treatment, Treatment::Refused(_)) {
            gathered.hold(held);
            break;
        }
        let Some(trial) = suspicion.begin_trial() else {
            // Another query of the same is being tried: its end tells.
            tokio::time::sleep(TRIAL_PAUSE).await;
            gathered.hold(held);
            continue;
        };
        held.sort_by_key(|shard| suspicion.request.order(&shard.to_string()));
        let tried = held.remove(0);
        let outcome = gather(context, &[tried]).await;
        drop(trial);
        gathered.join(outcome);
        gathered.hold(held);
    }
    gathered
}
