//! Announcements that are late, repeated and out of order around the end and the start of the node.

use std::sync::Arc;

use proptest::prelude::*;

use crate::gate::{Announcement, UpstreamPhase, UpstreamState};

/// Longest delay of an announcement.
const DELAY_MAX_US: u64 = 10_000_000;

fn announcement(id: &str, sequence: Option<u64>, ready: bool) -> Announcement {
    Announcement {
        id: Arc::from(id),
        born_ms: None,
        sequence,
        ready,
        slots: Some(12),
        version: None,
        cold_ms: 0,
        is_solicited: false,
    }
}

fn heartbeat(id: &str, sequence: u64) -> Announcement {
    announcement(id, Some(sequence), true)
}

/// Returns the announcement that the answer to a health check amounts to.
fn health_answer(id: &str) -> Announcement {
    Announcement { sequence: Some(0), slots: None, is_solicited: true, ..heartbeat(id, 0) }
}

/// Guards against a late heartbeat that puts an upstream back into service whose leaving an earlier process of the node
/// has acknowledged.
#[test]
fn late_heartbeat_does_not_open_restarted_node() {
    let mut state = UpstreamState::at_node_start(5_000_000);
    state.take(&heartbeat("a", 7), 7_000_000);
    state.take(&heartbeat("a", 8), 7_500_000);
    assert_eq!(state.phase, UpstreamPhase::Unknown);
    assert!(state.awaits_health_check(7_500_000));
}

#[test]
fn health_answer_confirms_what_heartbeat_announced() {
    let mut state = UpstreamState::at_node_start(0);
    state.take(&Announcement { cold_ms: 3_000, ..heartbeat("a", 7) }, 400_000);
    assert!(state.take(&health_answer("a"), 500_000));
    assert_eq!((state.phase, state.slots, state.cold_until_us), (UpstreamPhase::Ready, Some(12), 3_500_000));
    assert!(!state.awaits_health_check(500_000));
    assert!(!state.take(&heartbeat("a", 6), 600_000), "an earlier heartbeat changes nothing");
}

#[test]
fn health_answer_alone_opens_restarted_node() {
    let mut state = UpstreamState::at_node_start(0);
    assert!(state.take(&health_answer("a"), 500_000));
    assert_eq!(state.phase, UpstreamPhase::Ready);
}

#[test]
fn late_heartbeat_of_earlier_start_does_not_replace_confirmed_one() {
    let mut state = UpstreamState::at_node_start(0);
    state.take(&health_answer("b"), 500_000);
    state.take(&heartbeat("a", 90), 600_000);
    assert_eq!((state.id.as_deref(), state.phase), (Some("b"), UpstreamPhase::Ready));
    assert!(state.awaits_health_check(600_000));
    state.take(&health_answer("b"), 700_000);
    assert!(!state.awaits_health_check(700_000), "the answer names the start that is present");
}

/// Guards against a start that only a health check has named, at an address that another service may use by now.
#[test]
fn health_answer_replaces_no_start_by_unannounced_one() {
    let mut state = UpstreamState::at_node_start(0);
    state.take(&health_answer("b"), 500_000);
    state.take(&heartbeat("a", 90), 600_000);
    assert!(!state.take(&health_answer("c"), 700_000));
    assert_eq!((state.id.as_deref(), state.is_confirmed()), (Some("b"), true));
}

/// Guards against a new start under the id of one that has left, which is taken for that one.
#[test]
fn new_start_under_departed_id_is_ready() {
    let born = |born_ms, announcement| Announcement { born_ms: Some(born_ms), ..announcement };
    let mut state = UpstreamState::at_node_start(0);
    state.take(&health_answer("a"), 500_000);
    state.take(&born(100, heartbeat("a", 7)), 600_000);
    state.take(&born(100, announcement("a", None, false)), 700_000);
    assert_eq!(state.phase, UpstreamPhase::Leaving);
    assert!(state.take(&born(200, heartbeat("a", 1)), 900_000));
    assert_eq!((state.start, state.phase), (2, UpstreamPhase::Ready));
}

#[test]
fn health_answer_of_leaving_upstream_is_final_for_its_start() {
    let born = |born_ms, announcement| Announcement { born_ms: Some(born_ms), ..announcement };
    let mut state = UpstreamState::at_node_start(0);
    state.take(&born(100, heartbeat("a", 7)), 400_000);
    assert!(state.take(&Announcement { ready: false, ..health_answer("a") }, 500_000));
    state.take(&born(100, heartbeat("a", 8)), 600_000);
    assert_eq!(state.phase, UpstreamPhase::Leaving);
    assert!(state.take(&born(200, heartbeat("a", 1)), 700_000));
    assert_eq!(state.phase, UpstreamPhase::Ready);
}

#[test]
fn upstream_without_health_answer_is_accepted_after_longest_delay() {
    let mut state = UpstreamState::at_node_start(0);
    for number in 0..7 {
        state.take(&heartbeat("a", number), number * 1_500_000);
        assert_eq!(state.phase, UpstreamPhase::Unknown, "{number}");
    }
    assert!(state.take(&heartbeat("a", 7), 7 * 1_500_000));
    assert_eq!(state.phase, UpstreamPhase::Ready);
}

/// One start of the upstream.
#[derive(Debug, Clone)]
struct Start {
    id: String,
    sequence: u64,
    is_leaving: bool,
    /// Whether a process of the node has acknowledged that it leaves.
    is_acknowledged: bool,
}

/// An upstream whose announcements are in flight, and the node beside it, which ends and starts again.
struct World {
    now_us: u64,
    state: UpstreamState,
    starts: Vec<Start>,
    in_flight: Vec<(u64, Announcement)>,
}

impl World {
    fn new() -> Self {
        let mut world =
            Self { now_us: 0, state: UpstreamState::at_node_start(0), starts: Vec::new(), in_flight: Vec::new() };
        world.start_upstream();
        world
    }

    fn start_upstream(&mut self) {
        let id = format!("i-{}", self.starts.len());
        self.starts.push(Start { id, sequence: 0, is_leaving: false, is_acknowledged: false });
    }

    fn present(&mut self) -> &mut Start {
        self.starts.last_mut().expect("a start")
    }

    fn send(&mut self, is_deregistration: bool) {
        let start = self.present();
        start.is_leaving |= is_deregistration;
        start.sequence += 1;
        let sequence = (!is_deregistration).then_some(start.sequence);
        let sent = announcement(&start.id, sequence, !start.is_leaving);
        self.in_flight.push((self.now_us, sent));
    }

    /// Delivers an announcement in flight; a copy of it may stay in flight.
    fn deliver(&mut self, at: usize, is_repeated: bool) {
        self.in_flight.retain(|(sent_us, _)| self.now_us < sent_us + DELAY_MAX_US);
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        let (_, received) = self.in_flight[at].clone();
        if !is_repeated {
            self.in_flight.remove(at);
        }
        self.state.take(&received, self.now_us);
        for start in self.starts.iter_mut().filter(|start| *start.id == *received.id) {
            start.is_acknowledged |= !received.ready;
        }
    }

    /// Checks the upstream's health if the state asks for it; the answer may be missing.
    fn check_health(&mut self, is_answered: bool) {
        let start = self.present().clone();
        if is_answered && !start.is_leaving && self.state.awaits_health_check(self.now_us) {
            self.state.take(&health_answer(&start.id), self.now_us);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let is_used =
            |start: &&Start| self.state.phase == UpstreamPhase::Ready && self.state.id.as_deref() == Some(&*start.id);
        let used = self.starts.iter().find(is_used);
        prop_assert!(!used.is_some_and(|start| start.is_acknowledged), "an upstream that leaves is used: {used:?}");
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(67),
        ..Default::default()
    })]

    /// Guards against any order of announcements in which an acknowledged departure is forgotten.
    #[test]
    fn acknowledged_departure_outlives_node(
        steps in prop::collection::vec((0..20u8, any::<usize>(), any::<bool>(), 0..1_500_000u64), 1..120),
    ) {
        let mut world = World::new();
        for (what, at, flag, pause_us) in steps {
            world.now_us += pause_us;
            match what {
                0..6 => world.send(false),
                6 => world.send(true),
                7..15 => world.deliver(at, flag),
                15..17 => world.check_health(flag),
                17 => world.start_upstream(),
                _ => world.state = UpstreamState::at_node_start(world.now_us),
            }
            world.check()?;
        }
        // An upstream that does not leave is in service after the next health check or the longest delay.
        if world.present().is_leaving {
            world.start_upstream();
        }
        world.now_us += 2 * DELAY_MAX_US;
        world.send(false);
        world.deliver(world.in_flight.len() - 1, false);
        let id = world.present().id.clone();
        prop_assert_eq!((world.state.id.as_deref(), world.state.phase), (Some(&*id), UpstreamPhase::Ready));
    }
}
