//! Replaces relays that are behind the store, and tells the other relays about it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Shell;
use crate::clock::now_us;
use crate::link::message::{PeerRequest, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::role::AvoidReason;
use crate::member::{Member, Members, Phase, TakeoverStep, entry_key};
use crate::store::Freshness;

/// Time limit of an attempt: many times the store's response time, and a fraction of the time that a change may take.
const ATTEMPT_MS: u64 = 300;
/// Pauses after which a node that has replaced relays announces its role again to those that have not replied.
const ANNOUNCE_AGAIN_MS: [u64; 3] = [0, 500, 1_500];
/// How long an announced role holds without its entry in the store: longer than a write under a lease takes.
const ANNOUNCED_US: u64 = 5_000_000;

impl Shell {
    /// Records that a relay is behind the store.
    pub(super) fn relay_is_behind(&self) {
        self.takeover.borrow_mut().on_behind(now_us());
        self.relay_behind.notify_one();
    }

    /// Replaces relays that are behind the store; runs as long as the node.
    pub(super) async fn replace_relays(self: Rc<Self>) {
        loop {
            match self.takeover_step() {
                TakeoverStep::Idle => self.relay_behind.notified().await,
                TakeoverStep::Wait { until_us } => {
                    let pause = Duration::from_micros(until_us.saturating_sub(now_us()) + 1);
                    // The step is determined again after the pause or the notification.
                    let _ = timeout(pause, self.relay_behind.notified()).await;
                }
                TakeoverStep::Attempt => self.try_takeover().await,
            }
        }
    }

    fn takeover_step(&self) -> TakeoverStep {
        // A node that has not read the list of members has a record of too few others for the draw.
        // One that has resigned takes part, since the store serves each node that takes over.
        if self.is_relay() || !self.has_read_all.get() {
            return TakeoverStep::Idle;
        }
        let nodes = {
            let members = self.parts.members.borrow();
            let near = |member: &&Member| member.domain == self.parts.me.domain && member.phase == Phase::Serving;
            members.iter().filter(near).filter(|member| !member.is_relay).count()
        };
        self.takeover.borrow_mut().next(nodes, now_us(), &mut self.rng.borrow_mut())
    }

    /// Checks whether the store serves this node, and becomes a relay if it does.
    async fn try_takeover(self: &Rc<Self>) {
        let is_served = self.probe_store().await;
        if !is_served {
            self.takeover.borrow_mut().on_refused(now_us(), &mut self.rng.borrow_mut());
            return self.look_for_relay().await;
        }
        let takes_over = self.takeover.borrow_mut().on_served(now_us());
        if takes_over && !self.is_relay() {
            self.take_over();
        }
    }

    /// Checks by the cheapest call whether the store answers this node.
    async fn probe_store(self: &Rc<Self>) -> bool {
        self.count("list-earlier");
        let key = entry_key(&self.parts.me.vm);
        let call = self.parts.store.list(&key, None, Freshness::Earlier);
        match timeout(Duration::from_millis(ATTEMPT_MS), call).await {
            Ok(Ok(page)) => {
                self.store_answered(page.at.era());
                return true;
            }
            Ok(Err(error)) => log::info!("event=store.probe_failed code={} reason=\"{error}\"", error.code()),
            Err(_) => log::info!("event=store.probe_failed reason=\"timed out\""),
        }
        false
    }

    /// Becomes a relay in place of all others, which are behind the store.
    fn take_over(self: &Rc<Self>) {
        self.parts.metrics.relay_takeovers.inc();
        self.become_relay("the relays are behind");
        let relays = self.other_relays();
        for relay in &relays {
            self.avoid(relay, AvoidReason::Behind);
        }
        self.follow_now.notify_one();
        tokio::task::spawn_local(self.clone().announce_role(relays));
    }

    fn other_relays(&self) -> Vec<Target> {
        let members = self.parts.members.borrow();
        let others = members.iter().filter(|member| member.is_relay && member.vm != self.parts.me.vm);
        others.map(|member| Target { vm: member.vm.clone(), addr: member.link_addr }).collect()
    }

    /// Announces this node's role to relays that are behind: they follow this node, and their followers with them.
    async fn announce_role(self: Rc<Self>, mut relays: Vec<Target>) {
        for pause_ms in ANNOUNCE_AGAIN_MS {
            sleep(Duration::from_millis(pause_ms)).await;
            if !self.is_relay() {
                return;
            }
            let sent = relays.iter().map(|relay| self.request(relay.clone(), self.announcement()));
            let results = futures::future::join_all(sent).await;
            let mut results = results.into_iter();
            // An announcement without a reply may be lost and is repeated.
            relays.retain(|_| !matches!(results.next(), Some(LinkResult::Reply(_))));
        }
    }

    /// Returns a gossip request with this node's own state alone, which is small in a fleet of any size.
    fn announcement(&self) -> PeerRequest {
        self.announcement_with(None)
    }

    /// Returns a gossip request with this node's own state and that of another node.
    pub(super) fn announcement_with(&self, other: Option<Member>) -> PeerRequest {
        let members = std::iter::once(self.me.borrow().clone()).chain(other).collect();
        // A restarted node that learned the bundle from this message would look complete to its peers, and they would not
        // send it the crash records that it lacks.
        self.gossip(members, 0)
    }

    /// Asks another node, drawn at random, for relays that this node has no record of.
    async fn look_for_relay(self: &Rc<Self>) {
        let Some(peer) = self.random_peer() else {
            return;
        };
        let LinkResult::Reply(answered) = self.request(peer, self.announcement()).await else {
            return;
        };
        if let Reply::Gossip { members, .. } = answered.head.reply {
            members.iter().for_each(|member| self.learn_relay(member));
        }
    }

    fn random_peer(&self) -> Option<Target> {
        let members = self.parts.members.borrow();
        let serving = |member: &&Member| member.phase == Phase::Serving && member.vm != self.parts.me.vm;
        let chosen = self.rng.borrow_mut().choice(members.iter().filter(serving).collect::<Vec<_>>())?;
        Some(Target { vm: chosen.vm.clone(), addr: chosen.link_addr })
    }

    /// Records that another node has become a relay, if its entry as read from the store does not say so.
    pub(super) fn learn_relay(self: &Rc<Self>, member: &Member) {
        let is_known = |known: &Member| known.vm == member.vm && known.is_relay;
        if !member.is_relay || member.vm == self.parts.me.vm || self.directory.borrow().members().any(is_known) {
            return;
        }
        let now = now_us();
        let before_us = self.announced.borrow_mut().insert(member.vm.clone(), now + ANNOUNCED_US);
        if before_us.is_some_and(|until_us| now < until_us) {
            return;
        }
        log::info!("event=member.relay_announced peer={}", member.vm);
        self.avoided.borrow_mut().remove(&member.vm);
        self.publish();
        let has_role = self.is_relay() || self.follows_relays.get();
        if has_role && self.log.borrow().current_until_us().is_none() {
            // Pauses and requests to relays that are behind end at once.
            self.reread.notify_one();
            self.follow_now.notify_one();
        }
    }

    /// Adds the announced roles to a view that is derived from the entries in the store.
    pub(super) fn add_announced_relays(&self, members: &mut Members) {
        let now = now_us();
        let mut announced = self.announced.borrow_mut();
        announced.retain(|_, until_us| now < *until_us);
        for vm in announced.keys() {
            if let Some(member) = members.get(vm).cloned() {
                members.set(Member { is_relay: true, ..member });
            }
        }
    }

    /// Returns a relay that has announced its role, if it is not avoided.
    pub(super) fn announced_relay<'a>(&self, members: &'a Members) -> Option<&'a Member> {
        let now = now_us();
        let announced = self.announced.borrow();
        let valid = announced.iter().filter(|(_, until_us)| now < **until_us);
        let usable = |member: &&Member| member.is_relay && member.phase == Phase::Serving;
        let known = valid.filter_map(|(vm, _)| members.get(vm)).filter(usable);
        known.filter(|member| self.avoided(&member.vm).is_none()).max_by(|one, other| one.vm.cmp(&other.vm))
    }

    /// Returns whether this node sends no updates to another relay, so that relays which the store refuses do not
    /// follow each other in a cycle: it follows that relay itself, or the store fails and nothing newer was received.
    pub(super) fn declines_relay(&self, follower: &Member) -> bool {
        let is_followed = self.following.borrow().as_ref() == Some(&follower.vm);
        let is_failing = self.failing_since_us.get().is_some();
        follower.is_relay && is_failing && (is_followed || self.log.borrow().current_until_us().is_none())
    }
}
