//! Drives one call: performs the actions of its state machine and passes the results back to it.

use std::future::pending;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::{LocalBoxFuture, ready};
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::attempt::{AttemptEnd, SentAttempt};
use super::call::{Call, CallRule, CallerCall};
use super::message::{CallAction, CallEvent, Dispatch, Placed, Verdict};
use super::run::Placer;
use crate::clock::Moment;
use crate::code::Code;
use crate::gate::AttemptId;
use crate::link::message::{AnswerHead, CallHead};

/// Drives a call to its end and sends the result to `reply`. Operations that are still pending then are dropped.
pub(super) async fn drive(
    placer: Rc<Placer>,
    head: CallHead,
    body: Bytes,
    rule: CallRule,
    reply: oneshot::Sender<Placed>,
) {
    let deadline = Moment::now() + Duration::from_millis(head.deadline_ms.into());
    let mut call = Call::new(rule, placer.entry)
        .made_by_repeat(head.repeat_permille)
        .made_by_run(head.made_by_run)
        .with_traffic(placer.traffic(&head, &body));
    if !head.made_by_run {
        call = call.of_caller(caller_call(&head));
    }
    let driver = CallDriver {
        call,
        probes_before_hedge: rule.demand.is_some(),
        reply: Some(reply),
        pending_operations: FuturesUnordered::new(),
        answers: Vec::new(),
        sent: Vec::new(),
        actions: Vec::new(),
        hedge_at: None,
        deadline,
        is_past_deadline: false,
        head,
        body,
        placer,
    };
    driver.run().await;
}

fn caller_call(head: &CallHead) -> CallerCall {
    let mut hasher = DefaultHasher::new();
    (&head.route, &head.account, &head.call_id).hash(&mut hasher);
    CallerCall { id: hasher.finish(), priority: head.priority, deadline_us: u64::from(head.deadline_ms) * 1000 }
}

/// One call with its pending operations.
struct CallDriver {
    call: Call,
    /// Whether the owner is probed before a hedge is decided on.
    probes_before_hedge: bool,
    /// Channel for the result; none once the result is sent.
    reply: Option<oneshot::Sender<Placed>>,
    pending_operations: FuturesUnordered<LocalBoxFuture<'static, AttemptEnd>>,
    answers: Vec<(AnswerHead, Bytes)>,
    /// Attempts that were sent.
    sent: Vec<SentAttempt>,
    /// Reused buffer; empty between two events.
    actions: Vec<CallAction>,
    hedge_at: Option<Moment>,
    deadline: Moment,
    /// Whether the deadline has passed.
    is_past_deadline: bool,
    head: CallHead,
    body: Bytes,
    placer: Rc<Placer>,
}

impl CallDriver {
    async fn run(mut self) {
        let mut event = Some(CallEvent::Begin);
        loop {
            if let Some(event) = event
                && !self.handle(event)
            {
                let verdict = self.call.verdict_without_service();
                self.finish(Placed::Verdict(verdict));
                return;
            }
            if self.is_over() {
                return;
            }
            event = self.next_event().await;
        }
    }

    /// Passes an event to the state machine and performs its actions. Returns whether the service is known.
    fn handle(&mut self, event: CallEvent) -> bool {
        let mut actions = std::mem::take(&mut self.actions);
        let decided = self.placer.decide(&self.head.service, |cx| self.call.handle(event, cx, &mut actions));
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        decided.is_some()
    }

    fn perform(&mut self, action: CallAction) {
        match action {
            CallAction::Send(dispatch) => self.send(dispatch),
            CallAction::Cancel { attempt, .. } => self.cancel(attempt),
            CallAction::ArmHedge { after_us } => {
                self.hedge_at = Some(Moment::now() + Duration::from_micros(after_us));
            }
            CallAction::Finish(verdict) => {
                let placed = self.placed(verdict);
                self.finish(placed);
            }
        }
    }

    /// Sends an attempt. Its server is looked up now, before any other event can change the view.
    fn send(&mut self, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let Some(recipient) = self.placer.recipient(&self.head.service, dispatch.server) else {
            self.pending_operations.push(Box::pin(ready((CallEvent::Unsent { attempt }, None))));
            return;
        };
        self.sent.push(SentAttempt { attempt, sent_at: Moment::now(), recipient: recipient.clone() });
        let sending = self.placer.clone().send(&self.head, &self.body, dispatch, recipient, self.deadline);
        self.pending_operations.push(sending);
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let cancelling = match self.sent.iter().find(|sent| sent.attempt == attempt) {
            Some(sent) => self.placer.clone().cancel(&self.head, sent),
            None => Box::pin(ready((CallEvent::CancelResult { attempt, result: None }, None))),
        };
        self.pending_operations.push(cancelling);
    }

    /// Returns whether the call is over. Attempts that are still in flight are abandoned then.
    fn is_over(&mut self) -> bool {
        if self.call.closed() {
            return true;
        }
        let caller_disconnected = self.reply.as_ref().is_some_and(oneshot::Sender::is_closed);
        if caller_disconnected {
            log::info!("event=call.abandoned call={}", self.head.call_id);
        }
        // Dropping the pending operations makes the owners stop: the result of a run that lost to a hedge, or whose
        // caller has disconnected, is not used.
        let over = caller_disconnected || self.call.finished();
        if over {
            self.placer.decide(&self.head.service, |cx| self.call.abandon(cx));
        }
        over
    }

    /// Waits for the next event; none if there is nothing to pass to the state machine.
    async fn next_event(&mut self) -> Option<CallEvent> {
        tokio::select! {
            Some((event, answer)) = self.pending_operations.next(), if !self.pending_operations.is_empty() => {
                self.answers.extend(answer);
                Some(event)
            }
            () = sleep_until(self.hedge_at) => {
                self.hedge_at = None;
                self.hedge_event()
            }
            () = disconnected(&mut self.reply) => None,
            () = sleep(self.deadline.left()), if !self.is_past_deadline => {
                self.is_past_deadline = true;
                Some(CallEvent::DeadlineDue)
            }
        }
    }

    /// Returns the event of a due hedge. Where the owner is probed first, returns none, and the end of the probe brings
    /// the event.
    fn hedge_event(&mut self) -> Option<CallEvent> {
        let service = &self.head.service;
        let in_flight = self.call.server_in_flight().filter(|_| self.probes_before_hedge);
        match in_flight.and_then(|server| self.placer.recipient(service, server)) {
            Some(recipient) => {
                self.pending_operations.push(self.placer.clone().probe_before_hedge(service.clone(), recipient));
                None
            }
            None => Some(CallEvent::HedgeDue),
        }
    }

    fn finish(&mut self, placed: Placed) {
        if let Some(reply) = self.reply.take() {
            // A caller that has disconnected needs no answer.
            let _ = reply.send(placed);
        }
    }

    /// Returns the result for the caller, with the answer that the verdict refers to.
    fn placed(&mut self, verdict: Verdict) -> Placed {
        let Verdict::Answer(attempt) = verdict else {
            return Placed::Verdict(verdict);
        };
        match self.answers.iter().position(|(head, _)| head.attempt == attempt) {
            Some(at) => {
                let (head, body) = self.answers.swap_remove(at);
                Placed::Answer(head, body)
            }
            None => Placed::Verdict(Verdict::Unknown { code: Code::ServerFailed }),
        }
    }
}

/// Waits until the caller stops waiting for the result; never ends once the result is sent.
async fn disconnected(reply: &mut Option<oneshot::Sender<Placed>>) {
    match reply {
        Some(reply) => reply.closed().await,
        None => pending().await,
    }
}

async fn sleep_until(at: Option<Moment>) {
    match at {
        Some(at) => sleep(at.left()).await,
        None => pending().await,
    }
}
