//! Requests that end the replicas which run them, and when they are not sent any more.
//!
//! A request that ends a replica looks like one that was in progress when its replica ended for
//! another reason, and to take one for the other is wrong both ways: the first takes down a
//! whole index when its caller comes again, the second is refused for nothing. Three facts tell
//! them apart. A replica that answers a request, in whatever way, clears it for good. One
//! whose replicas have ended twice, and that nobody has answered, is tried on one replica at a
//! time, at the price of one more exchange for a bystander. Only where that replica ends
//! too, with nothing else unanswered on it, twice, the request is refused for some minutes.
//!
//! Instances tell each other [`Report`]s, which are merged: in whatever order and how often they
//! come, all instances come to the same.

use std::collections::HashMap;

use crate::fingerprint::Fingerprint;
use crate::losses::Ended;
use crate::rendezvous;

/// Replicas that must have ended before a request is tried on one at a time.
///
/// One ends now and then; that two do under the same request, unanswered, is rare, and a request
/// to many shards would end dozens with the second sends that follow.
const SUSPECT_FROM: usize = 2;
/// Trials by itself that must have ended their replica before a request is refused. A single
/// one may be a coincidence: another request ended it in the same milliseconds.
const LEAST_ALONE: usize = 2;
/// Ends under one request that are remembered and told, at four bytes each; more prove no more.
const MOST_MARKS: usize = 16;
/// Time for which a request is refused at first, in milliseconds: as long as it takes operators
/// to notice, and one replica for each such time is what the next trial costs.
const FIRST_REFUSAL_MS: u64 = 300_000;
/// Doublings of that time, where each next trial ends one more replica: up to 80 minutes.
const MOST_DOUBLINGS: u32 = 4;
/// Time for which a request that is tried one at a time is remembered, in milliseconds; as long
/// as a refusal, which follows if it comes again.
const SUSPECT_LIFE_MS: u64 = FIRST_REFUSAL_MS;
/// Longest time for which anything is remembered, in milliseconds, whatever a report says.
const MOST_LEFT_MS: u64 = (FIRST_REFUSAL_MS << MOST_DOUBLINGS) + SUSPECT_LIFE_MS;
/// Time for which a single end is remembered, in milliseconds: callers try again within seconds.
const SINGLE_LIFE_MS: u64 = 30_000;
/// Time for which reports on a request that was cleared are passed over, in milliseconds: gossip
/// has brought the last of them to everybody by then.
const CLEARED_LIFE_MS: u64 = 5_000;
/// Requests that are remembered; at about 200 bytes each 50 KB. Those that are refused stay
/// longest, and only so many are refused at a time.
const MOST_REQUESTS: usize = 256;
/// Difference from which the time of a refusal counts as news, in milliseconds; less is the time
/// that a report was on its way.
const NEWS_MS: u64 = 2_000;

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// Nothing speaks against it.
    Usual,
    /// It goes to one replica at a time until one answers.
    OneByOne,
    /// It is refused for so long, in milliseconds.
    Refused(u64),
}

/// What an instance knows of one request, as it travels.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Marks of the sends whose replica ended. Not of the replicas: one that has started again
    /// may be ended again, under the same name, and that counts.
    #[prost(fixed32, repeated, tag = "2")]
    pub ended: Vec<u32>,
    /// Of them, those by which it was tried by itself.
    #[prost(fixed32, repeated, tag = "3")]
    pub ended_alone: Vec<u32>,
    /// For how long it is still refused, in milliseconds; 0 where it is not.
    #[prost(uint64, tag = "4")]
    pub refused_ms: u64,
    /// How often it came to be refused.
    #[prost(uint32, tag = "5")]
    pub refusals: u32,
    /// Whether a replica has answered it.
    #[prost(bool, tag = "6")]
    pub is_cleared: bool,
    /// For how long this is still remembered, in milliseconds. Without it two instances that
    /// forget at different moments would tell each other for ever.
    #[prost(uint64, tag = "7")]
    pub left_ms: u64,
}

/// What new evidence leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Nothing that was not so before.
    Unchanged,
    /// More is known, and the request is treated as before.
    Noted,
    /// It is tried on one replica at a time from now on.
    Suspected,
    /// It is refused from now on.
    Refused,
    /// Nothing speaks against it any more.
    Cleared,
}

impl Report {
    /// Whether the request is not treated as usual.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        !self.is_cleared && (self.refused_ms > 0 || self.ended.len() >= SUSPECT_FROM)
    }
}

#[derive(Debug, Clone, Default)]
struct Record {
    ended: Vec<u32>,
    ended_alone: Vec<u32>,
    /// When it is forgotten.
    over_at_ms: u64,
    refused_until_ms: u64,
    refusals: u32,
    /// When it was cleared, if it was.
    cleared_ms: Option<u64>,
    /// Until when others wait for the end of a trial.
    trial_until_ms: u64,
}

impl Record {
    fn is_cleared(&self) -> bool {
        self.cleared_ms.is_some()
    }

    fn is_suspect(&self) -> bool {
        !self.is_cleared() && self.ended.len() >= SUSPECT_FROM
    }

    fn treatment(&self, now_ms: u64) -> Treatment {
        if self.is_cleared() || now_ms >= self.over_at_ms {
            Treatment::Usual
        } else if now_ms < self.refused_until_ms {
            Treatment::Refused(self.refused_until_ms - now_ms)
        } else if self.is_suspect() {
            Treatment::OneByOne
        } else {
            Treatment::Usual
        }
    }

    /// Has it remembered for as long as fresh evidence is.
    fn renew(&mut self, now_ms: u64) {
        let life_ms = if self.is_suspect() { SUSPECT_LIFE_MS } else { SINGLE_LIFE_MS };
        self.over_at_ms = self.over_at_ms.max(now_ms.max(self.refused_until_ms) + life_ms);
    }

    /// Refuses it where the evidence is enough; `is_again` if a trial has just shown it.
    fn judge(&mut self, is_again: bool, now_ms: u64) {
        let is_proven = self.is_suspect() && self.ended_alone.len() >= LEAST_ALONE && is_again;
        if is_proven && now_ms >= self.refused_until_ms {
            let doublings = self.refusals.min(MOST_DOUBLINGS);
            self.refused_until_ms = now_ms + (FIRST_REFUSAL_MS << doublings);
            self.refusals += 1;
        }
    }

    fn report(&self, fingerprint: Fingerprint, now_ms: u64) -> Report {
        Report {
            fingerprint: fingerprint.0,
            ended: self.ended.clone(),
            ended_alone: self.ended_alone.clone(),
            refused_ms: self.refused_until_ms.saturating_sub(now_ms),
            refusals: self.refusals,
            is_cleared: self.is_cleared(),
            left_ms: self.over_at_ms.saturating_sub(now_ms),
        }
    }
}

/// All that one instance knows of such requests.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
}

impl Quarantine {
    /// How a request is treated now.
    #[must_use]
    pub fn treatment(&self, fingerprint: Fingerprint, now_ms: u64) -> Treatment {
        let record = self.records.get(&fingerprint);
        record.map_or(Treatment::Usual, |r| r.treatment(now_ms))
    }

    /// Notes that a replica has ended while it ran a request that nobody had answered.
    pub fn note_ended(&mut self, ended: Ended, now_ms: u64) -> Finding {
        let Ended { request, send, is_alone } = ended;
        self.update(request, now_ms, |record| {
            if record.is_cleared() {
                // An answer after all, and then an end: the evidence starts anew.
                *record = Record::default();
            }
            let is_new = add(&mut record.ended, send);
            let is_new_alone = is_alone && add(&mut record.ended_alone, send);
            record.judge(is_new_alone, now_ms);
            record.renew(now_ms);
            is_new || is_new_alone
        })
    }

    /// Notes that a replica has answered a request: it does not end those that run it.
    pub fn note_answered(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Finding {
        match self.records.get(&fingerprint) {
            None => Finding::Unchanged,
            Some(_) => self.update(fingerprint, now_ms, |record| clear(record, now_ms)),
        }
    }

    /// Takes in what another instance knows.
    pub fn merge(&mut self, report: &Report, now_ms: u64) -> Finding {
        let fingerprint = Fingerprint(report.fingerprint);
        let is_known = self.records.contains_key(&fingerprint);
        if report.is_cleared {
            if !is_known {
                return Finding::Unchanged;
            }
            return self.update(fingerprint, now_ms, |record| clear(record, now_ms));
        }
        if report.left_ms == 0 || (report.ended.is_empty() && report.refused_ms == 0) {
            return Finding::Unchanged;
        }
        self.update(fingerprint, now_ms, |record| merge_into(record, report, now_ms))
    }

    /// Whether a request that is tried one at a time may be tried now; then others wait for the
    /// end of it, for `most_ms` at the most.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now_ms: u64, most_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return true };
        let is_free = now_ms >= record.trial_until_ms;
        if is_free {
            record.trial_until_ms = now_ms + most_ms;
        }
        is_free
    }

    /// Notes that a trial has ended, however it did.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_until_ms = 0;
        }
    }

    /// What is known of one request, for others; `None` where that is nothing.
    #[must_use]
    pub fn report(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<Report> {
        let record = self.records.get(&fingerprint)?;
        Some(record.report(fingerprint, now_ms))
    }

    /// What one that starts needs to know: requests that are not treated as usual.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<Report> {
        let wanted = self.records.iter().filter(|(_, r)| r.treatment(now_ms) != Treatment::Usual);
        wanted.map(|(fingerprint, record)| record.report(*fingerprint, now_ms)).collect()
    }

    /// Digest of the requests that are not treated as usual; two instances with the same digest
    /// have nothing to tell each other.
    #[must_use]
    pub fn digest(&self, now_ms: u64) -> u64 {
        let one = |(fingerprint, record): (&Fingerprint, &Record)| match record.treatment(now_ms) {
            Treatment::Usual => 0,
            Treatment::OneByOne => rendezvous::weight(fingerprint.0, 0),
            Treatment::Refused(_) => rendezvous::weight(fingerprint.0, 1),
        };
        self.records.iter().fold(0, |digest, record| digest ^ one(record))
    }

    /// Number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Changes the record of a request and says what follows.
    fn update(
        &mut self,
        fingerprint: Fingerprint,
        now_ms: u64,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> Finding {
        self.forget(fingerprint, now_ms);
        let record = self.records.entry(fingerprint).or_default();
        let before = record.treatment(now_ms);
        let has_changed = change(record);
        let after = record.treatment(now_ms);
        match (before, after) {
            _ if !has_changed => Finding::Unchanged,
            (Treatment::Refused(_), Treatment::Refused(_)) => Finding::Noted,
            (_, Treatment::Refused(_)) => Finding::Refused,
            (Treatment::Usual, Treatment::OneByOne) => Finding::Suspected,
            _ if record.is_cleared() => Finding::Cleared,
            _ => Finding::Noted,
        }
    }

    /// Makes room: forgets what is over, and of too many those that weigh least.
    fn forget(&mut self, wanted: Fingerprint, now_ms: u64) {
        self.records.retain(|_, record| now_ms < record.over_at_ms);
        if self.records.len() < MOST_REQUESTS || self.records.contains_key(&wanted) {
            return;
        }
        let weight = |r: &Record| (r.refused_until_ms, r.is_suspect(), r.over_at_ms);
        let least = self.records.iter().min_by_key(|(_, r)| weight(r)).map(|(f, _)| *f);
        if let Some(least) = least {
            self.records.remove(&least);
        }
    }
}

fn add(marks: &mut Vec<u32>, mark: u32) -> bool {
    let is_new = !marks.contains(&mark) && marks.len() < MOST_MARKS;
    if is_new {
        marks.push(mark);
    }
    is_new
}

fn clear(record: &mut Record, now_ms: u64) -> bool {
    let is_news = !record.is_cleared();
    if is_news {
        let over_at_ms = now_ms + CLEARED_LIFE_MS;
        *record = Record { cleared_ms: Some(now_ms), over_at_ms, ..Record::default() };
    }
    is_news
}

fn merge_into(record: &mut Record, report: &Report, now_ms: u64) -> bool {
    // Older than the answer, most likely; what is newer comes again with the next end.
    if record.is_cleared() {
        return false;
    }
    let mut is_news = false;
    for &mark in &report.ended {
        is_news |= add(&mut record.ended, mark);
    }
    let mut has_ended_alone = false;
    for &mark in &report.ended_alone {
        has_ended_alone |= add(&mut record.ended_alone, mark);
    }
    let until_ms = now_ms + report.refused_ms.min(FIRST_REFUSAL_MS << MOST_DOUBLINGS);
    let is_longer = report.refused_ms > 0 && until_ms > record.refused_until_ms + NEWS_MS;
    if is_longer {
        record.refused_until_ms = until_ms;
    }
    record.refusals = record.refusals.max(report.refusals);
    is_news |= has_ended_alone || is_longer;
    // Forgotten when its reporter forgets it, unless more is known here.
    record.over_at_ms = record.over_at_ms.max(now_ms + report.left_ms.min(MOST_LEFT_MS));
    if is_news {
        // Of one that was refused before, its reporter knows whether that is over.
        record.judge(has_ended_alone && record.refusals == 0, now_ms);
        if now_ms < record.refused_until_ms {
            record.renew(now_ms);
        }
    }
    is_news
}
