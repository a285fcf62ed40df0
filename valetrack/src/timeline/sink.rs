//! Log lines on their way to standard output: a bounded ring, and a thread that writes.
//!
//! Whoever logs never waits. Where the reader of standard output is too slow, lines are dropped
//! and counted, those of ordinary events long before those of failures.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, TrySendError};
use log::Level;

/// Lines that wait at most: some 300 KB, a fraction of what a small VM grants a node.
const RING_LINES: usize = 2_048;
/// Time for which lines are gathered before they are written together, in milliseconds: each
/// wake-up and write costs processor time, and a killed process loses no more than this.
const GATHER_MS: u64 = 20;
/// Lines that are written together at most.
const BATCH_LINES: usize = 512;
/// Time that the last lines have to be written at the end, in milliseconds.
const LAST_MS: u64 = 200;

/// Returns whether a line of this level is taken by a ring of which `filled` of `places` are full.
pub fn admits(level: Level, filled: usize, places: usize) -> bool {
    match level {
        Level::Error | Level::Warn => filled < places,
        Level::Info => filled < places / 4 * 3,
        Level::Debug | Level::Trace => filled < places / 2,
    }
}

/// The near end of the ring.
pub struct LineSink {
    lines: Sender<String>,
    dropped: Arc<AtomicU64>,
    writer: JoinHandle<()>,
}

impl LineSink {
    /// Starts the thread that writes to `out`; `note` makes the line that tells of dropped ones.
    ///
    /// # Errors
    ///
    /// Returns why the thread could not be started.
    pub fn start<W, N>(out: W, note: N) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
        N: Fn(u64) -> String + Send + 'static,
    {
        let (lines, waiting) = async_channel::bounded(RING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &waiting, &counted, &note))?;
        Ok(Self { lines, dropped, writer })
    }

    /// Takes a line, or drops and counts it.
    pub fn push(&self, level: Level, line: String) {
        let taken = admits(level, self.lines.len(), RING_LINES)
            && !matches!(self.lines.try_send(line), Err(TrySendError::Full(_)));
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Takes no more lines and waits for the last ones to be written, but no longer than a reader
    /// that has stopped reading is worth.
    pub fn finish(&self) {
        self.lines.close();
        let until = Instant::now() + Duration::from_millis(LAST_MS);
        while !self.writer.is_finished() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn write_lines<W: Write>(mut out: W, waiting: &Receiver<String>, dropped: &AtomicU64, note: &impl Fn(u64) -> String) {
    let mut told = 0;
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
        if lost > told {
            batch.push_str(&note(lost - told));
            batch.push('\n');
            told = lost;
        }
        if out.write_all(batch.as_bytes()).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; what comes is dropped and counted by the full ring.
            return;
        }
    }
}
