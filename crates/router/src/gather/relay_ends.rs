//! How questions to other instances end: merged parts, silence, and who is asked instead.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_peer::PeerError;
use eelgrasspier_peer::wire;

use super::relay::{Ask, Check, RelayEnd};
use super::shard::ShardState;
use super::{Gather, Landed, MergedParts};
use crate::view::Peer;

/// Time in which an instance says that it is alive; a way there and back within a region
/// takes up to 6 ms.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(10);

impl Gather<'_> {
    pub(super) fn check_due(&mut self, now_ms: u64) {
        let is_due = |c: &mut Check| c.at_ms <= now_ms;
        let due: Vec<Check> = self.checks.extract_if(.., is_due).collect();
        for Check { peer, shards, .. } in due {
            if shards.iter().all(|&i| self.shards[i].state != ShardState::Open) {
                continue;
            }
            let router = Rc::clone(self.router);
            let land = self.land.clone();
            self.flights.questions.push(actix_rt::spawn(async move {
                let is_alive = router.is_alive(&peer, ALIVE_TIMEOUT).await;
                // Nobody listens once the answer has gone out.
                let _is_late = land.send(Landed::Checked { peer, shards, is_alive }).is_err();
            }));
        }
    }

    pub(super) fn take_check(&mut self, peer: &Peer, shards: &[usize], is_alive: bool) {
        if is_alive {
            return;
        }
        let id = self.request.id_text();
        log::info!("event=relay_silent id={id} peer={} shards={}", peer.name, shards.len());
        self.router.note_silent(peer);
        for index in self.ask_another(&peer.name, &peer.zone, shards, true) {
            self.send_again(index, "relay_silent");
        }
    }

    /// Asks other instances in place of one that brings nothing; returns the shards that are
    /// left to send from here.
    ///
    /// An instance that does not gather has next to no part of the budget for repeats, since
    /// nearly all are sent by those who do: when one of them was lost, the requests that it
    /// worked for lost its shards, 1,788 sends in two seconds with 35 of 77 instances killed.
    /// The one that is asked now pays. Each shard moves once.
    fn ask_another(
        &mut self,
        lost: &str,
        zone: &str,
        shards: &[usize],
        is_repeat: bool,
    ) -> Vec<usize> {
        let is_open = |i: &&usize| self.shards[**i].state == ShardState::Open;
        let open: Vec<usize> = shards.iter().filter(is_open).copied().collect();
        if !self.view.is_sliced(zone) || self.is_suspect() {
            return open;
        }
        let mut peers = self.sound_peers();
        peers.retain(|p| &*p.name != lost);
        let fresh = open.iter().copied().filter(|&i| !self.shards[i].was_moved);
        let moved = self.assign(fresh.collect::<Vec<_>>(), zone, &peers);
        let mut left: BTreeSet<usize> = open.into_iter().collect();
        for (peer, shards) in moved {
            let (id, count) = (self.request.id_text(), shards.len());
            log::info!(
                "event=relay_replaced id={id} lost={lost} peer={} shards={count}",
                peer.name
            );
            for &index in &shards {
                left.remove(&index);
                self.shards[index].was_moved = true;
            }
            // What may be missed was divided before.
            self.ask(&peer, shards, Ask { is_repeat, may_leave_out: 0, is_whole: false });
        }
        left.into_iter().collect()
    }

    pub(super) fn take_relay(&mut self, end: RelayEnd) {
        let RelayEnd { peer, zone, shards, is_whole, result } = end;
        for &index in &shards {
            self.shards[index].in_flight -= 1;
        }
        match result {
            Ok(answer) => self.take_merged(&shards, is_whole, answer),
            Err(error) => {
                let id = self.request.id_text();
                log::info!("event=relay_failed id={id} peer={peer} cause=\"{error}\"");
                let was_sent = !matches!(error, PeerError::NotReached(_));
                self.gathered.may_have_run |= was_sent;
                for index in self.ask_another(&peer, &zone, &shards, was_sent) {
                    self.recover_relayed(index, was_sent);
                }
            }
        }
    }

    fn take_merged(&mut self, shards: &[usize], is_whole: bool, answer: wire::Gathered) {
        let wire::Gathered {
            records,
            parts,
            may_have_run,
            slow,
            busy,
            left_out,
            refused_ms,
            report,
        } = answer;
        if is_whole && refused_ms > 0 && !may_have_run {
            self.gathered.refused_ms = Some(refused_ms);
        }
        self.router.note_slow(&slow);
        let services = shards.iter().map(|&i| &self.shards[i].service);
        self.router.note_busy(self.view, services, &busy);
        self.take_left_out(shards, &left_out);
        self.gathered.may_have_run |= may_have_run || !parts.is_empty();
        if !parts.is_empty() {
            self.router.note_answered(self.request);
        }
        self.router.take_reports(report.as_slice(), "answer");
        let position = |part: wire::Signed| {
            let shard = shards.get(usize::try_from(part.shard).ok()?)?;
            Some((*shard, part.signature))
        };
        let parts: Vec<_> = parts.into_iter().filter_map(position).collect();
        // Two instances were asked where one was silent. A merged answer can't be taken apart,
        // and a shard that is in twice would make the whole answer wrong.
        if parts.iter().any(|(index, _)| self.gathered.has_merged(*index)) {
            return shards.iter().for_each(|&index| self.settle(index));
        }
        for &(index, _) in &parts {
            self.shards[index].state = ShardState::Covered;
        }
        self.gathered.merged.push(MergedParts { records, parts });
        for &index in shards {
            if is_whole {
                // It has tried what there was to try, and knows the replicas better.
                self.settle(index);
            } else {
                self.recover_relayed(index, true);
            }
        }
    }

    /// Takes note of shards that the other instance did not send, since they would be late.
    fn take_left_out(&mut self, shards: &[usize], left_out: &[u32]) {
        let positions = left_out.iter().filter_map(|&i| shards.get(usize::try_from(i).ok()?));
        for &index in positions {
            if self.shards[index].state == ShardState::Open {
                self.shards[index].state = ShardState::LeftOut;
            }
        }
    }

    /// Asks a replica directly for a shard that the other instance did not bring.
    fn recover_relayed(&mut self, index: usize, was_sent: bool) {
        let shard = &mut self.shards[index];
        if shard.state != ShardState::Open {
            return;
        }
        if was_sent {
            self.recover(index, true);
        } else {
            shard.allowed = None;
            self.send_first(index);
        }
    }
}
