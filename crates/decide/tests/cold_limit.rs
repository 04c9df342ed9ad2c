//! Rate limit of a cold replica over all instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrasspier_decide::cold_limit::{ColdTolerance, SlidingWindows, coordinator_limit};
use eelgrasspier_decide::fleet_limit::{GathererStability, is_connected};

const BOUNDS: ColdTolerance = ColdTolerance { rate_factor_milli: 1_500, slack: 5 };

#[test]
fn a_coordinator_permits_the_rate_but_at_most_half_of_the_limit() {
    assert_eq!(coordinator_limit(4_000, BOUNDS), Some(4));
    // 20 x 1.5 + 5 = 35 for two coordinators.
    assert_eq!(coordinator_limit(20_000, BOUNDS), Some(17));
    assert_eq!(
        coordinator_limit(500, BOUNDS),
        Some(1),
        "one in two seconds rounds up to one in a second"
    );
    assert_eq!(
        coordinator_limit(500, ColdTolerance::default()),
        Some(0),
        "any request would exceed the limit"
    );
    assert_eq!(coordinator_limit(0, BOUNDS), None, "rate 0 means no limit");
}

/// Guards against counting in fixed instead of sliding seconds, where requests at the end of one
/// second and at the start of the next give a cold replica twice its limit.
#[test]
fn no_sliding_second_has_more_than_the_limit() {
    arbtest::arbtest(|u| {
        let mut windows = SlidingWindows::default();
        let replica: Arc<str> = "r".into();
        let (mut now_ms, mut sent) = (0_u64, Vec::new());
        for _ in 0..200 {
            now_ms += u.int_in_range(0..=120)?;
            if windows.try_record(&replica, 4, now_ms) {
                sent.push(now_ms);
            }
            if u.ratio(1, 20)? {
                windows.remove_idle(now_ms);
            }
        }
        for &from in &sent {
            let within = sent.iter().filter(|&&at| (from..from + 1_000).contains(&at)).count();
            assert!(within <= 4, "{within} from {from}");
        }
        Ok(())
    });
}

fn keys(zones: &[(&str, &[u64])]) -> BTreeMap<Arc<str>, Vec<u64>> {
    zones.iter().map(|(zone, keys)| ((*zone).into(), keys.to_vec())).collect()
}

/// Guards against coordinators that do not wait until the requests of others have left the window.
/// A coordinator was killed and restarted while another had replaced it, and the replica got the
/// share of three instances within a second.
#[test]
fn coordinators_wait_after_each_membership_change() {
    let mut stability = GathererStability::default();
    stability.update(keys(&[("a", &[1, 2]), ("b", &[3])]), 0);
    assert!(!stability.is_stable(Some("a"), 999));
    assert!(stability.is_stable(Some("a"), 1_000));
    stability.update(keys(&[("a", &[2, 1]), ("b", &[3])]), 2_000);
    assert!(stability.is_stable(Some("a"), 2_001), "the same keys in another order");
    stability.update(keys(&[("a", &[1]), ("b", &[3])]), 3_000);
    assert!(!stability.is_stable(Some("a"), 3_999));
    assert!(stability.is_stable(Some("b"), 3_999), "zone b is unchanged");
    // All instances of the zone are unreachable, and those of other zones stand in.
    stability.update(keys(&[("b", &[3])]), 5_000);
    assert!(!stability.is_stable(None, 5_999));
    assert!(stability.is_stable(None, 6_000));
}

/// Guards against a partitioned instance that continues as coordinator after its replacement.
#[test]
fn a_partitioned_instance_permits_nothing() {
    assert!(is_connected(78, Some(10_000), 11_499));
    assert!(!is_connected(78, Some(10_000), 11_500));
    assert!(!is_connected(78, None, 100), "has just started");
    assert!(is_connected(1, None, 1_000_000), "the only instance receives no messages");
}
