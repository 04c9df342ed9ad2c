//! Claims of idempotency keys, batched into conditional updates of buckets.
//!
//! Each bucket with pending work has one task. A batch holds all claims and releases that arrived
//! while the previous update was in flight. If the answer to an update is lost, the bucket is read
//! again and searched for the attempt's nonce.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use eelgrasspier_decide::claim::{Bucket, BucketChange, ClaimResult, Key, Nonce};
use eelgrasspier_decide::rendezvous;
use tokio::sync::oneshot;

use crate::backoff::Backoff;
use crate::store::{ObjectStore, UpdateError};
use crate::stored;

/// Number of buckets that keys are distributed over.
pub const BUCKET_COUNT: usize = 16;
/// Minimum interval between two updates of a bucket; 16 buckets allow 200 updates per second.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(80);
/// Retention period of claims after the key was issued, in milliseconds.
pub const RETENTION_MS: u64 = 15 * 60 * 1000;
/// Maximum number of claims in a bucket; at 29 bytes each they take well below one megabyte.
const MAX_CLAIMS: usize = 25_000;
/// Maximum number of abandoned attempts per bucket that wait for release.
const MAX_PENDING_RELEASES: usize = 10_000;
/// Time without a successful platform call after which the next failure fails the waiting claims.
const GIVE_UP_AFTER: Duration = Duration::from_millis(500);
/// Maximum time in milliseconds by which the clocks of callers, which issue keys, may be ahead.
const MAX_CLOCK_SKEW_MS: u64 = 2_000;
/// Minimum and maximum delay between retries, in milliseconds.
const RETRY_DELAY_MS: (u64, u64) = (10, 1_000);

/// Error of a claim that was not resolved in time; the request must not be sent.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// the platform did not confirm the claim in time
    Unavailable,
}

/// Attempt that waits for its claim.
#[derive(Debug)]
struct PendingClaim {
    key: Key,
    nonce: Nonce,
    until: Instant,
    done: oneshot::Sender<ClaimResult>,
}

#[derive(Debug, Default)]
struct BucketState {
    waiting: Vec<PendingClaim>,
    releases: VecDeque<(Key, Nonce)>,
    is_running: bool,
    /// True if the bucket must be written even though no claim is waiting.
    must_rewrite: bool,
    cached: Option<(Option<u64>, Bucket)>,
    /// Last confirmed content, which a restored platform may lack.
    last_confirmed: Bucket,
    last_update: Option<Instant>,
}

/// Claims of idempotency keys, stored on the platform.
#[derive(Clone)]
pub struct Claims {
    store: Rc<dyn ObjectStore>,
    buckets: Rc<Vec<RefCell<BucketState>>>,
    /// Time of the first failure since the last successful platform call.
    failing_since: Rc<Cell<Option<Instant>>>,
    /// Current era of the platform and the time it was first seen, in milliseconds since the Unix
    /// epoch.
    era_seen: Rc<Cell<(u64, u64)>>,
}

impl std::fmt::Debug for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claims").field("buckets", &self.buckets).finish_non_exhaustive()
    }
}

/// Returns the bucket of a key.
#[must_use]
pub fn bucket_of(key: Key) -> usize {
    const SEED: u64 = 0x6275_636b;
    let low_half = u64::try_from(key.0 & u128::from(u64::MAX)).unwrap_or_default();
    let index = rendezvous::weight(SEED, low_half) % BUCKET_COUNT as u64;
    usize::try_from(index).unwrap_or_default()
}

impl Claims {
    /// Creates claims that are stored in `store`.
    #[must_use]
    pub fn new(store: Rc<dyn ObjectStore>) -> Self {
        let buckets = (0..BUCKET_COUNT).map(|_| RefCell::default()).collect();
        Self {
            store,
            buckets: Rc::new(buckets),
            failing_since: Rc::default(),
            era_seen: Rc::default(),
        }
    }

    /// Claims `key` for the local attempt `nonce`; resolved by `until` at the latest.
    ///
    /// # Errors
    /// Fails if the platform did not confirm in time. The attempt must then be abandoned. If its
    /// claim took effect nevertheless, it is released later.
    pub async fn claim(
        &self,
        key: Key,
        nonce: Nonce,
        until: Instant,
    ) -> Result<ClaimResult, ClaimError> {
        let mut pending = UnresolvedClaim { claims: self, key, nonce, is_unresolved: true };
        let outcome = self.claim_on_behalf(key, nonce, until).await?;
        pending.is_unresolved = false;
        Ok(outcome)
    }

    /// Claims `key` for an attempt of another instance; such a claim is never released here.
    ///
    /// Only the instance that would send the request knows that it never will. A release by another
    /// instance could remove the claim of an attempt that has just seen it granted, and the
    /// caller's retry would then run a second time.
    ///
    /// # Errors
    /// Fails if the platform did not confirm in time.
    pub async fn claim_on_behalf(
        &self,
        key: Key,
        nonce: Nonce,
        until: Instant,
    ) -> Result<ClaimResult, ClaimError> {
        let (done, resolved) = oneshot::channel();
        let bucket = bucket_of(key);
        self.buckets[bucket].borrow_mut().waiting.push(PendingClaim { key, nonce, until, done });
        self.start(bucket);
        let result = tokio::time::timeout_at(until.into(), resolved).await;
        result.ok().and_then(Result::ok).ok_or(ClaimError::Unavailable)
    }

    /// Releases the claim of an attempt whose request certainly did not run.
    ///
    /// If a claim took effect but its answer was lost, the caller's retry would otherwise be
    /// refused and the request would never run.
    pub fn release(&self, key: Key, nonce: Nonce) {
        let bucket = bucket_of(key);
        {
            let mut state = self.buckets[bucket].borrow_mut();
            if state.releases.len() >= MAX_PENDING_RELEASES {
                state.releases.pop_front();
            }
            state.releases.push_back((key, nonce));
        }
        self.start(bucket);
    }

    /// Schedules a write of a bucket that makes it safe for claims after the platform was restored.
    pub fn schedule_rewrite(&self, bucket: usize) {
        self.buckets[bucket].borrow_mut().must_rewrite = true;
        self.start(bucket);
    }

    fn start(&self, bucket: usize) {
        let mut state = self.buckets[bucket].borrow_mut();
        if !state.is_running {
            state.is_running = true;
            actix_rt::spawn(self.clone().process(bucket));
        }
    }

    /// Processes the bucket until it has no pending claim or release.
    async fn process(self, bucket: usize) {
        let mut backoff = Backoff::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        while self.prune_and_check_work(bucket) {
            self.wait_for_interval(bucket).await;
            if self.step(bucket).await.is_ok() {
                self.failing_since.set(None);
                backoff.reset();
            } else {
                self.on_failure(bucket);
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }

    /// Fails the waiting claims once the platform has been failing for [`GIVE_UP_AFTER`].
    ///
    /// Callers then learn immediately that nothing was run and when to retry. Holding each of them
    /// until its deadline would not help in a long outage.
    fn on_failure(&self, bucket: usize) {
        let since = self.failing_since.get().unwrap_or_else(Instant::now);
        self.failing_since.set(Some(since));
        if since.elapsed() >= GIVE_UP_AFTER {
            self.buckets[bucket].borrow_mut().waiting.clear();
        }
    }

    fn prune_and_check_work(&self, bucket: usize) -> bool {
        let mut state = self.buckets[bucket].borrow_mut();
        let now = Instant::now();
        state.waiting.retain(|w| w.until > now && !w.done.is_closed());
        state.is_running =
            !state.waiting.is_empty() || !state.releases.is_empty() || state.must_rewrite;
        state.is_running
    }

    async fn wait_for_interval(&self, bucket: usize) {
        let last = self.buckets[bucket].borrow().last_update;
        if let Some(last) = last {
            tokio::time::sleep_until((last + MIN_UPDATE_INTERVAL).into()).await;
        }
    }

    /// Reads the bucket if necessary and applies all pending changes in one conditional update.
    async fn step(&self, bucket: usize) -> Result<(), ()> {
        let (version, current) = self.load(bucket).await?;
        let era = current.era;
        self.resolve(bucket, &current);
        let batch = self.batch(bucket);
        // A bucket that does not exist has no claims to lose.
        let must_rewrite = std::mem::take(&mut self.buckets[bucket].borrow_mut().must_rewrite)
            && version.is_some();
        if batch.is_empty() && !must_rewrite {
            return Ok(());
        }
        let mut next = current;
        next.raise_floor(now_ms().saturating_sub(RETENTION_MS), MAX_CLAIMS);
        let next = next.with_changes(&batch);
        let name = stored::bucket_object(bucket);
        let updated = self.store.update(&name, version, stored::encode_bucket(&next)).await;
        let mut state = self.buckets[bucket].borrow_mut();
        state.last_update = Some(Instant::now());
        state.cached = None;
        match updated {
            Ok(version) => {
                state.cached = Some((Some(version), next.clone()));
                state.last_confirmed = next.clone();
                drop(state);
                self.remove_confirmed_releases(bucket, &batch);
                self.resolve(bucket, &next);
                Ok(())
            }
            // The next step reads the bucket again and searches for the nonces.
            Err(UpdateError::Conflict) => Ok(()),
            Err(UpdateError::Unknown(_)) if self.store.era() != era => Ok(()),
            Err(UpdateError::NotApplied(_) | UpdateError::Unknown(_)) => {
                state.must_rewrite = must_rewrite;
                Err(())
            }
        }
    }

    async fn load(&self, bucket: usize) -> Result<(Option<u64>, Bucket), ()> {
        let cached = self.buckets[bucket].borrow().cached.clone();
        if let Some(cached) = cached.filter(|(_, cached)| cached.era == self.store.era()) {
            return Ok(cached);
        }
        let name = stored::bucket_object(bucket);
        let read = self.store.read(&name).await.map_err(|_| ())?;
        let era = self.store.era();
        self.record_era(era);
        let mut cached = match read {
            None => (None, Bucket::default()),
            Some(object) => {
                let decoded = stored::decode_bucket(&object.value).map_err(|_| ())?;
                (Some(object.version), decoded)
            }
        };
        let mut state = self.buckets[bucket].borrow_mut();
        if cached.1.era != era {
            // A missing bucket may never have existed; then only keys issued before this era was
            // first seen are refused.
            let from_ms = if cached.0.is_some() { now_ms() } else { self.era_seen.get().1 };
            let floor_ms = from_ms + MAX_CLOCK_SKEW_MS;
            log::warn!(
                "bucket {bucket} is from era {}, platform is in era {era}: refusing keys issued before {floor_ms} ms",
                cached.1.era
            );
            cached.1.enter_era(era, floor_ms, &state.last_confirmed);
        }
        state.cached = Some(cached.clone());
        Ok(cached)
    }

    /// Records the time when an era is first seen.
    fn record_era(&self, era: u64) {
        if self.era_seen.get().0 != era {
            self.era_seen.set((era, now_ms()));
        }
    }

    /// Resolves the attempts whose outcome is in the bucket.
    fn resolve(&self, bucket: usize, current: &Bucket) {
        let mut state = self.buckets[bucket].borrow_mut();
        let waiting = std::mem::take(&mut state.waiting);
        for pending in waiting {
            let Some(outcome) = current.outcome(pending.key, pending.nonce) else {
                state.waiting.push(pending);
                continue;
            };
            // If the receiver is gone, the attempt's guard releases the claim.
            let _is_dropped = pending.done.send(outcome).is_err();
        }
    }

    fn batch(&self, bucket: usize) -> Vec<BucketChange> {
        let state = self.buckets[bucket].borrow();
        let releases = state.releases.iter().map(|&(key, nonce)| BucketChange::Release(key, nonce));
        let claims = state.waiting.iter().map(|w| BucketChange::Claim(w.key, w.nonce));
        releases.chain(claims).collect()
    }

    /// Removes the releases of a confirmed batch.
    ///
    /// Only a confirmed update completes a release, even if the bucket did not hold the claim. An
    /// earlier update in flight could still add the claim, but no longer once the bucket's version
    /// has changed.
    fn remove_confirmed_releases(&self, bucket: usize, batch: &[BucketChange]) {
        let mut state = self.buckets[bucket].borrow_mut();
        state.releases.retain(|&(key, nonce)| !batch.contains(&BucketChange::Release(key, nonce)));
    }
}

/// Unresolved claim; released if it is dropped without an outcome.
struct UnresolvedClaim<'a> {
    claims: &'a Claims,
    key: Key,
    nonce: Nonce,
    is_unresolved: bool,
}

impl Drop for UnresolvedClaim<'_> {
    fn drop(&mut self) {
        if self.is_unresolved {
            self.claims.release(self.key, self.nonce);
        }
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
