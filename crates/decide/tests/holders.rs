//! Who is asked for a part of a shard in other instances' slices.

use eelgrasspier_decide::holders::{Holder, pick};

const STARTS: Holder = Holder { key: 1, is_ready: false };
const READY: [Holder; 2] = [Holder { key: 2, is_ready: true }, Holder { key: 3, is_ready: true }];

/// Guards against a shard that is missed, since the news that its holders are ready is on its way.
#[test]
fn one_that_starts_is_asked_where_nobody_was_heard_to_be_ready() {
    assert_eq!(pick(&[STARTS], 7), Some(STARTS.key));
    assert_eq!(pick(&[], 7), None);
}

#[test]
fn those_that_are_ready_share_the_questions() {
    let all = [STARTS, READY[0], READY[1]];
    let asked = |random| pick(&all, random);
    let counts = READY.map(|holder| (0..1000).filter(|&r| asked(r) == Some(holder.key)).count());
    assert_eq!(counts[0] + counts[1], 1000);
    assert!(counts.iter().all(|count| *count > 400), "{counts:?}");
}
