//! Account of repeats at an entry: calls made by repeated runs of its own upstream, and the repeats left in each
//! service's budget.

use std::sync::Arc;

use super::{Inner, Placer};
use crate::clock::{now_us, steady_us};
use crate::gate::{PERMILLE, RunLedger, StartedRun};
use crate::link::message::CallHead;
use crate::timeline::Quoted;

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
            Some(true) => inner.nested_routes.insert(route.clone()),
            Some(false) => inner.nested_routes.remove(route),
            None => false,
        };
    }

    /// Returns whether owners have reported that upstreams call a route during their runs.
    pub(crate) fn is_nested(&self, route: &str) -> bool {
        self.inner.borrow().nested_routes.contains(route)
    }

    /// Gives a call that a run of the entry's own upstream made the priority of the call at its root, and at most the
    /// time that is left of it. A call without known runs keeps its own: its run began before a restart of this node,
    /// which has lost the run's answer.
    pub(crate) fn inherit_root(&self, head: &mut CallHead, limit_ms: Option<u32>) {
        // Upstreams have no key, so a call with one is not theirs.
        if head.account.is_some() {
            return;
        }
        let root = self.inner.borrow().runs.root(limit_ms, steady_us());
        self.metrics.nested_roots.with_label_values(&[root.map_or("unknown", |root| root.basis.as_str())]).inc();
        let Some(root) = root else {
            log::info!("event=call.root_unknown call={} route={}", head.call_id, Quoted(&head.route));
            return;
        };
        head.priority = root.priority;
        head.deadline_ms = head.deadline_ms.min(root.left_us.div_ceil(1000) as u32);
        log::debug!(
            "event=call.root call={} priority={} left_ms={} basis={}",
            head.call_id,
            head.priority,
            root.left_us / 1000,
            root.basis.as_str()
        );
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

    fn run_began(&self, run: &StartedRun) {
        let mut inner = self.inner.borrow_mut();
        inner.nested_calls.run_began(run.repeat_permille, now_us());
        inner.runs.began(run.clone());
    }

    fn run_ended(&self, run: &StartedRun) {
        let mut inner = self.inner.borrow_mut();
        inner.nested_calls.run_ended(run.repeat_permille);
        inner.runs.ended(run.attempt);
    }
}
