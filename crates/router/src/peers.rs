//! Answers the questions of other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use eelgrasspier_decide::mirror::Changes;
use eelgrasspier_peer::wire::{Body, ChangesAbove};
use eelgrasspier_peer::{AnswerFuture, PeerService, packed};
use eelgrasspier_store::Kind;
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
    /// Change from which the asker wanted to go on.
    asked: u64,
    /// Change up to which the answer is complete.
    as_of: u64,
    answer: Body,
}

impl Peers {
    pub(crate) fn new(router: Rc<Router>, control: mpsc::UnboundedSender<Ask>) -> Self {
        Self { router, control, packed: RefCell::default() }
    }

    async fn changes(&self, kind: Kind, revision: u64) -> Body {
        let (done, changes) = oneshot::channel();
        let ask = Ask::Changes { kind, revision, done };
        if self.control.send(ask).is_err() {
            return Body::Refused("control has ended".to_owned());
        }
        match changes.await {
            Ok(changes) => self.pack(kind, revision, changes),
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

    fn pack(&self, kind: Kind, asked: u64, changes: Changes) -> Body {
        let as_of = changes.as_of;
        let mut known = self.packed.borrow_mut();
        let last = known.get(&kind).filter(|p| (p.asked, p.as_of) == (asked, as_of));
        if let Some(last) = last {
            return last.answer.clone();
        }
        let answer = packed::pack(changes);
        if matches!(answer, Body::PackedChanges(_)) {
            known.insert(kind, Packed { asked, as_of, answer: answer.clone() });
        }
        answer
    }
}

impl PeerService for Peers {
    fn answer(&self, question: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match question {
                Body::ChangesAbove(ChangesAbove { is_replicas, revision }) => {
                    let kind = if is_replicas { Kind::Replicas } else { Kind::Configuration };
                    self.changes(kind, revision).await
                }
                Body::EvacuationsAbove(revision) => self.changes(Kind::Evacuations, revision).await,
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
