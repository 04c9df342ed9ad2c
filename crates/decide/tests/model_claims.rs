//! Model check of claims.
//!
//! The model has two attempts at one key, an owner that claims on behalf of an attempt, lost
//! answers, delays of any length, abandoned attempts, releases and clean-up. Its transitions call
//! the production code. Every reachable state is visited; disabling any rule must lead to a second
//! run.

use eelgrasspier_decide::claim::{Attempt, Bucket, BucketChange, ClaimResult, Key};
use pathfinding::prelude::bfs;

const KEY: Key = Key(7 << 80);
const NONCES: [u64; 2] = [11, 22];

/// Rule that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Updates are not conditional on the version that was read.
    Unconditional,
    /// A lost answer is assumed to be a success.
    TrustsLostAnswer,
    /// The owner releases a claim that it made on behalf of an attempt.
    OwnerReleases,
    /// Old claims are dropped without raising the floor.
    NoFloor,
    /// The permission to send is not used up.
    SendsAgain,
    /// A claim is released by an attempt that may still send.
    ReleasesWhileHolding,
}

/// Update in flight to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Update {
    /// Attempt that made it; `None` for the owner and the clean-up.
    by: Option<usize>,
    expected: u32,
    bucket: Bucket,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Actor {
    attempt: Attempt,
    /// Last read version; cleared if an answer is lost or in conflict.
    read: Option<(u32, Bucket)>,
    is_waiting: bool,
    releases: bool,
    runs: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct System {
    version: u32,
    bucket: Bucket,
    updates: Vec<Update>,
    actors: [Actor; 2],
    /// True until the owner has claimed; this and the next two steps each happen at most once.
    can_owner_claim: bool,
    can_owner_release: bool,
    can_clean_up: bool,
}

impl System {
    fn initial() -> Self {
        let actor = Actor {
            attempt: Attempt::Claiming,
            read: None,
            is_waiting: false,
            releases: false,
            runs: 0,
        };
        Self {
            version: 0,
            bucket: Bucket::default(),
            updates: Vec::new(),
            actors: [actor.clone(), actor],
            can_owner_claim: true,
            can_owner_release: true,
            can_clean_up: true,
        }
    }

    fn has_second_run(&self) -> bool {
        self.actors.iter().map(|a| a.runs).sum::<u8>() > 1
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut next = Vec::new();
        for i in 0..self.actors.len() {
            self.actor_steps(i, mutant, &mut next);
        }
        self.delivery_steps(mutant, &mut next);
        self.owner_steps(mutant, &mut next);
        self.clean_up_steps(mutant, &mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn actor_steps(&self, i: usize, mutant: Mutant, next: &mut Vec<Self>) {
        let actor = &self.actors[i];
        if actor.read.is_none() && !actor.is_waiting {
            next.push(self.with(|s| s.read(i)));
        }
        if let Some((version, bucket)) = &actor.read
            && !actor.is_waiting
        {
            let next_change = match actor.attempt {
                Attempt::Claiming if bucket.outcome(KEY, NONCES[i]).is_none() => {
                    Some(BucketChange::Claim(KEY, NONCES[i]))
                }
                Attempt::Abandoned if actor.releases => Some(BucketChange::Release(KEY, NONCES[i])),
                Attempt::Claimed if mutant == Mutant::ReleasesWhileHolding => {
                    Some(BucketChange::Release(KEY, NONCES[i]))
                }
                _ => None,
            };
            if let Some(change) = next_change {
                let bucket = bucket.with_changes(&[change]);
                let update = Update { by: Some(i), expected: *version, bucket };
                next.push(self.with(|s| {
                    s.updates.push(update);
                    s.actors[i].is_waiting = true;
                }));
            }
        }
        if actor.attempt == Attempt::Claiming || actor.attempt == Attempt::Claimed {
            next.push(self.with(|s| {
                s.actors[i].attempt = s.actors[i].attempt.abandon();
                s.actors[i].releases = true;
                s.actors[i].is_waiting = false;
                s.actors[i].read = None;
            }));
        }
        self.send_steps(i, mutant, next);
    }

    /// A send runs, or definitely does not (no byte was sent, or it was shed).
    fn send_steps(&self, i: usize, mutant: Mutant, next: &mut Vec<Self>) {
        let attempt = self.actors[i].attempt;
        let permitted = match attempt.use_permission() {
            None if mutant == Mutant::SendsAgain && attempt == Attempt::Sent => Some(attempt),
            permitted => permitted,
        };
        let Some(sent) = permitted else { return };
        next.push(self.with(|s| {
            s.actors[i].attempt = sent;
            s.actors[i].runs += 1;
        }));
        next.push(self.with(|s| s.actors[i].attempt = sent.restore_permission()));
    }

    /// An attempt reads the bucket, from an answer or directly.
    fn read(&mut self, i: usize) {
        let bucket = self.bucket.clone();
        self.actors[i].read = Some((self.version, bucket.clone()));
        let Some(outcome) = bucket.outcome(KEY, NONCES[i]) else { return };
        self.actors[i].attempt = self.actors[i].attempt.with_outcome(outcome);
    }

    fn delivery_steps(&self, mutant: Mutant, next: &mut Vec<Self>) {
        for at in 0..self.updates.len() {
            let update = &self.updates[at];
            let applies = update.expected == self.version || mutant == Mutant::Unconditional;
            let delivered = self.with(|s| {
                let update = s.updates.remove(at);
                if applies {
                    s.version += 1;
                    s.bucket = update.bucket;
                }
            });
            let Some(i) = update.by else {
                next.push(delivered);
                continue;
            };
            // The answer is lost; a waiting attempt must read again.
            next.push(delivered.with(|s| {
                if s.actors[i].is_waiting {
                    s.actors[i].is_waiting = false;
                    s.actors[i].read = None;
                    if mutant == Mutant::TrustsLostAnswer {
                        s.actors[i].attempt =
                            s.actors[i].attempt.with_outcome(ClaimResult::Granted);
                    }
                }
            }));
            // The answer arrives.
            next.push(delivered.with(|s| {
                if s.actors[i].is_waiting {
                    s.actors[i].is_waiting = false;
                    s.actors[i].read = None;
                    if applies {
                        let is_release = s.actors[i].attempt == Attempt::Abandoned;
                        s.actors[i].releases &= !is_release;
                        s.read(i);
                    }
                }
            }));
        }
        // A waiting attempt stops waiting while the update is still in flight.
        for i in 0..self.actors.len() {
            if self.actors[i].is_waiting {
                next.push(self.with(|s| {
                    s.actors[i].is_waiting = false;
                    s.actors[i].read = None;
                }));
            }
        }
        // The update itself is lost.
        for at in 0..self.updates.len() {
            next.push(self.with(|s| {
                let update = s.updates.remove(at);
                if let Some(i) = update.by {
                    s.actors[i].is_waiting = false;
                    s.actors[i].read = None;
                }
            }));
        }
    }

    /// The bucket's owner claims for the first attempt, based on its own read.
    fn owner_steps(&self, mutant: Mutant, next: &mut Vec<Self>) {
        let to_update = |change| {
            let bucket = self.bucket.with_changes(&[change]);
            Update { by: None, expected: self.version, bucket }
        };
        if self.can_owner_claim {
            next.push(self.with(|s| {
                s.can_owner_claim = false;
                s.updates.push(to_update(BucketChange::Claim(KEY, NONCES[0])));
            }));
        }
        if mutant == Mutant::OwnerReleases && !self.can_owner_claim && self.can_owner_release {
            next.push(self.with(|s| {
                s.can_owner_release = false;
                s.updates.push(to_update(BucketChange::Release(KEY, NONCES[0])));
            }));
        }
    }

    fn clean_up_steps(&self, mutant: Mutant, next: &mut Vec<Self>) {
        if !self.can_clean_up {
            return;
        }
        let mut bucket = self.bucket.clone();
        bucket.raise_floor(KEY.issued_ms() + 1, usize::MAX);
        if mutant == Mutant::NoFloor {
            bucket.floor_ms = 0;
        }
        let update = Update { by: None, expected: self.version, bucket };
        next.push(self.with(|s| {
            s.can_clean_up = false;
            s.updates.push(update);
        }));
    }
}

/// Maximum number of updates in flight; further ones add no other behaviour.
const MAX_UPDATES: usize = 2;
/// Maximum version of the bucket that is explored.
const MAX_VERSIONS: u32 = 5;

fn counterexample(mutant: Mutant) -> Option<Vec<System>> {
    let is_in_bounds = |s: &System| s.updates.len() <= MAX_UPDATES && s.version <= MAX_VERSIONS;
    let successors =
        |s: &System| s.successors(mutant).into_iter().filter(is_in_bounds).collect::<Vec<_>>();
    bfs(&System::initial(), successors, System::has_second_run)
}

#[test]
fn no_interleaving_runs_a_request_twice() {
    assert_eq!(counterexample(Mutant::None), None);
}

#[test]
fn each_disabled_rule_has_a_counterexample() {
    let mutants = [
        Mutant::Unconditional,
        Mutant::TrustsLostAnswer,
        Mutant::OwnerReleases,
        Mutant::NoFloor,
        Mutant::SendsAgain,
        Mutant::ReleasesWhileHolding,
    ];
    for mutant in mutants {
        assert!(counterexample(mutant).is_some(), "{mutant:?} breaks nothing");
    }
}
