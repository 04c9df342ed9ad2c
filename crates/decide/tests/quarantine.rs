//! Quarantine of requests that crash their replicas.
//!
//! Guards against two failures: one request taking down a whole index again and again because
//! nothing is remembered about it, and requests that merely ran at the same time being refused with
//! it because only the crash of their replica is remembered.

use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::history::Edition;
use eelgrasspier_decide::lost_sends::{CrashedSend, LostSend, LostSends, ServerState};
use eelgrasspier_decide::quarantine::{EvidenceEffect, Quarantine, Report, Treatment};
use prost::Message;

const CRASHING: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);
const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60_000;

fn crashed(request: Fingerprint, send_id: u32, is_isolated: bool) -> CrashedSend {
    CrashedSend { request, send_id, crash_id: send_id, is_trial: is_isolated, is_isolated }
}

/// Records the simultaneous crash of all replicas of a request to `shards` shards.
fn record_crash_wave(quarantine: &mut Quarantine, request: Fingerprint, shards: u32) {
    for replica in 1..=shards {
        quarantine.record_crash(crashed(request, replica, false), 0);
    }
}

fn is_refused(quarantine: &Quarantine, request: Fingerprint, now_ms: u64) -> bool {
    matches!(quarantine.treatment(request, now_ms), Treatment::Refused(_))
}

#[test]
fn a_request_is_isolated_after_two_crashes_and_refused_after_two_more() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.record_crash(crashed(CRASHING, 1, false), 0), EvidenceEffect::Recorded);
    assert_eq!(quarantine.treatment(CRASHING, 0), Treatment::Normal);
    assert_eq!(quarantine.record_crash(crashed(CRASHING, 2, false), 0), EvidenceEffect::Suspected);
    assert_eq!(quarantine.treatment(CRASHING, 0), Treatment::OneReplicaAtATime);
    assert_eq!(quarantine.record_crash(crashed(CRASHING, 3, true), 0), EvidenceEffect::Recorded);
    assert_eq!(quarantine.record_crash(crashed(CRASHING, 4, true), 0), EvidenceEffect::Refused);
    assert!(is_refused(&quarantine, CRASHING, SECOND_MS));
}

/// A request to twenty shards was in progress on replicas that another request crashed, all of
/// them; it is then tried on one replica and answered.
#[test]
fn an_answered_request_is_cleared_after_any_number_of_crashes() {
    let mut quarantine = Quarantine::default();
    record_crash_wave(&mut quarantine, CRASHING, 20);
    record_crash_wave(&mut quarantine, INNOCENT, 20);
    assert_eq!(quarantine.treatment(INNOCENT, 0), Treatment::OneReplicaAtATime);
    assert_eq!(quarantine.record_answer(INNOCENT, 12), EvidenceEffect::Cleared);
    assert_eq!(quarantine.treatment(INNOCENT, 12), Treatment::Normal);
    assert_eq!(quarantine.treatment(CRASHING, 12), Treatment::OneReplicaAtATime);
}

/// The replica of the trial was crashed by another request at the same moment.
#[test]
fn one_crash_in_a_trial_does_not_refuse_a_request() {
    let mut quarantine = Quarantine::default();
    record_crash_wave(&mut quarantine, INNOCENT, 20);
    quarantine.record_crash(crashed(INNOCENT, 21, true), 0);
    assert_eq!(quarantine.treatment(INNOCENT, 0), Treatment::OneReplicaAtATime);
}

/// The crashed replicas also ran another unanswered request.
#[test]
fn crashes_outside_of_trials_do_not_refuse_a_request() {
    let mut quarantine = Quarantine::default();
    for replica in 1..=40 {
        quarantine.record_crash(crashed(INNOCENT, replica, false), 0);
    }
    assert_eq!(quarantine.treatment(INNOCENT, 0), Treatment::OneReplicaAtATime);
}

#[test]
fn an_answer_overrides_older_reports() {
    let mut quarantine = Quarantine::default();
    record_crash_wave(&mut quarantine, INNOCENT, 20);
    let old = quarantine.report(INNOCENT, 0).unwrap();
    quarantine.record_answer(INNOCENT, 10);
    assert_eq!(quarantine.merge_report(&old, 20), EvidenceEffect::Unchanged);
    assert_eq!(quarantine.treatment(INNOCENT, 20), Treatment::Normal);
}

#[test]
fn an_answer_ends_a_refusal_on_other_instances() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    record_crash_wave(&mut here, CRASHING, 3);
    here.record_crash(crashed(CRASHING, 4, true), 0);
    here.record_crash(crashed(CRASHING, 5, true), 0);
    there.merge_report(&here.report(CRASHING, 0).unwrap(), 0);
    assert!(is_refused(&there, CRASHING, 10));
    here.record_answer(CRASHING, 20);
    assert_eq!(
        there.merge_report(&here.report(CRASHING, 20).unwrap(), 30),
        EvidenceEffect::Cleared
    );
    assert!(!is_refused(&there, CRASHING, 30));
}

/// Each of three instances sees one crash, and two of them begin a trial at the same time.
#[test]
fn evidence_of_several_instances_merges_in_any_order() {
    let mut all: Vec<Quarantine> = vec![Quarantine::default(); 3];
    let mut reports: Vec<Report> = Vec::new();
    for (number, quarantine) in (1..).zip(&mut all) {
        quarantine.record_crash(crashed(CRASHING, number, false), 0);
        reports.push(quarantine.report(CRASHING, 0).unwrap());
    }
    for (number, quarantine) in (11..).zip(all.iter_mut().take(2)) {
        quarantine.record_crash(crashed(CRASHING, number, true), 0);
        reports.push(quarantine.report(CRASHING, 0).unwrap());
    }
    for (turn, quarantine) in all.iter_mut().enumerate() {
        let mut order = reports.clone();
        order.rotate_left(turn);
        for report in &order {
            quarantine.merge_report(report, 1);
        }
        assert!(is_refused(quarantine, CRASHING, 2), "{quarantine:?}");
    }
}

/// Guards against an innocent request being refused because one crash ended the trials of two
/// instances on the same replica.
#[test]
fn a_crash_that_ends_the_trials_of_several_instances_counts_once() {
    let trial = |send_id, crash_id| CrashedSend { crash_id, ..crashed(INNOCENT, send_id, true) };
    let mut all: Vec<Quarantine> = vec![Quarantine::default(); 3];
    for (send_id, quarantine) in (21..).zip(&mut all) {
        record_crash_wave(quarantine, INNOCENT, 3);
        quarantine.record_crash(trial(send_id, 7), 0);
    }
    let reports: Vec<Report> = all.iter().map(|q| q.report(INNOCENT, 0).unwrap()).collect();
    for (turn, quarantine) in all.iter_mut().enumerate() {
        let mut order = reports.clone();
        order.rotate_left(turn);
        for report in &order {
            quarantine.merge_report(report, 1);
        }
        assert_eq!(quarantine.treatment(INNOCENT, 2), Treatment::OneReplicaAtATime);
    }
    // A second crash, of another replica or of this one after its restart, is the second proof.
    assert_eq!(all[0].record_crash(trial(31, 8), 3), EvidenceEffect::Refused);
}

/// Guards against instances that give one crash several ids, and against a restarted replica whose
/// next crash is taken for the first.
#[test]
fn crashes_are_identified_by_the_run_of_the_replica() {
    let replica = |id: &str| ReplicaEntry {
        id: id.into(),
        name: "a".into(),
        report: Edition { born_ms: 0, number: 1 },
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 1,
        is_draining: false,
        cold_left_ms: 0,
    };
    let first_run = replica("a@1").crash_id();
    assert_eq!(first_run, ReplicaEntry { cold_left_ms: 9, ..replica("a@1") }.crash_id());
    assert_ne!(first_run, replica("a@2").crash_id());
    assert_ne!(replica("a").crash_id(), replica("b").crash_id());
}

/// Guards against the crash of a restarted server being taken for the one before, if its new run
/// has the same id or is not known yet.
#[test]
fn the_crash_of_a_server_that_restarted_unnoticed_is_another_one() {
    let mut losses = LostSends::default();
    let lost = |send_id| LostSend { send_id, ..lost(CRASHING, true) };
    losses.record_loss(1, lost(21), 0);
    assert_eq!(losses.record_server_state(1, true, 3)[0].crash_id, 7);
    // A loss that is detected later belongs to the same crash.
    let late = losses.record_loss(1, lost(22), 4);
    assert!(matches!(late, ServerState::Crashed(CrashedSend { crash_id: 7, .. })), "{late:?}");
    losses.record_loss(1, lost(31), SECOND_MS);
    assert_eq!(losses.record_server_state(1, true, SECOND_MS + 3)[0].crash_id, 31);
}

/// Guards against an innocent request being suspected because sends of several instances were lost
/// in one crash.
#[test]
fn sends_lost_in_one_crash_are_one_crash() {
    let mut all: Vec<Quarantine> = vec![Quarantine::default(); 3];
    for (send_id, quarantine) in (21..).zip(&mut all) {
        let ended = CrashedSend { crash_id: 7, ..crashed(INNOCENT, send_id, false) };
        quarantine.record_crash(ended, 0);
    }
    let reports: Vec<Report> = all.iter().map(|q| q.report(INNOCENT, 0).unwrap()).collect();
    for quarantine in &mut all {
        for report in &reports {
            quarantine.merge_report(report, 1);
        }
        assert_eq!(quarantine.treatment(INNOCENT, 2), Treatment::Normal);
    }
}

/// Records two trials at two instances that end with the same crashes, of which the crashing
/// request is the cause.
fn record_shared_trials(at_innocent: &mut Quarantine, at_crashing: &mut Quarantine) {
    for crash_id in [7, 8] {
        let trial = |request, send_id| CrashedSend { crash_id, ..crashed(request, send_id, true) };
        at_innocent.record_crash(trial(INNOCENT, 20 + crash_id), 0);
        at_crashing.record_crash(trial(CRASHING, 30 + crash_id), 0);
    }
}

/// Guards against an innocent request being refused because two different crashes, caused by
/// another request at another instance, ended both of its isolated trials.
#[test]
fn crashes_that_another_instance_lost_a_suspect_in_prove_nothing() {
    let mut all: Vec<Quarantine> = vec![Quarantine::default(); 3];
    for quarantine in &mut all {
        quarantine.set_report_wait(300);
    }
    let [first, second, third] = &mut all[..] else { unreachable!() };
    record_shared_trials(first, second);
    let reports = [first.report(INNOCENT, 0).unwrap(), second.report(CRASHING, 0).unwrap()];
    for quarantine in [first, second, third] {
        for report in &reports {
            quarantine.merge_report(report, 50);
        }
        for request in [INNOCENT, CRASHING] {
            assert_eq!(quarantine.treatment(request, 400), Treatment::OneReplicaAtATime);
        }
        // The innocent request is tried elsewhere and answered: the other one caused the crashes.
        quarantine.record_answer(INNOCENT, 500);
        assert!(is_refused(quarantine, CRASHING, 500));
        assert_eq!(quarantine.treatment(INNOCENT, 500), Treatment::Normal);
    }
}

/// Guards against a refusal before the report that contests its evidence has arrived.
#[test]
fn a_refusal_waits_for_reports_and_ends_if_one_contests_it() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.set_report_wait(300);
    record_shared_trials(&mut here, &mut there);
    assert_eq!(here.treatment(INNOCENT, 299), Treatment::AwaitsReports(1));
    assert!(is_refused(&here, INNOCENT, 300));
    // The report is later than the wait.
    here.merge_report(&there.report(CRASHING, 400).unwrap(), 400);
    assert_eq!(here.contest_changes(400), [(CRASHING, true), (INNOCENT, true)]);
    assert_eq!(here.treatment(INNOCENT, 400), Treatment::OneReplicaAtATime);
}

/// Guards against a request that crashes replicas being protected by others that ran beside it
/// once and that nobody sent again.
#[test]
fn a_request_that_was_lost_in_one_crash_contests_nothing() {
    let mut quarantine = Quarantine::default();
    for (send_id, crash_id) in [(1, 7), (2, 8)] {
        quarantine.record_crash(CrashedSend { crash_id, ..crashed(CRASHING, send_id, true) }, 0);
        let bystander = Fingerprint(100 + u64::from(crash_id));
        quarantine.record_crash(crashed(bystander, crash_id, false), 0);
    }
    assert!(is_refused(&quarantine, CRASHING, 1));
}

/// Guards against reports without new information circulating forever.
#[test]
fn a_report_has_an_effect_only_once() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    record_crash_wave(&mut here, CRASHING, 3);
    here.record_crash(crashed(CRASHING, 4, true), 0);
    here.record_crash(crashed(CRASHING, 5, true), 0);
    let report = here.report(CRASHING, 0).unwrap();
    assert_eq!(there.merge_report(&report, 40), EvidenceEffect::Refused);
    let back = there.report(CRASHING, 40).unwrap();
    assert_eq!(here.merge_report(&back, 80), EvidenceEffect::Unchanged);
    assert_eq!(there.merge_report(&report, 120), EvidenceEffect::Unchanged);
}

#[test]
fn a_refusal_expires_and_the_next_crash_renews_it_for_longer() {
    let mut quarantine = Quarantine::default();
    record_crash_wave(&mut quarantine, CRASHING, 3);
    quarantine.record_crash(crashed(CRASHING, 4, true), 0);
    quarantine.record_crash(crashed(CRASHING, 5, true), 0);
    let later = 6 * MINUTE_MS;
    assert_eq!(quarantine.treatment(CRASHING, later), Treatment::OneReplicaAtATime);
    assert_eq!(quarantine.record_crash(crashed(CRASHING, 6, true), later), EvidenceEffect::Refused);
    assert!(is_refused(&quarantine, CRASHING, later + 9 * MINUTE_MS));
    assert!(!is_refused(&quarantine, CRASHING, later + 11 * MINUTE_MS));
}

/// A refusal has ended, and an instance without any records starts.
#[test]
fn new_instances_do_not_renew_an_expired_refusal() {
    let (mut here, mut started) = (Quarantine::default(), Quarantine::default());
    record_crash_wave(&mut here, CRASHING, 3);
    here.record_crash(crashed(CRASHING, 4, true), 0);
    here.record_crash(crashed(CRASHING, 5, true), 0);
    let later = 6 * MINUTE_MS;
    started.merge_report(&here.report(CRASHING, later).unwrap(), later);
    assert_eq!(started.treatment(CRASHING, later), Treatment::OneReplicaAtATime);
}

#[test]
fn records_expire() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(crashed(INNOCENT, 1, false), 0);
    record_crash_wave(&mut quarantine, CRASHING, 3);
    // The next update removes expired records.
    quarantine.record_crash(crashed(Fingerprint(3), 1, false), MINUTE_MS);
    assert_eq!(quarantine.treatment(CRASHING, MINUTE_MS), Treatment::OneReplicaAtATime);
    assert_eq!(quarantine.len(), 2);
    quarantine.record_crash(crashed(Fingerprint(3), 2, false), 6 * MINUTE_MS);
    assert_eq!(quarantine.treatment(CRASHING, 6 * MINUTE_MS), Treatment::Normal);
    assert_eq!(quarantine.len(), 1);
}

#[test]
fn records_are_bounded_and_refusals_are_evicted_last() {
    let mut quarantine = Quarantine::default();
    record_crash_wave(&mut quarantine, CRASHING, 3);
    quarantine.record_crash(crashed(CRASHING, 4, true), 0);
    quarantine.record_crash(crashed(CRASHING, 5, true), 0);
    for number in 0..10_000 {
        quarantine.record_crash(crashed(Fingerprint(100 + number), 1, false), SECOND_MS);
        quarantine.record_crash(crashed(Fingerprint(100 + number), 2, false), SECOND_MS);
    }
    assert!(quarantine.len() <= 256, "{}", quarantine.len());
    assert!(is_refused(&quarantine, CRASHING, SECOND_MS));
    for number in 0..10_000 {
        quarantine.record_crash(crashed(CRASHING, number, true), SECOND_MS);
    }
    let report = quarantine.report(CRASHING, SECOND_MS).unwrap();
    assert!(report.encoded_len() <= 160, "{} bytes", report.encoded_len());
}

#[test]
fn only_one_trial_runs_at_a_time_and_it_times_out() {
    let mut quarantine = Quarantine::default();
    record_crash_wave(&mut quarantine, INNOCENT, 2);
    assert!(quarantine.begin_trial(INNOCENT, 0, 50));
    assert!(!quarantine.begin_trial(INNOCENT, 10, 50));
    quarantine.end_trial(INNOCENT);
    assert!(quarantine.begin_trial(INNOCENT, 11, 50));
    // The caller disconnected, so the end of the trial was not recorded.
    assert!(quarantine.begin_trial(INNOCENT, 61, 50));
}

#[test]
fn different_requests_have_different_fingerprints() {
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

fn lost(request: Fingerprint, is_trial: bool) -> LostSend {
    LostSend { request, send_id: 7, crash_id: 7, is_trial }
}

#[test]
fn losses_wait_for_the_state_of_the_server() {
    let mut losses = LostSends::default();
    assert_eq!(losses.record_loss(1, lost(CRASHING, true), 0), ServerState::Unknown);
    assert_eq!(losses.pending_checks(CRASHING), 1);
    assert_eq!(losses.record_server_state(1, true, 3), [crashed(CRASHING, 7, true)]);
    assert_eq!(losses.pending_checks(CRASHING), 0);
    // A loss that is detected later belongs to the same crash.
    let late = ServerState::Crashed(crashed(INNOCENT, 7, false));
    assert_eq!(losses.record_loss(1, lost(INNOCENT, false), 4), late);
    // The server may have restarted by then.
    assert_eq!(losses.record_loss(1, lost(INNOCENT, false), SECOND_MS), ServerState::Unknown);
}

#[test]
fn losses_at_a_running_server_are_no_evidence() {
    let mut losses = LostSends::default();
    losses.record_loss(1, lost(INNOCENT, true), 0);
    assert_eq!(losses.record_server_state(1, false, 3), []);
    assert_eq!(losses.record_loss(1, lost(INNOCENT, true), 4), ServerState::Running);
}

#[test]
fn a_trial_with_another_unanswered_request_is_not_isolated() {
    let mut losses = LostSends::default();
    losses.record_loss(1, lost(CRASHING, true), 0);
    assert_eq!(losses.record_loss(1, lost(INNOCENT, false), 0), ServerState::Checking);
    let trial = CrashedSend { is_trial: true, ..crashed(CRASHING, 7, false) };
    let both = [trial, crashed(INNOCENT, 7, false)];
    assert_eq!(losses.record_server_state(1, true, 3), both);
}

#[test]
fn an_answer_removes_the_losses_of_a_request() {
    let mut losses = LostSends::default();
    losses.record_loss(1, lost(CRASHING, true), 0);
    losses.record_loss(1, lost(INNOCENT, false), 0);
    losses.discard_answered(INNOCENT);
    assert_eq!(losses.record_server_state(1, true, 3), [crashed(CRASHING, 7, true)]);
}

/// Guards against a refusal that starts over, or a panic, after a stored record with the greatest
/// number of refusals.
#[test]
fn a_record_with_the_greatest_number_of_refusals_is_kept() {
    let mut quarantine = Quarantine::default();
    let report = Report {
        fingerprint: CRASHING.0,
        ended: vec![1, 2],
        refusals: u32::MAX,
        left_ms: u64::MAX,
        ..Report::default()
    };
    quarantine.merge_report(&report, 0);
    quarantine.record_crash(crashed(CRASHING, 3, true), SECOND_MS);
    quarantine.record_crash(crashed(CRASHING, 4, true), SECOND_MS);
    assert!(is_refused(&quarantine, CRASHING, 2 * SECOND_MS));
    assert_eq!(quarantine.report(CRASHING, 2 * SECOND_MS).unwrap().refusals, u32::MAX);
}
