//! Memory for the bodies of answers, shared by all answers of one thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use eelgrasspier_decide::piece_buffer::PieceBuffer;

use crate::failure::PartFailure;

/// Bytes of each answer that need no reservation, so that usual answers are always read.
const FREE_BYTES: usize = 16 << 10;
/// Default limit of the memory of all answers in bytes.
const DEFAULT_MAX_BYTES: usize = 64 << 20;

/// Memory that the bodies of answers may take, while they are read and until they are dropped.
///
/// The first 16 KiB of each answer are not counted.
#[derive(Debug, Clone)]
pub struct AnswerBudget {
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl Default for AnswerBudget {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_BYTES)
    }
}

impl AnswerBudget {
    /// Creates a budget of `max_bytes` for all answers together.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { used_bytes: Arc::default(), max_bytes }
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns an empty body of at most `max_bytes`.
    pub(crate) fn body(&self, max_bytes: usize) -> Body {
        let reservation = Reservation { used_bytes: Arc::clone(&self.used_bytes), bytes: 0 };
        Body { data: PieceBuffer::default(), reservation, budget_bytes: self.max_bytes, max_bytes }
    }
}

/// Part of a budget, released on drop.
#[derive(Debug)]
struct Reservation {
    used_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Raises the reservation to `bytes`; returns false if the budget has not enough left.
    fn try_raise(&mut self, bytes: usize, budget_bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let raised = self.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(added).filter(|&sum| sum <= budget_bytes)
        });
        if raised.is_ok() {
            self.bytes += added;
        }
        raised.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Body that is being read.
#[derive(Debug)]
pub(crate) struct Body {
    data: PieceBuffer,
    reservation: Reservation,
    budget_bytes: usize,
    max_bytes: usize,
}

impl Body {
    /// Appends a received part.
    ///
    /// # Errors
    /// Fails if the body would exceed its maximum, or the budget has not enough left.
    pub(crate) fn append(&mut self, part: &[u8]) -> Result<(), PartFailure> {
        if part.len() > self.max_bytes - self.data.len() {
            return Err(PartFailure::TooLarge(self.max_bytes));
        }
        let mut rest = self.data.fill(part);
        while !rest.is_empty() {
            let piece_bytes = self.data.next_piece_bytes(rest);
            let counted = (self.data.capacity() + piece_bytes).saturating_sub(FREE_BYTES);
            if !self.reservation.try_raise(counted, self.budget_bytes) {
                return Err(PartFailure::NoMemory(self.budget_bytes));
            }
            self.data.add_piece(piece_bytes);
            rest = self.data.fill(rest);
        }
        Ok(())
    }

    /// Returns the whole body, whose memory stays reserved until the last copy is dropped.
    pub(crate) fn finish(self) -> Bytes {
        if self.reservation.bytes == 0 {
            return self.data.into_vec().into();
        }
        let data = self.data.into_vec();
        Bytes::from_owner(ReservedBody { data, _reservation: self.reservation })
    }
}

/// Bytes with their reservation.
struct ReservedBody {
    data: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
