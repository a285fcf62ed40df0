//! The command line as operators meet it.

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
