//! Fetches changes of the store's objects from other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::membership::Member;
use eelgrasspier_decide::mirror::{Changes, Mirror};
use eelgrasspier_decide::pulls;
use eelgrasspier_peer::wire::{Body, ChangesRequest};
use eelgrasspier_peer::{PeerError, compression};
use eelgrasspier_store::CollectionKind;

use super::Control;
use crate::traffic_metrics::TrafficCause;

/// Time for an instance of the own zone to obtain a change, in milliseconds.
///
/// A change must be in force within 3 s.
const OWN_ZONE_TIMEOUT_MS: u64 = 400;
/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(pulls::PULL_TIMEOUT_MS);

impl Control {
    /// Fetches the changes of a kind after a position; returns `None` if the peer refuses.
    pub(super) async fn fetch_changes(
        &self,
        addr: SocketAddr,
        kind: CollectionKind,
        after: Position,
        timeout: Duration,
    ) -> Result<Option<Changes>, PeerError> {
        let request = changes_request(kind, after);
        let answer = self.peer_connections.request(addr, request, timeout).await?;
        Ok(self.read_changes(addr, answer))
    }

    /// Like [`Self::fetch_changes`] with the timeout of a pull, but over a new connection.
    async fn pull_on_new_connection(
        &self,
        addr: SocketAddr,
        kind: CollectionKind,
        after: Position,
    ) -> Result<Option<Changes>, PeerError> {
        let request = changes_request(kind, after);
        let answer =
            self.peer_connections.request_on_new_connection(addr, request, PULL_TIMEOUT).await?;
        Ok(self.read_changes(addr, answer))
    }

    fn read_changes(&self, addr: SocketAddr, answer: Body) -> Option<Changes> {
        self.count_bytes(TrafficCause::Changes, addr, answer.encoded_len());
        compression::decompress(answer)
    }

    /// Starts to fetch changes from an instance that is ahead.
    pub(super) fn fetch_newer(self: &Rc<Self>, kind: CollectionKind) {
        let known = self.mirrors.borrow().get(&kind).map(Mirror::position).unwrap_or_default();
        let version = self.configuration.borrow().as_ref().map_or(0, |c| c.version);
        let now_ms = self.shared.now_ms();
        let pulls = self.pulls.borrow().get(&kind).cloned().unwrap_or_default();
        if !pulls.may_start(now_ms) {
            return;
        }
        let membership = self.membership.borrow();
        // After a restore of the store the newest version may be missing at any position.
        let has_newer =
            |m: &Member| kind == CollectionKind::Configuration && m.config_version > version;
        let is_ahead = |m: &&Member| {
            (position_of(m, kind) > known || has_newer(m)) && !pulls.is_pulling_from(&m.name)
        };
        let ahead = membership.live_peers().filter(is_ahead);
        // Prefers an instance of the own zone, so that each change crosses zones only once.
        let best = ahead.min_by_key(|m| (m.zone != self.identity.zone, rand::random::<u32>()));
        let found = best.map(|m| (m.name.clone(), m.zone.clone(), m.peer_addr.parse()));
        let Some((name, zone, Ok(addr))) = found else {
            self.behind_since_ms.borrow_mut().remove(&kind);
            return;
        };
        drop(membership);
        let is_any_late = pulls.is_any_late();
        let must_wait = zone != self.identity.zone && !self.is_fetcher() && !is_any_late;
        if must_wait && !self.has_waited_for_own_zone(kind) {
            return;
        }
        self.behind_since_ms.borrow_mut().remove(&kind);
        self.pulls.borrow_mut().entry(kind).or_default().record_start(&name, now_ms);
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let result = if is_any_late {
                control.pull_on_new_connection(addr, kind, known).await
            } else {
                control.fetch_changes(addr, kind, known, PULL_TIMEOUT).await
            };
            match result {
                Ok(Some(changes)) => control.apply_changes(kind, &changes, &name),
                Ok(None) => log::warn!("event=fetch_refused from={name}"),
                Err(error) => log::info!("event=fetch_failed from={name} cause=\"{error}\""),
            }
            control.pulls.borrow_mut().entry(kind).or_default().record_end(&name);
        });
    }

    /// True if the own zone has had time to obtain a change that another zone has.
    ///
    /// The fetching instance of the zone has it a few milliseconds later. Without this wait half of
    /// all changes were fetched across zones by each instance separately.
    fn has_waited_for_own_zone(&self, kind: CollectionKind) -> bool {
        let now_ms = self.shared.now_ms();
        let mut behind = self.behind_since_ms.borrow_mut();
        let since_ms = *behind.entry(kind).or_insert(now_ms);
        now_ms >= since_ms + OWN_ZONE_TIMEOUT_MS
    }
}

fn changes_request(kind: CollectionKind, after: Position) -> Body {
    match kind {
        CollectionKind::Evacuations => Body::EvacuationsAfter(after),
        kind => {
            let Position { era, revision } = after;
            let is_replicas = kind == CollectionKind::Replicas;
            Body::ChangesAbove(ChangesRequest { is_replicas, revision, era })
        }
    }
}

fn position_of(member: &Member, kind: CollectionKind) -> Position {
    let (era, revision) = match kind {
        CollectionKind::Replicas => (member.replicas_era, member.replicas_revision),
        CollectionKind::Configuration => (member.configuration_era, member.configuration_revision),
        CollectionKind::Evacuations => (member.evacuations_era, member.evacuations_revision),
        CollectionKind::Instances | CollectionKind::Suspects => (0, 0),
    };
    Position { era, revision }
}
