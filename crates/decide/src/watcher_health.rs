//! Health checks of the watchers by the instances that replace them.
//!
//! Membership declares a lost instance dead only after seconds of suspicion, and in a large fleet
//! seconds pass before it is probed at all. If all watchers are lost at once, changes must still be
//! in force on the remaining instances within 3 s. A few standbys therefore check the instances
//! that rank above them directly and watch while these don't answer. A failed check has no other
//! consequence, so a lost datagram costs at most a few store calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Interval between checks of one instance, in milliseconds.
pub const CHECK_INTERVAL_MS: u64 = 300;
/// Number of consecutive checks without an answer before an instance counts as unresponsive.
///
/// It does so when the next check is due, at most four intervals after its loss.
const MAX_UNANSWERED: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct CheckedInstance {
    addr: SocketAddr,
    /// Number of checks since its last answer.
    unanswered: u32,
}

impl CheckedInstance {
    /// True if too many checks before the latest, which may still be answered, were not answered.
    fn is_unresponsive(&self) -> bool {
        self.unanswered > MAX_UNANSWERED
    }
}

/// Health of the instances that a standby checks.
#[derive(Debug, Clone, Default)]
pub struct WatcherHealth {
    /// Checked instances by their keys in rendezvous hashing.
    checked: BTreeMap<u64, CheckedInstance>,
    last_check_ms: Option<u64>,
}

impl WatcherHealth {
    /// Returns true if the next checks are due.
    #[must_use]
    pub fn is_check_due(&self, now_ms: u64) -> bool {
        self.last_check_ms.is_none_or(|at| now_ms >= at + CHECK_INTERVAL_MS)
    }

    /// Records checks of all `targets`; returns the keys of those that have become unresponsive.
    ///
    /// Each target has its key and the address to which the check is sent.
    pub fn record_checks(&mut self, targets: &[(u64, SocketAddr)], now_ms: u64) -> Vec<u64> {
        self.last_check_ms = Some(now_ms);
        let before = std::mem::take(&mut self.checked);
        let mut unresponsive = Vec::new();
        for &(key, addr) in targets {
            let known = before.get(&key).filter(|c| c.addr == addr);
            let unanswered = known.map_or(0, |c| c.unanswered);
            let checked = CheckedInstance { addr, unanswered: unanswered.saturating_add(1) };
            if checked.is_unresponsive() && !known.is_some_and(CheckedInstance::is_unresponsive) {
                unresponsive.push(key);
            }
            self.checked.insert(key, checked);
        }
        unresponsive
    }

    /// Records an answer; returns the key of the instance if it was unresponsive.
    pub fn record_answer(&mut self, from: SocketAddr) -> Option<u64> {
        let (key, checked) = self.checked.iter_mut().find(|(_, c)| c.addr == from)?;
        let was_unresponsive = checked.is_unresponsive();
        checked.unanswered = 0;
        was_unresponsive.then_some(*key)
    }

    /// Returns true unless the instance is checked and does not answer.
    #[must_use]
    pub fn is_responsive(&self, key: u64) -> bool {
        self.checked.get(&key).is_none_or(|c| !c.is_unresponsive())
    }
}
