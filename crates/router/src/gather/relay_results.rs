//! Results of relay requests: merged parts, unresponsive instances and reassignment.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::merge::{self, MergeError};
use eelgrasspier_decide::rendezvous;
use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire;

use super::relay::{Probe, RelayOptions, RelayResult};
use super::shard::ShardState;
use super::token_state::TokenState;
use super::{Event, Gather, MergedParts};
use crate::outcome::record_rejected_merge;
use crate::view::Peer;

/// Time limit of a liveness probe.
///
/// A round trip within a region takes up to 6 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(10);

/// Delegate that was not sent the request, and the shards that it would have gathered.
pub(super) struct UnreachedDelegate {
    peer: Arc<str>,
    zone: Arc<str>,
    shards: Vec<usize>,
}

impl Gather<'_> {
    pub(super) fn send_due_probes(&mut self, now_ms: u64) {
        let is_due = |c: &mut Probe| c.at_ms <= now_ms;
        let due: Vec<Probe> = self.probes.extract_if(.., is_due).collect();
        for Probe { peer, shards, .. } in due {
            if shards.iter().all(|&i| self.shards[i].state != ShardState::Pending) {
                continue;
            }
            let router = Rc::clone(self.router);
            let event_sender = self.event_sender.clone();
            self.tasks.peer_requests.push(actix_rt::spawn(async move {
                let is_alive = router.is_alive(&peer, PROBE_TIMEOUT).await;
                // The receiver is closed once the request has been answered.
                let _is_closed =
                    event_sender.send(Event::Probed { peer, shards, is_alive }).is_err();
            }));
        }
    }

    pub(super) fn on_probe_result(&mut self, peer: &Peer, shards: &[usize], is_alive: bool) {
        if is_alive {
            return;
        }
        let id = self.request.id_text();
        log::info!("event=relay_silent id={id} peer={} shards={}", peer.name, shards.len());
        self.router.record_unresponsive(peer);
        for index in self.relay_to_another(&peer.name, &peer.zone, shards, true) {
            self.resend(index, "relay_silent");
        }
    }

    /// Relays shards of a lost instance to others; returns those that must be sent from here.
    ///
    /// An instance that does not gather for others has almost no retry budget, because the
    /// gathering instances do nearly all sends. When a gathering instance was lost, the requests
    /// relayed to it lost their shards: 1,788 sends in two seconds with 35 of 77 instances killed.
    /// The new instance uses its own retry budget instead. Each shard is reassigned at most once.
    fn relay_to_another(
        &mut self,
        lost: &str,
        zone: &str,
        shards: &[usize],
        is_retry: bool,
    ) -> Vec<usize> {
        self.token.on_delegate_lost();
        for &index in shards {
            self.shards[index].may_be_sent_elsewhere |= is_retry;
        }
        let is_pending = |i: &&usize| self.shards[**i].state == ShardState::Pending;
        let pending: Vec<usize> = shards.iter().filter(is_pending).copied().collect();
        if !self.view.is_delegating(zone) || self.is_suspect() {
            return pending;
        }
        let mut peers = self.healthy_peers();
        peers.retain(|p| &*p.name != lost);
        let movable = pending.iter().copied().filter(|&i| !self.shards[i].was_reassigned);
        let reassigned = self.assign(movable.collect::<Vec<_>>(), zone, &peers);
        let mut remaining: BTreeSet<usize> = pending.into_iter().collect();
        for (peer, shards) in reassigned {
            let (id, count) = (self.request.id_text(), shards.len());
            log::info!(
                "event=relay_replaced id={id} lost={lost} peer={} shards={count}",
                peer.name
            );
            for &index in &shards {
                remaining.remove(&index);
                self.shards[index].was_reassigned = true;
            }
            // The shards that may be missed have already been divided among the instances.
            self.relay_shards(
                &peer,
                shards,
                RelayOptions { is_retry, may_leave_out: 0, has_all_shards: false },
            );
        }
        remaining.into_iter().collect()
    }

    pub(super) fn on_relay_result(&mut self, relay_result: RelayResult) {
        let RelayResult { peer, zone, shards, has_all_shards, result } = relay_result;
        for &index in &shards {
            self.shards[index].in_flight -= 1;
        }
        match result {
            Ok(answer) => self.on_merged_answer(&peer, &shards, has_all_shards, answer),
            Err(error) => {
                let id = self.request.id_text();
                log::info!("event=relay_failed id={id} peer={peer} cause=\"{error}\"");
                let was_sent = !matches!(error, PeerError::NotReached(_));
                self.gathered.may_have_run |= was_sent;
                if has_all_shards && !was_sent && self.request.customer.is_some() {
                    self.unreached_delegate = Some(UnreachedDelegate { peer, zone, shards });
                    return;
                }
                for index in self.relay_to_another(&peer, &zone, &shards, was_sent) {
                    self.retry_relayed(index, was_sent);
                }
            }
        }
    }

    /// Sends the shards of a delegate that was not reached; returns false if the request must not
    /// run.
    ///
    /// Nothing was sent to the delegate, so it has taken no token.
    pub(super) async fn replace_unreached_delegate(&mut self) -> bool {
        let Some(unreached) = self.unreached_delegate.take() else { return true };
        if self.token.is_at_delegate() {
            self.token = TokenState::None;
            if !self.take_token().await {
                return false;
            }
        }
        let UnreachedDelegate { peer, zone, shards } = unreached;
        for index in self.relay_to_another(&peer, &zone, &shards, false) {
            self.retry_relayed(index, false);
        }
        true
    }

    fn on_merged_answer(
        &mut self,
        peer: &str,
        shards: &[usize],
        has_all_shards: bool,
        answer: wire::Gathered,
    ) {
        if let Err(error) = self.check_merged_answer(shards.len(), &answer) {
            record_rejected_merge(self.request, peer, error);
            self.gathered.may_have_run = true;
            return self.retry_missing(shards, has_all_shards);
        }
        let wire::Gathered {
            records,
            parts,
            may_have_run,
            slow,
            busy,
            left_out,
            refused_ms,
            report,
            limited_ms,
            limit_unavailable_ms,
            is_low_priority,
            request_hash: _,
        } = answer;
        if has_all_shards && refused_ms > 0 && !may_have_run {
            self.gathered.refused_ms = Some(refused_ms);
            self.gathered.is_low_priority = is_low_priority;
        }
        if has_all_shards {
            self.apply_limit_refusal(limited_ms, limit_unavailable_ms);
        }
        self.router.record_slow(&slow);
        let services = shards.iter().map(|&i| &self.shards[i].service);
        self.router.record_busy(self.view, services, &busy);
        self.apply_left_out(shards, &left_out);
        self.gathered.may_have_run |= may_have_run || !parts.is_empty();
        if !parts.is_empty() {
            self.router.record_answered(self.request);
        }
        // The unexplained losses of a request that has been answered say nothing about it.
        let is_answered = self.request.progress.is_answered.get();
        let report = report.filter(|r| !is_answered || !r.ended.is_empty());
        if report.as_ref().is_some_and(|r| !r.lost.is_empty()) {
            self.request.progress.was_lost.set(true);
        }
        self.router.merge_reports(report.as_slice(), "answer");
        let index = |part: wire::Signed| (shards[position(&part)], part.signature);
        let parts: Vec<_> = parts.into_iter().map(index).collect();
        // Two instances were asked after one did not respond. A merged answer can't be split, and a
        // shard that is merged twice would make the result wrong.
        if parts.iter().any(|(index, _)| self.gathered.has_merged(*index)) {
            return shards.iter().for_each(|&index| self.fail_if_idle(index));
        }
        for &(index, _) in &parts {
            self.shards[index].state = ShardState::Covered;
        }
        self.gathered.merged.push(MergedParts { records, parts });
        self.retry_missing(shards, has_all_shards);
    }

    /// Checks that a merged answer is for this request and consists of requested shards.
    ///
    /// A part that was left out later would stay in the records.
    fn check_merged_answer(
        &self,
        shard_count: usize,
        answer: &wire::Gathered,
    ) -> Result<(), MergeError> {
        let wire::Gathered { records, parts, request_hash, .. } = answer;
        if ![0, rendezvous::hash(self.request.id_text())].contains(request_hash) {
            return Err(MergeError::OtherRequest);
        }
        merge::check_parts(parts.iter().map(|p| (position(p), &*p.signature)), shard_count)?;
        merge::check_records(records, parts.len(), self.route.top_k)
    }

    /// Retries the shards that the answer of another instance lacks.
    fn retry_missing(&mut self, shards: &[usize], has_all_shards: bool) {
        for &index in shards {
            if has_all_shards {
                // The delegate has already retried, with better knowledge of the replicas.
                self.fail_if_idle(index);
            } else {
                self.retry_relayed(index, true);
            }
        }
    }

    /// Marks the shards that the other instance left out because they would be late.
    fn apply_left_out(&mut self, shards: &[usize], left_out: &[u32]) {
        let positions = left_out.iter().filter_map(|&i| shards.get(usize::try_from(i).ok()?));
        for &index in positions {
            if self.shards[index].state == ShardState::Pending {
                self.shards[index].state = ShardState::LeftOut;
            }
        }
    }

    /// Sends a shard directly that the other instance did not return.
    ///
    /// The send is an extra one if that instance, or another one before it, may have sent the shard.
    fn retry_relayed(&mut self, index: usize, was_sent: bool) {
        let shard = &mut self.shards[index];
        if shard.state != ShardState::Pending {
            return;
        }
        if was_sent || shard.may_be_sent_elsewhere {
            self.retry(index, true);
        } else {
            shard.allowed = None;
            self.send_first(index);
        }
    }
}

/// Returns the position of a part's shard among the requested ones.
fn position(part: &wire::Signed) -> usize {
    usize::try_from(part.shard).unwrap_or(usize::MAX)
}
