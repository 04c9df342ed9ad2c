//! Shares of a replica's connections, assigned without communication per request.
//!
//! A replica allows a fixed number of connections, and every instance computes its share from a
//! member list. If two instances used different lists for a moment, they could together exceed the
//! limit, and the replica would refuse connections. The rule that prevents this: an instance
//! shrinks its share as soon as it learns of a new member, and grows it to the share of a list only
//! once every member of that list has announced the same list, since by then each of them has
//! shrunk its share accordingly.
//!
//! A member leaves the list only when it has announced that it closed its connections, or when the
//! platform no longer lists its instance. A missing answer is not sufficient: a paused process
//! still holds its connections.

use std::collections::{BTreeMap, BTreeSet};

use crate::rendezvous;

/// Members that share the connections, by the hash of their identity.
pub type MemberKeys = BTreeSet<u64>;

/// Returns the hash of a member list that is announced to the other instances.
#[must_use]
pub fn digest(members: &MemberKeys) -> u64 {
    members.iter().fold(0x9e37_79b9, |acc, &m| rendezvous::weight(acc, m))
}

/// Returns how many of a replica's `limit` connections `member` may hold.
///
/// If there are no more members than connections, all have the same integer share; the remainder
/// stays free for instances that start while others drain. If there are more members than
/// connections, the first `limit` members in rendezvous order hold one each: the replica is in
/// their slice.
#[must_use]
pub fn share_of(members: &[u64], member: u64, replica: u64, limit: u32) -> u32 {
    if !members.contains(&member) {
        return 0;
    }
    let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
    if count <= limit {
        return limit / count;
    }
    u32::from(rendezvous::is_in_top(replica, member, members, limit as usize))
}

/// Agreement on the member list, as seen by one instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Agreement {
    own: u64,
    /// Lists that limit the share of this instance; the last one is current.
    lists: Vec<MemberKeys>,
    /// True if a list has been agreed on; false for a starting instance.
    has_agreed: bool,
    /// Last digest announced by each other member.
    announced: BTreeMap<u64, u64>,
}

impl Agreement {
    /// Creates the state of an instance that has just started and holds no connections.
    #[must_use]
    pub fn new(own: u64) -> Self {
        Self { own, lists: Vec::new(), has_agreed: false, announced: BTreeMap::new() }
    }

    /// Sets the current member list; returns true if it changed.
    pub fn set_members(&mut self, members: &MemberKeys) -> bool {
        if self.lists.last() == Some(members) {
            return false;
        }
        self.lists.push(members.clone());
        self.announced.retain(|m, _| members.contains(m));
        self.try_agree();
        true
    }

    /// Records the digest that another member announced for its list.
    ///
    /// Returns true if the share of this instance may have grown.
    pub fn on_announcement(&mut self, member: u64, digest: u64) -> bool {
        if member == self.own {
            return false;
        }
        self.announced.insert(member, digest);
        self.try_agree()
    }

    /// Returns the digest of the current list, to be announced; 0 if there is none yet.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.lists.last().map_or(0, digest)
    }

    /// Returns true if all members have announced the current list.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.has_agreed && self.lists.len() == 1
    }

    /// Returns the members of the current list in order.
    #[must_use]
    pub fn current_members(&self) -> Vec<u64> {
        self.lists.last().map(|m| m.iter().copied().collect()).unwrap_or_default()
    }

    /// Returns the lists that limit the share; empty while this instance may hold no connections.
    #[must_use]
    pub fn bounding_lists(&self) -> Vec<Vec<u64>> {
        if !self.has_agreed {
            return Vec::new();
        }
        self.lists.iter().map(|m| m.iter().copied().collect()).collect()
    }

    /// Returns the number of connections that this instance may hold to a replica now.
    #[must_use]
    pub fn share(&self, replica: u64, limit: u32) -> u32 {
        min_share(&self.bounding_lists(), self.own, replica, limit)
    }

    fn try_agree(&mut self) -> bool {
        let Some(current) = self.lists.last() else { return false };
        let expected = digest(current);
        let others = current.iter().filter(|&&m| m != self.own);
        let all_announced = current.contains(&self.own)
            && others.into_iter().all(|m| self.announced.get(m) == Some(&expected));
        if !all_announced || self.is_agreed() {
            return false;
        }
        self.lists.drain(..self.lists.len() - 1);
        self.has_agreed = true;
        true
    }
}

/// Returns the minimum share over all `bounds`; 0 if there are none.
#[must_use]
pub fn min_share(bounds: &[Vec<u64>], own: u64, replica: u64, limit: u32) -> u32 {
    bounds.iter().map(|list| share_of(list, own, replica, limit)).min().unwrap_or(0)
}
