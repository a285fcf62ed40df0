//! The life of one call at its entry, as a pure state machine.
//!
//! What holds whatever happens: work that may not repeat has at most one attempt that may have
//! started; `NotRun` is said only when every attempt that was sent was given back or is under the
//! owner's word that it never starts; exactly one verdict is given.

mod choice;
mod end;

use super::message::{CallAction, CallEvent, Demand, QUARANTINED, SendCause, ServerIndex, Verdict};
use super::repeat::{RepeatBudget, RepeatPromise};
use super::set::ServerSet;
use super::view::ServiceView;
use crate::code::Code;
use crate::gate::{AttemptId, PERMILLE, Patience};

/// Most attempts of one call that are remembered; a call makes fewer.
const MAX_ATTEMPTS: usize = 12;
/// How often owners may give a call back because it is worth more elsewhere: of machines that are
/// slow a third of the time, four in a row hardly ever are.
const SLOW_BOUNCES: u8 = 4;
/// How often owners in other failure domains may give a call back for want of room: its bytes are
/// paid for each time, and where the own domain is full others often are too.
const FAR_BOUNCES: u8 = 1;
/// A second run is taken to need this share of the usual time, in hundredths.
const HEDGE_RUN_PERCENT: u64 = 130;
/// Shortest time that a caller is told to stay away, in milliseconds.
const RETRY_AFTER_MIN_MS: u32 = 50;
/// Longest time that a caller is told to stay away, in milliseconds.
const RETRY_AFTER_MAX_MS: u32 = 1_000;
/// A caller is told to come back within this part of what its objective leaves beyond a run, as a
/// divisor.
const RETURN_SHARE: u64 = 2;

/// How calls of one route are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRule {
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// How often owners may give one call back.
    pub bounces: u8,
    /// How often repeatable work is tried again after it may have started.
    pub retries: u8,
    /// Delay before a hedge in hundredths of the usual service time; none turns hedges off.
    pub hedge_after_percent: Option<u32>,
    /// What the call asks of a server; none where it has no objective.
    pub demand: Option<Demand>,
}

/// Budgets that all calls of one service at one entry share.
#[derive(Debug, Clone, Copy)]
pub struct Budgets {
    /// Every attempt that may arrive past the first of its call, but for what `hedge` pays.
    pub retry: RepeatBudget,
    /// Attempts beside one that takes long, of calls without an objective; none where `retry` pays
    /// them as well.
    pub hedge: Option<RepeatBudget>,
    /// Repeats that were not sent for want of budget, until the shell has counted them.
    pub refused: RepeatsRefused,
}

impl Budgets {
    /// Makes budgets that have refused nothing yet.
    pub fn new(retry: RepeatBudget, hedge: RepeatBudget) -> Self {
        Self { retry, hedge: Some(hedge), refused: RepeatsRefused::default() }
    }

    /// Makes the part of a fleet's promise that an entry keeps from its start on; it pays all repeats.
    pub fn of_fleet(promise: RepeatPromise, now_us: u64) -> Self {
        Self { retry: RepeatBudget::of_fleet(promise, now_us), hedge: None, refused: RepeatsRefused::default() }
    }

    /// Counts a call that is a repeat itself by this chance, in thousandths.
    fn begin(&mut self, repeat_permille: u16, now_us: u64) {
        let repeat = f64::from(repeat_permille) / PERMILLE;
        self.retry.begin(repeat, now_us);
        if let Some(hedge) = &mut self.hedge {
            hedge.begin(repeat, now_us);
        }
    }

    /// Takes a repeat out of the budget that pays for its cause, if it has one left.
    fn repeat(&mut self, cause: SendCause, now_us: u64) -> bool {
        let granted = self.retry.take(now_us);
        if !granted {
            self.refused.count(cause);
        }
        granted
    }
}

/// Numbers of repeats that were not sent for want of budget, by cause.
#[derive(Debug, Clone, Copy, Default)]
pub struct RepeatsRefused([u64; SendCause::PAID.len()]);

impl RepeatsRefused {
    fn count(&mut self, cause: SendCause) {
        if let Some(at) = SendCause::PAID.iter().position(|paid| *paid == cause) {
            self.0[at] += 1;
        }
    }

    /// Takes the numbers out, cause by cause, and starts from zero again.
    pub fn drain(&mut self) -> impl Iterator<Item = (SendCause, u64)> + use<> {
        let counts = std::mem::take(&mut self.0);
        SendCause::PAID.into_iter().zip(counts).filter(|(_, count)| *count > 0)
    }
}

/// What a call works with while it handles one event.
pub struct CallContext<'a> {
    /// The entry's view of the service.
    pub view: &'a mut ServiceView,
    /// The service's budgets.
    pub budgets: &'a mut Budgets,
    /// Seeded random numbers.
    pub rng: &'a mut fastrand::Rng,
    /// The moment, on this process's monotonic clock, in microseconds.
    pub now_us: u64,
    /// Draws the number of the next attempt.
    pub next_seq: &'a mut u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Sent,
    /// The link broke or the deadline passed, and the owner was asked.
    Asked,
    /// The owner gave it back, or says that it never starts.
    NeverStarted,
    /// It may have run, and no answer will come.
    Lost,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    id: AttemptId,
    server: ServerIndex,
    patience: Patience,
    state: AttemptState,
}

/// State of one call at its entry.
#[derive(Debug)]
pub struct Call {
    rule: CallRule,
    entry: u64,
    attempts: [Option<Attempt>; MAX_ATTEMPTS],
    count: usize,
    excluded: ServerSet,
    /// Servers that get no call as usual, since their service is rolled out.
    barred: ServerSet,
    /// Whether a run made it.
    made_by_run: bool,
    bounces_left: u8,
    slow_bounces_left: u8,
    far_bounces_left: u8,
    retries_left: u8,
    hedged: bool,
    /// When the call came, in microseconds.
    began_us: u64,
    /// Whether a stall has turned the call out of a queue.
    waited: bool,
    /// Whether an attempt was let wait come what may.
    last_resort: bool,
    past_deadline: bool,
    last_code: Code,
    /// Chance that the call was made by a repeated run, in thousandths.
    repeat_permille: u16,
    /// Whether a repeat was paid for, so that attempts from then on may arrive past the first.
    repeated: bool,
    /// The last attempt whose answer was a failure of the upstream's own.
    failing_answer: Option<AttemptId>,
    /// Why the last attempt that may have run brought no answer.
    lost_code: Option<Code>,
    finished: bool,
}

impl Call {
    /// Makes a call that waits for [`CallEvent::Begin`].
    pub fn new(rule: CallRule, entry: u64) -> Self {
        Self {
            rule,
            entry,
            attempts: [None; MAX_ATTEMPTS],
            count: 0,
            excluded: ServerSet::default(),
            barred: ServerSet::default(),
            bounces_left: rule.bounces,
            slow_bounces_left: SLOW_BOUNCES,
            far_bounces_left: FAR_BOUNCES,
            retries_left: rule.retries,
            hedged: false,
            began_us: 0,
            waited: false,
            last_resort: false,
            past_deadline: false,
            last_code: Code::NoServer,
            repeat_permille: 0,
            repeated: false,
            made_by_run: false,
            failing_answer: None,
            lost_code: None,
            finished: false,
        }
    }

    /// Says by which chance the call was made by a repeated run, in thousandths.
    #[must_use]
    pub fn made_by_repeat(self, repeat_permille: u16) -> Self {
        Self { repeat_permille, ..self }
    }

    /// Says whether a run made the call: the work that waits for it is lost with it, so that it is given
    /// back by as many owners as its rule allows however full the service is.
    #[must_use]
    pub fn made_by_run(self, made_by_run: bool) -> Self {
        Self { made_by_run, ..self }
    }

    /// Returns how many attempts were sent.
    pub fn attempts(&self) -> usize {
        self.count
    }

    /// Returns the server of the attempt that is out, if there is just one.
    pub fn waits_for(&self) -> Option<ServerIndex> {
        let mut sent = self.attempts.iter().flatten().filter(|attempt| attempt.state == AttemptState::Sent);
        let server = sent.next()?.server;
        sent.next().is_none().then_some(server)
    }

    /// Returns whether the verdict was given and no attempt is out.
    pub fn closed(&self) -> bool {
        self.finished && self.outstanding() == 0
    }

    /// Returns whether the verdict was given.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Takes back all attempts that are out, since nobody waits for the call any more.
    pub fn abandon(&mut self, cx: &mut CallContext<'_>) {
        self.finished = true;
        for at in 0..self.count {
            let open = matches!(self.state(at), AttemptState::Sent | AttemptState::Asked);
            if let (true, Some(attempt)) = (open, self.attempts[at]) {
                self.close(attempt.id, AttemptState::Lost, cx);
            }
        }
    }

    /// Takes one event and appends what must be done to `out`.
    pub fn handle(&mut self, event: CallEvent, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        match event {
            CallEvent::Begin => self.begin(cx, out),
            CallEvent::Ran { attempt, healthy } => self.ran(attempt, healthy, cx, out),
            CallEvent::Bounced { attempt, reason } => self.bounced(attempt, reason, cx, out),
            CallEvent::Failed { attempt, code } => self.failed(attempt, code, cx, out),
            CallEvent::Unsent { attempt } => self.unsent(attempt, cx, out),
            CallEvent::Broken { attempt } => self.broken(attempt, cx, out),
            CallEvent::CancelResult { attempt, result } => self.cancelled(attempt, result, cx, out),
            CallEvent::HedgeDue => self.hedge(cx, out),
            CallEvent::DeadlineDue => self.deadline(cx, out),
        }
    }

    fn begin(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.count > 0 || self.finished {
            return;
        }
        self.began_us = cx.now_us;
        cx.budgets.begin(self.repeat_permille, cx.now_us);
        if !self.made_by_run {
            self.bounces_left = cx.view.bounces(self.rule.bounces, cx.now_us);
        }
        let Some(server) = self.send_first(cx, out) else {
            self.settle(cx, out);
            return;
        };
        if let (true, Some(demand)) = (self.rule.repeatable && self.retries_left > 0, self.rule.demand) {
            // The last moment at which a second run would still end in time.
            let run_us = u64::from(demand.work_us) * HEDGE_RUN_PERCENT / 100;
            let after_us = demand.left_us.saturating_sub(run_us).max(demand.work_us.into());
            out.push(CallAction::ArmHedge { after_us });
            return;
        }
        if let (true, Some(percent)) = (self.rule.repeatable, self.rule.hedge_after_percent) {
            let after_us = u64::from(cx.view.service_us(server)) * u64::from(percent) / 100;
            out.push(CallAction::ArmHedge { after_us });
        }
    }

    fn hedge(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let idle = self.finished || self.past_deadline || self.hedged || !self.rule.repeatable;
        if idle || self.outstanding() != 1 || self.count >= MAX_ATTEMPTS {
            return;
        }
        let mut tried = self.excluded;
        for attempt in self.attempts.iter().flatten() {
            tried.insert(attempt.server);
        }
        let Some(server) = self.pick(tried, cx) else {
            return;
        };
        if !self.may_hedge(server, cx) {
            return;
        }
        self.hedged = true;
        self.send(server, Patience::None, SendCause::Hedge, cx, out);
    }

    fn deadline(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.finished || self.past_deadline {
            return;
        }
        self.past_deadline = true;
        self.last_code = Code::DeadlinePassed;
        self.ask_all(out);
        self.settle(cx, out);
    }

    /// Gives the verdict when no attempt can bring an answer any more.
    fn settle(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.finished || self.outstanding() > 0 {
            return;
        }
        let lost = self.attempts.iter().flatten().any(|attempt| attempt.state == AttemptState::Lost);
        let verdict = if let Some(answer) = self.failing_answer {
            // The upstream's own word on its failure tells the caller more than that it may have run.
            Verdict::Answer(answer)
        } else if lost {
            // What came after the loss, such as a full server, does not tell why it may have run.
            Verdict::Unknown { code: self.lost_code.unwrap_or(self.last_code) }
        } else {
            self.not_run(cx)
        };
        self.finish(verdict, out);
    }

    /// Returns the verdict on a call of which no attempt has started, with when to come back.
    fn not_run(&self, cx: &mut CallContext<'_>) -> Verdict {
        match self.last_code {
            Code::Quarantined => QUARANTINED,
            code => Verdict::NotRun { code, retry_after_ms: retry_after_ms(self.rule.demand, cx.rng) },
        }
    }

    /// Asks the owners of all attempts that are out.
    fn ask_all(&mut self, out: &mut Vec<CallAction>) {
        for at in 0..self.count {
            if self.state(at) == AttemptState::Sent {
                self.ask(at, out);
            }
        }
    }

    /// Asks the owner of an attempt whether it may have started, and to drop it if not.
    fn ask(&mut self, at: usize, out: &mut Vec<CallAction>) {
        let Some(attempt) = self.attempts[at].as_mut() else {
            return;
        };
        attempt.state = AttemptState::Asked;
        out.push(CallAction::Cancel { attempt: attempt.id, server: attempt.server });
    }

    fn finish(&mut self, verdict: Verdict, out: &mut Vec<CallAction>) {
        self.finished = true;
        // What still runs is of no use; an owner that holds it in its queue can drop it.
        self.ask_all(out);
        out.push(CallAction::Finish(verdict));
    }

    /// Closes an attempt that is still open, and returns its place.
    fn close(&mut self, id: AttemptId, state: AttemptState, cx: &mut CallContext<'_>) -> Option<usize> {
        let at = self.find(id)?;
        let attempt = self.attempts[at].as_mut()?;
        if !matches!(attempt.state, AttemptState::Sent | AttemptState::Asked) {
            return None;
        }
        attempt.state = state;
        cx.view.returned(attempt.server);
        Some(at)
    }

    fn find(&self, id: AttemptId) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.is_some_and(|attempt| attempt.id == id))
    }

    fn server(&self, at: usize) -> ServerIndex {
        self.attempts[at].map_or(0, |attempt| attempt.server)
    }

    fn patience(&self, at: usize) -> Patience {
        self.attempts[at].map_or(Patience::Long, |attempt| attempt.patience)
    }

    fn state(&self, at: usize) -> AttemptState {
        self.attempts[at].map_or(AttemptState::Lost, |attempt| attempt.state)
    }

    fn outstanding(&self) -> usize {
        let open = |attempt: &&Attempt| matches!(attempt.state, AttemptState::Sent | AttemptState::Asked);
        self.attempts.iter().flatten().filter(open).count()
    }
}

/// Returns when a caller is to come back: spread, so that callers do not come together, and soon enough
/// to be in time still.
///
/// Of callers that came back within a second most were served too late to be of use, in slots that
/// others could have been served from in time. A fleet of 195 VMs in virtual time, in a burst of 1.8
/// times its load, three seeds: 1,355 late answers of 16,400 with it, 972 so, and 0.850 and 0.861 of the
/// worth served.
fn retry_after_ms(demand: Option<Demand>, rng: &mut fastrand::Rng) -> u32 {
    let longest_ms = demand.map_or(RETRY_AFTER_MAX_MS, |demand| {
        let spare_us = demand.left_us.saturating_sub(demand.work_us.into());
        (spare_us / RETURN_SHARE / 1000).min(RETRY_AFTER_MAX_MS.into()) as u32
    });
    rng.u32(RETRY_AFTER_MIN_MS..=longest_ms.max(2 * RETRY_AFTER_MIN_MS))
}
