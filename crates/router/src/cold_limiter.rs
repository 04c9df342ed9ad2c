//! Rate limit for cold replicas: which instance counts their requests, and who may send.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use eelgrasspier_decide::cold_limit::{self, ColdTolerance, SlidingWindows};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fleet_limit;
use eelgrasspier_decide::gatherers::{self, Candidate};
use eelgrasspier_peer::wire::{Body, ColdSendRequest};

use crate::model::Request;
use crate::router::Router;
use crate::view::{Peer, View};

/// Timeout for the coordinator's permission: several round trips within a region.
const COLD_SEND_TIMEOUT: Duration = Duration::from_millis(30);

/// Rate limiter for requests to cold replicas.
#[derive(Debug, Default)]
pub(crate) struct ColdLimiter {
    tolerance: Cell<ColdTolerance>,
    windows: RefCell<SlidingWindows>,
}

/// Permission to send a request to a replica that may be cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ColdAdmission {
    /// The replica is warm or has no rate limit.
    Unlimited,
    /// The replica is cold, this instance counts its requests, and it is below the limit.
    CountedHere,
    /// The replica is cold, and the given instance counts its requests.
    AskCoordinator(Peer),
    /// The replica is at its limit, or another instance may be counting its requests as well.
    Denied,
}

impl Router {
    /// Replaces the limits for cold replicas.
    pub fn set_cold_tolerance(&self, tolerance: ColdTolerance) {
        self.cold_limiter.tolerance.set(tolerance);
    }

    /// True if a replica is cold, so that its rate of requests is limited.
    pub(crate) fn is_cold(&self, view: &View, replica: &ReplicaEntry) -> bool {
        let until_ms = view.cold_until_ms.get(&replica.id);
        until_ms.is_some_and(|&until_ms| until_ms > self.shared.now_ms())
    }

    /// Checks whether a request may be sent to a replica now.
    pub(crate) fn cold_admission(&self, view: &View, replica: &ReplicaEntry) -> ColdAdmission {
        if !self.is_cold(view, replica) {
            return ColdAdmission::Unlimited;
        }
        match self.cold_rate_limit(view, replica) {
            None => ColdAdmission::Unlimited,
            Some(limit) => self.cold_admission_by_coordinator(view, replica, limit),
        }
    }

    fn cold_admission_by_coordinator(
        &self,
        view: &View,
        replica: &ReplicaEntry,
        limit: usize,
    ) -> ColdAdmission {
        let now_ms = self.shared.now_ms();
        let mut peers: Vec<&Peer> =
            view.gatherers.iter().filter(|p| p.zone == replica.zone).collect();
        let mut is_candidate = view.is_gatherer && self.zone == replica.zone;
        let mut zone = Some(&*replica.zone);
        if peers.is_empty() && !is_candidate {
            // All instances of the zone are lost; those of the other zones take over.
            peers = view.gatherers.iter().collect();
            (is_candidate, zone) = (view.is_gatherer, None);
        }
        let mut candidates: Vec<Candidate> = peers.iter().map(|p| p.gather_candidate()).collect();
        if is_candidate {
            candidates.push(Candidate { key: self.key, capacity_milli: view.capacity_milli });
        }
        match gatherers::owner(&replica.service, &candidates) {
            None => ColdAdmission::Denied,
            Some(index) if index < peers.len() => {
                ColdAdmission::AskCoordinator(peers[index].clone())
            }
            Some(_) => {
                let is_coordinator = view.gatherer_stability.is_stable(zone, now_ms)
                    && fleet_limit::is_connected(
                        view.fleet_size,
                        self.shared.last_contact_ms(),
                        now_ms,
                    );
                let is_below_limit =
                    self.cold_limiter.windows.borrow().has_room(&replica.id, limit, now_ms);
                if is_coordinator && is_below_limit {
                    ColdAdmission::CountedHere
                } else {
                    ColdAdmission::Denied
                }
            }
        }
    }

    /// Returns the requests per second that one coordinator permits; `None` if unlimited.
    fn cold_rate_limit(&self, view: &View, replica: &ReplicaEntry) -> Option<usize> {
        let services = &view.configuration.as_ref()?.services;
        let rate_milli = services.get(&replica.service)?.cold_rate_milli;
        cold_limit::coordinator_limit(rate_milli, self.cold_limiter.tolerance.get())
    }

    /// Counts one request to a cold replica; returns false if the limit has been reached.
    pub(crate) fn try_take_cold_send(&self, view: &View, replica: &ReplicaEntry) -> bool {
        let Some(limit) = self.cold_rate_limit(view, replica) else { return true };
        let now_ms = self.shared.now_ms();
        let is_taken =
            self.cold_limiter.windows.borrow_mut().try_record(&replica.id, limit, now_ms);
        count_cold_send(is_taken);
        is_taken
    }

    /// Asks the coordinator of a cold replica for permission to send a request there.
    pub(crate) async fn request_cold_send(
        &self,
        coordinator: &Peer,
        replica: &ReplicaEntry,
        request: &Request,
    ) -> bool {
        let peer_request = Body::ColdSend(ColdSendRequest {
            replica: replica.id.to_string(),
            service: replica.service.to_string(),
            request_id: request.id.as_bytes().to_vec().into(),
        });
        let answer =
            self.peer_connections.request(coordinator.addr, peer_request, COLD_SEND_TIMEOUT).await;
        let is_allowed = matches!(answer, Ok(Body::ColdSendAllowed(true)));
        log::info!(
            "event=cold_send id={} replica={} keeper={} allowed={is_allowed}",
            request.id_text(),
            replica.id,
            coordinator.name
        );
        is_allowed
    }

    /// Answers another instance that wants to send a request to a cold replica.
    pub(crate) fn grant_cold_send(&self, peer_request: &ColdSendRequest) -> bool {
        let view = self.shared.view.load_full();
        let listed = view.replicas.get(peer_request.service.as_str());
        let replica = listed.and_then(|all| all.iter().find(|r| *r.id == *peer_request.replica));
        // An unlisted replica may be new, and a send that can't be counted is denied.
        let Some(replica) = replica else { return false };
        match self.cold_admission(&view, replica) {
            // The replica has become warm in the meantime.
            ColdAdmission::Unlimited => true,
            ColdAdmission::CountedHere => self.try_take_cold_send(&view, replica),
            ColdAdmission::AskCoordinator(_) | ColdAdmission::Denied => {
                count_cold_send(false);
                false
            }
        }
    }

    /// Drops counts that are older than the rate limit's window.
    pub(crate) fn prune_cold_sends(&self) {
        self.cold_limiter.windows.borrow_mut().remove_idle(self.shared.now_ms());
    }
}

fn count_cold_send(is_allowed: bool) {
    let allowed = if is_allowed { "yes" } else { "no" };
    metrics::counter!("eelgrasspier_cold_sends_total", "allowed" => allowed).increment(1);
}
