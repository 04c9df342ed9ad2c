//! Availability zones that are evacuated or were recently returned to use.
//!
//! Operators evacuate a zone ahead of maintenance. Its replicas stay listed and look healthy, so
//! only this state keeps requests away from them. When the zone is returned, its replicas may
//! have become cold, and their entries show it only with the next report. Until then they count as
//! cold for the duration of a warm-up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Change of the operators' list of evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// No more requests may be sent to the zone's replicas.
    Evacuated(Arc<str>),
    /// The zone may be used again.
    Returned(Arc<str>),
}

/// Evacuated zones, and zones that were returned to use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    evacuated_zones: BTreeSet<Arc<str>>,
    /// Time at which each zone was returned, in milliseconds.
    returned_at_ms: BTreeMap<Arc<str>, u64>,
}

impl Evacuations {
    /// Applies one change; returns true if it had an effect.
    ///
    /// A zone that is not known to be evacuated may have been: a starting instance only learns of
    /// the end of the evacuation.
    pub fn apply(&mut self, change: ZoneChange, now_ms: u64) -> bool {
        match change {
            ZoneChange::Evacuated(zone) => {
                self.returned_at_ms.remove(&zone);
                self.evacuated_zones.insert(zone)
            }
            ZoneChange::Returned(zone) => {
                self.evacuated_zones.remove(&zone);
                self.returned_at_ms.insert(zone, now_ms).is_none()
            }
        }
    }

    /// Returns true if no requests may be sent to the zone's replicas.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuated_zones.iter()
    }

    /// Returns the time until which the zone's replicas count as cold, given a warm-up of
    /// `warm_up_ms`.
    #[must_use]
    pub fn warm_at_ms(&self, zone: &str, warm_up_ms: u64) -> Option<u64> {
        self.returned_at_ms.get(zone).map(|at_ms| at_ms + warm_up_ms)
    }
}
