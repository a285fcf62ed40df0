//! The owners' side of a run: gates, upstreams, replies.

use std::sync::Arc;

use valetrack::code::Code;
use valetrack::gate::{AttemptId, GateAction, GateEvent, QueueTimeout, RunTimes, objective};
use valetrack::link::message::CallHead;
use valetrack::placement::{CallEvent, Dispatch};

use super::{CallRecord, CallSource, Event, Held, Run, Simulation};
use crate::overload::fleet::RouteShape;
use crate::overload::upstream::Reception;

/// Time for which the slot of a run stays occupied after its deadline.
const SLOT_HOLD_US: u64 = 100_000;
/// Shortest time until the next tick of a gate's queue.
const TICK_MIN_US: u64 = 200;

impl Simulation<'_> {
    /// Delivers an attempt to the gate of its owner.
    pub(super) fn arrive(&mut self, call: usize, dispatch: Dispatch, vm: usize) {
        let Dispatch { attempt, patience, elsewhere_permille, server, .. } = dispatch;
        let record = &self.calls[call];
        let elapsed_ms = record.waited_ms + ((self.now_us - record.began_us) / 1000) as u32;
        let shape = &self.fleet.routes[record.route];
        let left_ms = (record.deadline_us.saturating_sub(self.now_us) / 1000) as u32;
        let head =
            CallHead { elsewhere_permille, work_us: record.work_us, ..head(shape, attempt, elapsed_ms, left_ms) };
        let internal = matches!(record.source, CallSource::Run(_));
        let priority = if internal { 0 } else { shape.priority + 1 };
        let deadline_us = record.deadline_us;
        self.held.insert(attempt, Held { call, server, deadline_us, run: None });
        let machine = &mut self.vms[vm];
        if machine.gate.needs_speed_update(record.work_us.into(), self.now_us) {
            machine.gate.on_speed_requested(self.now_us);
            machine.gate.on_slowdown_reported(machine.upstream.reported_percent(self.now_us), self.now_us);
        }
        let objective = objective(&head, internal);
        self.gate_event(
            vm,
            GateEvent::Arrive { attempt, deadline_us, patience, priority, objective, is_nested: false },
        );
    }

    /// Cancels an attempt; a run of a repeatable route is stopped.
    pub(super) fn cancel(&mut self, call: usize, attempt: AttemptId, vm: usize) {
        let run = self.held.get(&attempt).and_then(|held| held.run);
        if let Some(run) = run.filter(|_| self.fleet.routes[self.calls[call].route].repeatable) {
            // The upstream stops the run when its connection closes.
            if !std::mem::replace(&mut self.runs[run].over, true) {
                self.vms[vm].upstream.running -= 1;
                self.gate_event(vm, GateEvent::Done { attempt, healthy: true });
            }
            return;
        }
        self.gate_event(vm, GateEvent::Cancel { attempt });
    }

    /// Handles a tick of a gate, which first measures the machine's speed where calls wait for it.
    pub(super) fn handle_tick(&mut self, vm: usize) {
        let machine = &mut self.vms[vm];
        machine.tick_us = None;
        if machine.gate.needs_episode_update(self.now_us) {
            machine.gate.on_speed_requested(self.now_us);
            machine.gate.on_slowdown_reported(machine.upstream.reported_percent(self.now_us), self.now_us);
        }
        self.gate_event(vm, GateEvent::Tick);
    }

    /// Delivers an event to a gate and executes the actions that the gate returns.
    pub(super) fn gate_event(&mut self, vm: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.vms[vm].gate.handle(event, self.now_us, &mut actions);
        for action in actions {
            match action {
                GateAction::Start { attempt } => self.start(vm, attempt),
                GateAction::Bounce { attempt, reason } => {
                    self.reply(vm, attempt, CallEvent::Declined { attempt, reason }, 0);
                }
                GateAction::ReportCancel { attempt, result } => {
                    self.reply(vm, attempt, CallEvent::CancelResult { attempt, result: Some(result) }, 0);
                }
            }
        }
        self.schedule_tick(vm);
    }

    /// Schedules the next tick of a gate.
    pub(super) fn schedule_tick(&mut self, vm: usize) {
        let Some(at_us) = self.vms[vm].gate.next_tick_us(self.now_us) else {
            return;
        };
        let at_us = at_us.max(self.now_us + TICK_MIN_US);
        if self.vms[vm].tick_us.is_none_or(|set_us| at_us < set_us) {
            self.vms[vm].tick_us = Some(at_us);
            self.queue.schedule(at_us, Event::Tick { vm });
        }
    }

    /// Starts a run with its nested calls, or with its own work where it makes none.
    pub(super) fn start(&mut self, vm: usize, attempt: AttemptId) {
        let Held { call, deadline_us, .. } = self.held[&attempt];
        match self.vms[vm].upstream.receive(self.now_us) {
            Reception::Runs => {}
            Reception::Refuses => {
                self.schedule_after(0, Event::Refused { vm, attempt });
                return;
            }
            Reception::Crashes => {
                self.crash(vm, attempt);
                return;
            }
        }
        let route = self.calls[call].route;
        let number = self.runs.len();
        let machine = &mut self.vms[vm];
        let own_us = machine.upstream.run_us(self.fleet.routes[route].work_us, self.now_us, &mut self.rng);
        let run = Run {
            vm,
            attempt,
            began_us: self.now_us,
            slowdown: machine.gate.slowdown(self.now_us),
            reported_percent: machine.gate.told_percent(self.now_us),
            work_us: self.calls[call].work_us,
            own_us,
            calls_left: 0,
            over: false,
        };
        self.runs.push(run);
        machine.upstream.running += 1;
        self.report.runs += 1;
        if let Some(held) = self.held.get_mut(&attempt) {
            held.run = Some(number);
        }
        self.queue.schedule(deadline_us.max(self.now_us), Event::RunDeadline { run: number });
        match self.fleet.routes[route].nested.filter(|nested| self.rng.f64() < nested.share) {
            None => self.begin_work(number),
            Some(nested) => {
                self.runs[number].calls_left = nested.times;
                for _ in 0..nested.times {
                    self.begin(CallSource::Run(number), nested.route, vm, deadline_us);
                }
            }
        }
    }

    /// Fails all runs of an upstream that crashes, and the attempt that caused the crash.
    fn crash(&mut self, vm: usize, attempt: AttemptId) {
        self.report.crashes += 1;
        let lost: Vec<usize> =
            (0..self.runs.len()).filter(|&run| self.runs[run].vm == vm && !self.runs[run].over).collect();
        let mut attempts = vec![attempt];
        for run in lost {
            self.runs[run].over = true;
            attempts.push(self.runs[run].attempt);
        }
        for attempt in attempts {
            self.reply(vm, attempt, CallEvent::Failed { attempt, code: Code::ServerFailed }, 0);
            self.schedule_after(0, Event::Freed { vm, attempt });
        }
        let restart_us = self.vms[vm].upstream.down_until_us();
        self.queue.schedule(restart_us, Event::Restart { vm });
    }

    /// Restarts a crashed upstream, which registers with its gate.
    pub(super) fn restart(&mut self, vm: usize) {
        let machine = &mut self.vms[vm];
        let cold_until_us = machine.upstream.restart(self.now_us);
        machine.gate.set_cold(cold_until_us, self.now_us);
        self.queue.schedule(cold_until_us, Event::Warm { vm });
        self.gate_event(vm, GateEvent::Open);
    }

    /// Begins the run's own work.
    pub(super) fn begin_work(&mut self, run: usize) {
        self.schedule_after(self.runs[run].own_us, Event::WorkDone { run });
    }

    /// Ends a run whose work is done, unless it has ended before.
    pub(super) fn work_done(&mut self, run: usize) {
        if !self.runs[run].over {
            self.end_run(run, true);
        }
    }

    /// Ends a run with an answer.
    pub(super) fn end_run(&mut self, number: usize, healthy: bool) {
        let run = &mut self.runs[number];
        run.over = true;
        let Run { vm, attempt, began_us, slowdown, reported_percent, work_us, .. } = *run;
        let machine = &mut self.vms[vm];
        machine.upstream.running -= 1;
        machine.gate.on_slowdown_reported(machine.upstream.reported_percent(self.now_us), self.now_us);
        let ran_us = self.now_us - began_us;
        let unslowed_us = machine.gate.unslowed_us(ran_us, slowdown, machine.gate.slowdown(self.now_us));
        let times = RunTimes {
            ran_us,
            unslowed_us,
            work_us: work_us.into(),
            start_percent: reported_percent,
            end_percent: machine.gate.told_percent(self.now_us),
        };
        machine.gate.ran(attempt, times, healthy);
        let reported_us = if healthy { unslowed_us as u32 } else { 0 };
        self.reply(vm, attempt, CallEvent::Ran { attempt, healthy }, reported_us);
        self.gate_event(vm, GateEvent::Done { attempt, healthy });
    }

    /// Fails a run whose deadline has passed; its slot stays occupied for a while.
    pub(super) fn run_deadline_passed(&mut self, number: usize) {
        if std::mem::replace(&mut self.runs[number].over, true) {
            return;
        }
        let Run { vm, attempt, .. } = self.runs[number];
        self.vms[vm].upstream.running -= 1;
        self.reply(vm, attempt, CallEvent::Failed { attempt, code: Code::DeadlinePassed }, 0);
        self.schedule_after(SLOT_HOLD_US, Event::Freed { vm, attempt });
    }

    /// Sends an owner's message about an attempt to its entry, with a load report.
    pub(super) fn reply(&mut self, vm: usize, attempt: AttemptId, event: CallEvent, work_us: u32) {
        let Some(&Held { call, server, .. }) = self.held.get(&attempt) else {
            return;
        };
        let CallRecord { entry, route, .. } = self.calls[call];
        if matches!(event, CallEvent::Ran { .. }) && self.vms[vm].domain != self.vms[entry].domain {
            self.report.cross_domain_bytes += self.fleet.routes[route].bytes / 2;
        }
        let load = self.vms[vm].gate.load(self.now_us);
        if self.is_beyond(vm, entry) && self.is_partitioned() {
            self.lose_reply(call, server, event);
            return;
        }
        let answer_bytes = matches!(event, CallEvent::Ran { .. }).then_some(self.fleet.routes[route].bytes / 2);
        let delay_us = self.transit_us(vm, entry, answer_bytes);
        self.schedule_after(delay_us, Event::Update { call, server, event, load, work_us });
    }
}

/// Creates the head of an attempt with the fields that a gate reads.
fn head(shape: &RouteShape, attempt: AttemptId, elapsed_ms: u32, left_ms: u32) -> CallHead {
    let nothing: Arc<str> = Arc::from("");
    CallHead {
        attempt,
        call_id: nothing.clone(),
        service: nothing.clone(),
        origin: nothing.clone(),
        account: None,
        route: nothing,
        method: String::new(),
        path: String::new(),
        headers: Vec::new(),
        body_bytes: 0,
        deadline_ms: left_ms,
        objective_ms: shape.objective_ms.saturating_sub(elapsed_ms).max(1),
        work_us: 0,
        elsewhere_permille: 0,
        priority: shape.priority,
        repeatable: shape.repeatable,
        depth: 0,
        made_by_run: false,
        repeat_permille: 0,
        patience: QueueTimeout::Long,
        key: None,
        hlc: 0,
    }
}
