//! Times in which the soak's own process did not run. Upstreams, paths between nodes and callers are part of it, so calls
//! that are in progress then end late whatever the nodes do.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Pause between two checks.
const CHECK_MS: u64 = 10;

/// A time in which the process did not run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stall {
    /// Its start, relative to the start of the run.
    pub at_ms: u64,
    /// Its length.
    pub ms: u64,
}

/// Records the longest stall until the task is aborted.
pub(super) async fn watch(began: Instant, longest: Rc<Cell<Stall>>) {
    loop {
        let asleep = Instant::now();
        sleep(Duration::from_millis(CHECK_MS)).await;
        let ms = (asleep.elapsed().as_millis() as u64).saturating_sub(CHECK_MS);
        if ms > longest.get().ms {
            longest.set(Stall { at_ms: asleep.saturating_duration_since(began).as_millis() as u64, ms });
        }
    }
}
