//! Body of an answer, which reports whether hyper has taken it completely.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::connection::CallerConnection;
use super::end::OpenRequest;

/// Body of the answer to a request.
pub struct AnswerBody {
    body: Full<Bytes>,
    request: Rc<OpenRequest>,
    connection: Rc<CallerConnection>,
}

impl AnswerBody {
    /// Creates the body of the answer to `request`.
    pub fn new(body: Full<Bytes>, request: Rc<OpenRequest>, connection: Rc<CallerConnection>) -> Self {
        Self { body, request, connection }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // Over HTTP/1, hyper drops a body early only if the answer has none, or together with the connection.
        if self.body.is_end_stream() || self.request.is_head() || !self.request.is_stream() {
            self.request.on_taken();
        } else {
            self.connection.on_stream_dropped(&self.request);
        }
    }
}
