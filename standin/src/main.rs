//! Starts one of the stand-ins or tools.

use std::net::SocketAddr;
use std::process::ExitCode;

use lexopt::prelude::*;
use standin::load::LoadSettings;
use standin::server::ServerSettings;
use standin::soak::{self, SoakSettings};
use standin::{bench, crash, list, load, overload, rate_limit, rollback, server, slope, store};

#[global_allocator]
static ALLOCATOR: slope::CountingAllocator = slope::CountingAllocator;

const HELP: &str = "standin: stand-ins of the platform and of servers, and the load tool

standin store  --listen IP:PORT
standin list   --listen IP:PORT
standin server --listen IP:PORT [--slots N] [--service-us N] [--jitter-percent N] [--connect-us N]
               [--noise-every-ms N] [--seed N]
standin load   --door IP:PORT... [--direct] [--service NAME] [--rate CALLS_PER_S] [--seconds N]
               [--keyed-percent N] [--path PATH] [--seed N] [--plot FILE.svg] [--json] [--name TEXT]
standin bench  [--seconds N] [--seed N] [--plot FILE.svg] [--only TEXT] [--policy TEXT]
standin overload [--seconds N] [--seed N] [--only TEXT]
standin slope
standin crash
standin rate-limit
standin rollback
standin soak   [--seed N] [--seeds N] [--seconds N] [--vms N] [--program FILE] [--logs DIR] [--crashes] [--rollbacks] [--limits]
               [--accounts] [--pipelined] [--regions] [--churn] [--fleet-ends] [--stalled]
";

/// Flags of `soak` without a value.
const SOAK_SWITCHES: [&str; 9] =
    ["crashes", "rollbacks", "limits", "accounts", "pipelined", "regions", "churn", "fleet-ends", "stalled"];

#[derive(Default)]
struct Args {
    words: Vec<String>,
    flags: Vec<(String, String)>,
}

impl Args {
    fn parse() -> Result<Self, lexopt::Error> {
        let mut args = Self::default();
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next()? {
            match arg {
                Value(word) => args.words.push(word.string()?),
                Long(name @ ("json" | "direct" | "help")) => args.flags.push((name.to_owned(), "1".into())),
                Long(name) if SOAK_SWITCHES.contains(&name) => args.flags.push((name.to_owned(), "1".into())),
                Long(name) => {
                    let name = name.to_owned();
                    args.flags.push((name, parser.value()?.string()?));
                }
                Short(_) => return Err(arg.unexpected()),
            }
        }
        Ok(args)
    }

    fn get(&self, flag: &str) -> Option<&str> {
        self.flags.iter().rev().find(|(name, _)| name == flag).map(|(_, value)| value.as_str())
    }

    fn number(&self, flag: &str, default: u64) -> Result<u64, String> {
        match self.get(flag) {
            Some(text) => text.parse().map_err(|_| format!("--{flag} must be a whole number")),
            None => Ok(default),
        }
    }

    fn addr(&self, flag: &str) -> Result<SocketAddr, String> {
        let text = self.get(flag).ok_or(format!("--{flag} is missing"))?;
        text.parse().map_err(|_| format!("--{flag} must be IP:PORT"))
    }

    fn caller_addrs(&self) -> Result<Vec<SocketAddr>, String> {
        let caller_addrs = self.flags.iter().filter(|(name, _)| name == "door");
        caller_addrs.map(|(_, text)| text.parse().map_err(|_| "--door must be IP:PORT".to_owned())).collect()
    }
}

fn main() -> ExitCode {
    let result = Args::parse().map_err(|error| error.to_string()).and_then(|args| run(&args));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{text}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let runtime = new_runtime()?;
    let io = |result: std::io::Result<()>| result.map_err(|error| error.to_string());
    match args.words.first().map(String::as_str) {
        Some("store") => io(runtime.block_on(store::run(args.addr("listen")?))),
        Some("list") => io(runtime.block_on(list::run(args.addr("listen")?))),
        Some("server") => io(runtime.block_on(server::run(server_settings(args)?))),
        Some("load") => runtime.block_on(load::run(load_settings(args)?)),
        Some("slope") => {
            slope::run();
            Ok(())
        }
        Some("bench") => bench::run(&bench::BenchSettings {
            seconds: args.number("seconds", 10)?,
            seed: args.number("seed", 7)?,
            plot: args.get("plot").map(Into::into),
            only: args.get("only").unwrap_or("").to_owned(),
            policy: args.get("policy").unwrap_or("").to_owned(),
        }),
        Some("overload") => {
            overload::print(args.number("seconds", 14)?, args.number("seed", 7)?, args.get("only").unwrap_or(""));
            Ok(())
        }
        Some("rate-limit") => {
            rate_limit::compare();
            Ok(())
        }
        Some("crash") => {
            crash::compare();
            Ok(())
        }
        Some("rollback") => {
            rollback::compare();
            Ok(())
        }
        Some("soak") => run_soak(args),
        _ => Err("a command is missing".into()),
    }
}

fn new_runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())
}

/// Runs one seed after another, each with a fleet of its own.
fn run_soak(args: &Args) -> Result<(), String> {
    let first = args.number("seed", 1)?;
    let mut broken = 0;
    for seed in first..first + args.number("seeds", 1)? {
        let settings = SoakSettings {
            seed,
            seconds: args.number("seconds", 15)?,
            vms: args.number("vms", 8)? as usize,
            program: args.get("program").unwrap_or("target/release/valetrack").into(),
            crashes: args.get("crashes").is_some(),
            rollbacks: args.get("rollbacks").is_some(),
            limits: args.get("limits").is_some(),
            accounts: args.get("accounts").is_some(),
            pipelined: args.get("pipelined").is_some(),
            regions: args.get("regions").is_some(),
            churn: args.get("churn").is_some(),
            fleet_ends: args.get("fleet-ends").is_some(),
            stalled: args.get("stalled").is_some(),
            logs: std::path::Path::new(args.get("logs").unwrap_or("target/soak")).join(seed.to_string()),
        };
        // Dropping the runtime ends the stand-ins of the seed and frees their ports.
        let report = new_runtime()?.block_on(soak::run(&settings))?;
        println!("seed={seed} faults={} breaches={} ends={:?}", report.faults, report.breaches.len(), report.ends);
        println!("  seed={seed} longest_stall={:?}", report.longest_stall);
        for (service, peak) in &report.retry_peaks {
            println!("  seed={seed} service={service} retry_budget_used_percent={} {peak:?}", peak.used_percent());
        }
        report.breaches.iter().for_each(|breach| println!("  seed={seed} {breach}"));
        broken += report.breaches.len();
    }
    if broken == 0 { Ok(()) } else { Err(format!("{broken} guarantees broken; see the nodes' log files")) }
}

fn server_settings(args: &Args) -> Result<ServerSettings, String> {
    Ok(ServerSettings {
        addr: args.addr("listen")?,
        slots: args.number("slots", 12)? as usize,
        service_us: args.number("service-us", 2_000)?,
        jitter_percent: args.number("jitter-percent", 50)?.min(100),
        connect_us: args.number("connect-us", 1_000)?,
        noise_every_ms: args.number("noise-every-ms", 0)?,
        seed: args.number("seed", 1)?,
    })
}

fn load_settings(args: &Args) -> Result<LoadSettings, String> {
    Ok(LoadSettings {
        caller_addrs: args.caller_addrs()?,
        direct: args.get("direct").is_some(),
        service: args.get("service").unwrap_or("intake").to_owned(),
        path: args.get("path").unwrap_or("/sheet").to_owned(),
        rate_per_s: args.number("rate", 300)?,
        seconds: args.number("seconds", 10)?,
        keyed_percent: args.number("keyed-percent", 0)?.min(100),
        seed: args.number("seed", 1)?,
        plot: args.get("plot").map(Into::into),
        json: args.get("json").is_some(),
        name: args.get("name").unwrap_or("load").to_owned(),
    })
}
