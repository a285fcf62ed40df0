//! What a node does when its VM was suspended: timers stood still, and what was agreed with others went on.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Shell;
use crate::clock::{SuspensionWatch, suspended_us};

/// Pause between two looks for a suspension, in milliseconds: a lapsed entry is to be back within two seconds,
/// and a node is held to its bounds three seconds after it goes on.
const LOOK_MS: u64 = 250;

impl Shell {
    /// Looks for suspensions of the VM; runs as long as the node.
    ///
    /// Timers of the runtime go by the steady clock, so that each is late by as long as the suspension was:
    /// without this an entry whose lease is long over is written anew only when its renewal would have been due,
    /// which is up to 2 s later by the pause between renewals, and a question to a relay that has given this node
    /// up is waited for. On the stand-ins a test holds that a lapsed entry is back within 2.5 s.
    pub(super) async fn follow_suspensions(self: Rc<Self>) {
        let mut watch = SuspensionWatch::from_now();
        loop {
            sleep(Duration::from_millis(LOOK_MS)).await;
            let Some(suspended) = watch.take(suspended_us()) else {
                continue;
            };
            log::warn!("event=node.suspended suspended_ms={}", suspended.as_millis());
            self.parts.metrics.suspensions.inc();
            // What was read last is as old as the suspension was long.
            self.lose_log();
            self.entry_due.notify_one();
            self.reread.notify_one();
            self.hasten.notify_one();
        }
    }
}
