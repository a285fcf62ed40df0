//! The store's history in the claim thread: probes of the connection, and the gaps that a store rollback leaves in
//! pages.

use std::collections::HashMap;
use std::sync::Arc;

use super::super::continuity::{Continuity, HistoryOutcome, StoreAnswer};
use super::super::message::ClaimEvent;
use super::super::rank::PAGES;
use super::super::recovery::{GapStatus, OpenGap, Recovery, VmIncarnations};
use super::super::report::ClaimState;
use super::super::state::PageHome;
use super::{Completion, Shell};
use crate::clock::now_us;
use crate::code::Code;
use crate::store::Position;

/// Pause between two probes of the store.
const PROBE_INTERVAL_US: u64 = 250_000;

/// This node's record of the store's history, and of the nodes that may have recorded keys that the store lacks.
#[derive(Default)]
pub(super) struct History {
    pub(super) continuity: Continuity,
    incarnations: VmIncarnations,
    gaps: HashMap<u16, OpenGap>,
    /// Bitmask of the pages that each VM last reported to have recorded keys of.
    remembered: HashMap<Arc<str>, u8>,
    /// When the last write that confirmed this node as the home of a page was sent.
    confirmed_us: HashMap<u16, u64>,
    /// When the store may next be probed.
    probe_at_us: u64,
    is_probing: bool,
}

impl Shell {
    /// Records an answer of the store. If the store may have been rolled back, every held page is read again before it
    /// counts as held.
    pub(super) fn record_answer(&mut self, store_answer: StoreAnswer) -> HistoryOutcome {
        let outcome = self.history.continuity.record_answer(store_answer, now_us());
        match outcome {
            HistoryOutcome::Unbroken => return outcome,
            HistoryOutcome::Reconnected => log::warn!("event=claim.store_reconnected at={}", store_answer.at),
            HistoryOutcome::RolledBack => {
                log::warn!("event=claim.store_returned at={}", store_answer.at);
                self.parts.store.end_era();
            }
        }
        for page in 0..PAGES {
            if self.pages.contains_key(&page) {
                self.handle(page, ClaimEvent::SuspectHold);
            }
        }
        outcome
    }

    pub(super) fn on_page_written(&mut self, page: u16, sent_us: u64, event: ClaimEvent) {
        let ClaimEvent::Wrote { position } = event else {
            return self.handle(page, event);
        };
        if self.record_answer(StoreAnswer { at: position, history: None, sent_us }) == HistoryOutcome::RolledBack {
            // The write took effect on a page that this node has not read, so its result must not be used.
            return self.handle(page, ClaimEvent::Refused);
        }
        self.handle(page, event);
        if self.pages.get(&page).is_some_and(|home| home.holds() && !home.has_gap()) {
            self.history.confirmed_us.insert(page, sent_us);
        }
    }

    pub(super) fn on_probed(&mut self, store_answer: Option<StoreAnswer>) {
        self.history.is_probing = false;
        if let Some(store_answer) = store_answer {
            self.record_answer(store_answer);
        }
    }

    /// Records whether a page that was read at a position has a gap.
    pub(super) fn record_gap(&mut self, page: u16, position: Position) {
        let Some(home) = self.pages.get(&page).filter(|home| home.has_gap()) else {
            self.remove_gap(page);
            return;
        };
        let is_recorded = self.history.gaps.get(&page).is_some_and(|gap| gap.era == home.era());
        if is_recorded {
            return;
        }
        let was_open = self.history.gaps.contains_key(&page);
        let gap = OpenGap {
            era: home.era(),
            opened_us: now_us(),
            found: (!was_open).then_some(position),
            was_home: home.has_gap_as_home(),
            has_wait_ended: false,
            confirmed_us: self.history.confirmed_us.get(&page).copied().unwrap_or(0),
        };
        log::info!("event=claim.gap page={page} at={position} was_home={}", gap.was_home);
        self.history.gaps.insert(page, gap);
        self.update_history();
    }

    fn remove_gap(&mut self, page: u16) {
        if self.history.gaps.remove(&page).is_some() {
            log::info!("event=claim.gap_closed page={page}");
        }
    }

    /// Applies the reports of other nodes about the store's history and about pages that may lack keys.
    pub(super) fn update_history(&mut self) {
        let now = now_us();
        self.update_incarnations(now);
        self.apply_attestations();
        self.probe_store(now);
        self.reread_contested(now);
        self.reread_reported();
        for page in 0..PAGES {
            self.recover(page, now);
        }
        self.publish_state();
    }

    /// Reads the held pages again when an incarnation of the service has ended. Its records are then known to be in the
    /// pages, and a later store rollback needs no report of it.
    fn update_incarnations(&mut self, now: u64) {
        let members = self.parts.members.borrow().clone();
        let of_service = members.iter().filter(|member| member.service == self.parts.service);
        let others = of_service.filter(|member| member.vm != self.parts.me.vm);
        if !self.history.incarnations.update(others, now) {
            return;
        }
        for page in 0..PAGES {
            if self.pages.get(&page).is_some_and(PageHome::holds) {
                self.handle(page, ClaimEvent::SuspectHold);
            }
        }
    }

    fn apply_attestations(&mut self) {
        let members = self.parts.members.borrow();
        for (vm, peer) in members.claims().iter() {
            let Some(attestation) = peer.news.history else {
                continue;
            };
            if self.history.continuity.apply_attestation(attestation, peer.asked_us) {
                log::info!("event=claim.history_attested by={vm} since_revision={}", attestation.since_revision);
            }
        }
    }

    /// Probes the store if the connection to it has ended, or if another node has requested reports since the last
    /// answer.
    fn probe_store(&mut self, now: u64) {
        let is_requested = self.parts.members.borrow().claims().requested_us() > self.history.continuity.verified_us();
        let is_due = is_requested || self.parts.store.has_lost_contact();
        if !is_due || self.history.is_probing || now < self.history.probe_at_us {
            return;
        }
        self.history.is_probing = true;
        self.history.probe_at_us = now + PROBE_INTERVAL_US;
        // Any page will do: only the position of the store is used.
        let reading = self.read_page(0);
        self.work
            .push(Box::pin(async move { Completion::Probed(reading.await.map(|(store_answer, ..)| store_answer)) }));
    }

    /// Reads the pages again that this node holds and that a node with a gap has recorded keys of: only one of the two
    /// can be the home.
    fn reread_contested(&mut self, now: u64) {
        if now < self.suspected_us + super::SUSPECT_INTERVAL_US {
            return;
        }
        let members = self.parts.members.borrow().clone();
        let of_service = |vm: &str| members.get(vm).is_some_and(|member| member.service == self.parts.service);
        let asked = members.claims().iter().filter(|(vm, peer)| peer.news.is_asking && of_service(vm));
        let remembered = asked.fold(0, |pages, (_, peer)| pages | peer.news.remembers);
        for page in (0..PAGES).filter(|page| remembered & (1 << page) != 0) {
            if self.pages.get(&page).is_some_and(PageHome::remembers) {
                self.suspected_us = now;
                self.handle(page, ClaimEvent::SuspectHold);
            }
        }
    }

    /// Reads the pages with a gap again to which another node has just written its records.
    fn reread_reported(&mut self) {
        let members = self.parts.members.borrow().clone();
        let mut reported = 0;
        for (vm, peer) in members.claims().iter() {
            let before = self.history.remembered.insert(vm.clone(), peer.news.remembers).unwrap_or(0);
            reported |= before & !peer.news.remembers;
        }
        for page in (0..PAGES).filter(|page| reported & (1 << page) != 0) {
            if self.history.gaps.contains_key(&page) {
                self.handle(page, ClaimEvent::SuspectHold);
            }
        }
    }

    fn recover(&mut self, page: u16, now: u64) {
        let Some(&gap) = self.history.gaps.get(&page) else {
            return;
        };
        if !self.pages.get(&page).is_some_and(|home| home.has_gap()) {
            return self.remove_gap(page);
        }
        let recovery = Recovery {
            me: &self.parts.me.vm,
            service: &self.parts.service,
            members: &self.parts.members.borrow().clone(),
            incarnations: &self.history.incarnations,
            continuity: &self.history.continuity,
            silent_us: self.parts.silent_us,
        };
        match recovery.assess(page, &gap, now) {
            GapStatus::Waiting => {}
            GapStatus::Unreachable(vm) => self.stop_waiting(page, vm.as_deref()),
            by @ (GapStatus::Unbroken | GapStatus::AllAnswered | GapStatus::New) => {
                log::info!("event=claim.history_complete page={page} by={}", by.as_str());
                self.history.gaps.remove(&page);
                self.handle(page, ClaimEvent::Complete { era: gap.era });
            }
        }
    }

    /// Ends the wait of calls with unknown keys.
    fn stop_waiting(&mut self, page: u16, missing: Option<&str>) {
        let Some(gap) = self.history.gaps.get_mut(&page).filter(|gap| !gap.has_wait_ended) else {
            return;
        };
        gap.has_wait_ended = true;
        let missing = missing.unwrap_or("unknown");
        log::warn!("event=claim.history_unavailable page={page} missing={missing} code={}", Code::ClaimHistoryUnknown);
        self.handle(page, ClaimEvent::WaitEnded);
    }

    /// Returns whether calls wait for reports of other nodes. Reports that arrive later come with the regular
    /// exchanges.
    fn is_asking(&self) -> bool {
        self.history.gaps.values().any(|gap| !gap.has_wait_ended)
    }

    /// Requests reports of the other nodes again while calls wait for them.
    pub(super) fn resend_request(&mut self) {
        if self.is_asking() {
            self.parts.claim_state.send_modify(|_| {});
        }
    }

    /// Publishes this node's state. If it has changed, the other nodes are informed at once.
    pub(super) fn publish_state(&mut self) {
        let remembers = |mask, (&page, home): (&u16, &PageHome)| mask | u8::from(home.remembers()) << page;
        let remembers = self.pages.iter().fold(0, remembers);
        let is_asking = self.is_asking();
        let continuity = self.history.continuity.clone();
        self.parts.claim_state.send_if_modified(|claim_state| {
            let has_changed = claim_state.remembers != remembers || claim_state.is_asking != is_asking;
            *claim_state = ClaimState { continuity, remembers, is_asking };
            has_changed
        });
    }
}
