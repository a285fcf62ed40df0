//! What the threads that serve a ring of jobs share.

use async_channel::Receiver;
use tokio::sync::watch;

/// Waits for the next job; none when the ring has no sender any more, or the thread is to close.
pub(crate) async fn next_job<T>(jobs: &Receiver<T>, closing: &mut watch::Receiver<bool>) -> Option<T> {
    tokio::select! {
        job = jobs.recv() => job.ok(),
        _ = closing.wait_for(|closing| *closing) => None,
    }
}
