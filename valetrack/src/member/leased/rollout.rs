//! Records the roll-outs in the store, and advances those of this node's service.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Shell;
use crate::clock::now_us;
use crate::code::Code;
use crate::link::message::{Ask, PeerRequest, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::{Member, Phase};
use crate::rollout::{
    DOC_PREFIX, Decision, Evidence, Progress, RolloutDoc, RolloutStage, RouteRuns, Stage, decide, doc_key,
};
use crate::store::{Change, Item, LeasedChange, LeasedWrite, StoreError, TransactionOutcome};

/// Pause between two checks of a roll-out: a bad version is rolled back within this time plus the time in which nodes
/// receive the decision.
const CHECK_MS: u64 = 300;
/// Number of nodes that may advance a roll-out: the first by name, and the next ones if it is left or dead.
const COORDINATORS: usize = 2;
/// Delay with which each further coordinator acts after the one before it.
const TAKEOVER_MS: u64 = 1_000;
/// Number of owners of the old version that are queried for their counts.
const OLD_QUERIED: usize = 8;
/// Number of owners of the new version that are queried for their counts; there are never as many on trial.
const NEW_QUERIED: usize = 16;

/// State of a coordinator between two checks of a roll-out.
#[derive(Default)]
struct RolloutWatch {
    /// Position of the order; a different one resets this state.
    order: u64,
    /// Counts of each owner of the old version at its first query.
    before: HashMap<Target, Vec<RouteRuns>>,
    /// Pending decision, and since when it is pending, in microseconds.
    decided: Option<(Stage, u64)>,
}

impl Shell {
    /// Returns whether a key belongs to a roll-out.
    pub(super) fn is_rollout(&self, key: &str) -> bool {
        key.starts_with(DOC_PREFIX) || self.parts.rollouts.ordered_service(key).is_some()
    }

    /// Applies the roll-outs of a complete read of the store.
    pub(super) fn apply_rollouts(&self, items: &[Item]) {
        let mut ordered = Vec::new();
        for item in items.iter().filter(|item| self.is_rollout(&item.key)) {
            ordered.extend(self.parts.rollouts.ordered_service(&item.key).map(Arc::from));
            self.apply_rollout(&Change::Put(item.clone()));
        }
        self.rollouts.borrow_mut().retain_ordered(&ordered);
    }

    /// Applies one change of a roll-out; returns whether the recorded roll-outs changed.
    pub(super) fn apply_rollout(&self, change: &Change) -> bool {
        let service = self.parts.rollouts.ordered_service(change.key());
        let changed = match (change, service) {
            (Change::Put(item), Some(service)) => self.apply_order(service, item),
            (Change::Put(item), None) => self.apply_doc(item),
            (Change::Gone { .. }, Some(service)) => self.rollouts.borrow_mut().remove_order(service),
            // A stage that was reached remains in force without its document.
            (Change::Gone { .. }, None) => false,
        };
        if changed {
            self.rollout_changed.notify_one();
        }
        changed
    }

    fn apply_order(&self, service: &str, item: &Item) -> bool {
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

    fn apply_doc(&self, item: &Item) -> bool {
        let outcome = self.rollouts.borrow_mut().apply_item(item, now_us());
        match outcome {
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

    /// Advances the roll-outs of this node's service; runs as long as the node.
    pub(super) async fn advance_rollouts(self: Rc<Self>) {
        let mut watch = RolloutWatch::default();
        loop {
            let Some(rollout) = self.open_rollout() else {
                self.rollout_changed.notified().await;
                continue;
            };
            if let Some(rank) = self.coordinator_rank(&rollout) {
                self.advance(&rollout, rank, &mut watch).await;
            }
            sleep(Duration::from_millis(CHECK_MS)).await;
        }
    }

    /// Returns the roll-out of this node's service, unless it has reached a final stage.
    fn open_rollout(&self) -> Option<RolloutStage> {
        let rollout = self.rollouts.borrow().of(&self.parts.me.service);
        rollout.filter(|rollout| !rollout.stage.is_some_and(Stage::is_final))
    }

    /// Returns the rank of this node among the coordinators of a roll-out, if it is one of them.
    fn coordinator_rank(&self, rollout: &RolloutStage) -> Option<usize> {
        let servers = self.servers_of_own_service();
        let old = servers.iter().filter(|member| member.version.as_ref() != Some(&rollout.order.version));
        old.take(COORDINATORS).position(|member| member.vm == self.parts.me.vm)
    }

    fn servers_of_own_service(&self) -> Vec<Member> {
        let members = self.parts.members.borrow();
        let own = |member: &&Member| member.service == self.parts.me.service && member.phase == Phase::Serving;
        members.iter().filter(own).cloned().collect()
    }

    /// Decides on the next stage of a roll-out, and writes it when this coordinator's delay has passed.
    async fn advance(self: &Rc<Self>, rollout: &RolloutStage, rank: usize, watch: &mut RolloutWatch) {
        if watch.order != rollout.ordered_at.wire_revision() {
            *watch = RolloutWatch { order: rollout.ordered_at.wire_revision(), ..RolloutWatch::default() };
        }
        let evidence = self.evidence(rollout, watch).await;
        let now = now_us();
        let progress = Progress {
            stage: rollout.stage,
            age_ms: now.saturating_sub(rollout.since_us) / 1_000,
            stage_age_ms: now.saturating_sub(rollout.stage_since_us) / 1_000,
            within_ms: rollout.order.within_ms,
        };
        let Decision::Reach(stage) = decide(progress, &evidence) else {
            watch.decided = None;
            return;
        };
        let since_us = watch.decided.filter(|(decided, _)| *decided == stage).map_or(now, |(_, since_us)| since_us);
        watch.decided = Some((stage, since_us));
        if now < since_us + rank as u64 * TAKEOVER_MS * 1_000 {
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
            Err(error) => log::warn!("event=rollout.write_failed code={} reason=\"{error}\"", error.code()),
        }
    }

    /// Queries owners of both versions for the outcomes of their runs.
    async fn evidence(self: &Rc<Self>, rollout: &RolloutStage, watch: &mut RolloutWatch) -> Evidence {
        let servers = self.servers_of_own_service();
        let is_new = |member: &&Member| member.version.as_ref() == Some(&rollout.order.version);
        let (new, old): (Vec<&Member>, Vec<&Member>) = servers.iter().partition(is_new);
        let mut evidence = Evidence { new_servers: new.len(), old_servers: old.len(), ..Evidence::default() };
        for (_, runs) in self.query_runs(&new, NEW_QUERIED).await {
            add_runs(&mut evidence.new_runs, &runs);
        }
        for (owner, runs) in self.query_runs(&old, OLD_QUERIED).await {
            let before = watch.before.entry(owner).or_insert_with(|| runs.clone());
            add_runs(&mut evidence.old_runs, &since(&runs, before));
        }
        evidence
    }

    /// Queries at most `limit` owners for the counts of their runs.
    async fn query_runs(self: &Rc<Self>, owners: &[&Member], limit: usize) -> Vec<(Target, Vec<RouteRuns>)> {
        let queries = owners.iter().take(limit).map(|member| {
            let target = Target { vm: member.vm.clone(), addr: member.link_addr };
            async move {
                let request = PeerRequest { ask: Ask::Runs, body: Bytes::new() };
                let LinkResult::Reply(answered) = self.request(target.clone(), request).await else {
                    return None;
                };
                let Reply::Runs(runs) = answered.head.reply else {
                    return None;
                };
                Some((target, runs))
            }
        });
        futures::future::join_all(queries).await.into_iter().flatten().collect()
    }

    /// Writes the stage that a roll-out has reached, together with its status for operators.
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
            TransactionOutcome::At(position) => {
                self.store_answered(position.era());
                Ok(())
            }
            TransactionOutcome::Conflict(_) => {
                Err(StoreError::Refused { reason: "another node wrote a stage first".into() })
            }
        }
    }
}

/// Adds the counts of runs to a sum, route by route.
fn add_runs(sum: &mut Vec<RouteRuns>, runs: &[RouteRuns]) {
    for runs in runs {
        match sum.iter_mut().find(|known| known.route == runs.route) {
            Some(known) => known.add(runs),
            None => sum.push(runs.clone()),
        }
    }
}

/// Returns the counts since `before`; an upstream that was restarted counts from zero again.
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
