//! Whether an upstream has crashed, by how its exchanges end.
//!
//! A connection that breaks says little: answers are lost, servers that are full reset connections. An
//! upstream that has crashed breaks off every call that it runs and takes no connection any more.

use std::collections::{HashMap, VecDeque};

/// For how long a run without an answer may still be under way at the upstream when its caller has left or
/// its deadline has passed, in microseconds: most upstreams stop when they see the closed connection, and
/// others run on for as long as usual work takes.
const LEFT_US: u64 = 1_000_000;
/// Runs of that kind that are remembered; an upstream runs some tens of calls at once.
const LEFT_MAX: usize = 32;

/// How an exchange with the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// A whole answer came, of whatever kind.
    Answered,
    /// Nobody waits for its answer any more.
    Left,
    /// The connection broke before an answer.
    Broken,
    /// The upstream took no connection, so nothing was sent.
    Refused,
}

/// How an upstream that is down shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Down {
    /// Its port is closed, so a connection that is taken shows that it is back.
    Closed,
    /// Whoever listens for it closes each connection without a word, so only an answer shows that.
    Resets,
}

/// A call that an upstream was running, by whatever it is known by.
#[derive(Debug, Clone)]
struct Left<C> {
    call: C,
    at_us: u64,
}

/// The exchanges of one upstream, judged for a crash.
///
/// `C` is what a call is remembered by.
#[derive(Debug)]
pub struct CrashDetector<C> {
    /// Exchanges in progress, with their numbers.
    running: HashMap<u64, C>,
    /// Number of the latest exchange that had begun when the first connection broke.
    broke_after: Option<u64>,
    /// Calls whose connections have broken since the upstream last gave a sign of life.
    broken: Vec<C>,
    /// Runs that were left without an answer of late.
    left: VecDeque<Left<C>>,
    /// How it is down since the crash that was reported last, if it has not come back.
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
            left: VecDeque::new(),
            down: None,
            crashed_after: 0,
            next: 0,
        }
    }
}

impl<C: Clone> CrashDetector<C> {
    /// Takes the start of an exchange; returns its number.
    pub fn began(&mut self, call: C) -> u64 {
        self.next += 1;
        self.running.insert(self.next, call);
        self.next
    }

    /// Takes the end of an exchange; returns whether it may be the sign of a crash, so that the upstream is
    /// to be tried.
    pub fn ended(&mut self, number: u64, end: ExchangeEnd, now_us: u64) -> bool {
        let call = self.running.remove(&number);
        match (end, call) {
            (ExchangeEnd::Answered, _) => {
                self.alive();
                false
            }
            (ExchangeEnd::Left, Some(call)) => {
                self.left.push_back(Left { call, at_us: now_us });
                self.forget_left(now_us);
                false
            }
            (ExchangeEnd::Broken, Some(call)) => {
                // It was sent on a connection that the upstream took after its crash.
                if self.down == Some(Down::Closed) && number > self.crashed_after {
                    self.alive();
                }
                self.broke_after.get_or_insert(self.next);
                self.broken.push(call);
                self.down.is_none()
            }
            (ExchangeEnd::Refused, _) => self.down.is_none(),
            (ExchangeEnd::Left | ExchangeEnd::Broken, None) => false,
        }
    }

    /// Takes a sign of life: whatever broke before has another cause.
    pub fn alive(&mut self) {
        self.stands();
        self.down = None;
    }

    /// Returns whether exchanges go on that had begun before the first connection broke.
    ///
    /// Those that have begun since are about to find the port closed themselves.
    pub fn goes_on(&self) -> bool {
        self.broke_after.is_some_and(|last| self.running.keys().any(|number| *number <= last))
    }

    /// Returns the calls that may have crashed the upstream, now that it was tried and found down; none where
    /// some of its exchanges go on, or the crash was reported before.
    pub fn crashed(&mut self, down: Down, now_us: u64) -> Vec<C> {
        if self.down.is_some() || self.goes_on() {
            return Vec::new();
        }
        self.forget_left(now_us);
        self.broke_after = None;
        let mut suspects = std::mem::take(&mut self.broken);
        suspects.extend(self.left.drain(..).map(|left| left.call));
        if !suspects.is_empty() {
            self.down = Some(down);
            self.crashed_after = self.next;
        }
        suspects
    }

    /// Takes that the upstream takes connections, so that it has not crashed.
    pub fn stands(&mut self) {
        self.broke_after = None;
        self.broken.clear();
    }

    fn forget_left(&mut self, now_us: u64) {
        let over = |left: &Left<C>| left.at_us + LEFT_US <= now_us;
        while self.left.len() > LEFT_MAX || self.left.front().is_some_and(over) {
            self.left.pop_front();
        }
    }
}
