//! Messages between the instances that gather a customer's requests and the owner of its rate limit.

use prost::Message;

/// Request for tokens of a customer, or their return.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LimitRequest {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Number of tokens needed now.
    #[prost(uint32, tag = "2")]
    pub needed: u32,
    /// Number of unused tokens that are returned.
    #[prost(uint32, tag = "3")]
    pub returned: u32,
    /// True if the request was already sent, so that its token is taken even if none is left.
    #[prost(bool, tag = "4")]
    pub is_forced: bool,
    /// True if a token in advance is useful to the sender.
    #[prost(bool, tag = "5")]
    pub wants_advance: bool,
    /// Id that the caller gave to its attempt; meant for logs.
    #[prost(bytes = "bytes", tag = "6")]
    pub request_id: bytes::Bytes,
}

/// Answer to a [`LimitRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LimitAnswer {
    /// Outcome of the request.
    #[prost(enumeration = "LimitOutcome", tag = "1")]
    pub outcome: i32,
    /// Time after which a retry may succeed, in milliseconds, if nothing was granted.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// Number of tokens granted beyond the needed ones.
    #[prost(uint32, tag = "3")]
    pub advance: u32,
}

/// Outcome of a [`LimitRequest`], in its wire encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum LimitOutcome {
    /// The receiver may not grant tokens of this customer now.
    Unavailable = 0,
    /// The needed tokens are granted.
    Granted = 1,
    /// The customer is beyond its limit.
    Limited = 2,
}
