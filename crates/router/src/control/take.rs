//! Changes of the store's objects, taken in and written down.

use std::sync::Arc;

use eelgrasspier_decide::directory::EntryChange;
use eelgrasspier_decide::evacuations::ZoneChange;
use eelgrasspier_decide::mirror::{Applied, Changes, Effect, Note};
use eelgrasspier_decide::route::RouteTable;
use eelgrasspier_store::Kind;

use super::Control;
use super::restore::as_gauge;

impl Control {
    /// Takes changes into the copy and draws the conclusions.
    pub(super) fn take(&self, kind: Kind, changes: &Changes, source: &str) {
        // First, so that entries that are gone from the list of a restored store count as lapsed.
        self.hear_era(changes.era, source);
        let (applied, before, after) = {
            let mut mirrors = self.mirrors.borrow_mut();
            let mirror = mirrors.entry(kind).or_insert_with(|| self.empty_mirror(kind));
            let before = Some(mirror.position()).filter(|_| mirror.is_filled());
            (mirror.apply(changes, self.shared.now_ms()), before, mirror.position())
        };
        let is_first = before.is_none() && changes.is_whole;
        let has_entered = before.is_some_and(|before| before.era < after.era);
        // Told even where nothing changes here, such as an entry that is kept for a while:
        // the others would hear of it only by their next poll.
        let has_news = is_first || has_entered || applied.has_news();
        if is_first {
            // One line in place of one for each: a fleet that starts wrote most of its lines here.
            log::info!(
                "event=listed kind={kind:?} entries={} as_of={} source={source}",
                changes.objects.len(),
                changes.position()
            );
        }
        let has_changed = self.carry_out(kind, applied, (changes.as_of, source), is_first);
        self.note_unsettled(kind);
        if has_changed || is_first {
            self.list_replicas();
            self.publish();
        }
        if has_news {
            self.announce_changes();
        }
    }

    /// Draws the conclusions from what changes did to the copy of a kind; returns whether the
    /// view is another one. `is_quiet` leaves out the line of each entry.
    pub(super) fn carry_out(
        &self,
        kind: Kind,
        applied: Applied,
        (as_of, source): (u64, &str),
        is_quiet: bool,
    ) -> bool {
        let at = self.filled_up_to(kind).unwrap_or_default();
        metrics::gauge!("eelgrasspier_store_revision", "kind" => kind.name())
            .set(as_gauge(at.revision));
        let mut has_changed = false;
        applied.notes.iter().for_each(|note| write_down(kind, note, source));
        for effect in applied.effects {
            has_changed |= match kind {
                Kind::Replicas => self.take_replica(effect, as_of, source, is_quiet),
                Kind::Configuration => self.take_configuration(effect, source),
                Kind::Evacuations => self.take_evacuation(effect, as_of, source),
                Kind::Instances | Kind::Suspects => false,
            };
        }
        has_changed
    }

    /// Takes one entry; `is_quiet` if its line is left out.
    fn take_replica(&self, effect: Effect, as_of: u64, source: &str, is_quiet: bool) -> bool {
        let change = match effect {
            Effect::Set(name, content) => match self.decode.replica(&name, &content) {
                Ok(entry) => EntryChange::Set(entry),
                Err(error) => {
                    log::warn!("event=entry_unreadable replica={name} cause=\"{error}\"");
                    EntryChange::Gone(name.as_str().into())
                }
            },
            Effect::Gone(name) => EntryChange::Gone(name.as_str().into()),
        };
        let text = match &change {
            EntryChange::Set(e) => format!(
                "replica={} service={} addr={} zone={} draining={} cold_left_ms={} report={}",
                e.id, e.service, e.addr, e.zone, e.is_draining, e.cold_left_ms, e.report.number
            ),
            EntryChange::Gone(id) => format!("replica={id} gone=true"),
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

    fn take_evacuation(&self, effect: Effect, as_of: u64, source: &str) -> bool {
        let change = match effect {
            Effect::Set(name, content) => {
                ZoneChange::Evacuated(self.decode.evacuated_zone(&name, &content))
            }
            Effect::Gone(name) => ZoneChange::TakenBack(name.into()),
        };
        let (event, zone) = match &change {
            ZoneChange::Evacuated(zone) => ("event=zone_evacuated", Arc::clone(zone)),
            ZoneChange::TakenBack(zone) => ("event=zone_taken_back", Arc::clone(zone)),
        };
        let mut evacuations = self.evacuations.borrow_mut();
        let has_changed = evacuations.apply(change, self.shared.now_ms());
        let evacuated = u32::try_from(evacuations.evacuated().count()).unwrap_or(u32::MAX);
        metrics::gauge!("eelgrasspier_evacuated_zones").set(f64::from(evacuated));
        let replicas = self.directory.borrow().entries().filter(|e| e.zone == zone).count();
        log::info!(
            "{event} zone={zone} replicas={replicas} as_of={as_of} source={source} \
             applied={has_changed}"
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
        let version = configuration.version;
        let known = self.configuration.borrow().as_ref().map(|c| c.version);
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
}

/// Writes down what was told and not taken in as it is.
fn write_down(kind: Kind, note: &Note, source: &str) {
    match note {
        Note::LeftOut { name, told, known } => {
            metrics::counter!("eelgrasspier_changes_left_out_total").increment(1);
            log::info!(
                "event=change_left_out kind={kind:?} name={name} told={told} known={known} \
                 source={source}"
            );
        }
        Note::Kept(name) => log::info!("event=object_kept kind={kind:?} name={name}"),
        Note::Doubted(name) => log::info!("event=object_doubted kind={kind:?} name={name}"),
    }
}
