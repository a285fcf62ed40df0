//! VM suspensions with real nodes: the node's monotonic clock does not advance while its peers go on.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, status};
use common::wait_for;

/// Longest time until a lost entry is written again, with a margin for a busy machine.
const ENTRY_BACK_MAX: Duration = Duration::from_millis(2_500);

#[tokio::test]
async fn node_of_suspended_vm_serves_as_entry_and_owner() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    for round in 0..4 {
        for suspended in 0..3 {
            // These calls open the links before the suspension.
            for at in 0..3 {
                let warm = fleet.call(at, "GET", "/sheet/", &format!("warm-{round}-{suspended}-{at}")).await;
                assert_eq!(status(&warm), 200);
            }
            fleet.suspend(suspended).await;
            for at in 0..3 {
                let id = format!("after-{round}-{suspended}-{at}");
                let read = fleet.call(at, "GET", "/sheet/", &id).await;
                assert_eq!(status(&read), 200, "{id}");
                let written = fleet.call(at, "POST", "/pickup/", &format!("{id}-once")).await;
                assert_eq!(status(&written), 200, "{id}");
                assert_eq!(fleet.runs(&format!("{id}-once")), 1);
            }
        }
    }
}

#[tokio::test]
async fn entry_lapsed_in_suspension_is_written_again_within_limit() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    fleet.signal(0, "-STOP");
    fleet.store.expire_leases();
    wait_for("entries to lapse", async || fleet.entries() < 2).await;
    fleet.signal(0, "-USR2");
    fleet.signal(0, "-CONT");
    let since = Instant::now();
    wait_for("both entries", async || fleet.entries() == 2).await;
    assert!(since.elapsed() < ENTRY_BACK_MAX, "{:?}", since.elapsed());
    assert_eq!(status(&fleet.call(1, "GET", "/sheet/", "back").await), 200);
}

/// Guards against a second run of calls that are in flight while their entry is suspended, and against a lost call after
/// the suspension, which the entry sent over links that its peers had abandoned.
#[tokio::test]
async fn in_flight_call_at_suspended_entry_runs_at_most_once() {
    let fleet = Fleet::start(&["rounds", "ledger", "ledger"]).await;
    for vm in &fleet.vms {
        vm.upstream.set_work_ms(300);
    }
    let ids: Vec<String> = (0..6).map(|number| format!("out-{number}")).collect();
    let calls = ids.iter().map(|id| fleet.call(0, "POST", "/pickup/", id));
    let suspended = async {
        tokio::time::sleep(Duration::from_millis(120)).await;
        fleet.suspend(0).await;
        // The next call finds the links closed and opens new ones.
        status(&fleet.call(0, "GET", "/sheet/", "next").await)
    };
    let (replies, next) = futures::join!(futures::future::join_all(calls), suspended);
    assert_eq!(next, 200);
    for (id, reply) in ids.iter().zip(replies) {
        let runs = fleet.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(status(&reply) != 503 || runs == 0, "{id} was answered as not run and ran");
    }
}
