//! Retry budget over several instances and over restarts.

use eelgrasspier_decide::fleet_limit::SETTLE_DELAY_MS;
use eelgrasspier_decide::retry_budget::{RetryBudget, RetryLimits, SlackShare, slack_divisor};

const LIMITS: RetryLimits = RetryLimits { ratio_milli: 200, slack: 54, window_ms: 10_000 };

/// Takes all available retries for `seconds` at `per_s` requests per second; returns their number.
fn spend_all(
    budget: &mut RetryBudget,
    share: SlackShare,
    from_ms: u64,
    seconds: u64,
    per_s: u64,
) -> u64 {
    let mut taken = 0;
    for step in 0..seconds * per_s {
        let now_ms = from_ms + step * 1000 / per_s;
        budget.record_request(&LIMITS, now_ms);
        while budget.try_take(&LIMITS, share, now_ms) {
            taken += 1;
        }
    }
    taken
}

#[test]
fn seven_instances_at_full_budget_stay_within_the_limits() {
    let taken: u64 = (0..7)
        .map(|_| spend_all(&mut RetryBudget::default(), SlackShare::equal(7), 0, 10, 13))
        .sum();
    let allowed = 7 * 10 * 13 * LIMITS.ratio_milli / 1000 + LIMITS.slack;
    assert!(taken <= allowed, "{taken} of {allowed}");
    assert!(taken * 2 > allowed, "{taken} of {allowed} leaves most of the budget unused");
}

/// Guards against exceeding the limit in a window with a restart of all instances. A restarted
/// instance has lost its counts and may spend its part of the slack again.
#[test]
fn a_restart_of_all_in_the_middle_of_a_window_stays_within_it() {
    let before: u64 = (0..7)
        .map(|_| spend_all(&mut RetryBudget::default(), SlackShare::equal(7), 0, 5, 13))
        .sum();
    let after: u64 = (0..7)
        .map(|_| spend_all(&mut RetryBudget::default(), SlackShare::equal(7), 5_000, 5, 13))
        .sum();
    let allowed = 7 * 10 * 13 * LIMITS.ratio_milli / 1000 + LIMITS.slack;
    assert!(before + after <= allowed, "{before} + {after} of {allowed}");
}

/// Guards against each instance using the whole slack after a restart of all. Until gossip had
/// connected them, each counted itself as the only one, which gave 248 retries in ten seconds where
/// 242 were allowed. The number of instances assumed until then must keep the sum within the limit.
#[test]
fn instances_that_do_not_know_each_other_yet_stay_within_the_slack() {
    const ASSUMED_INSTANCES: u64 = 16;
    let taken: u64 = (0..7)
        .map(|_| {
            spend_all(&mut RetryBudget::default(), SlackShare::equal(ASSUMED_INSTANCES), 0, 1, 1)
        })
        .sum();
    assert!(taken <= LIMITS.slack / 2, "{taken}");
    let alone: u64 =
        (0..7).map(|_| spend_all(&mut RetryBudget::default(), SlackShare::equal(1), 0, 1, 1)).sum();
    assert!(alone > LIMITS.slack, "the whole slack for each should exceed the limit: {alone}");
}

#[test]
fn retries_outside_the_window_may_be_spent_again() {
    let mut budget = RetryBudget::default();
    let first = spend_all(&mut budget, SlackShare::equal(1), 0, 1, 1);
    assert!(first > 0);
    assert!(!budget.try_take(&LIMITS, SlackShare::equal(1), 5_000));
    assert!(budget.try_take(&LIMITS, SlackShare::equal(1), 12_000));
}

/// 18 of 195 instances gather and send nearly all retries.
#[test]
fn gatherers_share_most_of_the_slack_and_all_parts_together_fit() {
    let gathering = slack_divisor(195, 18);
    assert!(gathering < 25, "{gathering}");
    // 18 / gathering and a pool of a fifth are at most one.
    assert!(18 * 5 + gathering <= gathering * 5, "{gathering}");
    assert_eq!(SlackShare::of_pool(true, true), SlackShare::of_holder(5, true));
    // If all instances gather, all have the same part.
    assert_eq!(slack_divisor(7, 7), 7);
}

/// Guards against exceeding the limit when all instances that hold connections are lost at once.
/// Those that take over have not counted what their predecessors spent in the same window.
#[test]
fn the_successors_of_all_holders_stay_within_the_limit() {
    let divisor = slack_divisor(102, 3);
    let spend = |share, from_ms| spend_all(&mut RetryBudget::default(), share, from_ms, 5, 4);
    let holder = |is_established| SlackShare::of_holder(divisor, is_established);
    let lent =
        lend_all(true, 20_000, 25_000, 0).len() + lend_all(true, 25_000, 30_000, 25_000).len();
    let taken: u64 = (0..3)
        .map(|_| spend(holder(true), 0) + spend(holder(false), 5_000))
        .chain((0..99).map(|_| spend(SlackShare::none(), 0)))
        .chain([lent as u64])
        .sum();
    let requests = (6 + 99) * 5 * 4;
    let allowed = requests * LIMITS.ratio_milli / 1000 + LIMITS.slack;
    assert!(taken <= allowed, "{taken} of {allowed}");
}

/// Takes all that a pool lends from `from_ms` on, until a second owner takes over at `until_ms`.
fn lend_all(has_holders: bool, from_ms: u64, until_ms: u64, changed_at_ms: u64) -> Vec<u64> {
    let mut pool = RetryBudget::default();
    let mut lent_ms = Vec::new();
    for now_ms in (from_ms..until_ms).step_by(100) {
        let share = SlackShare::of_pool(has_holders, LIMITS.is_established(changed_at_ms, now_ms));
        while pool.try_take(&LIMITS.of_pool(), share, now_ms) {
            lent_ms.push(now_ms);
        }
    }
    lent_ms
}

/// Guards against exceeding the limit when the owner of a pool is lost. Its successor has not
/// counted what it lent in the same window, also until it learned of the change.
#[test]
fn a_pool_stays_within_the_slack_over_a_change_of_its_owner() {
    for (has_holders, slack) in [(false, LIMITS.slack / 3), (true, LIMITS.slack / 5)] {
        for changed_at_ms in (20_000..30_000).step_by(700) {
            let learned_at_ms = changed_at_ms + SETTLE_DELAY_MS;
            let mut lent_ms = lend_all(has_holders, 0, learned_at_ms, 0);
            lent_ms.extend(lend_all(has_holders, changed_at_ms, 50_000, changed_at_ms));
            let lent_in_window = |from_ms: u64| {
                let window = from_ms..from_ms + LIMITS.window_ms;
                lent_ms.iter().filter(|at_ms| window.contains(at_ms)).count() as u64
            };
            let most = (0..40_000).step_by(100).map(lent_in_window).max().unwrap();
            assert!(most <= slack && 2 * most > slack, "{most} of {slack}, {changed_at_ms}");
        }
    }
}

/// Guards against exceeding the limit when all instances restart and have lost their counts.
#[test]
fn holders_and_pool_stay_within_the_slack_over_a_restart_of_all() {
    let divisor = slack_divisor(102, 3);
    let taken: u64 = [true, false]
        .into_iter()
        .map(|is_established| {
            let mut pool = RetryBudget::default();
            let share = SlackShare::of_pool(true, is_established);
            let lent =
                (0..LIMITS.slack).filter(|_| pool.try_take(&LIMITS.of_pool(), share, 0)).count();
            let holder = SlackShare::of_holder(divisor, is_established);
            let no_requests = RetryLimits { ratio_milli: 0, ..LIMITS };
            let mut budget = RetryBudget::default();
            let by_holder =
                (0..LIMITS.slack).filter(|_| budget.try_take(&no_requests, holder, 0)).count();
            (lent + 3 * by_holder) as u64
        })
        .sum();
    assert!(taken <= LIMITS.slack && 2 * taken > LIMITS.slack, "{taken} of {}", LIMITS.slack);
    assert!(!RetryBudget::default().try_take(&LIMITS, SlackShare::none(), 0));
}

/// Guards against exceeding the limit when a service becomes a shard of a route: the pool of a
/// service without holders was the whole slack, and its holders used their part in the same window.
#[test]
fn a_service_that_becomes_a_shard_stays_within_the_slack() {
    let no_requests = RetryLimits { ratio_milli: 0, ..LIMITS };
    let spend = |share| {
        let mut budget = RetryBudget::default();
        (0..LIMITS.slack).filter(|_| budget.try_take(&no_requests, share, 0)).count() as u64
    };
    let holder = SlackShare::of_holder(slack_divisor(102, 3), true);
    let taken = [SlackShare::of_pool(false, true), SlackShare::of_pool(true, true)]
        .into_iter()
        .chain([holder; 3])
        .map(spend)
        .sum::<u64>();
    assert!(taken <= LIMITS.slack && 2 * taken > LIMITS.slack, "{taken} of {}", LIMITS.slack);
}
