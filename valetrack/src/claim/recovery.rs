//! Who may know of keys that a page has lost with the store's return, and whether all of them have been heard.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::continuity::Continuity;
use crate::member::{Member, Members, Phase};
use crate::store::{Era, Position};

/// For how long presses of unknown keys wait for the nodes that may know them, in microseconds.
const WAIT_US: u64 = 2_000_000;
/// For how long a node that starts waits for listed nodes that it has not heard yet, in microseconds.
const UNHEARD_US: u64 = 5_000_000;

/// Lives of the service's VMs, and when the last one of each was seen to have ended.
#[derive(Debug, Default)]
pub struct Lives {
    lives: BTreeMap<Arc<str>, Life>,
}

#[derive(Debug)]
struct Life {
    incarnation: u64,
    is_over: bool,
    /// When an earlier or this life was seen to have ended, in microseconds.
    ended_us: Option<u64>,
}

impl Lives {
    /// Looks at what is known of the service's VMs at `now_us`; returns whether a life has ended since the last look.
    pub fn look<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now_us: u64) -> bool {
        let mut has_ended = false;
        for member in members {
            let is_over = member.phase == Phase::Gone;
            let seen = Life { incarnation: member.incarnation, is_over, ended_us: None };
            let life = self.lives.entry(member.vm.clone()).or_insert(seen);
            let is_later = member.incarnation > life.incarnation;
            if !life.is_over && (is_over || is_later) {
                has_ended = true;
                life.ended_us = Some(now_us);
            }
            life.incarnation = member.incarnation;
            life.is_over = is_over;
        }
        has_ended
    }
}

/// A page that may lack keys.
#[derive(Debug, Clone, Copy)]
pub struct OpenGap {
    /// The era of the store in which it was found.
    pub era: Era,
    /// Since when, in microseconds; what others said before does not count.
    pub opened_us: u64,
    /// Where the page stood as it was found; none where it was found again by its own home with the gap still open.
    pub found: Option<Position>,
    /// Whether this node was the page's home before.
    pub was_home: bool,
    /// When this node last sent a write by which it was confirmed as the home before, in microseconds.
    pub confirmed_us: u64,
    /// Whether presses of unknown keys wait no longer.
    pub is_blind: bool,
}

/// Whether a gap may be closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The page was written in the store's unbroken history.
    Unbroken,
    /// All who may know more have answered that they do not.
    AllAnswered,
    /// The store has not been without this service's nodes since the service began.
    New,
    /// Somebody is still to speak.
    Waiting,
    /// Somebody who may know more cannot speak: this VM, where it is known which.
    Unreachable(Option<Arc<str>>),
}

impl Finding {
    /// Returns its name in log lines.
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

/// What the recovery of a page depends on.
pub struct Recovery<'a> {
    /// This VM.
    pub me: &'a str,
    /// Its service.
    pub service: &'a str,
    /// All VMs, with what their nodes have said.
    pub members: &'a Members,
    /// Lives of the service's VMs.
    pub lives: &'a Lives,
    /// The store's history.
    pub continuity: &'a Continuity,
    /// Silence after which a node counts as unable to speak, in microseconds.
    pub silent_us: u64,
}

impl Recovery<'_> {
    /// Finds whether the gap of a page may be closed at `now_us`.
    pub fn assess(&self, page: u16, gap: &OpenGap, now_us: u64) -> Finding {
        if gap.found.is_some_and(|found| self.continuity.covers(found)) {
            return Finding::Unbroken;
        }
        let finding = match gap.was_home {
            true => self.assess_as_home(page, gap, now_us),
            false => self.assess_as_newcomer(page, gap, now_us),
        };
        match finding {
            Finding::Waiting if now_us >= gap.opened_us + WAIT_US => Finding::Unreachable(None),
            finding => finding,
        }
    }

    /// A page that this node held before lacks only what later homes knew, if there were any.
    fn assess_as_home(&self, page: u16, gap: &OpenGap, now_us: u64) -> Finding {
        let ended = self.lives.lives.iter().find(|(_, life)| life.ended_us.is_some_and(|at| at > gap.confirmed_us));
        if let Some((vm, _)) = ended {
            return Finding::Unreachable(Some(vm.clone()));
        }
        let mut finding = Finding::AllAnswered;
        for member in self.others() {
            match self.has_answered(member, page, gap) {
                Some(_) => {}
                None if self.is_silent(&member.vm, now_us) => return Finding::Unreachable(Some(member.vm.clone())),
                None => finding = Finding::Waiting,
            }
        }
        match self.unheard().next() {
            Some(_) => Finding::Waiting,
            None => finding,
        }
    }

    /// A page that does not exist is new if no node of the service has ever been without the store.
    fn assess_as_newcomer(&self, page: u16, gap: &OpenGap, now_us: u64) -> Finding {
        let is_missing = gap.found.is_some_and(Position::is_start);
        if !is_missing || !self.continuity.is_first() || self.has_anyone_ended() {
            return Finding::Waiting;
        }
        for member in self.others() {
            match self.has_answered(member, page, gap) {
                Some(is_first_contact) if is_first_contact => {}
                Some(_) | None => return Finding::Waiting,
            }
        }
        match self.unheard().next() {
            Some(_) if now_us < UNHEARD_US => Finding::Waiting,
            Some(_) | None => Finding::New,
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

    fn has_anyone_ended(&self) -> bool {
        self.lives.lives.values().any(|life| life.ended_us.is_some())
    }

    fn is_silent(&self, vm: &str, now_us: u64) -> bool {
        self.members.silent_us(vm, now_us).is_none_or(|silent_us| silent_us > self.silent_us)
    }

    /// Returns whether a node's contact with the store is its first, if the node has said since the gap opened that it
    /// knows nothing of the page.
    fn has_answered(&self, member: &Member, page: u16, gap: &OpenGap) -> Option<bool> {
        let heard = self.members.claims().of(&member.vm)?;
        let is_of_life = heard.incarnation == member.incarnation;
        let remembers = heard.news.remembers & (1 << page) != 0;
        (is_of_life && heard.asked_us >= gap.opened_us && !remembers).then_some(heard.news.is_first_contact)
    }
}
