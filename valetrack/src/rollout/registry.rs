//! State of the roll-outs in the store, and the traffic share of each upstream that follows from it, without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{DOC_PREFIX, RolloutDoc, RolloutOrder, Stage, TrafficShare};
use super::share::trial_size;
use crate::member::Member;
use crate::store::{Item, Position};

/// An order and the times at which this node first saw it and its stage.
#[derive(Debug, Clone)]
struct OrderRecord {
    order: RolloutOrder,
    position: Position,
    /// Time at which this node first saw the order, in microseconds.
    since_us: u64,
    /// Time at which this node first saw the stage, in microseconds.
    stage_since_us: u64,
}

/// Progress of an order, as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStage {
    /// The order.
    pub order: RolloutOrder,
    /// Position of the order.
    pub ordered_at: Position,
    /// Position of the document, if there is one, even if it belongs to another order.
    pub doc_at: Option<Position>,
    /// Stage of the roll-out; none if it was ordered and has not started.
    pub stage: Option<Stage>,
    /// Time at which this node first saw the order, in microseconds.
    pub since_us: u64,
    /// Time at which this node first saw the stage, in microseconds.
    pub stage_since_us: u64,
}

/// Roll-outs by service.
#[derive(Debug, Clone, Default)]
pub struct RolloutRegistry {
    orders: BTreeMap<Arc<str>, OrderRecord>,
    docs: BTreeMap<Arc<str>, (RolloutDoc, Position)>,
}

impl RolloutRegistry {
    /// Records an order that is stored at a position; returns whether it differs from the recorded one.
    pub fn ordered(&mut self, order: RolloutOrder, position: Position, now_us: u64) -> bool {
        if self.orders.get(&order.service).is_some_and(|recorded| recorded.position == position) {
            return false;
        }
        let service = order.service.clone();
        self.orders.insert(service, OrderRecord { order, position, since_us: now_us, stage_since_us: now_us });
        true
    }

    /// Removes the order of a service; returns whether there was one.
    pub fn remove_order(&mut self, service: &str) -> bool {
        self.orders.remove(service).is_some()
    }

    /// Applies an item of the store if it is the document of a roll-out; returns whether the document has changed.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the item cannot be parsed; the recorded document stays.
    pub fn apply_item(&mut self, item: &Item, now_us: u64) -> Result<bool, String> {
        let Some(service) = item.key.strip_prefix(DOC_PREFIX) else {
            return Ok(false);
        };
        let doc: RolloutDoc = serde_json::from_slice(&item.value).map_err(|error| error.to_string())?;
        let recorded = self.docs.get(service).map(|(doc, _)| doc);
        let changed = recorded != Some(&doc);
        if let (true, Some(recorded)) = (changed, self.orders.get_mut(service)) {
            recorded.stage_since_us = now_us;
        }
        self.docs.insert(Arc::from(service), (doc, item.position));
        Ok(changed)
    }

    /// Removes the orders of all services that are not in `services`, from a complete read of the store; returns
    /// whether there were any.
    pub fn retain_ordered(&mut self, services: &[Arc<str>]) -> bool {
        let before = self.orders.len();
        self.orders.retain(|service, _| services.contains(service));
        self.orders.len() != before
    }

    /// Returns the roll-out of a service.
    pub fn of(&self, service: &str) -> Option<RolloutStage> {
        let recorded = self.orders.get(service)?;
        let doc = self.docs.get(service);
        let stage = doc.map(|(doc, _)| doc).filter(|doc| belongs_to(doc, recorded)).map(|doc| doc.stage);
        Some(RolloutStage {
            order: recorded.order.clone(),
            ordered_at: recorded.position,
            doc_at: doc.map(|(_, position)| *position),
            stage,
            since_us: recorded.since_us,
            stage_since_us: recorded.stage_since_us,
        })
    }

    /// Returns a view of all roll-outs, from which the traffic shares of upstreams follow.
    pub fn view(&self) -> RolloutView {
        let stages = self.orders.keys().filter_map(|service| {
            let rollout = self.of(service)?;
            Some((service.clone(), (rollout.order.version, rollout.stage)))
        });
        RolloutView { services: stages.collect() }
    }
}

fn belongs_to(doc: &RolloutDoc, recorded: &OrderRecord) -> bool {
    doc.order == recorded.position.wire_revision() && doc.version == recorded.order.version
}

/// View of the roll-outs in progress, from which the traffic shares of upstreams follow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutView {
    services: BTreeMap<Arc<str>, (Arc<str>, Option<Stage>)>,
}

impl RolloutView {
    /// Returns the traffic share of each of a service's nodes that accept work, in their order; none if all get calls
    /// as usual.
    pub fn traffic_shares(&self, service: &str, members: &[&Member]) -> Option<Vec<TrafficShare>> {
        let (version, stage) = self.services.get(service)?;
        let is_new = |member: &Member| member.version.as_ref() == Some(version);
        let is_unknown = |member: &Member| member.version.is_none();
        let old = members.iter().filter(|member| !is_new(member) && !is_unknown(member)).count();
        if old == 0 && *stage != Some(Stage::RolledBack) && members.iter().all(|member| is_new(member)) {
            // No upstream of another version is left to serve the calls.
            return None;
        }
        let mut on_trial: Vec<&Arc<str>> = Vec::new();
        if *stage == Some(Stage::Trial) {
            on_trial = members.iter().filter(|member| is_new(member)).map(|member| &member.vm).collect();
            on_trial.sort();
            on_trial.truncate(trial_size(old));
        }
        let share = |member: &&Member| match stage {
            Some(Stage::Completed) => TrafficShare::Usual,
            // The next announcement of the upstream contains its version.
            _ if old > 0 && is_unknown(member) => TrafficShare::Barred,
            Some(Stage::Moving) if is_new(member) => TrafficShare::Usual,
            Some(Stage::Moving) => TrafficShare::Barred,
            Some(Stage::Trial) if on_trial.contains(&&member.vm) => TrafficShare::Trial,
            Some(Stage::Trial | Stage::RolledBack) | None if is_new(member) => TrafficShare::Barred,
            Some(Stage::Trial | Stage::RolledBack) | None => TrafficShare::Usual,
        };
        Some(members.iter().map(share).collect())
    }
}
