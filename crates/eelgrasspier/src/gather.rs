//! Gathers the parts of one query from the shards, until the cut-off.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use eelgrasspier_decide::admission::Ending;
use eelgrasspier_decide::prelude::ShardId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::forward;
use crate::part::{self, MissReason, PartContext};
use crate::service::has_connections;

/// What one shard, or a group of shards behind another instance, has brought.
pub(crate) type ShardResults = Vec<(ShardId, Result<Bytes, MissReason>)>;

/// The parts that came in time and the shards that did not.
#[derive(Debug, Default)]
pub(crate) struct GatherResult {
    pub(crate) parts: Vec<(ShardId, Bytes)>,
    pub(crate) missed: Vec<(ShardId, MissReason)>,
}

impl GatherResult {
    /// Whether a replica no longer held the snapshot while the query ran.
    pub(crate) fn is_version_gone(&self) -> bool {
        self.missed.iter().any(|(_, miss)| *miss == MissReason::VersionGone)
    }

    /// What the end of this query says about load.
    pub(crate) fn load_ending(&self) -> Ending {
        let has = |wanted: &MissReason| self.missed.iter().any(|(_, miss)| miss == wanted);
        if has(&MissReason::Shed) {
            Ending::Shed
        } else if has(&MissReason::Late) {
            Ending::Late
        } else {
            Ending::InTime
        }
    }

    /// Takes out the shards that were held back.
    pub(crate) fn take_deferred(&mut self) -> Vec<ShardId> {
        let deferred = self.missed.extract_if(.., |(_, miss)| *miss == MissReason::Deferred);
        deferred.map(|(shard, _)| shard).collect()
    }

    /// Notes shards as held back.
    pub(crate) fn defer(&mut self, shards: impl IntoIterator<Item = ShardId>) {
        self.missed.extend(shards.into_iter().map(|shard| (shard, MissReason::Deferred)));
    }

    /// Adds what was gathered of other shards.
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

    /// Names every wanted shard that neither came nor failed as late.
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

/// Which shards other instances may be asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Forwarding {
    /// Shards in other instances' slices are asked for there.
    Allowed,
    /// The own slice, and hedges in other slices.
    HedgesOnly,
    /// Only the own slice; a hedge that was asked for is never passed on.
    Forbidden,
}

/// A shard, or a group of shards, on its way.
pub(crate) type ShardFuture<'a> = Pin<Box<dyn Future<Output = ShardResults> + 'a>>;

/// Asks all `wanted` shards at once and takes what comes before the cut-off.
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
    // At the cut-off the sources are dropped, which cancels what is on its way.
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

/// Splits shards into those of the own slice and those of other instances.
fn split_local(context: &PartContext, wanted: &[ShardId]) -> (Vec<ShardId>, Vec<ShardId>) {
    let shards = &context.service.shards;
    let is_local = |shard: &ShardId| {
        let replicas = shards.get(*shard as usize);
        context.forwarding != Forwarding::Allowed
            || replicas.is_none_or(|r: &Vec<Rc<_>>| has_connections(r))
    };
    wanted.iter().copied().partition(is_local)
}
