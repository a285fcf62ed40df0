//! How attempts of a call end, and what follows.

use super::{AttemptState, Call, CallContext};
use crate::code::Code;
use crate::gate::{AttemptId, BounceReason, CancelResult, Patience};
use crate::placement::message::{CallAction, SendCause, ServerIndex, Verdict};

impl Call {
    /// Takes a whole answer of an attempt: the verdict, unless it is a failure that may be repeated.
    pub(super) fn ran(&mut self, id: AttemptId, healthy: bool, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.close(id, AttemptState::Lost, cx) else {
            return;
        };
        let server = self.server(at);
        cx.view.judge(server, healthy, cx.now_us);
        cx.view.found_full(false, cx.now_us);
        if self.finished {
            return;
        }
        if !healthy && !self.past_deadline && self.may_repeat(SendCause::Retry, cx) {
            self.failing_answer = Some(id);
            self.excluded.insert(server);
            if self.send_next(SendCause::Retry, cx, out).is_some() {
                return;
            }
        }
        self.finish(Verdict::Answer(id), out);
    }

    /// Takes an attempt that its owner gave back.
    pub(super) fn bounced(
        &mut self,
        id: AttemptId,
        reason: BounceReason,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) {
        let Some(at) = self.close(id, AttemptState::NeverStarted, cx) else {
            return;
        };
        let server = self.server(at);
        self.last_code = bounce_code(reason);
        note_bounce(server, reason, cx);
        cx.view.found_full(reason == BounceReason::Full, cx.now_us);
        if self.finished {
            return;
        }
        if self.past_deadline || reason == BounceReason::Cancelled {
            self.settle(cx, out);
            return;
        }
        if self.patience(at) == Patience::None && self.outstanding() > 0 {
            // A hedge that found no free slot is no loss; the first attempt goes on.
            return;
        }
        if matches!(self.patience(at), Patience::Long | Patience::Last) && reason == BounceReason::Full {
            // It was the last resort, so no server has room.
            self.settle(cx, out);
            return;
        }
        if reason == BounceReason::Rejected {
            self.after_rejection(server, cx, out);
            return;
        }
        if matches!(reason, BounceReason::RepeatRefused | BounceReason::Quarantined) {
            // The services that the run would call are near their budgets at any owner, or each of them knows
            // what the call does to upstreams; another one would only be asked to say so.
            self.settle(cx, out);
            return;
        }
        self.spend_allowances(server, reason, cx);
        // Whoever was let in and has waited is not to be turned away for a full queue.
        self.waited |= reason == BounceReason::Stalled;
        // None of these is a sign of load elsewhere, so they cost no allowance.
        let free = matches!(
            reason,
            BounceReason::Leaving
                | BounceReason::Evacuated
                | BounceReason::Stalled
                | BounceReason::NotReady
                | BounceReason::Slow
        );
        self.move_on(server, free, SendCause::Unreached, cx, out);
    }

    /// Decides after an upstream has rejected an attempt.
    ///
    /// It was reached, so going to another one adds to its service's load as any repeat does, and a
    /// service that rejects everywhere is overloaded. Guards the fleet's budget of repeats: with half
    /// of all arrivals rejected, 1,249 of 1,200 calls in ten seconds were repeats where 298 are allowed
    /// (ten nodes in virtual time).
    fn after_rejection(&mut self, server: ServerIndex, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if !cx.budgets.repeat(SendCause::Rejected, cx.now_us) {
            self.settle(cx, out);
            return;
        }
        self.move_on(server, false, SendCause::Rejected, cx, out);
    }

    /// Counts a bounce against the allowances that only some reasons have.
    fn spend_allowances(&mut self, server: ServerIndex, reason: BounceReason, cx: &CallContext<'_>) {
        if reason == BounceReason::Full && cx.view.is_far(server) {
            self.far_bounces_left = self.far_bounces_left.saturating_sub(1);
        }
        if reason == BounceReason::Slow {
            self.slow_bounces_left = self.slow_bounces_left.saturating_sub(1);
        }
    }

    /// Takes the loss of an attempt that has started.
    pub(super) fn failed(&mut self, id: AttemptId, code: Code, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.close(id, AttemptState::Lost, cx) else {
            return;
        };
        cx.view.judge(self.server(at), false, cx.now_us);
        self.last_code = code;
        self.lost_code = Some(code);
        self.after_loss(self.server(at), cx, out);
    }

    /// Takes an attempt whose owner was not reached.
    pub(super) fn unsent(&mut self, id: AttemptId, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.close(id, AttemptState::NeverStarted, cx) else {
            return;
        };
        let server = self.server(at);
        cx.view.suspect(server, cx.now_us);
        self.last_code = Code::LinkRefused;
        if self.finished {
            return;
        }
        if self.past_deadline {
            self.settle(cx, out);
            return;
        }
        self.move_on(server, true, SendCause::Unreached, cx, out);
    }

    /// Takes the loss of the link under an attempt, whose owner is then asked.
    pub(super) fn broken(&mut self, id: AttemptId, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.find(id) else {
            return;
        };
        if self.state(at) != AttemptState::Sent {
            return;
        }
        cx.view.suspect(self.server(at), cx.now_us);
        self.last_code = Code::LinkLost;
        self.ask(at, out);
    }

    /// Takes the owner's word on an attempt that it was asked about.
    pub(super) fn cancelled(
        &mut self,
        id: AttemptId,
        result: Option<CancelResult>,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) {
        let Some(at) = self.find(id) else {
            return;
        };
        if self.state(at) != AttemptState::Asked {
            return;
        }
        let state = match result {
            Some(CancelResult::NeverStarted | CancelResult::Rejected) => AttemptState::NeverStarted,
            Some(CancelResult::Started) | None => AttemptState::Lost,
        };
        self.close(id, state, cx);
        if self.finished {
            return;
        }
        if self.past_deadline {
            self.settle(cx, out);
            return;
        }
        let server = self.server(at);
        match result {
            Some(CancelResult::NeverStarted) => self.move_on(server, true, SendCause::Unreached, cx, out),
            Some(CancelResult::Rejected) => self.after_rejection(server, cx, out),
            Some(CancelResult::Started) | None => self.after_loss(server, cx, out),
        }
    }

    /// Goes to another server after an attempt that certainly did not start.
    fn move_on(
        &mut self,
        server: ServerIndex,
        free: bool,
        cause: SendCause,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) {
        self.excluded.insert(server);
        if !free {
            self.bounces_left = self.bounces_left.saturating_sub(1);
        }
        if self.send_next(cause, cx, out).is_none() && !self.send_last(cause, cx, out) {
            self.settle(cx, out);
        }
    }

    /// Decides after an attempt that may have started brought no answer.
    fn after_loss(&mut self, server: ServerIndex, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.finished {
            return;
        }
        self.excluded.insert(server);
        if !self.past_deadline
            && self.may_repeat(SendCause::Retry, cx)
            && self.send_next(SendCause::Retry, cx, out).is_some()
        {
            return;
        }
        self.settle(cx, out);
    }

    /// Takes a repeat out of the call's own allowance and its service's budget, if both have one.
    pub(super) fn may_repeat(&mut self, cause: SendCause, cx: &mut CallContext<'_>) -> bool {
        if !self.rule.repeatable || self.retries_left == 0 || !cx.budgets.repeat(cause, cx.now_us) {
            return false;
        }
        self.retries_left -= 1;
        true
    }
}

/// Tells the view what a bounce says of its server.
fn note_bounce(server: ServerIndex, reason: BounceReason, cx: &mut CallContext<'_>) {
    match reason {
        BounceReason::Leaving => cx.view.set_leaving(server),
        BounceReason::Refused | BounceReason::Rejected => cx.view.judge(server, false, cx.now_us),
        BounceReason::NotReady => cx.view.suspect(server, cx.now_us),
        BounceReason::Full
        | BounceReason::Stalled
        | BounceReason::Slow
        | BounceReason::Evacuated
        | BounceReason::Cancelled
        | BounceReason::RepeatRefused
        | BounceReason::Quarantined => {}
    }
}

const fn bounce_code(reason: BounceReason) -> Code {
    match reason {
        BounceReason::Full | BounceReason::Stalled | BounceReason::Slow | BounceReason::RepeatRefused => {
            Code::Overloaded
        }
        BounceReason::Leaving | BounceReason::Evacuated => Code::Leaving,
        BounceReason::Cancelled => Code::Cancelled,
        BounceReason::Quarantined => Code::Quarantined,
        BounceReason::Refused | BounceReason::Rejected | BounceReason::NotReady => Code::ServerRefused,
    }
}
