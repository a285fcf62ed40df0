//! Calls in flight while their service leaves the bundle and returns, and while its servers change, in any order.

use std::sync::Arc;

use proptest::prelude::*;

use crate::bundle::{Bundle, FleetRetries, ServiceRule, check};
use crate::code::Code;
use crate::gate::{AttemptId, CancelResult, DeclineReason};
use crate::member::Candidate;
use crate::placement::service::{EntryPlace, Recipient, ServiceState};
use crate::placement::services::Services;
use crate::placement::{
    Call, CallAction, CallContext, CallEvent, CallRule, Dispatch, KnownFleet, Policy, ServerIndex, Verdict,
};
use crate::region::Regions;

const SERVICE: &str = "ledger";
/// Window of the service's guarantee on repeats.
const WINDOW_US: u64 = 10_000_000;
const KNOWN_FLEET: KnownFleet = KnownFleet { members: 2, complete_since_us: Some(0) };

fn bundle() -> Bundle {
    let text = "[measure]\nbytes_per_s = 2048\nprobes_per_s = 5\n\n[[service]]\nname = \"ledger\"\nslots = 6\n";
    check(text).expect("a valid bundle")
}

/// Returns the rule of the service, with a guarantee on repeats over all nodes.
fn rule() -> ServiceRule {
    let fleet_retries = Some(FleetRetries { reserve: 60, window_ms: (WINDOW_US / 1_000) as u32 });
    ServiceRule { retry_percent: 20, fleet_retries, ..bundle().service(SERVICE).expect("the service").clone() }
}

/// Actual progress of an attempt, which the entry does not see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Sent,
    Started,
    NeverStarts,
}

#[derive(Debug)]
struct Attempt {
    call: usize,
    id: AttemptId,
    recipient: Recipient,
    /// Number of the process that received it, of those that ran on its VM.
    process: u32,
    progress: Progress,
    is_cancel_sent: bool,
    /// Whether the entry has received the end of the attempt.
    is_closed: bool,
}

struct PlacedCall {
    call: Call,
    is_repeatable: bool,
    verdict: Option<Verdict>,
}

/// A VM with its node and its upstream.
#[derive(Debug, Clone)]
struct Vm {
    candidate: Candidate,
    is_listed: bool,
    /// Number of the node's present process.
    process: u32,
}

struct World {
    services: Services,
    rule: ServiceRule,
    is_configured: bool,
    vms: Vec<Vm>,
    calls: Vec<PlacedCall>,
    attempts: Vec<Attempt>,
    rng: fastrand::Rng,
    next_seq: u64,
    now_us: u64,
}

impl World {
    fn new(vms: usize, seed: u64) -> Self {
        let vm = |at: usize| Vm {
            candidate: Candidate {
                vm: Arc::from(format!("vm-{at}")),
                incarnation: 1,
                domain: Arc::from(["kranj", "loka"][at % 2]),
                link_addr: ([127, 0, 0, 1], 7_000 + at as u16).into(),
                part: crate::rollout::TrafficShare::Usual,
            },
            is_listed: true,
            process: 0,
        };
        let mut world = Self {
            services: Services::new(Policy::Random),
            rule: rule(),
            is_configured: true,
            vms: (0..vms).map(vm).collect(),
            calls: Vec::new(),
            attempts: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            next_seq: 1,
            now_us: 0,
        };
        world.apply_config();
        world
    }

    /// Applies the bundle in force and the listed VMs, as the shell does after each change.
    fn apply_config(&mut self) {
        let is_configured = self.is_configured;
        self.services.remove_others(|name| is_configured && name == SERVICE, self.now_us);
        if !is_configured {
            return;
        }
        let regions = Regions::default();
        let place = EntryPlace { vm: "entry", domain: "kranj", domain_cost_us: 0, regions: &regions };
        let listed: Vec<Candidate> = self.vms.iter().filter(|vm| vm.is_listed).map(|vm| vm.candidate.clone()).collect();
        let state = self.services.configured(&self.rule, self.now_us);
        state.configure(&self.rule, KNOWN_FLEET);
        state.sync(listed.into_iter(), &place, |_| 0);
    }

    fn handle(&mut self, at: usize, event: CallEvent) -> Result<(), TestCaseError> {
        let PlacedCall { call, .. } = &mut self.calls[at];
        let mut actions = Vec::new();
        let Some(ServiceState { view, budgets, .. }) = self.services.get_mut(SERVICE) else {
            let verdict = call.verdict_without_service();
            return self.finish(at, verdict);
        };
        let (rng, next_seq) = (&mut self.rng, &mut self.next_seq);
        let mut cx = CallContext { view, budgets, rng, now_us: self.now_us, next_seq };
        call.handle(event, &mut cx, &mut actions);
        actions.into_iter().try_for_each(|action| self.perform(at, action))
    }

    fn perform(&mut self, at: usize, action: CallAction) -> Result<(), TestCaseError> {
        match action {
            CallAction::Send(Dispatch { attempt, server, .. }) => self.send(at, attempt, server),
            CallAction::Cancel { attempt, .. } => {
                let sent = self.attempts.iter_mut().find(|sent| sent.id == attempt);
                sent.ok_or(TestCaseError::fail("a cancel of no attempt"))?.is_cancel_sent = true;
                Ok(())
            }
            CallAction::ArmHedge { .. } => Ok(()),
            CallAction::Finish(verdict) => self.finish(at, verdict),
        }
    }

    fn send(&mut self, call: usize, id: AttemptId, server: ServerIndex) -> Result<(), TestCaseError> {
        prop_assert!(self.is_configured, "an attempt at a service that has left the bundle");
        let recipient = self.services.get(SERVICE).and_then(|state| state.recipient(server));
        let recipient = recipient.ok_or(TestCaseError::fail("an attempt at no server"))?;
        let process = self.vm_of(&recipient).process;
        let progress = Progress::Sent;
        self.attempts.push(Attempt { call, id, recipient, process, progress, is_cancel_sent: false, is_closed: false });
        Ok(())
    }

    fn vm_of(&self, recipient: &Recipient) -> &Vm {
        self.vms.iter().find(|vm| vm.candidate.vm == recipient.target.vm).expect("a known VM")
    }

    fn finish(&mut self, at: usize, verdict: Verdict) -> Result<(), TestCaseError> {
        let call = &mut self.calls[at];
        if call.verdict.is_some() {
            return Ok(());
        }
        call.verdict = Some(verdict);
        if let Verdict::NotRun { .. } = verdict {
            let may_run = self.attempts.iter().find(|sent| sent.call == at && sent.progress != Progress::NeverStarts);
            prop_assert!(may_run.is_none(), "reported as not run: {may_run:?}");
        }
        Ok(())
    }

    fn begin_call(&mut self, is_repeatable: bool) -> Result<(), TestCaseError> {
        if !self.is_configured {
            // The shell rejects such calls before they are placed.
            return Ok(());
        }
        let rule =
            CallRule { repeatable: is_repeatable, bounces: 2, retries: 1, hedge_after_percent: None, demand: None };
        self.calls.push(PlacedCall { call: Call::new(rule, 1), is_repeatable, verdict: None });
        self.handle(self.calls.len() - 1, CallEvent::Begin)
    }

    /// Performs one step of one attempt.
    fn step_attempt(&mut self, at: usize, what: u8) -> Result<(), TestCaseError> {
        let Attempt { call, id: attempt, progress, is_cancel_sent, is_closed, process, .. } = self.attempts[at];
        let present = self.vm_of(&self.attempts[at].recipient).process;
        let runs = present == process;
        match (what % 7, progress) {
            (0, Progress::Sent) if runs => return self.start(at),
            (1, Progress::Started) if runs && !is_closed => {
                let was_waiting = self.calls[call].verdict.is_none();
                self.end_attempt(at, Progress::Started, CallEvent::Ran { attempt, healthy: true })?;
                if was_waiting {
                    prop_assert_eq!(self.calls[call].verdict, Some(Verdict::Answer(attempt)), "an answer is lost");
                }
            }
            (2, Progress::Sent) if runs && !is_closed => {
                let reasons = [DeclineReason::Full, DeclineReason::Leaving, DeclineReason::ServiceRemoved];
                let reason = reasons[usize::from(what / 7) % reasons.len()];
                self.end_attempt(at, Progress::NeverStarts, CallEvent::Declined { attempt, reason })?;
            }
            (3, Progress::Started) if !is_closed => {
                self.end_attempt(at, progress, CallEvent::Failed { attempt, code: Code::ServerFailed })?;
            }
            (4, _) if !is_cancel_sent && !is_closed => self.handle(call, CallEvent::Broken { attempt })?,
            (5 | 6, _) if is_cancel_sent && !is_closed => {
                let result = self.cancel_result(at).filter(|_| what % 7 == 5);
                self.end_attempt(at, self.attempts[at].progress, CallEvent::CancelResult { attempt, result })?;
            }
            _ => {}
        }
        Ok(())
    }

    fn start(&mut self, at: usize) -> Result<(), TestCaseError> {
        let call = self.attempts[at].call;
        let started = |sent: &&Attempt| sent.call == call && sent.progress == Progress::Started;
        let before = self.attempts.iter().find(started);
        prop_assert!(self.calls[call].is_repeatable || before.is_none(), "runs twice, at first as {before:?}");
        self.attempts[at].progress = Progress::Started;
        Ok(())
    }

    /// Returns what the node of an attempt's VM reports when the attempt is cancelled; none if its process has started
    /// since.
    fn cancel_result(&mut self, at: usize) -> Option<CancelResult> {
        if self.vm_of(&self.attempts[at].recipient).process != self.attempts[at].process {
            return None;
        }
        let sent = &mut self.attempts[at];
        if sent.progress == Progress::Started {
            return Some(CancelResult::Started);
        }
        sent.progress = Progress::NeverStarts;
        Some(CancelResult::NeverStarted)
    }

    fn end_attempt(&mut self, at: usize, progress: Progress, event: CallEvent) -> Result<(), TestCaseError> {
        self.attempts[at].progress = progress;
        self.attempts[at].is_closed = true;
        self.handle(self.attempts[at].call, event)
    }

    /// Ends the node of a VM; its upstream continues the runs.
    fn restart_node(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.process += 1;
        for sent in self.attempts.iter_mut().filter(|sent| sent.recipient.target.vm == vm.candidate.vm) {
            if sent.progress == Progress::Sent {
                sent.progress = Progress::NeverStarts;
            }
        }
    }

    fn step(&mut self, what: u8, at: usize, how: u8) -> Result<(), TestCaseError> {
        let vm = at % self.vms.len();
        match what {
            0..30 => self.begin_call(how.is_multiple_of(4))?,
            30..40 => {
                self.is_configured = !self.is_configured;
                self.apply_config();
            }
            40..55 => {
                self.vms[vm].is_listed = !self.vms[vm].is_listed;
                self.apply_config();
            }
            55..65 => {
                self.vms[vm].candidate.incarnation += 1;
                self.apply_config();
            }
            65..75 => self.restart_node(vm),
            75..80 if !self.calls.is_empty() => self.handle(at % self.calls.len(), CallEvent::DeadlineDue)?,
            _ if !self.attempts.is_empty() => self.step_attempt(at % self.attempts.len(), how)?,
            _ => {}
        }
        self.check_references()
    }

    /// Checks that each server with attempts in flight keeps its index and their count.
    fn check_references(&self) -> Result<(), TestCaseError> {
        let is_open = |sent: &&Attempt| !sent.is_closed;
        for sent in self.attempts.iter().filter(is_open) {
            let state = self.services.get(SERVICE).ok_or(TestCaseError::fail("a state in use was dropped"))?;
            let server = state.present_index(&sent.recipient);
            prop_assert!(server.is_some(), "the index of {sent:?} belongs to another server");
            let same = |other: &&Attempt| other.recipient == sent.recipient;
            let count = self.attempts.iter().filter(is_open).filter(same).count();
            prop_assert_eq!(state.view.outstanding(sent.recipient.server) as usize, count);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(67),
        ..Default::default()
    })]

    /// Guards against calls that lose track of their attempts when a service or a server leaves and returns.
    #[test]
    fn calls_outlive_changes_of_bundle_and_members(
        vms in prop_oneof![3 => 2..6usize, 1 => 58..70usize],
        seed in any::<u64>(),
        steps in prop::collection::vec((any::<u8>(), any::<usize>(), any::<u8>(), 0..200_000u64), 1..150),
    ) {
        let mut world = World::new(vms, seed);
        for (what, at, how, pause_us) in steps {
            world.now_us += pause_us;
            world.step(what, at, how)?;
        }
        for at in 0..world.calls.len() {
            world.handle(at, CallEvent::DeadlineDue)?;
        }
        for at in 0..world.attempts.len() {
            if !world.attempts[at].is_closed {
                world.step_attempt(at, 5)?;
            }
        }
        prop_assert!(world.calls.iter().all(|call| call.verdict.is_some()), "a call without a verdict");
        world.is_configured = false;
        world.apply_config();
        world.now_us += WINDOW_US;
        world.apply_config();
        prop_assert!(world.services.get(SERVICE).is_none(), "a state that nothing needs is kept");
    }
}

/// Guards against attempts in flight that are no longer counted at a server that is considered again.
#[test]
fn reconsidered_server_keeps_count_of_attempts_in_flight() {
    let mut world = World::new(2, 1);
    world.begin_call(false).expect("an attempt");
    let server = world.attempts[0].recipient.server;
    for _ in 0..2 {
        world.vms.iter_mut().for_each(|vm| vm.is_listed = !vm.is_listed);
        world.apply_config();
    }
    let state = world.services.get(SERVICE).expect("the state");
    assert_eq!(state.view.outstanding(server), 1);
}

/// Guards against a service that spends its repeats again after it was away for a moment.
#[test]
fn repeats_before_removal_count_after_return() {
    let mut world = World::new(2, 1);
    let begin_calls = |world: &mut World| {
        let (now_us, state) = (world.now_us, world.services.get_mut(SERVICE).expect("the state"));
        (0..100).for_each(|_| state.budgets.retry.begin(0.0, now_us));
    };
    let spend = |world: &mut World| {
        let (now_us, state) = (world.now_us, world.services.get_mut(SERVICE).expect("the state"));
        (0..1_000).take_while(|_| state.budgets.retry.take(now_us)).count()
    };
    world.now_us = WINDOW_US / 2;
    begin_calls(&mut world);
    world.now_us = WINDOW_US;
    let spent = spend(&mut world);
    for is_configured in [false, true] {
        world.now_us += 300_000;
        world.is_configured = is_configured;
        world.apply_config();
    }
    world.now_us = WINDOW_US * 19 / 10;
    begin_calls(&mut world);
    let spent_again = spend(&mut world);
    // The window has 100 calls, of which a fifth may be repeated, and half of the fleet's reserve.
    assert!(spent + spent_again <= 20 + 60 / 2, "{spent} and {spent_again}");
}
