//! Questions for the shards of a caller's request, and their answers.

use prost::Message;

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
