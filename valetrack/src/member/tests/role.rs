//! Which nodes follow the store, and for whom: few relays a failure domain, one reader a fleet, whoever starts or dies.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use test_case::test_case;

use crate::member::role::{begins, joins};
use crate::member::{Avoided, GROUP_MAX, Member, Members, Phase, is_needed, is_surplus, relay_of, volunteers};

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
    }
}

fn set_relay(members: &mut Members, vm: &Arc<str>, is_relay: bool) {
    let me = members.get(vm).cloned().expect("a member");
    members.set(Member { is_relay, ..me });
}

/// Lets each node of a fleet choose its role in turn until nothing changes, whatever the view shows at once to all.
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

/// Makes a fleet of so many nodes of one failure domain that has settled.
fn fleet(count: usize) -> Members {
    let mut members = Members::default();
    for at in 0..count {
        members.set(member(&format!("vm-{at}"), "kranj", Phase::Serving, false));
    }
    settle(&mut members);
    members
}

/// Returns how many nodes that are no relays follow each relay.
fn groups(members: &Members, avoided: &str) -> BTreeMap<Arc<str>, usize> {
    let avoids = |vm: &str| (vm == avoided).then_some(Avoided::Silent);
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

#[test_case(1, 1; "a node alone follows the store")]
#[test_case(13, 1; "a few nodes have one relay")]
#[test_case(200, 4; "many have several")]
#[test_case(984, 16; "a large domain")]
#[test_case(1_968, 31; "twice as large a domain")]
fn the_nodes_of_a_domain_follow_few_relays(nodes: usize, count: usize) {
    let members = fleet(nodes);
    let relays = relays(&members);
    assert_eq!(relays.len(), count);
    let groups = groups(&members, "");
    let followed: BTreeSet<Arc<str>> = groups.keys().cloned().collect();
    assert!(nodes == 1 || followed == relays, "each relay has followers");
    assert!(groups.values().all(|size| *size < 2 * GROUP_MAX), "{groups:?}");
    assert_eq!(groups.values().sum::<usize>(), nodes - count, "nobody is left to the store");
}

#[test_case(13; "a few nodes")]
#[test_case(984; "many")]
#[test_case(1_968; "twice as many")]
fn one_relay_of_a_fleet_follows_the_store_itself(nodes: usize) {
    let mut members = Members::default();
    for at in 0..nodes {
        members.set(member(&format!("vm-{at}"), ["kranj", "skofja", "trzic"][at % 3], Phase::Serving, false));
    }
    settle(&mut members);
    let readers = members.iter().filter(|me| me.is_relay && relay_of(&members, me, |_| None).is_none()).count();
    assert_eq!(readers, 1);
    let followed = members.iter().filter_map(|me| relay_of(&members, me, |_| None));
    assert!(followed.into_iter().all(|relay| relay.is_relay), "nobody has to become one");
}

#[test]
fn another_relay_stands_in_for_one_that_failed() {
    let members = fleet(200);
    let all = relays(&members);
    let failed = all.first().cloned().expect("a relay");
    let left = groups(&members, &failed);
    assert_eq!(left.len(), all.len() - 1);
    assert!(!left.contains_key(&failed));
}

#[test]
fn where_the_only_relay_failed_the_others_agree_on_the_next() {
    let members = fleet(8);
    let failed = relays(&members).first().cloned().expect("a relay");
    let avoids = |vm: &str| (*vm == *failed).then_some(Avoided::Silent);
    let others: Vec<&Member> = members.iter().filter(|me| me.vm != failed).collect();
    let next: BTreeSet<Option<Arc<str>>> =
        others.iter().map(|me| relay_of(&members, me, avoids).map(|relay| relay.vm.clone())).collect();
    let chosen = next.iter().flatten().next().cloned().expect("a relay");
    assert_eq!(next.len(), 2, "one of them, which follows the store itself: {next:?}");
    let needed: Vec<_> = others.iter().filter(|me| is_needed(&members, me, avoids)).map(|me| me.vm.clone()).collect();
    assert_eq!(needed, [chosen]);
}

#[test]
fn a_relay_that_is_behind_is_followed_where_there_is_no_other_one() {
    let members = fleet(8);
    let only = relays(&members).first().cloned().expect("a relay");
    let behind = |vm: &str| (*vm == *only).then_some(Avoided::Behind);
    for me in members.iter().filter(|me| !me.is_relay) {
        assert_eq!(relay_of(&members, me, behind).map(|relay| &relay.vm), Some(&only), "the store is away for all");
    }
}

#[test]
fn nobody_follows_a_node_that_leaves_or_is_elsewhere_and_no_relay() {
    let mut members = Members::default();
    members.set(member("vm-1", "kranj", Phase::Leaving, true));
    members.set(member("vm-2", "loka", Phase::Serving, false));
    let me = member("vm-3", "kranj", Phase::Serving, false);
    members.set(me.clone());
    assert_eq!(relay_of(&members, &me, |_| None), None);
    members.set(member("vm-4", "loka", Phase::Serving, true));
    assert_eq!(relay_of(&members, &me, |_| None).map(|relay| &*relay.vm), Some("vm-4"), "rather than the store");
}

#[test_case(984, 20..=80; "a large fleet")]
#[test_case(1_968, 40..=130; "twice as large")]
fn about_as_many_begin_as_are_needed(nodes: usize, expected: std::ops::RangeInclusive<usize>) {
    let mut rng = fastrand::Rng::with_seed(7);
    let begun = (0..nodes).filter(|_| volunteers(0, &mut rng)).count();
    assert!(expected.contains(&begun), "{begun} of {nodes}");
}

#[test]
fn a_node_alone_does_not_wait_for_long() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        assert!((0..6).any(|round| volunteers(round, &mut rng)));
    }
}

/// A fleet that starts at once, in rounds: who begins as a relay, who asks one, and how many come to each.
///
/// The load: all nodes find the same few relays at the same moment. Asked by all of them, the first ones spend seconds on
/// handshakes, and their followers take them for dead.
#[test_case(13; "a few nodes")]
#[test_case(200; "a large domain")]
#[test_case(984; "a large fleet")]
#[test_case(1_968; "twice as large")]
fn no_relay_is_asked_by_many_at_once_in_a_fleet_that_starts(nodes: usize) {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut waiting = nodes;
        let mut relays = 0;
        let mut most = 0;
        for round in 0..12 {
            // What is written in one round is read in the next.
            let seen = relays;
            let mut asked = 0;
            for _ in 0..std::mem::take(&mut waiting) {
                if (round == 0 && begins(&mut rng)) || (seen == 0 && volunteers(round, &mut rng)) {
                    relays += 1;
                } else if seen > 0 && joins(round, seen, &mut rng) {
                    asked += 1;
                } else {
                    waiting += 1;
                }
            }
            most = most.max(asked / seen.max(1));
        }
        assert_eq!(waiting, 0, "seed {seed}: nobody waits for longer than some seconds");
        assert!(most <= 2 * GROUP_MAX, "seed {seed}: {most} at one relay in one round");
        assert!(relays * GROUP_MAX <= nodes * 8 + 8 * GROUP_MAX, "seed {seed}: {relays} relays of {nodes}");
    }
}
