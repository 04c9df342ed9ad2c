//! A store that was restored from a copy: its answers in their era, and what is done anew.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::directory::COME_BACK_MS;
use eelgrasspier_decide::history::{Position, Told};
use eelgrasspier_decide::membership::{Member, State};
use eelgrasspier_decide::mirror::{Applied, Mirror, Retention, Settling};
use eelgrasspier_store::{Answer, Kind};

use super::Control;

/// Time for which a zone stays evacuated whose evacuation a restored store lacks, in milliseconds.
const EVACUATION_KEPT_MS: u64 = 10_000;
/// Reports that a replica misses until its entry lapses, and the time of the news, in milliseconds.
const MISSED_REPORTS: u64 = 3;
const NEWS_MS: u64 = 1_000;
/// Time in which one that does not watch may hear from those who do what a restored store has.
const HEAR_TIME: Duration = Duration::from_secs(1);
/// Time for which an instance that starts waits for another to say what the store may lack.
const CONFIRM_TIME: Duration = Duration::from_millis(200);
/// Time for the other's answer.
const CONFIRM_ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time between two looks at what is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A question to the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    pub(super) kind: Kind,
    /// Place from which on changes were asked for; `None` for a list.
    pub(super) since: Option<Position>,
    /// Era that was known when it went out.
    pub(super) in_era: u64,
    pub(super) may_be_stale: bool,
}

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placed {
    /// Its changes were taken in.
    Taken,
    /// The question was about another era: a list has to come first.
    ListFirst,
    /// It was made before a restore and is left out.
    Late,
}

impl Control {
    /// The era of the store, as far as is known.
    pub(super) fn era(&self) -> u64 {
        self.eras.borrow().current()
    }

    /// An empty copy of a kind.
    pub(super) fn empty_mirror(&self, kind: Kind) -> Mirror {
        let heartbeat_ms = u64::try_from(self.identity.heartbeat.as_millis()).unwrap_or(0);
        let retention = match kind {
            // Its versions only go up.
            Kind::Configuration => Retention::Always,
            Kind::Evacuations => Retention::ForMs(EVACUATION_KEPT_MS),
            Kind::Replicas | Kind::Instances | Kind::Suspects => Retention::ForMs(COME_BACK_MS),
        };
        Mirror::new(Settling { retention, doubt_ms: MISSED_REPORTS * heartbeat_ms + NEWS_MS })
    }

    /// Takes the changes of an answer in, if they have their place in the era of the question.
    pub(super) fn place(&self, asked: Asked, answer: Answer) -> Placed {
        if self.take_era(asked, answer.era) == Told::Late {
            log::info!(
                "event=answer_late kind={:?} era={} known={}",
                asked.kind,
                answer.era.unwrap_or(0),
                self.era()
            );
            return Placed::Late;
        }
        let era = self.era();
        if !answer.changes.is_whole && asked.since.is_some_and(|since| since.era != era) {
            return Placed::ListFirst;
        }
        self.take(asked.kind, &answer.changes.in_era(era), "store");
        Placed::Taken
    }

    /// Takes in which era an answer names.
    pub(super) fn take_era(&self, asked: Asked, era: Option<u64>) -> Told {
        let before = self.era();
        let told = self.eras.borrow_mut().take(era, asked.in_era, asked.may_be_stale);
        match told {
            Told::Restored => self.note_era(before, "store"),
            Told::Back => {
                if self.told_back.replace(era) != era {
                    log::warn!("event=store_era_back era={} known={before}", era.unwrap_or(0));
                }
            }
            Told::Same | Told::Late => {}
        }
        told
    }

    /// Hears from another instance in which era the store is.
    pub(super) fn hear_era(&self, era: u64, source: &str) {
        let before = self.era();
        if era > before {
            self.eras.borrow_mut().hear(era);
            self.note_era(before, source);
        }
    }

    /// Draws the conclusions from a later era than `before`.
    fn note_era(&self, before: u64, source: &str) {
        let era = self.era();
        metrics::gauge!("eelgrasspier_store_era").set(as_gauge(era));
        if before == 0 {
            // The first that was heard of.
            return;
        }
        metrics::counter!("eelgrasspier_store_restores_total").increment(1);
        let at = |kind| self.filled_up_to(kind).unwrap_or_default();
        log::warn!(
            "event=store_restored era={era} before={before} configuration={} replicas={} \
             evacuations={} source={source}",
            at(Kind::Configuration),
            at(Kind::Replicas),
            at(Kind::Evacuations)
        );
        // Entries of live replicas may be missing, or lapse since they were not renewed in the copy.
        self.directory.borrow_mut().store_is_back(self.shared.now_ms());
        self.restored.notify_waiters();
    }

    /// Place up to which the copy is complete, if it is so in the store's present era.
    ///
    /// One that does not watch gives those who do the time to bring their list: in a large fleet
    /// the lists of all would come at the same moment.
    pub(super) async fn known_in_era(&self, kind: Kind) -> Option<Position> {
        let is_behind = || self.filled_up_to(kind).is_some_and(|at| at.era < self.era());
        let until = Instant::now() + HEAR_TIME;
        while is_behind() && !self.is_watcher() && Instant::now() < until {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        self.filled_up_to(kind).filter(|at| at.era == self.era())
    }

    /// Ends what is kept, or left out, for a time after a restore.
    pub(super) fn expire_kept(&self) {
        let now_ms = self.shared.now_ms();
        for kind in [Kind::Configuration, Kind::Replicas, Kind::Evacuations] {
            let expired = self
                .mirrors
                .borrow_mut()
                .get_mut(&kind)
                .map(|mirror| (mirror.expire(now_ms), mirror.position().revision));
            let has_any = |(applied, _): &(Applied, u64)| !applied.effects.is_empty();
            let Some((applied, as_of)) = expired.filter(has_any) else { continue };
            if self.carry_out(kind, applied, (as_of, "expiry"), false) {
                self.list_replicas();
                self.publish();
            }
            self.note_unsettled(kind);
        }
    }

    pub(super) fn note_unsettled(&self, kind: Kind) {
        let unsettled = self.mirrors.borrow().get(&kind).map_or(0, Mirror::unsettled);
        let unsettled = as_gauge(u64::try_from(unsettled).unwrap_or(u64::MAX));
        metrics::gauge!("eelgrasspier_unsettled_objects", "kind" => kind.name()).set(unsettled);
    }

    /// At a start: asks another instance what a restored store may lack, before callers come.
    pub(super) async fn confirm(self: Rc<Self>) {
        while !self.is_confirmed.get() && self.filled_up_to(Kind::Configuration).is_none() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let until = Instant::now() + CONFIRM_TIME;
        while !self.is_confirmed.get() && Instant::now() < until {
            match self.whom_to_confirm() {
                Some(addr) if self.confirm_from(addr).await => self.is_confirmed.set(true),
                _ => tokio::time::sleep(LOOK_EVERY).await,
            }
        }
        if !self.is_confirmed.replace(true) {
            log::info!("event=not_confirmed waited_ms={}", CONFIRM_TIME.as_millis());
        }
        self.publish();
    }

    /// One that has a configuration; of several one with the newest.
    fn whom_to_confirm(&self) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let has_one = |m: &&Member| m.state() == State::Ready || m.config_version > 0;
        let newest = membership.alive().filter(has_one).max_by_key(|m| m.config_version);
        newest.and_then(|m| m.peer_addr.parse().ok())
    }

    async fn confirm_from(&self, addr: SocketAddr) -> bool {
        for kind in [Kind::Configuration, Kind::Replicas, Kind::Evacuations] {
            if kind == Kind::Evacuations && !self.identity.has_evacuations {
                continue;
            }
            let known = self.filled_up_to(kind).unwrap_or_default();
            match self.changes_from(addr, kind, known, CONFIRM_ANSWER_TIME).await {
                Ok(Some(changes)) => self.take(kind, &changes, "confirmation"),
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

/// Gauges hold what a 32 bit number holds without loss.
pub(super) fn as_gauge(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
