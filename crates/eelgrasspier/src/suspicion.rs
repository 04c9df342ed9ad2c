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
const LOST_FROM: usize = 2;
/// Pause between two looks whether that is known.
const LOOK_EVERY: Duration = Duration::from_millis(2);
/// Time for which it is waited for: a refused connection takes a way there and back.
const FINDING_TIME: Duration = Duration::from_millis(60);
/// Time for which others of the same request wait for the end of a trial, in milliseconds.
const TRIAL_MS: u64 = 100;

/// What shows of one request while it is worked on.
#[derive(Debug)]
pub(crate) struct Suspicion {
    shared: SharedRef,
    pub(crate) request: Fingerprint,
    id: Rc<str>,
    is_answered: Cell<bool>,
    lost: Cell<usize>,
    /// Whether it is being tried on one server by itself.
    is_trial: Cell<bool>,
}

impl Suspicion {
    /// A query or a run of `service`, the only parts that its servers are given besides the shard.
    pub(crate) fn new(
        shared: &SharedRef,
        (service, kind): (&str, &str),
        body: &[u8],
        id: &Rc<str>,
    ) -> Self {
        Self {
            shared: SharedRef::clone(shared),
            request: Fingerprint::of(&[service.as_bytes(), kind.as_bytes(), body]),
            id: Rc::clone(id),
            is_answered: Cell::new(false),
            lost: Cell::new(0),
            is_trial: Cell::new(false),
        }
    }

    /// How the request is treated now.
    pub(crate) fn treatment(&self) -> Treatment {
        self.shared.treatment(self.request)
    }

    /// Whether a server has answered it.
    pub(crate) fn is_answered(&self) -> bool {
        self.is_answered.get()
    }

    /// Whether nothing more is sent until more is known.
    pub(crate) fn is_held_back(&self) -> bool {
        !self.is_answered.get()
            && (self.lost.get() >= LOST_FROM || self.treatment() != Treatment::Usual)
    }

    /// Notes that a server has answered it.
    pub(crate) fn answered(&self) {
        if !self.is_answered.replace(true) {
            self.shared.note_answered(self.request);
        }
    }

    /// Notes that a server has lost it, and finds out whether that has ended.
    pub(crate) fn lost(&self, replica: &Replica) {
        if self.is_answered.get() {
            return;
        }
        self.lost.set(self.lost.get() + 1);
        let (server, addr) = (replica.spec.id, replica.spec.addr);
        let send = relays::mark(&format!("{} {server}", self.id));
        let lost = Lost { request: self.request, send, is_tried: self.is_trial.get() };
        if self.shared.note_lost(server, lost) != Known::Unknown {
            return;
        }
        let shared = SharedRef::clone(&self.shared);
        actix_rt::spawn(async move {
            let has_ended = eelgrasspier_backend::has_ended(addr).await;
            shared.note_checked(server, has_ended);
        });
    }

    /// Waits until it is known of all servers that have lost it whether they have ended.
    pub(crate) async fn settle(&self) {
        let looks = FINDING_TIME.as_millis() / LOOK_EVERY.as_millis();
        for _ in 0..looks {
            tokio::time::sleep(LOOK_EVERY).await;
            if self.shared.awaited_losses(self.request) == 0 {
                break;
            }
        }
        self.lost.set(0);
    }

    /// A trial on one server, until dropped; `None` while another one is made.
    pub(crate) fn begin_trial(&self) -> Option<Trial<'_>> {
        let is_free = self.shared.begin_trial(self.request, TRIAL_MS);
        is_free.then(|| self.as_trial())
    }

    /// The same where another instance has begun it.
    pub(crate) fn as_trial(&self) -> Trial<'_> {
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
pub(crate) struct Trial<'a>(&'a Suspicion);

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.0.is_trial.set(false);
        self.0.shared.end_trial(self.0.request);
    }
}
