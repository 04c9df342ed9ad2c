//! The admission gate in virtual time: fair, bounded and work-conserving.

use std::collections::BTreeMap;

use eelgrasspier_decide::admission::{Completion, Decision, Gate, LoadSignal, Resolution, Ticket};

const WORK_US: u64 = 20_000;
const BUDGET_MS: u64 = 200;

/// Simulation of one gate over servers that need 20 ms for each request.
struct Simulation {
    gate: Gate,
    now_ms: u64,
    running: Vec<(String, u64, u64)>,
    waiting: BTreeMap<Ticket, (String, u64)>,
    done: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
}

impl Simulation {
    fn new(max_running: u32) -> Self {
        Self {
            gate: Gate::new(max_running),
            now_ms: 1_000,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            done: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    fn offer(&mut self, team: &str, weight: u32) {
        let deadline_ms = self.now_ms + BUDGET_MS;
        match self.gate.admit(team, weight, deadline_ms, self.now_ms) {
            Decision::Run => self.begin(team.to_owned(), deadline_ms),
            Decision::Wait { ticket, until_ms } => {
                assert!(until_ms < deadline_ms, "waits until its deadline");
                self.waiting.insert(ticket, (team.to_owned(), deadline_ms));
            }
            Decision::Refuse(refusal) => {
                assert!(refusal.is_retryable(), "{refusal:?}");
                *self.refused.entry(team.to_owned()).or_default() += 1;
            }
        }
    }

    fn begin(&mut self, team: String, deadline_ms: u64) {
        self.running.push((team, self.now_ms, deadline_ms));
        assert!(
            self.running.len() <= self.gate.limit() as usize,
            "more requests run than the limit allows"
        );
    }

    fn resolve(&mut self, resolved: Vec<Resolution>) {
        for one in resolved {
            match one {
                Resolution::Start(ticket) => {
                    let (team, deadline_ms) = self.waiting.remove(&ticket).expect("waits");
                    self.begin(team, deadline_ms);
                }
                Resolution::Refuse(ticket, refusal) => {
                    assert!(refusal.is_retryable());
                    let (team, _) = self.waiting.remove(&ticket).expect("waits");
                    *self.refused.entry(team).or_default() += 1;
                }
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let due = |started: u64, now: u64| (now - started) * 1_000 >= WORK_US;
        while let Some(at) = self.running.iter().position(|r| due(r.1, self.now_ms)) {
            let (team, started, _) = self.running.swap_remove(at);
            *self.done.entry(team.clone()).or_default() += 1;
            let took_us = (self.now_ms - started) * 1_000;
            let ended =
                Completion { signal: LoadSignal::InTime, took_us, budget_us: BUDGET_MS * 1_000 };
            let resolved = self.gate.complete(&team, ended, self.now_ms);
            self.resolve(resolved);
        }
        let expired = self.gate.refuse_expired(self.now_ms);
        self.resolve(expired);
    }
}

/// Guards against first-come, first-served admission, where a team that offers ten times the
/// capacity starves one that offers a quarter of it.
#[test]
fn an_overloading_team_does_not_starve_another() {
    let mut simulation = Simulation::new(4);
    let mut offered = 0;
    for step in 0..4_000 {
        simulation.offer("flood", 1);
        simulation.offer("flood", 1);
        if step % 20 == 0 {
            simulation.offer("small", 1);
            offered += 1;
        }
        simulation.step();
    }
    let small = simulation.done["small"];
    assert!(small * 100 >= offered * 95, "{small} of {offered}; {:?}", simulation.refused);
    assert!(simulation.done["flood"] > 2 * small, "unused capacity goes to the flood");
}

/// If all teams offer more than the capacity, it is divided by their weights.
#[test]
fn capacity_is_divided_by_weight() {
    let mut simulation = Simulation::new(4);
    for _ in 0..8_000 {
        simulation.offer("heavy", 3);
        simulation.offer("light", 1);
        simulation.step();
    }
    let (heavy, light) = (simulation.done["heavy"], simulation.done["light"]);
    assert!(heavy * 10 >= light * 25 && heavy * 10 <= light * 35, "{heavy} to {light}");
}

/// Guards against a new instance that refuses queries without any load. The gate was created before
/// the share of connections was known; when the share grew from one to sixteen, the limit stayed at
/// one and grew by one with each answer only.
#[test]
fn an_unreduced_limit_follows_the_share() {
    let mut gate = Gate::new(1);
    gate.set_max_running(16);
    assert_eq!(gate.limit(), 16);
    gate.set_max_running(4);
    assert_eq!(gate.limit(), 4);
}

/// Load shedding reduces the limit at most once per service time, and the limit recovers
/// afterwards.
#[test]
fn the_limit_follows_the_load_and_recovers() {
    let mut gate = Gate::new(16);
    let mut now_ms = 1_000;
    let end = |signal| Completion { signal, took_us: WORK_US, budget_us: BUDGET_MS * 1_000 };
    for _ in 0..10 {
        let _started = gate.admit("a", 1, now_ms + BUDGET_MS, now_ms);
        gate.complete("a", end(LoadSignal::Shed), now_ms);
    }
    assert_eq!(gate.limit(), 12, "one reduction at a time");
    for _ in 0..50 {
        now_ms += 100;
        let _started = gate.admit("a", 1, now_ms + BUDGET_MS, now_ms);
        gate.complete("a", end(LoadSignal::Shed), now_ms);
    }
    assert_eq!(gate.limit(), 1);
    for _ in 0..200 {
        now_ms += 100;
        let _started = gate.admit("a", 1, now_ms + BUDGET_MS, now_ms);
        gate.complete("a", end(LoadSignal::InTime), now_ms);
    }
    assert_eq!(gate.limit(), 16);
}
