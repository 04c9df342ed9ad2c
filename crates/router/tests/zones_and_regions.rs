//! Availability zones and regions of replicas, and the rate limit for cold replicas.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Fixture, ReplicaBehavior, in_virtual_time, route, view};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_router::Outcome;

/// A second send must use the current list of replicas. Requests used the list from their start, so
/// that one reached a replica seconds after its zone had been evacuated.
#[test]
fn a_second_send_uses_the_current_replica_list() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Silent);
        let evacuating = async {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let mut now = view(route(1), 1);
            let is_own = |r: &Arc<ReplicaEntry>| &*r.zone == "z1";
            let mut replicas = (*now.replicas).clone();
            for all in replicas.values_mut() {
                all.retain(is_own);
            }
            now.replicas = Arc::new(replicas);
            fixture.shared.publish(now);
        };
        let (outcome, ()) = tokio::join!(fixture.serve("1", 400), evacuating);
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
        assert_eq!(fixture.replicas.arrivals_at("s0/b"), 0);
    });
}

/// Neither first nor second sends may leave the home region of a request. When the replica in the
/// home region did not answer, the second send went to another region.
#[test]
fn no_send_leaves_the_home_region() {
    in_virtual_time(async {
        let mut homed = route(1);
        homed.home_regions = ["coast".into()].into();
        let fixture = Fixture::new(homed, 1);
        let regions = [("z1", "coast"), ("z2", "island")].map(|(z, r)| (z.into(), r.into()));
        fixture.router.set_regions(regions.into_iter().collect());
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::Silent);
        let outcome = fixture.serve("1", 400).await;
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
        let arrivals = |id| fixture.replicas.arrivals_at(id);
        assert_eq!((arrivals("s0/a"), arrivals("s0/b")), (1, 0));
    });
}

/// A cold replica receives requests up to its rate limit and the warm one the others. The cold one
/// receives nothing in the first second, when another instance may have counted its requests.
#[test]
fn a_cold_replica_is_rate_limited_and_the_warm_one_gets_the_rest() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        let mut cold = view(route(1), 1);
        cold.cold_until_ms = Arc::new([("s0/a".into(), 60_000)].into());
        fixture.shared.publish(cold);
        let mut last = 0;
        for second in 0..4 {
            for n in 0..20 {
                fixture.serve(&format!("{second}-{n}"), 400).await;
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            let now = fixture.replicas.arrivals_at("s0/a");
            assert!(now - last <= 4, "{} in a second", now - last);
            last = now;
        }
        assert!(last >= 8, "{last} in four seconds");
        assert_eq!(fixture.replicas.arrivals_at("s0/a") + fixture.replicas.arrivals_at("s0/b"), 80);
    });
}

/// An instance that has lost contact to its fleet must not send to cold replicas. Instances that
/// restarted while partitioned knew no peers, did not consider themselves cut off, and each used
/// the full rate, so that a cold replica received several times its limit within a second.
#[test]
fn an_instance_without_known_peers_sends_nothing_to_cold_replicas() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        let mut now = view(route(1), 1);
        now.fleet_size = 3;
        now.cold_until_ms = Arc::new([("s0/a".into(), 60_000), ("s0/b".into(), 60_000)].into());
        fixture.shared.publish(now);
        for second in 0..4 {
            let outcome = fixture.serve(&second.to_string(), 400).await;
            assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        assert!(fixture.replicas.arrivals.borrow().is_empty());
    });
}
