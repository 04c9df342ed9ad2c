//! Mirrors and changes for tests.

use bytes::Bytes;
use eelgrasspier_decide::history::Edition;
use eelgrasspier_decide::mirror::{Changes, Mirror, RestorePolicy, Retention, Versioned};

pub const RETENTION_MS: u64 = 2_000;
pub const WITHHOLD_MS: u64 = 4_000;

pub fn new_mirror(retention: Retention) -> Mirror {
    Mirror::new(RestorePolicy { retention, withhold_ms: WITHHOLD_MS })
}

pub fn replica_mirror() -> Mirror {
    new_mirror(Retention::ForMs(RETENTION_MS))
}

/// Returns an object whose content is its name and edition.
pub fn object(name: &str, revision: u64, edition: u64) -> Versioned {
    let content = Bytes::from(format!("{name}:{edition}"));
    let edition = Some(Edition { born_ms: 0, number: edition });
    Versioned { name: name.to_owned(), revision, content, edition, ..Versioned::default() }
}

pub fn full_list((era, as_of): (u64, u64), objects: Vec<Versioned>) -> Changes {
    Changes { as_of, is_whole: true, objects, ..Changes::default() }.with_era(era)
}
