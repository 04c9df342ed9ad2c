//! Sends to replicas that are cold: who keeps count of them, and who may send.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use eelgrasspier_decide::cold::{self, ColdBounds, Windows};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_peer::wire::{Body, ColdSend};

use crate::model::Request;
use crate::router::Router;
use crate::view::{Peer, View};

/// Time for a keeper's answer: some ways there and back within a region.
const COLD_SEND_TIMEOUT: Duration = Duration::from_millis(30);

/// What this instance has let out to cold replicas.
#[derive(Debug, Default)]
pub(crate) struct ColdLimiter {
    bounds: Cell<ColdBounds>,
    windows: RefCell<Windows>,
}

/// Whether a request may go to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ColdAdmission {
    /// It is warm, or nothing bounds what it gets.
    Unlimited,
    /// It is cold and counted here, and may get one more in this second.
    CountedHere,
    /// It is cold, and this other instance counts.
    AskOwner(Peer),
    /// It is cold and has got enough, or it is not sure that nobody else counts.
    Denied,
}

impl Router {
    /// Puts other bounds for cold replicas in force.
    pub fn set_cold_bounds(&self, bounds: ColdBounds) {
        self.cold.bounds.set(bounds);
    }

    /// Whether a replica is cold, where what it gets is bounded.
    pub(crate) fn is_cold(&self, view: &View, replica: &ReplicaEntry) -> bool {
        let until_ms = view.cold_until_ms.get(&replica.id);
        until_ms.is_some_and(|&until_ms| until_ms > self.shared.now_ms())
    }

    /// Whether a request may go to a replica now.
    pub(crate) fn cold_admission(&self, view: &View, replica: &ReplicaEntry) -> ColdAdmission {
        if !self.is_cold(view, replica) {
            return ColdAdmission::Unlimited;
        }
        match self.cold_share(view, replica) {
            None => ColdAdmission::Unlimited,
            Some(share) => self.cold_admission_by_owner(view, replica, share),
        }
    }

    fn cold_admission_by_owner(
        &self,
        view: &View,
        replica: &ReplicaEntry,
        share: usize,
    ) -> ColdAdmission {
        let now_ms = self.shared.now_ms();
        let mut near: Vec<&Peer> =
            view.gatherers.iter().filter(|p| p.zone == replica.zone).collect();
        let mut is_candidate = view.is_gatherer && self.zone == replica.zone;
        let mut zone = Some(&*replica.zone);
        if near.is_empty() && !is_candidate {
            // All of the zone are lost; the others stand in for them.
            near = view.gatherers.iter().collect();
            (is_candidate, zone) = (view.is_gatherer, None);
        }
        let mut candidates: Vec<Candidate> = near.iter().map(|p| p.candidate()).collect();
        if is_candidate {
            candidates.push(Candidate { key: self.key, capacity_milli: view.capacity_milli });
        }
        match gatherers::owner(&replica.service, &candidates) {
            None => ColdAdmission::Denied,
            Some(index) if index < near.len() => ColdAdmission::AskOwner(near[index].clone()),
            Some(_) => {
                let is_owner = view.settled.is_settled(zone, now_ms)
                    && cold::is_in_touch(view.fleet, self.shared.heard_ms(), now_ms);
                let has_room = self.cold.windows.borrow().has_room(&replica.id, share, now_ms);
                if is_owner && has_room {
                    ColdAdmission::CountedHere
                } else {
                    ColdAdmission::Denied
                }
            }
        }
    }

    /// Requests in a second that one keeper lets out to a cold replica; `None` without a bound.
    fn cold_share(&self, view: &View, replica: &ReplicaEntry) -> Option<usize> {
        let services = &view.configuration.as_ref()?.services;
        let rate_milli = services.get(&replica.service)?.cold_rate_milli;
        cold::share(rate_milli, self.cold.bounds.get())
    }

    /// Counts one request to a cold replica that is counted here; false if it has got enough.
    pub(crate) fn try_take_cold_send(&self, view: &View, replica: &ReplicaEntry) -> bool {
        let Some(share) = self.cold_share(view, replica) else { return true };
        let now_ms = self.shared.now_ms();
        let is_taken = self.cold.windows.borrow_mut().take(&replica.id, share, now_ms);
        count(is_taken);
        is_taken
    }

    /// Asks the keeper of a cold replica whether a request may go there.
    pub(crate) async fn request_cold_send(
        &self,
        owner: &Peer,
        replica: &ReplicaEntry,
        request: &Request,
    ) -> bool {
        let peer_request = Body::ColdSend(ColdSend {
            replica: replica.id.to_string(),
            service: replica.service.to_string(),
            request_id: request.id.as_bytes().to_vec().into(),
        });
        let answer = self.links.ask(owner.addr, peer_request, COLD_SEND_TIMEOUT).await;
        let is_allowed = matches!(answer, Ok(Body::ColdSendAllowed(true)));
        log::info!(
            "event=cold_send id={} replica={} keeper={} allowed={is_allowed}",
            request.id_text(),
            replica.id,
            owner.name
        );
        is_allowed
    }

    /// Answers another instance that is about to send to a cold replica.
    pub(crate) fn allow_cold_send(&self, peer_request: &ColdSend) -> bool {
        let view = self.shared.view.load_full();
        let listed = view.replicas.get(peer_request.service.as_str());
        let replica = listed.and_then(|all| all.iter().find(|r| *r.id == *peer_request.replica));
        // One that is not listed here may be new: what is not counted is not let out.
        let Some(replica) = replica else { return false };
        match self.cold_admission(&view, replica) {
            // It has turned warm meanwhile.
            ColdAdmission::Unlimited => true,
            ColdAdmission::CountedHere => self.try_take_cold_send(&view, replica),
            ColdAdmission::AskOwner(_) | ColdAdmission::Denied => {
                count(false);
                false
            }
        }
    }

    /// Forgets what was sent to cold replicas longer ago than it counts.
    pub(crate) fn tidy_cold(&self) {
        self.cold.windows.borrow_mut().tidy(self.shared.now_ms());
    }
}

fn count(is_allowed: bool) {
    let allowed = if is_allowed { "yes" } else { "no" };
    metrics::counter!("eelgrasspier_cold_sends_total", "allowed" => allowed).increment(1);
}
