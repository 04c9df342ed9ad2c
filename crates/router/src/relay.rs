//! Relaying between instances: sending relay requests, and gathering for other instances.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::DispatchFlag;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_decide::merge::TopRecords;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::route::{Route, Target};
use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{self, Body};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use prost::Message;
use tokio::time::Instant;

use crate::customer_limiter::LimitRefusal;
use crate::gather::{Deadlines, Gather, Gathered, Requester};
use crate::model::{Credential, Request, RequestProgress};
use crate::outcome::record_rejected_merge;
use crate::route_state::RouteState;
use crate::router::{InFlightGuard, PEER_SLOTS, Router, UNHEALTHY_PEER_COST, peer_key};
use crate::traffic_metrics::{self, TrafficCause};
use crate::view::{Peer, View};

/// Time after which a connection without a response is closed.
///
/// A frozen instance resumes within seconds, but a connection that has stopped responding does not
/// recover.
const PEER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Router {
    /// True if this instance holds connections to the replicas of a service in its own zone.
    pub(crate) fn holds_connections_to(&self, view: &View, service: &str) -> bool {
        if !view.is_gatherer || !view.is_delegating(&self.zone) {
            return view.is_gatherer;
        }
        let zone_peers = view.gatherers.iter().filter(|p| p.zone == self.zone);
        let own = Candidate { key: self.key, capacity_milli: view.capacity_milli };
        let all: Vec<Candidate> =
            std::iter::once(own).chain(zone_peers.map(Peer::gather_candidate)).collect();
        gatherers::owner(service, &all) == Some(0)
    }

    /// Returns the gatherers that answered recently or have not been used for a while.
    pub(crate) fn healthy_peers<'v>(&self, view: &'v View) -> Vec<&'v Peer> {
        let now_ms = self.shared.now_ms();
        let is_healthy = |p: &&Peer| {
            let stats = self.stats(&peer_key(&p.name));
            stats.borrow().cost(PEER_SLOTS, now_ms) < UNHEALTHY_PEER_COST
        };
        view.gatherers.iter().filter(is_healthy).collect()
    }

    /// Returns the instance of a zone with the lowest expected latency; `tie_breaker` rotates ties.
    pub(crate) fn best_peer<'v>(
        &self,
        peers: &[&'v Peer],
        zone: &str,
        tie_breaker: u64,
    ) -> Option<&'v Peer> {
        let now_ms = self.shared.now_ms();
        let cost = |p: &Peer| self.stats(&peer_key(&p.name)).borrow().cost(PEER_SLOTS, now_ms);
        let mut zone_peers: Vec<&Peer> =
            peers.iter().filter(|p| &*p.zone == zone).copied().collect();
        if zone_peers.is_empty() {
            return None;
        }
        let start = usize::try_from(tie_breaker % zone_peers.len() as u64).unwrap_or(0);
        zone_peers.rotate_left(start);
        zone_peers.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Sends a request to another instance and updates its statistics with the result.
    pub(crate) async fn send_to_peer(
        self: Rc<Self>,
        peer: Peer,
        peer_request: Body,
        time_left: Duration,
        state: Rc<RouteState>,
        dispatched: DispatchFlag,
    ) -> Result<wire::Gathered, PeerError> {
        let replica_stats = self.stats(&peer_key(&peer.name));
        let typical_ms = state.typical_relay_ms();
        let started = Instant::now();
        let guard = InFlightGuard::start(&replica_stats, self.shared.now_ms(), typical_ms);
        let is_cross_zone = peer.zone != self.zone;
        traffic_metrics::count(TrafficCause::Gather, is_cross_zone, peer_request.encoded_len());
        let result = self
            .peer_connections
            .request_with_callback(peer.addr, peer_request, time_left, || dispatched.set())
            .await;
        drop(guard);
        let took = started.elapsed();
        metrics::histogram!("eelgrasspier_relay_seconds").record(took.as_secs_f64());
        match result {
            Ok(Body::Gathered(answer)) => {
                traffic_metrics::count(TrafficCause::Gather, is_cross_zone, answer.encoded_len());
                let took_ms = took.as_secs_f64() * 1000.0;
                replica_stats.borrow_mut().record_answer(took_ms, typical_ms, self.shared.now_ms());
                state.record_relay(took);
                Ok(answer)
            }
            Ok(other) => {
                replica_stats.borrow_mut().record_failure(self.shared.now_ms());
                log::warn!("event=relay_refused peer={} answer={other:?}", peer.name);
                Err(PeerError::NotReached("instance refused the request".to_owned()))
            }
            Err(error) => {
                replica_stats.borrow_mut().record_failure(self.shared.now_ms());
                Err(error)
            }
        }
    }

    /// True if an instance responds within `timeout`.
    pub(crate) async fn is_alive(&self, peer: &Peer, timeout: Duration) -> bool {
        let peer_request = Body::Alive(wire::Empty {});
        // The connection outlives this timeout, since a late response may still arrive on it.
        let response =
            self.peer_connections.request(peer.addr, peer_request, PEER_RESPONSE_TIMEOUT);
        matches!(tokio::time::timeout(timeout, response).await, Ok(Ok(Body::Alive(_))))
    }

    /// Records that an instance does not respond.
    pub(crate) fn record_unresponsive(&self, peer: &Peer) {
        let stats = self.stats(&peer_key(&peer.name));
        stats.borrow_mut().record_failure(self.shared.now_ms());
    }

    /// Gathers shards for another instance and merges them.
    pub async fn gather_for_peer(
        self: &Rc<Self>,
        peer_request: wire::GatherRequest,
    ) -> wire::Gathered {
        if peer_request.time_left_ms == 0 {
            // The request was delayed in transit until the caller's deadline had expired.
            log::info!("event=question_too_late route={}", peer_request.route);
            return wire::Gathered::default();
        }
        let now_ms = self.shared.now_ms();
        let deadlines = Deadlines {
            target_at_ms: now_ms + peer_request.answer_within_ms,
            limit_at_ms: now_ms + peer_request.time_left_ms,
        };
        let services: Vec<Arc<str>> =
            peer_request.services.iter().map(|s| s.as_str().into()).collect();
        let route = Arc::new(to_route(&peer_request, &services));
        let top_k = route.top_k;
        let allowed = peer_request
            .allowed_replicas
            .chunks(route.attempts.max(1))
            .map(<[u32]>::to_vec)
            .collect();
        let has_all_shards = peer_request.has_all_shards;
        let own_omission_budget =
            peer_request.max_omitted.saturating_sub(peer_request.reserved_omissions);
        let requester = Requester::Peer {
            is_retry: peer_request.is_retry,
            max_omitted: usize::try_from(peer_request.max_omitted).unwrap_or(0),
            may_leave_out: usize::try_from(own_omission_budget).unwrap_or(0),
            has_all_shards,
        };
        self.merge_reports(peer_request.report.as_slice(), "question");
        let Some(mut request) = to_request(peer_request) else {
            log::warn!("event=relay_unreadable");
            return wire::Gathered::default();
        };
        let view = self.shared.view.load_full();
        // The entry instance forwards them if its configuration is older and has no customers.
        if view.customers().is_some() {
            self.remove_identity_headers(&mut request);
        }
        let state = self.route_state(&route.name);
        let request = Rc::new(request);
        let mut gather =
            Gather::new(self, &view, &route, state, &request, services.clone(), deadlines);
        gather.restrict_replicas(allowed);
        let mut gathered = gather.run(requester).await;
        if let Err(error) = gathered.check(services.len(), top_k) {
            record_rejected_merge(&request, "own", error);
            gathered.discard_parts();
        }
        metrics::counter!("eelgrasspier_relayed_total").increment(1);
        log::info!(
            "event=gathered_for_peer id={} route={} whole={has_all_shards} parts={} {} took_ms={}",
            request.id_text(),
            route.name,
            gathered.parts(),
            gathered.log_fields(),
            request.arrived.elapsed().as_millis()
        );
        let position = |name: &Arc<str>| services.iter().position(|s| s == name);
        let left_out = gathered.left_out.iter().filter_map(position);
        wire::Gathered {
            left_out: left_out.filter_map(|i| u32::try_from(i).ok()).collect(),
            slow: self.slow_replicas(&view, &services),
            busy: self.busy_replicas(&view, &services),
            report: self.report_on(request.fingerprint()),
            request_hash: rendezvous::hash(request.id_text()),
            ..to_wire(gathered, top_k)
        }
    }
}

fn to_route(peer_request: &wire::GatherRequest, services: &[Arc<str>]) -> Route {
    let to_usize = |n: u32| usize::try_from(n).unwrap_or(usize::MAX);
    Route {
        name: peer_request.route.as_str().into(),
        host: peer_request.host.clone(),
        path_prefix: String::new(),
        target: Target::Shards(services.into()),
        is_idempotent: true,
        attempts: to_usize(peer_request.attempts),
        timeout_ms: peer_request.time_left_ms,
        target_latency_ms: peer_request.target_latency_ms,
        priority: peer_request.priority,
        top_k: to_usize(peer_request.top_k),
        min_coverage: 0.0,
        home_regions: peer_request.home_regions.iter().map(|r| r.as_str().into()).collect(),
        is_public: false,
    }
}

/// Rebuilds the caller's request; returns `None` if it is not a valid HTTP request.
fn to_request(peer_request: wire::GatherRequest) -> Option<Request> {
    let mut headers = HeaderMap::new();
    for wire::Header { name, value } in peer_request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_maybe_shared(value).ok()?);
    }
    Some(Request {
        id: HeaderValue::from_maybe_shared(peer_request.request_id).ok()?,
        method: Method::from_bytes(peer_request.method.as_bytes()).ok()?,
        host: peer_request.host,
        path: peer_request.path.parse().ok()?,
        headers,
        body: peer_request.body,
        arrived: Instant::now(),
        deadline_ms: Some(peer_request.time_left_ms),
        credential: Credential::None,
        customer: Some(peer_request.customer).filter(|c| !c.is_empty()).map(Into::into),
        progress: RequestProgress::default(),
    })
}

fn to_wire(gathered: Gathered, top_k: usize) -> wire::Gathered {
    let mut greatest = TopRecords::new(top_k);
    let mut parts = Vec::with_capacity(gathered.replies.len());
    let signed = |(shard, signature): (usize, Bytes)| wire::Signed {
        shard: u32::try_from(shard).unwrap_or(u32::MAX),
        signature,
    };
    for (shard, reply) in gathered.replies {
        let Some(signature) = reply.signature else { continue };
        greatest.add(&reply.body);
        parts.push(signed((shard, signature)));
    }
    for merged in gathered.merged {
        greatest.add(&merged.records);
        parts.extend(merged.parts.into_iter().map(signed));
    }
    let records = greatest.into_bytes().into();
    let limit_refusal = gathered.limit_refusal.as_ref();
    let (limited_ms, limit_unavailable_ms) = limit_refusal.map_or((0, 0), LimitRefusal::to_wire_ms);
    wire::Gathered {
        records,
        parts,
        may_have_run: gathered.may_have_run,
        limited_ms,
        limit_unavailable_ms,
        refused_ms: gathered.refused_ms.unwrap_or(0),
        is_low_priority: gathered.is_low_priority,
        ..wire::Gathered::default()
    }
}
