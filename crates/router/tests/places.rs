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
