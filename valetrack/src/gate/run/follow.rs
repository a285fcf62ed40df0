//! What the gate's shell follows: the upstream's announcements, its cold times, and evacuations.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::GateShell;
use crate::clock::steady_us;
use crate::gate::message::GateEvent;
use crate::gate::protocol::Health;
use crate::gate::upstream::{UpstreamPhase, UpstreamState};
use crate::member::Members;

/// After the end of an evacuation an upstream that bears little while it is cold is taken for cold for
/// this long, in microseconds: until its answer to a health check tells whether it is.
const RETURN_RAMP_US: u64 = 1_000_000;
/// A health check changes the end of a cold time that is off by more than this, in microseconds: some
/// times what an answer takes within one VM.
const COLD_STEP_US: u64 = 50_000;

impl GateShell {
    /// Opens and closes the gate as the upstream's announcements say; runs as long as the gate.
    pub async fn follow_upstream(self: Rc<Self>) {
        let mut upstream = self.upstream.clone();
        let mut known = UpstreamState::unknown();
        loop {
            let state = upstream.borrow_and_update().clone();
            if state.start != known.start {
                self.pool.clear();
                self.runs.borrow_mut().set_start(state.start);
                self.exchanges.borrow_mut().alive();
            }
            if let Some(slots) = state.slots {
                self.gate.borrow_mut().set_slots(slots);
            }
            if (state.start, state.phase) != (known.start, known.phase) {
                self.follow_phase(state.phase);
            }
            if state.cold_until_us != known.cold_until_us {
                self.gate.borrow_mut().set_cold(state.cold_until_us, steady_us());
            }
            known = state;
            if self.upstream_changed(&mut upstream).await.is_err() {
                return;
            }
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

    /// Waits for the next announcement that changes something, and notes when the upstream is warm.
    async fn upstream_changed(
        &self,
        upstream: &mut watch::Receiver<UpstreamState>,
    ) -> Result<(), watch::error::RecvError> {
        loop {
            let cold_until_us = self.gate.borrow().cold_until_us();
            tokio::select! {
                changed = upstream.changed() => return changed,
                () = self.cold_told.notified() => {}
                () = warm_up(cold_until_us) => {
                    log::info!("event=upstream.warm");
                    self.gate.borrow_mut().warmed_up();
                }
            }
        }
    }

    /// Follows what the members tell: the gate is closed while the upstream's failure domain is evacuated.
    pub async fn follow_members(self: Rc<Self>, domain: Arc<str>, mut members: watch::Receiver<Arc<Members>>) {
        let mut evacuated = false;
        loop {
            let covered = {
                let members = members.borrow_and_update();
                self.origins.borrow_mut().set_vms(members.vms_by_service());
                members.evacuation().covers(&domain)
            };
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
        // It may have turned cold a moment ago, and says so at its health check.
        self.handle(GateEvent::Return { cold_until_us: steady_us() + RETURN_RAMP_US });
        let path = self.health_path.borrow().clone();
        if let Some(path) = path
            && let Some(Health { cold_ms: Some(cold_ms), .. }) = self.pool.health(&path).await
        {
            self.take_cold(cold_ms);
        }
    }

    /// Takes how much longer the upstream is cold by its answer to a health check.
    pub(super) fn take_cold(&self, cold_ms: u64) {
        let until_us = steady_us() + cold_ms * 1000;
        let known_us = self.gate.borrow().cold_until_us();
        if until_us.abs_diff(known_us) > COLD_STEP_US {
            self.gate.borrow_mut().set_cold(until_us, steady_us());
            self.cold_told.notify_one();
        }
    }
}

/// Waits until a cold server is warm; for ever where it is warm already.
async fn warm_up(cold_until_us: u64) {
    let left_us = cold_until_us.saturating_sub(steady_us());
    if left_us == 0 {
        return std::future::pending().await;
    }
    sleep(Duration::from_micros(left_us)).await;
}
