//! Follows the store: lists, watches, polls and outages.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::mirror::Mirror;
use eelgrasspier_decide::store_backoff::{self, MAX_BACKOFF_MS, MIN_BACKOFF_MS};
use eelgrasspier_decide::watchers;
use eelgrasspier_store::{Backoff, CollectionError, CollectionKind};

use super::Control;
use super::restore::{AnswerOutcome, StoreRequest};

/// Time for which the store holds a watch open.
///
/// A connection that has gone silent is noticed only when this time is over. The instance must work
/// normally again 4 s after the cut, and it has to read the store again before that.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two watches, so that changes in quick succession cost one call.
///
/// Changes must be in force within 3 s, of which 250 ms is a small part. During rolling replacement
/// of a fleet's replicas, 100 ms cost twice as many calls.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Interval between polls of a non-watching instance, per `INSTANCES_PER_POLL_INTERVAL` instances.
///
/// A poll only repairs what gossip lost, and the store's rate limits don't grow with the fleet. It
/// requests changes only: a full list of 400 replicas has 100 KB, and when 77 instances read it
/// every 5 s that was most of the traffic between zones.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Number of instances for each `POLL_INTERVAL` between two polls of one instance.
const INSTANCES_PER_POLL_INTERVAL: u64 = 6;
/// Time that gossip gets to connect all instances at the first start of the system.
pub(super) const GOSSIP_JOIN_TIME: Duration = Duration::from_millis(600);
/// Time for which a non-watching instance then waits for the watchers' list, at the first start.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Process age from which it may watch, in milliseconds.
///
/// By then it has fetched another instance's member table. Changes must be in force within 3 s.
pub(super) const MIN_WATCH_AGE_MS: u64 = 1_300;
/// Jitter of the calls that follow the notice that the store is reachable again, in milliseconds.
const RECONNECT_JITTER_MS: u64 = 200;
/// Minimum time without an answer that counts as a store outage, in milliseconds.
///
/// Replicas renew their entries about every second and lapse after three misses, so no entry can
/// have lapsed because of a shorter silence.
const MIN_OUTAGE_MS: u64 = 1000;
/// Total time for all seeds to send their state to a starting instance.
///
/// It covers several round trips within a region. Callers wait for it where the seeds are
/// unreachable.
const SEED_TIMEOUT: Duration = Duration::from_millis(100);

impl Control {
    /// Keeps one kind up to date by lists, watches and polls, for as long as the thread runs.
    pub(super) async fn follow(self: Rc<Self>, kind: CollectionKind) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        if self.identity.is_bootstrap {
            self.wait_for_first_list(kind).await;
        } else {
            self.fetch_from_seeds(kind).await;
        }
        let mut must_list = false;
        let mut next_poll = self.next_poll_at();
        loop {
            // If another instance has sent the changes meanwhile, no list is needed.
            let since = self.position_in_current_era(kind).await.filter(|_| !must_list);
            if since.is_some() {
                self.wait_until_joined().await;
            }
            let (call_started, sent_in_era) = (Instant::now(), self.era());
            let started_ms = self.shared.now_ms();
            let mut hold_ms = 0;
            let restored = self.store_restored.notified();
            let mut may_be_stale = false;
            let result = match since {
                None => self.store.list(kind, false).await,
                Some(since) if self.is_watcher() => {
                    let timeout = self.watch_timeout();
                    hold_ms = u64::try_from(timeout.as_millis()).unwrap_or(0);
                    let watch = self.store.watch(kind, since.revision, timeout);
                    tokio::select! {
                        answer = watch => answer,
                        () = restored => continue,
                    }
                }
                Some(since) => {
                    // An instance that lost the store retries until it is answered, even if it is
                    // no watcher. Otherwise its record would report the store as unreachable until
                    // the next poll, which in a large fleet is a minute later.
                    if self.is_store_up.get() && !self.wait_for_poll(next_poll).await {
                        continue;
                    }
                    next_poll = self.next_poll_at();
                    may_be_stale = true;
                    self.store.poll(kind, since.revision).await
                }
            };
            let request = StoreRequest { kind, since, sent_in_era, may_be_stale };
            match result {
                Ok(answer) => {
                    backoff.reset();
                    self.record_store_answer();
                    match self.apply_answer(request, answer) {
                        AnswerOutcome::Applied => {
                            must_list = false;
                            self.record_confirmation(request, started_ms + hold_ms);
                        }
                        AnswerOutcome::ListRequired => continue,
                        AnswerOutcome::Outdated => {}
                    }
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
                Err(error) => {
                    log::info!(
                        "event=store_call_failed kind={kind:?} since={} after_ms={} cause=\"{error}\"",
                        since.unwrap_or_default(),
                        call_started.elapsed().as_millis()
                    );
                    if let CollectionError::HistoryGone { era } = error {
                        self.record_store_answer();
                        self.record_answer_era(request, era);
                        must_list = self.complete_position(kind) == since;
                    } else {
                        self.record_store_failure(&error);
                        self.back_off(backoff.next_delay()).await;
                        self.wait_for_store(kind).await;
                    }
                }
            }
        }
    }

    /// Waits at the first start of the system until the watchers have read the list.
    ///
    /// No callers come in the first seconds. When 77 instances each read the same list at once,
    /// that cost more than all other calls of a quiet minute.
    async fn wait_for_first_list(&self, kind: CollectionKind) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(50);
        tokio::time::sleep(GOSSIP_JOIN_TIME).await;
        let until = Instant::now() + FIRST_LIST_TIMEOUT;
        while !self.is_watcher() && self.complete_position(kind).is_none() && Instant::now() < until
        {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Fetches the state of a live instance when this instance starts in a running fleet.
    ///
    /// In a rolling restart each instance would otherwise read full lists from the store. That is
    /// three calls for each start, and most of the calls on a day on which all of 195 instances
    /// restart.
    async fn fetch_from_seeds(&self, kind: CollectionKind) {
        let fetching = async {
            for seed in self.other_seeds() {
                let start = Position::default();
                match self.fetch_changes(seed, kind, start, SEED_TIMEOUT).await {
                    Ok(Some(changes)) if changes.is_whole => {
                        self.is_confirmed.set(true);
                        return self.apply_changes(kind, &changes, "seed");
                    }
                    // The seed has no full list, since it has just started too.
                    Ok(_) => {}
                    Err(error) => log::info!("event=fetch_failed from={seed} cause=\"{error}\""),
                }
            }
        };
        // Seeds may be stale or unreachable; the store is read in that case.
        let _ = tokio::time::timeout(SEED_TIMEOUT, fetching).await;
    }

    /// Waits until this process knows enough members to decide which instances watch.
    ///
    /// An instance that knows no others is a watcher: after a power loss of the whole fleet, all
    /// 195 instances were.
    async fn wait_until_joined(&self) {
        let left_ms = MIN_WATCH_AGE_MS.saturating_sub(self.shared.now_ms());
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }

    /// Returns the position of the local copy, or `None` before the first full list.
    pub(super) fn complete_position(&self, kind: CollectionKind) -> Option<Position> {
        let mirrors = self.mirrors.borrow();
        mirrors.get(&kind).filter(|m| m.has_full_list()).map(Mirror::position)
    }

    /// Returns the time for which the store may hold a watch open.
    ///
    /// While the store is lost it is minimal. The first watch after an outage would otherwise be
    /// answered only at its end: for 2 s nobody would know that the store is back, and entries
    /// retained during the outage would stay 2 s too long.
    fn watch_timeout(&self) -> Duration {
        if self.is_store_up.get() { WATCH_TIMEOUT } else { Duration::from_millis(1) }
    }

    fn next_poll_at(&self) -> Instant {
        let factor = u32::try_from((self.instances() / INSTANCES_PER_POLL_INTERVAL).max(1));
        let wait = POLL_INTERVAL * factor.unwrap_or(u32::MAX);
        // Jitter keeps the polls of a fleet apart.
        Instant::now() + wait.mul_f64(rand::random_range(0.8..1.2))
    }

    /// Waits for a poll that is due at `at`; returns false if roles may have changed before.
    async fn wait_for_poll(&self, at: Instant) -> bool {
        let roles_changed = self.roles_changed.notified();
        tokio::time::timeout_at(at.into(), roles_changed).await.is_err()
    }

    /// Waits before the next retry, or until the store answers another instance.
    ///
    /// The delay grows with the number of instances that retry.
    async fn back_off(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        // Only a few instances probe for the end of an outage, so they may do it often.
        let retrying_instances =
            if self.is_outage_prober() { watchers::MAX_OUTAGE_PROBERS } else { self.instances() };
        let delay =
            Duration::from_millis(store_backoff::scaled_backoff_ms(delay_ms, retrying_instances));
        let reached = self.peer_reached_store.notified();
        if tokio::time::timeout(delay, reached).await.is_ok() {
            let jitter_ms = rand::random_range(0..RECONNECT_JITTER_MS);
            tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
        }
    }

    /// Waits during an outage; only the task of one kind probes for its end.
    async fn wait_for_store(&self, kind: CollectionKind) {
        if kind == CollectionKind::Configuration {
            return;
        }
        while !self.is_store_up.get() {
            let roles_changed = self.roles_changed.notified();
            let max_pause = Duration::from_millis(MAX_BACKOFF_MS);
            // A spurious wake-up does no harm: the loop checks again.
            let _ = tokio::time::timeout(max_pause, roles_changed).await;
        }
    }

    /// Records that the store has confirmed the configuration in force.
    ///
    /// The store answered at `latest_ms` at the latest. An answer that waited in the socket of a
    /// paused process is read much later and confirms nothing for the time of the pause. A poll
    /// confirms nothing either, since its answer may be a few seconds old.
    fn record_confirmation(&self, request: StoreRequest, latest_ms: u64) {
        if request.kind == CollectionKind::Configuration && !request.may_be_stale {
            self.shared.record_store_confirmation(self.shared.now_ms().min(latest_ms));
            self.set_watching_store(self.may_report_watching());
        }
    }

    fn record_store_answer(&self) {
        let now_ms = self.shared.now_ms();
        let silent_ms = now_ms.saturating_sub(self.store_answered_ms.replace(now_ms));
        if !self.is_store_up.replace(true) {
            log::info!("event=store_regained silent_ms={silent_ms}");
            if silent_ms >= MIN_OUTAGE_MS {
                self.directory.borrow_mut().on_store_recovered(now_ms);
            }
            self.membership.borrow_mut().update_own(|m| m.is_store_reached = true);
            self.send_own_record();
            self.update_roles();
        }
    }

    fn record_store_failure(&self, error: &CollectionError) {
        if self.is_store_up.replace(false) {
            log::warn!("event=store_lost cause=\"{error}\"");
            self.membership.borrow_mut().update_own(|m| {
                m.is_store_reached = false;
                m.is_watching_store = false;
            });
            self.send_own_record();
            self.update_roles();
        }
    }
}
