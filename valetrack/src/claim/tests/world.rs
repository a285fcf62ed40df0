//! Two nodes, one store and a network that delays, loses and repeats; every choice is a step.

use std::sync::Arc;

use crate::claim::{
    ClaimAction, ClaimEvent, ClaimRule, Holder, Home, KeptAnswer, KeyDigest, Page, PageHome, PressId, PressReply,
    RunEnd,
};
use crate::code::Code;
use crate::store::{Era, Position};

mod gap;

/// The moment of every step, in seconds; keys do not age in this world.
const NOW_S: u64 = 1_000;
pub const NODES: usize = 2;

/// How often each kind of trouble may still come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Left {
    pub presses: u8,
    pub pauses: u8,
    pub kills: u8,
    pub losses: u8,
    pub read_failures: u8,
    pub releases: u8,
    pub expiries: u8,
    pub acquires: u8,
    /// Returns of the store from an older copy.
    pub rollbacks: u8,
    /// Rounds in which a node hears what the others know of the page.
    pub rounds: u8,
}

/// What the world is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Kind {
    pub keys: u8,
    pub held: bool,
    /// Whether a home may be taken for silent although it runs; then no word of "not run" can be
    /// held to, but a run still happens at most once.
    pub wild_silence: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ReadState {
    Asked,
    Served { position: Position, page: Option<Page>, complete: bool, holder: Holder },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum WriteState {
    Asked { expected: Position, page: Page },
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
    presses: Vec<(PressId, KeyDigest)>,
    retry: bool,
    flush: bool,
    released: bool,
    /// The era in which all others have said that they know of nothing which the page lacks.
    told_in: Option<Era>,
    /// Step at which the last write was asked for that confirmed the node as the home, and that of the write under way.
    confirmed_at: u32,
    asked_at: u32,
    /// Step at which the last life of the node ended.
    ended_at: u32,
}

/// One thing that may happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Press {
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
    LandLate {
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
    /// All others say that they know of nothing which the page lacks.
    Speak {
        node: usize,
    },
    /// The node acts on what they said.
    Settle {
        node: usize,
    },
    /// The node hears that another one asks about the page that it remembers.
    Yield {
        node: usize,
    },
    /// The node waits no longer for what others say.
    GiveUp {
        node: usize,
    },
}

/// How a run ends in this world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    Ran,
    NeverStarted,
    UnknownRan,
    UnknownNotRan,
}

/// The whole world.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub kind: Kind,
    pub left: Left,
    /// Connections to the store so far: all break when it comes back older.
    era: Era,
    revision: u64,
    /// Up to which revision the page may be from before the store's last return.
    copied: u64,
    page: Option<Page>,
    /// The page before each of its changes, where the store may still come back older.
    past: Vec<Option<Page>>,
    nodes: Vec<Node>,
    /// Writes whose answer was given up and that may still land.
    late: Vec<(Position, Page)>,
    executed: Vec<u8>,
    next_press: u64,
    /// Steps so far, where they are counted.
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

impl World {
    pub fn new(kind: Kind, left: Left) -> Self {
        let node = |at| Node {
            home: PageHome::new(Home { vm: vm(at), incarnation: 1 }, rule(kind)),
            incarnation: 1,
            paused: false,
            read: None,
            write: None,
            runs: Vec::new(),
            presses: Vec::new(),
            retry: false,
            flush: false,
            released: false,
            told_in: None,
            confirmed_at: 0,
            asked_at: 0,
            ended_at: 0,
        };
        Self {
            kind,
            left,
            era: Era::default(),
            revision: 0,
            copied: 0,
            page: None,
            past: Vec::new(),
            nodes: (0..NODES).map(node).collect(),
            late: Vec::new(),
            executed: vec![0; usize::from(kind.keys)],
            next_press: 1,
            step: 0,
        }
    }

    /// Returns all that may happen next.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for at in 0..self.late.len() {
            steps.push(Step::LandLate { at });
        }
        for node in 0..NODES {
            self.steps_of(node, &mut steps);
        }
        if self.left.rollbacks > 0 && !self.past.is_empty() {
            steps.push(Step::RollBack);
        }
        steps
    }

    fn steps_of(&self, node: usize, steps: &mut Vec<Step>) {
        let state = &self.nodes[node];
        // The store and runs go on whether the node is paused or not.
        match &state.read {
            Some(ReadState::Asked) => {
                steps.extend(self.holders(node).into_iter().map(|holder| Step::ServeRead { node, holder }));
            }
            Some(ReadState::Served { .. }) if !state.paused => steps.push(Step::AnswerRead { node }),
            Some(ReadState::Served { .. }) | None => {}
        }
        if matches!(state.write, Some(WriteState::Asked { .. })) {
            steps.push(Step::ServeWrite { node });
        }
        if self.left.kills > 0 {
            steps.push(Step::Kill { node });
        }
        if state.paused {
            steps.push(Step::Resume { node });
            return;
        }
        if self.left.pauses > 0 {
            steps.push(Step::Pause { node });
        }
        if self.left.presses > 0 {
            steps.extend((0..self.kind.keys).map(|key| Step::Press { node, key }));
        }
        if self.left.acquires > 0 {
            steps.push(Step::Acquire { node });
        }
        if state.read.is_some() && self.left.read_failures > 0 {
            steps.push(Step::FailRead { node });
        }
        if matches!(state.write, Some(WriteState::Served { .. })) {
            steps.push(Step::AnswerWrite { node });
        }
        if state.write.is_some() && self.left.losses > 0 {
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
        if self.left.expiries > 0 {
            steps.extend((0..state.presses.len()).map(|at| Step::Expire { node, at }));
        }
        if self.left.releases > 0 && !state.released {
            steps.push(Step::Release { node });
        }
        self.steps_of_gap(node, steps);
    }

    /// Returns what a reader may believe of the page's home.
    fn holders(&self, reader: usize) -> Vec<Holder> {
        let Some(home) = self.page.as_ref().and_then(|page| page.home.as_ref()) else {
            return vec![Holder::Alive];
        };
        let holder = (0..NODES).find(|&node| vm(node) == home.vm).unwrap_or(reader);
        let state = &self.nodes[holder];
        if state.incarnation > home.incarnation {
            return vec![Holder::Alive, Holder::Over];
        }
        if holder != reader && (state.paused || self.kind.wild_silence) {
            return vec![Holder::Alive, Holder::Silent];
        }
        vec![Holder::Alive]
    }

    /// Lets one step happen; returns which promise it broke, if it broke one.
    pub fn apply(&mut self, step: Step) -> Result<(), String> {
        // Worlds that are alike but for the number of steps count as one in a search.
        self.step += u32::from(self.left.rounds > 0);
        match step {
            Step::Press { node, key: number } => self.press(node, number),
            Step::Acquire { node } => {
                self.left.acquires -= 1;
                self.tell(node, ClaimEvent::Acquire)
            }
            Step::ServeRead { node, holder } => {
                let page = self.page.clone();
                let position = self.position();
                // A page that is missing after a return may have been lost.
                let complete = self.era == Era::default() || (page.is_some() && self.revision > self.copied);
                self.nodes[node].read = Some(ReadState::Served { position, page, complete, holder });
                Ok(())
            }
            Step::AnswerRead { node } => match self.nodes[node].read.take() {
                Some(ReadState::Served { position, page, complete, holder }) => {
                    self.tell(node, ClaimEvent::Read { position, page, complete, holder })
                }
                Some(ReadState::Asked) | None => Ok(()),
            },
            Step::FailRead { node } => {
                self.left.read_failures -= 1;
                self.nodes[node].read = None;
                self.tell(node, ClaimEvent::ReadFailed)
            }
            Step::ServeWrite { node } => {
                if let Some(WriteState::Asked { expected, page }) = self.nodes[node].write.take() {
                    let position = self.swap(expected, page);
                    self.nodes[node].write = Some(WriteState::Served { position });
                }
                Ok(())
            }
            Step::AnswerWrite { node } => match self.nodes[node].write.take() {
                Some(WriteState::Served { position: Some(position) }) => {
                    let asked_at = self.nodes[node].asked_at;
                    self.tell(node, ClaimEvent::Wrote { position })?;
                    let state = &mut self.nodes[node];
                    if state.home.holds() && !state.home.has_gap() {
                        state.confirmed_at = asked_at;
                    }
                    Ok(())
                }
                Some(WriteState::Served { position: None }) => self.tell(node, ClaimEvent::Refused),
                Some(WriteState::Asked { .. }) | None => Ok(()),
            },
            Step::LoseWrite { node } => {
                self.left.losses -= 1;
                if let Some(WriteState::Asked { expected, page }) = self.nodes[node].write.take() {
                    self.late.push((expected, page));
                }
                self.tell(node, ClaimEvent::WriteLost)
            }
            Step::LandLate { at } => {
                let (expected, page) = self.late.remove(at);
                self.swap(expected, page);
                Ok(())
            }
            Step::EndRun { node, at, end } => self.end_run(node, at, end),
            Step::Pause { node } => {
                self.left.pauses -= 1;
                self.nodes[node].paused = true;
                Ok(())
            }
            Step::Resume { node } => {
                self.nodes[node].paused = false;
                self.tell(node, ClaimEvent::Doubt)
            }
            Step::Kill { node } => self.kill(node),
            Step::Retry { node } => {
                self.nodes[node].retry = false;
                self.tell(node, ClaimEvent::Retry)
            }
            Step::Flush { node } => {
                self.nodes[node].flush = false;
                self.tell(node, ClaimEvent::Flush)
            }
            Step::Expire { node, at } => {
                self.left.expiries -= 1;
                let (press, _) = self.nodes[node].presses[at];
                self.tell(node, ClaimEvent::Expire { press })
            }
            Step::RollBack => {
                self.left.rollbacks -= 1;
                self.page = self.past.pop().flatten();
                // The revision is given out again.
                self.revision -= 1;
                self.copied = self.revision;
                self.era = self.era.next();
                Ok(())
            }
            Step::Speak { node } => {
                self.left.rounds -= 1;
                self.nodes[node].told_in = Some(self.nodes[node].home.era());
                Ok(())
            }
            Step::Settle { node } => match self.nodes[node].told_in.take() {
                Some(era) => self.tell(node, ClaimEvent::Complete { era }),
                None => Ok(()),
            },
            Step::Yield { node } => {
                self.left.rounds -= 1;
                self.tell(node, ClaimEvent::Doubt)
            }
            Step::GiveUp { node } => {
                self.left.rounds -= 1;
                self.tell(node, ClaimEvent::Waited)
            }
            Step::Release { node } => {
                self.left.releases -= 1;
                self.nodes[node].released = true;
                self.tell(node, ClaimEvent::Release)
            }
        }
    }

    fn press(&mut self, node: usize, number: u8) -> Result<(), String> {
        self.left.presses -= 1;
        let press = PressId(self.next_press);
        self.next_press += 1;
        self.nodes[node].presses.push((press, key(number)));
        self.tell(node, ClaimEvent::Press { press, key: key(number), call: 7 })
    }

    /// Returns where the page stands; the start of the era where there is none.
    fn position(&self) -> Position {
        Position::new(self.era, if self.page.is_some() { self.revision } else { 0 })
    }

    fn swap(&mut self, expected: Position, page: Page) -> Option<Position> {
        // A write goes over the connection that its expected position was read over, or not at all.
        if self.position() != expected {
            return None;
        }
        self.revision += 1;
        if self.left.rollbacks > 0 {
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
        self.tell(node, ClaimEvent::RunEnded { key, end: event })
    }

    fn kill(&mut self, node: usize) -> Result<(), String> {
        self.left.kills -= 1;
        let state = &mut self.nodes[node];
        // What was under way at a server goes on without its home; the worst is that it runs.
        let runs = std::mem::take(&mut state.runs);
        state.incarnation += 1;
        state.ended_at = self.step;
        state.told_in = None;
        state.confirmed_at = 0;
        state.home = PageHome::new(Home { vm: vm(node), incarnation: state.incarnation }, rule(self.kind));
        state.read = None;
        let write = state.write.take();
        state.presses.clear();
        state.paused = false;
        state.retry = false;
        state.flush = false;
        state.released = false;
        if let Some(WriteState::Asked { expected, page }) = write {
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

    fn tell(&mut self, node: usize, event: ClaimEvent) -> Result<(), String> {
        let mut actions = Vec::new();
        self.nodes[node].home.handle(event, NOW_S, &mut actions);
        for action in actions {
            self.act(node, action)?;
        }
        let state = &mut self.nodes[node];
        state.told_in = state.told_in.filter(|_| state.home.has_gap());
        Ok(())
    }

    fn act(&mut self, node: usize, action: ClaimAction) -> Result<(), String> {
        let state = &mut self.nodes[node];
        match action {
            ClaimAction::Read if state.read.is_some() => Err("two reads at once".into()),
            ClaimAction::Read => {
                state.read = Some(ReadState::Asked);
                Ok(())
            }
            ClaimAction::Write { .. } if state.write.is_some() => Err("two writes at once".into()),
            ClaimAction::Write { expected, page } => {
                state.write = Some(WriteState::Asked { expected, page });
                state.asked_at = self.step;
                Ok(())
            }
            ClaimAction::Run { key, press } => {
                if !state.presses.contains(&(press, key)) {
                    return Err("a run for a press that was answered".into());
                }
                state.runs.push(key);
                Ok(())
            }
            ClaimAction::Reply { press, reply } => self.reply(node, press, reply),
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

    fn reply(&mut self, node: usize, press: PressId, reply: PressReply) -> Result<(), String> {
        let presses = &mut self.nodes[node].presses;
        let at = presses.iter().position(|(waiting, _)| *waiting == press).ok_or("a press was answered twice")?;
        let (_, key) = presses.remove(at);
        let executed = self.executed[usize::from(key.0[0])];
        let under_way = self.nodes.iter().any(|node| node.runs.contains(&key));
        match reply {
            PressReply::Ran(_) if executed != 1 => Err(format!("told ran, but it ran {executed} times")),
            PressReply::NotRun { .. } if !self.kind.wild_silence && (executed > 0 || under_way) => {
                Err(format!("told not run, but it ran {executed} times, under way {under_way}"))
            }
            PressReply::Reused => Err("told reused for the same call".into()),
            _ => Ok(()),
        }
    }

    /// Returns whether any run was ordered or done, so that a search can show that it got there.
    pub fn ran(&self) -> bool {
        self.executed.iter().any(|&count| count > 0)
    }
}

fn rule(kind: Kind) -> ClaimRule {
    ClaimRule { lifetime_s: 600, held: kind.held, entries_max: 100 }
}
