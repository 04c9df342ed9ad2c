//! Configuration updates under races, lost answers, restarts and outages.

mod common;

use eelgrasspier_operator::{SubmitRequest, SubmitResponse};
use eelgrasspier_standin::cluster::{TestCluster, wait_until};
use eelgrasspier_standin::platform::Faults;
use futures_util::future::join;

fn edit(base: u64, edit_id: u64, text: &str) -> SubmitRequest {
    SubmitRequest { edit_id, base, submitter: "test".to_owned(), text: text.to_owned() }
}

async fn wait_for_version(cluster: &TestCluster, version: u64) {
    let count = cluster.instances.len();
    cluster
        .wait_status(&format!("version {version} is active on all instances"), |all| {
            all.len() == count && all.iter().all(|s| s.config_version == Some(version))
        })
        .await
        .unwrap();
}

/// Guards against lost edits: two operators submit edits of the same version concurrently.
/// An update that is not conditional on the version would overwrite the other edit.
#[actix_web::test]
async fn concurrent_edits_conflict() {
    let cluster = common::cluster(3, 2).await;
    for round in 0..5 {
        let base = round + 1;
        let text = cluster.text();
        let (one, two) = (edit(base, 2 * round + 100, &text), edit(base, 2 * round + 101, &text));
        let (first, second) = (cluster.admin(0), cluster.admin(1));
        let (a, b) = join(first.submit(&one), second.submit(&two)).await;
        let (a, b) = (a.unwrap(), b.unwrap());
        let accepted = SubmitResponse::Accepted { version: base + 1 };
        let conflict = SubmitResponse::Conflict { version: base + 1 };
        let pairs = [(accepted.clone(), conflict.clone()), (conflict, accepted)];
        assert!(pairs.contains(&(a.clone(), b.clone())), "{a:?} {b:?}");
        wait_for_version(&cluster, base + 1).await;
    }
}

/// Guards against an edit that conflicts with itself: the update takes effect, its answer is
/// lost, and the retry finds the text changed. The edit id identifies it as the same edit.
#[actix_web::test]
async fn edit_with_lost_answer_is_recognized() {
    let cluster = common::cluster(2, 2).await;
    let lost = Faults { lost_updates: 1, ..Faults::default() };
    cluster.set_platform_faults(&lost).await.unwrap();
    let answer = cluster.admin(0).submit(&edit(1, 7, &cluster.text())).await.unwrap();
    assert_eq!(answer, SubmitResponse::Accepted { version: 2 });
    // Submitting the same edit again, as after a lost connection, changes nothing.
    let again = cluster.admin(1).submit(&edit(1, 7, &cluster.text())).await.unwrap();
    assert_eq!(again, SubmitResponse::Accepted { version: 2 });
    wait_for_version(&cluster, 2).await;
}

/// Guards against requests to a removed replica after a restart: version 2 is active, and an
/// instance restarts while the platform serves a stale answer or none. An instance that reads
/// only from the platform would load version 1 or no text.
#[actix_web::test]
async fn restarted_instance_gets_newest_text_from_peers() {
    let mut cluster = common::cluster(3, 2).await;
    cluster.submit(1, 8, &cluster.text()).await.unwrap();
    wait_for_version(&cluster, 2).await;
    for faults in [
        Faults { is_stale: true, ..Faults::default() },
        Faults { is_down: true, ..Faults::default() },
    ] {
        cluster.set_platform_faults(&faults).await.unwrap();
        cluster.restart_instance(2).unwrap();
        let url = cluster.instances[2].url();
        let admin = cluster.admin(2);
        wait_until("the restarted instance is ready", async || {
            let is_ready = common::get_status(&format!("{url}/readyz")).await == Ok(200);
            if is_ready {
                let shown = admin.text().await.unwrap();
                assert_eq!(shown.version, 2, "instance is ready with an outdated text");
            }
            is_ready
        })
        .await
        .unwrap();
    }
}

/// Texts with errors and edits without a valid token are refused and change nothing.
#[actix_web::test]
async fn invalid_texts_and_tokens_are_refused() {
    let cluster = common::cluster(1, 1).await;
    let broken = cluster.admin(0).submit(&edit(1, 9, "[a]\ndepends_on = b\n")).await.unwrap();
    let SubmitResponse::Broken { errors } = broken else { panic!("{broken:?}") };
    assert!(errors.contains("line 2: unknown dependency b"), "{errors}");
    let unauthorized_client =
        eelgrasspier_operator::AdminClient::new(&cluster.instances[0].url(), Some("x"));
    let answer = unauthorized_client.submit(&edit(1, 10, &cluster.text())).await.unwrap();
    assert_eq!(answer, SubmitResponse::Forbidden);
    assert_eq!(cluster.admin(0).text().await.unwrap().version, 1);
}
