//! Messages between instances, framed by their length.

mod gather;

use prost::Message;
use tokio_util::codec::LengthDelimitedCodec;

pub use gather::{Busy, ColdSend, Gather, Gathered, Header, Signed};

/// Largest frame in bytes; the operators' text fits with room to spare.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// One frame: a question or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the question on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The sender's clock stamp, which orders events over all processes.
    #[prost(uint64, tag = "2")]
    pub stamp: u64,
    /// What is asked or answered.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26"
    )]
    pub body: Option<Body>,
}

/// What is asked or answered.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for the text if its version is above the given one.
    #[prost(uint64, tag = "3")]
    TextAbove(u64),
    /// Answers [`Body::TextAbove`].
    #[prost(message, tag = "4")]
    Text(Text),
    /// Asks the owner of a bucket to claim a key.
    #[prost(message, tag = "5")]
    Claim(Claim),
    /// Answers [`Body::Claim`].
    #[prost(message, tag = "6")]
    Claimed(Claimed),
    /// Asks for the instance's state, as JSON.
    #[prost(message, tag = "7")]
    StatusAsk(Nothing),
    /// Answers [`Body::StatusAsk`].
    #[prost(bytes = "bytes", tag = "8")]
    Status(bytes::Bytes),
    /// Asks for events of the time line, as JSON.
    #[prost(message, tag = "9")]
    EventsAsk(EventsAsk),
    /// Answers [`Body::EventsAsk`].
    #[prost(bytes = "bytes", tag = "10")]
    Events(bytes::Bytes),
    /// Asks for parts of a query from replicas in the receiver's slice.
    #[prost(message, tag = "11")]
    Parts(Parts),
    /// Answers [`Body::Parts`].
    #[prost(message, tag = "12")]
    PartsDone(PartsDone),
    /// The question could not be answered.
    #[prost(string, tag = "13")]
    Refused(String),
    /// Tells that the answer to the question with this number is not wanted.
    #[prost(uint64, tag = "14")]
    Cancel(u64),
    /// Asks for changes of the store's objects that the sender has not seen.
    #[prost(message, tag = "15")]
    ChangesAbove(ChangesAbove),
    /// Answers [`Body::ChangesAbove`].
    #[prost(message, tag = "16")]
    Changes(eelgrasspier_decide::mirror::Changes),
    /// Asks for the merged parts of several shards.
    #[prost(message, tag = "17")]
    Gather(Gather),
    /// Answers [`Body::Gather`].
    #[prost(message, tag = "18")]
    Gathered(Gathered),
    /// Asks whether the instance answers at all, and is the answer to that.
    #[prost(message, tag = "19")]
    Alive(Nothing),
    /// Answers [`Body::ChangesAbove`] with compressed changes.
    #[prost(bytes = "bytes", tag = "20")]
    PackedChanges(bytes::Bytes),
    /// Asks for the records of all instances that the receiver knows.
    #[prost(message, tag = "21")]
    MembersAsk(Nothing),
    /// Answers [`Body::MembersAsk`].
    #[prost(message, tag = "22")]
    Members(Members),
    /// Asks for changes of the evacuated zones above the given one, as older versions do.
    #[prost(uint64, tag = "23")]
    EvacuationsAbove(u64),
    /// Asks the keeper of a cold replica whether one request may go there.
    #[prost(message, tag = "24")]
    ColdSend(ColdSend),
    /// Answers [`Body::ColdSend`].
    #[prost(bool, tag = "25")]
    ColdSendAllowed(bool),
    /// Asks for changes of the evacuated zones that the sender has not seen; answered like
    /// [`Body::ChangesAbove`], of which an older version would take it for another kind.
    #[prost(message, tag = "26")]
    EvacuationsAfter(eelgrasspier_decide::history::Position),
}

/// Records of instances, and what those that start need to know besides.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Members {
    /// The records, one for each instance.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<eelgrasspier_decide::membership::Member>,
    /// What the sender knows of requests that end replicas.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<eelgrasspier_decide::quarantine::Report>,
}

/// Which changes are asked for.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ChangesAbove {
    /// Whether the replicas are meant, and not the configuration.
    #[prost(bool, tag = "1")]
    pub is_replicas: bool,
    /// Last change that the sender has taken in.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of that change.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// Nothing.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Nothing {}

/// A version of the operators' text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Text {
    /// Its version; 0 if the sender has none above the one asked for.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The stored object's value; empty with version 0.
    #[prost(bytes = "bytes", tag = "2")]
    pub stored: bytes::Bytes,
}

/// A key to be claimed.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Claim {
    /// Upper half of the key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Lower half of the key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
    /// Random number of the attempt.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
    /// Time that is left, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub time_left_ms: u64,
}

/// What became of a claim.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Claimed {
    /// The outcome.
    #[prost(enumeration = "ClaimOutcome", tag = "1")]
    pub outcome: i32,
}

/// Outcome of a claim as it travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimOutcome {
    /// Not resolved in time; the asker must find out for itself or give up.
    Unresolved = 0,
    /// The attempt holds the key.
    Granted = 1,
    /// Another attempt holds it.
    Taken = 2,
    /// The key is too old.
    Expired = 3,
}

/// Which events are wanted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EventsAsk {
    /// Only events that name this, such as a request id; empty for all.
    #[prost(string, tag = "1")]
    pub about: String,
    /// Only events with a clock stamp from here on.
    #[prost(uint64, tag = "2")]
    pub from_stamp: u64,
}

/// Parts of a query that the receiver is to gather.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Parts {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id of the caller's request.
    #[prost(string, tag = "2")]
    pub request_id: String,
    /// The index version that every part must be made from; 0 only asks which one
    /// the receiver would choose.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Shards wanted.
    #[prost(uint32, repeated, tag = "4")]
    pub shards: Vec<u32>,
    /// Time that is left, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub time_left_ms: u64,
    /// The caller's body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Whether nothing of it may be passed on, not even as a hedge.
    #[prost(bool, tag = "7")]
    pub is_last: bool,
    /// Whether it is tried on one server, since others have ended under it.
    #[prost(bool, tag = "8")]
    pub is_trial: bool,
}

/// The parts that were gathered, and the shards that were not.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartsDone {
    /// The parts.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<Part>,
    /// The missed shards, with reasons.
    #[prost(message, repeated, tag = "2")]
    pub missed: Vec<Missed>,
    /// For a question with version 0: the version that the receiver would choose.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Number of shards in that version.
    #[prost(uint32, tag = "4")]
    pub shard_count: u32,
}

/// One part.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Part {
    /// Its shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Its body.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
}

/// One missed shard.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Missed {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Why it was missed.
    #[prost(string, tag = "2")]
    pub reason: String,
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
