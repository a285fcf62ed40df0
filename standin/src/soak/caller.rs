//! Callers of a soak: each one makes calls on its own connection until it is stopped.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::fleet::Fleet;
use super::judge::{Breach, CallOutcome, CallRecord, Versions};
use crate::client::{Client, Reply};

/// Number of callers of each VM.
const CALLERS: usize = 3;
/// Shortest and longest pause between two calls of one caller.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 10..=60;
/// Deadline of a call.
const DEADLINE_MS: u64 = 1_000;
/// Time after the deadline at which a caller gives up.
const SLACK_MS: u64 = 600;
/// Prefix of the ids of version checks, which aren't counted as calls.
pub(super) const VERSION_CHECK_PREFIX: &str = "question-";

/// All callers of a run with their observations.
pub(super) struct Callers {
    seed: u64,
    /// Start of the run.
    began: Instant,
    stopped: Cell<bool>,
    /// Newest configuration version that was written.
    version: Cell<u64>,
    calls: RefCell<Vec<CallRecord>>,
    breaches: RefCell<Vec<Breach>>,
}

impl Callers {
    /// Creates the callers without starting them; the configuration has version 1.
    pub(super) fn new(seed: u64) -> Self {
        let version = Cell::new(1);
        Self {
            seed,
            began: Instant::now(),
            stopped: Cell::new(false),
            version,
            calls: RefCell::default(),
            breaches: RefCell::default(),
        }
    }

    /// Starts all callers.
    pub(super) fn start(self: Rc<Self>, fleet: &Rc<RefCell<Fleet>>) -> JoinSet<()> {
        let mut load = JoinSet::new();
        let addrs: Vec<_> = fleet.borrow().vms.iter().map(|vm| vm.caller_addr).collect();
        for (vm, addr) in addrs.into_iter().enumerate() {
            for caller in 0..CALLERS {
                load.spawn_local(self.clone().call_on(vm, caller, addr));
            }
            load.spawn_local(self.clone().watch_versions(vm, addr, fleet.clone()));
        }
        load
    }

    /// Stops each caller after its current call.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Returns the newest configuration version that was written.
    pub(super) fn version(&self) -> u64 {
        self.version.get()
    }

    /// Advances to the next configuration version and returns it.
    pub(super) fn next_version(&self) -> u64 {
        // Version numbers need not be consecutive.
        self.version.set(self.version.get() + 1 + self.version.get() % 2);
        self.version.get()
    }

    /// Returns the start of the run.
    pub(super) fn began(&self) -> Instant {
        self.began
    }

    /// Returns all calls with their results.
    pub(super) fn calls(&self) -> Vec<CallRecord> {
        self.calls.borrow().clone()
    }

    /// Returns the breaches that were observed during the load.
    pub(super) fn breaches(&self) -> Vec<Breach> {
        self.breaches.borrow().clone()
    }

    async fn call_on(self: Rc<Self>, vm: usize, caller: usize, addr: SocketAddr) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ ((vm * CALLERS + caller) as u64 + 1) << 32);
        let client = Client::new(addr);
        for number in 0.. {
            if self.stopped.get() {
                return;
            }
            let id = format!("call-{vm}-{caller}-{number}");
            let repeatable = rng.bool();
            let began_ms = self.began.elapsed().as_millis() as u64;
            let answer = call(&client, &id, repeatable);
            let outcome = match timeout(Duration::from_millis(DEADLINE_MS + SLACK_MS), answer).await {
                Ok(Ok(reply)) => CallOutcome::Answer { status: reply.status, own: is_own(&reply, &id) },
                Ok(Err(_)) => CallOutcome::Cut,
                Err(_) => CallOutcome::GivenUp,
            };
            self.calls.borrow_mut().push(CallRecord { id, began_ms, repeatable, outcome });
            sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
        }
    }

    /// Checks repeatedly whether a node serves the newest configuration version and the one before it.
    async fn watch_versions(self: Rc<Self>, vm: usize, addr: SocketAddr, fleet: Rc<RefCell<Fleet>>) {
        let mut versions = Versions::default();
        let mut incarnations = 0;
        let mut before = 1;
        while !self.stopped.get() {
            let newest = self.version();
            for version in [newest, before] {
                let (name, incarnation) = {
                    let fleet = fleet.borrow();
                    (fleet.vms[vm].name.clone(), fleet.vms[vm].incarnations)
                };
                if incarnation != incarnations {
                    incarnations = incarnation;
                    versions = Versions::default();
                }
                let served = is_served(addr, &format!("/version/{version}/")).await;
                // The node restarted meanwhile: the answer may come from its next incarnation.
                if fleet.borrow().vms[vm].incarnations == incarnation {
                    self.breaches.borrow_mut().extend(versions.record(&name, version, served));
                }
            }
            before = newest;
            sleep(Duration::from_millis(*PAUSE_MS.end())).await;
        }
    }
}

/// Returns the service that a call is routed to.
pub(super) const fn service_of(repeatable: bool) -> &'static str {
    if repeatable { "rounds" } else { "ledger" }
}

async fn call(client: &Client, id: &str, repeatable: bool) -> Result<Reply, String> {
    let (method, path) = if repeatable { ("GET", "/sheet/") } else { ("POST", "/pickup/") };
    let deadline = DEADLINE_MS.to_string();
    let headers = [("host", "farm.example"), ("x-request-id", id), ("x-deadline-milliseconds", &deadline)];
    client.call(method, path, &headers, body_of(id)).await
}

fn body_of(id: &str) -> String {
    format!("body of {id}")
}

fn is_own(reply: &Reply, id: &str) -> bool {
    reply.header("x-request-id") == id && !reply.header("x-server-stamp").is_empty() && reply.body == body_of(id)
}

/// Requests a path from a node on a new connection and returns whether the answer was 200.
pub(super) async fn is_served(addr: SocketAddr, path: &str) -> bool {
    let id = format!("{VERSION_CHECK_PREFIX}{path}");
    let deadline = DEADLINE_MS.to_string();
    let headers = [("host", "farm.example"), ("x-request-id", id.as_str()), ("x-deadline-milliseconds", &deadline)];
    let client = Client::new(addr);
    let answer = client.call("GET", path, &headers, "");
    let reply = timeout(Duration::from_millis(DEADLINE_MS + SLACK_MS), answer).await;
    matches!(reply, Ok(Ok(reply)) if reply.status == 200)
}
