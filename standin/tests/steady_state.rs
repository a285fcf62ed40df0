//! Checks by a counting allocator that placement decisions don't allocate in steady state.

use standin::slope::{CountingAllocator, allocations};
use valetrack::gate::LoadReport;
use valetrack::placement::{
    Budgets, Call, CallContext, CallEvent, CallRule, Policy, RetryBudget, ServerSet, ServiceView,
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn pick_and_call_allocate_nothing() {
    let mut view = ServiceView::new(Policy::Valetrack);
    for server in 0..4 {
        view.set_present(server, true, 100);
        view.report(server, LoadReport { limit: 12, service_us: 4_000, ..LoadReport::default() }, 0);
    }
    let mut budgets = Budgets::new(RetryBudget::new(10, 20), RetryBudget::new(5, 20));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut actions = Vec::with_capacity(16);
    let mut next_seq = 1;
    let rule = CallRule { repeatable: true, bounces: 1, retries: 1, hedge_after_percent: Some(300), demand: None };
    let before = allocations();
    let mut picked = 0;
    for _ in 0..1_000 {
        picked += usize::from(view.pick(ServerSet::default(), 10, &mut rng).is_some());
        let attempt = valetrack::gate::AttemptId { entry: 1, seq: next_seq };
        let mut call = Call::new(rule, 1);
        let (view, budgets, rng, next_seq) = (&mut view, &mut budgets, &mut rng, &mut next_seq);
        let mut cx = CallContext { view, budgets, rng, now_us: 20, next_seq };
        call.handle(CallEvent::Begin, &mut cx, &mut actions);
        call.handle(CallEvent::Ran { attempt, healthy: true }, &mut cx, &mut actions);
        assert!(call.closed());
        actions.clear();
    }
    let after = allocations();
    assert_eq!((picked, after - before), (1_000, 0));
}
