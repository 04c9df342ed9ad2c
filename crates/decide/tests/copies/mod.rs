//! Copies of the store and what they are told.

use bytes::Bytes;
use eelgrasspier_decide::history::Edition;
use eelgrasspier_decide::mirror::{Changes, Mirror, Retention, Settling, Versioned};

pub const KEPT_MS: u64 = 2_000;
pub const DOUBT_MS: u64 = 4_000;

pub fn copy(retention: Retention) -> Mirror {
    Mirror::new(Settling { retention, doubt_ms: DOUBT_MS })
}

pub fn of_replicas() -> Mirror {
    copy(Retention::ForMs(KEPT_MS))
}

/// An object whose content is its edition.
pub fn object(name: &str, revision: u64, edition: u64) -> Versioned {
    let content = Bytes::from(format!("{name}:{edition}"));
    let edition = Some(Edition { born_ms: 0, number: edition });
    Versioned { name: name.to_owned(), revision, content, edition, ..Versioned::default() }
}

pub fn whole((era, as_of): (u64, u64), objects: Vec<Versioned>) -> Changes {
    Changes { as_of, is_whole: true, objects, ..Changes::default() }.in_era(era)
}
