//! Forwarding of parts to instances that hold connections to the replicas.
//!
//! If a replica allows fewer connections than there are instances, each instance connects to a
//! subset of the replicas only. It requests the other parts of a query from instances that are
//! connected to them, with one message to each.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::merge;
use eelgrasspier_decide::prelude::ShardId;
use eelgrasspier_decide::quarantine::Treatment;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::slice_peers::{self, SlicePeer};
use eelgrasspier_decide::snapshot::Snapshot;
use eelgrasspier_peer::wire::{Body, Missed, Part, PartsDone, QueryPartsRequest};
use tokio::sync::mpsc;

use crate::crash_tracker::CrashTracker;
use crate::gather::{self, Forwarding, GatherResult, ShardResults};
use crate::part::{MissReason, PartContext};
use crate::query::QUERY_KIND;
use crate::service::ServiceState;
use crate::shared::PartsRequest;
use crate::traffic::TrafficThread;

/// Time reserved for the reply of another instance to arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(2);

/// Groups shards by instance, each shard under one that is connected to one of its replicas.
///
/// The second list contains the shards for which no such instance is live.
pub(crate) fn group_by_peer(
    context: &PartContext,
    shards: &[ShardId],
) -> (BTreeMap<SocketAddr, Vec<ShardId>>, Vec<ShardId>) {
    let mut groups: BTreeMap<SocketAddr, Vec<ShardId>> = BTreeMap::new();
    let mut unreachable = Vec::new();
    for &shard in shards {
        match pick_peer(context, shard, &[]) {
            Some(addr) => groups.entry(addr).or_default().push(shard),
            None => unreachable.push(shard),
        }
    }
    (groups, unreachable)
}

/// Returns a random live instance that is connected to one of the shard's replicas.
///
/// Replicas in `tried` are ignored.
pub(crate) fn pick_peer(
    context: &PartContext,
    shard: ShardId,
    tried: &[u64],
) -> Option<SocketAddr> {
    pick_peer_for(&context.traffic, &context.service, shard, tried)
}

fn pick_peer_for(
    traffic: &TrafficThread,
    service: &ServiceState,
    shard: ShardId,
    tried: &[u64],
) -> Option<SocketAddr> {
    let view = traffic.view.borrow();
    let members = view.share_bounds.last()?;
    let spec = &service.spec;
    let limit = spec.connections - spec.run_connections;
    let replicas = spec.shards.get(shard as usize)?;
    let has_connections_to = |key: u64| {
        let others = replicas.iter().filter(|r| !tried.contains(&r.id));
        others.into_iter().any(|r| rendezvous::is_in_top(r.id, key, members, limit as usize))
    };
    let candidates = view.peers.iter().filter(|peer| has_connections_to(peer.key));
    let candidates: Vec<SlicePeer> =
        candidates.map(|peer| SlicePeer { key: peer.key, is_ready: peer.is_ready }).collect();
    let chosen_key = slice_peers::pick_peer(&candidates, rand::random())?;
    view.peers.iter().find(|peer| peer.key == chosen_key).map(|peer| peer.addr)
}

/// Requests parts from another instance.
///
/// With [`Forwarding::Forbidden`] that instance must not forward anything, not even a hedge.
pub(crate) async fn request_parts(
    context: &PartContext,
    peer: SocketAddr,
    shards: Vec<ShardId>,
    forwarding: Forwarding,
) -> ShardResults {
    let left = context.cutoff.saturating_duration_since(Instant::now());
    let time_left_ms = u64::try_from(left.saturating_sub(RESPONSE_MARGIN).as_millis()).unwrap_or(0);
    let parts = QueryPartsRequest {
        service: context.service.name.to_string(),
        request_id: context.request_id.to_string(),
        version: context.snapshot.version,
        shards: shards.clone(),
        time_left_ms,
        body: context.body.clone(),
        forbids_forwarding: forwarding == Forwarding::Forbidden,
        is_trial: context.crash_tracker.is_trial(),
    };
    metrics::counter!("eelgrasspier_slices_asked_total").increment(1);
    match context.traffic.peer_connections.request(peer, Body::Parts(parts), left).await {
        Ok(Body::PartsDone(reply)) => {
            let results = results_from_wire(reply);
            if merge::has_requested_once(results.iter().map(|(shard, _)| *shard), &shards) {
                results
            } else {
                all_missed(&shards, "peer answered with shards that were not requested")
            }
        }
        Ok(_) => all_missed(&shards, "peer refused"),
        Err(error) => all_missed(&shards, &error.to_string()),
    }
}

fn results_from_wire(reply: PartsDone) -> ShardResults {
    let parts = reply.parts.into_iter().map(|part| (part.shard, Ok(part.body)));
    let missed = reply.missed.into_iter().map(|m| (m.shard, Err(parse_miss_reason(&m.reason))));
    parts.chain(missed).collect()
}

fn all_missed(shards: &[ShardId], reason: &str) -> ShardResults {
    shards.iter().map(|&shard| (shard, Err(MissReason::Failed(reason.to_owned())))).collect()
}

fn parse_miss_reason(reason: &str) -> MissReason {
    let known = [
        MissReason::Late,
        MissReason::NoReplica,
        MissReason::VersionGone,
        MissReason::Shed,
        MissReason::Deferred,
    ];
    let named = known.into_iter().find(|miss| miss.to_string() == reason);
    named.unwrap_or_else(|| MissReason::Failed(reason.to_owned()))
}

/// Serves requests for parts from other instances until the channel closes.
pub(crate) async fn serve_peers(
    traffic: Rc<TrafficThread>,
    mut requests: mpsc::UnboundedReceiver<PartsRequest>,
) {
    while let Some(PartsRequest { parts, mut reply }) = requests.recv().await {
        let traffic = Rc::clone(&traffic);
        actix_rt::spawn(async move {
            // Stop working if the requesting instance gives up or disconnects.
            tokio::select! {
                answer = gather_for_peer(&traffic, parts) => drop(reply.send(answer)),
                () = reply.closed() => {}
            }
        });
    }
}

/// Requests the snapshot that another instance would select.
///
/// An instance without a connection to any replica of a service learns no index versions itself and
/// would refuse every query for lack of a snapshot.
pub(crate) async fn request_snapshot(
    traffic: &TrafficThread,
    service: &ServiceState,
    until: Instant,
) -> Option<Snapshot> {
    // Any connected instance will do; the others know no versions either.
    let mut shards = (0..service.spec.shards.len()).filter_map(|s| ShardId::try_from(s).ok());
    let peer = shards.find_map(|shard| pick_peer_for(traffic, service, shard, &[]))?;
    let request =
        QueryPartsRequest { service: service.name.to_string(), ..QueryPartsRequest::default() };
    let left = until.saturating_duration_since(Instant::now());
    let answer = traffic.peer_connections.request(peer, Body::Parts(request), left).await;
    let Ok(Body::PartsDone(PartsDone { version, shard_count, .. })) = answer else { return None };
    let reachable = shard_count;
    (shard_count > 0).then_some(Snapshot { version, shard_count, reachable })
}

/// Returns the snapshot selected here, for an instance that knows no index versions.
fn own_snapshot(traffic: &Rc<TrafficThread>, service: &str) -> PartsDone {
    let chosen = traffic.service(service).and_then(|s| traffic.choose_snapshot(&s));
    chosen.map_or_else(PartsDone::default, |s| PartsDone {
        version: s.version,
        shard_count: s.shard_count,
        ..PartsDone::default()
    })
}

async fn gather_for_peer(traffic: &Rc<TrafficThread>, parts: QueryPartsRequest) -> PartsDone {
    if parts.version == 0 {
        return own_snapshot(traffic, &parts.service);
    }
    let service = traffic.service(&parts.service);
    let snapshot = service.as_ref().and_then(|s| traffic.snapshot_at(s, parts.version));
    let (Some(service), Some(snapshot)) = (service, snapshot) else {
        return all_missed_reply(&parts.shards, &MissReason::VersionGone);
    };
    let request_id: Rc<str> = parts.request_id.as_str().into();
    let scope = (parts.service.as_str(), QUERY_KIND);
    let crash_tracker = CrashTracker::new(&traffic.shared, scope, &parts.body, &request_id);
    if crash_tracker.treatment() != Treatment::Normal && !parts.is_trial {
        // The requesting instance runs the isolated trial.
        return all_missed_reply(&parts.shards, &MissReason::Deferred);
    }
    let context = PartContext {
        traffic: Rc::clone(traffic),
        service,
        request_id,
        body: parts.body,
        snapshot,
        cutoff: Instant::now() + Duration::from_millis(parts.time_left_ms),
        forwarding: if parts.forbids_forwarding {
            Forwarding::Forbidden
        } else {
            Forwarding::HedgesOnly
        },
        slowest_exchange: Cell::default(),
        crash_tracker,
    };
    let _trial = parts.is_trial.then(|| context.crash_tracker.enter_trial());
    let gathered = gather::gather(&context, &parts.shards).await;
    // The requesting instance must know of the losses before it sends the shards again.
    context.crash_tracker.delay_failure(context.cutoff).await;
    reply_to_wire(gathered)
}

fn all_missed_reply(shards: &[ShardId], miss: &MissReason) -> PartsDone {
    let missed = shards.iter().map(|&shard| Missed { shard, reason: miss.to_string() });
    PartsDone { missed: missed.collect(), ..PartsDone::default() }
}

fn reply_to_wire(gathered: GatherResult) -> PartsDone {
    let part = |(shard, body)| Part { shard, body };
    let missed = |(shard, miss): (ShardId, MissReason)| Missed { shard, reason: miss.to_string() };
    PartsDone {
        parts: gathered.parts.into_iter().map(part).collect(),
        missed: gathered.missed.into_iter().map(missed).collect(),
        ..PartsDone::default()
    }
}
