//! Answers of other instances whose parts and records don't belong together.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::{Fixture, in_real_time, route, view};
use eelgrasspier_peer::wire::{Body, Gathered};
use eelgrasspier_peer::{AnswerFuture, PeerService, serve};
use eelgrasspier_router::{Outcome, Peer, Router};
use tokio::net::TcpListener;

const SHARDS: usize = 24;
const DEADLINE_MS: u64 = 3_000;
/// Record that no replica has; theirs are all sevens.
const FOREIGN_RECORD: [u8; 16] = [9; 16];

/// An instance whose answers are changed on their way.
struct TamperedService {
    router: Rc<Router>,
    tamper: fn(&mut Gathered),
}

impl PeerService for TamperedService {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            let Body::Gather(request) = request else { return request };
            let mut answer = self.router.gather_for_peer(request).await;
            (self.tamper)(&mut answer);
            Body::Gathered(answer)
        })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
}

/// Serves a request through an instance whose answers are changed.
async fn serve_through(tamper: fn(&mut Gathered)) -> Outcome {
    let remote = Fixture::new(route(SHARDS), SHARDS);
    let service = TamperedService { router: Rc::clone(&remote.router), tamper };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::new(service)));
    let (is_gatherer, capacity_milli) = (true, 500);
    let peer = Peer { name: "other".into(), addr, zone: "z1".into(), is_gatherer, capacity_milli };
    let fixture = Fixture::new(route(SHARDS), SHARDS);
    let mut view = view(route(SHARDS), SHARDS);
    (view.is_gatherer, view.instance_count, view.capacity_milli) = (false, 2, 120);
    view.peers = Arc::new(vec![peer]);
    fixture.shared.publish(view.with_derived_fields("z1"));
    fixture.serve("r1", DEADLINE_MS).await
}

fn add_foreign_record(answer: &mut Gathered) {
    let known = answer.records.len() - FOREIGN_RECORD.len();
    answer.records = [&FOREIGN_RECORD, &answer.records[..known]].concat().into();
}

/// Guards against an answer whose records include those of a part that it does not name.
#[test]
fn records_of_a_part_beyond_the_requested_shards_are_not_returned() {
    in_real_time(async {
        let outcome = serve_through(|answer| {
            answer.parts[0].shard = u32::try_from(SHARDS).unwrap();
            add_foreign_record(answer);
        })
        .await;
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    });
}

/// Guards against the merged answer of one request being returned to another.
#[test]
fn a_merged_answer_to_another_request_is_not_returned() {
    in_real_time(async {
        let outcome = serve_through(|answer| {
            answer.request_hash += 1;
            add_foreign_record(answer);
        })
        .await;
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    });
}

/// Guards against an answer that counts a part twice, or that names it twice.
#[test]
fn a_part_that_is_merged_twice_is_not_returned() {
    in_real_time(async {
        let same_shard: fn(&mut Gathered) = |answer| answer.parts[1].shard = answer.parts[0].shard;
        let same_signature: fn(&mut Gathered) =
            |answer| answer.parts[1].signature = answer.parts[0].signature.clone();
        for tamper in [same_shard, same_signature] {
            let outcome = serve_through(tamper).await;
            assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
        }
    });
}

/// Guards against the check itself: the answers of sound instances, also of earlier versions, pass.
#[test]
fn sound_merged_answers_are_returned() {
    in_real_time(async {
        let untouched: fn(&mut Gathered) = |_| ();
        for tamper in [untouched, |answer| answer.request_hash = 0] {
            let Outcome::Merged(merged) = serve_through(tamper).await else { panic!("refused") };
            assert_eq!((merged.signatures.len(), merged.missing), (SHARDS, 0));
        }
    });
}
