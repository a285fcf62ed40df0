//! Requests for the speed of the server's machine, and the durations of runs on it.

use std::rc::Rc;

use super::GateShell;
use crate::clock::steady_us;
use crate::gate::message::RunTimes;
use crate::gate::pool::MachineAnswer;
use crate::gate::protocol::HostLoad;

/// Speed of the machine at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineMoment {
    /// The moment on this process's monotonic clock.
    pub(super) at_us: u64,
    /// Slowdown of the machine at that moment.
    slowdown: f64,
    /// The slowdown in hundredths if it was reported shortly before, otherwise zero.
    reported_percent: u16,
}

impl GateShell {
    /// Requests the machine's speed if the speed varies and its last report is too old for a run of `work_us`. A
    /// missing answer changes nothing.
    pub async fn refresh_speed(self: &Rc<Self>, work_us: u64) {
        if !self.gate.borrow().needs_speed_update(work_us, steady_us()) {
            return;
        }
        let path = self.health_path.borrow().clone();
        let Some(path) = path else {
            return;
        };
        let _guard = self.speed_request.lock().await;
        if self.gate.borrow().needs_speed_update(work_us, steady_us()) {
            self.request_speed(&path).await;
        }
    }

    async fn request_speed(self: &Rc<Self>, path: &str) {
        self.metrics.speed_requests.inc();
        self.gate.borrow_mut().on_speed_requested(steady_us());
        match self.pool.machine_load(path, self).await {
            MachineAnswer::Load { load, cold_ms } => {
                self.gate.borrow_mut().on_health_check_answered();
                self.record_load(load);
                if let Some(cold_ms) = cold_ms {
                    self.update_cold_until(cold_ms);
                }
            }
            MachineAnswer::NoLoad => self.gate.borrow_mut().on_no_load_reported(),
            MachineAnswer::None => self.gate.borrow_mut().on_speed_request_unanswered(),
        }
    }

    /// Requests the machine's speed if calls wait for the end of a slow episode.
    pub(super) async fn refresh_deferred_speed(self: &Rc<Self>) {
        if !self.gate.borrow().needs_episode_update(steady_us()) {
            return;
        }
        let path = self.health_path.borrow().clone();
        if let Some(path) = path {
            let _guard = self.speed_request.lock().await;
            self.request_speed(&path).await;
        }
    }

    pub(super) fn record_load(&self, load: HostLoad) {
        let slowdown_percent = load.slowdown_percent.min(u32::from(u16::MAX)) as u16;
        self.gate.borrow_mut().on_slowdown_reported(slowdown_percent, steady_us());
    }

    /// Returns the duration of a run that ends now, and its estimated duration at full speed.
    pub(super) fn times(&self, start: MachineMoment, work_us: u32) -> RunTimes {
        let end = self.machine_at(steady_us());
        let ran_us = end.at_us.saturating_sub(start.at_us);
        let unslowed_us = self.gate.borrow().unslowed_us(ran_us, start.slowdown, end.slowdown);
        RunTimes {
            ran_us,
            unslowed_us,
            work_us: work_us.into(),
            start_percent: start.reported_percent,
            end_percent: end.reported_percent,
        }
    }

    /// Returns the machine's speed at `now_us`.
    pub(super) fn machine_at(&self, now_us: u64) -> MachineMoment {
        let gate = self.gate.borrow();
        MachineMoment { at_us: now_us, slowdown: gate.slowdown(now_us), reported_percent: gate.told_percent(now_us) }
    }
}
