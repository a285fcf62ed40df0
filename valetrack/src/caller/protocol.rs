//! The border to callers: how a request names its service and what an answer looks like.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::http::request::Parts;

use super::answer::{self, Answer};
use super::request::{self, IncomingCall, Rejection};
use crate::bundle::{Bundle, HostRoute};
use crate::placement::Placed;

/// What a request is read by.
pub struct ReadContext<'a> {
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// Makes an id for a call that brings none.
    pub new_id: &'a dyn Fn() -> String,
    /// Chooses the service that takes the next call of a route.
    pub choose: &'a dyn Fn(&HostRoute) -> Arc<str>,
    /// Returns whether the upstream beside this node runs calls now, so that a call without a key may be its own.
    pub is_upstream_running: &'a dyn Fn() -> bool,
}

/// How a node speaks with its callers.
pub trait CallerProtocol: Send + Sync {
    /// Returns the id that a caller gave its request, so that a request is found in the log that was refused before
    /// it could be read.
    fn call_id<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str>;

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    fn read(&self, parts: &Parts, cx: &ReadContext<'_>) -> Result<IncomingCall, Rejection>;

    /// Makes the answer to a call that was placed.
    fn of_placed(&self, placed: Placed, call_id: &str) -> Answer;

    /// Makes the answer to a request that was refused before it was placed.
    fn of_rejection(&self, rejection: Rejection, call_id: &str) -> Answer;
}

/// Valetrack's own words to callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeCaller;

impl CallerProtocol for NativeCaller {
    fn call_id<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str> {
        request::call_id(headers).ok().flatten()
    }

    fn read(&self, parts: &Parts, cx: &ReadContext<'_>) -> Result<IncomingCall, Rejection> {
        request::read(parts, cx.bundle, cx.new_id)
    }

    fn of_placed(&self, placed: Placed, call_id: &str) -> Answer {
        answer::of_placed(placed, call_id)
    }

    fn of_rejection(&self, rejection: Rejection, call_id: &str) -> Answer {
        answer::of_rejection(rejection, call_id)
    }
}
