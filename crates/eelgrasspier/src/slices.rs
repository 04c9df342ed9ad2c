//! Shards whose replicas only other instances hold connections to.
//!
//! Where a replica allows fewer connections than there are instances, each one
//! holds connections to a slice of the replicas. The other parts of a query are
//! asked of instances that hold them, in one message each.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::holders::{self, Holder};
use eelgrasspier_decide::prelude::ShardId;
use eelgrasspier_decide::quarantine::Treatment;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::snapshot::Snapshot;
use eelgrasspier_peer::wire::{Body, Missed, Part, Parts, PartsDone};
use tokio::sync::mpsc;

use crate::gather::{self, Gathered, Outcomes, Reach};
use crate::part::{Miss, PartContext};
use crate::query::QUERY;
use crate::service::ServiceState;
use crate::shared::PartsAsk;
use crate::suspicion::Suspicion;
use crate::traffic::Traffic;

/// Time that is kept for the way back from another instance.
const WAY_BACK: Duration = Duration::from_millis(2);

/// Groups shards by an instance that holds a connection to one of their replicas.
///
/// The second list names shards for which there is no such instance now.
pub(crate) fn by_peer(
    context: &PartContext,
    shards: &[ShardId],
) -> (BTreeMap<SocketAddr, Vec<ShardId>>, Vec<ShardId>) {
    let mut groups: BTreeMap<SocketAddr, Vec<ShardId>> = BTreeMap::new();
    let mut unreachable = Vec::new();
    for &shard in shards {
        match holder(context, shard, &[]) {
            Some(addr) => groups.entry(addr).or_default().push(shard),
            None => unreachable.push(shard),
        }
    }
    (groups, unreachable)
}

/// A live instance in the slice of one of the shard's replicas, drawn at random.
///
/// Replicas in `tried` do not count.
pub(crate) fn holder(context: &PartContext, shard: ShardId, tried: &[u64]) -> Option<SocketAddr> {
    holder_of(&context.traffic, &context.service, shard, tried)
}

fn holder_of(
    traffic: &Traffic,
    service: &ServiceState,
    shard: ShardId,
    tried: &[u64],
) -> Option<SocketAddr> {
    let view = traffic.view.borrow();
    let members = view.bounds.last()?;
    let spec = &service.spec;
    let limit = spec.connections - spec.run_connections;
    let replicas = spec.shards.get(shard as usize)?;
    let holds = |key: u64| {
        let others = replicas.iter().filter(|r| !tried.contains(&r.id));
        others.into_iter().any(|r| rendezvous::is_in_top(r.id, key, members, limit as usize))
    };
    let live = view.peers.iter().filter(|peer| holds(peer.key));
    let live: Vec<Holder> =
        live.map(|peer| Holder { key: peer.key, is_ready: peer.is_ready }).collect();
    let asked = holders::pick(&live, rand::random())?;
    view.peers.iter().find(|peer| peer.key == asked).map(|peer| peer.addr)
}

/// Asks another instance for parts.
///
/// With [`Reach::OwnSlice`] it is to pass nothing on, not even as a hedge.
pub(crate) async fn ask(
    context: &PartContext,
    peer: SocketAddr,
    shards: Vec<ShardId>,
    reach: Reach,
) -> Outcomes {
    let left = context.cutoff.saturating_duration_since(Instant::now());
    let time_left_ms = u64::try_from(left.saturating_sub(WAY_BACK).as_millis()).unwrap_or(0);
    let parts = Parts {
        service: context.service.name.to_string(),
        request_id: context.request_id.to_string(),
        version: context.snapshot.version,
        shards: shards.clone(),
        time_left_ms,
        body: context.body.clone(),
        is_last: reach == Reach::OwnSlice,
        is_trial: context.suspicion.is_trial(),
    };
    metrics::counter!("eelgrasspier_slices_asked_total").increment(1);
    match context.traffic.links.ask(peer, Body::Parts(parts), left).await {
        Ok(Body::PartsDone(done)) => outcomes(done),
        Ok(_) => all_missed(&shards, "peer refused"),
        Err(error) => all_missed(&shards, &error.to_string()),
    }
}

fn outcomes(done: PartsDone) -> Outcomes {
    let parts = done.parts.into_iter().map(|part| (part.shard, Ok(part.body)));
    let missed = done.missed.into_iter().map(|m| (m.shard, Err(read_miss(&m.reason))));
    parts.chain(missed).collect()
}

fn all_missed(shards: &[ShardId], reason: &str) -> Outcomes {
    shards.iter().map(|&shard| (shard, Err(Miss::Failed(reason.to_owned())))).collect()
}

fn read_miss(reason: &str) -> Miss {
    let known = [Miss::Late, Miss::NoReplica, Miss::VersionGone, Miss::Shed, Miss::Held];
    let named = known.into_iter().find(|miss| miss.to_string() == reason);
    named.unwrap_or_else(|| Miss::Failed(reason.to_owned()))
}

/// Gathers parts that other instances ask for, for as long as the thread runs.
pub(crate) async fn serve(traffic: Rc<Traffic>, mut asked: mpsc::UnboundedReceiver<PartsAsk>) {
    while let Some(PartsAsk { parts, mut done }) = asked.recv().await {
        let traffic = Rc::clone(&traffic);
        actix_rt::spawn(async move {
            // The asker may give up or go away: then the work here stops too.
            tokio::select! {
                answer = gather_for_peer(&traffic, parts) => drop(done.send(answer)),
                () = done.closed() => {}
            }
        });
    }
}

/// Asks another instance which snapshot it would choose.
///
/// An instance whose slice holds no replica of a service hears of no version itself,
/// and would refuse every query for want of a snapshot.
pub(crate) async fn ask_snapshot(
    traffic: &Traffic,
    service: &ServiceState,
    until: Instant,
) -> Option<Snapshot> {
    // Any holder will do, but it must be one: others hear of no version either.
    let mut shards = (0..service.spec.shards.len()).filter_map(|s| ShardId::try_from(s).ok());
    let peer = shards.find_map(|shard| holder_of(traffic, service, shard, &[]))?;
    let question = Parts { service: service.name.to_string(), ..Parts::default() };
    let left = until.saturating_duration_since(Instant::now());
    let answer = traffic.links.ask(peer, Body::Parts(question), left).await;
    let Ok(Body::PartsDone(PartsDone { version, shard_count, .. })) = answer else { return None };
    let reachable = shard_count;
    (shard_count > 0).then_some(Snapshot { version, shard_count, reachable })
}

/// The snapshot that this instance would choose, for one that hears of none.
fn own_choice(traffic: &Rc<Traffic>, service: &str) -> PartsDone {
    let chosen = traffic.service(service).and_then(|s| traffic.choose_snapshot(&s));
    chosen.map_or_else(PartsDone::default, |s| PartsDone {
        version: s.version,
        shard_count: s.shard_count,
        ..PartsDone::default()
    })
}

async fn gather_for_peer(traffic: &Rc<Traffic>, parts: Parts) -> PartsDone {
    if parts.version == 0 {
        return own_choice(traffic, &parts.service);
    }
    let service = traffic.service(&parts.service);
    let snapshot = service.as_ref().and_then(|s| traffic.snapshot_at(s, parts.version));
    let (Some(service), Some(snapshot)) = (service, snapshot) else {
        return none(&parts.shards, &Miss::VersionGone);
    };
    let request_id: Rc<str> = parts.request_id.as_str().into();
    let of = (parts.service.as_str(), QUERY);
    let suspicion = Suspicion::new(&traffic.shared, of, &parts.body, &request_id);
    if suspicion.treatment() != Treatment::Usual && !parts.is_trial {
        // Whoever asks tries it on one server.
        return none(&parts.shards, &Miss::Held);
    }
    let context = PartContext {
        traffic: Rc::clone(traffic),
        service,
        request_id,
        body: parts.body,
        snapshot,
        cutoff: Instant::now() + Duration::from_millis(parts.time_left_ms),
        reach: if parts.is_last { Reach::OwnSlice } else { Reach::Hedges },
        slowest: Cell::default(),
        suspicion,
    };
    let _trial = parts.is_trial.then(|| context.suspicion.as_trial());
    let gathered = gather::gather(&context, &parts.shards).await;
    to_wire(gathered)
}

fn none(shards: &[ShardId], miss: &Miss) -> PartsDone {
    let missed = shards.iter().map(|&shard| Missed { shard, reason: miss.to_string() });
    PartsDone { missed: missed.collect(), ..PartsDone::default() }
}

fn to_wire(gathered: Gathered) -> PartsDone {
    let part = |(shard, body)| Part { shard, body };
    let missed = |(shard, miss): (ShardId, Miss)| Missed { shard, reason: miss.to_string() };
    PartsDone {
        parts: gathered.parts.into_iter().map(part).collect(),
        missed: gathered.missed.into_iter().map(missed).collect(),
        ..PartsDone::default()
    }
}
