//! I/O shell of a caller's connection: starts the calls that may be started ahead, and gives hyper their answers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::pending;
use std::panic::resume_unwind;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::framing::has_token;
use super::state::Pipeline;
use crate::caller::Answer;

/// Runs the calls of connections.
pub trait CallService {
    /// Returns whether the call of a request without a body may be started before its turn.
    fn may_start(&self, parts: &Parts) -> bool;

    /// Records that a call is started ahead while `in_progress` calls of its connection are.
    fn on_started(&self, in_progress: usize);

    /// Runs a call to its answer; `delivered` is none for one that is started ahead.
    fn run(self: Rc<Self>, parts: Parts, delivered: Option<Delivered>) -> LocalBoxFuture<'static, Answer>;

    /// Returns whether connections close after the answers that are due.
    fn is_leaving(&self) -> bool;
}

/// What hyper delivers beside the head of a request.
pub struct Delivered {
    /// Body of the request.
    pub body: Incoming,
    /// Connection of the request.
    pub connection: Rc<CallerConnection>,
}

/// A caller's connection.
pub struct CallerConnection {
    service: Rc<dyn CallService>,
    pub(super) state: RefCell<Pipeline<StartedCall>>,
    /// Notified whenever hyper delivers a request.
    delivered: Notify,
}

impl CallerConnection {
    /// Creates the state of a new connection.
    pub fn new(service: Rc<dyn CallService>) -> Rc<Self> {
        Rc::new(Self { service, state: RefCell::default(), delivered: Notify::new() })
    }

    /// Answers a request that hyper delivers, with the result of its call if that was started ahead.
    ///
    /// The delivery is recorded before the answer is first polled, since hyper polls the read side in between.
    pub fn deliver(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Result<Answer, Infallible>> {
        let (parts, body) = request.into_parts();
        let started = self.state.borrow_mut().on_delivered(is_last(&parts));
        self.delivered.notify_waiters();
        let is_for = |call: &StartedCall| call.is_for(&parts);
        if started.as_ref().is_some_and(|call| !is_for(call)) {
            // The request is framed differently than assumed, so none of the calls may be used.
            self.close();
        }
        let started = started.filter(is_for);
        async move {
            let mut answer = match started {
                Some(call) => {
                    self.start_ahead();
                    call.answer().await
                }
                None => {
                    let delivered = Delivered { body, connection: self.clone() };
                    self.service.clone().run(parts, Some(delivered)).await
                }
            };
            if self.service.is_leaving() && !self.has_started() && answer.version() < hyper::Version::HTTP_2 {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            self.state.borrow_mut().on_answered();
            Ok(answer)
        }
    }

    /// Records that the body of the request that hyper delivered last is read, and whether its call is repeatable.
    pub fn on_read(&self, repeatable: bool) {
        self.state.borrow_mut().on_read(repeatable);
        self.start_ahead();
    }

    /// Starts the calls of received requests that may be started ahead.
    pub(super) fn start_ahead(&self) {
        loop {
            let request = self.state.borrow_mut().next_request();
            let Some(request) = request else {
                return;
            };
            if !self.service.may_start(&request.parts) {
                self.state.borrow_mut().wait();
                return;
            }
            let call = StartedCall::start(self.service.clone(), request.parts.clone());
            let mut state = self.state.borrow_mut();
            state.push(&request, call);
            self.service.on_started(state.in_progress());
        }
    }

    /// Waits until hyper has delivered the requests of all started calls. No call may be started ahead any more.
    pub async fn all_delivered(&self) {
        loop {
            let delivered = self.delivered.notified();
            if !self.has_started() {
                return;
            }
            delivered.await;
        }
    }

    /// Cancels all started calls and starts no more ahead.
    pub fn close(&self) {
        let started: Vec<_> = self.state.borrow_mut().close().collect();
        drop(started);
    }

    fn has_started(&self) -> bool {
        self.state.borrow().has_started()
    }
}

/// Returns whether hyper closes the connection after the answer to a request, as its head asks for.
fn is_last(parts: &Parts) -> bool {
    let closes = |value: &HeaderValue| has_token(value.as_bytes(), "close");
    parts.version < hyper::Version::HTTP_11 || parts.headers.get_all(CONNECTION).iter().any(closes)
}

/// A call that was started ahead; it is cancelled when dropped.
pub(super) struct StartedCall {
    /// Head of its request.
    parts: Parts,
    task: JoinHandle<Answer>,
}

impl StartedCall {
    fn start(service: Rc<dyn CallService>, parts: Parts) -> Self {
        let task = tokio::task::spawn_local(service.run(parts.clone(), None));
        Self { parts, task }
    }

    /// Returns whether this is the call of a request that hyper delivers.
    fn is_for(&self, parts: &Parts) -> bool {
        let Parts { method, uri, version, headers, .. } = &self.parts;
        (method, uri, version, headers) == (&parts.method, &parts.uri, &parts.version, &parts.headers)
    }

    async fn answer(mut self) -> Answer {
        match (&mut self.task).await {
            Ok(answer) => answer,
            Err(error) if error.is_panic() => resume_unwind(error.into_panic()),
            // The task is only cancelled when this is dropped, or when the runtime stops.
            Err(_) => pending().await,
        }
    }
}

impl Drop for StartedCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}
