//! State of one connection with pipelined requests, without I/O: received bytes, which of them hyper may have, and
//! which request may be started ahead.
//!
//! The front message is the one that hyper reads or answers. Bytes behind it are kept until its answer is written, so
//! that hyper never holds bytes of two messages: it goes on to notice that the client closes, and the next request that
//! it delivers is the next message.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};
use hyper::http::request::Parts;

use super::framing::{Framing, Message, frame, request_of};

/// Most calls of a connection in progress, as the requirement states it.
pub const IN_PROGRESS_MAX: usize = 16;
/// Most received bytes that are held, as the requirement states it; also the largest head that hyper accepts.
pub const HELD_MAX_BYTES: usize = 64 * 1024;

/// The first request that is not started, if it may be started ahead as far as its framing shows.
#[derive(Debug)]
pub struct NextRequest {
    /// Head of the request.
    pub parts: Parts,
    /// Its framing.
    message: Message,
}

/// How received bytes are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Messages are followed one by one.
    Framed,
    /// All bytes pass to hyper until it looks for the next message.
    PassUntilIdle,
    /// All bytes pass to hyper until the connection closes.
    PassAll,
}

/// Progress of the front message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// hyper has not delivered it.
    Reading,
    /// Its call is in progress.
    Running,
    /// Its call is in progress, and its body is read.
    Read {
        /// Whether calls may be started behind it.
        repeatable: bool,
    },
    /// It has an answer, which is not written yet.
    Answered,
    /// Its answer is written.
    Written,
}

/// Pipelined requests of one connection; `C` is a started call.
#[derive(Debug)]
pub struct Pipeline<C> {
    mode: Mode,
    phase: Phase,
    /// Received bytes, from the first one that hyper has not got or that is part of an incomplete front head.
    held: BytesMut,
    /// Bytes at the start of `held` that hyper already has: those of an incomplete front head.
    handed: usize,
    /// Bytes of the front message that hyper has not got; none while its head is incomplete.
    left: Option<u64>,
    /// Call of the front message, if it was started ahead and hyper has not delivered it.
    front: Option<C>,
    /// Messages behind the front whose calls are started, with their lengths.
    started: VecDeque<(usize, C)>,
    /// Sum of their lengths.
    started_bytes: usize,
    /// Bytes of the first message that is not started in which no end of a head was found.
    searched: usize,
    /// Whether the first message that is not started has to wait until it is the front.
    waits: bool,
    /// Whether the connection closes after the last started message, or after the front.
    closes: bool,
    /// Whether no bytes behind the front message are received any more.
    is_sealed: bool,
}

impl<C> Default for Pipeline<C> {
    fn default() -> Self {
        Self {
            mode: Mode::Framed,
            phase: Phase::Reading,
            held: BytesMut::new(),
            handed: 0,
            left: None,
            front: None,
            started: VecDeque::new(),
            started_bytes: 0,
            searched: 0,
            waits: false,
            closes: false,
            is_sealed: false,
        }
    }
}

impl<C> Pipeline<C> {
    /// Returns how many more bytes may be received.
    pub fn room(&self) -> usize {
        if self.is_sealed && self.left.is_some() {
            return 0;
        }
        HELD_MAX_BYTES.saturating_sub(self.held.len())
    }

    /// Stops receiving bytes behind the front message.
    pub fn seal(&mut self) {
        self.is_sealed = true;
    }

    /// Returns whether no bytes behind the front message are received any more.
    pub fn is_sealed(&self) -> bool {
        self.is_sealed
    }

    /// Returns the buffer to which received bytes are appended; [`Self::on_received`] follows.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.held
    }

    /// Applies the bytes that were appended to the buffer.
    pub fn on_received(&mut self) {
        if self.mode == Mode::Framed && self.left.is_none() {
            self.frame_front();
        }
    }

    /// Returns the bytes that hyper may have now.
    pub fn ready(&self) -> &[u8] {
        let end = match (self.mode, self.left) {
            (Mode::Framed, Some(left)) => self.held.len().min(usize::try_from(left).unwrap_or(usize::MAX)),
            _ => self.held.len(),
        };
        &self.held[self.handed..end]
    }

    /// Records that hyper got the first `count` of the ready bytes.
    pub fn on_handed(&mut self, count: usize) {
        if self.mode == Mode::Framed && self.left.is_none() {
            self.handed += count;
            return;
        }
        self.held.advance(count);
        if self.held.is_empty() {
            // An idle connection keeps no buffer.
            self.held = BytesMut::new();
        }
        self.on_passed(count as u64);
    }

    /// Returns how many bytes from the socket may go to hyper directly; zero where they have to be inspected first.
    pub fn passable(&self) -> u64 {
        match (self.mode, self.left) {
            _ if !self.held.is_empty() => 0,
            (Mode::Framed, left) => left.unwrap_or(0),
            _ => u64::MAX,
        }
    }

    /// Records that hyper got `count` bytes of the front message.
    pub fn on_passed(&mut self, count: u64) {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(count);
        }
        self.advance();
    }

    /// Records that hyper polls the read side.
    ///
    /// While a call whose body is read is in progress, hyper only polls to notice that the client closes, and only with
    /// an empty buffer. It has thus consumed the whole message, and the next byte starts another one. If hyper polls
    /// before it delivers a message that it has got completely, it frames that message differently.
    pub fn on_polled(&mut self) {
        match (self.mode, self.phase, self.left) {
            (Mode::PassUntilIdle, Phase::Read { .. }, _) => {
                self.mode = Mode::Framed;
                self.left = Some(0);
            }
            (Mode::Framed, Phase::Reading, Some(0)) => self.pass_on(Mode::PassAll),
            _ => {}
        }
    }

    /// Records that hyper delivers the front message, and returns its call if it was started ahead; `is_last` states
    /// that the connection closes after its answer.
    pub fn on_delivered(&mut self, is_last: bool) -> Option<C> {
        self.closes |= is_last;
        let call = self.front.take();
        self.phase = match call {
            Some(_) => Phase::Read { repeatable: true },
            None => Phase::Running,
        };
        call
    }

    /// Records that the body of the front message is read, and whether its call is repeatable.
    pub fn on_read(&mut self, repeatable: bool) {
        if self.phase == Phase::Running {
            self.phase = Phase::Read { repeatable };
        }
    }

    /// Records that the front message has an answer.
    pub fn on_answered(&mut self) {
        self.phase = Phase::Answered;
    }

    /// Records that hyper has written all that it had to write.
    pub fn on_flushed(&mut self) {
        if self.phase == Phase::Answered {
            self.phase = Phase::Written;
            self.advance();
        }
    }

    /// Returns the next request if it may be started ahead, as far as its framing shows; [`Self::push`] or
    /// [`Self::wait`] follows.
    pub fn next_request(&mut self) -> Option<NextRequest> {
        let message = self.next_message()?;
        let bytes = &self.held[self.started_bytes..][..message.head_bytes];
        let parts = request_of(bytes).filter(|_| message.body_bytes == 0);
        self.waits = parts.is_none();
        Some(NextRequest { parts: parts?, message })
    }

    /// Records the call that was started for the request that [`Self::next_request`] returned.
    pub fn push(&mut self, request: &NextRequest, call: C) {
        let Message { head_bytes, is_last, .. } = request.message;
        self.closes |= is_last;
        self.started.push_back((head_bytes, call));
        self.started_bytes += head_bytes;
        self.searched = 0;
    }

    /// Makes the request that [`Self::next_request`] returned wait until it is the front.
    pub fn wait(&mut self) {
        self.waits = true;
    }

    /// Returns whether calls are started whose requests hyper has not delivered.
    pub fn has_started(&self) -> bool {
        self.front.is_some() || !self.started.is_empty()
    }

    /// Returns whether the client has begun to send a request that hyper has not delivered.
    pub fn has_partial_request(&self) -> bool {
        self.phase == Phase::Reading && (self.left.is_some() || !self.held.is_empty())
    }

    /// Returns whether hyper has delivered a request whose body is not read completely.
    pub fn is_body_awaited(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Returns the memory of the received bytes that are held.
    pub fn held_bytes(&self) -> usize {
        if self.held.is_empty() { 0 } else { self.held.capacity() }
    }

    /// Returns whether all bytes pass to hyper until the connection closes.
    pub fn passes_all(&self) -> bool {
        self.mode == Mode::PassAll
    }

    /// Returns whether a request asked for the connection to close after its answer.
    pub fn closes(&self) -> bool {
        self.closes
    }

    /// Returns the heads of the requests that were received completely, and that are neither delivered nor started; none
    /// for a head that may not be what hyper would deliver.
    ///
    /// Requests behind one that asks for the connection to close don't count, and requests behind a chunked body are
    /// left to hyper.
    pub fn unstarted(&self) -> Vec<Option<Parts>> {
        let mut heads = Vec::new();
        let left = self.left.and_then(|left| usize::try_from(left).ok());
        let (Mode::Framed, Some(left)) = (self.mode, left) else {
            return heads;
        };
        let is_front_unstarted = self.phase == Phase::Reading && self.front.is_none();
        if is_front_unstarted && left > 0 && self.held.len() >= left {
            // hyper may already have the start of a long head.
            let is_complete =
                matches!(frame(&self.held, 0), Framing::Known(message) if message.length() == left as u64);
            heads.push(request_of(&self.held).filter(|_| is_complete));
        }
        let mut rest = self.held.get(left + self.started_bytes..).unwrap_or_default();
        let mut closes = self.closes;
        while !closes && let Framing::Known(message) = frame(rest, 0) {
            let end = usize::try_from(message.length()).unwrap_or(usize::MAX);
            let Some(next) = rest.get(end..) else {
                break;
            };
            heads.push(request_of(rest));
            rest = next;
            closes = message.is_last;
        }
        heads
    }

    /// Returns whether requests are received completely that hyper has not delivered.
    pub fn has_received(&self) -> bool {
        self.has_started() || !self.unstarted().is_empty()
    }

    /// Returns how many calls are in progress.
    pub fn in_progress(&self) -> usize {
        let is_front_running = matches!(self.phase, Phase::Running | Phase::Read { .. });
        self.started.len() + usize::from(self.front.is_some()) + usize::from(is_front_running)
    }

    /// Stops looking ahead, and returns the calls that were started.
    pub fn close(&mut self) -> impl Iterator<Item = C> {
        self.mode = Mode::PassAll;
        self.started_bytes = 0;
        self.front.take().into_iter().chain(std::mem::take(&mut self.started).into_iter().map(|(_, call)| call))
    }

    /// Returns the next message behind the started ones if it is complete and may be started by what is known of those
    /// before it.
    fn next_message(&mut self) -> Option<Message> {
        let may_follow = self.mode == Mode::Framed
            && self.phase == Phase::Read { repeatable: true }
            && self.left == Some(0)
            && !self.waits
            && !self.closes
            && self.in_progress() < IN_PROGRESS_MAX;
        let bytes = self.held.get(self.started_bytes..).filter(|_| may_follow)?;
        match frame(bytes, self.searched) {
            Framing::Known(message) => return Some(message),
            Framing::Incomplete => self.searched = bytes.len(),
            Framing::Chunked | Framing::Foreign => self.waits = true,
        }
        None
    }

    /// Makes the next message the front once the present one is handed to hyper and its answer is written.
    fn advance(&mut self) {
        if self.phase != Phase::Written || self.mode != Mode::Framed || self.left != Some(0) {
            return;
        }
        self.phase = Phase::Reading;
        self.waits = false;
        if let Some((length, call)) = self.started.pop_front() {
            self.left = Some(length as u64);
            self.started_bytes -= length;
            self.front = Some(call);
            return;
        }
        self.left = None;
        self.searched = 0;
        self.frame_front();
    }

    /// Reads the framing of the front message.
    fn frame_front(&mut self) {
        match frame(&self.held, self.searched) {
            Framing::Known(message) => {
                self.closes |= message.is_last;
                self.left = Some(message.length() - self.handed as u64);
                self.drop_handed();
            }
            Framing::Incomplete if self.held.len() < HELD_MAX_BYTES => self.searched = self.held.len(),
            Framing::Chunked => self.pass_on(Mode::PassUntilIdle),
            Framing::Incomplete | Framing::Foreign => self.pass_on(Mode::PassAll),
        }
    }

    /// Passes all bytes to hyper for as long as `mode` states.
    fn pass_on(&mut self, mode: Mode) {
        self.mode = mode;
        self.drop_handed();
    }

    fn drop_handed(&mut self) {
        self.held.advance(self.handed);
        self.handed = 0;
        self.searched = 0;
    }
}
