//! Which requests may run, by their API key and the state of the configuration.

use eelgrasspier_decide::authentication::{KeyCheck, KeyRefusal, PresentedKey};
use eelgrasspier_decide::customers::{Customers, RawCustomer};
use eelgrasspier_decide::freshness::{ConfigurationSources, PeerReports};

const NOW_MS: u64 = 100_000;

fn customer(name: &str, keys: &[&str]) -> RawCustomer {
    RawCustomer {
        name: name.into(),
        keys: keys.iter().map(|&k| k.to_owned()).collect(),
        priority: None,
        per_s: 0.0,
        burst: 0.0,
    }
}

fn customers() -> Customers {
    vec![customer("a", &["key-a"]), customer("b", &["both"]), customer("c", &["both", ""])]
        .try_into()
        .unwrap()
}

fn confirmed_before(ms: u64) -> ConfigurationSources {
    let store_answered_ms = Some(NOW_MS - ms);
    ConfigurationSources { store_answered_ms, ..ConfigurationSources::default() }
}

fn decide(
    key: PresentedKey<'_>,
    is_public: bool,
    sources: ConfigurationSources,
    revocation_timeout_ms: Option<u64>,
) -> Result<Option<String>, KeyRefusal> {
    let customers = customers();
    let check = KeyCheck {
        customers: &customers,
        sources: &sources,
        revocation_timeout_ms,
        now_ms: NOW_MS,
    };
    check.authenticate(key, is_public).map(|c| c.map(|c| c.name.to_string()))
}

#[test]
fn each_row_of_the_decision_table_holds() {
    let key = |text: &'static str| PresentedKey::Key(text.as_bytes());
    let (known, unknown, shared) = (key("key-a"), key("key-x"), key("both"));
    let (current, stale) = (confirmed_before(100), confirmed_before(8_000));
    let (missing, malformed) = (PresentedKey::Missing, PresentedKey::Malformed);
    let name = || Ok(Some("a".to_owned()));
    for (presented, sources, timeout_ms, expected, on_public) in [
        (known, current, None, name(), name()),
        (known, stale, None, name(), name()),
        (known, current, Some(5_000), name(), name()),
        (known, stale, Some(5_000), Err(KeyRefusal::Unconfirmed), Ok(None)),
        (unknown, current, None, Err(KeyRefusal::Unknown), Ok(None)),
        (unknown, stale, None, Err(KeyRefusal::NotCurrent), Ok(None)),
        (unknown, stale, Some(5_000), Err(KeyRefusal::Unconfirmed), Ok(None)),
        (unknown, current, Some(5_000), Err(KeyRefusal::Unknown), Ok(None)),
        (shared, current, None, Err(KeyRefusal::Unknown), Ok(None)),
        (key(""), current, None, Err(KeyRefusal::Unknown), Ok(None)),
        (missing, current, None, Err(KeyRefusal::Missing), Ok(None)),
        (missing, stale, Some(5_000), Err(KeyRefusal::Missing), Ok(None)),
        (malformed, stale, None, Err(KeyRefusal::Malformed), Ok(None)),
    ] {
        let case = format!("{presented:?} {sources:?} {timeout_ms:?}");
        assert_eq!(decide(presented, false, sources, timeout_ms), expected, "{case}");
        assert_eq!(decide(presented, true, sources, timeout_ms), on_public, "public: {case}");
    }
}

/// A configuration known not to be the latest must not refuse a key for good: the key may have been
/// added since. The same holds after a restore of the store that has not been read yet.
#[test]
fn an_outdated_configuration_never_gives_401_for_a_key() {
    let sources = ConfigurationSources { is_outdated: true, ..confirmed_before(0) };
    let decision = decide(PresentedKey::Key(b"key-x"), false, sources, None);
    assert_eq!(decision, Err(KeyRefusal::NotCurrent));
}

/// An instance that other instances confirmed until now must not refuse all keys at the moment when
/// the store is lost. Its own last answer of the store may be minutes old.
#[test]
fn the_revocation_timeout_counts_from_the_last_confirmation_of_any_source() {
    let sources = ConfigurationSources {
        peer_heard_ms: Some(NOW_MS),
        peer_confirmed_ms: Some(NOW_MS - 4_999),
        ..confirmed_before(60_000)
    };
    let key = PresentedKey::Key(b"key-a");
    assert_eq!(decide(key, false, sources, Some(5_000)), Ok(Some("a".to_owned())));
    let sources = ConfigurationSources { peer_confirmed_ms: Some(NOW_MS - 5_000), ..sources };
    assert_eq!(decide(key, false, sources, Some(5_000)), Err(KeyRefusal::Unconfirmed));
}

/// After a pause or a partition, old messages must not confirm the configuration: a key that was
/// added meanwhile would get 401.
#[test]
fn reports_count_again_three_probe_rounds_after_a_silence() {
    let mut reports = PeerReports::default();
    assert!(!reports.are_recent(10_000));
    assert!(reports.record_message(10_000));
    assert!(!reports.record_message(11_000) && !reports.are_recent(11_499));
    assert!(!reports.record_message(12_000) && reports.are_recent(12_000));
    assert!(reports.record_message(13_500) && !reports.are_recent(13_500));
    assert!(!reports.record_message(14_999) && !reports.are_recent(14_999));
    assert!(reports.are_recent(15_000));
}

/// Arbitrary keys, limits and times must not panic, and nobody may use a key that two customers
/// have.
#[test]
fn arbitrary_customers_and_keys_are_decided() {
    arbtest::arbtest(|u| {
        let mut raw = Vec::new();
        for i in 0..u.int_in_range(0..=4)? {
            raw.push(RawCustomer {
                name: if u.ratio(1, 8)? { "same".into() } else { format!("c{i}").into() },
                keys: u.arbitrary()?,
                priority: u.arbitrary()?,
                per_s: u.arbitrary()?,
                burst: u.arbitrary()?,
            });
        }
        let key: Vec<u8> = match raw.first().and_then(|c| c.keys.first()) {
            Some(key) if u.arbitrary()? => key.clone().into_bytes(),
            _ => u.arbitrary()?,
        };
        let Ok(customers) = Customers::try_from(raw.clone()) else { return Ok(()) };
        let sources = ConfigurationSources {
            store_answered_ms: u.arbitrary()?,
            peer_heard_ms: u.arbitrary()?,
            has_peer_with_store: u.arbitrary()?,
            peer_confirmed_ms: u.arbitrary()?,
            is_outdated: u.arbitrary()?,
        };
        let check = KeyCheck {
            customers: &customers,
            sources: &sources,
            revocation_timeout_ms: u.arbitrary()?,
            now_ms: u.arbitrary()?,
        };
        let decision = check.authenticate(PresentedKey::Key(&key), u.arbitrary()?);
        let has_key = |c: &&RawCustomer| c.keys.iter().any(|k| k.as_bytes() == key);
        let holders: Vec<&RawCustomer> = raw.iter().filter(has_key).collect();
        if let Ok(Some(customer)) = decision {
            assert!(!key.is_empty() && holders.len() == 1 && holders[0].name == customer.name);
        }
        if decision == Err(KeyRefusal::Unknown) {
            assert!(sources.is_current(check.now_ms));
            assert!(key.is_empty() || holders.len() != 1, "a known key got 401");
        }
        Ok(())
    });
}
