//! Parsing of the operators' configuration text; every error is reported with its line.

use eelgrasspier_decide::prelude::Services;

fn errors(text: &str) -> Vec<String> {
    match Services::try_from(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_service_is_parsed() {
    let text = "[grid]\nconnections = 25\nrun_connections = 5\nteams = a:3, b\n\
                shard.0 = z1@10.0.0.1:80, z2@10.0.0.2:80\nshard.1 = z1@10.0.0.3:80\n";
    let services = Services::try_from(text).unwrap();
    let grid = &services.by_name["grid"];
    assert_eq!(grid.shards.iter().map(Vec::len).collect::<Vec<_>>(), [2, 1]);
    assert_eq!(grid.shards[0][1].zone, "z2");
    assert_eq!((grid.connections, grid.run_connections, grid.slots), (25, 5, 2));
    assert_eq!((grid.teams["a"], grid.teams["b"]), (3, 1));
}

#[test]
fn every_error_is_reported_with_its_line() {
    let text = "\
[grid]
connections = 25ms
colour = blue
slots = 0
slots = 2
shard.0 = z1@10.0.0.1:80, z1@10.0.0.1:80
shard.2 = nowhere
depends_on = maps

[Bad Name]
[portal]
shard.0 = z@10.0.0.2:80
run_connections = 25
deadline_ms = 500
max_deadline_ms = 100
";
    let expected = [
        "line 1: shard 1 is missing though later ones are listed",
        "line 2: connections = 25ms: expected a whole number without a unit",
        "line 3: colour is not a setting of a service",
        "line 4: slots = 0: expected a number within the allowed range",
        "line 5: slots is set twice",
        "line 6: replica 10.0.0.1:80 is listed twice",
        "line 7: shard.2 = nowhere: expected a list of availability-zone@address:port",
        "line 8: unknown dependency maps",
        "line 10: Bad Name is not a name of lower-case letters, digits and hyphens",
        "line 13: run_connections = 25: expected fewer than connections",
        "line 14: deadline_ms is above max_deadline_ms",
    ];
    let found = errors(text);
    for line in expected {
        assert!(found.contains(&line.to_owned()), "{line}\nnot in {found:#?}");
    }
}

#[test]
fn cycles_and_duplicates_are_reported() {
    let shard = "shard.0 = z@10.0.0.1:80\n";
    let text = format!("[a]\n{shard}depends_on = b\n[b]\n{shard}depends_on = a\n[a]\n{shard}");
    let found = errors(&text);
    assert!(found.iter().any(|e| e.contains("cycle: a -> b -> a")), "{found:?}");
    assert!(found.contains(&"line 7: service a is listed twice".to_owned()), "{found:?}");
    assert_eq!(errors(""), ["line 1: the text lists no service"]);
    assert!(errors("[a\n")[0].starts_with("line "), "{:?}", errors("[a\n"));
}

/// The example configurations are valid and have the expected sizes.
#[test]
fn the_examples_are_valid() {
    let sizes = |text: &str| -> Vec<(String, usize, usize)> {
        let services = Services::try_from(text).unwrap_or_else(|e| panic!("{e}"));
        let size = |s: &std::sync::Arc<eelgrasspier_decide::service_config::Service>| {
            (s.name.clone(), s.shards.len(), s.shards[0].len())
        };
        services.by_name.values().map(size).collect()
    };
    let expected = |list: [(&str, usize, usize); 4]| {
        list.map(|(name, shards, replicas)| (name.to_owned(), shards, replicas)).to_vec()
    };
    assert_eq!(
        sizes(include_str!("../../../examples/tt-north.ini")),
        expected([
            ("ad-reports", 1, 4),
            ("detail-page", 1, 5),
            ("grid-builder", 20, 2),
            ("member-portal", 30, 2),
        ])
    );
    assert_eq!(
        sizes(include_str!("../../../examples/bogota.ini")),
        expected([
            ("avisos", 1, 3),
            ("emparejar", 20, 2),
            ("itinerarios", 30, 2),
            ("soporte", 1, 3),
        ])
    );
}
