//! Client of the platform's object API: versions, conditional updates, watches.
//!
//! The API is met through HTTP's own conditional requests (RFC 9110): an object
//! is `/objects/{name}`, its version is its `ETag`, a conditional update is a
//! `PUT` with `If-Match` (or `If-None-Match: *` for a new object), a watch is a
//! `GET` with `watch_after` and `wait_ms` that answers 304 when nothing changed.
//! `/instances` lists live and leaving instances, with a lag.

mod backoff;
mod claims;
mod collections;
mod http;
mod store;
pub mod stored;

pub use backoff::Backoff;
pub use claims::{BUCKETS, ClaimError, Claims, bucket_of};
pub use collections::{
    Announcement, Answer, CollectionError, Collections, Decode, KeptRequest, Kind,
};
pub use http::HttpStore;
pub use store::{ListedInstance, Object, ObjectStore, ReadError, StoreFuture, UpdateError};
