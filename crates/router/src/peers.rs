//! Answers the questions of other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::mirror::Changes;
use eelgrasspier_peer::wire::{Body, ChangesAbove};
use eelgrasspier_peer::{AnswerFuture, PeerService, packed};
use eelgrasspier_store::Kind;
use prost::Message;
use tokio::sync::{mpsc, oneshot};

use crate::control::Ask;
use crate::router::Router;

/// What answers the questions of other instances.
pub(crate) struct Peers {
    pub(crate) router: Rc<Router>,
    pub(crate) control: mpsc::UnboundedSender<Ask>,
    /// The last long answer of each kind.
    packed: RefCell<HashMap<Kind, Packed>>,
}

/// An answer that others of the zone are about to ask for too: twenty instances pull the same
/// changes within a second, and each would have them packed anew on the traffic thread.
#[derive(Clone, PartialEq)]
struct Packed {
    /// Place from which the asker wanted to go on.
    asked: Position,
    /// Place up to which the answer is complete.
    as_of: Position,
    /// Length of the answer before it was packed, in bytes: after a restore of the store what is
    /// told changes without a change of the store.
    length_bytes: usize,
    answer: Body,
}

impl Peers {
    pub(crate) fn new(router: Rc<Router>, control: mpsc::UnboundedSender<Ask>) -> Self {
        Self { router, control, packed: RefCell::default() }
    }

    async fn changes(&self, kind: Kind, above: Position) -> Body {
        let (done, changes) = oneshot::channel();
        let ask = Ask::Changes { kind, above, done };
        if self.control.send(ask).is_err() {
            return Body::Refused("control has ended".to_owned());
        }
        match changes.await {
            Ok(changes) => self.pack(kind, above, changes),
            Err(_) => Body::Refused("control has ended".to_owned()),
        }
    }

    /// Records of all instances that this one knows.
    async fn members(&self) -> Body {
        let (done, members) = oneshot::channel();
        if self.control.send(Ask::Members { done }).is_err() {
            return Body::Refused("control has ended".to_owned());
        }
        match members.await {
            Ok(members) => Body::Members(members),
            Err(_) => Body::Refused("control has ended".to_owned()),
        }
    }

    fn pack(&self, kind: Kind, asked: Position, changes: Changes) -> Body {
        let (as_of, length_bytes) = (changes.position(), changes.encoded_len());
        let mut known = self.packed.borrow_mut();
        let is_same =
            |p: &&Packed| (p.asked, p.as_of, p.length_bytes) == (asked, as_of, length_bytes);
        if let Some(last) = known.get(&kind).filter(is_same) {
            return last.answer.clone();
        }
        let answer = packed::pack(changes);
        if matches!(answer, Body::PackedChanges(_)) {
            known.insert(kind, Packed { asked, as_of, length_bytes, answer: answer.clone() });
        }
        answer
    }
}

impl PeerService for Peers {
    fn answer(&self, question: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match question {
                Body::ChangesAbove(ChangesAbove { is_replicas, revision, era }) => {
                    let kind = if is_replicas { Kind::Replicas } else { Kind::Configuration };
                    self.changes(kind, Position { era, revision }).await
                }
                Body::EvacuationsAbove(revision) => {
                    self.changes(Kind::Evacuations, Position { era: 0, revision }).await
                }
                Body::EvacuationsAfter(above) => self.changes(Kind::Evacuations, above).await,
                Body::MembersAsk(_) => self.members().await,
                Body::Gather(question) => {
                    Body::Gathered(self.router.gather_for_peer(question).await)
                }
                Body::ColdSend(question) => {
                    Body::ColdSendAllowed(self.router.allow_cold_send(&question))
                }
                Body::Alive(nothing) => Body::Alive(nothing),
                _ => Body::Refused("not a question for a router".to_owned()),
            }
        })
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _stamp: u64) {}
}
