//! How often requests lose sends, against which the losses of one of them are weighed.
//!
//! A request that crashes servers loses each of its sends. So does an innocent one while connections
//! are reset, but then other requests lose sends too, at the same instance or server. The rarer
//! their losses, the more a loss says about the request.

use std::collections::{HashMap, VecDeque};

use crate::fingerprint::Fingerprint;

/// Time for which exchanges count, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time whose answers are counted together, in milliseconds.
const BUCKET_MS: u64 = 500;
/// Number of buckets: those of the window and the current one.
const BUCKETS: usize = (WINDOW_MS / BUCKET_MS) as usize + 1;
/// Maximum number of servers whose exchanges are counted, at about 300 bytes each.
const MAX_SERVERS: usize = 4_096;
/// Maximum number of losses that are stored one by one.
const MAX_LOSSES: usize = 256;
/// Exchanges and losses that are assumed before any are seen: one in a thousand is lost.
const PRIOR_EXCHANGES: f64 = 10.0;
const PRIOR_LOSSES: f64 = 0.01;
/// Time within which losses at one server have the same cause, in milliseconds.
///
/// The connections of a crashed process are lost within a few milliseconds of each other.
const SAME_CAUSE_MS: u64 = 10;

/// Weight in thousandths above which a single loss never counts.
///
/// This is the natural logarithm of a thousand, the weight of a loss in a thousand exchanges.
pub(crate) const MAX_WEIGHT_MILLI: u32 = 6_907;

#[derive(Debug, Clone, Copy)]
struct Loss {
    server: u64,
    request: Fingerprint,
    at_ms: u64,
}

impl Loss {
    fn has_same_cause(&self, other: &Self) -> bool {
        self.server == other.server && self.at_ms.abs_diff(other.at_ms) <= SAME_CAUSE_MS
    }
}

/// Number of events in the window.
#[derive(Debug, Clone, Default)]
struct RecentCount {
    /// Counts with the numbers of their buckets.
    buckets: [(u64, u32); BUCKETS],
}

impl RecentCount {
    fn add(&mut self, now_ms: u64) {
        let bucket = now_ms / BUCKET_MS;
        let index = usize::try_from(bucket % BUCKETS as u64).unwrap_or(0);
        let (number, count) = &mut self.buckets[index];
        if *number != bucket {
            (*number, *count) = (bucket, 0);
        }
        *count += 1;
    }

    fn sum(&self, now_ms: u64) -> u32 {
        let oldest = (now_ms / BUCKET_MS).saturating_sub(BUCKETS as u64 - 1);
        let recent = self.buckets.iter().filter(|(bucket, _)| *bucket >= oldest);
        recent.map(|(_, count)| count).sum()
    }
}

/// Numbers of answered requests and of lost sends in the window.
#[derive(Debug, Clone, Default)]
struct Exchanges {
    answered: RecentCount,
    lost: RecentCount,
}

impl Exchanges {
    /// Returns the share of lost sends, without some that don't count.
    fn loss_ratio(&self, excluded: usize, now_ms: u64) -> f64 {
        let excluded = u32::try_from(excluded).unwrap_or(u32::MAX);
        let lost = f64::from(self.lost.sum(now_ms).saturating_sub(excluded));
        let answered = f64::from(self.answered.sum(now_ms));
        (lost + PRIOR_LOSSES) / (lost + answered + PRIOR_EXCHANGES)
    }
}

/// Recent answers and losses of one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct LossRate {
    all: Exchanges,
    by_server: HashMap<u64, Exchanges>,
    /// The latest losses, oldest first.
    losses: VecDeque<Loss>,
}

impl LossRate {
    /// Records the first answer to a request.
    pub(crate) fn record_answer(&mut self, server: u64, now_ms: u64) {
        self.all.answered.add(now_ms);
        self.server(server, now_ms).answered.add(now_ms);
    }

    /// Records a lost send.
    pub(crate) fn record_loss(&mut self, server: u64, request: Fingerprint, now_ms: u64) {
        self.all.lost.add(now_ms);
        self.server(server, now_ms).lost.add(now_ms);
        let is_old = |l: &Loss| l.at_ms + WINDOW_MS < now_ms;
        while self.losses.front().is_some_and(is_old) || self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { server, request, at_ms: now_ms });
    }

    /// Returns the counts of a server, after removing those of idle ones if there are too many.
    fn server(&mut self, server: u64, now_ms: u64) -> &mut Exchanges {
        if self.by_server.len() >= MAX_SERVERS && !self.by_server.contains_key(&server) {
            let is_busy = |e: &Exchanges| e.answered.sum(now_ms) + e.lost.sum(now_ms) > 0;
            self.by_server.retain(|_, exchanges| is_busy(exchanges));
        }
        self.by_server.entry(server).or_default()
    }

    /// Returns how strongly a lost send speaks against a request, in thousandths.
    ///
    /// It is the logarithm of how much likelier the loss is if the request crashes servers than if
    /// it is innocent (a step of Wald's sequential probability ratio test).
    pub(crate) fn weight_milli(&self, request: Fingerprint, server: u64, now_ms: u64) -> u32 {
        let weight = -1_000.0 * self.probability(request, server, now_ms).ln();
        // Saturates; a probability is at most 1.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it saturates")]
        let weight_milli = weight.round() as u32;
        weight_milli.min(MAX_WEIGHT_MILLI)
    }

    /// Returns the probability that an innocent request loses a send to the server.
    fn probability(&self, request: Fingerprint, server: u64, now_ms: u64) -> f64 {
        let is_recent = |l: &&Loss| now_ms <= l.at_ms + WINDOW_MS;
        let (own, others): (Vec<&Loss>, Vec<&Loss>) =
            self.losses.iter().filter(is_recent).partition(|l| l.request == request);
        let is_excluded = |(i, loss): &(usize, &&Loss)| {
            // The request may have caused the losses that came with its own.
            own.iter().any(|own| own.has_same_cause(loss))
                // Sends of one request that are lost together have one cause.
                || others[..*i].iter().any(|o| o.request == loss.request && o.has_same_cause(loss))
        };
        let excluded = others.iter().enumerate().filter(is_excluded).map(|(_, loss)| *loss);
        let excluded: Vec<&Loss> = excluded.chain(own.iter().copied()).collect();
        let at_server = excluded.iter().filter(|l| l.server == server).count();
        let overall = self.all.loss_ratio(excluded.len(), now_ms);
        let by_server = self.by_server.get(&server);
        by_server.map_or(overall, |e| e.loss_ratio(at_server, now_ms).max(overall))
    }
}
