//! Both sides of a question between instances: asking, and gathering for the asker.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_backend::Offered;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_decide::merge::Greatest;
use eelgrasspier_decide::route::{Route, Target};
use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{self, Body};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use prost::Message;
use tokio::time::Instant;

use crate::gather::{For, Gather, Gathered, Times};
use crate::model::{Learnt, Request};
use crate::route_state::RouteState;
use crate::router::{InProgress, PEER_SLOTS, Router, UNSOUND_PEER_COST, peer_key};
use crate::view::{Peer, View};
use crate::zone_bytes::{self, Cause};

/// Time after which a link without an answer is closed; a frozen instance is back within
/// seconds, but a connection that has gone silent stays so.
const LINK_PATIENCE: Duration = Duration::from_secs(1);

impl Router {
    /// Whether this instance holds connections to its zone's replicas of a shard.
    pub(crate) fn gathers(&self, view: &View, service: &str) -> bool {
        if !view.is_gatherer || !view.is_sliced(&self.zone) {
            return view.is_gatherer;
        }
        let near = view.gatherers.iter().filter(|p| p.zone == self.zone);
        let own = Candidate { key: self.key, capacity_milli: view.capacity_milli };
        let all: Vec<Candidate> = std::iter::once(own).chain(near.map(Peer::candidate)).collect();
        gatherers::owner(service, &all) == Some(0)
    }

    /// Instances that answered lately, or were not asked for a while.
    pub(crate) fn sound_peers<'v>(&self, view: &'v View) -> Vec<&'v Peer> {
        let now_ms = self.shared.now_ms();
        let is_sound = |p: &&Peer| {
            let standing = self.standing(&peer_key(&p.name));
            standing.borrow().cost(PEER_SLOTS, now_ms) < UNSOUND_PEER_COST
        };
        view.gatherers.iter().filter(is_sound).collect()
    }

    /// The instance of a zone that is expected to answer first; `turn` breaks ties.
    pub(crate) fn best_peer<'v>(
        &self,
        peers: &[&'v Peer],
        zone: &str,
        turn: u64,
    ) -> Option<&'v Peer> {
        let now_ms = self.shared.now_ms();
        let cost = |p: &Peer| self.standing(&peer_key(&p.name)).borrow().cost(PEER_SLOTS, now_ms);
        let mut near: Vec<&Peer> = peers.iter().filter(|p| &*p.zone == zone).copied().collect();
        if near.is_empty() {
            return None;
        }
        let start = usize::try_from(turn % near.len() as u64).unwrap_or(0);
        near.rotate_left(start);
        near.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Asks another instance and learns from how it ends.
    pub(crate) async fn ask_peer(
        self: Rc<Self>,
        peer: Peer,
        question: Body,
        time_left: Duration,
        state: Rc<RouteState>,
        offered: Offered,
    ) -> Result<wire::Gathered, PeerError> {
        let standing = self.standing(&peer_key(&peer.name));
        let usual_ms = state.usual_relay_ms();
        let started = Instant::now();
        let in_progress = InProgress::start(&standing, self.shared.now_ms(), usual_ms);
        let is_far = peer.zone != self.zone;
        zone_bytes::count(Cause::Gather, is_far, question.encoded_len());
        let result = self.links.ask_noting(peer.addr, question, time_left, || offered.mark()).await;
        drop(in_progress);
        let took = started.elapsed();
        metrics::histogram!("eelgrasspier_relay_seconds").record(took.as_secs_f64());
        match result {
            Ok(Body::Gathered(answer)) => {
                zone_bytes::count(Cause::Gather, is_far, answer.encoded_len());
                let took_ms = took.as_secs_f64() * 1000.0;
                standing.borrow_mut().answered(took_ms, usual_ms, self.shared.now_ms());
                state.note_relay(took);
                Ok(answer)
            }
            Ok(other) => {
                standing.borrow_mut().failed(self.shared.now_ms());
                log::warn!("event=relay_refused peer={} answer={other:?}", peer.name);
                Err(PeerError::NotReached("the instance refused".to_owned()))
            }
            Err(error) => {
                standing.borrow_mut().failed(self.shared.now_ms());
                Err(error)
            }
        }
    }

    /// Whether an instance answers at all.
    pub(crate) async fn is_alive(&self, peer: &Peer, timeout: Duration) -> bool {
        let question = Body::Alive(wire::Nothing {});
        // The link is kept: an answer that is late may still come on it.
        let asking = self.links.ask(peer.addr, question, LINK_PATIENCE);
        matches!(tokio::time::timeout(timeout, asking).await, Ok(Ok(Body::Alive(_))))
    }

    /// Notes that an instance does not answer.
    pub(crate) fn note_silent(&self, peer: &Peer) {
        let standing = self.standing(&peer_key(&peer.name));
        standing.borrow_mut().failed(self.shared.now_ms());
    }

    /// Gathers shards for another instance and merges them.
    pub async fn gather_for_peer(self: &Rc<Self>, question: wire::Gather) -> wire::Gathered {
        if question.time_left_ms == 0 {
            // It was held up on its way until the caller's time was over.
            log::info!("event=question_too_late route={}", question.route);
            return wire::Gathered::default();
        }
        let now_ms = self.shared.now_ms();
        let times = Times {
            target_at_ms: now_ms + question.answer_within_ms,
            limit_at_ms: now_ms + question.time_left_ms,
        };
        let services: Vec<Arc<str>> = question.services.iter().map(|s| s.as_str().into()).collect();
        let route = Arc::new(to_route(&question, &services));
        let top_k = route.top_k;
        let allowed = question.allowed.chunks(route.attempts.max(1)).map(<[u32]>::to_vec).collect();
        let is_whole = question.is_whole;
        let own_misses = question.may_miss.saturating_sub(question.misses_of_others);
        let whom = For::Peer {
            is_repeat: question.is_repeat,
            may_miss: usize::try_from(question.may_miss).unwrap_or(0),
            may_leave_out: usize::try_from(own_misses).unwrap_or(0),
            is_whole,
        };
        self.take_reports(question.report.as_slice(), "question");
        let Some(request) = to_request(question) else {
            log::warn!("event=relay_unreadable");
            return wire::Gathered::default();
        };
        let view = self.shared.view.load_full();
        let state = self.route_state(&route.name);
        let request = Rc::new(request);
        let mut gather = Gather::new(self, &view, &route, state, &request, services.clone(), times);
        gather.allow(allowed);
        let gathered = gather.run(whom).await;
        metrics::counter!("eelgrasspier_relayed_total").increment(1);
        log::info!(
            "event=gathered_for_peer id={} route={} whole={is_whole} parts={} {} took_ms={}",
            request.id_text(),
            route.name,
            gathered.parts(),
            gathered.effort(),
            request.arrived.elapsed().as_millis()
        );
        let position = |name: &Arc<str>| services.iter().position(|s| s == name);
        let left_out = gathered.left_out.iter().filter_map(position);
        wire::Gathered {
            left_out: left_out.filter_map(|i| u32::try_from(i).ok()).collect(),
            slow: self.slow_replicas(&view, &services),
            busy: self.busy_replicas(&view, &services),
            report: self.report_on(request.fingerprint()),
            ..to_wire(gathered, top_k)
        }
    }
}

fn to_route(question: &wire::Gather, services: &[Arc<str>]) -> Route {
    let whole = |n: u32| usize::try_from(n).unwrap_or(usize::MAX);
    Route {
        name: question.route.as_str().into(),
        host: question.host.clone(),
        path_prefix: String::new(),
        target: Target::Shards(services.into()),
        is_idempotent: true,
        attempts: whole(question.attempts),
        timeout_ms: question.time_left_ms,
        target_latency_ms: question.target_latency_ms,
        rank: 0,
        top_k: whole(question.top_k),
        least_share: 0.0,
        home_regions: question.home_regions.iter().map(|r| r.as_str().into()).collect(),
    }
}

/// The caller's request; `None` if it could never have come from a caller.
fn to_request(question: wire::Gather) -> Option<Request> {
    let mut headers = HeaderMap::new();
    for wire::Header { name, value } in question.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_maybe_shared(value).ok()?);
    }
    Some(Request {
        id: HeaderValue::from_maybe_shared(question.request_id).ok()?,
        method: Method::from_bytes(question.method.as_bytes()).ok()?,
        host: question.host,
        path: question.path.parse().ok()?,
        headers,
        body: question.body,
        arrived: Instant::now(),
        deadline_ms: Some(question.time_left_ms),
        learnt: Learnt::default(),
    })
}

fn to_wire(gathered: Gathered, top_k: usize) -> wire::Gathered {
    let mut greatest = Greatest::new(top_k);
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
    wire::Gathered {
        records,
        parts,
        may_have_run: gathered.may_have_run,
        refused_ms: gathered.refused_ms.unwrap_or(0),
        ..wire::Gathered::default()
    }
}
