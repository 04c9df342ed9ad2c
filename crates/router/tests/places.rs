//! Where replicas may be, and what is sent to those that are cold.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Conduct, World, in_virtual_time, route, view};
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_router::Outcome;

/// Symptom: a request reached a replica seconds after its zone was evacuated.
/// Sequence: a request was sent to one zone's replica, which stayed silent; the other zone was
/// evacuated meanwhile, and the second send went there.
/// Cause: a request went by what was listed when it came.
#[test]
fn a_second_send_goes_by_what_is_listed_now() {
    in_virtual_time(async {
        let world = World::new(route(1), 1);
        world.script.set("s0/a", Conduct::Silent);
        let evacuating = async {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let mut now = view(route(1), 1);
            let is_own = |r: &Arc<ReplicaEntry>| &*r.zone == "z1";
            let mut replicas = (*now.replicas).clone();
            for all in replicas.values_mut() {
                all.retain(is_own);
            }
            now.replicas = Arc::new(replicas);
            world.shared.publish(now);
        };
        let (outcome, ()) = tokio::join!(world.serve("1", 400), evacuating);
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
        assert_eq!(world.script.arrivals_at("s0/b"), 0);
    });
}

/// Symptom: a request ran in a region that is not its home.
/// Sequence: its home's replica was silent; the second send went abroad.
/// Cause: nobody knew where a request may run.
#[test]
fn neither_first_nor_second_sends_leave_the_home_region() {
    in_virtual_time(async {
        let mut homed = route(1);
        homed.home_regions = ["coast".into()].into();
        let world = World::new(homed, 1);
        let regions = [("z1", "coast"), ("z2", "island")].map(|(z, r)| (z.into(), r.into()));
        world.router.set_regions(regions.into_iter().collect());
        world.script.set("s0/a", Conduct::Silent);
        let outcome = world.serve("1", 400).await;
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
        let arrivals = |id| world.script.arrivals_at(id);
        assert_eq!((arrivals("s0/a"), arrivals("s0/b")), (1, 0));
    });
}

/// Sequence: a replica is cold, and the other one warm: all go to the warm one but what the cold
/// one stands; nothing does in the first second, when another may have counted before.
#[test]
fn a_cold_replica_gets_what_it_stands_and_the_warm_one_the_rest() {
    in_virtual_time(async {
        let world = World::new(route(1), 1);
        let mut cold = view(route(1), 1);
        cold.cold_until_ms = Arc::new([("s0/a".into(), 60_000)].into());
        world.shared.publish(cold);
        let mut last = 0;
        for second in 0..4 {
            for n in 0..20 {
                world.serve(&format!("{second}-{n}"), 400).await;
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            let now = world.script.arrivals_at("s0/a");
            assert!(now - last <= 4, "{} in a second", now - last);
            last = now;
        }
        assert!(last >= 8, "{last} in four seconds");
        assert_eq!(world.script.arrivals_at("s0/a") + world.script.arrivals_at("s0/b"), 80);
    });
}

/// Symptom: a cold replica got the share of several instances within a second.
/// Sequence: instances that were cut off from all others started again; each knew nobody, took
/// itself for the only one, and counted by itself.
/// Cause: one that hears of nobody was only taken for cut off where it knew somebody.
#[test]
fn an_instance_that_knows_nobody_of_its_fleet_sends_nothing_to_cold_replicas() {
    in_virtual_time(async {
        let world = World::new(route(1), 1);
        let mut now = view(route(1), 1);
        now.fleet = 3;
        now.cold_until_ms = Arc::new([("s0/a".into(), 60_000), ("s0/b".into(), 60_000)].into());
        world.shared.publish(now);
        for second in 0..4 {
            let outcome = world.serve(&second.to_string(), 400).await;
            assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        assert!(world.script.arrivals.borrow().is_empty());
    });
}
