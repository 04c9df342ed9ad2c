//! Model check of configuration: two operators race, answers are lost, instances
//! read stale versions, restart, and hear of versions from each other.

use eelgrasspier_decide::config::{Edit, InForce, Submission, remember, resolve};
use pathfinding::prelude::bfs;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Updates ignore the version that they were made from.
    Unconditional,
    /// The stored object remembers only the last edit.
    RemembersLastOnly,
    /// An instance puts in force whatever it is offered.
    TakesAnyVersion,
    /// A version above the base is taken for the own edit.
    TrustsVersion,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    edit: Edit,
    /// Updates that it may still send.
    tries: u8,
    told: Option<Submission>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct System {
    /// Every accepted edit, in order; version n is the n-th.
    history: Vec<Edit>,
    remembered: Vec<Edit>,
    updates: Vec<Edit>,
    operators: [Operator; 2],
    in_force: [InForce; 2],
    /// Highest version that each instance ever had in force.
    highest: [Option<u64>; 2],
}

impl System {
    fn start() -> Self {
        let first = Edit { edit_id: 1, base: 0 };
        let operator = |edit_id| Operator { edit: Edit { edit_id, base: 1 }, tries: 2, told: None };
        Self {
            history: vec![first.clone()],
            remembered: vec![first],
            updates: Vec::new(),
            operators: [
                operator(10),
                Operator { edit: Edit { edit_id: 20, base: 2 }, ..operator(0) },
            ],
            in_force: Default::default(),
            highest: [None; 2],
        }
    }

    fn version(&self) -> u64 {
        self.history.len() as u64
    }

    fn is_broken(&self) -> bool {
        let lies = self.operators.iter().any(|o| {
            let is_in = self.history.contains(&o.edit);
            match o.told {
                Some(Submission::Accepted(_) | Submission::Superseded(_)) => !is_in,
                Some(Submission::Conflict(_)) => {
                    is_in || self.updates.contains(&o.edit) && self.version() == o.edit.base
                }
                _ => false,
            }
        });
        // Every edit was made from the text that it replaced.
        let overwrites = self.history.iter().zip(0..).any(|(edit, base)| edit.base != base);
        let reverts =
            self.in_force.iter().zip(&self.highest).any(|(now, high)| now.version() < *high);
        lies || overwrites || reverts
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut next = Vec::new();
        for i in 0..2 {
            self.operator_steps(i, mutant, &mut next);
            self.instance_steps(i, mutant, &mut next);
        }
        for at in 0..self.updates.len() {
            next.push(self.with(|s| s.deliver(at, mutant)));
            next.push(self.with(|s| {
                let _lost = s.updates.remove(at);
            }));
        }
        next
    }

    /// The platform applies an update; its answer is always lost here, so that the
    /// operator has to find out by reading.
    fn deliver(&mut self, at: usize, mutant: Mutant) {
        let edit = self.updates.remove(at);
        if edit.base == self.version() || mutant == Mutant::Unconditional {
            self.history.push(edit.clone());
            self.remembered = match mutant {
                Mutant::RemembersLastOnly => vec![edit],
                _ => remember(self.remembered.clone(), edit),
            };
        }
    }

    fn operator_steps(&self, i: usize, mutant: Mutant, next: &mut Vec<Self>) {
        let operator = &self.operators[i];
        if operator.told.is_some() {
            return;
        }
        let found = match resolve(&operator.edit, self.version(), &self.remembered) {
            Submission::Conflict(version) if mutant == Mutant::TrustsVersion => {
                Submission::Accepted(version)
            }
            found => found,
        };
        match found {
            // The second operator edits from a text that is not there yet.
            Submission::Conflict(version) if version < operator.edit.base => {}
            Submission::Open if operator.tries > 0 => next.push(self.with(|s| {
                s.operators[i].tries -= 1;
                s.updates.push(s.operators[i].edit.clone());
            })),
            Submission::Open => {}
            told => next.push(self.with(|s| s.operators[i].told = Some(told))),
        }
    }

    /// An instance is offered any version up to the newest, as by a stale read.
    fn instance_steps(&self, i: usize, mutant: Mutant, next: &mut Vec<Self>) {
        for version in 1..=self.version() {
            next.push(self.with(|s| {
                if mutant == Mutant::TakesAnyVersion {
                    s.in_force[i] = InForce::default();
                }
                let edits = usize::try_from(version).unwrap();
                let _offered = s.in_force[i].offer(version, &self.history[..edits]);
                s.highest[i] = s.highest[i].max(s.in_force[i].version());
            }));
        }
    }
}

fn counterexample(mutant: Mutant) -> Option<Vec<System>> {
    let within = |s: &System| s.updates.len() <= 3 && s.history.len() <= 5;
    let successors =
        |s: &System| s.successors(mutant).into_iter().filter(within).collect::<Vec<_>>();
    bfs(&System::start(), successors, System::is_broken)
}

#[test]
fn edits_are_never_lost_or_overwritten_and_versions_never_revert() {
    assert_eq!(counterexample(Mutant::None), None);
}

#[test]
fn every_rule_is_needed() {
    let mutants = [
        Mutant::Unconditional,
        Mutant::RemembersLastOnly,
        Mutant::TakesAnyVersion,
        Mutant::TrustsVersion,
    ];
    for mutant in mutants {
        assert!(counterexample(mutant).is_some(), "{mutant:?} breaks nothing");
    }
}
