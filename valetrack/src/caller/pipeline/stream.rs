//! Stream of a caller's connection, which hands hyper the bytes of one message at a time.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::FutureExt;
use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::connection::CallerConnection;
use super::end::EndReason;

/// Most bytes that are read at once where they are inspected, as in hyper.
const READ_BYTES: usize = 8 * 1024;
/// Most bytes that hyper gets at once. It enlarges its buffer, by up to 64 KiB a connection, when a read fills it.
const PASS_MAX_BYTES: usize = READ_BYTES - 1;
/// Interval of checks for a closed connection while no more bytes may be held. A fifth of the half second within which
/// calls of such a connection have to end.
const CLOSED_CHECK_MS: u64 = 100;
/// Interval of checks for memory for the streams that further bytes may open.
const ROOM_CHECK_MS: u64 = 20;
/// Longest wait for the client to close a connection on which it has sent bytes that are not read. Closing it would
/// reset it, and the client could lose the last answer.
const UNREAD_LINGER_MS: u64 = 500;

/// Stream of a caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    /// Timer of the next check for a closed connection.
    closed_check: Option<Pin<Box<Sleep>>>,
    /// Timer of the next check for memory for further streams.
    room_check: Option<Pin<Box<Sleep>>>,
    /// End of the wait for the client to close the connection.
    linger: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Creates the stream of a connection.
    pub fn new(stream: TcpStream, connection: Rc<CallerConnection>) -> Self {
        Self { stream, connection, closed_check: None, room_check: None, linger: None }
    }

    /// Passes on the result of an operation on the socket, and records one that failed as an end by the client.
    fn check<T>(&self, result: io::Result<T>) -> io::Result<T> {
        result.inspect_err(|error| self.connection.on_client_end(EndReason::ClientReset, Some(error)))
    }

    /// Hands hyper up to `most` bytes that are held; returns whether there were any.
    fn hand(&self, buf: &mut ReadBuf<'_>, most: usize) -> bool {
        let mut state = self.connection.state.borrow_mut();
        state.on_polled();
        let ready = state.ready();
        let count = ready.len().min(buf.remaining()).min(most);
        buf.put_slice(&ready[..count]);
        if count > 0 {
            state.on_handed(count);
            self.connection.on_passed(count);
        }
        count > 0
    }

    /// Reads up to `most` bytes, of which up to `passable` go to hyper, and holds the others.
    fn poll_pass(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        passable: u64,
        most: usize,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let most = buf.remaining().min(PASS_MAX_BYTES).min(most);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part));
        self.check(read)?;
        let count = part.filled().len();
        buf.advance(count);
        if count == 0 && buf.remaining() > 0 {
            self.connection.on_client_end(EndReason::ClientClosed, None);
        }
        let passed = usize::try_from(passable).map_or(count, |passable| count.min(passable));
        let mut state = self.connection.state.borrow_mut();
        state.buffer().extend_from_slice(&buf.filled()[before + passed..]);
        buf.set_filled(before + passed);
        state.on_passed(passed as u64);
        self.connection.on_passed(passed);
        Poll::Ready(Ok(()))
    }

    /// Reads up to `most` bytes of the front message for hyper, and none behind it.
    fn poll_pass_front(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>, most: u64) -> Poll<io::Result<()>> {
        let most = usize::try_from(most).unwrap_or(usize::MAX).min(buf.remaining());
        let mut chunk = [const { MaybeUninit::uninit() }; READ_BYTES];
        let mut read = ReadBuf::uninit(&mut chunk[..most.min(READ_BYTES)]);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read));
        self.check(result)?;
        let count = read.filled().len();
        if count == 0 && most > 0 {
            self.connection.on_client_end(EndReason::ClientClosed, None);
        }
        buf.put_slice(read.filled());
        self.connection.state.borrow_mut().on_passed(count as u64);
        Poll::Ready(Ok(()))
    }

    /// Waits until the client closes the connection if it has sent bytes that are not read, but not for long.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut byte = [MaybeUninit::uninit()];
        let mut peeked = ReadBuf::uninit(&mut byte);
        let is_unread = matches!(self.stream.poll_peek(cx, &mut peeked), Poll::Ready(Ok(1..)));
        if !is_unread {
            return Poll::Ready(());
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(Duration::from_millis(UNREAD_LINGER_MS))));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        self.poll_closed(cx)
    }

    /// Reads bytes to be held; returns how many, zero at the end of the stream.
    fn poll_hold(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let room = self.connection.state.borrow().room();
        if room == 0 {
            return self.poll_closed(cx).map(|()| Ok(0));
        }
        self.closed_check = None;
        let mut chunk = [const { MaybeUninit::uninit() }; READ_BYTES];
        let mut read = ReadBuf::uninit(&mut chunk[..room.min(READ_BYTES)]);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read));
        self.check(result)?;
        let mut state = self.connection.state.borrow_mut();
        state.buffer().extend_from_slice(read.filled());
        state.on_received();
        let passes_all = state.passes_all();
        drop(state);
        let has_memory = self.connection.on_held() && (!passes_all || self.connection.on_passed_all());
        Poll::Ready(if has_memory { Ok(read.filled().len()) } else { Err(self.end_for_memory()) })
    }

    /// Records that the connection ends since there is no memory for what the client has sent.
    fn end_for_memory(&self) -> io::Error {
        self.connection.on_client_end(EndReason::MemoryFull, None);
        io::Error::from(io::ErrorKind::OutOfMemory)
    }

    /// Waits for memory for the streams that further bytes may open; returns how many bytes hyper may get, or none once
    /// the client has closed the connection. A stalled connection ends.
    fn poll_readable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<usize>>> {
        loop {
            let most = self.connection.readable_bytes();
            if most > 0 {
                self.room_check = None;
                return Poll::Ready(Ok(Some(most)));
            }
            if self.connection.has_undelivered() {
                // Their streams are opened before further bytes are read.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let check = self.room_check.get_or_insert_with(|| Box::pin(sleep(Duration::from_millis(ROOM_CHECK_MS))));
            ready!(check.as_mut().poll(cx));
            self.room_check = None;
            if self.is_read_closed() {
                return Poll::Ready(Ok(None));
            }
            if self.connection.evict_for_stream() {
                return Poll::Ready(Err(self.end_for_memory()));
            }
        }
    }

    /// Returns whether the client has closed the connection.
    fn is_read_closed(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Waits until the client closes the connection, without reading.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let check =
                self.closed_check.get_or_insert_with(|| Box::pin(sleep(Duration::from_millis(CLOSED_CHECK_MS))));
            ready!(check.as_mut().poll(cx));
            self.closed_check = None;
            // Bytes that have arrived and are not read count as memory of the process.
            let unread_bytes = ioctl_fionread(&self.stream).unwrap_or(0);
            if !self.connection.on_unread(unread_bytes) {
                self.connection.on_client_end(EndReason::MemoryFull, None);
                return Poll::Ready(());
            }
            if self.is_read_closed() {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            let Some(most) = ready!(this.poll_readable(cx))? else {
                this.connection.on_client_end(EndReason::ClientClosed, None);
                return Poll::Ready(Ok(()));
            };
            if this.hand(buf, most) {
                return Poll::Ready(Ok(()));
            }
            let (passable, is_sealed) = {
                let state = this.connection.state.borrow();
                (state.passable(), state.is_sealed())
            };
            if is_sealed && (1..u64::MAX).contains(&passable) {
                return this.poll_pass_front(cx, buf, passable);
            }
            if passable > 0 {
                return this.poll_pass(cx, buf, passable, most);
            }
            // The end of the stream goes to hyper at once, also before held requests: hyper then drops the connection
            // with all calls, as it does for a single request whose client closes.
            if ready!(this.poll_hold(cx))? == 0 {
                this.connection.on_client_end(EndReason::ClientClosed, None);
                return Poll::Ready(Ok(()));
            }
            this.connection.start_ahead();
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        Poll::Ready(self.check(written).inspect(|bytes| self.connection.on_written(*bytes)))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        Poll::Ready(self.check(written).inspect(|bytes| self.connection.on_written(*bytes)))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.check(flushed)?;
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.connection.is_leaving() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
