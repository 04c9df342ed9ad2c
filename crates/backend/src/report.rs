//! Server state reported in the headers of each answer.

use awc::http::header::{HeaderMap, HeaderName};
use eelgrasspier_decide::snapshot::HeldVersion;

use crate::headers;

/// State of a backend server, as reported by one of its answers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServerReport {
    /// Number of running and queued requests; may be out of date or wrong.
    pub load: Option<u32>,
    /// True if the server is draining.
    pub is_draining: bool,
    /// Start time of the server process in milliseconds since the Unix epoch; 0 if not reported.
    pub incarnation: u64,
    /// Index versions held by the server; empty if not reported.
    pub held_versions: Vec<HeldVersion>,
}

impl From<&HeaderMap> for ServerReport {
    fn from(map: &HeaderMap) -> Self {
        Self {
            load: header_number(map, &headers::LOAD),
            is_draining: header_text(map, &headers::DRAINING) == Some("1"),
            incarnation: header_number(map, &headers::STARTED).unwrap_or_default(),
            held_versions: header_text(map, &headers::VERSIONS)
                .map(parse_held_versions)
                .unwrap_or_default(),
        }
    }
}

fn header_text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// Parses a header as a number; returns `None` if it is absent or invalid.
pub(crate) fn header_number<T: std::str::FromStr>(map: &HeaderMap, name: &HeaderName) -> Option<T> {
    header_text(map, name)?.trim().parse().ok()
}

fn parse_held_versions(list: &str) -> Vec<HeldVersion> {
    let entries = list.split(',').filter_map(|entry| {
        let (version, shard_count) = entry.trim().split_once('/')?;
        Some(HeldVersion { version: version.parse().ok()?, shard_count: shard_count.parse().ok()? })
    });
    entries.collect()
}
