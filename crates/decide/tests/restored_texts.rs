//! Configuration texts and claims across restores of the platform from a backup.

use eelgrasspier_decide::claim::{Bucket, BucketChange, ClaimResult, Key};
use eelgrasspier_decide::config::{ConfigInForce, Edit, OfferResult};
use eelgrasspier_decide::history::Position;

fn version(era: u64, revision: u64) -> u64 {
    Position { era, revision }.to_packed()
}

fn edits(ids: &[u64]) -> Vec<Edit> {
    ids.iter().map(|&edit_id| Edit { edit_id, base: 0 }).collect()
}

/// Returns an instance with the text of these edits in force.
fn in_force_with(era: u64, ids: &[u64]) -> ConfigInForce {
    let mut in_force = ConfigInForce::default();
    let first = in_force.offer(version(era, ids.len() as u64), &edits(ids));
    assert_eq!(first, OfferResult::Accepted { lost: vec![] });
    in_force
}

#[test]
fn versions_are_formatted_and_parsed_with_their_era() {
    for (text, era, revision) in [("12", 0, 12), ("8.12", 8, 12)] {
        let position: Position = text.parse().unwrap();
        assert_eq!(position, Position { era, revision });
        assert_eq!(Position::from_packed(position.to_packed()), position);
        assert_eq!(position.to_string(), text);
    }
    assert!("8.".parse::<Position>().is_err());
}

/// Guards against reverting to the older text of a backup.
#[test]
fn an_older_text_of_a_later_era_is_outdated() {
    let mut in_force = in_force_with(1, &[10, 11, 12]);
    assert_eq!(in_force.offer(version(2, 2), &edits(&[10, 11])), OfferResult::StoreOutdated);
    assert_eq!(in_force.version(), Some(version(1, 3)));
    let rewritten = in_force.offer(version(2, 3), &edits(&[10, 11, 12]));
    assert_eq!(rewritten, OfferResult::Accepted { lost: vec![] });
    assert_eq!(in_force.version(), Some(version(2, 3)));
}

/// Guards against ignoring an edit because its version was assigned before the restore.
#[test]
fn an_edit_of_a_later_era_is_accepted_and_lost_edits_are_listed() {
    let mut in_force = in_force_with(1, &[10, 11, 12]);
    assert_eq!(
        in_force.offer(version(2, 2), &edits(&[10, 21])),
        OfferResult::Accepted { lost: vec![11, 12] }
    );
    assert_eq!(in_force.offer(version(1, 4), &edits(&[10, 11, 12, 13])), OfferResult::NotNewer);
}

/// Guards against an instance that starts with the older text of the backup.
#[test]
fn a_text_based_on_the_one_in_force_is_accepted_from_an_earlier_era() {
    let mut in_force = in_force_with(2, &[10, 11]);
    let offered = in_force.offer(version(1, 3), &edits(&[10, 11, 12]));
    assert_eq!(offered, OfferResult::Accepted { lost: vec![] });
    assert_eq!(in_force.version(), Some(version(2, 2)));
}

/// Guards against a second run of a key whose claim the restored platform lacks.
#[test]
fn a_bucket_of_an_earlier_era_refuses_older_keys_and_keeps_remembered_claims() {
    let key = |ms: u128| Key(ms << 80);
    let remembered = Bucket::default().with_changes(&[BucketChange::Claim(key(9_000), 7)]);
    let mut bucket = Bucket::default();
    bucket.enter_era(2, 5_000, &remembered);
    assert_eq!(bucket.outcome(key(4_999), 1), Some(ClaimResult::Expired));
    // Issued by a caller whose clock is far ahead.
    assert_eq!(bucket.outcome(key(9_000), 1), Some(ClaimResult::Taken));
    let bucket = bucket.with_changes(&[BucketChange::Claim(key(5_000), 1)]);
    assert_eq!(bucket.outcome(key(5_000), 1), Some(ClaimResult::Granted));
}
