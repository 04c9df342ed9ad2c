//! Which instances of a zone hold connections to the zone's replicas.
//!
//! A replica accepts fewer connections than there are instances, and each new one holds
//! one of its few slots for milliseconds. So in a large zone some instances gather for
//! the others, and keep their connections warm; in a small one every instance does.

use crate::rendezvous;

/// Instances of a zone up to which each gathers for itself.
const ALL_UP_TO: usize = 4;
/// Instances for each one that gathers in a larger zone.
///
/// With 19 instances 4 gather: at some 300 parts a second each their connections stay in
/// use, and a part takes under a tenth of a millisecond of processor time.
const FOR_EACH: usize = 5;

/// An instance of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its key in rendezvous order.
    pub key: u64,
    /// Its processor time, in thousandths of a core.
    pub capacity_milli: u32,
}

/// Keys of the instances that gather, of all of one zone.
///
/// Larger instances are chosen more often, in proportion to their capacity. One that
/// comes or goes moves only its own place.
#[must_use]
pub fn choose(zone: &str, candidates: &[Candidate]) -> Vec<u64> {
    if candidates.len() <= ALL_UP_TO {
        return candidates.iter().map(|c| c.key).collect();
    }
    let count = ALL_UP_TO.max(candidates.len().div_ceil(FOR_EACH));
    let ranking = rendezvous::hash(zone);
    let mut ranked: Vec<(f64, u64)> =
        candidates.iter().map(|c| (distance(ranking, c), c.key)).collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    ranked.into_iter().take(count).map(|(_, key)| key).collect()
}

/// Weighted rendezvous: an exponential variable whose rate is the capacity.
fn distance(ranking: u64, candidate: &Candidate) -> f64 {
    const BITS: u32 = 32;
    let high = u32::try_from(rendezvous::weight(ranking, candidate.key) >> BITS);
    let uniform = (f64::from(high.unwrap_or(u32::MAX)) + 1.0) / (f64::from(u32::MAX) + 2.0);
    -uniform.ln() / f64::from(candidate.capacity_milli.max(1))
}
