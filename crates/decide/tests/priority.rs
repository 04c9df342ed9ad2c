//! Priorities and fairness between customers under overload, against simulated queues.

use std::cell::Cell;
use std::collections::BTreeMap;

use eelgrasspier_decide::admission::{
    Candidate, GroupKey, Plan, PriorityPlan, PriorityTracker, QueueLimit, RequestEnd, plan_group,
    plan_with_priority,
};

const SHARDS: usize = 8;
const MAY_MISS: usize = 1;
const INSTANCES: usize = 4;
/// Work of one request at a shard, and the requests that a shard runs at a time.
const WORK_MS: f64 = 10.0;
const SLOTS: f64 = 4.0;
const CAPACITY_PER_S: f64 = 1_000.0 * SLOTS / WORK_MS;
/// Age of the load reports.
const REPORT_AGE_MS: usize = 5;
const RUN_MS: u64 = 30_000;
/// With the second, bursts at 0.7 times the capacity are refused now and then.
const SEEDS: [u64; 2] = [0x9E37_79B9_7F4A_7C15, 77_777_777_777];

/// Requests of one priority and customer, with their rate as a multiple of the capacity.
#[derive(Debug, Clone, Copy)]
struct Load {
    priority: u32,
    customer: Option<&'static str>,
    target_ms: f64,
    rate: f64,
}

const URGENT: Load = Load { priority: 0, customer: None, target_ms: 50.0, rate: 0.5 };
const BULK: Load = Load { priority: 2, customer: None, target_ms: 150.0, rate: 0.25 };

/// Requests that arrived and that were served in time.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    arrived: f64,
    served: f64,
}

impl Count {
    fn fraction(&self) -> f64 {
        self.served / self.arrived.max(1.0)
    }
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        f64::from(u32::try_from(self.0 >> 32).unwrap()) / f64::from(u32::MAX)
    }
}

/// Runs the loads against shards with one queue each; returns a count per load.
///
/// `check` sees each decision.
fn simulate(loads: &[Load], seed: u64, check: impl Fn(&QueueLimit, &PriorityPlan)) -> Vec<Count> {
    let services: Vec<String> = (0..SHARDS).map(|i| format!("s{i}")).collect();
    let names = || services.iter().map(String::as_str);
    let group = GroupKey::of(names());
    let mut trackers = vec![PriorityTracker::default(); INSTANCES];
    let mut random = Random(seed);
    let mut queue_ms = [0.0_f64; SHARDS];
    let mut reports = [[0.0_f64; SHARDS]; REPORT_AGE_MS];
    let mut counts = vec![Count::default(); loads.len()];
    let mut running: BTreeMap<u64, Vec<(usize, usize, f64)>> = BTreeMap::new();
    for now_ms in 0..RUN_MS {
        for (load, instance, answer_ms) in running.remove(&now_ms).unwrap_or_default() {
            let is_served = answer_ms <= loads[load].target_ms;
            counts[load].served += f64::from(u8::from(is_served));
            let end = if is_served { RequestEnd::Served } else { RequestEnd::Late };
            trackers[instance].record_end(group, &candidate(&loads[load]), end, now_ms);
        }
        let known_ms = reports[usize::try_from(now_ms).unwrap() % REPORT_AGE_MS];
        for (index, load) in loads.iter().enumerate() {
            if random.next() >= load.rate * CAPACITY_PER_S / 1_000.0 {
                continue;
            }
            counts[index].arrived += 1.0;
            let instance = usize::try_from(random.0 % 1_000).unwrap() % INSTANCES;
            let (tracker, candidate) = (&mut trackers[instance], candidate(load));
            let answer_ms = known_ms.map(|queue_ms| queue_ms + WORK_MS);
            let limit = tracker.limit(group, &candidate, random.next(), now_ms);
            let misses = (MAY_MISS, MAY_MISS);
            let plan = plan_with_priority(&answer_ms, misses, &candidate, &limit, 0.0);
            check(&limit, &plan);
            if limit == QueueLimit::USUAL {
                let usual = plan_group(&answer_ms, MAY_MISS, MAY_MISS, load.target_ms, 0.0);
                assert_eq!(plan, PriorityPlan::Usual(usual));
            }
            tracker.record_start(group, names(), &candidate, now_ms);
            let PriorityPlan::Usual(Plan::Send { left_out }) = plan else {
                tracker.record_end(group, &candidate, RequestEnd::Refused, now_ms);
                continue;
            };
            let mut slowest_ms = 0.0_f64;
            for shard in (0..SHARDS).filter(|shard| !left_out.contains(shard)) {
                let work_ms = WORK_MS * (0.7 + 0.6 * random.next());
                slowest_ms = slowest_ms.max(queue_ms[shard] + work_ms);
                queue_ms[shard] += work_ms / SLOTS;
            }
            let rounded = std::time::Duration::from_secs_f64(slowest_ms / 1_000.0).as_millis();
            let end_ms = now_ms + 1 + u64::try_from(rounded).unwrap();
            running.entry(end_ms).or_default().push((index, instance, slowest_ms));
        }
        for queue_ms in &mut queue_ms {
            *queue_ms = (*queue_ms - 1.0).max(0.0);
        }
        reports[usize::try_from(now_ms).unwrap() % REPORT_AGE_MS] = queue_ms;
    }
    counts
}

fn candidate(load: &Load) -> Candidate<'static> {
    let Load { priority, customer, target_ms, .. } = *load;
    Candidate { priority, customer, left_ms: target_ms, typical_ms: WORK_MS }
}

fn total(counts: &[Count]) -> Count {
    let sum = |of: fn(&Count) -> f64| counts.iter().map(of).sum();
    Count { arrived: sum(|c| c.arrived), served: sum(|c| c.served) }
}

/// Asserts that no load is served less than a quarter as often as all.
fn assert_floor(counts: &[Count]) {
    let mean = total(counts).fraction();
    for count in counts {
        assert!(count.fraction() >= mean / 4.0, "{count:?} of {mean}");
    }
}

/// Load pattern: a less urgent kind with a loose target overloads the shards, 1.5 and 3 times the
/// capacity in total. It used to fill the queues up to 98 ms, and the urgent kind, which can wait
/// 25 ms, was served three times in a hundred.
#[test]
fn an_urgent_kind_is_served_first_where_a_less_urgent_one_overloads() {
    for (urgent, bulk, seed) in
        [(0.5, 1.0, SEEDS[0]), (0.5, 2.5, SEEDS[0]), (0.5, 2.5, SEEDS[1]), (0.9, 2.1, SEEDS[1])]
    {
        for bulk_target_ms in [50.0, 150.0] {
            let loads = [
                Load { rate: urgent, ..URGENT },
                Load { rate: bulk, target_ms: bulk_target_ms, ..BULK },
            ];
            let counts = simulate(&loads, seed, |_, _| {});
            assert!(counts[0].fraction() >= counts[1].fraction(), "{counts:?}");
            assert_floor(&counts);
        }
    }
}

/// Load pattern: the urgent kind alone offers 1.5 times the capacity for 30 s. Guards against
/// starvation of the less urgent kind, in particular if only the urgent one can wait in long queues.
#[test]
fn a_less_urgent_kind_is_not_starved_by_an_urgent_one() {
    for (urgent_target_ms, bulk_target_ms) in [(50.0, 150.0), (50.0, 50.0), (150.0, 50.0)] {
        for (bulk, seed) in [(0.1, SEEDS[0]), (0.1, SEEDS[1]), (1.0, SEEDS[1])] {
            let loads = [
                Load { rate: 1.5, target_ms: urgent_target_ms, ..URGENT },
                Load { rate: bulk, target_ms: bulk_target_ms, ..BULK },
            ];
            assert_floor(&simulate(&loads, seed, |_, _| {}));
        }
    }
}

/// Load pattern: one of ten or forty customers sends six times its usual load. Without shares, all
/// were served three times in four.
#[test]
fn other_customers_are_served_where_one_sends_six_times_its_load() {
    let names: Vec<&'static str> = (0..40).map(|i| &*format!("c{i}").leak()).collect();
    for (customers, usual, seed) in
        [(10_u32, 0.9, SEEDS[0]), (10, 1.2, SEEDS[1]), (40, 0.9, SEEDS[1])]
    {
        let rate = usual / f64::from(customers);
        let load = |(name, i)| {
            let rate = if i == 0 { rate * 6.0 } else { rate };
            Load { customer: Some(name), rate, ..URGENT }
        };
        let loads: Vec<Load> = names.iter().copied().zip(0..customers).map(load).collect();
        let counts = simulate(&loads, seed, |_, _| {});
        let mut others: Vec<f64> = counts[1..].iter().map(Count::fraction).collect();
        others.sort_by(f64::total_cmp);
        let mean = total(&counts).fraction();
        assert!(others[others.len() / 10] >= 0.8 * mean, "{others:?} of {mean}");
        assert!(others[0] >= counts[0].fraction(), "{others:?} {counts:?}");
    }
}

/// Load pattern: 0.7 times the capacity. Guards against changes of decisions where nothing is
/// refused or late: the limits are the usual ones, for which `simulate` compares each plan with
/// `plan_group`.
#[test]
fn decisions_are_unchanged_without_overload() {
    let loads = [
        Load { customer: Some("a"), rate: 0.3, ..URGENT },
        Load { customer: Some("b"), rate: 0.1, ..URGENT },
        Load { rate: 0.3, ..BULK },
    ];
    for seed in SEEDS {
        let refused = Cell::new(0);
        let counts = simulate(&loads, seed, |limit, plan| {
            assert!(*limit == QueueLimit::USUAL || refused.get() >= 2, "{limit:?}");
            let is_sent = matches!(plan, PriorityPlan::Usual(Plan::Send { .. }));
            refused.set(refused.get() + u32::from(!is_sent));
        });
        assert!(total(&counts).fraction() > 0.99, "{counts:?}");
    }
}

/// A less urgent request must not be told to retry before a more urgent one at the same queues.
#[test]
fn the_more_urgent_request_may_retry_earlier() {
    let mut tracker = PriorityTracker::default();
    let (group, urgent) = (GroupKey::of(["s0"]), candidate(&URGENT));
    let refuse = |tracker: &mut PriorityTracker| {
        tracker.record_start(group, ["s0"].into_iter(), &urgent, 1_000);
        tracker.record_end(group, &urgent, RequestEnd::Refused, 1_000);
    };
    let bulk = candidate(&BULK);
    refuse(&mut tracker);
    assert_eq!(tracker.limit(group, &bulk, 0.9, 1_000), QueueLimit::USUAL, "a single loss");
    refuse(&mut tracker);
    let limit = tracker.limit(group, &bulk, 0.9, 1_000);
    assert_eq!(tracker.part_limit("s0", &bulk, 0.9, 1_000), limit);
    let plan = plan_with_priority(&[60.0], (0, 0), &bulk, &limit, 0.0);
    let PriorityPlan::MakesRoom { protected, retry_after_ms, .. } = plan else {
        panic!("{plan:?}")
    };
    let Plan::Refuse { retry_after_ms: urgent_ms, .. } =
        plan_group(&[60.0], 0, 0, URGENT.target_ms, 1.0)
    else {
        panic!("sent")
    };
    assert_eq!((protected.priority, protected.refused), (0, 2));
    assert!(retry_after_ms >= urgent_ms, "{retry_after_ms} {urgent_ms}");
    // The losses are forgotten after a second.
    assert_eq!(tracker.limit(group, &bulk, 0.9, 2_300), QueueLimit::USUAL);
}

/// Records two late requests of each kind to one group.
fn tracker_with_losses(kinds: &[Candidate<'_>]) -> (PriorityTracker, GroupKey) {
    let (mut tracker, group) = (PriorityTracker::default(), GroupKey::of(["s0"]));
    for kind in kinds {
        for _ in 0..2 {
            tracker.record_start(group, ["s0"].into_iter(), kind, 0);
            tracker.record_end(group, kind, RequestEnd::Late, 0);
        }
    }
    (tracker, group)
}

/// Guards against refusing less urgent requests for a priority whose target no queue permits.
#[test]
fn a_priority_that_cannot_meet_its_target_restricts_no_other() {
    let hopeless = Candidate { left_ms: WORK_MS, ..candidate(&URGENT) };
    let (tracker, group) = tracker_with_losses(&[hopeless]);
    assert_eq!(tracker.limit(group, &candidate(&BULK), 0.9, 0), QueueLimit::USUAL);
    let (tracker, group) = tracker_with_losses(&[candidate(&URGENT)]);
    assert!(tracker.limit(group, &candidate(&BULK), 0.9, 0).protected.is_some());
}

/// Guards against serving a part as usual because a starved priority has less headroom than the
/// urgent one.
#[test]
fn a_starved_priority_does_not_hide_an_urgent_one_from_a_part() {
    let starved = Candidate { priority: 7, left_ms: 20.0, ..candidate(&URGENT) };
    let (mut tracker, group) = tracker_with_losses(&[candidate(&URGENT), starved]);
    for _ in 0..4 {
        tracker.record_end(group, &candidate(&URGENT), RequestEnd::Served, 0);
    }
    let limit = tracker.part_limit("s0", &candidate(&BULK), 0.9, 0);
    assert_eq!(limit.protected.map(|p| p.priority), Some(URGENT.priority));
}

/// Guards against unbounded memory: routes come and go, and every split names a service.
#[test]
fn the_number_of_groups_is_bounded() {
    let mut tracker = PriorityTracker::default();
    for i in 0..1_000 {
        let service = format!("s{i}");
        let group = GroupKey::of([&*service]);
        tracker.record_start(group, [&*service].into_iter(), &candidate(&URGENT), i);
    }
    assert_eq!(tracker.len(), 64);
}
