//! Tests of the status of a call: crashes add to it, an answer clears it, and the order of merges doesn't change it.

use proptest::prelude::*;

use super::super::archive::{pack, unpack};
use super::*;

/// Paths of the suspects in random reports.
const PATHS: [&str; 4] = ["/a", "/b", "/c", "/d"];

#[test]
fn call_is_refused_after_third_crash() {
    let mut history = CrashHistory::default();
    let from = Arc::from("vm-1");
    for (hlc, vm) in [(1, "vm-1"), (2, "vm-2")] {
        history.join(&[report(hlc, vm, &["/a", "/b"])], &from, hlc);
        assert!(!history.status(&head("/a", b""), b"").is_refused());
    }
    history.join(&[report(3, "vm-3", &["/a"])], &from, 3);
    let status = history.status(&head("/a", b""), b"");
    assert!(status.is_refused());
    assert_eq!((status.crashes(), status.since_us, status.latest_us), (3, 1, 3));
    assert_eq!(crashes(&history, "/b"), 2);
    assert_eq!(crashes(&history, "/never"), 0);
}

#[test]
fn merging_concurrent_crashes_of_two_nodes_counts_three() {
    let first = report(1, "vm-1", &["/a"]);
    let mut left = history_of(&[first.clone(), report(2, "vm-2", &["/a"])]);
    let mut right = history_of(&[first, report(2, "vm-3", &["/a"])]);
    let sent: Vec<CrashReport> = left.reports().cloned().collect();
    left.join(&right.reports().cloned().collect::<Vec<_>>(), &Arc::from("vm-3"), 2);
    right.join(&sent, &Arc::from("vm-2"), 2);
    assert_eq!((crashes(&left, "/a"), crashes(&right, "/a")), (3, 3));
}

#[test]
fn reports_with_different_keys_count_for_the_same_call() {
    let other = FingerprintKey::of_parts(1, 2);
    let mut second = report(2, "vm-2", &["/a"]);
    second.key = other;
    second.suspects[0].fingerprint = other.fingerprint(&head("/a", b""), b"");
    let history = history_of(&[report(1, "vm-1", &["/a"]), second]);
    assert_eq!(crashes(&history, "/a"), 2);
    assert_eq!(history.key_for_report(other), KEY, "the next report uses the earliest key");
}

#[test]
fn cleared_call_stays_cleared_after_late_copies() {
    let reports = [report(1, "vm-1", &["/a", "/b"]), report(2, "vm-2", &["/a"])];
    let mut history = history_of(&reports);
    let status = history.status(&head("/a", b""), b"");
    assert_eq!(history.clear(&status.refs).len(), 2);
    history.join(&reports, &Arc::from("late"), 9);
    assert_eq!((crashes(&history, "/a"), crashes(&history, "/b")), (0, 1));
    history.join(&[report(3, "vm-3", &["/a"])], &Arc::from("vm-3"), 10);
    assert_eq!(crashes(&history, "/a"), 1, "later crashes are counted from one");
}

#[test]
fn calls_beside_the_identified_cause_are_cleared() {
    let crashed = report(3, "vm-3", &["/a", "/c"]);
    let mut history =
        history_of(&[report(1, "vm-1", &["/a", "/b"]), report(2, "vm-2", &["/a", "/c"]), crashed.clone()]);
    let call = |path: &str, recorded: usize| {
        let refs = history.status(&head(path, b""), b"").refs.into_iter().take(recorded).collect();
        CrashedCall { fingerprint: KEY.fingerprint(&head(path, b""), b""), refs, route: Arc::from("") }
    };
    let calls = [call("/a", 2), call("/c", 1)];
    let beside = history.beside_cause(&crashed.id, &calls);
    history.clear(&beside);
    assert_eq!(["/a", "/b", "/c"].map(|path| crashes(&history, path)), [3, 0, 0]);
}

#[test]
fn refused_call_has_two_trials_with_growing_pauses() {
    let mut history = history_of(&[1, 2, 3].map(|hlc| report(hlc, "vm-1", &["/a"])));
    let status = |history: &CrashHistory| history.status(&head("/a", b""), b"");
    let mut due = Vec::new();
    for _ in 0..3 {
        let now = status(&history);
        due.push(now.trial_due_us().map(|due_us| due_us - now.latest_us));
        let suspect_ref = now.refs.first().expect("a suspect").clone();
        history.count_trial(&suspect_ref, now.latest_us + 5);
    }
    assert_eq!(due, [Some(TRIAL_PAUSES_US[0]), Some(TRIAL_PAUSES_US[1]), None]);
    assert!(status(&history).is_refused());
}

#[test]
fn history_archive_and_report_sizes_are_bounded() {
    let mut history = CrashHistory::default();
    let names: Vec<String> = (0..SUSPECTS_MAX).map(|number| format!("/flood/{number}")).collect();
    let paths: Vec<&str> = names.iter().map(String::as_str).collect();
    for hlc in 0..3 * HISTORY_MAX as u64 {
        history.join(&[report(hlc, "vm-1", &paths[..1 + hlc as usize % 4])], &Arc::from("vm-1"), hlc);
    }
    let full = report(u64::MAX, "vm-1", &paths);
    history.join(std::slice::from_ref(&full), &Arc::from("vm-1"), 1);
    let archive = pack(&history.archive("rounds")).expect("a value");
    let one = postcard::to_allocvec(&full).expect("a report");
    assert_eq!((history.len(), history.archive("rounds").len()), (HISTORY_MAX, ARCHIVE_MAX));
    assert!(archive.len() < 150_000, "{} bytes of a value that may have a megabyte", archive.len());
    assert!(one.len() < 1_500, "{} bytes in a message", one.len());
}

#[test]
fn full_history_evicts_crashes_without_suspects_first() {
    let mut history = history_of(&[report(1, "vm-1", &["/a"])]);
    for hlc in 2..=HISTORY_MAX as u64 + 50 {
        let mut over = report(hlc, "vm-1", &["/b"]);
        over.suspects[0].cleared = true;
        history.join(&[over], &Arc::from("vm-1"), hlc);
    }
    assert_eq!((history.len(), crashes(&history, "/a")), (HISTORY_MAX, 1));
}

#[test]
fn unpack_restores_packed_reports_and_rejects_other_bytes() {
    let reports = vec![report(1, "vm-1", &["/a"]), report(2, "vm-2", &["/a", "/b"])];
    let value = pack(&reports).expect("a value");
    insta::assert_snapshot!(String::from_utf8_lossy(&value), @r#"[{"id":{"hlc":1,"vm":"vm-1"},"service":"rounds","key":[7,11],"suspects":[{"fingerprint":{"head":12706727583109256180,"body":13328902028454844214},"cleared":false,"trials":0}]},{"id":{"hlc":2,"vm":"vm-2"},"service":"rounds","key":[7,11],"suspects":[{"fingerprint":{"head":12706727583109256180,"body":13328902028454844214},"cleared":false,"trials":0},{"fingerprint":{"head":6312841326248513970,"body":13328902028454844214},"cleared":false,"trials":0}]}]"#);
    assert_eq!(unpack(&value), Ok(reports));
    for bad in ["", "{}", "[1]", "[{\"id\":{}}]", "\u{1}"] {
        assert!(unpack(bad.as_bytes()).is_err(), "{bad}");
    }
}

fn some_report() -> impl Strategy<Value = CrashReport> {
    (0..5u64, 0..2usize, prop::collection::vec(any::<(bool, u8)>(), PATHS.len())).prop_map(|(hlc, vm, states)| {
        let mut report = report(hlc, ["vm-1", "vm-2"][vm], &PATHS);
        for (suspect, (cleared, trials)) in report.suspects.iter_mut().zip(states) {
            suspect.cleared = cleared;
            suspect.trials = trials % 3;
        }
        report
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(33),
        ..Default::default()
    })]

    #[test]
    fn history_is_independent_of_order_and_duplicates_of_reports(
        reports in prop::collection::vec(some_report(), 0..12),
        order in any::<u64>(),
    ) {
        let mut shuffled = reports.clone();
        shuffled.extend(reports.iter().cloned());
        fastrand::Rng::with_seed(order).shuffle(&mut shuffled);
        let (one, other) = (history_of(&reports), history_of(&shuffled));
        prop_assert!(one.reports().eq(other.reports()));
        for path in PATHS {
            prop_assert_eq!(crashes(&one, path), crashes(&other, path));
        }
    }

    #[test]
    fn answered_call_is_never_suspect_again_of_earlier_crashes(
        reports in prop::collection::vec(some_report(), 1..12),
        late in prop::collection::vec(some_report(), 0..12),
    ) {
        let mut history = history_of(&reports);
        let refs = history.status(&head("/a", b""), b"").refs;
        history.clear(&refs);
        history.join(&late, &Arc::from("late"), 5);
        let again = history.status(&head("/a", b""), b"").refs;
        prop_assert!(again.iter().all(|suspect_ref| !refs.contains(suspect_ref)));
    }
}
