//! Compression of large change sets sent between instances.
//!
//! A configuration of 1,800 routes takes about a megabyte in the store's encoding. Twenty instances
//! of a zone pull it from one instance over a 30 Mbit/s link, which would take two of the five
//! seconds allowed for it to come into force. It is so repetitive that compression reduces it to a
//! tenth.

use bytes::Bytes;
use eelgrasspier_decide::mirror::Changes;
use prost::Message;

use crate::wire::Body;

/// Maximum size in bytes of changes that are sent uncompressed; they fit in a few packets.
const MAX_PLAIN_BYTES: usize = 4 << 10;
/// Compression level: the fastest one, which already reduces a configuration to a tenth.
const COMPRESSION_LEVEL: i32 = 1;
/// Maximum size in bytes of decompressed changes. Stored objects are at most one megabyte, and
/// 20,000 replica entries take eight megabytes.
const MAX_DECOMPRESSED_BYTES: usize = 32 << 20;

/// Encodes `changes` as an answer, compressed unless they are small.
#[must_use]
pub fn compress(changes: Changes) -> Body {
    if changes.encoded_len() <= MAX_PLAIN_BYTES {
        return Body::Changes(changes);
    }
    match zstd::bulk::compress(&changes.encode_to_vec(), COMPRESSION_LEVEL) {
        Ok(compressed) => Body::PackedChanges(compressed.into()),
        Err(error) => {
            log::warn!("compression failed, sending changes uncompressed: {error}");
            Body::Changes(changes)
        }
    }
}

/// Extracts the changes from an answer; returns `None` if it has none or they are invalid.
#[must_use]
pub fn decompress(answer: Body) -> Option<Changes> {
    match answer {
        Body::Changes(changes) => Some(changes),
        Body::PackedChanges(compressed) => decompress_changes(&compressed),
        _ => None,
    }
}

fn decompress_changes(compressed: &Bytes) -> Option<Changes> {
    // The frame header states the decompressed size. Allocating the maximum size instead used 30 MB
    // of memory on each instance, almost all of it unused.
    let stated_bytes = zstd::zstd_safe::get_frame_content_size(compressed).ok().flatten();
    let size = stated_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    let size = size.filter(|&bytes| bytes <= MAX_DECOMPRESSED_BYTES);
    let Some(size) = size else {
        log::warn!("rejected compressed changes: frame header states {stated_bytes:?} bytes");
        return None;
    };
    let decompressed = zstd::bulk::decompress(compressed, size);
    let decompressed =
        decompressed.inspect_err(|e| log::warn!("failed to decompress changes: {e}")).ok()?;
    let changes = Changes::decode(Bytes::from(decompressed));
    changes.inspect_err(|e| log::warn!("failed to decode changes: {e}")).ok()
}
