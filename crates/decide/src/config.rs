//! Acceptance of operators' edits, and the version in force, which never reverts.

use crate::history::Position;
use crate::prelude::ConfigVersion;

/// Maximum number of recent edits kept in the stored object.
pub const MAX_RECENT_EDITS: usize = 64;

/// Accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Edit {
    /// Unique id assigned by the submitter.
    pub edit_id: u64,
    /// Version of the text on which the edit is based.
    pub base: ConfigVersion,
}

/// Result of a submitted edit, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Submission {
    /// The edit was accepted and is the stored text, with this version.
    Accepted(ConfigVersion),
    /// The edit was accepted, and a later edit was based on it.
    Superseded(ConfigVersion),
    /// The text had changed; nothing was overwritten.
    Conflict(ConfigVersion),
    /// The edit has not taken effect so far; it is safe to submit it again.
    Open,
}

/// Determines from the re-read object the result of an edit whose answer was lost.
///
/// The object contains the recent edits, so the submitter finds its own even if a later one was
/// accepted on top of it. An open edit can be submitted again: both submissions are conditional on
/// the same base, so only one takes effect.
#[must_use]
pub fn resolve(edit: &Edit, stored_version: ConfigVersion, recent_edits: &[Edit]) -> Submission {
    if recent_edits.last() == Some(edit) {
        return Submission::Accepted(stored_version);
    }
    if recent_edits.contains(edit) {
        return Submission::Superseded(stored_version);
    }
    if stored_version == edit.base {
        return Submission::Open;
    }
    Submission::Conflict(stored_version)
}

/// Appends an accepted edit to the recent ones and drops the oldest beyond the limit.
#[must_use]
pub fn push_edit(mut recent_edits: Vec<Edit>, edit: Edit) -> Vec<Edit> {
    recent_edits.push(edit);
    let surplus = recent_edits.len().saturating_sub(MAX_RECENT_EDITS);
    recent_edits.drain(..surplus);
    recent_edits
}

/// Result of offering a stored text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// The text is now in force.
    ///
    /// `lost` lists edits accepted earlier that are not part of it: the store was restored from a
    /// backup without them, and the restored text has been edited since.
    Accepted {
        /// Ids of the lost edits.
        lost: Vec<u64>,
    },
    /// The text is already in force, or older.
    NotNewer,
    /// The restored store has an older text, which the one in force must replace there.
    StoreOutdated,
}

/// Configuration version that a process has in force.
///
/// A stale answer of the platform or of a slow peer must not bring back an old text, or a withdrawn
/// replica would get work again. The version therefore only increases within a process, and a
/// starting process is not ready before it has one from the platform or a peer. A restored platform
/// assigns versions again; of two texts of different eras, the one that contains the other's last
/// edit is newer.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigInForce {
    version: Option<ConfigVersion>,
    edits: Vec<Edit>,
}

impl ConfigInForce {
    /// Offers a version with its recent edits; an accepted one is in force from now on.
    #[must_use]
    pub fn offer(&mut self, version: ConfigVersion, edits: &[Edit]) -> OfferResult {
        let offered = self.compare(version, edits);
        if matches!(offered, OfferResult::Accepted { .. }) {
            self.version = self.version.max(Some(version));
            self.edits = edits.to_vec();
        }
        offered
    }

    fn compare(&self, version: ConfigVersion, edits: &[Edit]) -> OfferResult {
        let accepted = OfferResult::Accepted { lost: Vec::new() };
        let Some(current) = self.version else { return accepted };
        let era = |version| Position::from_packed(version).era;
        if era(version) == era(current) {
            return if version > current { accepted } else { OfferResult::NotNewer };
        }
        let has = |edits: &[Edit], last: Option<&Edit>| {
            last.is_some_and(|last| edits.iter().any(|e| e.edit_id == last.edit_id))
        };
        let (current_has_offered, offered_has_current) =
            (has(&self.edits, edits.last()), has(edits, self.edits.last()));
        let is_later = version > current;
        match (current_has_offered, offered_has_current) {
            // The offered text is based on the one in force, or is the same at another position.
            (false, true) => accepted,
            (true, true) if is_later => accepted,
            (true, false) if is_later => OfferResult::StoreOutdated,
            (false, false) if is_later => {
                let is_lost = |e: &&Edit| !has(edits, Some(*e));
                let lost = self.edits.iter().filter(is_lost).map(|e| e.edit_id).collect();
                OfferResult::Accepted { lost }
            }
            _ => OfferResult::NotNewer,
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version
    }
}
