//! Interface to the platform's object API.

use std::pin::Pin;

use bytes::Bytes;
use displaydoc::Display;
#[cfg(doc)]
use eelgrasspier_decide::history::Position;

/// Future that must be polled on the thread that created it.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version number: a [`Position`] encoded as a number. Increases with each update of this
    /// object and with each restore of the platform.
    pub version: u64,
    /// Content of the object.
    pub value: Bytes,
}

/// Instance as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Gossip address of its daemon.
    pub peer_addr: String,
    /// True if the platform is about to remove the instance.
    #[serde(default)]
    pub is_leaving: bool,
}

/// Error of a read from the platform.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// the platform does not answer: {0}
    Unavailable(String),
    /// invalid answer from the platform: {0}
    Malformed(String),
}

/// Error of a conditional update that was not confirmed.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// the object has changed since it was read
    Conflict,
    /// the update did not take effect: {0}
    NotApplied(String),
    /// the update may have taken effect: {0}
    Unknown(String),
}

/// Object API of the platform.
pub trait ObjectStore {
    /// Reads an object; returns `None` if it does not exist.
    fn read<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Object>, ReadError>>;

    /// Waits up to `wait_ms` for a version above `after`; returns `None` if none appears.
    fn watch<'a>(
        &'a self,
        name: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> StoreFuture<'a, Result<Option<Object>, ReadError>>;

    /// Replaces the object if its version is `expected`; `None` requires that it does not exist.
    ///
    /// The platform's conditions don't include the era: a version number that is reused after a
    /// restore matches. An answer from a later era than `expected` is therefore reported as
    /// [`UpdateError::Unknown`].
    fn update<'a>(
        &'a self,
        name: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> StoreFuture<'a, Result<u64, UpdateError>>;

    /// Returns the number of restores of the platform from a backup, as of the last answer; 0 if
    /// not reported.
    fn era(&self) -> u64;

    /// Lists the live and leaving instances; the platform's list may be out of date.
    fn instances(&self) -> StoreFuture<'_, Result<Vec<ListedInstance>, ReadError>>;
}
