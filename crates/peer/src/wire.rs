//! Messages between instances, framed by their length.

use prost::Message;
use tokio_util::codec::LengthDelimitedCodec;

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
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
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
    /// Asks for changes of the evacuated zones above the given one; answered like
    /// [`Body::ChangesAbove`], of which an older version would take it for another kind.
    #[prost(uint64, tag = "23")]
    EvacuationsAbove(u64),
    /// Asks the keeper of a cold replica whether one request may go there.
    #[prost(message, tag = "24")]
    ColdSend(ColdSend),
    /// Answers [`Body::ColdSend`].
    #[prost(bool, tag = "25")]
    ColdSendAllowed(bool),
}

/// A request that is to go to a cold replica.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ColdSend {
    /// Id of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's id of its attempt, for the log.
    #[prost(bytes = "bytes", tag = "3")]
    pub request_id: bytes::Bytes,
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
}

/// One header of a caller's request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// A caller's request, to be sent to some of its shards.
#[derive(Clone, PartialEq, Message)]
pub struct Gather {
    /// The caller's id of its attempt.
    #[prost(bytes = "bytes", tag = "1")]
    pub request_id: bytes::Bytes,
    /// Method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Host that the caller named.
    #[prost(string, tag = "3")]
    pub host: String,
    /// Path and query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// Headers to be forwarded.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// The caller's body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Name of the route, under which latencies are learnt.
    #[prost(string, tag = "7")]
    pub route: String,
    /// The shards, each a service.
    #[prost(string, repeated, tag = "8")]
    pub services: Vec<String>,
    /// Number of replicas that each shard's request may be sent to.
    #[prost(uint32, tag = "9")]
    pub attempts: u32,
    /// Records that the merged answer needs.
    #[prost(uint32, tag = "10")]
    pub top_k: u32,
    /// Time in milliseconds within which replicas must have answered.
    #[prost(uint64, tag = "11")]
    pub time_left_ms: u64,
    /// Time in milliseconds after which what is there is wanted.
    #[prost(uint64, tag = "12")]
    pub answer_within_ms: u64,
    /// The route's target latency in milliseconds.
    #[prost(uint64, tag = "13")]
    pub target_latency_ms: u64,
    /// Marks of those replicas, as many for each shard as there are attempts.
    #[prost(fixed32, repeated, tag = "14")]
    pub allowed: Vec<u32>,
    /// Whether another instance may have sent them before, so that they count as repeats.
    #[prost(bool, tag = "15")]
    pub is_repeat: bool,
    /// Shards that may be left out since they would be late.
    #[prost(uint32, tag = "16")]
    pub may_miss: u32,
    /// How many of these are for shards that others are asked for: this instance may leave out
    /// the rest only.
    #[prost(uint32, tag = "17")]
    pub misses_of_others: u32,
    /// Whether these are all shards of the request, to be asked for wherever that is best.
    #[prost(bool, tag = "18")]
    pub is_whole: bool,
    /// When it was sent, in milliseconds of the sender's clock; 0 where it does not say.
    #[prost(uint64, tag = "19")]
    pub sent_ms: u64,
    /// What the sender knows of replicas that have ended under the request.
    #[prost(message, optional, tag = "20")]
    pub report: Option<eelgrasspier_decide::quarantine::Report>,
    /// Regions in which the request may run; none for anywhere.
    #[prost(string, repeated, tag = "21")]
    pub home_regions: Vec<String>,
}

/// What an instance knows of a replica that is busy or slow.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Busy {
    /// The replica's mark.
    #[prost(fixed32, tag = "1")]
    pub mark: u32,
    /// Requests that it runs or holds.
    #[prost(uint32, tag = "2")]
    pub load: u32,
    /// Its latency relative to the usual one, in tenths.
    #[prost(uint32, tag = "3")]
    pub ratio_tenths: u32,
}

/// One part that is in a merged answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Signed {
    /// Position of its shard in the question.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Its replica's signature.
    #[prost(bytes = "bytes", tag = "2")]
    pub signature: bytes::Bytes,
}

/// The merged parts of several shards.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Gathered {
    /// The greatest records of the parts, greatest first.
    #[prost(bytes = "bytes", tag = "1")]
    pub records: bytes::Bytes,
    /// The parts that are in.
    #[prost(message, repeated, tag = "2")]
    pub parts: Vec<Signed>,
    /// Whether a replica may have run any of the others.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
    /// Marks of replicas of the shards that are slow, paused or failing.
    #[prost(fixed32, repeated, tag = "4")]
    pub slow: Vec<u32>,
    /// Replicas of the shards that are busy or slow.
    #[prost(message, repeated, tag = "5")]
    pub busy: Vec<Busy>,
    /// Positions of the shards that were not sent, since they would have been late.
    #[prost(uint32, repeated, tag = "6")]
    pub left_out: Vec<u32>,
    /// When to come back, in milliseconds, where nothing was begun; 0 where it was.
    #[prost(uint64, tag = "7")]
    pub refused_ms: u64,
    /// What the sender knows of replicas that have ended under the request.
    #[prost(message, optional, tag = "8")]
    pub report: Option<eelgrasspier_decide::quarantine::Report>,
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
