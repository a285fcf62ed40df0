//! Tests of crash handling: fingerprints, crash detection, the history of suspects and its limits.

mod detect;
mod fingerprint;
mod history;
mod world;

use std::sync::Arc;

use super::*;
use crate::gate::{AttemptId, QueueTimeout};
use crate::link::message::CallHead;

/// Key of fingerprints that is not secret.
const KEY: FingerprintKey = FingerprintKey::of_parts(7, 11);

/// Returns the head of a call with this path and the length of this body.
fn head(path: &str, body: &[u8]) -> CallHead {
    CallHead {
        attempt: AttemptId { entry: 1, seq: 2 },
        call_id: Arc::from("call"),
        service: Arc::from("rounds"),
        origin: Arc::from("rounds"),
        account: None,
        route: Arc::from("sheet"),
        method: "GET".into(),
        path: path.into(),
        headers: vec![("host".into(), b"farm.example".to_vec())],
        body_bytes: body.len() as u32,
        deadline_ms: 100,
        objective_ms: 0,
        work_us: 0,
        elsewhere_permille: 0,
        priority: 0,
        repeatable: true,
        depth: 1,
        made_by_run: false,
        repeat_permille: 0,
        patience: QueueTimeout::Short,
        key: None,
        hlc: 9,
    }
}

/// Returns a report of a crash under calls with these paths.
fn report(hlc: u64, vm: &str, paths: &[&str]) -> CrashReport {
    let suspect =
        |path: &&str| Suspect { fingerprint: KEY.fingerprint(&head(path, b""), b""), cleared: false, trials: 0 };
    CrashReport {
        id: CrashId { hlc, vm: Arc::from(vm) },
        service: Arc::from("rounds"),
        key: KEY,
        suspects: paths.iter().map(suspect).collect(),
    }
}

/// Returns a history with reports that were all received at the same time.
fn history_of(reports: &[CrashReport]) -> CrashHistory {
    let mut history = CrashHistory::default();
    history.join(reports, &Arc::from("peer"), 1);
    history
}

/// Returns the number of crashes of which the call with this path is a suspect.
fn crashes(history: &CrashHistory, path: &str) -> usize {
    history.status(&head(path, b""), b"").crashes()
}
