//! Plan of the returns of callers whose calls an entry refused because the upstreams of a service were full or cold.
//!
//! Entries do not communicate, so each plans for its own share of the capacity: the rate at which calls that it placed
//! were served lately. This rate includes the starts of cold upstreams, and remains known when load reports stop.

use std::collections::{BTreeMap, VecDeque};

use super::sliding::SlidingSum;

/// Time over which served calls are counted: an entry of a large fleet places a few calls a second.
pub(super) const WINDOW_US: u64 = 2_000_000;
/// Shortest time that a rate is derived from. An entry that has just started has seen a few calls at most.
const OBSERVED_MIN_US: u64 = 500_000;
/// Served calls in the window from which on returns are planned.
const SERVED_MIN: f64 = 3.0;
/// Calls that are assumed to be served in a window, at least, so that a stated time is finite.
const USABLE_MIN: f64 = 0.5;
/// Time without a refusal after which an overload counts as over: a few calls of an entry are refused per second.
const OVERLOAD_GAP_US: u64 = 1_000_000;
/// Refused calls whose identifiers are kept. Callers return within a second or two.
const REFUSED_MAX: usize = 256;
/// Reserved returns that are kept.
const RETURNS_MAX: usize = 256;
/// Capacity that a reserved return is counted with: under full load about half of the returns are served.
const RESERVED_CALLS: f64 = 0.5;
/// Shortest delay of a return.
const DELAY_MIN_US: u64 = 50_000;
/// Longest delay of a planned return. Later ones are stated as such, so this only bounds the header.
const DELAY_MAX_US: u64 = 60_000_000;
/// Divisor of the time that the objective leaves beyond a usual run; the quotient is the longest delay of a reserved
/// return. The other part is for its wait and a slow run.
const SPARE_DIVISOR: u64 = 2;
/// Divisor of the time to the deadline; callers do not wait longer than the quotient.
const HONOURED_DIVISOR: u64 = 3;

/// A return goes before new calls of its rank while its objective leaves at least this many runs. A return with less time
/// would often end late after a longer wait.
pub const RETURN_LEFT_RUNS: u64 = 2;

/// A call that an entry refuses because no upstream had room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Hash of the identifier of the call.
    pub call: u64,
    /// Priority of the call; zero is the most urgent.
    pub priority: u8,
    /// Whether its caller had returned.
    pub is_return: bool,
    /// Usual duration of its run, without noise.
    pub work_us: u64,
    /// Expected duration of its run under the present load.
    pub run_us: u64,
    /// Time left until its objective.
    pub left_us: u64,
    /// Time left until its deadline.
    pub deadline_left_us: u64,
}

/// When the caller of a refused call may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedReturn {
    /// Time until the service is expected to have capacity for the call.
    pub delay_us: u64,
    /// Whether capacity is reserved for the return. Otherwise it would not end within the objective of the call.
    pub is_reserved: bool,
}

/// Numbers of refused callers and of their returns since they were last drained.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Refusals with a reserved return.
    pub reserved: u64,
    /// Refusals of calls that no return could serve within their objective.
    pub not_reserved: u64,
    /// Refusals with a random delay, since too little was known.
    pub unknown: u64,
    /// Returns that were served.
    pub returns_served: u64,
    /// Returns that were refused again.
    pub returns_refused: u64,
}

/// Recent calls of one priority.
#[derive(Debug, Clone, Copy)]
struct Recent {
    served: SlidingSum,
    /// First refusal of the present overload.
    overloaded_since_us: u64,
    last_refused_us: Option<u64>,
}

impl Recent {
    fn new() -> Self {
        Self { served: SlidingSum::new(WINDOW_US), overloaded_since_us: 0, last_refused_us: None }
    }

    /// Records a refusal, and returns how long calls of the priority have been refused.
    fn refuse(&mut self, now_us: u64) -> u64 {
        if self.last_refused_us.is_none_or(|last_us| now_us > last_us + OVERLOAD_GAP_US) {
            self.overloaded_since_us = now_us;
        }
        self.last_refused_us = Some(now_us);
        now_us.saturating_sub(self.overloaded_since_us)
    }
}

/// Plan of returns to one service at one entry.
#[derive(Debug, Clone, Default)]
pub struct ReturnPlan {
    recent: BTreeMap<u8, Recent>,
    /// Time of the first call.
    since_us: Option<u64>,
    /// Calls whose callers may return, latest first.
    refused: VecDeque<u64>,
    /// Times and priorities of reserved returns.
    returns: Vec<(u64, u8)>,
    counts: ReturnCounts,
}

impl ReturnPlan {
    /// Returns whether the caller of a call has returned, by the hash of its identifier. A refusal counts for one
    /// return, so that a client that uses one identifier for all its calls gains nothing.
    pub fn take_return(&mut self, call: u64) -> bool {
        let position = self.refused.iter().position(|refused| *refused == call);
        position.and_then(|position| self.refused.remove(position)).is_some()
    }

    /// Records that a caller's call was served.
    pub fn record_served(&mut self, priority: u8, is_return: bool, now_us: u64) {
        self.since_us.get_or_insert(now_us);
        self.recent.entry(priority).or_insert_with(Recent::new).served.add(1.0, now_us);
        self.counts.returns_served += u64::from(is_return);
    }

    /// Plans the return of the caller of a refused call; none if too few calls were served lately to know the capacity.
    ///
    /// A return is reserved if the returns of its priority and more urgent ones that were reserved before it leave it
    /// capacity early enough for its objective. Otherwise the delay is the time until the service is expected to have
    /// capacity for the call after these returns. It is at least as long as the overload has lasted, because calls that
    /// can still meet their objectives use all the capacity until the overload ends, and it is as likely to last as long
    /// again as not.
    pub fn refuse(&mut self, refusal: &Refusal, now_us: u64, rng: &mut fastrand::Rng) -> Option<PlannedReturn> {
        let Refusal { call, priority, is_return, work_us, run_us, left_us, deadline_left_us } = *refusal;
        self.since_us.get_or_insert(now_us);
        self.counts.returns_refused += u64::from(is_return);
        let overload_us = self.recent.entry(priority).or_insert_with(Recent::new).refuse(now_us);
        let Some(rate_per_us) = self.rate_per_us(priority, now_us) else {
            self.counts.unknown += 1;
            self.remember(call, is_return);
            return None;
        };
        self.returns.retain(|(at_us, _)| *at_us > now_us);
        let ahead = self.returns.iter().filter(|(_, other)| *other <= priority).count() as f64 * RESERVED_CALLS;
        let earliest_us = ((ahead / rate_per_us) as u64).max(DELAY_MIN_US);
        let spare_us = left_us.saturating_sub(work_us) / SPARE_DIVISOR;
        let latest_us = spare_us.min(left_us.saturating_sub(run_us)).min(deadline_left_us / HONOURED_DIVISOR);
        // Callers return once.
        if is_return || earliest_us > latest_us || self.returns.len() >= RETURNS_MAX {
            self.counts.not_reserved += 1;
            let next_us = ((ahead + 1.0) / rate_per_us) as u64;
            let delay_us = next_us.max(overload_us).clamp(DELAY_MIN_US, DELAY_MAX_US);
            return Some(PlannedReturn { delay_us, is_reserved: false });
        }
        self.counts.reserved += 1;
        self.remember(call, is_return);
        // Entries are refused calls at the same times, so the random part spreads the returns to all of them.
        let delay_us = rng.u64(earliest_us..=latest_us);
        self.returns.push((now_us + delay_us, priority));
        Some(PlannedReturn { delay_us, is_reserved: true })
    }

    /// Returns the numbers since the last call of this function, and resets them.
    pub fn drain_counts(&mut self) -> ReturnCounts {
        std::mem::take(&mut self.counts)
    }

    fn remember(&mut self, call: u64, is_return: bool) {
        if !is_return {
            self.refused.truncate(REFUSED_MAX - 1);
            self.refused.push_front(call);
        }
    }

    /// Returns the rate at which returns of a priority get capacity at this entry: what calls of the same and less urgent
    /// priorities used, since returns go before them.
    fn rate_per_us(&mut self, priority: u8, now_us: u64) -> Option<f64> {
        let observed_us = now_us.saturating_sub(self.since_us?).clamp(OBSERVED_MIN_US, WINDOW_US);
        let (mut all, mut usable) = (0.0, 0.0);
        for (other, recent) in &mut self.recent {
            let served = recent.served.upper_bound(now_us);
            all += served;
            usable += if *other >= priority { served } else { 0.0 };
        }
        (all >= SERVED_MIN).then_some(usable.max(USABLE_MIN) / observed_us as f64)
    }
}
