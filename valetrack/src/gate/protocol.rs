//! The interface to this VM's upstream: how calls are sent to it and how its answers are read.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};

use super::header::{ACCOUNT_HEADER, LEAVING_HEADER, RATE_LIMIT_HEADER, REPEAT_HEADER};
use super::message::DeclineReason;
use super::pool::ATTEMPT_HEADER;
use super::rate_limit::RequestedRate;
use crate::link::message::CallHead;

/// What the head of an upstream's answer means for the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classified {
    /// The upstream ran the call, and this is its answer.
    Ran,
    /// The upstream did not run the call and never will.
    NotStarted(DeclineReason),
    /// The answer belongs to another call.
    Misdirected,
    /// The answer cannot be forwarded as it is; the call may have run.
    Unusable,
}

/// Returns whether a status is that of a final answer: HTTP defines the classes from 1 to 5, of which the first one
/// announces an answer.
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// Load that an upstream reports for its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLoad {
    /// Calls that wait inside the upstream.
    pub waiting: u16,
    /// Present duration of work, as a percentage of its usual duration.
    pub slowdown_percent: u32,
}

/// Result of an upstream's health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Id of the upstream that answered.
    pub id: Arc<str>,
    /// Whether the upstream accepts work.
    pub ready: bool,
    /// Whether the answer states that the upstream leaves. One that is not ready may just be unhealthy.
    pub is_leaving: bool,
    /// Remaining time for which the upstream is cold; `None` if not reported.
    pub cold_ms: Option<u64>,
}

/// Protocol between a node and its upstream.
pub trait UpstreamProtocol: Send + Sync {
    /// Builds the request for a call that has `left_ms` until its deadline. Returns `None` if the call's head cannot be
    /// written as HTTP.
    fn request(&self, head: &CallHead, body: Bytes, left_ms: u64, id: Option<&str>) -> Option<Request<Full<Bytes>>>;

    /// Classifies an answer by its head.
    fn classify(&self, head: &CallHead, status: u16, headers: &HeaderMap) -> Classified;

    /// Reads the machine's load from an answer, if it is included.
    fn host_load(&self, headers: &HeaderMap) -> Option<HostLoad>;

    /// Returns whether an answer announces that the upstream is about to stop.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads the rate limit that the upstream requests in an answer.
    fn requested_rate(&self, headers: &HeaderMap) -> RequestedRate;

    /// Returns whether the call needs a connection that nothing was sent on before.
    fn wants_fresh_connection(&self, head: &CallHead) -> bool;

    /// Returns how long a connection may be idle and still be reused; `None` if connections are opened ahead of calls
    /// and kept.
    fn reuse_within(&self) -> Option<Duration>;

    /// Reads the answer to a health check; `None` if it names no upstream.
    fn health(&self, status: u16, headers: &HeaderMap) -> Option<Health>;
}

/// Valetrack's own protocol for upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeUpstream;

impl UpstreamProtocol for NativeUpstream {
    fn request(&self, head: &CallHead, body: Bytes, left_ms: u64, _id: Option<&str>) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder().method(head.method.as_str()).uri(head.path.as_str());
        for (name, value) in &head.headers {
            request = request.header(name.as_str(), value.as_slice());
        }
        if let Some(account) = &head.account {
            request = request.header(ACCOUNT_HEADER, &**account);
        }
        request
            .header(ATTEMPT_HEADER, head.attempt.to_string())
            .header("valetrack-call", &*head.call_id)
            .header("valetrack-depth", u32::from(head.depth))
            .header(REPEAT_HEADER, head.repeat_permille)
            .header("valetrack-deadline-ms", left_ms)
            .body(Full::new(body))
            .ok()
    }

    fn classify(&self, head: &CallHead, _status: u16, headers: &HeaderMap) -> Classified {
        let attempt = head.attempt.to_string();
        let other = headers.get(ATTEMPT_HEADER).is_some_and(|value| value.as_bytes() != attempt.as_bytes());
        if other { Classified::Misdirected } else { Classified::Ran }
    }

    fn host_load(&self, _headers: &HeaderMap) -> Option<HostLoad> {
        None
    }

    fn is_leaving(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(LEAVING_HEADER)
    }

    fn requested_rate(&self, headers: &HeaderMap) -> RequestedRate {
        RequestedRate::read(headers, RATE_LIMIT_HEADER)
    }

    fn wants_fresh_connection(&self, _head: &CallHead) -> bool {
        false
    }

    fn reuse_within(&self) -> Option<Duration> {
        None
    }

    fn health(&self, _status: u16, _headers: &HeaderMap) -> Option<Health> {
        None
    }
}
