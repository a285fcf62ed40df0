//! End of a call's attempts, and the decision that follows.

use super::{Call, CallContext};
use crate::code::Code;
use crate::gate::{AttemptId, CancelResult, DeclineReason, QueueTimeout};
use crate::placement::message::{CallAction, SendCause, ServerIndex, Verdict};
use crate::placement::never_runs::AttemptState;

impl Call {
    /// Handles a complete answer of an attempt. It becomes the verdict unless it is a failure that may be retried.
    pub(super) fn ran(&mut self, id: AttemptId, healthy: bool, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.close(id, AttemptState::Lost, cx) else {
            return;
        };
        let server = self.server(at);
        cx.view.record_health(server, healthy, cx.now_us);
        cx.view.record_full(false, cx.now_us);
        if self.finished {
            return;
        }
        if healthy {
            self.record_served(cx);
        }
        if !healthy && !self.past_deadline {
            self.excluded.insert(server);
            if self.send_retry(cx, out) {
                self.failing_answer = Some(id);
                return;
            }
        }
        self.finish(Verdict::Answer(id), out);
    }

    /// Handles an attempt that its owner declined.
    pub(super) fn declined(
        &mut self,
        id: AttemptId,
        reason: DeclineReason,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) {
        let is_rejected = reason == DeclineReason::Rejected;
        let state = if is_rejected { AttemptState::Rejected } else { AttemptState::NeverStarted };
        let Some(at) = self.close(id, state, cx) else {
            return;
        };
        let server = self.server(at);
        self.last_code = decline_code(reason);
        record_decline(server, reason, cx);
        let is_full = matches!(reason, DeclineReason::Full | DeclineReason::RateLimited);
        cx.view.record_full(is_full, cx.now_us);
        if self.finished {
            return;
        }
        if self.past_deadline || reason == DeclineReason::Cancelled {
            self.settle(cx, out);
            return;
        }
        if self.patience(at) == QueueTimeout::None && self.outstanding() > 0 {
            // A hedge that found no free slot is no loss; the first attempt continues.
            return;
        }
        if matches!(self.patience(at), QueueTimeout::Long | QueueTimeout::Last) && is_full {
            // The attempt was the last resort, so no server of the region has room.
            if !self.send_across(SendCause::Unreached, cx, out) {
                self.settle(cx, out);
            }
            return;
        }
        if is_rejected {
            self.after_rejection(server, cx, out);
            return;
        }
        if matches!(reason, DeclineReason::RepeatRefused | DeclineReason::Quarantined) {
            // The services that the run would call are near their budgets at any owner, or every owner has a record of
            // the call's crashes; another owner would only decline it as well.
            self.settle(cx, out);
            return;
        }
        self.charge_allowances(server, reason, cx);
        // A call that was admitted and has waited must not be declined for a full queue later.
        self.declined_by_stall |= reason == DeclineReason::Stalled;
        // None of these reasons is a sign of load elsewhere, so they are not charged to the allowance.
        let is_uncharged = matches!(
            reason,
            DeclineReason::Leaving
                | DeclineReason::Evacuated
                | DeclineReason::Stalled
                | DeclineReason::NotReady
                | DeclineReason::Slow
                | DeclineReason::ServiceRemoved
        );
        self.try_next_server(server, is_uncharged, SendCause::Unreached, cx, out);
    }

    /// Decides after an upstream has rejected an attempt.
    ///
    /// The attempt reached the upstream, so sending it to another one adds to the load of the service like any repeat,
    /// and a service that rejects everywhere is overloaded. Without the charge, 1,249 repeats of 1,200 calls arrived in
    /// ten seconds where 298 are allowed, with half of all arrivals rejected.
    fn after_rejection(&mut self, server: ServerIndex, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if !cx.budgets.has_repeat(SendCause::Rejected, cx.now_us) {
            self.settle(cx, out);
            return;
        }
        self.try_next_server(server, false, SendCause::Rejected, cx, out);
    }

    /// Charges a decline to the allowances that apply only to some reasons.
    fn charge_allowances(&mut self, server: ServerIndex, reason: DeclineReason, cx: &CallContext<'_>) {
        let is_full = matches!(reason, DeclineReason::Full | DeclineReason::RateLimited);
        if is_full && cx.view.is_cross_domain(server) && cx.view.region_link(server).is_none() {
            self.cross_domain_declines_left = self.cross_domain_declines_left.saturating_sub(1);
        }
        if reason == DeclineReason::Slow {
            self.slow_declines_left = self.slow_declines_left.saturating_sub(1);
        }
    }

    /// Handles the loss of an attempt that has started.
    pub(super) fn failed(&mut self, id: AttemptId, code: Code, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.close(id, AttemptState::Lost, cx) else {
            return;
        };
        cx.view.record_health(self.server(at), false, cx.now_us);
        self.last_code = code;
        self.lost_code = Some(code);
        self.after_loss(self.server(at), cx, out);
    }

    /// Handles an attempt whose owner was not reached.
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
        self.try_next_server(server, true, SendCause::Unreached, cx, out);
    }

    /// Handles the loss of the link under an attempt by sending its owner a cancel.
    pub(super) fn broken(&mut self, id: AttemptId, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let Some(at) = self.find(id) else {
            return;
        };
        if self.state(at) != AttemptState::Sent {
            return;
        }
        cx.view.suspect(self.server(at), cx.now_us);
        self.last_code = Code::LinkLost;
        self.send_cancel(at, out);
    }

    /// Handles the owner's reply to a cancel.
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
        if self.state(at) != AttemptState::CancelSent {
            return;
        }
        let state = match result {
            Some(CancelResult::NeverStarted) => AttemptState::NeverStarted,
            Some(CancelResult::Rejected) => AttemptState::Rejected,
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
            Some(CancelResult::NeverStarted) => self.try_next_server(server, true, SendCause::Unreached, cx, out),
            Some(CancelResult::Rejected) => self.after_rejection(server, cx, out),
            Some(CancelResult::Started) | None => self.after_loss(server, cx, out),
        }
    }

    /// Sends another attempt after one that certainly did not start, and charges it if it may arrive after an earlier one.
    fn try_next_server(
        &mut self,
        server: ServerIndex,
        is_uncharged: bool,
        cause: SendCause,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) {
        self.excluded.insert(server);
        if !is_uncharged {
            self.declines_left = self.declines_left.saturating_sub(1);
        }
        let is_sent = self.send_next(cause, cx, out).is_some()
            || self.send_across(cause, cx, out)
            || self.send_last(cause, cx, out);
        match is_sent {
            true if cause.is_charged() => cx.budgets.charge_repeat(cx.now_us),
            true => {}
            false => self.settle(cx, out),
        }
    }

    /// Decides after an attempt that may have started returned no answer.
    fn after_loss(&mut self, server: ServerIndex, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.finished {
            return;
        }
        self.excluded.insert(server);
        if self.past_deadline || !self.send_retry(cx, out) {
            self.settle(cx, out);
        }
    }

    /// Sends a retry if there is a server for it and one is left; returns whether it was sent.
    fn send_retry(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) -> bool {
        if !self.may_repeat(SendCause::Retry, cx) || self.send_next(SendCause::Retry, cx, out).is_none() {
            return false;
        }
        self.charge_repeat(cx);
        true
    }

    /// Returns whether the call's own allowance and its service's budget have a repeat left.
    pub(super) fn may_repeat(&mut self, cause: SendCause, cx: &mut CallContext<'_>) -> bool {
        self.rule.repeatable && self.retries_left > 0 && cx.budgets.has_repeat(cause, cx.now_us)
    }

    /// Charges a repeat that is sent to the call's own allowance and its service's budget.
    pub(super) fn charge_repeat(&mut self, cx: &mut CallContext<'_>) {
        self.retries_left = self.retries_left.saturating_sub(1);
        cx.budgets.charge_repeat(cx.now_us);
    }
}

/// Updates the view of a server by the reason of a decline.
fn record_decline(server: ServerIndex, reason: DeclineReason, cx: &mut CallContext<'_>) {
    match reason {
        DeclineReason::Leaving => cx.view.set_leaving(server),
        DeclineReason::Refused | DeclineReason::Rejected => cx.view.record_health(server, false, cx.now_us),
        DeclineReason::NotReady => cx.view.suspect(server, cx.now_us),
        DeclineReason::Full
        | DeclineReason::Stalled
        | DeclineReason::Slow
        | DeclineReason::Evacuated
        | DeclineReason::Cancelled
        | DeclineReason::RepeatRefused
        | DeclineReason::Quarantined
        | DeclineReason::RateLimited
        | DeclineReason::ServiceRemoved => {}
    }
}

const fn decline_code(reason: DeclineReason) -> Code {
    match reason {
        DeclineReason::Full
        | DeclineReason::Stalled
        | DeclineReason::Slow
        | DeclineReason::RepeatRefused
        | DeclineReason::RateLimited => Code::Overloaded,
        DeclineReason::Leaving | DeclineReason::Evacuated => Code::Leaving,
        DeclineReason::Cancelled => Code::Cancelled,
        DeclineReason::Quarantined => Code::Quarantined,
        DeclineReason::ServiceRemoved => Code::ServiceUnknown,
        DeclineReason::Refused | DeclineReason::Rejected | DeclineReason::NotReady => Code::ServerRefused,
    }
}
