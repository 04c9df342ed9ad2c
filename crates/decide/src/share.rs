//! Shares of a replica's connections, split without talking per request.
//!
//! A replica allows a fixed number of connections. Every instance computes its
//! share from a member list. What can go wrong is that two instances compute
//! from different lists for a moment and together exceed the limit; one would
//! notice by refused connections at the replica. The rule that prevents it:
//! an instance shrinks as soon as it hears of a new member, and grows to the
//! share of a list only once every member of that list has announced the very
//! same list, for by then each of them has shrunk to it too.
//!
//! A member leaves the list only when it has said that it let go of its
//! connections, or when the platform no longer lists its instance. Silence is
//! not enough: a paused process still holds its connections.

use std::collections::{BTreeMap, BTreeSet};

use crate::rendezvous;

/// The members among whom connections are split, by the hash of their identity.
pub type Members = BTreeSet<u64>;

/// Hash of a member list, as announced to the others.
#[must_use]
pub fn digest(members: &Members) -> u64 {
    members.iter().fold(0x9e37_79b9, |acc, &m| rendezvous::weight(acc, m))
}

/// Share of a replica's `limit` connections that `member` has in `members`.
///
/// With no more members than connections each has the same whole share, and the
/// remainder stays free as room for instances that start while others drain.
/// With more members than connections, the first `limit` members in rendezvous
/// order hold one each: the replica is in their slice.
#[must_use]
pub fn connections(members: &[u64], member: u64, replica: u64, limit: u32) -> u32 {
    if !members.contains(&member) {
        return 0;
    }
    let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
    if count <= limit {
        return limit / count;
    }
    u32::from(rendezvous::is_in_top(replica, member, members, limit as usize))
}

/// One instance's view of the agreement on the member list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Agreement {
    own: u64,
    /// Lists whose shares bound this instance; the last is the current one.
    lists: Vec<Members>,
    /// Whether the first list was agreed on; a starting instance has none.
    has_agreed: bool,
    /// Last digest announced by each other member.
    announced: BTreeMap<u64, u64>,
}

impl Agreement {
    /// State of an instance that has just started and holds nothing.
    #[must_use]
    pub fn new(own: u64) -> Self {
        Self { own, lists: Vec::new(), has_agreed: false, announced: BTreeMap::new() }
    }

    /// Takes in the current member list; returns whether it changed.
    pub fn set_members(&mut self, members: &Members) -> bool {
        if self.lists.last() == Some(members) {
            return false;
        }
        self.lists.push(members.clone());
        self.announced.retain(|m, _| members.contains(m));
        self.try_agree();
        true
    }

    /// Takes in the digest that another member announces for its own list.
    ///
    /// Returns whether the share of this instance may have grown.
    pub fn heard(&mut self, member: u64, digest: u64) -> bool {
        if member == self.own {
            return false;
        }
        self.announced.insert(member, digest);
        self.try_agree()
    }

    /// Digest of the current list, to be announced to all; 0 before there is one.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.lists.last().map_or(0, digest)
    }

    /// Whether all members of the current list have announced it.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.has_agreed && self.lists.len() == 1
    }

    /// Members of the current list, in order.
    #[must_use]
    pub fn current(&self) -> Vec<u64> {
        self.lists.last().map(|m| m.iter().copied().collect()).unwrap_or_default()
    }

    /// Lists that bound the share; none while this instance may hold nothing.
    #[must_use]
    pub fn bounds(&self) -> Vec<Vec<u64>> {
        if !self.has_agreed {
            return Vec::new();
        }
        self.lists.iter().map(|m| m.iter().copied().collect()).collect()
    }

    /// Connections that this instance may hold to a replica now.
    #[must_use]
    pub fn share(&self, replica: u64, limit: u32) -> u32 {
        share_within(&self.bounds(), self.own, replica, limit)
    }

    fn try_agree(&mut self) -> bool {
        let Some(current) = self.lists.last() else { return false };
        let wanted = digest(current);
        let others = current.iter().filter(|&&m| m != self.own);
        let everyone = current.contains(&self.own)
            && others.into_iter().all(|m| self.announced.get(m) == Some(&wanted));
        if !everyone || self.is_agreed() {
            return false;
        }
        self.lists.drain(..self.lists.len() - 1);
        self.has_agreed = true;
        true
    }
}

/// The least share over all `bounds`; 0 where there is none.
#[must_use]
pub fn share_within(bounds: &[Vec<u64>], own: u64, replica: u64, limit: u32) -> u32 {
    bounds.iter().map(|list| connections(list, own, replica, limit)).min().unwrap_or(0)
}
