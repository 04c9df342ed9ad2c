//! Load reports on replicas, which instances attach to their answers to each other.

use std::sync::Arc;

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::relays;
use eelgrasspier_decide::replica_stats::ReplicaReport;
use eelgrasspier_peer::wire;

use crate::router::Router;
use crate::view::View;

/// Cost, in multiples of the typical latency, from which a replica is reported as slow.
///
/// An idle replica costs 1, one with both slots in use 2; one that is four times slower or failing
/// costs more.
const SLOW_COST_RATIO: f64 = 3.0;
/// Time for which a replica counts as slow after another instance has reported it, in milliseconds.
///
/// Each shard receives some tens of requests per second, and a pause lasts 100 ms.
const SLOW_REPORT_TTL_MS: u64 = 300;

/// Latency ratio from which a replica is reported; lower values are within normal variation.
const MIN_REPORTED_RATIO: f64 = 1.5;
/// Rounds a small number to an integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer casts saturate, and the values are never negative"
)]
fn rounded(figure: f64) -> u32 {
    figure.round() as u32
}

impl Router {
    /// Returns load reports on the busy or slow replicas of some services.
    pub(crate) fn busy_replicas(&self, view: &View, services: &[Arc<str>]) -> Vec<wire::Busy> {
        let now_ms = self.shared.now_ms();
        let replica_stats = self.replica_stats.borrow();
        let busy = |replica: &Arc<ReplicaEntry>| {
            let stats = replica_stats.get(&replica.id)?.borrow();
            let (load, ratio) = (stats.load(now_ms), stats.ratio(now_ms));
            let is_busy = load >= f64::from(replica.slots) || ratio >= MIN_REPORTED_RATIO;
            is_busy.then_some(wire::Busy {
                mark: relays::replica_hash(&replica.id),
                load: rounded(load),
                ratio_tenths: rounded(ratio * 10.0),
            })
        };
        let listed = services.iter().filter_map(|s| view.replicas.get(s)).flatten();
        listed.filter_map(busy).collect()
    }

    /// Records another instance's load reports on the replicas of some services.
    pub(crate) fn record_busy<'s>(
        &self,
        view: &View,
        services: impl Iterator<Item = &'s Arc<str>>,
        busy: &[wire::Busy],
    ) {
        if busy.is_empty() {
            return;
        }
        let now_ms = self.shared.now_ms();
        for replica in services.filter_map(|s| view.replicas.get(s)).flatten() {
            let hash = relays::replica_hash(&replica.id);
            let Some(reported) = busy.iter().find(|b| b.mark == hash) else { continue };
            let reported = ReplicaReport {
                load: reported.load,
                ratio: f64::from(reported.ratio_tenths) / 10.0,
            };
            self.stats(&replica.id).borrow_mut().apply_report(reported, now_ms);
        }
    }

    /// Returns the hashes of the replicas of some services that are slow, paused or failing.
    pub(crate) fn slow_replicas(&self, view: &View, services: &[Arc<str>]) -> Vec<u32> {
        let now_ms = self.shared.now_ms();
        let replica_stats = self.replica_stats.borrow();
        let is_slow = |replica: &&Arc<ReplicaEntry>| {
            let stats = replica_stats.get(&replica.id);
            stats.is_some_and(|s| s.borrow().cost(replica.slots, now_ms) > SLOW_COST_RATIO)
        };
        let listed = services.iter().filter_map(|s| view.replicas.get(s)).flatten();
        listed.filter(is_slow).map(|r| relays::replica_hash(&r.id)).collect()
    }

    /// Records replicas that another instance reports as slow.
    pub(crate) fn record_slow(&self, hashes: &[u32]) {
        let now_ms = self.shared.now_ms();
        let mut slow = self.slow_until_ms.borrow_mut();
        slow.retain(|_, until_ms| *until_ms > now_ms);
        slow.extend(hashes.iter().map(|&hash| (hash, now_ms + SLOW_REPORT_TTL_MS)));
    }

    /// True if another instance has recently reported a replica as slow.
    pub(crate) fn is_slow(&self, hash: u32) -> bool {
        let until_ms = self.slow_until_ms.borrow().get(&hash).copied();
        until_ms.is_some_and(|until_ms| until_ms > self.shared.now_ms())
    }
}
