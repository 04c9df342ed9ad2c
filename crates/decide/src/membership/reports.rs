//! What instances tell each other of requests that end replicas.
//!
//! News goes to many at once, and by gossip to the rest. Both can be missed, by an instance that
//! is cut off or frozen meanwhile: so each probe and each answer has a digest of what its sender
//! knows, and where two differ they tell each other all. An instance that was away is told within
//! a few probes of its return.

use std::net::SocketAddr;

use super::spread::MAX_UPDATES;
use super::{Membership, Update};
use crate::fingerprint::Fingerprint;
use crate::gossip::{Change, Datagram, Purpose, Send};
use crate::quarantine::{Finding, Report};

/// Times a second that an instance tells many at once: each costs up to 20 KB with 116 others, and a
/// request that ends replicas takes three. What is beyond goes by gossip, within its bytes.
const MOST_TOLD_PER_S: u32 = 8;
const SECOND_MS: u64 = 1_000;

/// What was told to many at once in one second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Told {
    second: u64,
    times: u32,
}

impl Told {
    /// Whether many may be told at once; counts it if they may.
    fn may_tell(&mut self, now_ms: u64) -> bool {
        let second = now_ms / SECOND_MS;
        if self.second != second {
            *self = Self { second, times: 0 };
        }
        self.times += 1;
        self.times <= MOST_TOLD_PER_S
    }
}

impl Membership {
    /// Takes in what this instance has found out itself; returns datagrams that tell others.
    ///
    /// As many as `most` others are told at once, `most_far` of them in other zones.
    pub fn tell_reports(
        &mut self,
        reports: &[Report],
        now_ms: u64,
        (most, most_far): (usize, usize),
        random: u64,
    ) -> Vec<Send> {
        let news: Vec<Report> =
            reports.iter().filter(|r| self.take_report(r, now_ms)).cloned().collect();
        if news.is_empty() || !self.told.may_tell(now_ms) {
            return Vec::new();
        }
        let addrs = self.told_at_once(most, most_far, random);
        addrs.into_iter().flat_map(|to| datagrams(to, &news)).collect()
    }

    /// Takes in what another instance knows, as part of its table.
    pub fn learn_reports(&mut self, reports: &[Report], now_ms: u64) {
        for report in reports {
            if self.take_report(report, now_ms) {
                self.changes.push(Change::Reported(report.clone()));
            }
        }
    }

    /// What one that starts needs to know.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<Report> {
        self.quarantine.reports(now_ms)
    }

    /// What is known of one request.
    #[must_use]
    pub fn report(&self, request: Fingerprint, now_ms: u64) -> Option<Report> {
        self.quarantine.report(request, now_ms)
    }

    /// Takes in a report and spreads it, if it is news.
    fn take_report(&mut self, report: &Report, now_ms: u64) -> bool {
        let is_news = self.quarantine.merge(report, now_ms) != Finding::Unchanged;
        if is_news {
            let sends = self.sends();
            self.enqueue(Update::Report(Fingerprint(report.fingerprint)), sends);
        }
        is_news
    }

    /// Tells all that is known here where another instance knows something else.
    pub(super) fn repair_reports(&mut self, to: SocketAddr, theirs: &Datagram) -> Vec<Send> {
        let now_ms = self.allowance_ms;
        let is_same = theirs.reports_digest == self.quarantine.digest(now_ms);
        if is_same || self.allowance_bytes < 0 {
            return Vec::new();
        }
        datagrams(to, &self.quarantine.reports(now_ms))
    }
}

fn datagrams(to: SocketAddr, reports: &[Report]) -> Vec<Send> {
    let datagram = |chunk: &[Report]| Datagram {
        purpose: Purpose::Records as i32,
        reports: chunk.to_vec(),
        ..Datagram::default()
    };
    reports.chunks(MAX_UPDATES).map(|chunk| Send { to, datagram: datagram(chunk) }).collect()
}
