//! Platform that is restored from a backup that is some seconds old.

mod common;

use eelgrasspier_operator::{SubmitAnswer, Submitted};
use eelgrasspier_standin::fleet::{Fleet, until};

const LONG_MS: u64 = 8_000;

fn edit(base: u64, edit_id: u64, text: &str) -> Submitted {
    Submitted { edit_id, base, submitter: "test".to_owned(), text: text.to_owned() }
}

/// Returns the text of the cluster with a deadline that distinguishes it from other texts.
fn text_with(fleet: &Fleet, deadline_ms: u64) -> String {
    fleet.text().replacen(']', &format!("]\ndeadline_ms = {deadline_ms}"), 1)
}

async fn has_everywhere(fleet: &Fleet, text: &str) -> bool {
    for at in 0..fleet.instances.len() {
        if !fleet.admin(at).text().await.is_ok_and(|shown| shown.text == text) {
            return false;
        }
    }
    true
}

async fn accepted(fleet: &Fleet, at: usize, edit: &Submitted) -> u64 {
    match fleet.admin(at).submit(edit).await.unwrap() {
        SubmitAnswer::Accepted { version } => version,
        other => panic!("{other:?}"),
    }
}

/// Returns the key of a completed run; retries because claims are refused for a time after a
/// restore.
async fn run_once(fleet: &Fleet) -> String {
    let ran = std::cell::RefCell::default();
    until("a run is answered", async || {
        ran.replace(common::key());
        let key = ran.borrow().clone();
        common::run(fleet, 0, &key, LONG_MS).await.is_ok_and(|r| r.status == 200)
    })
    .await
    .unwrap();
    ran.into_inner()
}

/// Guards against a second run of a request whose claim is missing from the backup.
#[actix_web::test]
async fn a_run_whose_claim_is_lost_does_not_run_again() {
    let fleet = common::fleet(2, 2).await;
    fleet.tell_platform("copy").await.unwrap();
    for _ in 0..3 {
        let key = run_once(&fleet).await;
        fleet.tell_platform("restore").await.unwrap();
        for at in [1, 0] {
            let retry = common::run(&fleet, at, &key, LONG_MS).await.unwrap();
            assert_eq!(retry.status, 409, "{}", retry.text());
            assert_eq!(retry.problem().verdict, "may_have_run");
        }
        assert_eq!(common::runs(&fleet, &key).await, 1);
    }
}

/// Guards against a second run of a request whose claim is missing from the backup, after all
/// instances that had it in memory have restarted.
#[actix_web::test]
async fn a_run_whose_claim_nobody_remembers_does_not_run_again() {
    let mut fleet = common::fleet(2, 2).await;
    fleet.tell_platform("copy").await.unwrap();
    let key = common::key();
    let first = common::run(&fleet, 0, &key, LONG_MS).await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    fleet.tell_platform("restore").await.unwrap();
    for at in [0, 1] {
        fleet.restart_instance(at).unwrap();
    }
    fleet.wait_ready().await.unwrap();
    let retry = common::run(&fleet, 1, &key, LONG_MS).await.unwrap();
    assert_eq!(retry.status, 409, "{}", retry.text());
    assert_eq!(common::runs(&fleet, &key).await, 1);
}

/// Guards against the loss of an accepted text that is missing from the backup.
#[actix_web::test]
async fn a_text_that_the_copy_lacks_stays_in_force_and_is_written_again() {
    let mut fleet = common::fleet(3, 2).await;
    fleet.tell_platform("copy").await.unwrap();
    let newer = text_with(&fleet, 7_001);
    accepted(&fleet, 0, &edit(1, 11, &newer)).await;
    until("the text is active on all instances", async || has_everywhere(&fleet, &newer).await)
        .await
        .unwrap();
    fleet.tell_platform("restore").await.unwrap();
    // An instance that starts now must not become ready with the text from the backup.
    fleet.restart_instance(2).unwrap();
    let url = fleet.instances[2].url();
    let admin = fleet.admin(2);
    until("the restarted instance is ready", async || {
        let is_ready = common::get(&format!("{url}/readyz")).await == Ok(200);
        if is_ready {
            assert_eq!(
                admin.text().await.unwrap().text,
                newer,
                "instance is ready with an outdated text"
            );
        }
        is_ready
    })
    .await
    .unwrap();
    // The instances write the text to the platform again, under a new high version.
    until("the text is written to the platform again", async || {
        let shown = fleet.admin(0).text().await.unwrap();
        assert_eq!(shown.text, newer);
        shown.version > 1 << 40
    })
    .await
    .unwrap();
    let next = text_with(&fleet, 7_002);
    let base = fleet.admin(0).text().await.unwrap().version;
    accepted(&fleet, 1, &edit(base, 12, &next)).await;
    until("the next text is active on all instances", async || has_everywhere(&fleet, &next).await)
        .await
        .unwrap();
}

/// Guards against an edit that overwrites another because the version number it is based on was
/// assigned a second time after a restore.
#[actix_web::test]
async fn an_edit_from_a_version_of_before_a_restore_overwrites_nothing() {
    let fleet = common::fleet(2, 2).await;
    fleet.tell_platform("copy").await.unwrap();
    let lost = text_with(&fleet, 7_001);
    let base = accepted(&fleet, 0, &edit(1, 21, &lost)).await;
    until("the text is active on all instances", async || has_everywhere(&fleet, &lost).await)
        .await
        .unwrap();
    fleet.tell_platform("restore").await.unwrap();
    until("the text is written to the platform again", async || {
        fleet.admin(0).text().await.unwrap().version > 1 << 40
    })
    .await
    .unwrap();
    let answer = fleet.admin(1).submit(&edit(base, 22, &text_with(&fleet, 7_002))).await.unwrap();
    assert!(matches!(answer, SubmitAnswer::Conflict { .. }), "{answer:?}");
    assert!(has_everywhere(&fleet, &lost).await);
}
