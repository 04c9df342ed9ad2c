//! The store's entries of instances, by which starting instances find the others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrasspier_decide::membership::ListedInstance;
use eelgrasspier_decide::store_backoff::{MAX_BACKOFF_MS, MIN_BACKOFF_MS};
use eelgrasspier_decide::store_contacts;
use eelgrasspier_store::{Backoff, CollectionError, CollectionKind, InstanceEntry};

use super::Control;
use super::follow::GOSSIP_JOIN_TIME;

/// Maximum delay between retries to write or read entries while other members are known.
///
/// The entries serve only instances that start later and find no seed.
const MAX_LIST_DELAY_MS: u64 = 5_000;
/// Interval between reads of the entries by watchers.
///
/// Gossip carries changes; the entries only rejoin parts of the fleet that have lost each other.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between checks for due work, most of which make no store call.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Process age from which it may write an entry, in milliseconds.
///
/// By then it knows enough members by gossip to decide which few have an entry.
const MIN_PUBLISH_AGE_MS: u64 = 5_000;
/// The same age for an instance that has found no others, in milliseconds.
///
/// A live seed has answered by then, even if all instances lost power and start together.
const MIN_PUBLISH_AGE_ALONE_MS: u64 = 2_000;

/// Jitter with which entries are written again to a restored store, in milliseconds.
const REWRITE_JITTER_MS: u64 = 3_000;

/// State of this instance's work on the entries.
#[derive(Debug, Default)]
struct EntryState {
    /// Fleet size in the own entry; `None` if there is no entry or it must be written again.
    written_size: Option<u64>,
    /// Time of the last read of the entries.
    listed_at: Option<Instant>,
    /// Era of the store at the last check; a later one schedules `rewrite_at`.
    era: u64,
    /// Time at which the own entry is written again after a restore.
    rewrite_at: Option<Instant>,
}

impl Control {
    /// Keeps the own entry up to date, if this instance has one, and reads the others periodically.
    pub(super) async fn follow_instances(self: Rc<Self>) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_LIST_DELAY_MS);
        let mut entries = EntryState::default();
        if self.identity.is_bootstrap {
            tokio::time::sleep(GOSSIP_JOIN_TIME).await;
        }
        loop {
            match self.sync_entries(&mut entries).await {
                Ok(()) => {
                    backoff.reset();
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
                // The failing call has logged the cause.
                Err(_) => tokio::time::sleep(self.list_back_off(&mut backoff)).await,
            }
        }
    }

    async fn sync_entries(&self, entries: &mut EntryState) -> Result<(), CollectionError> {
        if self.is_list_due(entries) {
            self.list_instances(entries).await?;
        }
        self.schedule_rewrite_after_restore(entries);
        let instances = self.instances();
        let is_current =
            entries.written_size.is_some_and(|n| !store_contacts::must_rewrite(n, instances));
        if !is_current && self.may_publish() {
            let published = self.store.publish_instance(&self.own_entry(instances)).await;
            published.inspect_err(|e| log::info!("event=not_announced cause=\"{e}\""))?;
            log::info!("event=announced instances={instances} before={:?}", entries.written_size);
            entries.written_size = Some(instances);
        }
        Ok(())
    }

    /// Schedules a new write of the own entry after a restore of the store.
    fn schedule_rewrite_after_restore(&self, entries: &mut EntryState) {
        let before = std::mem::replace(&mut entries.era, self.era());
        if before > 0 && before < entries.era {
            let jitter_ms = rand::random_range(0..REWRITE_JITTER_MS);
            entries.rewrite_at = Some(Instant::now() + Duration::from_millis(jitter_ms));
        }
        if entries.rewrite_at.take_if(|at| Instant::now() >= *at).is_some() {
            entries.written_size = None;
        }
    }

    fn is_alone(&self) -> bool {
        self.membership.borrow().live_count() == 1
    }

    /// True if the entries must be read now.
    ///
    /// Each instance reads them once and watchers go on; the others learn of changes by gossip. At
    /// the first start of the system there are no entries yet, and the seeds are up to date.
    fn is_list_due(&self, entries: &EntryState) -> bool {
        match entries.listed_at {
            Some(at) => (self.is_alone() || self.is_watcher()) && at.elapsed() >= LIST_INTERVAL,
            None => self.is_alone() || self.is_watcher() || !self.identity.is_bootstrap,
        }
    }

    fn may_publish(&self) -> bool {
        let min_age_ms =
            if self.is_alone() { MIN_PUBLISH_AGE_ALONE_MS } else { MIN_PUBLISH_AGE_MS };
        self.shared.now_ms() >= min_age_ms && self.is_contact()
    }

    fn own_entry(&self, instances: u64) -> InstanceEntry {
        InstanceEntry {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            peer_addr: self.identity.peer_addr,
            instances,
        }
    }

    async fn list_instances(&self, entries: &mut EntryState) -> Result<(), CollectionError> {
        // Entries may be seconds old, and a stale read costs a tenth of a current one.
        let changes = self.store.list(CollectionKind::Instances, true).await;
        let changes =
            changes.inspect_err(|e| log::info!("event=instances_not_listed cause=\"{e}\""))?;
        let read = changes.changes.objects.iter().filter_map(|o| {
            let read = self.decoder.instance(&o.name, &o.content);
            read.inspect_err(|e| log::warn!("event=instance_unreadable cause=\"{e}\"")).ok()
        });
        let read: Vec<InstanceEntry> = read.collect();
        let entry_count = u64::try_from(read.len()).unwrap_or(u64::MAX);
        let fleet = read.iter().map(|e| e.instances).fold(entry_count, u64::max);
        let listed: Vec<ListedInstance> = read.into_iter().map(to_listed).collect();
        self.membership.borrow_mut().set_listed(&listed);
        if entries.listed_at.replace(Instant::now()).is_none() {
            let others = listed.iter().filter(|l| l.name != self.identity.name);
            self.probe_instances(others.map(|l| l.peer_addr));
        }
        // The next tick publishes it.
        self.listed_fleet_size.set(Some(fleet));
        self.delete_stale_entries(&listed, entries).await;
        Ok(())
    }

    /// Deletes entries of instances that are gone; has a missing own entry written again.
    async fn delete_stale_entries(&self, listed: &[ListedInstance], entries: &mut EntryState) {
        let names: Vec<&str> = listed.iter().map(|l| l.name.as_str()).collect();
        let own = self.identity.name.as_str();
        if entries.written_size.is_some()
            && self.stale_entries.borrow_mut().must_rewrite_own(names.contains(&own))
        {
            entries.written_size = None;
        }
        let gone = {
            let membership = self.membership.borrow();
            let alive: Vec<&str> = membership.live_peers().map(|m| m.name.as_str()).collect();
            let is_there = |name: &str| name == own || alive.contains(&name);
            self.stale_entries.borrow_mut().stale(&names, is_there, self.shared.now_ms())
        };
        // Only watchers delete entries, to limit the number of calls. Deleting one twice does no
        // harm.
        for name in gone.iter().filter(|_| self.is_watcher()) {
            match self.store.delete_instance(name).await {
                Ok(()) => log::info!("event=instance_withdrawn instance={name}"),
                Err(error) => {
                    log::info!("event=instance_not_withdrawn instance={name} cause=\"{error}\"");
                }
            }
        }
    }

    /// Returns the delay before the next retry to write or read entries.
    fn list_back_off(&self, backoff: &mut Backoff) -> Duration {
        let delay = backoff.next_delay();
        if self.is_alone() { delay.min(Duration::from_millis(MAX_BACKOFF_MS)) } else { delay }
    }
}

fn to_listed(entry: InstanceEntry) -> ListedInstance {
    let InstanceEntry { name, zone, peer_addr, .. } = entry;
    ListedInstance { name, zone, peer_addr }
}
