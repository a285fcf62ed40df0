//! Benchmarks of the decisions that are made for every call. They run with `cargo bench -p valetrack` only, not as
//! tests.

use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use valetrack::crash::{CrashHistory, CrashId, CrashReport, FingerprintKey, RecentAnswers, Suspect};
use valetrack::gate::{AttemptId, Gate, GateConfig, GateEvent, LoadReport, QueueTimeout};
use valetrack::link::codec::{pack, unpack};
use valetrack::link::message::{CallHead, Piggyback, Reply, ReplyHead};
use valetrack::placement::{Demand, Policy, RetryBudget, ServerSet, ServiceView};

/// Creates a view with a load report from each server.
fn view_of(servers: usize) -> ServiceView {
    let mut view = ServiceView::new(Policy::Valetrack);
    for server in 0..servers {
        view.set_present(server, true, 100);
        view.report(server, LoadReport { limit: 12, service_us: 4_000, ..LoadReport::default() }, 0);
    }
    view
}

fn pick(c: &mut Criterion) {
    for servers in [4, 16, 64] {
        let mut view = view_of(servers);
        let mut rng = fastrand::Rng::with_seed(1);
        c.bench_function(&format!("pick among {servers}"), |b| {
            b.iter(|| view.pick(ServerSet::default(), 10, &mut rng));
        });
    }
}

fn pick_in_time(c: &mut Criterion) {
    let demand = Demand { work_us: 100_000, left_us: 300_000 };
    for servers in [4, 16, 56] {
        let mut view = view_of(servers);
        let mut rng = fastrand::Rng::with_seed(1);
        c.bench_function(&format!("pick within objective among {servers}"), |b| {
            b.iter(|| view.pick_in_time(ServerSet::default(), demand, 10, &mut rng));
        });
    }
}

fn retry_budget(c: &mut Criterion) {
    let mut budget = RetryBudget::new(20, 4);
    let mut now_us = 0;
    c.bench_function("a call and a retry in a retry budget", |b| {
        b.iter(|| {
            now_us += 3_000;
            budget.begin(0.0, now_us);
            budget.take(now_us)
        });
    });
}

fn gate(c: &mut Criterion) {
    let mut gate = Gate::new(GateConfig::default(), 0);
    let mut actions = Vec::with_capacity(8);
    let mut seq = 0;
    c.bench_function("gate: arrive, start, done", |b| {
        b.iter(|| {
            seq += 1;
            let (attempt, now_us) = (AttemptId { entry: 1, seq }, seq * 3_000);
            let arrive = GateEvent::Arrive {
                attempt,
                deadline_us: now_us + 1_000_000,
                patience: QueueTimeout::Long,
                priority: 0,
                objective: None,
                is_nested: false,
            };
            gate.handle(arrive, now_us, &mut actions);
            gate.handle(GateEvent::Done { attempt, healthy: true }, now_us + 2_000, &mut actions);
            actions.clear();
        });
    });
}

fn codec(c: &mut Criterion) {
    let riding = Piggyback { load: LoadReport::default(), bundle: 21_000, hlc: 1 << 56 };
    let head = ReplyHead { reply: Reply::Load, riding };
    let frame = pack(&head).expect("a small head");
    c.bench_function("pack a reply", |b| b.iter(|| pack(&head)));
    c.bench_function("unpack a reply", |b| b.iter(|| unpack::<ReplyHead>(frame.clone())));
}

/// Creates the head of a call with a body of this length.
fn head(path: &str, body_bytes: u32) -> CallHead {
    CallHead {
        attempt: AttemptId { entry: 1, seq: 1 },
        call_id: Arc::from("9c41d07be2a35f68"),
        service: Arc::from("intake"),
        origin: Arc::from("intake"),
        account: None,
        route: Arc::from("sheet"),
        method: "POST".into(),
        path: path.into(),
        headers: vec![("host".into(), b"farm.example".to_vec()), ("accept".into(), b"*/*".to_vec())],
        body_bytes,
        deadline_ms: 1_000,
        objective_ms: 400,
        work_us: 0,
        elsewhere_permille: 0,
        priority: 1,
        repeatable: true,
        depth: 1,
        made_by_run: false,
        repeat_permille: 0,
        patience: QueueTimeout::Long,
        key: None,
        hlc: 1,
    }
}

/// Creates a history of this many crashes, each with five suspects of its own.
fn history_of(crashes: u64, key: FingerprintKey) -> CrashHistory {
    let report = |hlc: u64| {
        let suspect = |number: u64| {
            let fingerprint = key.fingerprint(&head(&format!("/suspect/{hlc}/{number}"), 0), b"");
            Suspect { fingerprint, cleared: false, trials: 0 }
        };
        let id = CrashId { hlc, vm: Arc::from("kranj-1") };
        CrashReport { id, service: Arc::from("intake"), key, suspects: (0..5).map(suspect).collect() }
    };
    let mut history = CrashHistory::default();
    history.join(&(0..crashes).map(report).collect::<Vec<_>>(), &Arc::from("peer"), 0);
    history
}

/// Measures the cost of checking a call against the recorded crashes and of recording an answer. The body of a call
/// is only read if a suspect has the same head, so a usual call doesn't pay for a fingerprint of its body.
fn crash_history(c: &mut Criterion) {
    let key = FingerprintKey::of_parts(1, 2);
    let body = vec![7; 1 << 20];
    let call = head("/usual", body.len() as u32);
    for crashes in [0, 3, 192] {
        let history = history_of(crashes, key);
        c.bench_function(&format!("status of a call with a body of 1 MB among {crashes} crashes"), |b| {
            b.iter(|| history.has_suspects().then(|| history.status(&call, &body)));
        });
    }
    c.bench_function("fingerprint of a body of 1 MB", |b| b.iter(|| key.body_fingerprint(&body)));
    let mut answers = RecentAnswers::default();
    let (small, bytes) = (head("/usual", 100), [7; 100]);
    c.bench_function("record of an answer to a call with a body of 100 bytes", |b| {
        b.iter(|| answers.answered(key, &small, &bytes, 1));
    });
    c.bench_function("record of an answer to a call with a body of 1 MB", |b| {
        b.iter(|| answers.answered(key, &call, &body, 1));
    });
}

criterion_group!(benches, pick, pick_in_time, retry_budget, gate, codec, crash_history);
criterion_main!(benches);
