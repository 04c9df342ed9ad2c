//! Claims of idempotency keys, batched into conditional updates of buckets.
//!
//! One task for each bucket with work; a batch is all that came while the last
//! update was on its way. An update whose answer was lost is resolved by reading
//! the bucket again and looking for the attempt's nonce.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use eelgrasspier_decide::claim::{Bucket, Change, Key, Nonce, Outcome};
use eelgrasspier_decide::rendezvous;
use tokio::sync::oneshot;

use crate::backoff::Backoff;
use crate::store::{ObjectStore, UpdateError};
use crate::stored;

/// Buckets over which keys are spread.
pub const BUCKETS: usize = 16;
/// Least time between two updates of a bucket: 16 buckets make 200 a second.
const LEAST_INTERVAL: Duration = Duration::from_millis(80);
/// How long claims are kept, in milliseconds after the key's issue.
pub const KEEP_MS: u64 = 15 * 60 * 1000;
/// Most claims in one bucket; at 29 bytes each they stay well below a megabyte.
const MOST_CLAIMS: usize = 25_000;
/// Most given-up attempts of a bucket that wait to be released.
const MOST_RELEASES: usize = 10_000;
/// Time without any success after which claims are given up at the next failure.
const GIVE_UP_AFTER: Duration = Duration::from_millis(500);
/// Time by which callers' clocks, which issue keys, may be ahead, in milliseconds.
const MOST_AHEAD_MS: u64 = 2_000;
/// Shortest and longest pause between tries, in milliseconds.
const PAUSE_MS: (u64, u64) = (10, 1_000);

/// The claim could not be resolved in time; nothing may be sent.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// the platform did not confirm the claim in time
    Unavailable,
}

/// One attempt that waits for its claim.
#[derive(Debug)]
struct Waiting {
    key: Key,
    nonce: Nonce,
    until: Instant,
    done: oneshot::Sender<Outcome>,
}

#[derive(Debug, Default)]
struct BucketState {
    waiting: Vec<Waiting>,
    releases: VecDeque<(Key, Nonce)>,
    is_running: bool,
    /// Whether it is to be written though nobody waits for a claim.
    must_settle: bool,
    known: Option<(Option<u64>, Bucket)>,
    /// As last confirmed: what a restored platform may lack.
    remembered: Bucket,
    last_update: Option<Instant>,
}

/// Claims of idempotency keys by way of the platform.
#[derive(Clone)]
pub struct Claims {
    store: Rc<dyn ObjectStore>,
    buckets: Rc<Vec<RefCell<BucketState>>>,
    /// Since when no call to the platform has succeeded.
    failing_since: Rc<Cell<Option<Instant>>>,
    /// The platform's era, and when it was first seen, in milliseconds since the epoch.
    era_seen: Rc<Cell<(u64, u64)>>,
}

impl std::fmt::Debug for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claims").field("buckets", &self.buckets).finish_non_exhaustive()
    }
}

/// Bucket that a key falls into.
#[must_use]
pub fn bucket_of(key: Key) -> usize {
    const SEED: u64 = 0x6275_636b;
    let half = u64::try_from(key.0 & u128::from(u64::MAX)).unwrap_or_default();
    let spread = rendezvous::weight(SEED, half) % BUCKETS as u64;
    usize::try_from(spread).unwrap_or_default()
}

impl Claims {
    /// Claims kept in `store`.
    #[must_use]
    pub fn new(store: Rc<dyn ObjectStore>) -> Self {
        let buckets = (0..BUCKETS).map(|_| RefCell::default()).collect();
        Self {
            store,
            buckets: Rc::new(buckets),
            failing_since: Rc::default(),
            era_seen: Rc::default(),
        }
    }

    /// Claims `key` for the own attempt `nonce`; resolved by `until` at the latest.
    ///
    /// # Errors
    /// Fails if the platform did not confirm in time. The attempt must then be
    /// given up; its claim, should it have taken effect, is released later.
    pub async fn claim(
        &self,
        key: Key,
        nonce: Nonce,
        until: Instant,
    ) -> Result<Outcome, ClaimError> {
        let mut pending = Pending { claims: self, key, nonce, is_open: true };
        let outcome = self.claim_on_behalf(key, nonce, until).await?;
        pending.is_open = false;
        Ok(outcome)
    }

    /// Claims `key` for an attempt of another instance, which never is released here.
    ///
    /// Only the instance that would send knows that it never will. A release by
    /// anybody else could take the claim away from an attempt that has just found
    /// it granted; the caller's retry would then run a second time.
    ///
    /// # Errors
    /// Fails if the platform did not confirm in time.
    pub async fn claim_on_behalf(
        &self,
        key: Key,
        nonce: Nonce,
        until: Instant,
    ) -> Result<Outcome, ClaimError> {
        let (done, resolved) = oneshot::channel();
        let bucket = bucket_of(key);
        self.buckets[bucket].borrow_mut().waiting.push(Waiting { key, nonce, until, done });
        self.start(bucket);
        let waited = tokio::time::timeout_at(until.into(), resolved).await;
        waited.ok().and_then(Result::ok).ok_or(ClaimError::Unavailable)
    }

    /// Gives back the claim of an attempt that surely never sent anything.
    ///
    /// Without it a key whose claim took effect though its answer was lost would
    /// be refused on the caller's retry, and its request never run at all.
    pub fn release(&self, key: Key, nonce: Nonce) {
        let bucket = bucket_of(key);
        {
            let mut state = self.buckets[bucket].borrow_mut();
            if state.releases.len() >= MOST_RELEASES {
                state.releases.pop_front();
            }
            state.releases.push_back((key, nonce));
        }
        self.start(bucket);
    }

    /// Makes a bucket safe to claim in again after a restore of the platform.
    pub fn settle(&self, bucket: usize) {
        self.buckets[bucket].borrow_mut().must_settle = true;
        self.start(bucket);
    }

    fn start(&self, bucket: usize) {
        let mut state = self.buckets[bucket].borrow_mut();
        if !state.is_running {
            state.is_running = true;
            actix_rt::spawn(self.clone().run(bucket));
        }
    }

    /// Works until the bucket has no claim and no release left.
    async fn run(self, bucket: usize) {
        let mut backoff = Backoff::new(PAUSE_MS.0, PAUSE_MS.1);
        while self.has_work(bucket) {
            self.keep_interval(bucket).await;
            if self.step(bucket).await.is_ok() {
                self.failing_since.set(None);
                backoff.reset();
            } else {
                self.note_failure(bucket);
                tokio::time::sleep(backoff.next_pause()).await;
            }
        }
    }

    /// Gives up the waiting claims once the platform has been failing for a while.
    ///
    /// Callers then learn at once that nothing was run and when to come back; to
    /// hold each of them until its deadline would help nobody in a long outage.
    fn note_failure(&self, bucket: usize) {
        let since = self.failing_since.get().unwrap_or_else(Instant::now);
        self.failing_since.set(Some(since));
        if since.elapsed() >= GIVE_UP_AFTER {
            self.buckets[bucket].borrow_mut().waiting.clear();
        }
    }

    fn has_work(&self, bucket: usize) -> bool {
        let mut state = self.buckets[bucket].borrow_mut();
        let now = Instant::now();
        state.waiting.retain(|w| w.until > now && !w.done.is_closed());
        state.is_running =
            !state.waiting.is_empty() || !state.releases.is_empty() || state.must_settle;
        state.is_running
    }

    async fn keep_interval(&self, bucket: usize) {
        let last = self.buckets[bucket].borrow().last_update;
        if let Some(last) = last {
            tokio::time::sleep_until((last + LEAST_INTERVAL).into()).await;
        }
    }

    /// One read where needed, and one conditional update of all that waits.
    async fn step(&self, bucket: usize) -> Result<(), ()> {
        let (version, known) = self.known(bucket).await?;
        let era = known.era;
        self.resolve(bucket, &known);
        let batch = self.batch(bucket);
        // What is not there has no claims to lose.
        let must_settle =
            std::mem::take(&mut self.buckets[bucket].borrow_mut().must_settle) && version.is_some();
        if batch.is_empty() && !must_settle {
            return Ok(());
        }
        let mut next = known;
        next.raise_floor(now_ms().saturating_sub(KEEP_MS), MOST_CLAIMS);
        let next = next.with(&batch);
        let name = stored::bucket_object(bucket);
        let updated = self.store.update(&name, version, stored::encode_bucket(&next)).await;
        let mut state = self.buckets[bucket].borrow_mut();
        state.last_update = Some(Instant::now());
        state.known = None;
        match updated {
            Ok(version) => {
                state.known = Some((Some(version), next.clone()));
                state.remembered = next.clone();
                drop(state);
                self.forget_releases(bucket, &batch);
                self.resolve(bucket, &next);
                Ok(())
            }
            // The next step reads the bucket again and looks for the nonces.
            Err(UpdateError::Conflict) => Ok(()),
            Err(UpdateError::Unknown(_)) if self.store.era() != era => Ok(()),
            Err(UpdateError::NotApplied(_) | UpdateError::Unknown(_)) => {
                state.must_settle = must_settle;
                Err(())
            }
        }
    }

    async fn known(&self, bucket: usize) -> Result<(Option<u64>, Bucket), ()> {
        let known = self.buckets[bucket].borrow().known.clone();
        if let Some(known) = known.filter(|(_, known)| known.era == self.store.era()) {
            return Ok(known);
        }
        let name = stored::bucket_object(bucket);
        let read = self.store.read(&name).await.map_err(|_| ())?;
        let era = self.store.era();
        self.note_era(era);
        let mut known = match read {
            None => (None, Bucket::default()),
            Some(object) => {
                let decoded = stored::decode_bucket(&object.value).map_err(|_| ())?;
                (Some(object.version), decoded)
            }
        };
        let mut state = self.buckets[bucket].borrow_mut();
        if known.1.era != era {
            // One that is not there may never have been: then only keys of before this era count.
            let from_ms = if known.0.is_some() { now_ms() } else { self.era_seen.get().1 };
            let floor_ms = from_ms + MOST_AHEAD_MS;
            log::warn!(
                "bucket {bucket} is of era {}, the platform of {era}: keys before {floor_ms} are refused",
                known.1.era
            );
            known.1.enter(era, floor_ms, &state.remembered);
        }
        state.known = Some(known.clone());
        Ok(known)
    }

    /// Notes when an era was first seen here.
    fn note_era(&self, era: u64) {
        if self.era_seen.get().0 != era {
            self.era_seen.set((era, now_ms()));
        }
    }

    /// Answers the attempts whose outcome the bucket shows.
    fn resolve(&self, bucket: usize, known: &Bucket) {
        let mut state = self.buckets[bucket].borrow_mut();
        let waiting = std::mem::take(&mut state.waiting);
        for one in waiting {
            let Some(outcome) = known.outcome(one.key, one.nonce) else {
                state.waiting.push(one);
                continue;
            };
            // Where nobody listens any more, the attempt's guard releases.
            let _gone = one.done.send(outcome).is_err();
        }
    }

    fn batch(&self, bucket: usize) -> Vec<Change> {
        let state = self.buckets[bucket].borrow();
        let releases = state.releases.iter().map(|&(key, nonce)| Change::Release(key, nonce));
        let claims = state.waiting.iter().map(|w| Change::Claim(w.key, w.nonce));
        releases.chain(claims).collect()
    }

    /// Forgets the releases of a confirmed batch.
    ///
    /// Only a confirmed update ends a release, also where the bucket did not hold
    /// the claim: an earlier update on its way could still bring it, and can not
    /// once the bucket's version has moved.
    fn forget_releases(&self, bucket: usize, batch: &[Change]) {
        let mut state = self.buckets[bucket].borrow_mut();
        state.releases.retain(|&(key, nonce)| !batch.contains(&Change::Release(key, nonce)));
    }
}

/// An unresolved claim; dropped without an outcome, it is released.
struct Pending<'a> {
    claims: &'a Claims,
    key: Key,
    nonce: Nonce,
    is_open: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.claims.release(self.key, self.nonce);
        }
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
