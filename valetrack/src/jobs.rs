//! What the threads that serve a ring of jobs share.

use std::future::Future;

use async_channel::Receiver;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::code::Code;

/// Told when a duty of some thread has panicked.
static DUTY_FAILED: Notify = Notify::const_new();

/// Waits until a duty of some thread has panicked.
pub(crate) async fn duty_failed() {
    DUTY_FAILED.notified().await;
}

/// Waits for the next job; none when the ring has no sender any more, or the thread is to close.
pub(crate) async fn next_job<T>(jobs: &Receiver<T>, closing: &mut watch::Receiver<bool>) -> Option<T> {
    tokio::select! {
        job = jobs.recv() => job.ok(),
        _ = closing.wait_for(|closing| *closing) => None,
    }
}

/// The tasks that a thread runs for as long as it serves its ring.
///
/// The runtime keeps a panic of one of them to itself, and the thread would serve on without it: a node whose
/// entry nobody keeps looks well to everybody but its callers. So the node leaves, and is started anew.
#[derive(Default)]
pub(crate) struct Duties {
    tasks: JoinSet<()>,
}

impl Duties {
    /// Starts a duty on the thread's own task set.
    pub(crate) fn spawn(&mut self, duty: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(duty);
    }

    /// Waits for the next job as [`next_job`] does, and meanwhile looks after the duties.
    pub(crate) async fn next_job<T>(&mut self, jobs: &Receiver<T>, closing: &mut watch::Receiver<bool>) -> Option<T> {
        loop {
            tokio::select! {
                job = next_job(jobs, closing) => return job,
                Some(ended) = self.tasks.join_next() => {
                    if let Err(error) = ended && error.is_panic() {
                        log::error!("event=node.duty_failed code={} reason=\"{error}\"", Code::DutyFailed);
                        DUTY_FAILED.notify_one();
                    }
                }
            }
        }
    }

    /// Ends all duties.
    pub(crate) async fn shutdown(mut self) {
        self.tasks.shutdown().await;
    }
}
