//! When a node leaves, and the order in which it goes out of service.

use std::convert::Infallible;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use super::part::NodeParts;
use super::stage::Stages;
use crate::clock::put_ahead;
use crate::jobs::duty_failed;
use crate::settings::NodeSettings;

/// Time that telling other nodes of the exit may take, in milliseconds.
const DEPARTURE_MS: u64 = 500;
/// What is left of the time before a kill for telling other nodes and the exit, in milliseconds.
const STOP_MARGIN_MS: u64 = 800;
/// Time for answers that were just written to leave this process, in milliseconds.
const FLUSH_MS: u64 = 20;

/// Waits until the node is told to leave, then takes it out of service step by step.
pub(super) async fn serve_until_told(parts: &NodeParts) {
    let by = tokio::select! {
        by = told_to_leave(parts) => by,
        never = begin(parts) => match never {},
    };
    log::info!("event=node.leaving by={by}");
    leave(&parts.stages, &parts.settings).await;
}

/// Waits until the node is told to leave; returns by whom.
async fn told_to_leave(parts: &NodeParts) -> &'static str {
    tokio::select! {
        () = stop_signal() => "signal",
        never = suspend_for_tests(parts.settings.test_suspension_ms) => match never {},
        () = parts.server_leaving.notified() => "server",
        () = parts.listed_leaving.notified() => "list",
        () = duty_failed() => "failed-duty",
    }
}

/// Has the node believe at each SIGUSR2 that its VM was suspended; never ends.
async fn suspend_for_tests(suspension_ms: u64) -> Infallible {
    if suspension_ms > 0
        && let Ok(mut suspend) = signal(SignalKind::user_defined2())
    {
        while suspend.recv().await.is_some() {
            put_ahead(Duration::from_millis(suspension_ms));
        }
    }
    std::future::pending().await
}

/// Lets the node take work once a bundle is in force; never ends.
async fn begin(parts: &NodeParts) -> Infallible {
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

/// Returns the time from the start of leaving until what still runs is cut off.
pub(super) fn drain_time(settings: &NodeSettings) -> Duration {
    let drain_ms = match settings.stop_grace_ms {
        0 => settings.drain_ms,
        grace_ms => settings.drain_ms.min(grace_ms.saturating_sub(STOP_MARGIN_MS)),
    };
    Duration::from_millis(drain_ms)
}

/// Waits for a signal to stop.
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
            // Settings stand in flags and environment, which a running process keeps.
            _ = hang_up.recv() => log::info!("event=node.reload settings=unchanged"),
        }
    }
}
