//! Roles of this instance, which every instance derives from the same member table.

use std::collections::HashMap;

use eelgrasspier_decide::gatherers;
use eelgrasspier_decide::membership::{Liveness, Member};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_decide::store_contacts;
use eelgrasspier_decide::watchers::{self, Candidate};

use super::Control;
use crate::view::Peer;

/// Fleet size assumed until the store's entries are read.
///
/// It exceeds most deployments in a few zones.
const DEFAULT_INSTANCES: u64 = 16;
/// Process age from which the member table counts as complete, in milliseconds.
///
/// When 200 instances all start at once they know each other after some seconds.
const GOSSIP_SETTLED_AGE_MS: u64 = 10_000;

impl Control {
    /// True if `is_chosen` selects this instance among the live members.
    fn has_role(&self, is_chosen: fn(Candidate, &[Candidate]) -> bool) -> bool {
        let (own, others) = self.role_candidates();
        is_chosen(own, &others)
    }

    /// Returns this instance and the other live ones as candidates for roles.
    pub(super) fn role_candidates(&self) -> (Candidate, Vec<Candidate>) {
        let membership = self.membership.borrow();
        let health = self.watcher_health.borrow();
        let candidate = |m: &Member| Candidate {
            key: m.key(),
            zone: rendezvous::hash(&m.zone),
            is_store_reached: m.is_store_reached,
            is_responsive: m.may_hold_roles() && health.is_responsive(m.key()),
        };
        (candidate(membership.own()), membership.live_peers().map(candidate).collect())
    }

    /// True if this instance watches the store.
    pub(super) fn is_watcher(&self) -> bool {
        self.has_role(watchers::is_watcher)
    }

    /// Wakes the tasks that depend on roles, and logs if this instance starts or stops watching.
    pub(super) fn update_roles(&self) {
        let is_watcher = self.is_watcher();
        if self.was_watcher.replace(is_watcher) != is_watcher {
            let membership = self.membership.borrow();
            let count = |is_counted: fn(&&Member) -> bool| {
                membership.live_peers().filter(is_counted).count()
            };
            log::info!(
                "event=watch_role watching={is_watcher} live={} suspected={} without_store={}",
                membership.live_count(),
                count(|m| m.liveness() == Liveness::Suspect),
                count(|m| !m.is_store_reached)
            );
        }
        self.roles_changed.notify_waiters();
    }

    /// True if this instance is one of the few that probe for the end of a store outage.
    pub(super) fn is_outage_prober(&self) -> bool {
        self.has_role(watchers::is_outage_prober)
    }

    /// True if this instance fetches changes from other zones for its own.
    pub(super) fn is_fetcher(&self) -> bool {
        self.has_role(watchers::is_fetcher)
    }

    /// True if this instance keeps an entry in the store, by which starting instances find others.
    pub(super) fn is_contact(&self) -> bool {
        self.has_role(store_contacts::is_contact)
    }

    /// Returns the number of instances that share connections and retries, this one included.
    ///
    /// After a restart of the whole fleet each instance at first knows only itself. If each used
    /// the whole retry slack, together they would send many times the limit, just when most sends
    /// fail. Until gossip has connected them, the number in the store's entries is used, or a
    /// default before these are read.
    pub(super) fn instances(&self) -> u64 {
        let known = u64::try_from(self.membership.borrow().live_count()).unwrap_or(u64::MAX);
        if self.shared.now_ms() >= GOSSIP_SETTLED_AGE_MS {
            return known;
        }
        known.max(self.listed_fleet_size.get().unwrap_or(DEFAULT_INSTANCES))
    }

    /// Returns the number of all instances, including those that this one doesn't know.
    pub(super) fn fleet_size(&self) -> u64 {
        self.instances().max(self.listed_fleet_size.get().unwrap_or(0))
    }

    /// Returns the keys of the instances that gather for others in a zone.
    fn gatherers(&self, zone: &str) -> Vec<u64> {
        let membership = self.membership.borrow();
        let own = std::iter::once(membership.own());
        let candidate =
            |m: &Member| gatherers::Candidate { key: m.key(), capacity_milli: m.capacity_milli };
        let all = own
            .chain(membership.live_peers().filter(|m| m.is_serving()))
            .filter(|m| m.zone == zone);
        gatherers::select_gatherers(zone, &all.map(candidate).collect::<Vec<_>>())
    }

    pub(super) fn is_gatherer(&self) -> bool {
        let own = self.membership.borrow().own().key();
        self.gatherers(&self.identity.zone).contains(&own)
    }

    /// Returns the other instances that are serving.
    pub(super) fn peers(&self) -> Vec<Peer> {
        let membership = self.membership.borrow();
        let serving: Vec<&Member> = membership.live_peers().filter(|m| m.is_serving()).collect();
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
