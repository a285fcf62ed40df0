//! Finds nodes that were restarted while the store is unreachable and that get no calls from other nodes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Shell;
use crate::link::message::{Ask, PeerRequest};
use crate::link::peer::{LinkResult, Target};

/// Pause between two probes: each node of a domain of twenty is then probed about once a second by one of the others.
const PROBE_PAUSE_MS: u64 = 1_000;

impl Shell {
    /// Probes nodes of the same failure domain and sends the bundle to those that lack it, while the store is
    /// unreachable and the domain is evacuated; runs as long as the node.
    ///
    /// A node that starts during an outage receives the bundle and its peers from nodes that send it calls. In an
    /// evacuated domain no node sends it calls, and it would reject its callers until the store is reachable again.
    pub(super) async fn probe_domain_peers(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(PROBE_PAUSE_MS)).await;
            if self.store_reachable.get() || !self.evacuation.borrow().covers(&self.parts.me.domain) {
                continue;
            }
            if let Some(peer) = self.random_domain_peer() {
                self.probe_peer(peer).await;
            }
        }
    }

    async fn probe_peer(self: &Rc<Self>, peer: Target) {
        let request = PeerRequest { ask: Ask::Probe, body: Bytes::new() };
        if let LinkResult::Reply(answered) = self.request(peer.clone(), request).await
            && answered.head.riding.bundle == 0
            && self.adopter.number() > 0
        {
            log::info!("event=member.state_sent peer={}", peer.vm);
            self.clone().send_state(peer).await;
        }
    }

    /// Returns another node of the same failure domain, drawn at random.
    fn random_domain_peer(&self) -> Option<Target> {
        let directory = self.directory.borrow();
        let me = &self.parts.me;
        let peers: Vec<_> =
            directory.members().filter(|member| member.domain == me.domain && member.vm != me.vm).collect();
        let chosen = self.rng.borrow_mut().choice(peers)?;
        Some(Target { vm: chosen.vm.clone(), addr: chosen.link_addr })
    }
}
