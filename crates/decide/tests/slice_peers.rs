//! Choice of the instance asked for a part of a shard in the slices of other instances.

use eelgrasspier_decide::slice_peers::{SlicePeer, pick_peer};

const STARTING: SlicePeer = SlicePeer { key: 1, is_ready: false };
const READY: [SlicePeer; 2] =
    [SlicePeer { key: 2, is_ready: true }, SlicePeer { key: 3, is_ready: true }];

/// Guards against a missed shard while the announcement that its holders are ready is delayed.
#[test]
fn a_starting_peer_is_asked_if_none_is_ready() {
    assert_eq!(pick_peer(&[STARTING], 7), Some(STARTING.key));
    assert_eq!(pick_peer(&[], 7), None);
}

#[test]
fn requests_are_spread_over_ready_peers() {
    let all = [STARTING, READY[0], READY[1]];
    let asked = |random| pick_peer(&all, random);
    let counts = READY.map(|holder| (0..1000).filter(|&r| asked(r) == Some(holder.key)).count());
    assert_eq!(counts[0] + counts[1], 1000);
    assert!(counts.iter().all(|count| *count > 400), "{counts:?}");
}
