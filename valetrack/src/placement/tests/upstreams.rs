//! The upstreams of the two services of deployment G (`docs/design/hard-load.md`) with real gates, and a schedule of
//! events, for loads in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::gate::{AttemptId, ColdRule, Gate, GateAction, GateConfig, GateEvent, RunTimes};

/// Upstreams of each service.
pub const UPSTREAMS: [usize; 2] = [58, 18];
/// One way between nodes.
pub const LATENCY_US: u64 = 2_000;
const SLOTS: u16 = 6;
const COLD_US: u64 = 3_000_000;
/// A machine is four times slower in the first quarter of each period.
const PERIOD_US: u64 = 300_000;
const SLOW_US: u64 = 75_000;
const SLOW_FACTOR: u64 = 4;

/// The upstreams of both services.
pub struct Upstreams {
    /// Their gates, by service.
    pub gates: [Vec<Gate>; 2],
    /// Start of the slow episodes of each upstream.
    phases_us: [Vec<u64>; 2],
    /// Slots in use, by service and upstream.
    busy: HashMap<(usize, usize), usize>,
}

impl Upstreams {
    /// Creates idle upstreams; `by_rank` shares the starts of cold ones among ranks.
    pub fn new(is_cold: bool, by_rank: bool, rng: &mut fastrand::Rng) -> Self {
        let cold = ColdRule { starts_per_s: Some(9), first_second: 9, length_ms: Some(3_000), by_rank };
        let config = GateConfig {
            slots: SLOTS,
            queue_max_us: 50_000,
            rescue: false,
            learn_limit: true,
            cold,
            ..GateConfig::default()
        };
        let gate = || {
            let mut gate = Gate::new(config, 0);
            gate.configure(config);
            if is_cold {
                gate.set_cold(COLD_US, 0);
            }
            gate
        };
        let gates = UPSTREAMS.map(|count| (0..count).map(|_| gate()).collect());
        let phases_us = UPSTREAMS.map(|count| (0..count).map(|_| rng.u64(..PERIOD_US)).collect());
        Self { gates, phases_us, busy: HashMap::new() }
    }

    /// Returns the factor by which the machine of an upstream is slowed.
    pub fn slowdown(&self, service: usize, at: usize, now_us: u64) -> f64 {
        if (now_us + self.phases_us[service][at]) % PERIOD_US < SLOW_US { SLOW_FACTOR as f64 } else { 1.0 }
    }

    /// Lets the gate of an upstream handle an event; returns its actions and the time until its next tick.
    pub fn handle(
        &mut self,
        service: usize,
        at: usize,
        event: GateEvent,
        now_us: u64,
    ) -> (Vec<GateAction>, Option<u64>) {
        let mut actions = Vec::new();
        let slowdown = self.slowdown(service, at, now_us);
        let gate = &mut self.gates[service][at];
        gate.on_slowdown_reported((slowdown * 100.0) as u16, now_us);
        gate.handle(event, now_us, &mut actions);
        (actions, gate.next_tick_us(now_us).map(|next_us| next_us.saturating_sub(now_us).max(200)))
    }

    /// Returns the best of three upstreams drawn at random by their present load, and whether it has room.
    pub fn pick(&self, service: usize, rng: &mut fastrand::Rng, now_us: u64) -> (usize, bool) {
        let gates = &self.gates[service];
        let share = |at: &usize| {
            let load = gates[*at].load(now_us);
            (f64::from(load.in_flight) + f64::from(load.queued)) / f64::from(load.limit.max(1))
                + f64::from(u8::from(load.limit == 0)) * 10.0
        };
        let mut drawn = [0; 3];
        drawn.fill_with(|| rng.usize(..gates.len()));
        let at = drawn.into_iter().min_by(|a, b| share(a).total_cmp(&share(b))).expect("three");
        (at, share(&at) < 1.0)
    }

    /// Records that a run takes a slot.
    pub fn begin_run(&mut self, service: usize, at: usize) {
        *self.busy.entry((service, at)).or_default() += 1;
    }

    /// Returns when `work_us` of a run end: upstreams are slower in slow episodes, and 1.7 times slower with more than
    /// 0.8 of their slots in use.
    pub fn work_end_us(&self, service: usize, at: usize, work_us: u64, now_us: u64) -> u64 {
        let is_busy = self.busy[&(service, at)] as f64 > 0.8 * f64::from(SLOTS);
        let mut left_us = if is_busy { work_us * 17 / 10 } else { work_us };
        let mut end_us = now_us;
        while left_us > 0 {
            let in_period_us = (end_us + self.phases_us[service][at]) % PERIOD_US;
            let (factor, until_us) = if in_period_us < SLOW_US { (SLOW_FACTOR, SLOW_US) } else { (1, PERIOD_US) };
            let lasts_us = (until_us - in_period_us).min(left_us * factor);
            end_us += lasts_us;
            left_us -= (lasts_us / factor).max(1).min(left_us);
        }
        end_us
    }

    /// Records the end of a run, which frees its slot; `started` is its start and the slowdown then.
    pub fn end_run(
        &mut self,
        (service, at): (usize, usize),
        attempt: AttemptId,
        started: (u64, f64),
        work_us: u64,
        is_served: bool,
        now_us: u64,
    ) {
        *self.busy.entry((service, at)).or_default() -= 1;
        let (start_us, start) = started;
        let (ran_us, end) = (now_us - start_us, self.slowdown(service, at, now_us));
        let gate = &mut self.gates[service][at];
        let times = RunTimes {
            ran_us,
            unslowed_us: gate.unslowed_us(ran_us, start, end),
            work_us,
            start_percent: (start * 100.0) as u16,
            end_percent: (end * 100.0) as u16,
        };
        gate.ran(attempt, times, is_served);
    }
}

/// Events in the order of their times, and of their creation among equal times.
pub struct Schedule<E> {
    events: BinaryHeap<Reverse<(u64, usize, E)>>,
    scheduled: usize,
}

impl<E: Ord> Schedule<E> {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self { events: BinaryHeap::new(), scheduled: 0 }
    }

    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: E) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    /// Removes the next event; returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.events.pop().map(|Reverse((at_us, _, event))| (at_us, event))
    }
}
