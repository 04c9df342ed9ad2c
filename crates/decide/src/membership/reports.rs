//! Exchange of reports on requests that crash replicas.
//!
//! New reports are sent to many instances at once and reach the rest by gossip. An instance that is
//! cut off or frozen at that time misses both. Each probe and each answer therefore carries a
//! digest of the sender's reports; where two digests differ, the instances send each other all
//! their reports. An instance that was away catches up within a few probes of its return.

use std::net::SocketAddr;

use super::dissemination::MAX_UPDATES;
use super::{Membership, Update};
use crate::fingerprint::Fingerprint;
use crate::gossip::{Datagram, MembershipChange, OutgoingDatagram, Purpose};
use crate::quarantine::{EvidenceEffect, Report};

/// Maximum number of report broadcasts per second.
///
/// Each costs up to 20 KB with 116 recipients, and a request that crashes replicas takes three.
/// Further reports are spread by gossip within its byte limit.
const MAX_BROADCASTS_PER_S: u32 = 8;
const SECOND_MS: u64 = 1_000;

/// Counts the report broadcasts of the current second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BroadcastLimiter {
    second: u64,
    count: u32,
}

impl BroadcastLimiter {
    /// Counts a broadcast; returns true if it is within the limit.
    fn try_acquire(&mut self, now_ms: u64) -> bool {
        let second = now_ms / SECOND_MS;
        if self.second != second {
            *self = Self { second, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_BROADCASTS_PER_S
    }
}

impl Membership {
    /// Merges reports made by this instance; returns the datagrams that broadcast them.
    ///
    /// Up to `max` other instances receive them at once, `max_other_zone` of them in other zones.
    pub fn broadcast_reports(
        &mut self,
        reports: &[Report],
        now_ms: u64,
        (max, max_other_zone): (usize, usize),
        random: u64,
    ) -> Vec<OutgoingDatagram> {
        let new_reports: Vec<Report> =
            reports.iter().filter(|r| self.merge_report(r, now_ms)).cloned().collect();
        if new_reports.is_empty() || !self.broadcasts.try_acquire(now_ms) {
            return Vec::new();
        }
        let addrs = self.broadcast_targets(max, max_other_zone, random);
        addrs.into_iter().flat_map(|to| datagrams(to, &new_reports)).collect()
    }

    /// Merges the reports that another instance sent with its table.
    pub fn merge_reports(&mut self, reports: &[Report], now_ms: u64) {
        for report in reports {
            if self.merge_report(report, now_ms) {
                self.changes.push(MembershipChange::ReportReceived(report.clone()));
            }
        }
    }

    /// Returns all reports that a starting instance needs.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<Report> {
        self.quarantine.reports(now_ms)
    }

    /// Returns the report on one request.
    #[must_use]
    pub fn report(&self, request: Fingerprint, now_ms: u64) -> Option<Report> {
        self.quarantine.report(request, now_ms)
    }

    /// Merges a report; queues it for gossip and returns true if it changed anything.
    fn merge_report(&mut self, report: &Report, now_ms: u64) -> bool {
        let has_changed = self.quarantine.merge_report(report, now_ms) != EvidenceEffect::Unchanged;
        if has_changed {
            let transmits = self.transmit_limit();
            self.enqueue(Update::Report(Fingerprint(report.fingerprint)), transmits);
        }
        has_changed
    }

    /// Sends all reports to an instance whose digest differs.
    pub(super) fn repair_reports(
        &mut self,
        to: SocketAddr,
        remote: &Datagram,
    ) -> Vec<OutgoingDatagram> {
        let now_ms = self.last_tick_ms;
        let is_same = remote.reports_digest == self.quarantine.digest(now_ms);
        if is_same || self.send_budget_bytes < 0 {
            return Vec::new();
        }
        datagrams(to, &self.quarantine.reports(now_ms))
    }
}

fn datagrams(to: SocketAddr, reports: &[Report]) -> Vec<OutgoingDatagram> {
    let datagram = |chunk: &[Report]| Datagram {
        purpose: Purpose::Records as i32,
        reports: chunk.to_vec(),
        ..Datagram::default()
    };
    reports
        .chunks(MAX_UPDATES)
        .map(|chunk| OutgoingDatagram { to, datagram: datagram(chunk) })
        .collect()
}
