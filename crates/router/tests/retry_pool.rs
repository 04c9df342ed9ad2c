//! Extra sends from the retry pool of a service, over real connections to its owner.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{Fixture, ReplicaBehavior, in_real_time, in_virtual_time, route, view};
use eelgrasspier_decide::retry_budget::RetryLimits;
use eelgrasspier_decide::route::{Route, Target};
use eelgrasspier_peer::wire::{Body, RetryTokenRequest};
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Outcome, Peer};
use tokio::net::TcpListener;

/// Requests add nothing to the budget, so that each extra send needs slack.
const LIMITS: RetryLimits = RetryLimits { ratio_milli: 0, slack: 54, window_ms: 10_000 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerBehavior {
    Grants,
    GrantsRetries,
    Denies,
    Silent,
}

/// A mock owner that records whether it was asked for hedges.
struct MockOwner {
    behavior: Cell<OwnerBehavior>,
    asked_for_hedges: RefCell<Vec<bool>>,
}

struct MockService(Rc<MockOwner>);

impl PeerService for MockService {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        let MockService(owner) = self;
        let Body::RetryToken(request) = request else {
            return Box::pin(std::future::ready(Body::Refused("not expected".to_owned())));
        };
        assert_eq!(request.service, "s0");
        owner.asked_for_hedges.borrow_mut().push(request.is_hedge);
        let is_granted = match owner.behavior.get() {
            OwnerBehavior::Grants => true,
            OwnerBehavior::GrantsRetries => !request.is_hedge,
            OwnerBehavior::Denies => false,
            OwnerBehavior::Silent => return Box::pin(std::future::pending()),
        };
        Box::pin(std::future::ready(Body::RetryTokenGranted(is_granted)))
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
}

async fn start_mock(behavior: OwnerBehavior) -> (Rc<MockOwner>, Peer) {
    let owner =
        MockOwner { behavior: Cell::new(behavior), asked_for_hedges: RefCell::default() }.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::new(MockService(Rc::clone(&owner)))));
    let (is_gatherer, capacity_milli) = (true, 500);
    let peer = Peer { name: "owner".into(), addr, zone: "z1".into(), is_gatherer, capacity_milli };
    (owner, peer)
}

fn service_route() -> Route {
    Route { target: Target::Service("s0".into()), ..route(1) }
}

fn fixture(peer: Peer, is_gatherer: bool, fleet_size: u64) -> Fixture {
    let fixture = Fixture::with_limits(service_route(), 1, LIMITS);
    let mut new_view = view(service_route(), 1);
    (new_view.is_gatherer, new_view.instance_count) = (is_gatherer, 100);
    (new_view.peers, new_view.fleet_size) = (Arc::new(vec![peer]), fleet_size);
    fixture.shared.publish(new_view.with_derived_fields("z1"));
    fixture
}

/// An instance that does not gather, and whose nearest replica fails.
fn borrower(peer: Peer, fails_after_ms: u64) -> Fixture {
    let fixture = fixture(peer, false, 2);
    fixture.replicas.set_behavior("s0/a", ReplicaBehavior::FailsAfter(fails_after_ms));
    fixture
}

async fn status(fixture: &Fixture, id: &str) -> u16 {
    match fixture.serve(id, 2_000).await {
        Outcome::Relayed(reply) => reply.status.as_u16(),
        outcome => panic!("{outcome:?}"),
    }
}

/// Guards against never retrying requests to a single service where 100 instances divide the slack.
#[test]
fn a_granted_retry_is_sent() {
    in_real_time(async {
        let (owner, peer) = start_mock(OwnerBehavior::Grants).await;
        let fixture = borrower(peer, 1);
        assert_eq!(status(&fixture, "1").await, 200);
        assert_eq!(*owner.asked_for_hedges.borrow(), [false]);
        assert_eq!(fixture.replicas.arrivals_at("s0/b"), 1);
    });
}

/// Guards against sending without a grant, and against asking for each of a flood of retries.
#[test]
fn without_a_grant_the_first_failure_is_the_outcome() {
    for behavior in [OwnerBehavior::Denies, OwnerBehavior::Silent] {
        in_real_time(async {
            let (owner, peer) = start_mock(behavior).await;
            let fixture = borrower(peer, 1);
            fixture.replicas.set_behavior("s0/b", ReplicaBehavior::FailsAfter(1));
            for id in ["1", "2", "3"] {
                assert_eq!(status(&fixture, id).await, 500);
            }
            assert_eq!(fixture.replicas.arrivals.borrow().len(), 3, "{behavior:?}");
            assert_eq!(*owner.asked_for_hedges.borrow(), [false], "{behavior:?}");
        });
    }
}

/// Guards against denying all extra sends because one had too little time left for the answer.
#[test]
fn a_question_without_enough_time_is_no_denial() {
    in_real_time(async {
        let (owner, peer) = start_mock(OwnerBehavior::Silent).await;
        let fixture = borrower(peer, 1);
        fixture.replicas.set_behavior("s0/b", ReplicaBehavior::FailsAfter(1));
        fixture.serve("1", 30).await;
        assert_eq!(status(&fixture, "2").await, 500);
        assert_eq!(*owner.asked_for_hedges.borrow(), [false, false]);
    });
}

/// Guards against losing the retry after a failure because a hedge was denied before.
#[test]
fn a_denied_hedge_does_not_prevent_a_retry() {
    in_real_time(async {
        let (owner, peer) = start_mock(OwnerBehavior::GrantsRetries).await;
        let fixture = borrower(peer, 200);
        assert_eq!(status(&fixture, "1").await, 200);
        assert_eq!(*owner.asked_for_hedges.borrow(), [true, false]);
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 2);
    });
}

/// Three quarters of a third of the slack of 54 are lent, to others and to the owner itself, and hedges get
/// half of that. An owner that knows no majority of the fleet lends nothing, nor does one in the
/// first window of its process: its predecessors may have lent the rest.
#[test]
fn an_owner_lends_its_pool_and_uses_it() {
    in_virtual_time(async {
        let (_, mut peer) = start_mock(OwnerBehavior::Denies).await;
        peer.is_gatherer = false;
        let ask = |fixture: &Fixture, is_hedge| {
            let service = "s0".to_owned();
            let request = RetryTokenRequest { service, is_hedge, ..RetryTokenRequest::default() };
            fixture.router.grant_retry_token(&request)
        };
        let (minority, fixture) = (fixture(peer.clone(), true, 4), fixture(peer, true, 2));
        tokio::time::advance(Duration::from_millis(9_999)).await;
        fixture.shared.record_peer_contact();
        assert!(!ask(&fixture, false));
        tokio::time::advance(Duration::from_millis(1)).await;
        minority.shared.record_peer_contact();
        assert!(!ask(&minority, false));
        tokio::time::advance(Duration::from_secs(1)).await;
        fixture.shared.record_peer_contact();
        assert_eq!((0..54).filter(|_| ask(&fixture, true)).count(), 7);
        fixture.replicas.set_behavior("s0/a", ReplicaBehavior::FailsAfter(1));
        assert_eq!(status(&fixture, "1").await, 200);
        assert_eq!((0..54).filter(|_| ask(&fixture, false)).count(), 5);
        fixture.replicas.set_behavior("s0/b", ReplicaBehavior::FailsAfter(1));
        assert_eq!(status(&fixture, "2").await, 500);
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 3);
    });
}

/// Guards against messages and a pool where all instances gather and have an equal part.
#[test]
fn nobody_is_asked_where_no_instance_delegates() {
    in_real_time(async {
        let (owner, peer) = start_mock(OwnerBehavior::Grants).await;
        let fixture = fixture(peer, true, 2);
        for replica in ["s0/a", "s0/b"] {
            fixture.replicas.set_behavior(replica, ReplicaBehavior::FailsAfter(1));
        }
        assert_eq!(status(&fixture, "1").await, 500);
        assert_eq!(fixture.replicas.arrivals.borrow().len(), 1);
        assert!(owner.asked_for_hedges.borrow().is_empty());
    });
}
