//! Parsing of a caller's request head, without I/O.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::http::request::Parts;

use crate::bundle::{AccountRule, AccountTable, Bundle, ServiceRule};
use crate::code::Code;
use crate::gate::{ACCOUNT_HEADER, AttemptId, PERMILLE, QueueTimeout, REPEAT_HEADER, forwarded_headers};
use crate::link::message::CallHead;

/// Header with the name of the service; without it, the first label of the host is the name.
pub const SERVICE_HEADER: &str = "valetrack-service";
/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "valetrack-deadline-ms";
/// Header with the nesting depth of the call.
pub const DEPTH_HEADER: &str = "valetrack-depth";
/// Header with the idempotency key of a call.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the key of a client account, after the scheme `Bearer`.
const AUTHORIZATION_HEADER: &str = "authorization";
/// Longest idempotency key.
const KEY_MAX_BYTES: usize = 256;
/// Longest call id that is accepted from a caller.
const CALL_ID_MAX_BYTES: usize = 64;
/// Largest sum of the path and the names and values of forwarded headers; the rest of a frame is left to the other
/// fields.
const HEADERS_MAX_BYTES: usize = 48 * 1024;

/// Reason for which a request is rejected before it is sent to any server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Numbered code.
    pub code: Code,
    /// HTTP status.
    pub status: u16,
}

impl Rejection {
    /// Returns the rejection to answer with if the bundle in force may be superseded: what it lacks or does not allow, a
    /// later one may, so the caller is asked to try again.
    pub fn under_inconclusive_bundle(self) -> Self {
        match self.code {
            Code::ServiceUnknown | Code::KeyUnknown | Code::BodyTooLarge => {
                Self { code: Code::BundleUnconfirmed, status: 503 }
            }
            _ => self,
        }
    }
}

/// A call whose head has been read.
#[derive(Debug, Clone)]
pub struct IncomingCall {
    /// Head as it is sent to owners; the length of the body is set once the body is read.
    pub head: CallHead,
    /// Time for which its caller will wait; none where the request does not state it, or where its objective does not
    /// count from its first call.
    pub given_ms: Option<u32>,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Largest body of the request.
    pub request_cap_bytes: usize,
    /// Most upstreams that the call may run on; none where the rule of the service applies.
    pub attempts_max: Option<u8>,
}

const fn reject(code: Code, status: u16) -> Rejection {
    Rejection { code, status }
}

/// Parses the head of a request according to the bundle in force.
///
/// # Errors
///
/// Returns the reason for which the request is rejected.
pub fn read(parts: &Parts, bundle: &Bundle, new_id: &dyn Fn() -> String) -> Result<IncomingCall, Rejection> {
    let headers = &parts.headers;
    let rule = service(parts, bundle).ok_or(reject(Code::ServiceUnknown, 404))?;
    let depth = number(headers, DEPTH_HEADER)?.unwrap_or(0);
    if depth >= u64::from(rule.depth_max) {
        return Err(reject(Code::DepthExceeded, 508));
    }
    let repeat_permille = number(headers, REPEAT_HEADER)?.unwrap_or(0).min(PERMILLE as u64) as u16;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let route = rule.route(parts.method.as_str(), parts.uri.path());
    let repeatable = runs_repeatedly(parts, rule);
    let limit_ms = route.map_or(rule.deadline_ms, |route| route.deadline_ms);
    let requested_ms = number(headers, DEADLINE_HEADER)?.unwrap_or(limit_ms.into());
    let key = text(headers, KEY_HEADER, KEY_MAX_BYTES)?;
    let is_anonymous = route.is_some_and(|route| route.is_anonymous);
    let account = account_of(headers, AUTHORIZATION_HEADER, &bundle.accounts, is_anonymous, || depth > 0)?;
    let forwards_keys = bundle.accounts.is_empty();
    let is_forwarded = |name: &str| !is_own(name) && (forwards_keys || name != AUTHORIZATION_HEADER);
    let call_id = call_id(headers)?.map_or_else(new_id, str::to_owned);
    let forwarded = forwarded_headers(headers);
    let size: usize = forwarded.iter().map(|(name, value)| name.len() + value.len()).sum();
    if size + path.len() > HEADERS_MAX_BYTES {
        return Err(reject(Code::HeaderInvalid, 431));
    }
    let head = CallHead {
        attempt: AttemptId { entry: 0, seq: 0 },
        call_id: Arc::from(call_id),
        service: rule.name.clone(),
        origin: Arc::from(""),
        account: account.map(|account| account.name.clone()),
        route: Arc::from(""),
        method: parts.method.to_string(),
        path: path.to_owned(),
        headers: forwarded.into_iter().filter(|(name, _)| is_forwarded(name)).collect(),
        body_bytes: 0,
        deadline_ms: requested_ms.min(limit_ms.into()) as u32,
        objective_ms: 0,
        work_us: 0,
        elsewhere_permille: 0,
        priority: account.and_then(|account| account.priority).unwrap_or(0),
        repeatable,
        depth: depth as u8 + 1,
        made_by_run: depth > 0,
        repeat_permille,
        patience: QueueTimeout::Long,
        key: key.filter(|_| !repeatable).map(Arc::from),
        hlc: 0,
    };
    Ok(IncomingCall {
        head,
        given_ms: None,
        repeatable,
        request_cap_bytes: rule.request_cap_bytes as usize,
        attempts_max: None,
    })
}

/// Returns whether the work of a request may run more than once.
pub fn is_repeatable(parts: &Parts, bundle: &Bundle) -> bool {
    service(parts, bundle).is_some_and(|rule| runs_repeatedly(parts, rule))
}

fn runs_repeatedly(parts: &Parts, rule: &ServiceRule) -> bool {
    let safe = matches!(parts.method.as_str(), "GET" | "HEAD");
    rule.route(parts.method.as_str(), parts.uri.path()).map_or(safe, |route| route.repeatable)
}

/// Returns the id that a caller gave its request.
///
/// # Errors
///
/// Returns a rejection for an id that is empty, too long or repeated, or that contains a space or a quotation mark.
pub fn call_id(headers: &HeaderMap) -> Result<Option<&str>, Rejection> {
    text(headers, super::CALL_HEADER, CALL_ID_MAX_BYTES)
}

/// Returns whether each hop sets this header itself.
fn is_own(name: &str) -> bool {
    let own = [SERVICE_HEADER, DEADLINE_HEADER, DEPTH_HEADER, REPEAT_HEADER, super::CALL_HEADER, ACCOUNT_HEADER];
    own.contains(&name)
}

/// Returns the client account of a call by the key in `header`, after the scheme `Bearer`; none where the call needs no
/// key: there are no accounts, its route is anonymous, or it has no key and `may_be_own` returns that an upstream
/// beside this node may have made it.
///
/// # Errors
///
/// Returns a rejection for a call without a key, with more than one key, or with an unknown key.
pub fn account_of<'b>(
    headers: &HeaderMap,
    header: &str,
    accounts: &'b AccountTable,
    is_anonymous: bool,
    may_be_own: impl FnOnce() -> bool,
) -> Result<Option<&'b Arc<AccountRule>>, Rejection> {
    if accounts.is_empty() || is_anonymous || (!headers.contains_key(header) && may_be_own()) {
        return Ok(None);
    }
    let account = bearer_key(headers, header).and_then(|key| accounts.of_key(key));
    account.map(Some).ok_or(reject(Code::KeyUnknown, 401))
}

/// Returns the key in a header, after the scheme `Bearer`; none unless the header occurs exactly once.
fn bearer_key<'h>(headers: &'h HeaderMap, header: &str) -> Option<&'h str> {
    let mut given = headers.get_all(header).iter();
    let value = given.next()?;
    if given.next().is_some() {
        return None;
    }
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn service<'b>(parts: &Parts, bundle: &'b Bundle) -> Option<&'b ServiceRule> {
    if let Some(named) = parts.headers.get(SERVICE_HEADER) {
        return bundle.service(named.to_str().ok()?);
    }
    let host = parts.headers.get("host").and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host())?;
    bundle.service(host.split(['.', ':']).next()?)
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(reject(Code::HeaderInvalid, 400))
}

fn text<'h>(headers: &'h HeaderMap, name: &str, max_bytes: usize) -> Result<Option<&'h str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let fits = |text: &&str| !text.is_empty() && text.len() <= max_bytes && !text.contains(['"', ' ']);
    let one = value.to_str().ok().filter(fits).filter(|_| values.next().is_none());
    one.map(Some).ok_or(reject(Code::HeaderInvalid, 400))
}
