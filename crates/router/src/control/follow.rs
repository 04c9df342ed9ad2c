//! Following the store: lists, watches, outages.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::mirror::Mirror;
use eelgrasspier_decide::outage::{self, LEAST_PAUSE_MS, MOST_PAUSE_MS};
use eelgrasspier_decide::watchers;
use eelgrasspier_store::{Backoff, CollectionError, Kind};

use super::Control;
use super::restore::{Asked, Placed};

/// Time for which a watch waits at the store.
///
/// A connection that has gone silent is noticed when this is over: it must leave time to
/// read anew before the instance counts as undisturbed again, 4 s after the cut.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause between two watches: changes that come close together cost one call, and a quarter of
/// a second is little of the three in which they must be in force. While replicas of a fleet
/// are replaced one after the other a tenth cost twice as many calls.
const BATCH: Duration = Duration::from_millis(250);
/// Time between the polls of an instance that hears of changes from others, for each six
/// instances: a poll only repairs what gossip lost, and the store's rates don't grow with
/// the fleet. It asks for changes, since a whole list of 400 replicas has 100 KB, and 77
/// instances that read it each 5 s made most of the bytes between zones.
const POLL: Duration = Duration::from_secs(5);
const POLL_FOR_INSTANCES: u64 = 6;
/// When the whole system starts for the first time: how long gossip has to join the
/// instances, and how long one that won't watch waits for those who do.
pub(super) const JOIN_TIME: Duration = Duration::from_millis(600);
const FIRST_LIST_TIME: Duration = Duration::from_secs(3);
/// Age of the process from which it may watch, in milliseconds: by then it has asked another
/// for the records of all, and a change must be in force within three seconds.
const JOINED_AFTER_MS: u64 = 1_300;
/// Time over which those that hear of the store's return spread their calls.
const RETURN_SPREAD_MS: u64 = 200;
/// Time without an answer after which the store counts as lost, in milliseconds.
///
/// Replicas renew their entries about every second and drop out after three misses, so a
/// shorter silence can't have made entries lapse.
const OUTAGE_MS: u64 = 1000;
/// Time that all seeds together have to bring what they know to an instance that starts: some ways
/// there and back within a region. Callers wait for it where the seeds are cut off.
const SEED_TIME: Duration = Duration::from_millis(100);

impl Control {
    /// Lists a kind, then watches it, or hears of it from those who do.
    pub(super) async fn follow(self: Rc<Self>, kind: Kind) {
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        if self.identity.is_first_start {
            self.wait_for_others(kind).await;
        } else {
            self.ask_seeds(kind).await;
        }
        let mut must_list = false;
        let mut next_poll = self.next_poll();
        loop {
            // What others have brought meanwhile spares the list.
            let since = self.known_in_era(kind).await.filter(|_| !must_list);
            if since.is_some() {
                self.wait_until_joined().await;
            }
            let (called, asked_in) = (Instant::now(), self.era());
            let restored = self.restored.notified();
            let mut may_be_stale = false;
            let result = match since {
                None => self.store.list(kind, false).await,
                Some(since) if self.is_watcher() => {
                    let watch = self.store.watch(kind, since.revision, self.watch_wait());
                    tokio::select! {
                        answer = watch => answer,
                        () = restored => continue,
                    }
                }
                Some(since) => {
                    // One that lost the store goes on until it is answered, watcher or not: its
                    // record would say "not reached" until the next poll, a minute later in a
                    // large fleet.
                    if self.is_store_up.get() && !self.is_poll_due(next_poll).await {
                        continue;
                    }
                    next_poll = self.next_poll();
                    may_be_stale = true;
                    self.store.poll(kind, since.revision).await
                }
            };
            let asked = Asked { kind, since, in_era: asked_in, may_be_stale };
            match result {
                Ok(answer) => {
                    pauses.reset();
                    self.store_answered();
                    match self.place(asked, answer) {
                        Placed::Taken => must_list = false,
                        Placed::ListFirst => continue,
                        Placed::Late => {}
                    }
                    tokio::time::sleep(BATCH).await;
                }
                Err(error) => {
                    log::info!(
                        "event=store_call_failed kind={kind:?} since={} after_ms={} cause=\"{error}\"",
                        since.unwrap_or_default(),
                        called.elapsed().as_millis()
                    );
                    if let CollectionError::HistoryGone { era } = error {
                        self.store_answered();
                        self.take_era(asked, era);
                        must_list = self.filled_up_to(kind) == since;
                    } else {
                        self.store_failed(&error);
                        self.pause(pauses.next_pause()).await;
                        self.wait_for_store(kind).await;
                    }
                }
            }
        }
    }

    /// At the first start of all: lets those who watch read the list for the others.
    ///
    /// No callers come in the first seconds, and 77 instances that each read the same list
    /// at the same moment cost more than all calls of the rest of a quiet minute.
    async fn wait_for_others(&self, kind: Kind) {
        const LOOK_EVERY: Duration = Duration::from_millis(50);
        tokio::time::sleep(JOIN_TIME).await;
        let until = Instant::now() + FIRST_LIST_TIME;
        while !self.is_watcher() && self.filled_up_to(kind).is_none() && Instant::now() < until {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// At a start of this instance alone: has from a living one what it knows.
    ///
    /// Where instances are restarted one after the other each read whole lists of the store:
    /// three calls for each start, most of those of a day on which all of 195 are.
    async fn ask_seeds(&self, kind: Kind) {
        let asking = async {
            for seed in self.other_seeds() {
                let nothing = Position::default();
                match self.changes_from(seed, kind, nothing, SEED_TIME).await {
                    Ok(Some(changes)) if changes.is_whole => {
                        self.is_confirmed.set(true);
                        return self.take(kind, &changes, "seed");
                    }
                    // It has just started too.
                    Ok(_) => {}
                    Err(error) => log::info!("event=fetch_failed from={seed} cause=\"{error}\""),
                }
            }
        };
        // Seeds may be stale or cut off; the store is asked then.
        let _ = tokio::time::timeout(SEED_TIME, asking).await;
    }

    /// Waits until this process knows enough of the others to say who watches.
    ///
    /// One that knows nobody is a watcher: where all had lost power, 195 of them were.
    async fn wait_until_joined(&self) {
        let left_ms = JOINED_AFTER_MS.saturating_sub(self.shared.now_ms());
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }

    /// Place up to which the copy is complete, once it is filled.
    pub(super) fn filled_up_to(&self, kind: Kind) -> Option<Position> {
        let mirrors = self.mirrors.borrow();
        mirrors.get(&kind).filter(|m| m.is_filled()).map(Mirror::position)
    }

    /// While the store is lost a call doesn't wait there for changes.
    ///
    /// The first watch after an outage would be answered only when its wait is over: two
    /// seconds in which nobody knows that the store is back, and what was kept for the time
    /// of the outage is kept two seconds too long.
    fn watch_wait(&self) -> Duration {
        if self.is_store_up.get() { WATCH_WAIT } else { Duration::from_millis(1) }
    }

    fn next_poll(&self) -> Instant {
        let times = u32::try_from((self.instances() / POLL_FOR_INSTANCES).max(1));
        let wait = POLL * times.unwrap_or(u32::MAX);
        // Spread, so that the polls of a fleet don't meet.
        Instant::now() + wait.mul_f64(rand::random_range(0.8..1.2))
    }

    /// Waits for a poll that is due at `at`; false if duties may have changed before.
    async fn is_poll_due(&self, at: Instant) -> bool {
        let duties = self.duties.notified();
        tokio::time::timeout_at(at.into(), duties).await.is_err()
    }

    /// Waits before the next try, longer in a large fleet, until another is answered.
    async fn pause(&self, pause: Duration) {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        // Few find out for all others, so that these may try often.
        let sharing = if self.is_finder() { watchers::FINDERS } else { self.instances() };
        let pause = Duration::from_millis(outage::pause_ms(pause_ms, sharing));
        let answered = self.store_answers_another.notified();
        if tokio::time::timeout(pause, answered).await.is_ok() {
            let spread_ms = rand::random_range(0..RETURN_SPREAD_MS);
            tokio::time::sleep(Duration::from_millis(spread_ms)).await;
        }
    }

    /// During an outage the calls for one kind find out when it is over.
    async fn wait_for_store(&self, kind: Kind) {
        if kind == Kind::Configuration {
            return;
        }
        while !self.is_store_up.get() {
            let duties = self.duties.notified();
            let longest = Duration::from_millis(MOST_PAUSE_MS);
            // Waking without news is as good: the loop looks again.
            let _ = tokio::time::timeout(longest, duties).await;
        }
    }

    fn store_answered(&self) {
        let now_ms = self.shared.now_ms();
        let silent_ms = now_ms.saturating_sub(self.heard_ms.replace(now_ms));
        if !self.is_store_up.replace(true) {
            log::info!("event=store_regained silent_ms={silent_ms}");
            if silent_ms >= OUTAGE_MS {
                self.directory.borrow_mut().store_is_back(now_ms);
            }
            self.membership.borrow_mut().update_own(|m| m.is_store_reached = true);
            self.spread_at_once();
            self.duties.notify_waiters();
        }
    }

    fn store_failed(&self, error: &CollectionError) {
        if self.is_store_up.replace(false) {
            log::warn!("event=store_lost cause=\"{error}\"");
            self.membership.borrow_mut().update_own(|m| m.is_store_reached = false);
            self.spread_at_once();
            self.duties.notify_waiters();
        }
    }
}
