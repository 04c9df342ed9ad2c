//! JSON messages of the administration API.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Status of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: String,
    /// Start time of the process in milliseconds since the epoch.
    pub incarnation: u64,
    /// Availability zone of the instance.
    pub zone: String,
    /// State announced by the instance, or `unreachable`.
    pub state: String,
    /// Version of the text in force on the instance.
    pub config_version: Option<u64>,
    /// Number of live instances known to it, including itself.
    pub members: usize,
    /// Number of instances that share the connections.
    pub holders: usize,
    /// True if all of them announce the same list.
    pub is_share_agreed: bool,
    /// Number of backend servers known to be leaving.
    pub leaving_servers: usize,
    /// Index version in use by each service.
    pub snapshots: BTreeMap<String, u64>,
}

/// The operators' text in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextResponse {
    /// Version of the text, including the platform's era: a `Position` as a number.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// Request to submit an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Unique id of the edit, chosen by the submitter; the same on every retry.
    pub edit_id: u64,
    /// Version the edit is based on; 0 for the first text.
    pub base: u64,
    /// Name of the submitter.
    pub submitter: String,
    /// Complete new text.
    pub text: String,
}

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubmitResponse {
    /// The edit was accepted.
    Accepted {
        /// New version of the text.
        version: u64,
    },
    /// The edit was accepted, and a later edit was based on it.
    Superseded {
        /// Version of the later edit.
        version: u64,
    },
    /// The text has changed since the base version; nothing was overwritten.
    Conflict {
        /// Current version of the text.
        version: u64,
    },
    /// The text has errors; nothing was sent to the platform.
    Broken {
        /// Errors, one per line.
        errors: String,
    },
    /// The outcome is unknown; submitting the same edit id again is safe.
    Unknown {
        /// Reason.
        reason: String,
    },
    /// The token is missing or wrong, or the instance has none configured.
    Forbidden,
}

/// Event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Stamp of the hybrid logical clock: milliseconds since the epoch, shifted left by 16 bits.
    pub stamp: u64,
    /// Instance that recorded the event.
    pub instance: String,
    /// Start time of the instance's process in milliseconds since the epoch.
    pub incarnation: u64,
    /// Number of the event in the catalogue.
    pub number: u16,
    /// Title of the event in the catalogue.
    pub title: String,
    /// Subject of the event: a request id, edit id, service or instance.
    pub about: String,
    /// Details of the event.
    pub detail: String,
}

/// Compares tokens in a time that does not depend on where they differ.
#[must_use]
pub fn tokens_match(given: &str, wanted: &str) -> bool {
    given.as_bytes().ct_eq(wanted.as_bytes()).into()
}
