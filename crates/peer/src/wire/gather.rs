//! Messages that gather the shards of a caller's request.

use prost::Message;

/// Header of a caller's request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Caller's request that is to be sent to some of its shards.
#[derive(Clone, PartialEq, Message)]
pub struct GatherRequest {
    /// Id that the caller gave to its attempt.
    #[prost(bytes = "bytes", tag = "1")]
    pub request_id: bytes::Bytes,
    /// HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Host named by the caller.
    #[prost(string, tag = "3")]
    pub host: String,
    /// Path and query string.
    #[prost(string, tag = "4")]
    pub path: String,
    /// Headers to forward.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// Body of the caller's request.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Name of the route, used as the key of latency statistics.
    #[prost(string, tag = "7")]
    pub route: String,
    /// Shards, each identified by its service.
    #[prost(string, repeated, tag = "8")]
    pub services: Vec<String>,
    /// Maximum number of replicas to which each shard's request may be sent.
    #[prost(uint32, tag = "9")]
    pub attempts: u32,
    /// Number of records that the merged answer needs.
    #[prost(uint32, tag = "10")]
    pub top_k: u32,
    /// Time within which replicas must have answered, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub time_left_ms: u64,
    /// Time after which the answers received so far must be returned, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub answer_within_ms: u64,
    /// Target latency of the route, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub target_latency_ms: u64,
    /// Hashed ids of the permitted replicas, as many for each shard as there are attempts.
    #[prost(fixed32, repeated, tag = "14")]
    pub allowed_replicas: Vec<u32>,
    /// True if another instance may have sent these requests before, so that they count as retries.
    #[prost(bool, tag = "15")]
    pub is_retry: bool,
    /// Number of shards that may be omitted because they would be late.
    #[prost(uint32, tag = "16")]
    pub max_omitted: u32,
    /// Number of those omissions reserved for shards sent to other instances; this instance may
    /// only use the rest.
    #[prost(uint32, tag = "17")]
    pub reserved_omissions: u32,
    /// True if these are all shards of the request; the receiver may then choose how to reach them.
    #[prost(bool, tag = "18")]
    pub has_all_shards: bool,
    /// Send time on the sender's clock, in milliseconds; 0 if not stated.
    #[prost(uint64, tag = "19")]
    pub sent_ms: u64,
    /// Sender's report on replicas that crashed while running the request.
    #[prost(message, optional, tag = "20")]
    pub report: Option<eelgrasspier_decide::quarantine::Report>,
    /// Regions in which the request may run; empty if there is no restriction.
    #[prost(string, repeated, tag = "21")]
    pub home_regions: Vec<String>,
    /// Name of the customer; empty if unknown. The API key stays at the entry instance.
    #[prost(string, tag = "22")]
    pub customer: String,
    /// Priority of the request; 0 is the most urgent.
    #[prost(uint32, tag = "23")]
    pub priority: u32,
}

/// State of a busy or slow replica, as seen by an instance.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Busy {
    /// Hash of the id of the replica.
    #[prost(fixed32, tag = "1")]
    pub mark: u32,
    /// Number of running and queued requests.
    #[prost(uint32, tag = "2")]
    pub load: u32,
    /// Latency relative to the usual latency, in tenths.
    #[prost(uint32, tag = "3")]
    pub ratio_tenths: u32,
}

/// Part that is included in a merged answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Signed {
    /// Index of its shard in the request.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Signature of its replica.
    #[prost(bytes = "bytes", tag = "2")]
    pub signature: bytes::Bytes,
}

/// Merged parts of several shards.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Gathered {
    /// Highest-ranked records of the parts, in descending order.
    #[prost(bytes = "bytes", tag = "1")]
    pub records: bytes::Bytes,
    /// Included parts.
    #[prost(message, repeated, tag = "2")]
    pub parts: Vec<Signed>,
    /// True if a replica may have run any of the other parts.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
    /// Hashed ids of replicas of the shards that are slow, paused or failing.
    #[prost(fixed32, repeated, tag = "4")]
    pub slow: Vec<u32>,
    /// Replicas of the shards that are busy or slow.
    #[prost(message, repeated, tag = "5")]
    pub busy: Vec<Busy>,
    /// Indices of the shards that were not sent because they would have been late.
    #[prost(uint32, repeated, tag = "6")]
    pub left_out: Vec<u32>,
    /// Retry delay in milliseconds if nothing was started; 0 otherwise.
    #[prost(uint64, tag = "7")]
    pub refused_ms: u64,
    /// Sender's report on replicas that crashed while running the request.
    #[prost(message, optional, tag = "8")]
    pub report: Option<eelgrasspier_decide::quarantine::Report>,
    /// Retry delay in milliseconds if nothing was started because the customer is beyond its rate
    /// limit; 0 otherwise.
    #[prost(uint64, tag = "9")]
    pub limited_ms: u64,
    /// Retry delay in milliseconds if nothing was started because the customer's rate limit can't
    /// be checked; 0 otherwise.
    #[prost(uint64, tag = "10")]
    pub limit_unavailable_ms: u64,
    /// True if nothing was started because more urgent requests need the capacity.
    #[prost(bool, tag = "11")]
    pub is_low_priority: bool,
    /// Hash of the id of the request that this answers; 0 from earlier versions.
    #[prost(fixed64, tag = "12")]
    pub request_hash: u64,
}

/// Request for permission to send to a cold replica.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ColdSendRequest {
    /// Id of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Service of the replica.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Id that the caller gave to its attempt; meant for logs, and not used by the receiver.
    #[prost(bytes = "bytes", tag = "3")]
    pub request_id: bytes::Bytes,
}

/// Request for one extra send from the retry pool of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RetryTokenRequest {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id that the caller gave to its attempt; meant for logs, and not used by the receiver.
    #[prost(bytes = "bytes", tag = "2")]
    pub request_id: bytes::Bytes,
    /// True for a hedge, which is granted only while at least half of the pool is left.
    #[prost(bool, tag = "3")]
    pub is_hedge: bool,
}
