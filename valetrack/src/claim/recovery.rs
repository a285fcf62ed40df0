//! Decides whether a page that may have lost keys in a store rollback is complete again, from the reports of other
//! nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::continuity::Continuity;
use crate::member::{Member, Members, Phase};
use crate::store::{Era, Position};

/// How long keyed calls with unknown keys wait for reports of other nodes.
const WAIT_US: u64 = 2_000_000;
/// How long a newly started node waits for listed nodes that it has not received anything from yet.
const START_WAIT_US: u64 = 5_000_000;

/// Last incarnation of each VM of the service, and when an incarnation of it last ended.
#[derive(Debug, Default)]
pub struct VmIncarnations {
    incarnations: BTreeMap<Arc<str>, LastIncarnation>,
}

#[derive(Debug)]
struct LastIncarnation {
    incarnation: u64,
    is_dead: bool,
    /// When this or an earlier incarnation was last seen to have ended.
    ended_us: Option<u64>,
}

impl VmIncarnations {
    /// Updates the incarnations from the member list at `now_us`. Returns whether one has ended since the last update.
    pub fn update<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now_us: u64) -> bool {
        let mut has_ended = false;
        for member in members {
            let is_dead = member.phase == Phase::Gone;
            let seen = LastIncarnation { incarnation: member.incarnation, is_dead, ended_us: None };
            let last = self.incarnations.entry(member.vm.clone()).or_insert(seen);
            let is_later = member.incarnation > last.incarnation;
            if !last.is_dead && (is_dead || is_later) {
                has_ended = true;
                last.ended_us = Some(now_us);
            }
            last.incarnation = member.incarnation;
            last.is_dead = is_dead;
        }
        has_ended
    }
}

/// A gap: a page that may lack keys after a store rollback.
#[derive(Debug, Clone, Copy)]
pub struct OpenGap {
    /// The store's era in which the gap was found.
    pub era: Era,
    /// When the gap was opened. Reports from before that time don't count.
    pub opened_us: u64,
    /// Position of the page when the gap was found; `None` if its own home found it again while the gap was still open.
    pub found: Option<Position>,
    /// Whether this node was the page's home before the gap.
    pub was_home: bool,
    /// When this node last sent a write that confirmed it as the home without a gap.
    pub confirmed_us: u64,
    /// Whether keyed calls with unknown keys no longer wait for reports.
    pub has_wait_ended: bool,
}

/// Whether a gap may be closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GapStatus {
    /// The page was written in the unbroken part of the store's history.
    Unbroken,
    /// All nodes that may have recorded other keys have reported that they have none.
    AllAnswered,
    /// No node of the service has ended or lost its connection to the store since the service began.
    New,
    /// The report of a node is missing.
    Waiting,
    /// A node that may have recorded other keys can't report: this VM, or `None` if it is unknown which one.
    Unreachable(Option<Arc<str>>),
}

impl GapStatus {
    /// Returns the name for log lines.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Unbroken => "unbroken",
            Self::AllAnswered => "answers",
            Self::New => "new",
            Self::Waiting => "waiting",
            Self::Unreachable(_) => "unreachable",
        }
    }
}

/// Inputs of a page's recovery.
pub struct Recovery<'a> {
    /// Name of this VM.
    pub me: &'a str,
    /// Service of this VM.
    pub service: &'a str,
    /// All VMs, with the reports of their nodes.
    pub members: &'a Members,
    /// Incarnations of the service's VMs.
    pub incarnations: &'a VmIncarnations,
    /// The store's history.
    pub continuity: &'a Continuity,
    /// Silence after which a node counts as unable to report.
    pub silent_us: u64,
}

impl Recovery<'_> {
    /// Returns whether the gap of a page may be closed at `now_us`.
    pub fn assess(&self, page: u16, gap: &OpenGap, now_us: u64) -> GapStatus {
        if gap.found.is_some_and(|found| self.continuity.covers(found)) {
            return GapStatus::Unbroken;
        }
        let status = match gap.was_home {
            true => self.assess_as_home(page, gap, now_us),
            false => self.assess_as_newcomer(page, gap, now_us),
        };
        match status {
            GapStatus::Waiting if now_us >= gap.opened_us + WAIT_US => GapStatus::Unreachable(None),
            status => status,
        }
    }

    /// Assesses a page that this node held before the gap. Such a page lacks only the keys of later homes, if there
    /// were any.
    fn assess_as_home(&self, page: u16, gap: &OpenGap, now_us: u64) -> GapStatus {
        let ended = self
            .incarnations
            .incarnations
            .iter()
            .find(|(_, last)| last.ended_us.is_some_and(|at| at > gap.confirmed_us));
        if let Some((vm, _)) = ended {
            return GapStatus::Unreachable(Some(vm.clone()));
        }
        let mut status = GapStatus::AllAnswered;
        for member in self.others() {
            match self.has_answered(member, page, gap) {
                Some(_) => {}
                None if self.is_silent(&member.vm, now_us) => return GapStatus::Unreachable(Some(member.vm.clone())),
                None => status = GapStatus::Waiting,
            }
        }
        match self.unheard().next() {
            Some(_) => GapStatus::Waiting,
            None => status,
        }
    }

    /// Assesses a page that this node did not hold. A missing page is new if no node of the service has ever lost its
    /// connection to the store.
    fn assess_as_newcomer(&self, page: u16, gap: &OpenGap, now_us: u64) -> GapStatus {
        let is_missing = gap.found.is_some_and(Position::is_start);
        if !is_missing || !self.continuity.is_first() || self.has_any_ended() {
            return GapStatus::Waiting;
        }
        for member in self.others() {
            match self.has_answered(member, page, gap) {
                Some(is_first_contact) if is_first_contact => {}
                Some(_) | None => return GapStatus::Waiting,
            }
        }
        match self.unheard().next() {
            Some(_) if now_us < START_WAIT_US => GapStatus::Waiting,
            Some(_) | None => GapStatus::New,
        }
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        let is_other = |member: &&Member| &*member.service == self.service && &*member.vm != self.me;
        self.members.iter().filter(is_other).filter(|member| member.phase != Phase::Gone)
    }

    fn unheard(&self) -> impl Iterator<Item = &Arc<str>> {
        let rows = self.members.unheard().filter(|row| &*row.service == self.service && &*row.vm != self.me);
        rows.map(|row| &row.vm)
    }

    fn has_any_ended(&self) -> bool {
        self.incarnations.incarnations.values().any(|last| last.ended_us.is_some())
    }

    fn is_silent(&self, vm: &str, now_us: u64) -> bool {
        self.members.silent_us(vm, now_us).is_none_or(|silent_us| silent_us > self.silent_us)
    }

    /// Returns whether the node's first connection to the store is still open, if it has reported since the gap opened
    /// that it has no record of the page; otherwise `None`.
    fn has_answered(&self, member: &Member, page: u16, gap: &OpenGap) -> Option<bool> {
        let peer = self.members.claims().of(&member.vm)?;
        let is_same_incarnation = peer.incarnation == member.incarnation;
        let remembers = peer.news.remembers & (1 << page) != 0;
        (is_same_incarnation && peer.asked_us >= gap.opened_us && !remembers).then_some(peer.news.is_first_contact)
    }
}
