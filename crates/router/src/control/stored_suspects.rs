//! Requests that crash replicas, persisted in the store to survive a loss of all instances.
//!
//! A power loss erases the memory of all instances, and a caller retries a crashing request as soon
//! as it finds an instance. Without the stored record the request would take down every shard
//! again. This costs one call for each such request and two reads for each start, which may be
//! stale.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::store_backoff::MIN_BACKOFF_MS;
use eelgrasspier_store::{Backoff, CollectionError, CollectionKind, SuspectRecord};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Control;

/// Maximum delay between retries to write or read, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 4_000;
/// Process ages at which the stored requests are read.
///
/// The second read must contain all writes from before the start, even if it is seconds old.
const READ_AGES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(3_500)];
/// Delay before a request that is only suspected is written.
///
/// A request concurrent with a crashing one is mostly answered at its caller's next attempt, and
/// is then not written at all.
const SUSPECT_WRITE_DELAY: Duration = Duration::from_millis(500);
/// Delay after a restore before watchers check for missing requests, in milliseconds.
///
/// By then even a stale read shows the restored store.
const REWRITE_DELAY_MS: u64 = 4_000;
/// Jitter added to that delay to spread the checks of the watchers, in milliseconds.
const REWRITE_JITTER_MS: u64 = 3_000;
/// Interval between writes of missing requests.
const REWRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between removals of expired requests.
const CLEANUP_INTERVAL_MS: u64 = 600_000;

/// State of the crashing requests in the store.
#[derive(Debug, Default)]
pub(super) struct StoredSuspects {
    /// Requests that the store holds, with the number of refusal periods of each so far.
    refusals: RefCell<BTreeMap<Fingerprint, u32>>,
    /// Requests whose latest state must be written or removed, with the time at which this is due.
    due: RefCell<BTreeMap<Fingerprint, Instant>>,
    has_due: Notify,
    cleaned_up_ms: Cell<Option<u64>>,
}

impl Control {
    /// Schedules store writes for reports; `is_own` if the evidence was found by this instance.
    ///
    /// Watchers also write refusals that another instance has found, in case that one is lost
    /// before it does.
    pub(super) fn schedule_suspect_writes(&self, reports: &[Report], is_own: bool) {
        let known = self.stored_suspects.refusals.borrow();
        for report in reports {
            let request = Fingerprint(report.fingerprint);
            let refusals = known.get(&request).copied();
            let is_refused = report.refused_ms > 0;
            let is_outdated_in_store =
                refusals.is_none_or(|known| is_refused && known < report.refusals);
            let must_write =
                if report.is_suspect() { is_outdated_in_store } else { refusals.is_some() };
            if !must_write || !(is_own || is_refused && self.is_watcher()) {
                continue;
            }
            let after = if is_refused { Duration::ZERO } else { SUSPECT_WRITE_DELAY };
            let at = Instant::now() + after;
            let mut due = self.stored_suspects.due.borrow_mut();
            let earliest = due.get(&request).map_or(at, |known| at.min(*known));
            due.insert(request, earliest);
            self.stored_suspects.has_due.notify_one();
        }
    }

    /// Writes scheduled requests to the store, for as long as the thread runs.
    pub(super) async fn write_due_suspects(self: Rc<Self>) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_RETRY_DELAY_MS);
        loop {
            let first = self.stored_suspects.due.borrow().iter().map(|(f, at)| (*at, *f)).min();
            let Some((at, request)) = first else {
                self.stored_suspects.has_due.notified().await;
                continue;
            };
            if at > Instant::now() {
                // A request scheduled meanwhile may be due earlier.
                let _is_due =
                    tokio::time::timeout_at(at, self.stored_suspects.has_due.notified()).await;
                continue;
            }
            // Removed before the call, so that later findings schedule it again.
            self.stored_suspects.due.borrow_mut().remove(&request);
            match self.write_or_remove_suspect(request).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    self.stored_suspects.due.borrow_mut().entry(request).or_insert(at);
                    log::info!("event=request_not_kept fingerprint={request} cause=\"{error}\"");
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// Writes a request to the store, or removes one that is no longer suspected.
    async fn write_or_remove_suspect(&self, request: Fingerprint) -> Result<(), CollectionError> {
        let report = self.membership.borrow().report(request, self.shared.now_ms());
        let suspect = report.filter(Report::is_suspect);
        let is_known = self.stored_suspects.refusals.borrow().contains_key(&request);
        let is_suspect = suspect.is_some();
        if let Some(report) = suspect {
            self.remove_expired_suspects().await?;
            let (refusals, now_ms) = (report.refusals, unix_ms());
            let is_refused = report.refused_ms > 0;
            let refused_until_ms = if is_refused { now_ms + report.refused_ms } else { 0 };
            let expires_ms = now_ms + report.left_ms;
            self.store
                .save_suspect(&SuspectRecord { report, refused_until_ms, expires_ms })
                .await?;
            self.stored_suspects.refusals.borrow_mut().insert(request, refusals);
        } else if is_known {
            self.store.delete_suspect(request).await?;
            self.stored_suspects.refusals.borrow_mut().remove(&request);
        } else {
            return Ok(());
        }
        log::info!("event=request_kept fingerprint={request} suspect={is_suspect}");
        Ok(())
    }

    /// Removes expired requests from time to time; only instances that write do this.
    async fn remove_expired_suspects(&self) -> Result<(), CollectionError> {
        let now_ms = self.shared.now_ms();
        if self
            .stored_suspects
            .cleaned_up_ms
            .get()
            .is_some_and(|at| now_ms < at + CLEANUP_INTERVAL_MS)
        {
            return Ok(());
        }
        let stored = self.list_stored_suspects().await?;
        self.stored_suspects.cleaned_up_ms.set(Some(now_ms));
        let now_ms = unix_ms();
        for stored in stored.iter().filter(|k| now_ms >= k.expires_ms) {
            let request = Fingerprint(stored.report.fingerprint);
            self.store.delete_suspect(request).await?;
            self.stored_suspects.refusals.borrow_mut().remove(&request);
        }
        Ok(())
    }

    /// Loads requests that were stored before this process started.
    pub(super) async fn load_suspects_at_start(self: Rc<Self>) {
        if self.identity.is_bootstrap {
            // The store holds no requests yet.
            return;
        }
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_RETRY_DELAY_MS);
        for at in READ_AGES {
            let age = Duration::from_millis(self.shared.now_ms());
            tokio::time::sleep(at.saturating_sub(age)).await;
            while let Err(error) = self.load_suspects().await {
                log::info!("event=requests_not_recalled cause=\"{error}\"");
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }

    async fn load_suspects(self: &Rc<Self>) -> Result<(), CollectionError> {
        let (now_ms, stored) = (unix_ms(), self.list_stored_suspects().await?);
        let mut reports = Vec::new();
        for stored in stored.into_iter().filter(|k| now_ms < k.expires_ms) {
            let SuspectRecord { report, refused_until_ms, expires_ms } = stored;
            self.stored_suspects
                .refusals
                .borrow_mut()
                .insert(Fingerprint(report.fingerprint), report.refusals);
            let refused_ms = refused_until_ms.saturating_sub(now_ms);
            reports.push(Report { refused_ms, left_ms: expires_ms - now_ms, ..report });
        }
        log::info!("event=requests_recalled count={}", reports.len());
        self.membership.borrow_mut().merge_reports(&reports, self.shared.now_ms());
        self.process_member_changes();
        Ok(())
    }

    /// Writes suspected requests again that a restored store lacks.
    pub(super) async fn rewrite_suspects_after_restores(self: Rc<Self>) {
        loop {
            self.store_restored.notified().await;
            self.stored_suspects.refusals.borrow_mut().clear();
            // Jitter, so that one instance has written before the next one checks.
            let jitter_ms = rand::random_range(0..REWRITE_JITTER_MS);
            tokio::time::sleep(Duration::from_millis(REWRITE_DELAY_MS + jitter_ms)).await;
            if !self.is_watcher() || self.suspects().is_empty() {
                continue;
            }
            match self.list_stored_suspects().await {
                Ok(stored) => self.schedule_missing_suspects(&stored),
                Err(error) => log::info!("event=requests_not_recalled cause=\"{error}\""),
            }
        }
    }

    fn suspects(&self) -> Vec<Report> {
        let reports = self.membership.borrow().reports(self.shared.now_ms());
        reports.into_iter().filter(Report::is_suspect).collect()
    }

    /// Schedules writes of suspected requests that the store lacks, at a limited rate.
    fn schedule_missing_suspects(&self, stored: &[SuspectRecord]) {
        for stored in stored {
            let request = Fingerprint(stored.report.fingerprint);
            self.stored_suspects.refusals.borrow_mut().insert(request, stored.report.refusals);
        }
        let suspects = self.suspects();
        let known = self.stored_suspects.refusals.borrow();
        let is_missing = |r: &&Report| !known.contains_key(&Fingerprint(r.fingerprint));
        let mut at = Instant::now();
        for report in suspects.iter().filter(is_missing) {
            self.stored_suspects
                .due
                .borrow_mut()
                .entry(Fingerprint(report.fingerprint))
                .or_insert(at);
            at += REWRITE_INTERVAL;
        }
        log::info!("event=requests_kept_again known={} of={}", known.len(), suspects.len());
        self.stored_suspects.has_due.notify_one();
    }

    /// Reads the stored requests. The answer may be seconds old and costs the store a tenth.
    async fn list_stored_suspects(&self) -> Result<Vec<SuspectRecord>, CollectionError> {
        let answer = self.store.list(CollectionKind::Suspects, true).await?;
        let read = answer.changes.objects.iter().filter_map(|o| {
            let read = self.decoder.suspect_record(&o.name, &o.content);
            read.inspect_err(|e| log::warn!("event=request_unreadable cause=\"{e}\"")).ok()
        });
        Ok(read.collect())
    }
}

/// Returns the wall-clock time; its error of seconds is small against the minutes of storage.
fn unix_ms() -> u64 {
    let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_unix_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
