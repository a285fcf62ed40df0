//! Follows a relay in place of the store, and serves the nodes that follow this one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Shell;
use crate::clock::now_us;
use crate::link::codec;
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{self, LinkResult, Target};
use crate::member::relay::{AGE_MAX_US, StoreNews, Taken, relay_of};
use crate::store::{Change, Item, Position};

/// Longest wait of one question to a relay, in milliseconds: a relay that died is noticed after it.
const FOLLOW_WAIT_MS: u32 = 1_000;
/// A relay may take this much longer than the wait to reply, in milliseconds: several times a
/// round trip between nodes that are short of processor time.
const FOLLOW_SLACK_MS: u64 = 300;
/// A relay that failed is left alone for this long, in microseconds: about as long as a killed
/// node takes to serve again.
const AVOID_US: u64 = 5_000_000;
/// With this many relays left alone, the store is followed directly: more would hardly fare better.
const AVOIDED_MAX: usize = 2;
/// A node counts as a relay for this long after it was last asked, in microseconds: three waits.
const RELAY_US: u64 = 3_000_000;

impl Shell {
    /// Returns the node that this one is to follow in place of the store. A node that others follow
    /// follows the store itself: two that follow each other would tell each other old news.
    pub(super) fn relay(&self) -> Option<Target> {
        if self.is_relay() {
            return None;
        }
        let now = now_us();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until_us| *until_us > now);
        if avoided.len() >= AVOIDED_MAX {
            return None;
        }
        let members = self.parts.members.borrow();
        let me = self.me.borrow();
        let relay = relay_of(&members, &me, |vm| avoided.contains_key(vm))?;
        Some(Target { vm: relay.vm.clone(), addr: relay.link_addr })
    }

    /// Returns whether other nodes follow this one.
    pub(super) fn is_relay(&self) -> bool {
        self.asked_us.get().is_some_and(|asked_us| now_us() < asked_us + RELAY_US)
    }

    /// Follows a relay until it fails or another one is to be followed; returns whether the
    /// relay served to the end.
    pub(super) async fn follow_relay(self: &Rc<Self>, relay: &Target) -> bool {
        log::info!("event=store.following relay={}", relay.vm);
        while self.relay().as_ref() == Some(relay) {
            let after = self.log.borrow().position();
            let news = tokio::select! {
                news = self.ask_relay(relay, after) => news,
                () = self.hasten.notified() => return true,
            };
            let Some(news) = news else {
                log::info!("event=store.relay_failed relay={} position={}", relay.vm, self.log.borrow().position());
                self.avoided.borrow_mut().insert(relay.vm.clone(), now_us() + AVOID_US);
                self.lose_log();
                return false;
            };
            self.take_news(&news, after);
        }
        true
    }

    /// Asks a relay what has changed; none when it does not reply in time or is behind itself.
    async fn ask_relay(&self, relay: &Target, after: Position) -> Option<StoreNews> {
        self.parts.metrics.relay_questions.inc();
        let ask = Ask::Follow { after, wait_ms: FOLLOW_WAIT_MS };
        let limit = Duration::from_millis(u64::from(FOLLOW_WAIT_MS) + FOLLOW_SLACK_MS);
        let question = Question { ask, body: Bytes::new() };
        let result = peer::ask_within(&self.parts.to_link, relay.clone(), question, limit).await;
        let LinkResult::Reply(answered) = result else {
            return None;
        };
        let Reply::News { .. } = answered.head.reply else {
            return None;
        };
        match codec::unpack_news(&answered.body) {
            Ok(news) => Some(news).filter(|news| u64::from(news.age_ms) * 1000 <= AGE_MAX_US),
            Err(error) => {
                log::warn!("event=store.news_invalid relay={} code={} reason=\"{error}\"", relay.vm, error.code());
                None
            }
        }
    }

    /// Takes the news that were asked for after a position.
    fn take_news(self: &Rc<Self>, news: &StoreNews, after: Position) {
        self.era_seen(news.at.era());
        let confirmed_us = now_us().saturating_sub(u64::from(news.age_ms) * 1000);
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

    /// Tells a node that follows this one what it lacks, as soon as there is something.
    pub(super) async fn serve_follower(
        self: Rc<Self>,
        after: Position,
        wait_ms: u32,
        reply: oneshot::Sender<Option<StoreNews>>,
    ) {
        // A follower may have heard first that the store has come back older.
        self.era_seen(after.era());
        let was_relay = self.is_relay();
        self.asked_us.set(Some(now_us()));
        if !was_relay {
            // What this node waits for would not tell it for long that there are no changes.
            self.hasten.notify_one();
        }
        let until_us = now_us() + u64::from(wait_ms) * 1000;
        let news = self.news_since(after, until_us).await;
        // Whoever asked may have gone away meanwhile.
        let _ = reply.send(news);
    }

    /// Waits for changes after a position; none when this node is behind itself.
    async fn news_since(&self, after: Position, until_us: u64) -> Option<StoreNews> {
        let mut was_current = false;
        loop {
            let logged = self.logged.notified();
            let now = now_us();
            let current_until_us = self.log.borrow().current_until_us().filter(|until_us| *until_us > now);
            let newer = self.log.borrow().is_newer_than(after);
            if now >= until_us || (newer && current_until_us.is_some()) {
                return current_until_us.map(|_| self.log.borrow().since(after, now));
            }
            if was_current && current_until_us.is_none() {
                return None;
            }
            was_current |= current_until_us.is_some();
            let next_us = current_until_us.unwrap_or(until_us).min(until_us);
            // Woken or not, the log is looked at again.
            let _ = timeout(Duration::from_micros(next_us.saturating_sub(now) + 1), logged).await;
        }
    }
}
