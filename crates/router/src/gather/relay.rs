//! Relays shards to other instances, which gather and merge them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::admission;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_decide::relays::{self, Group, MIN_GROUP_SHARDS, ReplicaLocation};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{self, Body};

use super::shard::{Shard, ShardState};
use super::token_state::TokenState;
use super::{Event, Gather};
use crate::view::Peer;

/// Part of the target latency reserved for the transfer of a relayed answer, in milliseconds.
const RETURN_MARGIN_MS: u64 = 3;
/// Minimum ratio of another instance's CPU capacity to the local one for delegating to it.
///
/// At this ratio the round trip and the extra message cost little compared with half of the work.
const DELEGATE_CAPACITY_FACTOR: u32 = 2;
/// Minimum time for gathering a relayed answer within the target, in milliseconds.
///
/// With less time left until the target, the answer may take until the deadline.
const MIN_ANSWER_MS: u64 = 8;

/// Scheduled liveness probe of an instance that gathers relayed shards.
///
/// A late answer usually means that a shard is late, and the instance sends hedges itself; hedging
/// from here as well used three times the retry budget. If the instance is frozen or unreachable,
/// another one must gather all its shards.
pub(super) struct Probe {
    pub(super) peer: Peer,
    pub(super) shards: Vec<usize>,
    pub(super) at_ms: u64,
}

/// Options of a relay request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayOptions {
    /// True if another instance may already have sent the shards.
    pub(super) is_retry: bool,
    /// Number of shards that may be left out because they would be late.
    pub(super) may_leave_out: usize,
    /// True if these are all shards of the request, which the receiver may relay again.
    pub(super) has_all_shards: bool,
}

/// Result of a relay request to another instance.
pub(super) struct RelayResult {
    pub(super) peer: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) shards: Vec<usize>,
    pub(super) has_all_shards: bool,
    pub(super) result: Result<wire::Gathered, PeerError>,
}

impl<'a> Gather<'a> {
    /// Returns the instance that gathers the whole request instead of this one, if cheaper.
    ///
    /// Splitting a request of 129 shards takes ten relay requests and ten answers to merge. That
    /// takes more than 10 ms on an instance with an eighth of a core, while some routes have a
    /// target of 50 ms. An instance with half a core needs a quarter of that. Its connections are
    /// open and in use, and since a few instances handle all requests of the zone, they know the
    /// replicas' queues.
    pub(super) fn delegate(&self) -> Option<&'a Peer> {
        let router = self.router;
        let is_small = !self.view.is_gatherer && self.view.is_delegating(&router.zone);
        if self.shards.len() == 1 || !is_small {
            return None;
        }
        let mut peers = self.healthy_peers();
        let min_capacity_milli = self.view.capacity_milli.saturating_mul(DELEGATE_CAPACITY_FACTOR);
        peers.retain(|p| p.capacity_milli >= min_capacity_milli);
        router.best_peer(&peers, &router.zone, rand::random())
    }

    /// Relays all shards to one instance in the local zone.
    pub(super) fn delegate_to(&mut self, peer: &Peer) {
        let all = (0..self.shards.len()).collect();
        let may_leave_out = self.max_omitted();
        self.token = TokenState::AtDelegate;
        self.relay_shards(
            peer,
            all,
            RelayOptions { is_retry: false, may_leave_out, has_all_shards: true },
        );
    }

    /// Sends all shards, some directly and some through other instances.
    ///
    /// `is_retry` is true if a third instance may already have sent them.
    pub(super) fn dispatch_all(&mut self, is_retry: bool) {
        let relay_groups = self.relay_groups();
        let may_leave_out = self.split_miss_budget(&relay_groups);
        let mut is_handled: Vec<bool> =
            self.shards.iter().map(|s| s.state == ShardState::LeftOut).collect();
        for ((peer, shards), may_leave_out) in relay_groups.into_iter().zip(may_leave_out) {
            for &shard in &shards {
                is_handled[shard] = true;
            }
            self.relay_shards(
                &peer,
                shards,
                RelayOptions { is_retry, may_leave_out, has_all_shards: false },
            );
        }
        for index in (0..self.shards.len()).filter(|&i| !is_handled[i]) {
            self.send_for_peer(index, is_retry);
        }
    }

    /// Returns how many of its shards each relay group may leave out.
    fn split_miss_budget(&self, relay_groups: &[(Peer, Vec<usize>)]) -> Vec<usize> {
        let mut sizes: Vec<usize> = relay_groups.iter().map(|(_, shards)| shards.len()).collect();
        let pending = self.shards.iter().filter(|s| s.state == ShardState::Pending).count();
        // Shards that are sent from here may be late as well.
        sizes.push(pending - sizes.iter().sum::<usize>());
        admission::divide_allowed_misses(self.max_omitted(), &sizes)
    }

    /// Returns the shards to relay, grouped by instance.
    fn relay_groups(&self) -> Vec<(Peer, Vec<usize>)> {
        // Isolated trials are sent from here only; otherwise each instance would run a trial of its
        // own.
        if self.shards.len() == 1 || self.view.peers.is_empty() || self.is_suspect() {
            return Vec::new();
        }
        let peers = self.healthy_peers();
        let pending =
            (0..self.shards.len()).filter(|&i| self.shards[i].state == ShardState::Pending);
        self.assign(pending, &self.router.zone, &peers)
    }

    /// Assigns shards to instances, those in `preferred_zone` first.
    pub(super) fn assign(
        &self,
        shards: impl IntoIterator<Item = usize>,
        preferred_zone: &str,
        peers: &[&Peer],
    ) -> Vec<(Peer, Vec<usize>)> {
        let router = self.router;
        let is_delegating = |zone: &str| self.view.is_delegating(zone);
        let zones = |index: usize| self.relay_zones(&self.shards[index], peers);
        let locations = shards.into_iter().map(|index| (index, zones(index)));
        let locations = locations.filter(|(_, zones)| !zones.is_empty()).collect();
        let tie_breaker = rand::random();
        let min_group_size = if is_delegating(&router.zone) { 1 } else { MIN_GROUP_SHARDS };
        let mut assigned = Vec::new();
        for group in relays::group_by_zone(locations, preferred_zone, min_group_size, tie_breaker) {
            if is_delegating(group.zone) {
                assigned.extend(self.split_by_owner(&group, peers));
            } else if let Some(peer) = router.best_peer(peers, group.zone, tie_breaker) {
                assigned.push((peer.clone(), group.shards));
            }
        }
        assigned
    }

    /// Groups the shards of a zone with delegating instances by the instance that gathers them.
    ///
    /// The group contains no shards that this instance gathers itself.
    fn split_by_owner(&self, group: &Group<'_>, peers: &[&Peer]) -> Vec<(Peer, Vec<usize>)> {
        let zone_peers: Vec<&&Peer> = peers.iter().filter(|p| &*p.zone == group.zone).collect();
        let gathering: Vec<Candidate> = zone_peers.iter().map(|p| p.gather_candidate()).collect();
        let mut split: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for &shard in &group.shards {
            if let Some(owner) = gatherers::owner(&self.shards[shard].service, &gathering) {
                split.entry(owner).or_default().push(shard);
            }
        }
        split.into_iter().map(|(owner, shards)| ((*zone_peers[owner]).clone(), shards)).collect()
    }

    /// Returns zones whose instances have local replicas of a shard; none if this one does.
    fn relay_zones<'p>(&self, shard: &Shard, peers: &[&'p Peer]) -> Vec<&'p str> {
        let allowed = self.replicas(&shard.service).filter(|r| shard.allows(r));
        // If no replica may be used from here, the instances that rate limit the cold ones decide.
        let can_send_directly = allowed.clone().any(|r| self.may_send_directly(r));
        let replicas = allowed.filter(|r| !can_send_directly || self.may_send_directly(r));
        if self.router.holds_connections_to(self.view, &shard.service)
            && replicas.clone().any(|r| r.zone == self.router.zone)
        {
            return Vec::new();
        }
        let has_replica = |zone: &Arc<str>| replicas.clone().any(|r| r.zone == *zone);
        let mut zones: Vec<&str> =
            peers.iter().filter(|p| has_replica(&p.zone)).map(|p| &*p.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Relays some shards to an instance.
    pub(super) fn relay_shards(&mut self, peer: &Peer, shards: Vec<usize>, options: RelayOptions) {
        let now_ms = self.router.shared.now_ms();
        let probe_delay_ms = self.route_state.relay_probe_delay_ms(self.route.target_latency_ms);
        for &index in &shards {
            // Replicas drawn for a previous instance are kept, since it may have sent to them.
            let drawn = self.shards[index].allowed.take();
            let allowed = drawn.unwrap_or_else(|| self.draw_replicas(index, &peer.zone));
            let shard = &mut self.shards[index];
            shard.in_flight += 1;
            shard.allowed = Some(allowed);
        }
        let at_ms = now_ms + probe_delay_ms;
        self.probes.push(Probe { peer: peer.clone(), shards: shards.clone(), at_ms });
        let peer_request = self.peer_request(&shards, now_ms, options);
        let time_left = Duration::from_millis(self.deadlines.limit_at_ms.saturating_sub(now_ms));
        let dispatched = self.begin_send();
        let answer = Rc::clone(self.router).send_to_peer(
            peer.clone(),
            peer_request,
            time_left,
            Rc::clone(&self.route_state),
            dispatched.clone(),
        );
        let event_sender = self.event_sender.clone();
        let (peer, zone) = (Arc::clone(&peer.name), Arc::clone(&peer.zone));
        self.gathered.relay_requests += 1;
        self.tasks.peer_requests.push(actix_rt::spawn(async move {
            let result = answer.await;
            if cannot_have_run(&result) {
                dispatched.clear();
            }
            let relay_result =
                RelayResult { peer, zone, shards, has_all_shards: options.has_all_shards, result };
            // The receiver is closed once the request has been answered.
            let _is_closed = event_sender.send(Event::Relay(relay_result)).is_err();
        }));
    }

    /// Draws the replicas that may be used for a shard relayed to `zone`; returns their hashes.
    fn draw_replicas(&self, index: usize, zone: &str) -> Vec<u32> {
        let all: Vec<_> = self.replicas(&self.shards[index].service).collect();
        let locations: Vec<ReplicaLocation<'_>> = all.iter().map(|r| self.location(r)).collect();
        let request = rendezvous::hash(self.request.id_text());
        let drawn = relays::select_replicas(&locations, zone, self.route.attempts, request);
        drawn.into_iter().map(|i| relays::replica_hash(&all[i].id)).collect()
    }

    fn location(&self, replica: &'a ReplicaEntry) -> ReplicaLocation<'a> {
        let is_slow = self.router.is_slow(relays::replica_hash(&replica.id))
            || !self.may_send_directly(replica);
        ReplicaLocation { id: &replica.id, zone: &replica.zone, is_slow }
    }

    fn peer_request(&self, shards: &[usize], now_ms: u64, options: RelayOptions) -> Body {
        let RelayOptions { is_retry, may_leave_out, has_all_shards } = options;
        let request = self.request;
        let until_target_ms = self.deadlines.target_at_ms.saturating_sub(now_ms);
        let time_left_ms = self.deadlines.limit_at_ms.saturating_sub(now_ms);
        // If the target can't be met any more, the answer may take until the deadline.
        let answer_within_ms = if until_target_ms >= MIN_ANSWER_MS + RETURN_MARGIN_MS {
            until_target_ms - RETURN_MARGIN_MS
        } else {
            time_left_ms.saturating_sub(RETURN_MARGIN_MS)
        };
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| wire::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec().into(),
        };
        let service = |&i: &usize| self.shards[i].service.to_string();
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        // Padded to a fixed length, so that the receiver can split the list by shard.
        let hashes = |&i: &usize| {
            let mut hashes = self.shards[i].allowed.clone().unwrap_or_default();
            hashes.resize(self.route.attempts.max(1), relays::NO_REPLICA_HASH);
            hashes
        };
        Body::Gather(wire::GatherRequest {
            request_id: request.id.as_bytes().to_vec().into(),
            method: request.method.as_str().to_owned(),
            host: request.host.clone(),
            path: request.path.as_str().to_owned(),
            headers: request.headers.iter().map(header).collect(),
            body: request.body.clone(),
            route: self.route.name.to_string(),
            services: shards.iter().map(service).collect(),
            allowed_replicas: shards.iter().flat_map(hashes).collect(),
            attempts: to_u32(self.route.attempts),
            top_k: to_u32(self.route.top_k),
            time_left_ms,
            answer_within_ms,
            target_latency_ms: self.route.target_latency_ms,
            is_retry,
            max_omitted: to_u32(self.max_omitted()),
            reserved_omissions: to_u32(self.max_omitted().saturating_sub(may_leave_out)),
            has_all_shards,
            // Zero means "not specified" on the wire.
            sent_ms: now_ms.max(1),
            report: self.router.report_on(request.fingerprint()),
            home_regions: self.route.home_regions.iter().map(ToString::to_string).collect(),
            customer: request.customer.as_deref().unwrap_or_default().to_owned(),
            priority: self.route.priority,
        })
    }
}

/// True if no replica can have received anything of a relay request.
fn cannot_have_run(result: &Result<wire::Gathered, PeerError>) -> bool {
    match result {
        Ok(answer) => !answer.may_have_run && answer.parts.is_empty(),
        Err(error) => matches!(error, PeerError::NotReached(_)),
    }
}
