//! The claim thread: the pages of this VM's service, the store, and runs of claimed calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::continuity::{Answered, Course};
use super::entry::ClaimRule;
use super::message::{
    ClaimAction, ClaimEvent, ClaimJob, Holder, Home, KeptAnswer, KeyDigest, Page, PressId, PressReply, RunEnd,
};
use super::news::ClaimState;
use super::rank::{PAGES, call_digest, digest, page_of, rank, store_key};
use super::state::PageHome;
use crate::bundle::{ClaimMode, InForce};
use crate::clock::{SuspensionWatch, now_us, suspended_us, wall_us};
use crate::code::Code;
use crate::gate::{AttemptId, BounceReason};
use crate::link::message::{AnswerHead, CallHead, Reply};
use crate::member::{Members, Phase};
use crate::metric::Metrics;
use crate::placement::{Outcome, PlaceJob, Placed, RateBudget, Verdict};
use crate::store::{Position, Store, Written};
use history::History;

mod history;

/// Pause before a failed store is tried again, in milliseconds.
const RETRY_MS: u64 = 250;
/// Pause before finished runs are written by themselves, in milliseconds.
const FLUSH_MS: u64 = 200;
/// Pause between two looks at the time and the members, in milliseconds.
const TICK_MS: u64 = 200;
/// A tick that comes this much late means that the process was paused, in microseconds.
const PAUSED_US: u64 = 800_000;
/// Pause between two doubts of a node that hears nobody, in microseconds.
const DOUBT_US: u64 = 1_000_000;
/// Pause between two tries at pages that this node should hold, in microseconds.
const ACQUIRE_US: u64 = 5_000_000;
/// A node that knows no other of its service takes all pages only after this time, in
/// microseconds since its start.
const ALONE_US: u64 = 5_000_000;
/// Most keys in one page: with kept answers a page stays below a megabyte.
const ENTRIES_MAX: usize = 4_000;
/// Pause while the store's budget is spent, in milliseconds.
const BUDGET_MS: u64 = 10;

/// What the claim thread is joined to.
pub struct ClaimParts {
    /// This life of this VM.
    pub me: Home,
    /// The service of this VM's server.
    pub service: Arc<str>,
    /// Calls with keys.
    pub jobs: Receiver<ClaimJob>,
    /// Ring to placement.
    pub to_place: Sender<PlaceJob>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Writes a second at most.
    pub writes_per_s: u64,
    /// Reads a second at most.
    pub reads_per_s: u64,
    /// Time limit of a call to the store, in milliseconds.
    pub store_timeout_ms: u64,
    /// Silence after which a home may be replaced, in microseconds.
    pub silent_us: u64,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// VMs.
    pub members: watch::Receiver<Arc<Members>>,
    /// What others are told of the pages.
    pub said: watch::Sender<ClaimState>,
    /// Turns true when this node leaves.
    pub leaving: watch::Receiver<bool>,
    /// Told when every page is handed over.
    pub released: watch::Sender<bool>,
    /// Turns true when the thread is to end.
    pub closing: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

struct Press {
    attempt: AttemptId,
    head: CallHead,
    body: Bytes,
    reply: oneshot::Sender<(Reply, Bytes)>,
}

struct Budget {
    reads: RateBudget,
    writes: RateBudget,
}

/// How something ended that a page had ordered, or this node itself.
enum Done {
    /// Something that no answer of the store has told.
    Event(u16, ClaimEvent),
    /// A read of a page.
    Read(u16, PageAnswer),
    /// A write of a page that was sent at a moment, in microseconds.
    Wrote(u16, u64, ClaimEvent),
    /// A read that only shows whether the store is in touch.
    Contact(Option<Answered>),
}

/// What the read of a page has shown; none when it failed.
type PageAnswer = Option<(Answered, Position, Option<Page>)>;

struct Shell {
    parts: ClaimParts,
    pages: HashMap<u16, PageHome>,
    presses: HashMap<PressId, Press>,
    next_press: u64,
    work: FuturesUnordered<LocalBoxFuture<'static, Done>>,
    budget: Rc<RefCell<Budget>>,
    rule: ClaimRule,
    /// Since when this process has run without a pause.
    awake_us: u64,
    suspensions: SuspensionWatch,
    doubted_us: u64,
    /// When pages that this node should hold are next tried.
    acquire_at_us: u64,
    /// Nodes of the service as of the last look.
    nodes: Vec<Arc<str>>,
    history: History,
}

/// Serves claims until told to close; must run on a local task set.
pub async fn run(parts: ClaimParts) {
    let now = now_us();
    let budget = Budget {
        reads: RateBudget::new(parts.reads_per_s, parts.reads_per_s, now),
        writes: RateBudget::new(parts.writes_per_s, parts.writes_per_s, now),
    };
    let mut shell = Shell {
        pages: HashMap::new(),
        presses: HashMap::new(),
        next_press: 1,
        work: FuturesUnordered::new(),
        budget: Rc::new(RefCell::new(budget)),
        rule: ClaimRule { lifetime_s: 600, held: false, entries_max: ENTRIES_MAX },
        awake_us: now,
        suspensions: SuspensionWatch::from_now(),
        doubted_us: 0,
        acquire_at_us: 0,
        nodes: Vec::new(),
        history: History::default(),
        parts,
    };
    shell.serve().await;
}

impl Shell {
    async fn serve(&mut self) {
        let jobs = self.parts.jobs.clone();
        let mut leaving = self.parts.leaving.clone();
        let mut bundle = self.parts.bundle.clone();
        let mut closing = self.parts.closing.clone();
        let mut members = self.parts.members.clone();
        let mut tick = interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked_us = now_us();
        let mut told = false;
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Ok(job) => self.press(job),
                    Err(_) => return,
                },
                Some(done) = self.work.next(), if !self.work.is_empty() => {
                    self.look_for_suspension();
                    self.take(done);
                }
                Ok(()) = members.changed() => self.follow_history(),
                _ = tick.tick() => {
                    let now = now_us();
                    let late = now > ticked_us + TICK_MS * 1000 + PAUSED_US;
                    ticked_us = now;
                    self.tick(late, now);
                }
                _ = closing.wait_for(|closing| *closing) => return,
                Ok(()) = bundle.changed() => self.adopt(),
                Ok(_) = leaving.wait_for(|leaving| *leaving), if !told => {
                    told = true;
                    self.release();
                }
            }
            if told && self.pages.values().all(PageHome::released) {
                self.parts.released.send_replace(true);
            }
        }
    }

    fn adopt(&mut self) {
        let rule = self.parts.bundle.borrow().as_ref().and_then(|b| b.bundle.service(&self.parts.service).cloned());
        let Some(rule) = rule else {
            return;
        };
        let held = rule.claims == ClaimMode::Held;
        self.rule = ClaimRule { lifetime_s: rule.key_lifetime_s.into(), held, entries_max: ENTRIES_MAX };
        for page in self.pages.values_mut() {
            page.configure(self.rule);
        }
        self.acquire_at_us = 0;
    }

    fn release(&mut self) {
        let pages: Vec<u16> = self.pages.keys().copied().collect();
        for page in pages {
            self.handle(page, ClaimEvent::Release);
        }
    }

    fn tick(&mut self, late: bool, now: u64) {
        self.follow_history();
        self.ask_again();
        if late {
            log::warn!("event=claim.woke");
            self.awake_us = now;
        }
        let alone = self.alone(now) && now > self.doubted_us + DOUBT_US;
        if late || alone {
            self.doubted_us = now;
            for page in 0..PAGES {
                if self.pages.contains_key(&page) {
                    self.handle(page, ClaimEvent::Doubt);
                }
            }
        }
        let nodes: Vec<Arc<str>> =
            self.parts.members.borrow().servers_of(&self.parts.service).map(|node| node.vm).collect();
        if nodes != self.nodes {
            // Whoever comes up among others must hear of them before it takes what is theirs.
            self.nodes = nodes;
            self.acquire_at_us = now;
            return;
        }
        let others = nodes.len() > 1 || now >= ALONE_US;
        if others && now >= self.acquire_at_us && self.parts.bundle.borrow().is_some() {
            self.acquire_at_us = now + ACQUIRE_US;
            self.acquire(&nodes);
        }
    }

    /// Returns whether others should be heard but none was for long.
    fn alone(&self, now: u64) -> bool {
        let members = self.parts.members.borrow();
        let mut others = members
            .iter()
            .filter(|member| member.service == self.parts.service && member.phase == Phase::Serving)
            .filter(|member| member.vm != self.parts.me.vm)
            .peekable();
        let quiet = |vm: &str| members.silent_us(vm, now).is_none_or(|silent_us| silent_us > self.parts.silent_us / 2);
        others.peek().is_some() && others.all(|member| quiet(&member.vm))
    }

    /// Takes the pages that this node should hold, so that they are held before they are needed.
    fn acquire(&mut self, nodes: &[Arc<str>]) {
        if *self.parts.leaving.borrow() {
            return;
        }
        for page in 0..PAGES {
            let mut nodes = nodes.to_vec();
            rank(&self.parts.service, page, &mut nodes, Arc::clone);
            if nodes.first() == Some(&self.parts.me.vm) {
                self.handle(page, ClaimEvent::Acquire);
            }
        }
    }

    /// Doubts what this node holds at once after a suspension of its VM: the next look at the time comes
    /// later than the first call.
    fn look_for_suspension(&mut self) {
        if self.suspensions.take(suspended_us()).is_some() {
            self.tick(true, now_us());
        }
    }

    fn press(&mut self, job: ClaimJob) {
        self.look_for_suspension();
        let ClaimJob { head, body, reply } = job;
        let attempt = head.attempt;
        let Some(key) = head.key.clone().filter(|_| head.service == self.parts.service) else {
            let _ = reply.send((Reply::Bounce { attempt, reason: BounceReason::Refused }, Bytes::new()));
            return;
        };
        let key = digest(&head.service, &key);
        let call = call_digest(&head.method, &head.path, &body);
        let page = page_of(key);
        let press = PressId(self.next_press);
        self.next_press += 1;
        let deadline = Duration::from_millis(head.deadline_ms.into());
        self.work.push(Box::pin(async move {
            sleep(deadline).await;
            Done::Event(page, ClaimEvent::Expire { press })
        }));
        self.presses.insert(press, Press { attempt, head, body, reply });
        self.handle(page, ClaimEvent::Press { press, key, call });
    }

    fn handle(&mut self, page: u16, event: ClaimEvent) {
        let me = self.parts.me.clone();
        let rule = self.rule;
        let home = self.pages.entry(page).or_insert_with(|| PageHome::new(me, rule));
        let mut actions = Vec::new();
        home.handle(event, wall_us() / 1_000_000, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Read => self.read(page),
                ClaimAction::Write { expected, page: text } => self.write(page, expected, &text),
                ClaimAction::Run { key, press } => self.run_call(page, key, press),
                ClaimAction::Reply { press, reply } => self.reply(press, reply),
                ClaimAction::RetryLater => self.later(page, RETRY_MS, ClaimEvent::Retry),
                ClaimAction::FlushLater => self.later(page, FLUSH_MS, ClaimEvent::Flush),
            }
        }
    }

    fn take(&mut self, done: Done) {
        match done {
            Done::Event(page, event) => self.handle(page, event),
            Done::Read(page, answer) => self.take_page(page, answer),
            Done::Wrote(page, sent_us, event) => self.take_written(page, sent_us, event),
            Done::Contact(answered) => self.take_contact(answered),
        }
        self.publish_news();
    }

    fn later(&mut self, page: u16, after_ms: u64, event: ClaimEvent) {
        self.work.push(Box::pin(async move {
            sleep(Duration::from_millis(after_ms)).await;
            Done::Event(page, event)
        }));
    }

    fn read(&mut self, page: u16) {
        let reading = self.read_page(page);
        self.work.push(Box::pin(async move { Done::Read(page, reading.await) }));
    }

    /// Reads a page's key, within the budget and the store's time limit.
    fn read_page(&self, page: u16) -> impl Future<Output = PageAnswer> + use<> {
        let store = self.parts.store.clone();
        let key = store_key(&self.parts.service, page);
        let budget = self.budget.clone();
        let counts = self.parts.metrics.store_calls.with_label_values(&["read"]);
        let wait_ms = self.parts.store_timeout_ms;
        async move {
            if !granted(&budget, wait_ms, |budget| &mut budget.reads).await {
                return None;
            }
            counts.inc();
            let sent_us = now_us();
            let found = match store.read(&key).await {
                Ok(found) => found,
                Err(error) => {
                    log::warn!("event=claim.read_failed page={page} code={}", error.code());
                    return None;
                }
            };
            let position = found.position();
            let answered = Answered { at: found.at, history: found.history, sent_us };
            let Some(value) = found.value else {
                return Some((answered, position, None));
            };
            let Ok(text) = postcard::from_bytes::<Page>(&value.value) else {
                // A page that cannot be read is not to be written over.
                log::error!("event=claim.page_damaged page={page} code={}", Code::StoreAnswerInvalid);
                return None;
            };
            Some((answered, position, Some(text)))
        }
    }

    fn take_page(&mut self, page: u16, answer: PageAnswer) {
        let Some((answered, position, text)) = answer else {
            return self.handle(page, ClaimEvent::ReadFailed);
        };
        if self.answered(answered) == Course::Returned {
            // What this answer shows is read again under the new era.
            return self.read(page);
        }
        let home = text.as_ref().and_then(|text| text.home.as_ref());
        let holder = match (&text, home) {
            (Some(_), Some(home)) => holder(&self.parts.members.borrow(), home, self.parts.silent_us, self.awake_us),
            (Some(_), None) => Holder::Over,
            (None, _) => Holder::Alive,
        };
        let complete = self.history.continuity.covers(position);
        self.handle(page, ClaimEvent::Read { position, page: text, complete, holder });
        self.note_gap(page, position);
    }

    fn write(&mut self, page: u16, expected: Position, text: &Page) {
        let store = self.parts.store.clone();
        let key = store_key(&self.parts.service, page);
        let value = postcard::to_allocvec(text).unwrap_or_default();
        let budget = self.budget.clone();
        let counts = self.parts.metrics.store_calls.with_label_values(&["write"]);
        let wait_ms = self.parts.store_timeout_ms;
        self.work.push(Box::pin(async move {
            if !granted(&budget, wait_ms, |budget| &mut budget.writes).await {
                return Done::Event(page, ClaimEvent::WriteLost);
            }
            counts.inc();
            let sent_us = now_us();
            let event = match store.swap(&key, Some(expected), value).await {
                Ok(Written::At(position)) => ClaimEvent::Wrote { position },
                Ok(Written::Refused) => ClaimEvent::Refused,
                Err(error) => {
                    log::warn!("event=claim.write_failed page={page} code={}", error.code());
                    ClaimEvent::WriteLost
                }
            };
            Done::Wrote(page, sent_us, event)
        }));
    }

    fn run_call(&mut self, page: u16, key: KeyDigest, press: PressId) {
        let Some(press) = self.presses.get(&press) else {
            // The caller that brought the call has been answered, so nothing may start.
            let end = RunEnd::NeverStarted { code: Code::ClaimNotKept };
            self.work.push(Box::pin(async move { Done::Event(page, ClaimEvent::RunEnded { key, end }) }));
            return;
        };
        log::info!("event=claim.run call={} page={page}", press.head.call_id);
        let (reply, placed) = oneshot::channel();
        let job = PlaceJob { head: press.head.clone(), body: press.body.clone(), repeatable: false, reply };
        let to_place = self.parts.to_place.clone();
        self.work.push(Box::pin(async move {
            let end = if to_place.send(job).await.is_err() {
                RunEnd::NeverStarted { code: Code::Leaving }
            } else {
                run_end(placed.await)
            };
            Done::Event(page, ClaimEvent::RunEnded { key, end })
        }));
    }

    fn reply(&mut self, press: PressId, reply: PressReply) {
        let Some(Press { attempt, reply: to, head, .. }) = self.presses.remove(&press) else {
            return;
        };
        self.parts.metrics.presses.with_label_values(&[reply_label(&reply)]).inc();
        log::debug!("event=claim.reply call={} reply={}", head.call_id, reply_label(&reply));
        let _ = to.send(message_of(attempt, reply));
    }
}

async fn granted(budget: &RefCell<Budget>, wait_ms: u64, of: impl Fn(&mut Budget) -> &mut RateBudget) -> bool {
    for _ in 0..=wait_ms / BUDGET_MS {
        if of(&mut budget.borrow_mut()).take(1, now_us()) {
            return true;
        }
        sleep(Duration::from_millis(BUDGET_MS)).await;
    }
    false
}

fn holder(members: &Members, home: &Home, silent_us: u64, awake_us: u64) -> Holder {
    if members.is_over(&home.vm, home.incarnation) {
        return Holder::Over;
    }
    let now = now_us();
    // Whoever has slept has heard nobody, which says nothing of the others.
    let awake_for_us = now.saturating_sub(awake_us);
    let quiet_us = members.silent_us(&home.vm, now).unwrap_or(awake_for_us).min(awake_for_us);
    if quiet_us > silent_us { Holder::Silent } else { Holder::Alive }
}

fn run_end(placed: Result<Placed, oneshot::error::RecvError>) -> RunEnd {
    match placed {
        Ok(Placed::Answer(head, body)) => {
            RunEnd::Ran(KeptAnswer { status: head.status, headers: head.headers, body: Some(body.to_vec()) })
        }
        Ok(Placed::Verdict(Verdict::NotRun { code, .. })) => RunEnd::NeverStarted { code },
        Ok(Placed::Verdict(Verdict::Unknown { code })) => RunEnd::Unknown { code },
        Ok(Placed::Verdict(Verdict::Answer(_))) | Err(_) => RunEnd::Unknown { code: Code::LinkLost },
    }
}

const fn reply_label(reply: &PressReply) -> &'static str {
    match reply {
        PressReply::Ran(_) => "ran",
        PressReply::NotRun { .. } => "not-run",
        PressReply::Unknown { .. } => "unknown",
        PressReply::Moved { .. } => "moved",
        PressReply::NotHome { .. } => "not-home",
        PressReply::Reused => "reused",
    }
}

fn message_of(attempt: AttemptId, reply: PressReply) -> (Reply, Bytes) {
    let line = |outcome, code: Code| {
        let answer = AnswerHead {
            attempt,
            outcome,
            code: code.number(),
            status: 0,
            retry_after_ms: 0,
            headers: Vec::new(),
            body_bytes: 0,
            nested: None,
            work_us: 0,
        };
        (Reply::Answer(answer), Bytes::new())
    };
    match reply {
        PressReply::Ran(kept) => {
            let code = if kept.body.is_none() { Code::AnswerNotKept.number() } else { 0 };
            let body = Bytes::from(kept.body.unwrap_or_default());
            let answer = AnswerHead {
                attempt,
                outcome: Outcome::Ran,
                code,
                status: kept.status,
                retry_after_ms: 0,
                headers: kept.headers,
                body_bytes: body.len() as u32,
                nested: None,
                work_us: 0,
            };
            (Reply::Answer(answer), body)
        }
        PressReply::NotRun { code } => line(Outcome::NotRun, code),
        PressReply::Unknown { code } => line(Outcome::Unknown, code),
        PressReply::Reused => line(Outcome::NotRun, Code::KeyReused),
        PressReply::Moved { home } => (Reply::Moved { attempt, home: home.vm }, Bytes::new()),
        PressReply::NotHome { code } => (Reply::NotHome { attempt, code: code.number() }, Bytes::new()),
    }
}
