//! Platform that is restored from a backup that is some seconds old.

mod common;

use eelgrasspier_operator::{SubmitRequest, SubmitResponse};
use eelgrasspier_standin::cluster::{TestCluster, wait_until};

const RUN_DEADLINE_MS: u64 = 8_000;

fn edit(base: u64, edit_id: u64, text: &str) -> SubmitRequest {
    SubmitRequest { edit_id, base, submitter: "test".to_owned(), text: text.to_owned() }
}

/// Returns the text of the cluster with a deadline that distinguishes it from other texts.
fn text_with(cluster: &TestCluster, deadline_ms: u64) -> String {
    cluster.text().replacen(']', &format!("]\ndeadline_ms = {deadline_ms}"), 1)
}

async fn all_have_text(cluster: &TestCluster, text: &str) -> bool {
    for index in 0..cluster.instances.len() {
        if !cluster.admin(index).text().await.is_ok_and(|shown| shown.text == text) {
            return false;
        }
    }
    true
}

async fn submit_accepted(cluster: &TestCluster, index: usize, edit: &SubmitRequest) -> u64 {
    match cluster.admin(index).submit(edit).await.unwrap() {
        SubmitResponse::Accepted { version } => version,
        other => panic!("{other:?}"),
    }
}

/// Runs requests until one succeeds and returns its key.
///
/// Claims are refused for some time after a restore, so the first attempts may fail.
async fn run_once(cluster: &TestCluster) -> String {
    let completed_key = std::cell::RefCell::default();
    wait_until("a run is answered", async || {
        completed_key.replace(common::new_key());
        let key = completed_key.borrow().clone();
        common::send_run(cluster, 0, &key, RUN_DEADLINE_MS).await.is_ok_and(|r| r.status == 200)
    })
    .await
    .unwrap();
    completed_key.into_inner()
}

/// Guards against a second run of a request whose claim is missing from the backup.
#[actix_web::test]
async fn run_with_lost_claim_does_not_run_again() {
    let cluster = common::cluster(2, 2).await;
    cluster.send_platform_command("copy").await.unwrap();
    for _ in 0..3 {
        let key = run_once(&cluster).await;
        cluster.send_platform_command("restore").await.unwrap();
        for index in [1, 0] {
            let retry = common::send_run(&cluster, index, &key, RUN_DEADLINE_MS).await.unwrap();
            assert_eq!(retry.status, 409, "{}", retry.text());
            assert_eq!(retry.problem().verdict, "may_have_run");
        }
        assert_eq!(common::run_count(&cluster, &key).await, 1);
    }
}

/// Guards against a second run of a request whose claim is missing from the backup, after all
/// instances that had it in memory have restarted.
#[actix_web::test]
async fn run_with_lost_claim_does_not_run_again_after_restarts() {
    let mut cluster = common::cluster(2, 2).await;
    cluster.send_platform_command("copy").await.unwrap();
    let key = common::new_key();
    let first = common::send_run(&cluster, 0, &key, RUN_DEADLINE_MS).await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    cluster.send_platform_command("restore").await.unwrap();
    for index in [0, 1] {
        cluster.restart_instance(index).unwrap();
    }
    cluster.wait_ready().await.unwrap();
    let retry = common::send_run(&cluster, 1, &key, RUN_DEADLINE_MS).await.unwrap();
    assert_eq!(retry.status, 409, "{}", retry.text());
    assert_eq!(common::run_count(&cluster, &key).await, 1);
}

/// Guards against the loss or rollback of an accepted text that is missing from the backup.
#[actix_web::test]
async fn text_missing_from_backup_stays_active_and_is_rewritten() {
    let mut cluster = common::cluster(3, 2).await;
    cluster.send_platform_command("copy").await.unwrap();
    let newer = text_with(&cluster, 7_001);
    submit_accepted(&cluster, 0, &edit(1, 11, &newer)).await;
    wait_until("the text is active on all instances", async || {
        all_have_text(&cluster, &newer).await
    })
    .await
    .unwrap();
    cluster.send_platform_command("restore").await.unwrap();
    // An instance that starts now must not become ready with the text from the backup.
    cluster.restart_instance(2).unwrap();
    let url = cluster.instances[2].url();
    let admin = cluster.admin(2);
    wait_until("the restarted instance is ready", async || {
        let is_ready = common::get_status(&format!("{url}/readyz")).await == Ok(200);
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
    // The instances write the text to the platform again, under a new high version, so that a
    // cluster that starts without any earlier state also gets it.
    wait_until("the text is written to the platform again", async || {
        let shown = cluster.admin(0).text().await.unwrap();
        assert_eq!(shown.text, newer);
        shown.version > 1 << 40
    })
    .await
    .unwrap();
    let next = text_with(&cluster, 7_002);
    let base = cluster.admin(0).text().await.unwrap().version;
    submit_accepted(&cluster, 1, &edit(base, 12, &next)).await;
    wait_until("the next text is active on all instances", async || {
        all_have_text(&cluster, &next).await
    })
    .await
    .unwrap();
}

/// Guards against an edit that overwrites another because the version number it is based on was
/// assigned a second time after a restore.
#[actix_web::test]
async fn edit_based_on_version_before_restore_conflicts() {
    let cluster = common::cluster(2, 2).await;
    cluster.send_platform_command("copy").await.unwrap();
    let lost = text_with(&cluster, 7_001);
    let base = submit_accepted(&cluster, 0, &edit(1, 21, &lost)).await;
    wait_until("the text is active on all instances", async || {
        all_have_text(&cluster, &lost).await
    })
    .await
    .unwrap();
    cluster.send_platform_command("restore").await.unwrap();
    wait_until("the text is written to the platform again", async || {
        cluster.admin(0).text().await.unwrap().version > 1 << 40
    })
    .await
    .unwrap();
    let answer =
        cluster.admin(1).submit(&edit(base, 22, &text_with(&cluster, 7_002))).await.unwrap();
    assert!(matches!(answer, SubmitResponse::Conflict { .. }), "{answer:?}");
    assert!(all_have_text(&cluster, &lost).await);
}
