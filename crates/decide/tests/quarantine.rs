//! Which requests are refused since replicas end when they run them, and which are not.
//!
//! Symptom: one request took down a whole index, again and again; and the wrong cure for it:
//! requests that merely ran beside it were refused with it.
//! Cause: nothing was remembered of a request, or only that a replica ended under it.

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::losses::{Ended, Known, Losses, Lost};
use eelgrasspier_decide::quarantine::{Finding, Quarantine, Report, Treatment};
use prost::Message;

const ENDING: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);
const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60_000;

fn ended(request: Fingerprint, send: u32, is_alone: bool) -> Ended {
    Ended { request, send, is_alone }
}

/// A request to `shards` shards whose replicas have all ended at once.
fn wave(quarantine: &mut Quarantine, request: Fingerprint, shards: u32) {
    for replica in 1..=shards {
        quarantine.note_ended(ended(request, replica, false), 0);
    }
}

fn is_refused(quarantine: &Quarantine, request: Fingerprint, now_ms: u64) -> bool {
    matches!(quarantine.treatment(request, now_ms), Treatment::Refused(_))
}

#[test]
fn it_is_tried_alone_after_two_ends_and_refused_after_two_more() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.note_ended(ended(ENDING, 1, false), 0), Finding::Noted);
    assert_eq!(quarantine.treatment(ENDING, 0), Treatment::Usual);
    assert_eq!(quarantine.note_ended(ended(ENDING, 2, false), 0), Finding::Suspected);
    assert_eq!(quarantine.treatment(ENDING, 0), Treatment::OneByOne);
    assert_eq!(quarantine.note_ended(ended(ENDING, 3, true), 0), Finding::Noted);
    assert_eq!(quarantine.note_ended(ended(ENDING, 4, true), 0), Finding::Refused);
    assert!(is_refused(&quarantine, ENDING, SECOND_MS));
}

/// Sequence: a request to twenty shards was in progress on replicas that another request ended,
/// all of them; then it is tried on one and answered.
#[test]
fn a_bystander_of_any_number_of_ends_is_never_refused() {
    let mut quarantine = Quarantine::default();
    wave(&mut quarantine, ENDING, 20);
    wave(&mut quarantine, INNOCENT, 20);
    assert_eq!(quarantine.treatment(INNOCENT, 0), Treatment::OneByOne);
    assert_eq!(quarantine.note_answered(INNOCENT, 12), Finding::Cleared);
    assert_eq!(quarantine.treatment(INNOCENT, 12), Treatment::Usual);
    assert_eq!(quarantine.treatment(ENDING, 12), Treatment::OneByOne);
}

/// Sequence: the one replica on which it was tried was ended by another request at that moment.
#[test]
fn one_trial_that_ends_is_a_coincidence() {
    let mut quarantine = Quarantine::default();
    wave(&mut quarantine, INNOCENT, 20);
    quarantine.note_ended(ended(INNOCENT, 21, true), 0);
    assert_eq!(quarantine.treatment(INNOCENT, 0), Treatment::OneByOne);
}

/// Sequence: the replicas on which it was tried ran something else that nobody had answered.
#[test]
fn an_end_that_may_be_anothers_doing_proves_nothing() {
    let mut quarantine = Quarantine::default();
    for replica in 1..=40 {
        quarantine.note_ended(ended(INNOCENT, replica, false), 0);
    }
    assert_eq!(quarantine.treatment(INNOCENT, 0), Treatment::OneByOne);
}

#[test]
fn an_answer_outweighs_old_evidence_that_still_travels() {
    let mut quarantine = Quarantine::default();
    wave(&mut quarantine, INNOCENT, 20);
    let old = quarantine.report(INNOCENT, 0).unwrap();
    quarantine.note_answered(INNOCENT, 10);
    assert_eq!(quarantine.merge(&old, 20), Finding::Unchanged);
    assert_eq!(quarantine.treatment(INNOCENT, 20), Treatment::Usual);
}

#[test]
fn an_answer_ends_a_refusal_everywhere() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    wave(&mut here, ENDING, 3);
    here.note_ended(ended(ENDING, 4, true), 0);
    here.note_ended(ended(ENDING, 5, true), 0);
    there.merge(&here.report(ENDING, 0).unwrap(), 0);
    assert!(is_refused(&there, ENDING, 10));
    here.note_answered(ENDING, 20);
    assert_eq!(there.merge(&here.report(ENDING, 20).unwrap(), 30), Finding::Cleared);
    assert!(!is_refused(&there, ENDING, 30));
}

/// Each of three instances sees one end; two of them try it, at the same time.
#[test]
fn what_several_instances_see_adds_up_in_any_order() {
    let mut all: Vec<Quarantine> = vec![Quarantine::default(); 3];
    let mut reports: Vec<Report> = Vec::new();
    for (number, quarantine) in (1..).zip(&mut all) {
        quarantine.note_ended(ended(ENDING, number, false), 0);
        reports.push(quarantine.report(ENDING, 0).unwrap());
    }
    for (number, quarantine) in (11..).zip(all.iter_mut().take(2)) {
        quarantine.note_ended(ended(ENDING, number, true), 0);
        reports.push(quarantine.report(ENDING, 0).unwrap());
    }
    for (turn, quarantine) in all.iter_mut().enumerate() {
        let mut order = reports.clone();
        order.rotate_left(turn);
        for report in &order {
            quarantine.merge(report, 1);
        }
        assert!(is_refused(quarantine, ENDING, 2), "{quarantine:?}");
    }
}

/// Reports that bring nothing new are passed over, so that they don't go round for ever.
#[test]
fn a_report_is_news_once() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    wave(&mut here, ENDING, 3);
    here.note_ended(ended(ENDING, 4, true), 0);
    here.note_ended(ended(ENDING, 5, true), 0);
    let report = here.report(ENDING, 0).unwrap();
    assert_eq!(there.merge(&report, 40), Finding::Refused);
    let back = there.report(ENDING, 40).unwrap();
    assert_eq!(here.merge(&back, 80), Finding::Unchanged);
    assert_eq!(there.merge(&report, 120), Finding::Unchanged);
}

#[test]
fn a_refusal_ends_and_one_more_end_brings_it_back_for_longer() {
    let mut quarantine = Quarantine::default();
    wave(&mut quarantine, ENDING, 3);
    quarantine.note_ended(ended(ENDING, 4, true), 0);
    quarantine.note_ended(ended(ENDING, 5, true), 0);
    let later = 6 * MINUTE_MS;
    assert_eq!(quarantine.treatment(ENDING, later), Treatment::OneByOne);
    assert_eq!(quarantine.note_ended(ended(ENDING, 6, true), later), Finding::Refused);
    assert!(is_refused(&quarantine, ENDING, later + 9 * MINUTE_MS));
    assert!(!is_refused(&quarantine, ENDING, later + 11 * MINUTE_MS));
}

/// Sequence: a refusal is over, and an instance starts that knows nothing of it.
#[test]
fn a_refusal_that_is_over_is_not_begun_again_by_those_that_start() {
    let (mut here, mut started) = (Quarantine::default(), Quarantine::default());
    wave(&mut here, ENDING, 3);
    here.note_ended(ended(ENDING, 4, true), 0);
    here.note_ended(ended(ENDING, 5, true), 0);
    let later = 6 * MINUTE_MS;
    started.merge(&here.report(ENDING, later).unwrap(), later);
    assert_eq!(started.treatment(ENDING, later), Treatment::OneByOne);
}

#[test]
fn it_is_forgotten_in_time() {
    let mut quarantine = Quarantine::default();
    quarantine.note_ended(ended(INNOCENT, 1, false), 0);
    wave(&mut quarantine, ENDING, 3);
    // Whatever comes next makes room.
    quarantine.note_ended(ended(Fingerprint(3), 1, false), MINUTE_MS);
    assert_eq!(quarantine.treatment(ENDING, MINUTE_MS), Treatment::OneByOne);
    assert_eq!(quarantine.len(), 2);
    quarantine.note_ended(ended(Fingerprint(3), 2, false), 6 * MINUTE_MS);
    assert_eq!(quarantine.treatment(ENDING, 6 * MINUTE_MS), Treatment::Usual);
    assert_eq!(quarantine.len(), 1);
}

#[test]
fn what_is_remembered_is_bounded_and_refusals_stay_longest() {
    let mut quarantine = Quarantine::default();
    wave(&mut quarantine, ENDING, 3);
    quarantine.note_ended(ended(ENDING, 4, true), 0);
    quarantine.note_ended(ended(ENDING, 5, true), 0);
    for number in 0..10_000 {
        quarantine.note_ended(ended(Fingerprint(100 + number), 1, false), SECOND_MS);
        quarantine.note_ended(ended(Fingerprint(100 + number), 2, false), SECOND_MS);
    }
    assert!(quarantine.len() <= 256, "{}", quarantine.len());
    assert!(is_refused(&quarantine, ENDING, SECOND_MS));
    for number in 0..10_000 {
        quarantine.note_ended(ended(ENDING, number, true), SECOND_MS);
    }
    let report = quarantine.report(ENDING, SECOND_MS).unwrap();
    assert!(report.encoded_len() <= 160, "{} bytes", report.encoded_len());
}

#[test]
fn one_trial_is_made_at_a_time_and_does_not_block_for_ever() {
    let mut quarantine = Quarantine::default();
    wave(&mut quarantine, INNOCENT, 2);
    assert!(quarantine.begin_trial(INNOCENT, 0, 50));
    assert!(!quarantine.begin_trial(INNOCENT, 10, 50));
    quarantine.end_trial(INNOCENT);
    assert!(quarantine.begin_trial(INNOCENT, 11, 50));
    // Its caller left, so that nobody saw the end.
    assert!(quarantine.begin_trial(INNOCENT, 61, 50));
}

#[test]
fn requests_that_differ_anywhere_have_other_fingerprints() {
    let of =
        |parts: &[&str]| Fingerprint::of(&parts.iter().map(|p| p.as_bytes()).collect::<Vec<_>>());
    let one = of(&["GET", "host", "/q?page=1", "body"]);
    assert_eq!(one, of(&["GET", "host", "/q?page=1", "body"]));
    for other in [
        of(&["POST", "host", "/q?page=1", "body"]),
        of(&["GET", "hos", "t/q?page=1", "body"]),
        of(&["GET", "host", "/q?page=2", "body"]),
        of(&["GET", "host", "/q?page=1", ""]),
    ] {
        assert_ne!(one, other);
    }
}

fn lost(request: Fingerprint, is_tried: bool) -> Lost {
    Lost { request, send: 7, is_tried }
}

#[test]
fn what_was_lost_waits_until_it_is_known_whether_the_server_has_ended() {
    let mut losses = Losses::default();
    assert_eq!(losses.add(1, lost(ENDING, true), 0), Known::Unknown);
    assert_eq!(losses.awaited(ENDING), 1);
    assert_eq!(losses.resolve(1, true, 3), [ended(ENDING, 7, true)]);
    assert_eq!(losses.awaited(ENDING), 0);
    // One that is noticed later was lost with it.
    let late = Known::HasEnded(ended(INNOCENT, 7, false));
    assert_eq!(losses.add(1, lost(INNOCENT, false), 4), late);
    // By then it has started again.
    assert_eq!(losses.add(1, lost(INNOCENT, false), SECOND_MS), Known::Unknown);
}

#[test]
fn a_server_that_lives_has_ended_under_nobody() {
    let mut losses = Losses::default();
    losses.add(1, lost(INNOCENT, true), 0);
    assert_eq!(losses.resolve(1, false, 3), []);
    assert_eq!(losses.add(1, lost(INNOCENT, true), 4), Known::Lives);
}

#[test]
fn a_trial_beside_another_unanswered_request_is_not_by_itself() {
    let mut losses = Losses::default();
    losses.add(1, lost(ENDING, true), 0);
    assert_eq!(losses.add(1, lost(INNOCENT, false), 0), Known::Awaited);
    let both = [ended(ENDING, 7, false), ended(INNOCENT, 7, false)];
    assert_eq!(losses.resolve(1, true, 3), both);
}

#[test]
fn a_request_that_is_answered_meanwhile_has_lost_nothing() {
    let mut losses = Losses::default();
    losses.add(1, lost(ENDING, true), 0);
    losses.add(1, lost(INNOCENT, false), 0);
    losses.answered(INNOCENT);
    assert_eq!(losses.resolve(1, true, 3), [ended(ENDING, 7, true)]);
}
