//! Tests that stamps grow along messages, and that a written line is parsed to the same event.

use proptest::prelude::*;
use test_case::test_case;

use super::{AHEAD_MAX_MS, Event, Field, HybridClock, merge, parse, stamp_ms};

fn event(hlc: u64, vm: &str, name: &str, call: Option<&str>) -> Event {
    Event { hlc, vm: vm.into(), event: name.into(), call: call.map(str::to_owned), fields: Vec::new() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..Default::default()
    })]

    /// The wall clocks of three nodes differ by up to half a minute; each message carries a stamp.
    #[test]
    fn message_receipt_is_stamped_after_its_sending(
        skews_ms in prop::collection::vec(0..30_000u64, 3),
        messages in prop::collection::vec((0..3usize, 0..3usize, 0..50u64), 1..60),
    ) {
        let mut clocks = [HybridClock::default(); 3];
        let mut true_ms = 1_000_000;
        for (from, to, pause_ms) in messages {
            true_ms += pause_ms;
            let sent = clocks[from].tick(true_ms + skews_ms[from]);
            prop_assert!(clocks[to].observe(sent, true_ms + skews_ms[to]));
            let received = clocks[to].tick(true_ms + skews_ms[to]);
            prop_assert!(received > sent);
        }
    }

    #[test]
    fn displayed_event_parses_to_the_same_event(
        hlc in 1..u64::MAX,
        vm in "[a-z0-9-]{1,10}",
        name in "[^\\p{Cc}]{1,10}",
        call in prop::option::of("[^\\p{Cc}]{1,10}"),
        value in "[^\\p{Cc}]{0,30}",
    ) {
        let field = Field { key: "reason".into(), value };
        let written = Event { hlc, vm, event: name, call, fields: vec![field] };
        prop_assert_eq!(parse(&written.to_string()), Ok(written));
    }

    #[test]
    fn parse_never_panics_on_any_line(line in ".{0,120}") {
        let _ = parse(&line);
    }
}

#[test]
fn observe_ignores_stamp_too_far_ahead() {
    let mut clock = HybridClock::default();
    let far = (1_000_000 + AHEAD_MAX_MS + 1) << 16;
    assert!(!clock.observe(far, 1_000_000));
    assert_eq!(stamp_ms(clock.tick(1_000_000)), 1_000_000);
}

#[test]
fn merge_sorts_events_and_drops_duplicates() {
    let events = vec![
        event(3, "b", "gate.start", Some("c1")),
        event(2, "a", "call.send", Some("c1")),
        event(5, "a", "call.end", Some("c2")),
        event(2, "a", "call.send", Some("c1")),
    ];
    let names: Vec<String> = merge(events, Some("c1")).into_iter().map(|event| event.event).collect();
    assert_eq!(names, ["call.send", "gate.start"]);
}

#[test_case("", "hlc, vm or event is missing"; "an empty line")]
#[test_case("hello there", "a word is not a key=value pair"; "prose")]
#[test_case("hlc=x vm=a event=b", "hlc is not a number"; "no number")]
#[test_case("hlc=1 vm=a event=\"b", "a quote is not closed"; "an unclosed quote")]
fn parse_returns_reason_for_malformed_line(line: &str, reason: &str) {
    assert_eq!(parse(line).map_err(|error| error.reason), Err(reason));
}

#[test_case(log::Level::Info, 5, true; "info below three quarters is accepted")]
#[test_case(log::Level::Info, 6, false; "info at three quarters is dropped")]
#[test_case(log::Level::Debug, 4, false; "debug at one half is dropped")]
#[test_case(log::Level::Warn, 7, true; "warning in the last free slot is accepted")]
#[test_case(log::Level::Error, 8, false; "error in a full queue is dropped")]
fn queue_admits_failures_longer_than_ordinary_lines(level: log::Level, filled: usize, admitted: bool) {
    assert_eq!(super::admits(level, filled, 8), admitted);
}

/// A writer that blocks until the other end of its channel is dropped.
struct Stalled(std::sync::mpsc::Receiver<()>, std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl std::io::Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The receive fails as soon as the sender is dropped.
        let _ = self.0.recv();
        self.1.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_reader_drops_lines_without_blocking_loggers() {
    let written = std::sync::Arc::default();
    let (unblock, stalled) = std::sync::mpsc::channel();
    let out = Stalled(stalled, std::sync::Arc::clone(&written));
    let sink = super::LineSink::start(out, |count| format!("dropped={count}")).expect("a thread");
    for number in 0..10_000 {
        sink.push(log::Level::Info, format!("line={number}"));
    }
    let dropped = sink.dropped();
    assert!(dropped > 7_000, "{dropped}");
    sink.push(log::Level::Error, "last=1".into());
    drop(unblock);
    sink.finish();
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert!(text.starts_with("line=0\n") && text.contains("last=1\n"));
    assert!(text.contains(&format!("dropped={dropped}")), "the number of dropped lines is reported");
}
