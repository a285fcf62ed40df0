//! Threads of a node, each with a runtime of its own.

use std::future::Future;
use std::thread::JoinHandle;

use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Makes the runtime of one thread.
pub(super) fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Starts a thread with a runtime of its own; `duty` makes the future inside it.
pub(super) fn spawn<D, F>(name: &'static str, duty: D) -> std::io::Result<JoinHandle<()>>
where
    D: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = runtime()?;
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async { duty().await });
    })
}

/// Joins every thread; all were told to close.
pub(super) fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads.into_iter().rev() {
        if thread.join().is_err() {
            log::error!("event=node.thread_failed");
        }
    }
}
