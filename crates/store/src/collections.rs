//! Interface to the store's collections, used by the router's control thread.

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

/// Kind of collection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CollectionKind {
    /// Replica entries.
    Replicas,
    /// The operators' configuration.
    Configuration,
    /// Instance entries, each written by the instance itself.
    Instances,
    /// Requests suspected of crashing replicas.
    Suspects,
    /// Availability zones that operators have evacuated; their replicas receive no requests.
    Evacuations,
}

impl CollectionKind {
    /// Returns the kind's label in metrics.
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

/// Error of a store call.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CollectionError {
    /// the store no longer has the requested changes
    HistoryGone {
        /// Number of restores of the store, if reported.
        era: Option<u64>,
    },
    /// the store does not answer: {0}
    Unavailable(String),
    /// invalid answer from the store: {0}
    Malformed(String),
}

/// Answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CollectionAnswer {
    /// Number of restores of the store from a backup, if reported.
    pub era: Option<u64>,
    /// Objects and changes, with no era assigned yet.
    pub changes: Changes,
}

/// Entry that an instance publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address at which it accepts connections from other instances.
    pub peer_addr: std::net::SocketAddr,
    /// Number of instances in the fleet known to it; 0 if not stated.
    pub instances: u64,
}

/// Persisted record of a request suspected of crashing replicas.
///
/// Instances exchange these reports, but after a loss of all instances only the store still has
/// them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Report about the request, without its refusal time.
    pub report: Report,
    /// Time until which the request is refused, in milliseconds since the Unix epoch; 0 if it is
    /// only suspected.
    pub refused_until_ms: u64,
    /// Expiry time of the record, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// Collections of the store.
pub trait Collections {
    /// Lists all objects of a kind.
    ///
    /// With `may_be_stale` the answer may be a few seconds old, which costs the store less.
    fn list(
        &self,
        kind: CollectionKind,
        may_be_stale: bool,
    ) -> StoreFuture<'_, Result<CollectionAnswer, CollectionError>>;

    /// Returns the changes after revision `since` once there are any, or after `wait`.
    fn watch(
        &self,
        kind: CollectionKind,
        since: u64,
        wait: Duration,
    ) -> StoreFuture<'_, Result<CollectionAnswer, CollectionError>>;

    /// Returns the current changes after revision `since`; they may be a few seconds old.
    fn poll(
        &self,
        kind: CollectionKind,
        since: u64,
    ) -> StoreFuture<'_, Result<CollectionAnswer, CollectionError>>;

    /// Writes the entry of this instance.
    fn publish_instance<'a>(
        &'a self,
        entry: &'a InstanceEntry,
    ) -> StoreFuture<'a, Result<(), CollectionError>>;

    /// Persists a record of a suspected request.
    fn save_suspect<'a>(
        &'a self,
        record: &'a SuspectRecord,
    ) -> StoreFuture<'a, Result<(), CollectionError>>;

    /// Deletes the record of a request.
    fn delete_suspect(&self, request: Fingerprint) -> StoreFuture<'_, Result<(), CollectionError>>;

    /// Deletes the entry of an instance that has left permanently.
    fn delete_instance<'a>(&'a self, name: &'a str)
    -> StoreFuture<'a, Result<(), CollectionError>>;
}

/// Decodes the contents of stored objects.
pub trait DecodeContent: std::fmt::Debug + Send + Sync {
    /// Decodes a replica entry.
    ///
    /// # Errors
    /// Fails with a message that names the field.
    fn replica(&self, name: &str, content: &Bytes) -> Result<ReplicaEntry, String>;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    /// Fails with a message that names the field.
    fn configuration(&self, content: &Bytes) -> Result<Configuration, String>;

    /// Returns the zone that an evacuation entry names, whatever its other fields contain.
    fn evacuated_zone(&self, name: &str, content: &Bytes) -> Arc<str>;

    /// Decodes the entry of an instance.
    ///
    /// # Errors
    /// Fails with a message that names the field.
    fn instance(&self, name: &str, content: &Bytes) -> Result<InstanceEntry, String>;

    /// Decodes the persisted record of a request suspected of crashing replicas.
    ///
    /// # Errors
    /// Fails with a message that names the field.
    fn suspect_record(&self, name: &str, content: &Bytes) -> Result<SuspectRecord, String>;
}
