//! Objects stored on the platform and their encoding.

use bytes::Bytes;
use eelgrasspier_decide::claim::{Bucket, Key};
use eelgrasspier_decide::config::Edit;
use prost::Message;

use crate::store::ReadError;

/// Name of the object that holds the operators' configuration text.
pub const TEXT_OBJECT: &str = "eelgrasspier-text";

/// Returns the name of the object that holds a bucket of claims.
#[must_use]
pub fn bucket_object(bucket: usize) -> String {
    format!("eelgrasspier-claims-{bucket}")
}

/// Operators' text with the most recently accepted edits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredText {
    /// Configuration text.
    #[prost(string, tag = "1")]
    pub text: String,
    /// Most recently accepted edits, oldest first; the last one produced this version.
    #[prost(message, repeated, tag = "2")]
    pub edits: Vec<StoredEdit>,
}

/// Accepted edit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredEdit {
    /// Unique id given by the submitter.
    #[prost(fixed64, tag = "1")]
    pub edit_id: u64,
    /// Version of the text that the edit is based on; 0 for the first edit.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Name of the submitter.
    #[prost(string, tag = "3")]
    pub submitter: String,
}

impl StoredText {
    /// Returns the accepted edits in the form used by the decision logic.
    #[must_use]
    pub fn accepted_edits(&self) -> Vec<Edit> {
        self.edits.iter().map(|e| Edit { edit_id: e.edit_id, base: e.base }).collect()
    }
}

/// Stored form of a bucket of claims.
#[derive(Clone, PartialEq, Eq, Message)]
struct StoredBucket {
    #[prost(uint64, tag = "1")]
    floor_ms: u64,
    #[prost(message, repeated, tag = "2")]
    claims: Vec<StoredClaim>,
    #[prost(uint64, tag = "3")]
    era: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct StoredClaim {
    #[prost(fixed64, tag = "1")]
    key_high: u64,
    #[prost(fixed64, tag = "2")]
    key_low: u64,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
}

/// Number of bits in the lower half of a key.
const HALF_BITS: u32 = 64;

/// Encodes a bucket for storage.
#[must_use]
pub fn encode_bucket(bucket: &Bucket) -> Bytes {
    let claims = bucket.claims.iter().map(|(key, &nonce)| StoredClaim {
        key_high: (key.0 >> HALF_BITS) as u64,
        key_low: low_half(key.0),
        nonce,
    });
    let stored =
        StoredBucket { floor_ms: bucket.floor_ms, claims: claims.collect(), era: bucket.era };
    stored.encode_to_vec().into()
}

/// Decodes a bucket read from the platform.
///
/// # Errors
/// Fails if the object is not a bucket; it must not be overwritten then.
pub fn decode_bucket(value: &[u8]) -> Result<Bucket, ReadError> {
    let stored = StoredBucket::decode(value).map_err(|e| ReadError::Malformed(e.to_string()))?;
    let claim = |c: StoredClaim| {
        let key = (u128::from(c.key_high) << HALF_BITS) | u128::from(c.key_low);
        (Key(key), c.nonce)
    };
    let claims = stored.claims.into_iter().map(claim).collect();
    Ok(Bucket { floor_ms: stored.floor_ms, claims, era: stored.era })
}

fn low_half(key: u128) -> u64 {
    u64::try_from(key & u128::from(u64::MAX)).unwrap_or_default()
}
