//! Updates of the gate's shell from the upstream's announcements, its cold periods, and evacuations.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::GateShell;
use crate::clock::steady_us;
use crate::gate::departure::DepartureSource;
use crate::gate::message::GateEvent;
use crate::gate::protocol::Health;
use crate::gate::upstream::{UpstreamPhase, UpstreamState};
use crate::member::Members;

/// How long an upstream with limits for its cold period counts as cold after the end of an evacuation, until a health
/// check reports its actual state.
const RETURN_COLD_US: u64 = 1_000_000;
/// Smallest deviation at which a health check changes the end of the cold period: several times the transfer time of an
/// answer within one VM.
const COLD_STEP_MIN_US: u64 = 50_000;

impl GateShell {
    /// Opens and closes the gate according to the upstream's announcements; runs as long as the gate.
    pub async fn follow_upstream(self: Rc<Self>) {
        let mut upstream = self.upstream.clone();
        let mut previous = UpstreamState::unknown();
        // An upstream that sends no announcements may have started earlier than this node.
        self.gate.borrow_mut().rate_limit().restart(false, steady_us());
        loop {
            let state = upstream.borrow_and_update().clone();
            if state.start != previous.start {
                self.pool.clear();
                self.follow_start(&state, previous.start == 0);
                self.runs.borrow_mut().set_start(state.start);
                self.exchanges.borrow_mut().record_up();
            }
            if let Some(slots) = state.slots {
                self.gate.borrow_mut().set_slots(slots);
            }
            if (state.start, state.phase) != (previous.start, previous.phase) {
                self.follow_phase(state.phase);
                self.follow_departures();
            }
            if state.id.is_some() && self.has_left_unannounced.take() {
                self.on_leaving("answer", None);
            }
            if state.cold_until_us != previous.cold_until_us {
                self.gate.borrow_mut().set_cold(state.cold_until_us, steady_us());
            }
            previous = state;
            if self.upstream_changed(&mut upstream).await.is_err() {
                return;
            }
        }
    }

    /// Resets what answers have stated for a new start of the upstream. The first one that the node observes may have been
    /// running before the node, and answers that were requested before count.
    fn follow_start(self: &Rc<Self>, state: &UpstreamState, is_first: bool) {
        let is_new = {
            let mut gate = self.gate.borrow_mut();
            gate.set_cold(state.cold_until_us, steady_us());
            !is_first || gate.is_new_start()
        };
        if !is_new {
            self.confirm_rate_limit();
            return;
        }
        self.start_since_us.set(steady_us());
        self.has_left_unannounced.set(false);
        self.gate.borrow_mut().rate_limit().restart(true, steady_us());
        self.metrics.upstream_rate_limit.set(f64::INFINITY);
        if self.logged_rate_per_s.take().is_some() {
            log::info!("event=upstream.rate_limit to_per_s=none reason=restart");
        }
    }

    fn follow_phase(self: &Rc<Self>, phase: UpstreamPhase) {
        match phase {
            UpstreamPhase::Ready if !self.draining.get() => {
                self.handle(GateEvent::Open);
            }
            UpstreamPhase::Ready | UpstreamPhase::Leaving => {
                self.handle(GateEvent::Drain);
            }
            UpstreamPhase::Unknown => {}
        }
    }

    /// Waits for the next announcement that changes the state, and records when the upstream is warm.
    async fn upstream_changed(
        &self,
        upstream: &mut watch::Receiver<UpstreamState>,
    ) -> Result<(), watch::error::RecvError> {
        loop {
            let cold_until_us = self.gate.borrow().cold_until_us();
            tokio::select! {
                changed = upstream.changed() => return changed,
                () = self.cold_changed.notified() => {}
                () = warm_up(cold_until_us) => {
                    log::info!("event=upstream.warm");
                    self.gate.borrow_mut().warmed_up();
                }
            }
        }
    }

    /// Closes the gate while the upstream's failure domain is evacuated, and remembers the upstreams that leave, according to
    /// the membership.
    pub async fn follow_members(self: Rc<Self>, domain: Arc<str>, mut members: watch::Receiver<Arc<Members>>) {
        let mut evacuated = false;
        loop {
            let covered = {
                let members = members.borrow_and_update();
                self.origins.borrow_mut().set_vms(members.vms_by_service());
                members.departures().for_each(|departure| self.departures.record(departure, DepartureSource::Entry));
                members.evacuation().covers(&domain)
            };
            self.follow_departures();
            if covered != evacuated {
                evacuated = covered;
                self.set_evacuated(evacuated).await;
            }
            if members.changed().await.is_err() {
                return;
            }
        }
    }

    async fn set_evacuated(self: &Rc<Self>, evacuated: bool) {
        log::info!("event=gate.{}", if evacuated { "evacuated" } else { "returned" });
        if evacuated {
            self.handle(GateEvent::Evacuate);
            return;
        }
        // The upstream may just have turned cold, which its health check reports.
        self.handle(GateEvent::Return { cold_until_us: steady_us() + RETURN_COLD_US });
        let path = self.health_path.borrow().clone();
        if let Some(path) = path
            && let Some(Health { cold_ms: Some(cold_ms), .. }) = self.pool.health(&path, self).await
        {
            self.update_cold_until(cold_ms);
        }
    }

    /// Updates the end of the cold period from the answer to a health check.
    pub(super) fn update_cold_until(&self, cold_ms: u64) {
        let until_us = steady_us() + cold_ms * 1000;
        let current_us = self.gate.borrow().cold_until_us();
        if until_us.abs_diff(current_us) > COLD_STEP_MIN_US {
            self.gate.borrow_mut().set_cold(until_us, steady_us());
            self.cold_changed.notify_one();
        }
    }
}

/// Waits until a cold server is warm; never returns if it is warm already.
async fn warm_up(cold_until_us: u64) {
    let left_us = cold_until_us.saturating_sub(steady_us());
    if left_us == 0 {
        return std::future::pending().await;
    }
    sleep(Duration::from_micros(left_us)).await;
}
