//! Adaptive concurrency limit that follows what is answered in time.
//!
//! Each traffic thread has one gate per service. The gate limits the requests in progress to what
//! the backend servers can finish in time, and divides the limit between teams by weight. A request
//! that cannot finish in time is refused on arrival, with a retry-after time; a waiting request is
//! refused as soon as its remaining time no longer suffices.

use std::collections::{BTreeMap, VecDeque};

use crate::verdict::{Refusal, RefusalReason};

/// Minimum retry-after time of a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// Maximum retry-after time of a refusal, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
/// Maximum number of waiting requests per request that may run.
const MAX_WAITING_PER_RUNNING: usize = 1;
/// Weight of a new service time in the EWMA, as a negative power of two.
const SERVICE_TIME_EWMA_SHIFT: u32 = 4;
/// Relative increase of the baseline service time with each request, as a negative power of two.
const BASELINE_DRIFT_SHIFT: u32 = 13;
/// Minimum time between two reductions of the limit, in milliseconds.
const MIN_REDUCTION_INTERVAL_MS: u64 = 10;
/// Units of the internal limit per request, so that it can change by fractions of a request.
const LIMIT_UNITS_PER_REQUEST: u32 = 16;

/// Decision on an arriving request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Run,
    /// The request waits until the gate starts or refuses the ticket, at most until `until_ms`.
    Wait {
        /// Id of the waiting request.
        ticket: Ticket,
        /// Time at which it is refused if it has not been started, in milliseconds.
        until_ms: u64,
    },
    /// The request is refused at once.
    Refuse(Refusal),
}

/// Id of a waiting request.
pub type Ticket = u64;

/// Outcome of a request that ran, as used to adapt the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSignal {
    /// All parts arrived in time.
    InTime,
    /// A part was late.
    Late,
    /// A backend server shed a part.
    Shed,
    /// Unrelated to load, such as a refusal for another reason.
    Neutral,
}

/// Completion of a request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Outcome of the request.
    pub signal: LoadSignal,
    /// Run time in microseconds.
    pub took_us: u64,
    /// Time left until its deadline when it started, in microseconds.
    pub budget_us: u64,
}

/// Decision on a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// The request runs now.
    Start(Ticket),
    /// The request is refused now.
    Refuse(Ticket, Refusal),
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    until_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Team {
    weight: u32,
    running: u32,
    waiting: VecDeque<Waiting>,
}

/// Admission control for one service.
#[derive(Debug, Clone)]
pub struct Gate {
    limit_units: u32,
    max_running: u32,
    running: u32,
    mean_us: u64,
    /// Recent minimum of the mean: the service time without a queue.
    baseline_us: u64,
    teams: BTreeMap<String, Team>,
    next_ticket: Ticket,
    reduced_at_ms: u64,
}

impl Gate {
    /// Creates a gate that runs at most `max_running` requests at a time.
    #[must_use]
    pub fn new(max_running: u32) -> Self {
        let max_running = max_running.max(1);
        Self {
            limit_units: max_running * LIMIT_UNITS_PER_REQUEST,
            max_running,
            running: 0,
            mean_us: 0,
            baseline_us: 0,
            teams: BTreeMap::new(),
            next_ticket: 0,
            reduced_at_ms: 0,
        }
    }

    /// Sets the maximum number of running requests, which follows the share of connections.
    pub fn set_max_running(&mut self, max_running: u32) {
        // A limit that has not been reduced yet follows the maximum. Otherwise a new instance would
        // refuse requests that it could serve, until its limit had grown step by step.
        let is_unreduced = self.limit_units == self.max_running * LIMIT_UNITS_PER_REQUEST;
        self.max_running = max_running.max(1);
        let max_units = self.max_running * LIMIT_UNITS_PER_REQUEST;
        let units = if is_unreduced { max_units } else { self.limit_units };
        self.limit_units = units.clamp(LIMIT_UNITS_PER_REQUEST, max_units);
    }

    /// Returns the current limit on running requests.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit_units / LIMIT_UNITS_PER_REQUEST).max(1)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Decides on an arriving request of `team` with the deadline `deadline_ms`.
    pub fn admit(&mut self, team: &str, weight: u32, deadline_ms: u64, now_ms: u64) -> Decision {
        let entry = self.teams.entry(team.to_owned()).or_default();
        entry.weight = weight;
        if self.running < self.limit() && self.waiting() == 0 {
            self.start(team);
            return Decision::Run;
        }
        let limit = self.limit() as usize;
        let queued = self.teams.get(team).map_or(0, |t| t.waiting.len());
        let fair_queue = (self.fair_share(team) as usize * MAX_WAITING_PER_RUNNING).max(1);
        if queued >= fair_queue {
            let reason = match self.active_teams() {
                0 | 1 => RefusalReason::Overloaded,
                _ => RefusalReason::TeamShare(team.to_owned()),
            };
            return Decision::Refuse(self.refusal(reason));
        }
        let ahead = queued as u64 * (limit as u64) / u64::from(self.fair_share(team).max(1));
        let wait_ms = (ahead + 1) * self.mean_us / (limit as u64) / 1000;
        if now_ms + wait_ms + self.mean_us / 1000 > deadline_ms {
            return Decision::Refuse(self.refusal(RefusalReason::Overloaded));
        }
        // An early refusal is worth more to the caller, and the rest of the time is needed for the
        // work. A team below its share is next in line, so waiting is more useful to it.
        let running = self.teams.get(team).map_or(0, |t| t.running);
        let is_next = self.active_teams() > 1 && running < self.fair_share(team);
        let wait_divisor = if is_next { 2 } else { 4 };
        let until_ms = now_ms + deadline_ms.saturating_sub(now_ms) / wait_divisor;
        Decision::Wait { ticket: self.enqueue(team, until_ms), until_ms }
    }

    /// Records the completion of a request; returns decisions on waiting requests.
    pub fn complete(&mut self, team: &str, ended: Completion, now_ms: u64) -> Vec<Resolution> {
        self.running = self.running.saturating_sub(1);
        if let Some(entry) = self.teams.get_mut(team) {
            entry.running = entry.running.saturating_sub(1);
        }
        self.adapt_limit(ended, now_ms);
        self.start_waiting(now_ms)
    }

    /// Refuses waiting requests whose remaining time no longer suffices.
    pub fn refuse_expired(&mut self, now_ms: u64) -> Vec<Resolution> {
        let refusal = self.refusal(RefusalReason::Overloaded);
        let mut refused = Vec::new();
        for team in self.teams.values_mut() {
            team.waiting.retain(|w| {
                let is_kept = w.until_ms > now_ms;
                if !is_kept {
                    refused.push(Resolution::Refuse(w.ticket, refusal.clone()));
                }
                is_kept
            });
        }
        refused
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        for team in self.teams.values_mut() {
            team.waiting.retain(|w| w.ticket != ticket);
        }
    }

    fn start_waiting(&mut self, now_ms: u64) -> Vec<Resolution> {
        let mut resolved = self.refuse_expired(now_ms);
        while self.running < self.limit() {
            let Some(team) = self.next_team() else { break };
            let first = self.teams.get_mut(&team).and_then(|t| t.waiting.pop_front());
            let Some(waiting) = first else { break };
            self.start(&team);
            resolved.push(Resolution::Start(waiting.ticket));
        }
        self.teams.retain(|_, t| t.running > 0 || !t.waiting.is_empty());
        resolved
    }

    /// Returns the waiting team with the fewest running requests relative to its weight.
    fn next_team(&self) -> Option<String> {
        let waiting = self.teams.iter().filter(|(_, t)| !t.waiting.is_empty());
        let key = |t: &Team| u64::from(t.running) * 1_000_000 / u64::from(t.weight.max(1));
        waiting.min_by_key(|(_, t)| key(t)).map(|(name, _)| name.clone())
    }

    fn start(&mut self, team: &str) {
        self.running += 1;
        if let Some(entry) = self.teams.get_mut(team) {
            entry.running += 1;
        }
    }

    fn enqueue(&mut self, team: &str, until_ms: u64) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if let Some(entry) = self.teams.get_mut(team) {
            entry.waiting.push_back(Waiting { ticket, until_ms });
        }
        ticket
    }

    fn waiting(&self) -> usize {
        self.teams.values().map(|t| t.waiting.len()).sum()
    }

    fn active_teams(&self) -> usize {
        self.teams.values().filter(|t| t.running > 0 || !t.waiting.is_empty()).count()
    }

    /// Returns the share of the limit for `team` among all active teams.
    fn fair_share(&self, team: &str) -> u32 {
        let active = |(name, t): &(&String, &Team)| {
            name.as_str() == team || t.running > 0 || !t.waiting.is_empty()
        };
        let total: u32 = self.teams.iter().filter(active).map(|(_, t)| t.weight.max(1)).sum();
        let own = self.teams.get(team).map_or(1, |t| t.weight.max(1));
        (self.limit() * own / total.max(1)).max(1)
    }

    /// Raises the limit; on overload reduces it instead, at most once per service time.
    fn adapt_limit(&mut self, ended: Completion, now_ms: u64) {
        if ended.signal == LoadSignal::Neutral {
            return;
        }
        self.record_service_time(ended.took_us);
        if self.is_overloaded(ended) {
            self.reduce_limit(now_ms);
        } else {
            // Grows by a whole request with each completion. Below capacity, a few late answers
            // must not keep callers out for long; above it, the next reduction follows soon enough.
            self.limit_units = (self.limit_units + LIMIT_UNITS_PER_REQUEST)
                .min(self.max_running * LIMIT_UNITS_PER_REQUEST);
        }
    }

    fn record_service_time(&mut self, took_us: u64) {
        if self.mean_us == 0 {
            self.mean_us = took_us;
            self.baseline_us = took_us;
        }
        self.mean_us = self.mean_us - (self.mean_us >> SERVICE_TIME_EWMA_SHIFT)
            + (took_us >> SERVICE_TIME_EWMA_SHIFT);
        let drifted_us = self.baseline_us + (self.baseline_us >> BASELINE_DRIFT_SHIFT) + 1;
        self.baseline_us = drifted_us.min(self.mean_us);
    }

    /// Returns true if queues at the backend servers use up the time of requests.
    ///
    /// If three quarters of the time are used up, there is no room for the latency tail. A short
    /// deadline alone is no evidence, or one team with short deadlines would keep out all others:
    /// requests must also take longer than without a queue.
    fn is_overloaded(&self, ended: Completion) -> bool {
        let is_queued = self.mean_us > 2 * self.baseline_us;
        match ended.signal {
            LoadSignal::Shed => true,
            LoadSignal::Late => is_queued,
            LoadSignal::InTime => is_queued && ended.took_us > ended.budget_us * 3 / 4,
            LoadSignal::Neutral => false,
        }
    }

    fn reduce_limit(&mut self, now_ms: u64) {
        let interval_ms = (self.mean_us / 1000).max(MIN_REDUCTION_INTERVAL_MS);
        if now_ms >= self.reduced_at_ms + interval_ms {
            self.reduced_at_ms = now_ms;
            self.limit_units = (self.limit_units * 3 / 4).max(LIMIT_UNITS_PER_REQUEST);
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let queue = self.waiting() as u64 + 1;
        let drain_ms = queue * self.mean_us / u64::from(self.limit()) / 1000;
        let retry_after_ms = (2 * drain_ms).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        Refusal::not_run(reason, Some(retry_after_ms))
    }
}
