//! Quarantine of requests that crash the replicas that run them.
//!
//! A request that crashes a replica looks like one that was in progress when its replica crashed
//! for another reason. Confusing them is harmful either way: the first takes down a whole index
//! when its caller retries, the second is refused without cause. Three rules distinguish them. An
//! answer of any kind clears the request. A request without an answer whose replicas crashed twice
//! is tried on one replica at a time, which costs an innocent request one extra exchange. It is
//! refused for some minutes only if, twice, a replica crashes in such a trial with no other
//! unanswered request on it.
//!
//! Evidence is counted by crash, not by send: sends of several instances that end with one crash
//! count once. A crash in which another suspect lost a send, at whichever instance, is contested
//! and proves nothing until an answer clears one of the two. Since such a report takes some time to
//! arrive, a refusal starts with a short wait in which the request is neither sent nor refused.
//!
//! A server may crash without any sign but the loss of its connections. A request that loses two
//! sends for no known reason is therefore tried on one replica at a time as well. If these trials
//! are lost too, while other requests rarely are, it is paused: refused for some seconds, then for
//! longer, until a replica answers. The trials are a sequential probability ratio test: their losses
//! are weighed by [`UnexplainedLoss::weight_milli`], and an innocent request is paused with a
//! probability of one in a million.
//!
//! Instances exchange [`Report`]s, which are merged: all instances reach the same state, in
//! whatever order and however often the reports arrive.

mod record;

use std::collections::{BTreeSet, HashMap};

use crate::fingerprint::Fingerprint;
use crate::lost_sends::{CrashedSend, UnexplainedLoss};
use crate::rendezvous;
use record::{
    Contest, MIN_CRASHES_FOR_SUSPECT, MIN_CRASHES_IN_ISOLATION, PAUSE_WEIGHT_MILLI, Record,
};

/// Maximum number of records; at about 200 bytes each, 50 KB.
///
/// Refused requests are evicted last, so this also limits how many are refused at a time.
const MAX_REQUESTS: usize = 256;
/// Wait for reports of other instances before a refusal takes effect, in milliseconds.
///
/// A loss is reported at most 25 ms after the crash check, which takes one round trip, and reaches
/// up to 100 instances in one message.
pub const REPORT_WAIT_MS: u64 = 300;
/// Treatment of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// Sent normally; there is not enough evidence against it.
    Normal,
    /// Sent to one replica at a time until one answers.
    OneReplicaAtATime,
    /// Not sent for this time, in milliseconds, in which other instances may contest the evidence.
    AwaitsReports(u64),
    /// Refused for this time, in milliseconds, since replicas crashed during its trials.
    Refused(u64),
    /// Refused for this time, in milliseconds, since its trials were lost for no known reason.
    Paused(u64),
}

impl Treatment {
    /// Returns the treatment of a request that some servers have not answered in time.
    ///
    /// While they are probed, a request that is sent normally is tried on one replica at a time.
    #[must_use]
    pub fn with_silences(self, pending_silences: usize) -> Self {
        let is_suspect = pending_silences >= MIN_CRASHES_FOR_SUSPECT;
        if self == Self::Normal && is_suspect { Self::OneReplicaAtATime } else { self }
    }
}

/// State of one request as exchanged between instances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Ids of the crashes in which a send of the request was lost.
    ///
    /// Earlier versions write the ids of the sends here: then a crash counts once per send.
    #[prost(fixed32, repeated, tag = "2")]
    pub ended: Vec<u32>,
    /// Ids of the crashes that ended isolated trials.
    ///
    /// Trials of two instances on one replica may end with the same crash, which is one proof.
    #[prost(fixed32, repeated, tag = "3")]
    pub ended_alone: Vec<u32>,
    /// Remaining time of the refusal, in milliseconds; 0 if the request is not refused.
    #[prost(uint64, tag = "4")]
    pub refused_ms: u64,
    /// Number of refusals so far.
    #[prost(uint32, tag = "5")]
    pub refusals: u32,
    /// True if a replica has answered the request.
    #[prost(bool, tag = "6")]
    pub is_cleared: bool,
    /// Remaining retention of this state, in milliseconds.
    ///
    /// Without it, two instances that expire the state at different times would send it to each
    /// other forever.
    #[prost(uint64, tag = "7")]
    pub left_ms: u64,
    /// Ids of the unexplained losses of the request.
    #[prost(fixed32, repeated, tag = "8")]
    pub lost: Vec<u32>,
    /// Ids of those that ended isolated trials.
    #[prost(fixed32, repeated, tag = "9")]
    pub lost_alone: Vec<u32>,
    /// Weight of each id in `lost_alone`, in thousandths.
    #[prost(uint32, repeated, tag = "10")]
    pub lost_weights_milli: Vec<u32>,
    /// Remaining time of the pause, in milliseconds; 0 if the request is not paused.
    #[prost(uint64, tag = "11")]
    pub paused_ms: u64,
    /// Number of pauses so far.
    #[prost(uint32, tag = "12")]
    pub pauses: u32,
}

/// Effect of new evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceEffect {
    /// No change.
    Unchanged,
    /// Evidence was added, but the treatment is the same.
    Recorded,
    /// The request is tried on one replica at a time from now on.
    Suspected,
    /// The request is refused from now on.
    Refused,
    /// The request is paused from now on.
    Paused,
    /// The request was cleared.
    Cleared,
}

impl Report {
    /// Returns true if replicas have crashed during the request and it is not sent normally.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        !self.is_cleared && (self.refused_ms > 0 || self.ended.len() >= MIN_CRASHES_FOR_SUSPECT)
    }
}

/// Requests under suspicion, as known to one instance.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Wait before a refusal takes effect, in milliseconds.
    report_wait_ms: u64,
    /// Requests whose evidence was contested at the last [`Self::contest_changes`].
    contested: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Sets the wait before a refusal takes effect, in milliseconds.
    ///
    /// It is 0 for an instance that knows no other, and [`REPORT_WAIT_MS`] otherwise.
    pub fn set_report_wait(&mut self, report_wait_ms: u64) {
        self.report_wait_ms = report_wait_ms;
    }

    /// Returns the current treatment of a request.
    #[must_use]
    pub fn treatment(&self, fingerprint: Fingerprint, now_ms: u64) -> Treatment {
        let record = self.records.get(&fingerprint);
        record.map_or(Treatment::Normal, |r| {
            r.treatment(self.contest(fingerprint, r, now_ms), now_ms)
        })
    }

    /// Returns the requests whose evidence is contested (true) or no longer (false) since the last
    /// call.
    pub fn contest_changes(&mut self, now_ms: u64) -> Vec<(Fingerprint, bool)> {
        let is_contested = |(f, r): &(&Fingerprint, &Record)| self.contest(**f, r, now_ms).is_any();
        let contested = self.records.iter().filter(is_contested);
        let contested: BTreeSet<Fingerprint> = contested.map(|(f, _)| *f).collect();
        let before = std::mem::replace(&mut self.contested, contested);
        let changed = self.contested.symmetric_difference(&before);
        changed.map(|f| (*f, self.contested.contains(f))).collect()
    }

    /// Returns which evidence is contested: too little of it is the request's alone.
    ///
    /// Only suspects contest a crash: a request that was lost once, and not sent again, would
    /// otherwise protect a crashing one in a busy service.
    fn contest(&self, fingerprint: Fingerprint, record: &Record, now_ms: u64) -> Contest {
        let others = || {
            let others = self.records.iter().filter(|(other, _)| **other != fingerprint);
            others.map(|(_, r)| r).filter(|r| now_ms < r.expires_at_ms)
        };
        let is_crash_shared =
            |crash_id: &&u32| others().any(|r| r.is_crash_suspect() && r.has_crash(**crash_id));
        let is_loss_shared =
            |crash_id: u32| others().any(|r| r.is_suspect() && r.has_lost(crash_id));
        let crashes = record.ended_alone.len();
        let shared_crashes = record.ended_alone.iter().filter(is_crash_shared).count();
        let is_refusal_contested = crashes >= MIN_CRASHES_IN_ISOLATION
            && shared_crashes > 0
            && crashes - shared_crashes < MIN_CRASHES_IN_ISOLATION;
        // Another instance that paused the request may have given the same trials another weight.
        let own_weight_milli = record.weight_milli(|crash_id| !is_loss_shared(crash_id));
        let is_pause_contested = own_weight_milli < PAUSE_WEIGHT_MILLI
            && own_weight_milli < record.weight_milli(|_| true);
        Contest { is_refusal_contested, is_pause_contested }
    }

    /// Records that a replica crashed while it ran a request that had no answer yet.
    pub fn record_crash(&mut self, ended: CrashedSend, now_ms: u64) -> EvidenceEffect {
        let confirmed_at_ms = now_ms + self.report_wait_ms;
        self.update(ended.request, now_ms, |record| {
            record.add_crash(&ended, confirmed_at_ms, now_ms)
        })
    }

    /// Records that a replica lost a request that had no answer yet, for no known reason.
    pub fn record_unexplained(&mut self, loss: UnexplainedLoss, now_ms: u64) -> EvidenceEffect {
        let confirmed_at_ms = now_ms + self.report_wait_ms;
        self.update(loss.request, now_ms, |record| record.add_loss(&loss, confirmed_at_ms, now_ms))
    }

    /// Records that a replica answered a request, which shows that it does not crash replicas.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now_ms: u64) -> EvidenceEffect {
        match self.records.get(&fingerprint) {
            None => EvidenceEffect::Unchanged,
            Some(_) => self.update(fingerprint, now_ms, |record| record.clear(now_ms)),
        }
    }

    /// Merges a report from another instance.
    pub fn merge_report(&mut self, report: &Report, now_ms: u64) -> EvidenceEffect {
        let fingerprint = Fingerprint(report.fingerprint);
        let is_known = self.records.contains_key(&fingerprint);
        if report.is_cleared {
            if !is_known {
                return EvidenceEffect::Unchanged;
            }
            return self.update(fingerprint, now_ms, |record| record.clear(now_ms));
        }
        let is_empty = report.ended.is_empty() && report.lost.is_empty() && report.refused_ms == 0;
        if report.left_ms == 0 || is_empty {
            return EvidenceEffect::Unchanged;
        }
        let confirmed_at_ms = now_ms + self.report_wait_ms;
        self.update(fingerprint, now_ms, |record| record.merge(report, confirmed_at_ms, now_ms))
    }

    /// True if the request is known to have lost a send in this crash, or for no known reason at
    /// this run of the server.
    #[must_use]
    pub fn has_crash(&self, fingerprint: Fingerprint, crash_id: u32) -> bool {
        self.records.get(&fingerprint).is_some_and(|r| r.has_lost(crash_id))
    }

    /// True if the request has been paused and not answered since.
    #[must_use]
    pub fn was_paused(&self, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(|r| r.pauses > 0)
    }

    /// Begins a trial and returns true, or returns false if another trial is in progress.
    ///
    /// Other trials of the request then wait for the end of this one, at most for `timeout_ms`.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now_ms: u64, timeout_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return true };
        let may_begin = now_ms >= record.trial_until_ms;
        if may_begin {
            record.trial_until_ms = now_ms + timeout_ms;
        }
        may_begin
    }

    /// Records the end of a trial, with any outcome.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_until_ms = 0;
        }
    }

    /// Returns the state of one request for other instances, or `None` if it is unknown.
    #[must_use]
    pub fn report(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<Report> {
        let record = self.records.get(&fingerprint)?;
        Some(record.report(fingerprint, self.contest(fingerprint, record, now_ms), now_ms))
    }

    /// Returns the requests that are not sent normally, for instances that start.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<Report> {
        let requests = self.records.keys().copied();
        let wanted = requests.filter(|f| self.treatment(*f, now_ms) != Treatment::Normal);
        wanted.filter_map(|fingerprint| self.report(fingerprint, now_ms)).collect()
    }

    /// Returns a digest of the requests that are not sent normally.
    ///
    /// Two instances with the same digest need not exchange reports.
    #[must_use]
    pub fn digest(&self, now_ms: u64) -> u64 {
        let one = |fingerprint: &Fingerprint| match self.treatment(*fingerprint, now_ms) {
            Treatment::Normal => 0,
            Treatment::OneReplicaAtATime => rendezvous::weight(fingerprint.0, 0),
            // The wait ends at different times at different instances.
            Treatment::AwaitsReports(_) | Treatment::Refused(_) => {
                rendezvous::weight(fingerprint.0, 1)
            }
            Treatment::Paused(_) => rendezvous::weight(fingerprint.0, 2),
        };
        self.records.keys().fold(0, |digest, fingerprint| digest ^ one(fingerprint))
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Changes the record of a request and returns the effect.
    fn update(
        &mut self,
        fingerprint: Fingerprint,
        now_ms: u64,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> EvidenceEffect {
        self.make_room(fingerprint, now_ms);
        let before = self.treatment(fingerprint, now_ms);
        let record = self.records.entry(fingerprint).or_default();
        let was_refused = now_ms < record.refused_until_ms;
        let has_changed = change(record);
        let (is_cleared, is_refused) = (record.is_cleared(), now_ms < record.refused_until_ms);
        let after = self.treatment(fingerprint, now_ms);
        let is_refusal = |t| {
            matches!(t, Treatment::AwaitsReports(_) | Treatment::Refused(_) | Treatment::Paused(_))
        };
        match (before, after) {
            _ if !has_changed => EvidenceEffect::Unchanged,
            _ if is_refused && !was_refused && is_refusal(after) => EvidenceEffect::Refused,
            _ if is_refusal(before) && is_refusal(after) => EvidenceEffect::Recorded,
            _ if is_refusal(after) && is_refused => EvidenceEffect::Refused,
            _ if is_refusal(after) => EvidenceEffect::Paused,
            (Treatment::Normal, Treatment::OneReplicaAtATime) => EvidenceEffect::Suspected,
            _ if is_cleared => EvidenceEffect::Cleared,
            _ => EvidenceEffect::Recorded,
        }
    }

    /// Removes expired records and, if there are too many, the least important one.
    fn make_room(&mut self, wanted: Fingerprint, now_ms: u64) {
        self.records.retain(|_, record| now_ms < record.expires_at_ms);
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&wanted) {
            return;
        }
        let weight = |r: &Record| {
            let is_suspect = (r.is_crash_suspect(), r.is_suspect());
            (r.refused_until_ms, r.paused_until_ms, is_suspect, r.expires_at_ms)
        };
        let least_important = self.records.iter().min_by_key(|(_, r)| weight(r)).map(|(f, _)| *f);
        if let Some(least_important) = least_important {
            self.records.remove(&least_important);
        }
    }
}
