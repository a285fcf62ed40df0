//! Tests of the command line: exit codes, printed texts and the run line of the deploy file.

use std::collections::BTreeSet;
use std::process::{Command, Output};

use test_case::test_case;

fn valetrack(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_valetrack")).args(args).env_clear().output().expect("valetrack starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test_case(&[], 2; "no arguments")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["--version"], 0; "version")]
#[test_case(&["fly"], 2; "unknown command")]
#[test_case(&["node", "--fly"], 1; "unknown flag")]
#[test_case(&["bundle", "check", "/nowhere.toml"], 1; "missing file")]
#[test_case(&["bundle", "roll", "v", "--operator", "ana"], 1; "missing store flag")]
#[test_case(&["bundle", "roll", "v", "--store", "127.0.0.1:1"], 1; "missing operator flag")]
#[test_case(&["bundle", "status", "--store", "127.0.0.1:1"], 3; "unreachable store")]
#[test_case(&["keys", "authority"], 1; "missing folder")]
fn command_ends_with_expected_exit_code(args: &[&str], code: i32) {
    let output = valetrack(args);
    assert_eq!(output.status.code(), Some(code), "{}", text(&output.stderr));
    if code != 0 && !args.is_empty() {
        assert!(text(&output.stderr).contains("VT"), "{}", text(&output.stderr));
    }
}

#[test]
fn help_of_each_command_has_an_example() {
    for command in ["node", "settings check", "bundle check", "bundle roll", "timeline", "keys node"] {
        let mut args: Vec<&str> = command.split(' ').collect();
        args.push("--help");
        let help = text(&valetrack(&args).stdout);
        assert!(help.contains(&format!("valetrack {command}")), "{help}");
        assert!(help.contains("Example: "), "{help}");
    }
}

#[test]
fn json_flag_prints_setting_faults_as_json() {
    let output = valetrack(&["settings", "check", "--json", "--vm", "A"]);
    let rows: Vec<serde_json::Value> =
        text(&output.stderr).lines().map(|line| serde_json::from_str(line).expect("a JSON object")).collect();
    assert!(rows.iter().any(|row| row["code"] == 102 && row["setting"] == "vm"));
    assert!(rows.iter().any(|row| row["code"] == 101 && row["setting"] == "store"));
}

#[test]
fn man_page_and_completions_equal_committed_files() {
    assert_eq!(text(&valetrack(&["man"]).stdout), include_str!("../../extra/valetrack.1"));
    assert_eq!(text(&valetrack(&["completions"]).stdout), include_str!("../../extra/valetrack.bash"));
}

#[test]
fn platform_variables_are_not_reported_as_unknown_settings() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_valetrack"));
    command.args(["settings", "check"]).env_clear();
    command.env("VALETRACK_SETTINGS", "/etc/valetrack/local.toml").env("VALETRACK_SPEED", "9");
    let stderr = text(&command.output().expect("valetrack starts").stderr);
    assert!(stderr.contains("VALETRACK_SPEED is no setting"), "{stderr}");
    assert!(!stderr.contains("VALETRACK_SETTINGS"), "{stderr}");
}

/// Returns the run line of nodes in the managed platform's deploy file.
fn run_line() -> String {
    let deploy: toml::Table = include_str!("../../deploy/system.toml").parse().expect("a deploy file");
    deploy["roles"]["node"]["run"].as_str().expect("a run line").to_owned()
}

/// Returns the names of the placeholders in a run line.
fn placeholders(line: &str) -> BTreeSet<String> {
    let after_braces = line.split("{{").skip(1);
    after_braces.filter_map(|rest| rest.split("}}").next()).map(str::to_owned).collect()
}

/// Runs `settings check` with the flags of the run line, its placeholders replaced as the platform does, with `value`
/// for the bound `bound`.
fn check_run_line(bound: &str, value: &str) -> Output {
    let mut line = run_line();
    for placeholder in placeholders(&line) {
        let replacement = match placeholder.as_str() {
            placeholder if placeholder == bound => value,
            placeholder
                if placeholder.starts_with("listen.")
                    || placeholder == "upstream_addr"
                    || placeholder == "store.address" =>
            {
                "10.1.0.8:8300"
            }
            "ip" => "10.1.0.8",
            "link_ports.0" => "7620",
            "bounds.retry_ratio" => "0.2",
            placeholder if placeholder.starts_with("bounds.") => "8",
            _ => "name-1",
        };
        line = line.replace(&format!("{{{{{placeholder}}}}}"), replacement);
    }
    let args: Vec<&str> = line.split(' ').skip(2).collect();
    valetrack(&[&["settings", "check"], args.as_slice()].concat())
}

#[test_case("0.5"; "fraction below one")]
#[test_case("12.4"; "fraction above one")]
#[test_case("6"; "whole number")]
#[test_case("6.0"; "whole number with a decimal point")]
fn every_platform_bound_accepts_fractions_and_whole_numbers(value: &str) {
    let line = run_line();
    let bounds: Vec<String> =
        placeholders(&line).into_iter().filter(|placeholder| placeholder.starts_with("bounds.")).collect();
    assert!(bounds.len() >= 4, "{bounds:?}");
    // A retry ratio above ten is not accepted.
    for bound in bounds.iter().filter(|bound| *bound != "bounds.retry_ratio" || !value.starts_with("12")) {
        let output = check_run_line(bound, value);
        assert_eq!(output.status.code(), Some(0), "{bound}={value}: {}", text(&output.stderr));
    }
}

#[test_case("bounds.retry_reserve", "-1"; "negative reserve")]
#[test_case("bounds.retry_ratio", "much"; "ratio of letters")]
#[test_case("bounds.budget_window_s", "0"; "window of zero")]
#[test_case("bounds.grace_s", "NaN"; "grace that is not a number")]
fn invalid_bound_is_rejected_with_setting_fault_code(bound: &str, value: &str) {
    let output = check_run_line(bound, value);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("VT102"), "{}", text(&output.stderr));
}
