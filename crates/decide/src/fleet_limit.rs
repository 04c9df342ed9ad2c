//! Which instance may grant permissions that are limited over the whole fleet.
//!
//! Each limited key (a cold replica, a customer) has an owner among the instances that gather, by
//! rendezvous hashing. Ownership rests on each instance's own view of the members, so two instances
//! may both consider themselves the owner for a moment, and each side of a partition has one. What
//! an instance may grant therefore depends on its [`Standing`].

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::gatherers::Candidate;
use crate::rendezvous;

/// Time for which owners wait or grant less after a membership change, in milliseconds.
///
/// By then the permissions of the previous owner have left a window of a second, and other
/// instances have learned of the change.
pub const SETTLE_DELAY_MS: u64 = 1_000;
/// Time without messages after which an instance may be partitioned, in milliseconds.
///
/// This is three probe rounds. Other instances then replace it, and it must not continue as owner.
const PARTITION_TIMEOUT_MS: u64 = 1_500;
/// Maximum number of instances that consider themselves the owner of one key at a time.
pub const MAX_OWNERS: u64 = 2;

/// Instances that gather, which are the potential owners, by zone, and the time of their last
/// change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GathererStability {
    zones: BTreeMap<Arc<str>, (Vec<u64>, u64)>,
}

impl GathererStability {
    /// Updates the keys of the potential owners of each zone, given in any order.
    pub fn update(&mut self, mut keys: BTreeMap<Arc<str>, Vec<u64>>, now_ms: u64) {
        for zone in self.zones.keys() {
            keys.entry(Arc::clone(zone)).or_default();
        }
        for (zone, mut keys) in keys {
            keys.sort_unstable();
            let previous = self.zones.entry(zone).or_insert_with(|| (Vec::new(), now_ms));
            if previous.0 != keys {
                *previous = (keys, now_ms);
            }
        }
    }

    /// Returns true if the potential owners have not changed for the settle delay.
    ///
    /// `zone` is `None` for all zones, whose instances stand in for a zone that has none.
    #[must_use]
    pub fn is_stable(&self, zone: Option<&str>, now_ms: u64) -> bool {
        now_ms >= self.settled_at_ms(zone)
    }

    /// Returns the time of the last change of a zone's instances that gather, in milliseconds.
    #[must_use]
    pub fn changed_at_ms(&self, zone: &str) -> u64 {
        self.zones.get(zone).map_or(0, |(_, since_ms)| *since_ms)
    }

    /// Returns the time of the last change of the instances that gather in any zone, in
    /// milliseconds.
    #[must_use]
    pub fn last_changed_at_ms(&self) -> u64 {
        self.zones.values().map(|(_, since_ms)| *since_ms).max().unwrap_or(0)
    }

    /// Returns the time from which the potential owners count as unchanged, in milliseconds.
    #[must_use]
    pub fn settled_at_ms(&self, zone: Option<&str>) -> u64 {
        let counted = self.zones.iter().filter(|(name, _)| zone.is_none_or(|z| z == &***name));
        counted
            .map(|(_, (_, since_ms))| since_ms.saturating_add(SETTLE_DELAY_MS))
            .max()
            .unwrap_or(0)
    }
}

/// Returns true if an instance is connected well enough to be an owner.
///
/// `last_received_ms` is the time of the last message from another instance, if there was any.
/// `fleet` is the number of all instances, including those that it does not know: an instance that
/// starts while partitioned knows no others, but is not alone.
#[must_use]
pub fn is_connected(fleet: u64, last_received_ms: Option<u64>, now_ms: u64) -> bool {
    fleet <= 1
        || last_received_ms.is_some_and(|last_received_ms| {
            now_ms.saturating_sub(last_received_ms) < PARTITION_TIMEOUT_MS
        })
}

/// Messages from other instances, as a condition for granting.
///
/// An instance that was paused still has its previous view of the members. Others may have replaced
/// it and learn of its return within the settle delay. One that has just started has granted
/// nothing yet, and what it may grant before the delay is over is limited otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Connection {
    since_ms: u64,
    last_received_ms: Option<u64>,
    /// True if no messages arrived for a while since the first one.
    was_interrupted: bool,
}

impl Connection {
    /// Returns the connection of an instance that has heard from others without a longer pause
    /// since `since_ms`, and last at `last_received_ms`.
    ///
    /// `was_interrupted` is true if there was a longer pause before.
    #[must_use]
    pub fn new(since_ms: u64, last_received_ms: Option<u64>, was_interrupted: bool) -> Self {
        Self { since_ms, last_received_ms, was_interrupted }
    }

    /// Returns true if there was a longer pause since the first message.
    #[must_use]
    pub fn was_interrupted(&self) -> bool {
        self.was_interrupted
    }

    /// Returns the time since which messages have arrived without a longer pause, in milliseconds.
    #[must_use]
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns the time from which the instance may grant, in milliseconds.
    #[must_use]
    pub fn settled_at_ms(&self) -> u64 {
        self.since_ms.saturating_add(SETTLE_DELAY_MS)
    }

    /// Records a message from another instance.
    pub fn record_message(&mut self, now_ms: u64) {
        if !is_connected(u64::MAX, self.last_received_ms, now_ms) {
            self.since_ms = now_ms;
            self.was_interrupted = self.last_received_ms.is_some();
        }
        self.last_received_ms = self.last_received_ms.max(Some(now_ms));
    }

    /// Returns true if the instance is connected, and has been for the settle delay after an
    /// interruption; see [`is_connected`].
    #[must_use]
    pub fn is_settled(&self, fleet: u64, now_ms: u64) -> bool {
        let is_recent = now_ms.saturating_sub(self.since_ms) < SETTLE_DELAY_MS;
        let must_wait = is_recent && self.was_interrupted;
        fleet <= 1 || (!must_wait && is_connected(fleet, self.last_received_ms, now_ms))
    }
}

/// Returns the positions of the candidates for a key, the owner first.
///
/// Each candidate owns a share of the keys in proportion to its CPU capacity.
#[must_use]
pub fn ranking(key: &str, candidates: &[Candidate]) -> Vec<usize> {
    let key = rendezvous::hash(key);
    let distance = |c: &Candidate| rendezvous::distance(key, c.key, c.capacity_milli);
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by(|&a, &b| {
        let (a, b) = (&candidates[a], &candidates[b]);
        distance(a).total_cmp(&distance(b)).then(a.key.cmp(&b.key))
    });
    ranked
}

/// An instance's view of its own position for one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Position in the ranking of the key, 0 for the owner.
    pub rank: usize,
    /// True if it hears from other instances and has done so for a while; see
    /// [`Connection::is_settled`].
    pub is_connected: bool,
    /// Number of live instances that it knows, itself included.
    pub known_instances: u64,
    /// Number of all instances, including those that it does not know.
    pub fleet_size: u64,
    /// Time from which the set of candidates counts as unchanged, in milliseconds.
    pub settled_at_ms: u64,
}

/// What an instance may grant for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The whole limit; a new owner's bucket is refilled slowly before the given time.
    Owner {
        /// Time from which no other instance considers itself the owner, in milliseconds.
        settled_at_ms: u64,
    },
    /// A small part of the tolerance above the limit.
    Deputy,
    /// Nothing.
    Denied,
}

impl Standing {
    /// Returns the role that follows from the standing.
    ///
    /// Without a majority the instance may be on the smaller side of a partition, with another
    /// owner on the other side.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.rank {
            _ if !self.is_connected => Role::Denied,
            0 if self.knows_majority() => Role::Owner { settled_at_ms: self.settled_at_ms },
            0 | 1 => Role::Deputy,
            _ => Role::Denied,
        }
    }

    /// Returns true if the instance knows more than half of the fleet.
    #[must_use]
    pub fn knows_majority(&self) -> bool {
        2 * self.known_instances > self.fleet_size
    }
}
