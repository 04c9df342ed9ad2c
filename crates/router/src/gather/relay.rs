//! Asking another instance, beside the replicas, for the merged parts of several shards.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_backend::Offered;
use eelgrasspier_decide::admission;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_decide::relays::{self, Group, LEAST_GROUP, Place};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{self, Body};

use super::shard::{Shard, ShardState};
use super::{Event, Gather};
use crate::view::Peer;

/// Kept of the target time for the other instance's answer to come back.
const RETURN_MARGIN_MS: u64 = 3;
/// How many times the own processor time another instance must have to gather in place of
/// this one: the way there and back and one more question are small beside half of the work.
const DELEGATE_CAPACITY_FACTOR: u32 = 2;
/// Time that an answer needs at least for the detour to be worth it.
const MIN_ANSWER_MS: u64 = 8;

/// When an instance is asked whether it answers at all.
///
/// A late answer has two causes. Mostly a shard is late, and the instance sends second
/// requests itself: to send them from here too took three times the budget for repeats.
/// But it may be frozen or cut off, and then another must be asked for all its shards.
pub(super) struct Probe {
    pub(super) peer: Peer,
    pub(super) shards: Vec<usize>,
    pub(super) at_ms: u64,
}

/// How some shards are asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayOptions {
    /// Whether another instance may have sent them.
    pub(super) is_repeat: bool,
    /// How many of them may be left out where they would be late.
    pub(super) may_leave_out: usize,
    /// Whether these are all shards of the request, to be asked for wherever that is best.
    pub(super) is_whole: bool,
}

/// The end of a question to another instance.
pub(super) struct RelayResult {
    pub(super) peer: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) shards: Vec<usize>,
    pub(super) is_whole: bool,
    pub(super) result: Result<wire::Gathered, PeerError>,
}

impl<'a> Gather<'a> {
    /// The instance that gathers the whole request in place of this one, if that is better.
    ///
    /// A request of 129 shards is ten questions and ten answers to be merged: ten milliseconds
    /// and more of an instance with an eighth of a core, of the fifty in which some answers are
    /// wanted. One with half a core needs a quarter of that, its connections are in use, and since
    /// all requests of the zone go by way of a few, these know the replicas' queues.
    pub(super) fn delegate(&self) -> Option<&'a Peer> {
        let router = self.router;
        let is_small = !self.view.is_gatherer && self.view.is_sliced(&router.zone);
        if self.shards.len() == 1 || !is_small {
            return None;
        }
        let mut peers = self.healthy_peers();
        let min_capacity_milli = self.view.capacity_milli.saturating_mul(DELEGATE_CAPACITY_FACTOR);
        peers.retain(|p| p.capacity_milli >= min_capacity_milli);
        router.best_peer(&peers, &router.zone, rand::random())
    }

    /// Asks an instance of the own zone for all shards.
    pub(super) fn delegate_to(&mut self, peer: &Peer) {
        let all = (0..self.shards.len()).collect();
        let may_leave_out = self.may_miss();
        self.relay_shards(
            peer,
            all,
            RelayOptions { is_repeat: false, may_leave_out, is_whole: true },
        );
    }

    /// Sends all shards: some directly, some by way of other instances.
    ///
    /// `is_repeat` if a third one may have sent them.
    pub(super) fn dispatch_all(&mut self, is_repeat: bool) {
        let relay_groups = self.relay_groups();
        let may_leave_out = self.split_miss_budget(&relay_groups);
        let mut is_relayed: Vec<bool> =
            self.shards.iter().map(|s| s.state == ShardState::LeftOut).collect();
        for ((peer, shards), may_leave_out) in relay_groups.into_iter().zip(may_leave_out) {
            for &shard in &shards {
                is_relayed[shard] = true;
            }
            self.relay_shards(
                &peer,
                shards,
                RelayOptions { is_repeat, may_leave_out, is_whole: false },
            );
        }
        for index in (0..self.shards.len()).filter(|&i| !is_relayed[i]) {
            self.send_for_peer(index, is_repeat);
        }
    }

    /// How many of its shards each of those who are asked may leave out.
    fn split_miss_budget(&self, relay_groups: &[(Peer, Vec<usize>)]) -> Vec<usize> {
        let mut sizes: Vec<usize> = relay_groups.iter().map(|(_, shards)| shards.len()).collect();
        let open = self.shards.iter().filter(|s| s.state == ShardState::Pending).count();
        // What is sent from here may be late as well.
        sizes.push(open - sizes.iter().sum::<usize>());
        admission::share_misses(self.may_miss(), &sizes)
    }

    /// Shards that are best asked for elsewhere, with the instance to ask.
    fn relay_groups(&self) -> Vec<(Peer, Vec<usize>)> {
        // One that is tried on one replica at a time is sent from here only: each of those who
        // are asked would try it on one.
        if self.shards.len() == 1 || self.view.peers.is_empty() || self.is_suspect() {
            return Vec::new();
        }
        let peers = self.healthy_peers();
        let open = (0..self.shards.len()).filter(|&i| self.shards[i].state == ShardState::Pending);
        self.assign(open, &self.router.zone, &peers)
    }

    /// Some shards with the instances to ask for them, those in the zone `first` first.
    pub(super) fn assign(
        &self,
        shards: impl IntoIterator<Item = usize>,
        preferred_zone: &str,
        peers: &[&Peer],
    ) -> Vec<(Peer, Vec<usize>)> {
        let router = self.router;
        let is_sliced = |zone: &str| self.view.is_sliced(zone);
        let zones = |index: usize| self.relay_zones(&self.shards[index], peers);
        let places = shards.into_iter().map(|index| (index, zones(index)));
        let places = places.filter(|(_, zones)| !zones.is_empty()).collect();
        let tie_breaker = rand::random();
        let min_group_size = if is_sliced(&router.zone) { 1 } else { LEAST_GROUP };
        let mut assigned = Vec::new();
        for group in relays::group(places, preferred_zone, min_group_size, tie_breaker) {
            if is_sliced(group.zone) {
                assigned.extend(self.split_by_owner(&group, peers));
            } else if let Some(peer) = router.best_peer(peers, group.zone, tie_breaker) {
                assigned.push((peer.clone(), group.shards));
            }
        }
        assigned
    }

    /// Splits a large zone's shards among those that gather them; the own ones are left.
    fn split_by_owner(&self, group: &Group<'_>, peers: &[&Peer]) -> Vec<(Peer, Vec<usize>)> {
        let near: Vec<&&Peer> = peers.iter().filter(|p| &*p.zone == group.zone).collect();
        let gathering: Vec<Candidate> = near.iter().map(|p| p.candidate()).collect();
        let mut split: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for &shard in &group.shards {
            if let Some(owner) = gatherers::owner(&self.shards[shard].service, &gathering) {
                split.entry(owner).or_default().push(shard);
            }
        }
        split.into_iter().map(|(owner, shards)| ((*near[owner]).clone(), shards)).collect()
    }

    /// Zones in which an instance could ask a replica of a shard; none if the own zone has one.
    fn relay_zones<'p>(&self, shard: &Shard, peers: &[&'p Peer]) -> Vec<&'p str> {
        let allowed = self.replicas(&shard.service).filter(|r| shard.allows(r));
        // Where none is open here, whoever counts for a cold one knows what it may get.
        let is_any_open = allowed.clone().any(|r| self.may_send_directly(r));
        let replicas = allowed.filter(|r| !is_any_open || self.may_send_directly(r));
        if self.router.gathers(self.view, &shard.service)
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

    /// Asks an instance for some shards.
    pub(super) fn relay_shards(&mut self, peer: &Peer, shards: Vec<usize>, options: RelayOptions) {
        let now_ms = self.router.shared.now_ms();
        let probe_delay_ms = self.route_state.relay_probe_delay_ms(self.route.target_latency_ms);
        for &index in &shards {
            // Those that were drawn for another instance stay: it may have sent to them.
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
        let offered = Offered::default();
        self.write_flags.push(offered.clone());
        let answer = Rc::clone(self.router).send_to_peer(
            peer.clone(),
            peer_request,
            time_left,
            Rc::clone(&self.route_state),
            offered.clone(),
        );
        let event_sender = self.event_sender.clone();
        let (peer, zone) = (Arc::clone(&peer.name), Arc::clone(&peer.zone));
        self.gathered.relays += 1;
        self.tasks.peer_requests.push(actix_rt::spawn(async move {
            let result = answer.await;
            if cannot_have_run(&result) {
                offered.clear();
            }
            let relay_result =
                RelayResult { peer, zone, shards, is_whole: options.is_whole, result };
            // Nobody listens once the answer has gone out.
            let _is_closed = event_sender.send(Event::Relay(relay_result)).is_err();
        }));
    }

    /// Marks of the replicas that a shard asked for in `zone` may be sent to.
    fn draw_replicas(&self, index: usize, zone: &str) -> Vec<u32> {
        let all: Vec<_> = self.replicas(&self.shards[index].service).collect();
        let places: Vec<Place<'_>> = all.iter().map(|r| self.place(r)).collect();
        let request = rendezvous::hash(self.request.id_text());
        let drawn = relays::allowed(&places, zone, self.route.attempts, request);
        drawn.into_iter().map(|i| relays::mark(&all[i].id)).collect()
    }

    fn place(&self, replica: &'a ReplicaEntry) -> Place<'a> {
        let is_slow =
            self.router.is_slow(relays::mark(&replica.id)) || !self.may_send_directly(replica);
        Place { id: &replica.id, zone: &replica.zone, is_slow }
    }

    fn peer_request(&self, shards: &[usize], now_ms: u64, options: RelayOptions) -> Body {
        let RelayOptions { is_repeat, may_leave_out, is_whole } = options;
        let request = self.request;
        let until_target_ms = self.deadlines.target_at_ms.saturating_sub(now_ms);
        let time_left_ms = self.deadlines.limit_at_ms.saturating_sub(now_ms);
        // Once the target is out of reach, whatever comes before the limit will do.
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
        // Padded, so that the other side can tell which belong to which shard.
        let marks = |&i: &usize| {
            let mut marks = self.shards[i].allowed.clone().unwrap_or_default();
            marks.resize(self.route.attempts.max(1), relays::NO_MARK);
            marks
        };
        Body::Gather(wire::Gather {
            request_id: request.id.as_bytes().to_vec().into(),
            method: request.method.as_str().to_owned(),
            host: request.host.clone(),
            path: request.path.as_str().to_owned(),
            headers: request.headers.iter().map(header).collect(),
            body: request.body.clone(),
            route: self.route.name.to_string(),
            services: shards.iter().map(service).collect(),
            allowed: shards.iter().flat_map(marks).collect(),
            attempts: to_u32(self.route.attempts),
            top_k: to_u32(self.route.top_k),
            time_left_ms,
            answer_within_ms,
            target_latency_ms: self.route.target_latency_ms,
            is_repeat,
            may_miss: to_u32(self.may_miss()),
            misses_of_others: to_u32(self.may_miss().saturating_sub(may_leave_out)),
            is_whole,
            // Zero stands for "does not say".
            sent_ms: now_ms.max(1),
            report: self.router.report_on(request.fingerprint()),
            home_regions: self.route.home_regions.iter().map(ToString::to_string).collect(),
        })
    }
}

/// Whether nothing of a question can have reached a replica.
fn cannot_have_run(result: &Result<wire::Gathered, PeerError>) -> bool {
    match result {
        Ok(answer) => !answer.may_have_run && answer.parts.is_empty(),
        Err(error) => matches!(error, PeerError::NotReached(_)),
    }
}
