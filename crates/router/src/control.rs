//! The control thread: follows the store and publishes views.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::directory::{Directory, EntryChange, ReplicaEntry};
use eelgrasspier_decide::mirror::{Changes, Effect, Mirror};
use eelgrasspier_decide::route::{Configuration, RouteTable};
use eelgrasspier_store::{Backoff, CollectionError, Collections, Decode, Kind};
use tokio::time::Instant;

use crate::view::{Shared, View};

/// Time for which a watch waits at the store.
///
/// A connection that has gone silent is noticed when this is over: it must leave time to
/// read anew within the three seconds in which a configuration has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// First and longest pause after a call that failed, in milliseconds.
const LEAST_PAUSE_MS: u64 = 50;
const MOST_PAUSE_MS: u64 = 400;
/// Time without an answer after which the store counts as lost, in milliseconds.
///
/// Replicas renew their entries about every second and drop out after three misses, so a
/// shorter silence can't have made entries lapse.
const OUTAGE_MS: u64 = 1000;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// The state of the control thread.
pub(crate) struct Control {
    shared: Arc<Shared>,
    store: Rc<dyn Collections>,
    decode: Arc<dyn Decode>,
    mirrors: RefCell<HashMap<Kind, Mirror>>,
    directory: RefCell<Directory>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    table: RefCell<Arc<RouteTable>>,
    /// When the store last answered, in milliseconds.
    heard_ms: Cell<u64>,
    is_store_up: Cell<bool>,
}

impl Control {
    /// Starts all of control on the thread that calls it.
    pub(crate) fn start(
        shared: Arc<Shared>,
        store: Rc<dyn Collections>,
        decode: Arc<dyn Decode>,
    ) -> Rc<Self> {
        let control = Rc::new(Self {
            shared,
            store,
            decode,
            mirrors: RefCell::default(),
            directory: RefCell::default(),
            configuration: RefCell::default(),
            table: RefCell::default(),
            heard_ms: Cell::new(0),
            is_store_up: Cell::new(true),
        });
        actix_rt::spawn(Rc::clone(&control).follow(Kind::Configuration));
        actix_rt::spawn(Rc::clone(&control).follow(Kind::Replicas));
        actix_rt::spawn(Rc::clone(&control).tick());
        control
    }

    /// Lists a kind, then watches it; starts over whenever the history is gone.
    async fn follow(self: Rc<Self>, kind: Kind) {
        let mut pauses = Backoff::new(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        let mut since = None;
        loop {
            let called = Instant::now();
            let result = match since {
                None => self.store.list(kind).await,
                Some(revision) => self.store.watch(kind, revision, WATCH_WAIT).await,
            };
            match result {
                Ok(changes) => {
                    pauses.reset();
                    self.store_answered();
                    since = Some(changes.as_of);
                    self.take(kind, &changes, "store");
                }
                Err(error) => {
                    log::info!(
                        "event=store_call_failed kind={kind:?} since={since:?} after_ms={} cause=\"{error}\"",
                        called.elapsed().as_millis()
                    );
                    if matches!(error, CollectionError::HistoryGone) {
                        self.store_answered();
                        since = None;
                    } else {
                        self.store_failed(&error);
                        tokio::time::sleep(pauses.next_pause()).await;
                    }
                }
            }
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
        }
    }

    fn store_failed(&self, error: &CollectionError) {
        if self.is_store_up.replace(false) {
            log::warn!("event=store_lost cause=\"{error}\"");
        }
    }

    /// Takes changes into the copy and draws the conclusions.
    fn take(&self, kind: Kind, changes: &Changes, source: &str) {
        let (effects, was_filled) = {
            let mut mirrors = self.mirrors.borrow_mut();
            let mirror = mirrors.entry(kind).or_default();
            let was_filled = mirror.is_filled();
            (mirror.apply(changes), was_filled)
        };
        let mut has_changed = !was_filled && changes.is_whole;
        for effect in effects {
            has_changed |= match kind {
                Kind::Replicas => self.take_replica(effect, changes.as_of, source),
                Kind::Configuration => self.take_configuration(effect, source),
                Kind::Instances => false,
            };
        }
        if has_changed {
            self.publish();
        }
    }

    fn take_replica(&self, effect: Effect, as_of: u64, source: &str) -> bool {
        let change = match effect {
            Effect::Set(name, content) => match self.decode.replica(&name, &content) {
                Ok(entry) => EntryChange::Set(entry),
                Err(error) => {
                    log::warn!("event=entry_unreadable replica={name} cause=\"{error}\"");
                    return false;
                }
            },
            Effect::Gone(name) => EntryChange::Gone(name.as_str().into()),
        };
        let now_ms = self.shared.now_ms();
        let text = match &change {
            EntryChange::Set(e) => format!(
                "replica={} service={} addr={} zone={} draining={} cold_left_ms={}",
                e.id, e.service, e.addr, e.zone, e.is_draining, e.cold_left_ms
            ),
            EntryChange::Gone(id) => format!("replica={id} gone=true"),
        };
        let has_changed = self.directory.borrow_mut().apply(change, now_ms);
        log::info!(
            "event=replica_entry {text} as_of={as_of} source={source} applied={has_changed}"
        );
        has_changed
    }

    fn take_configuration(&self, effect: Effect, source: &str) -> bool {
        let Effect::Set(_, content) = effect else {
            log::warn!("event=configuration_deleted source={source}");
            return false;
        };
        let configuration = match self.decode.configuration(&content) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!("event=configuration_unreadable cause=\"{error}\"");
                return false;
            }
        };
        let (version, known) =
            (configuration.version, self.configuration.borrow().as_ref().map(|c| c.version));
        if known.is_some_and(|known| known >= version) {
            log::warn!("event=configuration_stale version={version} in_force={known:?}");
            return false;
        }
        let routes = configuration.routes.len();
        *self.table.borrow_mut() = Arc::new(RouteTable::from(&configuration));
        *self.configuration.borrow_mut() = Some(Arc::new(configuration));
        log::info!(
            "event=configuration version={version} before={known:?} routes={routes} source={source}"
        );
        true
    }

    async fn tick(self: Rc<Self>) {
        loop {
            if self.directory.borrow_mut().expire(self.shared.now_ms()) {
                log::info!("event=lapsed_entries_dropped");
                self.publish();
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn publish(&self) {
        let mut replicas: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>> = HashMap::new();
        for entry in self.directory.borrow().entries().filter(|e| !e.is_draining) {
            replicas.entry(Arc::clone(&entry.service)).or_default().push(Arc::clone(entry));
        }
        let has_replicas =
            self.mirrors.borrow().get(&Kind::Replicas).is_some_and(Mirror::is_filled);
        self.shared.publish(View {
            configuration: self.configuration.borrow().clone(),
            table: Arc::clone(&self.table.borrow()),
            replicas: Arc::new(replicas),
            has_replicas,
            instances: 8,
            peers: Arc::default(),
        });
    }
}
