//! The claim thread: the pages of this VM's service, calls to the store, and runs of claimed calls.

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

use super::continuity::{HistoryOutcome, StoreAnswer};
use super::entry::ClaimRule;
use super::message::{
    ClaimAction, ClaimEvent, ClaimJob, Holder, Home, KeptAnswer, KeyDigest, KeyedCallId, KeyedCallReply, Page, RunEnd,
};
use super::rank::{PAGES, call_digest, digest, page_of, rank, store_key};
use super::report::ClaimState;
use super::state::PageHome;
use crate::bundle::{ClaimMode, InForce};
use crate::clock::{SuspensionWatch, now_us, suspended_us, wall_us};
use crate::code::Code;
use crate::gate::{AttemptId, DeclineReason};
use crate::link::message::{AnswerHead, CallHead, Reply};
use crate::member::{Members, Phase};
use crate::metric::Metrics;
use crate::placement::{Outcome, PlaceJob, Placed, RateBudget, Verdict};
use crate::store::{Position, Store, SwapOutcome};
use history::History;

mod history;

/// Pause before a failed call to the store is tried again.
const RETRY_PAUSE_MS: u64 = 250;
/// Pause before finished runs are written without a new claim.
const FLUSH_PAUSE_MS: u64 = 200;
/// Interval at which the time and the member list are checked.
const TICK_INTERVAL_MS: u64 = 200;
/// A tick that is late by more than this shows that the process was paused.
const LATE_TICK_US: u64 = 800_000;
/// Shortest time between two checks of the held pages because of silent or contradicting nodes.
const SUSPECT_INTERVAL_US: u64 = 1_000_000;
/// Pause between two attempts to acquire the pages that this node should hold.
const ACQUIRE_INTERVAL_US: u64 = 5_000_000;
/// Time after its start at which a node without other nodes of its service acquires all pages.
const SOLE_NODE_US: u64 = 5_000_000;
/// Most keys in one page. With the kept answers, a page stays below one megabyte.
const ENTRIES_MAX: usize = 4_000;
/// Pause before the budget of store calls is checked again.
const BUDGET_PAUSE_MS: u64 = 10;

/// Inputs and outputs of the claim thread.
pub struct ClaimParts {
    /// This incarnation of this VM.
    pub me: Home,
    /// The service of this VM's server.
    pub service: Arc<str>,
    /// Keyed calls.
    pub jobs: Receiver<ClaimJob>,
    /// Ring buffer to placement.
    pub to_place: Sender<PlaceJob>,
    pub store: Arc<dyn Store>,
    /// Highest rate of writes to the store.
    pub writes_per_s: u64,
    /// Highest rate of reads from the store.
    pub reads_per_s: u64,
    /// Time limit of a call to the store.
    pub store_timeout_ms: u64,
    /// Silence after which a home may be replaced.
    pub silent_us: u64,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// The member list.
    pub members: watch::Receiver<Arc<Members>>,
    /// State from which the reports to other nodes are made.
    pub claim_state: watch::Sender<ClaimState>,
    /// Turns true when this node leaves.
    pub leaving: watch::Receiver<bool>,
    /// Turns true when every page is handed over.
    pub released: watch::Sender<bool>,
    /// Turns true when the thread must end.
    pub closing: watch::Receiver<bool>,
    pub metrics: Arc<Metrics>,
}

struct KeyedCall {
    attempt: AttemptId,
    head: CallHead,
    body: Bytes,
    reply: oneshot::Sender<(Reply, Bytes)>,
}

struct Budget {
    reads: RateBudget,
    writes: RateBudget,
}

/// Completion of a task that a page or the claim thread itself started.
enum Completion {
    /// An event that needs no answer of the store.
    Event(u16, ClaimEvent),
    /// A read of a page.
    Read(u16, PageAnswer),
    /// A write of a page, with the time at which it was sent in microseconds.
    Wrote(u16, u64, ClaimEvent),
    /// A read that only probes the store.
    Probed(Option<StoreAnswer>),
}

/// Result of reading a page; `None` if the read failed.
type PageAnswer = Option<(StoreAnswer, Position, Option<Page>)>;

struct Shell {
    parts: ClaimParts,
    pages: HashMap<u16, PageHome>,
    keyed_calls: HashMap<KeyedCallId, KeyedCall>,
    next_id: u64,
    work: FuturesUnordered<LocalBoxFuture<'static, Completion>>,
    budget: Rc<RefCell<Budget>>,
    rule: ClaimRule,
    /// Since when this process has run without a pause.
    resumed_us: u64,
    suspensions: SuspensionWatch,
    suspected_us: u64,
    /// When this node next tries to acquire the pages that it should hold.
    acquire_at_us: u64,
    /// Nodes of the service at the last tick.
    nodes: Vec<Arc<str>>,
    history: History,
}

/// Serves claims until `closing` turns true. Must run on a local task set.
pub async fn run(parts: ClaimParts) {
    let now = now_us();
    let budget = Budget {
        reads: RateBudget::new(parts.reads_per_s, parts.reads_per_s, now),
        writes: RateBudget::new(parts.writes_per_s, parts.writes_per_s, now),
    };
    let mut shell = Shell {
        pages: HashMap::new(),
        keyed_calls: HashMap::new(),
        next_id: 1,
        work: FuturesUnordered::new(),
        budget: Rc::new(RefCell::new(budget)),
        rule: ClaimRule { lifetime_s: 600, held: false, entries_max: ENTRIES_MAX },
        resumed_us: now,
        suspensions: SuspensionWatch::from_now(),
        suspected_us: 0,
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
        let mut tick = interval(Duration::from_millis(TICK_INTERVAL_MS));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked_us = now_us();
        let mut is_releasing = false;
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Ok(job) => self.submit(job),
                    Err(_) => return,
                },
                Some(completion) = self.work.next(), if !self.work.is_empty() => {
                    self.check_suspension();
                    self.on_completion(completion);
                }
                Ok(()) = members.changed() => self.update_history(),
                _ = tick.tick() => {
                    let now = now_us();
                    let late = now > ticked_us + TICK_INTERVAL_MS * 1000 + LATE_TICK_US;
                    ticked_us = now;
                    self.tick(late, now);
                }
                _ = closing.wait_for(|closing| *closing) => return,
                Ok(()) = bundle.changed() => self.apply_bundle(),
                Ok(_) = leaving.wait_for(|leaving| *leaving), if !is_releasing => {
                    is_releasing = true;
                    self.release();
                }
            }
            if is_releasing && self.pages.values().all(PageHome::released) {
                self.parts.released.send_replace(true);
            }
        }
    }

    fn apply_bundle(&mut self) {
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
        self.update_history();
        self.resend_request();
        if late {
            log::warn!("event=claim.resumed");
            self.resumed_us = now;
        }
        let is_isolated = self.is_isolated(now) && now > self.suspected_us + SUSPECT_INTERVAL_US;
        if late || is_isolated {
            self.suspected_us = now;
            for page in 0..PAGES {
                if self.pages.contains_key(&page) {
                    self.handle(page, ClaimEvent::SuspectHold);
                }
            }
        }
        let nodes: Vec<Arc<str>> =
            self.parts.members.borrow().servers_of(&self.parts.service).map(|node| node.vm).collect();
        if nodes != self.nodes {
            // After a change of the nodes, pages are acquired at the next tick at the earliest: a node that starts must
            // have received the other nodes before it acquires pages that they hold.
            self.nodes = nodes;
            self.acquire_at_us = now;
            return;
        }
        let has_peers_or_waited = nodes.len() > 1 || now >= SOLE_NODE_US;
        if has_peers_or_waited && now >= self.acquire_at_us && self.parts.bundle.borrow().is_some() {
            self.acquire_at_us = now + ACQUIRE_INTERVAL_US;
            self.acquire(&nodes);
        }
    }

    /// Returns whether all other nodes of the service have been silent for long.
    fn is_isolated(&self, now: u64) -> bool {
        let members = self.parts.members.borrow();
        let mut others = members
            .iter()
            .filter(|member| member.service == self.parts.service && member.phase == Phase::Serving)
            .filter(|member| member.vm != self.parts.me.vm)
            .peekable();
        let is_silent =
            |vm: &str| members.silent_us(vm, now).is_none_or(|silent_us| silent_us > self.parts.silent_us / 2);
        others.peek().is_some() && others.all(|member| is_silent(&member.vm))
    }

    /// Acquires the pages that this node should hold before they are needed.
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

    /// Checks the held pages at once after a suspension of the VM, because the first call may arrive before the next
    /// tick.
    fn check_suspension(&mut self) {
        if self.suspensions.take(suspended_us()).is_some() {
            self.tick(true, now_us());
        }
    }

    fn submit(&mut self, job: ClaimJob) {
        self.check_suspension();
        let ClaimJob { head, body, reply } = job;
        let attempt = head.attempt;
        let Some(key) = head.key.clone().filter(|_| head.service == self.parts.service) else {
            let _ = reply.send((Reply::Bounce { attempt, reason: DeclineReason::Refused }, Bytes::new()));
            return;
        };
        let key = digest(&head.service, &key);
        let call = call_digest(&head.method, &head.path, &body);
        let page = page_of(key);
        let id = KeyedCallId(self.next_id);
        self.next_id += 1;
        let deadline = Duration::from_millis(head.deadline_ms.into());
        self.work.push(Box::pin(async move {
            sleep(deadline).await;
            Completion::Event(page, ClaimEvent::Expire { id })
        }));
        self.keyed_calls.insert(id, KeyedCall { attempt, head, body, reply });
        self.handle(page, ClaimEvent::KeyedCall { id, key, call });
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
                ClaimAction::Write { expected, page: content } => self.write(page, expected, &content),
                ClaimAction::Run { key, id } => self.run_call(page, key, id),
                ClaimAction::Reply { id, reply } => self.reply(id, reply),
                ClaimAction::RetryLater => self.schedule(page, RETRY_PAUSE_MS, ClaimEvent::Retry),
                ClaimAction::FlushLater => self.schedule(page, FLUSH_PAUSE_MS, ClaimEvent::Flush),
            }
        }
    }

    fn on_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Event(page, event) => self.handle(page, event),
            Completion::Read(page, answer) => self.on_page_read(page, answer),
            Completion::Wrote(page, sent_us, event) => self.on_page_written(page, sent_us, event),
            Completion::Probed(store_answer) => self.on_probed(store_answer),
        }
        self.publish_state();
    }

    fn schedule(&mut self, page: u16, after_ms: u64, event: ClaimEvent) {
        self.work.push(Box::pin(async move {
            sleep(Duration::from_millis(after_ms)).await;
            Completion::Event(page, event)
        }));
    }

    fn read(&mut self, page: u16) {
        let reading = self.read_page(page);
        self.work.push(Box::pin(async move { Completion::Read(page, reading.await) }));
    }

    /// Reads a page within the read budget and the store's time limit.
    fn read_page(&self, page: u16) -> impl Future<Output = PageAnswer> + use<> {
        let store = self.parts.store.clone();
        let key = store_key(&self.parts.service, page);
        let budget = self.budget.clone();
        let counts = self.parts.metrics.store_calls.with_label_values(&["read"]);
        let wait_ms = self.parts.store_timeout_ms;
        async move {
            if !wait_for_budget(&budget, wait_ms, |budget| &mut budget.reads).await {
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
            let store_answer = StoreAnswer { at: found.at, history: found.history, sent_us };
            let Some(value) = found.value else {
                return Some((store_answer, position, None));
            };
            let Ok(content) = postcard::from_bytes::<Page>(&value.value) else {
                // A page that can't be parsed must not be overwritten.
                log::error!("event=claim.page_damaged page={page} code={}", Code::StoreAnswerInvalid);
                return None;
            };
            Some((store_answer, position, Some(content)))
        }
    }

    fn on_page_read(&mut self, page: u16, answer: PageAnswer) {
        let Some((store_answer, position, content)) = answer else {
            return self.handle(page, ClaimEvent::ReadFailed);
        };
        if self.record_answer(store_answer) == HistoryOutcome::RolledBack {
            // The answer belongs to the ended era, so the page is read again in the new one.
            return self.read(page);
        }
        let home = content.as_ref().and_then(|content| content.home.as_ref());
        let holder = match (&content, home) {
            (Some(_), Some(home)) => holder(&self.parts.members.borrow(), home, self.parts.silent_us, self.resumed_us),
            (Some(_), None) => Holder::Dead,
            (None, _) => Holder::Alive,
        };
        let complete = self.history.continuity.covers(position);
        self.handle(page, ClaimEvent::Read { position, page: content, complete, holder });
        self.record_gap(page, position);
    }

    fn write(&mut self, page: u16, expected: Position, content: &Page) {
        let store = self.parts.store.clone();
        let key = store_key(&self.parts.service, page);
        let value = postcard::to_allocvec(content).unwrap_or_default();
        let budget = self.budget.clone();
        let counts = self.parts.metrics.store_calls.with_label_values(&["write"]);
        let wait_ms = self.parts.store_timeout_ms;
        self.work.push(Box::pin(async move {
            if !wait_for_budget(&budget, wait_ms, |budget| &mut budget.writes).await {
                return Completion::Event(page, ClaimEvent::WriteLost);
            }
            counts.inc();
            let sent_us = now_us();
            let event = match store.swap(&key, Some(expected), value).await {
                Ok(SwapOutcome::At(position)) => ClaimEvent::Wrote { position },
                Ok(SwapOutcome::Refused) => ClaimEvent::Refused,
                Err(error) => {
                    log::warn!("event=claim.write_failed page={page} code={}", error.code());
                    ClaimEvent::WriteLost
                }
            };
            Completion::Wrote(page, sent_us, event)
        }));
    }

    fn run_call(&mut self, page: u16, key: KeyDigest, id: KeyedCallId) {
        let Some(keyed_call) = self.keyed_calls.get(&id) else {
            // The caller has been answered already, so nothing may start.
            let end = RunEnd::NeverStarted { code: Code::ClaimNotKept };
            self.work.push(Box::pin(async move { Completion::Event(page, ClaimEvent::RunEnded { key, end }) }));
            return;
        };
        log::info!("event=claim.run call={} page={page}", keyed_call.head.call_id);
        let (reply, placed) = oneshot::channel();
        let job = PlaceJob { head: keyed_call.head.clone(), body: keyed_call.body.clone(), repeatable: false, reply };
        let to_place = self.parts.to_place.clone();
        self.work.push(Box::pin(async move {
            let end = if to_place.send(job).await.is_err() {
                RunEnd::NeverStarted { code: Code::Leaving }
            } else {
                run_end(placed.await)
            };
            Completion::Event(page, ClaimEvent::RunEnded { key, end })
        }));
    }

    fn reply(&mut self, id: KeyedCallId, reply: KeyedCallReply) {
        let Some(KeyedCall { attempt, reply: to, head, .. }) = self.keyed_calls.remove(&id) else {
            return;
        };
        self.parts.metrics.presses.with_label_values(&[reply_label(&reply)]).inc();
        log::debug!("event=claim.reply call={} reply={}", head.call_id, reply_label(&reply));
        let _ = to.send(reply_message(attempt, reply));
    }
}

async fn wait_for_budget(budget: &RefCell<Budget>, wait_ms: u64, of: impl Fn(&mut Budget) -> &mut RateBudget) -> bool {
    for _ in 0..=wait_ms / BUDGET_PAUSE_MS {
        if of(&mut budget.borrow_mut()).take(1, now_us()) {
            return true;
        }
        sleep(Duration::from_millis(BUDGET_PAUSE_MS)).await;
    }
    false
}

fn holder(members: &Members, home: &Home, silent_us: u64, resumed_us: u64) -> Holder {
    if members.is_over(&home.vm, home.incarnation) {
        return Holder::Dead;
    }
    let now = now_us();
    // A node that was paused has received nothing meanwhile, which is no sign that the others were silent.
    let running_for_us = now.saturating_sub(resumed_us);
    let silent_for_us = members.silent_us(&home.vm, now).unwrap_or(running_for_us).min(running_for_us);
    if silent_for_us > silent_us { Holder::Unresponsive } else { Holder::Alive }
}

fn run_end(placed: Result<Placed, oneshot::error::RecvError>) -> RunEnd {
    match placed {
        Ok(Placed::Answer(head, body)) => {
            RunEnd::Ran(KeptAnswer { status: head.status, headers: head.headers, body: Some(body) })
        }
        Ok(Placed::Verdict(Verdict::NotRun { code, .. })) => RunEnd::NeverStarted { code },
        Ok(Placed::Verdict(Verdict::Unknown { code })) => RunEnd::Unknown { code },
        Ok(Placed::Verdict(Verdict::Answer(_))) | Err(_) => RunEnd::Unknown { code: Code::LinkLost },
    }
}

const fn reply_label(reply: &KeyedCallReply) -> &'static str {
    match reply {
        KeyedCallReply::Ran(_) => "ran",
        KeyedCallReply::NotRun { .. } => "not-run",
        KeyedCallReply::Unknown { .. } => "unknown",
        KeyedCallReply::Moved { .. } => "moved",
        KeyedCallReply::NotHome { .. } => "not-home",
        KeyedCallReply::Reused => "reused",
    }
}

fn reply_message(attempt: AttemptId, reply: KeyedCallReply) -> (Reply, Bytes) {
    let without_body = |outcome, code: Code| {
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
        KeyedCallReply::Ran(kept) => {
            let code = if kept.body.is_none() { Code::AnswerNotKept.number() } else { 0 };
            let body = kept.body.unwrap_or_default();
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
        KeyedCallReply::NotRun { code } => without_body(Outcome::NotRun, code),
        KeyedCallReply::Unknown { code } => without_body(Outcome::Unknown, code),
        KeyedCallReply::Reused => without_body(Outcome::NotRun, Code::KeyReused),
        KeyedCallReply::Moved { home } => (Reply::Moved { attempt, home: home.vm }, Bytes::new()),
        KeyedCallReply::NotHome { code } => (Reply::NotHome { attempt, code: code.number() }, Bytes::new()),
    }
}
