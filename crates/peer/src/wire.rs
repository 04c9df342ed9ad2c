//! Length-prefixed messages between instances.

mod gather;
mod limit;

use prost::Message;
use tokio_util::codec::LengthDelimitedCodec;

pub use gather::{
    Busy, ColdSendRequest, GatherRequest, Gathered, Header, RetryTokenRequest, Signed,
};
pub use limit::{LimitAnswer, LimitOutcome, LimitRequest};

/// Maximum size of a frame in bytes; leaves ample room for the operators' text.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Frame with a request or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the request on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Clock stamp of the sender, which orders events across all processes.
    #[prost(uint64, tag = "2")]
    pub stamp: u64,
    /// Request or answer.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30"
    )]
    pub body: Option<Body>,
}

/// Request or answer.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Request for the text if its version is above the given one.
    #[prost(uint64, tag = "3")]
    TextAbove(u64),
    /// Answer to [`Body::TextAbove`].
    #[prost(message, tag = "4")]
    Text(Text),
    /// Request to the owner of a bucket to claim a key.
    #[prost(message, tag = "5")]
    Claim(ClaimRequest),
    /// Answer to [`Body::Claim`].
    #[prost(message, tag = "6")]
    Claimed(Claimed),
    /// Request for the instance's state, as JSON.
    #[prost(message, tag = "7")]
    StatusAsk(Empty),
    /// Answer to [`Body::StatusAsk`].
    #[prost(bytes = "bytes", tag = "8")]
    Status(bytes::Bytes),
    /// Request for events of the timeline, as JSON.
    #[prost(message, tag = "9")]
    EventsAsk(EventsRequest),
    /// Answer to [`Body::EventsAsk`].
    #[prost(bytes = "bytes", tag = "10")]
    Events(bytes::Bytes),
    /// Request for parts of a query from replicas that the receiver is connected to.
    #[prost(message, tag = "11")]
    Parts(QueryPartsRequest),
    /// Answer to [`Body::Parts`].
    #[prost(message, tag = "12")]
    PartsDone(PartsDone),
    /// Answer to a request that could not be fulfilled.
    #[prost(string, tag = "13")]
    Refused(String),
    /// Cancellation of the request with this number.
    #[prost(uint64, tag = "14")]
    Cancel(u64),
    /// Request for changes of the store's objects that the sender has not seen.
    #[prost(message, tag = "15")]
    ChangesAbove(ChangesRequest),
    /// Answer to [`Body::ChangesAbove`].
    #[prost(message, tag = "16")]
    Changes(eelgrasspier_decide::mirror::Changes),
    /// Request for the merged parts of several shards.
    #[prost(message, tag = "17")]
    Gather(GatherRequest),
    /// Answer to [`Body::Gather`].
    #[prost(message, tag = "18")]
    Gathered(Gathered),
    /// Liveness probe, and its answer.
    #[prost(message, tag = "19")]
    Alive(Empty),
    /// Answer to [`Body::ChangesAbove`] with compressed changes.
    #[prost(bytes = "bytes", tag = "20")]
    PackedChanges(bytes::Bytes),
    /// Request for the records of all instances known to the receiver.
    #[prost(message, tag = "21")]
    MembersAsk(Empty),
    /// Answer to [`Body::MembersAsk`].
    #[prost(message, tag = "22")]
    Members(Members),
    /// Request for changes of the evacuated zones after the given revision, sent by older versions.
    #[prost(uint64, tag = "23")]
    EvacuationsAbove(u64),
    /// Request to the instance that rate-limits a cold replica for permission to send one request
    /// there.
    #[prost(message, tag = "24")]
    ColdSend(ColdSendRequest),
    /// Answer to [`Body::ColdSend`].
    #[prost(bool, tag = "25")]
    ColdSendAllowed(bool),
    /// Request for changes of the evacuated zones that the sender has not seen.
    ///
    /// Answered like [`Body::ChangesAbove`]. A separate variant, because an older version would
    /// take such a [`Body::ChangesAbove`] for a request for another kind.
    #[prost(message, tag = "26")]
    EvacuationsAfter(eelgrasspier_decide::history::Position),
    /// Request for tokens of a customer's rate limit.
    #[prost(message, tag = "27")]
    Limit(LimitRequest),
    /// Answer to [`Body::Limit`].
    #[prost(message, tag = "28")]
    LimitAnswer(LimitAnswer),
    /// Request to the owner of a service's retry pool for one extra send.
    #[prost(message, tag = "29")]
    RetryToken(RetryTokenRequest),
    /// Answer to [`Body::RetryToken`].
    #[prost(bool, tag = "30")]
    RetryTokenGranted(bool),
}

/// Records of all instances, and the reports that a starting instance needs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Members {
    /// Records, one per instance.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<eelgrasspier_decide::membership::Member>,
    /// Sender's reports on requests suspected of crashing replicas.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<eelgrasspier_decide::quarantine::Report>,
}

/// Kind and position of the requested changes.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ChangesRequest {
    /// True for replicas; false for the configuration.
    #[prost(bool, tag = "1")]
    pub is_replicas: bool,
    /// Revision of the last change that the sender has applied.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of that change.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// Empty message.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Empty {}

/// Version of the operators' text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Text {
    /// Version number; 0 if the sender has none above the requested one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Value of the stored object; empty with version 0.
    #[prost(bytes = "bytes", tag = "2")]
    pub stored: bytes::Bytes,
}

/// Request to claim a key.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ClaimRequest {
    /// Upper half of the key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Lower half of the key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
    /// Random number that identifies the attempt.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
    /// Remaining time in milliseconds.
    #[prost(uint64, tag = "4")]
    pub time_left_ms: u64,
}

/// Result of a claim.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Claimed {
    /// Outcome of the claim.
    #[prost(enumeration = "ClaimOutcome", tag = "1")]
    pub outcome: i32,
}

/// Outcome of a claim, in its wire encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimOutcome {
    /// Not resolved in time; the requester must claim the key itself or give up.
    Unresolved = 0,
    /// The attempt holds the key.
    Granted = 1,
    /// Another attempt holds the key.
    Taken = 2,
    /// The key has expired.
    Expired = 3,
}

/// Filter of requested events.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EventsRequest {
    /// Identifier that the events must mention, such as a request id; empty for all.
    #[prost(string, tag = "1")]
    pub about: String,
    /// Minimum clock stamp of the events.
    #[prost(uint64, tag = "2")]
    pub from_stamp: u64,
}

/// Request to the receiver to gather parts of a query.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QueryPartsRequest {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id of the caller's request.
    #[prost(string, tag = "2")]
    pub request_id: String,
    /// Index version required for every part; 0 only asks which version the receiver would choose.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Requested shards.
    #[prost(uint32, repeated, tag = "4")]
    pub shards: Vec<u32>,
    /// Remaining time in milliseconds.
    #[prost(uint64, tag = "5")]
    pub time_left_ms: u64,
    /// Body of the caller's request.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// True if no part may be forwarded to another instance, not even as a hedge.
    #[prost(bool, tag = "7")]
    pub forbids_forwarding: bool,
    /// True if the query is tried on a single server because others crashed while running it.
    #[prost(bool, tag = "8")]
    pub is_trial: bool,
}

/// Gathered parts, and the shards without a part.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartsDone {
    /// Gathered parts.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<Part>,
    /// Missed shards, with reasons.
    #[prost(message, repeated, tag = "2")]
    pub missed: Vec<Missed>,
    /// Version that the receiver would choose; set if the request has version 0.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Number of shards in that version.
    #[prost(uint32, tag = "4")]
    pub shard_count: u32,
}

/// Part of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Part {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Response body.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
}

/// Shard without a part.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Missed {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Reason why the shard was missed.
    #[prost(string, tag = "2")]
    pub reason: String,
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
