//! Claims for traffic threads, routed through the usual owner of each bucket.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasspier_decide::claim::{ClaimResult, Key, Nonce};
use eelgrasspier_decide::membership::InstanceState;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_peer::wire::{Body, ClaimOutcome, ClaimRequest, Claimed};
use eelgrasspier_store::ClaimError;

use super::Control;

/// Name that is hashed with a bucket's number to select its owner.
const OWNER_HASH_NAME: &str = "claims";
/// Number of bits in the lower half of a key.
const HALF_BITS: u32 = 64;

impl Control {
    /// Claims a key through the bucket's usual owner, or directly if that fails.
    ///
    /// Ownership only serves to batch claims. Both paths end in the same conditional update with
    /// the same nonce, so a key cannot be granted twice.
    pub(super) async fn claim(
        &self,
        key: Key,
        nonce: Nonce,
        until: Instant,
    ) -> Result<ClaimResult, ClaimError> {
        if let Some(owner) = self.key_owner(key) {
            let half = until.saturating_duration_since(Instant::now()) / 2;
            if let Some(outcome) = self.claim_at_owner(owner, key, nonce, half).await {
                return Ok(outcome);
            }
        }
        self.claims.claim(key, nonce, until).await
    }

    /// Returns the address of the instance that owns the key's bucket; `None` if it is this one.
    fn key_owner(&self, key: Key) -> Option<SocketAddr> {
        self.bucket_owner(eelgrasspier_store::bucket_of(key))
    }

    /// Returns true if this instance is the usual owner of the bucket.
    pub(super) fn owns_bucket(&self, bucket: usize) -> bool {
        self.bucket_owner(bucket).is_none()
    }

    fn bucket_owner(&self, bucket: usize) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let ready_members: Vec<_> =
            membership.live_peers().filter(|m| m.state() == InstanceState::Ready).collect();
        let mut keys: Vec<u64> = ready_members.iter().map(|m| m.key()).collect();
        keys.push(membership.own().key());
        let owner = rendezvous::owner(rendezvous::hash(OWNER_HASH_NAME) ^ bucket as u64, &keys)?;
        ready_members.get(owner)?.peer_addr.parse().ok()
    }

    async fn claim_at_owner(
        &self,
        owner: SocketAddr,
        key: Key,
        nonce: Nonce,
        timeout: Duration,
    ) -> Option<ClaimResult> {
        let time_left_ms = u64::try_from(timeout.as_millis()).unwrap_or(0);
        let claim = ClaimRequest {
            key_high: u64::try_from(key.0 >> HALF_BITS).unwrap_or_default(),
            key_low: u64::try_from(key.0 & u128::from(u64::MAX)).unwrap_or_default(),
            nonce,
            time_left_ms,
        };
        let Ok(Body::Claimed(claimed)) =
            self.peer_connections.request(owner, Body::Claim(claim), timeout).await
        else {
            return None;
        };
        match claimed.outcome() {
            ClaimOutcome::Unresolved => None,
            ClaimOutcome::Granted => Some(ClaimResult::Granted),
            ClaimOutcome::Taken => Some(ClaimResult::Taken),
            ClaimOutcome::Expired => Some(ClaimResult::Expired),
        }
    }

    /// Claims a key on behalf of another instance.
    pub(super) async fn claim_for_peer(&self, claim: ClaimRequest) -> Claimed {
        let key = Key((u128::from(claim.key_high) << HALF_BITS) | u128::from(claim.key_low));
        let until = Instant::now() + Duration::from_millis(claim.time_left_ms);
        let outcome = match self.claims.claim_on_behalf(key, claim.nonce, until).await {
            Ok(ClaimResult::Granted) => ClaimOutcome::Granted,
            Ok(ClaimResult::Taken) => ClaimOutcome::Taken,
            Ok(ClaimResult::Expired) => ClaimOutcome::Expired,
            Err(ClaimError::Unavailable) => ClaimOutcome::Unresolved,
        };
        Claimed { outcome: outcome as i32 }
    }
}
