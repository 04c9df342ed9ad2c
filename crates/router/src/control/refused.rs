//! Refused requests in the store, which alone still knows them after a loss of all instances.
//!
//! A loss of power takes what instances remember, and a request that ends replicas comes again as
//! soon as its caller finds somebody: without this it takes down every shard once more. One or
//! two calls for each refusal, and two reads that may be stale for each start.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::outage::LEAST_PAUSE_MS;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_store::{Backoff, CollectionError, KeptRequest, Kind};
use tokio::sync::Notify;

use super::Control;

/// Longest pause between two tries to write or read, in milliseconds.
const MOST_PAUSE_MS: u64 = 4_000;
/// Age of the process at which it reads the refused requests: at once, and again when a read that
/// was seconds old must have what was written before the start.
const READ_AT: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(3_500)];
/// Refused requests whose time is over that are removed with each that is written: more than are
/// ever added, so that they don't pile up.
const MOST_REMOVED: usize = 4;

/// What is known of refused requests in the store.
#[derive(Debug, Default)]
pub(super) struct Refused {
    /// Those that the store has, with how often each had come to be refused.
    kept: RefCell<BTreeMap<Fingerprint, u32>>,
    /// Those of which the store does not know the latest.
    due: RefCell<BTreeSet<Fingerprint>>,
    has_due: Notify,
}

impl Control {
    /// Has the store told of refused requests; `is_own` if they were found out here.
    ///
    /// Besides the one that has found it out those who watch the store tell it, in case that one
    /// is lost before it does.
    pub(super) fn note_refused(&self, reports: &[Report], is_own: bool) {
        let kept = self.refused.kept.borrow();
        let is_due = |r: &&Report| {
            let refusals = kept.get(&Fingerprint(r.fingerprint)).copied();
            let is_newer = r.refused_ms > 0 && refusals.is_none_or(|known| known < r.refusals);
            is_newer || (r.is_cleared && refusals.is_some())
        };
        let due: Vec<Fingerprint> =
            reports.iter().filter(is_due).map(|r| Fingerprint(r.fingerprint)).collect();
        if !due.is_empty() && (is_own || self.is_watcher()) {
            self.refused.due.borrow_mut().extend(due);
            self.refused.has_due.notify_one();
        }
    }

    /// Keeps the store up to date, for as long as the thread runs.
    pub(super) async fn keep_refused(self: Rc<Self>) {
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        loop {
            let first = self.refused.due.borrow().first().copied();
            let Some(request) = first else {
                self.refused.has_due.notified().await;
                continue;
            };
            match self.keep(request).await {
                Ok(()) => {
                    self.refused.due.borrow_mut().remove(&request);
                    pauses.reset();
                }
                Err(error) => {
                    log::info!("event=refusal_not_kept fingerprint={request} cause=\"{error}\"");
                    tokio::time::sleep(pauses.next_pause()).await;
                }
            }
        }
    }

    /// Writes a refused request, or removes one that is not refused any more.
    async fn keep(&self, request: Fingerprint) -> Result<(), CollectionError> {
        let report = self.membership.borrow().report(request, self.shared.now_ms());
        let refused = report.filter(|r| r.refused_ms > 0 && !r.is_cleared);
        let is_refused = refused.is_some();
        if let Some(report) = refused {
            self.remove_old().await?;
            let refusals = report.refusals;
            let refused_until_ms = unix_ms() + report.refused_ms;
            self.store.keep(&KeptRequest { report, refused_until_ms }).await?;
            self.refused.kept.borrow_mut().insert(request, refusals);
        } else {
            self.store.forget(request).await?;
            self.refused.kept.borrow_mut().remove(&request);
        }
        log::info!("event=refusal_kept fingerprint={request} refused={is_refused}");
        Ok(())
    }

    /// Removes some whose time is over.
    async fn remove_old(&self) -> Result<(), CollectionError> {
        let (now_ms, kept) = (unix_ms(), self.read_refused().await?);
        let old = kept.iter().filter(|k| k.refused_until_ms <= now_ms);
        for kept in old.take(MOST_REMOVED) {
            let request = Fingerprint(kept.report.fingerprint);
            self.store.forget(request).await?;
            self.refused.kept.borrow_mut().remove(&request);
        }
        Ok(())
    }

    /// Reads what was kept before this process started.
    pub(super) async fn recall_refused(self: Rc<Self>) {
        if self.identity.is_first_start {
            // Nothing can have been kept.
            return;
        }
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        for at in READ_AT {
            let age = Duration::from_millis(self.shared.now_ms());
            tokio::time::sleep(at.saturating_sub(age)).await;
            while let Err(error) = self.recall().await {
                log::info!("event=refusals_not_recalled cause=\"{error}\"");
                tokio::time::sleep(pauses.next_pause()).await;
            }
        }
    }

    async fn recall(self: &Rc<Self>) -> Result<(), CollectionError> {
        let (now_ms, kept) = (unix_ms(), self.read_refused().await?);
        let mut reports = Vec::new();
        for KeptRequest { report, refused_until_ms } in kept {
            self.refused.kept.borrow_mut().insert(Fingerprint(report.fingerprint), report.refusals);
            let refused_ms = refused_until_ms.saturating_sub(now_ms);
            reports.push(Report { refused_ms, ..report });
        }
        reports.retain(|r| r.refused_ms > 0);
        log::info!("event=refusals_recalled count={}", reports.len());
        self.membership.borrow_mut().learn_reports(&reports, self.shared.now_ms());
        self.refresh();
        Ok(())
    }

    /// A read that may be seconds old, which costs the store a tenth.
    async fn read_refused(&self) -> Result<Vec<KeptRequest>, CollectionError> {
        let changes = self.store.list(Kind::Refused, true).await?;
        let read = changes.objects.iter().filter_map(|o| {
            let read = self.decode.kept_request(&o.name, &o.content);
            read.inspect_err(|e| log::warn!("event=refusal_unreadable cause=\"{e}\"")).ok()
        });
        Ok(read.collect())
    }
}

/// The time of day; a refusal lasts for minutes, and clocks are off by seconds.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
