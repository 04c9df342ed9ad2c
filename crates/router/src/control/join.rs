//! How a starting instance finds the members of the fleet.
//!
//! A gossip datagram carries a dozen records, so 195 instances that started together knew each
//! other only after 10 s. Until then each sent requests to replicas of all zones itself instead of
//! through the instances of those zones. A starting instance therefore fetches the full member
//! table from an instance that others probe too, a few times while records are still arriving
//! there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire::{Body, Empty, Members};

use super::Control;
use crate::traffic_metrics::TrafficCause;

/// Process ages at which the member table is fetched, in milliseconds.
///
/// At the first, all instances that started together have sent a probe; the later ones cover
/// instances that started after them.
const FETCH_AGES_MS: [u64; 4] = [400, 1_000, 2_000, 4_000];
/// Request timeout, for 20 KB from an instance that others ask at the same time.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);

impl Control {
    /// Fetches the member table from other instances until it contains nothing new.
    pub(super) async fn join(self: Rc<Self>) {
        self.probe_seeds();
        for at_ms in FETCH_AGES_MS {
            // Jitter keeps the requests of instances that start together apart.
            let at_ms = at_ms + rand::random_range(0..at_ms / 4);
            let pause_ms = at_ms.saturating_sub(self.shared.now_ms());
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let Some(addr) = self.member_table_peer() else { continue };
            match self.fetch_members(addr).await {
                Ok(Members { members, reports }) => {
                    let now_ms = self.shared.now_ms();
                    let (received, known) = (members.len(), self.membership.borrow().live_count());
                    self.membership.borrow_mut().merge_table(&members, now_ms);
                    self.membership.borrow_mut().merge_reports(&reports, now_ms);
                    let after = self.membership.borrow().live_count();
                    log::info!(
                        "event=members_fetched from={addr} told={received} known={known} after={after}"
                    );
                    self.process_member_changes();
                    if after == known && known > 1 {
                        return;
                    }
                }
                Err(error) => log::info!("event=fetch_failed from={addr} cause=\"{error}\""),
            }
        }
    }

    /// Returns an instance that others probe too: one with an entry in the store, or else a seed.
    fn member_table_peer(&self) -> Option<SocketAddr> {
        let listed = self.membership.borrow().pick_listed_live(rand::random());
        listed.or_else(|| self.other_seeds().min_by_key(|_| rand::random::<u32>()))
    }

    async fn fetch_members(&self, addr: SocketAddr) -> Result<Members, PeerError> {
        let answer =
            self.peer_connections.request(addr, Body::MembersAsk(Empty {}), FETCH_TIMEOUT).await?;
        self.count_bytes(TrafficCause::Members, addr, answer.encoded_len());
        match answer {
            Body::Members(answer) => Ok(answer),
            _ => Ok(Members::default()),
        }
    }
}
