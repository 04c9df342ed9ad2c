//! Removal of stale instance entries from the store.
//!
//! Each instance writes one entry, by which starting instances find it, and the store expires
//! nothing by itself. In a fleet that replaces 1,200 instances a day the list would grow by as many
//! entries, and each starting instance reads it.

use std::collections::BTreeMap;

/// Time in milliseconds after which the entry of a missing instance is removed.
///
/// A restart takes seconds, and so do freezes; an instance that was missing for longer writes its
/// entry again.
pub const STALE_AFTER_MS: u64 = 300_000;

/// Listed instances that are missing, with the time since when.
#[derive(Debug, Clone, Default)]
pub struct StaleEntries {
    missing_since_ms: BTreeMap<String, u64>,
    /// True if the last list lacked this instance's entry.
    was_own_missing: bool,
}

impl StaleEntries {
    /// Returns the names of the `listed` entries to remove.
    ///
    /// Removes none if more than half of the listed instances are missing, since then this instance
    /// is more likely to be cut off.
    #[must_use]
    pub fn stale(
        &mut self,
        listed: &[&str],
        is_present: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Vec<String> {
        let missing: Vec<&str> = listed.iter().copied().filter(|name| !is_present(name)).collect();
        self.missing_since_ms.retain(|name, _| missing.contains(&name.as_str()));
        for name in &missing {
            self.missing_since_ms.entry((*name).to_owned()).or_insert(now_ms);
        }
        if 2 * missing.len() > listed.len() {
            return Vec::new();
        }
        let is_stale = |(_, since_ms): &(&String, &u64)| now_ms >= **since_ms + STALE_AFTER_MS;
        self.missing_since_ms.iter().filter(is_stale).map(|(name, _)| name.clone()).collect()
    }

    /// Returns true if this instance must write its entry again.
    ///
    /// Lists may be seconds old, so the entry must be missing from two in a row.
    pub fn must_rewrite_own(&mut self, is_listed: bool) -> bool {
        let must_rewrite = !is_listed && self.was_own_missing;
        self.was_own_missing = !is_listed && !must_rewrite;
        must_rewrite
    }
}
