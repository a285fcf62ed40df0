//! Simulation of two nodes, one store and a network that delays, loses and repeats messages. Every choice is a step.

use std::sync::Arc;

use crate::claim::{
    ClaimAction, ClaimEvent, ClaimRule, Holder, Home, KeptAnswer, KeyDigest, KeyedCallId, KeyedCallReply, Page,
    PageHome, RunEnd,
};
use crate::code::Code;
use crate::store::{Era, Position};

mod gap;

/// Time of every step; keys don't expire in the simulation.
const NOW_S: u64 = 1_000;
pub const NODES: usize = 2;

/// How often each kind of event or fault may still occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Remaining {
    pub keyed_calls: u8,
    pub pauses: u8,
    pub kills: u8,
    pub losses: u8,
    pub read_failures: u8,
    pub releases: u8,
    pub expiries: u8,
    pub acquires: u8,
    /// Store rollbacks.
    pub rollbacks: u8,
    /// Rounds in which a node receives the reports of the others about the page.
    pub rounds: u8,
}

/// Fixed parameters of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Scenario {
    pub keys: u8,
    pub held: bool,
    /// Whether a running home may be taken for silent. A "not run" reply is then no guarantee, but a key still runs at
    /// most once.
    pub false_suspicion: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ReadState {
    Requested,
    Served { position: Position, page: Option<Page>, complete: bool, holder: Holder },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum WriteState {
    Requested { expected: Position, page: Page },
    Served { position: Option<Position> },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    home: PageHome,
    incarnation: u64,
    paused: bool,
    read: Option<ReadState>,
    write: Option<WriteState>,
    runs: Vec<KeyDigest>,
    keyed_calls: Vec<(KeyedCallId, KeyDigest)>,
    retry: bool,
    flush: bool,
    released: bool,
    /// The era in which all other nodes have reported that they have no record which the page lacks.
    complete_in: Option<Era>,
    /// Steps at which the last write that confirmed the node as the home was sent, and at which the write in flight was
    /// sent.
    confirmed_at: u32,
    sent_at: u32,
    /// Step at which the last incarnation of the node ended.
    ended_at: u32,
}

/// A step that may happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    KeyedCall {
        node: usize,
        key: u8,
    },
    Acquire {
        node: usize,
    },
    ServeRead {
        node: usize,
        holder: Holder,
    },
    AnswerRead {
        node: usize,
    },
    FailRead {
        node: usize,
    },
    ServeWrite {
        node: usize,
    },
    AnswerWrite {
        node: usize,
    },
    LoseWrite {
        node: usize,
    },
    ApplyLate {
        at: usize,
    },
    EndRun {
        node: usize,
        at: usize,
        end: EndKind,
    },
    Pause {
        node: usize,
    },
    Resume {
        node: usize,
    },
    Kill {
        node: usize,
    },
    Retry {
        node: usize,
    },
    Flush {
        node: usize,
    },
    Expire {
        node: usize,
        at: usize,
    },
    Release {
        node: usize,
    },
    RollBack,
    /// All other nodes report that they have no record which the page lacks.
    ReportComplete {
        node: usize,
    },
    /// The node closes its gap by these reports.
    CloseGap {
        node: usize,
    },
    /// The node receives a request for reports on the page that it has recorded keys of.
    RequestReports {
        node: usize,
    },
    /// The node stops waiting for reports.
    EndWait {
        node: usize,
    },
}

/// Outcome of a run in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    Ran,
    NeverStarted,
    UnknownRan,
    UnknownNotRan,
}

/// State of the simulation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Simulation {
    pub scenario: Scenario,
    pub remaining: Remaining,
    /// Number of connections to the store so far. A rollback breaks all of them.
    era: Era,
    revision: u64,
    /// Revision up to which the page may be older than the last rollback.
    rollback_revision: u64,
    page: Option<Page>,
    /// The page before each of its changes, while the store may still be rolled back.
    past: Vec<Option<Page>>,
    nodes: Vec<Node>,
    /// Writes whose answer was given up and that may still take effect.
    late: Vec<(Position, Page)>,
    executed: Vec<u8>,
    next_id: u64,
    /// Number of steps so far, in simulations with rounds of reports.
    step: u32,
}

fn key(number: u8) -> KeyDigest {
    KeyDigest([number; 16])
}

fn vm(node: usize) -> Arc<str> {
    Arc::from(["a", "b"][node])
}

fn answer() -> KeptAnswer {
    KeptAnswer { status: 200, headers: Vec::new(), body: None }
}

impl Simulation {
    pub fn new(scenario: Scenario, remaining: Remaining) -> Self {
        let node = |at| Node {
            home: PageHome::new(Home { vm: vm(at), incarnation: 1 }, rule(scenario)),
            incarnation: 1,
            paused: false,
            read: None,
            write: None,
            runs: Vec::new(),
            keyed_calls: Vec::new(),
            retry: false,
            flush: false,
            released: false,
            complete_in: None,
            confirmed_at: 0,
            sent_at: 0,
            ended_at: 0,
        };
        Self {
            scenario,
            remaining,
            era: Era::default(),
            revision: 0,
            rollback_revision: 0,
            page: None,
            past: Vec::new(),
            nodes: (0..NODES).map(node).collect(),
            late: Vec::new(),
            executed: vec![0; usize::from(scenario.keys)],
            next_id: 1,
            step: 0,
        }
    }

    /// Returns all steps that may happen next.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for at in 0..self.late.len() {
            steps.push(Step::ApplyLate { at });
        }
        for node in 0..NODES {
            self.steps_of(node, &mut steps);
        }
        if self.remaining.rollbacks > 0 && !self.past.is_empty() {
            steps.push(Step::RollBack);
        }
        steps
    }

    fn steps_of(&self, node: usize, steps: &mut Vec<Step>) {
        let state = &self.nodes[node];
        // The store and the runs continue while the node is paused.
        match &state.read {
            Some(ReadState::Requested) => {
                steps.extend(self.holders(node).into_iter().map(|holder| Step::ServeRead { node, holder }));
            }
            Some(ReadState::Served { .. }) if !state.paused => steps.push(Step::AnswerRead { node }),
            Some(ReadState::Served { .. }) | None => {}
        }
        if matches!(state.write, Some(WriteState::Requested { .. })) {
            steps.push(Step::ServeWrite { node });
        }
        if self.remaining.kills > 0 {
            steps.push(Step::Kill { node });
        }
        if state.paused {
            steps.push(Step::Resume { node });
            return;
        }
        if self.remaining.pauses > 0 {
            steps.push(Step::Pause { node });
        }
        if self.remaining.keyed_calls > 0 {
            steps.extend((0..self.scenario.keys).map(|key| Step::KeyedCall { node, key }));
        }
        if self.remaining.acquires > 0 {
            steps.push(Step::Acquire { node });
        }
        if state.read.is_some() && self.remaining.read_failures > 0 {
            steps.push(Step::FailRead { node });
        }
        if matches!(state.write, Some(WriteState::Served { .. })) {
            steps.push(Step::AnswerWrite { node });
        }
        if state.write.is_some() && self.remaining.losses > 0 {
            steps.push(Step::LoseWrite { node });
        }
        for at in 0..state.runs.len() {
            for end in [EndKind::Ran, EndKind::NeverStarted, EndKind::UnknownRan, EndKind::UnknownNotRan] {
                steps.push(Step::EndRun { node, at, end });
            }
        }
        if state.retry {
            steps.push(Step::Retry { node });
        }
        if state.flush {
            steps.push(Step::Flush { node });
        }
        if self.remaining.expiries > 0 {
            steps.extend((0..state.keyed_calls.len()).map(|at| Step::Expire { node, at }));
        }
        if self.remaining.releases > 0 && !state.released {
            steps.push(Step::Release { node });
        }
        self.steps_of_gap(node, steps);
    }

    /// Returns the states of the page's home that a reader may assume.
    fn holders(&self, reader: usize) -> Vec<Holder> {
        let Some(home) = self.page.as_ref().and_then(|page| page.home.as_ref()) else {
            return vec![Holder::Alive];
        };
        let holder = (0..NODES).find(|&node| vm(node) == home.vm).unwrap_or(reader);
        let state = &self.nodes[holder];
        if state.incarnation > home.incarnation {
            return vec![Holder::Alive, Holder::Dead];
        }
        if holder != reader && (state.paused || self.scenario.false_suspicion) {
            return vec![Holder::Alive, Holder::Unresponsive];
        }
        vec![Holder::Alive]
    }

    /// Performs one step. Returns the violation if the step broke a guarantee.
    pub fn apply(&mut self, step: Step) -> Result<(), String> {
        // Steps are counted only where rounds need them, so that a search treats states that differ only in the number
        // of steps as equal.
        self.step += u32::from(self.remaining.rounds > 0);
        match step {
            Step::KeyedCall { node, key: number } => self.submit(node, number),
            Step::Acquire { node } => {
                self.remaining.acquires -= 1;
                self.deliver(node, ClaimEvent::Acquire)
            }
            Step::ServeRead { node, holder } => {
                let page = self.page.clone();
                let position = self.position();
                // A page that is missing after a rollback may have been lost.
                let complete = self.era == Era::default() || (page.is_some() && self.revision > self.rollback_revision);
                self.nodes[node].read = Some(ReadState::Served { position, page, complete, holder });
                Ok(())
            }
            Step::AnswerRead { node } => match self.nodes[node].read.take() {
                Some(ReadState::Served { position, page, complete, holder }) => {
                    self.deliver(node, ClaimEvent::Read { position, page, complete, holder })
                }
                Some(ReadState::Requested) | None => Ok(()),
            },
            Step::FailRead { node } => {
                self.remaining.read_failures -= 1;
                self.nodes[node].read = None;
                self.deliver(node, ClaimEvent::ReadFailed)
            }
            Step::ServeWrite { node } => {
                if let Some(WriteState::Requested { expected, page }) = self.nodes[node].write.take() {
                    let position = self.swap(expected, page);
                    self.nodes[node].write = Some(WriteState::Served { position });
                }
                Ok(())
            }
            Step::AnswerWrite { node } => match self.nodes[node].write.take() {
                Some(WriteState::Served { position: Some(position) }) => {
                    let sent_at = self.nodes[node].sent_at;
                    self.deliver(node, ClaimEvent::Wrote { position })?;
                    let state = &mut self.nodes[node];
                    if state.home.holds() && !state.home.has_gap() {
                        state.confirmed_at = sent_at;
                    }
                    Ok(())
                }
                Some(WriteState::Served { position: None }) => self.deliver(node, ClaimEvent::Refused),
                Some(WriteState::Requested { .. }) | None => Ok(()),
            },
            Step::LoseWrite { node } => {
                self.remaining.losses -= 1;
                if let Some(WriteState::Requested { expected, page }) = self.nodes[node].write.take() {
                    self.late.push((expected, page));
                }
                self.deliver(node, ClaimEvent::WriteLost)
            }
            Step::ApplyLate { at } => {
                let (expected, page) = self.late.remove(at);
                self.swap(expected, page);
                Ok(())
            }
            Step::EndRun { node, at, end } => self.end_run(node, at, end),
            Step::Pause { node } => {
                self.remaining.pauses -= 1;
                self.nodes[node].paused = true;
                Ok(())
            }
            Step::Resume { node } => {
                self.nodes[node].paused = false;
                self.deliver(node, ClaimEvent::SuspectHold)
            }
            Step::Kill { node } => self.kill(node),
            Step::Retry { node } => {
                self.nodes[node].retry = false;
                self.deliver(node, ClaimEvent::Retry)
            }
            Step::Flush { node } => {
                self.nodes[node].flush = false;
                self.deliver(node, ClaimEvent::Flush)
            }
            Step::Expire { node, at } => {
                self.remaining.expiries -= 1;
                let (id, _) = self.nodes[node].keyed_calls[at];
                self.deliver(node, ClaimEvent::Expire { id })
            }
            Step::RollBack => {
                self.remaining.rollbacks -= 1;
                self.page = self.past.pop().flatten();
                // The store will reuse the revision.
                self.revision -= 1;
                self.rollback_revision = self.revision;
                self.era = self.era.next();
                Ok(())
            }
            Step::ReportComplete { node } => {
                self.remaining.rounds -= 1;
                self.nodes[node].complete_in = Some(self.nodes[node].home.era());
                Ok(())
            }
            Step::CloseGap { node } => match self.nodes[node].complete_in.take() {
                Some(era) => self.deliver(node, ClaimEvent::Complete { era }),
                None => Ok(()),
            },
            Step::RequestReports { node } => {
                self.remaining.rounds -= 1;
                self.deliver(node, ClaimEvent::SuspectHold)
            }
            Step::EndWait { node } => {
                self.remaining.rounds -= 1;
                self.deliver(node, ClaimEvent::WaitEnded)
            }
            Step::Release { node } => {
                self.remaining.releases -= 1;
                self.nodes[node].released = true;
                self.deliver(node, ClaimEvent::Release)
            }
        }
    }

    fn submit(&mut self, node: usize, number: u8) -> Result<(), String> {
        self.remaining.keyed_calls -= 1;
        let id = KeyedCallId(self.next_id);
        self.next_id += 1;
        self.nodes[node].keyed_calls.push((id, key(number)));
        self.deliver(node, ClaimEvent::KeyedCall { id, key: key(number), call: 7 })
    }

    /// Returns the position of the page; the start of the era if there is none.
    fn position(&self) -> Position {
        Position::new(self.era, if self.page.is_some() { self.revision } else { 0 })
    }

    fn swap(&mut self, expected: Position, page: Page) -> Option<Position> {
        // A write is sent only over the connection that its expected position was read over.
        if self.position() != expected {
            return None;
        }
        self.revision += 1;
        if self.remaining.rollbacks > 0 {
            self.past.push(self.page.clone());
        }
        self.page = Some(page);
        Some(self.position())
    }

    fn end_run(&mut self, node: usize, at: usize, end: EndKind) -> Result<(), String> {
        let key = self.nodes[node].runs.remove(at);
        let event = match end {
            EndKind::Ran => RunEnd::Ran(answer()),
            EndKind::NeverStarted => RunEnd::NeverStarted { code: Code::Overloaded },
            EndKind::UnknownRan | EndKind::UnknownNotRan => RunEnd::Unknown { code: Code::LinkLost },
        };
        if matches!(end, EndKind::Ran | EndKind::UnknownRan) {
            self.execute(key)?;
        }
        self.deliver(node, ClaimEvent::RunEnded { key, end: event })
    }

    fn kill(&mut self, node: usize) -> Result<(), String> {
        self.remaining.kills -= 1;
        let state = &mut self.nodes[node];
        // Calls that are running at a server continue without their home. In the worst case, they run to the end.
        let runs = std::mem::take(&mut state.runs);
        state.incarnation += 1;
        state.ended_at = self.step;
        state.complete_in = None;
        state.confirmed_at = 0;
        state.home = PageHome::new(Home { vm: vm(node), incarnation: state.incarnation }, rule(self.scenario));
        state.read = None;
        let write = state.write.take();
        state.keyed_calls.clear();
        state.paused = false;
        state.retry = false;
        state.flush = false;
        state.released = false;
        if let Some(WriteState::Requested { expected, page }) = write {
            self.late.push((expected, page));
        }
        for key in runs {
            self.execute(key)?;
        }
        Ok(())
    }

    fn execute(&mut self, key: KeyDigest) -> Result<(), String> {
        let count = &mut self.executed[usize::from(key.0[0])];
        *count += 1;
        if *count > 1 { Err(format!("key {} ran {count} times", key.0[0])) } else { Ok(()) }
    }

    fn deliver(&mut self, node: usize, event: ClaimEvent) -> Result<(), String> {
        let mut actions = Vec::new();
        self.nodes[node].home.handle(event, NOW_S, &mut actions);
        for action in actions {
            self.perform(node, action)?;
        }
        let state = &mut self.nodes[node];
        state.complete_in = state.complete_in.filter(|_| state.home.has_gap());
        Ok(())
    }

    fn perform(&mut self, node: usize, action: ClaimAction) -> Result<(), String> {
        let state = &mut self.nodes[node];
        match action {
            ClaimAction::Read if state.read.is_some() => Err("two reads at the same time".into()),
            ClaimAction::Read => {
                state.read = Some(ReadState::Requested);
                Ok(())
            }
            ClaimAction::Write { .. } if state.write.is_some() => Err("two writes at the same time".into()),
            ClaimAction::Write { expected, page } => {
                state.write = Some(WriteState::Requested { expected, page });
                state.sent_at = self.step;
                Ok(())
            }
            ClaimAction::Run { key, id } => {
                if !state.keyed_calls.contains(&(id, key)) {
                    return Err("run of a call that was already answered".into());
                }
                state.runs.push(key);
                Ok(())
            }
            ClaimAction::Reply { id, reply } => self.reply(node, id, reply),
            ClaimAction::RetryLater => {
                state.retry = true;
                Ok(())
            }
            ClaimAction::FlushLater => {
                state.flush = true;
                Ok(())
            }
        }
    }

    fn reply(&mut self, node: usize, id: KeyedCallId, reply: KeyedCallReply) -> Result<(), String> {
        let keyed_calls = &mut self.nodes[node].keyed_calls;
        let at = keyed_calls.iter().position(|(waiting, _)| *waiting == id).ok_or("call was answered twice")?;
        let (_, key) = keyed_calls.remove(at);
        let executed = self.executed[usize::from(key.0[0])];
        let in_flight = self.nodes.iter().any(|node| node.runs.contains(&key));
        match reply {
            KeyedCallReply::Ran(_) if executed != 1 => Err(format!("replied ran, but the key ran {executed} times")),
            KeyedCallReply::NotRun { .. } if !self.scenario.false_suspicion && (executed > 0 || in_flight) => {
                Err(format!("replied not run, but the key ran {executed} times, in flight: {in_flight}"))
            }
            KeyedCallReply::Reused => Err("replied reused for the same call".into()),
            _ => Ok(()),
        }
    }

    /// Returns whether any key has run, so that a search can show that it got that far.
    pub fn ran(&self) -> bool {
        self.executed.iter().any(|&count| count > 0)
    }
}

fn rule(scenario: Scenario) -> ClaimRule {
    ClaimRule { lifetime_s: 600, held: scenario.held, entries_max: 100 }
}
