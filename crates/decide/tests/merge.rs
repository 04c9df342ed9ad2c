//! Merging of parts, and the decision to stop waiting for parts.

use arbtest::arbtest;
use eelgrasspier_decide::merge::{
    MergeError, RECORD_BYTES, TopRecords, check_parts, check_records, has_requested_once,
};
use eelgrasspier_decide::wait_policy::{GatherState, WaitDecision, delivery_margin_ms};

/// Reference implementation that sorts all records.
fn merge_by_sorting(parts: &[Vec<u8>], max_records: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(max_records);
    records.concat()
}

fn add_parts(greatest: &mut TopRecords, parts: &[Vec<u8>]) {
    for part in parts {
        greatest.add(part);
    }
}

#[test]
fn merging_in_one_or_two_steps_keeps_the_greatest_records() {
    arbtest(|u| {
        let parts: Vec<Vec<u8>> = u.arbitrary()?;
        let max_records = u.int_in_range(0..=8)?;
        let expected = merge_by_sorting(&parts, max_records);
        let mut whole = TopRecords::new(max_records);
        add_parts(&mut whole, &parts);
        assert_eq!(whole.into_bytes(), expected);
        // A relaying instance has merged the first half of the parts.
        let (first_half, second_half) = parts.split_at(parts.len() / 2);
        let mut relayed = TopRecords::new(max_records);
        add_parts(&mut relayed, first_half);
        let relayed = relayed.into_bytes();
        assert_eq!(check_records(&relayed, first_half.len(), max_records), Ok(()));
        let mut joined = TopRecords::new(max_records);
        joined.add(&relayed);
        add_parts(&mut joined, second_half);
        assert_eq!(joined.into_bytes(), expected);
        Ok(())
    });
}

#[test]
fn duplicate_records_are_kept() {
    let mut greatest = TopRecords::new(3);
    greatest.add(&[9; 4 * RECORD_BYTES]);
    assert_eq!(greatest.into_bytes(), vec![9; 3 * RECORD_BYTES]);
}

/// Guards against an answer that names a part twice, or one that was not requested.
#[test]
fn parts_of_other_or_the_same_shards_are_rejected() {
    let check = |parts: &[(usize, &str)]| {
        check_parts(parts.iter().map(|(shard, signature)| (*shard, signature.as_bytes())), 3)
    };
    assert_eq!(check(&[(0, "a"), (2, "b")]), Ok(()));
    assert_eq!(check(&[(0, "a"), (3, "b")]), Err(MergeError::UnknownShard(3)));
    assert_eq!(check(&[(1, "a"), (1, "b")]), Err(MergeError::DuplicateShard(1)));
    assert_eq!(check(&[(0, "a"), (1, "a")]), Err(MergeError::DuplicateSignature(1)));
    assert_eq!(check(&[(0, "")]), Err(MergeError::MissingSignature(0)));
}

/// Guards against an instance that returns a shard twice, or one that it wasn't asked for.
#[test]
fn shards_are_answered_once_and_on_request() {
    let check = |answered: &[u32]| has_requested_once(answered.iter().copied(), &[2, 5, 7]);
    assert!(check(&[7, 2]));
    assert!(!check(&[2, 7, 2]));
    assert!(!check(&[2, 3]));
}

/// Guards against records that no merge of the named parts can have.
#[test]
fn records_that_are_no_selection_are_rejected() {
    let records: Vec<u8> = [[5; RECORD_BYTES], [5; RECORD_BYTES], [3; RECORD_BYTES]].concat();
    assert_eq!(check_records(&records, 1, 3), Ok(()));
    assert_eq!(check_records(&records, 0, 3), Err(MergeError::RecordsWithoutParts));
    assert_eq!(check_records(&records, 1, 2), Err(MergeError::WrongSize(48)));
    assert_eq!(check_records(&records[1..], 1, 3), Err(MergeError::WrongSize(47)));
    let rising: Vec<u8> = records.iter().rev().copied().collect();
    assert_eq!(check_records(&rising, 1, 3), Err(MergeError::WrongOrder));
}

fn gathering(covered: usize, failed: usize) -> GatherState {
    GatherState {
        shard_count: 20,
        min_covered: 18,
        covered,
        failed,
        target_at_ms: 80,
        deadline_at_ms: 400,
    }
}

#[test]
fn all_shards_are_awaited_until_the_target_and_then_only_the_minimum() {
    assert_eq!(gathering(20, 0).decide(10), WaitDecision::Answer);
    assert_eq!(gathering(19, 1).decide(10), WaitDecision::Answer);
    assert_eq!(gathering(18, 0).decide(79), WaitDecision::WaitUntil(80));
    assert_eq!(gathering(18, 0).decide(80), WaitDecision::Answer);
    assert_eq!(gathering(17, 0).decide(80), WaitDecision::WaitUntil(400));
    assert_eq!(gathering(17, 0).decide(400), WaitDecision::Fail);
}

#[test]
fn an_answer_that_cannot_succeed_fails_at_once() {
    assert_eq!(gathering(0, 3).decide(1), WaitDecision::Fail);
    assert_eq!(gathering(17, 2).decide(1), WaitDecision::WaitUntil(80));
}

/// Guards against a margin that ignores the CPU capacity of the instance. An instance with an
/// eighth of a core waited for the last shard until 7 ms before the target, like one with half a
/// core. Merging and writing took longer, and half of its answers were late by less than a
/// millisecond, which left a tenth of their value.
#[test]
fn small_instances_stop_waiting_earlier() {
    let margins = [500, 250, 120].map(|capacity_milli| delivery_margin_ms(100, capacity_milli));
    assert_eq!(margins, [9, 12, 19]);
    // Most of a short target is left for the replicas.
    assert_eq!(delivery_margin_ms(40, 120), 13);
    assert_eq!(delivery_margin_ms(40, 0), 13);
}

/// Guards against a margin that is the same for targets of 40 and 200 ms. Answers were sent 10 ms
/// before a target of 200 ms to callers 3 ms away, from instances that were busy with the next
/// requests; of those that waited for their last shard, a sixth were late.
#[test]
fn longer_targets_have_a_larger_margin() {
    let margins = [40, 80, 200].map(|target_ms| delivery_margin_ms(target_ms, 250));
    assert_eq!(margins, [11, 12, 15]);
}
