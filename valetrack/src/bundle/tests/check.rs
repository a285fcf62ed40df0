//! Tests of the check, which reports all faults of a text with line and column, and of adoption.

use proptest::prelude::*;

use crate::bundle::{Adoption, Bundle, InForce, check, version_of};
use crate::gate::NestedRank;

const GOOD: &str = r#"
[measure]
bytes_per_s = 1_000

[[service]]
name = "intake"
slots = 12
claims = "held"

[[service.route]]
method = "POST"
path = "/pickups"
repeatable = false
deadline_ms = 3000

[[service.route]]
path = "/pickups/search"
repeatable = true
"#;

fn faults(text: &str) -> String {
    let faults = check(text).expect_err("faults");
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn check_reports_all_faults_with_line_and_column() {
    let text = r#"
[measure]
bytes_per_s = "many"
burst = 3

[[service]]
name = "Intake"
slots = 0
claims = "maybe"

[[service.route]]
repeatable = 1

[[service]]
slots = 3
"#;
    insta::assert_snapshot!(faults(text), @r#"
    3:15: VT503: bytes_per_s must be a whole number from 0 to 1000000
    4:1: VT502: unknown key burst; allowed are bytes_per_s, probes_per_s, stale_ms
    7:8: VT503: name must be a name of a-z, 0-9 and -, up to 63 characters
    8:9: VT503: slots must be a whole number from 1 to 10000
    9:10: VT503: claims must be "durable" or "held"
    11:1: VT504: path is missing
    12:14: VT503: repeatable must be true or false
    14:1: VT504: name is missing
    "#);
}

#[test]
fn invalid_toml_is_reported_as_syntax_fault() {
    insta::assert_snapshot!(faults("[[service]\nname = \n"), @r#"
    1:1: VT504: at least one [[service]] is needed
    1:11: VT501: unclosed array table, expected `]`
    2:1: VT502: unknown key name; allowed are measure, service, account, nested_rank
    "#);
}

#[test]
fn duplicate_service_is_reported() {
    insta::assert_snapshot!(faults("[[service]]\nname = \"a\"\n[[service]]\nname = \"a\"\n"), @"3:1: VT503: service a is defined twice");
}

#[test]
fn longest_prefix_applies_and_routes_default_to_not_repeatable() {
    let bundle = check(GOOD).expect("no faults");
    let service = bundle.service("intake").expect("the service");
    let repeatable = |method, path| service.route(method, path).map(|route| route.repeatable);
    assert_eq!(repeatable("POST", "/pickups"), Some(false));
    assert_eq!(repeatable("POST", "/pickups/search?q=1"), Some(true));
    assert_eq!(repeatable("GET", "/pickups"), None);
    assert_eq!(service.deadline_ms, 2_000);
}

#[test]
fn nested_calls_go_first_unless_ranked_by_root() {
    let rank_of = |text: &str| check(&format!("{text}\n{GOOD}")).map(|bundle| bundle.nested_rank);
    assert_eq!(rank_of(""), Ok(NestedRank::First));
    assert_eq!(rank_of("nested_rank = \"first\""), Ok(NestedRank::First));
    assert_eq!(rank_of("nested_rank = \"root\""), Ok(NestedRank::Root));
    let faults = faults(&format!("nested_rank = \"last\"\n{GOOD}"));
    insta::assert_snapshot!(faults, @r#"1:15: VT503: nested_rank must be "first" or "root""#);
}

fn in_force(number: u64) -> InForce {
    let bundle: Bundle = check(GOOD).expect("no faults");
    InForce { number, version: version_of(GOOD).into(), text: GOOD.into(), bundle }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..Default::default()
    })]

    #[test]
    fn number_in_force_never_decreases(offers in prop::collection::vec((0..30u64, any::<bool>()), 1..60)) {
        let mut adoption = Adoption::default();
        let mut highest = 0;
        for (number, is_number_only) in offers {
            let before = adoption.number();
            if is_number_only {
                adoption.record_published(number);
            } else {
                prop_assert_eq!(adoption.offer(in_force(number)), number > before);
                highest = highest.max(number);
            }
            prop_assert_eq!(adoption.number(), highest);
        }
    }

    #[test]
    fn check_does_not_panic_on_arbitrary_text(text in "([a-z\\[\\]\\.=\" \\n0-9{},#-]{0,200})") {
        let _ = check(&text);
    }

    #[test]
    fn damaged_text_is_rejected_or_still_valid(at in any::<usize>(), byte in 32..127u8) {
        let mut text = GOOD.as_bytes().to_vec();
        let at = at % text.len();
        text[at] = byte;
        let text = String::from_utf8(text).expect("plain letters");
        if let Err(faults) = check(&text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| fault.line >= 1 && fault.column >= 1));
        }
    }
}

#[test]
fn faults_of_accounts_are_reported() {
    let text = r#"
[[service]]
name = "intake"
[[account]]
name = "acme"
keys = ["26tta828m82thhkmgjqn"]
rate_per_s = -1
[[account]]
name = "other"
keys = ["26tta828m82thhkmgjqn"]
[[account]]
name = "third"
keys = ["short"]
[[account]]
name = "fourth"
"#;
    insta::assert_snapshot!(faults(text), @r#"
    7:14: VT503: rate_per_s must be a whole number from 0 to 1000000000
    8:1: VT503: another account has one of its keys
    13:8: VT503: keys must be a list of strings of 16 to 256 visible characters
    14:1: VT504: keys is missing
    "#);
}
