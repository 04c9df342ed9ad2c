//! Connections that were lost with a request in progress: whether their replica has ended.
//!
//! A lost connection has many causes: a replica resets those beyond its cap, ends an answer
//! midway, or its process ends. Only the last is a reason to suspect the request, and only
//! another connection shows it: nothing listens any more.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fingerprint::Fingerprint;

use crate::model::Request;
use crate::router::Router;

/// Time for which what was found out of a replica holds for other losses, in milliseconds: the
/// connections of a process that has ended are lost within a few milliseconds of each other,
/// and it takes longer to start again.
const FINDING_LIFE_MS: u64 = 500;

/// Connections to one replica that were lost at about the same time.
#[derive(Debug)]
struct Loss {
    at_ms: u64,
    /// Requests that were in progress and not answered by anybody.
    fingerprints: Vec<Fingerprint>,
}

/// Replicas that have just lost requests.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    by_replica: HashMap<Arc<str>, Loss>,
}

impl Losses {
    /// Notes one more; returns whether it is the first at its replica.
    fn add(&mut self, replica: &Arc<str>, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.by_replica.retain(|_, loss| now_ms < loss.at_ms + FINDING_LIFE_MS);
        let is_first = !self.by_replica.contains_key(replica);
        let fresh = || Loss { at_ms: now_ms, fingerprints: Vec::new() };
        let loss = self.by_replica.entry(Arc::clone(replica)).or_insert_with(fresh);
        if !loss.fingerprints.contains(&fingerprint) {
            loss.fingerprints.push(fingerprint);
        }
        is_first
    }

    fn fingerprints(&self, replica: &str) -> &[Fingerprint] {
        self.by_replica.get(replica).map_or(&[], |loss| &loss.fingerprints)
    }
}

impl Router {
    /// Notes that the connection on which `request` was in progress at `replica` was lost.
    ///
    /// Only of a request that nobody has answered yet: one that was answered does not end
    /// replicas, and most losses are no end, so that few are looked into.
    pub(crate) fn note_lost(self: &Rc<Self>, request: &Request, replica: &Arc<ReplicaEntry>) {
        if request.learnt.is_answered.get() {
            return;
        }
        let now_ms = self.shared.now_ms();
        let is_first = self.losses.borrow_mut().add(&replica.id, request.fingerprint(), now_ms);
        if is_first {
            let (router, replica) = (Rc::clone(self), Arc::clone(replica));
            actix_rt::spawn(async move { router.check_loss(&replica).await });
        }
    }

    async fn check_loss(&self, replica: &Arc<ReplicaEntry>) {
        let view = self.shared.view.load_full();
        let accepted = view.accepted_connections(&replica.service);
        let most = view.most_connections(&replica.zone, accepted);
        let listens = match self.backend.reach(Arc::clone(replica), most).await {
            Ok(()) => "yes",
            Err(PartFailure::NotListening) => "no",
            Err(_) => "unknown",
        };
        metrics::counter!("eelgrasspier_losses_checked_total", "listens" => listens).increment(1);
        let losses = self.losses.borrow();
        let fingerprints: Vec<String> =
            losses.fingerprints(&replica.id).iter().map(ToString::to_string).collect();
        log::info!(
            "event=loss_checked replica={} service={} listens={listens} fingerprints=[{}]",
            replica.id,
            replica.service,
            fingerprints.join(",")
        );
    }
}
