//! Applies changes of the store's objects to the local state and logs them.

use std::sync::Arc;

use eelgrasspier_decide::directory::EntryChange;
use eelgrasspier_decide::evacuations::ZoneChange;
use eelgrasspier_decide::mirror::{ApplyResult, Changes, Deviation, Effect};
use eelgrasspier_decide::route::{Configuration, RouteTable};
use eelgrasspier_store::CollectionKind;

use super::Control;
use super::restore::as_gauge;

impl Control {
    /// Applies changes to the local copy and to the state derived from it.
    pub(super) fn apply_changes(&self, kind: CollectionKind, changes: &Changes, source: &str) {
        // The era comes first, so that entries missing from the list of a restored store count as
        // lapsed.
        self.observe_peer_era(changes.era, source);
        let (applied, before, after) = {
            let mut mirrors = self.mirrors.borrow_mut();
            let mirror = mirrors.entry(kind).or_insert_with(|| self.empty_mirror(kind));
            let before = Some(mirror.position()).filter(|_| mirror.has_full_list());
            (mirror.apply(changes, self.shared.now_ms()), before, mirror.position())
        };
        let is_first = before.is_none() && changes.is_whole;
        let has_entered_era = before.is_some_and(|before| before.era < after.era);
        // Announced even if nothing changes here, such as for an entry that is retained for a
        // while. The other instances would otherwise learn of it only by their next poll.
        let must_announce = is_first || has_entered_era || applied.needs_notification();
        if is_first {
            // One line for the whole list: with a line for each entry, these were most of the lines
            // that a starting fleet logged.
            log::info!(
                "event=listed kind={kind:?} entries={} as_of={} source={source}",
                changes.objects.len(),
                changes.position()
            );
        }
        let has_changed = self.apply_effects(kind, applied, (changes.as_of, source), is_first);
        self.update_unsettled_gauge(kind);
        if has_changed || is_first {
            self.rebuild_replicas();
            self.publish();
        }
        if kind == CollectionKind::Configuration {
            // Only now: the view must include what is confirmed.
            self.update_confirmation();
        }
        if must_announce {
            self.announce_positions();
        }
    }

    /// Applies the effects of changes to the derived state; returns true if the view must change.
    ///
    /// `is_quiet` lowers the log level of the line for each entry to debug.
    pub(super) fn apply_effects(
        &self,
        kind: CollectionKind,
        applied: ApplyResult,
        (as_of, source): (u64, &str),
        is_quiet: bool,
    ) -> bool {
        let position = self.complete_position(kind).unwrap_or_default();
        metrics::gauge!("eelgrasspier_store_revision", "kind" => kind.name())
            .set(as_gauge(position.revision));
        let mut has_changed = false;
        applied.deviations.iter().for_each(|deviation| log_deviation(kind, deviation, source));
        for effect in applied.effects {
            has_changed |= match kind {
                CollectionKind::Replicas => self.apply_replica(effect, as_of, source, is_quiet),
                CollectionKind::Configuration => self.apply_configuration(effect, source),
                CollectionKind::Evacuations => self.apply_evacuation(effect, as_of, source),
                CollectionKind::Instances | CollectionKind::Suspects => false,
            };
        }
        has_changed
    }

    /// Applies one replica entry; `is_quiet` lowers the level of its log line to debug.
    fn apply_replica(&self, effect: Effect, as_of: u64, source: &str, is_quiet: bool) -> bool {
        let change = match effect {
            Effect::Set(name, content) => match self.decoder.replica(&name, &content) {
                Ok(entry) => EntryChange::Set(entry),
                Err(error) => {
                    log::warn!("event=entry_unreadable replica={name} cause=\"{error}\"");
                    EntryChange::Removed(name.as_str().into())
                }
            },
            Effect::Removed(name) => EntryChange::Removed(name.as_str().into()),
        };
        let text = match &change {
            EntryChange::Set(e) => format!(
                "replica={} service={} addr={} zone={} draining={} cold_left_ms={} report={}",
                e.id, e.service, e.addr, e.zone, e.is_draining, e.cold_left_ms, e.report.number
            ),
            EntryChange::Removed(id) => format!("replica={id} gone=true"),
        };
        let now_ms = self.shared.now_ms();
        let has_changed = self.directory.borrow_mut().apply(change, now_ms);
        let level = if is_quiet { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level,
            "event=replica_entry {text} as_of={as_of} source={source} applied={has_changed}"
        );
        has_changed
    }

    fn apply_evacuation(&self, effect: Effect, as_of: u64, source: &str) -> bool {
        let change = match effect {
            Effect::Set(name, content) => {
                ZoneChange::Evacuated(self.decoder.evacuated_zone(&name, &content))
            }
            Effect::Removed(name) => ZoneChange::Returned(name.into()),
        };
        let (event, zone) = match &change {
            ZoneChange::Evacuated(zone) => ("event=zone_evacuated", Arc::clone(zone)),
            ZoneChange::Returned(zone) => ("event=zone_taken_back", Arc::clone(zone)),
        };
        let mut evacuations = self.evacuations.borrow_mut();
        let has_changed = evacuations.apply(change, self.shared.now_ms());
        let evacuated = u32::try_from(evacuations.evacuated_zones().count()).unwrap_or(u32::MAX);
        metrics::gauge!("eelgrasspier_evacuated_zones").set(f64::from(evacuated));
        let replicas = self.directory.borrow().entries().filter(|e| e.zone == zone).count();
        log::info!(
            "{event} zone={zone} replicas={replicas} as_of={as_of} source={source} \
             applied={has_changed}"
        );
        has_changed
    }

    fn apply_configuration(&self, effect: Effect, source: &str) -> bool {
        let Effect::Set(_, content) = effect else {
            log::warn!("event=configuration_deleted source={source}");
            return false;
        };
        let decoded = self.decoder.configuration(&content);
        self.shared.record_rejection(decoded.is_err());
        let configuration = match decoded {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!("event=configuration_unreadable cause=\"{error}\"");
                return false;
            }
        };
        let version = configuration.version;
        let known = self.configuration.borrow().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= version) {
            log::warn!("event=configuration_stale version={version} in_force={known:?}");
            return false;
        }
        let routes = configuration.routes.len();
        log_unusable_keys(&configuration);
        *self.route_table.borrow_mut() = Arc::new(RouteTable::from(&configuration));
        *self.configuration.borrow_mut() = Some(Arc::new(configuration));
        log::info!(
            "event=configuration version={version} before={known:?} routes={routes} source={source}"
        );
        true
    }
}

/// Logs the customers whose keys are not all accepted.
fn log_unusable_keys(configuration: &Configuration) {
    /// Maximum number of names in the line.
    const MAX_NAMES: usize = 32;
    let customers = configuration.customers.as_ref();
    let names = customers.map(|c| c.with_unusable_keys()).unwrap_or_default();
    if !names.is_empty() {
        log::error!(
            "event=keys_unusable version={} count={} customers=[{}]",
            configuration.version,
            names.len(),
            names[..names.len().min(MAX_NAMES)].join(",")
        );
    }
}

/// Logs a change that was not applied as received.
fn log_deviation(kind: CollectionKind, deviation: &Deviation, source: &str) {
    match deviation {
        Deviation::IgnoredStale { name, received, known } => {
            metrics::counter!("eelgrasspier_changes_left_out_total").increment(1);
            log::info!(
                "event=change_left_out kind={kind:?} name={name} told={received} known={known} \
                 source={source}"
            );
        }
        Deviation::Retained(name) => log::info!("event=object_kept kind={kind:?} name={name}"),
        Deviation::Withheld(name) => log::info!("event=object_doubted kind={kind:?} name={name}"),
    }
}
