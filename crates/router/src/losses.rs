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
    /// Requests that were in progress and not answered by anybody, until it is known whether
    /// the replica has ended.
    requests: Vec<Rc<Request>>,
    /// Whether it has ended, once that is known.
    has_ended: Option<bool>,
}

/// Replicas that have just lost requests.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    by_replica: HashMap<Arc<str>, Loss>,
}

/// What is known of the replica of one more loss.
enum Known {
    /// Nothing is yet, and it is the first.
    First,
    /// It is being found out.
    Unclear,
    Lives,
    HasEnded,
}

impl Losses {
    fn add(&mut self, replica: &Arc<str>, request: &Rc<Request>, now_ms: u64) -> Known {
        self.by_replica.retain(|_, l| l.has_ended.is_none() || now_ms < l.at_ms + FINDING_LIFE_MS);
        let Some(loss) = self.by_replica.get_mut(replica) else {
            let requests = vec![Rc::clone(request)];
            let loss = Loss { at_ms: now_ms, requests, has_ended: None };
            self.by_replica.insert(Arc::clone(replica), loss);
            return Known::First;
        };
        match loss.has_ended {
            Some(true) => Known::HasEnded,
            Some(false) => Known::Lives,
            None => {
                loss.requests.push(Rc::clone(request));
                Known::Unclear
            }
        }
    }

    /// Notes what was found out; returns the requests that were lost.
    fn resolve(&mut self, replica: &str, has_ended: bool, now_ms: u64) -> Vec<Rc<Request>> {
        let Some(loss) = self.by_replica.get_mut(replica) else { return Vec::new() };
        (loss.has_ended, loss.at_ms) = (Some(has_ended), now_ms);
        std::mem::take(&mut loss.requests)
    }

    /// Replicas that have lost a request and of which it is not known yet whether they ended.
    pub(crate) fn unclear(&self, request: &Request) -> usize {
        let fingerprint = request.fingerprint();
        let is_lost = |l: &&Loss| l.requests.iter().any(|r| r.fingerprint() == fingerprint);
        self.by_replica.values().filter(is_lost).count()
    }
}

impl Router {
    /// Notes that the connection on which `request` was in progress at `replica` was lost.
    ///
    /// Only of a request that nobody has answered yet: one that was answered does not end
    /// replicas, and most losses are no end, so that few are looked into.
    pub(crate) fn note_lost(self: &Rc<Self>, request: &Rc<Request>, replica: &Arc<ReplicaEntry>) {
        if request.learnt.is_answered.get() {
            return;
        }
        let known = self.losses.borrow_mut().add(&replica.id, request, self.shared.now_ms());
        match known {
            Known::First => {
                let (router, replica) = (Rc::clone(self), Arc::clone(replica));
                actix_rt::spawn(async move { router.check_loss(&replica).await });
            }
            // Something else was lost with it, and found to have been.
            Known::HasEnded => self.note_ended(request, replica, false),
            Known::Unclear | Known::Lives => {}
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
        let has_ended = listens == "no";
        let requests =
            self.losses.borrow_mut().resolve(&replica.id, has_ended, self.shared.now_ms());
        let (id, service) = (&replica.id, &replica.service);
        let mut lost: Vec<&Rc<Request>> =
            requests.iter().filter(|r| !r.learnt.is_answered.get()).collect();
        lost.sort_by_key(|r| r.fingerprint());
        lost.dedup_by_key(|r| r.fingerprint());
        let fingerprints: Vec<String> = lost.iter().map(|r| r.fingerprint().to_string()).collect();
        let fingerprints = fingerprints.join(",");
        log::info!(
            "event=loss_checked replica={id} service={service} listens={listens} \
             fingerprints=[{fingerprints}]"
        );
        for request in lost.iter().filter(|_| has_ended) {
            let is_tried = request.learnt.tried_alone.borrow().contains(id);
            self.note_ended(request, replica, is_tried && lost.len() == 1);
        }
    }
}
