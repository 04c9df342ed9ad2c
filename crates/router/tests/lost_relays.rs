//! Instances that were asked for shards and bring nothing, over real connections.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::{World, in_real_time, route, view};
use eelgrasspier_decide::allowance::RepeatLimits;
use eelgrasspier_peer::wire::Body;
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Outcome, Peer, Router};
use tokio::net::TcpListener;

const SHARDS: usize = 24;
const DEADLINE_MS: u64 = 3_000;

/// An instance that gathers.
struct Gathering(Rc<Router>);

impl PeerService for Gathering {
    fn answer(&self, question: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match question {
                Body::Gather(question) => Body::Gathered(self.0.gather_for_peer(question).await),
                other => other,
            }
        })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _stamp: u64) {}
}

/// An instance that takes questions and says nothing.
struct Silent;

impl PeerService for Silent {
    fn answer(&self, _question: Body) -> AnswerFuture<'_> {
        Box::pin(std::future::pending())
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _stamp: u64) {}
}

async fn start(name: &str, service: Rc<dyn PeerService>) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, service));
    Peer { name: name.into(), addr, zone: "z1".into(), is_gatherer: true, capacity_milli: 500 }
}

fn long_route() -> eelgrasspier_decide::route::Route {
    let mut long = route(SHARDS);
    (long.timeout_ms, long.target_latency_ms) = (DEADLINE_MS, 1_500);
    long.least_share = 1.0;
    long
}

/// One that asks others in its zone, and can't pay for a repeat itself.
fn asking(peers: Vec<Peer>) -> World {
    let nothing = RepeatLimits { ratio_milli: 0, slack: 0, window_ms: 10_000 };
    let world = World::with_limits(long_route(), SHARDS, nothing);
    let mut view = view(long_route(), SHARDS);
    view.is_gatherer = false;
    view.instances = 3;
    // As large as the others, so that it asks them itself.
    view.capacity_milli = 500;
    view.peers = Arc::new(peers);
    world.shared.publish(view.share_out("z1"));
    world
}

/// Symptom: with many instances killed at once, answers lacked a third of their shards.
/// Sequence: one of a zone's two gathering instances froze or ended; those that had asked it
/// had no budget to send its shards themselves.
/// Cause: the shards of a lost instance were sent from here or not at all.
#[test]
fn the_shards_of_a_silent_instance_come_by_way_of_another() {
    in_real_time(async {
        let other = World::new(long_route(), SHARDS);
        let silent = start("silent", Rc::new(Silent)).await;
        let sound = start("sound", Rc::new(Gathering(Rc::clone(&other.router)))).await;
        let world = asking(vec![silent, sound]);
        let Outcome::Merged(merged) = world.serve("r1", DEADLINE_MS).await else { panic!() };
        assert_eq!((merged.signatures.len(), merged.missing), (SHARDS, 0));
        assert!(world.script.arrivals.borrow().is_empty());
        assert_eq!(other.script.arrivals.borrow().len(), SHARDS);
    });
}

/// The same where the instance is gone: nobody listens at its address.
#[test]
fn the_shards_of_a_lost_instance_come_by_way_of_another() {
    in_real_time(async {
        let other = World::new(long_route(), SHARDS);
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = gone.local_addr().unwrap();
        drop(gone);
        let sound = start("sound", Rc::new(Gathering(Rc::clone(&other.router)))).await;
        let lost = Peer { name: "lost".into(), addr, ..sound.clone() };
        let world = asking(vec![lost, sound]);
        let Outcome::Merged(merged) = world.serve("r1", DEADLINE_MS).await else { panic!() };
        assert_eq!((merged.signatures.len(), merged.missing), (SHARDS, 0));
    });
}

/// Symptom: a service got more repeats than all instances together may send.
/// Sequence: a question for the shards of a lost instance was answered by first sends.
/// Cause it guards against: not paying for what another instance may have sent.
#[test]
fn the_one_that_is_asked_instead_pays_for_the_repeats() {
    in_real_time(async {
        let nothing = RepeatLimits { ratio_milli: 0, slack: 0, window_ms: 10_000 };
        let other = World::with_limits(long_route(), SHARDS, nothing);
        let silent = start("silent", Rc::new(Silent)).await;
        let sound = start("sound", Rc::new(Gathering(Rc::clone(&other.router)))).await;
        let world = asking(vec![silent, sound]);
        assert!(matches!(world.serve("r1", DEADLINE_MS).await, Outcome::Refused(_)));
        // Only what it was asked for in the first place.
        let arrivals = other.script.arrivals.borrow().len();
        assert!((1..SHARDS).contains(&arrivals), "{arrivals}");
    });
}
