//! Logging with fern: each event is one line of key=value pairs with a stamp of the process's hybrid clock.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

use snafu::Snafu;

use super::message::Quoted;
use super::sink::LineSink;
use super::state::HybridClock;
use crate::clock::wall_us;

/// Maximum number of events that the admin port shows.
const RECENT_MAX: usize = 4_096;

static SINK: OnceLock<LineSink> = OnceLock::new();
static CLOCK: AtomicU64 = AtomicU64::new(0);
static RECENT: Mutex<VecDeque<String>> = Mutex::new(VecDeque::new());

/// Returns the next stamp of this process.
pub fn stamp() -> u64 {
    update(|clock, wall_ms| clock.tick(wall_ms))
}

/// Advances the clock to a stamp that was received with a message.
pub fn observe(received: u64) {
    update(|clock, wall_ms| clock.observe(received, wall_ms));
}

fn update<T>(change: impl Fn(&mut HybridClock, u64) -> T) -> T {
    let wall_ms = wall_us() / 1000;
    let mut last = CLOCK.load(Ordering::Relaxed);
    loop {
        let mut clock = HybridClock::at(last);
        let result = change(&mut clock, wall_ms);
        let next = clock.last();
        match CLOCK.compare_exchange_weak(last, next, Ordering::Relaxed, Ordering::Relaxed) {
            Ok(_) => return result,
            Err(newer) => last = newer,
        }
    }
}

/// Returns the newest events as lines, oldest first.
pub fn recent() -> Vec<String> {
    RECENT.lock().map(|lines| lines.iter().cloned().collect()).unwrap_or_default()
}

fn keep_recent(line: String) {
    let Ok(mut lines) = RECENT.lock() else {
        return;
    };
    if lines.len() >= RECENT_MAX {
        lines.pop_front();
    }
    lines.push_back(line);
}

/// Error of starting the log.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The writer thread could not be started.
    #[snafu(display("{source}"), context(false))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
    /// Another logger was installed before.
    #[snafu(display("{source}"), context(false))]
    Started {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// Returns the number of lines that were dropped because standard output was not read fast enough.
pub fn dropped() -> u64 {
    SINK.get().map_or(0, LineSink::dropped)
}

/// Writes the remaining lines at the end of the process.
pub fn finish() {
    if let Some(sink) = SINK.get() {
        sink.finish();
    }
}

fn line_of(vm: &str, level: log::Level, message: &dyn std::fmt::Display) -> String {
    let level = level.as_str().to_ascii_lowercase();
    format!("hlc={} vm={} level={level} {message}", stamp(), Quoted(vm))
}

/// Starts logging to standard output and to the recent events that the admin port shows.
///
/// # Errors
///
/// Returns an error if a logger was installed before or the writer thread could not be started.
pub fn start(vm: &str, level: log::LevelFilter) -> Result<(), LogError> {
    let vm = vm.to_owned();
    let note_vm = vm.clone();
    let note = move |count: u64| line_of(&note_vm, log::Level::Warn, &format_args!("event=log.dropped count={count}"));
    let sink = LineSink::start(std::io::stdout(), note)?;
    let sink = SINK.get_or_init(|| sink);
    fern::Dispatch::new()
        .level(level)
        .filter(|metadata| metadata.target().starts_with("valetrack"))
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line_of(&vm, record.level(), message)));
        })
        .chain(fern::Output::call(|record| {
            let line = record.args().to_string();
            sink.push(record.level(), line.clone());
            keep_recent(line);
        }))
        .apply()?;
    Ok(())
}
