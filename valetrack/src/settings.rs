//! Settings of a node from flags and environment variables, checked all at once.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use crate::code::Code;
use crate::placement::Policy;
use crate::region::Regions;

/// Prefix of the environment variables of settings.
pub const ENV_PREFIX: &str = "VALETRACK_";

/// Description of a setting for parsing, help, man page and completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Name of the flag, without the dashes.
    pub flag: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Description of allowed values.
    pub expected: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
}

impl Setting {
    /// Returns the name of the environment variable.
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
    setting("link-advertise", "Address that other nodes connect to; empty for link-listen.", ADDRESS, Some("")),
    setting("admin-listen", "Address for metrics, health and status.", ADDRESS, Some("127.0.0.1:7002")),
    setting("store", "Address of the platform's store.", ADDRESS, None),
    setting("platform", "Kind of platform that the node runs on.", "native or managed", Some(NATIVE)),
    setting("list", "Address of the platform's VM list; native platform only.", ADDRESS, Some("")),
    setting("keys", "Folder with ca.pem, VM.pem and VM.key; native platform only.", "a folder", Some("")),
    setting("control-listen", "Address for the upstream's announcements; managed platform only.", ADDRESS, Some("")),
    setting(
        "news-within-ms",
        "Target time until an operator's change is in force.",
        "0 to 600000, with fractions",
        Some("2000"),
    ),
    setting(
        "lease-ms",
        "Lifetime of a node's entry in the store after its last renewal.",
        "1000 to 600000",
        Some("8000"),
    ),
    setting(
        "test-suspension-ms",
        "For tests: duration of the VM suspension that SIGUSR2 simulates; 0 for none.",
        "0 to 3600000",
        Some("0"),
    ),
    setting("linger-ms", "Time for which callers are still accepted after a stop has begun.", "0 to 60000", Some("0")),
    setting("stop-grace-s", "Time from the signal to stop to the kill; 0 for none.", "0 to 3600", Some("0")),
    setting("caller-rest-ms", "Idle timeout of a caller's connection.", "1000 to 3600000", Some("10000")),
    setting("retry-ratio", "Retries that the fleet may make per call; managed platform only.", RATIO, Some("0.1")),
    setting("retry-reserve", "Retries of the fleet beyond retry-ratio; managed platform only.", RESERVE, Some("0")),
    setting(
        "retry-window-s",
        "Window for counting the fleet's retries; managed platform only.",
        "0.1 to 3600",
        Some("10"),
    ),
    setting("cold-overage", COLD_OVERAGE_HELP, "1 to 100, with fractions", Some("1")),
    setting(
        "cold-slack",
        "Calls a second beyond cold-overage that a cold upstream may receive.",
        "0 to 100000, with fractions",
        Some("0"),
    ),
    setting("store-timeout-ms", "Timeout of a request to the store.", "1 to 60000", Some("300")),
    setting("store-writes-per-s", "Limit of writes a second to the store.", "1 to 1000", Some("50")),
    setting("store-reads-per-s", "Limit of reads a second from the store.", "1 to 1000", Some("50")),
    setting("list-poll-ms", "Interval of reads of the VM list.", "10 to 60000", Some("1000")),
    setting("gossip-ms", "Interval of exchanges with other nodes.", "10 to 60000", Some("1000")),
    setting("silent-ms", "Time without contact after which a home may be replaced.", "100 to 60000", Some("2500")),
    setting("drain-ms", "Time limit of a planned stop.", "0 to 600000", Some("30000")),
    setting("domain-cost-us", "Round-trip cost of a call to another failure domain.", "0 to 1000000", Some("1000")),
    setting("regions", "Region of each failure domain; empty for a single region.", REGIONS, Some("")),
    setting(
        "region-link-mbps",
        "Capacity of the link between two regions in each direction, in Mbit/s; 0 for unknown.",
        "0 to 10000000, with fractions",
        Some("0"),
    ),
    setting(
        "memory-mb",
        "Memory of the VM, of which half may be held for callers, peers and the upstream; empty for the machine's.",
        MEMORY_MB,
        Some(""),
    ),
    setting(
        "file-descriptors",
        "Descriptors that the process may have open; empty for its limit.",
        FILE_DESCRIPTORS,
        Some(""),
    ),
    setting("call-body-ms", "Time limit for a caller to send a body.", "10 to 60000", Some("5000")),
    setting(
        "policy",
        "Policy of choosing an owner; all but valetrack are for comparison.",
        POLICIES,
        Some("valetrack"),
    ),
    setting("log-level", "Lowest level of events that are logged.", "error, warn, info, debug or trace", Some("info")),
    setting("seed", "Seed of random choices; 0 for a random one.", "a whole number", Some("0")),
];

/// Name of valetrack's own platform.
pub const NATIVE: &str = "native";

/// Allowed values of addresses.
const ADDRESS: &str = "IP:PORT";

/// Allowed values of `regions`.
const REGIONS: &str = "domain=region pairs, separated by commas, with each domain once";
/// Largest capacity of a link between regions.
const REGION_LINK_MAX_MBPS: f64 = 10_000_000.0;

/// Allowed values of `memory-mb`.
const MEMORY_MB: &str = "64 to 1000000";
/// Allowed values of `file-descriptors`.
const FILE_DESCRIPTORS: &str = "300 to 10000000";
/// Allowed values of `retry-ratio`.
const RATIO: &str = "0 to 10, with fractions";
/// Largest ratio of retries to calls; higher than the number of attempts that any call may make.
const RETRY_RATIO_MAX: f64 = 10.0;
/// Allowed values of `retry-reserve`.
const RESERVE: &str = "0 to 1000000, with fractions";
/// Largest reserve of retries: several for each server of the largest supported fleet.
const RETRY_RESERVE_MAX: f64 = 1_000_000.0;
/// Shortest window of the fleet's retries. A shorter window would end before a retry that it granted arrives.
const RETRY_WINDOW_MIN_S: f64 = 0.1;

/// Allowed values of `news-within-ms`.
const NEWS_WITHIN_MS: RangeInclusive<f64> = 0.0..=600_000.0;
/// Smallest effective value of `news-within-ms`. Some paths between nodes take longer than a shorter time.
const NEWS_WITHIN_MIN_MS: u64 = 500;

/// Help text of `cold-overage`.
const COLD_OVERAGE_HELP: &str = "Calls a second that a cold upstream may receive, as a multiple of its capacity.";
/// Largest value of `cold-overage`; a larger one would not limit anything.
const COLD_OVERAGE_MAX: f64 = 100.0;
/// Largest value of `cold-slack`.
const COLD_SLACK_MAX: f64 = 100_000.0;

/// Allowed values of `policy`.
const POLICIES: &str = "valetrack, random, round-robin, least-in-flight or two-choices";

const fn setting(
    flag: &'static str,
    help: &'static str,
    expected: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting { flag, help, expected, default }
}

/// Fault of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Code of the fault.
    pub code: Code,
    /// Flag of the setting.
    pub flag: String,
    /// Description of allowed values.
    pub expected: String,
}

impl SettingFault {
    /// Returns the fault of a missing required setting.
    pub fn missing(flag: &str) -> Self {
        Self::of(Code::SettingMissing, flag)
    }

    /// Returns the fault of a setting with a value that is not allowed.
    pub fn invalid(flag: &str) -> Self {
        Self::of(Code::SettingInvalid, flag)
    }

    fn of(code: Code, flag: &str) -> Self {
        let expected = NODE.iter().find(|setting| setting.flag == flag).map_or("", |setting| setting.expected);
        Self { code, flag: flag.to_owned(), expected: expected.to_owned() }
    }
}

impl std::fmt::Display for SettingFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { code, flag, expected } = self;
        write!(f, "{code}: --{flag}: {}; expected: {expected}", code.text())
    }
}

/// Checked settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Failure domain of this VM.
    pub domain: Arc<str>,
    /// Service of this VM's server.
    pub service: Arc<str>,
    /// Address of this VM's server.
    pub server_addr: SocketAddr,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for links.
    pub link_addr: SocketAddr,
    /// Address that other nodes connect to.
    pub advertise_addr: SocketAddr,
    /// Address of the admin port.
    pub admin_addr: SocketAddr,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Kind of platform that the node runs on.
    pub platform: Arc<str>,
    /// Address of the platform's VM list.
    pub list_addr: Option<SocketAddr>,
    /// Folder of keys; empty if there is none.
    pub keys_dir: PathBuf,
    /// Address for the upstream's announcements.
    pub control_addr: Option<SocketAddr>,
    /// Target time until an operator's change is in force. Updates from the store are relied on for three fifths of
    /// it.
    pub news_within_ms: u64,
    /// Lifetime of a node's entry in the store after its last renewal.
    pub lease_ms: u64,
    /// Duration of the VM suspension that SIGUSR2 simulates. Zero disables the simulation, as in production and in
    /// tests that don't need it.
    pub test_suspension_ms: u64,
    /// Time for which callers are still accepted after a stop has begun.
    pub linger_ms: u64,
    /// Time from the signal to stop to the kill; zero for none.
    pub stop_grace_ms: u64,
    /// Idle timeout of a caller's connection.
    pub caller_rest_ms: u64,
    /// Retries that the fleet may make per call.
    pub retry_ratio: f64,
    /// Retries of the fleet beyond `retry_ratio` within one window.
    pub retry_reserve: u64,
    /// Window for counting the fleet's retries.
    pub retry_window_ms: u64,
    /// Calls a second that a cold upstream may receive, as a multiple of its capacity.
    pub cold_overage: f64,
    /// Calls a second that a cold upstream may receive beyond `cold_overage`.
    pub cold_slack: u64,
    /// Timeout of a request to the store.
    pub store_timeout_ms: u64,
    /// Limit of writes a second to the store.
    pub store_writes_per_s: u64,
    /// Limit of reads a second from the store.
    pub store_reads_per_s: u64,
    /// Interval of reads of the VM list.
    pub list_poll_ms: u64,
    /// Interval of exchanges with other nodes.
    pub gossip_ms: u64,
    /// Time without contact after which a home may be replaced.
    pub silent_ms: u64,
    /// Time limit of a planned stop.
    pub drain_ms: u64,
    /// Round-trip cost of a call to another failure domain.
    pub domain_cost_us: u32,
    /// Region of each failure domain.
    pub regions: Arc<Regions>,
    /// Capacity of the link between two regions in each direction, in Mbit/s; zero if unknown.
    pub region_link_mbps: f64,
    /// Memory of the VM; `None` for that of the machine.
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may have open; `None` for its limit.
    pub file_descriptors: Option<u64>,
    /// Time limit for a caller to send the body of a call.
    pub call_body_ms: u64,
    /// Policy of choosing an owner.
    pub policy: Policy,
    /// Lowest level of events that are logged.
    pub log_level: log::LevelFilter,
    /// Seed of random choices.
    pub seed: u64,
}

/// Unchecked values by flag. Values of the command line take precedence over those of the environment.
#[derive(Debug, Clone, Default)]
pub struct RawSettings {
    values: BTreeMap<String, String>,
    faults: Vec<SettingFault>,
}

impl RawSettings {
    /// Sets the value of a flag.
    pub fn set(&mut self, flag: &str, value: OsString) {
        match value.into_string() {
            Ok(value) => {
                self.values.insert(flag.to_owned(), value);
            }
            Err(_) => self.faults.push(SettingFault {
                code: Code::SettingInvalid,
                flag: flag.to_owned(),
                expected: "text in UTF-8".into(),
            }),
        }
    }

    /// Sets the values of all flags that aren't set yet from environment variables. An empty variable counts as unset,
    /// because a platform may fill in a value that only some of its sites have.
    pub fn fill_from(&mut self, env: impl Fn(&str) -> Option<OsString>) {
        for setting in NODE {
            let value = env(&setting.env()).filter(|value| !value.is_empty());
            if let (false, Some(value)) = (self.values.contains_key(setting.flag), value) {
                self.set(setting.flag, value);
            }
        }
    }

    fn parse_with<T>(&mut self, flag: &'static str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let known = NODE.iter().find(|setting| setting.flag == flag);
        let expected = known.map_or("", |setting| setting.expected);
        let default = known.and_then(|setting| setting.default);
        let given = self.values.get(flag).map(String::as_str).or(default);
        let Some(given) = given else {
            self.fault(Code::SettingMissing, flag, expected);
            return None;
        };
        let parsed = parse(given);
        if parsed.is_none() {
            self.fault(Code::SettingInvalid, flag, expected);
        }
        parsed
    }

    fn fault(&mut self, code: Code, flag: &str, expected: &str) {
        self.faults.push(SettingFault { code, flag: flag.into(), expected: expected.into() });
    }

    fn number(&mut self, flag: &'static str, low: u64, high: u64) -> Option<u64> {
        self.parse_with(flag, |text| text.parse().ok().filter(|number| (low..=high).contains(number)))
    }

    /// Parses a number that may be empty.
    fn optional_number(&mut self, flag: &'static str, low: u64, high: u64) -> Option<Option<u64>> {
        self.parse_with(flag, |text| match text {
            "" => Some(None),
            text => text.parse().ok().filter(|number| (low..=high).contains(number)).map(Some),
        })
    }

    fn fraction(&mut self, flag: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        self.parse_with(flag, |text| text.parse().ok().filter(|number| range.contains(number)))
    }

    /// Parses an address that only some platforms require.
    fn optional_addr(&mut self, flag: &'static str, needed: bool) -> Option<Option<SocketAddr>> {
        let read =
            self.parse_with(flag, |text| if text.is_empty() { Some(None) } else { text.parse().ok().map(Some) })?;
        if needed && read.is_none() {
            self.faults.push(SettingFault::missing(flag));
        }
        Some(read)
    }

    /// Parses the folder of keys, which only the native platform requires.
    fn keys_dir(&mut self, needed: bool) -> Option<PathBuf> {
        let dir: PathBuf = self.parsed("keys")?;
        if needed && dir.as_os_str().is_empty() {
            self.faults.push(SettingFault::missing("keys"));
        }
        Some(dir)
    }

    fn parsed<T: FromStr>(&mut self, flag: &'static str) -> Option<T> {
        self.parse_with(flag, |text| text.parse().ok())
    }

    fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        self.parse_with(flag, |text| is_name(text).then(|| Arc::from(text)))
    }

    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// Returns the faults of all settings.
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
            self.parse_with("link-advertise", |text| if text.is_empty() { link_addr } else { text.parse().ok() });
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
        let regions = self.parsed("regions");
        let region_link_mbps = self.fraction("region-link-mbps", 0.0..=REGION_LINK_MAX_MBPS);
        let memory_mb = self.optional_number("memory-mb", 64, 1_000_000);
        let file_descriptors = self.optional_number("file-descriptors", 300, 10_000_000);
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
            // Fractions are accepted because a platform may scale its bounds to the size of the fleet, and a node that
            // refuses a bound never starts. The value is rounded down to keep the fleet within the guaranteed bound.
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
            regions: Arc::new(regions?),
            region_link_mbps: region_link_mbps?,
            memory_mb: memory_mb?,
            file_descriptors: file_descriptors?,
            call_body_ms: call_body_ms?,
            policy: policy?,
            log_level: log_level?,
            seed: seed?,
        })
    }
}

/// Returns whether a text is a valid name of a VM, a failure domain or a service.
pub fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}
