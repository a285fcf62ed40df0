//! Takes the roll-outs that the store shows, and carries those of the own service on.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Shell;
use crate::clock::now_us;
use crate::code::Code;
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::{Member, Phase};
use crate::rollout::{
    DOC_PREFIX, Decision, Evidence, Progress, RolloutDoc, RolloutStage, RouteRuns, Stage, decide, doc_key,
};
use crate::store::{Change, Item, LeasedChange, LeasedWrite, StoreError, Transacted};

/// Pause between two looks at how a roll-out goes, in milliseconds: a bad version is left within this time and that in
/// which nodes hear of it.
const LOOK_MS: u64 = 300;
/// Nodes that carry a roll-out on: the first by name, and others should it be gone.
const CARRIERS: usize = 2;
/// A stand-in acts this much later than the node before it, in milliseconds.
const STAND_IN_MS: u64 = 1_000;
/// Owners of the old version that are asked for their counts.
const OLD_ASKED: usize = 8;
/// Owners of the new version that are asked for their counts; more than are ever on trial.
const NEW_ASKED: usize = 16;

/// What the nodes that carry a roll-out on remember between two looks.
#[derive(Default)]
struct Watched {
    /// Position of the order, so that another one begins anew.
    order: u64,
    /// What each owner of the old version had counted when it was first asked.
    before: HashMap<Target, Vec<RouteRuns>>,
    /// A decision that this node is to act on, and since when, in microseconds.
    decided: Option<(Stage, u64)>,
}

impl Shell {
    /// Returns whether a key is one of roll-outs.
    pub(super) fn is_rollout(&self, key: &str) -> bool {
        key.starts_with(DOC_PREFIX) || self.parts.rollouts.ordered_service(key).is_some()
    }

    /// Takes the roll-outs as the whole store shows them.
    pub(super) fn take_rollouts(&self, items: &[Item]) {
        let mut ordered = Vec::new();
        for item in items.iter().filter(|item| self.is_rollout(&item.key)) {
            ordered.extend(self.parts.rollouts.ordered_service(&item.key).map(Arc::from));
            self.take_rollout(&Change::Put(item.clone()));
        }
        self.rollouts.borrow_mut().keep_ordered(&ordered);
    }

    /// Takes one change of roll-outs; returns whether it says something new.
    pub(super) fn take_rollout(&self, change: &Change) -> bool {
        let service = self.parts.rollouts.ordered_service(change.key());
        let changed = match (change, service) {
            (Change::Put(item), Some(service)) => self.take_order(service, item),
            (Change::Put(item), None) => self.take_doc(item),
            (Change::Gone { .. }, Some(service)) => self.rollouts.borrow_mut().withdrawn(service),
            // What was reached stays so.
            (Change::Gone { .. }, None) => false,
        };
        if changed {
            self.rollout_news.notify_one();
        }
        changed
    }

    fn take_order(&self, service: &str, item: &Item) -> bool {
        match self.parts.rollouts.read_order(service, &item.value) {
            Ok(order) => {
                let version = order.version.clone();
                let new = self.rollouts.borrow_mut().ordered(order, item.position, now_us());
                if new {
                    log::info!("event=rollout.ordered service={service} version={version}");
                }
                new
            }
            Err(reason) => {
                log::error!(
                    "event=rollout.order_invalid code={} service={service} reason=\"{reason}\"",
                    Code::RolloutInvalid
                );
                false
            }
        }
    }

    fn take_doc(&self, item: &Item) -> bool {
        let taken = self.rollouts.borrow_mut().stored(item, now_us());
        match taken {
            Ok(new) => {
                if new {
                    log::info!("event=rollout.stage key={} position={}", item.key, item.position);
                }
                new
            }
            Err(reason) => {
                log::warn!("event=rollout.invalid code={} key={} reason=\"{reason}\"", Code::RolloutInvalid, item.key);
                false
            }
        }
    }

    /// Carries a roll-out of the own service on; runs as long as the node.
    pub(super) async fn carry_rollouts(self: Rc<Self>) {
        let mut watched = Watched::default();
        loop {
            let Some(rollout) = self.open_rollout() else {
                self.rollout_news.notified().await;
                continue;
            };
            if let Some(place) = self.place_among_carriers(&rollout) {
                self.carry(&rollout, place, &mut watched).await;
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Returns the roll-out of the own service, if more is to come of it.
    fn open_rollout(&self) -> Option<RolloutStage> {
        let rollout = self.rollouts.borrow().of(&self.parts.me.service);
        rollout.filter(|rollout| !rollout.stage.is_some_and(Stage::is_final))
    }

    /// Returns the place of this node among those that carry a roll-out on, if it is one of them.
    fn place_among_carriers(&self, rollout: &RolloutStage) -> Option<usize> {
        let servers = self.servers_of_own_service();
        let old = servers.iter().filter(|member| member.version.as_ref() != Some(&rollout.order.version));
        old.take(CARRIERS).position(|member| member.vm == self.parts.me.vm)
    }

    fn servers_of_own_service(&self) -> Vec<Member> {
        let members = self.parts.members.borrow();
        let own = |member: &&Member| member.service == self.parts.me.service && member.phase == Phase::Serving;
        members.iter().filter(own).cloned().collect()
    }

    async fn carry(self: &Rc<Self>, rollout: &RolloutStage, place: usize, watched: &mut Watched) {
        if watched.order != rollout.ordered_at.wire_revision() {
            *watched = Watched { order: rollout.ordered_at.wire_revision(), ..Watched::default() };
        }
        let evidence = self.evidence(rollout, watched).await;
        let now = now_us();
        let progress = Progress {
            stage: rollout.stage,
            age_ms: now.saturating_sub(rollout.since_us) / 1_000,
            stage_age_ms: now.saturating_sub(rollout.stage_since_us) / 1_000,
            within_ms: rollout.order.within_ms,
        };
        let Decision::Reach(stage) = decide(progress, &evidence) else {
            watched.decided = None;
            return;
        };
        let since_us = watched.decided.filter(|(decided, _)| *decided == stage).map_or(now, |(_, since_us)| since_us);
        watched.decided = Some((stage, since_us));
        if now < since_us + place as u64 * STAND_IN_MS * 1_000 {
            return;
        }
        match self.write_stage(rollout, stage).await {
            Ok(()) => log::info!(
                "event=rollout.decided service={} version={} stage={stage:?} new_runs={:?} old_runs={:?}",
                rollout.order.service,
                rollout.order.version,
                evidence.new_runs,
                evidence.old_runs
            ),
            Err(error) => log::warn!("event=rollout.unwritten code={} reason=\"{error}\"", error.code()),
        }
    }

    /// Asks owners of both versions how their runs ended.
    async fn evidence(self: &Rc<Self>, rollout: &RolloutStage, watched: &mut Watched) -> Evidence {
        let servers = self.servers_of_own_service();
        let is_new = |member: &&Member| member.version.as_ref() == Some(&rollout.order.version);
        let (new, old): (Vec<&Member>, Vec<&Member>) = servers.iter().partition(is_new);
        let mut evidence = Evidence { new_servers: new.len(), old_servers: old.len(), ..Evidence::default() };
        for (_, runs) in self.ask_runs(&new, NEW_ASKED).await {
            add_runs(&mut evidence.new_runs, &runs);
        }
        for (owner, runs) in self.ask_runs(&old, OLD_ASKED).await {
            let before = watched.before.entry(owner).or_insert_with(|| runs.clone());
            add_runs(&mut evidence.old_runs, &since(&runs, before));
        }
        evidence
    }

    async fn ask_runs(self: &Rc<Self>, owners: &[&Member], most: usize) -> Vec<(Target, Vec<RouteRuns>)> {
        let asked = owners.iter().take(most).map(|member| {
            let target = Target { vm: member.vm.clone(), addr: member.link_addr };
            async move {
                let question = Question { ask: Ask::Runs, body: Bytes::new() };
                let LinkResult::Reply(answered) = self.ask(target.clone(), question).await else {
                    return None;
                };
                let Reply::Runs(runs) = answered.head.reply else {
                    return None;
                };
                Some((target, runs))
            }
        });
        futures::future::join_all(asked).await.into_iter().flatten().collect()
    }

    /// Writes the stage that a roll-out has reached, and tells operators of it.
    async fn write_stage(self: &Rc<Self>, rollout: &RolloutStage, stage: Stage) -> Result<(), StoreError> {
        let order = &rollout.order;
        let doc = RolloutDoc { version: order.version.clone(), order: rollout.ordered_at.wire_revision(), stage };
        let value = serde_json::to_vec(&doc).map_err(|error| StoreError::Invalid { reason: error.to_string() })?;
        let (status_key, status) = self.parts.rollouts.status(order, stage.state());
        let status_at = self.log.borrow().position_of(&status_key);
        let put = |key, expected, value| LeasedChange::Put(LeasedWrite { key, expected, value, lease: None });
        let changes = [put(doc_key(&order.service), rollout.doc_at, value), put(status_key, status_at, status)];
        self.count("rollout");
        match self.parts.store.transact(&changes).await? {
            Transacted::At(position) => {
                self.store_answered(position.era());
                Ok(())
            }
            Transacted::Conflict(_) => Err(StoreError::Refused { reason: "another node was first".into() }),
        }
    }
}

/// Adds runs by route.
fn add_runs(sum: &mut Vec<RouteRuns>, runs: &[RouteRuns]) {
    for runs in runs {
        match sum.iter_mut().find(|known| known.route == runs.route) {
            Some(known) => known.add(runs),
            None => sum.push(runs.clone()),
        }
    }
}

/// Returns what was counted since; an upstream that has started anew counts from zero again.
fn since(runs: &[RouteRuns], before: &[RouteRuns]) -> Vec<RouteRuns> {
    let less = |runs: &RouteRuns| {
        let known = before.iter().find(|known| known.route == runs.route && known.runs <= runs.runs);
        known.map_or_else(
            || runs.clone(),
            |known| RouteRuns {
                route: runs.route.clone(),
                runs: runs.runs - known.runs,
                failed: runs.failed.saturating_sub(known.failed),
                slow: runs.slow.saturating_sub(known.slow),
            },
        )
    };
    runs.iter().map(less).collect()
}
