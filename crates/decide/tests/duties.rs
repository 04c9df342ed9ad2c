//! Who watches the store, who gathers for a zone, which replicas may be asked.

use std::collections::BTreeMap;

use eelgrasspier_decide::membership::{Datagram, Member, Membership};
use eelgrasspier_decide::relays::{self, LEAST_GROUP, Place};
use eelgrasspier_decide::{contacts, gatherers, rendezvous, watchers};

fn fleet(zones: u64, in_zone: u64) -> Vec<watchers::Candidate> {
    let all = (0..zones * in_zone).map(|n| watchers::Candidate {
        key: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: n % zones,
        is_store_reached: true,
    });
    all.collect()
}

fn watching(fleet: &[watchers::Candidate]) -> Vec<usize> {
    let others = |i: usize| {
        let (before, after) = fleet.split_at(i);
        [before, &after[1..]].concat()
    };
    (0..fleet.len()).filter(|&i| watchers::is_watcher(fleet[i], &others(i))).collect()
}

#[test]
fn few_watch_whatever_the_size() {
    for (zones, in_zone) in [(3, 2), (4, 19), (4, 75), (6, 33), (8, 325)] {
        let count = watching(&fleet(zones, in_zone)).len();
        assert_eq!(count, 3, "of {zones} x {in_zone}");
    }
}

/// Symptom: 195 instances made 2,500 calls in an outage of four seconds.
/// Sequence: each one that stepped in for a watcher was turned away too, said so, and went on
/// trying beside the next one.
/// Cause: nothing bounded how many step in where nobody is reached.
#[test]
fn an_outage_does_not_go_through_the_fleet() {
    for (zones, in_zone) in [(6, 33), (8, 325)] {
        let mut fleet = fleet(zones, in_zone);
        for candidate in &mut fleet {
            candidate.is_store_reached = false;
        }
        assert_eq!(watching(&fleet).len() as u64, watchers::FINDERS, "of {zones} x {in_zone}");
    }
}

/// The pattern: a store that turns a third of the instances away and serves the others.
#[test]
fn somebody_watches_while_a_third_is_turned_away() {
    for seed in 0..500_u64 {
        let mut fleet = fleet(6, 33);
        for (number, candidate) in fleet.iter_mut().enumerate() {
            let draw = rendezvous::weight(seed, number as u64) % 3;
            candidate.is_store_reached = draw != 0;
        }
        let watching = watching(&fleet);
        let reached = watching.iter().filter(|&&i| fleet[i].is_store_reached).count();
        assert_eq!(reached, 3, "seed {seed}");
    }
}

/// Symptom: a change crossed zones once for each instance of a zone.
/// Sequence: no instance of the zone watched the store, and each fetched for itself.
/// Cause it guards against: nobody, or everybody, fetching for a zone.
#[test]
fn one_in_each_zone_fetches_for_it() {
    let fleet = fleet(6, 33);
    let fetching = (0..fleet.len()).filter(|&i| {
        let (before, after) = fleet.split_at(i);
        watchers::is_fetcher(fleet[i], &[before, &after[1..]].concat())
    });
    let mut zones: Vec<u64> = fetching.map(|i| fleet[i].zone).collect();
    zones.sort_unstable();
    assert_eq!(zones, [0, 1, 2, 3, 4, 5]);
}

/// Symptom: the store's list of instances grew with the fleet, and each start read all of it.
/// Cause: an entry for each instance, where one that answers knows all others.
#[test]
fn a_few_of_each_zone_have_an_entry_whatever_the_size() {
    for (zones, in_zone, wanted) in [(4, 2, 8), (6, 33, 18), (8, 325, 24)] {
        let fleet = fleet(zones, in_zone);
        let is_contact = |i: usize| {
            let (before, after) = fleet.split_at(i);
            contacts::is_contact(fleet[i], &[before, &after[1..]].concat())
        };
        assert_eq!((0..fleet.len()).filter(|&i| is_contact(i)).count(), wanted);
    }
}

#[test]
fn an_entry_is_written_anew_only_where_the_fleet_has_changed_much() {
    assert!(!contacts::is_outdated(195, 180));
    assert!(!contacts::is_outdated(8, 9));
    assert!(contacts::is_outdated(60, 195));
    assert!(contacts::is_outdated(195, 100));
}

/// Symptom: after the store had turned its watchers away nobody saw a change for seconds.
/// Sequence: the watchers' calls failed while other instances were served.
/// Cause it guards against: a choice that does not follow who is served.
#[test]
fn others_step_in_for_watchers_that_are_turned_away() {
    let mut fleet = fleet(3, 2);
    let first = watching(&fleet);
    for &turned_away in &first {
        fleet[turned_away].is_store_reached = false;
    }
    let second = watching(&fleet);
    let stepped_in = second.iter().filter(|&&i| fleet[i].is_store_reached).count();
    // As many again.
    assert_eq!(stepped_in, 3, "{second:?}");
    // Those that are turned away go on trying: it may have been their connection only.
    assert!(first.iter().all(|i| second.contains(i)));
    // With nobody served, all find out when the store is back.
    for candidate in &mut fleet {
        candidate.is_store_reached = false;
    }
    assert_eq!(watching(&fleet).len(), fleet.len());
}

/// Symptom: with 300 instances a configuration was in force after five seconds.
/// Sequence: a zone's watcher told a few instances of all zones; the own zone's heard by
/// rounds of gossip, one datagram each 200 ms.
/// Cause: the zone that one watches for did not come first.
#[test]
fn the_own_zone_is_told_first() {
    let member = |name: &str, zone: &str| Member {
        name: name.to_owned(),
        incarnation: 1,
        revision: 1,
        zone: zone.to_owned(),
        peer_addr: format!("127.0.0.1:{}", 1000 + name.len()),
        ..Member::default()
    };
    let mut own = Membership::new(member("own", "a"));
    let others = (0..40).map(|n: usize| member(&"x".repeat(n + 5), ["a", "b"][n % 2]));
    let datagram = Datagram { members: others.collect(), ..Datagram::default() };
    own.receive(1, ([127, 0, 0, 1], 9).into(), &datagram);
    let near: Vec<u16> = datagram.members.iter().filter(|m| m.zone == "a").map(port).collect();
    let told: Vec<u16> = own.farewell(20, 20, 7).iter().map(|s| s.to.port()).collect();
    assert_eq!(told.len(), 20);
    assert!(told.iter().all(|port| near.contains(port)), "{told:?}");
}

fn port(member: &Member) -> u16 {
    member.peer_addr.rsplit(':').next().unwrap().parse().unwrap()
}

fn zone(count: u64, capacity_milli: u32) -> Vec<gatherers::Candidate> {
    (0..count).map(|key| gatherers::Candidate { key: key + 1, capacity_milli }).collect()
}

#[test]
fn all_gather_in_a_small_zone_and_a_fifth_in_a_large_one() {
    assert_eq!(gatherers::choose("z", &zone(4, 250)).len(), 4);
    assert_eq!(gatherers::choose("z", &zone(19, 250)).len(), 4);
    assert_eq!(gatherers::choose("z", &zone(75, 250)).len(), 15);
}

#[test]
fn one_that_goes_moves_only_its_own_place() {
    let all = zone(40, 250);
    let before = gatherers::choose("z", &all);
    let left: Vec<_> = all.into_iter().filter(|c| c.key != before[0]).collect();
    let after = gatherers::choose("z", &left);
    let kept = before[1..].iter().filter(|k| after.contains(k)).count();
    assert_eq!(kept, before.len() - 1);
}

/// Symptom: answers from 90 shards took ten milliseconds longer than the replicas did.
/// Sequence: sixteen instances gathered, most with an eighth of a core; the asking one, as
/// small, sent and read sixteen questions one after the other.
/// Cause it guards against: small instances that gather where a few large ones suffice.
#[test]
fn large_instances_gather_where_they_suffice() {
    for number in 0..200 {
        let mut all = zone(20, 120);
        for large in &mut all[..2] {
            large.capacity_milli = 500;
        }
        let mut chosen = gatherers::choose(&format!("z{number}"), &all);
        chosen.sort_unstable();
        assert_eq!(chosen, [1, 2]);
        // One of them is lost: the other gathers, and a small one beside it.
        let left = gatherers::choose(&format!("z{number}"), &all[1..]);
        assert_eq!((left.len(), left[0]), (2, 2));
    }
}

#[test]
fn shards_are_shared_in_proportion_to_processor_time() {
    let mut all = zone(2, 120);
    all[0].capacity_milli = 480;
    let names = (0..1000).map(|n| format!("s{n}"));
    let large = names.filter(|name| gatherers::owner(name, &all) == Some(0)).count();
    assert!((750..850).contains(&large), "{large} of 1000");
}

#[test]
fn shards_are_grouped_under_as_few_zones_as_possible() {
    let zones = BTreeMap::from([
        (0, vec!["a", "b"]),
        (1, vec!["b", "c"]),
        (2, vec!["b"]),
        (3, vec!["c", "a"]),
    ]);
    let groups = relays::group(zones.clone(), "own", LEAST_GROUP, 0);
    assert_eq!(groups.len(), 1);
    assert_eq!((groups[0].zone, groups[0].shards.clone()), ("b", vec![0, 1, 2]));
    assert_eq!(relays::group(zones, "own", 1, 0).len(), 2);
}

/// Symptom: one zone's instances merged three quarters of all parts, and most answers
/// crossed zones.
/// Sequence: each shard has replicas in three of four zones; the zone with most of them was
/// asked first, by the instances of all zones.
/// Cause: the own zone did not come first.
#[test]
fn the_own_zone_is_asked_for_all_that_it_has() {
    let zones = BTreeMap::from([
        (0, vec!["a", "b"]),
        (1, vec!["b", "own"]),
        (2, vec!["b", "own"]),
        (3, vec!["b", "c"]),
    ]);
    let groups = relays::group(zones, "own", 1, 0);
    let asked: Vec<_> = groups.iter().map(|g| (g.zone, g.shards.clone())).collect();
    assert_eq!(asked, [("own", vec![1, 2]), ("b", vec![0, 3])]);
}

/// Symptom: no answer covered enough shards while two replicas in five were slow.
/// Sequence: of three replicas a request may be sent to two; the asking instance drew the
/// near one and one by chance, and for one shard in six both were bad.
/// Cause: the one that draws did not know what the one that sends had learnt.
#[test]
fn slow_replicas_are_drawn_last() {
    let place = |id, zone, is_slow| Place { id, zone, is_slow };
    let drawn = |places: &[Place<'_>], request| relays::allowed(places, "b", 2, request);
    for request in 0..100 {
        let near_slow = [place("r1", "a", false), place("r2", "b", true), place("r3", "c", false)];
        let mut both = drawn(&near_slow, request);
        both.sort_unstable();
        assert_eq!(both, [0, 2]);
        let far_slow = [place("r1", "a", true), place("r2", "b", false), place("r3", "c", false)];
        assert_eq!(drawn(&far_slow, request), [1, 2]);
        let all_slow = near_slow.map(|p| Place { is_slow: true, ..p });
        assert_eq!(drawn(&all_slow, request)[0], 1);
    }
}

/// Symptom: requests ran on three replicas of a shard where the route allows two.
/// Sequence: the asked instance hedged to one replica, the asking one to another.
/// Cause it guards against: each side choosing freely among three replicas.
#[test]
fn both_sides_draw_the_same_replicas() {
    let places = [("r1", "a"), ("r2", "b"), ("r3", "c")].map(|(id, zone)| Place {
        id,
        zone,
        is_slow: false,
    });
    let mut reversed = places;
    reversed.reverse();
    let mut seconds = BTreeMap::new();
    for request in 0..300 {
        let ids = |places: &[Place<'_>]| -> Vec<String> {
            let allowed = relays::allowed(places, "b", 2, request);
            allowed.into_iter().map(|i| places[i].id.to_owned()).collect()
        };
        let drawn = ids(&places);
        assert_eq!(drawn, ids(&reversed));
        assert_eq!((drawn.len(), drawn[0].as_str()), (2, "r2"));
        *seconds.entry(drawn[1].clone()).or_insert(0) += 1;
    }
    assert!(seconds.values().all(|&n| n > 100), "{seconds:?}");
}
