//! Availability zones whose replicas are to get nothing, and those that come back from that.
//!
//! Operators empty a zone ahead of work on it. Its replicas stay listed and look sound, so that
//! nothing else keeps requests from them. When the zone is taken back its replicas may have
//! turned cold, and their entries say so only with their next report: until then they count as
//! cold for as long as a start takes to warm up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One change of the operators' list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// Nothing more is to be sent to the zone's replicas.
    Evacuated(Arc<str>),
    /// The zone may be used again.
    TakenBack(Arc<str>),
}

/// The zones that are evacuated, and those that were taken back lately.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    evacuated: BTreeSet<Arc<str>>,
    /// When each zone was taken back, in milliseconds.
    taken_back_ms: BTreeMap<Arc<str>, u64>,
}

impl Evacuations {
    /// Takes in one change; returns whether it changed anything.
    ///
    /// A zone that was never known to be evacuated may have been so all the same: an instance
    /// that starts hears of the end only.
    pub fn apply(&mut self, change: ZoneChange, now_ms: u64) -> bool {
        match change {
            ZoneChange::Evacuated(zone) => {
                self.taken_back_ms.remove(&zone);
                self.evacuated.insert(zone)
            }
            ZoneChange::TakenBack(zone) => {
                self.evacuated.remove(&zone);
                self.taken_back_ms.insert(zone, now_ms).is_none()
            }
        }
    }

    /// Whether nothing may be sent to the zone's replicas.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// The zones whose replicas are to get nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuated.iter()
    }

    /// Until when the zone's replicas count as cold, where a start takes `warm_up_ms`.
    #[must_use]
    pub fn cold_until_ms(&self, zone: &str, warm_up_ms: u64) -> Option<u64> {
        self.taken_back_ms.get(zone).map(|at_ms| at_ms + warm_up_ms)
    }
}
