//! How many connections to which replicas, and opening them ahead of use.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use eelgrasspier_decide::directory::ReplicaEntry;

use crate::router::{Router, peer_key};
use crate::view::View;

/// Connections to a replica that each instance may open whatever the others do.
const LEAST_CONNECTIONS: u32 = 1;
/// Part of a replica's connections for the instances of its own zone, in hundredths; they
/// send it most of its requests, the others hedges only.
const NEAR_PERCENT: u32 = 60;
/// Part for all other instances, in hundredths. Rounding down leaves room for instances
/// that start while connections of others that have just died still count.
const FAR_PERCENT: u32 = 40;
/// Of the instances not heard of yet, one in this many is assumed in any one zone.
const UNKNOWN_IN_ZONE_DIVISOR: u32 = 4;

impl Router {
    /// Whether a request could be sent to a replica at once.
    pub(crate) fn has_room(&self, view: &View, replica: &ReplicaEntry) -> bool {
        self.backend.has_room(&replica.id, self.most_connections(view, replica))
    }

    /// Connections that this instance may open to a replica.
    pub(crate) fn most_connections(&self, view: &View, replica: &ReplicaEntry) -> u32 {
        let limits = view.configuration.as_ref().and_then(|c| c.services.get(&replica.service));
        let all = limits.map_or(LEAST_CONNECTIONS, |l| l.max_connections);
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        // Instances that this one has not heard of yet hold connections too.
        let unknown = number(usize::try_from(view.instances).unwrap_or(usize::MAX))
            .saturating_sub(number(view.peers.len()) + 1);
        let is_sliced = view.is_sliced(&replica.zone, &self.zone);
        let gatherers = view.peers.iter().filter(|p| p.is_gatherer);
        let near_peers = number(gatherers.clone().filter(|p| p.zone == replica.zone).count());
        let far_peers = number(gatherers.count()) - near_peers;
        let is_near = self.zone == replica.zone && view.is_gatherer;
        let (percent, instances) = if is_near {
            (NEAR_PERCENT, near_peers + 1 + unknown.div_ceil(UNKNOWN_IN_ZONE_DIVISOR))
        } else if is_sliced {
            // In each zone one instance gathers the shard; the others send next to nothing.
            (FAR_PERCENT, far_peers.div_ceil(near_peers.max(1)) * 2 + 1 + unknown)
        } else {
            (FAR_PERCENT, far_peers + 1 + unknown)
        };
        (all * percent / 100 / instances.max(1)).max(LEAST_CONNECTIONS)
    }

    /// Follows the views: forgets replicas that are gone, connects to new ones.
    pub(crate) async fn follow_views(self: Rc<Self>) {
        let mut known: HashSet<Arc<str>> = HashSet::new();
        loop {
            let view = self.shared.view.load_full();
            let entries = || view.replicas.values().flatten();
            let ids: HashSet<Arc<str>> = entries().map(|e| Arc::clone(&e.id)).collect();
            self.backend.retain(&ids);
            let is_peer = |id: &Arc<str>| view.peers.iter().any(|p| peer_key(&p.name) == *id);
            self.standings.borrow_mut().retain(|id, _| ids.contains(id) || is_peer(id));
            if view.configuration.is_some() {
                // Far replicas are asked by way of others, but for a hedge now and then.
                let is_own =
                    |e: &Arc<ReplicaEntry>| e.zone == self.zone && self.gathers(&view, &e.service);
                let is_new = |e: &&Arc<ReplicaEntry>| !known.contains(&e.id) && is_own(e);
                for entry in entries().filter(is_new) {
                    self.warm(&view, entry);
                }
                known = if view.is_gatherer { ids } else { HashSet::new() };
            }
            self.shared.has_changed.notified().await;
        }
    }

    fn warm(&self, view: &View, entry: &Arc<ReplicaEntry>) {
        let most = self.most_connections(view, entry);
        let warming = self.backend.warm(Arc::clone(entry), most);
        let id = Arc::clone(&entry.id);
        actix_rt::spawn(async move {
            if let Err(error) = warming.await {
                log::info!("event=not_warmed replica={id} cause={error:?}");
            }
        });
    }
}
