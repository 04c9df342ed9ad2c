//! Answers the questions of other instances.

use std::rc::Rc;

use eelgrasspier_peer::wire::{Body, ChangesAbove};
use eelgrasspier_peer::{AnswerFuture, PeerService};
use eelgrasspier_store::Kind;
use tokio::sync::{mpsc, oneshot};

use crate::control::Ask;
use crate::router::Router;

/// What answers the questions of other instances.
pub(crate) struct Peers {
    pub(crate) router: Rc<Router>,
    pub(crate) control: mpsc::UnboundedSender<Ask>,
}

impl Peers {
    async fn changes(&self, question: ChangesAbove) -> Body {
        let kind = if question.is_replicas { Kind::Replicas } else { Kind::Configuration };
        let (done, changes) = oneshot::channel();
        let ask = Ask::Changes { kind, revision: question.revision, done };
        if self.control.send(ask).is_err() {
            return Body::Refused("control has ended".to_owned());
        }
        match changes.await {
            Ok(changes) => Body::Changes(changes),
            Err(_) => Body::Refused("control has ended".to_owned()),
        }
    }
}

impl PeerService for Peers {
    fn answer(&self, question: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match question {
                Body::ChangesAbove(question) => self.changes(question).await,
                Body::Gather(question) => {
                    Body::Gathered(self.router.gather_for_peer(question).await)
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
