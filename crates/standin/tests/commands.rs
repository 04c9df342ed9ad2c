//! Tests of the operators' command line that run the actual binary.

mod common;

use std::process::{Command, Output};

use eelgrasspier_standin::cluster::TestCluster;
use eelgrasspier_standin::process::find_program;

async fn run_cli(cluster: &TestCluster, args: &[&str]) -> Output {
    let mut command = Command::new(find_program("eelgrasspier").unwrap());
    command.args(args);
    command.env("EELGRASSPIER_INSTANCE", cluster.instances[0].url());
    command.env("EELGRASSPIER_TOKEN", eelgrasspier_standin::cluster::ADMIN_TOKEN);
    // Runs in a separate thread because this one drives the HTTP clients of the test.
    actix_web::web::block(move || command.output()).await.unwrap().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Checks and submits a text, then reads the text, the status and the timeline.
///
/// The timeline merges the events of all instances: the edit is accepted, then the version takes
/// effect on each instance. The test checks that these events are listed, not their order.
#[actix_web::test]
async fn cli_submits_text_and_shows_timeline() {
    let cluster = common::cluster(3, 2).await;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("text.ini").display().to_string();
    std::fs::write(&file, "[grid]\nslots = many\n").unwrap();
    let broken = run_cli(&cluster, &["check", &file]).await;
    assert!(!broken.status.success());
    assert!(stderr(&broken).contains("line 2: slots = many"), "{}", stderr(&broken));

    std::fs::write(&file, cluster.text()).unwrap();
    let submit = ["submit", "--base", "1", "--wait", "--submitter", "ana", &file];
    let accepted = run_cli(&cluster, &submit).await;
    assert!(accepted.status.success(), "{}", stderr(&accepted));
    assert!(stdout(&accepted).contains("accepted as version 2"), "{}", stdout(&accepted));
    assert!(stdout(&accepted).contains("in force on 3 of 3 instances"), "{}", stdout(&accepted));
    let again = run_cli(&cluster, &submit).await;
    assert!(stderr(&again).contains("the text is at version 2 now"), "{}", stderr(&again));

    let shown = run_cli(&cluster, &["show"]).await;
    assert_eq!((stdout(&shown), stderr(&shown).trim()), (cluster.text(), "version 2"));
    let status = stdout(&run_cli(&cluster, &["status"]).await);
    assert_eq!(status.lines().filter(|l| l.contains("ready")).count(), 3, "{status}");

    let timeline = run_cli(&cluster, &["timeline", "--about", "version 2"]).await;
    let timeline = stdout(&timeline);
    assert_eq!(timeline.matches("E201 operators' text in force").count(), 3, "{timeline}");
    let edit = stdout(&accepted).lines().find_map(|l| l.strip_prefix("edit ").map(str::to_owned));
    let about_edit = run_cli(&cluster, &["timeline", "--about", &edit.unwrap()]).await;
    assert!(stdout(&about_edit).contains("E204 edit accepted"), "{}", stdout(&about_edit));
}

/// The timeline of a request id lists claim, send and answer of the run in this order.
#[actix_web::test]
async fn timeline_lists_run_events_in_order() {
    let cluster = common::cluster(2, 1).await;
    let key = common::new_key();
    let url = format!("{}/v1/services/{}/run", cluster.instances[1].url(), common::SERVICE);
    let headers = [("deadline-ms", "5000"), ("idempotency-key", key.as_str())];
    let reply = common::post(&url, &headers, vec![]).await.unwrap();
    assert_eq!(reply.status, 200);
    let timeline = stdout(&run_cli(&cluster, &["timeline", "--about", &reply.request_id]).await);
    let position =
        |event: &str| timeline.find(event).unwrap_or_else(|| panic!("{event}: {timeline}"));
    assert!(
        position("E501") < position("E502") && position("E502") < position("E503"),
        "{timeline}"
    );
}
