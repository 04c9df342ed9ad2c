//! The operators' text: watching, distributing and submitting it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrasspier_decide::config::{self, Edit, OfferResult, Submission};
use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::membership::{InstanceState, Member};
use eelgrasspier_decide::prelude::Services;
use eelgrasspier_decide::rendezvous;
use eelgrasspier_operator::{SubmitRequest, SubmitResponse, TextResponse};
use eelgrasspier_peer::wire::Body;
use eelgrasspier_store::stored::{StoredEdit, StoredText, TEXT_OBJECT};
use eelgrasspier_store::{Backoff, Object, UpdateError};
use prost::Message;

use super::Control;
use crate::event;

/// Number of instances per availability zone that watch the platform.
const WATCHERS_PER_ZONE: usize = 2;
/// Duration of one watch in milliseconds.
const WATCH_DURATION_MS: u64 = 20_000;
/// Minimum time between two polls of an instance that does not watch.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(20);
/// Time between polls per live instance, which keeps the rate of all instances at 10/s.
const POLL_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);
/// Minimum and maximum backoff after a failed read, in milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (100, 3_000);
/// Timeout for fetching the text from another instance.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum jitter in milliseconds before an instance rewrites the text to a restored platform.
const MAX_REWRITE_JITTER_MS: u64 = 500;
/// Time for which a submission is retried.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Control {
    /// Watches or polls the text on the platform for as long as the thread runs.
    pub(super) async fn follow_text(self: Rc<Self>) {
        let mut backoff = Backoff::new(BACKOFF_RANGE_MS.0, BACKOFF_RANGE_MS.1);
        let mut is_first = true;
        loop {
            let read = if is_first {
                self.store.read(TEXT_OBJECT).await
            } else if self.is_watcher() {
                let after = self.in_force.borrow().version().unwrap_or(0);
                tokio::select! {
                    read = self.store.watch(TEXT_OBJECT, after, WATCH_DURATION_MS) => read,
                    () = self.restored.notified() => self.store.read(TEXT_OBJECT).await,
                }
            } else {
                self.wait_for_poll().await;
                self.store.read(TEXT_OBJECT).await
            };
            self.record_platform_state(read.is_ok());
            match read {
                Ok(object) => {
                    is_first = false;
                    backoff.reset();
                    if let Some(Object { version, value }) = object
                        && self.apply_text(version, value, "platform") == OfferResult::StoreOutdated
                    {
                        self.rewrite_text(version).await;
                    }
                }
                Err(_) => tokio::time::sleep(backoff.next_delay()).await,
            }
        }
    }

    /// Returns true if this instance is one of those in its zone that watch the platform.
    fn is_watcher(&self) -> bool {
        let membership = self.membership.borrow();
        let own = membership.own();
        let same_zone = membership.live_peers().filter(|m| m.zone == own.zone);
        let keys: Vec<u64> =
            same_zone.chain([own]).map(eelgrasspier_decide::membership::Member::key).collect();
        let key = rendezvous::hash(TEXT_OBJECT);
        rendezvous::is_in_top(key, own.key(), &keys, WATCHERS_PER_ZONE)
    }

    /// Waits until the next poll is due or this instance becomes a watcher.
    async fn wait_for_poll(&self) {
        let count = u32::try_from(self.membership.borrow().live_count()).unwrap_or(u32::MAX);
        let pause = MIN_POLL_INTERVAL.max(POLL_INTERVAL_PER_INSTANCE.saturating_mul(count));
        let until = Instant::now() + pause.mul_f64(rand::random_range(0.75..1.25));
        while !self.is_watcher() {
            let changed = self.watch_roles_changed.notified();
            if tokio::time::timeout_at(until.into(), changed).await.is_err() {
                return;
            }
        }
    }

    /// Puts a stored text in force if it is newer than the current one.
    pub(super) fn apply_text(&self, version: u64, value: Bytes, source: &str) -> OfferResult {
        if self.in_force.borrow().version() == Some(version) {
            return OfferResult::NotNewer;
        }
        let about = format!("version {}", Position::from_packed(version));
        let parsed = StoredText::decode(value.clone()).map_err(|e| e.to_string()).and_then(|s| {
            Services::try_from(s.text.as_str()).map_err(|e| e.to_string()).map(|r| (s, r))
        });
        let (stored, services) = match parsed {
            Ok(parsed) => parsed,
            Err(errors) => {
                self.record(event::TEXT_BROKEN, &about, &errors);
                return OfferResult::NotNewer;
            }
        };
        let before = self.in_force.borrow().version();
        let offered = self.in_force.borrow_mut().offer(version, &stored.accepted_edits());
        match &offered {
            OfferResult::Accepted { lost } => self.record_lost_edits(lost, &about),
            OfferResult::NotNewer => {
                if before > Some(version) {
                    let detail = format!("from {source}, version in force {before:?}");
                    self.record(event::TEXT_STALE, &about, &detail);
                }
                return offered;
            }
            OfferResult::StoreOutdated => {
                let detail = format!("from {source}, version in force {before:?}; rewriting it");
                self.record(event::TEXT_STALE, &about, &detail);
                return offered;
            }
        }
        let version = self.in_force.borrow().version().unwrap_or(version);
        *self.services.borrow_mut() = Arc::new(services);
        *self.stored.borrow_mut() = Some(value);
        self.membership.borrow_mut().update_own(|m| m.config_version = version);
        self.record(event::TEXT_IN_FORCE, &about, source);
        self.publish();
        offered
    }

    /// Records each accepted edit that is missing from a text, with its submitter.
    fn record_lost_edits(&self, lost: &[u64], about: &str) {
        let stored = self.stored.borrow().clone().and_then(|s| StoredText::decode(s).ok());
        let edits = stored.map(|s| s.edits).unwrap_or_default();
        for edit in edits.iter().filter(|e| lost.contains(&e.edit_id)) {
            let detail = format!(
                "submitted by {}, accepted before the platform was restored, missing from {about}",
                edit.submitter
            );
            self.record(event::EDIT_LOST, &edit.edit_id.to_string(), &detail);
        }
    }

    /// Overwrites the older text of a restored platform with the text in force.
    ///
    /// Several instances may try at once; the conditional update lets only one of them succeed.
    async fn rewrite_text(&self, stored_version: u64) {
        let jitter_ms = rand::random_range(0..MAX_REWRITE_JITTER_MS);
        tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
        let Some(value) = self.stored.borrow().clone() else { return };
        match self.store.update(TEXT_OBJECT, Some(stored_version), value.clone()).await {
            Ok(version) => {
                self.apply_text(version, value, "rewrite after restore");
            }
            Err(error) => self.record(
                event::TEXT_STALE,
                &format!("version {}", Position::from_packed(stored_version)),
                &format!("rewrite failed: {error}"),
            ),
        }
    }

    /// Fetches the text from the member that announces the newest version.
    pub(super) fn fetch_newer_text(self: &Rc<Self>) {
        let own = self.in_force.borrow().version().unwrap_or(0);
        let membership = self.membership.borrow();
        let is_wanted = |m: &&Member| m.config_version > own || self.needs_confirmation_from(m);
        let newest = membership.live_peers().filter(is_wanted).max_by_key(|m| m.config_version);
        let Some(member) = newest else { return };
        // The local text may come from a restored platform and be older despite a higher version.
        let own = if member.config_version > own { own } else { 0 };
        let Ok(addr) = member.peer_addr.parse() else { return };
        if self.is_fetching.replace(true) {
            return;
        }
        let control = Rc::clone(self);
        let name = member.name.clone();
        actix_rt::spawn(async move {
            let reply =
                control.peer_connections.request(addr, Body::TextAbove(own), FETCH_TIMEOUT).await;
            if let Ok(Body::Text(text)) = reply {
                if text.version > 0 {
                    control.apply_text(text.version, text.stored, &name);
                }
                if !control.is_confirmed.replace(true) {
                    control.publish();
                }
            } else {
                tokio::time::sleep(Duration::from_millis(BACKOFF_RANGE_MS.0)).await;
            }
            control.is_fetching.set(false);
            // If the fetch failed or a newer text was announced meanwhile, the next refresh fetches
            // again, even if no membership record has changed.
            control.force_refresh();
        });
    }

    /// Returns true if this starting instance must confirm its text with `member`, which is ready.
    ///
    /// A restored platform may hold an older text than the one in force on the other instances.
    pub(super) fn needs_confirmation_from(&self, member: &Member) -> bool {
        let is_starting = self.state.get() == InstanceState::Starting && !self.is_confirmed.get();
        is_starting && member.state() == InstanceState::Ready && member.config_version > 0
    }

    pub(super) fn text_in_force(&self) -> Option<TextResponse> {
        let stored = self.stored.borrow().clone()?;
        let text = StoredText::decode(stored).ok()?.text;
        Some(TextResponse { version: self.in_force.borrow().version()?, text })
    }

    /// Submits an edit, retrying until its outcome is known or the timeout expires.
    pub(super) async fn submit(&self, submit_request: SubmitRequest) -> SubmitResponse {
        if let Err(errors) = Services::try_from(submit_request.text.as_str()) {
            return SubmitResponse::Broken { errors: errors.to_string() };
        }
        let until = Instant::now() + SUBMIT_TIMEOUT;
        let mut backoff = Backoff::new(BACKOFF_RANGE_MS.0, BACKOFF_RANGE_MS.1);
        let mut reason = String::new();
        while Instant::now() < until {
            match self.try_submit(&submit_request).await {
                Ok(answer) => {
                    self.record_submission(&submit_request, &answer);
                    return answer;
                }
                Err(error) => reason = error,
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
        let answer = SubmitResponse::Unknown { reason };
        self.record_submission(&submit_request, &answer);
        answer
    }

    /// Reads the text once and updates it conditionally if the edit is still undecided.
    async fn try_submit(&self, submit_request: &SubmitRequest) -> Result<SubmitResponse, String> {
        let read = self.store.read(TEXT_OBJECT).await.map_err(|e| e.to_string())?;
        let (version, mut stored) = match read {
            None => (0, StoredText::default()),
            Some(Object { version, value }) => {
                let stored = StoredText::decode(value.clone()).map_err(|e| e.to_string())?;
                if self.apply_text(version, value, "platform") == OfferResult::StoreOutdated {
                    self.rewrite_text(version).await;
                    return Err("the restored platform holds an older text".to_owned());
                }
                (version, stored)
            }
        };
        let edit = Edit { edit_id: submit_request.edit_id, base: submit_request.base };
        match config::resolve(&edit, version, &stored.accepted_edits()) {
            Submission::Accepted(version) => return Ok(SubmitResponse::Accepted { version }),
            Submission::Superseded(version) => return Ok(SubmitResponse::Superseded { version }),
            Submission::Conflict(version) => return Ok(SubmitResponse::Conflict { version }),
            Submission::Open => {}
        }
        stored.text.clone_from(&submit_request.text);
        stored.edits.push(StoredEdit {
            edit_id: submit_request.edit_id,
            base: submit_request.base,
            submitter: submit_request.submitter.clone(),
        });
        let surplus = stored.edits.len().saturating_sub(config::MAX_RECENT_EDITS);
        stored.edits.drain(..surplus);
        let value = Bytes::from(stored.encode_to_vec());
        let expected = (version > 0).then_some(version);
        match self.store.update(TEXT_OBJECT, expected, value.clone()).await {
            Ok(version) => {
                self.apply_text(version, value, "submission");
                Ok(SubmitResponse::Accepted { version })
            }
            // The next attempt reads the text again and finds this edit or a different one.
            Err(UpdateError::Conflict) => Err("conflict".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    fn record_submission(&self, submit_request: &SubmitRequest, answer: &SubmitResponse) {
        let event = match answer {
            SubmitResponse::Accepted { .. } | SubmitResponse::Superseded { .. } => {
                event::EDIT_ACCEPTED
            }
            SubmitResponse::Conflict { .. } => event::EDIT_CONFLICT,
            _ => event::EDIT_UNKNOWN,
        };
        let detail = format!(
            "by {} on version {}: {answer:?}",
            submit_request.submitter, submit_request.base
        );
        self.record(event, &submit_request.edit_id.to_string(), &detail);
    }
}
