//! Whether the configuration in force is known to be current.

use eelgrasspier_decide::freshness::ConfigurationSources;

fn sources(
    store_answered_ms: Option<u64>,
    peer_heard_ms: Option<u64>,
    has_peer_with_store: bool,
) -> ConfigurationSources {
    ConfigurationSources {
        store_answered_ms,
        peer_heard_ms,
        has_peer_with_store,
        peer_confirmed_ms: peer_heard_ms.filter(|_| has_peer_with_store),
        is_outdated: false,
    }
}

/// Guards against a 401 for a key that this instance has not learned of yet.
#[test]
fn the_configuration_is_current_if_the_store_or_a_peer_confirms_it() {
    // Store answer, last message, whether a peer reaches the store; time; current; unconfirmed.
    let cases = [
        (None, None, false, 0, false, 0),
        (None, None, true, 10_000, false, 10_000),
        (Some(1_000), None, false, 3_999, true, 2_999),
        (Some(1_000), None, false, 4_000, false, 3_000),
        (None, Some(1_000), true, 2_499, true, 1_499),
        (None, Some(1_000), true, 2_500, false, 1_500),
        (None, Some(1_000), false, 1_001, false, 1_001),
        (Some(1_000), Some(9_000), true, 9_500, true, 500),
        (Some(1_000), Some(9_000), false, 9_500, false, 8_500),
        (Some(9_000), Some(1_000), true, 9_500, true, 500),
    ];
    for (store_answered_ms, peer_heard_ms, has_peer_with_store, now_ms, current, age_ms) in cases {
        let sources = sources(store_answered_ms, peer_heard_ms, has_peer_with_store);
        assert_eq!(sources.is_current(now_ms), current, "{sources:?} at {now_ms}");
        assert_eq!(sources.unconfirmed_ms(now_ms), age_ms, "{sources:?} at {now_ms}");
    }
}

/// Guards against other instances that trust a watcher for longer than the store's answer holds.
#[test]
fn a_watcher_reports_the_store_only_while_its_last_answer_is_recent() {
    for (store_answered_ms, now_ms, may_report) in [
        (None, 0, false),
        (Some(1_000), 1_000, true),
        (Some(1_000), 3_799, true),
        (Some(1_000), 3_800, false),
    ] {
        let sources = sources(store_answered_ms, Some(now_ms), true);
        assert_eq!(sources.may_report_watching(now_ms), may_report, "{sources:?} at {now_ms}");
    }
}

/// Guards against overflow, and against keys that become unknown or unusable as a clock stands.
#[test]
fn any_clock_is_accepted_and_recent_confirmations_count() {
    arbtest::arbtest(|u| {
        let sources = sources(u.arbitrary()?, u.arbitrary()?, u.arbitrary()?);
        for now_ms in [u.arbitrary()?, 0, u64::MAX] {
            if sources.is_current(now_ms) {
                assert!(sources.unconfirmed_ms(now_ms) < 3_000);
            }
        }
        if let Some(at_ms) = sources.store_answered_ms {
            assert!(sources.is_current(at_ms));
            assert_eq!(sources.unconfirmed_ms(at_ms).min(1), 0);
        }
        Ok(())
    });
}
