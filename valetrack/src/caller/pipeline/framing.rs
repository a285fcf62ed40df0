//! Message framing of HTTP/1.1 requests: where a message ends, by the rules that hyper applies.

use hyper::Request;
use hyper::http::request::Parts;

/// Most headers of a request, as in hyper.
const HEADERS_MAX: usize = 100;

/// Framing of the message at the start of some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The head is not complete.
    Incomplete,
    /// A message of known length.
    Known(Message),
    /// A valid head with a chunked body, whose end is left to hyper.
    Chunked,
    /// Not understood: an invalid head, another version of HTTP, or an upgrade.
    Foreign,
}

/// A message of known length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// Length of its head.
    pub head_bytes: usize,
    /// Length of its body.
    pub body_bytes: u64,
    /// Whether the client wants the connection to close after the answer.
    pub is_last: bool,
}

impl Message {
    /// Returns its length.
    pub const fn length(&self) -> u64 {
        (self.head_bytes as u64).saturating_add(self.body_bytes)
    }
}

/// Returns the framing of the message at the start of `bytes`, of which an earlier call has found the first `searched`
/// incomplete.
pub fn frame(bytes: &[u8], searched: usize) -> Framing {
    // An incomplete head is parsed once, which detects other protocols, and again only at its end: a head that arrives
    // byte by byte must not be parsed once per byte.
    if bytes.is_empty() || (searched > 0 && !has_head_end(&bytes[searched.saturating_sub(3)..])) {
        return Framing::Incomplete;
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => frame_of(&request, head_bytes),
        Ok(httparse::Status::Partial) => Framing::Incomplete,
        Err(_) => Framing::Foreign,
    }
}

fn frame_of(request: &httparse::Request<'_, '_>, head_bytes: usize) -> Framing {
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return Framing::Foreign;
    }
    let mut body_bytes = None;
    let (mut is_last, mut is_chunked) = (false, false);
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = length_of(header.value);
            if length.is_none() || (body_bytes.is_some() && body_bytes != length) {
                return Framing::Foreign;
            }
            body_bytes = length;
        } else if header.name.eq_ignore_ascii_case("connection") {
            is_last |= has_token(header.value, "close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            is_chunked = true;
        } else if header.name.eq_ignore_ascii_case("upgrade") {
            return Framing::Foreign;
        }
    }
    if is_chunked {
        return Framing::Chunked;
    }
    Framing::Known(Message { head_bytes, body_bytes: body_bytes.unwrap_or(0), is_last })
}

/// Returns the request whose complete head is at the start of `bytes`, as hyper would deliver it; none if hyper may
/// deliver it differently.
pub fn request_of(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(bytes).ok()?;
    let mut built = Request::builder().method(request.method?).uri(request.path?);
    for header in request.headers.iter() {
        built = built.header(header.name, header.value);
    }
    Some(built.body(()).ok()?.into_parts().0)
}

fn has_head_end(bytes: &[u8]) -> bool {
    let ends_line = |at: &usize| bytes[*at] == b'\n';
    let mut line_ends = (0..bytes.len()).filter(ends_line);
    line_ends.any(|at| bytes[at + 1..].starts_with(b"\n") || bytes[at + 1..].starts_with(b"\r\n"))
}

fn length_of(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}

/// Returns whether a header with a list contains a token.
pub fn has_token(value: &[u8], token: &str) -> bool {
    value.split(|byte| *byte == b',').any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
