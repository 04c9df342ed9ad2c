//! Finds out whether a replica that lost a request has crashed.

use std::rc::Rc;
use std::sync::Arc;

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::lost_sends::{LostSend, ServerState};
use eelgrasspier_decide::{relays, rendezvous};

use crate::model::Request;
use crate::router::Router;

impl Router {
    /// Records that the connection on which `request` was in progress at `replica` was lost.
    ///
    /// Only losses of unanswered requests are recorded: a request that has been answered does not
    /// crash replicas, and most losses are not crashes, so that few of them need a probe.
    pub(crate) fn record_loss(self: &Rc<Self>, request: &Request, replica: &Arc<ReplicaEntry>) {
        let replica_hash = rendezvous::hash(&replica.id);
        if request.progress.is_answered.get() {
            let now_ms = self.shared.now_ms();
            let mut lost_sends = self.lost_sends.borrow_mut();
            return lost_sends.record_answered_loss(replica_hash, request.fingerprint(), now_ms);
        }
        request.progress.was_lost.set(true);
        let send_id = relays::replica_hash(&format!("{} {}", request.id_text(), replica.id));
        let trial = request.progress.trial_on(&replica.id);
        let is_restarted = trial.as_ref().is_some_and(|t| t.is_restarted);
        let lost = LostSend {
            request: request.fingerprint(),
            send_id,
            crash_id: if is_restarted { send_id } else { replica.crash_id() },
            is_trial: trial.is_some(),
        };
        let known =
            self.lost_sends.borrow_mut().record_loss(replica_hash, lost, self.shared.now_ms());
        match known {
            ServerState::Unknown => {
                let (router, replica) = (Rc::clone(self), Arc::clone(replica));
                actix_rt::spawn(async move { router.probe_lost_replica(&replica).await });
            }
            ServerState::Crashed(crashed) => self.record_crash(crashed),
            ServerState::Checking | ServerState::Running => {}
        }
        self.record_unexplained();
    }

    async fn probe_lost_replica(&self, replica: &Arc<ReplicaEntry>) {
        let view = self.shared.view.load_full();
        let connection_limit = view.replica_connection_limit(&replica.service);
        let max_connections = view.connection_share(&replica.zone, connection_limit);
        let listens = match self.backend.check_listening(Arc::clone(replica), max_connections).await
        {
            Ok(()) => "yes",
            Err(PartFailure::NotListening) => "no",
            Err(_) => "unknown",
        };
        metrics::counter!("eelgrasspier_losses_checked_total", "listens" => listens).increment(1);
        let (replica_hash, now_ms) = (rendezvous::hash(&replica.id), self.shared.now_ms());
        let crashed =
            self.lost_sends.borrow_mut().record_server_state(replica_hash, listens == "no", now_ms);
        let requests: Vec<String> = crashed.iter().map(|e| e.request.to_string()).collect();
        let crash_id = crashed.first().map_or(0, |c| c.crash_id);
        let is_isolated = crashed.iter().any(|c| c.is_isolated);
        log::info!(
            "event=loss_checked replica={} service={} listens={listens} fingerprints=[{}] \
             crash={crash_id:08x} isolated={is_isolated}",
            replica.id,
            replica.service,
            requests.join(",")
        );
        for crashed in crashed {
            self.record_crash(crashed);
        }
        self.record_unexplained();
    }
}
