//! The fault soak: real nodes under load with faults injected from outside by a seeded schedule. The guarantees are
//! checked against the observations of callers and upstreams.

mod account;
mod caller;
mod deadly;
mod fleet;
mod judge;
mod path;
mod pipeline;
mod repeat;
mod schedule;
mod stall;
mod stalled;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout};

pub use self::account::{check_account_limits, check_account_shares};
pub use self::deadly::{DeadlyRun, check_deadly_runs};
pub use self::judge::{Breach, CallOutcome, CallRecord, Disruption, Versions, check_calls, check_cuts};
pub use self::repeat::{Arrival, RetryPeak, check_retries, retry_peak};
pub use self::schedule::{Fault, Kind, PathFault, Step, churn, fleet_ends, limits, rollbacks, schedule, suspensions};
pub use self::stall::Stall;

use self::caller::Callers;
use self::fleet::{Fleet, RETRY_GUARANTEE, Vm};
use crate::client::Client;

/// Time within which all nodes of a new fleet become ready.
const START_S: u64 = 30;
/// Time within which the fleet serves again after the last fault: the platform's `recovery`.
const RECOVERY_S: u64 = 15;
/// Pause between two checks for nodes that have exited.
const RESTART_CHECK_MS: u64 = 100;
/// Pause between two requests that check whether a node is ready or serves: short compared with the time limits above.
const POLL_MS: u64 = 50;
/// Time after the load for runs that are still in progress: longer than any call.
const SETTLE_MS: u64 = 2_500;

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// The seed, which determines all faults.
    pub seed: u64,
    /// Length of the fault schedule, in seconds.
    pub seconds: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Path of the node's program.
    pub program: PathBuf,
    /// Folder for the log files of the nodes.
    pub logs: PathBuf,
    /// Whether a request that crashes upstreams is sent repeatedly, and VMs are suspended.
    pub crashes: bool,
    /// Whether the store is rolled back to older copies.
    pub rollbacks: bool,
    /// Whether upstreams state limits and departures in their answers.
    pub limits: bool,
    /// Whether the configuration has client accounts, and callers send their keys.
    pub accounts: bool,
    /// Whether some callers send several requests on one connection before the first answer.
    pub pipelined: bool,
    /// Whether the failure domains are two regions.
    pub regions: bool,
    /// Whether a service leaves the configuration and returns, and upstreams deregister beside nodes that are killed.
    pub churn: bool,
    /// Whether all nodes end at the same moment beside upstreams that leave.
    pub fleet_ends: bool,
    /// Whether some clients hold memory of the nodes, whose VMs have little of it.
    pub stalled: bool,
}

/// Result of one run.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Number of calls by result.
    pub ends: BTreeMap<String, u64>,
    /// Number of injected faults.
    pub faults: usize,
    /// Highest use of the retry budget of each service.
    pub retry_peaks: BTreeMap<&'static str, RetryPeak>,
    /// Longest time for which the process of the stand-ins and callers did not run.
    pub longest_stall: Stall,
    /// Guarantees that were broken.
    pub breaches: Vec<Breach>,
}

/// Executes one run.
///
/// # Errors
///
/// Returns why the fleet could not be started.
pub async fn run(settings: &SoakSettings) -> Result<SoakReport, String> {
    let fleet = Fleet::start(settings).await;
    let fleet = Rc::new(RefCell::new(fleet.map_err(|error| error.to_string())?));
    let ready = timeout(Duration::from_secs(START_S), all_ready(&fleet)).await;
    ready.map_err(|_| format!("not all nodes are ready after {START_S} s"))?;
    let local = tokio::task::LocalSet::new();
    local.run_until(play(settings, fleet)).await
}

async fn play(settings: &SoakSettings, fleet: Rc<RefCell<Fleet>>) -> Result<SoakReport, String> {
    let mut steps = schedule(settings.seed, settings.vms, settings.seconds * 1000);
    if settings.crashes {
        steps.extend(suspensions(settings.seed, settings.vms, settings.seconds * 1000));
    }
    if settings.rollbacks {
        steps.extend(rollbacks(settings.seed, settings.seconds * 1000));
    }
    if settings.limits {
        steps.extend(limits(settings.seed, settings.vms, settings.seconds * 1000));
    }
    if settings.churn {
        steps.extend(churn(settings.seed, settings.vms, settings.seconds * 1000));
    }
    if settings.fleet_ends {
        steps.extend(fleet_ends(settings.seed, settings.vms, settings.seconds * 1000));
    }
    steps.sort_by_key(|step| step.at_ms);
    let mut report = SoakReport { faults: steps.len(), ..SoakReport::default() };
    let callers = Rc::new(Callers::new(settings));
    let mut load = callers.clone().start(&fleet);
    let longest_stall = Rc::new(Cell::new(Stall::default()));
    let watching = tokio::task::spawn_local(stall::watch(callers.began(), longest_stall.clone()));
    let restarting = tokio::task::spawn_local(restart_exited_nodes(fleet.clone()));
    let deadly = settings.crashes.then(|| tokio::task::spawn_local(deadly::repeat(fleet.clone())));
    let stalled = settings.stalled.then(|| tokio::task::spawn_local(stalled::repeat(fleet.clone())));
    inject(&steps, &fleet, &callers).await;
    if let Some(stalled) = stalled {
        stalled.abort();
    }
    fleet.borrow_mut().end_all_faults();
    if timeout(Duration::from_secs(RECOVERY_S), all_serve(&fleet, callers.version())).await.is_err() {
        let detail = format!("not all nodes are ready and serve the newest version after {RECOVERY_S} s");
        report.breaches.push(Breach { guarantee: "the fleet recovers", subject: "fleet".into(), detail });
    }
    callers.stop();
    while load.join_next().await.is_some() {}
    let length_ms = callers.began().elapsed().as_millis() as u64;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    restarting.abort();
    watching.abort();
    report.longest_stall = longest_stall.get();
    if let Some(deadly) = deadly {
        deadly.abort();
        report.breaches.extend(check_deadly_runs(&deadly::runs(&fleet, callers.began()), &steps));
    }
    let calls = callers.calls();
    report.ends = count_results(&calls);
    // Crashes, suspensions and kills aren't planned work; a store rollback cuts no call.
    let has_kills = settings.crashes || settings.churn || settings.fleet_ends;
    let planned = Kind::of_seed(settings.seed) == Kind::Planned && !has_kills;
    report.breaches.extend(callers.breaches());
    report.breaches.extend(check_calls(&calls, &runs(&fleet), planned));
    report.breaches.extend(check_cuts(&calls, &arrived(&fleet), &disruptions(&fleet, callers.began())));
    report.breaches.extend(upstream_breaches(&fleet));
    report.breaches.extend(limit_breaches(&fleet));
    if settings.accounts {
        let run_starts: Vec<_> = fleet.borrow().vms.iter().flat_map(|vm| vm.upstream.run_starts()).collect();
        report.breaches.extend(check_account_limits(&calls, &arrivals(run_starts, callers.began())));
        report.breaches.extend(check_account_shares(&calls, length_ms));
    }
    for service in [true, false].map(caller::service_of) {
        let peak = retry_peak_of(service, &calls, &fleet, callers.began());
        report.breaches.extend(check_retries(service, peak));
        report.retry_peaks.insert(service, peak);
    }
    Ok(report)
}

/// Counts calls by result.
fn count_results(calls: &[CallRecord]) -> BTreeMap<String, u64> {
    let mut ends = BTreeMap::new();
    for call in calls {
        let end = match &call.outcome {
            CallOutcome::Answer { status, .. } => status.to_string(),
            CallOutcome::Cut => "cut".to_owned(),
            CallOutcome::GivenUp => "given up".to_owned(),
        };
        *ends.entry(end).or_insert(0) += 1;
    }
    ends
}

/// Injects each fault at its time and ends it after its duration.
async fn inject(steps: &[Step], fleet: &Rc<RefCell<Fleet>>, callers: &Rc<Callers>) {
    let began = Instant::now();
    let mut ends = tokio::task::JoinSet::new();
    for step in steps.iter().copied() {
        sleep_until(began + Duration::from_millis(step.at_ms)).await;
        fleet.borrow_mut().begin(step.vm, step.fault);
        let is_configuration = matches!(step.fault, Fault::Configure | Fault::RemoveService);
        if is_configuration {
            fleet.borrow().configure(callers.next_version());
        }
        let upstream = fleet.borrow().vms[step.vm].upstream.clone();
        let late = (step.fault == Fault::LateHeartbeat).then(|| (upstream.id(), upstream.make_heartbeat()));
        let (fleet, callers) = (fleet.clone(), callers.clone());
        ends.spawn_local(async move {
            sleep(Duration::from_millis(step.lasts_ms)).await;
            fleet.borrow_mut().end(step.vm, step.fault);
            if step.fault == Fault::RemoveService {
                fleet.borrow().configure(callers.next_version());
            }
            if let Some((id, heartbeat)) = late {
                // The node may be down.
                let _is_acknowledged = upstream.deliver_as(&id, &heartbeat).await;
            }
            if matches!(step.fault, Fault::RollBack { .. }) {
                // The operator notices the missing configuration after about as long as the store was unavailable.
                sleep(Duration::from_millis(step.lasts_ms)).await;
                fleet.borrow().configure(callers.version());
            }
        });
    }
    while ends.join_next().await.is_some() {}
}

/// Restarts nodes that have exited, as the platform does.
async fn restart_exited_nodes(fleet: Rc<RefCell<Fleet>>) {
    loop {
        sleep(Duration::from_millis(RESTART_CHECK_MS)).await;
        let count = fleet.borrow().vms.len();
        for at in 0..count {
            if let Err(error) = fleet.borrow_mut().restart_if_exited(at) {
                eprintln!("vm-{at} could not be restarted: {error}");
            }
        }
    }
}

async fn all_ready(fleet: &Rc<RefCell<Fleet>>) {
    let addrs: Vec<_> = fleet.borrow().vms.iter().map(|vm| vm.ready_addr).collect();
    for addr in addrs {
        while !Client::new(addr).call("GET", "/api/readiness", &[], "").await.is_ok_and(|reply| reply.status == 200) {
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}

/// Waits until every node is ready and serves calls with the newest configuration.
async fn all_serve(fleet: &Rc<RefCell<Fleet>>, version: u64) {
    all_ready(fleet).await;
    let addrs: Vec<_> = fleet.borrow().vms.iter().map(|vm| vm.caller_addr).collect();
    for addr in addrs {
        let path = format!("/version/{version}/");
        while !caller::is_served(addr, &path).await {
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}

fn runs(fleet: &Rc<RefCell<Fleet>>) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for vm in &fleet.borrow().vms {
        for (id, count) in vm.upstream.runs() {
            *runs.entry(id).or_insert(0) += count;
        }
    }
    runs.retain(|id, _| !is_auxiliary(id));
    runs
}

/// Returns the ids of all requests that arrived at an upstream.
fn arrived(fleet: &Rc<RefCell<Fleet>>) -> BTreeSet<String> {
    let fleet = fleet.borrow();
    fleet.vms.iter().flat_map(|vm| vm.upstream.arrivals()).map(|(_, id)| id).collect()
}

/// Returns the times in which processes of nodes were killed or stopped from outside.
fn disruptions(fleet: &Rc<RefCell<Fleet>>, began: Instant) -> Vec<Disruption> {
    let since_ms = |at: Instant| at.saturating_duration_since(began).as_millis() as u64;
    let fleet = fleet.borrow();
    let of_vm = |(vm, node): (usize, &Vm)| {
        let times: Vec<_> = node.disruptions().collect();
        times.into_iter().map(move |(from, to)| Disruption { vm, from_ms: since_ms(from), to_ms: since_ms(to) })
    };
    fleet.vms.iter().enumerate().flat_map(of_vm).collect()
}

/// Returns whether a request id belongs to a request other than the callers' calls.
fn is_auxiliary(id: &str) -> bool {
    id.starts_with(caller::VERSION_CHECK_PREFIX) || id.starts_with(deadly::DEADLY_PREFIX)
}

/// Converts times of requests to times relative to the start of the run.
fn arrivals(times: impl IntoIterator<Item = (std::time::Instant, String)>, began: Instant) -> Vec<Arrival> {
    let at_ms = |at: std::time::Instant| at.saturating_duration_since(began.into_std()).as_millis() as u64;
    times.into_iter().map(|(at, id)| Arrival { at_ms: at_ms(at), id }).collect()
}

fn retry_peak_of(service: &str, calls: &[CallRecord], fleet: &Rc<RefCell<Fleet>>, began: Instant) -> RetryPeak {
    let fleet = fleet.borrow();
    let of_service = fleet.vms.iter().filter(|vm| vm.service == service);
    let mut arrivals = arrivals(of_service.flat_map(|vm| vm.upstream.arrivals()), began);
    arrivals.retain(|arrival| !is_auxiliary(&arrival.id));
    let of_service = calls.iter().filter(|call| caller::service_of(call.repeatable) == service);
    let began_ms: Vec<u64> = of_service.map(|call| call.began_ms).collect();
    retry_peak(arrivals, &began_ms, RETRY_GUARANTEE)
}

fn limit_breaches(fleet: &Rc<RefCell<Fleet>>) -> Vec<Breach> {
    let fleet = fleet.borrow();
    let breaches = fleet.vms.iter().filter_map(|vm| Some((vm, vm.upstream.limit_breach()?)));
    breaches
        .map(|(vm, breach)| Breach {
            guarantee: "an upstream receives no more than its rate limit",
            subject: vm.name.clone(),
            detail: format!("{breach:?}"),
        })
        .collect()
}

/// Returns the breaches that upstreams counted by themselves.
fn upstream_breaches(fleet: &Rc<RefCell<Fleet>>) -> Vec<Breach> {
    let fleet = fleet.borrow();
    let counts = fleet.vms.iter().flat_map(|vm| {
        let (late, leaked) = (vm.upstream.late_arrivals(), vm.upstream.secrets_seen());
        [
            (vm, late, "a draining upstream receives no new work", "arrivals after the drain timeout"),
            (vm, leaked, "no key reaches an upstream", "requests with a key"),
        ]
    });
    let breach = |(vm, count, guarantee, what): (&Vm, u64, &'static str, &str)| {
        (count > 0).then(|| Breach { guarantee, subject: vm.name.clone(), detail: format!("{count} {what}") })
    };
    counts.filter_map(breach).collect()
}
