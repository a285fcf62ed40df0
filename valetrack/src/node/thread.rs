//! Threads of a node, each with its own runtime.

use std::future::Future;
use std::thread::JoinHandle;

use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Creates the runtime of one thread.
pub(super) fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Starts a thread with its own runtime, which runs the future that `task` returns.
pub(super) fn spawn<T, F>(name: &'static str, task: T) -> std::io::Result<JoinHandle<()>>
where
    T: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = runtime()?;
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async { task().await });
    })
}

/// Joins all threads, the last started first; `closing` must have been set before.
pub(super) fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads.into_iter().rev() {
        if thread.join().is_err() {
            log::error!("event=node.thread_failed");
        }
    }
}
