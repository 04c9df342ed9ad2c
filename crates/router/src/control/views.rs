//! Builds the views for the traffic thread: replicas, instances and limits on sends.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fleet_limit::GathererStability;
use eelgrasspier_decide::mirror::Mirror;
use eelgrasspier_store::CollectionKind;

use super::Control;
use crate::view::{Peer, ReplicasByService, View};

impl Control {
    /// Rebuilds the list of replicas that accept new requests.
    ///
    /// Called only when entries change: members change more often, and a view of 400 replicas takes
    /// most of its time for this list.
    pub(super) fn rebuild_replicas(&self) {
        let mut replicas = ReplicasByService::new();
        let evacuations = self.evacuations.borrow();
        let accepts_requests =
            |e: &&Arc<ReplicaEntry>| !e.is_draining && !evacuations.is_evacuated(&e.zone);
        for entry in self.directory.borrow().entries().filter(accepts_requests) {
            replicas.entry(Arc::clone(&entry.service)).or_default().push(Arc::clone(entry));
        }
        *self.cold_until_ms.borrow_mut() = Arc::new(self.cold_replicas(&replicas));
        *self.replicas.borrow_mut() = Arc::new(replicas);
    }

    /// Returns until when replicas are cold, or presumed so, for services that limit cold replicas.
    fn cold_replicas(&self, replicas: &ReplicasByService) -> HashMap<Arc<str>, u64> {
        let now_ms = self.shared.now_ms();
        let (configuration, directory) = (self.configuration.borrow(), self.directory.borrow());
        let evacuations = self.evacuations.borrow();
        let mut cold = HashMap::new();
        let Some(configuration) = configuration.as_ref() else { return cold };
        for (service, all) in replicas {
            let limits = configuration.services.get(service);
            let Some(limits) = limits.filter(|l| l.cold_rate_milli > 0) else { continue };
            for replica in all {
                let reported_ms = directory.warm_at_ms(replica);
                let presumed_ms = evacuations.warm_at_ms(&replica.zone, limits.warm_up_ms);
                let until_ms = reported_ms.max(presumed_ms.unwrap_or(0));
                if until_ms > now_ms {
                    cold.insert(Arc::clone(&replica.id), until_ms);
                }
            }
        }
        cold
    }

    /// Updates the set of gathering instances of each zone, this instance included.
    fn update_gatherers(&self, peers: &[Peer], is_gatherer: bool) -> Arc<GathererStability> {
        let mut keys: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        for peer in peers.iter().filter(|p| p.is_gatherer) {
            keys.entry(Arc::clone(&peer.zone)).or_default().push(peer.gather_candidate().key);
        }
        if is_gatherer {
            let own = self.membership.borrow().own().key();
            keys.entry(self.identity.zone.as_str().into()).or_default().push(own);
        }
        let mut gatherer_stability = self.gatherer_stability.borrow_mut();
        gatherer_stability.update(keys, self.shared.now_ms());
        Arc::new(gatherer_stability.clone())
    }

    /// True if the numbers of instances differ from those in the published view.
    ///
    /// They also change with the age of the process, without any change of a record.
    pub(super) fn has_fleet_size_changed(&self) -> bool {
        let view = self.shared.view.load();
        (view.instance_count, view.fleet_size) != (self.instances(), self.fleet_size())
    }

    pub(super) fn publish(&self) {
        self.has_member_changes.set(false);
        let peers = self.peers();
        let remote_addrs = peers.iter().filter(|p| *p.zone != *self.identity.zone).map(|p| p.addr);
        *self.remote_zone_addrs.borrow_mut() = remote_addrs.collect();
        let mirrors = self.mirrors.borrow();
        let is_listed = |kind| mirrors.get(&kind).is_some_and(Mirror::has_full_list);
        // A starting instance must not send to a zone that was evacuated before. A restored store
        // may also have an older configuration than the one in force at the other instances.
        let has_confirmed_replicas = self.is_confirmed.get()
            && is_listed(CollectionKind::Replicas)
            && (!self.identity.is_evacuation_enabled || is_listed(CollectionKind::Evacuations));
        let is_gatherer = self.is_gatherer();
        let gatherer_stability = self.update_gatherers(&peers, is_gatherer);
        let view = View {
            configuration: self.configuration.borrow().clone(),
            route_table: Arc::clone(&self.route_table.borrow()),
            replicas: Arc::clone(&self.replicas.borrow()),
            has_confirmed_replicas,
            instance_count: self.instances(),
            fleet_size: self.fleet_size(),
            is_gatherer,
            gatherer_stability,
            cold_until_ms: Arc::clone(&self.cold_until_ms.borrow()),
            capacity_milli: self.identity.capacity_milli,
            peers: Arc::new(peers),
            ..View::default()
        };
        self.set_ready(view.is_ready());
        self.shared.publish(view.with_derived_fields(&self.identity.zone));
    }
}
