//! Timeline of this process's events, in bounded memory.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use eelgrasspier_decide::prelude::InstanceId;
use eelgrasspier_operator::TimelineEntry;

use crate::clock::{Clock, epoch_ms};
use crate::event::Event;

/// Maximum number of stored events; at about 200 bytes each they use less than 1 MB.
const MAX_ENTRIES: usize = 4096;

/// Maximum number of rate-limited events recorded per second.
const MAX_RATE_LIMITED_PER_S: u32 = 10;

/// Recorder of this process's events.
#[derive(Debug)]
pub struct Timeline {
    id: InstanceId,
    clock: Clock,
    entries: Mutex<VecDeque<TimelineEntry>>,
    /// Current second and the number of rate-limited events in it.
    rate_limit: Mutex<(u64, u32)>,
}

impl Timeline {
    /// Creates an empty timeline for the process `id`.
    #[must_use]
    pub fn new(id: InstanceId) -> Self {
        Self {
            id,
            clock: Clock::default(),
            entries: Mutex::default(),
            rate_limit: Mutex::default(),
        }
    }

    /// Returns the clock that stamps the events.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records an event about `about`, such as a request id, and logs it.
    pub fn record(&self, event: Event, about: &str, detail: &str) {
        log::log!(event.level, "E{} {}: {about} {detail}", event.number, event.title);
        let entry = TimelineEntry {
            stamp: self.clock.stamp(),
            instance: self.id.name.clone(),
            incarnation: self.id.incarnation,
            number: event.number,
            title: event.title.to_owned(),
            about: about.to_owned(),
            detail: detail.to_owned(),
        };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() >= MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Records an event unless too many were recorded this way in the same second.
    ///
    /// A flood of refusals would displace all other events from the bounded memory just when they
    /// are needed. Metrics count all of them.
    pub fn record_rate_limited(&self, event: Event, about: &str, detail: &str) {
        let second = epoch_ms() / 1000;
        let count = {
            let mut rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
            if rate_limit.0 != second {
                *rate_limit = (second, 0);
            }
            rate_limit.1 += 1;
            rate_limit.1
        };
        if count <= MAX_RATE_LIMITED_PER_S {
            self.record(event, about, detail);
        }
    }

    /// Returns the events about `about` (all if empty) starting at `from_stamp`.
    #[must_use]
    pub fn entries(&self, about: &str, from_stamp: u64) -> Vec<TimelineEntry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted =
            |e: &&TimelineEntry| e.stamp >= from_stamp && (about.is_empty() || e.about == about);
        entries.iter().filter(wanted).cloned().collect()
    }
}
