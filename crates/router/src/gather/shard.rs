//! State of one shard of a request, and the gathered results.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::merge::{self, MergeError};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason, Verdict};
use eelgrasspier_decide::relays;
use eelgrasspier_decide::retry_budget::SlackShare;

use crate::backend::Reply;
use crate::customer_limiter::LimitRefusal;
use crate::retry_pool::PoolAsk;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShardState {
    Pending,
    Covered,
    Failed,
    /// Not sent because it would be late.
    LeftOut,
    /// Can't meet the target; retried if that completes an answer that is already late.
    Late,
}

/// One shard of a request.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) service: Arc<str>,
    /// Connections that each of its replicas accepts from all instances together.
    pub(super) replica_connection_limit: u32,
    /// This instance's part of the service's retry slack.
    pub(super) slack_share: SlackShare,
    /// Replicas to which this instance has sent the request.
    pub(super) tried: Vec<Arc<str>>,
    /// Number of sends that are known not to have run.
    pub(super) not_run: usize,
    /// Number of sends that a replica rejected; they are not in `tried`.
    pub(super) rejections: usize,
    /// Hashes of the only replicas that may be used, if two instances may send the request.
    pub(super) allowed: Option<Vec<u32>>,
    /// True if the shard was relayed again after the first instance was lost.
    pub(super) was_reassigned: bool,
    /// True if a lost instance may have sent the request, so that each further send is an extra one.
    pub(super) may_be_sent_elsewhere: bool,
    /// Sends and relay requests in flight.
    pub(super) in_flight: usize,
    /// Question to the owner of the retry pool that must precede the next send.
    pub(super) pool_ask: Option<PoolAsk>,
    pub(super) hedge_at_ms: Option<u64>,
    pub(super) state: ShardState,
}

impl Shard {
    pub(super) fn new(
        service: Arc<str>,
        replica_connection_limit: u32,
        slack_share: SlackShare,
    ) -> Self {
        Self {
            service,
            replica_connection_limit,
            slack_share,
            tried: Vec::new(),
            not_run: 0,
            rejections: 0,
            allowed: None,
            was_reassigned: false,
            may_be_sent_elsewhere: false,
            in_flight: 0,
            pool_ask: None,
            hedge_at_ms: None,
            state: ShardState::Pending,
        }
    }

    /// True if the replica is among those drawn for a relay, or none were drawn.
    pub(super) fn allows(&self, replica: &ReplicaEntry) -> bool {
        self.allowed
            .as_ref()
            .is_none_or(|hashes| hashes.contains(&relays::replica_hash(&replica.id)))
    }

    /// Records that a replica rejected the request, which may be sent to it again.
    pub(super) fn record_rejection(&mut self, replica: &str) {
        self.tried.retain(|tried| **tried != *replica);
        self.rejections += 1;
    }

    /// Returns the number of replicas that ran the request or may still run it.
    ///
    /// A send in flight counts, since it may run concurrently with a second one.
    pub(super) fn used_attempts(&self) -> usize {
        self.tried.len() - self.not_run
    }
}

/// Parts of several shards merged by another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MergedParts {
    /// Top records of the merged parts.
    pub(crate) records: Bytes,
    /// Shard index and signature of each part.
    pub(crate) parts: Vec<(usize, Bytes)>,
}

/// Results gathered for one request.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    /// Successful replies by shard index.
    pub(crate) replies: Vec<(usize, Reply)>,
    /// Parts merged by other instances; a shard is in at most one of them.
    pub(crate) merged: Vec<MergedParts>,
    /// The last error response of a replica.
    pub(crate) failure: Option<Reply>,
    /// Retry delay if the request was refused before anything was sent, in milliseconds.
    pub(crate) refused_ms: Option<u64>,
    /// True if it was refused because more urgent requests need the capacity.
    pub(crate) is_low_priority: bool,
    /// Refusal by the customer's rate limit, before anything was sent.
    pub(crate) limit_refusal: Option<LimitRefusal>,
    /// Origin of the customer's token; `None` without a limit and if a delegate takes the token.
    pub(crate) limit_source: Option<&'static str>,
    /// Remaining refusal time of a request that crashes replicas, in milliseconds.
    pub(crate) quarantined_ms: Option<u64>,
    /// Remaining pause of a request that replicas never answered, in milliseconds.
    pub(crate) paused_ms: Option<u64>,
    /// True if a replica may have run any part of the request.
    pub(crate) may_have_run: bool,
    /// True if the deadline expired.
    pub(crate) is_timed_out: bool,
    /// Extra sends (hedges and retries) that were sent, and those that the retry budget denied.
    pub(crate) extra_sends: u32,
    pub(crate) denied_extra_sends: u32,
    /// Sends to replicas in other zones.
    pub(crate) cross_zone_sends: u32,
    /// Sends to cold replicas that this instance rate limits.
    pub(crate) cold_sends: u32,
    /// Relay requests sent to other instances.
    pub(crate) relay_requests: u32,
    /// Names of the shards without a result.
    pub(crate) missing: Vec<Arc<str>>,
    /// The missing shards that failed rather than being late.
    pub(crate) failed: Vec<Arc<str>>,
    /// The missing shards that were not sent because they would have been late.
    pub(crate) left_out: Vec<Arc<str>>,
}

impl Gathered {
    /// Returns the refusal if these results are not enough for a success.
    pub(crate) fn refusal(&self, retry_after_ms: u64) -> Refusal {
        // A delegated request may have run through a third instance although the delegate refused
        // it.
        if let Some(retry_after_ms) = self.refused_ms.filter(|_| !self.may_have_run) {
            let reason = if self.is_low_priority {
                RefusalReason::LowPriority
            } else {
                RefusalReason::Overloaded
            };
            return Refusal::not_run(reason, Some(retry_after_ms));
        }
        if let Some(limit_refusal) = self.limit_refusal.as_ref().filter(|_| !self.may_have_run) {
            return limit_refusal.to_refusal();
        }
        if let Some(retry_after_ms) = self.quarantined_ms.filter(|_| !self.may_have_run) {
            return Refusal::not_run(RefusalReason::CrashesReplicas, Some(retry_after_ms));
        }
        if let Some(retry_after_ms) = self.paused_ms.filter(|_| !self.may_have_run) {
            return Refusal::not_run(RefusalReason::NeverAnswered, Some(retry_after_ms));
        }
        let reason = match (self.is_timed_out, self.may_have_run) {
            (true, _) => RefusalReason::DeadlineTooClose,
            (false, true) => RefusalReason::AnswerLost,
            (false, false) => RefusalReason::NoReplica,
        };
        let verdict = if self.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
        Refusal { verdict, reason, retry_after_ms: Some(retry_after_ms) }
    }

    /// Returns counters and missing shards as log fields.
    pub(crate) fn log_fields(&self) -> String {
        let Self {
            extra_sends,
            denied_extra_sends,
            cross_zone_sends,
            cold_sends,
            relay_requests,
            ..
        } = self;
        let [missing, failed, left_out] =
            [&self.missing, &self.failed, &self.left_out].map(|shards| shards.join(","));
        let limit = self.limit_source.map_or_else(String::new, |source| format!(" limit={source}"));
        format!(
            "repeats={extra_sends} unpaid={denied_extra_sends} far={cross_zone_sends} cold={cold_sends} \
             relays={relay_requests} missing=[{missing}] failed=[{failed}] left_out=[{left_out}]{limit}"
        )
    }

    /// Returns the number of covered shards.
    pub(crate) fn parts(&self) -> usize {
        self.replies.len() + self.merged.iter().map(|m| m.parts.len()).sum::<usize>()
    }

    /// Checks what a caller relies on: each part is of another shard and counted once.
    ///
    /// # Errors
    /// Fails if an answer of these results for `shard_count` shards would be wrong.
    pub(crate) fn check(&self, shard_count: usize, top_k: usize) -> Result<(), MergeError> {
        let own = self.replies.iter().map(|(shard, r)| (*shard, r.signature.as_deref()));
        let own = own.map(|(shard, signature)| (shard, signature.unwrap_or_default()));
        let merged = self.merged.iter().flat_map(|m| &m.parts);
        let merged = merged.map(|(shard, signature)| (*shard, &**signature));
        merge::check_parts(own.chain(merged), shard_count)?;
        self.merged.iter().try_for_each(|m| merge::check_records(&m.records, m.parts.len(), top_k))
    }

    /// Discards all parts, whose shards have run.
    pub(crate) fn discard_parts(&mut self) {
        self.may_have_run = true;
        self.replies.clear();
        self.merged.clear();
    }

    /// True if a merged answer contains the shard.
    pub(super) fn has_merged(&self, shard: usize) -> bool {
        self.merged.iter().flat_map(|m| &m.parts).any(|(covered, _)| *covered == shard)
    }

    /// Drops replies of shards that are also in a merged answer.
    ///
    /// A merged answer can't be split, and a shard must not count twice.
    pub(super) fn drop_duplicates(&mut self) {
        let replies = std::mem::take(&mut self.replies);
        self.replies = replies.into_iter().filter(|(shard, _)| !self.has_merged(*shard)).collect();
    }
}
