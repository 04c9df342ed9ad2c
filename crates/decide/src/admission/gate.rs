//! A bound on the requests in progress, which follows what is answered in time.
//!
//! One gate stands before each service in each traffic thread. It bounds the
//! requests in progress by a limit that follows what the backend servers can
//! finish in time, and shares it between teams by weight. A request that cannot
//! finish in time is refused when it comes, with when to come back; a request
//! that waits is refused as soon as its time no longer suffices.

use std::collections::{BTreeMap, VecDeque};

use crate::verdict::{Refusal, RefusalReason};

/// Shortest time after which a refused caller is asked to come back.
const LEAST_RETRY_AFTER_MS: u64 = 50;
/// Longest time after which a refused caller is asked to come back.
const MOST_RETRY_AFTER_MS: u64 = 5_000;
/// Requests that may wait for each one that may run.
const WAITING_PER_RUNNING: usize = 1;
/// Share of a new service time in the running mean, as a power of two.
const MEAN_SHIFT: u32 = 4;
/// Upward drift of the least mean with each request, as a power of two.
const BASE_DRIFT_SHIFT: u32 = 13;
/// Shortest time between two cuts of the limit.
const LEAST_SHRINK_PAUSE_MS: u64 = 10;
/// The limit in sixteenths, so that it can grow by less than one.
const LIMIT_UNIT: u32 = 16;

/// What the gate says to a request that comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run now.
    Run,
    /// Wait until the gate starts or refuses the ticket, at most until `until_ms`.
    Wait {
        /// Number of the waiting request.
        ticket: Ticket,
        /// When it is refused if nothing was heard.
        until_ms: u64,
    },
    /// Refused at once.
    Refuse(Refusal),
}

/// Number of a waiting request.
pub type Ticket = u64;

/// How a request that ran has ended, as far as the limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// All parts came in time.
    InTime,
    /// A part was late.
    Late,
    /// A backend server shed a part.
    Shed,
    /// It says nothing about load, such as a refusal for other causes.
    Neutral,
}

/// The end of a request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// How it has ended.
    pub ending: Ending,
    /// How long it ran.
    pub took_us: u64,
    /// How long it could have run when it started.
    pub budget_us: u64,
}

/// A waiting request that the gate has decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolved {
    /// It runs now.
    Start(Ticket),
    /// It is refused now.
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

/// The gate before one service.
#[derive(Debug, Clone)]
pub struct Gate {
    limit_units: u32,
    most: u32,
    running: u32,
    mean_us: u64,
    /// The least that the mean has been lately: what work takes without a queue.
    base_us: u64,
    teams: BTreeMap<String, Team>,
    next_ticket: Ticket,
    strained_at_ms: u64,
}

impl Gate {
    /// A gate that lets at most `most` requests run at a time.
    #[must_use]
    pub fn new(most: u32) -> Self {
        let most = most.max(1);
        Self {
            limit_units: most * LIMIT_UNIT,
            most,
            running: 0,
            mean_us: 0,
            base_us: 0,
            teams: BTreeMap::new(),
            next_ticket: 0,
            strained_at_ms: 0,
        }
    }

    /// Changes the most that may run at a time, as the share of connections does.
    pub fn set_most(&mut self, most: u32) {
        // A limit that nothing has cut yet follows; else a new instance would refuse
        // what it could well do until its limit has grown step by step.
        let is_uncut = self.limit_units == self.most * LIMIT_UNIT;
        self.most = most.max(1);
        let most_units = self.most * LIMIT_UNIT;
        let units = if is_uncut { most_units } else { self.limit_units };
        self.limit_units = units.clamp(LIMIT_UNIT, most_units);
    }

    /// Requests that may run at a time now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit_units / LIMIT_UNIT).max(1)
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// A request of `team` comes, to be answered by `deadline_ms`.
    pub fn offer(&mut self, team: &str, weight: u32, deadline_ms: u64, now_ms: u64) -> Decision {
        let entry = self.teams.entry(team.to_owned()).or_default();
        entry.weight = weight;
        if self.running < self.limit() && self.waiting() == 0 {
            self.start(team);
            return Decision::Run;
        }
        let limit = self.limit() as usize;
        let queued = self.teams.get(team).map_or(0, |t| t.waiting.len());
        let fair_queue = (self.fair_share(team) as usize * WAITING_PER_RUNNING).max(1);
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
        // A refusal is worth more the sooner it comes, and the rest of the time is
        // needed for the work. A team that runs less than its share comes next for
        // sure, so that waiting is worth more to it.
        let running = self.teams.get(team).map_or(0, |t| t.running);
        let is_next = self.active_teams() > 1 && running < self.fair_share(team);
        let one_in = if is_next { 2 } else { 4 };
        let until_ms = now_ms + deadline_ms.saturating_sub(now_ms) / one_in;
        Decision::Wait { ticket: self.enqueue(team, until_ms), until_ms }
    }

    /// A request that ran has ended; returns what becomes of waiting ones.
    pub fn finish(&mut self, team: &str, ended: Ended, now_ms: u64) -> Vec<Resolved> {
        self.running = self.running.saturating_sub(1);
        if let Some(entry) = self.teams.get_mut(team) {
            entry.running = entry.running.saturating_sub(1);
        }
        self.adapt(ended, now_ms);
        self.advance(now_ms)
    }

    /// Refuses waiting requests whose time no longer suffices.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Resolved> {
        let refusal = self.refusal(RefusalReason::Overloaded);
        let mut refused = Vec::new();
        for team in self.teams.values_mut() {
            team.waiting.retain(|w| {
                let stays = w.until_ms > now_ms;
                if !stays {
                    refused.push(Resolved::Refuse(w.ticket, refusal.clone()));
                }
                stays
            });
        }
        refused
    }

    /// A waiting caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        for team in self.teams.values_mut() {
            team.waiting.retain(|w| w.ticket != ticket);
        }
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Resolved> {
        let mut resolved = self.expire(now_ms);
        while self.running < self.limit() {
            let Some(team) = self.next_team() else { break };
            let first = self.teams.get_mut(&team).and_then(|t| t.waiting.pop_front());
            let Some(waiting) = first else { break };
            self.start(&team);
            resolved.push(Resolved::Start(waiting.ticket));
        }
        self.teams.retain(|_, t| t.running > 0 || !t.waiting.is_empty());
        resolved
    }

    /// The waiting team that runs least for its weight.
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

    /// Requests that `team` may run while every other active team does too.
    fn fair_share(&self, team: &str) -> u32 {
        let active = |(name, t): &(&String, &Team)| {
            name.as_str() == team || t.running > 0 || !t.waiting.is_empty()
        };
        let total: u32 = self.teams.iter().filter(active).map(|(_, t)| t.weight.max(1)).sum();
        let own = self.teams.get(team).map_or(1, |t| t.weight.max(1));
        (self.limit() * own / total.max(1)).max(1)
    }

    /// Growth while answers are in time, a cut once per service time else.
    fn adapt(&mut self, ended: Ended, now_ms: u64) {
        if ended.ending == Ending::Neutral {
            return;
        }
        self.measure(ended.took_us);
        if self.is_strained(ended) {
            self.shrink(now_ms);
        } else {
            // A whole unit for each answer in time: below capacity a few late ones must
            // not shut callers out for long; above it the next cut comes soon enough.
            self.limit_units = (self.limit_units + LIMIT_UNIT).min(self.most * LIMIT_UNIT);
        }
    }

    fn measure(&mut self, took_us: u64) {
        if self.mean_us == 0 {
            self.mean_us = took_us;
            self.base_us = took_us;
        }
        self.mean_us = self.mean_us - (self.mean_us >> MEAN_SHIFT) + (took_us >> MEAN_SHIFT);
        let drifted_us = self.base_us + (self.base_us >> BASE_DRIFT_SHIFT) + 1;
        self.base_us = drifted_us.min(self.mean_us);
    }

    /// Whether a queue at the backend servers eats up the time of requests.
    ///
    /// Three quarters of the time used up leave no room for the tail. A short deadline
    /// alone says nothing, or one team's impatience would shut out all others: work
    /// must also take longer than it does without a queue.
    fn is_strained(&self, ended: Ended) -> bool {
        let is_queued = self.mean_us > 2 * self.base_us;
        match ended.ending {
            Ending::Shed => true,
            Ending::Late => is_queued,
            Ending::InTime => is_queued && ended.took_us > ended.budget_us * 3 / 4,
            Ending::Neutral => false,
        }
    }

    fn shrink(&mut self, now_ms: u64) {
        let pause_ms = (self.mean_us / 1000).max(LEAST_SHRINK_PAUSE_MS);
        if now_ms >= self.strained_at_ms + pause_ms {
            self.strained_at_ms = now_ms;
            self.limit_units = (self.limit_units * 3 / 4).max(LIMIT_UNIT);
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let queue = self.waiting() as u64 + 1;
        let drain_ms = queue * self.mean_us / u64::from(self.limit()) / 1000;
        let retry_after_ms = (2 * drain_ms).clamp(LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS);
        Refusal::not_run(reason, Some(retry_after_ms))
    }
}
