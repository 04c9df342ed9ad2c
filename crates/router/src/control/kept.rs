//! Requests that end replicas in the store, which alone still knows them after a loss of all
//! instances.
//!
//! A loss of power takes what instances remember, and a request that ends replicas comes again as
//! soon as its caller finds somebody: without this it takes down every shard once more. One
//! call for each such request, and two reads that may be stale for each start.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::outage::LEAST_PAUSE_MS;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_store::{Backoff, CollectionError, KeptRequest, Kind};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Control;

/// Longest pause between two tries to write or read, in milliseconds.
const MOST_PAUSE_MS: u64 = 4_000;
/// Age of the process at which it reads what is kept: at once, and again when a read that was
/// seconds old must have what was written before the start.
const READ_AT: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(3_500)];
/// Time after which a request that is only suspected is kept: a bystander is mostly answered at its
/// caller's next attempt, and nothing is written for it.
const KEEP_SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Time after a restore of the store in which those who watch it look what it lacks: first until a
/// stale read shows the restored store, then spread over the rest.
const KEEP_AGAIN_AFTER_MS: u64 = 4_000;
const KEEP_AGAIN_SPREAD_MS: u64 = 3_000;
/// Time between two writes of what it lacks.
const KEEP_AGAIN_EVERY: Duration = Duration::from_millis(100);
/// Time between two looks for kept requests whose time is over.
const TIDY_EVERY_MS: u64 = 600_000;

/// What is known of such requests in the store.
#[derive(Debug, Default)]
pub(super) struct Kept {
    /// Those that the store has, with how often each had come to be refused.
    known: RefCell<BTreeMap<Fingerprint, u32>>,
    /// Those of which the store is to know the latest, and from when on.
    due: RefCell<BTreeMap<Fingerprint, Instant>>,
    has_due: Notify,
    tidied_ms: Cell<Option<u64>>,
}

impl Control {
    /// Has the store told of requests; `is_own` if what speaks against them was found out here.
    ///
    /// Besides the one that has found it out those who watch the store write refusals, in case
    /// that one is lost before it does.
    pub(super) fn keep_reports(&self, reports: &[Report], is_own: bool) {
        let known = self.kept.known.borrow();
        for report in reports {
            let request = Fingerprint(report.fingerprint);
            let refusals = known.get(&request).copied();
            let is_refused = report.refused_ms > 0;
            let is_newer = refusals.is_none_or(|known| is_refused && known < report.refusals);
            let is_wanted = if report.is_suspect() { is_newer } else { refusals.is_some() };
            if !is_wanted || !(is_own || is_refused && self.is_watcher()) {
                continue;
            }
            let after = if is_refused { Duration::ZERO } else { KEEP_SUSPECT_AFTER };
            let at = Instant::now() + after;
            let mut due = self.kept.due.borrow_mut();
            let earliest = due.get(&request).map_or(at, |known| at.min(*known));
            due.insert(request, earliest);
            self.kept.has_due.notify_one();
        }
    }

    /// Keeps the store up to date, for as long as the thread runs.
    pub(super) async fn follow_due(self: Rc<Self>) {
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        loop {
            let first = self.kept.due.borrow().iter().map(|(f, at)| (*at, *f)).min();
            let Some((at, request)) = first else {
                self.kept.has_due.notified().await;
                continue;
            };
            if at > Instant::now() {
                // What comes meanwhile may be due earlier.
                let _is_due = tokio::time::timeout_at(at, self.kept.has_due.notified()).await;
                continue;
            }
            // Before the call: what is found out meanwhile is due again.
            self.kept.due.borrow_mut().remove(&request);
            match self.keep(request).await {
                Ok(()) => pauses.reset(),
                Err(error) => {
                    self.kept.due.borrow_mut().entry(request).or_insert(at);
                    log::info!("event=request_not_kept fingerprint={request} cause=\"{error}\"");
                    tokio::time::sleep(pauses.next_pause()).await;
                }
            }
        }
    }

    /// Writes a request, or removes one that nothing speaks against any more.
    async fn keep(&self, request: Fingerprint) -> Result<(), CollectionError> {
        let report = self.membership.borrow().report(request, self.shared.now_ms());
        let suspect = report.filter(Report::is_suspect);
        let is_known = self.kept.known.borrow().contains_key(&request);
        let is_suspect = suspect.is_some();
        if let Some(report) = suspect {
            self.tidy_kept().await?;
            let (refusals, now_ms) = (report.refusals, unix_ms());
            let is_refused = report.refused_ms > 0;
            let refused_until_ms = if is_refused { now_ms + report.refused_ms } else { 0 };
            let forgotten_ms = now_ms + report.left_ms;
            self.store.keep(&KeptRequest { report, refused_until_ms, forgotten_ms }).await?;
            self.kept.known.borrow_mut().insert(request, refusals);
        } else if is_known {
            self.store.forget(request).await?;
            self.kept.known.borrow_mut().remove(&request);
        } else {
            return Ok(());
        }
        log::info!("event=request_kept fingerprint={request} suspect={is_suspect}");
        Ok(())
    }

    /// Removes those whose time is over, now and then: only who writes adds to them.
    async fn tidy_kept(&self) -> Result<(), CollectionError> {
        let now_ms = self.shared.now_ms();
        if self.kept.tidied_ms.get().is_some_and(|at| now_ms < at + TIDY_EVERY_MS) {
            return Ok(());
        }
        let kept = self.read_kept().await?;
        self.kept.tidied_ms.set(Some(now_ms));
        let now_ms = unix_ms();
        for kept in kept.iter().filter(|k| now_ms >= k.forgotten_ms) {
            let request = Fingerprint(kept.report.fingerprint);
            self.store.forget(request).await?;
            self.kept.known.borrow_mut().remove(&request);
        }
        Ok(())
    }

    /// Reads what was kept before this process started.
    pub(super) async fn recall_kept(self: Rc<Self>) {
        if self.identity.is_first_start {
            // Nothing can have been kept.
            return;
        }
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        for at in READ_AT {
            let age = Duration::from_millis(self.shared.now_ms());
            tokio::time::sleep(at.saturating_sub(age)).await;
            while let Err(error) = self.recall().await {
                log::info!("event=requests_not_recalled cause=\"{error}\"");
                tokio::time::sleep(pauses.next_pause()).await;
            }
        }
    }

    async fn recall(self: &Rc<Self>) -> Result<(), CollectionError> {
        let (now_ms, kept) = (unix_ms(), self.read_kept().await?);
        let mut reports = Vec::new();
        for kept in kept.into_iter().filter(|k| now_ms < k.forgotten_ms) {
            let KeptRequest { report, refused_until_ms, forgotten_ms } = kept;
            self.kept.known.borrow_mut().insert(Fingerprint(report.fingerprint), report.refusals);
            let refused_ms = refused_until_ms.saturating_sub(now_ms);
            reports.push(Report { refused_ms, left_ms: forgotten_ms - now_ms, ..report });
        }
        log::info!("event=requests_recalled count={}", reports.len());
        self.membership.borrow_mut().learn_reports(&reports, self.shared.now_ms());
        self.refresh();
        Ok(())
    }

    /// Has a store that was restored keep again what it lacks.
    pub(super) async fn keep_again_after_restores(self: Rc<Self>) {
        loop {
            self.restored.notified().await;
            self.kept.known.borrow_mut().clear();
            // Spread, so that one has written when the next one looks.
            let spread_ms = rand::random_range(0..KEEP_AGAIN_SPREAD_MS);
            tokio::time::sleep(Duration::from_millis(KEEP_AGAIN_AFTER_MS + spread_ms)).await;
            if !self.is_watcher() || self.suspects().is_empty() {
                continue;
            }
            match self.read_kept().await {
                Ok(kept) => self.keep_missing(&kept),
                Err(error) => log::info!("event=requests_not_recalled cause=\"{error}\""),
            }
        }
    }

    fn suspects(&self) -> Vec<Report> {
        let reports = self.membership.borrow().reports(self.shared.now_ms());
        reports.into_iter().filter(Report::is_suspect).collect()
    }

    /// Writes what the store should keep and does not, at a bounded rate.
    fn keep_missing(&self, kept: &[KeptRequest]) {
        for kept in kept {
            let request = Fingerprint(kept.report.fingerprint);
            self.kept.known.borrow_mut().insert(request, kept.report.refusals);
        }
        let suspects = self.suspects();
        let known = self.kept.known.borrow();
        let is_missing = |r: &&Report| !known.contains_key(&Fingerprint(r.fingerprint));
        let mut at = Instant::now();
        for report in suspects.iter().filter(is_missing) {
            self.kept.due.borrow_mut().entry(Fingerprint(report.fingerprint)).or_insert(at);
            at += KEEP_AGAIN_EVERY;
        }
        log::info!("event=requests_kept_again known={} of={}", known.len(), suspects.len());
        self.kept.has_due.notify_one();
    }

    /// A read that may be seconds old, which costs the store a tenth.
    async fn read_kept(&self) -> Result<Vec<KeptRequest>, CollectionError> {
        let answer = self.store.list(Kind::Suspects, true).await?;
        let read = answer.changes.objects.iter().filter_map(|o| {
            let read = self.decode.kept_request(&o.name, &o.content);
            read.inspect_err(|e| log::warn!("event=request_unreadable cause=\"{e}\"")).ok()
        });
        Ok(read.collect())
    }
}

/// The time of day; what is kept is so for minutes, and clocks are off by seconds.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
