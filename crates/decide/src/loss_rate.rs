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
/// Maximum number of servers whose answers are counted, at about 150 bytes each.
const MAX_SERVERS: usize = 4_096;
/// Maximum number of losses that are stored.
const MAX_LOSSES: usize = 512;
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

/// Recent answers and losses of one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct LossRate {
    /// Requests that were answered.
    answered: RecentCount,
    /// The same by the server that answered first.
    answered_by_server: HashMap<u64, RecentCount>,
    losses: VecDeque<Loss>,
}

impl LossRate {
    /// Records the first answer to a request.
    pub(crate) fn record_answer(&mut self, server: u64, now_ms: u64) {
        self.answered.add(now_ms);
        let is_new = !self.answered_by_server.contains_key(&server);
        if is_new && self.answered_by_server.len() >= MAX_SERVERS {
            self.answered_by_server.retain(|_, count| count.sum(now_ms) > 0);
        }
        if !is_new || self.answered_by_server.len() < MAX_SERVERS {
            self.answered_by_server.entry(server).or_default().add(now_ms);
        }
    }

    /// Records a lost send.
    pub(crate) fn record_loss(&mut self, server: u64, request: Fingerprint, now_ms: u64) {
        let is_old = |l: &Loss| l.at_ms + WINDOW_MS < now_ms;
        while self.losses.front().is_some_and(is_old) || self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { server, request, at_ms: now_ms });
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
        // The request may have caused the losses that came with its own.
        let is_shared = |l: &&&Loss| own.iter().any(|own| own.has_same_cause(l));
        let others = others.iter().filter(|l| !is_shared(l));
        // Sends of one request that are lost together have one cause.
        let mut causes: Vec<&Loss> = Vec::new();
        for loss in others {
            if !causes.iter().any(|c| c.request == loss.request && c.has_same_cause(loss)) {
                causes.push(loss);
            }
        }
        let at_server = causes.iter().filter(|l| l.server == server).count();
        let by_server = self.answered_by_server.get(&server).map_or(0, |count| count.sum(now_ms));
        let overall = loss_ratio(causes.len(), self.answered.sum(now_ms));
        overall.max(loss_ratio(at_server, by_server))
    }
}

fn loss_ratio(lost: usize, answered: u32) -> f64 {
    let lost = f64::from(u32::try_from(lost).unwrap_or(u32::MAX));
    (lost + PRIOR_LOSSES) / (lost + f64::from(answered) + PRIOR_EXCHANGES)
}
