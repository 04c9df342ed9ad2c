//! What other instances are asked, where a replica is cold or a request has a home; over real
//! connections.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use common::{World, in_real_time, route, view};
use eelgrasspier_decide::prelude::Verdict;
use eelgrasspier_decide::route::{Route, Target};
use eelgrasspier_peer::wire::Body;
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Outcome, Peer};
use tokio::net::TcpListener;

/// An instance that lets out some requests to cold replicas, and gathers nothing.
#[derive(Default)]
struct Keeper {
    left: Cell<u32>,
    asked_for: RefCell<Vec<String>>,
    gathers: Cell<u32>,
}

struct Front(Rc<Keeper>);

impl PeerService for Front {
    fn answer(&self, question: Body) -> AnswerFuture<'_> {
        let Front(keeper) = self;
        let answer = match question {
            Body::ColdSend(question) => {
                keeper.asked_for.borrow_mut().push(question.replica);
                let left = keeper.left.get();
                keeper.left.set(left.saturating_sub(1));
                Body::ColdSendAllowed(left > 0)
            }
            Body::Gather(_) => {
                keeper.gathers.set(keeper.gathers.get() + 1);
                Body::Refused("it gathers nothing".to_owned())
            }
            other => other,
        };
        Box::pin(std::future::ready(answer))
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _stamp: u64) {}
}

async fn keeper(zone: &str, left: u32) -> (Rc<Keeper>, Peer) {
    let keeper = Rc::new(Keeper { left: Cell::new(left), ..Keeper::default() });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::new(Front(Rc::clone(&keeper)))));
    let (is_gatherer, capacity_milli) = (true, 500);
    let peer = Peer { name: "keeper".into(), addr, zone: zone.into(), is_gatherer, capacity_milli };
    (keeper, peer)
}

fn to_one() -> Route {
    let mut one = route(1);
    (one.target, one.is_idempotent) = (Target::Service("s0".into()), false);
    one
}

/// An instance of another zone than all replicas, which gathers nothing itself.
fn asking(route: Route, services: usize, peer: Peer, cold: &[&str]) -> World {
    let world = World::new(route.clone(), services);
    let mut now = view(route, services);
    now.is_gatherer = false;
    now.instances = 3;
    now.peers = Arc::new(vec![peer]);
    let until_ms = 600_000;
    now.cold_until_ms = Arc::new(cold.iter().map(|id| (Arc::from(*id), until_ms)).collect());
    world.shared.publish(now.share_out("z1"));
    world
}

/// Symptom: a service all of whose replicas had come back cold was served at the one instance that
/// counted for them, and refused at all others.
/// Sequence: shares of a few requests a second were left unused where no callers came.
/// Cause it guards against: leave that can't be had elsewhere.
#[test]
fn leave_to_send_to_a_cold_replica_is_had_from_its_keeper() {
    in_real_time(async {
        let (keeper, peer) = keeper("z1", 2).await;
        let world = asking(to_one(), 1, peer, &["s0/a", "s0/b"]);
        for id in ["1", "2"] {
            let outcome = world.serve(id, 2_000).await;
            assert!(matches!(outcome, Outcome::Relayed(_)), "{outcome:?}");
        }
        let Outcome::Refused(refusal) = world.serve("3", 2_000).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(world.script.arrivals.borrow().len(), 2);
        assert!(keeper.asked_for.borrow().len() > 2, "both replicas were asked for at the end");
    });
}

#[test]
fn nobody_is_asked_while_a_replica_is_warm() {
    in_real_time(async {
        let (keeper, peer) = keeper("z1", 5).await;
        let world = asking(to_one(), 1, peer, &["s0/a"]);
        let outcome = world.serve("1", 2_000).await;
        assert!(matches!(outcome, Outcome::Relayed(_)), "{outcome:?}");
        assert_eq!(world.script.arrivals_at("s0/b"), 1);
        assert!(keeper.asked_for.borrow().is_empty());
    });
}

/// Symptom: the body of a request with a home was sent to an instance of another region.
/// Sequence: a small instance handed it to a large one beside it, which is not at home either.
/// Cause: instances were chosen by their processor time and zone alone.
#[test]
fn a_request_with_a_home_is_not_handed_abroad() {
    in_real_time(async {
        for (home, gathers) in [("island", 0), ("coast", 1)] {
            let (keeper, peer) = keeper("z1", 0).await;
            let mut homed = route(4);
            homed.home_regions = [home.into()].into();
            let world = asking(homed, 4, peer, &[]);
            let regions = [("z1", "coast"), ("z2", "island")].map(|(z, r)| (z.into(), r.into()));
            world.router.set_regions(regions.into_iter().collect());
            // Whatever comes of it: only who was asked counts.
            drop(world.serve("1", 400).await);
            assert_eq!(keeper.gathers.get().min(1), gathers, "{home}");
            let abroad = if home == "coast" { "b" } else { "a" };
            let arrivals = world.script.arrivals.borrow();
            assert!(arrivals.iter().all(|a| !a.replica.ends_with(abroad)), "{arrivals:?}");
        }
    });
}
