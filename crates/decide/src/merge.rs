//! Merging parts to the greatest records.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Keeps the greatest records of the parts that were added; equal ones all count.
///
/// Memory is bounded by the records kept, not by the parts: a part is scanned once.
#[derive(Debug, Clone)]
pub struct Greatest {
    most: usize,
    kept: BinaryHeap<Reverse<Record>>,
}

impl Greatest {
    /// Keeps up to `most` records.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { most, kept: BinaryHeap::new() }
    }

    /// Adds the records of a part; a remainder shorter than a record is none.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            self.add_record(record);
        }
    }

    fn add_record(&mut self, record: &Record) {
        if self.kept.len() < self.most {
            self.kept.push(Reverse(*record));
            return;
        }
        if let Some(mut least) = self.kept.peek_mut()
            && *record > least.0
        {
            *least = Reverse(*record);
        }
    }

    /// The records kept, greatest first, as one body.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        // Reverse order of Reverse: ascending by Reverse is descending by record.
        let sorted = self.kept.into_sorted_vec();
        sorted.into_iter().flat_map(|Reverse(record)| record).collect()
    }
}
