//! Asking another instance, beside the replicas, for the merged parts of several shards.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_decide::relays::{self, Group, LEAST_GROUP, Place};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{self, Body};

use super::{Gather, Landed, MergedParts, ShardState};
use crate::view::Peer;

/// Kept of the target time for the other instance's answer to come back.
const RETURN_MS: u64 = 3;
/// Time that an answer needs at least for the detour to be worth it.
const LEAST_ANSWER_MS: u64 = 8;

/// Time in which an instance says that it is alive; a way there and back within a region
/// takes up to 6 ms.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(10);

/// When an instance is asked whether it answers at all.
///
/// A late answer has two causes. Mostly a shard is late, and the instance sends second
/// requests itself: to send them from here too took three times the budget for repeats.
/// But it may be frozen or cut off, and then all its shards must be asked from here.
pub(super) struct Check {
    peer: Peer,
    shards: Vec<usize>,
    pub(super) at_ms: u64,
}

/// The end of a question to another instance.
pub(super) struct RelayEnd {
    peer: Arc<str>,
    zone: Arc<str>,
    shards: Vec<usize>,
    result: Result<wire::Gathered, PeerError>,
}

impl<'a> Gather<'a> {
    /// Sends all shards: some directly, some by way of other instances.
    pub(super) fn ask_all(&mut self) {
        let groups = self.groups();
        let mut is_asked = vec![false; self.shards.len()];
        for (peer, shards) in groups {
            for &shard in &shards {
                is_asked[shard] = true;
            }
            self.ask(&peer, shards, false);
        }
        for index in (0..self.shards.len()).filter(|&i| !is_asked[i]) {
            self.send_first(index);
        }
    }

    /// Shards that are best asked for elsewhere, with the instance to ask.
    fn groups(&self) -> Vec<(Peer, Vec<usize>)> {
        if self.shards.len() == 1 || self.view.peers.is_empty() {
            return Vec::new();
        }
        let peers = self.router.sound_peers(self.view);
        self.assign(0..self.shards.len(), &self.router.zone, &peers)
    }

    /// Some shards with the instances to ask for them, those in the zone `first` first.
    fn assign(
        &self,
        shards: impl IntoIterator<Item = usize>,
        first: &str,
        peers: &[&Peer],
    ) -> Vec<(Peer, Vec<usize>)> {
        let router = self.router;
        let is_sliced = |zone: &str| self.view.is_sliced(zone, &router.zone);
        let zones = |index: usize| self.relay_zones(&self.shards[index].service, peers);
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

    /// Zones in which an instance could ask a replica of `service`; none if the own zone
    /// has one, or if the best replica is so much better that it is asked directly.
    fn relay_zones<'p>(&self, service: &str, peers: &[&'p Peer]) -> Vec<&'p str> {
        let replicas = self.replicas(service);
        if self.router.gathers(self.view, service)
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

    /// Asks an instance for some shards; `is_repeat` if another one may have sent them.
    fn ask(&mut self, peer: &Peer, shards: Vec<usize>, is_repeat: bool) {
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
        let question = self.question(&shards, now_ms, is_repeat);
        let time_left = Duration::from_millis(self.times.limit_at_ms.saturating_sub(now_ms));
        let asking = Rc::clone(self.router).ask_peer(
            peer.clone(),
            question,
            time_left,
            Rc::clone(&self.route_state),
        );
        let land = self.land.clone();
        let (peer, zone) = (Arc::clone(&peer.name), Arc::clone(&peer.zone));
        self.gathered.relays += 1;
        self.flights.0.push(actix_rt::spawn(async move {
            let end = RelayEnd { peer, zone, shards, result: asking.await };
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
        let is_slow = self.router.is_slow(relays::mark(&replica.id));
        Place { id: &replica.id, zone: &replica.zone, is_slow }
    }

    fn question(&self, shards: &[usize], now_ms: u64, is_repeat: bool) -> Body {
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
        })
    }

    pub(super) fn check_due(&mut self, now_ms: u64) {
        let is_due = |c: &mut Check| c.at_ms <= now_ms;
        let due: Vec<Check> = self.checks.extract_if(.., is_due).collect();
        for Check { peer, shards, .. } in due {
            if shards.iter().all(|&i| self.shards[i].state != ShardState::Open) {
                continue;
            }
            let router = Rc::clone(self.router);
            let land = self.land.clone();
            self.flights.0.push(actix_rt::spawn(async move {
                let is_alive = router.is_alive(&peer, ALIVE_TIMEOUT).await;
                // Nobody listens once the answer has gone out.
                let _is_late = land.send(Landed::Checked { peer, shards, is_alive }).is_err();
            }));
        }
    }

    pub(super) fn take_check(&mut self, peer: &Peer, shards: &[usize], is_alive: bool) {
        if is_alive {
            return;
        }
        let id = self.request.id_text();
        log::info!("event=relay_silent id={id} peer={} shards={}", peer.name, shards.len());
        self.router.note_silent(peer);
        for index in self.ask_another(&peer.name, &peer.zone, shards, true) {
            self.send_again(index, "relay_silent");
        }
    }

    /// Asks other instances in place of one that brings nothing; returns the shards that are
    /// left to send from here.
    ///
    /// An instance that does not gather has next to no part of the budget for repeats, since
    /// nearly all are sent by those who do: when one of them was lost, the requests that it
    /// worked for lost its shards, 1,788 sends in two seconds with 35 of 77 instances killed.
    /// The one that is asked now pays. Each shard moves once.
    fn ask_another(
        &mut self,
        lost: &str,
        zone: &str,
        shards: &[usize],
        is_repeat: bool,
    ) -> Vec<usize> {
        let is_open = |i: &&usize| self.shards[**i].state == ShardState::Open;
        let open: Vec<usize> = shards.iter().filter(is_open).copied().collect();
        if !self.view.is_sliced(zone, &self.router.zone) {
            return open;
        }
        let mut peers = self.router.sound_peers(self.view);
        peers.retain(|p| &*p.name != lost);
        let fresh = open.iter().copied().filter(|&i| !self.shards[i].was_moved);
        let moved = self.assign(fresh.collect::<Vec<_>>(), zone, &peers);
        let mut left: BTreeSet<usize> = open.into_iter().collect();
        for (peer, shards) in moved {
            let (id, count) = (self.request.id_text(), shards.len());
            log::info!(
                "event=relay_replaced id={id} lost={lost} peer={} shards={count}",
                peer.name
            );
            for &index in &shards {
                left.remove(&index);
                self.shards[index].was_moved = true;
            }
            self.ask(&peer, shards, is_repeat);
        }
        left.into_iter().collect()
    }

    pub(super) fn take_relay(&mut self, end: RelayEnd) {
        let RelayEnd { peer, zone, shards, result } = end;
        for &index in &shards {
            self.shards[index].in_flight -= 1;
        }
        match result {
            Ok(answer) => self.take_merged(&shards, answer),
            Err(error) => {
                let id = self.request.id_text();
                log::info!("event=relay_failed id={id} peer={peer} cause=\"{error}\"");
                let was_sent = !matches!(error, PeerError::NotReached(_));
                self.gathered.may_have_run |= was_sent;
                for index in self.ask_another(&peer, &zone, &shards, was_sent) {
                    self.recover_relayed(index, was_sent);
                }
            }
        }
    }

    fn take_merged(&mut self, shards: &[usize], answer: wire::Gathered) {
        let wire::Gathered { records, parts, may_have_run, slow } = answer;
        self.router.note_slow(&slow);
        self.gathered.may_have_run |= may_have_run || !parts.is_empty();
        let position = |part: wire::Signed| {
            let shard = shards.get(usize::try_from(part.shard).ok()?)?;
            Some((*shard, part.signature))
        };
        let parts: Vec<_> = parts.into_iter().filter_map(position).collect();
        // Two instances were asked where one was silent. A merged answer can't be taken apart,
        // and a shard that is in twice would make the whole answer wrong.
        if parts.iter().any(|(index, _)| self.gathered.has_merged(*index)) {
            return shards.iter().for_each(|&index| self.settle(index));
        }
        for &(index, _) in &parts {
            self.shards[index].state = ShardState::Covered;
        }
        self.gathered.merged.push(MergedParts { records, parts });
        for &index in shards {
            self.recover_relayed(index, true);
        }
    }

    /// Asks a replica directly for a shard that the other instance did not bring.
    fn recover_relayed(&mut self, index: usize, was_sent: bool) {
        let shard = &mut self.shards[index];
        if shard.state != ShardState::Open {
            return;
        }
        if was_sent {
            self.recover(index, true);
        } else {
            shard.allowed = None;
            self.send_first(index);
        }
    }
}
