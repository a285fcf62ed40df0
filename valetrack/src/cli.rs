//! The command line.

use std::ffi::OsString;
use std::fmt::Write as _;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use lexopt::prelude::*;
use serde_json::json;

use crate::bundle::operator::{self, OperatorError, Publication};
use crate::bundle::{Bundle, Fault, check};
use crate::code::Code;
use crate::link::tls::{self, EXPIRY_WARNING_DAYS, KeyError};
use crate::platform::{NativePlatform, Platform, PlatformFactory};
use crate::settings::{ENV_PREFIX, NODE, NodeSettings, RawSettings, SettingFault, is_name};
use crate::store::HttpStore;
use crate::timeline::{self, Event};

mod fetch;
mod help;

/// Exit code of a command that failed or whose input is invalid.
const EXIT_FAULT: u8 = 1;
/// Exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code of a command that couldn't reach the store.
const EXIT_STORE: u8 = 3;
/// Timeout of a request to the store.
const STORE_TIMEOUT_MS: u64 = 3_000;
/// Time within which a published bundle must be in force at the queried nodes.
const IN_FORCE_TIMEOUT_MS: u64 = 7_000;
/// Interval of queries while waiting for a published bundle to be in force.
const IN_FORCE_POLL_MS: u64 = 100;

/// Parsed command line.
#[derive(Debug, Default)]
struct Options {
    words: Vec<String>,
    json: bool,
    help: bool,
    version: bool,
    operator: Option<String>,
    store: Option<String>,
    dir: Option<PathBuf>,
    vm: Option<String>,
    call: Option<String>,
    admin: Vec<String>,
    raw: RawSettings,
    faults: Vec<SettingFault>,
}

/// Exit code and message of a failed command.
struct Failure {
    exit: u8,
    text: String,
}

type Outcome = Result<(), Failure>;

fn failure(exit: u8, text: impl std::fmt::Display) -> Failure {
    Failure { exit, text: text.to_string() }
}

/// Runs the command of the process's command line. `platforms` are the platforms that a node supports in addition to
/// the native one.
pub fn main(platforms: &[&dyn PlatformFactory]) -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    match run(args, platforms) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{}", failure.text.trim_end());
            ExitCode::from(failure.exit)
        }
    }
}

fn run(args: Vec<OsString>, platforms: &[&dyn PlatformFactory]) -> Outcome {
    let mut options = parse(args).map_err(|error| failure(EXIT_USAGE, format!("{}: {error}", Code::SettingUnknown)))?;
    if options.version {
        println!("valetrack {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let words: Vec<&str> = options.words.iter().map(String::as_str).collect();
    if options.help || words.is_empty() {
        print!("{}", help::usage(&words));
        return if options.help { Ok(()) } else { Err(failure(EXIT_USAGE, "")) };
    }
    match words.as_slice() {
        ["node"] => node(&mut options, platforms),
        ["settings", "check"] => settings(&mut options, platforms).map(|_| println!("settings are valid")),
        ["bundle", "check", file] => bundle_check(Path::new(file), options.json),
        ["bundle", "write", file] => bundle_write(&options, Path::new(file)),
        ["bundle", "approve", version] => bundle_approve(&options, version),
        ["bundle", "roll", version] => bundle_roll(&options, version),
        ["bundle", "status"] => bundle_status(&options, false),
        ["bundle", "history"] => bundle_status(&options, true),
        ["domain", "evacuate", name] => domain_set(&options, name, true),
        ["domain", "return", name] => domain_set(&options, name, false),
        ["domain", "status"] => domain_status(&options),
        ["timeline", files @ ..] => show_timeline(&options, files),
        ["keys", "authority"] => tls::make_authority(&dir(&options)?).map_err(key_failure),
        ["keys", "node"] => keys_node(&options),
        ["keys", "check"] => keys_check(&options),
        ["completions"] => {
            print!("{}", help::completions());
            Ok(())
        }
        ["man"] => {
            print!("{}", help::man());
            Ok(())
        }
        _ => {
            let text = format!("{}: {}; see valetrack --help", Code::CommandUnknown, words.join(" "));
            Err(failure(EXIT_USAGE, text))
        }
    }
}

fn parse(args: Vec<OsString>) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(word) => options.words.push(word.string()?),
            Short('h') | Long("help") => options.help = true,
            Short('V') | Long("version") => options.version = true,
            Long("json") => options.json = true,
            Long("operator") => options.operator = Some(parser.value()?.string()?),
            Long("dir") => options.dir = Some(parser.value()?.into()),
            Long("call") => options.call = Some(parser.value()?.string()?),
            Long("admin") => options.admin.push(parser.value()?.string()?),
            Long(flag) if NODE.iter().any(|setting| setting.flag == flag) => {
                let flag = flag.to_owned();
                let value = parser.value()?;
                match flag.as_str() {
                    "store" => options.store = value.clone().into_string().ok(),
                    "vm" => options.vm = value.clone().into_string().ok(),
                    _ => {}
                }
                options.raw.set(&flag, value);
            }
            Long(flag) => {
                // All unknown flags are reported at once. The value of `--flag=value` is skipped, because reporting it
                // as well would be confusing.
                options.faults.push(SettingFault {
                    code: Code::SettingUnknown,
                    flag: flag.to_owned(),
                    expected: "a flag of --help".into(),
                });
                let _ = parser.optional_value();
            }
            Short(_) => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

fn settings(options: &mut Options, platforms: &[&dyn PlatformFactory]) -> Result<(NodeSettings, Platform), Failure> {
    let mut raw = std::mem::take(&mut options.raw);
    raw.fill_from(|name| std::env::var_os(name));
    let mut faults = std::mem::take(&mut options.faults);
    let checked = raw.check();
    for name in unknown_variables(platforms) {
        eprintln!("{}: {name} is no setting and is ignored", Code::SettingUnknown);
    }
    match checked {
        Ok(settings) => match open_platform(&settings, platforms) {
            Ok(platform) if faults.is_empty() => return Ok((settings, platform)),
            Ok(_) => {}
            Err(more) => faults.extend(more),
        },
        Err(more) => faults.extend(more),
    }
    Err(setting_failure(&faults, options.json))
}

fn open_platform(settings: &NodeSettings, platforms: &[&dyn PlatformFactory]) -> Result<Platform, Vec<SettingFault>> {
    let native: &dyn PlatformFactory = &NativePlatform;
    let mut all = std::iter::once(native).chain(platforms.iter().copied());
    match all.find(|platform| platform.name() == &*settings.platform) {
        Some(platform) => platform.open(settings),
        None => Err(vec![SettingFault::invalid("platform")]),
    }
}

/// Returns the environment variables that have the prefix of settings but aren't settings.
fn unknown_variables(platforms: &[&dyn PlatformFactory]) -> Vec<String> {
    let of_platform = |name: &str| platforms.iter().any(|platform| platform.own_variables().contains(&name));
    let known = |name: &str| {
        name == "VALETRACK_OPERATOR" || of_platform(name) || NODE.iter().any(|setting| setting.env() == name)
    };
    let names = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    names.filter(|name| name.starts_with(ENV_PREFIX) && !known(name)).collect()
}

fn setting_failure(faults: &[SettingFault], as_json: bool) -> Failure {
    let mut text = String::new();
    for fault in faults {
        if as_json {
            let row = json!({ "code": fault.code.number(), "setting": fault.flag, "right": fault.expected });
            let _ = writeln!(text, "{row}");
        } else {
            let _ = writeln!(text, "{fault}");
        }
    }
    failure(EXIT_FAULT, text)
}

fn node(options: &mut Options, platforms: &[&dyn PlatformFactory]) -> Outcome {
    let (settings, platform) = settings(options, platforms)?;
    timeline::log::start(&settings.vm, settings.log_level).map_err(|error| failure(EXIT_FAULT, error))?;
    let ended = crate::node::run(settings, platform);
    timeline::log::finish();
    ended.map_err(|error| failure(EXIT_FAULT, format!("{}: {error}", error.code())))
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|error| failure(EXIT_FAULT, format!("{}: {}: {error}", Code::FileUnreadable, path.display())))
}

fn fault_lines(file: &Path, faults: &[Fault], as_json: bool) -> String {
    let mut text = String::new();
    for fault in faults {
        let row = match as_json {
            true => serde_json::to_string(fault).unwrap_or_default(),
            false => format!("{}:{fault}", file.display()),
        };
        let _ = writeln!(text, "{row}");
    }
    text
}

fn bundle_check(file: &Path, as_json: bool) -> Outcome {
    let text = read_file(file)?;
    match check(&text) {
        Ok(bundle) => {
            print_checked(&bundle, &text, as_json);
            Ok(())
        }
        Err(faults) => Err(failure(EXIT_FAULT, fault_lines(file, &faults, as_json))),
    }
}

fn print_checked(bundle: &Bundle, text: &str, as_json: bool) {
    let version = crate::bundle::version_of(text);
    if as_json {
        println!("{}", json!({ "version": version, "bundle": bundle }));
    } else {
        println!("{version}: {} services, no faults", bundle.services.len());
    }
}

fn operator_name(options: &Options) -> Result<String, Failure> {
    let name = options.operator.clone().or_else(|| std::env::var("VALETRACK_OPERATOR").ok());
    let fault = || {
        let fault = SettingFault {
            code: Code::SettingMissing,
            flag: "operator".into(),
            expected: "the name of the operator, by --operator or VALETRACK_OPERATOR".into(),
        };
        setting_failure(&[fault], options.json)
    };
    name.filter(|name| !name.trim().is_empty()).ok_or_else(fault)
}

fn store(options: &Options) -> Result<HttpStore, Failure> {
    let addr = options.store.clone().or_else(|| std::env::var("VALETRACK_STORE").ok());
    let fault = |code| {
        let fault = SettingFault { code, flag: "store".into(), expected: "IP:PORT of the store".into() };
        setting_failure(&[fault], options.json)
    };
    let addr = addr.ok_or_else(|| fault(Code::SettingMissing))?;
    let addr: SocketAddr = addr.parse().map_err(|_| fault(Code::SettingInvalid))?;
    Ok(HttpStore::new(addr, Duration::from_millis(STORE_TIMEOUT_MS)))
}

fn block_on<F: Future>(future: F) -> Result<F::Output, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(|error| failure(EXIT_FAULT, error))?.block_on(future))
}

fn operator_failure(error: OperatorError, file: Option<&Path>, as_json: bool) -> Failure {
    match &error {
        OperatorError::Faulty { faults } => {
            let file = file.unwrap_or(Path::new("-"));
            failure(EXIT_FAULT, fault_lines(file, faults, as_json))
        }
        OperatorError::Store { .. } => failure(EXIT_STORE, format!("{}: {error}", error.code())),
        _ => failure(EXIT_FAULT, format!("{}: {error}", error.code())),
    }
}

fn bundle_write(options: &Options, file: &Path) -> Outcome {
    let operator = operator_name(options)?;
    let store = store(options)?;
    let text = read_file(file)?;
    let written = block_on(operator::write(&store, &operator, &text))?;
    let version = written.map_err(|error| operator_failure(error, Some(file), options.json))?;
    print_result(options, &json!({ "version": version }), &version);
    Ok(())
}

fn bundle_approve(options: &Options, version: &str) -> Outcome {
    let operator = operator_name(options)?;
    let store = store(options)?;
    let approved = block_on(operator::approve(&store, &operator, version))?;
    approved.map_err(|error| operator_failure(error, None, options.json))?;
    print_result(
        options,
        &json!({ "version": version, "approver": operator }),
        &format!("{version} approved by {operator}"),
    );
    Ok(())
}

fn bundle_roll(options: &Options, version: &str) -> Outcome {
    let operator = operator_name(options)?;
    let store = store(options)?;
    let served = served_number(options)?;
    let published = block_on(operator::publish_above(&store, &operator, version, served))?;
    let Publication { number, held, is_restored } =
        published.map_err(|error| operator_failure(error, None, options.json))?;
    let data = json!({
        "version": version, "number": number, "store_held": held, "nodes_served": served, "store_restored": is_restored,
    });
    let mut text = format!("{version} published as number {number}");
    if is_restored {
        let _ = write!(
            text,
            "\nthe store was restored from a copy since number {held}: the new number skips those that it may lack"
        );
    }
    if served > held {
        let _ =
            write!(text, "\nthe store held number {held}, nodes serve {served}: it was restored from an older copy");
    }
    if wait_until_served(options, number)? < number {
        let text = format!("{}: number {number} is not in force at all queried nodes", Code::BundleNotInForce);
        return Err(failure(EXIT_FAULT, text));
    }
    print_result(options, &data, &text);
    Ok(())
}

/// Returns the highest bundle number in force at the nodes named by `--admin`; zero if no nodes are named.
fn served_number(options: &Options) -> Result<u64, Failure> {
    let mut highest = 0;
    for admin in &options.admin {
        highest = highest.max(fetch_bundle_number(admin)?);
    }
    Ok(highest)
}

/// Waits until a bundle number is in force at the nodes named by `--admin`, for at most [`IN_FORCE_TIMEOUT_MS`].
/// Returns the lowest number in force at them.
fn wait_until_served(options: &Options, number: u64) -> Result<u64, Failure> {
    let started = Instant::now();
    loop {
        let mut lowest = u64::MAX;
        for admin in &options.admin {
            lowest = lowest.min(fetch_bundle_number(admin)?);
        }
        if lowest >= number || started.elapsed() >= Duration::from_millis(IN_FORCE_TIMEOUT_MS) {
            return Ok(lowest);
        }
        std::thread::sleep(Duration::from_millis(IN_FORCE_POLL_MS));
    }
}

/// Queries a node for the number of its bundle in force.
fn fetch_bundle_number(admin: &str) -> Result<u64, Failure> {
    let addr = admin_addr(admin)?;
    let unreadable =
        |error: &dyn std::fmt::Display| failure(EXIT_FAULT, format!("{}: {addr}: {error}", Code::FileUnreadable));
    let text = block_on(fetch::get(addr, "/status"))?.map_err(|error| unreadable(&error))?;
    let status: serde_json::Value = serde_json::from_str(&text).map_err(|error| unreadable(&error))?;
    status["bundle_number"].as_u64().ok_or_else(|| unreadable(&"no bundle_number"))
}

fn admin_addr(admin: &str) -> Result<SocketAddr, Failure> {
    admin.parse().map_err(|_| failure(EXIT_USAGE, format!("{}: --admin: IP:PORT", Code::SettingInvalid)))
}

fn bundle_status(options: &Options, history: bool) -> Outcome {
    let store = store(options)?;
    let current = block_on(operator::current(&store))?;
    let current = current.map_err(|error| operator_failure(error, None, options.json))?;
    let Some(current) = current else {
        print_result(options, &json!(null), "no bundle has been published yet");
        return Ok(());
    };
    let mut text = format!("number {} version {} by {}", current.number, current.version, current.operator);
    if history {
        for old in &current.before {
            let _ = write!(text, "\nnumber {} version {} by {}", old.number, old.version, old.operator);
        }
    }
    let mut data = json!(current);
    if !history && let Some(fields) = data.as_object_mut() {
        fields.remove("before");
    }
    print_result(options, &data, &text);
    Ok(())
}

fn domain_set(options: &Options, domain: &str, evacuated: bool) -> Outcome {
    if !is_name(domain) {
        let text = format!("{}: {domain}: expected: a name of a-z, 0-9 and -", Code::SettingInvalid);
        return Err(failure(EXIT_FAULT, text));
    }
    let store = store(options)?;
    let number = block_on(operator::set_evacuated(&store, domain, evacuated))?;
    let number = number.map_err(|error| operator_failure(error, None, options.json))?;
    let state = if evacuated { "evacuated" } else { "in service" };
    print_result(
        options,
        &json!({ "domain": domain, "evacuated": evacuated, "number": number }),
        &format!("{domain} {state}"),
    );
    Ok(())
}

fn domain_status(options: &Options) -> Outcome {
    let store = store(options)?;
    let current = block_on(operator::current(&store))?;
    let current = current.map_err(|error| operator_failure(error, None, options.json))?;
    let evacuation = current.map(|current| current.evacuation).unwrap_or_default();
    let text = match evacuation.domains.is_empty() {
        true => "no domain is evacuated".to_owned(),
        false => format!("evacuated: {}", evacuation.domain_list()),
    };
    print_result(options, &json!(evacuation), &text);
    Ok(())
}

fn print_result(options: &Options, data: &serde_json::Value, text: &str) {
    if options.json { println!("{data}") } else { println!("{text}") }
}

fn show_timeline(options: &Options, files: &[&str]) -> Outcome {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_file(Path::new(file))?.lines().map(str::to_owned));
    }
    for admin in &options.admin {
        let addr = admin_addr(admin)?;
        let text = block_on(fetch::get(addr, "/events"))?;
        let text = text.map_err(|error| failure(EXIT_FAULT, format!("{}: {addr}: {error}", Code::FileUnreadable)))?;
        lines.extend(text.lines().map(str::to_owned));
    }
    let mut events: Vec<Event> = Vec::new();
    let mut invalid = 0;
    for line in lines.iter().filter(|line| !line.trim().is_empty()) {
        match timeline::parse(line) {
            Ok(event) => events.push(event),
            Err(_) => invalid += 1,
        }
    }
    for event in timeline::merge(events, options.call.as_deref()) {
        match options.json {
            true => println!("{}", json!(event)),
            false => println!("{event}"),
        }
    }
    if invalid > 0 {
        eprintln!("{}: {invalid} lines are not events and were ignored", Code::EventInvalid);
    }
    Ok(())
}

fn dir(options: &Options) -> Result<PathBuf, Failure> {
    let fault = || {
        let fault = SettingFault { code: Code::SettingMissing, flag: "dir".into(), expected: "a folder".into() };
        setting_failure(&[fault], options.json)
    };
    options.dir.clone().ok_or_else(fault)
}

fn key_failure(error: KeyError) -> Failure {
    failure(EXIT_FAULT, format!("{}: {error}", error.code()))
}

fn keys_node(options: &Options) -> Outcome {
    let fault = || {
        let fault = SettingFault { code: Code::SettingMissing, flag: "vm".into(), expected: "a VM's name".into() };
        setting_failure(&[fault], options.json)
    };
    let vm = options.vm.as_deref().ok_or_else(fault)?;
    tls::make_node(&dir(options)?, vm).map_err(key_failure)
}

fn keys_check(options: &Options) -> Outcome {
    let expiries = tls::expiries(&dir(options)?).map_err(key_failure)?;
    let mut soon = false;
    for expiry in &expiries {
        soon |= expiry.days_left < EXPIRY_WARNING_DAYS;
        print_result(options, &json!(expiry), &format!("{}: {} days left", expiry.file, expiry.days_left));
    }
    if soon {
        let text = format!("{}: a certificate expires in less than {EXPIRY_WARNING_DAYS} days", Code::KeyExpired);
        return Err(failure(EXIT_FAULT, text));
    }
    Ok(())
}
