//! Gathers the parts of one query from the shards, until the cut-off.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use eelgrasspier_decide::admission::Ending;
use eelgrasspier_decide::prelude::ShardId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::part::{self, Miss, PartContext};
use crate::service::is_in_slice;
use crate::slices;

/// What one shard, or a group of shards behind another instance, has brought.
pub(crate) type Outcomes = Vec<(ShardId, Result<Bytes, Miss>)>;

/// The parts that came in time and the shards that did not.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    pub(crate) parts: Vec<(ShardId, Bytes)>,
    pub(crate) missed: Vec<(ShardId, Miss)>,
}

impl Gathered {
    /// Whether a replica no longer held the snapshot while the query ran.
    pub(crate) fn is_version_gone(&self) -> bool {
        self.missed.iter().any(|(_, miss)| *miss == Miss::VersionGone)
    }

    /// What the end of this query says about load.
    pub(crate) fn ending(&self) -> Ending {
        let has = |wanted: &Miss| self.missed.iter().any(|(_, miss)| miss == wanted);
        if has(&Miss::Shed) {
            Ending::Shed
        } else if has(&Miss::Late) {
            Ending::Late
        } else {
            Ending::InTime
        }
    }

    /// Takes out the shards that were held back.
    pub(crate) fn take_held(&mut self) -> Vec<ShardId> {
        let held = self.missed.extract_if(.., |(_, miss)| *miss == Miss::Held);
        held.map(|(shard, _)| shard).collect()
    }

    /// Notes shards as held back.
    pub(crate) fn hold(&mut self, shards: impl IntoIterator<Item = ShardId>) {
        self.missed.extend(shards.into_iter().map(|shard| (shard, Miss::Held)));
    }

    /// Adds what was gathered of other shards.
    pub(crate) fn join(&mut self, other: Self) {
        self.parts.extend(other.parts);
        self.missed.extend(other.missed);
        self.parts.sort_unstable_by_key(|(shard, _)| *shard);
        self.missed.sort_unstable_by_key(|(shard, _)| *shard);
    }

    fn add(&mut self, outcomes: Outcomes) {
        for (shard, outcome) in outcomes {
            match outcome {
                Ok(body) => self.parts.push((shard, body)),
                Err(miss) => self.missed.push((shard, miss)),
            }
        }
    }

    /// Names every wanted shard that neither came nor failed as late.
    fn close(&mut self, wanted: &[ShardId]) {
        let mut seen: Vec<ShardId> = self.parts.iter().map(|(shard, _)| *shard).collect();
        seen.extend(self.missed.iter().map(|(shard, _)| *shard));
        seen.sort_unstable();
        let late = wanted.iter().filter(|shard| seen.binary_search(shard).is_err());
        self.missed.extend(late.map(|&shard| (shard, Miss::Late)));
        self.parts.sort_unstable_by_key(|(shard, _)| *shard);
        self.missed.sort_unstable_by_key(|(shard, _)| *shard);
    }
}

/// Which shards other instances may be asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Shards in other instances' slices are asked for there.
    Everywhere,
    /// The own slice, and hedges in other slices.
    Hedges,
    /// Only the own slice; a hedge that was asked for is never passed on.
    OwnSlice,
}

/// A shard, or a group of shards, on its way.
pub(crate) type Source<'a> = Pin<Box<dyn Future<Output = Outcomes> + 'a>>;

/// Asks all `wanted` shards at once and takes what comes before the cut-off.
pub(crate) async fn gather(context: &PartContext, wanted: &[ShardId]) -> Gathered {
    let sources: FuturesUnordered<Source<'_>> = FuturesUnordered::new();
    let (own, elsewhere) = split(context, wanted);
    for shard in own {
        sources.push(Box::pin(one(context, shard)));
    }
    let mut gathered = Gathered::default();
    let (by_peer, unreachable) = slices::by_peer(context, &elsewhere);
    gathered.missed.extend(unreachable.into_iter().map(|shard| (shard, Miss::NoReplica)));
    for (peer, shards) in by_peer {
        sources.push(Box::pin(slices::ask(context, peer, shards, Reach::Hedges)));
    }
    let collecting = collect(sources, &mut gathered);
    // At the cut-off the sources are dropped, which cancels what is on its way.
    drop(tokio::time::timeout_at(context.cutoff.into(), collecting).await);
    gathered.close(wanted);
    gathered
}

async fn collect(mut sources: FuturesUnordered<Source<'_>>, into: &mut Gathered) {
    while let Some(outcomes) = sources.next().await {
        into.add(outcomes);
    }
}

async fn one(context: &PartContext, shard: ShardId) -> Outcomes {
    let answer = part::gather(context, shard).await;
    vec![(shard, answer)]
}

/// Splits shards into those of the own slice and those of other instances.
fn split(context: &PartContext, wanted: &[ShardId]) -> (Vec<ShardId>, Vec<ShardId>) {
    let shards = &context.service.shards;
    let is_own = |shard: &ShardId| {
        let replicas = shards.get(*shard as usize);
        context.reach != Reach::Everywhere || replicas.is_none_or(|r: &Vec<Rc<_>>| is_in_slice(r))
    };
    wanted.iter().copied().partition(is_own)
}
