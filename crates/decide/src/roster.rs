//! Which entries of instances are withdrawn from the store.
//!
//! Each instance writes one entry, by which those that start later find it, and nothing in the
//! store expires by itself. Of a fleet that replaces 1,200 instances a day the list would grow
//! by as many, and each start reads it.

use std::collections::BTreeMap;

/// Time for which an instance must have been gone, in milliseconds. A restart takes seconds and
/// a freeze has lasted for some; one that was gone for longer writes its entry anew.
pub const GONE_AFTER_MS: u64 = 300_000;

/// Instances that are listed and not there, with since when, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    missing_since_ms: BTreeMap<String, u64>,
    /// Whether the last list had no entry of this instance.
    was_own_missing: bool,
}

impl Roster {
    /// The entries to withdraw, of those that are listed.
    ///
    /// None where fewer than half of the listed instances are there: then it is more likely
    /// this instance that is cut off.
    #[must_use]
    pub fn gone(
        &mut self,
        listed: &[&str],
        is_there: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Vec<String> {
        let missing: Vec<&str> = listed.iter().copied().filter(|name| !is_there(name)).collect();
        self.missing_since_ms.retain(|name, _| missing.contains(&name.as_str()));
        for name in &missing {
            self.missing_since_ms.entry((*name).to_owned()).or_insert(now_ms);
        }
        if 2 * missing.len() > listed.len() {
            return Vec::new();
        }
        let is_gone = |(_, since_ms): &(&String, &u64)| now_ms >= **since_ms + GONE_AFTER_MS;
        self.missing_since_ms.iter().filter(is_gone).map(|(name, _)| name.clone()).collect()
    }

    /// Whether this instance's own entry has to be written anew.
    ///
    /// Lists may be seconds old, so that one list without it says nothing yet.
    pub fn is_own_lost(&mut self, is_listed: bool) -> bool {
        let is_lost = !is_listed && self.was_own_missing;
        self.was_own_missing = !is_listed && !is_lost;
        is_lost
    }
}
