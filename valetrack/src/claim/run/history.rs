//! The store's history as the claim thread follows it: its connection, and the gaps of pages that a return leaves.

use std::collections::HashMap;
use std::sync::Arc;

use super::super::continuity::{Answered, Continuity, Course};
use super::super::message::ClaimEvent;
use super::super::news::ClaimState;
use super::super::rank::PAGES;
use super::super::recovery::{Finding, Lives, OpenGap, Recovery};
use super::super::state::PageHome;
use super::{Done, Shell};
use crate::clock::now_us;
use crate::code::Code;
use crate::store::Position;

/// Pause between two tries to be in touch with the store, in microseconds.
const CONTACT_US: u64 = 250_000;

/// What is known of the store's history, and of those who may know more of pages than the store.
#[derive(Default)]
pub(super) struct History {
    pub(super) continuity: Continuity,
    lives: Lives,
    gaps: HashMap<u16, OpenGap>,
    /// Pages that each VM said last that it remembers, a bit each.
    remembered: HashMap<Arc<str>, u8>,
    /// When the last write was sent that confirmed this node as a page's home, in microseconds.
    confirmed_us: HashMap<u16, u64>,
    /// When the store is next asked whether it is there, in microseconds.
    contact_at_us: u64,
    is_asking_store: bool,
}

impl Shell {
    /// Notes an answer of the store; where the store may have come back from a copy, no page is believed to be held any
    /// more before it has been read again.
    pub(super) fn answered(&mut self, answered: Answered) -> Course {
        let course = self.history.continuity.answered(answered, now_us());
        match course {
            Course::Unbroken => return course,
            Course::Reconnected => log::warn!("event=claim.store_reconnected at={}", answered.at),
            Course::Returned => {
                log::warn!("event=claim.store_returned at={}", answered.at);
                self.parts.store.end_era();
            }
        }
        for page in 0..PAGES {
            if self.pages.contains_key(&page) {
                self.handle(page, ClaimEvent::Doubt);
            }
        }
        course
    }

    pub(super) fn take_written(&mut self, page: u16, sent_us: u64, event: ClaimEvent) {
        let ClaimEvent::Wrote { position } = event else {
            return self.handle(page, event);
        };
        if self.answered(Answered { at: position, history: None, sent_us }) == Course::Returned {
            // It has taken effect on a page that this node has not read, so nothing may rest on it.
            return self.handle(page, ClaimEvent::Refused);
        }
        self.handle(page, event);
        if self.pages.get(&page).is_some_and(|home| home.holds() && !home.has_gap()) {
            self.history.confirmed_us.insert(page, sent_us);
        }
    }

    pub(super) fn take_contact(&mut self, answered: Option<Answered>) {
        self.history.is_asking_store = false;
        if let Some(answered) = answered {
            self.answered(answered);
        }
    }

    /// Keeps the account of a page's gap after it was read at a position.
    pub(super) fn note_gap(&mut self, page: u16, position: Position) {
        let Some(home) = self.pages.get(&page).filter(|home| home.has_gap()) else {
            self.close(page);
            return;
        };
        let is_known = self.history.gaps.get(&page).is_some_and(|gap| gap.era == home.era());
        if is_known {
            return;
        }
        let was_open = self.history.gaps.contains_key(&page);
        let gap = OpenGap {
            era: home.era(),
            opened_us: now_us(),
            found: (!was_open).then_some(position),
            was_home: home.has_gap_as_home(),
            is_blind: false,
            confirmed_us: self.history.confirmed_us.get(&page).copied().unwrap_or(0),
        };
        log::info!("event=claim.gap page={page} at={position} was_home={}", gap.was_home);
        self.history.gaps.insert(page, gap);
        self.follow_history();
    }

    fn close(&mut self, page: u16) {
        if self.history.gaps.remove(&page).is_some() {
            log::info!("event=claim.gap_closed page={page}");
        }
    }

    /// Looks at what others have said: of the store's history, and of pages that may lack keys.
    pub(super) fn follow_history(&mut self) {
        let now = now_us();
        self.follow_lives(now);
        self.hear_attestations();
        self.keep_contact(now);
        self.reread_contested(now);
        self.reread_reported();
        for page in 0..PAGES {
            self.recover(page, now);
        }
        self.publish_news();
    }

    /// Reads the pages that are held here once more when a life of the service has ended: what it knew is then known to
    /// stand in them, and a later return of the store needs no word of it.
    fn follow_lives(&mut self, now: u64) {
        let members = self.parts.members.borrow().clone();
        let of_service = members.iter().filter(|member| member.service == self.parts.service);
        let others = of_service.filter(|member| member.vm != self.parts.me.vm);
        if !self.history.lives.look(others, now) {
            return;
        }
        for page in 0..PAGES {
            if self.pages.get(&page).is_some_and(PageHome::holds) {
                self.handle(page, ClaimEvent::Doubt);
            }
        }
    }

    fn hear_attestations(&mut self) {
        let members = self.parts.members.borrow();
        for (vm, heard) in members.claims().iter() {
            let Some(told) = heard.news.history else {
                continue;
            };
            if self.history.continuity.attested(told, heard.asked_us) {
                log::info!("event=claim.history_attested by={vm} since_revision={}", told.since_revision);
            }
        }
    }

    /// Reads from the store where the connection to it has ended, and where others want to know whether it lasts.
    fn keep_contact(&mut self, now: u64) {
        let is_wanted = self.parts.members.borrow().claims().wanted_us() > self.history.continuity.verified_us();
        let is_due = is_wanted || self.parts.store.has_lost_contact();
        if !is_due || self.history.is_asking_store || now < self.history.contact_at_us {
            return;
        }
        self.history.is_asking_store = true;
        self.history.contact_at_us = now + CONTACT_US;
        // Any page would do: only where the store stands is looked at.
        let reading = self.read_page(0);
        self.work.push(Box::pin(async move { Done::Contact(reading.await.map(|(answered, ..)| answered)) }));
    }

    /// Looks again at the pages that another node asks about and that this one takes for its own: one of both is wrong.
    fn reread_contested(&mut self, now: u64) {
        if now < self.doubted_us + super::DOUBT_US {
            return;
        }
        let members = self.parts.members.borrow().clone();
        let of_service = |vm: &str| members.get(vm).is_some_and(|member| member.service == self.parts.service);
        let asked = members.claims().iter().filter(|(vm, heard)| heard.news.is_asking && of_service(vm));
        let remembered = asked.fold(0, |pages, (_, heard)| pages | heard.news.remembers);
        for page in (0..PAGES).filter(|page| remembered & (1 << page) != 0) {
            if self.pages.get(&page).is_some_and(PageHome::remembers) {
                self.doubted_us = now;
                self.handle(page, ClaimEvent::Doubt);
            }
        }
    }

    /// Reads the pages with gaps again of which another node has just written what it knew.
    fn reread_reported(&mut self) {
        let members = self.parts.members.borrow().clone();
        let mut reported = 0;
        for (vm, heard) in members.claims().iter() {
            let before = self.history.remembered.insert(vm.clone(), heard.news.remembers).unwrap_or(0);
            reported |= before & !heard.news.remembers;
        }
        for page in (0..PAGES).filter(|page| reported & (1 << page) != 0) {
            if self.history.gaps.contains_key(&page) {
                self.handle(page, ClaimEvent::Doubt);
            }
        }
    }

    fn recover(&mut self, page: u16, now: u64) {
        let Some(&gap) = self.history.gaps.get(&page) else {
            return;
        };
        if !self.pages.get(&page).is_some_and(|home| home.has_gap()) {
            return self.close(page);
        }
        let recovery = Recovery {
            me: &self.parts.me.vm,
            service: &self.parts.service,
            members: &self.parts.members.borrow().clone(),
            lives: &self.history.lives,
            continuity: &self.history.continuity,
            silent_us: self.parts.silent_us,
        };
        match recovery.assess(page, &gap, now) {
            Finding::Waiting => {}
            Finding::Unreachable(vm) => self.stop_waiting(page, vm.as_deref()),
            by @ (Finding::Unbroken | Finding::AllAnswered | Finding::New) => {
                log::info!("event=claim.whole page={page} by={}", by.as_str());
                self.history.gaps.remove(&page);
                self.handle(page, ClaimEvent::Complete { era: gap.era });
            }
        }
    }

    /// Lets presses of unknown keys wait no longer.
    fn stop_waiting(&mut self, page: u16, missing: Option<&str>) {
        let Some(gap) = self.history.gaps.get_mut(&page).filter(|gap| !gap.is_blind) else {
            return;
        };
        gap.is_blind = true;
        let missing = missing.unwrap_or("unknown");
        log::warn!("event=claim.blind page={page} missing={missing} code={}", Code::ClaimHistoryUnknown);
        self.handle(page, ClaimEvent::Waited);
    }

    /// Returns whether presses wait for what others know; whoever answers later is heard by the usual exchanges.
    fn is_asking(&self) -> bool {
        self.history.gaps.values().any(|gap| !gap.is_blind)
    }

    /// Asks the others once more while presses wait for what they know.
    pub(super) fn ask_again(&mut self) {
        if self.is_asking() {
            self.parts.said.send_modify(|_| {});
        }
    }

    /// Publishes what this node says of its pages; others are told at once where that has changed.
    pub(super) fn publish_news(&mut self) {
        let remembers = |mask, (&page, home): (&u16, &PageHome)| mask | u8::from(home.remembers()) << page;
        let remembers = self.pages.iter().fold(0, remembers);
        let is_asking = self.is_asking();
        let continuity = self.history.continuity.clone();
        self.parts.said.send_if_modified(|said| {
            let is_news = said.remembers != remembers || said.is_asking != is_asking;
            *said = ClaimState { continuity, remembers, is_asking };
            is_news
        });
    }
}
