//! Follows a relay in place of the store, and serves the nodes that follow this one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::Shell;
use super::follow::CATCH_UP_WAIT;
use crate::clock::now_us;
use crate::link::codec;
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{self, LinkResult, Target};
use crate::member::relay::{StoreNews, Taken};
use crate::member::role::Avoided;
use crate::member::{FollowerNews, Member, Phase, entry_key};
use crate::store::{Change, Freshness, Item, Position};

/// Longest wait of one question to a relay, in milliseconds: a relay that died is noticed after it.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// A relay may take this much longer than the wait to reply, in milliseconds: several times a
/// round trip between nodes that are short of processor time.
const FOLLOW_SLACK_MS: u64 = 300;
/// The same for a node that no relay has replied to yet, in milliseconds.
const FIRST_SLACK_MS: u64 = 1_500;
/// Pause before a relay that is behind is asked again, or another one, in milliseconds: it is about to catch up, or there
/// may be no other one.
const BEHIND_PAUSE_MS: std::ops::RangeInclusive<u64> = 50..=150;
/// Wait of the question to a relay that was behind, in milliseconds.
const AGAIN_WAIT_MS: u64 = 300;
/// A relay that has not put the own entry in the store after this time is left, in microseconds.
const UNKEPT_US: u64 = 6_000_000;

/// News that are kept packed: followers that came at the same time lack the same.
const PACKED_MAX: usize = 8;

/// What a relay says of the store.
enum RelayAnswer {
    /// What has changed, and how old that is, in milliseconds.
    News(StoreNews, u32),
    /// It is behind itself.
    Behind,
    /// It bears no more followers.
    Full,
    /// Nothing, in time.
    Silence,
}

impl Shell {
    /// Follows a relay until it fails or another one is to be followed.
    pub(super) async fn follow_relay(self: &Rc<Self>, relay: &Target) {
        log::info!("event=store.following relay={}", relay.vm);
        let mut kept_us = now_us();
        let mut was_behind = false;
        while self.relay().as_ref() == Some(relay) {
            let after = self.log.borrow().position();
            let answer = tokio::select! {
                answer = self.ask_relay(relay, after, was_behind) => answer,
                () = self.hasten.notified() => return,
                // The relay is told at once what the entry is to say from now on.
                () = self.entry_news.notified() => continue,
            };
            match answer {
                RelayAnswer::News(news, age_ms) => {
                    was_behind = false;
                    self.news_us.set(Some(now_us()));
                    self.news_came(news.at.era());
                    self.take_news(&news, age_ms, after);
                    self.give_up_where_turned_away();
                    self.choose_role();
                }
                RelayAnswer::Behind if !was_behind && !self.is_relay() => {
                    was_behind = true;
                    self.pause_behind().await;
                    continue;
                }
                RelayAnswer::Behind => return self.leave_behind(relay).await,
                RelayAnswer::Full => {
                    self.has_joined.set(false);
                    return self.leave(relay, Avoided::Full);
                }
                RelayAnswer::Silence => return self.leave_silent(relay).await,
            }
            let now = now_us();
            if self.entry_stands() {
                self.has_stood.set(true);
                kept_us = now;
            } else if now >= kept_us + UNKEPT_US {
                log::warn!("event=member.entry_not_kept relay={}", relay.vm);
                return self.leave(relay, Avoided::Silent);
            }
        }
    }

    /// Returns whether the own entry stands in the store as it is to, as far as was read.
    pub(super) fn entry_stands(&self) -> bool {
        let me = self.me.borrow();
        self.keeper.borrow().wanted() == 0 || self.directory.borrow().shows(&me)
    }

    fn leave(&self, relay: &Target, why: Avoided) {
        log::info!("event=store.relay_failed relay={} why={why:?} position={}", relay.vm, self.log.borrow().position());
        self.avoid(relay, why);
        self.lose_log();
    }

    /// Leaves a relay that does not reply. Where one after the other has not, the store itself is read once: a change may
    /// have to be in force before the next one replies.
    async fn leave_silent(self: &Rc<Self>, relay: &Target) {
        self.leave(relay, Avoided::Silent);
        let longest_us = self.parts.news_within_ms * 1_000 / 2;
        if self.news_us.get().is_none_or(|news_us| now_us() < news_us + longest_us) {
            return;
        }
        if let Err(error) = self.read_changes(CATCH_UP_WAIT).await {
            self.store_failed("catch-up", &error);
        }
        // Nobody may rely on it for what changes from now on.
        self.lose_log();
    }

    async fn leave_behind(self: &Rc<Self>, relay: &Target) {
        self.avoid(relay, Avoided::Behind);
        log::info!("event=store.relay_failed relay={} why=Behind position={}", relay.vm, self.log.borrow().position());
        if self.is_relay() {
            // What is known is still fresh enough for followers until the store itself is read.
            return;
        }
        self.lose_log();
        if self.store_answers.replace(false) {
            log::warn!("event=store.lost call=relay relay={}", relay.vm);
        }
        if self.tries_store() && self.store_serves().await {
            self.become_relay("the relays are behind");
        }
        self.pause_behind().await;
    }

    /// Asks the store by its cheapest call whether it answers this node.
    async fn store_serves(self: &Rc<Self>) -> bool {
        self.count("list-earlier");
        let key = entry_key(&self.parts.me.vm);
        match self.parts.store.list(&key, None, Freshness::Earlier).await {
            Ok(page) => {
                self.store_answered(page.at.era());
                true
            }
            Err(error) => {
                log::info!("event=store.tried code={} reason=\"{error}\"", error.code());
                false
            }
        }
    }

    async fn pause_behind(&self) {
        let pause_ms = self.rng.borrow_mut().u64(BEHIND_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Asks a relay what has changed, and has it keep the own entry.
    async fn ask_relay(&self, relay: &Target, after: Position, was_behind: bool) -> RelayAnswer {
        self.parts.metrics.relay_questions.inc();
        let is_relay = self.is_relay();
        let wait_ms = match () {
            () if was_behind => AGAIN_WAIT_MS,
            () if is_relay => self.log.borrow().reader_wait_ms(),
            () => FOLLOW_WAIT_MS,
        };
        let me = self.me.borrow().clone();
        let ask = Ask::Follow { after, wait_ms: wait_ms as u32, me };
        let question = Question { ask, body: Bytes::new() };
        // A relay to which many come at once takes longer for the first reply.
        let slack_ms = if self.news_us.get().is_none() { FIRST_SLACK_MS } else { FOLLOW_SLACK_MS };
        let limit = Duration::from_millis(wait_ms + slack_ms);
        let result = peer::ask_within(&self.parts.to_link, relay.clone(), question, limit).await;
        let LinkResult::Reply(answered) = result else {
            return RelayAnswer::Silence;
        };
        let age_ms = match answered.head.reply {
            Reply::News { age_ms, .. } => age_ms,
            Reply::FollowersFull => return RelayAnswer::Full,
            _ => return RelayAnswer::Behind,
        };
        let is_late = is_relay && self.log.borrow().is_reader_late(age_ms);
        if is_late || u64::from(age_ms) * 1_000 > self.log.borrow().age_max_us() {
            return RelayAnswer::Behind;
        }
        match codec::unpack_news(&answered.body) {
            Ok(news) => RelayAnswer::News(news, age_ms),
            Err(error) => {
                log::warn!("event=store.news_invalid relay={} code={} reason=\"{error}\"", relay.vm, error.code());
                RelayAnswer::Silence
            }
        }
    }

    /// Has the relay take the own entry away, since this node is about to exit.
    pub(super) async fn tell_relay_of_exit(&self) {
        let Some(relay) = self.relay() else {
            return;
        };
        let me = Member { phase: Phase::Gone, ..self.me.borrow().clone() };
        let ask = Ask::Follow { after: self.log.borrow().position(), wait_ms: 0, me };
        // Unanswered, the entry goes when the relay has not heard of this node for a while.
        let _ = self.ask(relay, Question { ask, body: Bytes::new() }).await;
    }

    /// Takes the news that were asked for after a position.
    fn take_news(self: &Rc<Self>, news: &StoreNews, age_ms: u32, after: Position) {
        let confirmed_us = now_us().saturating_sub(u64::from(age_ms) * 1000);
        let taken = match news.whole {
            true => {
                let items: Vec<Item> = news.changes.iter().filter_map(Change::item).cloned().collect();
                self.take_all(&items, news.at, confirmed_us)
            }
            false => self.take_changes(&news.changes, after, news.at, confirmed_us),
        };
        if taken != Taken::Newest {
            let known = self.log.borrow().position();
            log::info!("event=store.news_dropped taken={taken:?} position={} known={known}", news.at);
        }
    }

    /// Tells a node that follows this one what it lacks, as soon as there is something, and keeps its entry.
    pub(super) async fn serve_follower(
        self: Rc<Self>,
        after: Position,
        wait_ms: u32,
        me: Member,
        reply: oneshot::Sender<FollowerNews>,
    ) {
        // A follower may have heard first that the store has come back older.
        self.era_seen(after.era());
        let news = self.news_for(after, wait_ms, &me).await;
        // Whoever asked may have gone away meanwhile.
        let _ = reply.send(news);
    }

    async fn news_for(self: &Rc<Self>, after: Position, wait_ms: u32, follower: &Member) -> FollowerNews {
        if !self.appoint() {
            return FollowerNews::Behind;
        }
        if !self.admits_follower(follower) {
            return FollowerNews::Full;
        }
        self.keep_entry_of(follower);
        let until_us = now_us() + u64::from(wait_ms) * 1000;
        self.news_since(after, until_us).await
    }

    /// Returns what a follower lacks, packed once for all that lack the same.
    fn packed_since(&self, after: Position, now_us: u64) -> FollowerNews {
        let log = self.log.borrow();
        let (at, age_ms) = (log.position(), log.age_ms(now_us));
        let mut cache = self.packed.borrow_mut();
        if let Some((_, packed)) = cache.iter().find(|(known, _)| *known == (after, at)) {
            return FollowerNews::News { packed: packed.clone(), age_ms };
        }
        match codec::pack_news(&log.since(after)) {
            Ok(packed) => {
                cache.retain(|((_, until), _)| *until == at);
                cache.truncate(PACKED_MAX - 1);
                cache.insert(0, ((after, at), packed.clone()));
                FollowerNews::News { packed, age_ms }
            }
            Err(error) => {
                log::warn!("event=store.news_unpacked code={} reason=\"{error}\"", error.code());
                FollowerNews::Behind
            }
        }
    }

    fn keep_entry_of(&self, member: &Member) {
        // A relay keeps its own entry, and a node that has never served has none.
        if member.is_relay || member.phase == Phase::Joining {
            return;
        }
        let stands = self.log.borrow().position_of(&entry_key(&member.vm));
        if self.registrar.borrow_mut().heard(member, stands, now_us()) {
            self.entry_due.notify_one();
        }
    }

    /// Waits for changes after a position, unless this node is behind itself.
    async fn news_since(&self, after: Position, until_us: u64) -> FollowerNews {
        let mut was_current = false;
        loop {
            let logged = self.logged.notified();
            let now = now_us();
            let current_until_us = self.log.borrow().current_until_us().filter(|until_us| *until_us > now);
            let newer = self.log.borrow().is_newer_than(after);
            if now >= until_us || (newer && current_until_us.is_some()) {
                return current_until_us.map_or(FollowerNews::Behind, |_| self.packed_since(after, now));
            }
            if was_current && current_until_us.is_none() {
                return FollowerNews::Behind;
            }
            was_current |= current_until_us.is_some();
            let next_us = current_until_us.unwrap_or(until_us).min(until_us);
            // Woken or not, the log is looked at again.
            let _ = timeout(Duration::from_micros(next_us.saturating_sub(now) + 1), logged).await;
        }
    }
}
