//! Answers requests of other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::mirror::Changes;
use eelgrasspier_peer::wire::{Body, ChangesRequest};
use eelgrasspier_peer::{AnswerFuture, PeerService, compression};
use eelgrasspier_store::CollectionKind;
use prost::Message;
use tokio::sync::{mpsc, oneshot};

use crate::control::ControlRequest;
use crate::router::Router;

/// Handler of requests from other instances.
pub(crate) struct PeerRequestHandler {
    pub(crate) router: Rc<Router>,
    pub(crate) control: mpsc::UnboundedSender<ControlRequest>,
    /// The last compressed answer of each kind.
    compressed_answers: RefCell<HashMap<CollectionKind, CachedAnswer>>,
}

/// A cached answer: others of the zone are about to request the same.
///
/// Twenty instances fetch the same changes within a second. Compressing the answer again for each
/// would take time on the traffic thread.
#[derive(Clone, PartialEq)]
struct CachedAnswer {
    /// Position after which changes were requested.
    requested_after: Position,
    /// Position up to which the answer is complete.
    as_of: Position,
    /// Length of the answer before compression, in bytes.
    ///
    /// It detects a changed answer at the same position: after a restore the known changes may
    /// differ though the store has not changed.
    length_bytes: usize,
    answer: Body,
}

impl PeerRequestHandler {
    pub(crate) fn new(router: Rc<Router>, control: mpsc::UnboundedSender<ControlRequest>) -> Self {
        Self { router, control, compressed_answers: RefCell::default() }
    }

    async fn changes(&self, kind: CollectionKind, after: Position) -> Body {
        let (reply, changes) = oneshot::channel();
        let request = ControlRequest::Changes { kind, after, reply };
        if self.control.send(request).is_err() {
            return Body::Refused("control has ended".to_owned());
        }
        match changes.await {
            Ok(changes) => self.compress_cached(kind, after, changes),
            Err(_) => Body::Refused("control has ended".to_owned()),
        }
    }

    /// Returns the records of all members that this instance knows.
    async fn members(&self) -> Body {
        let (reply, members) = oneshot::channel();
        if self.control.send(ControlRequest::Members { reply }).is_err() {
            return Body::Refused("control has ended".to_owned());
        }
        match members.await {
            Ok(members) => Body::Members(members),
            Err(_) => Body::Refused("control has ended".to_owned()),
        }
    }

    fn compress_cached(
        &self,
        kind: CollectionKind,
        requested_after: Position,
        changes: Changes,
    ) -> Body {
        let (as_of, length_bytes) = (changes.position(), changes.encoded_len());
        let mut cache = self.compressed_answers.borrow_mut();
        let is_same = |p: &&CachedAnswer| {
            (p.requested_after, p.as_of, p.length_bytes) == (requested_after, as_of, length_bytes)
        };
        if let Some(last) = cache.get(&kind).filter(is_same) {
            return last.answer.clone();
        }
        let answer = compression::compress(changes);
        if matches!(answer, Body::PackedChanges(_)) {
            cache.insert(
                kind,
                CachedAnswer { requested_after, as_of, length_bytes, answer: answer.clone() },
            );
        }
        answer
    }
}

impl PeerService for PeerRequestHandler {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match request {
                Body::ChangesAbove(ChangesRequest { is_replicas, revision, era }) => {
                    let kind = if is_replicas {
                        CollectionKind::Replicas
                    } else {
                        CollectionKind::Configuration
                    };
                    self.changes(kind, Position { era, revision }).await
                }
                Body::EvacuationsAbove(revision) => {
                    self.changes(CollectionKind::Evacuations, Position { era: 0, revision }).await
                }
                Body::EvacuationsAfter(after) => {
                    self.changes(CollectionKind::Evacuations, after).await
                }
                Body::MembersAsk(_) => self.members().await,
                Body::Gather(request) => Body::Gathered(self.router.gather_for_peer(request).await),
                Body::ColdSend(request) => {
                    Body::ColdSendAllowed(self.router.grant_cold_send(&request))
                }
                Body::RetryToken(request) => {
                    Body::RetryTokenGranted(self.router.grant_retry_token(&request))
                }
                Body::Limit(request) => Body::LimitAnswer(self.router.answer_limit(&request)),
                Body::Alive(empty) => Body::Alive(empty),
                _ => Body::Refused("not a question for a router".to_owned()),
            }
        })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe_stamp(&self, _stamp: u64) {}
}
