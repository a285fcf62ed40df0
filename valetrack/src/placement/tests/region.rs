//! Choices between the own region and others.

use std::fmt::Write;
use std::sync::Arc;

use proptest::prelude::*;
use test_case::test_case;

use crate::code::Code;
use crate::gate::{AttemptId, DeclineReason, LoadReport};
use crate::member::Candidate;
use crate::placement::service::{CONSIDERED_MAX, EntryPlace, ServiceState, considered};
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, CallTraffic, Demand, Dispatch, LinkView, Policy,
    RetryBudget, ServerIndex, ServiceView, Verdict,
};
use crate::region::Regions;

const NOW_US: u64 = 10_000_000;
const DEMAND: Demand = Demand { work_us: 190_000, left_us: 1_000_000 };
const RULE: CallRule =
    CallRule { repeatable: false, bounces: 4, retries: 0, hedge_after_percent: None, demand: Some(DEMAND) };
const SMALL: CallTraffic = CallTraffic { request_bytes: 500, answer_bytes: 1_500, rank: 1 };
const UPLOAD: CallTraffic = CallTraffic { request_bytes: 60_000, answer_bytes: 300, rank: 1 };
const LINK: LinkView = LinkView {
    round_trip_us: 62_000,
    load: 0.0,
    left_bytes: f64::INFINITY,
    burst_bytes: f64::INFINITY,
    bytes_per_s: f64::INFINITY,
    is_reachable: true,
};
const IDLE: LoadReport = load(0, 0);
const FULL: LoadReport = load(6, 30);

const fn load(in_flight: u16, queued: u16) -> LoadReport {
    LoadReport {
        limit: 6,
        in_flight,
        queued,
        service_us: 190_000,
        stalled: false,
        leaving: false,
        fast_percent: 100,
        slow_percent: 400,
        slow_chance_percent: 0,
        slow_share_percent: 0,
        slow_lasts_ms: 300,
        kept_percent: 100,
        failing_percent: 0,
        start_delay_ms: 0,
    }
}

/// Servers per region of the views below.
const PER_REGION: usize = 3;

/// Returns a view of three servers in each region; the first region is that of the entry.
fn view(loads: &[LoadReport], links: &[LinkView]) -> ServiceView {
    let mut view = ServiceView::new(Policy::Valetrack);
    for (region, load) in loads.iter().enumerate() {
        for server in region * PER_REGION..(region + 1) * PER_REGION {
            view.set_present(server, true, 100);
            view.set_cross_domain(server, region > 0);
            view.set_region(server, region.checked_sub(1));
            view.report(server, *load, NOW_US);
        }
    }
    view.set_links(links);
    view
}

/// One call with its entry's state.
struct Entry {
    call: Call,
    view: ServiceView,
    budgets: Budgets,
    rng: fastrand::Rng,
    next_seq: u64,
    now_us: u64,
}

impl Entry {
    fn new(view: ServiceView, rule: CallRule, traffic: CallTraffic, seed: u64) -> Self {
        let budgets = Budgets::new(RetryBudget::new(50, 20), RetryBudget::new(50, 20));
        let call = Call::new(rule, 1).with_traffic(traffic);
        Self { call, view, budgets, rng: fastrand::Rng::with_seed(seed), next_seq: 1, now_us: NOW_US }
    }

    fn handle(&mut self, event: CallEvent) -> Vec<CallAction> {
        let mut actions = Vec::new();
        let Self { call, view, budgets, rng, next_seq, now_us } = self;
        call.handle(event, &mut CallContext { view, budgets, rng, now_us: *now_us, next_seq }, &mut actions);
        actions
    }

    /// Declines every attempt for lack of room; returns the servers in their order, and the verdict.
    fn decline_all(&mut self) -> (Vec<ServerIndex>, Option<Verdict>) {
        let mut servers = Vec::new();
        let mut actions = self.handle(CallEvent::Begin);
        loop {
            if let Some(verdict) = actions.iter().find_map(verdict) {
                return (servers, Some(verdict));
            }
            let Some(Dispatch { attempt, server, .. }) = actions.iter().find_map(sent) else {
                return (servers, None);
            };
            servers.push(server);
            self.now_us += 1_000;
            actions = self.handle(CallEvent::Declined { attempt, reason: DeclineReason::Full });
        }
    }
}

fn sent(action: &CallAction) -> Option<Dispatch> {
    if let CallAction::Send(dispatch) = action { Some(*dispatch) } else { None }
}

fn verdict(action: &CallAction) -> Option<Verdict> {
    if let CallAction::Finish(verdict) = action { Some(*verdict) } else { None }
}

const fn region(server: ServerIndex) -> usize {
    server / PER_REGION
}

/// Returns how many of a thousand calls begin in each region.
fn first_regions(view: &ServiceView, traffic: CallTraffic, demand: Demand) -> Vec<usize> {
    let mut counts = vec![0; 3];
    for seed in 0..1_000 {
        let rule = CallRule { demand: Some(demand), ..RULE };
        let mut entry = Entry::new(view.clone(), rule, traffic, seed);
        if let Some(Dispatch { server, .. }) = entry.handle(CallEvent::Begin).iter().find_map(sent) {
            counts[region(server)] += 1;
        }
    }
    counts
}

/// Name of a case, loads of the regions, links to all but the first one, and the call.
type Case<'a> = (&'a str, &'a [LoadReport], &'a [LinkView], CallTraffic, Demand);

/// Guards against the costs of a day on which most calls between regions saved only some milliseconds, and against a
/// region that sends all of its calls across at once.
#[test]
fn calls_cross_by_their_chance_bytes_and_link() {
    let far = LinkView { round_trip_us: 250_000, ..LINK };
    let busy = LinkView { load: 0.8, ..LINK };
    let unreachable = LinkView { is_reachable: false, ..LINK };
    let tight = Demand { left_us: 240_000, ..DEMAND };
    let cases: &[Case<'_>] = &[
        ("one region, full", &[FULL], &[], SMALL, DEMAND),
        ("all idle", &[IDLE, IDLE], &[LINK], SMALL, DEMAND),
        ("own region nearly full", &[load(5, 0), IDLE], &[LINK], SMALL, DEMAND),
        ("own region full", &[FULL, IDLE], &[LINK], SMALL, DEMAND),
        ("both full", &[FULL, FULL], &[LINK], SMALL, DEMAND),
        ("own region full, upload", &[FULL, IDLE], &[LINK], UPLOAD, DEMAND),
        ("own region full, link busy", &[FULL, IDLE], &[busy], SMALL, DEMAND),
        ("own region full, link busy, highest rank", &[FULL, IDLE], &[busy], CallTraffic { rank: 0, ..SMALL }, DEMAND),
        ("own region full, no link", &[FULL, IDLE], &[unreachable], SMALL, DEMAND),
        ("own region full, no time for the round trip", &[FULL, IDLE], &[LINK], SMALL, tight),
        ("three regions, two full", &[FULL, FULL, IDLE], &[LINK, LINK], SMALL, DEMAND),
        ("three regions, one far", &[FULL, IDLE, IDLE], &[LINK, far], SMALL, DEMAND),
    ];
    let mut table = String::new();
    for (name, loads, links, traffic, demand) in cases {
        let counts = first_regions(&view(loads, links), *traffic, *demand);
        writeln!(table, "{name}: {counts:?}").expect("a string");
    }
    insta::assert_snapshot!(table, @r"
    one region, full: [1000, 0, 0]
    all idle: [1000, 0, 0]
    own region nearly full: [1000, 0, 0]
    own region full: [559, 441, 0]
    both full: [1000, 0, 0]
    own region full, upload: [1000, 0, 0]
    own region full, link busy: [1000, 0, 0]
    own region full, link busy, highest rank: [559, 441, 0]
    own region full, no link: [1000, 0, 0]
    own region full, no time for the round trip: [1000, 0, 0]
    three regions, two full: [559, 0, 441]
    three regions, one far: [559, 441, 0]
    ");
}

/// Guards against a rejection with 728 ms left for 164 ms of work after all owners of the own region declined the call,
/// and no owner outside of it was asked.
#[test]
fn declined_call_crosses_once_before_its_rejection() {
    let view = view(&[load(5, 0), IDLE], &[LINK]);
    let (servers, verdict) = Entry::new(view, RULE, SMALL, 1).decline_all();
    let regions: Vec<usize> = servers.iter().map(|server| region(*server)).collect();
    assert_eq!(regions.iter().filter(|region| **region == 1).count(), 1, "{regions:?}");
    assert_eq!(regions.last(), Some(&1));
    assert!(matches!(verdict, Some(Verdict::NotRun { code: Code::Overloaded, .. })), "{verdict:?}");
}

/// A call that crossed before for a better chance does not cross again.
#[test]
fn call_declined_beyond_returns_to_own_region() {
    let view = view(&[FULL, IDLE], &[LINK]);
    for seed in 0..50 {
        let (servers, verdict) = Entry::new(view.clone(), RULE, SMALL, seed).decline_all();
        let crossed = servers.iter().filter(|server| region(**server) == 1).count();
        assert_eq!(crossed, 1, "{servers:?}");
        assert!(matches!(verdict, Some(Verdict::NotRun { .. })), "{verdict:?}");
    }
}

#[test_case(LINK, SMALL, 1_000_000, true; "there is time and room")]
#[test_case(LINK, SMALL, 245_000, false; "no time for the round trip and the run")]
#[test_case(LinkView { load: 1.0, ..LINK }, SMALL, 1_000_000, false; "full link")]
#[test_case(LinkView { left_bytes: 100.0, burst_bytes: 1e6, ..LINK }, SMALL, 1_000_000, false; "share of link used up")]
#[test_case(LinkView { is_reachable: false, ..LINK }, SMALL, 1_000_000, false; "unreachable region")]
#[test_case(LINK, UPLOAD, 2_000_000, true; "an upload whose transfer fits")]
#[test_case(LinkView { bytes_per_s: 30_000.0, ..LINK }, UPLOAD, 2_000_000, false; "an upload whose transfer is too slow")]
#[test_case(LINK, CallTraffic { request_bytes: 360_000, ..UPLOAD }, 2_000_000, false; "a very large upload")]
fn last_resort_needs_time_and_room(link: LinkView, traffic: CallTraffic, left_us: u64, expected: bool) {
    let view = view(&[load(5, 0), IDLE], &[link]);
    let rule = CallRule { demand: Some(Demand { left_us, ..DEMAND }), ..RULE };
    let (servers, _) = Entry::new(view, rule, traffic, 1).decline_all();
    assert_eq!(servers.iter().any(|server| region(*server) == 1), expected, "{servers:?}");
}

/// A service without a server in the own region is served by the other one as before, whatever the link's state.
#[test]
fn service_of_another_region_is_called_there() {
    let full_link = LinkView { load: 1.0, ..LINK };
    let mut view = view(&[IDLE, IDLE], &[full_link]);
    (0..PER_REGION).for_each(|server| view.set_present(server, false, 0));
    let (servers, _) = Entry::new(view, RULE, UPLOAD, 1).decline_all();
    assert!(!servers.is_empty() && servers.iter().all(|server| region(*server) == 1), "{servers:?}");
}

/// Guards against the loss of a call that is not repeatable: the attempt in the own region was declined, and the one in
/// the other region may have run.
#[test]
fn lost_attempt_in_another_region_is_not_repeated() {
    let mut entry = Entry::new(view(&[FULL, IDLE], &[LINK]), RULE, SMALL, 1);
    let mut actions = entry.handle(CallEvent::Begin);
    let crossing = loop {
        let Dispatch { attempt, server, .. } = actions.iter().find_map(sent).expect("an attempt");
        if region(server) == 1 {
            break attempt;
        }
        actions = entry.handle(CallEvent::Declined { attempt, reason: DeclineReason::Full });
    };
    entry.handle(CallEvent::Broken { attempt: crossing });
    let actions = entry.handle(CallEvent::CancelResult { attempt: crossing, result: None });
    assert_eq!(actions, [CallAction::Finish(Verdict::Unknown { code: Code::LinkLost })]);
}

fn candidate(at: usize, domain: &str) -> Candidate {
    Candidate {
        vm: Arc::from(format!("vm-{at}")),
        incarnation: 1,
        domain: Arc::from(domain),
        link_addr: ([127, 0, 0, 1], at as u16).into(),
        part: crate::rollout::TrafficShare::Usual,
    }
}

/// Guards against a region that is full and knows no server of another one.
#[test_case(40, 40; "own region fits")]
#[test_case(100, 100; "own region does not fit")]
fn some_servers_of_each_region_are_considered(own: usize, other: usize) {
    let regions: Regions = "kranj=west,loka=west,ptuj=east,celje=mid".parse().expect("regions");
    let domains = |at: usize| match at {
        at if at < own => ["kranj", "loka"][at % 2],
        at => ["ptuj", "celje"][at % 2],
    };
    let servers: Vec<Candidate> = (0..own + other).map(|at| candidate(at, domains(at))).collect();
    let chosen = considered(servers, &regions, "kranj", "vm-0");
    let of = |domain: &str| chosen.iter().filter(|server| &*server.domain == domain).count();
    assert_eq!(chosen.len(), CONSIDERED_MAX);
    assert!(of("ptuj") >= 4 && of("celje") >= 4, "{} {}", of("ptuj"), of("celje"));
    assert!(of("kranj") + of("loka") >= own.min(CONSIDERED_MAX - 8));
    assert!(own < CONSIDERED_MAX || of("kranj") > of("loka"), "the own domain comes first");
}

/// Returns the state that an entry in `kranj` derives from a roster; `regions` is none for the calls that earlier
/// versions made.
fn state(loads: &[(usize, LoadReport)], regions: Option<&Regions>) -> ServiceView {
    let candidates: Vec<Candidate> =
        loads.iter().enumerate().map(|(at, (domain, _))| candidate(at, ["kranj", "loka", "ptuj"][*domain])).collect();
    let budgets = Budgets::new(RetryBudget::new(50, 20), RetryBudget::new(50, 20));
    let mut state = ServiceState { view: ServiceView::new(Policy::Valetrack), budgets, targets: Vec::new() };
    match regions {
        Some(regions) => {
            let place = EntryPlace { vm: "vm-0", domain: "kranj", domain_cost_us: 1_000, regions };
            state.sync(candidates.into_iter(), &place, |_| panic!("a single region has no links"));
        }
        None => {
            for (server, candidate) in candidates.iter().enumerate() {
                let is_own = &*candidate.domain == "kranj";
                let network_us = if server == 0 { 0 } else { [1_000, 100][usize::from(is_own)] };
                state.view.set_present(server, true, network_us);
                state.view.set_cross_domain(server, !is_own);
            }
        }
    }
    for (server, (_, load)) in loads.iter().enumerate().filter(|(_, (_, load))| load.limit > 0) {
        state.view.report(server, *load, NOW_US);
    }
    state.view
}

fn loads() -> impl Strategy<Value = Vec<(usize, LoadReport)>> {
    let one = (0..7_u16, 0..12_u16, 0..2_u16, 0..100_u8).prop_map(|(in_flight, queued, known, slow)| LoadReport {
        limit: 6 * known,
        slow_chance_percent: slow,
        slow_share_percent: 25,
        ..load(in_flight, queued)
    });
    proptest::collection::vec((0..3_usize, one), 1..20).prop_map(|mut loads| {
        loads[0].0 = 0;
        loads
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    /// Guards against any change of choices, queue timeouts and declared utilities in fleets of a single region.
    #[test]
    fn single_region_decides_as_before(loads in loads(), seed: u64, repeatable: bool, has_objective: bool) {
        let none = Regions::default();
        let one: Regions = "kranj=west,loka=west,ptuj=west".parse().expect("one region");
        let rule = CallRule { repeatable, retries: 1, demand: has_objective.then_some(DEMAND), ..RULE };
        let before = run(state(&loads, None), rule, CallTraffic::default(), seed);
        prop_assert_eq!(&run(state(&loads, Some(&none)), rule, UPLOAD, seed), &before);
        prop_assert_eq!(&run(state(&loads, Some(&one)), rule, UPLOAD, seed), &before);
    }
}

/// Returns all actions of a call whose attempts end in turn by decline, loss and failure.
fn run(view: ServiceView, rule: CallRule, traffic: CallTraffic, seed: u64) -> Vec<CallAction> {
    let mut entry = Entry::new(view, rule, traffic, seed);
    let mut all = entry.handle(CallEvent::Begin);
    let mut at = 0;
    while at < all.len() {
        if let Some(Dispatch { attempt, .. }) = sent(&all[at]) {
            entry.now_us += 3_000;
            let actions = entry.handle(end_of(attempt, at as u64 + seed % 7));
            all.extend(actions);
        }
        at += 1;
    }
    all
}

fn end_of(attempt: AttemptId, step: u64) -> CallEvent {
    match step % 7 {
        0..=2 => CallEvent::Declined { attempt, reason: DeclineReason::Full },
        3 => CallEvent::Declined { attempt, reason: DeclineReason::Slow },
        4 => CallEvent::Unsent { attempt },
        5 => CallEvent::Failed { attempt, code: Code::ServerFailed },
        _ => CallEvent::Declined { attempt, reason: DeclineReason::Stalled },
    }
}
