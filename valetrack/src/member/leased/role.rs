//! Decides whether this node is a relay and which node it follows.

use std::rc::Rc;

use super::Shell;
use crate::clock::now_us;
use crate::link::peer::Target;
use crate::member::role::{
    AvoidReason, is_candidate, is_needed, is_reader, is_surplus, joins_relay, relay_in_regions, source_of,
    starts_as_relay,
};
use crate::member::{GROUP_MAX, Member, entry_key, resigns};

/// How long a relay that did not reply is avoided: about as long as a killed node needs to serve again.
const SILENT_US: u64 = 5_000_000;
/// How long followers avoid a relay that is behind the store.
const BEHIND_US: u64 = 1_000_000;
/// How long relays avoid a reader that is behind the store, while they follow the store themselves: about as long as a
/// reader that the store does not answer needs to resign.
const BEHIND_READER_US: u64 = 2_500_000;
/// How long a node waits after its start before it may conclude that its failure domain has too few relays: at first it
/// has a record of only a few of the nodes that start with it.
const SETTLE_US: u64 = 4_000_000;
/// How long a relay that accepts no more followers is avoided.
const FULL_US: u64 = 3_000_000;
/// Maximum number of followers of a relay: one and a half times the target, since random draws are uneven and other
/// relays fail.
const FOLLOWERS_MAX: usize = GROUP_MAX * 3 / 2;
/// A node that has sent no request for this long no longer counts as a follower: three waits.
const FOLLOWER_EXPIRY_US: u64 = 3_000_000;
/// A surplus relay resigns after this long, since the views of nodes differ while a fleet starts.
const SURPLUS_US: u64 = 3_000_000;
/// How long a relay that has resigned does not become a relay again.
const RESIGNED_US: u64 = 10_000_000;

impl Shell {
    /// Returns whether this node is a relay.
    pub(super) fn is_relay(&self) -> bool {
        self.me.borrow().is_relay
    }

    /// Avoids a relay for a time that depends on the reason.
    pub(super) fn avoid(&self, relay: &Target, why: AvoidReason) {
        let pause_us = match why {
            AvoidReason::Silent => SILENT_US,
            AvoidReason::Behind if self.is_relay() => BEHIND_READER_US,
            AvoidReason::Behind => BEHIND_US,
            AvoidReason::Full => FULL_US,
        };
        self.avoided.borrow_mut().insert(relay.vm.clone(), (why, now_us() + pause_us));
    }

    /// Returns why a node is avoided, if it is. A follower without a current relay avoids the relays that were behind
    /// until it has tried all others: a round takes longer than one avoidance if there are more than a few.
    pub(super) fn avoided(&self, vm: &str) -> Option<AvoidReason> {
        let now = now_us();
        let searches = !self.is_relay() && self.log.borrow().current_until_us().is_none();
        let holds = |why: AvoidReason, until_us: u64| now < until_us || (searches && why == AvoidReason::Behind);
        self.avoided.borrow().get(vm).filter(|(why, until_us)| holds(*why, *until_us)).map(|(why, _)| *why)
    }

    /// Forgets the avoidances whose time has ended, since a relay is current or all of them were tried.
    pub(super) fn forget_ended_avoidances(&self) {
        let now = now_us();
        self.avoided.borrow_mut().retain(|_, (_, until_us)| now < *until_us);
    }

    /// Returns the node that this one follows instead of the store, if there is one.
    pub(super) fn relay(&self) -> Option<Target> {
        let members = self.parts.members.borrow();
        let me = self.me.borrow().clone();
        let avoided = |vm: &str| self.avoided(vm);
        let relay = match self.failing_since_us.get().is_some() && me.is_relay {
            // The store may fail for this node alone, and another relay may still follow it.
            true => self.announced_relay(&members).or_else(|| source_of(&members, &me, avoided))?,
            false => relay_in_regions(&members, &me, &self.parts.regions, avoided)?,
        };
        Some(Target { vm: relay.vm.clone(), addr: relay.link_addr })
    }

    /// Returns whether this node is a relay whose log is one step older than usual, since it follows the first relay of
    /// its region instead of the reader.
    pub(super) fn follows_regional_relay(&self, relay: &Target) -> bool {
        let is_regional = self.parts.regions.has_several() && self.is_relay();
        is_regional && !is_reader(&self.parts.members.borrow(), &relay.vm)
    }

    /// Becomes a relay or resigns as one, depending on the number of relays in the failure domain.
    pub(super) fn choose_role(self: &Rc<Self>) {
        let now = now_us();
        let members = self.parts.members.borrow().clone();
        let me = self.me.borrow().clone();
        if !me.is_relay {
            self.surplus_since_us.set(None);
            let settled = now >= self.started_us + SETTLE_US && self.entry_is_stored();
            if settled && self.may_be_relay() && is_needed(&members, &me, |vm| self.avoided(vm)) {
                self.become_relay("too few relays");
            }
            return;
        }
        let since_us = match is_surplus(&members, &me) {
            true => Some(self.surplus_since_us.get().unwrap_or(now)),
            false => None,
        };
        self.surplus_since_us.set(since_us);
        if since_us.is_some_and(|since_us| now >= since_us + SURPLUS_US) {
            self.resign_relay("too many relays");
        }
    }

    /// Returns whether this node may become a relay, since it has not resigned as one recently.
    pub(super) fn may_be_relay(&self) -> bool {
        now_us() >= self.resigned_until_us.get()
    }

    /// Draws whether this node becomes a relay in a round: in the first round even if it finds one, later only if it
    /// finds none.
    pub(super) fn draws_relay_role(&self, round: u32) -> bool {
        let is_first = round == 0 && !self.entry_is_listed();
        let has_relay = self.relay().is_some();
        let mut rng = self.rng.borrow_mut();
        self.may_be_relay() && (is_first && starts_as_relay(&mut rng) || !has_relay && is_candidate(round, &mut rng))
    }

    /// Draws whether this node sends a request to a relay in a round: only a few nodes do at first, since all nodes of
    /// a starting fleet may have found the same relays.
    pub(super) fn draws_follower_role(&self, round: u32, may_serve: bool) -> bool {
        if self.relay().is_none() {
            return false;
        }
        // A node without an entry waits for its upstream, but only for a limited time, since the upstream may stay
        // unavailable.
        let waits = !may_serve && now_us() < self.started_us + SETTLE_US;
        let relays = self.parts.members.borrow().iter().filter(|member| member.is_relay).count();
        self.entry_is_listed() || (!waits && joins_relay(round, relays, &mut self.rng.borrow_mut()))
    }

    /// Returns whether the store holds an entry of this VM, so that its node was only restarted.
    fn entry_is_listed(&self) -> bool {
        let key = entry_key(&self.parts.me.vm);
        self.log.borrow().position_of(&key).is_some()
    }

    /// Records that a node follows this one; returns whether this node accepts it. Relays are always accepted, since
    /// there are only a few.
    pub(super) fn admits_follower(&self, member: &Member) -> bool {
        if member.is_relay {
            return true;
        }
        let now = now_us();
        let mut followers = self.followers.borrow_mut();
        if followers.len() >= FOLLOWERS_MAX && !followers.contains_key(&member.vm) {
            followers.retain(|_, asked_us| now < *asked_us + FOLLOWER_EXPIRY_US);
        }
        let admits = followers.len() < FOLLOWERS_MAX || followers.contains_key(&member.vm);
        if admits {
            followers.insert(member.vm.clone(), now);
        }
        admits
    }

    /// Becomes a relay since another node follows this one; returns whether this node is a relay afterwards.
    pub(super) fn accept_relay_role(self: &Rc<Self>) -> bool {
        if !self.is_relay() && self.may_be_relay() {
            self.become_relay("asked");
            self.follow_now.notify_one();
        }
        self.is_relay()
    }

    pub(super) fn become_relay(self: &Rc<Self>, why: &str) {
        log::info!("event=member.relay why=\"{why}\"");
        self.set_relay(true);
    }

    /// Resigns as a relay if the store has failed for this node for some time; called when another relay has shown that
    /// the store answers it.
    pub(super) fn resign_if_store_unreachable(self: &Rc<Self>, other: &Target) {
        // Followers of this node find the other relay by its entry.
        let is_stored = self.directory.borrow().members().any(|member| member.vm == other.vm && member.is_relay);
        let resigns = resigns(self.failing_since_us.get(), self.updates_in_row.get(), now_us());
        if self.is_relay() && is_stored && resigns {
            self.resign_relay("store unreachable from this node");
        }
    }

    fn resign_relay(self: &Rc<Self>, why: &str) {
        log::info!("event=member.relay_given_up why=\"{why}\"");
        self.resigned_until_us.set(now_us() + RESIGNED_US);
        self.registrar.borrow_mut().forget_all();
        self.followers.borrow_mut().clear();
        self.set_relay(false);
        self.takeover.borrow_mut().on_update(now_us());
        self.mark_log_stale();
    }

    fn set_relay(self: &Rc<Self>, is_relay: bool) {
        self.me.borrow_mut().is_relay = is_relay;
        self.publish();
        self.entry_changed();
        self.role_changed.notify_one();
    }
}
