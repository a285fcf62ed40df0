//! Time of the hot decisions; run by command (`cargo bench -p valetrack`), not as a test.

use criterion::{Criterion, criterion_group, criterion_main};
use valetrack::gate::{AttemptId, Gate, GateConfig, GateEvent, LoadReport, Patience};
use valetrack::link::codec::{pack, unpack};
use valetrack::link::message::{Reply, ReplyHead, Riding};
use valetrack::placement::{Demand, Policy, RepeatBudget, ServerSet, ServiceView};

/// Makes a view of servers that were all heard of.
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
        c.bench_function(&format!("pick in time among {servers}"), |b| {
            b.iter(|| view.pick_in_time(ServerSet::default(), demand, 10, &mut rng));
        });
    }
}

fn repeat_budget(c: &mut Criterion) {
    let mut budget = RepeatBudget::new(20, 4);
    let mut now_us = 0;
    c.bench_function("a call and a repeat in a budget of repeats", |b| {
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
                patience: Patience::Long,
                priority: 0,
                objective: None,
            };
            gate.handle(arrive, now_us, &mut actions);
            gate.handle(GateEvent::Done { attempt, healthy: true }, now_us + 2_000, &mut actions);
            actions.clear();
        });
    });
}

fn codec(c: &mut Criterion) {
    let riding = Riding { load: LoadReport::default(), bundle: 21_000, hlc: 1 << 56 };
    let head = ReplyHead { reply: Reply::Load, riding };
    let frame = pack(&head).expect("a small head");
    c.bench_function("pack a reply", |b| b.iter(|| pack(&head)));
    c.bench_function("unpack a reply", |b| b.iter(|| unpack::<ReplyHead>(frame.clone())));
}

criterion_group!(benches, pick, pick_in_time, repeat_budget, gate, codec);
criterion_main!(benches);
