//! Job loop and background tasks of the threads that serve a ring of jobs.

use std::future::Future;

use async_channel::Receiver;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::code::Code;

/// Notified when a background task of any thread has panicked.
static TASK_FAILED: Notify = Notify::const_new();

/// Waits until a background task of any thread has panicked.
pub(crate) async fn background_task_failed() {
    TASK_FAILED.notified().await;
}

/// Waits for the next job; returns `None` if the ring has no senders any more or the thread must end.
pub(crate) async fn next_job<T>(jobs: &Receiver<T>, closing: &mut watch::Receiver<bool>) -> Option<T> {
    tokio::select! {
        job = jobs.recv() => job.ok(),
        _ = closing.wait_for(|closing| *closing) => None,
    }
}

/// Background tasks that a thread runs while it serves its ring.
///
/// The runtime catches a panic of a task, and the thread would continue without the task. A node that no longer renews
/// its entry in the store, for example, would look healthy and fail only for its callers. Therefore the node leaves
/// after a panic, and its platform restarts it.
#[derive(Default)]
pub(crate) struct BackgroundTasks {
    tasks: JoinSet<()>,
}

impl BackgroundTasks {
    /// Starts a background task on the local task set of the thread.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    /// Waits for the next job like [`next_job`], and reports panics of background tasks meanwhile.
    pub(crate) async fn next_job<T>(&mut self, jobs: &Receiver<T>, closing: &mut watch::Receiver<bool>) -> Option<T> {
        loop {
            tokio::select! {
                job = next_job(jobs, closing) => return job,
                Some(ended) = self.tasks.join_next() => {
                    if let Err(error) = ended && error.is_panic() {
                        log::error!("event=node.duty_failed code={} reason=\"{error}\"", Code::DutyFailed);
                        TASK_FAILED.notify_one();
                    }
                }
            }
        }
    }

    /// Ends all background tasks.
    pub(crate) async fn shutdown(mut self) {
        self.tasks.shutdown().await;
    }
}
