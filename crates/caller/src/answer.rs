//! Answers to callers, as JSON or Protocol Buffers.

use actix_web::http::header;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::request::headers;

/// Media type of the second codec.
const PROTOBUF: &str = "application/x-protobuf";

/// The answer to a query: parts of one snapshot, and its true coverage.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// The one index version that every part was made from.
    #[prost(uint64, tag = "2")]
    pub index_version: u64,
    /// Number of shards of the index in that version.
    #[prost(uint32, tag = "3")]
    pub shard_count: u32,
    /// Shards whose parts are here.
    #[prost(uint32, repeated, tag = "4")]
    pub covered: Vec<u32>,
    /// Wanted shards whose parts are not.
    #[prost(message, repeated, tag = "5")]
    pub missed: Vec<Missed>,
    /// The parts, by shard.
    #[prost(message, repeated, tag = "6")]
    pub parts: Vec<Part>,
}

/// A wanted shard whose part is not in the answer.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Missed {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Why.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// What one shard answered.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Part {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Its body; in JSON as Base64.
    #[prost(bytes = "bytes", tag = "2")]
    #[serde(with = "base64_body")]
    pub body: Bytes,
}

/// The answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunAnswer {
    /// Id of the request.
    pub request_id: String,
    /// What the backend server answered.
    pub body: Bytes,
}

impl Answer {
    /// The HTTP answer, in the codec that the caller accepts.
    #[must_use]
    pub fn to_response(&self, request: &HttpRequest) -> HttpResponse {
        let wanted = self.covered.len() + self.missed.len();
        let mut response = HttpResponse::Ok();
        response
            .insert_header((headers::REQUEST_ID, self.request_id.as_str()))
            .insert_header((headers::SNAPSHOT, self.index_version))
            .insert_header((headers::COVERAGE, format!("{}/{wanted}", self.covered.len())));
        if accepts_protobuf(request) {
            return response.content_type(PROTOBUF).body(self.encode_to_vec());
        }
        response.json(self)
    }
}

impl RunAnswer {
    /// The HTTP answer: the backend server's body as it is.
    #[must_use]
    pub fn to_response(&self) -> HttpResponse {
        HttpResponse::Ok()
            .insert_header((headers::REQUEST_ID, self.request_id.as_str()))
            .content_type("application/octet-stream")
            .body(self.body.clone())
    }
}

fn accepts_protobuf(request: &HttpRequest) -> bool {
    let accept = request.headers().get(header::ACCEPT).and_then(|v| v.to_str().ok());
    accept.is_some_and(|list| list.contains(PROTOBUF))
}

mod base64_body {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(body: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(body))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
    }
}
