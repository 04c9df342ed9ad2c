//! Table of customers: invalid input and key lookup.

use eelgrasspier_decide::customers::{Customers, RateLimit, RawCustomer};

fn raw(name: &str, keys: &[&str], per_s: f64, burst: f64) -> RawCustomer {
    let keys = keys.iter().map(|&k| k.to_owned()).collect();
    RawCustomer { name: name.into(), keys, priority: None, per_s, burst }
}

fn names(customers: &Customers) -> Vec<&str> {
    customers.with_unusable_keys().iter().map(|n| &**n).collect()
}

fn holder<'a>(customers: &'a Customers, key: &str) -> Option<&'a str> {
    customers.find(key.as_bytes()).map(|c| &*c.name)
}

/// Guards against requests that are charged to the wrong customer of a shared key.
#[test]
fn a_shared_or_empty_key_is_accepted_for_nobody() {
    let table = vec![
        raw("a", &["shared", "own-a", "own-a"], 1.0, 1.0),
        raw("b", &["shared", "own-b"], 1.0, 1.0),
        raw("c", &["shared", ""], 1.0, 1.0),
        raw("d", &[], 1.0, 1.0),
    ];
    let customers = Customers::try_from(table).expect("the limits are valid");
    let found = ["shared", "", "own-a", "own-b"].map(|key| holder(&customers, key));
    assert_eq!(found, [None, None, Some("a"), Some("b")]);
    assert_eq!(names(&customers), ["a", "b", "c"]);
    assert_eq!(customers.len(), 4);
    assert!(customers.named("d").is_some());
}

/// Guards against a lookup that compares only the common length of two keys.
#[test]
fn a_key_that_is_a_prefix_of_another_is_distinct() {
    let table = vec![raw("a", &["key"], 0.0, 0.0), raw("b", &["key-1"], 0.0, 0.0)];
    let customers = Customers::try_from(table).expect("valid");
    let found = ["key", "key-1", "key-", "ke", "key-11"].map(|key| holder(&customers, key));
    assert_eq!(found, [Some("a"), Some("b"), None, None, None]);
    assert!(names(&customers).is_empty());
}

#[test]
fn invalid_limits_and_duplicates_are_rejected_by_name_and_field() {
    let beyond = 9_007_199_254_740_994.0;
    for bad in [-1.0, -f64::MIN_POSITIVE, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, beyond] {
        for (field, per_s, burst) in [("per_s", bad, 1.0), ("burst", 1.0, bad), ("burst", 0.0, bad)]
        {
            let error = Customers::try_from(vec![raw("acme", &["k"], per_s, burst)])
                .expect_err("the limit is invalid")
                .to_string();
            assert!(error.contains("acme") && error.contains(field), "{bad}: {error}");
        }
    }
    // The same name twice is an error even if both entries are equal.
    let twice = vec![raw("acme", &["k"], 1.0, 1.0), raw("acme", &["k"], 1.0, 1.0)];
    let error = Customers::try_from(twice).expect_err("listed twice").to_string();
    assert!(error.contains("acme") && error.contains("twice"), "{error}");
}

/// Guards against a small rate that rounds to 0, which means no limit.
#[test]
fn the_range_of_valid_limits_is_kept() {
    let largest = 9_007_199_254_740_992.0;
    let cases = [
        (0.0, 5.0, None),
        (-0.0, -0.0, None),
        (f64::MIN_POSITIVE, 0.0, Some((1, 0))),
        (0.0004, 0.0, Some((1, 0))),
        (0.5, 2.0, Some((500, 2))),
        (largest, largest, Some((9_007_199_254_740_992_000, 9_007_199_254_740_992))),
    ];
    for (per_s, burst, expected) in cases {
        let customers = Customers::try_from(vec![raw("a", &[], per_s, burst)]).expect("valid");
        let expected = expected.map(|(rate_milli, burst)| RateLimit { rate_milli, burst });
        assert_eq!(customers.named("a").and_then(|c| c.limit), expected, "{per_s} {burst}");
    }
}

/// No table panics, and each key is found for its only customer or for nobody.
#[test]
fn any_table_is_accepted_or_rejected() {
    arbtest::arbtest(|u| {
        let mut table = Vec::new();
        for _ in 0..u.int_in_range(0..=5)? {
            let keys: Vec<String> = u.arbitrary()?;
            let limits: [f64; 2] = if u.arbitrary()? { u.arbitrary()? } else { [1.0, 2.0] };
            let name: String = u.arbitrary()?;
            table.push(RawCustomer { keys, ..raw(&name, &[], limits[0], limits[1]) });
        }
        let Ok(customers) = Customers::try_from(table.clone()) else { return Ok(()) };
        assert_eq!(customers.len(), table.len());
        for key in table.iter().flat_map(|c| &c.keys).chain([&u.arbitrary::<String>()?]) {
            let holders: Vec<&str> =
                table.iter().filter(|c| c.keys.contains(key)).map(|c| &*c.name).collect();
            let expected =
                if key.is_empty() || holders.len() != 1 { None } else { Some(holders[0]) };
            assert_eq!(holder(&customers, key), expected, "{key:?}");
        }
        Ok(())
    });
}
