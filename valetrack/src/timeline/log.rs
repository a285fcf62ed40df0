//! Logs by fern: one key=value line an event, stamped with the process's hybrid clock.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

use snafu::Snafu;

use super::message::Quoted;
use super::sink::LineSink;
use super::state::HybridClock;
use crate::clock::wall_us;

/// Events that the admin port can still show.
const RECENT_MAX: usize = 4_096;

static SINK: OnceLock<LineSink> = OnceLock::new();
static CLOCK: AtomicU64 = AtomicU64::new(0);
static RECENT: Mutex<VecDeque<String>> = Mutex::new(VecDeque::new());

/// Returns the next stamp of this process.
pub fn stamp() -> u64 {
    update(|clock, wall_ms| clock.tick(wall_ms))
}

/// Takes a stamp that came with a message.
pub fn observe(heard: u64) {
    update(|clock, wall_ms| clock.observe(heard, wall_ms));
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

fn remember(line: String) {
    let Ok(mut lines) = RECENT.lock() else {
        return;
    };
    if lines.len() >= RECENT_MAX {
        lines.pop_front();
    }
    lines.push_back(line);
}

/// Why logging could not be started.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The thread that writes could not be started.
    #[snafu(display("{source}"), context(false))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
    /// Logging was started before.
    #[snafu(display("{source}"), context(false))]
    Started {
        /// Why.
        source: log::SetLoggerError,
    },
}

/// Returns how many lines were dropped because standard output was not read fast enough.
pub fn dropped() -> u64 {
    SINK.get().map_or(0, LineSink::dropped)
}

/// Writes what still waits, at the end of the process.
pub fn finish() {
    if let Some(sink) = SINK.get() {
        sink.finish();
    }
}

fn line_of(vm: &str, level: log::Level, message: &dyn std::fmt::Display) -> String {
    let level = level.as_str().to_ascii_lowercase();
    format!("hlc={} vm={} level={level} {message}", stamp(), Quoted(vm))
}

/// Starts logging to standard output and to the memory behind the admin port.
///
/// # Errors
///
/// Returns an error when logging was started before or its thread cannot be.
pub fn start(vm: &str, level: log::LevelFilter) -> Result<(), LogError> {
    let vm = vm.to_owned();
    let noted = vm.clone();
    let note = move |count: u64| line_of(&noted, log::Level::Warn, &format_args!("event=log.dropped count={count}"));
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
            remember(line);
        }))
        .apply()?;
    Ok(())
}
