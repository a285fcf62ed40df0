//! Checks the text of a bundle and reports all its faults at once.

use toml::de::DeTable;

use super::account::{AccountRule, AccountTable};
use super::message::{Bundle, ClaimMode, Fault, MeasureRule, RouteRule, ServiceRule};
use super::reader::{Reader, Section};
use super::route::RouteTable;
use crate::code::Code;
use crate::gate::{ColdRule, NestedRank};

/// Largest text; a value of the store holds a megabyte.
pub const TEXT_MAX_BYTES: usize = 900_000;
/// Most services of one bundle.
const SERVICES_MAX: usize = 4_096;
/// Largest rate and burst of a client account, in calls.
const RATE_MAX: u64 = 1_000_000_000;
/// Placeholder for the priority of an account that sets none.
const PRIORITY_NONE: u64 = u64::MAX;
/// Longest time limit of a call.
const DEADLINE_MAX_MS: u64 = 60_000;

/// Checks the text of a bundle.
///
/// # Errors
///
/// Returns every fault that was found, ordered by line; at least one.
pub fn check(text: &str) -> Result<Bundle, Vec<Fault>> {
    let mut reader = Reader::new(text);
    if text.len() > TEXT_MAX_BYTES {
        reader.fault(Code::BundleValueInvalid, &(0..0), format!("the text is larger than {TEXT_MAX_BYTES} bytes"));
        return Err(reader.faults);
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or(0..0);
        reader.fault(Code::BundleSyntax, &span, error.message().to_owned());
    }
    let mut top = Section::new(root.get_ref(), 0..0);
    let measure = read_measure(&mut reader, &mut top);
    let services = read_services(&mut reader, &mut top);
    let accounts = read_accounts(&mut reader, &mut top);
    let nested_rank = read_nested_rank(&mut reader, &mut top);
    reader.finish(&top);
    let mut faults = reader.faults;
    if faults.is_empty() {
        return Ok(Bundle {
            measure,
            services,
            routes: RouteTable::default(),
            accounts,
            nested_rank,
            caller_limits: None,
        });
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(faults)
}

fn read_nested_rank(reader: &mut Reader<'_>, top: &mut Section<'_, '_>) -> NestedRank {
    let rank = reader.text(top, "nested_rank", "\"first\" or \"root\"", |rank| matches!(rank, "first" | "root"));
    match rank.as_deref() {
        Some("root") => NestedRank::Root,
        Some(_) | None => NestedRank::First,
    }
}

fn read_measure(reader: &mut Reader<'_>, top: &mut Section<'_, '_>) -> MeasureRule {
    let defaults = MeasureRule { bytes_per_s: 2_048, probes_per_s: 10, stale_ms: 100 };
    let Some(mut section) = reader.table(top, "measure") else {
        return defaults;
    };
    let s = &mut section;
    let rule = MeasureRule {
        bytes_per_s: reader.number(s, "bytes_per_s", 0..=1_000_000, defaults.bytes_per_s.into()) as u32,
        probes_per_s: reader.number(s, "probes_per_s", 0..=10_000, defaults.probes_per_s.into()) as u32,
        stale_ms: reader.number(s, "stale_ms", 1..=60_000, defaults.stale_ms.into()) as u32,
    };
    reader.finish(&section);
    rule
}

fn read_services(reader: &mut Reader<'_>, top: &mut Section<'_, '_>) -> Vec<ServiceRule> {
    let sections = reader.tables(top, "service");
    if sections.is_empty() {
        reader.fault(Code::BundleKeyMissing, &(0..0), "at least one [[service]] is needed".into());
    }
    if sections.len() > SERVICES_MAX {
        let text = format!("more than {SERVICES_MAX} services");
        reader.fault(Code::BundleValueInvalid, &(0..0), text);
        return Vec::new();
    }
    let mut services: Vec<ServiceRule> = Vec::new();
    for mut section in sections {
        let Some(service) = read_service(reader, &mut section) else {
            continue;
        };
        if services.iter().any(|other| other.name == service.name) {
            let text = format!("service {} is defined twice", service.name);
            reader.fault(Code::BundleValueInvalid, section.span(), text);
        }
        services.push(service);
    }
    services
}

fn read_service(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> Option<ServiceRule> {
    let expected = "a name of a-z, 0-9 and -, up to 63 characters";
    let name = reader.text(section, "name", expected, is_name);
    let name = reader.require(section, "name", name);
    let slots = reader.number(section, "slots", 1..=10_000, 8) as u16;
    let deadline_ms = reader.number(section, "deadline_ms", 1..=DEADLINE_MAX_MS, 2_000) as u32;
    let mut number = |key, allowed, default| reader.number(section, key, allowed, default);
    let connections = number("connections", 1..=60_000, 200) as u16;
    let queue_ms = number("queue_ms", 0..=10_000, 20) as u32;
    let ramp_ms = number("ramp_ms", 0..=600_000, 0) as u32;
    let request_cap_bytes = number("request_cap_bytes", 0..=16_777_216, 262_144) as u32;
    let answer_cap_bytes = number("answer_cap_bytes", 0..=16_777_216, 1_048_576) as u32;
    let depth_max = number("depth_max", 1..=64, 19) as u8;
    let bounces = number("bounces", 0..=8, 1) as u8;
    let retries = number("retries", 0..=3, 1) as u8;
    let retry_percent = number("retry_percent", 0..=100, 10) as u32;
    let hedge_percent = number("hedge_percent", 0..=100, 5) as u32;
    let hedge_after_percent = number("hedge_after_percent", 100..=10_000, 300) as u32;
    let key_lifetime_s = number("key_lifetime_s", 1..=86_400, 600) as u32;
    let stall_rescue = reader.flag(section, "stall_rescue", true);
    let learn_limit = reader.flag(section, "learn_limit", false);
    let cold_starts_per_s = reader.number(section, "cold_starts_per_s", 0..=100_000, 0) as u32;
    let cold = ColdRule {
        starts_per_s: (cold_starts_per_s > 0).then_some(cold_starts_per_s),
        first_second: cold_starts_per_s / 2,
        length_ms: None,
        by_rank: reader.flag(section, "cold_starts_by_rank", false),
    };
    let claims = read_claims(reader, section);
    let mut routes = Vec::new();
    for mut route in reader.tables(section, "route") {
        routes.extend(read_route(reader, &mut route, deadline_ms));
        reader.finish(&route);
    }
    reader.finish(section);
    Some(ServiceRule {
        name: name?,
        slots,
        stall_rescue,
        learn_limit,
        connections,
        queue_ms,
        ramp_ms,
        cold,
        deadline_ms,
        request_cap_bytes,
        answer_cap_bytes,
        health_path: None,
        depth_max,
        bounces,
        retries,
        retry_percent,
        fleet_retries: None,
        hedge_percent,
        hedge_after_percent,
        claims,
        key_lifetime_s,
        routes,
    })
}

fn read_claims(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> ClaimMode {
    let mode = reader.text(section, "claims", "\"durable\" or \"held\"", |mode| matches!(mode, "durable" | "held"));
    match mode.as_deref() {
        Some("held") => ClaimMode::Held,
        Some(_) | None => ClaimMode::Durable,
    }
}

fn read_route(reader: &mut Reader<'_>, section: &mut Section<'_, '_>, deadline_ms: u32) -> Option<RouteRule> {
    let method = reader.text(section, "method", "an HTTP method in capitals, such as \"POST\"", is_method);
    let path = reader.text(section, "path", "a path that starts with /", |path| path.starts_with('/'));
    let path = reader.require(section, "path", path);
    let safe = matches!(method.as_deref(), Some("GET" | "HEAD"));
    let repeatable = reader.flag(section, "repeatable", safe);
    let deadline_ms = reader.number(section, "deadline_ms", 1..=DEADLINE_MAX_MS, deadline_ms.into()) as u32;
    let is_anonymous = reader.flag(section, "anonymous", false);
    Some(RouteRule { method, path: path?, repeatable, deadline_ms, is_anonymous })
}

fn read_accounts(reader: &mut Reader<'_>, top: &mut Section<'_, '_>) -> AccountTable {
    let mut accounts = AccountTable::default();
    for mut section in reader.tables(top, "account") {
        read_account(reader, &mut section, &mut accounts);
        reader.finish(&section);
    }
    accounts
}

fn read_account(reader: &mut Reader<'_>, section: &mut Section<'_, '_>, accounts: &mut AccountTable) {
    let expected = "a name of a-z, 0-9 and -, up to 63 characters";
    let name = reader.text(section, "name", expected, is_name);
    let name = reader.require(section, "name", name);
    let keys = reader.texts(section, "keys", "a list of strings of 16 to 256 visible characters", is_key);
    let keys = reader.require(section, "keys", keys);
    let priority = reader.number(section, "priority", 0..=255, PRIORITY_NONE);
    let rate_per_s = reader.number(section, "rate_per_s", 0..=RATE_MAX, 0);
    let burst = reader.number(section, "burst", 0..=RATE_MAX, 0);
    let (Some(name), Some(keys)) = (name, keys) else {
        return;
    };
    let rule = AccountRule {
        name,
        priority: (priority != PRIORITY_NONE).then_some(priority as u8),
        rate_milli_per_s: rate_per_s * 1_000,
        burst_milli: burst * 1_000,
    };
    if let Err(fault) = accounts.add(rule, keys.iter().map(|key| &**key)) {
        reader.fault(Code::BundleValueInvalid, section.span(), fault.as_str().into());
    }
}

fn is_key(key: &str) -> bool {
    (16..=256).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.len() <= 16 && method.bytes().all(|byte| byte.is_ascii_uppercase())
}
