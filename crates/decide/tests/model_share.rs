//! Model check of connection shares while members join and leave.
//!
//! Three instances share one replica's connections. One joins and one leaves at any time; member
//! lists and announcements arrive late and in any order between instances.

use eelgrasspier_decide::share::{self, Agreement, MemberKeys, share_of};
use pathfinding::prelude::bfs;

const REPLICA: u64 = 99;
const NAMES: [u64; 3] = [1, 2, 3];

/// Rule that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The share follows the instance's own list at once, without agreement.
    GrowsAtOnce,
    /// An instance is removed from the list before it has closed its connections.
    RemovedWhileHolding,
    /// The share of the last agreed list is kept although a longer list is known.
    KeepsOldShare,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    agreement: Agreement,
    /// All digests that it has announced, oldest first.
    announced: Vec<u64>,
    /// Number of announcements received from each other instance.
    received: [usize; 3],
    /// Last agreed list, for the mutant that keeps its share.
    agreed: Vec<u64>,
    is_present: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct System {
    instances: [Instance; 3],
    limit: u32,
    has_joined: bool,
    has_left: bool,
}

fn members(names: &[u64]) -> MemberKeys {
    names.iter().copied().collect()
}

impl System {
    /// Returns a state in which the first two instances agree and the third is about to start.
    fn initial(limit: u32) -> Self {
        let pair = members(&NAMES[..2]);
        let instance = |i: usize| {
            let mut agreement = Agreement::new(NAMES[i]);
            let mut announced = Vec::new();
            if i < 2 {
                agreement.set_members(&pair);
                agreement.on_announcement(NAMES[1 - i], share::digest(&pair));
                announced.push(share::digest(&pair));
            }
            let agreed = if i < 2 { NAMES[..2].to_vec() } else { Vec::new() };
            let received = if i < 2 { [1, 1, 0] } else { [0; 3] };
            Instance { agreement, announced, received, agreed, is_present: i < 2 }
        };
        let instances = [instance(0), instance(1), instance(2)];
        Self { instances, limit, has_joined: false, has_left: false }
    }

    fn share(&self, i: usize, mutant: Mutant) -> u32 {
        let instance = &self.instances[i];
        if !instance.is_present {
            return 0;
        }
        match mutant {
            Mutant::GrowsAtOnce => {
                share_of(&instance.agreement.current_members(), NAMES[i], REPLICA, self.limit)
            }
            Mutant::KeepsOldShare => share_of(&instance.agreed, NAMES[i], REPLICA, self.limit),
            _ => instance.agreement.share(REPLICA, self.limit),
        }
    }

    fn is_over_limit(&self, mutant: Mutant) -> bool {
        (0..3).map(|i| self.share(i, mutant)).sum::<u32>() > self.limit
    }

    /// Returns the member lists that an instance may receive in the current state.
    fn lists(&self, mutant: Mutant) -> Vec<MemberKeys> {
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

    fn update_agreed(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if instance.agreement.is_agreed() {
            instance.agreed = instance.agreement.current_members();
        }
    }

    fn receive_list(&mut self, i: usize, list: &MemberKeys) {
        let instance = &mut self.instances[i];
        if instance.agreement.set_members(list) {
            instance.announced.push(instance.agreement.digest());
        }
        self.update_agreed(i);
    }

    fn receive_announcement(&mut self, i: usize, from: usize) {
        let index = self.instances[i].received[from];
        let digest = self.instances[from].announced[index];
        self.instances[i].received[from] += 1;
        self.instances[i].agreement.on_announcement(NAMES[from], digest);
        self.update_agreed(i);
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut next = Vec::new();
        if !self.has_joined {
            next.push(self.with(|s| {
                s.has_joined = true;
                s.instances[2].is_present = true;
            }));
        }
        if !self.has_left {
            next.push(self.with(|s| {
                s.has_left = true;
                s.instances[0].is_present = false;
            }));
        }
        for i in (0..3).filter(|&i| self.instances[i].is_present) {
            for list in self.lists(mutant).iter().filter(|l| l.contains(&NAMES[i])) {
                // A list never goes back to one before the join.
                let is_older = self.instances[i].agreement.current_members().contains(&NAMES[2])
                    && !list.contains(&NAMES[2]);
                let can_advance = self.instances[i].announced.len() < MAX_LISTS;
                if can_advance && !is_older {
                    next.push(self.with(|s| s.receive_list(i, list)));
                }
            }
            for from in (0..3).filter(|&from| from != i) {
                if self.instances[i].received[from] < self.instances[from].announced.len() {
                    next.push(self.with(|s| s.receive_announcement(i, from)));
                }
            }
        }
        next
    }
}

/// Maximum number of member lists per instance.
const MAX_LISTS: usize = 4;

fn counterexample(limit: u32, mutant: Mutant) -> Option<Vec<System>> {
    let initial = System::initial(limit);
    bfs(&initial, |s| s.successors(mutant), |s| s.is_over_limit(mutant))
}

#[test]
fn shares_never_exceed_the_connection_limit() {
    // Integer shares, remainders, and fewer connections than instances.
    for limit in [1, 2, 3, 4, 25] {
        assert_eq!(counterexample(limit, Mutant::None), None, "limit {limit}");
    }
}

#[test]
fn each_disabled_rule_has_a_counterexample() {
    for mutant in [Mutant::GrowsAtOnce, Mutant::RemovedWhileHolding, Mutant::KeepsOldShare] {
        let found = [1, 2, 3, 4, 25].iter().any(|&l| counterexample(l, mutant).is_some());
        assert!(found, "{mutant:?} breaks nothing");
    }
}

/// Guards against waiting forever for agreement. Once all announcements have arrived, every
/// instance has a share again.
#[test]
fn shares_grow_once_all_members_agree() {
    let mut system = System::initial(4);
    let all_members = members(&NAMES);
    system.instances[2].is_present = true;
    for i in 0..3 {
        system.receive_list(i, &all_members);
    }
    for i in 0..3 {
        for from in (0..3).filter(|&from| from != i) {
            while system.instances[i].received[from] < system.instances[from].announced.len() {
                system.receive_announcement(i, from);
            }
        }
    }
    let shares: Vec<u32> = (0..3).map(|i| system.share(i, Mutant::None)).collect();
    assert_eq!(shares, [1, 1, 1]);
}
