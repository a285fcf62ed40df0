//! Numbered result codes, shared by every error, log line and caller-visible answer.
//!
//! The table in `docs/CODES.md` is printed from [`ALL`] and held to it by a test.

use std::fmt;

macro_rules! codes {
    ($($name:ident = $number:literal, $text:literal;)+) => {
        /// A numbered result; the number never changes its meaning between versions.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Code {
            $(#[doc = $text] $name,)+
        }

        /// Every code, in the order of its number.
        pub const ALL: &[Code] = &[$(Code::$name,)+];

        impl Code {
            /// Returns the number that stands behind `VT`.
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)+ }
            }

            /// Returns the one-line meaning shown to operators and callers.
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)+ }
            }
        }
    };
}

codes! {
    SettingMissing = 101, "a required setting is missing";
    SettingInvalid = 102, "a setting has a value that is not allowed";
    SettingUnknown = 103, "a flag is not known";
    CommandUnknown = 104, "a command is not known";
    FileUnreadable = 105, "a file could not be read or written";
    AddressBusy = 106, "an address could not be listened on";
    DutyFailed = 107, "a task of the node has failed, and the node leaves";
    DomainUnlisted = 108, "a failure domain is not in the list of regions and counts as a region of its own";
    ServiceUnknown = 201, "the call names no service of the bundle in force";
    BodyTooLarge = 202, "the body of the call is over the route's cap";
    BodyBroken = 203, "the body of the call ended early or came too slowly";
    DepthExceeded = 204, "the call is nested too deep";
    HeaderInvalid = 205, "a header that valetrack reads has a value that is not allowed";
    KeyReused = 206, "the idempotency key was used before with a different call";
    NoBundle = 207, "this node has no bundle in force yet";
    KeyUnknown = 208, "the call brings no key of a client account";
    BundleUnconfirmed = 209, "the bundle in force may be superseded by one that allows the call";
    Overloaded = 301, "no server has room for the call before its deadline";
    NoServer = 302, "no server of the service is in rotation";
    DeadlinePassed = 303, "the deadline passed";
    LinkLost = 304, "the link to the owner broke while the call was outstanding";
    ServerFailed = 305, "the server broke its connection or its answer was not whole";
    ServerRefused = 306, "the server took no connection, so the call did not start";
    AnswerTooLarge = 307, "the answer of the server is over the route's cap";
    Leaving = 308, "the server is leaving and takes no new work";
    Cancelled = 309, "the attempt was cancelled before it started";
    ServerCrashed = 310, "the server crashed while it ran the call";
    Quarantined = 311, "the call has crashed servers and is not put to them for now";
    OverRate = 312, "the client account is over its rate, so the call did not start";
    MemoryFull = 313, "the node has no memory left for the call or its answer";
    ClaimNotKept = 401, "the claim could not be made durable, so the call did not start";
    ClaimUnfinished = 402, "the key was claimed before and its outcome is not known";
    HomeUnreachable = 403, "the home of the key could not be reached";
    HomeMoved = 404, "the home of the key is another node";
    ClaimPageFull = 405, "the page of claims holds no more keys";
    AnswerNotKept = 406, "the key ran before, and its answer was too large to keep";
    ClaimHistoryUnknown = 407, "the store may have come back from a copy that lacks the key, so it is not known whether it ran";
    BundleSyntax = 501, "the bundle is not valid TOML";
    BundleKeyUnknown = 502, "the bundle has a key that is not known";
    BundleValueInvalid = 503, "the bundle has a value that is not allowed";
    BundleKeyMissing = 504, "the bundle lacks a required key";
    BundleNotFound = 505, "no bundle of this version was written";
    BundleNotApproved = 506, "the bundle was not approved by a second operator";
    BundleSelfApproval = 507, "the author of a bundle cannot approve it";
    BundleRaceLost = 508, "another operator rolled first";
    BundleDamaged = 509, "the bundle does not match its version";
    BundleNotInForce = 510, "the bundle was rolled and is not in force at all nodes that were asked";
    RolloutInvalid = 511, "an order or a document of a roll-out could not be read";
    StoreUnreachable = 601, "the platform's store could not be reached";
    StoreAnswerInvalid = 602, "the platform's store gave an answer that could not be read";
    StoreOutcomeUnknown = 603, "a write to the platform's store may or may not have taken effect";
    StoreBudget = 604, "the budget for calls to the platform's store is spent";
    ListUnreachable = 605, "the platform's VM list could not be read";
    StoreRefused = 606, "the platform's store turned the call away";
    StoreHistoryGone = 607, "the platform's store has dropped the history that a watch asked for";
    LeaseOver = 608, "the lease of this node's entry is over";
    AnnouncementInvalid = 609, "an announcement of the upstream could not be read";
    EntryInvalid = 610, "a node's entry in the store could not be read";
    CrashReportInvalid = 611, "the crashes of a service in the store could not be read";
    UpstreamHeaderInvalid = 612, "a header of the upstream's answer has a value that is not allowed";
    StoreChangesTooLarge = 613, "the changes that a watch of the platform's store asked for are too large for one answer";
    FrameInvalid = 701, "a frame on a link could not be read";
    FrameTooLarge = 702, "a frame on a link is over its cap";
    LinkRefused = 703, "a link could not be opened";
    KeyInvalid = 704, "a certificate or key could not be read or is not valid";
    KeyExpired = 705, "a certificate has expired or expires soon";
    EventInvalid = 801, "a line of a time line could not be read";
}

impl Code {
    /// Returns the code with this number; what is not known counts as a failed server.
    pub fn of_number(number: u16) -> Self {
        ALL.iter().copied().find(|code| code.number() == number).unwrap_or(Self::ServerFailed)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VT{}", self.number())
    }
}

/// Prints the table of `docs/CODES.md`.
pub fn table() -> String {
    let mut out = String::from("| code | name | meaning |\n|---|---|---|\n");
    for code in ALL {
        out.push_str(&format!("| {code} | {code:?} | {} |\n", code.text()));
    }
    out
}
