//! A request that crashes the upstreams that run it, sent again and again, and how often it may reach them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::fleet::Fleet;
use super::judge::Breach;
use super::schedule::{Fault, Step};
use crate::client::Client;

/// How the ids of such requests begin.
pub(super) const DEADLY: &str = "deadly-";
/// Their path; it leads to the first service.
const PATH: &str = "/sheet/deadly";
/// Pause between two of them, in milliseconds.
const PAUSE_MS: u64 = 70;
/// For how long an upstream is down after a crash, in milliseconds.
const DOWN_MS: u64 = 600;
/// Crashes after which such a request may reach upstreams a few times more, and how often.
const CRASHES: usize = 3;
/// Sends that are left then, for good.
const SENDS_LEFT: usize = 3;
/// Time after the third crash, or after the last fault on a node, from which on it is held to that, in
/// milliseconds: the platform's `contact`.
const CONTACT_MS: u64 = 3_000;

/// A run of such a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlyRun {
    /// When it began, from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Which VM's upstream began it.
    pub vm: usize,
}

/// Sends the request to each node in turn, under another id each time; runs until it is ended.
pub(super) async fn repeat(fleet: Rc<RefCell<Fleet>>) {
    let addrs: Vec<_> = fleet.borrow().vms.iter().map(|vm| vm.caller_addr).collect();
    for vm in &fleet.borrow().vms {
        vm.upstream.set_deadly(PATH, Duration::from_millis(DOWN_MS));
    }
    for (number, addr) in addrs.into_iter().cycle().enumerate() {
        tokio::task::spawn_local(async move {
            let id = format!("{DEADLY}{number}");
            let headers = [("host", "farm.example"), ("x-request-id", &*id), ("x-deadline-milliseconds", "800")];
            // Whatever comes of it, it is sent again.
            let _ = Client::new(addr).call("GET", PATH, &headers, "the same body").await;
        });
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Returns the runs of the request at all upstreams, in order.
pub(super) fn runs(fleet: &Rc<RefCell<Fleet>>, began: Instant) -> Vec<DeadlyRun> {
    let mut runs = Vec::new();
    for (vm, at) in fleet.borrow().vms.iter().enumerate() {
        let at_ms = |at: std::time::Instant| at.saturating_duration_since(began.into_std()).as_millis() as u64;
        runs.extend(at.upstream.deadly_runs().into_iter().map(|at| DeadlyRun { at_ms: at_ms(at), vm }));
    }
    runs.sort();
    runs
}

/// Holds the runs of such a request against what is allowed; nodes near a fault are not held to it.
pub fn judge_deadly(runs: &[DeadlyRun], steps: &[Step]) -> Option<Breach> {
    let third = runs.get(CRASHES - 1)?;
    let late = runs.iter().filter(|run| run.at_ms > third.at_ms + CONTACT_MS);
    let late: Vec<&DeadlyRun> = late.filter(|run| steps.iter().all(|step| !is_near(step, run))).collect();
    (late.len() > SENDS_LEFT).then(|| Breach {
        promise: "a call that crashes upstreams is kept from them",
        subject: PATH.to_owned(),
        detail: format!("{} runs in all, {} late: {late:?}", runs.len(), late.len()),
    })
}

/// Returns whether a fault strikes the node of a run shortly before it, or the store.
fn is_near(step: &Step, run: &DeadlyRun) -> bool {
    let of_all = matches!(
        step.fault,
        Fault::Store(_) | Fault::Revoke | Fault::Lapse | Fault::Compact | Fault::ComeBackOlder { .. }
    );
    let until_ms = step.at_ms + step.lasts_ms + CONTACT_MS;
    (of_all || step.vm == run.vm) && (step.at_ms..=until_ms).contains(&run.at_ms)
}
