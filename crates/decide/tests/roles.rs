//! Selection of watchers, gatherers and contacts, and of the replicas that may be asked.

use std::collections::BTreeMap;

use eelgrasspier_decide::membership::{Datagram, InstanceState, Liveness, Member, Membership};
use eelgrasspier_decide::relays::{self, MIN_GROUP_SHARDS, ReplicaLocation};
use eelgrasspier_decide::{gatherers, rendezvous, store_contacts, watchers};

fn fleet(zones: u64, in_zone: u64) -> Vec<watchers::Candidate> {
    let all = (0..zones * in_zone).map(|n| watchers::Candidate {
        key: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: n % zones,
        is_store_reached: true,
        is_responsive: true,
    });
    all.collect()
}

fn watchers_of(fleet: &[watchers::Candidate]) -> Vec<usize> {
    let others = |i: usize| {
        let (before, after) = fleet.split_at(i);
        [before, &after[1..]].concat()
    };
    (0..fleet.len()).filter(|&i| watchers::is_watcher(fleet[i], &others(i))).collect()
}

#[test]
fn watcher_count_is_independent_of_fleet_size() {
    for (zones, in_zone) in [(3, 2), (4, 19), (4, 75), (6, 33), (8, 325)] {
        let count = watchers_of(&fleet(zones, in_zone)).len();
        assert_eq!(count, 3, "of {zones} x {in_zone}");
    }
}

/// Guards against an outage that makes the whole fleet call the store. Without a limit on
/// substitutes, each one was refused as well, announced that, and kept retrying along with the next
/// one. 195 instances made 2,500 calls in four seconds.
#[test]
fn number_of_substitutes_is_limited_in_an_outage() {
    for (zones, in_zone) in [(6, 33), (8, 325)] {
        let mut fleet = fleet(zones, in_zone);
        for candidate in &mut fleet {
            candidate.is_store_reached = false;
        }
        assert_eq!(
            watchers_of(&fleet).len() as u64,
            watchers::MAX_OUTAGE_PROBERS,
            "of {zones} x {in_zone}"
        );
    }
}

/// A store that refuses a third of the instances and serves the others.
#[test]
fn served_instances_watch_while_a_third_is_refused() {
    for seed in 0..500_u64 {
        let mut fleet = fleet(6, 33);
        for (number, candidate) in fleet.iter_mut().enumerate() {
            let draw = rendezvous::weight(seed, number as u64) % 3;
            candidate.is_store_reached = draw != 0;
        }
        let selected = watchers_of(&fleet);
        let reached = selected.iter().filter(|&&i| fleet[i].is_store_reached).count();
        assert_eq!(reached, 3, "seed {seed}");
    }
}

/// Guards against zones in which no instance, or every instance, fetches changes. In a zone without
/// a watcher, each instance fetched for itself, so a change crossed zones once per instance.
#[test]
fn each_zone_has_one_fetcher() {
    let fleet = fleet(6, 33);
    let fetchers = (0..fleet.len()).filter(|&i| {
        let (before, after) = fleet.split_at(i);
        watchers::is_fetcher(fleet[i], &[before, &after[1..]].concat())
    });
    let mut zones: Vec<u64> = fetchers.map(|i| fleet[i].zone).collect();
    zones.sort_unstable();
    assert_eq!(zones, [0, 1, 2, 3, 4, 5]);
}

/// Guards against changes that a zone without a watcher gets late after its fetcher was lost.
#[test]
fn fetcher_that_does_not_respond_is_replaced() {
    let mut fleet = fleet(6, 33);
    let fetchers = |fleet: &[watchers::Candidate]| -> Vec<usize> {
        let is_fetcher = |&i: &usize| {
            let (before, after) = fleet.split_at(i);
            watchers::is_fetcher(fleet[i], &[before, &after[1..]].concat())
        };
        (0..fleet.len()).filter(is_fetcher).collect()
    };
    let lost = fetchers(&fleet);
    for &i in &lost {
        fleet[i].is_responsive = false;
    }
    let mut zones: Vec<u64> =
        fetchers(&fleet).into_iter().filter(|i| !lost.contains(i)).map(|i| fleet[i].zone).collect();
    zones.sort_unstable();
    assert_eq!(zones, [0, 1, 2, 3, 4, 5]);
}

/// Guards against notices of a change that go to lost fetchers in place of those that replace them.
#[test]
fn replacing_fetcher_is_notified_first() {
    let member = |number: usize| Member {
        name: format!("b-{number}"),
        incarnation: 1,
        revision: 1,
        state: InstanceState::Ready as i32,
        zone: "b".to_owned(),
        peer_addr: format!("127.0.0.1:{}", 1000 + number),
        ..Member::default()
    };
    let mut others: Vec<Member> = (0..40).map(member).collect();
    others.sort_by_key(|m| std::cmp::Reverse(watchers::rank(m.key())));
    let expected = port(&others[2]);
    others[0].liveness = Liveness::Suspect as i32;
    others[1].state = InstanceState::Leaving as i32;
    let mut own = Membership::new(Member { name: "own".to_owned(), ..member(99) });
    own.update_own(|m| "a".clone_into(&mut m.zone));
    own.merge_table(&others, 0);
    for random in 0..20 {
        let notified = own.broadcast_own_record(8, 8, random);
        assert_eq!(notified[0].to.port(), expected);
    }
}

/// Guards against a list of instances that grows with the fleet. Each starting instance reads it,
/// and an entry per instance is not needed, since any instance that answers knows all others.
#[test]
fn contacts_per_zone_are_independent_of_fleet_size() {
    for (zones, in_zone, wanted) in [(4, 2, 8), (6, 33, 18), (8, 325, 24)] {
        let fleet = fleet(zones, in_zone);
        let is_contact = |i: usize| {
            let (before, after) = fleet.split_at(i);
            store_contacts::is_contact(fleet[i], &[before, &after[1..]].concat())
        };
        assert_eq!((0..fleet.len()).filter(|&i| is_contact(i)).count(), wanted);
    }
}

#[test]
fn contact_entry_is_rewritten_only_after_a_large_size_change() {
    assert!(!store_contacts::must_rewrite(195, 180));
    assert!(!store_contacts::must_rewrite(8, 9));
    assert!(store_contacts::must_rewrite(60, 195));
    assert!(store_contacts::must_rewrite(195, 100));
}

/// Guards against a selection that ignores which instances the store serves. When the store refused
/// its watchers but served others, no instance saw a change for seconds.
#[test]
fn substitutes_replace_refused_watchers() {
    let mut fleet = fleet(3, 2);
    let initial = watchers_of(&fleet);
    for &refused in &initial {
        fleet[refused].is_store_reached = false;
    }
    let with_substitutes = watchers_of(&fleet);
    let substitutes = with_substitutes.iter().filter(|&&i| fleet[i].is_store_reached).count();
    // The same number of substitutes.
    assert_eq!(substitutes, 3, "{with_substitutes:?}");
    // Refused watchers keep retrying, since only their connections may have failed.
    assert!(initial.iter().all(|i| with_substitutes.contains(i)));
    // If the store serves none, all of them detect the end of the outage.
    for candidate in &mut fleet {
        candidate.is_store_reached = false;
    }
    assert_eq!(watchers_of(&fleet).len(), fleet.len());
}

/// Guards against slow propagation within a zone. With 300 instances a configuration was in force
/// only after five seconds. The zone's watcher notified a few instances of all zones, so most of
/// its own zone received the change by gossip, with one datagram every 200 ms.
#[test]
fn same_zone_is_notified_first() {
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
    let same_zone: Vec<u16> = datagram.members.iter().filter(|m| m.zone == "a").map(port).collect();
    let notified: Vec<u16> =
        own.broadcast_own_record(20, 20, 7).iter().map(|s| s.to.port()).collect();
    assert_eq!(notified.len(), 20);
    assert!(notified.iter().all(|port| same_zone.contains(port)), "{notified:?}");
}

fn port(member: &Member) -> u16 {
    member.peer_addr.rsplit(':').next().unwrap().parse().unwrap()
}

fn zone(count: u64, capacity_milli: u32) -> Vec<gatherers::Candidate> {
    (0..count).map(|key| gatherers::Candidate { key: key + 1, capacity_milli }).collect()
}

#[test]
fn all_instances_gather_in_a_small_zone_and_a_fifth_in_a_large_one() {
    assert_eq!(gatherers::select_gatherers("z", &zone(4, 250)).len(), 4);
    assert_eq!(gatherers::select_gatherers("z", &zone(19, 250)).len(), 4);
    assert_eq!(gatherers::select_gatherers("z", &zone(75, 250)).len(), 15);
}

#[test]
fn leaving_gatherer_does_not_move_others() {
    let all = zone(40, 250);
    let before = gatherers::select_gatherers("z", &all);
    let left: Vec<_> = all.into_iter().filter(|c| c.key != before[0]).collect();
    let after = gatherers::select_gatherers("z", &left);
    let kept = before[1..].iter().filter(|k| after.contains(k)).count();
    assert_eq!(kept, before.len() - 1);
}

/// Guards against gathering on many small instances where a few large ones suffice. Sixteen
/// instances gathered, most with an eighth of a core; the requesting one, just as small, sent and
/// read sixteen requests one after the other. Answers from 90 shards took ten milliseconds longer
/// than the replicas.
#[test]
fn large_instances_gather_if_they_suffice() {
    for number in 0..200 {
        let mut all = zone(20, 120);
        for large in &mut all[..2] {
            large.capacity_milli = 500;
        }
        let mut chosen = gatherers::select_gatherers(&format!("z{number}"), &all);
        chosen.sort_unstable();
        assert_eq!(chosen, [1, 2]);
        // If one of them is lost, the other gathers together with a small one.
        let left = gatherers::select_gatherers(&format!("z{number}"), &all[1..]);
        assert_eq!((left.len(), left[0]), (2, 2));
    }
}

#[test]
fn shards_are_assigned_in_proportion_to_capacity() {
    let mut all = zone(2, 120);
    all[0].capacity_milli = 480;
    let names = (0..1000).map(|n| format!("s{n}"));
    let large = names.filter(|name| gatherers::owner(name, &all) == Some(0)).count();
    assert!((750..850).contains(&large), "{large} of 1000");
}

#[test]
fn shards_are_grouped_into_the_fewest_zones() {
    let zones = BTreeMap::from([
        (0, vec!["a", "b"]),
        (1, vec!["b", "c"]),
        (2, vec!["b"]),
        (3, vec!["c", "a"]),
    ]);
    let groups = relays::group_by_zone(zones.clone(), "own", MIN_GROUP_SHARDS, 0);
    assert_eq!(groups.len(), 1);
    assert_eq!((groups[0].zone, groups[0].shards.clone()), ("b", vec![0, 1, 2]));
    assert_eq!(relays::group_by_zone(zones, "own", 1, 0).len(), 2);
}

/// Guards against answers that mostly cross zones. Each shard has replicas in three of four zones;
/// when all instances preferred the zone with most of them, that zone merged three quarters of all
/// parts.
#[test]
fn own_zone_is_asked_for_all_its_shards() {
    let zones = BTreeMap::from([
        (0, vec!["a", "b"]),
        (1, vec!["b", "own"]),
        (2, vec!["b", "own"]),
        (3, vec!["b", "c"]),
    ]);
    let groups = relays::group_by_zone(zones, "own", 1, 0);
    let asked: Vec<_> = groups.iter().map(|g| (g.zone, g.shards.clone())).collect();
    assert_eq!(asked, [("own", vec![1, 2]), ("b", vec![0, 3])]);
}

/// Guards against low coverage when two in five replicas are slow. A request may go to two of three
/// replicas: the one in the same zone and a random one, and for one shard in six both were slow.
/// The selecting instance did not know the slow replicas that the sending one knew.
#[test]
fn slow_replicas_are_selected_last() {
    let location = |id, zone, is_slow| ReplicaLocation { id, zone, is_slow };
    let selected =
        |places: &[ReplicaLocation<'_>], request| relays::select_replicas(places, "b", 2, request);
    for request in 0..100 {
        let same_zone_slow =
            [location("r1", "a", false), location("r2", "b", true), location("r3", "c", false)];
        let mut both = selected(&same_zone_slow, request);
        both.sort_unstable();
        assert_eq!(both, [0, 2]);
        let other_zone_slow =
            [location("r1", "a", true), location("r2", "b", false), location("r3", "c", false)];
        assert_eq!(selected(&other_zone_slow, request), [1, 2]);
        let all_slow = same_zone_slow.map(|p| ReplicaLocation { is_slow: true, ..p });
        assert_eq!(selected(&all_slow, request)[0], 1);
    }
}

/// Guards against a request that runs on three replicas where the route allows two. The asked
/// instance hedged to one replica and the asking instance to another, each with its own selection.
#[test]
fn both_sides_select_the_same_replicas() {
    let places = [("r1", "a"), ("r2", "b"), ("r3", "c")].map(|(id, zone)| ReplicaLocation {
        id,
        zone,
        is_slow: false,
    });
    let mut reversed = places;
    reversed.reverse();
    let mut second_choices = BTreeMap::new();
    for request in 0..300 {
        let ids = |places: &[ReplicaLocation<'_>]| -> Vec<String> {
            let allowed = relays::select_replicas(places, "b", 2, request);
            allowed.into_iter().map(|i| places[i].id.to_owned()).collect()
        };
        let selected = ids(&places);
        assert_eq!(selected, ids(&reversed));
        assert_eq!((selected.len(), selected[0].as_str()), (2, "r2"));
        *second_choices.entry(selected[1].clone()).or_insert(0) += 1;
    }
    assert!(second_choices.values().all(|&n| n > 100), "{second_choices:?}");
}
