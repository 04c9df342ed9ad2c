//! The object API as the rest of the system sees it.

use std::pin::Pin;

use bytes::Bytes;
use displaydoc::Display;
#[cfg(doc)]
use eelgrasspier_decide::history::Position;

/// A future on the thread that asked for it.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// One version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version, counting up with each update of this object and with each restore of the
    /// platform: a [`Position`] as a number.
    pub version: u64,
    /// Content.
    pub value: Bytes,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its daemon gossips.
    pub peer_addr: String,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub is_leaving: bool,
}

/// The platform could not be read.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// the platform does not answer: {0}
    Unavailable(String),
    /// the platform's answer makes no sense: {0}
    Malformed(String),
}

/// A conditional update was not confirmed.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// the object was changed since
    Conflict,
    /// the update surely did not take effect: {0}
    NotApplied(String),
    /// the update may have taken effect: {0}
    Unknown(String),
}

/// The platform's object API.
pub trait ObjectStore {
    /// Reads an object; `None` where there is none.
    fn read<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Object>, ReadError>>;

    /// Waits up to `wait_ms` for a version above `after`; `None` if none came.
    fn watch<'a>(
        &'a self,
        name: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> StoreFuture<'a, Result<Option<Object>, ReadError>>;

    /// Replaces the object if its version is `expected` (`None`: if there is none).
    ///
    /// The platform knows no eras in conditions: a version of an earlier one that was given out
    /// again matches. An answer of a later era than `expected` therefore is [`UpdateError::Unknown`].
    fn update<'a>(
        &'a self,
        name: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> StoreFuture<'a, Result<u64, UpdateError>>;

    /// How often the platform has been restored from a copy, as of the last answer; 0 where it
    /// does not say.
    fn era(&self) -> u64;

    /// Lists the live and leaving instances, with the platform's lag.
    fn instances(&self) -> StoreFuture<'_, Result<Vec<ListedInstance>, ReadError>>;
}
