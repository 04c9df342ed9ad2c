//! Buffer of data of unknown size, which grows without copying.

/// Maximum size of a piece in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Data in pieces.
///
/// A buffer that doubles its size leaves blocks of many sizes behind, which the allocator can't use
/// for the next one. All pieces but the first two have the same size; these two have it together.
#[derive(Debug, Default)]
pub struct PieceBuffer {
    pieces: Vec<Vec<u8>>,
    len: usize,
    capacity: usize,
}

impl PieceBuffer {
    /// Returns the number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if the buffer has no data.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory of all pieces in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Copies as much of `data` as fits into the last piece; returns the rest.
    pub fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let Some(last) = self.pieces.last_mut() else { return data };
        let (fitting, rest) = data.split_at(data.len().min(last.capacity() - last.len()));
        last.extend_from_slice(fitting);
        self.len += fitting.len();
        rest
    }

    /// Returns the size of the next piece for `data`, in bytes.
    #[must_use]
    pub fn next_piece_bytes(&self, data: &[u8]) -> usize {
        let left_bytes = PIECE_BYTES - self.capacity % PIECE_BYTES;
        if self.pieces.is_empty() { data.len().min(left_bytes) } else { left_bytes }
    }

    /// Adds an empty piece.
    pub fn add_piece(&mut self, bytes: usize) {
        self.pieces.push(Vec::with_capacity(bytes));
        self.capacity += bytes;
    }

    /// Returns all data in one piece.
    #[must_use]
    pub fn into_vec(mut self) -> Vec<u8> {
        match self.pieces.len() {
            0 | 1 => self.pieces.pop().unwrap_or_default(),
            _ => self.pieces.concat(),
        }
    }
}
