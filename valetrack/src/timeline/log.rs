//! Logs by fern: one key=value line an event, stamped with the process's hybrid clock.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::message::Quoted;
use super::state::HybridClock;
use crate::clock::wall_us;

/// Events that the admin port can still show.
const RECENT_MAX: usize = 4_096;

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

/// Starts logging to standard error and to the memory behind the admin port.
///
/// # Errors
///
/// Returns an error when logging was started before.
pub fn start(vm: &str, level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    let vm = vm.to_owned();
    fern::Dispatch::new()
        .level(level)
        .filter(|metadata| metadata.target().starts_with("valetrack"))
        .format(move |out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("hlc={} vm={} level={level} {message}", stamp(), Quoted(&vm)));
        })
        .chain(std::io::stderr())
        .chain(fern::Output::call(|record| remember(record.args().to_string())))
        .apply()
}
