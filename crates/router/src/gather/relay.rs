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
use super::{Gather, Landed};
use crate::view::Peer;

/// Kept of the target time for the other instance's answer to come back.
const RETURN_MS: u64 = 3;
/// How many times the own processor time another instance must have to gather in place of
/// this one: the way there and back and one more question are small beside half of the work.
const LARGER_BY: u32 = 2;
/// Time that an answer needs at least for the detour to be worth it.
const LEAST_ANSWER_MS: u64 = 8;

/// When an instance is asked whether it answers at all.
///
/// A late answer has two causes. Mostly a shard is late, and the instance sends second
/// requests itself: to send them from here too took three times the budget for repeats.
/// But it may be frozen or cut off, and then another must be asked for all its shards.
pub(super) struct Check {
    pub(super) peer: Peer,
    pub(super) shards: Vec<usize>,
    pub(super) at_ms: u64,
}

/// How some shards are asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask {
    /// Whether another instance may have sent them.
    pub(super) is_repeat: bool,
    /// How many of them may be left out where they would be late.
    pub(super) may_leave_out: usize,
    /// Whether these are all shards of the request, to be asked for wherever that is best.
    pub(super) is_whole: bool,
}

/// The end of a question to another instance.
pub(super) struct RelayEnd {
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
        let mut peers = self.sound_peers();
        let least_milli = self.view.capacity_milli.saturating_mul(LARGER_BY);
        peers.retain(|p| p.capacity_milli >= least_milli);
        router.best_peer(&peers, &router.zone, rand::random())
    }

    /// Asks an instance of the own zone for all shards.
    pub(super) fn hand_over(&mut self, peer: &Peer) {
        let all = (0..self.shards.len()).collect();
        let may_leave_out = self.may_miss();
        self.ask(peer, all, Ask { is_repeat: false, may_leave_out, is_whole: true });
    }

    /// Sends all shards: some directly, some by way of other instances.
    ///
    /// `is_repeat` if a third one may have sent them.
    pub(super) fn ask_all(&mut self, is_repeat: bool) {
        let groups = self.groups();
        let may_leave_out = self.share_misses(&groups);
        let mut is_asked: Vec<bool> =
            self.shards.iter().map(|s| s.state == ShardState::LeftOut).collect();
        for ((peer, shards), may_leave_out) in groups.into_iter().zip(may_leave_out) {
            for &shard in &shards {
                is_asked[shard] = true;
            }
            self.ask(&peer, shards, Ask { is_repeat, may_leave_out, is_whole: false });
        }
        for index in (0..self.shards.len()).filter(|&i| !is_asked[i]) {
            self.send_for_peer(index, is_repeat);
        }
    }

    /// How many of its shards each of those who are asked may leave out.
    fn share_misses(&self, groups: &[(Peer, Vec<usize>)]) -> Vec<usize> {
        let mut sizes: Vec<usize> = groups.iter().map(|(_, shards)| shards.len()).collect();
        let open = self.shards.iter().filter(|s| s.state == ShardState::Open).count();
        // What is sent from here may be late as well.
        sizes.push(open - sizes.iter().sum::<usize>());
        admission::share_misses(self.may_miss(), &sizes)
    }

    /// Shards that are best asked for elsewhere, with the instance to ask.
    fn groups(&self) -> Vec<(Peer, Vec<usize>)> {
        // One that is tried on one replica at a time is sent from here only: each of those who
        // are asked would try it on one.
        if self.shards.len() == 1 || self.view.peers.is_empty() || self.is_suspect() {
            return Vec::new();
        }
        let peers = self.sound_peers();
        let open = (0..self.shards.len()).filter(|&i| self.shards[i].state == ShardState::Open);
        self.assign(open, &self.router.zone, &peers)
    }

    /// Some shards with the instances to ask for them, those in the zone `first` first.
    pub(super) fn assign(
        &self,
        shards: impl IntoIterator<Item = usize>,
        first: &str,
        peers: &[&Peer],
    ) -> Vec<(Peer, Vec<usize>)> {
        let router = self.router;
        let is_sliced = |zone: &str| self.view.is_sliced(zone);
        let zones = |index: usize| self.relay_zones(&self.shards[index], peers);
        let places = shards.into_iter().map(|index| (index, zones(index)));
        let places = places.filter(|(_, zones)| !zones.is_empty()).collect();
        let turn = rand::random();
        let least = if is_sliced(&router.zone) { 1 } else { LEAST_GROUP };
        let mut asked = Vec::new();
        for group in relays::group(places, first, least, turn) {
            if is_sliced(group.zone) {
                asked.extend(self.by_owner(&group, peers));
            } else if let Some(peer) = router.best_peer(peers, group.zone, turn) {
                asked.push((peer.clone(), group.shards));
            }
        }
        asked
    }

    /// Splits a large zone's shards among those that gather them; the own ones are left.
    fn by_owner(&self, group: &Group<'_>, peers: &[&Peer]) -> Vec<(Peer, Vec<usize>)> {
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
        let is_any_open = allowed.clone().any(|r| self.is_open_here(r));
        let replicas = allowed.filter(|r| !is_any_open || self.is_open_here(r));
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
    pub(super) fn ask(&mut self, peer: &Peer, shards: Vec<usize>, ask: Ask) {
        let now_ms = self.router.shared.now_ms();
        let check_ms = self.route_state.relay_check_after_ms(self.route.target_latency_ms);
        for &index in &shards {
            // Those that were drawn for another instance stay: it may have sent to them.
            let drawn = self.shards[index].allowed.take();
            let allowed = drawn.unwrap_or_else(|| self.draw(index, &peer.zone));
            let shard = &mut self.shards[index];
            shard.in_flight += 1;
            shard.allowed = Some(allowed);
        }
        let at_ms = now_ms + check_ms;
        self.checks.push(Check { peer: peer.clone(), shards: shards.clone(), at_ms });
        let question = self.question(&shards, now_ms, ask);
        let time_left = Duration::from_millis(self.times.limit_at_ms.saturating_sub(now_ms));
        let offered = Offered::default();
        self.offers.push(offered.clone());
        let asking = Rc::clone(self.router).ask_peer(
            peer.clone(),
            question,
            time_left,
            Rc::clone(&self.route_state),
            offered.clone(),
        );
        let land = self.land.clone();
        let (peer, zone) = (Arc::clone(&peer.name), Arc::clone(&peer.zone));
        self.gathered.relays += 1;
        self.flights.questions.push(actix_rt::spawn(async move {
            let result = asking.await;
            if has_not_run(&result) {
                offered.clear();
            }
            let end = RelayEnd { peer, zone, shards, is_whole: ask.is_whole, result };
            // Nobody listens once the answer has gone out.
            let _is_late = land.send(Landed::Relay(end)).is_err();
        }));
    }

    /// Marks of the replicas that a shard asked for in `zone` may be sent to.
    fn draw(&self, index: usize, zone: &str) -> Vec<u32> {
        let all: Vec<_> = self.replicas(&self.shards[index].service).collect();
        let places: Vec<Place<'_>> = all.iter().map(|r| self.place(r)).collect();
        let request = rendezvous::hash(self.request.id_text());
        let drawn = relays::allowed(&places, zone, self.route.attempts, request);
        drawn.into_iter().map(|i| relays::mark(&all[i].id)).collect()
    }

    fn place(&self, replica: &'a ReplicaEntry) -> Place<'a> {
        let is_slow = self.router.is_slow(relays::mark(&replica.id)) || !self.is_open_here(replica);
        Place { id: &replica.id, zone: &replica.zone, is_slow }
    }

    fn question(&self, shards: &[usize], now_ms: u64, ask: Ask) -> Body {
        let Ask { is_repeat, may_leave_out, is_whole } = ask;
        let request = self.request;
        let until_target_ms = self.times.target_at_ms.saturating_sub(now_ms);
        let time_left_ms = self.times.limit_at_ms.saturating_sub(now_ms);
        // Once the target is out of reach, whatever comes before the limit will do.
        let answer_within_ms = if until_target_ms >= LEAST_ANSWER_MS + RETURN_MS {
            until_target_ms - RETURN_MS
        } else {
            time_left_ms.saturating_sub(RETURN_MS)
        };
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| wire::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec().into(),
        };
        let service = |&i: &usize| self.shards[i].service.to_string();
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
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
            attempts: number(self.route.attempts),
            top_k: number(self.route.top_k),
            time_left_ms,
            answer_within_ms,
            target_latency_ms: self.route.target_latency_ms,
            is_repeat,
            may_miss: number(self.may_miss()),
            misses_of_others: number(self.may_miss().saturating_sub(may_leave_out)),
            is_whole,
            // Zero stands for "does not say".
            sent_ms: now_ms.max(1),
            report: self.router.report_on(request.fingerprint()),
            home_regions: self.route.home_regions.iter().map(ToString::to_string).collect(),
        })
    }
}

/// Whether nothing of a question can have reached a replica.
fn has_not_run(result: &Result<wire::Gathered, PeerError>) -> bool {
    match result {
        Ok(answer) => !answer.may_have_run && answer.parts.is_empty(),
        Err(error) => matches!(error, PeerError::NotReached(_)),
    }
}
