//! The command line as operators meet it.

use std::collections::BTreeSet;
use std::process::{Command, Output};

use test_case::test_case;

fn valetrack(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_valetrack")).args(words).env_clear().output().expect("valetrack")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test_case(&[], 2; "nothing")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["--version"], 0; "version")]
#[test_case(&["fly"], 2; "an unknown command")]
#[test_case(&["node", "--fly"], 1; "an unknown flag")]
#[test_case(&["bundle", "check", "/nowhere.toml"], 1; "a file that is not there")]
#[test_case(&["bundle", "roll", "v", "--operator", "ana"], 1; "no store")]
#[test_case(&["bundle", "roll", "v", "--store", "127.0.0.1:1"], 1; "no operator")]
#[test_case(&["bundle", "status", "--store", "127.0.0.1:1"], 3; "a store that is not there")]
#[test_case(&["keys", "authority"], 1; "no folder")]
fn commands_end_with_their_exit_code(words: &[&str], code: i32) {
    let output = valetrack(words);
    assert_eq!(output.status.code(), Some(code), "{}", text(&output.stderr));
    if code != 0 && !words.is_empty() {
        assert!(text(&output.stderr).contains("VT"), "{}", text(&output.stderr));
    }
}

#[test]
fn every_command_has_help_with_an_example() {
    for command in ["node", "settings check", "bundle check", "bundle roll", "timeline", "keys node"] {
        let mut words: Vec<&str> = command.split(' ').collect();
        words.push("--help");
        let help = text(&valetrack(&words).stdout);
        assert!(help.contains(&format!("valetrack {command}")), "{help}");
        assert!(help.contains("Example: "), "{help}");
    }
}

#[test]
fn faults_come_as_json_when_asked_for() {
    let output = valetrack(&["settings", "check", "--json", "--vm", "A"]);
    let rows: Vec<serde_json::Value> =
        text(&output.stderr).lines().map(|line| serde_json::from_str(line).expect("a row")).collect();
    assert!(rows.iter().any(|row| row["code"] == 102 && row["setting"] == "vm"));
    assert!(rows.iter().any(|row| row["code"] == 101 && row["setting"] == "store"));
}

#[test]
fn the_page_and_the_completions_are_the_committed_ones() {
    assert_eq!(text(&valetrack(&["man"]).stdout), include_str!("../../extra/valetrack.1"));
    assert_eq!(text(&valetrack(&["completions"]).stdout), include_str!("../../extra/valetrack.bash"));
}

#[test]
fn variables_of_the_platform_itself_are_not_told_as_unknown_settings() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_valetrack"));
    command.args(["settings", "check"]).env_clear();
    command.env("VALETRACK_SETTINGS", "/etc/valetrack/local.toml").env("VALETRACK_SPEED", "9");
    let told = text(&command.output().expect("valetrack").stderr);
    assert!(told.contains("VALETRACK_SPEED is no setting"), "{told}");
    assert!(!told.contains("VALETRACK_SETTINGS"), "{told}");
}

/// Run line of the managed platform's deploy file.
fn run_line() -> String {
    let deploy: toml::Table = include_str!("../../deploy/system.toml").parse().expect("a deploy file");
    deploy["roles"]["node"]["run"].as_str().expect("a run line").to_owned()
}

/// Names of the gaps of a run line.
fn gaps(line: &str) -> BTreeSet<String> {
    let after_braces = line.split("{{").skip(1);
    after_braces.filter_map(|rest| rest.split("}}").next()).map(str::to_owned).collect()
}

/// Fills a run line the way the platform does, with `value` for the bound `bound`, and checks it.
fn check_filled(bound: &str, value: &str) -> Output {
    let mut line = run_line();
    for gap in gaps(&line) {
        let filled = match gap.as_str() {
            gap if gap == bound => value,
            gap if gap.starts_with("listen.") || gap == "upstream_addr" || gap == "store.address" => "10.1.0.8:8300",
            "ip" => "10.1.0.8",
            "link_ports.0" => "7620",
            "bounds.retry_ratio" => "0.2",
            gap if gap.starts_with("bounds.") => "8",
            _ => "name-1",
        };
        line = line.replace(&format!("{{{{{gap}}}}}"), filled);
    }
    let words: Vec<&str> = line.split(' ').skip(2).collect();
    valetrack(&[&["settings", "check"], words.as_slice()].concat())
}

#[test_case("0.5"; "less than one")]
#[test_case("12.4"; "between whole numbers")]
#[test_case("6"; "a whole number")]
#[test_case("6.0"; "a whole number written as a fraction")]
fn every_bound_of_the_platform_may_be_a_fraction(value: &str) {
    let line = run_line();
    let bounds: Vec<String> = gaps(&line).into_iter().filter(|gap| gap.starts_with("bounds.")).collect();
    assert!(bounds.len() >= 4, "{bounds:?}");
    // Retries above ten for each call are no ratio.
    for bound in bounds.iter().filter(|bound| *bound != "bounds.retry_ratio" || !value.starts_with("12")) {
        let output = check_filled(bound, value);
        assert_eq!(output.status.code(), Some(0), "{bound}={value}: {}", text(&output.stderr));
    }
}

#[test_case("bounds.retry_reserve", "-1"; "a reserve below zero")]
#[test_case("bounds.retry_ratio", "much"; "a ratio that is no number")]
#[test_case("bounds.budget_window_s", "0"; "a window of nothing")]
#[test_case("bounds.grace_s", "NaN"; "a grace that is not a number")]
fn bounds_that_mean_nothing_are_refused_with_a_code(bound: &str, value: &str) {
    let output = check_filled(bound, value);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("VT102"), "{}", text(&output.stderr));
}
