//! API keys of customers: what is checked, what replicas and other instances receive.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{Fixture, in_real_time, in_virtual_time, route, view};
use eelgrasspier_decide::customers::{Customers, RawCustomer};
use eelgrasspier_decide::prelude::RefusalReason;
use eelgrasspier_decide::route::{Configuration, Route};
use eelgrasspier_peer::wire::{self, Body};
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Credential, Outcome, Peer, Request, View};
use http::HeaderValue;
use http::header::{AUTHORIZATION, HeaderName};
use tokio::net::TcpListener;

const DEADLINE_MS: u64 = 400;

fn request_with_key(key: &'static str) -> Request {
    let mut request = common::request("r1", DEADLINE_MS);
    let authorization = HeaderValue::from_str(&format!("Bearer {key}")).unwrap();
    request.headers.insert(AUTHORIZATION, authorization);
    request.headers.insert("x-name", HeaderValue::from_static("forged"));
    request.headers.insert("x-kept", HeaderValue::from_static("yes"));
    request.credential = Credential::Key(key.into());
    request
}

/// Returns a view with one customer `acme` that has these keys and priority 7.
fn view_with_customer(version: u64, keys: &[&str], route: Route, services: usize) -> View {
    let view = view(route, services);
    let customer = RawCustomer {
        name: "acme".into(),
        keys: keys.iter().map(|&k| k.to_owned()).collect(),
        priority: Some(7),
        per_s: 0.0,
        burst: 0.0,
    };
    let customers = Arc::new(Customers::try_from(vec![customer]).unwrap());
    let configuration = Configuration {
        version,
        customers: Some(customers),
        ..Configuration::clone(view.configuration.as_ref().unwrap())
    };
    View { configuration: Some(Arc::new(configuration)), ..view }
}

fn fixture_with_customer(keys: &[&str], route: Route) -> Fixture {
    let fixture = Fixture::new(route.clone(), 1);
    fixture.shared.publish(view_with_customer(2, keys, route, 1));
    fixture
}

fn refusal(outcome: Outcome) -> (RefusalReason, Option<u64>) {
    let Outcome::Refused(refusal) = outcome else { panic!("{outcome:?}") };
    (refusal.reason, refusal.retry_after_ms)
}

/// Replicas must receive neither the key nor an identity that the caller claims.
#[test]
fn replicas_receive_the_customer_and_no_key() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&["k1"], route(1));
        let outcome = fixture.router.serve(request_with_key("k1")).await;
        assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
        let arrivals = fixture.replicas.arrivals.borrow();
        assert_eq!(arrivals[0].customer.as_deref(), Some("acme"));
        let names: Vec<&str> = arrivals[0].headers.keys().map(HeaderName::as_str).collect();
        assert_eq!(names, ["x-kept"]);
    });
}

/// A configuration without customers must change nothing: headers are forwarded in their order.
#[test]
fn without_customers_all_headers_are_forwarded() {
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        let request = request_with_key("k1");
        let sent = request.headers.clone();
        assert!(matches!(fixture.router.serve(request).await, Outcome::Merged(_)));
        let arrivals = fixture.replicas.arrivals.borrow();
        assert!(arrivals[0].headers.iter().eq(sent.iter()));
        assert_eq!(arrivals[0].customer, None);
    });
}

#[test]
fn a_public_route_needs_no_key_and_still_hides_it() {
    in_virtual_time(async {
        let public = Route { is_public: true, ..route(1) };
        let fixture = fixture_with_customer(&["k1"], public);
        for (key, customer) in [("k1", Some("acme")), ("other", None)] {
            let outcome = fixture.router.serve(request_with_key(key)).await;
            assert!(matches!(outcome, Outcome::Merged(_)), "{outcome:?}");
            let arrivals = fixture.replicas.arrivals.borrow();
            let last = arrivals.last().unwrap();
            assert_eq!(last.customer.as_deref(), customer);
            assert!(!last.headers.contains_key(AUTHORIZATION));
            assert!(!last.headers.contains_key("x-name"));
        }
    });
}

/// An unknown key must get 401 only while the configuration is known to be current. An instance
/// that has just started, is cut off or reads a restored store may lack the key.
#[test]
fn an_unknown_key_is_refused_for_good_only_by_a_current_configuration() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&["k1"], route(1));
        let shared = &fixture.shared;
        let serve = async || refusal(fixture.router.serve(request_with_key("new")).await);
        let not_known = (RefusalReason::KeyUnconfirmed, Some(DEADLINE_MS / 3));
        let refused = (RefusalReason::UnknownKey, None);
        assert_eq!(serve().await, not_known, "just started");
        tokio::time::sleep(Duration::from_secs(10)).await;
        shared.record_store_confirmation(shared.now_ms());
        assert_eq!(serve().await, refused, "confirmed by the store");
        shared.record_peer_state(true, true);
        assert_eq!(serve().await, not_known, "the store was restored");
        shared.record_peer_state(false, false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(serve().await, not_known, "the store is silent");
        shared.record_peer_contact();
        assert_eq!(serve().await, not_known, "no other instance reaches the store");
        shared.record_peer_state(true, false);
        assert_eq!(serve().await, refused, "confirmed by another instance");
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(serve().await, not_known, "cut off");
        let no_key = fixture.router.serve(common::request("r2", DEADLINE_MS)).await;
        assert_eq!(refusal(no_key), refused);
        assert!(fixture.replicas.arrivals.borrow().is_empty());
    });
}

/// With a revocation timeout, an instance that is cut off must stop accepting keys, and accept them
/// again once its configuration is confirmed.
#[test]
fn known_keys_are_refused_while_the_configuration_is_unconfirmed_for_the_timeout() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&["k1"], route(1));
        let shared = &fixture.shared;
        tokio::time::sleep(Duration::from_mins(1)).await;
        let serve = async || fixture.router.serve(request_with_key("k1")).await;
        assert!(matches!(serve().await, Outcome::Merged(_)));
        fixture.router.set_revocation_timeout(Some(Duration::from_secs(5)));
        assert_eq!(refusal(serve().await), (RefusalReason::KeyUnconfirmed, Some(DEADLINE_MS / 3)));
        shared.record_store_confirmation(shared.now_ms());
        assert!(matches!(serve().await, Outcome::Merged(_)));
        tokio::time::sleep(Duration::from_secs(4)).await;
        shared.record_peer_contact();
        shared.record_peer_state(true, false);
        tokio::time::sleep(Duration::from_millis(4_900)).await;
        // The other instances lose the store: what they confirmed before still counts.
        shared.record_peer_state(false, false);
        assert!(matches!(serve().await, Outcome::Merged(_)));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(refusal(serve().await), (RefusalReason::KeyUnconfirmed, Some(DEADLINE_MS / 3)));
    });
}

/// A caller whose key can't be checked must have time for retries: a retry time beyond its deadline
/// loses the request, and 0 causes a flood of retries.
#[test]
fn the_retry_time_is_at_most_a_third_of_the_time_left() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&[], Route { timeout_ms: 900, ..route(1) });
        for (deadline_ms, retry_after_ms) in
            [(None, 200), (Some(9_000), 500), (Some(700), 133), (Some(302), 1), (Some(0), 1)]
        {
            let request = Request { deadline_ms, ..request_with_key("k1") };
            tokio::time::sleep(Duration::from_millis(300)).await;
            let refusal = refusal(fixture.router.serve(request).await);
            assert_eq!(refusal, (RefusalReason::KeyUnconfirmed, Some(retry_after_ms)));
        }
    });
}

/// A key that a configuration removes must be refused from the next request on, and a request in
/// progress must finish as it began.
#[test]
fn a_changed_configuration_applies_to_the_next_request() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&["k1"], route(1));
        let shared = &fixture.shared;
        shared.record_store_confirmation(shared.now_ms());
        let change = async {
            tokio::time::sleep(Duration::from_millis(1)).await;
            shared.publish(view_with_customer(3, &["k2"], route(1), 1));
        };
        let first = fixture.router.serve(request_with_key("k1"));
        let (first, ()) = tokio::join!(first, change);
        assert!(matches!(first, Outcome::Merged(_)), "{first:?}");
        let second = fixture.router.serve(request_with_key("k1")).await;
        assert_eq!(refusal(second), (RefusalReason::UnknownKey, None));
        let third = fixture.router.serve(request_with_key("k2")).await;
        assert!(matches!(third, Outcome::Merged(_)), "{third:?}");
        // Customers that are configured after a request was read must not let its key through.
        let read_before = request_with_key("k2");
        shared.publish(view(route(1), 1));
        assert!(matches!(fixture.router.serve(read_before).await, Outcome::Merged(_)));
        let read_before = request_with_key("k2");
        shared.publish(view_with_customer(4, &["k2"], route(1), 1));
        assert!(matches!(fixture.router.serve(read_before).await, Outcome::Merged(_)));
        let arrivals = fixture.replicas.arrivals.borrow();
        let has_key: Vec<bool> =
            arrivals.iter().map(|a| a.headers.contains_key(AUTHORIZATION)).collect();
        assert_eq!(has_key, [false, false, true, false]);
    });
}

/// An instance that records the gather requests that it receives.
struct RecordingService(Rc<RefCell<Vec<wire::GatherRequest>>>);

impl PeerService for RecordingService {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        if let Body::Gather(request) = &request {
            self.0.borrow_mut().push(request.clone());
        }
        Box::pin(async { Body::Gathered(wire::Gathered::default()) })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
}

/// Other instances must receive the customer's name and priority, by which they send to replicas,
/// and never the key.
#[test]
fn relayed_requests_carry_the_customer_and_the_priority_but_no_key() {
    in_real_time(async {
        const SHARDS: usize = 8;
        let received = Rc::new(RefCell::new(Vec::new()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let service = Rc::new(RecordingService(Rc::clone(&received)));
        tokio::task::spawn_local(serve(listener, service));
        let zone = "z1".into();
        let peer = Peer { name: "p".into(), addr, zone, is_gatherer: true, capacity_milli: 500 };
        let fixture = Fixture::new(route(SHARDS), SHARDS);
        let mut view = view_with_customer(2, &["k1"], route(SHARDS), SHARDS);
        (view.is_gatherer, view.capacity_milli) = (false, 500);
        view.peers = Arc::new(vec![peer]);
        fixture.shared.publish(view.with_derived_fields("z1"));
        fixture.router.serve(request_with_key("k1")).await;
        let received = received.borrow();
        assert!(!received.is_empty());
        for request in received.iter() {
            assert_eq!((request.customer.as_str(), request.priority), ("acme", 7));
            let names: Vec<&str> = request.headers.iter().map(|h| h.name.as_str()).collect();
            assert_eq!(names, ["x-kept"]);
        }
    });
}

/// Returns a gather request for the shard `s0`; an empty `customer` means none.
fn gather_request(customer: &str) -> wire::GatherRequest {
    wire::GatherRequest {
        request_id: "r1".into(),
        method: "GET".to_owned(),
        host: "h".to_owned(),
        path: "/q/x".to_owned(),
        route: "r".to_owned(),
        services: vec!["s0".to_owned()],
        attempts: 1,
        top_k: 5,
        time_left_ms: 400,
        answer_within_ms: 70,
        target_latency_ms: 80,
        allowed_replicas: vec![eelgrasspier_decide::relays::replica_hash("s0/a")],
        customer: customer.to_owned(),
        ..wire::GatherRequest::default()
    }
}

/// An entry instance with an older configuration, without customers, forwards all headers. The
/// instance that gathers must not send the key or a forged name on to replicas.
#[test]
fn a_gathering_instance_removes_identities_that_an_older_configuration_let_through() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&["k1"], route(1));
        let header = |name: &str, value: &'static str| wire::Header {
            name: name.to_owned(),
            value: value.into(),
        };
        let headers = [("authorization", "Bearer k1"), ("x-name", "forged"), ("x-kept", "yes")];
        let headers = headers.map(|(name, value)| header(name, value)).to_vec();
        let request = wire::GatherRequest { headers, ..gather_request("") };
        fixture.router.gather_for_peer(request.clone()).await;
        fixture.shared.publish(view(route(1), 1));
        fixture.router.gather_for_peer(request).await;
        let arrivals = fixture.replicas.arrivals.borrow();
        let names = |i: usize| arrivals[i].headers.keys().map(HeaderName::as_str).collect();
        let received: [Vec<&str>; 2] = [names(0), names(1)];
        assert_eq!(received, [vec!["x-kept"], vec!["authorization", "x-name", "x-kept"]]);
    });
}

/// The instance that gathers must pass the customer that the entry instance found on to replicas.
#[test]
fn a_gathering_instance_names_the_customer_to_replicas() {
    in_virtual_time(async {
        let fixture = fixture_with_customer(&[], route(1));
        let request = gather_request("acme");
        fixture.router.gather_for_peer(request).await;
        let arrivals = fixture.replicas.arrivals.borrow();
        assert_eq!(arrivals[0].customer.as_deref(), Some("acme"));
    });
}
