//! Relays that the store refuses, in a simulated fleet: followers read the store themselves, and one of them takes over.

use std::collections::BTreeSet;
use std::sync::Arc;

use test_case::test_case;

use crate::member::{
    AvoidReason, Member, Members, Phase, Takeover, TakeoverStep, is_needed, relay_of, resigns, source_of,
};

const STEP_US: u64 = 10_000;
/// Time until the other nodes receive the updates of a node that has taken over.
const SPREAD_US: u64 = 100_000;

/// Outcome of a simulated takeover.
#[derive(Debug)]
struct Outcome {
    /// When the first node was served, and so has read all changes; none if no node was.
    served_us: Option<u64>,
    /// Nodes that took over.
    relays: usize,
    /// Attempts, and the most of them within 100 ms.
    attempts: usize,
    busiest: usize,
}

/// Simulates the followers of a failure domain whose relays are behind from time zero on, for `until_us`. The last
/// update is `age_us` old then.
fn simulate(nodes: usize, is_refused: impl Fn(usize) -> bool, age_us: u64, until_us: u64, seed: u64) -> Outcome {
    const START_US: u64 = 10_000_000;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut followers: Vec<Takeover> = (0..nodes).map(|_| Takeover::default()).collect();
    for follower in &mut followers {
        follower.on_update(START_US - age_us);
        follower.on_behind(START_US);
    }
    let mut outcome = Outcome { served_us: None, relays: 0, attempts: 0, busiest: 0 };
    let mut in_window = 0;
    for time_us in (0..until_us).step_by(STEP_US as usize) {
        if outcome.served_us.is_some_and(|served_us| time_us >= served_us + SPREAD_US) {
            return outcome;
        }
        in_window = if time_us % 100_000 == 0 { 0 } else { in_window };
        for (at, follower) in followers.iter_mut().enumerate() {
            if follower.next(nodes, START_US + time_us, &mut rng) != TakeoverStep::Attempt {
                continue;
            }
            outcome.attempts += 1;
            in_window += 1;
            outcome.busiest = outcome.busiest.max(in_window);
            if is_refused(at) {
                follower.on_refused(START_US + time_us, &mut rng);
            } else if follower.on_served(START_US + time_us) {
                outcome.relays += 1;
                outcome.served_us.get_or_insert(time_us);
            }
        }
    }
    outcome
}

/// Guards against changes that no node reads while the store refuses a third of the nodes, the relays among them.
#[test_case(3, 0; "three nodes, an update right before")]
#[test_case(25, 0; "a domain of 25 nodes, an update right before")]
#[test_case(25, 1_900_000; "a domain of 25 nodes, the last update 1.9 s old")]
#[test_case(984, 500_000; "a large domain")]
fn follower_takes_over_from_refused_relays_in_time(nodes: usize, age_us: u64) {
    for seed in 0..200 {
        let mut drawn: Vec<usize> = (0..nodes).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut drawn);
        let refused: BTreeSet<usize> = drawn.into_iter().take(nodes / 3).collect();
        let outcome = simulate(nodes, |at| refused.contains(&at), age_us, 5_000_000, seed);
        let start_us = 1_000_000u64.saturating_sub(age_us).max(300_000);
        let served_us = outcome.served_us.expect("a node that the store serves has read it");
        assert!(served_us <= start_us + 700_000, "seed {seed}: {outcome:?}");
        assert!(outcome.relays <= 16 && outcome.busiest <= 40, "seed {seed}: {outcome:?}");
    }
}

/// Guards against a fleet that calls a failed store without end, since each call costs money.
#[test_case(25; "a domain of 25 nodes")]
#[test_case(984; "a large domain")]
fn attempts_are_few_while_whole_store_fails(nodes: usize) {
    let outcome = simulate(nodes, |_| true, 0, 30_000_000, 7);
    let per_s = outcome.attempts as f64 / 30.0;
    assert!(per_s <= 110.0 && per_s <= nodes as f64 / 4.0, "{outcome:?}");
    assert!(outcome.busiest <= 40, "{outcome:?}");
}

#[test]
fn relay_that_delivers_is_not_replaced() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut follower = Takeover::default();
    follower.on_update(1_000_000);
    assert_eq!(follower.next(1, 60_000_000, &mut rng), TakeoverStep::Idle, "no relay was behind");
    follower.on_behind(60_000_000);
    assert_eq!(follower.next(1, 60_000_000, &mut rng), TakeoverStep::Wait { until_us: 60_300_000 });
    follower.on_update(60_200_000);
    assert_eq!(follower.next(1, 60_400_000, &mut rng), TakeoverStep::Idle, "the relay was behind for a moment");
    assert!(!follower.on_served(60_400_000), "an answer to an earlier attempt");
}

/// Guards against a fleet with a new relay for each node that notices the end of an outage first.
#[test]
fn refused_node_leaves_relays_time_to_recover() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut follower = Takeover::default();
    follower.on_behind(0);
    assert_eq!(follower.next(1, 1_000_000, &mut rng), TakeoverStep::Attempt);
    follower.on_refused(1_000_000, &mut rng);
    assert!(!follower.on_served(2_000_000));
    assert_eq!(follower.next(1, 2_000_000, &mut rng), TakeoverStep::Wait { until_us: 2_700_000 });
    assert_eq!(follower.next(1, 2_700_000, &mut rng), TakeoverStep::Attempt);
    assert!(follower.on_served(2_700_000));
}

#[test_case(None, 9 => false; "the store serves it")]
#[test_case(Some(500_000), 9 => false; "refused for half a second")]
#[test_case(Some(0), 2 => false; "followers may not know the other relay yet")]
#[test_case(Some(0), 0 => false; "no relay is current")]
#[test_case(Some(0), 3 => true; "refused for a second while another relay is current")]
fn refused_relay_resigns(failing_since_us: Option<u64>, updates: u32) -> bool {
    resigns(failing_since_us, updates, 1_000_000)
}

fn fleet(relays: &[&str]) -> Members {
    let mut members = Members::default();
    for at in 0..9 {
        let vm = format!("vm-{at}");
        members.set(Member {
            vm: Arc::from(&*vm),
            incarnation: 1,
            phase: Phase::Serving,
            domain: Arc::from("kranj"),
            service: Arc::from("lab"),
            link_addr: "127.0.0.1:9".parse().expect("an address"),
            version: None,
            is_relay: relays.contains(&&*vm),
            departure: None,
        });
    }
    members
}

/// Guards against refused relays that follow each other in a cycle, and against a reader that is replaced by several.
#[test]
fn refused_relay_follows_others_once_then_new_one() {
    let relays = ["vm-1", "vm-4", "vm-7"];
    let members = fleet(&relays);
    let me = members.get("vm-4").expect("a member");
    let mut behind: BTreeSet<Arc<str>> = BTreeSet::new();
    while let Some(next) =
        source_of(&members, me, |vm| behind.contains(vm).then_some(AvoidReason::Behind)).map(|next| next.vm.clone())
    {
        assert!(behind.insert(next), "{behind:?}");
    }
    assert_eq!(behind.len(), 2, "then it follows the store itself");
    let members = fleet(&["vm-1", "vm-4", "vm-7", "vm-8"]);
    let next = source_of(&members, me, |vm| behind.contains(vm).then_some(AvoidReason::Behind));
    assert_eq!(next.map(|next| &*next.vm), Some("vm-8"));
}

/// Guards against followers that keep asking relays which have resigned, and against a role that nobody takes: the
/// position of the refused nodes is the reader, all relays, or a follower.
#[test_case(&["vm-7"], &[] => Some("vm-4".to_owned()); "its own relay is behind, and the next one is followed")]
#[test_case(&["vm-1", "vm-4", "vm-7"], &["vm-8"] => Some("vm-8".to_owned()); "a node has taken over from all relays")]
#[test_case(&["vm-0"], &[] => Some("vm-7".to_owned()); "another follower is refused, and its own relay is followed")]
fn follower_finds_current_relay(behind: &[&str], taken_over: &[&str]) -> Option<String> {
    let relays: Vec<&str> = ["vm-1", "vm-4", "vm-7"].iter().chain(taken_over).copied().collect();
    let members = fleet(&relays);
    let me = members.get("vm-2").expect("a member");
    let avoided = |vm: &str| behind.contains(&vm).then_some(AvoidReason::Behind);
    assert!(!is_needed(&members, me, avoided), "the domain has a relay");
    relay_of(&members, me, avoided).map(|relay| relay.vm.to_string())
}
