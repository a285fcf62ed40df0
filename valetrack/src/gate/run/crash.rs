//! What the gate's shell does when its upstream may have crashed.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{Ended, GateShell};
use crate::clock::steady_us;
use crate::crash::{ExchangeEnd, RunningCall};
use crate::gate::pool::ServerError;
use crate::gate::upstream::UpstreamPhase;

/// Time after the first broken connection for the others to break, in milliseconds: a process that ends
/// closes them all at once, and this node reads that a moment later.
const SETTLE_MS: u64 = 5;
/// How often that time is waited for while the upstream is down and some have not broken: a VM that has used up
/// its share of a core stands still for some tens of milliseconds.
const SETTLES_MAX: u32 = 20;

/// An exchange in progress; unless its end is told, it was left when this is dropped.
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
    /// Notes the start of an exchange.
    pub(super) fn begin_exchange(self: &Rc<Self>, call: Rc<RunningCall>) -> Exchange {
        let number = self.exchanges.borrow_mut().began(call);
        Exchange { shell: self.clone(), number, ended: false }
    }

    /// Notes how an exchange ended, and waits, where its connection broke, until it is known whether the
    /// upstream has crashed; returns whether it has.
    pub(super) async fn end_exchange(
        self: &Rc<Self>,
        mut exchange: Exchange,
        call: &RunningCall,
        ended: &Ended,
    ) -> bool {
        exchange.ended = true;
        let end = end_of(ended);
        if matches!(ended, Ok(Ok(_))) {
            self.crashes.answered(&call.head, &call.body);
        }
        let sign = self.exchanges.borrow_mut().ended(exchange.number, end, steady_us());
        if sign && !self.trying.replace(true) {
            tokio::task::spawn_local(self.clone().try_upstream());
        }
        if end != ExchangeEnd::Broken || !self.trying.get() {
            return false;
        }
        let (tell, crashed) = oneshot::channel();
        self.broken.borrow_mut().push(tell);
        crashed.await.unwrap_or(false)
    }

    /// Finds out whether the upstream has crashed, and reports it.
    async fn try_upstream(self: Rc<Self>) {
        let suspects = self.suspects().await;
        // One that leaves ends as it was told to.
        let planned = self.draining.get() || self.upstream.borrow().phase != UpstreamPhase::Ready;
        let crashed = !suspects.is_empty() && !planned;
        if crashed {
            log::warn!("event=upstream.crashed running={}", suspects.len());
            self.crashes.report(&suspects).await;
        }
        self.trying.set(false);
        for waiting in self.broken.take() {
            // Whoever asked may have gone away meanwhile.
            let _ = waiting.send(crashed);
        }
    }
}

impl GateShell {
    /// Returns the calls that may have crashed the upstream; none where it stands.
    async fn suspects(&self) -> Vec<Rc<RunningCall>> {
        let health_path = self.health_path.borrow().clone();
        for _ in 0..SETTLES_MAX {
            sleep(Duration::from_millis(SETTLE_MS)).await;
            let Some(down) = self.pool.down(health_path.as_deref()).await else {
                self.exchanges.borrow_mut().stands();
                return Vec::new();
            };
            let mut exchanges = self.exchanges.borrow_mut();
            if !exchanges.goes_on() {
                return exchanges.crashed(down, steady_us());
            }
        }
        Vec::new()
    }
}

const fn end_of(ended: &Ended) -> ExchangeEnd {
    match ended {
        Ok(Err(ServerError::Broken)) => ExchangeEnd::Broken,
        Ok(Err(ServerError::NotStarted)) => ExchangeEnd::Refused,
        Ok(Ok(_) | Err(ServerError::TooLarge | ServerError::Misdirected | ServerError::Rejected(_))) => {
            ExchangeEnd::Answered
        }
        Err(_) => ExchangeEnd::Left,
    }
}
