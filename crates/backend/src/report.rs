//! What a backend server says of itself with each answer.

use awc::http::header::{HeaderMap, HeaderName};
use eelgrasspier_decide::snapshot::Held;

use crate::headers;

/// State of a backend server as told by one of its answers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Requests that it runs or holds; it may lag or mislead.
    pub load: Option<u32>,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Its start time in milliseconds since the epoch; 0 if it says none.
    pub incarnation: u64,
    /// The index versions that it holds; empty if it says none.
    pub held: Vec<Held>,
}

impl From<&HeaderMap> for Report {
    fn from(map: &HeaderMap) -> Self {
        Self {
            load: number(map, &headers::LOAD),
            is_draining: text(map, &headers::DRAINING) == Some("1"),
            incarnation: number(map, &headers::STARTED).unwrap_or_default(),
            held: text(map, &headers::VERSIONS).map(read_held).unwrap_or_default(),
        }
    }
}

fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// A number in a header; `None` if it is absent or not one.
pub(crate) fn number<T: std::str::FromStr>(map: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(map, name)?.trim().parse().ok()
}

fn read_held(list: &str) -> Vec<Held> {
    let entries = list.split(',').filter_map(|entry| {
        let (version, shard_count) = entry.trim().split_once('/')?;
        Some(Held { version: version.parse().ok()?, shard_count: shard_count.parse().ok()? })
    });
    entries.collect()
}
