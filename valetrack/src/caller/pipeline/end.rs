//! Requests of a connection until their answers are written, and the reason for which a connection or a request ends.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::http::request::Parts;
use hyper::{Method, Version};

/// Reason for which a connection ended, or a request without its whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The client closed its side.
    ClientClosed,
    /// Reading from or writing to the socket failed.
    ClientReset,
    /// The client cancelled a stream of an HTTP/2 connection.
    StreamReset,
    /// No request arrived within the limit for idle connections.
    IdleLimit,
    /// The head of a request did not arrive completely within its limit.
    HeadLimit,
    /// A request asked for the connection to close after its answer.
    LastRequest,
    /// hyper closed the connection after an answer, for example since the body of the request was not read.
    AfterAnswer,
    /// The client sent no valid HTTP.
    InvalidRequest,
    /// Any other error of hyper.
    Error,
    /// The node leaves.
    Leaving,
    /// Memory or descriptors ran out, and the client had made no progress, or the head of its request had no room.
    MemoryFull,
    /// The task panicked.
    Panic,
    /// The task was dropped since the node exits.
    Exit,
}

impl EndReason {
    /// Returns the name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ClientClosed => "client_closed",
            Self::ClientReset => "client_reset",
            Self::StreamReset => "stream_reset",
            Self::IdleLimit => "idle_limit",
            Self::HeadLimit => "head_limit",
            Self::LastRequest => "last_request",
            Self::AfterAnswer => "after_answer",
            Self::InvalidRequest => "invalid_request",
            Self::Error => "error",
            Self::Leaving => "leaving",
            Self::MemoryFull => "memory_full",
            Self::Panic => "panic",
            Self::Exit => "exit",
        }
    }

    /// Returns whether the client ended the connection or the request.
    pub const fn is_by_client(self) -> bool {
        matches!(self, Self::ClientClosed | Self::ClientReset | Self::StreamReset)
    }

    /// Returns whether a connection that ends for this reason has failed, even if all its requests are answered.
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::InvalidRequest | Self::Error | Self::Panic)
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// End of a connection.
#[derive(Debug)]
pub struct ConnectionEnd {
    /// Reason.
    pub reason: EndReason,
    /// Text of the error, if there was one.
    pub error: Option<String>,
    /// Requests that hyper delivered or that were started ahead.
    pub requests: u64,
    /// Those of them without an answer.
    pub open: usize,
    /// Those of them whose answer is not, or not completely, written.
    pub unwritten: usize,
    /// Further requests that were received completely.
    pub unstarted: usize,
    /// Time since the connection was accepted.
    pub age: Duration,
}

impl ConnectionEnd {
    /// Returns how many requests ended without their whole answer.
    pub const fn unanswered(&self) -> usize {
        self.open + self.unwritten + self.unstarted
    }
}

/// A request that ended without its whole answer.
#[derive(Debug)]
pub struct Unanswered {
    /// Id of its call; none if it has none yet.
    pub call_id: Option<Arc<str>>,
    /// Reason.
    pub reason: EndReason,
    /// How far it was processed.
    pub progress: Progress,
    /// Whether its body was read.
    pub is_body_read: bool,
    /// Whether its placement had begun.
    pub is_placed: bool,
    /// Time since it was delivered or started; zero if it was neither.
    pub after: Duration,
}

/// How far a request was processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It was received.
    Received,
    /// Its call was started ahead, and hyper had not delivered the request.
    StartedAhead,
    /// hyper had delivered it.
    Delivered,
    /// It had an answer that was not passed to hyper completely.
    Answered,
    /// hyper had its answer, which was not written completely.
    Writing,
    /// Its answer was written, or it is reported as unanswered.
    Ended,
}

impl Progress {
    /// Returns the name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::StartedAhead => "started_ahead",
            Self::Delivered => "delivered",
            Self::Answered => "answered",
            Self::Writing => "writing",
            Self::Ended => "ended",
        }
    }
}

/// A request that was delivered or started ahead.
#[derive(Debug)]
pub struct OpenRequest {
    call_id: RefCell<Option<Arc<str>>>,
    progress: Cell<Progress>,
    is_body_read: Cell<bool>,
    is_placed: Cell<bool>,
    /// Whether its answer has no body whatever its headers state.
    is_head: bool,
    /// Whether it is one of the streams of an HTTP/2 connection, which end one by one.
    is_stream: bool,
    since: Instant,
}

impl OpenRequest {
    fn new(parts: &Parts, progress: Progress) -> Self {
        Self {
            call_id: RefCell::default(),
            progress: Cell::new(progress),
            is_body_read: Cell::new(false),
            is_placed: Cell::new(false),
            is_head: parts.method == Method::HEAD,
            is_stream: parts.version >= Version::HTTP_2,
            since: Instant::now(),
        }
    }

    /// Sets the id of the call.
    pub fn set_call_id(&self, call_id: Arc<str>) {
        self.call_id.replace(Some(call_id));
    }

    /// Records that the body is read.
    pub fn on_body_read(&self) {
        self.is_body_read.set(true);
    }

    /// Records that the placement of the call begins.
    pub fn on_placed(&self) {
        self.is_placed.set(true);
    }

    /// Records that hyper has delivered the request.
    pub(super) fn on_delivered(&self) {
        if self.progress.get() == Progress::StartedAhead {
            self.progress.set(Progress::Delivered);
        }
    }

    /// Records that the call has an answer for hyper.
    pub(super) fn on_answered(&self) {
        if self.progress.get() == Progress::Delivered {
            self.progress.set(Progress::Answered);
        }
    }

    /// Records that hyper has the whole answer.
    pub(super) fn on_taken(&self) {
        if self.progress.get() == Progress::Answered {
            self.progress.set(Progress::Writing);
        }
    }

    fn is_delivered(&self) -> bool {
        self.progress.get() == Progress::Delivered
    }

    pub(super) const fn is_head(&self) -> bool {
        self.is_head
    }

    pub(super) const fn is_stream(&self) -> bool {
        self.is_stream
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Ends the request without its whole answer; none if it has ended before.
    pub(super) fn end(&self, reason: EndReason) -> Option<Unanswered> {
        let progress = self.progress.replace(Progress::Ended);
        let unanswered = || Unanswered {
            call_id: self.call_id.take(),
            reason,
            progress,
            is_body_read: self.is_body_read.get(),
            is_placed: self.is_placed.get(),
            after: self.since.elapsed(),
        };
        (progress != Progress::Ended).then(unanswered)
    }
}

/// Requests of a connection whose answers are not written completely.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    /// In the order in which they were delivered or started.
    open: RefCell<Vec<Rc<OpenRequest>>>,
    opened: Cell<u64>,
}

impl OpenRequests {
    /// Adds a request that hyper delivers or that is started ahead, as `progress` states.
    pub(super) fn add(&self, parts: &Parts, progress: Progress) -> Rc<OpenRequest> {
        let request = Rc::new(OpenRequest::new(parts, progress));
        self.open.borrow_mut().push(request.clone());
        self.opened.set(self.opened.get() + 1);
        request
    }

    /// Removes a started request that hyper is going to deliver as another one.
    pub(super) fn withdraw(&self, request: &Rc<OpenRequest>) {
        request.progress.set(Progress::Ended);
        self.open.borrow_mut().retain(|open| !Rc::ptr_eq(open, request));
        self.opened.set(self.opened.get().saturating_sub(1));
    }

    /// Returns for how long the oldest delivered request has waited for the rest of its body; none if no request does.
    pub(super) fn body_awaited(&self) -> Option<Duration> {
        let open = self.open.borrow();
        let awaited = open.iter().find(|request| request.is_delivered() && !request.is_body_read.get());
        awaited.map(|request| request.since.elapsed())
    }

    /// Returns whether a delivered request has no answer.
    pub(super) fn is_answer_due(&self) -> bool {
        self.open.borrow().iter().any(|request| request.is_delivered())
    }

    /// Records that hyper has written all that it had to write.
    ///
    /// The part of an answer that waits for the flow control of HTTP/2 counts as written, since hyper doesn't report it.
    pub(super) fn on_flushed(&self) {
        let is_written = |request: &Rc<OpenRequest>| request.progress.get() == Progress::Writing;
        let mut open = self.open.borrow_mut();
        open.retain(|request| {
            if is_written(request) {
                request.progress.set(Progress::Ended);
            }
            request.progress.get() != Progress::Ended
        });
    }

    /// Ends all requests, and returns those that had not ended.
    pub(super) fn end(&self, reason: EndReason) -> Vec<Unanswered> {
        let open = self.open.take();
        open.iter().filter_map(|request| request.end(reason)).collect()
    }

    /// Returns how many requests were added.
    pub(super) const fn opened(&self) -> u64 {
        self.opened.get()
    }
}
