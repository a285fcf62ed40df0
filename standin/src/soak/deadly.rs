//! A request that crashes the upstreams that run it: it is sent repeatedly, and its runs are limited.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::account::ACCOUNTS;
use super::fleet::Fleet;
use super::judge::Breach;
use super::schedule::{Fault, Step};
use crate::client::Client;

/// Prefix of the ids of these requests.
pub(super) const DEADLY_PREFIX: &str = "deadly-";
/// Path of these requests, which leads to the first service.
const PATH: &str = "/sheet/deadly";
/// Pause between two of these requests.
const PAUSE_MS: u64 = 70;
/// Time for which an upstream is down after a crash.
const DOWN_MS: u64 = 600;
/// Number of crashes after which the number of further runs is limited.
const CRASHES: usize = 3;
/// Maximum number of runs after the limit applies.
const SENDS_LEFT: usize = 3;
/// Time after the third crash, or after the last fault on a node, before the limit applies: the platform's `contact`.
const CONTACT_MS: u64 = 3_000;

/// One run of the request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlyRun {
    /// Start of the run, relative to the start of the load.
    pub at_ms: u64,
    /// Number of the VM whose upstream ran the request.
    pub vm: usize,
}

/// Sends the request to each node in turn, each time under a new id, until the task is aborted.
pub(super) async fn repeat(fleet: Rc<RefCell<Fleet>>) {
    let addrs: Vec<_> = fleet.borrow().vms.iter().map(|vm| vm.caller_addr).collect();
    for vm in &fleet.borrow().vms {
        vm.upstream.set_deadly(PATH, Duration::from_millis(DOWN_MS));
    }
    let with_accounts = fleet.borrow().settings.accounts;
    for (number, addr) in addrs.into_iter().cycle().enumerate() {
        tokio::task::spawn_local(async move {
            let id = format!("{DEADLY_PREFIX}{number}");
            let mut headers =
                vec![("host", "farm.example"), ("x-request-id", &*id), ("x-deadline-milliseconds", "800")];
            // The last account has no limit.
            let authorization = ACCOUNTS[ACCOUNTS.len() - 1].authorization();
            if with_accounts {
                headers.push(("authorization", &authorization));
            }
            // The result doesn't matter: the request is sent again anyway.
            let _ = Client::new(addr).call("GET", PATH, &headers, "the same body").await;
        });
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Returns the runs of the request at all upstreams, ordered by time.
pub(super) fn runs(fleet: &Rc<RefCell<Fleet>>, began: Instant) -> Vec<DeadlyRun> {
    let mut runs = Vec::new();
    for (vm, at) in fleet.borrow().vms.iter().enumerate() {
        let at_ms = |at: std::time::Instant| at.saturating_duration_since(began.into_std()).as_millis() as u64;
        runs.extend(at.upstream.deadly_runs().into_iter().map(|at| DeadlyRun { at_ms: at_ms(at), vm }));
    }
    runs.sort();
    runs
}

/// Checks the number of runs against the limit; runs on nodes with a recent fault are ignored.
pub fn check_deadly_runs(runs: &[DeadlyRun], steps: &[Step]) -> Option<Breach> {
    let third = runs.get(CRASHES - 1)?;
    let late = runs.iter().filter(|run| run.at_ms > third.at_ms + CONTACT_MS);
    let late: Vec<&DeadlyRun> = late.filter(|run| steps.iter().all(|step| !is_near(step, run))).collect();
    (late.len() > SENDS_LEFT).then(|| Breach {
        guarantee: "a call that crashes upstreams stops reaching them",
        subject: PATH.to_owned(),
        detail: format!("{} runs in all, {} late: {late:?}", runs.len(), late.len()),
    })
}

/// Returns whether a fault affected the store or the node of a run shortly before the run.
fn is_near(step: &Step, run: &DeadlyRun) -> bool {
    let of_all =
        matches!(step.fault, Fault::Store(_) | Fault::Revoke | Fault::Lapse | Fault::Compact | Fault::RollBack { .. });
    let until_ms = step.at_ms + step.lasts_ms + CONTACT_MS;
    (of_all || step.vm == run.vm) && (step.at_ms..=until_ms).contains(&run.at_ms)
}
