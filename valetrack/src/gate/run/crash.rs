//! Detection and reporting of upstream crashes in the gate's shell.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{ExchangeResult, GateShell};
use crate::clock::steady_us;
use crate::crash::{ExchangeEnd, RunningCall};
use crate::gate::pool::ServerError;
use crate::gate::upstream::UpstreamPhase;

/// Wait after the first broken connection for the others to break. A process that ends closes all of them at once, and
/// this node reads that a moment later.
const SETTLE_MS: u64 = 5;
/// Number of such waits while the upstream is down and some connections have not broken. A VM that has used up its
/// share of a core is paused for some tens of milliseconds.
const SETTLES_MAX: u32 = 20;

/// An exchange in progress, which counts as abandoned if this value is dropped before its end is recorded.
pub(super) struct Exchange {
    shell: Rc<GateShell>,
    number: u64,
    ended: bool,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            self.shell.exchanges.borrow_mut().ended(self.number, ExchangeEnd::Left, steady_us());
        }
    }
}

impl GateShell {
    /// Records the start of an exchange.
    pub(super) fn begin_exchange(self: &Rc<Self>, call: Rc<RunningCall>) -> Exchange {
        let number = self.exchanges.borrow_mut().began(call);
        Exchange { shell: self.clone(), number, ended: false }
    }

    /// Records the end of an exchange. If its connection broke, waits for the result of the crash check and returns
    /// whether the upstream has crashed.
    pub(super) async fn end_exchange(
        self: &Rc<Self>,
        mut exchange: Exchange,
        call: &RunningCall,
        result: &ExchangeResult,
    ) -> bool {
        exchange.ended = true;
        let end = end_of(result);
        if matches!(result, Ok(Ok(_))) {
            self.crashes.answered(&call.head, &call.body);
        }
        let may_have_crashed = self.exchanges.borrow_mut().ended(exchange.number, end, steady_us());
        if may_have_crashed && !self.is_checking_crash.replace(true) {
            tokio::task::spawn_local(self.clone().check_for_crash());
        }
        if end != ExchangeEnd::Broken || !self.is_checking_crash.get() {
            return false;
        }
        let (sender, crashed) = oneshot::channel();
        self.crash_waiters.borrow_mut().push(sender);
        crashed.await.unwrap_or(false)
    }

    /// Determines whether the upstream has crashed, and reports the crash.
    async fn check_for_crash(self: Rc<Self>) {
        let suspects = self.suspects().await;
        // The end of a leaving upstream is planned.
        let planned = self.draining.get() || self.upstream.borrow().phase != UpstreamPhase::Ready;
        let crashed = !suspects.is_empty() && !planned;
        if crashed {
            log::warn!("event=upstream.crashed running={}", suspects.len());
            self.crashes.report(&suspects).await;
        }
        self.is_checking_crash.set(false);
        for waiting in self.crash_waiters.take() {
            // The receiver may have been dropped meanwhile.
            let _ = waiting.send(crashed);
        }
    }
}

impl GateShell {
    /// Returns the calls that may have crashed the upstream; none if it is still running.
    async fn suspects(&self) -> Vec<Rc<RunningCall>> {
        let health_path = self.health_path.borrow().clone();
        for _ in 0..SETTLES_MAX {
            sleep(Duration::from_millis(SETTLE_MS)).await;
            let Some(down) = self.pool.check_down(health_path.as_deref()).await else {
                self.exchanges.borrow_mut().record_reachable();
                return Vec::new();
            };
            let mut exchanges = self.exchanges.borrow_mut();
            if !exchanges.has_earlier_exchanges() {
                return exchanges.crashed(down, steady_us());
            }
        }
        Vec::new()
    }
}

const fn end_of(result: &ExchangeResult) -> ExchangeEnd {
    match result {
        Ok(Err(ServerError::Broken)) => ExchangeEnd::Broken,
        Ok(Err(ServerError::NotStarted)) => ExchangeEnd::Refused,
        Ok(
            Ok(_)
            | Err(ServerError::TooLarge | ServerError::NoMemory | ServerError::Misdirected | ServerError::Rejected(_)),
        ) => ExchangeEnd::Answered,
        Err(_) => ExchangeEnd::Left,
    }
}
