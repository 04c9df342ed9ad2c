//! Long changes travel between instances compressed.
//!
//! A configuration of 1,800 routes has about a megabyte as the store spells it, and twenty
//! instances of a zone pull it from one over a link of 30 Mbit/s: two seconds of the five in
//! which it must be in force. It repeats itself so much that a tenth of the bytes are left.

use bytes::Bytes;
use eelgrasspier_decide::mirror::Changes;
use prost::Message;

use crate::wire::Body;

/// Changes up to this length in bytes travel as they are: a few packets.
const PLAIN_UP_TO_BYTES: usize = 4 << 10;
/// The fastest level: a configuration shrinks to a tenth with it already.
const LEVEL: i32 = 1;
/// Longest unpacked changes in bytes; the store's objects have one megabyte at the most, and
/// 20,000 entries of replicas eight.
const MAX_UNPACKED_BYTES: usize = 32 << 20;

/// The shortest answer that carries `changes`.
#[must_use]
pub fn pack(changes: Changes) -> Body {
    if changes.encoded_len() <= PLAIN_UP_TO_BYTES {
        return Body::Changes(changes);
    }
    match zstd::bulk::compress(&changes.encode_to_vec(), LEVEL) {
        Ok(packed) => Body::PackedChanges(packed.into()),
        Err(error) => {
            log::warn!("changes are sent as they are: {error}");
            Body::Changes(changes)
        }
    }
}

/// The changes that an answer carries; `None` if it carries none that can be read.
#[must_use]
pub fn unpack(answer: Body) -> Option<Changes> {
    match answer {
        Body::Changes(changes) => Some(changes),
        Body::PackedChanges(packed) => read(&packed),
        _ => None,
    }
}

fn read(packed: &Bytes) -> Option<Changes> {
    // The block says how long it is unpacked. To reserve the longest instead took 30 MB of
    // memory on each instance, though hardly any of it was written to.
    let stated = zstd::zstd_safe::get_frame_content_size(packed).ok().flatten();
    let length = stated.and_then(|bytes| usize::try_from(bytes).ok());
    let length = length.filter(|&bytes| bytes <= MAX_UNPACKED_BYTES);
    let Some(length) = length else {
        log::warn!("packed changes of {stated:?} bytes are refused");
        return None;
    };
    let unpacked = zstd::bulk::decompress(packed, length);
    let unpacked = unpacked.inspect_err(|e| log::warn!("packed changes unreadable: {e}")).ok()?;
    let changes = Changes::decode(Bytes::from(unpacked));
    changes.inspect_err(|e| log::warn!("changes unreadable: {e}")).ok()
}
