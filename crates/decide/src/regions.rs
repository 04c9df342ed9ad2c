//! Regions of availability zones, and the check of a route's home regions.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Region of each availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    by_zone: BTreeMap<Arc<str>, Arc<str>>,
}

impl FromIterator<(Arc<str>, Arc<str>)> for Regions {
    /// Builds the map from pairs of a zone and its region.
    fn from_iter<T: IntoIterator<Item = (Arc<str>, Arc<str>)>>(pairs: T) -> Self {
        Self { by_zone: pairs.into_iter().collect() }
    }
}

impl Regions {
    /// Returns true if requests with these home regions may be sent to a zone.
    ///
    /// Requests without home regions may be sent anywhere. A zone of unknown region is in no home
    /// region: a wrongly refused request can be repeated, but one sent to a foreign region cannot
    /// be undone.
    #[must_use]
    pub fn is_home_zone(&self, home_regions: &[Arc<str>], zone: &str) -> bool {
        home_regions.is_empty()
            || self.by_zone.get(zone).is_some_and(|region| home_regions.contains(region))
    }
}
