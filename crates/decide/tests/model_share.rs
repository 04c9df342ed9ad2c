//! Model check of the hand-over of connection shares while members come and go.
//!
//! Three instances split one replica's connections. One joins and one leaves at any
//! moment; news and announcements arrive late, in any order between instances.

use eelgrasspier_decide::share::{self, Agreement, Members, connections};
use pathfinding::prelude::bfs;

const REPLICA: u64 = 99;
const NAMES: [u64; 3] = [1, 2, 3];

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The share follows the own list at once, without agreement.
    GrowsAtOnce,
    /// An instance is taken off the list before it has let go.
    RemovedWhileHolding,
    /// The share of the last agreed list is kept though a longer list is known.
    KeepsOldShare,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    agreement: Agreement,
    /// Every digest that it has announced, oldest first.
    announced: Vec<u64>,
    /// How many announcements of each other instance have arrived here.
    heard: [usize; 3],
    /// Last list that was agreed on, for the mutant that keeps it.
    agreed: Vec<u64>,
    is_there: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct System {
    instances: [Instance; 3],
    limit: u32,
    has_joined: bool,
    has_left: bool,
}

fn members(names: &[u64]) -> Members {
    names.iter().copied().collect()
}

impl System {
    /// The first two have agreed; the third is about to start.
    fn start(limit: u32) -> Self {
        let pair = members(&NAMES[..2]);
        let instance = |i: usize| {
            let mut agreement = Agreement::new(NAMES[i]);
            let mut announced = Vec::new();
            if i < 2 {
                agreement.set_members(&pair);
                agreement.heard(NAMES[1 - i], share::digest(&pair));
                announced.push(share::digest(&pair));
            }
            let agreed = if i < 2 { NAMES[..2].to_vec() } else { Vec::new() };
            let heard = if i < 2 { [1, 1, 0] } else { [0; 3] };
            Instance { agreement, announced, heard, agreed, is_there: i < 2 }
        };
        let instances = [instance(0), instance(1), instance(2)];
        Self { instances, limit, has_joined: false, has_left: false }
    }

    fn share(&self, i: usize, mutant: Mutant) -> u32 {
        let instance = &self.instances[i];
        if !instance.is_there {
            return 0;
        }
        match mutant {
            Mutant::GrowsAtOnce => {
                connections(&instance.agreement.current(), NAMES[i], REPLICA, self.limit)
            }
            Mutant::KeepsOldShare => connections(&instance.agreed, NAMES[i], REPLICA, self.limit),
            _ => instance.agreement.share(REPLICA, self.limit),
        }
    }

    fn is_over_limit(&self, mutant: Mutant) -> bool {
        (0..3).map(|i| self.share(i, mutant)).sum::<u32>() > self.limit
    }

    /// The lists that an instance may come to see by now.
    fn lists(&self, mutant: Mutant) -> Vec<Members> {
        let mut lists = vec![members(&NAMES[..2])];
        if self.has_joined {
            lists.push(members(&NAMES));
            if self.has_left || mutant == Mutant::RemovedWhileHolding {
                lists.push(members(&NAMES[1..]));
            }
        }
        if self.has_left {
            lists.push(members(&NAMES[1..2]));
        }
        lists
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn note_agreement(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if instance.agreement.is_agreed() {
            instance.agreed = instance.agreement.current();
        }
    }

    fn learn(&mut self, i: usize, list: &Members) {
        let instance = &mut self.instances[i];
        if instance.agreement.set_members(list) {
            instance.announced.push(instance.agreement.digest());
        }
        self.note_agreement(i);
    }

    fn hear(&mut self, i: usize, from: usize) {
        let number = self.instances[i].heard[from];
        let digest = self.instances[from].announced[number];
        self.instances[i].heard[from] += 1;
        self.instances[i].agreement.heard(NAMES[from], digest);
        self.note_agreement(i);
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut next = Vec::new();
        if !self.has_joined {
            next.push(self.with(|s| {
                s.has_joined = true;
                s.instances[2].is_there = true;
            }));
        }
        if !self.has_left {
            next.push(self.with(|s| {
                s.has_left = true;
                s.instances[0].is_there = false;
            }));
        }
        for i in (0..3).filter(|&i| self.instances[i].is_there) {
            for list in self.lists(mutant).iter().filter(|l| l.contains(&NAMES[i])) {
                // A list never shrinks back to one before the join.
                let is_older = self.instances[i].agreement.current().contains(&NAMES[2])
                    && !list.contains(&NAMES[2]);
                let is_step = self.instances[i].announced.len() < MOST_LISTS;
                if is_step && !is_older {
                    next.push(self.with(|s| s.learn(i, list)));
                }
            }
            for from in (0..3).filter(|&from| from != i) {
                if self.instances[i].heard[from] < self.instances[from].announced.len() {
                    next.push(self.with(|s| s.hear(i, from)));
                }
            }
        }
        next
    }
}

/// Lists that one instance goes through at the most.
const MOST_LISTS: usize = 4;

fn counterexample(limit: u32, mutant: Mutant) -> Option<Vec<System>> {
    let start = System::start(limit);
    bfs(&start, |s| s.successors(mutant), |s| s.is_over_limit(mutant))
}

#[test]
fn shares_never_exceed_a_replicas_connections() {
    // Whole shares, remainders, and fewer connections than instances.
    for limit in [1, 2, 3, 4, 25] {
        assert_eq!(counterexample(limit, Mutant::None), None, "limit {limit}");
    }
}

#[test]
fn every_rule_is_needed() {
    for mutant in [Mutant::GrowsAtOnce, Mutant::RemovedWhileHolding, Mutant::KeepsOldShare] {
        let found = [1, 2, 3, 4, 25].iter().any(|&l| counterexample(l, mutant).is_some());
        assert!(found, "{mutant:?} breaks nothing");
    }
}

/// After all news has arrived everybody holds a share again: the rule that waits for
/// agreement must not wait for ever.
#[test]
fn shares_grow_back_once_everybody_agrees() {
    let mut system = System::start(4);
    let joined = members(&NAMES);
    system.instances[2].is_there = true;
    for i in 0..3 {
        system.learn(i, &joined);
    }
    for i in 0..3 {
        for from in (0..3).filter(|&from| from != i) {
            while system.instances[i].heard[from] < system.instances[from].announced.len() {
                system.hear(i, from);
            }
        }
    }
    let shares: Vec<u32> = (0..3).map(|i| system.share(i, Mutant::None)).collect();
    assert_eq!(shares, [1, 1, 1]);
}
