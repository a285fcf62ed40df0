//! I/O shell of a caller's connection: starts the calls that may be started ahead, and gives hyper their answers.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::pending;
use std::panic::resume_unwind;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::panicking;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::body::AnswerBody;
use super::end::{ConnectionEnd, EndReason, OpenRequest, OpenRequests, Progress, Unanswered};
use super::framing::has_token;
use super::state::Pipeline;
use super::stream_memory::{StreamMemory, Streams};
use crate::caller::Answer;
use crate::memory::{Activity, Charge, ClientConnection, MemoryAccount};

/// Memory of an idle connection: its tasks and the buffers of the HTTP library.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Bytes of a request that the memory of an idle connection includes.
const HELD_FREE_BYTES: usize = 2 * 1024;
/// Copies of the bytes of an incomplete head, with the spare room of their buffers: here and in the HTTP library.
const HELD_COPIES: usize = 4;
/// Memory for the windows, an incomplete head and the included streams of an HTTP/2 connection.
const HTTP2_BYTES: usize = 256 * 1024;

/// Runs the calls of connections.
pub trait CallService {
    /// Returns whether the call of a request without a body may be started before its turn.
    fn may_start(&self, parts: &Parts) -> bool;

    /// Records that a call is started ahead while `in_progress` calls of its connection are.
    fn on_started(&self, in_progress: usize);

    /// Returns the id that the client gave a call.
    fn call_id(&self, parts: &Parts) -> Option<Arc<str>>;

    /// Runs the call of `request` to its answer; `delivered` is none for one that is started ahead.
    fn run(
        self: Rc<Self>,
        parts: Parts,
        delivered: Option<Delivered>,
        request: Rc<OpenRequest>,
    ) -> LocalBoxFuture<'static, Answer>;

    /// Returns whether connections close after the answers that are due.
    fn is_leaving(&self) -> bool;

    /// Returns whether the tasks of connections are about to be dropped.
    fn is_closing(&self) -> bool;

    /// Records that a request has ended without its whole answer.
    fn on_unanswered(&self, request: &Unanswered);

    /// Records that a connection has ended.
    fn on_ended(&self, end: &ConnectionEnd);
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
    requests: OpenRequests,
    streams: Streams,
    /// What the client did to end the connection, with the error if there was one.
    client_end: RefCell<Option<(EndReason, Option<String>)>>,
    accepted: Instant,
    has_ended: Cell<bool>,
    /// Memory of the connection and of an incomplete head.
    charge: RefCell<Charge>,
    client: ClientConnection,
}

impl CallerConnection {
    /// Creates the state of a new connection with its charged memory.
    pub fn new(service: Rc<dyn CallService>, (charge, client): (Charge, ClientConnection)) -> Rc<Self> {
        Rc::new(Self {
            service,
            state: RefCell::default(),
            delivered: Notify::new(),
            requests: OpenRequests::default(),
            streams: Streams::default(),
            client_end: RefCell::default(),
            accepted: Instant::now(),
            has_ended: Cell::new(false),
            charge: RefCell::new(charge),
            client,
        })
    }

    /// Answers a request that hyper delivers, with the result of its call if that was started ahead.
    ///
    /// The delivery is recorded before the answer is first polled, since hyper polls the read side in between.
    pub fn deliver(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<AnswerBody>, Infallible>> {
        let (parts, body) = request.into_parts();
        let started = self.state.borrow_mut().on_delivered(is_last(&parts));
        self.delivered.notify_waiters();
        let (matching, other): (Option<_>, Option<_>) = match started {
            Some(call) if call.is_for(&parts) => (Some(call), None),
            other => (None, other),
        };
        if let Some(other) = other {
            // The request is framed differently than assumed, so none of the calls may be used.
            self.discard_started(other);
        }
        let request = match &matching {
            Some(call) => call.request.clone(),
            None => self.open(&parts, Progress::Delivered),
        };
        request.on_delivered();
        self.update_activity();
        let memory = request.is_stream().then(|| self.open_stream(&parts));
        let delivery = Delivery { connection: self, request };
        async move {
            let Delivery { connection, request } = &delivery;
            let memory = match memory {
                // Its connection closes.
                Some(None) => return pending().await,
                memory => memory.flatten(),
            };
            let mut answer = match matching {
                Some(call) => {
                    connection.start_ahead();
                    call.answer().await
                }
                None => {
                    let delivered = Delivered { body, connection: connection.clone() };
                    connection.service.clone().run(parts, Some(delivered), request.clone()).await
                }
            };
            let is_leaving = connection.service.is_leaving();
            if is_leaving && !connection.has_received() && answer.version() < hyper::Version::HTTP_2 {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            connection.state.borrow_mut().on_answered();
            request.on_answered();
            connection.update_activity();
            let (parts, body) = answer.into_parts();
            let body = connection.attribute(body, memory).await;
            let body = AnswerBody::new(body, request.clone(), connection.clone());
            Ok(Response::from_parts(parts, body))
        }
    }

    /// Records that the body of the request that hyper delivered last is read, and whether its call is repeatable.
    pub fn on_read(&self, repeatable: bool) {
        self.state.borrow_mut().on_read(repeatable);
        self.update_activity();
        self.start_ahead();
    }

    /// Returns the account for the bodies of requests.
    pub const fn account(&self) -> &MemoryAccount {
        self.client.account()
    }

    /// Records that bytes of the body of a request have arrived.
    pub fn on_body_bytes(&self, bytes: usize) {
        self.client.on_transferred(bytes);
    }

    /// Waits until the connection has to close since memory or descriptors have run out.
    pub async fn evicted(&self) {
        self.client.evicted().await;
    }

    /// Returns whether the body of a request is being read.
    pub(super) fn is_body_awaited(&self) -> bool {
        let state = self.state.borrow();
        if state.passes_all() { self.requests.body_awaited().is_some() } else { state.is_body_awaited() }
    }

    /// Records bytes that were received and are held; returns whether there is memory for them.
    pub(super) fn on_held(&self) -> bool {
        self.update_activity();
        self.charge.borrow_mut().try_grow(self.request_bytes())
    }

    /// Records bytes that have arrived and are not read; returns whether there is memory for them.
    pub(super) fn on_unread(&self, unread_bytes: u64) -> bool {
        self.charge.borrow_mut().try_grow(self.request_bytes() + unread_bytes)
    }

    /// Returns the memory of the connection with the bytes of requests that are held.
    fn request_bytes(&self) -> u64 {
        let held_bytes = self.state.borrow().held_bytes();
        (CONNECTION_BYTES + held_bytes.saturating_sub(HELD_FREE_BYTES) * HELD_COPIES) as u64
    }

    /// Records that the connection does not use HTTP/1.1, so that its requests are not followed; returns whether there
    /// is memory for what HTTP/2 buffers.
    pub(super) fn on_passed_all(&self) -> bool {
        self.charge.borrow_mut().try_grow_or_evict((CONNECTION_BYTES + HTTP2_BYTES) as u64)
    }

    /// Records that the client has read bytes.
    pub(super) fn on_written(&self, bytes: usize) {
        self.client.on_transferred(bytes);
    }

    /// Returns the memory for heads to the account once no bytes are held.
    fn release_held(&self) {
        if self.state.borrow().held_bytes() == 0 && !self.state.borrow().passes_all() {
            self.charge.borrow_mut().shrink(CONNECTION_BYTES as u64);
        }
    }

    fn update_activity(&self) {
        if self.state.borrow().passes_all() {
            return self.update_stream_activity();
        }
        let activity = match &*self.state.borrow() {
            state if state.is_body_awaited() || state.has_partial_request() => Activity::Receiving,
            state if state.in_progress() > 0 => Activity::Running,
            _ => Activity::Idle,
        };
        self.client.set_activity(activity);
    }

    /// Derives the activity of an HTTP/2 connection, whose streams are in different phases.
    fn update_stream_activity(&self) {
        let awaited = self.requests.body_awaited();
        self.client.set_activity(match awaited {
            Some(_) => Activity::Receiving,
            None if self.requests.is_answer_due() => Activity::Running,
            None => Activity::Idle,
        });
        if let Some(longest) = awaited {
            self.client.on_progress_before(longest);
        }
    }

    /// Returns the memory for a stream. If there is none, the connection closes.
    fn open_stream(&self, parts: &Parts) -> Option<StreamMemory> {
        let memory = self.streams.open(parts, self.account());
        if memory.is_none() {
            self.client.close();
        }
        memory
    }

    /// Returns how many bytes hyper may get; zero while there is no memory for the streams that they may open.
    pub(super) fn readable_bytes(&self) -> usize {
        if !self.state.borrow().passes_all() {
            return usize::MAX;
        }
        self.streams.readable_bytes(self.account().room_bytes())
    }

    /// Returns whether hyper has bytes whose requests it has not delivered.
    pub(super) fn has_undelivered(&self) -> bool {
        self.streams.has_undelivered()
    }

    /// Records that hyper got bytes.
    pub(super) fn on_passed(&self, bytes: usize) {
        self.streams.on_passed(bytes);
    }

    /// Records that hyper has delivered all requests that it has the bytes of.
    pub(super) fn on_all_delivered(&self) {
        self.streams.on_all_delivered();
    }

    /// Closes stalled and idle connections unless there is memory for another stream; returns whether this one is stalled.
    pub(super) fn evict_for_stream(&self) -> bool {
        Streams::evict(self.account());
        self.client.is_stalled()
    }

    /// Attributes the body of an answer to the client, with the memory for its stream if it has one.
    async fn attribute(&self, body: Full<Bytes>, memory: Option<StreamMemory>) -> Full<Bytes> {
        // A full body is ready at once and never fails.
        let body = body.collect().await.map_or_else(|never| match never {}, Collected::to_bytes);
        let body = self.client.attribute(body, memory.is_some());
        Full::new(memory.map_or(body.clone(), |memory| memory.hold_until_sent(body)))
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
            let open = self.open(&request.parts, Progress::StartedAhead);
            let call = StartedCall::start(self.service.clone(), request.parts.clone(), open);
            let mut state = self.state.borrow_mut();
            state.push(&request, call);
            self.service.on_started(state.in_progress());
        }
    }

    /// Receives no further requests, and waits until hyper has delivered those that are received completely.
    pub async fn all_delivered(&self) {
        self.state.borrow_mut().seal();
        loop {
            let delivered = self.delivered.notified();
            if !self.has_received() {
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

    /// Records that hyper has written all that it had to write.
    pub(super) fn on_flushed(&self) {
        self.state.borrow_mut().on_flushed();
        self.requests.on_flushed();
        self.release_held();
        self.update_activity();
    }

    /// Records that the client ends the connection; the first reason counts.
    pub(super) fn on_client_end(&self, reason: EndReason, error: Option<&std::io::Error>) {
        let mut end = self.client_end.borrow_mut();
        end.get_or_insert_with(|| (reason, error.map(ToString::to_string)));
    }

    /// Returns how the client has ended the connection, with the error if there was one; none if it hasn't.
    pub(super) fn client_end(&self) -> Option<(EndReason, Option<String>)> {
        self.client_end.borrow().clone()
    }

    /// Records that one stream of an HTTP/2 connection was dropped before its answer was complete.
    pub(super) fn on_stream_dropped(&self, request: &OpenRequest) {
        let reason = match self.client_end() {
            _ if panicking() => EndReason::Panic,
            Some((reason, _)) => reason,
            None if self.service.is_closing() => EndReason::Exit,
            None => EndReason::StreamReset,
        };
        if let Some(unanswered) = request.end(reason) {
            self.service.on_unanswered(&unanswered);
        }
        self.update_activity();
    }

    /// Ends the connection with all requests and started calls.
    pub(super) fn end(&self, reason: EndReason, error: Option<String>) {
        if self.has_ended.replace(true) {
            return;
        }
        let requests = self.requests.opened();
        let mut unanswered = self.requests.end(reason);
        let is_unwritten = |request: &Unanswered| matches!(request.progress, Progress::Answered | Progress::Writing);
        let unwritten = unanswered.iter().filter(|request| is_unwritten(request)).count();
        let open = unanswered.len() - unwritten;
        let unstarted = self.state.borrow().unstarted();
        let end =
            ConnectionEnd { reason, error, requests, open, unwritten, unstarted: unstarted.len(), age: self.age() };
        unanswered.extend(unstarted.iter().map(|parts| self.unstarted(parts.as_ref(), reason)));
        self.service.on_ended(&end);
        for request in &unanswered {
            self.service.on_unanswered(request);
        }
        self.close();
    }

    fn unstarted(&self, parts: Option<&Parts>, reason: EndReason) -> Unanswered {
        Unanswered {
            call_id: parts.and_then(|parts| self.service.call_id(parts)),
            reason,
            progress: Progress::Received,
            is_body_read: false,
            is_placed: false,
            after: Duration::ZERO,
        }
    }

    fn age(&self) -> Duration {
        self.accepted.elapsed()
    }

    fn open(&self, parts: &Parts, progress: Progress) -> Rc<OpenRequest> {
        let request = self.requests.add(parts, progress);
        if let Some(call_id) = self.service.call_id(parts) {
            request.set_call_id(call_id);
        }
        request
    }

    /// Cancels all started calls, whose requests hyper delivers as other ones.
    fn discard_started(&self, first: StartedCall) {
        let started: Vec<_> = std::iter::once(first).chain(self.state.borrow_mut().close()).collect();
        log::warn!("event=caller.started_discarded calls={}", started.len());
        for call in &started {
            self.requests.withdraw(&call.request);
        }
    }

    /// Returns whether the client has begun to send a request that hyper has not delivered.
    pub(super) fn has_partial_request(&self) -> bool {
        self.state.borrow().has_partial_request()
    }

    /// Returns whether a request asked for the connection to close after its answer.
    pub(super) fn closes(&self) -> bool {
        self.state.borrow().closes()
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.service.is_leaving()
    }

    fn has_received(&self) -> bool {
        self.state.borrow().has_received()
    }
}

/// A request that hyper has delivered and whose answer it waits for.
struct Delivery {
    connection: Rc<CallerConnection>,
    request: Rc<OpenRequest>,
}

impl Drop for Delivery {
    fn drop(&mut self) {
        // Over HTTP/1, the request ends together with its connection.
        if self.request.is_stream() && self.request.progress() == Progress::Delivered {
            self.connection.on_stream_dropped(&self.request);
        }
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
    request: Rc<OpenRequest>,
    task: JoinHandle<Answer>,
}

impl StartedCall {
    fn start(service: Rc<dyn CallService>, parts: Parts, request: Rc<OpenRequest>) -> Self {
        let task = tokio::task::spawn_local(service.run(parts.clone(), None, request.clone()));
        Self { parts, request, task }
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
