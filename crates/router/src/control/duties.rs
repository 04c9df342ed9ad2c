//! What this instance does for others, by who there is: the same is worked out everywhere.

use std::collections::HashMap;

use eelgrasspier_decide::contacts;
use eelgrasspier_decide::gatherers;
use eelgrasspier_decide::membership::{Liveness, Member, State};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::watchers::{self, Candidate};

use super::Control;
use crate::view::Peer;

/// Instances that are assumed until the store's entries were read: more than most deployments
/// have in a few zones.
const ASSUMED_INSTANCES: u64 = 16;
/// Age of the process from which gossip has joined the fleet, in milliseconds: 200 instances
/// that all start at once know each other after some seconds.
const SETTLED_AFTER_MS: u64 = 10_000;

impl Control {
    /// Whether this instance has one of the duties that follow from who there is.
    fn has_duty(&self, is_chosen: fn(Candidate, &[Candidate]) -> bool) -> bool {
        let membership = self.membership.borrow();
        let candidate = |m: &Member| Candidate {
            key: m.key(),
            zone: rendezvous::hash(&m.zone),
            is_store_reached: m.is_store_reached,
        };
        let others: Vec<Candidate> =
            membership.alive().filter(|m| m.state() != State::Left).map(candidate).collect();
        is_chosen(candidate(membership.own()), &others)
    }

    /// Whether this instance watches the store.
    pub(super) fn is_watcher(&self) -> bool {
        self.has_duty(watchers::is_watcher)
    }

    /// Whether it finds out, with a few others, when an outage of the store is over.
    pub(super) fn is_finder(&self) -> bool {
        self.has_duty(watchers::is_finder)
    }

    /// Whether it fetches changes for its zone.
    pub(super) fn is_fetcher(&self) -> bool {
        self.has_duty(watchers::is_fetcher)
    }

    /// Whether it has an entry in the store, by which those that start find the others.
    pub(super) fn is_contact(&self) -> bool {
        self.has_duty(contacts::is_contact)
    }

    /// Instances that share connections and repeats, this one included.
    ///
    /// After a restart of all, each at first knows only itself and would take the whole
    /// slack for its own: together they would send many times what is allowed, in the very
    /// seconds in which most sends fail. Until gossip has joined them, as many are assumed as
    /// the store's entries say, or some before these were read.
    pub(super) fn instances(&self) -> u64 {
        let known = u64::try_from(self.membership.borrow().alive_count()).unwrap_or(u64::MAX);
        if self.shared.now_ms() >= SETTLED_AFTER_MS {
            return known;
        }
        known.max(self.listed_fleet.get().unwrap_or(ASSUMED_INSTANCES))
    }

    /// Instances of a zone that gather for the others.
    fn gatherers(&self, zone: &str) -> Vec<u64> {
        let membership = self.membership.borrow();
        let own = std::iter::once(membership.own());
        let candidate =
            |m: &Member| gatherers::Candidate { key: m.key(), capacity_milli: m.capacity_milli };
        let all =
            own.chain(membership.alive().filter(|m| is_serving(m))).filter(|m| m.zone == zone);
        gatherers::choose(zone, &all.map(candidate).collect::<Vec<_>>())
    }

    pub(super) fn is_gatherer(&self) -> bool {
        let own = self.membership.borrow().own().key();
        self.gatherers(&self.identity.zone).contains(&own)
    }

    /// The other instances that serve.
    pub(super) fn peers(&self) -> Vec<Peer> {
        let membership = self.membership.borrow();
        let serving: Vec<&Member> = membership.alive().filter(|m| is_serving(m)).collect();
        let mut chosen: HashMap<&str, Vec<u64>> = HashMap::new();
        for member in &serving {
            chosen.entry(&member.zone).or_insert_with(|| self.gatherers(&member.zone));
        }
        let peer = |m: &&Member| {
            let is_gatherer = chosen.get(m.zone.as_str()).is_some_and(|c| c.contains(&m.key()));
            Some(Peer {
                name: m.name.as_str().into(),
                addr: m.peer_addr.parse().ok()?,
                zone: m.zone.as_str().into(),
                is_gatherer,
                capacity_milli: m.capacity_milli,
            })
        };
        serving.iter().filter_map(peer).collect()
    }
}

fn is_serving(member: &Member) -> bool {
    member.state() == State::Ready && member.liveness() == Liveness::Alive
}
