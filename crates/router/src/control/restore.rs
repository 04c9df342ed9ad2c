//! Recovery after the store was restored from a backup: eras of answers, retained objects.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::directory::LAPSED_RETENTION_MS;
use eelgrasspier_decide::history::{EraComparison, Position};
use eelgrasspier_decide::membership::{InstanceState, Member};
use eelgrasspier_decide::mirror::{ApplyResult, Mirror, RestorePolicy, Retention};
use eelgrasspier_store::{CollectionAnswer, CollectionKind};

use super::Control;

/// Time for which a zone stays evacuated after a restored store lacks its evacuation, in ms.
const EVACUATION_RETENTION_MS: u64 = 10_000;
/// Reports that a replica misses before its entry lapses.
const MAX_MISSED_REPORTS: u64 = 3;
/// Time for a change to reach all instances, in milliseconds.
const PROPAGATION_MS: u64 = 1_000;
/// Time for which a non-watching instance waits for the watchers' list after a restore.
const WATCHER_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a starting instance waits for another to send what the store may lack.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of one request for confirmation.
const CONFIRM_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which awaited conditions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A request to the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoreRequest {
    pub(super) kind: CollectionKind,
    /// Position after which changes were requested; `None` for a full list.
    pub(super) since: Option<Position>,
    /// Era that was known when the request was sent.
    pub(super) sent_in_era: u64,
    pub(super) may_be_stale: bool,
}

/// The result of processing an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerOutcome {
    /// Its changes were applied.
    Applied,
    /// The request named a position in another era; a full list is needed first.
    ListRequired,
    /// It was made before a known restore and was dropped.
    Outdated,
}

impl Control {
    /// Returns the highest known era of the store.
    pub(super) fn era(&self) -> u64 {
        self.eras.borrow().current()
    }

    /// Creates an empty local copy of a kind.
    pub(super) fn empty_mirror(&self, kind: CollectionKind) -> Mirror {
        let heartbeat_ms = u64::try_from(self.identity.heartbeat_interval.as_millis()).unwrap_or(0);
        let retention = match kind {
            // Configuration versions never go down.
            CollectionKind::Configuration => Retention::Always,
            CollectionKind::Evacuations => Retention::ForMs(EVACUATION_RETENTION_MS),
            CollectionKind::Replicas | CollectionKind::Instances | CollectionKind::Suspects => {
                Retention::ForMs(LAPSED_RETENTION_MS)
            }
        };
        Mirror::new(RestorePolicy {
            retention,
            withhold_ms: MAX_MISSED_REPORTS * heartbeat_ms + PROPAGATION_MS,
        })
    }

    /// Applies the changes of an answer if they fit the era of the request.
    pub(super) fn apply_answer(
        &self,
        request: StoreRequest,
        answer: CollectionAnswer,
    ) -> AnswerOutcome {
        if self.record_answer_era(request, answer.era) == EraComparison::Stale {
            log::info!(
                "event=answer_late kind={:?} era={} known={}",
                request.kind,
                answer.era.unwrap_or(0),
                self.era()
            );
            return AnswerOutcome::Outdated;
        }
        let era = self.era();
        if !answer.changes.is_whole && request.since.is_some_and(|since| since.era != era) {
            return AnswerOutcome::ListRequired;
        }
        self.apply_changes(request.kind, &answer.changes.with_era(era), "store");
        AnswerOutcome::Applied
    }

    /// Records the era of an answer; returns how it relates to the known one.
    pub(super) fn record_answer_era(
        &self,
        request: StoreRequest,
        era: Option<u64>,
    ) -> EraComparison {
        let before = self.era();
        let relation =
            self.eras.borrow_mut().observe_answer(era, request.sent_in_era, request.may_be_stale);
        match relation {
            EraComparison::Restored => self.handle_new_era(before, "store"),
            EraComparison::Regressed => {
                if self.regressed_era.replace(era) != era {
                    log::warn!("event=store_era_back era={} known={before}", era.unwrap_or(0));
                }
            }
            EraComparison::Unchanged | EraComparison::Stale => {}
        }
        relation
    }

    /// Records the era of the store that another instance reports.
    pub(super) fn observe_peer_era(&self, era: u64, source: &str) {
        let before = self.era();
        if era > before {
            self.eras.borrow_mut().observe_peer(era);
            self.handle_new_era(before, source);
        }
    }

    /// Handles a change of the known era from `before` to a later one.
    fn handle_new_era(&self, before: u64, source: &str) {
        let era = self.era();
        metrics::gauge!("eelgrasspier_store_era").set(as_gauge(era));
        if before == 0 {
            // This is the first known era, not a restore.
            return;
        }
        metrics::counter!("eelgrasspier_store_restores_total").increment(1);
        let position = |kind| self.complete_position(kind).unwrap_or_default();
        log::warn!(
            "event=store_restored era={era} before={before} configuration={} replicas={} \
             evacuations={} source={source}",
            position(CollectionKind::Configuration),
            position(CollectionKind::Replicas),
            position(CollectionKind::Evacuations)
        );
        // Entries of live replicas may be missing, or may lapse because the backup predates their
        // last renewals.
        self.directory.borrow_mut().on_store_recovered(self.shared.now_ms());
        // The configuration in force is not confirmed before the restored store has been read.
        self.update_confirmation();
        self.store_restored.notify_waiters();
    }

    /// Returns the position of the local copy if it belongs to the store's current era.
    ///
    /// A non-watching instance first gives the watchers time to send their list. In a large fleet
    /// the lists of all instances would otherwise be read at the same moment.
    pub(super) async fn position_in_current_era(&self, kind: CollectionKind) -> Option<Position> {
        let is_in_old_era = || self.complete_position(kind).is_some_and(|at| at.era < self.era());
        let until = Instant::now() + WATCHER_LIST_TIMEOUT;
        while is_in_old_era() && !self.is_watcher() && Instant::now() < until {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        self.complete_position(kind).filter(|at| at.era == self.era())
    }

    /// Expires objects that were retained or left out for a limited time after a restore.
    pub(super) fn expire_retained(&self) {
        let now_ms = self.shared.now_ms();
        for kind in
            [CollectionKind::Configuration, CollectionKind::Replicas, CollectionKind::Evacuations]
        {
            let expired = self
                .mirrors
                .borrow_mut()
                .get_mut(&kind)
                .map(|mirror| (mirror.expire(now_ms), mirror.position().revision));
            let has_effects = |(applied, _): &(ApplyResult, u64)| !applied.effects.is_empty();
            let Some((applied, as_of)) = expired.filter(has_effects) else { continue };
            if self.apply_effects(kind, applied, (as_of, "expiry"), false) {
                self.rebuild_replicas();
                self.publish();
            }
            self.update_unsettled_gauge(kind);
        }
    }

    pub(super) fn update_unsettled_gauge(&self, kind: CollectionKind) {
        let unsettled = self.mirrors.borrow().get(&kind).map_or(0, Mirror::unsettled_count);
        let unsettled = as_gauge(u64::try_from(unsettled).unwrap_or(u64::MAX));
        metrics::gauge!("eelgrasspier_unsettled_objects", "kind" => kind.name()).set(unsettled);
    }

    /// At start, asks another instance for what a restored store may lack, before serving callers.
    pub(super) async fn confirm_with_peer(self: Rc<Self>) {
        while !self.is_confirmed.get()
            && self.complete_position(CollectionKind::Configuration).is_none()
        {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let until = Instant::now() + CONFIRM_TIMEOUT;
        while !self.is_confirmed.get() && Instant::now() < until {
            match self.confirmation_peer() {
                Some(addr) if self.confirm_from(addr).await => self.is_confirmed.set(true),
                _ => tokio::time::sleep(CHECK_INTERVAL).await,
            }
        }
        if !self.is_confirmed.replace(true) {
            log::info!("event=not_confirmed waited_ms={}", CONFIRM_TIMEOUT.as_millis());
        }
        self.publish();
    }

    /// Returns the address of the instance with the newest configuration, if any has one.
    fn confirmation_peer(&self) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let has_configuration =
            |m: &&Member| m.state() == InstanceState::Ready || m.config_version > 0;
        let newest =
            membership.live_peers().filter(has_configuration).max_by_key(|m| m.config_version);
        newest.and_then(|m| m.peer_addr.parse().ok())
    }

    async fn confirm_from(&self, addr: SocketAddr) -> bool {
        for kind in
            [CollectionKind::Configuration, CollectionKind::Replicas, CollectionKind::Evacuations]
        {
            if kind == CollectionKind::Evacuations && !self.identity.is_evacuation_enabled {
                continue;
            }
            let known = self.complete_position(kind).unwrap_or_default();
            match self.fetch_changes(addr, kind, known, CONFIRM_REQUEST_TIMEOUT).await {
                Ok(Some(changes)) => self.apply_changes(kind, &changes, "confirmation"),
                Ok(None) => log::warn!("event=fetch_refused from={addr}"),
                Err(error) => {
                    log::info!("event=fetch_failed from={addr} cause=\"{error}\"");
                    return false;
                }
            }
        }
        true
    }
}

/// Converts to a gauge value; values above 32 bits saturate, so that `f64` holds them exactly.
pub(super) fn as_gauge(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
