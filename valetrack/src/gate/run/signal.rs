//! What the upstream states about itself in the heads of its answers.

use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;

use super::GateShell;
use crate::clock::{Moment, steady_us};
use crate::code::Code;
use crate::gate::message::GateEvent;
use crate::gate::pool::AnswerObserver;
use crate::gate::rate_limit::{AnswerKind, RateLimitChange, RequestedRate};
use crate::gate::upstream::{Announcement, UpstreamPhase};

/// Minimum time between two log lines about invalid headers: every answer may contain one.
const INVALID_LOG_PAUSE: Duration = Duration::from_secs(1);
/// Smallest change of the rate limit that is logged, as a share of the limit.
const LOGGED_CHANGE_SHARE: f64 = 0.2;

impl AnswerObserver for Rc<GateShell> {
    fn on_answer_head(&self, headers: &HeaderMap, kind: AnswerKind, begun_us: u64) {
        let requested = self.pool.protocol().requested_rate(headers);
        if requested == RequestedRate::Invalid {
            self.record_invalid_header();
        }
        let change = self.gate.borrow_mut().rate_limit().on_answer(requested, kind, begun_us, steady_us());
        if let Some(change) = change {
            self.on_rate_limit_changed(change);
        }
        if self.gate.borrow().has_waiting() && (change.is_some() || kind == AnswerKind::HealthCheck) {
            // Calls that wait may start now, or have to be declined.
            self.changed.notify_one();
        }
        if begun_us >= self.start_since_us.get() && self.pool.protocol().is_leaving(headers) {
            self.on_leaving("answer", None);
        }
    }
}

impl GateShell {
    /// Starts a check whether a limit that admits no call still applies, if one is due.
    pub(super) fn check_rate_limit(self: &Rc<Self>) {
        let mut gate = self.gate.borrow_mut();
        let limit = gate.rate_limit();
        if limit.needs_check(steady_us()) {
            limit.record_check(steady_us());
            tokio::task::spawn_local(self.clone().request_rate_limit());
        }
    }

    /// Requests the rate limit by a health check, and allows one call if that brings no answer.
    async fn request_rate_limit(self: Rc<Self>) {
        if !self.request_health().await {
            self.gate.borrow_mut().rate_limit().allow_trial();
        }
    }

    /// Finds out by a health check whether an upstream that may have started earlier than this node limits its rate or
    /// leaves; no call starts meanwhile.
    pub(super) fn confirm_rate_limit(self: &Rc<Self>) {
        let is_unconfirmed = self.gate.borrow_mut().rate_limit().unconfirmed_calls_max().is_some();
        if is_unconfirmed && self.upstream.borrow().phase == UpstreamPhase::Ready {
            self.gate.borrow_mut().rate_limit().begin_confirmation();
            let shell = self.clone();
            tokio::task::spawn_local(async move {
                // Without an answer, the first answer to a call shows the limit.
                let _is_answered = shell.request_health().await;
                shell.gate.borrow_mut().rate_limit().end_confirmation();
                shell.changed.notify_one();
            });
        }
    }

    /// Requests the upstream's health, and returns whether it answered.
    async fn request_health(self: &Rc<Self>) -> bool {
        let path = self.health_path.borrow().clone();
        match path {
            Some(path) => self.pool.health(&path, self).await.is_some(),
            None => false,
        }
    }

    /// Stops sending calls to the upstream if its present start has stated before that it leaves, to an earlier process
    /// of this node or in an answer that an entry has passed on.
    pub(super) fn follow_departures(self: &Rc<Self>) {
        let incarnation = self.upstream.borrow().incarnation(&self.vm);
        if let Some(departure) = incarnation.and_then(|incarnation| self.departures.of(&incarnation)) {
            self.on_leaving("departure", departure.born_ms);
        }
    }

    /// Stops sending calls to an upstream that leaves. Without announcements, nothing would show its next start, so the
    /// node leaves with it. The time at which the leaving start began, if it is known, tells a later start under the same
    /// id from it.
    pub(super) fn on_leaving(self: &Rc<Self>, by: &str, born_ms: Option<u64>) {
        let state = self.upstream.borrow().clone();
        let Some(to_upstream) = &self.to_upstream else {
            self.leaving.notify_one();
            return;
        };
        let Some(id) = state.id else {
            self.has_left_unannounced.set(true);
            return;
        };
        if state.phase == UpstreamPhase::Leaving || self.gate.borrow().is_leaving() {
            return;
        }
        log::info!("event=upstream.leaving id={id} by={by}");
        self.handle(GateEvent::Drain);
        let stated = Announcement {
            id,
            born_ms,
            sequence: None,
            ready: false,
            slots: None,
            version: None,
            cold_ms: 0,
            is_solicited: true,
        };
        if let Err(error) = to_upstream.try_send(stated) {
            // The gate stays closed, and the next answer states it again.
            log::warn!("event=upstream.leaving_unreported reason=\"{error}\"");
        }
    }

    /// Counts an invalid header, and logs it unless another was logged within [`INVALID_LOG_PAUSE`].
    fn record_invalid_header(&self) {
        let code = Code::UpstreamHeaderInvalid;
        self.metrics.invalid_input.with_label_values(&[&code.to_string()]).inc();
        if self.invalid_logged.get().is_some_and(|at| at.elapsed() < INVALID_LOG_PAUSE) {
            return;
        }
        self.invalid_logged.set(Some(Moment::now()));
        log::warn!("event=upstream.header_invalid code={code} header=rate-limit");
    }

    fn on_rate_limit_changed(&self, change: RateLimitChange) {
        let RateLimitChange { from_per_s, to_per_s } = change;
        self.metrics.upstream_rate_limit.set(to_per_s.unwrap_or(f64::INFINITY));
        let text = |rate_per_s: Option<f64>| rate_per_s.map_or("none".to_owned(), |rate_per_s| rate_per_s.to_string());
        if is_logged(self.logged_rate_per_s.get(), to_per_s) {
            self.logged_rate_per_s.set(to_per_s);
            log::info!("event=upstream.rate_limit from_per_s={} to_per_s={}", text(from_per_s), text(to_per_s));
        }
    }
}

/// Returns whether a change from the last logged limit is large enough to be logged.
fn is_logged(logged_per_s: Option<f64>, to_per_s: Option<f64>) -> bool {
    match (logged_per_s, to_per_s) {
        (Some(logged_per_s), Some(to_per_s)) => (to_per_s - logged_per_s).abs() > logged_per_s * LOGGED_CHANGE_SHARE,
        (Some(_), None) | (None, Some(_)) => true,
        (None, None) => false,
    }
}
