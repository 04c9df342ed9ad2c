//! Loss of instances that gather relayed shards, over real connections.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::{Fixture, in_real_time, route, view};
use eelgrasspier_decide::retry_budget::RetryLimits;
use eelgrasspier_peer::wire::Body;
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Outcome, Peer, Router};
use tokio::net::TcpListener;

const SHARDS: usize = 24;
const DEADLINE_MS: u64 = 3_000;

/// An instance that gathers for others.
struct GatherService(Rc<Router>);

impl PeerService for GatherService {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match request {
                Body::Gather(request) => Body::Gathered(self.0.gather_for_peer(request).await),
                other => other,
            }
        })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
}

/// An instance that accepts requests and never answers.
struct SilentService;

impl PeerService for SilentService {
    fn answer(&self, _request: Body) -> AnswerFuture<'_> {
        Box::pin(std::future::pending())
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
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
    long.min_coverage = 1.0;
    long
}

/// An instance that relays within its zone and has no retry budget.
fn relaying_instance(peers: Vec<Peer>) -> Fixture {
    let no_budget = RetryLimits { ratio_milli: 0, slack: 0, window_ms: 10_000 };
    let fixture = Fixture::with_limits(long_route(), SHARDS, no_budget);
    let mut view = view(long_route(), SHARDS);
    view.is_gatherer = false;
    view.instance_count = 3;
    // Same capacity as the others, so that this one relays the shards itself.
    view.capacity_milli = 500;
    view.peers = Arc::new(peers);
    fixture.shared.publish(view.with_derived_fields("z1"));
    fixture
}

/// The shards of a frozen instance must be relayed to another one. Instances that relay have almost
/// no retry budget to send the shards themselves. With many instances killed at once, answers
/// lacked a third of their shards.
#[test]
fn shards_of_a_frozen_instance_are_relayed_to_another() {
    in_real_time(async {
        let other = Fixture::new(long_route(), SHARDS);
        let silent = start("silent", Rc::new(SilentService)).await;
        let healthy = start("sound", Rc::new(GatherService(Rc::clone(&other.router)))).await;
        let fixture = relaying_instance(vec![silent, healthy]);
        let Outcome::Merged(merged) = fixture.serve("r1", DEADLINE_MS).await else { panic!() };
        assert_eq!((merged.signatures.len(), merged.missing), (SHARDS, 0));
        assert!(fixture.replicas.arrivals.borrow().is_empty());
        assert_eq!(other.replicas.arrivals.borrow().len(), SHARDS);
    });
}

/// The shards of a stopped instance must be relayed to another one: nothing listens at its address
/// any more.
#[test]
fn shards_of_a_lost_instance_are_relayed_to_another() {
    in_real_time(async {
        let other = Fixture::new(long_route(), SHARDS);
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = gone.local_addr().unwrap();
        drop(gone);
        let healthy = start("sound", Rc::new(GatherService(Rc::clone(&other.router)))).await;
        let lost = Peer { name: "lost".into(), addr, ..healthy.clone() };
        let fixture = relaying_instance(vec![lost, healthy]);
        let Outcome::Merged(merged) = fixture.serve("r1", DEADLINE_MS).await else { panic!() };
        assert_eq!((merged.signatures.len(), merged.missing), (SHARDS, 0));
    });
}

/// The instance that takes over shards must pay for them from its retry budget. The lost instance
/// may have sent them already, and counting them as first sends would exceed the total budget of a
/// service.
#[test]
fn the_replacement_instance_pays_for_the_retries() {
    in_real_time(async {
        let no_budget = RetryLimits { ratio_milli: 0, slack: 0, window_ms: 10_000 };
        let other = Fixture::with_limits(long_route(), SHARDS, no_budget);
        let silent = start("silent", Rc::new(SilentService)).await;
        let healthy = start("sound", Rc::new(GatherService(Rc::clone(&other.router)))).await;
        let fixture = relaying_instance(vec![silent, healthy]);
        assert!(matches!(fixture.serve("r1", DEADLINE_MS).await, Outcome::Refused(_)));
        // Only the shards that were relayed to it in the first place.
        let arrivals = other.replicas.arrivals.borrow().len();
        assert!((1..SHARDS).contains(&arrivals), "{arrivals}");
    });
}

/// Guards against sending unpaid what a frozen instance may have sent, because its replacement
/// can't be reached.
#[test]
fn an_unreachable_replacement_does_not_make_a_retry_free() {
    in_real_time(async {
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = gone.local_addr().unwrap();
        drop(gone);
        let silent = start("silent", Rc::new(SilentService)).await;
        // Its capacity is so low that it gathers no shard in the first place.
        let gone = Peer { name: "down".into(), addr, capacity_milli: 1, ..silent.clone() };
        let fixture = relaying_instance(vec![silent, gone]);
        assert!(matches!(fixture.serve("r1", DEADLINE_MS).await, Outcome::Refused(_)));
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 0);
    });
}
