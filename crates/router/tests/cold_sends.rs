//! Tests of requests to other instances for cold replicas and home regions, over real connections.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use common::{Fixture, in_real_time, route, view};
use eelgrasspier_decide::prelude::Verdict;
use eelgrasspier_decide::route::{Route, Target};
use eelgrasspier_peer::wire::Body;
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Outcome, Peer};
use tokio::net::TcpListener;

/// A mock instance that permits some sends to cold replicas and refuses to gather.
#[derive(Default)]
struct MockInstance {
    remaining_permits: Cell<u32>,
    requested_replicas: RefCell<Vec<String>>,
    gather_requests: Cell<u32>,
}

struct MockService(Rc<MockInstance>);

impl PeerService for MockService {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        let MockService(instance) = self;
        let answer = match request {
            Body::ColdSend(request) => {
                instance.requested_replicas.borrow_mut().push(request.replica);
                let left = instance.remaining_permits.get();
                instance.remaining_permits.set(left.saturating_sub(1));
                Body::ColdSendAllowed(left > 0)
            }
            Body::Gather(_) => {
                instance.gather_requests.set(instance.gather_requests.get() + 1);
                Body::Refused("it gathers nothing".to_owned())
            }
            other => other,
        };
        Box::pin(std::future::ready(answer))
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
}

async fn start_mock(zone: &str, permits: u32) -> (Rc<MockInstance>, Peer) {
    let instance =
        Rc::new(MockInstance { remaining_permits: Cell::new(permits), ..MockInstance::default() });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::new(MockService(Rc::clone(&instance)))));
    let (is_gatherer, capacity_milli) = (true, 500);
    let peer = Peer { name: "keeper".into(), addr, zone: zone.into(), is_gatherer, capacity_milli };
    (instance, peer)
}

fn service_route() -> Route {
    let mut one = route(1);
    (one.target, one.is_idempotent) = (Target::Service("s0".into()), false);
    one
}

/// Builds a router that does not gather, with one peer and the given cold replicas.
fn fixture_with_peer(route: Route, services: usize, peer: Peer, cold: &[&str]) -> Fixture {
    let fixture = Fixture::new(route.clone(), services);
    let mut new_view = view(route, services);
    new_view.is_gatherer = false;
    new_view.instance_count = 3;
    new_view.peers = Arc::new(vec![peer]);
    let until_ms = 600_000;
    new_view.cold_until_ms = Arc::new(cold.iter().map(|id| (Arc::from(*id), until_ms)).collect());
    fixture.shared.publish(new_view.with_derived_fields("z1"));
    fixture
}

/// Guards against refusing requests although another instance may still send to the cold replica.
///
/// When all replicas of a service restarted cold, only the instance that counted for them served
/// it. With equal shares of a few requests a second, the shares of instances without callers were
/// unused.
#[test]
fn another_instance_permits_sends_to_a_cold_replica() {
    in_real_time(async {
        let (instance, peer) = start_mock("z1", 2).await;
        let fixture = fixture_with_peer(service_route(), 1, peer, &["s0/a", "s0/b"]);
        for id in ["1", "2"] {
            let outcome = fixture.serve(id, 2_000).await;
            assert!(matches!(outcome, Outcome::Relayed(_)), "{outcome:?}");
        }
        let Outcome::Refused(refusal) = fixture.serve("3", 2_000).await else { panic!("served") };
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 2);
        assert!(
            instance.requested_replicas.borrow().len() > 2,
            "both replicas were asked for at the end"
        );
    });
}

#[test]
fn no_permission_is_requested_while_a_replica_is_warm() {
    in_real_time(async {
        let (instance, peer) = start_mock("z1", 5).await;
        let fixture = fixture_with_peer(service_route(), 1, peer, &["s0/a"]);
        let outcome = fixture.serve("1", 2_000).await;
        assert!(matches!(outcome, Outcome::Relayed(_)), "{outcome:?}");
        assert_eq!(fixture.replicas.arrivals_at("s0/b"), 1);
        assert!(instance.requested_replicas.borrow().is_empty());
    });
}

/// Guards against sending the body of a request with a home region to another region.
///
/// A small instance handed the request to a larger one of its zone that was outside the home region
/// too, because instances were chosen by CPU capacity and zone alone.
#[test]
fn a_request_stays_in_its_home_regions() {
    in_real_time(async {
        for (home, gather_requests) in [("island", 0), ("coast", 1)] {
            let (instance, peer) = start_mock("z1", 0).await;
            let mut home_route = route(4);
            home_route.home_regions = [home.into()].into();
            let fixture = fixture_with_peer(home_route, 4, peer, &[]);
            let regions = [("z1", "coast"), ("z2", "island")].map(|(z, r)| (z.into(), r.into()));
            fixture.router.set_regions(regions.into_iter().collect());
            // The outcome does not matter, only which instances and replicas were asked.
            drop(fixture.serve("1", 400).await);
            assert_eq!(instance.gather_requests.get().min(1), gather_requests, "{home}");
            let foreign_replica = if home == "coast" { "b" } else { "a" };
            let arrivals = fixture.replicas.arrivals.borrow();
            assert!(arrivals.iter().all(|a| !a.replica.ends_with(foreign_replica)), "{arrivals:?}");
        }
    });
}
