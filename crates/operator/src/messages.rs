//! Messages of the administration API, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// State of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Start time of its process in milliseconds since the epoch.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
    /// What it says of itself, or `unreachable`.
    pub state: String,
    /// Version of the text in force there.
    pub config_version: Option<u64>,
    /// Live instances that it knows of, itself included.
    pub members: usize,
    /// Instances among whom it splits connections.
    pub holders: usize,
    /// Whether all of them announce the same list.
    pub is_share_agreed: bool,
    /// Backend servers that it knows to be leaving.
    pub leaving_servers: usize,
    /// Index version that each service is answered from.
    pub snapshots: BTreeMap<String, u64>,
}

/// The operators' text in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShownText {
    /// Its version, with the platform's era: a `Position` as a number.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// An edit to be submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// The submitter's unique id of the edit; the same on every retry.
    pub edit_id: u64,
    /// Version that the edit was made from; 0 for the first text.
    pub base: u64,
    /// Who submits it.
    pub submitter: String,
    /// The whole new text.
    pub text: String,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubmitAnswer {
    /// It was accepted and has this version.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// It was accepted, and a later edit was made on top of it.
    Superseded {
        /// Version of the later edit.
        version: u64,
    },
    /// The text was changed since; nothing was overwritten.
    Conflict {
        /// Version of the text now.
        version: u64,
    },
    /// The text has errors; nothing was sent to the platform.
    Broken {
        /// The errors, one a line.
        errors: String,
    },
    /// Its fate is not known; submitting the same edit id again is safe.
    Unknown {
        /// Why.
        reason: String,
    },
    /// The token is missing or wrong, or the instance has none.
    Forbidden,
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Hybrid clock stamp: milliseconds since the epoch, shifted left by 16 bits.
    pub stamp: u64,
    /// Instance that recorded it.
    pub instance: String,
    /// Start time of its process.
    pub incarnation: u64,
    /// Number in the catalogue.
    pub number: u16,
    /// What the catalogue says.
    pub title: String,
    /// What it concerns: a request id, an edit id, a service, an instance.
    pub about: String,
    /// Details.
    pub detail: String,
}

/// Compares tokens in a time that does not depend on where they differ.
#[must_use]
pub fn is_same_token(given: &str, wanted: &str) -> bool {
    given.as_bytes().ct_eq(wanted.as_bytes()).into()
}
