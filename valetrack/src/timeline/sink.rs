//! Writes log lines to standard output through a bounded queue and a writer thread.
//!
//! A thread that logs never waits. If the reader of standard output is too slow, lines are dropped and counted. Lines
//! of ordinary events are dropped long before those of failures.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, TrySendError};
use log::Level;

/// Capacity of the queue: some 300 KB, which is a fraction of a node's memory on a small VM.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are collected before they are written together: each wake-up and write costs processor time,
/// and a killed process loses the lines of at most this time.
const GATHER_MS: u64 = 20;
/// Maximum number of lines that are written together.
const BATCH_LINES: usize = 512;
/// Time limit for writing the remaining lines at the end.
const FINISH_TIMEOUT_MS: u64 = 200;

/// Returns whether a queue with `filled` lines of at most `capacity` accepts a line of this level.
pub fn admits(level: Level, filled: usize, capacity: usize) -> bool {
    match level {
        Level::Error | Level::Warn => filled < capacity,
        Level::Info => filled < capacity / 4 * 3,
        Level::Debug | Level::Trace => filled < capacity / 2,
    }
}

/// The sending end of the queue.
pub struct LineSink {
    lines: Sender<String>,
    dropped: Arc<AtomicU64>,
    writer: JoinHandle<()>,
}

impl LineSink {
    /// Starts the thread that writes to `out`; `note` formats the line that reports a number of dropped lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread could not be started.
    pub fn start<W, N>(out: W, note: N) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
        N: Fn(u64) -> String + Send + 'static,
    {
        let (lines, waiting) = async_channel::bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &waiting, &counted, &note))?;
        Ok(Self { lines, dropped, writer })
    }

    /// Queues a line, or drops and counts it.
    pub fn push(&self, level: Level, line: String) {
        let queued = admits(level, self.lines.len(), QUEUE_LINES)
            && !matches!(self.lines.try_send(line), Err(TrySendError::Full(_)));
        if !queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Closes the queue and waits until the remaining lines are written. The wait is limited, since the reader of
    /// standard output may have stopped reading.
    pub fn finish(&self) {
        self.lines.close();
        let until = Instant::now() + Duration::from_millis(FINISH_TIMEOUT_MS);
        while !self.writer.is_finished() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn write_lines<W: Write>(mut out: W, waiting: &Receiver<String>, dropped: &AtomicU64, note: &impl Fn(u64) -> String) {
    let mut reported = 0;
    while let Ok(first) = waiting.recv_blocking() {
        if !waiting.is_closed() {
            std::thread::sleep(Duration::from_millis(GATHER_MS));
        }
        let mut batch = first + "\n";
        for _ in 1..BATCH_LINES {
            let Ok(line) = waiting.try_recv() else {
                break;
            };
            batch.push_str(&line);
            batch.push('\n');
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > reported {
            batch.push_str(&note(lost - reported));
            batch.push('\n');
            reported = lost;
        }
        if out.write_all(batch.as_bytes()).and_then(|()| out.flush()).is_err() {
            // The reader has closed standard output. The queue closes with this thread, and further lines are dropped.
            return;
        }
    }
}
