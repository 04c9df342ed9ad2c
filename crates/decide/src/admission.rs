//! Admission of requests: who runs now, who waits, who is refused at once.
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
const WAITING_PER_RUNNING: usize = 4;
/// Share of a new service time in the running mean, as a power of two.
const MEAN_SHIFT: u32 = 4;
/// The limit in sixteenths, so that it can grow by less than one.
const LIMIT_UNIT: u32 = 16;

/// What the gate says to a request that comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run now.
    Run,
    /// Wait until the gate starts or refuses the ticket.
    Wait(Ticket),
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
    /// A part was late, or a backend server shed it.
    Strained,
    /// It says nothing about load, such as a refusal for other causes.
    Neutral,
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
    deadline_ms: u64,
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
            teams: BTreeMap::new(),
            next_ticket: 0,
            strained_at_ms: 0,
        }
    }

    /// Changes the most that may run at a time, as the share of connections does.
    pub fn set_most(&mut self, most: u32) {
        self.most = most.max(1);
        self.limit_units = self.limit_units.clamp(LIMIT_UNIT, self.most * LIMIT_UNIT);
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
        Decision::Wait(self.enqueue(team, deadline_ms))
    }

    /// A request that ran has ended; returns what becomes of waiting ones.
    pub fn finish(
        &mut self,
        team: &str,
        ending: Ending,
        took_us: u64,
        now_ms: u64,
    ) -> Vec<Resolved> {
        self.running = self.running.saturating_sub(1);
        if let Some(entry) = self.teams.get_mut(team) {
            entry.running = entry.running.saturating_sub(1);
        }
        self.adapt(ending, took_us, now_ms);
        self.advance(now_ms)
    }

    /// Refuses waiting requests whose time no longer suffices.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Resolved> {
        let needed_ms = now_ms + self.mean_us / 1000;
        let refusal = self.refusal(RefusalReason::Overloaded);
        let mut refused = Vec::new();
        for team in self.teams.values_mut() {
            team.waiting.retain(|w| {
                let stays = w.deadline_ms >= needed_ms;
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

    fn enqueue(&mut self, team: &str, deadline_ms: u64) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if let Some(entry) = self.teams.get_mut(team) {
            entry.waiting.push_back(Waiting { ticket, deadline_ms });
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

    /// Additive growth while answers are in time, a cut once per service time else.
    fn adapt(&mut self, ending: Ending, took_us: u64, now_ms: u64) {
        match ending {
            Ending::InTime => {
                if self.mean_us == 0 {
                    self.mean_us = took_us;
                }
                self.mean_us =
                    self.mean_us - (self.mean_us >> MEAN_SHIFT) + (took_us >> MEAN_SHIFT);
                let step = (LIMIT_UNIT / self.limit()).max(1);
                self.limit_units = (self.limit_units + step).min(self.most * LIMIT_UNIT);
            }
            Ending::Strained => {
                let pause_ms = (self.mean_us / 1000).max(10);
                if now_ms >= self.strained_at_ms + pause_ms {
                    self.strained_at_ms = now_ms;
                    self.limit_units = (self.limit_units * 3 / 4).max(LIMIT_UNIT);
                }
            }
            Ending::Neutral => {}
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let queue = self.waiting() as u64 + 1;
        let drain_ms = queue * self.mean_us / u64::from(self.limit()) / 1000;
        let retry_after_ms = (2 * drain_ms).clamp(LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS);
        Refusal::not_run(reason, Some(retry_after_ms))
    }
}
