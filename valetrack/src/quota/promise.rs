//! Promises between the home of an account and its stand-in, without I/O.
//!
//! Both nodes rank accounts by the same weights, so of two nodes that know each other, the same one is the home of all
//! accounts that the pair shares. The stand-in (the giver) promises the home (the receiver) not to grant credits for
//! those accounts. The giver counts the promise on its steady clock, which a suspension pauses, and the receiver on a
//! clock that a suspension does not pause, from before it sent the request. The receiver's count therefore ends first.

use std::collections::HashMap;
use std::sync::Arc;

use super::home::{Grant, Right};
use super::rank::Role;

/// Time for which a giver grants nothing instead of the receiver. Entries of an account are without a stand-in for as
/// long after a crash of its home, so it may not be much longer than a second.
pub const PROMISE_US: u64 = 1_250_000;
/// Time by which the receiver's count is shorter. It covers a suspension that is too short to be detected (150 ms), a
/// grant that is decided just before the process is paused (an entry waits 150 ms for it), and the drift of clocks.
const MARGIN_US: u64 = 250_000;
/// Remaining time below which a promise is renewed.
const RENEW_BELOW_US: u64 = 500_000;
/// Time until the next request to a node that did not answer, or that runs an older build.
const RETRY_US: u64 = 1_000_000;
/// Time until the next request to a node that denied a promise because of its view. Views differ for about as long as an
/// update of the store takes to reach all nodes.
const DENIED_RETRY_US: u64 = 300_000;
/// Time after its start for which a node that knows no other one grants nothing. Nodes that start together know each
/// other only once one of them relays the store to the others, and each would grant the whole rate until then. It is the
/// window of the limit.
const ALONE_US: u64 = 5_000_000;
/// `calls` of a promise after which the receiver must assume that the giver has granted credits in the meantime.
const INTERRUPTED_CALLS: u32 = 1;
/// `calls` of a promise whose giver has granted nothing since its previous promise to the receiver.
const UNBROKEN_CALLS: u32 = 2;

/// Reply to a request for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseReply {
    /// The giver grants nothing for the time of a promise.
    Given {
        /// Whether the giver has granted nothing since its previous promise to the receiver.
        is_unbroken: bool,
    },
    /// The requesting node is not the home in the giver's view, so another node grants the account's credits.
    Denied,
    /// The node makes no promises, as nodes of older builds, or did not answer.
    None,
}

impl PromiseReply {
    /// Returns the grant by which the reply is sent, which keeps the format of messages.
    ///
    /// A node of an older build answers a request for zero calls without calls and, if it grants, with a retry delay
    /// above zero. It can therefore not be mistaken for either reply.
    pub const fn to_grant(self) -> Option<Grant> {
        let retry_after_ms = (PROMISE_US / 1_000) as u32;
        match self {
            Self::Given { is_unbroken: true } => Some(Grant { calls: UNBROKEN_CALLS, retry_after_ms }),
            Self::Given { is_unbroken: false } => Some(Grant { calls: INTERRUPTED_CALLS, retry_after_ms }),
            Self::Denied => Some(Grant { calls: 0, retry_after_ms: 0 }),
            Self::None => None,
        }
    }

    /// Reads a reply; `grant` is what the other node answered, if it did.
    pub fn from_grant(grant: Option<Grant>) -> Self {
        match grant {
            Some(Grant { calls: 0, retry_after_ms: 0 }) => Self::Denied,
            Some(Grant { calls, retry_after_ms }) if calls > 0 && u64::from(retry_after_ms) * 1_000 >= PROMISE_US => {
                Self::Given { is_unbroken: calls == UNBROKEN_CALLS }
            }
            Some(_) | None => Self::None,
        }
    }

    /// Returns the reply's label in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Given { .. } => "given",
            Self::Denied => "denied",
            Self::None => "none",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Given {
    until_us: u64,
    /// Whether this node has granted credits instead of the receiver since the promise was given.
    has_granted: bool,
}

/// Promises that this node has given, on its steady clock.
#[derive(Debug)]
pub struct GivenPromises {
    started_us: u64,
    by_receiver: HashMap<Arc<str>, Given>,
}

impl GivenPromises {
    /// Creates the record of a node that started at `started_us` and may have given promises just before.
    pub fn new(started_us: u64) -> Self {
        Self { started_us, by_receiver: HashMap::new() }
    }

    /// Promises `receiver` from `now_us` on not to grant credits instead of it.
    pub fn give(&mut self, receiver: &Arc<str>, now_us: u64) -> PromiseReply {
        let until_us = now_us + PROMISE_US;
        let previous = self.by_receiver.insert(receiver.clone(), Given { until_us, has_granted: false });
        PromiseReply::Given { is_unbroken: previous.is_some_and(|given| !given.has_granted) }
    }

    /// Returns whether a promise is in effect to a node that ranks before this one for an account, which `outranks`
    /// states.
    pub fn is_bound(&self, outranks: impl Fn(&str) -> bool, now_us: u64) -> bool {
        self.by_receiver.iter().any(|(receiver, given)| now_us < given.until_us && outranks(receiver))
    }

    /// Returns whether the node may stand in for others: promises from before its start, of which it has no record, have
    /// expired.
    pub fn may_stand_in(&self, now_us: u64) -> bool {
        now_us >= self.started_us + PROMISE_US
    }

    /// Returns whether a node that knows no other one grants credits, because others that started with it would be known.
    pub fn may_be_alone(&self, now_us: u64) -> bool {
        now_us >= self.started_us + ALONE_US
    }

    /// Records that this node grants credits of an account. That interrupts the promises to the nodes that rank before it
    /// for the account, which `outranks` states.
    pub fn record_grant(&mut self, outranks: impl Fn(&str) -> bool) {
        for (receiver, given) in &mut self.by_receiver {
            given.has_granted |= outranks(receiver);
        }
    }

    /// Removes promises to nodes that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now_us: u64) {
        self.by_receiver.retain(|receiver, given| now_us < given.until_us || is_known(receiver));
    }
}

#[derive(Debug, Clone, Copy)]
struct Received {
    /// Time since which the promise has been in effect without an interruption in which the giver granted.
    since_us: u64,
    until_us: u64,
    /// Earliest time of the next request.
    next_request_us: u64,
    /// Whether a request has been sent whose reply was not recorded yet.
    is_pending: bool,
    /// Whether a reply was lost, so that the next "unbroken" promise may follow one that this node never received.
    is_uncertain: bool,
}

/// Promises that this node holds, on the clock that a suspension does not pause.
#[derive(Debug, Default)]
pub struct ReceivedPromises {
    by_giver: HashMap<Arc<str>, Received>,
}

/// Whether a home requests a promise before it grants credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// The promise lasts long enough, or the giver was asked without success a short time ago.
    NotDue,
    /// The promise ends soon; only one request for credits needs to wait for the renewal.
    Early,
    /// There is no promise, so all requests for credits wait for the result.
    Required,
}

impl ReceivedPromises {
    /// Returns whether a promise of `giver` must be requested at `now_us`.
    pub fn renewal(&self, giver: &str, now_us: u64) -> Renewal {
        match self.by_giver.get(giver) {
            None => Renewal::Required,
            Some(received) if now_us < received.next_request_us => Renewal::NotDue,
            Some(received) if now_us < received.until_us => Renewal::Early,
            Some(_) => Renewal::Required,
        }
    }

    /// Records that a request is about to be sent to `giver`. At most one is outstanding.
    pub fn begin(&mut self, giver: &Arc<str>) {
        let received = self.by_giver.entry(giver.clone()).or_insert(Received {
            since_us: 0,
            until_us: 0,
            next_request_us: 0,
            is_pending: false,
            is_uncertain: true,
        });
        // The request before this one was cancelled.
        received.is_uncertain |= received.is_pending;
        received.is_pending = true;
    }

    /// Records the reply of `giver` to a request that was sent after `asked_us`.
    pub fn record(&mut self, giver: &Arc<str>, reply: PromiseReply, asked_us: u64) {
        let Some(received) = self.by_giver.get_mut(giver) else {
            return;
        };
        received.is_pending = false;
        match reply {
            PromiseReply::Given { is_unbroken } => {
                if !is_unbroken || received.is_uncertain {
                    received.since_us = asked_us;
                }
                received.is_uncertain = false;
                received.until_us = received.until_us.max(asked_us + PROMISE_US - MARGIN_US);
                received.next_request_us = received.until_us - RENEW_BELOW_US;
            }
            PromiseReply::Denied => {
                received.until_us = 0;
                received.is_uncertain = true;
                received.next_request_us = asked_us + DENIED_RETRY_US;
            }
            PromiseReply::None => {
                received.is_uncertain = true;
                received.next_request_us = asked_us + RETRY_US;
            }
        }
    }

    /// Returns what part of an account's rate the home may grant beside its stand-in `giver`.
    fn right(&self, giver: &str, now_us: u64) -> Right {
        match self.by_giver.get(giver) {
            Some(received) if now_us < received.until_us => Right::Full { since_us: received.since_us },
            // A denied home grants half as well. Views differ for up to a second at each change of the members, and
            // without any grant, callers within their rate would be refused for that long.
            Some(_) | None => Right::Half,
        }
    }

    /// Removes the promises of nodes that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_giver.retain(|giver, _| is_known(giver));
    }
}

/// Promises of one node, given and received.
#[derive(Debug)]
pub struct Promises {
    /// Promises that this node has given.
    pub given: GivenPromises,
    /// Promises that this node holds.
    pub received: ReceivedPromises,
}

impl Promises {
    /// Creates the record of a node that started at `started_us` on its steady clock.
    pub fn new(started_us: u64) -> Self {
        Self { given: GivenPromises::new(started_us), received: ReceivedPromises::default() }
    }

    /// Returns what part of an account's rate this node may grant; none if it may grant nothing.
    ///
    /// `outranks` returns whether another node ranks before this one for the account, `now_us` is the time on the clock
    /// that a suspension does not pause, and `steady_us` that on the steady clock.
    pub fn right(&self, role: &Role, outranks: impl Fn(&str) -> bool, now_us: u64, steady_us: u64) -> Option<Right> {
        if self.given.is_bound(outranks, steady_us) {
            return None;
        }
        match role {
            Role::Home { stand_in: Some(stand_in) } => Some(self.received.right(&stand_in.vm, now_us)),
            Role::Home { stand_in: None } if self.given.may_be_alone(steady_us) => Some(Right::Full { since_us: 0 }),
            Role::StandIn { .. } if self.given.may_stand_in(steady_us) => Some(Right::Half),
            Role::Home { stand_in: None } | Role::StandIn { .. } | Role::Unranked => None,
        }
    }
}
