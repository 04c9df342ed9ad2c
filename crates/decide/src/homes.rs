//! Regions of the zones, and the regions in which a route's requests may run.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The region of each availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    by_zone: BTreeMap<Arc<str>, Arc<str>>,
}

impl FromIterator<(Arc<str>, Arc<str>)> for Regions {
    /// From pairs of a zone and its region.
    fn from_iter<T: IntoIterator<Item = (Arc<str>, Arc<str>)>>(pairs: T) -> Self {
        Self { by_zone: pairs.into_iter().collect() }
    }
}

impl Regions {
    /// Whether requests with these home regions may go to a zone.
    ///
    /// Without homes they may go anywhere. A zone whose region is not known is nobody's home: to
    /// refuse a request can be made good, to send it abroad can't.
    #[must_use]
    pub fn is_home(&self, homes: &[Arc<str>], zone: &str) -> bool {
        homes.is_empty() || self.by_zone.get(zone).is_some_and(|region| homes.contains(region))
    }
}
