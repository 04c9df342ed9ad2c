//! The objects that this system keeps on the platform, and their encoding.

use bytes::Bytes;
use eelgrasspier_decide::claim::{Bucket, Key};
use eelgrasspier_decide::config::Edit;
use prost::Message;

use crate::store::ReadError;

/// Name of the object that holds the operators' text.
pub const TEXT_OBJECT: &str = "eelgrasspier-text";

/// Name of the object that holds one bucket of claims.
#[must_use]
pub fn bucket_object(bucket: usize) -> String {
    format!("eelgrasspier-claims-{bucket}")
}

/// The operators' text with the last accepted edits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredText {
    /// The text.
    #[prost(string, tag = "1")]
    pub text: String,
    /// The last accepted edits, oldest first; the last one made this version.
    #[prost(message, repeated, tag = "2")]
    pub edits: Vec<StoredEdit>,
}

/// One accepted edit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredEdit {
    /// The submitter's unique id.
    #[prost(fixed64, tag = "1")]
    pub edit_id: u64,
    /// Version of the text that the edit was made from; 0 for the first one.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Who submitted it.
    #[prost(string, tag = "3")]
    pub submitter: String,
}

impl StoredText {
    /// The accepted edits as the decisions see them.
    #[must_use]
    pub fn remembered(&self) -> Vec<Edit> {
        self.edits.iter().map(|e| Edit { edit_id: e.edit_id, base: e.base }).collect()
    }
}

/// One bucket of claims as stored.
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

/// Bits in the lower half of a key.
const HALF_BITS: u32 = 64;

/// Encodes a bucket for the platform.
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

/// Decodes a bucket that was read from the platform.
///
/// # Errors
/// Fails if the object is not a bucket; it must then not be overwritten.
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
