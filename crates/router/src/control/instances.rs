//! The store's entries of instances: by them those that start find the others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::contacts;
use eelgrasspier_decide::membership::Listed;
use eelgrasspier_decide::outage::{LEAST_PAUSE_MS, MOST_PAUSE_MS};
use eelgrasspier_store::{Announcement, Backoff, CollectionError, Kind};

use super::Control;
use super::follow::JOIN_TIME;

/// Longest pause between two tries to write or read entries where gossip has found others:
/// they serve only those that start later and find no seed.
const MOST_LIST_PAUSE_MS: u64 = 5_000;
/// Time between two reads of the entries by those who watch; gossip carries what changes, and
/// the entries join what has lost each other.
const LIST_EVERY: Duration = Duration::from_secs(20);
/// Time between two looks at what is due; without a call of the store as a rule.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Age of the process from which it may have an entry: by then gossip has told it enough of
/// the others to say which few have one.
const ANNOUNCE_AFTER_MS: u64 = 5_000;
/// The same for one that has found nobody: a seed that lives has answered by then, also where
/// all have lost power and start together.
const ALONE_AFTER_MS: u64 = 2_000;

/// Time over which those that have entries write them again to a restored store.
const ANNOUNCE_AGAIN_SPREAD_MS: u64 = 3_000;

/// What this instance has done about the entries.
#[derive(Debug, Default)]
struct Entries {
    /// Size of the fleet in the own entry, while there is one.
    written: Option<u64>,
    listed_at: Option<Instant>,
    /// Era of the store in which the own entry is known to be there, and when to write it again
    /// in a later one.
    era: u64,
    due_at: Option<Instant>,
}

impl Control {
    /// Keeps the own entry, if this instance has one, and reads from time to time the others.
    pub(super) async fn follow_instances(self: Rc<Self>) {
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_LIST_PAUSE_MS);
        let mut entries = Entries::default();
        if self.identity.is_first_start {
            tokio::time::sleep(JOIN_TIME).await;
        }
        loop {
            match self.do_what_is_due(&mut entries).await {
                Ok(()) => {
                    pauses.reset();
                    tokio::time::sleep(LOOK_EVERY).await;
                }
                // The call's own line has the cause.
                Err(_) => tokio::time::sleep(self.list_pause(&mut pauses)).await,
            }
        }
    }

    async fn do_what_is_due(&self, entries: &mut Entries) -> Result<(), CollectionError> {
        if self.is_list_due(entries) {
            self.list_instances(entries).await?;
        }
        self.note_restore(entries);
        let instances = self.instances();
        let is_current = entries.written.is_some_and(|n| !contacts::is_outdated(n, instances));
        if !is_current && self.may_announce() {
            let announced = self.store.announce(&self.announcement(instances)).await;
            announced.inspect_err(|e| log::info!("event=not_announced cause=\"{e}\""))?;
            log::info!("event=announced instances={instances} before={:?}", entries.written);
            entries.written = Some(instances);
        }
        Ok(())
    }

    /// Has the own entry written again some time after the store was restored.
    fn note_restore(&self, entries: &mut Entries) {
        let before = std::mem::replace(&mut entries.era, self.era());
        if before > 0 && before < entries.era {
            let spread_ms = rand::random_range(0..ANNOUNCE_AGAIN_SPREAD_MS);
            entries.due_at = Some(Instant::now() + Duration::from_millis(spread_ms));
        }
        if entries.due_at.take_if(|at| Instant::now() >= *at).is_some() {
            entries.written = None;
        }
    }

    fn is_alone(&self) -> bool {
        self.membership.borrow().alive_count() == 1
    }

    /// Each reads the entries once, and those who watch go on: others hear from them. At the
    /// first start of all there are none yet, and the seeds are fresh.
    fn is_list_due(&self, entries: &Entries) -> bool {
        match entries.listed_at {
            Some(at) => (self.is_alone() || self.is_watcher()) && at.elapsed() >= LIST_EVERY,
            None => self.is_alone() || self.is_watcher() || !self.identity.is_first_start,
        }
    }

    fn may_announce(&self) -> bool {
        let after_ms = if self.is_alone() { ALONE_AFTER_MS } else { ANNOUNCE_AFTER_MS };
        self.shared.now_ms() >= after_ms && self.is_contact()
    }

    fn announcement(&self, instances: u64) -> Announcement {
        Announcement {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            peer_addr: self.identity.peer_addr,
            instances,
        }
    }

    async fn list_instances(&self, entries: &mut Entries) -> Result<(), CollectionError> {
        // Seconds are nothing to an entry, and a stale read costs a tenth.
        let changes = self.store.list(Kind::Instances, true).await;
        let changes =
            changes.inspect_err(|e| log::info!("event=instances_not_listed cause=\"{e}\""))?;
        let read = changes.changes.objects.iter().filter_map(|o| {
            let read = self.decode.instance(&o.name, &o.content);
            read.inspect_err(|e| log::warn!("event=instance_unreadable cause=\"{e}\"")).ok()
        });
        let read: Vec<Announcement> = read.collect();
        let named = u64::try_from(read.len()).unwrap_or(u64::MAX);
        let fleet = read.iter().map(|a| a.instances).fold(named, u64::max);
        let listed: Vec<Listed> = read.into_iter().map(to_listed).collect();
        self.membership.borrow_mut().set_listed(&listed);
        if entries.listed_at.replace(Instant::now()).is_none() {
            let others = listed.iter().filter(|l| l.name != self.identity.name);
            self.greet(others.map(|l| l.peer_addr));
        }
        if self.listed_fleet.replace(Some(fleet)) != Some(fleet) {
            self.publish();
        }
        self.tidy(&listed, entries).await;
        Ok(())
    }

    /// Withdraws entries of instances that are gone, and has the own one written where it is.
    async fn tidy(&self, listed: &[Listed], entries: &mut Entries) {
        let names: Vec<&str> = listed.iter().map(|l| l.name.as_str()).collect();
        let own = self.identity.name.as_str();
        if entries.written.is_some() && self.roster.borrow_mut().is_own_lost(names.contains(&own)) {
            entries.written = None;
        }
        let gone = {
            let membership = self.membership.borrow();
            let alive: Vec<&str> = membership.alive().map(|m| m.name.as_str()).collect();
            let is_there = |name: &str| name == own || alive.contains(&name);
            self.roster.borrow_mut().gone(&names, is_there, self.shared.now_ms())
        };
        // Few watch, so that few withdraw; that two of them do is as good.
        for name in gone.iter().filter(|_| self.is_watcher()) {
            match self.store.withdraw(name).await {
                Ok(()) => log::info!("event=instance_withdrawn instance={name}"),
                Err(error) => {
                    log::info!("event=instance_not_withdrawn instance={name} cause=\"{error}\"");
                }
            }
        }
    }

    /// Pause before the next try to write or read entries.
    fn list_pause(&self, pauses: &mut Backoff) -> Duration {
        let pause = pauses.next_pause();
        if self.is_alone() { pause.min(Duration::from_millis(MOST_PAUSE_MS)) } else { pause }
    }
}

fn to_listed(announcement: Announcement) -> Listed {
    let Announcement { name, zone, peer_addr, .. } = announcement;
    Listed { name, zone, peer_addr }
}
