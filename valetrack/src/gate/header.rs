//! Headers that are forwarded between callers and upstreams.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

use super::pool::ATTEMPT_HEADER;

/// Header by which a server announces that it is about to stop. In messages between nodes, it states which incarnation
/// of an upstream leaves.
pub const LEAVING_HEADER: &str = "valetrack-leaving";
/// Header by which an upstream limits the calls per second that it receives, with a decimal number.
pub const RATE_LIMIT_HEADER: &str = "valetrack-rate-limit";
/// Header that names the client account to upstreams; a value set by a caller is not forwarded.
pub const ACCOUNT_HEADER: &str = "valetrack-account";
/// Header with the probability, in thousandths, that a repeated run made the call. If an upstream copies it to the
/// calls that it makes, its node does not have to estimate the value.
pub const REPEAT_HEADER: &str = "valetrack-repeat-permille";
/// Hop-by-hop headers, which are not forwarded.
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
    RATE_LIMIT_HEADER,
];

/// Returns whether a header is forwarded.
fn is_end_to_end(name: &str) -> bool {
    !HOP_HEADERS.contains(&name)
}

/// Returns the headers that are forwarded.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        is_end_to_end(name.as_str()).then(|| (name.as_str().to_owned(), value.as_bytes().to_vec()))
    };
    headers.iter().filter_map(pair).collect()
}
