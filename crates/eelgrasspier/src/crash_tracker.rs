//! One request's part in the ends of backend servers: what was lost, and what waits for that.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::losses::{Known, Lost};
use eelgrasspier_decide::quarantine::Treatment;
use eelgrasspier_decide::relays;

use crate::replica::Replica;
use crate::shared::SharedRef;

/// Servers that have lost a request which nobody has answered from which further sends wait
/// until it is known whether they have ended. One is lost often.
const MIN_LOSSES_TO_DEFER: usize = 2;
/// Pause between two looks whether that is known.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which it is waited for: a refused connection takes a way there and back.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which others of the same request wait for the end of a trial, in milliseconds.
const MAX_TRIAL_MS: u64 = 100;

/// What shows of one request while it is worked on.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    shared: SharedRef,
    pub(crate) fingerprint: Fingerprint,
    request_id: Rc<str>,
    is_answered: Cell<bool>,
    loss_count: Cell<usize>,
    /// Whether it is being tried on one server by itself.
    is_trial: Cell<bool>,
}

impl CrashTracker {
    /// A query or a run of `service`, the only parts that its servers are given besides the shard.
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
            is_trial: Cell::new(false),
        }
    }

    /// How the request is treated now.
    pub(crate) fn treatment(&self) -> Treatment {
        self.shared.treatment(self.fingerprint)
    }

    /// Whether a server has answered it.
    pub(crate) fn is_answered(&self) -> bool {
        self.is_answered.get()
    }

    /// Whether nothing more is sent until more is known.
    pub(crate) fn should_defer(&self) -> bool {
        !self.is_answered.get()
            && (self.loss_count.get() >= MIN_LOSSES_TO_DEFER
                || self.treatment() != Treatment::Usual)
    }

    /// Notes that a server has answered it.
    pub(crate) fn record_answer(&self) {
        if !self.is_answered.replace(true) {
            self.shared.record_answer(self.fingerprint);
        }
    }

    /// Notes that a server has lost it, and finds out whether that has ended.
    pub(crate) fn record_loss(&self, replica: &Replica) {
        if self.is_answered.get() {
            return;
        }
        self.loss_count.set(self.loss_count.get() + 1);
        let (server, addr) = (replica.spec.id, replica.spec.addr);
        let send = relays::mark(&format!("{} {server}", self.request_id));
        let lost = Lost { request: self.fingerprint, send, is_tried: self.is_trial.get() };
        if self.shared.record_loss(server, lost) != Known::Unknown {
            return;
        }
        let shared = SharedRef::clone(&self.shared);
        actix_rt::spawn(async move {
            let has_crashed = eelgrasspier_backend::has_ended(addr).await;
            shared.record_crash_check(server, has_crashed);
        });
    }

    /// Waits until it is known of all servers that have lost it whether they have ended.
    pub(crate) async fn wait_for_crash_checks(&self) {
        let polls = CRASH_CHECK_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.shared.pending_crash_checks(self.fingerprint) == 0 {
                break;
            }
        }
        self.loss_count.set(0);
    }

    /// A trial on one server, until dropped; `None` while another one is made.
    pub(crate) fn begin_trial(&self) -> Option<Trial<'_>> {
        let is_free = self.shared.begin_trial(self.fingerprint, MAX_TRIAL_MS);
        is_free.then(|| self.enter_trial())
    }

    /// The same where another instance has begun it.
    pub(crate) fn enter_trial(&self) -> Trial<'_> {
        self.is_trial.set(true);
        Trial(self)
    }

    /// Whether a trial is being made.
    pub(crate) fn is_trial(&self) -> bool {
        self.is_trial.get()
    }
}

/// A request that is being tried on one server by itself.
#[derive(Debug)]
pub(crate) struct Trial<'a>(&'a CrashTracker);

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.0.is_trial.set(false);
        self.0.shared.end_trial(self.0.fingerprint);
    }
}
