//! Tests of what no slice owns alone: codes and their page.

use std::collections::BTreeSet;

use crate::code::{self, ALL};
use crate::jobs::{Duties, duty_failed};
use crate::settings::{NODE, RawSettings};

#[test]
fn codes_are_unique_and_ascend() {
    let numbers: Vec<u16> = ALL.iter().map(|code| code.number()).collect();
    let unique: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(unique.into_iter().collect::<Vec<_>>(), numbers);
}

#[test]
fn the_page_of_codes_lists_each_as_it_is() {
    let page = include_str!("../../docs/CODES.md");
    assert!(page.contains(&code::table()), "docs/CODES.md should hold:\n{}", code::table());
}

#[test]
fn all_faults_of_settings_are_told_at_once() {
    let mut raw = RawSettings::default();
    raw.set("vm", "Kranj 1".into());
    raw.set("server", "localhost".into());
    raw.set("drain-ms", "-3".into());
    raw.set("retry-window-s", "0".into());
    raw.fill_from(|name| (name == "VALETRACK_DOMAIN").then(|| "kranj".into()));
    let faults = raw.check().expect_err("faults");
    let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
    insta::assert_snapshot!(lines, @r"
    VT102: --vm: a setting has a value that is not allowed; wanted: a name of a-z, 0-9 and -
    VT101: --service: a required setting is missing; wanted: a name of a-z, 0-9 and -
    VT102: --server: a setting has a value that is not allowed; wanted: IP:PORT
    VT101: --store: a required setting is missing; wanted: IP:PORT
    VT101: --list: a required setting is missing; wanted: IP:PORT
    VT101: --keys: a required setting is missing; wanted: a folder
    VT102: --retry-window-s: a setting has a value that is not allowed; wanted: 0.1 to 3600
    VT102: --drain-ms: a setting has a value that is not allowed; wanted: 0 to 600000
    ");
}

#[test]
fn a_flag_goes_before_the_environment() {
    let mut raw = RawSettings::default();
    for setting in NODE.iter().filter(|setting| setting.default.is_none_or(str::is_empty)) {
        let value = if setting.right == "IP:PORT" { "127.0.0.1:1" } else { "flag" };
        raw.set(setting.flag, value.into());
    }
    raw.fill_from(|name| match name {
        "VALETRACK_VM" => Some("environment".into()),
        "VALETRACK_DRAIN_MS" => Some("7".into()),
        _ => None,
    });
    let settings = raw.check().expect("no faults");
    assert_eq!((&*settings.vm, settings.drain_ms, settings.gossip_ms), ("flag", 7, 1_000));
}

#[tokio::test]
async fn a_duty_that_panics_is_told_and_the_others_go_on() {
    let (to, jobs) = async_channel::bounded(1);
    let closed = tokio::sync::watch::Sender::new(false);
    let local = tokio::task::LocalSet::new();
    let served = local.run_until(async {
        let mut duties = Duties::default();
        duties.spawn(async { panic!("as a fault of this program would") });
        duties.spawn(async move {
            duty_failed().await;
            to.send(7).await.expect("a reader");
        });
        duties.next_job(&jobs, &mut closed.subscribe()).await
    });
    assert_eq!(served.await, Some(7));
}
