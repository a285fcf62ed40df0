//! Selection of relays: a few per failure domain and one reader per fleet, whichever nodes start or die.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use test_case::test_case;

use crate::member::role::{joins_relay, starts_as_relay};
use crate::member::{
    AvoidReason, GROUP_MAX, Member, Members, Phase, is_candidate, is_needed, is_surplus, relay_in_regions, relay_of,
};
use crate::region::Regions;

fn member(vm: &str, domain: &str, phase: Phase, is_relay: bool) -> Member {
    Member {
        vm: Arc::from(vm),
        incarnation: 1,
        phase,
        domain: Arc::from(domain),
        service: Arc::from("lab"),
        link_addr: "127.0.0.1:9".parse().expect("an address"),
        version: None,
        is_relay,
        departure: None,
    }
}

fn set_relay(members: &mut Members, vm: &Arc<str>, is_relay: bool) {
    let me = members.get(vm).cloned().expect("a member");
    members.set(Member { is_relay, ..me });
}

/// Lets the nodes of a fleet choose their roles one after the other until no role changes; all share one view.
fn settle(members: &mut Members) {
    loop {
        let change = members.iter().find_map(|me| {
            let needed = is_needed(members, me, |_| None);
            let surplus = is_surplus(members, me);
            (needed || surplus).then(|| (me.vm.clone(), needed))
        });
        let Some((vm, is_relay)) = change else {
            return;
        };
        set_relay(members, &vm, is_relay);
    }
}

/// Returns a settled fleet of `count` nodes in one failure domain.
fn fleet(count: usize) -> Members {
    let mut members = Members::default();
    for at in 0..count {
        members.set(member(&format!("vm-{at}"), "kranj", Phase::Serving, false));
    }
    settle(&mut members);
    members
}

/// Returns for each relay how many nodes that are no relays follow it.
fn groups(members: &Members, avoided: &str) -> BTreeMap<Arc<str>, usize> {
    let avoids = |vm: &str| (vm == avoided).then_some(AvoidReason::Silent);
    let mut groups = BTreeMap::new();
    for me in members.iter().filter(|me| !me.is_relay && &*me.vm != avoided) {
        if let Some(relay) = relay_of(members, me, avoids) {
            *groups.entry(relay.vm.clone()).or_default() += 1;
        }
    }
    groups
}

fn relays(members: &Members) -> BTreeSet<Arc<str>> {
    members.iter().filter(|member| member.is_relay).map(|member| member.vm.clone()).collect()
}

#[test_case(1, 1; "a single node follows the store")]
#[test_case(13, 1; "a few nodes have one relay")]
#[test_case(200, 4; "many nodes have several relays")]
#[test_case(984, 16; "a large domain")]
#[test_case(1_968, 31; "a domain twice as large")]
fn nodes_of_a_domain_follow_few_relays(nodes: usize, count: usize) {
    let members = fleet(nodes);
    let relays = relays(&members);
    assert_eq!(relays.len(), count);
    let groups = groups(&members, "");
    let followed: BTreeSet<Arc<str>> = groups.keys().cloned().collect();
    assert!(nodes == 1 || followed == relays, "each relay has followers");
    assert!(groups.values().all(|size| *size < 2 * GROUP_MAX), "{groups:?}");
    assert_eq!(groups.values().sum::<usize>(), nodes - count, "no other node follows the store");
}

#[test_case(13; "a few nodes")]
#[test_case(984; "many")]
#[test_case(1_968; "twice as many")]
fn one_relay_of_a_fleet_follows_the_store(nodes: usize) {
    let mut members = Members::default();
    for at in 0..nodes {
        members.set(member(&format!("vm-{at}"), ["kranj", "skofja", "trzic"][at % 3], Phase::Serving, false));
    }
    settle(&mut members);
    let readers = members.iter().filter(|me| me.is_relay && relay_of(&members, me, |_| None).is_none()).count();
    assert_eq!(readers, 1);
    let followed = members.iter().filter_map(|me| relay_of(&members, me, |_| None));
    assert!(followed.into_iter().all(|relay| relay.is_relay), "no node has to become a relay");
}

#[test]
fn followers_of_a_failed_relay_choose_another() {
    let members = fleet(200);
    let all = relays(&members);
    let failed = all.first().cloned().expect("a relay");
    let left = groups(&members, &failed);
    assert_eq!(left.len(), all.len() - 1);
    assert!(!left.contains_key(&failed));
}

#[test]
fn nodes_agree_on_successor_when_the_only_relay_fails() {
    let members = fleet(8);
    let failed = relays(&members).first().cloned().expect("a relay");
    let avoids = |vm: &str| (*vm == *failed).then_some(AvoidReason::Silent);
    let others: Vec<&Member> = members.iter().filter(|me| me.vm != failed).collect();
    let next: BTreeSet<Option<Arc<str>>> =
        others.iter().map(|me| relay_of(&members, me, avoids).map(|relay| relay.vm.clone())).collect();
    let chosen = next.iter().flatten().next().cloned().expect("a relay");
    assert_eq!(next.len(), 2, "all choose one node, which follows the store itself: {next:?}");
    let needed: Vec<_> = others.iter().filter(|me| is_needed(&members, me, avoids)).map(|me| me.vm.clone()).collect();
    assert_eq!(needed, [chosen]);
}

#[test]
fn only_relay_is_followed_even_when_it_is_behind() {
    let members = fleet(8);
    let only = relays(&members).first().cloned().expect("a relay");
    let behind = |vm: &str| (*vm == *only).then_some(AvoidReason::Behind);
    for me in members.iter().filter(|me| !me.is_relay) {
        assert_eq!(
            relay_of(&members, me, behind).map(|relay| &relay.vm),
            Some(&only),
            "the store is unreachable for all"
        );
    }
}

#[test]
fn leaving_relays_and_nodes_of_other_domains_are_not_followed() {
    let mut members = Members::default();
    members.set(member("vm-1", "kranj", Phase::Leaving, true));
    members.set(member("vm-2", "loka", Phase::Serving, false));
    let me = member("vm-3", "kranj", Phase::Serving, false);
    members.set(me.clone());
    assert_eq!(relay_of(&members, &me, |_| None), None);
    members.set(member("vm-4", "loka", Phase::Serving, true));
    assert_eq!(
        relay_of(&members, &me, |_| None).map(|relay| &*relay.vm),
        Some("vm-4"),
        "a relay of another domain is preferred to the store"
    );
}

#[test_case(984, 20..=80; "a large fleet")]
#[test_case(1_968, 40..=130; "twice as large")]
fn first_round_yields_about_as_many_relays_as_needed(nodes: usize, expected: std::ops::RangeInclusive<usize>) {
    let mut rng = fastrand::Rng::with_seed(7);
    let candidates = (0..nodes).filter(|_| is_candidate(0, &mut rng)).count();
    assert!(expected.contains(&candidates), "{candidates} of {nodes}");
}

#[test]
fn single_node_becomes_relay_within_six_rounds() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        assert!((0..6).any(|round| is_candidate(round, &mut rng)));
    }
}

/// Simulates a fleet that starts at once, in rounds in which nodes become relays or send their first request to one.
///
/// Guards against an overload of the first relays: all nodes find the same few relays at the same moment. If all of
/// them sent a request at once, these relays would spend seconds on handshakes, and their followers would consider them
/// dead.
#[test_case(13; "a few nodes")]
#[test_case(200; "a large domain")]
#[test_case(984; "a large fleet")]
#[test_case(1_968; "twice as large")]
fn starting_fleet_spreads_first_requests_over_relays_and_rounds(nodes: usize) {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut waiting = nodes;
        let mut relays = 0;
        let mut most = 0;
        for round in 0..12 {
            // The writes of one round are read in the next.
            let seen = relays;
            let mut requests = 0;
            for _ in 0..std::mem::take(&mut waiting) {
                if (round == 0 && starts_as_relay(&mut rng)) || (seen == 0 && is_candidate(round, &mut rng)) {
                    relays += 1;
                } else if seen > 0 && joins_relay(round, seen, &mut rng) {
                    requests += 1;
                } else {
                    waiting += 1;
                }
            }
            most = most.max(requests / seen.max(1));
        }
        assert_eq!(waiting, 0, "seed {seed}: no node waits for longer than some seconds");
        assert!(most <= 2 * GROUP_MAX, "seed {seed}: {most} requests to one relay in one round");
        assert!(relays * GROUP_MAX <= nodes * 8 + 8 * GROUP_MAX, "seed {seed}: {relays} relays of {nodes}");
    }
}

/// Returns the fleet of a test in two regions, with its relays.
fn two_regions(nodes: usize) -> (Members, Regions) {
    let mut members = Members::default();
    for at in 0..nodes {
        let domain = ["kranj", "loka", "ptuj", "maribor"][at % 4];
        members.set(member(&format!("vm-{at}"), domain, Phase::Serving, false));
    }
    settle(&mut members);
    let regions = "kranj=west,loka=west,ptuj=east,maribor=east".parse().expect("regions");
    (members, regions)
}

/// Guards against changes that cross between regions once per relay, or once per node.
#[test_case(81; "two domains in each region")]
#[test_case(1_200; "several relays in each domain")]
fn changes_cross_to_another_region_once(nodes: usize) {
    let (members, regions) = two_regions(nodes);
    let followed = |me: &Member| relay_in_regions(&members, me, &regions, |_| None).cloned();
    let readers = members.iter().filter(|me| followed(me).is_none()).count();
    let crossing = members
        .iter()
        .filter(|me| followed(me).is_some_and(|relay| !regions.is_same_region(&relay.domain, &me.domain)));
    assert_eq!((readers, crossing.count()), (1, 1));
}

/// Guards against relays that follow each other in a cycle: each step leads to a relay of a lower rank.
#[test]
fn every_relay_reaches_the_reader() {
    let (members, regions) = two_regions(1_200);
    for me in members.iter() {
        let mut at = me.clone();
        let mut steps = 0;
        while let Some(relay) = relay_in_regions(&members, &at, &regions, |_| None) {
            at = relay.clone();
            steps += 1;
            assert!(steps <= 3, "{} is {steps} steps from the reader", me.vm);
        }
    }
}

/// A relay whose regional relay fails follows the reader itself, and the store only if that one fails too.
#[test]
fn relay_without_regional_relay_follows_reader() {
    let (members, regions) = two_regions(81);
    let reader = members.iter().find(|me| me.is_relay && relay_in_regions(&members, me, &regions, |_| None).is_none());
    let reader = reader.expect("a reader");
    let relay = |me: &Member, failed: &[&str]| {
        let avoided = |vm: &str| failed.contains(&vm).then_some(AvoidReason::Silent);
        relay_in_regions(&members, me, &regions, avoided).map(|relay| relay.vm.clone())
    };
    let far = |me: &&Member| me.is_relay && !regions.is_same_region(&me.domain, &reader.domain);
    let last = members.iter().filter(far).find(|me| relay(me, &[]).is_some_and(|vm| vm != reader.vm));
    let last = last.expect("a relay that follows a regional one");
    let regional = relay(last, &[]).expect("a regional relay");
    assert_eq!(relay(last, &[&regional]), Some(reader.vm.clone()));
    assert_eq!(relay(last, &[&regional, &reader.vm]), None);
}

#[test]
fn one_listed_region_changes_no_role() {
    let (members, _) = two_regions(200);
    let one: Regions = "kranj=west,loka=west,ptuj=west,maribor=west".parse().expect("regions");
    for me in members.iter() {
        assert_eq!(relay_in_regions(&members, me, &one, |_| None), relay_of(&members, me, |_| None));
    }
}
