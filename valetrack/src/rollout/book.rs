//! Pure state: the roll-outs that the store shows, and what each upstream may get by them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{DOC_PREFIX, RolloutDoc, RolloutOrder, ServerPart, Stage};
use super::share::trial_size;
use crate::member::Member;
use crate::store::{Item, Position};

/// One order, and how far it has come.
#[derive(Debug, Clone)]
struct Known {
    order: RolloutOrder,
    position: Position,
    /// When this node first saw it, in microseconds.
    since_us: u64,
    /// When this node first saw its stage, in microseconds.
    stage_since_us: u64,
}

/// How far an order has come, as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStage {
    /// The order.
    pub order: RolloutOrder,
    /// Position of the order.
    pub ordered_at: Position,
    /// Position of the document, if there is one, of whatever order.
    pub doc_at: Option<Position>,
    /// Its stage; none where it was only ordered.
    pub stage: Option<Stage>,
    /// When this node first saw the order, in microseconds.
    pub since_us: u64,
    /// When this node first saw the stage, in microseconds.
    pub stage_since_us: u64,
}

/// Roll-outs by service.
#[derive(Debug, Clone, Default)]
pub struct RolloutBook {
    orders: BTreeMap<Arc<str>, Known>,
    docs: BTreeMap<Arc<str>, (RolloutDoc, Position)>,
}

impl RolloutBook {
    /// Takes an order that stands at a position; returns whether it is another one than was known.
    pub fn ordered(&mut self, order: RolloutOrder, position: Position, now_us: u64) -> bool {
        if self.orders.get(&order.service).is_some_and(|known| known.position == position) {
            return false;
        }
        let service = order.service.clone();
        self.orders.insert(service, Known { order, position, since_us: now_us, stage_since_us: now_us });
        true
    }

    /// Takes that the order of a service is no more; returns whether there was one.
    pub fn withdrawn(&mut self, service: &str) -> bool {
        self.orders.remove(service).is_some()
    }

    /// Takes what the store holds of a roll-out, if the item holds that; returns whether it says something new.
    ///
    /// # Errors
    ///
    /// Returns why the item cannot be read; what was known holds on.
    pub fn stored(&mut self, item: &Item, now_us: u64) -> Result<bool, String> {
        let Some(service) = item.key.strip_prefix(DOC_PREFIX) else {
            return Ok(false);
        };
        let doc: RolloutDoc = serde_json::from_slice(&item.value).map_err(|error| error.to_string())?;
        let known = self.docs.get(service).map(|(doc, _)| doc);
        let changed = known != Some(&doc);
        if let (true, Some(known)) = (changed, self.orders.get_mut(service)) {
            known.stage_since_us = now_us;
        }
        self.docs.insert(Arc::from(service), (doc, item.position));
        Ok(changed)
    }

    /// Forgets services of which the store, read whole, shows no order; returns whether there were any.
    pub fn keep_ordered(&mut self, services: &[Arc<str>]) -> bool {
        let before = self.orders.len();
        self.orders.retain(|service, _| services.contains(service));
        self.orders.len() != before
    }

    /// Returns the roll-out of a service.
    pub fn of(&self, service: &str) -> Option<RolloutStage> {
        let known = self.orders.get(service)?;
        let doc = self.docs.get(service);
        let stage = doc.map(|(doc, _)| doc).filter(|doc| is_of(doc, known)).map(|doc| doc.stage);
        Some(RolloutStage {
            order: known.order.clone(),
            ordered_at: known.position,
            doc_at: doc.map(|(_, position)| *position),
            stage,
            since_us: known.since_us,
            stage_since_us: known.stage_since_us,
        })
    }

    /// Returns what upstreams may get by all of them.
    pub fn view(&self) -> RolloutView {
        let stages = self.orders.keys().filter_map(|service| {
            let rollout = self.of(service)?;
            Some((service.clone(), (rollout.order.version, rollout.stage)))
        });
        RolloutView { services: stages.collect() }
    }
}

fn is_of(doc: &RolloutDoc, known: &Known) -> bool {
    doc.order == known.position.wire_revision() && doc.version == known.order.version
}

/// What upstreams may get by the roll-outs in progress.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutView {
    services: BTreeMap<Arc<str>, (Arc<str>, Option<Stage>)>,
}

impl RolloutView {
    /// Returns the part of each of a service's nodes that take work, in their order; none where all get calls as usual.
    pub fn parts(&self, service: &str, members: &[&Member]) -> Option<Vec<ServerPart>> {
        let (version, stage) = self.services.get(service)?;
        let is_new = |member: &Member| member.version.as_ref() == Some(version);
        let is_unknown = |member: &Member| member.version.is_none();
        let old = members.iter().filter(|member| !is_new(member) && !is_unknown(member)).count();
        if old == 0 && *stage != Some(Stage::RolledBack) && members.iter().all(|member| is_new(member)) {
            // There is nothing else that could take the calls.
            return None;
        }
        let mut on_trial: Vec<&Arc<str>> = Vec::new();
        if *stage == Some(Stage::Trial) {
            on_trial = members.iter().filter(|member| is_new(member)).map(|member| &member.vm).collect();
            on_trial.sort();
            on_trial.truncate(trial_size(old));
        }
        let part = |member: &&Member| match stage {
            Some(Stage::Completed) => ServerPart::Usual,
            // Its version is told with its next announcement.
            _ if old > 0 && is_unknown(member) => ServerPart::Barred,
            Some(Stage::Moving) if is_new(member) => ServerPart::Usual,
            Some(Stage::Moving) => ServerPart::Barred,
            Some(Stage::Trial) if on_trial.contains(&&member.vm) => ServerPart::Trial,
            Some(Stage::Trial | Stage::RolledBack) | None if is_new(member) => ServerPart::Barred,
            Some(Stage::Trial | Stage::RolledBack) | None => ServerPart::Usual,
        };
        Some(members.iter().map(part).collect())
    }
}
