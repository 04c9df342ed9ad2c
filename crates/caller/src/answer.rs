//! Answers to callers, encoded as JSON or Protocol Buffers.

use actix_web::http::header;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::request::headers;

/// Media type of answers in Protocol Buffers.
const PROTOBUF: &str = "application/x-protobuf";

/// Answer to a query: parts of one snapshot and the actual coverage.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Index version used for all parts.
    #[prost(uint64, tag = "2")]
    pub index_version: u64,
    /// Number of shards of the index in that version.
    #[prost(uint32, tag = "3")]
    pub shard_count: u32,
    /// Shards whose parts are included.
    #[prost(uint32, repeated, tag = "4")]
    pub covered: Vec<u32>,
    /// Requested shards whose parts are missing.
    #[prost(message, repeated, tag = "5")]
    pub missed: Vec<Missed>,
    /// Parts of the covered shards.
    #[prost(message, repeated, tag = "6")]
    pub parts: Vec<Part>,
}

/// Requested shard whose part is missing.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Missed {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Reason why the part is missing.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Answer of one shard.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Part {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Response body; Base64 in JSON.
    #[prost(bytes = "bytes", tag = "2")]
    #[serde(with = "base64_body")]
    pub body: Bytes,
}

/// Answer to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunAnswer {
    /// Id of the request.
    pub request_id: String,
    /// Response body of the backend server.
    pub body: Bytes,
}

impl Answer {
    /// Returns the HTTP response, in the encoding that the caller accepts.
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
    /// Returns the HTTP response with the backend server's body unchanged.
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

    pub(super) fn serialize<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(body))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
    }
}
