//! Acceptance of operators' edits, and the version in force, which never reverts.

use crate::history::Position;
use crate::prelude::ConfigVersion;

/// Number of accepted edits that the stored object remembers.
pub const REMEMBERED_EDITS: usize = 64;

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Edit {
    /// The submitter's unique id of the edit.
    pub edit_id: u64,
    /// Version of the text that the edit was made from.
    pub base: ConfigVersion,
}

/// What is known of a submitted edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Submission {
    /// The edit was accepted and is the stored text, with this version.
    Accepted(ConfigVersion),
    /// The edit was accepted, and a later edit was made on top of it.
    Superseded(ConfigVersion),
    /// The text was changed since; nothing was overwritten.
    Conflict(ConfigVersion),
    /// The edit has not taken effect (yet); sending it again is safe.
    Open,
}

/// Resolves an edit whose answer was lost, from the re-read object.
///
/// The object remembers the last edits, so the submitter finds its own also where
/// somebody else's edit was accepted on top of it. Sending an open edit again is
/// safe: both copies are conditional on the same base, so one takes effect.
#[must_use]
pub fn resolve(edit: &Edit, stored_version: ConfigVersion, remembered: &[Edit]) -> Submission {
    if remembered.last() == Some(edit) {
        return Submission::Accepted(stored_version);
    }
    if remembered.contains(edit) {
        return Submission::Superseded(stored_version);
    }
    if stored_version == edit.base {
        return Submission::Open;
    }
    Submission::Conflict(stored_version)
}

/// The remembered edits after one more was accepted.
#[must_use]
pub fn remember(mut remembered: Vec<Edit>, edit: Edit) -> Vec<Edit> {
    remembered.push(edit);
    let surplus = remembered.len().saturating_sub(REMEMBERED_EDITS);
    remembered.drain(..surplus);
    remembered
}

/// What becomes of a stored text that is offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offered {
    /// It is to be put in force. These edits, accepted before, are not part of it: the store was
    /// restored from a copy that lacked them, and somebody has edited that.
    Taken {
        /// Ids of the edits that are lost.
        lost: Vec<u64>,
    },
    /// It is in force already, or older.
    Known,
    /// The restored store has an older text, which the one in force is to replace there.
    Outdated,
}

/// The configuration version that a process has in force.
///
/// A stale answer of the platform or of a slow peer must not bring an old text
/// back: one would notice a withdrawn replica getting work again. So the version
/// only goes up within a process, and a starting process is not ready before it
/// has one from the platform or a peer. A restored platform gives versions out again; of two eras
/// the text that has the other's last edit among its own is the newer one.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InForce {
    version: Option<ConfigVersion>,
    edits: Vec<Edit>,
}

impl InForce {
    /// Offers a version with the edits that it remembers; what is taken is in force from now on.
    #[must_use]
    pub fn offer(&mut self, version: ConfigVersion, edits: &[Edit]) -> Offered {
        let offered = self.judge(version, edits);
        if matches!(offered, Offered::Taken { .. }) {
            self.version = self.version.max(Some(version));
            self.edits = edits.to_vec();
        }
        offered
    }

    fn judge(&self, version: ConfigVersion, edits: &[Edit]) -> Offered {
        let taken = Offered::Taken { lost: Vec::new() };
        let Some(current) = self.version else { return taken };
        let era = |version| Position::from_number(version).era;
        if era(version) == era(current) {
            return if version > current { taken } else { Offered::Known };
        }
        let has = |edits: &[Edit], last: Option<&Edit>| {
            last.is_some_and(|last| edits.iter().any(|e| e.edit_id == last.edit_id))
        };
        let (has_told, has_own) = (has(&self.edits, edits.last()), has(edits, self.edits.last()));
        let is_later = version > current;
        match (has_told, has_own) {
            // It was made from the one in force, or is that at another place.
            (false, true) => taken,
            (true, true) if is_later => taken,
            (true, false) if is_later => Offered::Outdated,
            (false, false) if is_later => {
                let is_lost = |e: &&Edit| !has(edits, Some(*e));
                let lost = self.edits.iter().filter(is_lost).map(|e| e.edit_id).collect();
                Offered::Taken { lost }
            }
            _ => Offered::Known,
        }
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version
    }
}
