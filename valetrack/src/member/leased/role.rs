//! Whether this node is a relay, and whom it follows.

use std::rc::Rc;

use super::Shell;
use crate::clock::now_us;
use crate::link::peer::Target;
use crate::member::role::{Avoided, begins, is_needed, is_surplus, joins, relay_of, volunteers};
use crate::member::{GROUP_MAX, Member, Phase, entry_key};

/// A relay that did not reply is passed over for this long, in microseconds: about as long as a killed node takes to
/// serve again.
const SILENT_US: u64 = 5_000_000;
/// A relay that is behind the store is passed over by its followers for this long, in microseconds.
const BEHIND_US: u64 = 1_000_000;
/// The same by other relays, which follow the store themselves meanwhile, in microseconds: about as long as one that is
/// turned away takes to give up.
const BEHIND_READER_US: u64 = 2_500_000;
/// A node waits this long after its start before it takes its failure domain for short of relays, in microseconds: it
/// knows few of the nodes that start with it.
const SETTLE_US: u64 = 4_000_000;
/// A relay that bears no more followers is passed over for this long, in microseconds.
const FULL_US: u64 = 3_000_000;
/// Nodes that a relay bears at most: half as many again as it is to have, since draws are uneven and others fail.
const FOLLOWERS_MAX: usize = GROUP_MAX * 3 / 2;
/// A node that has not asked for this long follows this one no more, in microseconds: three waits.
const FOLLOWS_US: u64 = 3_000_000;
/// A relay that is not needed gives up after this long, in microseconds: views of a fleet that starts differ.
const SURPLUS_US: u64 = 3_000_000;
/// A relay that the store turns away, while it answers others, gives up after this long, in microseconds: well before
/// the entries that it keeps are over.
const TURNED_AWAY_US: u64 = 2_000_000;
/// A node that has given up becomes no relay for this long, in microseconds.
const REST_US: u64 = 10_000_000;

impl Shell {
    /// Returns whether this node is a relay.
    pub(super) fn is_relay(&self) -> bool {
        self.me.borrow().is_relay
    }

    /// Passes a relay over for a while.
    pub(super) fn avoid(&self, relay: &Target, why: Avoided) {
        let pause_us = match why {
            Avoided::Silent => SILENT_US,
            Avoided::Behind if self.is_relay() => BEHIND_READER_US,
            Avoided::Behind => BEHIND_US,
            Avoided::Full => FULL_US,
        };
        self.avoided.borrow_mut().insert(relay.vm.clone(), (why, now_us() + pause_us));
    }

    fn avoided(&self, vm: &str) -> Option<Avoided> {
        let now = now_us();
        self.avoided.borrow().get(vm).filter(|(_, until_us)| now < *until_us).map(|(why, _)| *why)
    }

    /// Returns the node that this one is to follow in place of the store, if there is one.
    pub(super) fn relay(&self) -> Option<Target> {
        let members = self.parts.members.borrow();
        let mut me = self.me.borrow().clone();
        if self.failing_since_us.get().is_some() && me.is_relay {
            // The store may turn this node alone away: whoever else follows it tells.
            me.is_relay = false;
            let other = relay_of(&members, &me, |vm| self.avoided(vm))?;
            let tells = other.is_relay && self.avoided(&other.vm).is_none();
            return tells.then(|| Target { vm: other.vm.clone(), addr: other.link_addr });
        }
        let relay = relay_of(&members, &me, |vm| self.avoided(vm))?;
        Some(Target { vm: relay.vm.clone(), addr: relay.link_addr })
    }

    /// Becomes a relay, or gives up being one, as the failure domain needs it.
    pub(super) fn choose_role(self: &Rc<Self>) {
        let now = now_us();
        let members = self.parts.members.borrow().clone();
        let me = self.me.borrow().clone();
        if !me.is_relay {
            self.surplus_since_us.set(None);
            let settled = now >= self.started_us + SETTLE_US && self.entry_stands();
            if settled && self.may_be_relay() && is_needed(&members, &me, |vm| self.avoided(vm)) {
                self.become_relay("too few");
            }
            return;
        }
        let since_us = match is_surplus(&members, &me) {
            true => Some(self.surplus_since_us.get().unwrap_or(now)),
            false => None,
        };
        self.surplus_since_us.set(since_us);
        if since_us.is_some_and(|since_us| now >= since_us + SURPLUS_US) {
            self.give_up_relay("too many");
        }
    }

    /// Returns whether this node has not lately given up being a relay.
    fn may_be_relay(&self) -> bool {
        now_us() >= self.rests_until_us.get()
    }

    /// Draws whether this node begins as a relay: by chance in its first round, and in any later one that shows none.
    pub(super) fn begins_as_relay(&self, round: u32) -> bool {
        let is_first = round == 0 && !self.entry_is_known();
        let has_relay = self.relay().is_some();
        let mut rng = self.rng.borrow_mut();
        self.may_be_relay() && (is_first && begins(&mut rng) || !has_relay && volunteers(round, &mut rng))
    }

    /// Draws whether this node asks a relay in a round: a few at first, since all nodes of a fleet that starts may have
    /// found the same relays.
    pub(super) fn joins(&self, round: u32, may_serve: bool) -> bool {
        if self.relay().is_none() {
            return false;
        }
        // An upstream that is away for long leaves its node with nothing to say.
        let waits = !may_serve && now_us() < self.started_us + SETTLE_US;
        let relays = self.parts.members.borrow().iter().filter(|member| member.is_relay).count();
        self.entry_is_known() || (!waits && joins(round, relays, &mut self.rng.borrow_mut()))
    }

    /// Returns whether the store shows an entry of this VM, so that its node has only started again.
    fn entry_is_known(&self) -> bool {
        let key = entry_key(&self.parts.me.vm);
        self.log.borrow().position_of(&key).is_some()
    }

    /// Draws whether this node, whose relay is behind, tries the store itself: about one of all that are. One whose entry
    /// has never stood knows too little of the others for that.
    pub(super) fn tries_store(&self) -> bool {
        let members = self.parts.members.borrow();
        let followers = members.iter().filter(|member| member.phase == Phase::Serving && !member.is_relay).count();
        let may_try = self.may_be_relay() && !self.is_relay() && self.has_stood.get();
        may_try && self.rng.borrow_mut().usize(..followers.max(1)) == 0
    }

    /// Notes that a node follows this one; returns whether it bears that one too. Relays come on top, since they are few.
    pub(super) fn admits_follower(&self, member: &Member) -> bool {
        if member.is_relay {
            return true;
        }
        let now = now_us();
        let mut followers = self.followers.borrow_mut();
        if followers.len() >= FOLLOWERS_MAX && !followers.contains_key(&member.vm) {
            followers.retain(|_, asked_us| now < *asked_us + FOLLOWS_US);
        }
        let admits = followers.len() < FOLLOWERS_MAX || followers.contains_key(&member.vm);
        if admits {
            followers.insert(member.vm.clone(), now);
        }
        admits
    }

    /// Becomes a relay since another node follows this one; returns whether it is one then.
    pub(super) fn appoint(self: &Rc<Self>) -> bool {
        if !self.is_relay() && self.may_be_relay() {
            self.become_relay("asked");
            self.hasten.notify_one();
        }
        self.is_relay()
    }

    pub(super) fn become_relay(self: &Rc<Self>, why: &str) {
        log::info!("event=member.relay why=\"{why}\"");
        self.set_relay(true);
    }

    /// Gives up being a relay, where others tell that the store does not turn them away.
    pub(super) fn give_up_where_turned_away(self: &Rc<Self>) {
        let since_us = self.failing_since_us.get();
        if self.is_relay() && since_us.is_some_and(|since_us| now_us() >= since_us + TURNED_AWAY_US) {
            self.give_up_relay("turned away");
        }
    }

    fn give_up_relay(self: &Rc<Self>, why: &str) {
        log::info!("event=member.relay_given_up why=\"{why}\"");
        self.rests_until_us.set(now_us() + REST_US);
        self.registrar.borrow_mut().forget_all();
        self.followers.borrow_mut().clear();
        self.set_relay(false);
        self.lose_log();
    }

    fn set_relay(self: &Rc<Self>, is_relay: bool) {
        self.me.borrow_mut().is_relay = is_relay;
        self.publish();
        self.entry_changed();
        self.role_changed.notify_one();
    }
}
