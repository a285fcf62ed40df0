//! The fleet of a soak: real nodes as processes, each with its upstream and the paths to the store and the upstream.

use std::fs::File;
use std::net::SocketAddr;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::Instant;
use valetrack::placement::RetryGuarantee;

use super::SoakSettings;
use super::account::{ACCOUNTS, Account, KEY_MARK};
use super::path::Path;
use super::schedule::{Fault, PathFault};
use super::stalled::MEMORY_MB;
use crate::managed::node::NodeCommand;
use crate::managed::server::{ManagedServer, Spoil};
use crate::managed::store::{ManagedStore, Mode};
use crate::relay::{self, Cuts};

/// Slots of each upstream.
const SLOTS: usize = 6;
/// Time for which a draining node still accepts calls after SIGTERM.
const LINGER_MS: &str = "600";
/// Length of a suspension as the node finds it on resumption: longer than the lifetime of leases, links and
/// reports.
const SUSPENSION_MS: &str = "8000";
/// Time within which a node exits after SIGTERM.
const GRACE_S: &str = "4";
/// Number of ports of one VM.
const PORTS: u16 = 8;
/// First port of a fleet.
const FIRST_PORT: u16 = 11_000;

/// The fleet's retry budget: the ratio that the platform's sites require, with a window so short that a short run
/// contains two, and a reserve that is small compared with the ratio's share of a window.
pub(super) const RETRY_GUARANTEE: RetryGuarantee = RetryGuarantee { percent: 20, reserve: 20, window_us: 5_000_000 };
/// Region of each failure domain, for fleets over two regions.
const REGIONS: &str = "kranj=west,loka=east";
/// Number of nested calls to the second service in each run of the first one.
const NESTED_CALLS: usize = 2;

/// Returns the configuration of a version, with client accounts on request; it has a route for the version that is
/// served only while it is in force. Without the service `ledger`, its routes lead to `rounds`.
fn configuration(version: u64, with_accounts: bool, without_ledger: bool) -> String {
    let ledger = if without_ledger { "rounds" } else { "ledger" };
    let route = |name: &str, prefix: String, repeat: &str, service: &str| {
        json!({
            "name": name, "host": "farm.example", "path_prefix": prefix, "repeat": repeat, "timeout_ms": 1_500,
            "objective_ms": 400, "priority": 1, "attempts_max": 2, "service": service,
        })
    };
    let service = |name: &str| json!({ "name": name, "health_path": "/health", "connections_max": 220 });
    let mut configuration = json!({
        "version": version,
        "routes": [
            route("sheet", "/sheet/".into(), "safe", "rounds"),
            route("pickup", "/pickup/".into(), "non_idempotent", ledger),
            route("check", "/check/".into(), "safe", ledger),
            route("version", format!("/version/{version}/"), "safe", "rounds"),
        ],
        "services": [service("rounds")],
    });
    if !without_ledger {
        configuration["services"].as_array_mut().into_iter().for_each(|services| services.push(service(ledger)));
    }
    if with_accounts {
        configuration["accounts"] = ACCOUNTS.iter().map(Account::to_json).collect();
        // Version checks belong to no account, so that they use no credits.
        configuration["routes"][3]["anonymous"] = true.into();
    }
    configuration.to_string()
}

/// Returns a loopback host that no other fleet uses, in this process or in another one.
fn own_host() -> [u8; 4] {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    let process = std::process::id();
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed) % 250;
    // Other tests use the hosts that end in 1.
    [127, 1 + (process >> 8) as u8 % 254, process as u8, 2 + fleet]
}

/// One VM with its node, its upstream and the switches of its faults.
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Address of the node's caller listener.
    pub caller_addr: SocketAddr,
    /// Address of the node's readiness endpoint.
    pub ready_addr: SocketAddr,
    /// The upstream of the VM.
    pub upstream: Arc<ManagedServer>,
    /// Service of the upstream.
    pub service: &'static str,
    control_addr: SocketAddr,
    link_addr: SocketAddr,
    advertise_addr: SocketAddr,
    store_path_addr: SocketAddr,
    upstream_path_addr: SocketAddr,
    store_path: Path,
    upstream_path: Path,
    cuts: Arc<Cuts>,
    node: Option<Child>,
    /// Times in which the node's process was killed or stopped from outside; none as the end of one that lasts.
    disruptions: Vec<(Instant, Option<Instant>)>,
    /// Number of incarnations of the node so far.
    pub incarnations: u64,
}

/// Real nodes with the stand-ins of their surroundings; all nodes are killed on drop.
pub struct Fleet {
    /// The store.
    pub store: ManagedStore,
    /// The VMs.
    pub vms: Vec<Vm>,
    store_addr: SocketAddr,
    /// Loopback host that only this fleet uses.
    host: [u8; 4],
    /// Whether the configuration lacks a service.
    is_service_removed: bool,
    /// Settings of the run.
    pub settings: SoakSettings,
}

impl Fleet {
    /// Starts VMs of two services over two failure domains.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound, the folder can't be created or the program can't be started.
    pub async fn start(settings: &SoakSettings) -> std::io::Result<Self> {
        std::fs::create_dir_all(&settings.logs)?;
        let store = ManagedStore::default();
        let store_addr = store.start().await?;
        let (host, settings) = (own_host(), settings.clone());
        let mut fleet = Self { store, vms: Vec::new(), store_addr, host, is_service_removed: false, settings };
        fleet.configure(1);
        for at in 0..fleet.settings.vms {
            let vm = fleet.make_vm(at).await?;
            fleet.vms.push(vm);
            fleet.start_node(at)?;
        }
        Ok(fleet)
    }

    /// Writes the configuration of a version to the store.
    pub fn configure(&self, version: u64) {
        let configuration = configuration(version, self.settings.accounts, self.is_service_removed);
        self.store.put("op/config", &configuration);
    }

    async fn make_vm(&self, at: usize) -> std::io::Result<Vm> {
        let addr = |port: u16| SocketAddr::from((self.host, FIRST_PORT + at as u16 * PORTS + port));
        let service = ["rounds", "ledger"][at / 2 % 2];
        let control_addr = addr(0);
        let cuts = Arc::new(Cuts::default());
        let vm = Vm {
            name: format!("vm-{at}"),
            caller_addr: addr(1),
            ready_addr: addr(2),
            upstream: ManagedServer::start(&format!("i-{at}"), service, addr(3), SLOTS, control_addr).await?,
            service,
            control_addr,
            link_addr: addr(4),
            advertise_addr: relay::start(addr(4), cuts.clone()).await?,
            store_path_addr: addr(5),
            upstream_path_addr: addr(6),
            store_path: Path::default(),
            upstream_path: Path::default(),
            cuts,
            node: None,
            disruptions: Vec::new(),
            incarnations: 0,
        };
        vm.store_path.start(vm.store_path_addr, self.store_addr).await?;
        vm.upstream_path.start(vm.upstream_path_addr, vm.upstream.addr).await?;
        vm.upstream.set_secret(KEY_MARK);
        // While the configuration lacks the other service, the nested calls would lead to the service that makes them.
        if service == "rounds" && !self.settings.churn {
            vm.upstream.set_calls(vm.caller_addr, "/check/", NESTED_CALLS);
        }
        Ok(vm)
    }

    /// Starts the node of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_node(&mut self, at: usize) -> std::io::Result<()> {
        let vm = &mut self.vms[at];
        let line = NodeCommand {
            vm: &vm.name,
            at,
            service: vm.service,
            upstream_addr: vm.upstream_path_addr,
            caller_addr: vm.caller_addr,
            ready_addr: vm.ready_addr,
            control_addr: vm.control_addr,
            link_addr: vm.link_addr,
            store_addr: vm.store_path_addr,
        };
        let mut further = vec![
            ("link-advertise", vm.advertise_addr.to_string()),
            ("test-suspension-ms", SUSPENSION_MS.to_owned()),
            ("linger-ms", LINGER_MS.to_owned()),
            ("stop-grace-s", GRACE_S.to_owned()),
            ("retry-ratio", (f64::from(RETRY_GUARANTEE.percent) / 100.0).to_string()),
            ("retry-reserve", RETRY_GUARANTEE.reserve.to_string()),
            ("retry-window-s", (RETRY_GUARANTEE.window_us as f64 / 1_000_000.0).to_string()),
        ];
        if self.settings.regions {
            further.push(("regions", REGIONS.to_owned()));
        }
        if self.settings.stalled {
            further.push(("memory-mb", MEMORY_MB.to_string()));
        }
        let log =
            File::options().create(true).append(true).open(self.settings.logs.join(format!("{}.log", vm.name)))?;
        let errors = log.try_clone()?;
        vm.node = Some(line.command(&self.settings.program, further).stdout(log).stderr(errors).spawn()?);
        vm.incarnations += 1;
        Ok(())
    }

    /// Starts the node of a VM again if it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn restart_if_exited(&mut self, at: usize) -> std::io::Result<()> {
        let ended = self.vms[at].node.as_mut().is_none_or(|node| matches!(node.try_wait(), Ok(Some(_))));
        if ended { self.start_node(at) } else { Ok(()) }
    }

    /// Begins a fault.
    pub fn begin(&mut self, at: usize, fault: Fault) {
        let vm = &mut self.vms[at];
        match fault {
            Fault::Term => vm.signal(Signal::TERM),
            Fault::Hangup => vm.signal(Signal::HUP),
            Fault::Pause | Fault::Suspend => {
                vm.disruptions.push((Instant::now(), None));
                vm.signal(Signal::STOP);
            }
            Fault::Kill => vm.kill(),
            Fault::StorePath(fault) => vm.store_path.set(Some(fault)),
            Fault::UpstreamPath(fault) => vm.upstream_path.set(Some(fault)),
            Fault::Links { inbound, outbound } => vm.cuts.set(inbound, outbound),
            Fault::Spoil(spoil) => self.spoil(at, spoil),
            Fault::Drain => vm.upstream.drain(),
            Fault::Leave => vm.upstream.leave_by_answer(),
            Fault::Limit { milli_per_s } => {
                let text = (f64::from(milli_per_s) / 1_000.0).to_string();
                vm.upstream.set_limit(Some(&text));
            }
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::RollBack { .. } => self.store.set_mode(Mode::Refusing),
            Fault::Revoke => self.store.revoke("valetrack/"),
            Fault::Lapse => self.store.expire_leases(),
            Fault::Compact => self.store.compact(),
            Fault::RemoveService => self.is_service_removed = true,
            Fault::LyingHealth => vm.upstream.set_health_lies(),
            Fault::EndAll { by_signal: true } => self.vms.iter_mut().for_each(|vm| vm.signal(Signal::TERM)),
            Fault::EndAll { by_signal: false } => self.vms.iter_mut().for_each(Vm::kill),
            Fault::StepClock { ahead_ms } => vm.upstream.set_clock(ahead_ms),
            Fault::Deregister => {
                let upstream = vm.upstream.clone();
                tokio::task::spawn_local(async move { upstream.deregister().await });
            }
            // The caller of this function writes the configuration, since it counts the versions, and delivers the
            // heartbeat at the end of the fault.
            Fault::Configure | Fault::LateHeartbeat => {}
        }
    }

    /// Ends a fault.
    pub fn end(&mut self, at: usize, fault: Fault) {
        let vm = &mut self.vms[at];
        match fault {
            Fault::Pause => vm.resume(),
            Fault::Suspend => {
                vm.signal(Signal::USR2);
                vm.resume();
            }
            Fault::StorePath(_) => vm.store_path.set(None),
            Fault::UpstreamPath(_) => vm.upstream_path.set(None),
            Fault::Links { .. } => vm.cuts.set(false, false),
            Fault::Spoil(_) => self.spoil(at, Spoil::Nothing),
            Fault::Drain | Fault::Leave | Fault::Deregister => vm.upstream.restart_with_new_id(),
            Fault::RemoveService => self.is_service_removed = false,
            Fault::Limit { .. } => vm.upstream.set_limit(None),
            Fault::StepClock { .. } => vm.upstream.set_clock(0),
            Fault::Store(_) => self.store.set_mode(Mode::Up),
            Fault::RollBack { changes } => {
                self.store.roll_back(changes);
                self.store.set_mode(Mode::Up);
            }
            Fault::Term
            | Fault::Hangup
            | Fault::Kill
            | Fault::Revoke
            | Fault::Lapse
            | Fault::Compact
            | Fault::Configure
            | Fault::LyingHealth
            | Fault::EndAll { .. }
            | Fault::LateHeartbeat => {}
        }
    }

    /// Spoils the answers of all upstreams of a VM's service.
    fn spoil(&self, at: usize, spoil: Spoil) {
        let service = self.vms[at].service;
        self.vms.iter().filter(|vm| vm.service == service).for_each(|vm| vm.upstream.set_spoil(spoil));
    }

    /// Ends all faults.
    pub fn end_all_faults(&mut self) {
        for at in 0..self.vms.len() {
            self.end(at, Fault::Pause);
            self.end(at, Fault::StorePath(PathFault::Reset));
            self.end(at, Fault::UpstreamPath(PathFault::Reset));
            self.end(at, Fault::Links { inbound: false, outbound: false });
            self.end(at, Fault::Spoil(Spoil::Nothing));
            self.end(at, Fault::Limit { milli_per_s: 0 });
            if self.vms[at].upstream.is_draining() || self.vms[at].upstream.is_leaving() {
                self.end(at, Fault::Drain);
            }
        }
        self.store.set_mode(Mode::Up);
    }
}

impl Vm {
    /// Sends a signal by a system call. Waiting for a process that sends it would stall all stand-ins and callers, which
    /// run on the same thread, by up to seconds on a busy machine.
    fn signal(&mut self, signal: Signal) {
        let Some(node) = &mut self.node else {
            return;
        };
        // After `try_wait` has reaped the process, its id may belong to another one.
        if matches!(node.try_wait(), Ok(None)) {
            // The process may exit right now; then there is nothing to signal.
            let _ = kill_process(Pid::from_child(node), signal);
        }
    }

    /// Continues the process, and ends all of its disruptions.
    fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.disruptions.iter_mut().for_each(|(_, to)| _ = to.get_or_insert_with(Instant::now));
    }

    /// Returns the times in which the node's process was killed or stopped from outside.
    pub fn disruptions(&self) -> impl Iterator<Item = (Instant, Instant)> {
        self.disruptions.iter().map(|(from, to)| (*from, to.unwrap_or_else(Instant::now)))
    }

    fn kill(&mut self) {
        let now = Instant::now();
        self.disruptions.push((now, Some(now)));
        if let Some(node) = &mut self.node {
            // Fails if the node has already exited.
            let _ = node.kill();
            let _ = node.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.iter_mut().for_each(Vm::kill);
    }
}
