//! Tests of the operators' command line that run the actual binary.

mod common;

use std::process::{Command, Output};

use eelgrasspier_standin::fleet::Fleet;
use eelgrasspier_standin::process::find;

async fn eelgrasspier(fleet: &Fleet, args: &[&str]) -> Output {
    let mut command = Command::new(find("eelgrasspier").unwrap());
    command.args(args);
    command.env("EELGRASSPIER_INSTANCE", fleet.instances[0].url());
    command.env("EELGRASSPIER_TOKEN", eelgrasspier_standin::fleet::TOKEN);
    // Runs in a separate thread because this one drives the HTTP clients of the test.
    actix_web::web::block(move || command.output()).await.unwrap().unwrap()
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Checks and submits a text, then reads it, the status and the timeline of the edit, which
/// merges the events of all instances.
#[actix_web::test]
async fn an_operator_submits_a_text_and_reads_its_story() {
    let fleet = common::fleet(3, 2).await;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("text.ini").display().to_string();
    std::fs::write(&file, "[grid]\nslots = many\n").unwrap();
    let broken = eelgrasspier(&fleet, &["check", &file]).await;
    assert!(!broken.status.success());
    assert!(err(&broken).contains("line 2: slots = many"), "{}", err(&broken));

    std::fs::write(&file, fleet.text()).unwrap();
    let submit = ["submit", "--base", "1", "--wait", "--submitter", "ana", &file];
    let accepted = eelgrasspier(&fleet, &submit).await;
    assert!(accepted.status.success(), "{}", err(&accepted));
    assert!(out(&accepted).contains("accepted as version 2"), "{}", out(&accepted));
    assert!(out(&accepted).contains("in force on 3 of 3 instances"), "{}", out(&accepted));
    let again = eelgrasspier(&fleet, &submit).await;
    assert!(err(&again).contains("the text is at version 2 now"), "{}", err(&again));

    let shown = eelgrasspier(&fleet, &["show"]).await;
    assert_eq!((out(&shown), err(&shown).trim()), (fleet.text(), "version 2"));
    let status = out(&eelgrasspier(&fleet, &["status"]).await);
    assert_eq!(status.lines().filter(|l| l.contains("ready")).count(), 3, "{status}");

    let story = eelgrasspier(&fleet, &["timeline", "--about", "version 2"]).await;
    let story = out(&story);
    assert_eq!(story.matches("E201 operators' text in force").count(), 3, "{story}");
    let edit = out(&accepted).lines().find_map(|l| l.strip_prefix("edit ").map(str::to_owned));
    let about_edit = eelgrasspier(&fleet, &["timeline", "--about", &edit.unwrap()]).await;
    assert!(out(&about_edit).contains("E204 edit accepted"), "{}", out(&about_edit));
}

/// The timeline of a request id lists claim, send and answer of the run in this order.
#[actix_web::test]
async fn the_time_line_tells_what_became_of_a_run() {
    let fleet = common::fleet(2, 1).await;
    let key = common::key();
    let url = format!("{}/v1/services/{}/run", fleet.instances[1].url(), common::SERVICE);
    let headers = [("deadline-ms", "5000"), ("idempotency-key", key.as_str())];
    let reply = common::post(&url, &headers, vec![]).await.unwrap();
    assert_eq!(reply.status, 200);
    let story = out(&eelgrasspier(&fleet, &["timeline", "--about", &reply.request_id]).await);
    let place = |event: &str| story.find(event).unwrap_or_else(|| panic!("{event}: {story}"));
    assert!(place("E501") < place("E502") && place("E502") < place("E503"), "{story}");
}
