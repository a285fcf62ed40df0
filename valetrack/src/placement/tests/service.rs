//! Servers of a large service that an entry considers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::member::Candidate;
use crate::placement::service::{CONSIDERED_MAX, considered};
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
