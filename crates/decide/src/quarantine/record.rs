//! Evidence against one request, and the treatment that follows from it.

use super::{Report, Treatment};
use crate::fingerprint::Fingerprint;
use crate::loss_rate::MAX_WEIGHT_MILLI;
use crate::lost_sends::{CrashedSend, UnexplainedLoss};

/// Number of replica crashes after which a request is tried on one replica at a time.
///
/// Single crashes happen. Two under the same unanswered request are rare, and a request to many
/// shards would crash dozens of replicas with the hedges and retries that follow.
pub(super) const MIN_CRASHES_FOR_SUSPECT: usize = 2;
/// Number of isolated trials that must crash their replica before a request is refused.
///
/// A single one may be a coincidence: another request crashed the replica in the same milliseconds.
pub(super) const MIN_CRASHES_IN_ISOLATION: usize = 2;
/// Weight of lost trials from which a request is paused, in thousandths.
///
/// The natural logarithm of a million: an innocent request reaches it with a probability of one in
/// a million. Two trials that are lost while other requests lose nothing are enough.
pub(super) const PAUSE_WEIGHT_MILLI: u32 = 2 * MAX_WEIGHT_MILLI;
/// Further weight from which a pause that has ended is followed by a longer one, in thousandths.
const LONGER_PAUSE_WEIGHT_MILLI: u32 = MAX_WEIGHT_MILLI / 2;
/// Duration of the first, second and further pauses, in milliseconds.
///
/// The evidence is weaker than that of crashes, so the first pause is short.
const PAUSES_MS: [u64; 3] = [2_000, 60_000, FIRST_REFUSAL_MS];
/// Minimum extension of a pause that counts as a change, in milliseconds.
const MIN_PAUSE_EXTENSION_MS: u64 = 500;
/// Maximum number of unexplained losses in isolated trials; a new one replaces the lightest.
const MAX_ISOLATED_LOSSES: usize = 24;
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

/// Evidence that may be another suspect's, so that a refusal or pause doesn't hold.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contest {
    pub(super) is_refusal_contested: bool,
    pub(super) is_pause_contested: bool,
}

impl Contest {
    pub(super) fn is_any(self) -> bool {
        self.is_refusal_contested || self.is_pause_contested
    }
}

/// Unexplained loss that ended an isolated trial.
#[derive(Debug, Clone, Copy)]
struct IsolatedLoss {
    crash_id: u32,
    weight_milli: u32,
}

/// Evidence against one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    /// Ids of the crashes in which a send was lost.
    pub(super) ended: Vec<u32>,
    /// Ids of the crashes that ended isolated trials.
    pub(super) ended_alone: Vec<u32>,
    /// Ids of the unexplained losses.
    lost: Vec<u32>,
    /// Unexplained losses that ended isolated trials.
    lost_alone: Vec<IsolatedLoss>,
    pub(super) paused_until_ms: u64,
    pub(super) pauses: u32,
    /// Weight of the lost trials at the start of the last pause, in thousandths.
    weight_at_pause_milli: u32,
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

    /// True if enough replicas have crashed during the request.
    pub(super) fn is_crash_suspect(&self) -> bool {
        !self.is_cleared() && self.ended.len() >= MIN_CRASHES_FOR_SUSPECT
    }

    /// True if enough replicas have crashed during the request or lost it.
    pub(super) fn is_suspect(&self) -> bool {
        !self.is_cleared() && self.ended.len() + self.lost.len() >= MIN_CRASHES_FOR_SUSPECT
    }

    pub(super) fn has_crash(&self, crash_id: u32) -> bool {
        self.ended.contains(&crash_id) || self.ended_alone.contains(&crash_id)
    }

    /// True if the request lost a send in this crash, or with this id for no known reason.
    pub(super) fn has_lost(&self, crash_id: u32) -> bool {
        self.has_crash(crash_id) || self.lost.contains(&crash_id)
    }

    /// Returns the weight of the lost trials whose ids are wanted, in thousandths.
    pub(super) fn weight_milli(&self, is_wanted: impl Fn(u32) -> bool) -> u32 {
        let crashes = self.ended_alone.iter().map(|id| (*id, MAX_WEIGHT_MILLI));
        let losses = self.lost_alone.iter().map(|l| (l.crash_id, l.weight_milli));
        crashes.chain(losses).filter(|(id, _)| is_wanted(*id)).map(|(_, weight)| weight).sum()
    }

    pub(super) fn treatment(&self, contest: Contest, now_ms: u64) -> Treatment {
        let is_refused = now_ms < self.refused_until_ms && !contest.is_refusal_contested;
        let is_paused = now_ms < self.paused_until_ms && !contest.is_pause_contested;
        if self.is_cleared() || now_ms >= self.expires_at_ms {
            Treatment::Normal
        } else if (is_refused || is_paused) && now_ms < self.confirmed_at_ms {
            Treatment::AwaitsReports(self.confirmed_at_ms - now_ms)
        } else if is_refused {
            Treatment::Refused(self.refused_until_ms - now_ms)
        } else if is_paused {
            Treatment::Paused(self.paused_until_ms - now_ms)
        } else if self.is_suspect() {
            Treatment::OneReplicaAtATime
        } else {
            Treatment::Normal
        }
    }

    /// Extends the retention to that of new evidence.
    fn extend_retention(&mut self, now_ms: u64) {
        let is_tried = self.is_crash_suspect() || !self.lost_alone.is_empty();
        let retention_ms = if is_tried { SUSPECT_RETENTION_MS } else { SINGLE_CRASH_RETENTION_MS };
        let refused_until_ms = self.refused_until_ms.max(self.paused_until_ms);
        self.expires_at_ms = self.expires_at_ms.max(now_ms.max(refused_until_ms) + retention_ms);
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
            self.refusals = self.refusals.saturating_add(1);
        }
    }

    /// Starts a pause if the lost trials suffice and none is in progress.
    ///
    /// `has_new_trial` is true if an isolated trial has just added evidence. A longer pause needs
    /// more than trials that are lost in an outage, which say little.
    fn pause_if_proven(&mut self, has_new_trial: bool, now_ms: u64) {
        let weight_milli = self.weight_milli(|_| true);
        let needed_milli = if self.pauses == 0 {
            PAUSE_WEIGHT_MILLI
        } else {
            self.weight_at_pause_milli + LONGER_PAUSE_WEIGHT_MILLI
        };
        let is_proven = self.is_suspect() && has_new_trial && weight_milli >= needed_milli;
        if is_proven && now_ms >= self.paused_until_ms {
            self.weight_at_pause_milli = weight_milli;
            let longest = PAUSES_MS.len() - 1;
            let index = usize::try_from(self.pauses).map_or(longest, |n| n.min(longest));
            self.paused_until_ms = now_ms + PAUSES_MS[index];
            self.pauses = self.pauses.saturating_add(1);
        }
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, contest: Contest, now_ms: u64) -> Report {
        let refused_ms = self.refused_until_ms.saturating_sub(now_ms);
        let paused_ms = self.paused_until_ms.saturating_sub(now_ms);
        Report {
            fingerprint: fingerprint.0,
            ended: self.ended.clone(),
            ended_alone: self.ended_alone.clone(),
            refused_ms: if contest.is_refusal_contested { 0 } else { refused_ms },
            refusals: self.refusals,
            is_cleared: self.is_cleared(),
            left_ms: self.expires_at_ms.saturating_sub(now_ms),
            lost: self.lost.clone(),
            lost_alone: self.lost_alone.iter().map(|l| l.crash_id).collect(),
            lost_weights_milli: self.lost_alone.iter().map(|l| l.weight_milli).collect(),
            paused_ms: if contest.is_pause_contested { 0 } else { paused_ms },
            pauses: self.pauses,
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
        self.pause_if_proven(is_new_isolated, now_ms);
        self.extend_retention(now_ms);
        is_new || is_new_isolated
    }

    /// Adds an unexplained loss; returns true if it is new evidence.
    pub(super) fn add_loss(
        &mut self,
        loss: &UnexplainedLoss,
        confirmed_at_ms: u64,
        now_ms: u64,
    ) -> bool {
        if self.is_cleared() {
            *self = Self::default();
        }
        // A server may lose the request several times in one run.
        let is_repeated = !loss.is_trial && self.has_lost(loss.crash_id);
        let crash_id = if is_repeated { loss.send_id } else { loss.crash_id };
        let max_losses =
            if loss.is_trial { MAX_CRASHES_PER_REQUEST } else { MAX_CRASHES_OUTSIDE_TRIALS };
        let is_new = add_id(&mut self.lost, crash_id, max_losses);
        let is_new_isolated =
            loss.weight_milli > 0 && self.add_isolated_loss(crash_id, loss.weight_milli);
        if is_new_isolated {
            self.confirmed_at_ms = confirmed_at_ms;
        }
        self.pause_if_proven(is_new_isolated, now_ms);
        self.extend_retention(now_ms);
        is_new || is_new_isolated
    }

    /// Adds an unexplained loss that ended an isolated trial; returns true if it is new and kept.
    fn add_isolated_loss(&mut self, crash_id: u32, weight_milli: u32) -> bool {
        let is_new = self.lost_alone.iter().all(|l| l.crash_id != crash_id);
        if is_new {
            let weight_milli = weight_milli.min(MAX_WEIGHT_MILLI);
            self.lost_alone.push(IsolatedLoss { crash_id, weight_milli });
            if self.lost_alone.len() > MAX_ISOLATED_LOSSES {
                // The sum must not fall, or a pause would never become longer.
                self.lost_alone.sort_by_key(|l| std::cmp::Reverse(l.weight_milli));
                self.lost_alone.pop();
            }
        }
        is_new && self.lost_alone.iter().any(|l| l.crash_id == crash_id)
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
        for &crash_id in &report.lost {
            has_changed |= add_id(&mut self.lost, crash_id, MAX_CRASHES_PER_REQUEST);
        }
        let isolated_losses = report.lost_alone.iter().zip(&report.lost_weights_milli);
        for (&crash_id, &weight_milli) in isolated_losses.take(MAX_ISOLATED_LOSSES) {
            has_new_isolated_crash |= self.add_isolated_loss(crash_id, weight_milli);
        }
        let until_ms = now_ms + report.refused_ms.min(FIRST_REFUSAL_MS << MAX_REFUSAL_DOUBLINGS);
        let is_extended =
            report.refused_ms > 0 && until_ms > self.refused_until_ms + MIN_REFUSAL_EXTENSION_MS;
        if is_extended {
            self.refused_until_ms = until_ms;
        }
        let paused_until_ms = now_ms + report.paused_ms.min(PAUSES_MS[PAUSES_MS.len() - 1]);
        let is_pause_extended =
            report.paused_ms > 0 && paused_until_ms > self.paused_until_ms + MIN_PAUSE_EXTENSION_MS;
        if is_pause_extended {
            self.paused_until_ms = paused_until_ms;
            self.weight_at_pause_milli = self.weight_milli(|_| true);
        }
        if has_new_isolated_crash {
            self.confirmed_at_ms = confirmed_at_ms;
        }
        self.refusals = self.refusals.max(report.refusals);
        self.pauses = self.pauses.max(report.pauses);
        has_changed |= has_new_isolated_crash || is_extended || is_pause_extended;
        // Expires together with the reporter's record, unless there is more evidence here.
        self.expires_at_ms = self.expires_at_ms.max(now_ms + report.left_ms.min(MAX_RETENTION_MS));
        if has_changed {
            // If the request was refused before, only the reporter knows whether that refusal was
            // over when the trial crashed its replica; its report contains any new refusal.
            self.refuse_if_proven(has_new_isolated_crash && self.refusals == 0, now_ms);
            self.pause_if_proven(has_new_isolated_crash && self.pauses == 0, now_ms);
            if now_ms < self.refused_until_ms.max(self.paused_until_ms) {
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
