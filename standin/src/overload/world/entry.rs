//! The callers' side of a world: who comes, what entries decide, what callers get.

use valetrack::gate::LoadReport;
use valetrack::placement::{Call, CallAction, CallContext, CallEvent, CallRule, Verdict};

use super::{CALLER_US, CallRecord, Caller, Event, Maker, World};
use crate::overload::report::Window;

/// A link that rests this long is closed, in microseconds.
const LINK_REST_US: u64 = 30_000_000;
/// Bytes of the handshake of a link.
const HANDSHAKE_BYTES: u64 = 4_300;
/// Owners that may give a call back because they are full.
const BOUNCES: u8 = 4;
/// Longest part of its time that a caller stays away when it is told to, as a divisor.
const AWAY_SHARE: u64 = 3;
/// What a late answer is worth of one in time.
const LATE_WORTH: f64 = 0.1;

impl World<'_> {
    /// Lets a caller come, and plans the next one.
    pub(super) fn caller_comes(&mut self) {
        if self.now_us >= self.end_us {
            return;
        }
        let (from_s, to_s) = self.load.burst_s;
        let bursts = (from_s * 1_000_000..to_s * 1_000_000).contains(&self.now_us);
        let per_s = self.load.per_s as f64 * if bursts { self.load.burst } else { 1.0 };
        let gap_us = -self.arrivals.f64().max(1e-12).ln() * 1e6 / per_s;
        self.later(gap_us as u64, Event::Caller);
        let route = drawn(self.fleet.routes.iter().map(|shape| shape.permille), &mut self.arrivals);
        let domain = drawn(self.fleet.callers_permille.into_iter(), &mut self.arrivals);
        let caller = self.callers.len();
        self.callers.push(Caller { route, domain, began_us: self.now_us, came_back: false });
        let worth = self.fleet.routes[route].worth;
        self.report.count(self.now_us, route, &Window { callers: 1, owed: worth, ..Window::default() });
        self.later(CALLER_US, Event::Tried { caller });
    }

    /// Puts a caller's call to an entry of its failure domain.
    pub(super) fn tried(&mut self, caller: usize) {
        let Caller { route, domain, began_us, .. } = self.callers[caller];
        let entries: Vec<usize> = (0..self.vms.len()).filter(|&vm| self.vms[vm].domain == domain).collect();
        let entry = entries[self.rng.usize(..entries.len())];
        let waits_us = u64::from(self.fleet.routes[route].deadline_ms) * 1000;
        self.begin(Maker::Caller(caller), route, entry, began_us + waits_us);
    }

    /// Begins a call at an entry.
    pub(super) fn begin(&mut self, maker: Maker, route: usize, entry: usize, deadline_us: u64) {
        let shape = &self.fleet.routes[route];
        let waited_ms = match maker {
            Maker::Caller(caller) => ((self.now_us - CALLER_US - self.callers[caller].began_us) / 1000) as u32,
            Maker::Run(_) => 0,
        };
        let objective_ms = shape.objective_ms.saturating_sub(waited_ms).max(1);
        let demand = self.vms[entry].works[route].demand(objective_ms);
        let rule = CallRule {
            repeatable: shape.repeatable,
            bounces: BOUNCES,
            retries: u8::from(shape.repeatable),
            hedge_after_percent: None,
            demand: Some(demand),
        };
        let number = self.calls.len();
        let call = Call::new(rule, 1).made_by_run(matches!(maker, Maker::Run(_)));
        self.calls.push(CallRecord {
            call,
            maker,
            route,
            entry,
            began_us: self.now_us,
            waited_ms,
            deadline_us,
            work_us: demand.work_us,
            healthy: true,
        });
        self.queue.schedule(deadline_us.max(self.now_us), Event::Deadline { call: number });
        self.tell(number, CallEvent::Begin);
    }

    /// Tells a call of an event and does what it decides.
    pub(super) fn tell(&mut self, number: usize, event: CallEvent) {
        if self.calls[number].call.finished() {
            return;
        }
        let service = self.fleet.routes[self.calls[number].route].service;
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
        actions.into_iter().for_each(|action| self.act(number, action));
    }

    /// Does what a call has decided.
    pub(super) fn act(&mut self, call: usize, action: CallAction) {
        let CallRecord { entry, route, .. } = self.calls[call];
        let targets = &self.vms[entry].targets[self.fleet.routes[route].service];
        match action {
            CallAction::Send(dispatch) => {
                let vm = targets[dispatch.server];
                self.report.sends += 1;
                if self.vms[vm].domain != self.vms[entry].domain {
                    self.report.far_sends += 1;
                    self.report.far_bytes += self.fleet.routes[route].bytes / 2;
                    self.use_far_link(entry, vm);
                }
                let way_us = self.way_us(entry, vm);
                self.later(way_us, Event::Reach { call, dispatch, vm });
            }
            CallAction::Cancel { attempt, server } => {
                let vm = targets[server];
                let way_us = self.way_us(entry, vm);
                self.later(way_us, Event::Cancel { call, attempt, vm });
            }
            CallAction::ArmHedge { after_us } => self.later(after_us, Event::Hedge { call }),
            CallAction::Finish(verdict) => self.finish(call, verdict),
        }
    }

    /// Counts the handshake of a link that leaves the domain, if none is open.
    pub(super) fn use_far_link(&mut self, from: usize, to: usize) {
        let last_us = self.far_links.insert((from, to), self.now_us);
        if last_us.is_none_or(|last_us| self.now_us > last_us + LINK_REST_US) {
            self.report.far_links += 1;
            self.report.far_bytes += HANDSHAKE_BYTES;
        }
    }

    /// Brings news of an owner to a call and to its entry's view.
    pub(super) fn told(&mut self, call: usize, server: usize, event: CallEvent, load: LoadReport, work_us: u32) {
        let CallRecord { entry, route, .. } = self.calls[call];
        let service = self.fleet.routes[route].service;
        self.vms[entry].views[service].report(server, load, self.now_us);
        if let CallEvent::Ran { healthy, .. } = event {
            self.calls[call].healthy = healthy;
        }
        if work_us > 0 && !self.calls[call].call.finished() {
            self.vms[entry].works[route].ran(work_us);
        }
        self.tell(call, event);
    }

    /// Ends a call for whoever made it.
    pub(super) fn finish(&mut self, call: usize, verdict: Verdict) {
        let CallRecord { maker, healthy, .. } = self.calls[call];
        let served = matches!(verdict, Verdict::Answer(_)) && healthy;
        match maker {
            Maker::Run(run) => self.nested_ended(run, served),
            Maker::Caller(caller) if served => self.served(caller),
            Maker::Caller(caller) => self.turned_away(caller, verdict),
        }
    }

    /// Ends a call that a run made; the run goes on to its own work after the last one.
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
            self.work(run);
        }
    }

    /// Counts a caller who was served.
    pub(super) fn served(&mut self, caller: usize) {
        let Caller { route, began_us, .. } = self.callers[caller];
        let shape = &self.fleet.routes[route];
        let took_us = self.now_us + CALLER_US - began_us;
        let got = match took_us <= u64::from(shape.objective_ms) * 1000 {
            true => Window { in_time: 1, earned: shape.worth, ..Window::default() },
            false => Window { late: 1, earned: shape.worth * LATE_WORTH, ..Window::default() },
        };
        self.report.count(began_us, route, &got);
    }

    /// Has a caller come back, or counts what it got.
    pub(super) fn turned_away(&mut self, caller: usize, verdict: Verdict) {
        let Caller { route, began_us, came_back, .. } = self.callers[caller];
        let shape = &self.fleet.routes[route];
        let left_us = (began_us + u64::from(shape.deadline_ms) * 1000).saturating_sub(self.now_us);
        let away_us = match verdict {
            Verdict::NotRun { retry_after_ms, .. } => {
                Some((u64::from(retry_after_ms) * 1000).min(left_us / AWAY_SHARE))
            }
            Verdict::Answer(_) | Verdict::Unknown { .. } => shape.repeatable.then_some(0),
        };
        if let (Some(away_us), false, true) = (away_us, came_back, left_us > 0) {
            self.callers[caller].came_back = true;
            self.later(away_us + 2 * CALLER_US, Event::Tried { caller });
            return;
        }
        let got = match verdict {
            Verdict::NotRun { .. } => Window { refused: 1, ..Window::default() },
            Verdict::Answer(_) | Verdict::Unknown { .. } => Window { failed: 1, ..Window::default() },
        };
        self.report.count(began_us, route, &got);
    }
}

/// Draws a place by shares of a thousand.
fn drawn(shares: impl Iterator<Item = u32>, rng: &mut fastrand::Rng) -> usize {
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
