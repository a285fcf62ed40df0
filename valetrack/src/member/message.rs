//! Messages of membership.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::evacuation::Evacuation;
use crate::claim::ClaimNews;
use crate::link::peer::Target;
use crate::rollout::ServerPart;
use crate::store::Position;

/// Life of one incarnation of a VM; it only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It starts and takes no work yet.
    Joining,
    /// It takes work.
    Serving,
    /// It takes no new work.
    Leaving,
    /// It is no more.
    Gone,
}

impl Phase {
    /// Returns its name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// What is known of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Start of this life of the VM, in microseconds since 1970; a later life goes first.
    pub incarnation: u64,
    /// Where it is in this life.
    pub phase: Phase,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The service whose server it holds.
    pub service: Arc<str>,
    /// Where its node listens for links.
    pub link_addr: SocketAddr,
    /// Version of its server's software, where the server tells it.
    #[serde(default)]
    pub version: Option<Arc<str>>,
    /// Whether its node follows the store for others of its failure domain and keeps their entries in it.
    #[serde(default)]
    pub is_relay: bool,
}

/// One row of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The service whose server it holds.
    pub service: Arc<str>,
    /// Where its node listens for links.
    pub link_addr: SocketAddr,
    /// Whether the platform is about to take the VM away.
    #[serde(default)]
    pub leaving: bool,
}

/// A VM whose server may get calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Its life; zero while only the list has told of it.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where its node listens for links.
    pub link_addr: SocketAddr,
    /// What it may get while its service is rolled out.
    pub part: ServerPart,
}

impl From<&Member> for Candidate {
    fn from(member: &Member) -> Self {
        Self {
            vm: member.vm.clone(),
            incarnation: member.incarnation,
            domain: member.domain.clone(),
            link_addr: member.link_addr,
            part: ServerPart::Usual,
        }
    }
}

impl From<&ListedVm> for Candidate {
    fn from(row: &ListedVm) -> Self {
        Self {
            vm: row.vm.clone(),
            incarnation: 0,
            domain: row.domain.clone(),
            link_addr: row.link_addr,
            part: ServerPart::Usual,
        }
    }
}

/// What a node tells in reply to an exchange.
#[derive(Debug, Default)]
pub struct Known {
    /// VMs that it knows, its own first.
    pub members: Vec<Member>,
    /// What it says of its pages of claims.
    pub claims: ClaimNews,
}

/// What a follower is told.
#[derive(Debug)]
pub enum FollowerNews {
    /// What has changed in the store, packed once for all that lack the same.
    News {
        /// The news.
        packed: Bytes,
        /// How long ago the store was known to stand where they end, in milliseconds.
        age_ms: u32,
    },
    /// This node is behind the store itself.
    Behind,
    /// As many nodes follow this one as it bears.
    Full,
}

/// Something for the member thread.
#[derive(Debug)]
pub enum MemberJob {
    /// Another node told what it knows.
    Heard {
        /// VMs.
        members: Vec<Member>,
        /// Failure domains that are evacuated as far as it knows.
        evacuation: Evacuation,
        /// Number of the bundle in force there.
        bundle: u64,
        /// What it says of its pages of claims.
        claims: ClaimNews,
        /// Where this node's own knowledge goes.
        reply: Option<oneshot::Sender<Known>>,
    },
    /// A reply showed that a later bundle is in force elsewhere.
    Bundle {
        /// Its number.
        number: u64,
        /// Who has it.
        from: Target,
    },
    /// An owner gave a call back since its failure domain is evacuated.
    Evacuation {
        /// Which.
        from: Target,
    },
    /// Another node follows this one in place of the store.
    Follow {
        /// Position up to which it has read the store.
        after: Position,
        /// Longest time that it waits for a change, in milliseconds.
        wait_ms: u32,
        /// The node itself, whose entry is to be kept.
        me: Box<Member>,
        /// Where the news go.
        reply: oneshot::Sender<FollowerNews>,
    },
    /// A reply showed that another node lacks the bundle in force here.
    Behind {
        /// Which.
        peer: Target,
    },
}
