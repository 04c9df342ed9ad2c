//! Checks the event catalogue against the documentation, and the example settings.

use std::collections::BTreeSet;
use std::path::Path;

use eelgrasspier::Settings;
use eelgrasspier::event::CATALOGUE;

#[test]
fn event_catalogue_matches_docs() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let listed: BTreeSet<(u16, String, String)> = text
        .lines()
        .filter_map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let number = cells.get(1)?.parse().ok()?;
            Some((number, cells.get(2)?.to_string(), cells.get(3)?.to_string()))
        })
        .collect();
    let coded: BTreeSet<(u16, String, String)> = CATALOGUE
        .iter()
        .map(|e| (e.number, e.level.to_string().to_lowercase(), e.title.to_owned()))
        .collect();
    assert_eq!(coded.len(), CATALOGUE.len(), "duplicate event number");
    assert_eq!(listed, coded);
}

#[test]
fn example_settings_parse_and_errors_name_the_setting() {
    let example = include_str!("../../../examples/instance.ini");
    let settings = Settings::try_from(example).unwrap();
    assert_eq!((settings.name.as_str(), settings.zone.as_str()), ("entry-1", "pos-hall"));
    for (wrong, expected) in [
        (example.replace("zone = pos-hall\n", ""), "[instance] zone is missing"),
        (example.replace("lame_duck_ms = 5000", "lame_duck_ms = 5s"), "lame_duck_ms = 5s"),
        (example.replace("seeds =", "seed ="), "[instance] seed is an unknown setting"),
        (example.replace("name = entry-1", "name = Entry 1"), "name = Entry 1 is invalid"),
    ] {
        let error = Settings::try_from(wrong.as_str()).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}
