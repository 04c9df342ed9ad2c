//! One shard of a request, and what was gathered.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, Verdict};
use eelgrasspier_decide::relays;

use crate::backend::Reply;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShardState {
    Pending,
    Covered,
    Failed,
    /// Not asked, since it would be late.
    LeftOut,
    /// Not in time any more; asked for once more where that completes an answer that is late.
    Late,
}

/// One shard of a request.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) service: Arc<str>,
    /// Connections that each of its replicas accepts, from everybody.
    pub(super) accepted_connections: u32,
    /// Replicas that it was sent to from here.
    pub(super) tried: Vec<Arc<str>>,
    /// Sends that surely did not run.
    pub(super) not_run: usize,
    /// Marks of the replicas that it may be sent to, where two instances send.
    pub(super) allowed: Option<Vec<u32>>,
    /// Whether a second instance was asked, since the first was lost.
    pub(super) was_reassigned: bool,
    /// Sends and questions to other instances without an end.
    pub(super) in_flight: usize,
    pub(super) hedge_at_ms: Option<u64>,
    pub(super) state: ShardState,
}

impl Shard {
    pub(super) fn new(service: Arc<str>, accepted_connections: u32) -> Self {
        Self {
            service,
            accepted_connections,
            tried: Vec::new(),
            not_run: 0,
            allowed: None,
            was_reassigned: false,
            in_flight: 0,
            hedge_at_ms: None,
            state: ShardState::Pending,
        }
    }

    /// Whether it may be sent to a replica, as far as another instance has drawn some.
    pub(super) fn allows(&self, replica: &ReplicaEntry) -> bool {
        self.allowed.as_ref().is_none_or(|marks| marks.contains(&relays::mark(&replica.id)))
    }

    /// Replicas that run it, or may come to.
    ///
    /// A send that is on its way may run too: a second one beside it counts.
    pub(super) fn used_attempts(&self) -> usize {
        self.tried.len() - self.not_run
    }
}

/// Parts that another instance has merged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MergedParts {
    /// The greatest records of the parts.
    pub(crate) records: Bytes,
    /// Shard and signature of each part.
    pub(crate) parts: Vec<(usize, Bytes)>,
}

/// What was gathered.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    /// Successes by shard.
    pub(crate) replies: Vec<(usize, Reply)>,
    /// Parts that other instances have merged; each shard is in one of them at the most.
    pub(crate) merged: Vec<MergedParts>,
    /// The last failure that a replica itself gave.
    pub(crate) failure: Option<Reply>,
    /// When to come back, where it was refused before anything was sent.
    pub(crate) refused_ms: Option<u64>,
    /// For how long it is refused since replicas end under it, in milliseconds.
    pub(crate) quarantined_ms: Option<u64>,
    /// Whether a replica may have run any of it.
    pub(crate) may_have_run: bool,
    /// Whether the time was over.
    pub(crate) is_timed_out: bool,
    /// Second sends that went out, and those that the budget did not allow.
    pub(crate) repeats: u32,
    pub(crate) unpaid: u32,
    /// Sends to replicas in other zones.
    pub(crate) far: u32,
    /// Sends to replicas that are cold, as far as they are counted here.
    pub(crate) cold: u32,
    /// Instances that were asked.
    pub(crate) relays: u32,
    /// Shards that are not in, by name.
    pub(crate) missing: Vec<Arc<str>>,
    /// Those of them that had failed, and were not just late.
    pub(crate) failed: Vec<Arc<str>>,
    /// Those that were not asked, since they would have been late.
    pub(crate) left_out: Vec<Arc<str>>,
}

impl Gathered {
    /// The refusal where this does not make a success.
    pub(crate) fn refusal(&self, retry_after_ms: u64) -> Refusal {
        // Of one that was handed over, a third instance may have run what this one refused.
        if let Some(retry_after_ms) = self.refused_ms.filter(|_| !self.may_have_run) {
            return Refusal::not_run(RefusalReason::Overloaded, Some(retry_after_ms));
        }
        if let Some(retry_after_ms) = self.quarantined_ms.filter(|_| !self.may_have_run) {
            return Refusal::not_run(RefusalReason::EndsReplicas, Some(retry_after_ms));
        }
        let reason = match (self.is_timed_out, self.may_have_run) {
            (true, _) => RefusalReason::TooLate,
            (false, true) => RefusalReason::AnswerLost,
            (false, false) => RefusalReason::NoReplica,
        };
        let verdict = if self.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
        Refusal { verdict, reason, retry_after_ms: Some(retry_after_ms) }
    }

    /// What it took, for the log.
    pub(crate) fn log_fields(&self) -> String {
        let Self { repeats, unpaid, far, cold, relays, .. } = self;
        let [missing, failed, left_out] =
            [&self.missing, &self.failed, &self.left_out].map(|shards| shards.join(","));
        format!(
            "repeats={repeats} unpaid={unpaid} far={far} cold={cold} relays={relays} missing=[{missing}] \
             failed=[{failed}] left_out=[{left_out}]"
        )
    }

    /// Number of shards that are in.
    pub(crate) fn parts(&self) -> usize {
        self.replies.len() + self.merged.iter().map(|m| m.parts.len()).sum::<usize>()
    }

    /// Whether a merged answer has a shard's part.
    pub(super) fn has_merged(&self, shard: usize) -> bool {
        self.merged.iter().flat_map(|m| &m.parts).any(|(covered, _)| *covered == shard)
    }

    /// Drops own parts of shards that are in a merged answer too.
    ///
    /// A merged answer can't be taken apart again, and a shard must not count twice.
    pub(super) fn drop_duplicates(&mut self) {
        let replies = std::mem::take(&mut self.replies);
        self.replies = replies.into_iter().filter(|(shard, _)| !self.has_merged(*shard)).collect();
    }
}
