//! Client for the platform's object API: versioned objects, conditional updates and watches.
//!
//! The API uses the conditional requests of HTTP (RFC 9110). An object is `/objects/{name}` and its
//! version is its `ETag`. A conditional update is a `PUT` with `If-Match`, or `If-None-Match: *`
//! for a new object. A watch is a `GET` with `watch_after` and `wait_ms`, answered with 304 if
//! nothing changed. `/instances` lists live and leaving instances; the list may be out of date.

mod backoff;
mod claims;
mod collections;
mod http;
mod store;
pub mod stored;

pub use backoff::Backoff;
pub use claims::{BUCKET_COUNT, ClaimError, Claims, bucket_of};
pub use collections::{
    CollectionAnswer, CollectionError, CollectionKind, Collections, DecodeContent, InstanceEntry,
    SuspectRecord,
};
pub use http::HttpStore;
pub use store::{ListedInstance, Object, ObjectStore, ReadError, StoreFuture, UpdateError};
