//! Merges parts into their greatest records.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

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
