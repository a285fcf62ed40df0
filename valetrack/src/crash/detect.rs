//! Detects crashes of an upstream from the ends of its exchanges.
//!
//! One broken connection is not a sign of a crash: answers are lost, and servers that are full reset connections. An
//! upstream that has crashed breaks all calls that it runs and accepts no more connections.

use std::collections::{HashMap, VecDeque};

/// Time for which the upstream may go on with a run whose caller has left or whose deadline has passed: most upstreams
/// stop when the connection is closed, and others run for as long as usual work takes.
const ABANDONED_RUN_US: u64 = 1_000_000;
/// Maximum number of such runs that are recorded: an upstream runs some tens of calls at once.
const ABANDONED_RUNS_MAX: usize = 32;

/// How an exchange with the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// A complete answer of any kind was received.
    Answered,
    /// The caller no longer waits for the answer.
    Left,
    /// The connection broke before a complete answer.
    Broken,
    /// The upstream accepted no connection, so nothing was sent.
    Refused,
}

/// How an upstream that is down reacts to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Down {
    /// Its port is closed, so an accepted connection shows that it is up again.
    Closed,
    /// A listener in front of it accepts each connection and closes it without an answer, so only an answer shows that
    /// it is up again.
    Resets,
}

/// A run whose caller has left.
#[derive(Debug, Clone)]
struct AbandonedRun<C> {
    call: C,
    at_us: u64,
}

/// Tracks the exchanges of one upstream and detects its crashes.
///
/// `C` identifies a call.
#[derive(Debug)]
pub struct CrashDetector<C> {
    /// Exchanges in progress, by their numbers.
    running: HashMap<u64, C>,
    /// Number of the latest exchange that had begun before the first connection broke.
    broke_after: Option<u64>,
    /// Calls whose connections have broken since the upstream last answered or accepted a probe.
    broken: Vec<C>,
    /// Recent runs whose callers have left.
    abandoned: VecDeque<AbandonedRun<C>>,
    /// How the upstream is down since the last reported crash; `None` if it is up.
    down: Option<Down>,
    /// Number of the latest exchange that had begun when that crash was reported.
    crashed_after: u64,
    next: u64,
}

impl<C> Default for CrashDetector<C> {
    fn default() -> Self {
        Self {
            running: HashMap::new(),
            broke_after: None,
            broken: Vec::new(),
            abandoned: VecDeque::new(),
            down: None,
            crashed_after: 0,
            next: 0,
        }
    }
}

impl<C: Clone> CrashDetector<C> {
    /// Records the start of an exchange; returns its number.
    pub fn began(&mut self, call: C) -> u64 {
        self.next += 1;
        self.running.insert(self.next, call);
        self.next
    }

    /// Records the end of an exchange; returns whether the upstream may have crashed, so that it has to be probed.
    pub fn ended(&mut self, number: u64, end: ExchangeEnd, now_us: u64) -> bool {
        let call = self.running.remove(&number);
        match (end, call) {
            (ExchangeEnd::Answered, _) => {
                self.record_up();
                false
            }
            (ExchangeEnd::Left, Some(call)) => {
                self.abandoned.push_back(AbandonedRun { call, at_us: now_us });
                self.drop_expired(now_us);
                false
            }
            (ExchangeEnd::Broken, Some(call)) => {
                // The upstream has accepted this connection after its crash, so it was up.
                if self.down == Some(Down::Closed) && number > self.crashed_after {
                    self.record_up();
                }
                self.broke_after.get_or_insert(self.next);
                self.broken.push(call);
                self.down.is_none()
            }
            (ExchangeEnd::Refused, _) => self.down.is_none(),
            (ExchangeEnd::Left | ExchangeEnd::Broken, None) => false,
        }
    }

    /// Records that the upstream is up: connections that broke before have another cause than a crash.
    pub fn record_up(&mut self) {
        self.record_reachable();
        self.down = None;
    }

    /// Returns whether exchanges that had begun before the first connection broke are still in progress.
    ///
    /// Later ones don't count: they are about to find the port closed.
    pub fn has_earlier_exchanges(&self) -> bool {
        self.broke_after.is_some_and(|last| self.running.keys().any(|number| *number <= last))
    }

    /// Returns the calls that may have crashed the upstream, after a probe found it down. The result is empty if some
    /// of its exchanges are still in progress, or if the crash was reported before.
    pub fn crashed(&mut self, down: Down, now_us: u64) -> Vec<C> {
        if self.down.is_some() || self.has_earlier_exchanges() {
            return Vec::new();
        }
        self.drop_expired(now_us);
        self.broke_after = None;
        let mut suspects = std::mem::take(&mut self.broken);
        suspects.extend(self.abandoned.drain(..).map(|run| run.call));
        if !suspects.is_empty() {
            self.down = Some(down);
            self.crashed_after = self.next;
        }
        suspects
    }

    /// Records that the upstream accepts connections, so that it has not crashed.
    pub fn record_reachable(&mut self) {
        self.broke_after = None;
        self.broken.clear();
    }

    fn drop_expired(&mut self, now_us: u64) {
        let expired = |run: &AbandonedRun<C>| run.at_us + ABANDONED_RUN_US <= now_us;
        while self.abandoned.len() > ABANDONED_RUNS_MAX || self.abandoned.front().is_some_and(expired) {
            self.abandoned.pop_front();
        }
    }
}
