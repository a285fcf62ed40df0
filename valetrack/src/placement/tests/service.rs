//! Servers of a large service that an entry considers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::gate::DeclineReason;
use crate::member::Candidate;
use crate::placement::service::{CONSIDERED_MAX, EntryPlace, ServiceState, considered};
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Dispatch, Policy, RetryBudget, ServiceView,
};
use crate::region::Regions;

/// Returns servers of one service in three failure domains.
fn servers(count: usize) -> Vec<Candidate> {
    let server = |at: usize| Candidate {
        vm: Arc::from(format!("vm-{at}")),
        incarnation: 1,
        domain: Arc::from(["kranj", "loka", "lesce"][at % 3]),
        link_addr: ([127, 0, 0, 1], at as u16).into(),
        part: crate::rollout::TrafficShare::Usual,
    };
    (0..count).map(server).collect()
}

#[test]
fn all_servers_of_small_service_are_considered() {
    assert_eq!(considered(servers(CONSIDERED_MAX), &Regions::default(), "kranj", "vm-0"), servers(CONSIDERED_MAX));
}

#[test]
fn servers_of_own_failure_domain_come_first() {
    let chosen = considered(servers(126), &Regions::default(), "kranj", "vm-0");
    assert_eq!(chosen.len(), CONSIDERED_MAX);
    assert_eq!(chosen.iter().filter(|server| &*server.domain == "kranj").count(), 42);
}

#[test]
fn every_server_of_large_service_is_considered() {
    let mut considering: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for entry in servers(300) {
        for server in considered(servers(300), &Regions::default(), &entry.domain, &entry.vm) {
            *considering.entry(server.vm).or_insert(0) += 1;
        }
    }
    assert_eq!(considering.len(), 300);
    // The average is 56.
    let (least, most) = (considering.values().min(), considering.values().max());
    assert!(least.is_some_and(|&least| least > 28) && most.is_some_and(|&most| most < 112), "{least:?} {most:?}");
}

#[test]
fn restarted_upstream_gets_no_call_it_rejected() {
    let regions = Regions::default();
    let place = EntryPlace { vm: "vm-9", domain: "kranj", domain_cost_us: 0, regions: &regions };
    let retry = RetryBudget::new(100, 20);
    let mut state = ServiceState {
        view: ServiceView::new(Policy::Valetrack),
        budgets: Budgets::new(retry, retry),
        targets: Vec::new(),
    };
    state.sync(servers(3).into_iter(), &place, |_| 0);
    let rule = CallRule { repeatable: false, bounces: 8, retries: 1, hedge_after_percent: None, demand: None };
    let mut call = Call::new(rule, 1);
    let (mut rng, mut next_seq) = (fastrand::Rng::with_seed(1), 1);
    let mut receiving: Vec<Arc<str>> = Vec::new();
    let mut event = CallEvent::Begin;
    while !call.finished() {
        let mut actions = Vec::new();
        let ServiceState { view, budgets, .. } = &mut state;
        let mut cx = CallContext { view, budgets, rng: &mut rng, now_us: 0, next_seq: &mut next_seq };
        call.handle(event, &mut cx, &mut actions);
        for action in actions {
            if let CallAction::Send(Dispatch { attempt, server, .. }) = action {
                receiving.push(state.targets[server].as_ref().expect("a target").vm.clone());
                event = CallEvent::Declined { attempt, reason: DeclineReason::Rejected };
            }
        }
        // Each VM that has received the call starts again meanwhile.
        let incarnation = |server: &Candidate| 1 + u64::from(receiving.contains(&server.vm));
        let restarted = servers(3).into_iter().map(|server| Candidate { incarnation: incarnation(&server), ..server });
        state.sync(restarted, &place, |_| 0);
    }
    receiving.sort();
    assert_eq!(receiving.iter().map(|vm| &**vm).collect::<Vec<_>>(), ["vm-0", "vm-1", "vm-2"]);
}
