//! Zones that requests with home regions may be sent to.

use std::sync::Arc;

use eelgrasspier_decide::regions::Regions;

#[test]
fn requests_go_to_zones_of_their_home_regions_only() {
    let pairs = [("north", "coast"), ("south", "island")].map(|(z, r)| (z.into(), r.into()));
    let regions: Regions = pairs.into_iter().collect();
    let home_regions =
        |names: &[&str]| names.iter().map(|n| Arc::from(*n)).collect::<Vec<Arc<str>>>();
    assert!(regions.is_home_zone(&home_regions(&[]), "south"));
    assert!(regions.is_home_zone(&home_regions(&["coast"]), "north"));
    assert!(!regions.is_home_zone(&home_regions(&["coast"]), "south"));
    assert!(regions.is_home_zone(&home_regions(&["coast", "island"]), "south"));
    assert!(!regions.is_home_zone(&home_regions(&["coast"]), "new"), "the region is unknown");
    assert!(regions.is_home_zone(&home_regions(&[]), "new"));
}
