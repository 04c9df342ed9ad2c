//! The store's collections of objects, as the router's control thread sees them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::mirror::Changes;
use eelgrasspier_decide::quarantine::Report;
use eelgrasspier_decide::route::Configuration;

use crate::StoreFuture;

/// One kind of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Entries of replicas.
    Replicas,
    /// The operators' configuration.
    Configuration,
    /// Instances of the system, written by themselves.
    Instances,
    /// Requests under which replicas have ended.
    Suspects,
    /// Availability zones whose replicas are to get nothing, as operators ask.
    Evacuations,
}

impl Kind {
    /// Its name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Replicas => "replicas",
            Self::Configuration => "configuration",
            Self::Instances => "instances",
            Self::Suspects => "suspects",
            Self::Evacuations => "evacuations",
        }
    }
}

/// A call of the store brought nothing.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CollectionError {
    /// the store does not have the changes that were asked for
    HistoryGone {
        /// How often it has been restored, where it says so.
        era: Option<u64>,
    },
    /// the store does not answer: {0}
    Unavailable(String),
    /// the store's answer makes no sense: {0}
    Malformed(String),
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// How often the store had been restored from a copy, where it says so.
    pub era: Option<u64>,
    /// What it said, in no era yet.
    pub changes: Changes,
}

/// An instance as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it takes connections of other instances.
    pub peer_addr: std::net::SocketAddr,
    /// Instances of the whole fleet, as it knows them; 0 where it does not say.
    pub instances: u64,
}

/// A request under which replicas have ended, as it is kept.
///
/// Instances tell each other, but after a loss of all of them only the store still knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptRequest {
    /// What is known of it, but for the time for which it is refused.
    pub report: Report,
    /// Until when it is refused, in milliseconds since the epoch; 0 if it is only suspected.
    pub refused_until_ms: u64,
    /// When it is forgotten, in milliseconds since the epoch.
    pub forgotten_ms: u64,
}

/// The store's collections.
pub trait Collections {
    /// All objects of a kind.
    ///
    /// With `may_be_stale` they may be some seconds old, which costs the store less.
    fn list(
        &self,
        kind: Kind,
        may_be_stale: bool,
    ) -> StoreFuture<'_, Result<Answer, CollectionError>>;

    /// Changes above `since`, as soon as there is one or `wait` is over.
    fn watch(
        &self,
        kind: Kind,
        since: u64,
        wait: Duration,
    ) -> StoreFuture<'_, Result<Answer, CollectionError>>;

    /// Changes above `since` that there are now; they may be some seconds old.
    fn poll(&self, kind: Kind, since: u64) -> StoreFuture<'_, Result<Answer, CollectionError>>;

    /// Writes this instance's own entry.
    fn announce<'a>(
        &'a self,
        announcement: &'a Announcement,
    ) -> StoreFuture<'a, Result<(), CollectionError>>;

    /// Keeps such a request.
    fn keep<'a>(&'a self, kept: &'a KeptRequest) -> StoreFuture<'a, Result<(), CollectionError>>;

    /// Removes a request that was kept.
    fn forget(&self, request: Fingerprint) -> StoreFuture<'_, Result<(), CollectionError>>;

    /// Removes the entry of an instance that is gone for good.
    fn withdraw<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<(), CollectionError>>;
}

/// Reads the contents of the store's objects.
pub trait Decode: std::fmt::Debug + Send + Sync {
    /// A replica's entry.
    ///
    /// # Errors
    /// Fails with a text that names the field.
    fn replica(&self, name: &str, content: &Bytes) -> Result<ReplicaEntry, String>;

    /// The operators' configuration.
    ///
    /// # Errors
    /// Fails with a text that names the field.
    fn configuration(&self, content: &Bytes) -> Result<Configuration, String>;

    /// The zone that an entry evacuates, whatever else it says.
    fn evacuated_zone(&self, name: &str, content: &Bytes) -> Arc<str>;

    /// An instance's own entry.
    ///
    /// # Errors
    /// Fails with a text that names the field.
    fn instance(&self, name: &str, content: &Bytes) -> Result<Announcement, String>;

    /// A request that was kept since replicas have ended under it.
    ///
    /// # Errors
    /// Fails with a text that names the field.
    fn kept_request(&self, name: &str, content: &Bytes) -> Result<KeptRequest, String>;
}
