//! Finds nodes that have started again while the store is away, where nobody calls them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Shell;
use crate::link::message::{Ask, Question};
use crate::link::peer::{LinkResult, Target};

/// Pause between two questions, in milliseconds: each node of a domain of twenty is then asked about
/// once a second by one of the others.
const ASK_PAUSE_MS: u64 = 1_000;

impl Shell {
    /// Asks nodes of the own failure domain whether they know the bundle, while the store does not answer
    /// and the domain is evacuated; runs as long as the node.
    ///
    /// A node that starts during an outage is told of bundle and peers by whoever calls it. In an
    /// evacuated domain nobody does, and its callers would be refused until the store is back.
    pub(super) async fn wake_neighbours(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(ASK_PAUSE_MS)).await;
            if self.store_answers.get() || !self.evacuation.borrow().covers(&self.parts.me.domain) {
                continue;
            }
            if let Some(neighbour) = self.some_neighbour() {
                self.wake(neighbour).await;
            }
        }
    }

    async fn wake(self: &Rc<Self>, neighbour: Target) {
        let question = Question { ask: Ask::Probe, body: Bytes::new() };
        if let LinkResult::Reply(answered) = self.ask(neighbour.clone(), question).await
            && answered.head.riding.bundle == 0
            && self.adopter.number() > 0
        {
            log::info!("event=member.woken peer={}", neighbour.vm);
            self.clone().tell(neighbour).await;
        }
    }

    /// Returns another node of the own failure domain, drawn at random.
    fn some_neighbour(&self) -> Option<Target> {
        let directory = self.directory.borrow();
        let me = &self.parts.me;
        let neighbours: Vec<_> =
            directory.members().filter(|member| member.domain == me.domain && member.vm != me.vm).collect();
        let chosen = self.rng.borrow_mut().choice(neighbours)?;
        Some(Target { vm: chosen.vm.clone(), addr: chosen.link_addr })
    }
}
