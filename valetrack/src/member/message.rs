//! Types that membership exchanges with other threads and nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::evacuation::Evacuation;
use crate::claim::ClaimReport;
use crate::gate::Departure;
use crate::link::peer::Target;
use crate::rollout::TrafficShare;
use crate::store::Position;

/// Phase of one incarnation of a VM; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It starts and accepts no calls yet.
    Joining,
    /// It accepts calls.
    Serving,
    /// It accepts no new calls.
    Leaving,
    /// It has left or is dead.
    Gone,
}

impl Phase {
    /// Returns the name used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// State of one VM and its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Start time of this incarnation, in microseconds since 1970; the later of two incarnations supersedes the other.
    pub incarnation: u64,
    /// Phase of this incarnation.
    pub phase: Phase,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The service that its server belongs to.
    pub service: Arc<str>,
    /// Address on which its node listens for links.
    pub link_addr: SocketAddr,
    /// Version of its server's software, if the server reports it.
    #[serde(default)]
    pub version: Option<Arc<str>>,
    /// Whether its node follows the store on behalf of other nodes and keeps their entries in it.
    #[serde(default)]
    pub is_relay: bool,
    /// Present incarnation of its server, if that has announced that it leaves. The entry states it so that it outlives the
    /// node that has acknowledged it.
    #[serde(default)]
    pub departure: Option<Departure>,
}

/// One row of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The service that its server belongs to.
    pub service: Arc<str>,
    /// Address on which its node listens for links.
    pub link_addr: SocketAddr,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// A VM whose server may be sent calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Its incarnation; zero while only the platform's list has reported the VM.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Address on which its node listens for links.
    pub link_addr: SocketAddr,
    /// Its traffic share while its service is rolled out.
    pub part: TrafficShare,
}

impl From<&Member> for Candidate {
    fn from(member: &Member) -> Self {
        Self {
            vm: member.vm.clone(),
            incarnation: member.incarnation,
            domain: member.domain.clone(),
            link_addr: member.link_addr,
            part: TrafficShare::Usual,
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
            part: TrafficShare::Usual,
        }
    }
}

/// A node's part of a gossip exchange, sent in reply.
#[derive(Debug, Default)]
pub struct GossipReply {
    /// VMs that it has recorded, its own first.
    pub members: Vec<Member>,
    /// Its report on its pages of claims.
    pub claims: ClaimReport,
}

/// Reply to a node that follows this one.
#[derive(Debug)]
pub enum FollowerReply {
    /// Changes in the store.
    News {
        /// The changes, packed once for all followers that lack the same ones.
        packed: Bytes,
        /// How long ago the store was known to be at the end of these changes.
        age_ms: u32,
    },
    /// This node is behind the store itself.
    Behind,
    /// This node accepts no more followers.
    Full,
}

/// A job for the member thread.
#[derive(Debug)]
pub enum MemberJob {
    /// Another node has sent its state in a gossip exchange.
    Heard {
        /// VMs that it has recorded.
        members: Vec<Member>,
        /// Failure domains that it considers evacuated.
        evacuation: Evacuation,
        /// Number of the bundle in force there.
        bundle: u64,
        /// Its report on its pages of claims.
        claims: ClaimReport,
        /// Receives this node's own state.
        reply: Option<oneshot::Sender<GossipReply>>,
    },
    /// A reply showed that a later bundle is in force at another node.
    Bundle {
        /// Its number.
        number: u64,
        /// The node that has it.
        from: Target,
    },
    /// An owner declined an attempt since its failure domain is evacuated.
    Evacuation {
        /// The owner.
        from: Target,
    },
    /// Another node follows this one instead of the store.
    Follow {
        /// Position up to which it has read the store.
        after: Position,
        /// Longest time that it waits for a change.
        wait_ms: u32,
        /// State of the follower, which this node keeps in the store.
        me: Box<Member>,
        /// Receives the changes.
        reply: oneshot::Sender<FollowerReply>,
    },
    /// A reply showed that another node lacks the bundle in force here.
    Behind {
        /// The other node.
        peer: Target,
    },
}
