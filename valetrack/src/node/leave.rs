//! Events that make a node leave, and the steps of its shutdown.

use std::convert::Infallible;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use super::part::NodeParts;
use super::stage::Stages;
use crate::clock::simulate_suspension;
use crate::jobs::background_task_failed;
use crate::settings::NodeSettings;

/// Time limit of reporting the exit to other nodes.
const DEPARTURE_MS: u64 = 500;
/// Part of the grace period before a kill that is reserved for reporting the exit to other nodes and for exiting.
const STOP_MARGIN_MS: u64 = 800;
/// Time for recently written answers to be sent before the process exits.
const FLUSH_MS: u64 = 20;

/// Serves until an event makes the node leave, and then runs the steps of the shutdown.
pub(super) async fn serve_until_leaving(parts: &NodeParts) {
    let by = tokio::select! {
        by = leave_requested(parts) => by,
        never = start_serving(parts) => match never {},
    };
    log::info!("event=node.leaving by={by}");
    leave(&parts.stages, &parts.settings).await;
}

/// Waits for an event that makes the node leave, and returns its source.
async fn leave_requested(parts: &NodeParts) -> &'static str {
    tokio::select! {
        () = stop_signal() => "signal",
        never = suspend_for_tests(parts.settings.test_suspension_ms) => match never {},
        () = parts.server_leaving.notified() => "server",
        () = parts.listed_leaving.notified() => "list",
        () = background_task_failed() => "failed-duty",
    }
}

/// Simulates a suspension of the VM at each SIGUSR2; never returns.
async fn suspend_for_tests(suspension_ms: u64) -> Infallible {
    if suspension_ms > 0
        && let Ok(mut suspend) = signal(SignalKind::user_defined2())
    {
        while suspend.recv().await.is_some() {
            simulate_suspension(Duration::from_millis(suspension_ms));
            log::info!("event=node.suspension_simulated suspended_ms={suspension_ms}");
        }
    }
    std::future::pending().await
}

/// Puts the node into service once a bundle is in force; never returns.
async fn start_serving(parts: &NodeParts) -> Infallible {
    let mut bundle = parts.bundle.subscribe();
    if bundle.wait_for(Option::is_some).await.is_ok() {
        parts.stages.serving.send_replace(true);
        log::info!("event=node.serving");
    }
    std::future::pending().await
}

async fn leave(stages: &Stages, settings: &NodeSettings) {
    stages.leaving.send_replace(true);
    let done = async {
        for stage in [&stages.drained, &stages.released, &stages.emptied] {
            let _ = stage.subscribe().wait_for(|reached| *reached).await;
        }
    };
    let drain = drain_time(settings);
    if timeout(drain, done).await.is_err() {
        log::warn!("event=node.drain_cut after_ms={}", drain.as_millis());
    }
    stages.exiting.send_replace(true);
    let mut departed = stages.departed.subscribe();
    let _ = timeout(Duration::from_millis(DEPARTURE_MS), departed.wait_for(|departed| *departed)).await;
    stages.closing.send_replace(true);
    sleep(Duration::from_millis(FLUSH_MS)).await;
}

/// Returns the time from the start of the leave until calls that still run are cut off.
pub(super) fn drain_time(settings: &NodeSettings) -> Duration {
    let drain_ms = match settings.stop_grace_ms {
        0 => settings.drain_ms,
        grace_ms => settings.drain_ms.min(grace_ms.saturating_sub(STOP_MARGIN_MS)),
    };
    Duration::from_millis(drain_ms)
}

/// Waits for a signal that stops the process.
async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            // Settings come from flags and the environment, which a running process can't reload.
            _ = hang_up.recv() => log::info!("event=node.reload settings=unchanged"),
        }
    }
}
