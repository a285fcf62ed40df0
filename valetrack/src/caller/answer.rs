//! Answers to callers: the server's answer, or one line with a code.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{HeaderName, HeaderValue};

use super::request::Rejection;
use crate::code::Code;
use crate::link::message::AnswerHead;
use crate::placement::Placed;
use crate::placement::{Outcome, Verdict};

/// Header that states whether the work ran.
pub const OUTCOME_HEADER: &str = "valetrack-outcome";
/// Header with the numbered code.
pub const CODE_HEADER: &str = "valetrack-code";
/// Header with the id of the call.
pub const CALL_HEADER: &str = "valetrack-call";
/// Header with the retry delay in milliseconds; `retry-after` has it in seconds.
pub const RETRY_HEADER: &str = "valetrack-retry-after-ms";
/// Retry delay after a code that sets none of its own.
const RETRY_MS: u32 = 500;

/// HTTP response to a caller.
pub type Answer = Response<Full<Bytes>>;

/// Builds the answer to a call that was placed.
pub fn of_placed(placed: Placed, call_id: &str) -> Answer {
    match placed {
        Placed::Answer(head, body) => of_head(head, body, call_id),
        Placed::Verdict(Verdict::NotRun { code, retry_after_ms, .. }) => {
            line(Outcome::NotRun, code, status_of(code, Outcome::NotRun), retry_after_ms, call_id)
        }
        Placed::Verdict(Verdict::Unknown { code }) => {
            line(Outcome::Unknown, code, status_of(code, Outcome::Unknown), RETRY_MS, call_id)
        }
        // Not expected: an answer of a server is placed as `Placed::Answer`, together with its head.
        Placed::Verdict(Verdict::Answer(_)) => line(Outcome::Unknown, Code::ServerFailed, 502, RETRY_MS, call_id),
    }
}

/// Builds the answer to a call that the listener rejected.
pub fn of_rejection(rejection: Rejection, call_id: &str) -> Answer {
    let mut answer = line(Outcome::NotRun, rejection.code, rejection.status, 0, call_id);
    if matches!(rejection.code, Code::NoBundle | Code::BundleUnconfirmed | Code::Overloaded | Code::MemoryFull) {
        set_retry_headers(&mut answer, RETRY_MS);
    }
    answer
}

/// Builds the answer to a call from the head that a node sent.
pub fn of_head(head: AnswerHead, body: Bytes, call_id: &str) -> Answer {
    if head.outcome != Outcome::Ran {
        let code = Code::of_number(head.code);
        return line(head.outcome, code, status_of(code, head.outcome), head.retry_after_ms.max(RETRY_MS), call_id);
    }
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = head.caller_status();
    for (name, value) in head.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().append(name, value);
        }
    }
    if head.code != 0 {
        put(&mut answer, CODE_HEADER, &Code::of_number(head.code).to_string());
    }
    put(&mut answer, OUTCOME_HEADER, head.outcome.as_str());
    put(&mut answer, CALL_HEADER, call_id);
    answer
}

fn line(outcome: Outcome, code: Code, status: u16, retry_after_ms: u32, call_id: &str) -> Answer {
    let text = format!("{code} {}: {}\n", outcome.as_str(), code.text());
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::SERVICE_UNAVAILABLE);
    put(&mut answer, "content-type", "text/plain; charset=utf-8");
    put(&mut answer, OUTCOME_HEADER, outcome.as_str());
    put(&mut answer, CODE_HEADER, &code.to_string());
    put(&mut answer, CALL_HEADER, call_id);
    if retry_after_ms > 0 {
        set_retry_headers(&mut answer, retry_after_ms);
    }
    answer
}

fn set_retry_headers(answer: &mut Answer, retry_after_ms: u32) {
    put(answer, "retry-after", &retry_after_ms.div_ceil(1000).to_string());
    put(answer, RETRY_HEADER, &retry_after_ms.to_string());
}

fn put(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}

const fn status_of(code: Code, outcome: Outcome) -> u16 {
    match (code, outcome) {
        (Code::ServiceUnknown, _) => 404,
        (Code::KeyReused, _) => 422,
        (Code::ClaimUnfinished, _) => 409,
        (Code::DeadlinePassed, _) => 504,
        (Code::OverRate, _) => 429,
        (_, Outcome::NotRun) => 503,
        (_, Outcome::Ran | Outcome::Unknown) => 502,
    }
}
