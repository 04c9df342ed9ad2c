//! Finds out whether a replica that lost a request has crashed.

use std::rc::Rc;
use std::sync::Arc;

use eelgrasspier_backend::PartFailure;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::lost_sends::{LostSend, ServerState};
use eelgrasspier_decide::{relays, rendezvous};
use http::uri::PathAndQuery;

use crate::model::Request;
use crate::router::Router;

impl Router {
    /// Records that the connection on which `request` was in progress at `replica` was lost.
    ///
    /// Only losses of unanswered requests are checked: a request that has been answered does not
    /// crash replicas, and most losses are not crashes, so that few of them need a probe.
    pub(crate) fn record_loss(self: &Rc<Self>, request: &Request, replica: &Arc<ReplicaEntry>) {
        if request.progress.is_answered.get() {
            let (replica_hash, now_ms) = (rendezvous::hash(&replica.id), self.shared.now_ms());
            let mut lost_sends = self.lost_sends.borrow_mut();
            return lost_sends.record_answered_loss(replica_hash, request.fingerprint(), now_ms);
        }
        if self.add_loss(request, replica, false) {
            let (router, replica) = (Rc::clone(self), Arc::clone(replica));
            actix_rt::spawn(async move { router.probe_lost_replica(&replica).await });
        }
    }

    /// Records that `replica` has not answered `request`, sent at `sent_ms`, by its deadline.
    ///
    /// It may be slow; the send counts as lost if the replica does not answer a health check either.
    pub(crate) fn record_silence(
        self: &Rc<Self>,
        request: &Request,
        replica: &Arc<ReplicaEntry>,
        sent_ms: u64,
    ) {
        let is_silent = self.stats(&replica.id).borrow().is_silent_since(sent_ms);
        if !is_silent
            || request.progress.is_answered.get()
            || !self.add_loss(request, replica, true)
        {
            return;
        }
        let (router, replica) = (Rc::clone(self), Arc::clone(replica));
        let fingerprint = request.fingerprint();
        actix_rt::spawn(async move {
            router.probe_silent_replica(&replica).await;
            router.publish_losses(fingerprint);
        });
    }

    /// Adds a lost send of an unanswered request; returns true if its replica must be checked.
    fn add_loss(&self, request: &Request, replica: &ReplicaEntry, is_silence: bool) -> bool {
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
        let (replica_hash, now_ms) = (rendezvous::hash(&replica.id), self.shared.now_ms());
        let known = if is_silence {
            self.lost_sends.borrow_mut().record_silence(replica_hash, lost, now_ms)
        } else {
            self.lost_sends.borrow_mut().record_loss(replica_hash, lost, now_ms)
        };
        if let ServerState::Crashed(crashed) = known {
            self.record_crash(crashed);
        }
        self.record_unexplained();
        known == ServerState::Unknown
    }

    async fn probe_lost_replica(&self, replica: &Arc<ReplicaEntry>) {
        let max_connections = self.max_connections(replica);
        let check = self.backend.check_listening(Arc::clone(replica), max_connections);
        let listens = match check.await {
            Ok(()) => "yes",
            Err(PartFailure::NotListening) => "no",
            Err(_) => "unknown",
        };
        metrics::counter!("eelgrasspier_losses_checked_total", "listens" => listens).increment(1);
        self.record_replica_state(replica, listens);
    }

    async fn probe_silent_replica(&self, replica: &Arc<ReplicaEntry>) {
        let view = self.shared.view.load_full();
        let limits = view.configuration.as_ref().and_then(|c| c.services.get(&replica.service));
        let path = limits.and_then(|l| l.health_path.parse().ok());
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let max_connections = self.max_connections(replica);
        let check = self.backend.check_answering(Arc::clone(replica), path, max_connections);
        let result = check.await;
        let answers = if result.is_ok() { "yes" } else { "no" };
        metrics::counter!("eelgrasspier_silences_checked_total", "answers" => answers).increment(1);
        log::info!(
            "event=silence_checked replica={} service={} answers={answers}",
            replica.id,
            replica.service
        );
        match result {
            // The check was not sent, so that the replica counts as slow.
            Ok(()) | Err(PartFailure::Crowded) => {
                let replica_hash = rendezvous::hash(&replica.id);
                self.lost_sends.borrow_mut().record_probe_answer(replica_hash);
            }
            Err(PartFailure::NotListening) => self.record_replica_state(replica, "no"),
            Err(_) => self.record_replica_state(replica, "unknown"),
        }
    }

    fn max_connections(&self, replica: &ReplicaEntry) -> u32 {
        let view = self.shared.view.load_full();
        let connection_limit = view.replica_connection_limit(&replica.service);
        view.connection_share(&replica.zone, connection_limit)
    }

    /// Records whether a replica that lost requests still listens: `yes`, `no` or `unknown`.
    fn record_replica_state(&self, replica: &ReplicaEntry, listens: &str) {
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
