//! Interface of caller protocols: how a request names its service and how an answer is formatted.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::http::request::Parts;

use super::answer::{self, Answer};
use super::request::{self, IncomingCall, Rejection};
use crate::bundle::{Bundle, HostRoute};
use crate::placement::Placed;

/// Context in which a request head is read.
pub struct ReadContext<'a> {
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// Generates an id for a call that has none.
    pub new_id: &'a dyn Fn() -> String,
    /// Chooses the service for the next call of a route.
    pub choose: &'a dyn Fn(&HostRoute) -> Arc<str>,
    /// Returns whether the upstream beside this node is running calls, in which case a call without a key may come from
    /// it.
    pub is_upstream_running: &'a dyn Fn() -> bool,
}

/// Protocol between a node and its callers.
pub trait CallerProtocol: Send + Sync {
    /// Returns the id that a caller gave its request. It identifies a request in the log that is rejected before its
    /// head is read.
    fn call_id<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str>;

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is rejected.
    fn read(&self, parts: &Parts, cx: &ReadContext<'_>) -> Result<IncomingCall, Rejection>;

    /// Returns whether the work of a request may run more than once. Such a request may be started before those ahead
    /// of it on its connection are answered.
    fn is_repeatable(&self, parts: &Parts, bundle: &Bundle) -> bool;

    /// Builds the answer to a call that was placed.
    fn of_placed(&self, placed: Placed, call_id: &str) -> Answer;

    /// Builds the answer to a request that was rejected before it was placed.
    fn of_rejection(&self, rejection: Rejection, call_id: &str) -> Answer;
}

/// Valetrack's own caller protocol.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeCaller;

impl CallerProtocol for NativeCaller {
    fn call_id<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str> {
        request::call_id(headers).ok().flatten()
    }

    fn read(&self, parts: &Parts, cx: &ReadContext<'_>) -> Result<IncomingCall, Rejection> {
        request::read(parts, cx.bundle, cx.new_id)
    }

    fn is_repeatable(&self, parts: &Parts, bundle: &Bundle) -> bool {
        request::is_repeatable(parts, bundle)
    }

    fn of_placed(&self, placed: Placed, call_id: &str) -> Answer {
        answer::of_placed(placed, call_id)
    }

    fn of_rejection(&self, rejection: Rejection, call_id: &str) -> Answer {
        answer::of_rejection(rejection, call_id)
    }
}
