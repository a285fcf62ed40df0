//! Account of repeats at an entry: calls made by repeated runs of its own upstream, and the repeats left in each
//! service's budget.

use std::sync::Arc;

use super::{Inner, Placer};
use crate::clock::{now_us, steady_us};
use crate::code::Code;
use crate::gate::{PERMILLE, RunLedger, StartedRun};
use crate::link::message::CallHead;
use crate::placement::{Placed, Root, RootVerdict, Verdict};
use crate::timeline::Quoted;

/// A call whose outcome is recorded.
pub(crate) struct OutcomeWatch {
    service: Arc<str>,
    /// Priority of the call at the root.
    priority: u8,
    is_nested: bool,
    /// End of the objective of the call at the root, on the steady clock; `None` for callers' calls.
    in_time_until_us: Option<u64>,
}

/// Returns whether a call ended with this code because its service had no room in time.
const fn is_lack_of_room(code: Code) -> bool {
    matches!(code, Code::Overloaded | Code::NoServer | Code::DeadlinePassed)
}

impl Placer {
    /// Sets the chance that a repeated run of the entry's own upstream made a call, unless the call carries a higher
    /// one, and counts it.
    pub(super) fn mark_repeat_chance(&self, head: &mut CallHead) {
        let inner = &mut *self.inner.borrow_mut();
        if inner.nested_routes.contains(&head.route) {
            let chance_permille = inner.nested_calls.record_call(&head.service, now_us());
            head.repeat_permille = head.repeat_permille.max(chance_permille);
        }
        if head.repeat_permille > 0 {
            let repeats = f64::from(head.repeat_permille) / PERMILLE;
            self.metrics.nested_repeats.with_label_values(&[&*head.service]).inc_by(repeats);
        }
    }

    /// Records whether upstreams call a route during their runs, as reported by an owner of its service.
    pub(in crate::placement) fn record_nested_route(&self, route: &Arc<str>, nested: Option<bool>) {
        let mut inner = self.inner.borrow_mut();
        match nested {
            Some(true) => inner.nested_routes.insert(route),
            Some(false) => inner.nested_routes.remove(route),
            None => {}
        }
    }

    /// Returns whether owners have reported that upstreams call a route during their runs.
    pub(crate) fn is_nested(&self, route: &str) -> bool {
        self.inner.borrow().nested_routes.contains(route)
    }

    /// Returns what to record about the outcome of a call, for the admission of calls beside this entry. A call that a
    /// run of its own upstream made is given the priority and at most the remaining time of the call at its root.
    pub(crate) fn watch_outcome(&self, head: &mut CallHead, limit_ms: Option<u32>) -> OutcomeWatch {
        let now_us = steady_us();
        // Upstreams have no key, so a call with one is not theirs.
        let is_nested = head.made_by_run && head.account.is_none();
        let root = if is_nested { self.inherit_root(head, limit_ms, now_us) } else { None };
        let in_time_until_us = root.map(|root| now_us + root.objective_left_us);
        OutcomeWatch { service: head.service.clone(), priority: head.priority, is_nested, in_time_until_us }
    }

    /// Gives a nested call the priority of the call at its root, and at most the time that is left of it. A call without
    /// known runs keeps its own: its run began before a restart of this node, which has lost the run's answer.
    fn inherit_root(&self, head: &mut CallHead, limit_ms: Option<u32>, now_us: u64) -> Option<Root> {
        let inner = &mut *self.inner.borrow_mut();
        let root = inner.runs.root(limit_ms, now_us);
        self.metrics.nested_roots.with_label_values(&[root.map_or("unknown", |root| root.basis.as_str())]).inc();
        let Some(root) = root else {
            log::info!("event=call.root_unknown call={} route={}", head.call_id, Quoted(&head.route));
            return None;
        };
        let admission = &mut inner.admission;
        let weight = |route: &str| admission.attribution_weight(route, &head.service, now_us);
        inner.runs.record_call(&head.service, limit_ms, now_us, weight);
        head.priority = root.priority;
        head.deadline_ms = head.deadline_ms.min(root.left_us.div_ceil(1000) as u32);
        log::debug!(
            "event=call.root call={} priority={} left_ms={} basis={}",
            head.call_id,
            head.priority,
            root.left_us / 1000,
            root.basis.as_str()
        );
        Some(root)
    }

    /// Records the outcome of a call.
    pub(crate) fn record_outcome(&self, watch: &OutcomeWatch, placed: &Placed) {
        let now_us = steady_us();
        let is_served = match placed {
            Placed::Answer(..) => watch.in_time_until_us.is_none_or(|until_us| now_us <= until_us),
            Placed::Verdict(Verdict::NotRun { code, .. } | Verdict::Unknown { code }) if is_lack_of_room(*code) => {
                false
            }
            // The call says nothing about the room of the service.
            Placed::Verdict(_) => return,
        };
        let admission = &mut self.inner.borrow_mut().admission;
        admission.record_outcome(&watch.service, watch.is_nested, watch.priority, is_served, now_us);
    }

    /// Returns whether the upstream beside this entry has runs in progress.
    pub(crate) fn is_upstream_running(&self) -> bool {
        self.inner.borrow().nested_calls.is_running()
    }

    /// Returns how many repeats of a service's calls this entry may still send.
    pub(in crate::placement) fn repeats_left(&self, service: &str) -> Option<f64> {
        let left = self.inner.borrow_mut().services.get_mut(service)?.budgets.retry.left(now_us());
        self.metrics.repeats_left.with_label_values(&[service]).set(left);
        Some(left)
    }
}

impl RunLedger for Placer {
    fn admits_repeat(&self) -> bool {
        let now_us = now_us();
        let Inner { services, nested_calls, .. } = &mut *self.inner.borrow_mut();
        let left = |service: &str| {
            let state = services.get_mut(service);
            // The run cannot call a service that is no longer known.
            state.map_or(f64::INFINITY, |state| state.budgets.retry.left(now_us))
        };
        nested_calls.admits_repeat(left, now_us)
    }

    fn admits_call(&self, head: &CallHead, has_room: bool) -> bool {
        let steady_us = steady_us();
        let Inner { services, admission, .. } = &mut *self.inner.borrow_mut();
        // A service that is not known has no full owners.
        let room_share = |service: &str| services.get(service).map_or(1.0, |state| state.view.room_share(now_us()));
        let RootVerdict { is_admitted, chance, lost, share } =
            admission.admits(&head.route, head.priority, has_room, &room_share, steady_us);
        if !is_admitted {
            self.metrics.root_declined.inc();
            log::info!(
                "event=gate.root_declined call={} route={} chance={chance:.2} lost={lost:.2} share={share:.2}",
                head.call_id,
                Quoted(&head.route)
            );
        }
        is_admitted
    }

    fn run_began(&self, run: &StartedRun) {
        let mut inner = self.inner.borrow_mut();
        inner.nested_calls.run_began(run.repeat_permille, now_us());
        inner.runs.began(run.clone());
    }

    fn run_ended(&self, run: &StartedRun) {
        let mut inner = self.inner.borrow_mut();
        inner.nested_calls.run_ended(run.repeat_permille);
        if let Some(ended) = inner.runs.ended(run.attempt) {
            inner.admission.run_ended(&ended, steady_us());
        }
    }
}
