//! Writes crash reports to the store: all reports of its service that this node has a record of are stored within
//! seconds once the store is reachable, whichever node saw the crash.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{Shell, Urgency};
use crate::clock::now_us;
use crate::code::Code;
use crate::crash::archive::{self, crash_key};
use crate::crash::message::{CrashReport, SuspectRef};
use crate::store::{Position, StoreError};

/// Pause before a failed store call is retried.
const RETRY_PAUSE_MS: std::ops::RangeInclusive<u64> = 700..=2_000;
/// Time that the node which saw a crash has to write its report before other nodes of its service write it: that node
/// may be dead, or rejected by the store.
const STAND_IN_MS: std::ops::RangeInclusive<u64> = 3_000..=6_000;
/// Time for which cleared calls are collected before they are written: the calls that ran beside a cause are answered
/// shortly after each other, and each write to the store has a cost.
const GATHER_MS: u64 = 1_000;
/// Attempts at one compare-and-swap: the owners of a service write at the same time when several crashes follow each
/// other.
const SWAPS_MAX: u32 = 4;

impl Shell {
    /// Writes the reports that the store lacks; runs as long as the thread.
    pub(super) async fn keep_archive(self: Rc<Self>) {
        loop {
            let service = self.parts.service.clone();
            if !self.lacks(&service) {
                self.archive_due.notified().await;
                continue;
            }
            self.wait_before_write().await;
            self.urgency.set(Urgency::StandIn);
            if !self.lacks(&service) {
                continue;
            }
            if let Err(error) = self.save(&service).await {
                log::warn!("event=crash.write_failed service={service} code={} reason=\"{error}\"", error.code());
                self.urgency.set(Urgency::Now);
                let pause_ms = self.rng.borrow_mut().u64(RETRY_PAUSE_MS);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    /// Waits until the write is due by its urgency.
    async fn wait_before_write(&self) {
        let since_us = now_us();
        let stand_in_ms = self.rng.borrow_mut().u64(STAND_IN_MS);
        loop {
            let pause_ms = match self.urgency.get() {
                Urgency::StandIn => stand_in_ms,
                Urgency::Soon => GATHER_MS,
                Urgency::Now => return,
            };
            let until_us = since_us + pause_ms * 1000;
            let left_us = until_us.saturating_sub(now_us());
            // A change may have raised the urgency, so the pause is computed anew.
            if left_us == 0 || timeout(Duration::from_micros(left_us), self.archive_due.notified()).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether the reports to store for a service differ from the last recorded contents of the store.
    fn lacks(&self, service: &Arc<str>) -> bool {
        let archive = self.history.borrow().archive(service);
        let stored = self.stored.borrow();
        stored.get(service).map_or(!archive.is_empty(), |stored| *stored != archive)
    }

    /// Writes the reports of a service, merged with those that the store holds.
    async fn save(&self, service: &Arc<str>) -> Result<(), StoreError> {
        for _ in 0..SWAPS_MAX {
            let position = self.read(service).await?;
            if !self.lacks(service) || self.write(service, position).await? {
                return Ok(());
            }
        }
        Err(StoreError::Refused {
            reason: format!("{SWAPS_MAX} compare-and-swaps in a row failed, because other nodes wrote the key"),
        })
    }

    /// Reads and applies the stored reports of a service; returns the position of their last change, if there are any.
    async fn read(&self, service: &Arc<str>) -> Result<Option<Position>, StoreError> {
        self.parts.metrics.store_calls.with_label_values(&["crash-read"]).inc();
        let archived = self.parts.archive.read(&crash_key(service)).await?;
        if let Some(archived) = &archived {
            self.apply_stored(service, &archived.value);
        }
        Ok(archived.map(|archived| archived.position))
    }

    /// Writes the reports of a service if the last change of the stored value is still at `position`; returns whether
    /// they were written.
    async fn write(&self, service: &Arc<str>, position: Option<Position>) -> Result<bool, StoreError> {
        let reports = self.history.borrow().archive(service);
        let value = archive::pack(&reports).map_err(|reason| StoreError::Invalid { reason })?;
        self.parts.metrics.store_calls.with_label_values(&["crash-write"]).inc();
        let written = self.parts.archive.write(&crash_key(service), position, value).await?;
        if written {
            self.stored.borrow_mut().insert(service.clone(), reports);
        }
        Ok(written)
    }

    /// Merges the stored reports of a service into the history.
    pub(super) fn apply_stored(&self, service: &Arc<str>, value: &[u8]) {
        let reports = match archive::unpack(value) {
            Ok(reports) => reports,
            Err(reason) => {
                let code = Code::CrashReportInvalid;
                self.parts.metrics.invalid_input.with_label_values(&[&code.to_string()]).inc();
                log::warn!("event=crash.stored_invalid service={service} code={code} reason=\"{reason}\"");
                // An empty list makes this node overwrite the value with its own reports.
                Vec::new()
            }
        };
        if self.history.borrow_mut().join(&reports, &self.store, now_us()) {
            log::info!("event=crash.report_received from={} service={service} reports={}", self.store, reports.len());
            self.publish();
        }
        self.stored.borrow_mut().insert(service.clone(), reports);
        self.archive_due.notify_one();
    }

    /// Forgets the recorded contents of the store after a store rollback, so that reports which it lost are written
    /// again.
    pub(super) fn forget_stored(&self) {
        self.stored.borrow_mut().clear();
        self.archive_due.notify_one();
    }

    /// Reads the stored reports of this node's service, and retries until the store answers.
    pub(super) async fn read_at_start(self: Rc<Self>) {
        let service = self.parts.service.clone();
        while let Err(error) = self.read(&service).await {
            log::info!("event=crash.read_failed service={service} code={} reason=\"{error}\"", error.code());
            let pause_ms = self.rng.borrow_mut().u64(RETRY_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Counts a trial of a call in the store; returns whether it was counted, which is true on one node only.
    pub(super) async fn count_trial(self: &Rc<Self>, suspect_ref: &SuspectRef) -> bool {
        match self.try_count_trial(suspect_ref).await {
            Ok(counted) => counted,
            Err(error) => {
                log::warn!(
                    "event=crash.trial_not_counted fingerprint={} code={} reason=\"{error}\"",
                    suspect_ref.fingerprint,
                    error.code()
                );
                false
            }
        }
    }

    async fn try_count_trial(self: &Rc<Self>, suspect_ref: &SuspectRef) -> Result<bool, StoreError> {
        let service = self.history.borrow().report(&suspect_ref.crash).map(|report| report.service.clone());
        let Some(service) = service else {
            return Ok(false);
        };
        let before = self.trials_of(suspect_ref);
        let position = self.read(&service).await?;
        if self.trials_of(suspect_ref) != before {
            // Another node has just counted a trial.
            return Ok(false);
        }
        let changed: Vec<CrashReport> = self.history.borrow_mut().count_trial(suspect_ref, now_us());
        let written = self.write(&service, position).await?;
        // The trial counts even if the write failed: one trial too few does less harm than one too many.
        drop(self.publish_and_send(changed, &[]));
        Ok(written)
    }

    fn trials_of(&self, suspect_ref: &SuspectRef) -> Option<u8> {
        let history = self.history.borrow();
        let suspects = &history.report(&suspect_ref.crash)?.suspects;
        suspects.iter().find(|suspect| suspect.fingerprint == suspect_ref.fingerprint).map(|suspect| suspect.trials)
    }
}
