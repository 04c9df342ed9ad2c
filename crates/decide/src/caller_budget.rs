//! Memory and connections that callers may hold, and which connection loses them first.
//!
//! A connection that waits for its caller (for the rest of a request, for the next one, or until an
//! answer is read) can be closed without breaking a promise, since its request has not run or has
//! been answered. One whose request is being served can't.

use std::time::Duration;

/// Descriptors that are not available for connections, such as those of files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Share of the other descriptors that callers may take; replicas, instances and the store need
/// the rest.
const CALLER_DESCRIPTORS_PERCENT: u64 = 50;
/// Share of the memory that callers may take.
const CALLER_MEMORY_PERCENT: u64 = 20;
/// Divisor of the memory that gives the part for answers which callers have not read yet. It is less
/// than the part for all answers of replicas, so that others can still be read.
const UNREAD_MEMORY_DIVISOR: u64 = 16;
/// Connections that callers may always take.
const MIN_CONNECTIONS: u64 = 16;

/// Memory and connections that all callers may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBudget {
    /// Memory in bytes.
    pub max_bytes: usize,
    /// Size of the answers that are being written, in bytes.
    pub max_unread_bytes: usize,
    /// Number of connections.
    pub max_connections: usize,
}

impl CallerBudget {
    /// Returns the budget on a machine with this memory, of which a process may open so many
    /// descriptors.
    #[must_use]
    pub fn of_machine(memory_bytes: u64, max_descriptors: u64) -> Self {
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = descriptors.saturating_mul(CALLER_DESCRIPTORS_PERCENT) / 100;
        let bytes = memory_bytes.saturating_mul(CALLER_MEMORY_PERCENT) / 100;
        let to_usize = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        Self {
            max_bytes: to_usize(bytes),
            max_unread_bytes: to_usize(memory_bytes / UNREAD_MEMORY_DIVISOR),
            max_connections: to_usize(connections.max(MIN_CONNECTIONS)),
        }
    }
}

/// What a connection holds while it waits for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Memory in bytes.
    pub bytes: usize,
    /// Time since it began to wait; progress of the caller does not restart it.
    pub waiting: Duration,
}

impl Holding {
    /// Returns what the connection has cost so far, in byte milliseconds.
    ///
    /// The costliest connection is closed first. Usual requests are small and arrive in a few
    /// milliseconds, so that those of a crowd which holds the memory are always costlier.
    #[must_use]
    pub fn cost(&self) -> u128 {
        self.bytes as u128 * (self.waiting.as_millis() + 1)
    }
}
