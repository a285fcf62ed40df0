//! What connections ask of the listener, and the log lines of their ends.

use std::rc::Rc;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use hyper::http::request::Parts;

use super::{CallerListener, NO_CALL_ID, OPEN_CALLS_MAX};
use crate::bundle::InForce;
use crate::caller::Answer;
use crate::caller::pipeline::{CallService, ConnectionEnd, Delivered, EndReason, OpenRequest, Progress, Unanswered};
use crate::timeline::{OrNone, Quoted};

impl CallService for CallerListener {
    fn may_start(&self, parts: &Parts) -> bool {
        let bundle = self.placer.bundle.borrow();
        let is_repeatable = |in_force: &Arc<InForce>| self.parts.protocol.is_repeatable(parts, &in_force.bundle);
        let has_room = self.open_calls.get() < OPEN_CALLS_MAX && !self.parts.memory.is_scarce();
        !self.is_leaving() && has_room && bundle.as_ref().is_some_and(is_repeatable)
    }

    fn on_started(&self, in_progress: usize) {
        self.placer.metrics.calls_started_ahead.inc();
        log::debug!("event=call.started_ahead in_progress={in_progress}");
    }

    fn call_id(&self, parts: &Parts) -> Option<Arc<str>> {
        self.parts.protocol.call_id(&parts.headers).map(Arc::from)
    }

    fn run(
        self: Rc<Self>,
        parts: Parts,
        delivered: Option<Delivered>,
        request: Rc<OpenRequest>,
    ) -> LocalBoxFuture<'static, Answer> {
        Box::pin(self.answer(parts, delivered, request))
    }

    fn is_leaving(&self) -> bool {
        *self.parts.leaving.borrow()
    }

    fn is_closing(&self) -> bool {
        *self.parts.closing.borrow()
    }

    fn on_unanswered(&self, request: &Unanswered) {
        self.placer.metrics.unanswered_calls.with_label_values(&[request.reason.as_str()]).inc();
        log::log!(
            level_of_unanswered(request),
            "event=call.unanswered call={} reason={} progress={} body_read={} placed={} after_ms={} leaving={}",
            request.call_id.as_deref().unwrap_or(NO_CALL_ID),
            request.reason,
            request.progress.as_str(),
            request.is_body_read,
            request.is_placed,
            request.after.as_millis(),
            self.is_leaving()
        );
    }

    fn on_ended(&self, end: &ConnectionEnd) {
        let metrics = &self.placer.metrics;
        metrics.connections_ended.with_label_values(&[end.reason.as_str()]).inc();
        let is_invalid = matches!(end.reason, EndReason::InvalidRequest | EndReason::Error);
        metrics.bad_calls.inc_by(u64::from(is_invalid));
        log::log!(
            level_of_end(end),
            "event=caller.connection_ended reason={} error={} open_calls={} unwritten={} unstarted={} age_ms={} \
             requests={} leaving={}",
            end.reason,
            OrNone(end.error.as_ref().map(|error| Quoted(error))),
            end.open,
            end.unwritten,
            end.unstarted,
            end.age.as_millis(),
            end.requests,
            self.is_leaving()
        );
    }
}

/// Returns the log level of a request without its whole answer: clients that give up are common, and a closed
/// connection may have thousands of requests that no call was started for.
fn level_of_unanswered(request: &Unanswered) -> log::Level {
    match (request.reason.is_by_client(), request.progress) {
        (false, _) => log::Level::Warn,
        (true, Progress::Received) => log::Level::Debug,
        (true, _) => log::Level::Info,
    }
}

/// Returns the log level of the end of a connection.
fn level_of_end(end: &ConnectionEnd) -> log::Level {
    match (end.unanswered() > 0, end.reason.is_by_client()) {
        (true, false) => log::Level::Warn,
        (true, true) => log::Level::Info,
        (false, _) if end.reason.is_failure() => log::Level::Info,
        (false, _) => log::Level::Debug,
    }
}
