//! Rendezvous hashing: assigns keys to members.
//!
//! Every instance computes the same order from the same members without communication, and a member
//! that leaves moves only the keys assigned to it.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns a stable 64-bit hash of a name.
#[must_use]
pub fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the weight of a member for a key; the member with the highest weight owns the key.
#[must_use]
pub fn weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the index in `members` of the owner of `key`; `None` if there are no members.
#[must_use]
pub fn owner(key: u64, members: &[u64]) -> Option<usize> {
    (0..members.len()).max_by_key(|&i| (weight(key, members[i]), members[i]))
}

/// Returns true if `member` is among the `top` highest ranked of `members` for `key`.
#[must_use]
pub fn is_in_top(key: u64, member: u64, members: &[u64], top: usize) -> bool {
    let own = (weight(key, member), member);
    let ahead = members.iter().filter(|&&m| (weight(key, m), m) > own).count();
    ahead < top
}

/// Returns the `top` members with the highest weights for `key`, highest first.
#[must_use]
pub fn top(key: u64, members: &[u64], top: usize) -> Vec<u64> {
    let mut ranked: Vec<(u64, u64)> = members.iter().map(|&m| (weight(key, m), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(top).map(|(_, m)| m).collect()
}

/// Returns the distance of a member from a key; the member with the least distance owns it.
///
/// The distance is an exponential variable whose rate is the capacity, so each member owns a share
/// of the keys in proportion to its capacity.
#[must_use]
pub fn distance(key: u64, member: u64, capacity_milli: u32) -> f64 {
    const BITS: u32 = 32;
    let high = u32::try_from(weight(key, member) >> BITS).unwrap_or(u32::MAX);
    let uniform = (f64::from(high) + 1.0) / (f64::from(u32::MAX) + 2.0);
    -uniform.ln() / f64::from(capacity_milli.max(1))
}
