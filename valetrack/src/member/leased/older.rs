//! Handling of a store rollback: the node reads the store completely, keeps its state that the restored copy lacks, and
//! compares bundles and evacuations with other nodes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Shell;
use crate::bundle::version_of;
use crate::clock::now_us;
use crate::crash::CrashJob;
use crate::link::message::{Ask, PeerRequest, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::{ENTRY_PREFIX, EntryDoc, Evacuation};
use crate::store::{Era, Item, Position};

/// Number of other nodes that one round of queries includes. Nodes with a later state send it to those with an earlier
/// one. In a model in which all nodes send their queries at the same moment, the state of a single node reaches all of
/// 13 nodes within three rounds and all of 1,000 within five.
const PEERS: usize = 3;
/// Rounds of queries after a store rollback: one more than the model needs.
const ROUNDS: usize = 6;
/// Pause between two rounds: several round trips between failure domains.
const ROUND_MS: u64 = 150;
/// Longest wait of a query for a later bundle than this node's.
const TEXT_WAIT: Duration = Duration::from_millis(1_000);

impl Shell {
    /// Records the era named by the store or another node; a later era than the recorded one means a store rollback.
    pub(super) fn observe_era(self: &Rc<Self>, era: Era) {
        let known = self.log.borrow().position();
        if !self.log.borrow_mut().enter(era) {
            return;
        }
        let now = now_us();
        self.keeper.borrow_mut().enter(era, now);
        self.registrar.borrow_mut().enter(era, now);
        if known.is_start() {
            // Nothing of the former era was read here, so the copy lacks nothing that this node has.
            return;
        }
        log::warn!("event=store.came_back_older era={era} before={} known={known}", known.era());
        self.parts.metrics.store_rollbacks.inc();
        self.rollback_from.set(Some(known));
        self.evacuation_keys.borrow_mut().enter_era(&self.evacuation.borrow().domains, now);
        // A full channel means that the store holds many crash reports; the crash thread compares those read next.
        if self.parts.to_crash.try_send(CrashJob::StoreRolledBack).is_err() {
            log::warn!("event=crash.store_older_dropped reason=\"channel full\"");
        }
        self.log_changed.notify_waiters();
        self.entry_due.notify_one();
        self.reread.notify_one();
        self.follow_now.notify_one();
        tokio::task::spawn_local(self.clone().compare_bundles());
    }

    /// Logs the contents of the store after its first complete read since a rollback.
    pub(super) fn log_reread(&self, at: Position) {
        let Some(known) = self.rollback_from.take() else {
            return;
        };
        log::info!(
            "event=store.reread known={known} position={at} bundle={} entries={} missing={}",
            self.adopter.number(),
            self.directory.borrow().members().count(),
            self.directory.borrow().missing()
        );
    }

    /// Compares bundles with other nodes, in a few rounds, so that all end with the latest one.
    ///
    /// The restored copy lacks an operator's change that was in force at only some nodes when the store failed, and
    /// nodes that exchange no calls with those would not receive it.
    async fn compare_bundles(self: Rc<Self>) {
        if self.comparing_bundles.replace(true) {
            return;
        }
        for _ in 0..ROUNDS {
            self.query_peers().await;
            sleep(Duration::from_millis(ROUND_MS)).await;
        }
        self.comparing_bundles.set(false);
    }

    /// Compares bundles and evacuations with some other nodes.
    pub(super) async fn query_peers(self: &Rc<Self>) {
        let peers = self.random_peers();
        let asked = peers.into_iter().map(|peer| self.clone().query_peer(peer));
        futures::future::join_all(asked).await;
    }

    async fn query_peer(self: Rc<Self>, peer: Target) {
        let request = PeerRequest { ask: Ask::Evacuation, body: Bytes::new() };
        let LinkResult::Reply(answered) = self.request(peer.clone(), request).await else {
            return;
        };
        let theirs = answered.head.riding.bundle;
        if let Reply::Evacuation(reported) = answered.head.reply {
            self.on_evacuation_reported(&reported);
        }
        if theirs < self.adopter.number() {
            return self.send_state(peer).await;
        }
        if theirs > self.adopter.number() {
            self.on_bundle_announced(theirs, peer);
            self.adopter.wait_for_text(TEXT_WAIT).await;
        }
    }

    /// Merges the evacuations reported by another node. A node that has just started treats them as the state from
    /// before the store rollback.
    fn on_evacuation_reported(&self, reported: &Evacuation) {
        if self.adopter.number() == 0 && !reported.domains.is_empty() {
            self.evacuation_keys.borrow_mut().record_peer_report(&reported.domains, now_us());
            self.update_evacuation();
        }
        self.on_evacuation_received(reported);
    }

    /// Returns some other nodes, drawn at random.
    pub(super) fn random_peers(&self) -> Vec<Target> {
        let me = &self.parts.me.vm;
        let directory = self.directory.borrow();
        let others = directory.members().filter(|member| member.vm != *me);
        let chosen = self.rng.borrow_mut().choose_multiple(others, PEERS);
        chosen.into_iter().map(|member| Target { vm: member.vm.clone(), addr: member.link_addr }).collect()
    }

    /// Puts the store's bundle in force. A node without a bundle first queries peers for theirs if the store may have
    /// been rolled back, since they may have a later one.
    pub(super) fn offer_bundle(self: &Rc<Self>, number: u64, text: &str) {
        if self.adopter.number() > 0 || !self.store_may_be_rolled_back() {
            self.adopter.offer(number, &version_of(text), text, "store");
            return;
        }
        self.adopter.record_number(number);
        log::info!("event=bundle.held_back number={number} reason=\"the store may have been rolled back\"");
        let (shell, text): (_, Arc<str>) = (self.clone(), Arc::from(text));
        tokio::task::spawn_local(async move {
            shell.query_peers().await;
            shell.adopter.offer(number, &version_of(&text), &text, "store");
        });
    }

    /// Returns whether some entry is from an earlier era, so that its node was running before a store rollback.
    pub(super) fn store_may_be_rolled_back(&self) -> bool {
        let era = self.log.borrow().era();
        self.log.borrow().items().any(|item| is_of_earlier_era(item, era))
    }
}

fn is_of_earlier_era(item: &Item, era: Era) -> bool {
    item.key.starts_with(ENTRY_PREFIX) && EntryDoc::read(item).is_ok_and(|doc| doc.era < era)
}
