//! Tests of the compression of changes sent between instances.

use arbtest::arbtest;
use bytes::Bytes;
use eelgrasspier_decide::mirror::{Changes, Deleted, Versioned};
use eelgrasspier_peer::compression::{compress, decompress};
use eelgrasspier_peer::wire::{Body, Frame};
use prost::Message;

fn configuration(routes: usize) -> Changes {
    let route = |n| {
        format!(
            "{{\"name\":\"r-{n}\",\"host\":\"h{n}.example\",\"path_prefix\":\"/p{n}/\",\
             \"type\":\"idempotent\",\"timeout_ms\":400,\"target_latency_ms\":80,\"attempts\":2,\
             \"service\":\"s{}\"}}",
            n % 7
        )
    };
    let content: Vec<String> = (0..routes).map(route).collect();
    let object = Versioned {
        name: "main".to_owned(),
        revision: 7,
        content: content.join(",").into(),
        ..Versioned::default()
    };
    Changes { as_of: 9, objects: vec![object], ..Changes::default() }
}

/// A large configuration must be compressed to a tenth of its size.
///
/// Sent uncompressed, it would come into force seconds late on instances with slow links, where
/// twenty instances each pull a megabyte from one instance of their zone.
#[test]
fn a_large_configuration_compresses_to_a_tenth() {
    let large = configuration(1_800);
    let plain_bytes = large.encoded_len();
    let answer = compress(large.clone());
    let Body::PackedChanges(compressed) = &answer else { panic!("sent as it is") };
    assert!(compressed.len() * 10 < plain_bytes, "{} of {plain_bytes} bytes", compressed.len());
    assert_eq!(decompress(answer), Some(large));
}

#[test]
fn small_changes_are_sent_uncompressed() {
    let small = configuration(3);
    assert_eq!(compress(small.clone()), Body::Changes(small.clone()));
    assert_eq!(decompress(Body::Changes(small.clone())), Some(small));
    assert_eq!(decompress(Body::Refused("no".to_owned())), None);
}

#[test]
fn arbitrary_changes_round_trip() {
    arbtest(|u| {
        let mut changes =
            Changes { as_of: u.arbitrary()?, is_whole: u.arbitrary()?, ..Changes::default() };
        for _ in 0..u.int_in_range(0..=60)? {
            let content: Vec<u8> = u.arbitrary()?;
            let (name, revision) = (u.arbitrary()?, u.arbitrary()?);
            changes.objects.push(Versioned {
                name,
                revision,
                content: content.into(),
                ..Versioned::default()
            });
            changes.deleted.push(Deleted {
                name: u.arbitrary()?,
                revision: u.arbitrary()?,
                ..Deleted::default()
            });
        }
        assert_eq!(decompress(compress(changes.clone())), Some(changes));
        Ok(())
    });
}

/// Arbitrary bytes must be decoded or rejected without a panic.
#[test]
fn arbitrary_bytes_do_not_panic() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let bytes = Bytes::from(bytes);
        // Both results are valid; the test checks that nothing panics.
        let _changes = decompress(Body::PackedChanges(bytes.clone()));
        let _frame = Frame::decode(bytes);
        Ok(())
    });
}

/// A stated size above the limit must be rejected.
///
/// A block of a few hundred bytes may state gigabytes; an instance that believed it would be killed
/// for its memory use.
#[test]
fn an_excessive_stated_size_is_rejected() {
    let zeros = vec![0; 33 << 20];
    let compressed = zstd::bulk::compress(&zeros, 1).unwrap();
    assert!(compressed.len() < 1 << 16);
    assert_eq!(decompress(Body::PackedChanges(compressed.into())), None);
}
