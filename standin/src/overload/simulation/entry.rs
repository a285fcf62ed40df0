//! The callers' side of a run: arrivals, decisions of the entries, outcomes of the callers.

use valetrack::gate::LoadReport;
use valetrack::placement::{Call, CallAction, CallContext, CallEvent, CallRule, Verdict};

use super::{CALLER_DELAY_US, CallRecord, CallSource, Caller, Event, Simulation};
use crate::overload::report::Window;

/// A link that is idle for this long is closed.
const LINK_IDLE_US: u64 = 30_000_000;
/// Bytes of the handshake of a link.
const HANDSHAKE_BYTES: u64 = 4_300;
/// Owners that may decline a call because they are full.
const DECLINES_MAX: u8 = 4;
/// Divisor of the time left to a caller: the longest back-off before its retry.
const BACKOFF_DIVISOR: u64 = 3;
/// Utility of an answer after the objective, relative to one within it.
const LATE_UTILITY: f64 = 0.1;

impl Simulation<'_> {
    /// Adds a caller and schedules the next one.
    pub(super) fn caller_arrives(&mut self) {
        if self.now_us >= self.end_us {
            return;
        }
        let (from_s, to_s) = self.load.burst_s;
        let in_burst = (from_s * 1_000_000..to_s * 1_000_000).contains(&self.now_us);
        let per_s = self.load.per_s as f64 * if in_burst { self.load.burst } else { 1.0 };
        let gap_us = -self.arrivals.f64().max(1e-12).ln() * 1e6 / per_s;
        self.schedule_after(gap_us as u64, Event::Caller);
        let route = draw_index(self.fleet.routes.iter().map(|shape| shape.permille), &mut self.arrivals);
        let domain = draw_index(self.fleet.callers_permille.into_iter(), &mut self.arrivals);
        let caller = self.callers.len();
        self.callers.push(Caller { route, domain, began_us: self.now_us, retried: false });
        let utility = self.fleet.routes[route].utility;
        self.report.count(self.now_us, route, &Window { callers: 1, utility_max: utility, ..Window::default() });
        self.schedule_after(CALLER_DELAY_US, Event::CallerSends { caller });
    }

    /// Begins a caller's call at a random entry of its failure domain.
    pub(super) fn send_call(&mut self, caller: usize) {
        let Caller { route, domain, began_us, .. } = self.callers[caller];
        let entries: Vec<usize> = (0..self.vms.len()).filter(|&vm| self.vms[vm].domain == domain).collect();
        let entry = entries[self.rng.usize(..entries.len())];
        let waits_us = u64::from(self.fleet.routes[route].deadline_ms) * 1000;
        self.begin(CallSource::Caller(caller), route, entry, began_us + waits_us);
    }

    /// Begins a call at an entry.
    pub(super) fn begin(&mut self, source: CallSource, route: usize, entry: usize, deadline_us: u64) {
        let shape = &self.fleet.routes[route];
        let waited_ms = match source {
            CallSource::Caller(caller) => {
                ((self.now_us - CALLER_DELAY_US - self.callers[caller].began_us) / 1000) as u32
            }
            CallSource::Run(_) => 0,
        };
        let objective_ms = shape.objective_ms.saturating_sub(waited_ms).max(1);
        let demand = self.vms[entry].works[route].demand(objective_ms);
        let rule = CallRule {
            repeatable: shape.repeatable,
            bounces: DECLINES_MAX,
            retries: u8::from(shape.repeatable),
            hedge_after_percent: None,
            demand: Some(demand),
        };
        let number = self.calls.len();
        let is_nested = matches!(source, CallSource::Run(_));
        let call = Call::new(rule, 1).made_by_run(is_nested).with_traffic(self.traffic(route, is_nested));
        self.calls.push(CallRecord {
            call,
            source,
            route,
            entry,
            began_us: self.now_us,
            waited_ms,
            deadline_us,
            work_us: demand.work_us,
            healthy: true,
        });
        self.queue.schedule(deadline_us.max(self.now_us), Event::Deadline { call: number });
        self.notify_call(number, CallEvent::Begin);
    }

    /// Delivers an event to a call and executes the actions that the call returns.
    pub(super) fn notify_call(&mut self, number: usize, event: CallEvent) {
        if self.calls[number].call.finished() {
            return;
        }
        let service = self.fleet.routes[self.calls[number].route].service;
        self.update_region_link(self.calls[number].entry, service);
        let entry = &mut self.vms[self.calls[number].entry];
        let mut cx = CallContext {
            view: &mut entry.views[service],
            budgets: &mut entry.budgets[service],
            rng: &mut self.rng,
            now_us: self.now_us,
            next_seq: &mut self.next_seq,
        };
        let mut actions = Vec::new();
        let record = &mut self.calls[number];
        record.call.handle(event, &mut cx, &mut actions);
        if record.call.finished() {
            record.call.abandon(&mut cx);
        }
        actions.into_iter().for_each(|action| self.execute(number, action));
    }

    /// Executes an action of a call.
    pub(super) fn execute(&mut self, call: usize, action: CallAction) {
        let CallRecord { entry, route, .. } = self.calls[call];
        let targets = &self.vms[entry].targets[self.fleet.routes[route].service];
        match action {
            CallAction::Send(dispatch) => {
                let vm = targets[dispatch.server];
                self.report.sends += 1;
                let is_beyond = self.is_beyond(entry, vm);
                self.report.region_sends += u64::from(is_beyond);
                if is_beyond && self.is_partitioned() {
                    self.lose_attempt(call, dispatch.server, dispatch.attempt, vm);
                    return;
                }
                if self.vms[vm].domain != self.vms[entry].domain {
                    self.report.cross_domain_sends += 1;
                    self.report.cross_domain_bytes += self.fleet.routes[route].bytes / 2;
                    self.use_cross_domain_link(entry, vm);
                }
                let delay_us = self.transit_us(entry, vm, Some(self.fleet.routes[route].bytes / 2));
                self.schedule_after(delay_us, Event::Arrive { call, dispatch, vm });
            }
            CallAction::Cancel { attempt, server } => {
                let vm = targets[server];
                if self.is_beyond(entry, vm) && self.is_partitioned() {
                    self.lose_cancel(call, server, attempt);
                    return;
                }
                let delay_us = self.transit_us(entry, vm, None);
                self.schedule_after(delay_us, Event::Cancel { call, attempt, vm });
            }
            CallAction::ArmHedge { after_us } => self.schedule_after(after_us, Event::Hedge { call }),
            CallAction::Finish(verdict) => self.finish(call, verdict),
        }
    }

    /// Counts the handshake of a link to another failure domain if none is open.
    pub(super) fn use_cross_domain_link(&mut self, from: usize, to: usize) {
        let last_us = self.cross_domain_links.insert((from, to), self.now_us);
        if last_us.is_none_or(|last_us| self.now_us > last_us + LINK_IDLE_US) {
            self.report.cross_domain_links += 1;
            self.report.cross_domain_bytes += HANDSHAKE_BYTES;
            if self.is_beyond(from, to) {
                self.report.region_links += 1;
                self.report.region_bytes += HANDSHAKE_BYTES;
            }
        }
    }

    /// Delivers an owner's message to a call and records its load report in the view of the entry.
    pub(super) fn handle_update(
        &mut self,
        call: usize,
        server: usize,
        event: CallEvent,
        load: LoadReport,
        work_us: u32,
    ) {
        let CallRecord { entry, route, .. } = self.calls[call];
        let service = self.fleet.routes[route].service;
        self.vms[entry].views[service].report(server, load, self.now_us);
        self.measure_region_link(call, server);
        if let CallEvent::Ran { healthy, .. } = event {
            self.calls[call].healthy = healthy;
        }
        if work_us > 0 && !self.calls[call].call.finished() {
            self.vms[entry].works[route].ran(work_us);
        }
        self.notify_call(call, event);
    }

    /// Reports the outcome of a call to its source.
    pub(super) fn finish(&mut self, call: usize, verdict: Verdict) {
        let CallRecord { source, healthy, .. } = self.calls[call];
        let served = matches!(verdict, Verdict::Answer(_)) && healthy;
        match source {
            CallSource::Run(run) => self.nested_ended(run, served),
            CallSource::Caller(caller) if served => self.record_served(caller),
            CallSource::Caller(caller) => self.handle_not_served(caller, verdict),
        }
    }

    /// Ends a nested call; the run begins its own work after the last one, and fails with the first that failed.
    pub(super) fn nested_ended(&mut self, run: usize, served: bool) {
        if self.runs[run].over {
            return;
        }
        if !served {
            self.end_run(run, false);
            return;
        }
        self.runs[run].calls_left -= 1;
        if self.runs[run].calls_left == 0 {
            self.begin_work(run);
        }
    }

    /// Records a caller that was served.
    pub(super) fn record_served(&mut self, caller: usize) {
        let Caller { route, began_us, .. } = self.callers[caller];
        let shape = &self.fleet.routes[route];
        let took_us = self.now_us + CALLER_DELAY_US - began_us;
        let outcome = match took_us <= u64::from(shape.objective_ms) * 1000 {
            true => Window { in_time: 1, utility: shape.utility, ..Window::default() },
            false => Window { late: 1, utility: shape.utility * LATE_UTILITY, ..Window::default() },
        };
        self.report.count(began_us, route, &outcome);
    }

    /// Schedules the retry of a caller that was not served, or records its outcome.
    pub(super) fn handle_not_served(&mut self, caller: usize, verdict: Verdict) {
        let Caller { route, began_us, retried, .. } = self.callers[caller];
        let shape = &self.fleet.routes[route];
        let left_us = (began_us + u64::from(shape.deadline_ms) * 1000).saturating_sub(self.now_us);
        let backoff_us = match verdict {
            Verdict::NotRun { retry_after_ms, .. } => {
                Some((u64::from(retry_after_ms) * 1000).min(left_us / BACKOFF_DIVISOR))
            }
            Verdict::Answer(_) | Verdict::Unknown { .. } => shape.repeatable.then_some(0),
        };
        if let (Some(backoff_us), false, true) = (backoff_us, retried, left_us > 0) {
            self.callers[caller].retried = true;
            self.schedule_after(backoff_us + 2 * CALLER_DELAY_US, Event::CallerSends { caller });
            return;
        }
        let outcome = match verdict {
            Verdict::NotRun { .. } => Window { refused: 1, ..Window::default() },
            Verdict::Answer(_) | Verdict::Unknown { .. } => Window { failed: 1, ..Window::default() },
        };
        self.report.count(began_us, route, &outcome);
    }
}

/// Draws an index by weights that add up to a thousand.
fn draw_index(shares: impl Iterator<Item = u32>, rng: &mut fastrand::Rng) -> usize {
    let drawn = rng.u32(0..1_000);
    let mut below = 0;
    for (at, permille) in shares.enumerate() {
        below += permille;
        if drawn < below {
            return at;
        }
    }
    0
}
