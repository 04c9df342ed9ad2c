//! Gathers the parts of one query from its shards until the cut-off.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use eelgrasspier_decide::admission::LoadSignal;
use eelgrasspier_decide::prelude::ShardId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::forward;
use crate::part::{self, MissReason, PartContext};
use crate::service::has_connections;

/// Results of one shard, or of the shards requested from one instance.
pub(crate) type ShardResults = Vec<(ShardId, Result<Bytes, MissReason>)>;

/// Parts received in time and the shards that are missing.
#[derive(Debug, Default)]
pub(crate) struct GatherResult {
    pub(crate) parts: Vec<(ShardId, Bytes)>,
    pub(crate) missed: Vec<(ShardId, MissReason)>,
}

impl GatherResult {
    /// Returns true if a replica dropped the snapshot while the query was executed.
    pub(crate) fn is_version_gone(&self) -> bool {
        self.missed.iter().any(|(_, miss)| *miss == MissReason::VersionGone)
    }

    /// Returns the outcome that admission control uses to adapt its limit.
    pub(crate) fn load_ending(&self) -> LoadSignal {
        let has = |wanted: &MissReason| self.missed.iter().any(|(_, miss)| miss == wanted);
        if has(&MissReason::Shed) {
            LoadSignal::Shed
        } else if has(&MissReason::Late) {
            LoadSignal::Late
        } else {
            LoadSignal::InTime
        }
    }

    /// Removes and returns the deferred shards.
    pub(crate) fn take_deferred(&mut self) -> Vec<ShardId> {
        let deferred = self.missed.extract_if(.., |(_, miss)| *miss == MissReason::Deferred);
        deferred.map(|(shard, _)| shard).collect()
    }

    /// Marks shards as deferred.
    pub(crate) fn defer(&mut self, shards: impl IntoIterator<Item = ShardId>) {
        self.missed.extend(shards.into_iter().map(|shard| (shard, MissReason::Deferred)));
    }

    /// Merges the result for other shards into this one.
    pub(crate) fn merge(&mut self, other: Self) {
        self.parts.extend(other.parts);
        self.missed.extend(other.missed);
        self.parts.sort_unstable_by_key(|(shard, _)| *shard);
        self.missed.sort_unstable_by_key(|(shard, _)| *shard);
    }

    fn add_results(&mut self, outcomes: ShardResults) {
        for (shard, outcome) in outcomes {
            match outcome {
                Ok(body) => self.parts.push((shard, body)),
                Err(miss) => self.missed.push((shard, miss)),
            }
        }
    }

    /// Marks every wanted shard without a result as late.
    fn mark_rest_late(&mut self, wanted: &[ShardId]) {
        let mut seen: Vec<ShardId> = self.parts.iter().map(|(shard, _)| *shard).collect();
        seen.extend(self.missed.iter().map(|(shard, _)| *shard));
        seen.sort_unstable();
        let late = wanted.iter().filter(|shard| seen.binary_search(shard).is_err());
        self.missed.extend(late.map(|&shard| (shard, MissReason::Late)));
        self.parts.sort_unstable_by_key(|(shard, _)| *shard);
        self.missed.sort_unstable_by_key(|(shard, _)| *shard);
    }
}

/// Permission to forward parts of a query to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Forwarding {
    /// Shards without a local connection, and hedges, are forwarded.
    Allowed,
    /// Only hedges are forwarded.
    HedgesOnly,
    /// Nothing is forwarded; used for forwarded hedges, which must not be forwarded again.
    Forbidden,
}

/// Pending results of one shard or of the shards requested from one instance.
pub(crate) type ShardFuture<'a> = Pin<Box<dyn Future<Output = ShardResults> + 'a>>;

/// Requests all `wanted` shards in parallel and returns what arrives before the cut-off.
pub(crate) async fn gather(context: &PartContext, wanted: &[ShardId]) -> GatherResult {
    let sources: FuturesUnordered<ShardFuture<'_>> = FuturesUnordered::new();
    let (local, remote) = split_local(context, wanted);
    for shard in local {
        sources.push(Box::pin(gather_shard(context, shard)));
    }
    let mut gathered = GatherResult::default();
    let (by_peer, unreachable) = forward::group_by_peer(context, &remote);
    gathered.missed.extend(unreachable.into_iter().map(|shard| (shard, MissReason::NoReplica)));
    for (peer, shards) in by_peer {
        sources.push(Box::pin(forward::request_parts(
            context,
            peer,
            shards,
            Forwarding::HedgesOnly,
        )));
    }
    let collecting = collect(sources, &mut gathered);
    // At the cut-off the futures are dropped, which cancels the exchanges in progress.
    drop(tokio::time::timeout_at(context.cutoff.into(), collecting).await);
    gathered.mark_rest_late(wanted);
    gathered
}

async fn collect(mut sources: FuturesUnordered<ShardFuture<'_>>, into: &mut GatherResult) {
    while let Some(outcomes) = sources.next().await {
        into.add_results(outcomes);
    }
}

async fn gather_shard(context: &PartContext, shard: ShardId) -> ShardResults {
    let answer = part::gather_part(context, shard).await;
    vec![(shard, answer)]
}

/// Splits shards into those handled locally and those to forward to other instances.
fn split_local(context: &PartContext, wanted: &[ShardId]) -> (Vec<ShardId>, Vec<ShardId>) {
    let shards = &context.service.shards;
    let is_local = |shard: &ShardId| {
        let replicas = shards.get(*shard as usize);
        context.forwarding != Forwarding::Allowed
            || replicas.is_none_or(|r: &Vec<Rc<_>>| has_connections(r))
    };
    wanted.iter().copied().partition(is_local)
}
