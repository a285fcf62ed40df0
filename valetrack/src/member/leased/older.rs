//! What a node does when the store has come back from an older copy: it reads everything again, keeps to what it knows
//! that the copy lacks, and asks others what they know.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Shell;
use crate::bundle::version_of;
use crate::clock::now_us;
use crate::crash::CrashJob;
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::{ENTRY_PREFIX, EntryDoc, Evacuation};
use crate::store::{Era, Item, Position};

/// Other nodes that one round of questions goes to. Those who know more tell those who know less, so that what one node
/// alone knows is known to all of 13 after three rounds and to all of 1,000 after five, in each of 20 plays of a model
/// in which all ask at the same moment.
const PEERS: usize = 3;
/// Rounds of questions after the store came back older: one more than the model takes.
const ROUNDS: usize = 6;
/// Pause between two rounds, in milliseconds: several round trips between failure domains.
const ROUND_MS: u64 = 150;

impl Shell {
    /// Takes the era that an answer of the store, or another node, has named.
    pub(super) fn era_seen(self: &Rc<Self>, era: Era) {
        let known = self.log.borrow().position();
        if !self.log.borrow_mut().enter(era) {
            return;
        }
        let now = now_us();
        self.keeper.borrow_mut().enter(era, now);
        self.registrar.borrow_mut().enter(era, now);
        if known.is_start() {
            // Nothing of the former era was read here, so that there is nothing to hold against the copy.
            return;
        }
        log::warn!("event=store.came_back_older era={era} before={} known={known}", known.era());
        self.parts.metrics.store_rollbacks.inc();
        self.lost_from.set(Some(known));
        self.evacuation_keys.borrow_mut().enter_era(&self.evacuation.borrow().domains, now);
        // A full ring means that the store holds much of crashes; whatever is read next is held against it.
        if self.parts.to_crash.try_send(CrashJob::StoreOlder).is_err() {
            log::warn!("event=crash.store_older_dropped reason=\"full ring\"");
        }
        self.logged.notify_waiters();
        self.entry_due.notify_one();
        self.reread.notify_one();
        self.hasten.notify_one();
        tokio::task::spawn_local(self.clone().compare_bundles());
    }

    /// Says what a store that came back older holds, as it is read whole for the first time.
    pub(super) fn log_reread(&self, at: Position) {
        let Some(known) = self.lost_from.take() else {
            return;
        };
        log::info!(
            "event=store.reread known={known} position={at} bundle={} entries={} missing={}",
            self.adopter.number(),
            self.directory.borrow().members().count(),
            self.directory.borrow().missing()
        );
    }

    /// Asks some other nodes for their bundle, and tells those that have an earlier one, in a few rounds.
    ///
    /// An operator's change that was in force at one node when the store went away is not in the copy, and nodes that
    /// no call passes would not hear of it.
    async fn compare_bundles(self: Rc<Self>) {
        if self.comparing.replace(true) {
            return;
        }
        for _ in 0..ROUNDS {
            self.ask_peers().await;
            sleep(Duration::from_millis(ROUND_MS)).await;
        }
        self.comparing.set(false);
    }

    /// Asks some other nodes what bundle is in force there.
    async fn ask_peers(self: &Rc<Self>) {
        let peers = self.some_peers();
        let asked = peers.into_iter().map(|peer| self.clone().ask_for_bundle(peer));
        futures::future::join_all(asked).await;
    }

    async fn ask_for_bundle(self: Rc<Self>, peer: Target) {
        let question = Question { ask: Ask::Evacuation, body: Bytes::new() };
        let LinkResult::Reply(answered) = self.ask(peer.clone(), question).await else {
            return;
        };
        let theirs = answered.head.riding.bundle;
        if let Reply::Evacuation(news) = answered.head.reply {
            self.evacuation_told(&news);
        }
        if theirs < self.adopter.number() {
            return self.tell(peer).await;
        }
        if self.adopter.wants(theirs) {
            self.fetch_bundle(peer).await;
        }
    }

    /// Takes what another node knows of evacuations; at a node that has just started it counts as the operators' word
    /// from before the store came back older.
    fn evacuation_told(&self, news: &Evacuation) {
        if self.adopter.number() == 0 && !news.domains.is_empty() {
            self.evacuation_keys.borrow_mut().told(&news.domains, now_us());
            self.settle_evacuations();
        }
        self.evacuation_heard(news);
    }

    /// Returns some other nodes, drawn at random.
    fn some_peers(&self) -> Vec<Target> {
        let me = &self.parts.me.vm;
        let directory = self.directory.borrow();
        let others = directory.members().filter(|member| member.vm != *me);
        let chosen = self.rng.borrow_mut().choose_multiple(others, PEERS);
        chosen.into_iter().map(|member| Target { vm: member.vm.clone(), addr: member.link_addr }).collect()
    }

    /// Puts the store's bundle in force, at a node that has none only after others were asked for theirs where the
    /// store may have come back older than what they have.
    pub(super) fn offer_bundle(self: &Rc<Self>, number: u64, text: &str) {
        if self.adopter.number() > 0 || !self.store_may_be_older() {
            self.adopter.offer(number, &version_of(text), text, "store");
            return;
        }
        log::info!("event=bundle.held_back number={number} reason=\"the store has come back older\"");
        let (shell, text): (_, Arc<str>) = (self.clone(), Arc::from(text));
        tokio::task::spawn_local(async move {
            shell.ask_peers().await;
            shell.adopter.offer(number, &version_of(&text), &text, "store");
        });
    }

    /// Returns whether some entry is from an earlier era: its node was there before the store came back older.
    fn store_may_be_older(&self) -> bool {
        let era = self.log.borrow().era();
        self.log.borrow().items().any(|item| is_of_earlier_era(item, era))
    }
}

fn is_of_earlier_era(item: &Item, era: Era) -> bool {
    item.key.starts_with(ENTRY_PREFIX) && EntryDoc::read(item).is_ok_and(|doc| doc.era < era)
}
