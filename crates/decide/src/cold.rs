//! How much is sent to replicas that are cold, by all instances together.
//!
//! A cold replica is slow, and one that gets many requests in a second crashes. The bound holds
//! for the whole fleet in every sliding second, also while instances don't hear each other, so
//! neither equal shares (most instances send nothing) nor a count that is told to others will do.
//! Each cold replica has one keeper, which counts what goes there; the others ask it for leave.
//! While two instances take themselves for the keeper, each uses half of the bound at the most.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Length of the span in which requests are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;
/// Time for which a zone's keepers wait after a change among them, in milliseconds: what the one
/// before has sent is out of the span by then, and others have heard of the change.
const SETTLE_MS: u64 = 1_000;
/// Time without a word from others after which an instance may be cut off, in milliseconds; three
/// rounds of probes. Others then take its place, and it must not go on beside them.
const SILENT_MS: u64 = 1_500;
/// Instances that may take themselves for one replica's keeper at a time.
const MOST_KEEPERS: u64 = 2;
const MILLI: u64 = 1000;

/// What operators let a cold replica get beyond its rate, as the settings say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdBounds {
    /// Factor of the rate, in thousandths.
    pub over_milli: u64,
    /// Requests beside that.
    pub slack: u64,
}

impl Default for ColdBounds {
    /// Nothing beyond the rate.
    fn default() -> Self {
        Self { over_milli: MILLI, slack: 0 }
    }
}

/// Requests in a second that one keeper lets out; `None` where there is no bound.
///
/// `rate_milli` is what a cold replica stands, in thousandths of a request a second.
#[must_use]
pub fn share(rate_milli: u64, bounds: ColdBounds) -> Option<usize> {
    if rate_milli == 0 {
        return None;
    }
    let most_milli = rate_milli * bounds.over_milli / MILLI + bounds.slack * MILLI;
    let share_milli = rate_milli.max(MILLI).min(most_milli / MOST_KEEPERS);
    Some(usize::try_from(share_milli / MILLI).unwrap_or(usize::MAX))
}

/// What one instance has let out to each cold replica in the last second.
#[derive(Debug, Clone, Default)]
pub struct Windows {
    sent_ms: HashMap<Arc<str>, VecDeque<u64>>,
}

impl Windows {
    /// Whether one more request may go to a replica.
    #[must_use]
    pub fn has_room(&self, replica: &str, share: usize, now_ms: u64) -> bool {
        let is_counted = |at_ms: &&u64| **at_ms + SPAN_MS > now_ms;
        let sent = self.sent_ms.get(replica);
        sent.map_or(0, |sent| sent.iter().filter(is_counted).count()) < share
    }

    /// Takes one request to a replica; returns whether it may go out.
    pub fn take(&mut self, replica: &Arc<str>, share: usize, now_ms: u64) -> bool {
        if !self.has_room(replica, share, now_ms) {
            return false;
        }
        let sent = self.sent_ms.entry(Arc::clone(replica)).or_default();
        while sent.front().is_some_and(|at_ms| at_ms + SPAN_MS <= now_ms) {
            sent.pop_front();
        }
        sent.push_back(now_ms);
        true
    }

    /// Forgets replicas that nothing was sent to of late.
    pub fn tidy(&mut self, now_ms: u64) {
        let is_counted = |at_ms: &u64| at_ms + SPAN_MS > now_ms;
        self.sent_ms.retain(|_, sent| sent.back().is_some_and(is_counted));
    }
}

/// Since when the instances of each zone that may be keepers are the same.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settled {
    zones: BTreeMap<Arc<str>, (Vec<u64>, u64)>,
}

impl Settled {
    /// Takes in the keys of those of each zone, in any order.
    pub fn note(&mut self, mut keys: BTreeMap<Arc<str>, Vec<u64>>, now_ms: u64) {
        for known in self.zones.keys() {
            keys.entry(Arc::clone(known)).or_default();
        }
        for (zone, mut keys) in keys {
            keys.sort_unstable();
            let known = self.zones.entry(zone).or_insert_with(|| (Vec::new(), now_ms));
            if known.0 != keys {
                *known = (keys, now_ms);
            }
        }
    }

    /// Whether they have been the same for long enough.
    ///
    /// `zone` is `None` for those of all zones, who stand in for a zone that has none.
    #[must_use]
    pub fn is_settled(&self, zone: Option<&str>, now_ms: u64) -> bool {
        let mut counted =
            self.zones.iter().filter(|(known, _)| zone.is_none_or(|z| z == &***known));
        counted.all(|(_, (_, since_ms))| now_ms >= since_ms + SETTLE_MS)
    }
}

/// Whether an instance that last heard of another at `heard_ms`, if ever, may be a keeper at all.
///
/// `fleet` is the number of all instances, also of those that it does not know: one that starts
/// while it is cut off knows nobody, and is not alone for that.
#[must_use]
pub fn is_in_touch(fleet: u64, heard_ms: Option<u64>, now_ms: u64) -> bool {
    fleet <= 1 || heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + SILENT_MS)
}
