//! Random walks of instances that exchange evidence on crashes, over the production functions.
//!
//! Callers send a request that crashes its replicas and an innocent one to all instances, servers
//! restart, instances restart, and reports arrive late, twice or not at all.

use std::collections::BTreeMap;

use eelgrasspier_decide::fingerprint::Fingerprint;
use eelgrasspier_decide::lost_sends::{CrashedSend, LostSend, LostSends, ServerState};
use eelgrasspier_decide::quarantine::{
    EvidenceEffect, Quarantine, REPORT_WAIT_MS, Report, Treatment,
};

const CRASHING: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);
const INSTANCES: usize = 3;
const SERVERS: usize = 3;
const WALKS: u64 = 2_000;
/// Number of walks with other traffic, which take longer.
const TRAFFIC_WALKS: u64 = 400;
const WALK_MS: u64 = 12_000;
const MAX_TRIAL_MS: u64 = 100;
/// Maximum time of a report on its way, below the wait before a refusal.
const MAX_REPORT_MS: u64 = 200;
/// Interval at which two instances compare their reports.
const REPAIR_INTERVAL_MS: u64 = 500;
/// Time after the third crash, and after the end of resets, from which at most
/// [`MAX_LATE_CRASHES`] more are permitted.
const DETECTION_MS: u64 = 4_000;
const MAX_LATE_CRASHES: usize = 3;
/// Time in which sends are reset.
const RESETS_MS: std::ops::Range<u64> = 2_000..6_000;
/// Maximum pause between two other requests at one instance.
const MAX_TRAFFIC_PAUSE_MS: u64 = 40;

/// Deterministic pseudorandom numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % limit
    }

    fn index(&mut self, limit: usize) -> usize {
        usize::try_from(self.below(limit as u64)).unwrap()
    }
}

/// Deviations from the rules, to show that the walks can fail, and faults of the network.
#[expect(clippy::struct_excessive_bools, reason = "each one is a deviation of its own")]
#[derive(Debug, Clone, Copy, Default)]
struct Variant {
    /// Refusals take effect at once.
    has_no_wait: bool,
    /// Each send that is lost in a crash has another crash id.
    counts_sends: bool,
    /// One in five reports is lost.
    loses_reports: bool,
    /// Checks find the listeners of crashed servers open.
    listeners_stay_open: bool,
    /// Half of the sends of these instances are reset for some seconds.
    reset_instances: &'static [usize],
    /// Other requests are sent too, each one once.
    has_traffic: bool,
    /// Losses without a known reason don't count.
    ignores_unexplained: bool,
    /// Losses count as much as if no other request lost any.
    ignores_rate: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Send {
    instance: usize,
    request: Fingerprint,
    server: usize,
    id: u32,
    is_trial: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Attempt(usize, Fingerprint),
    Other(usize),
    Crash(usize, u32),
    Answer(Send, u32),
    Loss(Send, u32),
    Checked(Check),
    Restart(usize),
    RestartInstance(usize),
    Report(usize, Report),
    Repair,
}

/// End of a check of a server by an instance.
#[derive(Debug, Clone, Copy)]
struct Check {
    instance: usize,
    /// Run of the instance that began the check.
    instance_run: u64,
    server: usize,
    has_crashed: bool,
}

#[derive(Debug, Clone, Default)]
struct Instance {
    losses: LostSends,
    quarantine: Quarantine,
    /// Number of restarts, by which results for an earlier process are ignored.
    run: u64,
}

struct Walk {
    variant: Variant,
    random: Random,
    /// Maximum pauses between two attempts of the crashing and of the innocent request.
    max_pauses_ms: [u64; 2],
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    instances: Vec<Instance>,
    /// Run of each server; `None` while it is down.
    servers: Vec<Option<u32>>,
    next_run: u32,
    sends: Vec<Send>,
    next_id: u32,
    crashes_ms: Vec<u64>,
    /// Longest time for which an instance refused the innocent request without a break.
    innocent_refused_since_ms: [Option<u64>; INSTANCES],
    longest_refusal_ms: u64,
}

impl Walk {
    fn new(seed: u64, variant: Variant) -> Self {
        let mut random = Random(seed);
        let max_pauses_ms = [[100, 400, 900][random.index(3)], [30, 200, 800][random.index(3)]];
        let mut walk = Self {
            variant,
            random,
            max_pauses_ms,
            now_ms: 0,
            events: BTreeMap::new(),
            instances: vec![Instance::default(); INSTANCES],
            servers: vec![None; SERVERS],
            next_run: 0,
            sends: Vec::new(),
            next_id: 1 << 16,
            crashes_ms: Vec::new(),
            innocent_refused_since_ms: [None; INSTANCES],
            longest_refusal_ms: 0,
        };
        let wait_ms = if variant.has_no_wait { 0 } else { REPORT_WAIT_MS };
        for instance in &mut walk.instances {
            instance.quarantine.set_report_wait(wait_ms);
        }
        (0..SERVERS).for_each(|server| walk.start_server(server));
        for instance in 0..INSTANCES {
            walk.after(1, Event::Attempt(instance, CRASHING));
            walk.after(1, Event::Attempt(instance, INNOCENT));
        }
        if variant.has_traffic {
            (0..INSTANCES).for_each(|instance| walk.after(1, Event::Other(instance)));
        }
        walk.after(REPAIR_INTERVAL_MS, Event::Repair);
        walk.after(3_000, Event::RestartInstance(0));
        walk
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_id += 1;
        self.events.insert((self.now_ms + delay_ms, u64::from(self.next_id)), event);
    }

    fn start_server(&mut self, server: usize) {
        self.next_run += 1;
        self.servers[server] = Some(self.next_run);
    }

    fn run(&mut self) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > WALK_MS {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
            self.note_refusals();
        }
    }

    fn note_refusals(&mut self) {
        for (instance, since_ms) in self.instances.iter().zip(&mut self.innocent_refused_since_ms) {
            let treatment = instance.quarantine.treatment(INNOCENT, self.now_ms);
            *since_ms = matches!(treatment, Treatment::Refused(_) | Treatment::Paused(_))
                .then(|| since_ms.unwrap_or(self.now_ms));
            let lasted_ms = since_ms.map_or(0, |since| 1 + self.now_ms - since);
            self.longest_refusal_ms = self.longest_refusal_ms.max(lasted_ms);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt(instance, request) => self.attempt(instance, request),
            Event::Crash(server, run) if self.servers[server] == Some(run) => self.crash(server),
            Event::Answer(send, run) if self.servers[send.server] == Some(run) => self.answer(send),
            Event::Crash(..) | Event::Answer(..) => {}
            Event::Loss(send, run) => self.lose(send, run),
            Event::Checked(check) => self.finish_check(check),
            Event::Other(instance) => {
                let pause_ms = 1 + self.random.below(MAX_TRAFFIC_PAUSE_MS);
                self.after(pause_ms, Event::Other(instance));
                self.next_id += 1;
                let request = Fingerprint(u64::from(self.next_id));
                let server = self.random.index(SERVERS);
                self.send(instance, request, server, false);
            }
            Event::Restart(server) => self.start_server(server),
            Event::RestartInstance(instance) => self.restart_instance(instance),
            Event::Report(instance, report) => {
                self.instances[instance].quarantine.merge_report(&report, self.now_ms);
            }
            Event::Repair => self.repair(),
        }
    }

    fn attempt(&mut self, instance: usize, request: Fingerprint) {
        let max_pause_ms = self.max_pauses_ms[usize::from(request == INNOCENT)];
        let pause_ms = 1 + self.random.below(max_pause_ms);
        self.after(pause_ms, Event::Attempt(instance, request));
        let Instance { losses, quarantine, .. } = &mut self.instances[instance];
        let is_trial = match quarantine.treatment(request, self.now_ms) {
            Treatment::Refused(_) | Treatment::Paused(_) | Treatment::AwaitsReports(_) => return,
            Treatment::Normal => false,
            Treatment::OneReplicaAtATime => true,
        };
        let is_held = losses.pending_checks(request) > 0;
        let server = self.random.index(SERVERS);
        if self.servers[server].is_none() {
            return;
        }
        if is_held || is_trial && !quarantine.begin_trial(request, self.now_ms, MAX_TRIAL_MS) {
            return;
        }
        self.send(instance, request, server, is_trial);
    }

    /// Sends a request to a server, unless that is down.
    fn send(&mut self, instance: usize, request: Fingerprint, server: usize, is_trial: bool) {
        let Some(run) = self.servers[server] else { return };
        self.next_id += 1;
        let send = Send { instance, request, server, id: self.next_id, is_trial };
        self.sends.push(send);
        let work_ms = 1 + self.random.below(if request == CRASHING { 30 } else { 90 });
        let event = match request {
            CRASHING => Event::Crash(server, run),
            _ if self.is_reset(instance) => Event::Loss(send, run),
            _ => Event::Answer(send, run),
        };
        self.after(work_ms, event);
    }

    fn is_reset(&mut self, instance: usize) -> bool {
        self.variant.reset_instances.contains(&instance)
            && RESETS_MS.contains(&self.now_ms)
            && self.random.below(2) == 0
    }

    fn crash(&mut self, server: usize) {
        let run = self.servers[server].take().unwrap();
        self.crashes_ms.push(self.now_ms);
        let down_ms = 200 + self.random.below(500);
        self.after(down_ms, Event::Restart(server));
        let lost: Vec<Send> = self.sends.extract_if(.., |s| s.server == server).collect();
        for send in lost {
            let delay_ms = self.random.below(5);
            self.after(delay_ms, Event::Loss(send, run));
        }
    }

    fn answer(&mut self, send: Send) {
        self.sends.retain(|s| *s != send);
        let Instance { losses, quarantine, .. } = &mut self.instances[send.instance];
        quarantine.end_trial(send.request);
        losses.record_answer(send.server as u64, self.now_ms);
        losses.discard_answered(send.request);
        let effect = quarantine.record_answer(send.request, self.now_ms);
        self.publish(send.instance, send.request, effect);
    }

    fn lose(&mut self, send: Send, run: u32) {
        let Send { instance, request, server, id, is_trial } = send;
        self.sends.retain(|s| *s != send);
        let crash_id = if self.variant.counts_sends { id } else { run };
        let lost = LostSend { request, send_id: id, crash_id, is_trial };
        let is_running = self.servers[server] == Some(run);
        let Instance { losses, quarantine, run: instance_run } = &mut self.instances[instance];
        quarantine.end_trial(request);
        match losses.record_loss(server as u64, lost, self.now_ms) {
            ServerState::Unknown => {
                let (delay_ms, instance_run) = (1 + self.random.below(35), *instance_run);
                let has_crashed = !self.variant.listeners_stay_open && !is_running;
                let check = Check { instance, instance_run, server, has_crashed };
                self.after(delay_ms, Event::Checked(check));
            }
            ServerState::Crashed(crashed) => self.record_crash(instance, crashed),
            ServerState::Checking | ServerState::Running => {}
        }
        self.record_unexplained(instance);
    }

    fn finish_check(&mut self, check: Check) {
        let Check { instance, instance_run, server, has_crashed } = check;
        let Instance { losses, run, .. } = &mut self.instances[instance];
        if *run != instance_run {
            return;
        }
        for crashed in losses.record_server_state(server as u64, has_crashed, self.now_ms) {
            self.record_crash(instance, crashed);
        }
        self.record_unexplained(instance);
    }

    fn record_unexplained(&mut self, instance: usize) {
        for mut loss in self.instances[instance].losses.take_unexplained() {
            if self.variant.ignores_unexplained {
                continue;
            }
            if self.variant.ignores_rate && loss.is_trial {
                loss.weight_milli = u32::MAX;
            }
            let quarantine = &mut self.instances[instance].quarantine;
            let effect = quarantine.record_unexplained(loss, self.now_ms);
            self.publish(instance, loss.request, effect);
        }
    }

    fn record_crash(&mut self, instance: usize, crashed: CrashedSend) {
        let quarantine = &mut self.instances[instance].quarantine;
        let effect = quarantine.record_crash(crashed, self.now_ms);
        self.publish(instance, crashed.request, effect);
    }

    fn publish(&mut self, from: usize, request: Fingerprint, effect: EvidenceEffect) {
        if effect == EvidenceEffect::Unchanged {
            return;
        }
        let report = self.instances[from].quarantine.report(request, self.now_ms).unwrap();
        for to in (0..INSTANCES).filter(|to| *to != from) {
            for _ in 0..=self.random.below(2) {
                let delay_ms = 1 + self.random.below(MAX_REPORT_MS);
                if !self.variant.loses_reports || self.random.below(5) > 0 {
                    self.after(delay_ms, Event::Report(to, report.clone()));
                }
            }
        }
    }

    /// Two instances exchange all reports if their digests differ.
    fn repair(&mut self) {
        self.after(REPAIR_INTERVAL_MS / INSTANCES as u64, Event::Repair);
        let (one, other) = (self.random.index(INSTANCES), self.random.index(INSTANCES));
        let quarantine = |i: usize| &self.instances[i].quarantine;
        if quarantine(one).digest(self.now_ms) != quarantine(other).digest(self.now_ms) {
            for (from, to) in [(one, other), (other, one)] {
                for report in self.instances[from].quarantine.reports(self.now_ms) {
                    self.after(1, Event::Report(to, report));
                }
            }
        }
    }

    /// Restarts an instance, which then receives the reports of another one.
    fn restart_instance(&mut self, instance: usize) {
        self.sends.retain(|s| s.instance != instance);
        let run = self.instances[instance].run + 1;
        let mut restarted = Instance { run, ..Instance::default() };
        let wait_ms = if self.variant.has_no_wait { 0 } else { REPORT_WAIT_MS };
        restarted.quarantine.set_report_wait(wait_ms);
        for report in self.instances[(instance + 1) % INSTANCES].quarantine.reports(self.now_ms) {
            restarted.quarantine.merge_report(&report, self.now_ms);
        }
        self.instances[instance] = restarted;
    }

    fn late_crashes(&self) -> usize {
        let Some(third_ms) = self.crashes_ms.get(2) else { return 0 };
        let resets_end_ms = if self.variant.reset_instances.is_empty() { 0 } else { RESETS_MS.end };
        let detected_ms = resets_end_ms.max(*third_ms) + DETECTION_MS;
        self.crashes_ms.iter().filter(|at_ms| **at_ms > detected_ms).count()
    }
}

/// Returns the longest refusal of the innocent request, in milliseconds, and the highest number of
/// late crashes over all walks.
fn walk_all(seeds: std::ops::Range<u64>, variant: Variant) -> (u64, usize) {
    let walks = seeds.map(|seed| {
        let mut walk = Walk::new(seed, variant);
        walk.run();
        (walk.longest_refusal_ms, walk.late_crashes())
    });
    walks.fold((0, 0), |(refusal, crashes), (r, c)| (refusal.max(r), crashes.max(c)))
}

/// Guards against an innocent request being refused, and against a crashing one that isn't.
#[test]
fn only_the_request_that_crashes_replicas_is_refused() {
    let (refusal_ms, late_crashes) = walk_all(0..WALKS, Variant::default());
    assert_eq!(refusal_ms, 0);
    assert!(late_crashes <= MAX_LATE_CRASHES, "{late_crashes}");
}

/// A refusal whose contesting report was lost ends once two instances have compared their reports.
#[test]
fn a_wrong_refusal_ends_with_the_next_exchange_of_reports() {
    let variant = Variant { loses_reports: true, ..Variant::default() };
    let (refusal_ms, late_crashes) = walk_all(0..WALKS, variant);
    assert!(refusal_ms <= 3 * REPAIR_INTERVAL_MS, "{refusal_ms}");
    assert!(late_crashes <= MAX_LATE_CRASHES, "{late_crashes}");
}

/// The walks find a deviation from each of the rules.
#[test]
fn walks_refuse_an_innocent_request_without_a_rule() {
    for variant in [
        Variant { has_no_wait: true, ..Variant::default() },
        Variant { counts_sends: true, ..Variant::default() },
    ] {
        let (refusal_ms, _) = walk_all(0..WALKS, variant);
        assert!(refusal_ms > 0, "{variant:?}");
    }
}

/// The walks find that resets are taken for crashes, and that crashes are overlooked.
#[test]
fn walks_find_losses_that_are_weighed_wrongly() {
    let resets = Variant { reset_instances: &[1], has_traffic: true, ..Variant::default() };
    let (refusal_ms, _) = walk_all(0..TRAFFIC_WALKS, Variant { ignores_rate: true, ..resets });
    assert!(refusal_ms > 0);
    for listeners_stay_open in [false, true] {
        let traffic = Variant { listeners_stay_open, has_traffic: true, ..Variant::default() };
        let (_, late_crashes) =
            walk_all(0..TRAFFIC_WALKS, Variant { ignores_unexplained: true, ..traffic });
        assert!(late_crashes > MAX_LATE_CRASHES, "{traffic:?}");
    }
}

/// Guards against crashes without a bound if checks find the listeners of ended servers open, and
/// against the innocent request being refused for them.
#[test]
fn only_the_request_that_crashes_replicas_is_refused_if_listeners_stay_open() {
    for has_traffic in [false, true] {
        let variant = Variant { listeners_stay_open: true, has_traffic, ..Variant::default() };
        let (refusal_ms, late_crashes) = walk_all(0..TRAFFIC_WALKS, variant);
        assert_eq!(refusal_ms, 0, "{variant:?}");
        assert!(late_crashes <= MAX_LATE_CRASHES, "{late_crashes}, {variant:?}");
    }
}

/// Guards against the innocent request being refused since connections are reset.
#[test]
fn the_innocent_request_is_not_refused_while_connections_are_reset() {
    let instances: [&[usize]; 2] = [&[1], &[0, 1, 2]];
    for (reset_instances, listeners_stay_open) in
        instances.into_iter().flat_map(|i| [(i, false), (i, true)])
    {
        let variant = Variant {
            listeners_stay_open,
            has_traffic: true,
            reset_instances,
            ..Variant::default()
        };
        let (refusal_ms, late_crashes) = walk_all(0..TRAFFIC_WALKS, variant);
        assert_eq!(refusal_ms, 0, "{variant:?}");
        assert!(late_crashes <= MAX_LATE_CRASHES, "{late_crashes}, {variant:?}");
    }
}
