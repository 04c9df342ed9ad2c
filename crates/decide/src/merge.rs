//! Merges parts into their greatest records, and checks merged answers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use displaydoc::Display;

use crate::prelude::ShardId;

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Top-k selection over the records of the added parts; duplicates are kept.
///
/// Memory is bounded by the number of records kept, not by the parts; each part is scanned once.
#[derive(Debug, Clone)]
pub struct TopRecords {
    max_records: usize,
    kept: BinaryHeap<Reverse<Record>>,
}

impl TopRecords {
    /// Creates a selection of up to `max_records` records.
    #[must_use]
    pub fn new(max_records: usize) -> Self {
        Self { max_records, kept: BinaryHeap::new() }
    }

    /// Adds the records of a part; ignores a remainder that is shorter than a record.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            self.add_record(record);
        }
    }

    fn add_record(&mut self, record: &Record) {
        if self.kept.len() < self.max_records {
            self.kept.push(Reverse(*record));
            return;
        }
        if let Some(mut smallest) = self.kept.peek_mut()
            && *record > smallest.0
        {
            *smallest = Reverse(*record);
        }
    }

    /// Returns the selected records as one body, greatest first.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        // Ascending order of `Reverse` is descending order of records.
        let sorted = self.kept.into_sorted_vec();
        sorted.into_iter().flat_map(|Reverse(record)| record).collect()
    }
}

/// Rule that a merged answer breaks.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MergeError {
    /// it answers another request
    OtherRequest,
    /// it contains shard {0}, which was not requested
    UnknownShard(usize),
    /// it contains shard {0} twice
    DuplicateShard(usize),
    /// shard {0} has no signature
    MissingSignature(usize),
    /// shard {0} has the signature of another shard
    DuplicateSignature(usize),
    /// it has records but no parts
    RecordsWithoutParts,
    /// its {0} bytes are not whole records, or more than requested
    WrongSize(usize),
    /// its records are not in descending order
    WrongOrder,
}

/// Checks the parts of a merged answer: the index of each one's shard and its signature.
///
/// # Errors
/// Fails unless each part is of another one of the `shard_count` shards, with a signature that no
/// other part has.
pub fn check_parts<'a>(
    parts: impl IntoIterator<Item = (usize, &'a [u8])>,
    shard_count: usize,
) -> Result<(), MergeError> {
    let mut is_merged = vec![false; shard_count];
    let mut signatures = HashSet::new();
    for (shard, signature) in parts {
        let is_merged = is_merged.get_mut(shard).ok_or(MergeError::UnknownShard(shard))?;
        if std::mem::replace(is_merged, true) {
            return Err(MergeError::DuplicateShard(shard));
        }
        if signature.is_empty() {
            return Err(MergeError::MissingSignature(shard));
        }
        if !signatures.insert(signature) {
            return Err(MergeError::DuplicateSignature(shard));
        }
    }
    Ok(())
}

/// Checks the records of a merged answer: at most `max_records` whole ones, greatest first.
///
/// # Errors
/// Fails if they are anything else, or if there are records but no parts.
pub fn check_records(
    records: &[u8],
    part_count: usize,
    max_records: usize,
) -> Result<(), MergeError> {
    let (whole, rest) = records.as_chunks::<RECORD_BYTES>();
    if !rest.is_empty() || whole.len() > max_records {
        return Err(MergeError::WrongSize(records.len()));
    }
    if part_count == 0 && !whole.is_empty() {
        return Err(MergeError::RecordsWithoutParts);
    }
    if whole.is_sorted_by(|a, b| a >= b) { Ok(()) } else { Err(MergeError::WrongOrder) }
}

/// True if the answered shards are requested ones, each at most once.
pub fn has_requested_once(
    answered: impl IntoIterator<Item = ShardId>,
    requested: &[ShardId],
) -> bool {
    let mut seen = HashSet::new();
    answered.into_iter().all(|shard| requested.contains(&shard) && seen.insert(shard))
}
