//! Checks that the event catalogue, the log lines in the sources and the docs agree.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use eelgrasspier_router::events::{CATALOGUE, number_of};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_sources(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") && !path.ends_with("events.rs") {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

#[test]
fn catalogue_has_exactly_the_events_in_the_sources() {
    let mut text = String::new();
    read_sources(&root().join("crates/router/src"), &mut text);
    read_sources(&root().join("crates/peer/src"), &mut text);
    read_sources(&root().join("crates/caller/src"), &mut text);
    read_sources(&root().join("platform/src"), &mut text);
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    let mut event_names: BTreeSet<String> = text
        .split("event=")
        .skip(1)
        .map(|rest| rest.chars().take_while(|&c| is_name(c)).collect())
        .filter(|name: &String| !name.is_empty())
        .collect();
    // The outcome of a request supplies these event names at run time.
    event_names.extend(["merged", "relayed", "refused"].map(str::to_owned));
    let known: BTreeSet<String> = CATALOGUE.iter().map(|e| e.name.to_owned()).collect();
    assert_eq!(event_names, known);
    assert_eq!(number_of("event=merged id=1"), Some(751));
    assert_eq!(number_of("something else"), None);
}

#[test]
fn docs_list_every_event_with_its_number() {
    let text = std::fs::read_to_string(root().join("docs/ROUTER-EVENTS.md")).unwrap();
    for event in CATALOGUE {
        let start = format!("| {} | {} |", event.number, event.name);
        assert!(text.lines().any(|line| line.starts_with(&start)), "{start}");
    }
}

#[test]
fn docs_list_every_router_metric() {
    let docs = std::fs::read_to_string(root().join("docs/METRICS.md")).unwrap();
    let mut text = String::new();
    read_sources(&root().join("crates/router/src"), &mut text);
    read_sources(&root().join("crates/caller/src"), &mut text);
    read_sources(&root().join("platform/src"), &mut text);
    let names = text.split('"').filter(|part| part.starts_with("eelgrasspier_"));
    for name in names {
        assert!(docs.contains(name), "{name}");
    }
}
