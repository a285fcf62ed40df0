//! Handling of a suspension of the VM: timers were stopped, while leases and the deadlines of other nodes went on.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Shell;
use crate::clock::{SuspensionWatch, suspended_us};

/// Pause between two checks for a suspension: an expired entry must be stored again within two seconds, and a node must
/// keep its time bounds again three seconds after it resumes.
const CHECK_MS: u64 = 250;

impl Shell {
    /// Detects suspensions of the VM; runs as long as the node.
    ///
    /// Timers of the runtime use the monotonic clock, so that each is late by the length of the suspension. Without
    /// this task, an entry whose lease has long expired would be rewritten only when its renewal is due, up to 2 s
    /// later, and the node would wait for a reply from a relay that no longer serves it. A test against the
    /// stand-ins checks that an expired entry is stored again within 2.5 s.
    pub(super) async fn watch_suspensions(self: Rc<Self>) {
        let mut watch = SuspensionWatch::from_now();
        loop {
            sleep(Duration::from_millis(CHECK_MS)).await;
            let Some(suspended) = watch.take(suspended_us()) else {
                continue;
            };
            log::warn!("event=node.suspended suspended_ms={}", suspended.as_millis());
            self.parts.metrics.suspensions.inc();
            // The last read is at least as old as the suspension was long.
            self.mark_log_stale();
            self.entry_due.notify_one();
            self.reread.notify_one();
            self.follow_now.notify_one();
        }
    }
}
