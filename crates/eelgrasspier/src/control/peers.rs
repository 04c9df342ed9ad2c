//! Answers to requests from other instances.

use bytes::Bytes;
use eelgrasspier_peer::wire::{Body, QueryPartsRequest, Text};
use eelgrasspier_peer::{AnswerFuture, PeerService};
use tokio::sync::oneshot;

use super::Control;
use crate::shared::PartsRequest;

impl PeerService for Control {
    fn answer(&self, request: Body) -> AnswerFuture<'_> {
        Box::pin(async move {
            match request {
                Body::TextAbove(version) => Body::Text(self.text_above(version)),
                Body::Claim(claim) => Body::Claimed(self.claim_for_peer(claim).await),
                Body::StatusAsk(_) => Body::Status(to_json(&self.own_status())),
                Body::EventsAsk(request) => {
                    let events = self.shared.timeline.entries(&request.about, request.from_stamp);
                    Body::Events(to_json(&events))
                }
                Body::Parts(parts) => self.forward_parts(parts).await,
                _ => Body::Refused("not a question".to_owned()),
            }
        })
    }

    fn stamp(&self) -> u64 {
        self.shared.timeline.clock().stamp()
    }

    fn observe_stamp(&self, stamp: u64) {
        self.shared.timeline.clock().observe(stamp);
    }
}

impl Control {
    fn text_above(&self, version: u64) -> Text {
        let own = self.in_force.borrow().version();
        let stored = self.stored.borrow().clone();
        match (own, stored) {
            (Some(own), Some(stored)) if own > version => Text { version: own, stored },
            _ => Text::default(),
        }
    }

    /// Forwards a request for parts from another instance to a traffic thread.
    async fn forward_parts(&self, parts: QueryPartsRequest) -> Body {
        let (reply, answer) = oneshot::channel();
        if let Some(parts_sender) = self.shared.parts_sender(rand::random()) {
            drop(parts_sender.send(PartsRequest { parts, reply }));
        }
        match answer.await {
            Ok(reply) => Body::PartsDone(reply),
            Err(_) => Body::Refused("no traffic thread".to_owned()),
        }
    }
}

pub(super) fn to_json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}
