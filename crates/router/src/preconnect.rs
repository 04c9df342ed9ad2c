//! Opens connections before their first use and drops state of removed replicas.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use eelgrasspier_decide::directory::ReplicaEntry;

use crate::router::{Router, peer_key};
use crate::view::View;

impl Router {
    /// Follows the views: drops state of removed replicas and connects to new ones.
    pub(crate) async fn follow_views(self: Rc<Self>) {
        let mut connected: HashSet<Arc<str>> = HashSet::new();
        loop {
            let view = self.shared.view.load_full();
            let entries = || view.replicas.values().flatten();
            let ids: HashSet<Arc<str>> = entries().map(|e| Arc::clone(&e.id)).collect();
            self.backend.retain(&ids);
            self.prune_cold_sends();
            self.prune_retry_pools();
            self.update_limit_roles(&view);
            let peers: HashSet<Arc<str>> = view.peers.iter().map(|p| peer_key(&p.name)).collect();
            self.replica_stats.borrow_mut().retain(|id, _| ids.contains(id) || peers.contains(id));
            if view.configuration.is_some() {
                // Replicas of other zones are reached through their zones' instances, except for
                // occasional hedges.
                let is_connected_directly = |e: &Arc<ReplicaEntry>| {
                    e.zone == self.zone && self.holds_connections_to(&view, &e.service)
                };
                let is_new =
                    |e: &&Arc<ReplicaEntry>| !connected.contains(&e.id) && is_connected_directly(e);
                for entry in entries().filter(is_new) {
                    self.preconnect(&view, entry);
                }
                connected = if view.is_gatherer { ids } else { HashSet::new() };
            }
            self.shared.view_changed.notified().await;
        }
    }

    fn preconnect(&self, view: &View, entry: &Arc<ReplicaEntry>) {
        let max_connections =
            view.connection_share(&entry.zone, view.replica_connection_limit(&entry.service));
        let preconnecting = self.backend.preconnect(Arc::clone(entry), max_connections);
        let id = Arc::clone(&entry.id);
        actix_rt::spawn(async move {
            if let Err(error) = preconnecting.await {
                log::info!("event=not_warmed replica={id} cause={error:?}");
            }
        });
    }
}
