//! Invariants of the decisions over arbitrary inputs.

use std::collections::BTreeSet;

use arbtest::arbtest;
use eelgrasspier_decide::claim::{Bucket, BucketChange, ClaimResult, Key};
use eelgrasspier_decide::hedge::LatencyQuantile;
use eelgrasspier_decide::prelude::Services;
use eelgrasspier_decide::replica::{Candidate, SelectionPolicy, select_replica};
use eelgrasspier_decide::share;
use eelgrasspier_decide::snapshot::{HeldVersion, SnapshotCatalog};
use eelgrasspier_decide::token_bucket::TokenBucket;

/// For any members and limit, the shares of one replica never exceed the limit, and if there are
/// enough connections every member gets one.
#[test]
fn connection_shares_stay_within_the_limit() {
    arbtest(|u| {
        let members: BTreeSet<u64> = u.arbitrary()?;
        let members: Vec<u64> = members.into_iter().collect();
        let limit = u.int_in_range(0..=40)?;
        let replica = u.arbitrary()?;
        let shares: Vec<u32> =
            members.iter().map(|&m| share::share_of(&members, m, replica, limit)).collect();
        assert!(shares.iter().sum::<u32>() <= limit);
        if members.len() <= limit as usize {
            assert!(shares.iter().all(|&s| s > 0));
        } else {
            assert_eq!(shares.iter().sum::<u32>(), limit);
        }
        Ok(())
    });
}

/// Extra work is bounded by a percentage of the ordinary work plus the burst.
#[test]
fn extra_work_stays_within_the_budget() {
    arbtest(|u| {
        let percent = u.int_in_range(0..=100)?;
        let burst = u.int_in_range(0..=50)?;
        let mut budget = TokenBucket::new(percent, burst);
        let (mut ordinary, mut extra) = (0_u64, 0_u64);
        for _ in 0..u.int_in_range(0..=400)? {
            if u.arbitrary()? {
                budget.earn();
                ordinary += 1;
            } else if budget.try_take() {
                extra += 1;
            }
        }
        assert!(extra * 100 <= ordinary * u64::from(percent) + u64::from(burst) * 100);
        assert!(percent > 0 || extra == 0);
        Ok(())
    });
}

/// A claimed key is never granted to another attempt, whatever is applied to the bucket, unless its
/// holder released it.
#[test]
fn a_claimed_key_is_never_granted_again() {
    arbtest(|u| {
        let key = Key(u128::from(u.arbitrary::<u16>()?) << 80);
        let mut bucket = Bucket::default().with_changes(&[BucketChange::Claim(key, 1)]);
        for _ in 0..u.int_in_range(0..=20)? {
            match u.int_in_range(0..=2)? {
                0 => bucket = bucket.with_changes(&[BucketChange::Claim(key, 2)]),
                1 => bucket = bucket.with_changes(&[BucketChange::Release(key, 2)]),
                _ => bucket.raise_floor(u.int_in_range(0..=70_000)?, u.int_in_range(0..=3)?),
            }
            assert_ne!(bucket.outcome(key, 2), Some(ClaimResult::Granted));
        }
        Ok(())
    });
}

/// The selected snapshot is the newest complete one that all dependencies hold, if there is any.
#[test]
fn the_newest_complete_snapshot_is_selected() {
    arbtest(|u| {
        let mut catalog = SnapshotCatalog::default();
        let mut reports = Vec::new();
        for _ in 0..u.int_in_range(0..=12)? {
            let shard = u.int_in_range(0..=3)?;
            let held = HeldVersion {
                version: u.int_in_range(1..=3)?,
                shard_count: u.int_in_range(1..=4)?,
            };
            catalog.add(shard, &[held]);
            reports.push((shard, held));
        }
        let is_complete = |held: &HeldVersion| {
            (0..held.shard_count).all(|shard| reports.contains(&(shard, *held)))
        };
        let complete: Vec<u64> =
            reports.iter().filter(|(_, h)| is_complete(h)).map(|(_, h)| h.version).collect();
        let chosen = catalog.select(&[]);
        match complete.iter().max() {
            Some(&newest) => {
                let chosen = chosen.expect("a complete snapshot exists");
                assert!(chosen.is_complete());
                assert_eq!(chosen.version, newest);
            }
            None => assert!(chosen.is_none_or(|c| !c.is_complete())),
        }
        Ok(())
    });
}

/// A tracked quantile is never below the true one, and at most an eighth above it.
#[test]
fn quantiles_are_close_from_above() {
    arbtest(|u| {
        let mut quantile = LatencyQuantile::default();
        let mut values: Vec<u64> = Vec::new();
        for _ in 0..200 {
            let value = u64::from(u.int_in_range(1..=1_000_000_u32)?);
            quantile.record(value);
            values.push(value);
        }
        values.sort_unstable();
        let truth = values[values.len() * 9 / 10];
        let tracked = quantile.value_us(900).expect("enough parts");
        assert!(tracked >= truth && tracked <= truth + truth / 8 + 2, "{tracked} for {truth}");
        Ok(())
    });
}

/// The selected replica is one of the candidates, and by lowest cost none is cheaper.
#[test]
fn the_cheapest_candidate_is_selected() {
    arbtest(|u| {
        let count = u.int_in_range(0..=5)?;
        let mut candidates = Vec::new();
        for index in 0..count {
            let cost_us = u64::from(u.arbitrary::<u32>()?);
            candidates.push(Candidate { index, cost_us, is_same_zone: true });
        }
        let picked = select_replica(&candidates, SelectionPolicy::LeastCost, u.arbitrary()?);
        assert_eq!(picked.is_none(), candidates.is_empty());
        let cheapest = candidates.iter().map(|c| c.cost_us).min();
        assert_eq!(picked.map(|i| candidates[i].cost_us), cheapest);
        Ok(())
    });
}

/// Any text is either accepted or rejected with at least one error, each with an existing line.
#[test]
fn any_text_is_accepted_or_rejected_with_a_line() {
    arbtest(|u| {
        let fragments =
            ["[a]\n", "[b]\n", "shard.0 = z@1.2.3.4:5\n", "depends_on = b\n", "x", "=\n"];
        let mut text = String::new();
        for _ in 0..u.int_in_range(0..=12)? {
            text.push_str(u.choose(&fragments)?);
        }
        if let Err(errors) = Services::try_from(text.as_str()) {
            let lines = text.lines().count().max(1);
            assert!(!errors.0.is_empty());
            assert!(errors.0.iter().all(|e| e.line >= 1 && e.line <= lines + 1), "{text}{errors}");
        }
        Ok(())
    });
}
