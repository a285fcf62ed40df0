//! Measurements behind the capacity page: bytes, time and memory of the main structures by size.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use valetrack::bundle::check;
use valetrack::claim::{ClaimReport, KeptAnswer, KeyDigest, Page, PageEntry, Record};
use valetrack::gate::{AttemptId, Gate, GateConfig, GateEvent, LoadReport, QueueTimeout};
use valetrack::link::codec::pack;
use valetrack::link::message::{Ask, Piggyback, Reply, ReplyHead};
use valetrack::member::{Evacuation, ListedVm, Member, Members, Phase};
use valetrack::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Policy, RetryBudget, ServerSet, ServiceView,
};

/// The system's allocator with counters of the allocated bytes and of the allocations.
pub struct CountingAllocator;

static BYTES: AtomicU64 = AtomicU64::new(0);
static COUNT: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller guarantees a valid layout, which is passed on unchanged.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the pointer came from `alloc` above with this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the number of allocations made so far.
pub fn allocations() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Returns the bytes that are allocated now.
pub fn allocated_bytes() -> u64 {
    BYTES.load(Ordering::Relaxed)
}

/// Mean cost of one execution of a measured function.
struct Cost {
    micros: f64,
    kept_bytes: u64,
    allocations: f64,
}

/// Measures `times` executions of `work`; the size of the first result is counted when it is dropped.
fn cost<T>(times: u32, mut work: impl FnMut() -> T) -> Cost {
    let kept = work();
    let (bytes, count, began) = (allocated_bytes(), allocations(), Instant::now());
    for _ in 1..times {
        drop(std::hint::black_box(work()));
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(times - 1);
    let allocations = (allocations() - count) as f64 / f64::from(times - 1);
    drop(kept);
    let kept_bytes = bytes.saturating_sub(allocated_bytes());
    Cost { micros, kept_bytes, allocations }
}

fn member(number: usize) -> Member {
    Member {
        vm: Arc::from(format!("vm-{number:05}")),
        incarnation: 1_796_216_081_744_374,
        phase: Phase::Serving,
        domain: Arc::from(format!("domain-{}", number % 19)),
        service: Arc::from(format!("service-{}", number % 1_200)),
        link_addr: ([10, 0, (number >> 8) as u8, number as u8], 7_001).into(),
        version: None,
        is_relay: false,
        departure: None,
    }
}

fn members(count: usize) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        members.merge(&member(number));
    }
    members
}

fn bundle(services: usize) -> String {
    let one = |number| {
        format!(
            "[[service]]\nname = \"service-{number}\"\nslots = 12\n[[service.route]]\nmethod = \"POST\"\npath = \"/\"\n"
        )
    };
    (0..services).map(one).collect()
}

fn row(name: &str, size: usize, wire_bytes: usize, cost: &Cost) {
    println!(
        "{name:<38} {size:>7} {wire_bytes:>10} {:>12.3} {:>12} {:>9.2}",
        cost.micros, cost.kept_bytes, cost.allocations
    );
}

/// Measures all costs and prints a table.
pub fn run() {
    println!(
        "{:<38} {:>7} {:>10} {:>12} {:>12} {:>9}",
        "what", "size", "wire bytes", "us each", "kept bytes", "allocs"
    );
    for size in [1, 12, 48] {
        let list: Vec<Member> = (0..size).map(member).collect();
        let ask = Ask::Gossip {
            members: list,
            evacuation: Evacuation::default(),
            bundle: 21_000,
            claims: ClaimReport::default(),
        };
        let bytes = pack(&ask).map_or(0, |frame| frame.len());
        row("exchange of views, members", size, bytes, &cost(2_000, || pack(&ask)));
    }
    for size in [12, 200, 1_200, 12_000] {
        row("view of VMs, members", size, 0, &cost(20, || members(size)));
        let view = members(size);
        row("copy of the view, members", size, 0, &cost(20, || view.clone()));
        let rows: Vec<ListedVm> = (0..size).map(listed).collect();
        let text = serde_json::to_string(&rows).unwrap_or_default();
        let read = || serde_json::from_str::<Vec<ListedVm>>(&text);
        row("VM list, rows", size, text.len(), &cost(10, read));
    }
    for size in [4, 100, 1_200] {
        let text = bundle(size);
        row("bundle, services", size, text.len(), &cost(10, || check(&text)));
    }
    for size in [1, 100, 4_000] {
        let page = page(size);
        let bytes = postcard::to_allocvec(&page).map_or(0, |bytes| bytes.len());
        row("page of claims, keys", size, bytes, &cost(20, || postcard::to_allocvec(&page)));
    }
    piggybacked_report();
    decisions();
}

fn listed(number: usize) -> ListedVm {
    let Member { vm, domain, service, link_addr, .. } = member(number);
    ListedVm { vm, domain, service, link_addr, leaving: false }
}

fn page(keys: usize) -> Page {
    let entry = |number: usize| PageEntry {
        key: KeyDigest([number as u8; 16]),
        call: number as u64 * 0x9e37_79b9_7f4a_7c15,
        claimed_s: 1_796_216_081,
        record: Record::Finished(KeptAnswer { status: 201, headers: Vec::new(), body: Some(vec![7; 64].into()) }),
    };
    Page { home: None, term: 3, held: false, blind_until_s: 0, entries: (0..keys).map(entry).collect() }
}

fn piggybacked_report() {
    let load = LoadReport { limit: 12, in_flight: 9, queued: 3, service_us: 4_000, ..LoadReport::default() };
    let reply = ReplyHead { reply: Reply::Load, riding: Piggyback { load, bundle: 21_000, hlc: 1 << 56 } };
    let bytes = pack(&reply).map_or(0, |frame| frame.len());
    row("report piggybacked on a reply", 1, bytes, &cost(2_000, || pack(&reply)));
}

fn decisions() {
    for servers in [4, 12, 64] {
        let mut view = ServiceView::new(Policy::Valetrack);
        for server in 0..servers {
            view.set_present(server, true, 100);
            view.report(server, LoadReport { limit: 12, service_us: 4_000, ..LoadReport::default() }, 0);
        }
        let mut rng = fastrand::Rng::with_seed(1);
        row("pick, servers", servers, 0, &cost(100_000, || view.pick(ServerSet::default(), 10, &mut rng)));
    }
    row("call: begin, send, answer", 1, 0, &cost_of_call());
    row("gate: arrive, start, done", 1, 0, &cost_of_gate());
}

fn cost_of_call() -> Cost {
    let mut view = ServiceView::new(Policy::Valetrack);
    (0..4).for_each(|server| view.set_present(server, true, 100));
    let mut budgets = Budgets::new(RetryBudget::new(10, 20), RetryBudget::new(5, 20));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut next_seq = 1;
    let mut actions: Vec<CallAction> = Vec::with_capacity(8);
    let rule = CallRule { repeatable: true, bounces: 1, retries: 1, hedge_after_percent: Some(300), demand: None };
    cost(100_000, || {
        let attempt = AttemptId { entry: 1, seq: next_seq };
        let mut call = Call::new(rule, 1);
        let mut cx = CallContext {
            view: &mut view,
            budgets: &mut budgets,
            rng: &mut rng,
            now_us: next_seq,
            next_seq: &mut next_seq,
        };
        call.handle(CallEvent::Begin, &mut cx, &mut actions);
        call.handle(CallEvent::Ran { attempt, healthy: true }, &mut cx, &mut actions);
        actions.clear();
    })
}

fn cost_of_gate() -> Cost {
    let mut gate = Gate::new(GateConfig::default(), 0);
    let mut actions = Vec::with_capacity(8);
    let mut seq = 0;
    let mut one = move || {
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
    };
    // The gate's history has to reach its full size first.
    (0..10_000).for_each(|_| one());
    cost(100_000, one)
}
