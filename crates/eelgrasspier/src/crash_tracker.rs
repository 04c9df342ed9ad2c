//! Per-request tracking of lost exchanges that may be crashes of backend servers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::lost_sends::{LostSend, ServerState};
use eelgrasspier_decide::prelude::{Refusal, RefusalReason};
use eelgrasspier_decide::quarantine::Treatment;
use eelgrasspier_decide::relays;

use crate::replica::Replica;
use crate::shared::SharedRef;
use crate::traffic::TrafficThread;

/// Number of servers that must have lost an unanswered request before further sends are deferred.
///
/// They are deferred until it is known whether these servers have crashed. A single loss is common.
const MIN_LOSSES_TO_DEFER: usize = 2;
/// Time between polls for the result of crash checks.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum time for which a failed request waits for its crash checks.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(60);
/// Time in which a report reaches the other instances, also if they are busy.
const REPORT_TIME: Duration = Duration::from_millis(25);
/// Time in milliseconds between polls for the end of another trial of the same request.
const TRIAL_POLL_MS: u64 = 5;
/// Maximum time in milliseconds for which a trial delays other requests with its fingerprint.
const MAX_TRIAL_MS: u64 = 100;

/// Crash tracking of one request while it is being processed.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    shared: SharedRef,
    pub(crate) fingerprint: Fingerprint,
    request_id: Rc<str>,
    is_answered: Cell<bool>,
    loss_count: Cell<usize>,
    /// True if a send of the unanswered request was lost.
    was_lost: Cell<bool>,
    /// True while the request is on an isolated trial.
    is_trial: Cell<bool>,
    /// Id of the crash that would end the server of the trial.
    trial_crash_id: Cell<Option<u32>>,
}

impl CrashTracker {
    /// Creates the tracker of a request of `kind` (query or run) to `service`.
    ///
    /// Service, kind and body form the fingerprint. A server receives nothing else of the request
    /// but the shard, and headers that differ between sends, such as the request id.
    pub(crate) fn new(
        shared: &SharedRef,
        (service, kind): (&str, &str),
        body: &[u8],
        request_id: &Rc<str>,
    ) -> Self {
        Self {
            shared: SharedRef::clone(shared),
            fingerprint: Fingerprint::of(&[service.as_bytes(), kind.as_bytes(), body]),
            request_id: Rc::clone(request_id),
            is_answered: Cell::new(false),
            loss_count: Cell::new(0),
            was_lost: Cell::new(false),
            is_trial: Cell::new(false),
            trial_crash_id: Cell::new(None),
        }
    }

    /// Records the server of an isolated trial, which has just reported its state.
    ///
    /// A crash with its id that is already known was that of an earlier run of the server.
    pub(crate) fn record_trial_server(&self, replica: &Replica) {
        let is_over = |crash_id: &u32| self.shared.has_crash(self.fingerprint, *crash_id);
        self.trial_crash_id.set(replica.crash_id().filter(|crash_id| !is_over(crash_id)));
    }

    /// Returns the current treatment of the request.
    pub(crate) fn treatment(&self) -> Treatment {
        self.shared.treatment(self.fingerprint)
    }

    /// Checks that the request is neither quarantined nor paused.
    ///
    /// # Errors
    /// Returns the refusal otherwise.
    pub(crate) fn check_refusal(&self) -> Result<(), Refusal> {
        let (reason, left_ms) = match self.treatment() {
            Treatment::Refused(left_ms) => (RefusalReason::CrashesReplicas, left_ms),
            Treatment::Paused(left_ms) => (RefusalReason::NeverAnswered, left_ms),
            _ => return Ok(()),
        };
        Err(Refusal::not_run(reason, Some(left_ms)))
    }

    /// Returns true if a server has answered the request.
    pub(crate) fn is_answered(&self) -> bool {
        self.is_answered.get()
    }

    /// Returns true if further sends must be deferred until more is known.
    pub(crate) fn should_defer(&self) -> bool {
        !self.is_answered.get()
            && (self.loss_count.get() >= MIN_LOSSES_TO_DEFER
                || self.treatment() != Treatment::Normal)
    }

    /// Records that a server has answered the request.
    pub(crate) fn record_answer(&self, replica: &Replica) {
        if !self.is_answered.replace(true) {
            self.shared.record_answer(self.fingerprint, replica.spec.id);
        }
    }

    /// Records that a server has lost the request, and checks whether that server has crashed.
    pub(crate) fn record_loss(&self, replica: &Replica) {
        let (server, addr) = (replica.spec.id, replica.spec.addr);
        if self.is_answered.get() {
            return self.shared.record_answered_loss(server, self.fingerprint);
        }
        if self.add_loss(replica, false) != ServerState::Unknown {
            return;
        }
        let shared = SharedRef::clone(&self.shared);
        actix_rt::spawn(async move {
            let has_crashed = eelgrasspier_backend::refuses_connections(addr).await;
            shared.record_crash_check(server, has_crashed);
        });
    }

    /// Records that a server has not answered the unanswered request in time.
    ///
    /// It may be slow; the request counts as lost if the server does not answer a probe either.
    pub(crate) fn record_silence(&self, replica: &Rc<Replica>, traffic: &Rc<TrafficThread>) {
        if self.is_answered.get() || self.add_loss(replica, true) != ServerState::Unknown {
            return;
        }
        let (shared, fingerprint) = (SharedRef::clone(&self.shared), self.fingerprint);
        let (replica, traffic) = (Rc::clone(replica), Rc::clone(traffic));
        actix_rt::spawn(async move {
            let server = replica.spec.id;
            if traffic.answers_probe(&replica).await {
                shared.record_probe_answer(server);
            } else {
                let has_crashed =
                    eelgrasspier_backend::refuses_connections(replica.spec.addr).await;
                shared.record_crash_check(server, has_crashed);
                shared.publish_losses(fingerprint);
            }
        });
    }

    /// Adds a lost send; returns the state of its server.
    fn add_loss(&self, replica: &Replica, is_silence: bool) -> ServerState {
        let server = replica.spec.id;
        self.loss_count.set(self.loss_count.get() + 1);
        self.was_lost.set(true);
        let send_id = relays::replica_hash(&format!("{} {server}", self.request_id));
        let is_trial = self.is_trial.get();
        let crash_id = if is_trial { self.trial_crash_id.get() } else { replica.crash_id() };
        let crash_id = crash_id.unwrap_or(send_id);
        let lost = LostSend { request: self.fingerprint, send_id, crash_id, is_trial };
        self.shared.record_loss(server, lost, is_silence)
    }

    /// Waits until all crash checks for the request have finished, at most until `until`.
    ///
    /// A check ends with the timeout for opening a connection at the latest.
    pub(crate) async fn wait_for_crash_checks(&self, until: Instant) {
        while self.shared.pending_crash_checks(self.fingerprint) > 0 && Instant::now() < until {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.loss_count.set(0);
    }

    /// Delays the failure of a request until other instances know of its crashes.
    ///
    /// Its caller sends it to another instance next, within a millisecond. Ends at `until` at the
    /// latest.
    pub(crate) async fn delay_failure(&self, until: Instant) {
        if self.is_answered() || !self.was_lost.get() {
            return;
        }
        self.wait_for_crash_checks(until.min(Instant::now() + MAX_CHECK_WAIT)).await;
        self.shared.publish_losses(self.fingerprint);
        if self.treatment() != Treatment::Normal {
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(REPORT_TIME.min(left)).await;
        }
    }

    /// Waits until the request may be sent, and begins an isolated trial if it needs one.
    ///
    /// # Errors
    /// Returns a refusal if it is quarantined or can't be sent before `until`.
    pub(crate) async fn wait_for_permission(
        &self,
        until: Instant,
    ) -> Result<Option<Trial<'_>>, Refusal> {
        loop {
            let is_checking = self.shared.pending_crash_checks(self.fingerprint) > 0;
            let wait_ms = match self.treatment() {
                Treatment::Normal => return Ok(None),
                Treatment::Refused(_) | Treatment::Paused(_) => {
                    self.check_refusal()?;
                    continue;
                }
                Treatment::AwaitsReports(left_ms) => left_ms,
                Treatment::OneReplicaAtATime if is_checking => TRIAL_POLL_MS,
                Treatment::OneReplicaAtATime => match self.begin_trial() {
                    Some(trial) => return Ok(Some(trial)),
                    None => TRIAL_POLL_MS,
                },
            };
            let wait = Duration::from_millis(wait_ms);
            if Instant::now() + wait >= until {
                let retry_after_ms = wait_ms.max(MAX_TRIAL_MS);
                return Err(Refusal::not_run(RefusalReason::NoReplica, Some(retry_after_ms)));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Begins an isolated trial that lasts until dropped; `None` if another one is in progress.
    fn begin_trial(&self) -> Option<Trial<'_>> {
        let is_free = self.shared.begin_trial(self.fingerprint, MAX_TRIAL_MS);
        is_free.then(|| self.enter_trial())
    }

    /// Enters the trial mode without reserving a trial, for one begun by another instance or a run.
    pub(crate) fn enter_trial(&self) -> Trial<'_> {
        self.is_trial.set(true);
        self.trial_crash_id.set(None);
        Trial(self)
    }

    /// Returns true if the request is on an isolated trial.
    pub(crate) fn is_trial(&self) -> bool {
        self.is_trial.get()
    }
}

/// An isolated trial of a request on one server; dropping it ends the trial.
#[derive(Debug)]
pub(crate) struct Trial<'a>(&'a CrashTracker);

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.0.is_trial.set(false);
        self.0.shared.end_trial(self.0.fingerprint);
    }
}
