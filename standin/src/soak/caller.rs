//! Callers of a soak: each one makes calls on its own connection until it is stopped.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::SoakSettings;
use super::account::Account;
use super::fleet::Fleet;
use super::judge::{Breach, CallOutcome, CallRecord, Versions};
use super::pipeline::{check_order, send_at_once};
use crate::client::{Client, Reply};

/// Number of callers of each VM.
const CALLERS: usize = 3;
/// Shortest and longest pause between two calls of one caller.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 10..=60;
/// Deadline of a call.
const DEADLINE_MS: u64 = 1_000;
/// Time after the deadline at which a caller gives up.
const SLACK_MS: u64 = 600;
/// Shortest and longest series of requests that are sent at once.
const PIPELINED: std::ops::RangeInclusive<usize> = 2..=8;
/// Pause between two such series, as a multiple of the pause between two calls.
const PIPELINED_PAUSES: u64 = 3;
/// Prefix of the ids of version checks, which aren't counted as calls.
pub(super) const VERSION_CHECK_PREFIX: &str = "question-";

/// All callers of a run with their observations.
pub(super) struct Callers {
    seed: u64,
    /// Whether calls have the key of an account.
    accounts: bool,
    /// Whether the last caller of each VM sends several requests at once.
    pipelined: bool,
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
    pub(super) fn new(settings: &SoakSettings) -> Self {
        let version = Cell::new(1);
        Self {
            seed: settings.seed,
            accounts: settings.accounts,
            pipelined: settings.pipelined,
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
                if self.pipelined && caller == CALLERS - 1 {
                    load.spawn_local(self.clone().pipeline_on(vm, caller, addr));
                } else {
                    load.spawn_local(self.clone().call_on(vm, caller, addr));
                }
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
        let mut rng = self.rng(vm, caller);
        let account = self.account_of(vm, caller);
        let client = Client::new(addr);
        for number in 0.. {
            if self.stopped.get() {
                return;
            }
            let id = format!("call-{vm}-{caller}-{number}");
            let repeatable = rng.bool();
            let began_ms = self.began.elapsed().as_millis() as u64;
            let answer = call(&client, &id, repeatable, account);
            let outcome = match timeout(Duration::from_millis(DEADLINE_MS + SLACK_MS), answer).await {
                Ok(Ok(reply)) => CallOutcome::Answer { status: reply.status, own: is_own(&reply, &id, &body_of(&id)) },
                Ok(Err(_)) => CallOutcome::Cut,
                Err(_) => CallOutcome::GivenUp,
            };
            self.calls.borrow_mut().push(CallRecord {
                id,
                vm,
                began_ms,
                ended_ms: self.began.elapsed().as_millis() as u64,
                repeatable,
                account,
                pipelined: false,
                outcome,
            });
            sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
        }
    }

    fn rng(&self, vm: usize, caller: usize) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed ^ ((vm * CALLERS + caller) as u64 + 1) << 32)
    }

    fn account_of(&self, vm: usize, caller: usize) -> Option<&'static Account> {
        self.accounts.then(|| Account::of_caller(vm, caller))
    }

    /// Sends several requests at once, again and again.
    async fn pipeline_on(self: Rc<Self>, vm: usize, caller: usize, addr: SocketAddr) {
        let mut rng = self.rng(vm, caller);
        let account = self.account_of(vm, caller);
        for series in 0.. {
            if self.stopped.get() {
                return;
            }
            let began_ms = self.began.elapsed().as_millis() as u64;
            let requests = 0..rng.usize(PIPELINED);
            let requests = requests.map(|number| (format!("call-{vm}-{caller}-{series}-{number}"), rng.u32(..4) > 0));
            let requests: Vec<(String, bool)> = requests.collect();
            let texts: String =
                requests.iter().map(|(id, repeatable)| request_text(id, *repeatable, account)).collect();
            let limit = Duration::from_millis(DEADLINE_MS + SLACK_MS);
            let (replies, rest) = send_at_once(addr, &texts, requests.len(), limit).await;
            let ended_ms = self.began.elapsed().as_millis() as u64;
            for (at, (id, repeatable)) in requests.into_iter().enumerate() {
                let outcome = replies.get(at).map_or(rest.clone(), |reply| {
                    self.breaches.borrow_mut().extend(check_order(&id, reply));
                    // A request without a body is answered with its query.
                    let body = if repeatable { id.clone() } else { body_of(&id) };
                    CallOutcome::Answer { status: reply.status, own: is_own(reply, &id, &body) }
                });
                self.calls.borrow_mut().push(CallRecord {
                    id,
                    vm,
                    began_ms,
                    ended_ms,
                    repeatable,
                    account,
                    pipelined: true,
                    outcome,
                });
            }
            sleep(Duration::from_millis(rng.u64(PAUSE_MS) * PIPELINED_PAUSES)).await;
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

/// Returns one of several requests that are sent at once; nodes may start those without a body ahead of their turn.
fn request_text(id: &str, repeatable: bool, account: Option<&Account>) -> String {
    let (method, path) = method_and_path(repeatable);
    let key = account.map(|account| format!("authorization: {}\r\n", account.authorization())).unwrap_or_default();
    let head = format!("host: farm.example\r\nx-request-id: {id}\r\nx-deadline-milliseconds: {DEADLINE_MS}\r\n{key}");
    if repeatable {
        return format!("{method} {path}?{id} HTTP/1.1\r\n{head}\r\n");
    }
    let body = body_of(id);
    format!("{method} {path} HTTP/1.1\r\n{head}content-length: {}\r\n\r\n{body}", body.len())
}

const fn method_and_path(repeatable: bool) -> (&'static str, &'static str) {
    if repeatable { ("GET", "/sheet/") } else { ("POST", "/pickup/") }
}

async fn call(client: &Client, id: &str, repeatable: bool, account: Option<&Account>) -> Result<Reply, String> {
    let (method, path) = method_and_path(repeatable);
    let deadline = DEADLINE_MS.to_string();
    let mut headers = vec![("host", "farm.example"), ("x-request-id", id), ("x-deadline-milliseconds", &deadline)];
    let authorization = account.map(Account::authorization);
    headers.extend(authorization.iter().map(|value| ("authorization", value.as_str())));
    client.call(method, path, &headers, body_of(id)).await
}

fn body_of(id: &str) -> String {
    format!("body of {id}")
}

fn is_own(reply: &Reply, id: &str, body: &str) -> bool {
    reply.header("x-request-id") == id && !reply.header("x-server-stamp").is_empty() && reply.body == body
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
