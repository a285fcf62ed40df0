//! Tests of roll-outs: the traffic share of a new version, and the detection of a worse one.

use std::sync::Arc;

use test_case::test_case;

use super::{
    Decision, Evidence, Progress, RolloutDoc, RolloutOrder, RolloutRegistry, RouteRuns, RunCounter, Stage,
    TrafficShare, TrialShare, Verdict, compare, decide, doc_key, trial_size,
};
use crate::member::{Member, Phase};
use crate::store::{Era, Item, Position};

fn runs(route: &str, runs: u32, failed: u32, slow: u32) -> RouteRuns {
    RouteRuns { route: Arc::from(route), runs, failed, slow }
}

fn member(vm: &str, version: Option<&str>) -> Member {
    Member {
        vm: Arc::from(vm),
        incarnation: 1,
        phase: Phase::Serving,
        domain: Arc::from("kranj"),
        service: Arc::from("lab"),
        link_addr: "127.0.0.1:9".parse().expect("an address"),
        version: version.map(Arc::from),
        is_relay: false,
        departure: None,
    }
}

/// Returns the traffic share of each upstream: three of the old version, three of the new one, and one whose version is
/// unknown.
fn shares_at(stage: Option<Stage>) -> Vec<TrafficShare> {
    let mut registry = RolloutRegistry::default();
    let order = RolloutOrder { service: Arc::from("lab"), version: Arc::from("v2"), within_ms: 12_000 };
    registry.ordered(order, Position::new(Era::default(), 7), 0);
    if let Some(stage) = stage {
        let doc = RolloutDoc { version: Arc::from("v2"), order: 7, stage };
        let value = serde_json::to_vec(&doc).expect("a document");
        let item = Item { key: doc_key("lab"), value, position: Position::new(Era::default(), 9), lease: None };
        assert_eq!(registry.apply_item(&item, 0), Ok(true));
    }
    let versions = [Some("v1"), Some("v1"), Some("v1"), Some("v2"), Some("v2"), Some("v2"), None];
    let members: Vec<Member> =
        versions.iter().enumerate().map(|(at, version)| member(&format!("vm-{at}"), *version)).collect();
    let members: Vec<&Member> = members.iter().collect();
    registry.view().traffic_shares("lab", &members).expect("a roll-out")
}

#[test_case(None, "UUUBBBB"; "an order alone sends the new version no calls")]
#[test_case(Some(Stage::Trial), "UUUTBBB"; "on trial")]
#[test_case(Some(Stage::Moving), "BBBUUUB"; "all new calls go to the new version")]
#[test_case(Some(Stage::Completed), "UUUUUUU"; "completed")]
#[test_case(Some(Stage::RolledBack), "UUUBBBB"; "rolled back")]
fn traffic_shares_follow_the_stage(stage: Option<Stage>, expected: &str) {
    let letter = |part| match part {
        TrafficShare::Usual => 'U',
        TrafficShare::Trial => 'T',
        TrafficShare::Barred => 'B',
    };
    assert_eq!(shares_at(stage).into_iter().map(letter).collect::<String>(), expected);
}

#[test]
fn document_of_another_order_is_ignored() {
    let mut registry = RolloutRegistry::default();
    let order = RolloutOrder { service: Arc::from("lab"), version: Arc::from("v2"), within_ms: 12_000 };
    registry.ordered(order, Position::new(Era::default(), 7), 0);
    let doc = RolloutDoc { version: Arc::from("v2"), order: 3, stage: Stage::Completed };
    let value = serde_json::to_vec(&doc).expect("a document");
    let item = Item { key: doc_key("lab"), value, position: Position::new(Era::default(), 9), lease: None };
    assert_eq!(registry.apply_item(&item, 0), Ok(true));
    assert_eq!(registry.of("lab").and_then(|rollout| rollout.stage), None);
    let invalid = Item { value: b"{}".to_vec(), ..item };
    assert!(registry.apply_item(&invalid, 0).is_err());
}

#[test_case(1, 4; "a small service")]
#[test_case(2, 25; "a service with some tens of upstreams")]
#[test_case(2, 480; "a large one")]
fn new_version_gets_its_share_and_no_more(trial: usize, old: usize) {
    assert_eq!(trial_size(old), trial);
    let mut share = TrialShare::default();
    share.configure(trial, old, 400);
    let taken = (0..10_000).filter(|_| share.next_goes_to_trial()).count();
    assert!(taken <= 501, "{taken} of 10,000");
    let fair = 10_000 * trial / (trial + old);
    assert!(taken + 10 >= fair.min(500), "the share loads them as usual: {taken} of {fair}");
}

#[test_case(&[runs("a", 40, 0, 0)], &[runs("a", 400, 1, 0)], Verdict::NotWorse; "a sound version")]
#[test_case(&[runs("a", 40, 14, 0)], &[runs("a", 400, 1, 0)], Verdict::Worse; "a third of its runs fails")]
#[test_case(&[runs("a", 60, 0, 25)], &[runs("a", 400, 0, 2)], Verdict::Worse; "many take several times as long")]
#[test_case(&[runs("a", 300, 0, 0), runs("b", 20, 9, 0)], &[runs("a", 900, 0, 0), runs("b", 90, 0, 0)], Verdict::Worse; "on one route only")]
#[test_case(&[runs("a", 40, 14, 0)], &[runs("a", 400, 150, 0)], Verdict::NotWorse; "the old version fails as well")]
#[test_case(&[runs("a", 3, 2, 0)], &[runs("a", 400, 0, 0)], Verdict::NotWorse; "too few runs")]
fn comparison_finds_worse_version(new: &[RouteRuns], old: &[RouteRuns], expected: Verdict) {
    assert_eq!(compare(new, old), expected);
}

/// Counts over simulated roll-outs with different seeds.
#[derive(Debug, Default)]
struct Counts {
    sound_rejected: u32,
    worse_accepted: u32,
    /// Most bad runs before a version was rejected.
    bad_runs: u32,
}

fn simulate(bad_share: f64, old_share: f64) -> Counts {
    let mut counts = Counts::default();
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut new, mut old) = (runs("a", 0, 0, 0), runs("a", 0, 0, 0));
        // Sixteen runs a second on trial for nine seconds, compared every 0.3 s.
        let rejected = (0..30).any(|_| {
            for _ in 0..5 {
                new.add(&runs("a", 1, u32::from(rng.f64() < bad_share), 0));
            }
            for _ in 0..100 {
                old.add(&runs("a", 1, u32::from(rng.f64() < old_share), 0));
            }
            compare(std::slice::from_ref(&new), std::slice::from_ref(&old)) == Verdict::Worse
        });
        let is_worse = bad_share > 4.0 * old_share.max(0.03);
        counts.sound_rejected += u32::from(rejected && !is_worse);
        counts.worse_accepted += u32::from(!rejected && is_worse);
        counts.bad_runs = counts.bad_runs.max(if rejected { new.failed } else { 0 });
    }
    counts
}

#[test_case(0.02, 0.02, 0; "a sound version")]
#[test_case(0.05, 0.05, 0; "both fail occasionally")]
fn sound_version_is_not_rolled_back(new: f64, old: f64, rejected_max: u32) {
    let counts = simulate(new, old);
    assert!(counts.sound_rejected <= rejected_max, "{counts:?} of 300");
}

#[test_case(0.25; "a quarter of its runs fails")]
#[test_case(0.36; "a third")]
#[test_case(0.5; "half")]
fn worse_version_is_rejected_before_fifty_bad_runs(share: f64) {
    let counts = simulate(share, 0.01);
    assert_eq!(counts.worse_accepted, 0, "of 300");
    assert!(counts.bad_runs < 50, "{counts:?}");
}

fn progress(stage: Option<Stage>, age_ms: u64, stage_age_ms: u64) -> Progress {
    Progress { stage, age_ms, stage_age_ms, within_ms: 16_000 }
}

fn sound(new_servers: usize) -> Evidence {
    Evidence {
        new_runs: vec![runs("a", 100, 1, 0)],
        old_runs: vec![runs("a", 900, 9, 0)],
        new_servers,
        old_servers: 25,
    }
}

#[test_case(progress(None, 0, 0), 0, Decision::Reach(Stage::Trial); "an order begins with a trial")]
#[test_case(progress(Some(Stage::Trial), 11_000, 11_000), 25, Decision::Wait; "faults may show late")]
#[test_case(progress(Some(Stage::Trial), 12_000, 12_000), 25, Decision::Reach(Stage::Moving); "then all calls move")]
#[test_case(progress(Some(Stage::Trial), 12_000, 12_000), 10, Decision::Wait; "too few upstreams to serve them")]
#[test_case(progress(Some(Stage::Moving), 13_000, 1_000), 25, Decision::Wait; "the old version finishes its calls")]
#[test_case(progress(Some(Stage::Moving), 13_500, 1_500), 25, Decision::Reach(Stage::Completed); "the old version is not needed any more")]
#[test_case(progress(Some(Stage::Completed), 14_000, 100), 25, Decision::Wait; "a final stage")]
fn sound_version_reaches_completion(progress: Progress, new_servers: usize, expected: Decision) {
    assert_eq!(decide(progress, &sound(new_servers)), expected);
}

#[test_case(Stage::Trial; "on trial")]
#[test_case(Stage::Moving; "while all calls move to it")]
fn worse_version_is_rolled_back_at_any_stage(stage: Stage) {
    let evidence = Evidence { new_runs: vec![runs("a", 60, 25, 0)], ..sound(25) };
    assert_eq!(decide(progress(Some(stage), 3_000, 3_000), &evidence), Decision::Reach(Stage::RolledBack));
}

#[test]
fn new_start_resets_run_counts() {
    let mut counter = RunCounter::default();
    let route: Arc<str> = Arc::from("a");
    counter.set_start(1);
    counter.ran(&route, false, 100, 0);
    counter.ran(&route, true, 900, 200);
    assert_eq!(counter.routes(), [runs("a", 2, 1, 1)]);
    counter.set_start(2);
    assert!(counter.routes().is_empty());
}
