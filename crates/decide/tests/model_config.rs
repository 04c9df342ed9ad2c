//! Model check of the configuration rules.
//!
//! Two operators race and answers are lost; instances read stale versions, restart, and receive
//! versions from each other.

use eelgrasspier_decide::config::{ConfigInForce, Edit, Submission, push_edit, resolve};
use pathfinding::prelude::bfs;

/// Rule that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Updates are not conditional on their base version.
    Unconditional,
    /// The stored object contains only the last edit.
    KeepsLastEditOnly,
    /// An instance applies every version that it is offered.
    AppliesAnyVersion,
    /// A version above the base is assumed to be the own edit.
    AssumesOwnVersion,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    edit: Edit,
    /// Remaining update attempts.
    attempts_left: u8,
    result: Option<Submission>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct System {
    /// All accepted edits in order; the n-th has version n.
    history: Vec<Edit>,
    recent_edits: Vec<Edit>,
    updates: Vec<Edit>,
    operators: [Operator; 2],
    in_force: [ConfigInForce; 2],
    /// Highest version that each instance ever had in force.
    highest: [Option<u64>; 2],
}

impl System {
    fn initial() -> Self {
        let first = Edit { edit_id: 1, base: 0 };
        let operator =
            |edit_id| Operator { edit: Edit { edit_id, base: 1 }, attempts_left: 2, result: None };
        Self {
            history: vec![first.clone()],
            recent_edits: vec![first],
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

    fn violates_invariants(&self) -> bool {
        let has_wrong_result = self.operators.iter().any(|o| {
            let is_accepted = self.history.contains(&o.edit);
            match o.result {
                Some(Submission::Accepted(_) | Submission::Superseded(_)) => !is_accepted,
                Some(Submission::Conflict(_)) => {
                    is_accepted || self.updates.contains(&o.edit) && self.version() == o.edit.base
                }
                _ => false,
            }
        });
        // Every edit is based on the text that it replaced.
        let overwrites = self.history.iter().zip(0..).any(|(edit, base)| edit.base != base);
        let reverts =
            self.in_force.iter().zip(&self.highest).any(|(now, highest)| now.version() < *highest);
        has_wrong_result || overwrites || reverts
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

    /// Applies an update on the platform and loses its answer.
    ///
    /// The operator therefore always has to read the result.
    fn deliver(&mut self, at: usize, mutant: Mutant) {
        let edit = self.updates.remove(at);
        if edit.base == self.version() || mutant == Mutant::Unconditional {
            self.history.push(edit.clone());
            self.recent_edits = match mutant {
                Mutant::KeepsLastEditOnly => vec![edit],
                _ => push_edit(self.recent_edits.clone(), edit),
            };
        }
    }

    fn operator_steps(&self, i: usize, mutant: Mutant, next: &mut Vec<Self>) {
        let operator = &self.operators[i];
        if operator.result.is_some() {
            return;
        }
        let resolved = match resolve(&operator.edit, self.version(), &self.recent_edits) {
            Submission::Conflict(version) if mutant == Mutant::AssumesOwnVersion => {
                Submission::Accepted(version)
            }
            resolved => resolved,
        };
        match resolved {
            // The base version of the second operator does not exist yet.
            Submission::Conflict(version) if version < operator.edit.base => {}
            Submission::Open if operator.attempts_left > 0 => next.push(self.with(|s| {
                s.operators[i].attempts_left -= 1;
                s.updates.push(s.operators[i].edit.clone());
            })),
            Submission::Open => {}
            result => next.push(self.with(|s| s.operators[i].result = Some(result))),
        }
    }

    /// Offers an instance any version up to the newest, as a stale read would.
    fn instance_steps(&self, i: usize, mutant: Mutant, next: &mut Vec<Self>) {
        for version in 1..=self.version() {
            next.push(self.with(|s| {
                if mutant == Mutant::AppliesAnyVersion {
                    s.in_force[i] = ConfigInForce::default();
                }
                let edits = usize::try_from(version).unwrap();
                let _offered = s.in_force[i].offer(version, &self.history[..edits]);
                s.highest[i] = s.highest[i].max(s.in_force[i].version());
            }));
        }
    }
}

fn counterexample(mutant: Mutant) -> Option<Vec<System>> {
    let is_in_bounds = |s: &System| s.updates.len() <= 3 && s.history.len() <= 5;
    let successors =
        |s: &System| s.successors(mutant).into_iter().filter(is_in_bounds).collect::<Vec<_>>();
    bfs(&System::initial(), successors, System::violates_invariants)
}

#[test]
fn edits_are_never_lost_or_overwritten_and_versions_never_revert() {
    assert_eq!(counterexample(Mutant::None), None);
}

#[test]
fn each_disabled_rule_has_a_counterexample() {
    let mutants = [
        Mutant::Unconditional,
        Mutant::KeepsLastEditOnly,
        Mutant::AppliesAnyVersion,
        Mutant::AssumesOwnVersion,
    ];
    for mutant in mutants {
        assert!(counterexample(mutant).is_some(), "{mutant:?} breaks nothing");
    }
}
