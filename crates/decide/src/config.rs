//! Acceptance of operators' edits, and the version in force, which never reverts.

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

/// The configuration version that a process has in force.
///
/// A stale answer of the platform or of a slow peer must not bring an old text
/// back: one would notice a withdrawn replica getting work again. So the version
/// only goes up within a process, and a starting process is not ready before it
/// has one from the platform or a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InForce {
    version: Option<ConfigVersion>,
}

impl InForce {
    /// Offers a version; returns whether it is to be put in force.
    #[must_use]
    pub fn offer(&mut self, version: ConfigVersion) -> bool {
        if self.version.is_some_and(|current| version <= current) {
            return false;
        }
        self.version = Some(version);
        true
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version
    }
}
