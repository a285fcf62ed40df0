//! Settings of a node: flags and environment variables, checked all at once.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use crate::code::Code;
use crate::placement::Policy;

/// Prefix of every environment variable.
pub const ENV_PREFIX: &str = "VALETRACK_";

/// One setting as it is shown in help, man page and completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Name as a flag, without the dashes.
    pub flag: &'static str,
    /// What it means.
    pub help: &'static str,
    /// What an allowed value looks like.
    pub right: &'static str,
    /// Value where none is set; none when it must be set.
    pub default: Option<&'static str>,
}

impl Setting {
    /// Returns the name of its environment variable.
    pub fn env(&self) -> String {
        format!("{ENV_PREFIX}{}", self.flag.replace('-', "_").to_ascii_uppercase())
    }
}

/// Settings of `valetrack node`.
pub const NODE: &[Setting] = &[
    setting("vm", "Name of this VM, as in the VM list and in its certificate.", "a name of a-z, 0-9 and -", None),
    setting("domain", "Failure domain of this VM.", "a name of a-z, 0-9 and -", None),
    setting("service", "Service whose server runs beside this node.", "a name of a-z, 0-9 and -", None),
    setting("server", "Address of that server.", ADDRESS, None),
    setting("caller-listen", "Address for callers.", ADDRESS, Some("127.0.0.1:7000")),
    setting("link-listen", "Address for links of other nodes.", ADDRESS, Some("127.0.0.1:7001")),
    setting("link-advertise", "Address that other nodes link to; empty for link-listen.", ADDRESS, Some("")),
    setting("admin-listen", "Address for metrics, health and status.", ADDRESS, Some("127.0.0.1:7002")),
    setting("store", "Address of the platform's store.", ADDRESS, None),
    setting("platform", "Kind of platform that the node runs on.", "native or managed", Some(NATIVE)),
    setting("list", "Address of the platform's VM list; native platform only.", ADDRESS, Some("")),
    setting("keys", "Folder with ca.pem, VM.pem and VM.key; native platform only.", "a folder", Some("")),
    setting("control-listen", "Address for the upstream's announcements; managed platform only.", ADDRESS, Some("")),
    setting(
        "news-within-ms",
        "Time within which an operator's change is to be in force.",
        "0 to 600000, with fractions",
        Some("2000"),
    ),
    setting("lease-ms", "How long a node's entry in the store outlives its last word.", "1000 to 600000", Some("8000")),
    setting(
        "test-suspension-ms",
        "For tests: SIGUSR2 has the node believe that its VM was suspended for so long.",
        "0 to 3600000",
        Some("0"),
    ),
    setting("linger-ms", "Time for which callers still come after a stop has begun.", "0 to 60000", Some("0")),
    setting("stop-grace-s", "Time from the signal to stop to the kill; 0 for none.", "0 to 3600", Some("0")),
    setting("caller-rest-ms", "Time that a caller's connection may rest.", "1000 to 3600000", Some("10000")),
    setting("retry-ratio", "Retries that the fleet may make for each call; managed platform only.", RATIO, Some("0.1")),
    setting("retry-reserve", "Retries of the fleet beyond that; managed platform only.", RESERVE, Some("0")),
    setting("retry-window-s", "Window of the fleet's retries; managed platform only.", "0.1 to 3600", Some("10")),
    setting("cold-overage", COLD_OVERAGE_HELP, "1 to 100, with fractions", Some("1")),
    setting("cold-slack", "Calls beyond that which it may get in a second.", "0 to 100000, with fractions", Some("0")),
    setting("store-timeout-ms", "Time limit of a call to the store.", "1 to 60000", Some("300")),
    setting("store-writes-per-s", "Writes a second to the store at most.", "1 to 1000", Some("50")),
    setting("store-reads-per-s", "Reads a second from the store at most.", "1 to 1000", Some("50")),
    setting("list-poll-ms", "Pause between two looks at the VM list.", "10 to 60000", Some("1000")),
    setting("gossip-ms", "Pause between two exchanges with other nodes.", "10 to 60000", Some("1000")),
    setting("silent-ms", "Silence after which a home may be replaced.", "100 to 60000", Some("2500")),
    setting("drain-ms", "Longest time for a planned stop.", "0 to 600000", Some("30000")),
    setting("domain-cost-us", "Cost of leaving the failure domain, both ways.", "0 to 1000000", Some("1000")),
    setting("call-body-ms", "Time that a caller has to send its body.", "10 to 60000", Some("5000")),
    setting("policy", "Rule of the pick; all but valetrack are for comparison.", POLICIES, Some("valetrack")),
    setting("log-level", "Least weight of events that are logged.", "error, warn, info, debug or trace", Some("info")),
    setting("seed", "Seed of random choices; 0 draws one.", "a whole number", Some("0")),
];

/// Name of valetrack's own interface to a platform.
pub const NATIVE: &str = "native";

/// What an address looks like.
const ADDRESS: &str = "IP:PORT";

/// What a ratio looks like.
const RATIO: &str = "0 to 10, with fractions";
/// Largest ratio of retries to calls: more than any call may make attempts.
const RETRY_RATIO_MAX: f64 = 10.0;
/// What a reserve of retries looks like.
const RESERVE: &str = "0 to 1000000, with fractions";
/// Largest reserve of retries: some for each server of the largest fleet that is designed for.
const RETRY_RESERVE_MAX: f64 = 1_000_000.0;
/// Shortest window of the fleet's retries, in seconds: a shorter one is over before an attempt that
/// it granted has arrived.
const RETRY_WINDOW_MIN_S: f64 = 0.1;

/// Times within which a change may have to be in force, in milliseconds.
const NEWS_WITHIN_MS: RangeInclusive<f64> = 0.0..=600_000.0;
/// Shortest such time that is aimed at, in milliseconds: a shorter one is less than some ways between nodes take.
const NEWS_WITHIN_MIN_MS: u64 = 500;

/// What `cold-overage` means.
const COLD_OVERAGE_HELP: &str = "Calls a second that a cold upstream may get, as a multiple of what it bears.";
/// Largest multiple of what a cold upstream bears: more is no bound.
const COLD_OVERAGE_MAX: f64 = 100.0;
/// Largest number of calls that it may get beyond that.
const COLD_SLACK_MAX: f64 = 100_000.0;

/// Names of the rules of the pick.
const POLICIES: &str = "valetrack, random, round-robin, least-in-flight or two-choices";

const fn setting(
    flag: &'static str,
    help: &'static str,
    right: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting { flag, help, right, default }
}

/// A fault of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Its code.
    pub code: Code,
    /// Which setting.
    pub flag: String,
    /// What would be right.
    pub right: String,
}

impl SettingFault {
    /// Makes the fault of a setting that is missing.
    pub fn missing(flag: &str) -> Self {
        Self::of(Code::SettingMissing, flag)
    }

    /// Makes the fault of a setting whose value is not allowed.
    pub fn invalid(flag: &str) -> Self {
        Self::of(Code::SettingInvalid, flag)
    }

    fn of(code: Code, flag: &str) -> Self {
        let right = NODE.iter().find(|setting| setting.flag == flag).map_or("", |setting| setting.right);
        Self { code, flag: flag.to_owned(), right: right.to_owned() }
    }
}

impl std::fmt::Display for SettingFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { code, flag, right } = self;
        write!(f, "{code}: --{flag}: {}; wanted: {right}", code.text())
    }
}

/// Checked settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The service of its server.
    pub service: Arc<str>,
    /// Address of its server.
    pub server_addr: SocketAddr,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for links.
    pub link_addr: SocketAddr,
    /// Address that other nodes link to.
    pub advertise_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Kind of platform that the node runs on.
    pub platform: Arc<str>,
    /// Address of the platform's VM list.
    pub list_addr: Option<SocketAddr>,
    /// Folder of keys; empty where there is none.
    pub keys_dir: PathBuf,
    /// Address for the upstream's announcements.
    pub control_addr: Option<SocketAddr>,
    /// Time within which an operator's change is to be in force, in milliseconds: news of the store are relied on for
    /// three fifths of it.
    pub news_within_ms: u64,
    /// How long a node's entry in the store outlives its last word, in milliseconds.
    pub lease_ms: u64,
    /// For how long SIGUSR2 has the node believe that its VM was suspended, in milliseconds; zero for tests
    /// that need none and for use.
    pub test_suspension_ms: u64,
    /// Time for which callers still come after a stop has begun, in milliseconds.
    pub linger_ms: u64,
    /// Time from the signal to stop to the kill, in milliseconds; zero for none.
    pub stop_grace_ms: u64,
    /// Time that a caller's connection may rest, in milliseconds.
    pub caller_rest_ms: u64,
    /// Retries that the fleet may make for each call.
    pub retry_ratio: f64,
    /// Retries of the fleet beyond that, within one window.
    pub retry_reserve: u64,
    /// Length of that window, in milliseconds.
    pub retry_window_ms: u64,
    /// Calls a second that a cold upstream may get, as a multiple of what it bears.
    pub cold_overage: f64,
    /// Calls that it may get in a second beyond that.
    pub cold_slack: u64,
    /// Time limit of a call to the store, in milliseconds.
    pub store_timeout_ms: u64,
    /// Writes a second to the store at most.
    pub store_writes_per_s: u64,
    /// Reads a second from the store at most.
    pub store_reads_per_s: u64,
    /// Pause between two looks at the VM list, in milliseconds.
    pub list_poll_ms: u64,
    /// Pause between two exchanges with other nodes, in milliseconds.
    pub gossip_ms: u64,
    /// Silence after which a home may be replaced, in milliseconds.
    pub silent_ms: u64,
    /// Longest time for a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Cost of leaving the failure domain, both ways, in microseconds.
    pub domain_cost_us: u32,
    /// Time that a caller has to send its body, in milliseconds.
    pub call_body_ms: u64,
    /// Rule of the pick.
    pub policy: Policy,
    /// Least weight of events that are logged.
    pub log_level: log::LevelFilter,
    /// Seed of random choices.
    pub seed: u64,
}

/// Values by flag, from the command line first and the environment second.
#[derive(Debug, Clone, Default)]
pub struct RawSettings {
    values: BTreeMap<String, String>,
    faults: Vec<SettingFault>,
}

impl RawSettings {
    /// Takes the value of a flag.
    pub fn set(&mut self, flag: &str, value: OsString) {
        match value.into_string() {
            Ok(value) => {
                self.values.insert(flag.to_owned(), value);
            }
            Err(_) => self.faults.push(SettingFault {
                code: Code::SettingInvalid,
                flag: flag.to_owned(),
                right: "text in UTF-8".into(),
            }),
        }
    }

    /// Takes what the flags left open from environment variables; an empty one counts as unset, since a
    /// platform may fill in a figure that only some of its sites have.
    pub fn fill_from(&mut self, env: impl Fn(&str) -> Option<OsString>) {
        for setting in NODE {
            let value = env(&setting.env()).filter(|value| !value.is_empty());
            if let (false, Some(value)) = (self.values.contains_key(setting.flag), value) {
                self.set(setting.flag, value);
            }
        }
    }

    fn take<T>(&mut self, flag: &'static str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let known = NODE.iter().find(|setting| setting.flag == flag);
        let right = known.map_or("", |setting| setting.right);
        let default = known.and_then(|setting| setting.default);
        let given = self.values.get(flag).map(String::as_str).or(default);
        let Some(given) = given else {
            self.fault(Code::SettingMissing, flag, right);
            return None;
        };
        let parsed = parse(given);
        if parsed.is_none() {
            self.fault(Code::SettingInvalid, flag, right);
        }
        parsed
    }

    fn fault(&mut self, code: Code, flag: &str, right: &str) {
        self.faults.push(SettingFault { code, flag: flag.into(), right: right.into() });
    }

    fn number(&mut self, flag: &'static str, low: u64, high: u64) -> Option<u64> {
        self.take(flag, |text| text.parse().ok().filter(|number| (low..=high).contains(number)))
    }

    fn fraction(&mut self, flag: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        self.take(flag, |text| text.parse().ok().filter(|number| range.contains(number)))
    }

    /// Reads an address that only some platforms need.
    fn optional_addr(&mut self, flag: &'static str, needed: bool) -> Option<Option<SocketAddr>> {
        let read = self.take(flag, |text| if text.is_empty() { Some(None) } else { text.parse().ok().map(Some) })?;
        if needed && read.is_none() {
            self.faults.push(SettingFault::missing(flag));
        }
        Some(read)
    }

    /// Reads the folder of keys, which only the native platform needs.
    fn keys_dir(&mut self, needed: bool) -> Option<PathBuf> {
        let dir: PathBuf = self.parsed("keys")?;
        if needed && dir.as_os_str().is_empty() {
            self.faults.push(SettingFault::missing("keys"));
        }
        Some(dir)
    }

    fn parsed<T: FromStr>(&mut self, flag: &'static str) -> Option<T> {
        self.take(flag, |text| text.parse().ok())
    }

    fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        self.take(flag, |text| is_name(text).then(|| Arc::from(text)))
    }

    /// Checks everything.
    ///
    /// # Errors
    ///
    /// Returns every fault at once.
    pub fn check(mut self) -> Result<NodeSettings, Vec<SettingFault>> {
        let settings = self.build();
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            Some(_) | None => Err(self.faults),
        }
    }

    fn build(&mut self) -> Option<NodeSettings> {
        let vm = self.name("vm");
        let domain = self.name("domain");
        let service = self.name("service");
        let server_addr = self.parsed("server");
        let caller_addr = self.parsed("caller-listen");
        let link_addr = self.parsed("link-listen");
        let advertise_addr =
            self.take("link-advertise", |text| if text.is_empty() { link_addr } else { text.parse().ok() });
        let admin_addr = self.parsed("admin-listen");
        let store_addr = self.parsed("store");
        let platform = self.name("platform");
        let native = platform.as_deref() == Some(NATIVE);
        let list_addr = self.optional_addr("list", native);
        let keys_dir = self.keys_dir(native);
        let control_addr = self.optional_addr("control-listen", !native);
        let news_within_ms = self.fraction("news-within-ms", NEWS_WITHIN_MS);
        let lease_ms = self.number("lease-ms", 1_000, 600_000);
        let test_suspension_ms = self.number("test-suspension-ms", 0, 3_600_000);
        let linger_ms = self.number("linger-ms", 0, 60_000);
        let stop_grace_s = self.fraction("stop-grace-s", 0.0..=3_600.0);
        let caller_rest_ms = self.number("caller-rest-ms", 1_000, 3_600_000);
        let retry_ratio = self.fraction("retry-ratio", 0.0..=RETRY_RATIO_MAX);
        let retry_reserve = self.fraction("retry-reserve", 0.0..=RETRY_RESERVE_MAX);
        let retry_window_s = self.fraction("retry-window-s", RETRY_WINDOW_MIN_S..=3_600.0);
        let cold_overage = self.fraction("cold-overage", 1.0..=COLD_OVERAGE_MAX);
        let cold_slack = self.fraction("cold-slack", 0.0..=COLD_SLACK_MAX);
        let store_timeout_ms = self.number("store-timeout-ms", 1, 60_000);
        let store_writes_per_s = self.number("store-writes-per-s", 1, 1_000);
        let store_reads_per_s = self.number("store-reads-per-s", 1, 1_000);
        let list_poll_ms = self.number("list-poll-ms", 10, 60_000);
        let gossip_ms = self.number("gossip-ms", 10, 60_000);
        let silent_ms = self.number("silent-ms", 100, 60_000);
        let drain_ms = self.number("drain-ms", 0, 600_000);
        let domain_cost_us = self.number("domain-cost-us", 0, 1_000_000);
        let call_body_ms = self.number("call-body-ms", 10, 60_000);
        let policy = self.parsed("policy");
        let log_level = self.parsed("log-level");
        let seed = self.number("seed", 0, u64::MAX);
        Some(NodeSettings {
            vm: vm?,
            domain: domain?,
            service: service?,
            server_addr: server_addr?,
            caller_addr: caller_addr?,
            link_addr: link_addr?,
            advertise_addr: advertise_addr?,
            admin_addr: admin_addr?,
            store_addr: store_addr?,
            platform: platform?,
            list_addr: list_addr?,
            keys_dir: keys_dir?,
            control_addr: control_addr?,
            news_within_ms: (news_within_ms? as u64).max(NEWS_WITHIN_MIN_MS),
            lease_ms: lease_ms?,
            test_suspension_ms: test_suspension_ms?,
            linger_ms: linger_ms?,
            stop_grace_ms: (stop_grace_s? * 1000.0) as u64,
            caller_rest_ms: caller_rest_ms?,
            retry_ratio: retry_ratio?,
            // A part of a retry is none: rounded down, the fleet stays within what was promised. A
            // platform may scale its bounds to the fleet, and a node that refuses one never starts.
            retry_reserve: retry_reserve? as u64,
            retry_window_ms: (retry_window_s? * 1000.0) as u64,
            cold_overage: cold_overage?,
            cold_slack: cold_slack? as u64,
            store_timeout_ms: store_timeout_ms?,
            store_writes_per_s: store_writes_per_s?,
            store_reads_per_s: store_reads_per_s?,
            list_poll_ms: list_poll_ms?,
            gossip_ms: gossip_ms?,
            silent_ms: silent_ms?,
            drain_ms: drain_ms?,
            domain_cost_us: domain_cost_us? as u32,
            call_body_ms: call_body_ms?,
            policy: policy?,
            log_level: log_level?,
            seed: seed?,
        })
    }
}

/// Returns whether a text may name a VM, a failure domain or a service.
pub fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}
