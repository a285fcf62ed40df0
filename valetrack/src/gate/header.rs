//! Which headers travel from end to end.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

use super::pool::ATTEMPT_HEADER;

/// Header by which a server says that it is about to stop.
pub const LEAVING_HEADER: &str = "valetrack-leaving";
/// Header that names the client account to upstreams; no caller's own word of it travels.
pub const ACCOUNT_HEADER: &str = "valetrack-account";
/// Header with the chance that a repeated run made the call, in thousandths; an upstream that passes
/// it on to the calls that it makes spares its node the guess.
pub const REPEAT_HEADER: &str = "valetrack-repeat-permille";
/// Headers that belong to one connection and do not travel.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "expect",
    ATTEMPT_HEADER,
    LEAVING_HEADER,
];

/// Returns whether a header travels from end to end.
fn travels(name: &str) -> bool {
    !HOP_HEADERS.contains(&name)
}

/// Returns the headers that travel from end to end.
pub fn travelling(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        travels(name.as_str()).then(|| (name.as_str().to_owned(), value.as_bytes().to_vec()))
    };
    headers.iter().filter_map(pair).collect()
}
