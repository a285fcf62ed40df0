//! Follows a relay instead of the store, and serves the nodes that follow this one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::Shell;
use super::follow::CATCH_UP_WAIT;
use crate::bundle::ConfirmedBy;
use crate::clock::now_us;
use crate::link::codec;
use crate::link::message::{Ask, PeerRequest, Reply};
use crate::link::peer::{self, LinkResult, Target, TimeLimit};
use crate::member::relay::{ApplyOutcome, StoreUpdate, UpdateAge};
use crate::member::role::AvoidReason;
use crate::member::{FollowerReply, Member, Phase, entry_key};
use crate::store::{Change, Item, Position};

/// Longest wait of one request to a relay, after which a dead relay is detected.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// How much longer than the wait a relay may take to begin its reply, and longest pause between two parts of the reply:
/// several times a round trip between nodes that are short of processor time.
const FOLLOW_SLACK_MS: u64 = 300;
/// How much longer than the wait the first reply of a relay may take.
const FIRST_SLACK_MS: u64 = 1_500;
/// Pause before the next request after a relay replied that it is behind: the relay is about to catch up, or there may
/// be no other one.
const BEHIND_PAUSE_MS: std::ops::RangeInclusive<u64> = 50..=150;
/// Wait of the request to a relay that was behind.
const AGAIN_WAIT_MS: u64 = 300;
/// Time after which a node leaves a relay that has not stored its entry.
const ENTRY_WAIT_US: u64 = 6_000_000;

/// Number of packed updates that are cached: followers that start at the same time lack the same changes.
const PACKED_MAX: usize = 8;

/// Outcome of a request to a relay.
enum RelayReply {
    /// Changes in the store, and their age.
    Update(StoreUpdate, UpdateAge),
    /// The relay is behind the store.
    Behind,
    /// The relay accepts no more followers.
    Full,
    /// There was no valid reply in time.
    NoReply,
}

impl Shell {
    /// Follows a relay until it fails or this node has another one to follow.
    pub(super) async fn follow_relay(self: &Rc<Self>, relay: &Target) {
        log::info!("event=store.following relay={}", relay.vm);
        let mut stored_us = now_us();
        let (mut was_behind, mut was_late) = (false, false);
        self.following.replace(Some(relay.vm.clone()));
        self.updates_in_row.set(0);
        if self.avoided(&relay.vm).is_some() {
            // No other relay is left to try.
            self.forget_ended_avoidances();
        }
        while self.relay().as_ref() == Some(relay) {
            let after = self.log.borrow().position();
            let answer = tokio::select! {
                answer = self.request_update(relay, after, was_behind) => answer,
                () = self.follow_now.notified() => return,
                // The next request sends the changed entry to the relay at once.
                () = self.entry_update.notified() => continue,
            };
            match answer {
                RelayReply::Update(_, age) if was_late && self.is_late(relay, age) => {
                    return self.leave_relay_behind(relay).await;
                }
                RelayReply::Update(update, age) => {
                    // A large answer of the store delays the update that it is in, and not the next one.
                    was_late = self.is_late(relay, age);
                    let age_ms = age.at_relay_ms;
                    was_behind = false;
                    self.updates_in_row.set(self.updates_in_row.get().saturating_add(1));
                    self.relay_update_us.set(Some(now_us()));
                    self.takeover.borrow_mut().on_update(now_us().saturating_sub(u64::from(age_ms) * 1_000));
                    self.store_update_received(update.at.era());
                    self.apply_update(relay, &update, age, after);
                    self.request_text_from(relay);
                    self.forget_ended_avoidances();
                    self.resign_if_store_unreachable(relay);
                    self.choose_role();
                }
                RelayReply::Behind if !was_behind && !self.is_relay() => {
                    was_behind = true;
                    self.relay_is_behind();
                    self.pause_behind().await;
                    continue;
                }
                RelayReply::Behind => return self.leave_relay_behind(relay).await,
                RelayReply::Full => {
                    self.follows_relays.set(false);
                    return self.leave_relay(relay, AvoidReason::Full);
                }
                RelayReply::NoReply => return self.leave_relay_unresponsive(relay).await,
            }
            let now = now_us();
            if self.entry_is_stored() {
                stored_us = now;
            } else if now >= stored_us + ENTRY_WAIT_US {
                log::warn!("event=member.entry_not_kept relay={}", relay.vm);
                return self.leave_relay(relay, AvoidReason::Silent);
            }
        }
    }

    /// Returns whether this node's entry is stored with its current content, as far as was read.
    pub(super) fn entry_is_stored(&self) -> bool {
        let me = self.me.borrow();
        self.keeper.borrow().wanted() == 0 || self.directory.borrow().holds(&me)
    }

    fn leave_relay(&self, relay: &Target, why: AvoidReason) {
        log::info!("event=store.relay_failed relay={} why={why:?} position={}", relay.vm, self.log.borrow().position());
        self.avoid(relay, why);
        self.mark_log_stale();
    }

    /// Leaves a relay that does not reply. If none has replied for some time, the node reads the store: a change may have
    /// to be in force before the next relay replies.
    async fn leave_relay_unresponsive(self: &Rc<Self>, relay: &Target) {
        self.leave_relay(relay, AvoidReason::Silent);
        let now = now_us();
        let news_within_us = self.parts.news_within_ms * 1_000;
        let updated_us = self.relay_update_us.get().unwrap_or(self.started_us);
        let read_again_us = self.unresponsive_read_us.get().map_or(0, |read_us| read_us + news_within_us / 4);
        if now < (updated_us + news_within_us / 2).max(read_again_us) {
            return;
        }
        self.unresponsive_read_us.set(Some(now));
        if let Err(error) = self.read_changes(CATCH_UP_WAIT).await {
            self.store_failed("catch-up", &error);
        }
        // Later changes may be missing.
        self.mark_log_stale();
    }

    async fn leave_relay_behind(self: &Rc<Self>, relay: &Target) {
        self.avoid(relay, AvoidReason::Behind);
        log::info!("event=store.relay_failed relay={} why=Behind position={}", relay.vm, self.log.borrow().position());
        if self.is_relay() {
            // The log is still fresh enough for followers until the store itself is read.
            return;
        }
        self.mark_log_stale();
        self.relay_is_behind();
        if self.store_reachable.replace(false) {
            log::warn!("event=store.lost call=relay relay={}", relay.vm);
        }
        self.pause_behind().await;
    }

    async fn pause_behind(&self) {
        let pause_ms = self.rng.borrow_mut().u64(BEHIND_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Requests the changes in the store from a relay, and sends it this node's entry to keep.
    async fn request_update(&self, relay: &Target, after: Position, was_behind: bool) -> RelayReply {
        self.parts.metrics.relay_requests.inc();
        let is_relay = self.is_relay();
        let is_regional = self.follows_regional_relay(relay);
        let wait_ms = match () {
            () if was_behind => AGAIN_WAIT_MS,
            () if is_relay && self.parts.regions.has_several() => self.log.borrow().region_wait_ms(is_regional),
            () if is_relay => self.log.borrow().reader_wait_ms(),
            () => FOLLOW_WAIT_MS,
        };
        let me = self.me.borrow().clone();
        let ask = Ask::Follow { after, wait_ms: wait_ms as u32, me };
        let replied_by_us = now_us() + wait_ms * 1_000;
        let request = PeerRequest { ask, body: Bytes::new() };
        // A relay that many nodes start to follow at once takes longer for its first replies.
        let slack_ms = if self.relay_update_us.get().is_none() { FIRST_SLACK_MS } else { FOLLOW_SLACK_MS };
        let limit = TimeLimit::Progress {
            first: Duration::from_millis(wait_ms + slack_ms),
            idle: Duration::from_millis(FOLLOW_SLACK_MS),
        };
        let result = peer::ask_with(&self.parts.to_link, relay.clone(), request, limit).await;
        let LinkResult::Reply(answered) = result else {
            return RelayReply::NoReply;
        };
        let age_ms = match answered.head.reply {
            Reply::News { age_ms, .. } => age_ms,
            Reply::FollowersFull => return RelayReply::Full,
            _ => return RelayReply::Behind,
        };
        if u64::from(age_ms) * 1_000 > self.log.borrow().age_max_us() {
            return RelayReply::Behind;
        }
        match codec::unpack_store_update(&answered.body) {
            Ok(update) => RelayReply::Update(update, UpdateAge { at_relay_ms: age_ms, replied_by_us }),
            Err(error) => {
                log::warn!("event=store.news_invalid relay={} code={} reason=\"{error}\"", relay.vm, error.code());
                RelayReply::NoReply
            }
        }
    }

    /// Returns whether an update is older than it would be if the store answered the reader.
    fn is_late(&self, relay: &Target, age: UpdateAge) -> bool {
        // A relay that the store refuses has no better source, so it does not judge the age of what it gets.
        if !self.is_relay() || self.failing_since_us.get().is_some() {
            return false;
        }
        match self.follows_regional_relay(relay) {
            true => self.log.borrow().is_regional_relay_late(age.at_relay_ms),
            false => self.log.borrow().is_reader_late(age.at_relay_ms),
        }
    }

    /// Makes the relay remove this node's entry, since this node is about to exit.
    pub(super) async fn notify_relay_of_exit(&self) {
        let Some(relay) = self.relay() else {
            return;
        };
        let me = Member { phase: Phase::Gone, ..self.me.borrow().clone() };
        let ask = Ask::Follow { after: self.log.borrow().position(), wait_ms: 0, me };
        // Without a reply, the relay removes the entry once this node has sent no request for a while.
        let _ = self.request(relay, PeerRequest { ask, body: Bytes::new() }).await;
    }

    /// Applies the update that a relay has sent for a position.
    fn apply_update(self: &Rc<Self>, relay: &Target, update: &StoreUpdate, age: UpdateAge, after: Position) {
        let now = now_us();
        let confirmed_us = now.saturating_sub(u64::from(age.at_relay_ms) * 1000);
        let outcome = match update.whole {
            true => {
                let items: Vec<Item> = update.changes.iter().filter_map(Change::item).cloned().collect();
                self.apply_all(&items, update.bundle, update.at, confirmed_us)
            }
            false => self.apply_changes(&update.changes, update.bundle, after, update.at, confirmed_us),
        };
        if outcome == ApplyOutcome::Newest {
            self.adopter.confirm(age.confirmed_us(now), ConfirmedBy::Relay(relay.vm.clone()));
        } else {
            let known = self.log.borrow().position();
            log::info!("event=store.news_dropped taken={outcome:?} position={} known={known}", update.at);
        }
    }

    /// Requests the text of the latest bundle from the relay that has announced it, unless the text is here.
    fn request_text_from(self: &Rc<Self>, relay: &Target) {
        let Some(bundle) = self.log.borrow().bundle().filter(|bundle| bundle.number > self.adopter.number()) else {
            return;
        };
        if self.adopter.number() > 0 || !self.store_may_be_rolled_back() {
            return self.adopter.announce(bundle.number, relay.clone(), true);
        }
        // Other nodes may have a later bundle than a store that was rolled back.
        self.adopter.record_number(bundle.number);
        if !self.querying_peers.replace(true) {
            let (shell, relay) = (self.clone(), relay.clone());
            tokio::task::spawn_local(async move {
                shell.query_peers().await;
                shell.querying_peers.set(false);
                shell.adopter.announce(bundle.number, relay, true);
            });
        }
    }

    /// Serves a request of a follower: keeps its entry, and replies with the changes that it lacks as soon as there are
    /// any.
    pub(super) async fn serve_follower(
        self: Rc<Self>,
        after: Position,
        wait_ms: u32,
        me: Member,
        reply: oneshot::Sender<FollowerReply>,
    ) {
        // A follower may be the first to observe a store rollback.
        self.observe_era(after.era());
        let update = self.update_for(after, wait_ms, &me).await;
        // The receiver may have been dropped.
        let _ = reply.send(update);
    }

    async fn update_for(self: &Rc<Self>, after: Position, wait_ms: u32, follower: &Member) -> FollowerReply {
        if !self.accept_relay_role() || self.declines_relay(follower) {
            return FollowerReply::Behind;
        }
        if !self.admits_follower(follower) {
            return FollowerReply::Full;
        }
        self.keep_entry_of(follower);
        let until_us = now_us() + u64::from(wait_ms) * 1000;
        self.update_since(after, until_us).await
    }

    /// Returns the changes after a position, packed once for all followers that lack the same ones.
    fn packed_since(&self, after: Position, now_us: u64) -> FollowerReply {
        let log = self.log.borrow();
        let (at, age_ms) = (log.position(), log.age_ms(now_us));
        let mut cache = self.packed.borrow_mut();
        if let Some((_, packed)) = cache.iter().find(|(known, _)| *known == (after, at)) {
            return FollowerReply::News { packed: packed.clone(), age_ms };
        }
        match codec::pack_store_update(&log.since(after)) {
            Ok(packed) => {
                cache.retain(|((_, until), _)| *until == at);
                cache.truncate(PACKED_MAX - 1);
                cache.insert(0, ((after, at), packed.clone()));
                FollowerReply::News { packed, age_ms }
            }
            Err(error) => {
                log::warn!("event=store.news_unpacked code={} reason=\"{error}\"", error.code());
                FollowerReply::Behind
            }
        }
    }

    /// Keeps the entry of a follower in the store from now on.
    fn keep_entry_of(&self, member: &Member) {
        // A relay keeps its own entry, and a node that has never served has none.
        if member.is_relay || member.phase == Phase::Joining {
            return;
        }
        let stored = self.log.borrow().position_of(&entry_key(&member.vm));
        if self.registrar.borrow_mut().record_follower(member, stored, now_us()) {
            self.entry_due.notify_one();
        }
    }

    /// Waits for changes after a position, unless this node is behind the store.
    async fn update_since(&self, after: Position, until_us: u64) -> FollowerReply {
        let mut was_current = false;
        loop {
            let log_changed = self.log_changed.notified();
            let now = now_us();
            let current_until_us = self.log.borrow().current_until_us().filter(|until_us| *until_us > now);
            let newer = self.log.borrow().is_newer_than(after);
            if now >= until_us || (newer && current_until_us.is_some()) {
                return current_until_us.map_or(FollowerReply::Behind, |_| self.packed_since(after, now));
            }
            if was_current && current_until_us.is_none() {
                return FollowerReply::Behind;
            }
            was_current |= current_until_us.is_some();
            let next_us = current_until_us.unwrap_or(until_us).min(until_us);
            // The log is checked again after the timeout or the notification.
            let _ = timeout(Duration::from_micros(next_us.saturating_sub(now) + 1), log_changed).await;
        }
    }
}
