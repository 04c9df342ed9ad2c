//! How an instance that starts gets to know the fleet.
//!
//! Gossip brings a dozen records with each datagram, so that 195 instances that start together
//! knew each other after ten seconds, and until then each asked replicas of all zones itself in
//! place of the instances beside them. So one that starts asks one that others have greeted
//! for all records that it knows, a few times while they are still coming in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{Body, Members, Nothing};

use super::Control;
use crate::zone_bytes::Cause;

/// Ages of the process at which it asks, in milliseconds: the first when all that have started
/// with it have greeted somebody, the others in case that they started later.
const ASK_AT_MS: [u64; 4] = [400, 1_000, 2_000, 4_000];
/// Time for an answer: 20 KB from an instance that others ask as well.
const ANSWER_TIME: Duration = Duration::from_millis(300);

impl Control {
    /// Asks others for the records of all instances, until they bring nothing new.
    pub(super) async fn join(self: Rc<Self>) {
        self.greet_seeds();
        for at_ms in ASK_AT_MS {
            // Spread, so that those that start together don't ask together.
            let at_ms = at_ms + rand::random_range(0..at_ms / 4);
            let pause_ms = at_ms.saturating_sub(self.shared.now_ms());
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let Some(addr) = self.whom_to_ask() else { continue };
            match self.records_from(addr).await {
                Ok(Members { members, reports }) => {
                    let now_ms = self.shared.now_ms();
                    let (told, known) = (members.len(), self.membership.borrow().alive_count());
                    self.membership.borrow_mut().learn_table(&members, now_ms);
                    self.membership.borrow_mut().learn_reports(&reports, now_ms);
                    let after = self.membership.borrow().alive_count();
                    log::info!(
                        "event=members_fetched from={addr} told={told} known={known} after={after}"
                    );
                    self.refresh();
                    if after == known && known > 1 {
                        return;
                    }
                }
                Err(error) => log::info!("event=fetch_failed from={addr} cause=\"{error}\""),
            }
        }
    }

    /// One that others greet too: it has an entry in the store, or is a seed.
    fn whom_to_ask(&self) -> Option<SocketAddr> {
        let listed = self.membership.borrow().listed_alive(rand::random());
        listed.or_else(|| self.other_seeds().min_by_key(|_| rand::random::<u32>()))
    }

    async fn records_from(&self, addr: SocketAddr) -> Result<Members, PeerError> {
        let answer = self.links.ask(addr, Body::MembersAsk(Nothing {}), ANSWER_TIME).await?;
        self.count_bytes(Cause::Members, addr, answer.encoded_len());
        match answer {
            Body::Members(answer) => Ok(answer),
            _ => Ok(Members::default()),
        }
    }
}
