//! Acknowledgements of departures, which wait until somebody else has recorded them.

use std::time::Duration;

use test_case::test_case;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::gate::{Departure, DepartureAcknowledger, DepartureRecord, RecordedBy};

/// Time after which an upstream repeats an announcement that was not acknowledged.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

fn departure(id: &str) -> Departure {
    Departure { vm: "a".into(), id: id.into(), born_ms: None }
}

/// Waits for an acknowledgement while `confirmations` arrive, each after its delay in milliseconds; returns the delay of
/// the acknowledgement in milliseconds and who has recorded the departure.
fn acknowledge(recorded_id: &str, confirmations: &'static [(u64, RecordedBy)]) -> (u64, RecordedBy) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let record = watch::Sender::new(DepartureRecord::new(departure(recorded_id)));
        let acknowledger = DepartureAcknowledger::new(record.subscribe());
        let begun = Instant::now();
        let confirm = async {
            for (after_ms, by) in confirmations {
                sleep(Duration::from_millis(*after_ms).saturating_sub(begun.elapsed())).await;
                record.send_if_modified(|record| record.confirm(&departure("i-1"), *by));
            }
            std::future::pending::<()>().await
        };
        let by = tokio::select! {
            by = acknowledger.wait("i-1") => by,
            () = confirm => unreachable!("it waits for good"),
        };
        assert!(begun.elapsed() < ANNOUNCEMENT_TIMEOUT);
        (begun.elapsed().as_millis() as u64, by)
    })
}

#[test_case(&[], (600, RecordedBy::Nobody); "nobody answers")]
#[test_case(&[(20, RecordedBy::Store)], (20, RecordedBy::Store); "the store is fast")]
#[test_case(&[(5, RecordedBy::Peer), (120, RecordedBy::Store)], (120, RecordedBy::Store); "a peer is faster than the store")]
#[test_case(&[(5, RecordedBy::Peer)], (300, RecordedBy::Peer); "the store is away")]
#[test_case(&[(400, RecordedBy::Peer)], (400, RecordedBy::Peer); "a slow peer")]
#[test_case(&[(450, RecordedBy::Store), (500, RecordedBy::Peer)], (450, RecordedBy::Store); "a slow store")]
fn acknowledgement_waits_for_record(confirmations: &'static [(u64, RecordedBy)], expected: (u64, RecordedBy)) {
    assert_eq!(acknowledge("i-1", confirmations), expected);
}

/// Guards against an acknowledgement by the record of another start.
#[test]
fn record_of_another_start_acknowledges_nothing() {
    assert_eq!(acknowledge("i-0", &[(5, RecordedBy::Store)]), (600, RecordedBy::Nobody));
}

#[test]
fn record_that_stands_already_acknowledges_at_once() {
    assert_eq!(acknowledge("i-1", &[(0, RecordedBy::Store)]), (0, RecordedBy::Store));
}

/// Guards against a peer's late reply that takes the place of the store's record.
#[test]
fn weaker_record_changes_nothing() {
    let mut record = DepartureRecord::new(departure("i-1"));
    assert!(record.confirm(&departure("i-1"), RecordedBy::Store));
    assert!(!record.confirm(&departure("i-1"), RecordedBy::Peer));
    assert_eq!((record.of("i-1"), record.of("i-2")), (RecordedBy::Store, RecordedBy::Nobody));
}
