//! What the gate's shell hears of its server's machine: how fast it is, and how long runs took on it.

use super::GateShell;
use crate::clock::steady_us;
use crate::gate::message::RunTimes;
use crate::gate::pool::MachineAnswer;
use crate::gate::protocol::HostLoad;

/// How fast the machine is at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineMoment {
    /// The moment, on this process's monotonic clock, in microseconds.
    pub(super) at_us: u64,
    /// The factor by which the machine was slowed then.
    slowdown: f64,
    /// The same in hundredths where it was told a moment before; zero elsewhere.
    told_percent: u16,
}

impl GateShell {
    /// Asks the upstream's machine how fast it is, where that swings and what it told last is too
    /// old for a run of `work_us`. An answer that does not come in time changes nothing.
    pub async fn refresh_speed(&self, work_us: u64) {
        if !self.gate.borrow().wants_news(work_us, steady_us()) {
            return;
        }
        let path = self.health_path.borrow().clone();
        let Some(path) = path else {
            return;
        };
        let _asking = self.asking.lock().await;
        if self.gate.borrow().wants_news(work_us, steady_us()) {
            self.ask_machine(&path).await;
        }
    }

    async fn ask_machine(&self, path: &str) {
        self.metrics.speed_questions.inc();
        self.gate.borrow_mut().asked(steady_us());
        match self.pool.machine_load(path).await {
            MachineAnswer::Load { load, cold_ms } => {
                self.gate.borrow_mut().answered();
                self.told(load);
                if let Some(cold_ms) = cold_ms {
                    self.take_cold(cold_ms);
                }
            }
            MachineAnswer::Untold => self.gate.borrow_mut().told_nothing(),
            MachineAnswer::None => self.gate.borrow_mut().unanswered(),
        }
    }

    /// Asks the machine for its speed where calls wait for a slow episode to end.
    pub(super) async fn follow_episode(&self) {
        if !self.gate.borrow().asks_about_episode(steady_us()) {
            return;
        }
        let path = self.health_path.borrow().clone();
        if let Some(path) = path {
            let _asking = self.asking.lock().await;
            self.ask_machine(&path).await;
        }
    }

    pub(super) fn told(&self, load: HostLoad) {
        let slowdown_percent = load.slowdown_percent.min(u32::from(u16::MAX)) as u16;
        self.gate.borrow_mut().told(slowdown_percent, steady_us());
    }

    /// Returns how long a run took that ends now, and how long it had taken at full speed.
    pub(super) fn times(&self, began: MachineMoment, work_us: u32) -> RunTimes {
        let ended = self.machine_at(steady_us());
        let ran_us = ended.at_us.saturating_sub(began.at_us);
        let unslowed_us = self.gate.borrow().unslowed_us(ran_us, began.slowdown, ended.slowdown);
        RunTimes {
            ran_us,
            unslowed_us,
            work_us: work_us.into(),
            start_percent: began.told_percent,
            end_percent: ended.told_percent,
        }
    }

    /// Reads how fast the machine is at `now_us`.
    pub(super) fn machine_at(&self, now_us: u64) -> MachineMoment {
        let gate = self.gate.borrow();
        MachineMoment { at_us: now_us, slowdown: gate.slowdown(now_us), told_percent: gate.told_percent(now_us) }
    }
}
