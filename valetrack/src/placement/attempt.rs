//! Attempts of a call: sends each one to its owner and reports its outcome.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use super::message::{CallEvent, Dispatch, Outcome};
use super::run::Placer;
use super::service::Recipient;
use super::traffic::request_bytes;
use crate::clock::Moment;
use crate::code::Code;
use crate::gate::{AttemptId, DeclineReason};
use crate::link::message::{AnswerHead, Ask, CallHead, PeerReply, PeerRequest, Reply};
use crate::link::peer::{self, LinkResult};
use crate::metric::Metrics;
use crate::timeline::{OrNone, log as events};

/// Time after the deadline of an attempt for which its reply is still awaited.
const REPLY_SLACK_MS: u64 = 50;

/// An attempt, and whom it was sent to.
#[derive(Debug, Clone)]
pub(super) struct SentAttempt {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// When it was sent.
    pub(super) sent_at: Moment,
    /// The server that it was sent to.
    pub(super) recipient: Recipient,
}

/// Result of a pending operation of a call, with the answer if there is one.
pub(super) type AttemptEnd = (CallEvent, Option<(AnswerHead, Bytes)>);

impl Placer {
    /// Sends an attempt to the owner of a server and waits for its outcome.
    pub(super) fn send(
        self: Rc<Self>,
        head: &CallHead,
        body: &Bytes,
        dispatch: Dispatch,
        recipient: Recipient,
        deadline: Moment,
    ) -> LocalBoxFuture<'static, AttemptEnd> {
        let Dispatch { attempt, server, patience, elsewhere_permille, cause, repeat_permille } = dispatch;
        // A keyed call whose run is lost with its owner never runs again, so the owner is probed first.
        let probes_first = head.key.is_some();
        let head = head.clone();
        let body = body.clone();
        Box::pin(async move {
            let (service, route) = (head.service.clone(), head.route.clone());
            let target = &recipient.target;
            if probes_first && !self.is_own(target) && !self.probe_one(&service, &recipient).await {
                log::info!("event=call.owner_silent call={} attempt={attempt} owner={}", head.call_id, target.vm);
                return (CallEvent::Unsent { attempt }, None);
            }
            let left_ms = deadline.left().as_millis() as u32;
            let elapsed_ms = head.deadline_ms.saturating_sub(left_ms);
            let objective_ms = head.objective_ms.saturating_sub(elapsed_ms).max(head.objective_ms.min(1));
            let mut head = CallHead {
                attempt,
                patience,
                elsewhere_permille,
                repeat_permille,
                deadline_ms: left_ms,
                objective_ms,
                key: None,
                ..head
            };
            self.departures.attach(Some(&target.vm), &mut head.headers);
            let age_ms = self.report_age_ms(&service, &recipient);
            log::info!(
                "event=call.send call={} attempt={attempt} owner={} server={server} cause={} repeats_left={} \
                 repeat_permille={repeat_permille} patience={patience:?} left_ms={left_ms} work_us={} \
                 elsewhere_permille={elsewhere_permille} load_age_ms={}",
                head.call_id,
                target.vm,
                cause.as_str(),
                OrNone(self.repeats_left(&service).map(|left| left.floor())),
                head.work_us,
                OrNone(age_ms)
            );
            self.metrics.sends.with_label_values(&[&*service, cause.as_str()]).inc();
            // The stamp is drawn after the log line above, so that events of the owner are ordered after it.
            head.hlc = events::stamp();
            let (call_id, sent_bytes) = (head.call_id.clone(), request_bytes(&head, &body));
            let question = PeerRequest { ask: Ask::Run(head), body };
            let limit = Duration::from_millis(u64::from(left_ms) + REPLY_SLACK_MS);
            let crossing = self.begin_crossing(&service, &recipient, sent_bytes);
            if let Some(crossing) = &crossing {
                self.record_crossing(crossing, &call_id, sent_bytes);
            }
            let result = self.ask(target.clone(), question, limit).await;
            if let Some(crossing) = crossing {
                self.end_crossing(&crossing, &result, limit);
            }
            self.apply_piggyback(&service, &recipient, &result);
            let event = attempt_event(attempt, result, &self.metrics);
            match &event {
                (CallEvent::Ran { .. }, Some((answer, body))) => {
                    self.record_nested_route(&route, answer.nested);
                    self.record_answer_size(&route, answer, body);
                }
                (CallEvent::Declined { reason: DeclineReason::Evacuated, .. }, _) => {
                    self.report_evacuation(target);
                }
                _ => {}
            }
            self.metrics.attempts.with_label_values(&[event_label(event.0)]).inc();
            event
        })
    }

    /// Asks the node to which an attempt was sent to cancel it.
    pub(super) fn cancel(self: Rc<Self>, head: &CallHead, sent: &SentAttempt) -> LocalBoxFuture<'static, AttemptEnd> {
        let limit = self.reply_limit(&head.service, &sent.recipient);
        let (call_id, sent) = (head.call_id.clone(), sent.clone());
        Box::pin(async move {
            let SentAttempt { attempt, sent_at, recipient } = sent;
            let target = recipient.target;
            let owner = target.vm.clone();
            let question = PeerRequest { ask: Ask::Cancel(attempt), body: Bytes::new() };
            let result = peer::ask_within(&self.to_link, target, question, limit).await;
            let result = result.cancel_result(sent_at.elapsed());
            log::info!("event=call.cancelled call={call_id} attempt={attempt} owner={owner} result={result:?}");
            (CallEvent::CancelResult { attempt, result }, None)
        })
    }

    /// Probes the owner of a call that takes long, so that the decision on a hedge uses the owner's current state.
    pub(super) fn probe_before_hedge(
        self: Rc<Self>,
        service: Arc<str>,
        recipient: Recipient,
    ) -> LocalBoxFuture<'static, AttemptEnd> {
        Box::pin(async move {
            self.metrics.probes.inc();
            if !self.probe_one(&service, &recipient).await {
                log::info!("event=call.owner_silent service={service} owner={}", recipient.target.vm);
                self.suspect(&service, &recipient);
            }
            (CallEvent::HedgeDue, None)
        })
    }
}

/// Maps the result of an attempt to its event. An answer to another attempt is dropped, and the attempt counts as
/// broken.
fn attempt_event(attempt: AttemptId, result: LinkResult, metrics: &Metrics) -> AttemptEnd {
    let answered = match result {
        LinkResult::Reply(answered) => *answered,
        LinkResult::Unsent => return (CallEvent::Unsent { attempt }, None),
        LinkResult::Broken => return (CallEvent::Broken { attempt }, None),
    };
    let PeerReply { head, body } = answered;
    match head.reply {
        Reply::Answer(answer) if answer.attempt == attempt => match answer.outcome {
            Outcome::Ran => {
                let healthy = answer.status < 500;
                (CallEvent::Ran { attempt, healthy }, Some((answer, body)))
            }
            Outcome::NotRun | Outcome::Unknown => {
                let code = Code::of_number(answer.code);
                (CallEvent::Failed { attempt, code }, None)
            }
        },
        Reply::Bounce { attempt: declined, reason } if declined == attempt => {
            (CallEvent::Declined { attempt, reason }, None)
        }
        _ => {
            metrics.stray_answers.inc();
            (CallEvent::Broken { attempt }, None)
        }
    }
}

const fn event_label(event: CallEvent) -> &'static str {
    match event {
        CallEvent::Ran { healthy: true, .. } => "ran",
        CallEvent::Ran { healthy: false, .. } => "ran-unhealthy",
        CallEvent::Declined { .. } => "bounced",
        CallEvent::Failed { .. } => "failed",
        CallEvent::Unsent { .. } => "unsent",
        CallEvent::Broken { .. } => "broken",
        CallEvent::Begin | CallEvent::CancelResult { .. } | CallEvent::HedgeDue | CallEvent::DeadlineDue => "other",
    }
}
