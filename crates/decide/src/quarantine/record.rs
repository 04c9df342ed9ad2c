//! Evidence against one request, and the treatment that follows from it.

use super::{Report, Treatment};
use crate::fingerprint::Fingerprint;
use crate::lost_sends::CrashedSend;

/// Number of replica crashes after which a request is tried on one replica at a time.
///
/// Single crashes happen. Two under the same unanswered request are rare, and a request to many
/// shards would crash dozens of replicas with the hedges and retries that follow.
pub(super) const MIN_CRASHES_FOR_SUSPECT: usize = 2;
/// Number of isolated trials that must crash their replica before a request is refused.
///
/// A single one may be a coincidence: another request crashed the replica in the same milliseconds.
pub(super) const MIN_CRASHES_IN_ISOLATION: usize = 2;
/// Maximum number of crashes per request that are stored and reported, at four bytes each.
const MAX_CRASHES_PER_REQUEST: usize = 24;
/// Maximum number of those outside of isolated trials that one instance adds.
///
/// More of them add no evidence, while those in trials may contest evidence against others.
const MAX_CRASHES_OUTSIDE_TRIALS: usize = 12;
/// Maximum number of crashes that ended isolated trials; a new one replaces the oldest.
const MAX_ISOLATED_CRASHES: usize = 8;
/// Duration of the first refusal, in milliseconds.
///
/// Operators need about this long to notice; each next trial after it costs one replica.
const FIRST_REFUSAL_MS: u64 = 300_000;
/// Maximum number of doublings of the refusal, one for each further crash: up to 80 minutes.
const MAX_REFUSAL_DOUBLINGS: u32 = 4;
/// Retention of a request that is tried on one replica at a time, in milliseconds.
///
/// As long as a refusal, which follows if the request is sent again.
const SUSPECT_RETENTION_MS: u64 = FIRST_REFUSAL_MS;
/// Maximum retention of any record, in milliseconds, regardless of the value in a report.
const MAX_RETENTION_MS: u64 = (FIRST_REFUSAL_MS << MAX_REFUSAL_DOUBLINGS) + SUSPECT_RETENTION_MS;
/// Retention of a single crash, in milliseconds; callers retry within seconds.
const SINGLE_CRASH_RETENTION_MS: u64 = 30_000;
/// Time for which reports on a cleared request are ignored, in milliseconds.
///
/// By then gossip has delivered the last of them to all instances.
const CLEARED_RETENTION_MS: u64 = 5_000;
/// Minimum extension of a refusal that counts as a change, in milliseconds.
///
/// Smaller differences come from the delivery time of the report.
const MIN_REFUSAL_EXTENSION_MS: u64 = 2_000;

/// Evidence against one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    /// Ids of the crashes in which a send was lost.
    pub(super) ended: Vec<u32>,
    /// Ids of the crashes that ended isolated trials.
    pub(super) ended_alone: Vec<u32>,
    /// Time at which the record expires.
    pub(super) expires_at_ms: u64,
    pub(super) refused_until_ms: u64,
    /// Time from which a refusal takes effect.
    confirmed_at_ms: u64,
    refusals: u32,
    /// Time at which the request was cleared.
    cleared_ms: Option<u64>,
    /// End of the period in which no other trial may begin.
    pub(super) trial_until_ms: u64,
}

impl Record {
    pub(super) fn is_cleared(&self) -> bool {
        self.cleared_ms.is_some()
    }

    pub(super) fn is_suspect(&self) -> bool {
        !self.is_cleared() && self.ended.len() >= MIN_CRASHES_FOR_SUSPECT
    }

    pub(super) fn treatment(&self, is_contested: bool, now_ms: u64) -> Treatment {
        if self.is_cleared() || now_ms >= self.expires_at_ms {
            Treatment::Normal
        } else if now_ms < self.refused_until_ms && !is_contested {
            if now_ms < self.confirmed_at_ms {
                Treatment::AwaitsReports(self.confirmed_at_ms - now_ms)
            } else {
                Treatment::Refused(self.refused_until_ms - now_ms)
            }
        } else if self.is_suspect() {
            Treatment::OneReplicaAtATime
        } else {
            Treatment::Normal
        }
    }

    /// Extends the retention to that of new evidence.
    fn extend_retention(&mut self, now_ms: u64) {
        let retention_ms =
            if self.is_suspect() { SUSPECT_RETENTION_MS } else { SINGLE_CRASH_RETENTION_MS };
        self.expires_at_ms =
            self.expires_at_ms.max(now_ms.max(self.refused_until_ms) + retention_ms);
    }

    /// Starts a refusal if the evidence suffices and none is in progress.
    ///
    /// `has_new_trial_crash` is true if an isolated trial has just added evidence.
    fn refuse_if_proven(&mut self, has_new_trial_crash: bool, now_ms: u64) {
        let is_proven = self.is_suspect()
            && self.ended_alone.len() >= MIN_CRASHES_IN_ISOLATION
            && has_new_trial_crash;
        if is_proven && now_ms >= self.refused_until_ms {
            let doublings = self.refusals.min(MAX_REFUSAL_DOUBLINGS);
            self.refused_until_ms = now_ms + (FIRST_REFUSAL_MS << doublings);
            self.refusals += 1;
        }
    }

    pub(super) fn report(
        &self,
        fingerprint: Fingerprint,
        is_contested: bool,
        now_ms: u64,
    ) -> Report {
        let refused_ms = self.refused_until_ms.saturating_sub(now_ms);
        Report {
            fingerprint: fingerprint.0,
            ended: self.ended.clone(),
            ended_alone: self.ended_alone.clone(),
            refused_ms: if is_contested { 0 } else { refused_ms },
            refusals: self.refusals,
            is_cleared: self.is_cleared(),
            left_ms: self.expires_at_ms.saturating_sub(now_ms),
        }
    }

    /// Adds a crash; returns true if it is new evidence.
    pub(super) fn add_crash(
        &mut self,
        crashed: &CrashedSend,
        confirmed_at_ms: u64,
        now_ms: u64,
    ) -> bool {
        let CrashedSend { crash_id, is_trial, is_isolated, .. } = *crashed;
        if self.is_cleared() {
            // A crash after an answer: start over with new evidence.
            *self = Self::default();
        }
        let max_crashes =
            if is_trial { MAX_CRASHES_PER_REQUEST } else { MAX_CRASHES_OUTSIDE_TRIALS };
        let is_new = add_id(&mut self.ended, crash_id, max_crashes);
        let is_new_isolated = is_isolated && !self.ended_alone.contains(&crash_id);
        if is_new_isolated {
            if self.ended_alone.len() >= MAX_ISOLATED_CRASHES {
                self.ended_alone.remove(0);
            }
            self.ended_alone.push(crash_id);
            self.confirmed_at_ms = confirmed_at_ms;
        }
        self.refuse_if_proven(is_new_isolated, now_ms);
        self.extend_retention(now_ms);
        is_new || is_new_isolated
    }

    /// Clears the request, which a replica has answered; returns true if it was not cleared before.
    pub(super) fn clear(&mut self, now_ms: u64) -> bool {
        let has_changed = !self.is_cleared();
        if has_changed {
            let expires_at_ms = now_ms + CLEARED_RETENTION_MS;
            *self = Self { cleared_ms: Some(now_ms), expires_at_ms, ..Self::default() };
        }
        has_changed
    }

    /// Merges a report from another instance; returns true if it has new information.
    pub(super) fn merge(&mut self, report: &Report, confirmed_at_ms: u64, now_ms: u64) -> bool {
        // The report is most likely older than the answer; newer evidence follows with the next
        // crash.
        if self.is_cleared() {
            return false;
        }
        let mut has_changed = false;
        for &crash_id in &report.ended {
            has_changed |= add_id(&mut self.ended, crash_id, MAX_CRASHES_PER_REQUEST);
        }
        let mut has_new_isolated_crash = false;
        for &crash_id in &report.ended_alone {
            has_new_isolated_crash |= add_id(&mut self.ended_alone, crash_id, MAX_ISOLATED_CRASHES);
        }
        let until_ms = now_ms + report.refused_ms.min(FIRST_REFUSAL_MS << MAX_REFUSAL_DOUBLINGS);
        let is_extended =
            report.refused_ms > 0 && until_ms > self.refused_until_ms + MIN_REFUSAL_EXTENSION_MS;
        if is_extended {
            self.refused_until_ms = until_ms;
        }
        if has_new_isolated_crash {
            self.confirmed_at_ms = confirmed_at_ms;
        }
        self.refusals = self.refusals.max(report.refusals);
        has_changed |= has_new_isolated_crash || is_extended;
        // Expires together with the reporter's record, unless there is more evidence here.
        self.expires_at_ms = self.expires_at_ms.max(now_ms + report.left_ms.min(MAX_RETENTION_MS));
        if has_changed {
            // If the request was refused before, only the reporter knows whether that refusal was
            // over when the trial crashed its replica; its report contains any new refusal.
            self.refuse_if_proven(has_new_isolated_crash && self.refusals == 0, now_ms);
            if now_ms < self.refused_until_ms {
                self.extend_retention(now_ms);
            }
        }
        has_changed
    }
}

fn add_id(ids: &mut Vec<u32>, id: u32, max_ids: usize) -> bool {
    let is_new = !ids.contains(&id) && ids.len() < max_ids;
    if is_new {
        ids.push(id);
    }
    is_new
}
