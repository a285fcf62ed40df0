//! Keeps the own entry in the store, and takes it back at the end.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::{Shell, WATCH_MS};
use crate::clock::now_us;
use crate::code::Code;
use crate::member::{EntryStep, entry_key};
use crate::store::{Committed, LeasedWrite, StoreError};

/// Time that ending the lease may take when the node stops, in milliseconds.
const END_MS: u64 = 300;

impl Shell {
    /// Keeps the own entry in the store; runs as long as the node.
    pub(super) async fn keep_entry(self: Rc<Self>) {
        loop {
            let step = self.keeper.borrow().next(now_us());
            let until_us = match step {
                // Nothing was to be said yet.
                _ if self.keeper.borrow().wanted() == 0 => u64::MAX,
                EntryStep::Wait { until_us } => until_us,
                EntryStep::Grant | EntryStep::Write { .. } | EntryStep::Renew { .. } => {
                    self.step(step).await;
                    continue;
                }
            };
            let pause = Duration::from_micros(until_us.saturating_sub(now_us()).min(WATCH_MS * 1000));
            // Woken or not, the keeper is asked again.
            let _ = timeout(pause, self.entry_due.notified()).await;
        }
    }

    async fn step(&self, step: EntryStep) {
        let sent_us = now_us();
        let store = &self.parts.store;
        let ended = match step {
            EntryStep::Grant => {
                self.count("grant");
                store.grant(self.parts.lease_ms).await.map(|lease| self.keeper.borrow_mut().granted(lease, sent_us))
            }
            EntryStep::Renew { lease } => {
                self.count("renew");
                store.renew(lease).await.map(|()| self.keeper.borrow_mut().renewed(sent_us))
            }
            EntryStep::Write { lease, expected } => self.write(lease, expected).await,
            EntryStep::Wait { .. } => Ok(()),
        };
        let was_away = !self.store_answers.get();
        match ended {
            Ok(()) => {
                self.store_answered();
                self.reread_after(was_away);
            }
            Err(StoreError::LeaseOver) => {
                log::info!("event=member.lease_over code={}", Code::LeaseOver);
                self.store_answered();
                self.reread_after(was_away);
                self.keeper.borrow_mut().lease_over();
            }
            Err(error) => {
                self.store_failed("entry", &error);
                self.keeper.borrow_mut().failed(now_us(), &mut self.rng.borrow_mut());
            }
        }
    }

    /// Has the store read again when a call for the own entry shows that it is back: a call for
    /// changes from before may hang for good.
    fn reread_after(&self, was_away: bool) {
        if was_away {
            self.reread.notify_one();
        }
    }

    async fn write(&self, lease: u64, expected: u64) -> Result<(), StoreError> {
        let version = self.keeper.borrow().wanted();
        let me = self.me.borrow().clone();
        let value = serde_json::to_vec(&me).map_err(|error| StoreError::Invalid { reason: error.to_string() })?;
        let write = LeasedWrite { key: entry_key(&me.vm), expected, value, lease };
        self.count("write");
        match self.parts.store.commit(&write).await? {
            Committed::At(revision) => {
                log::info!("event=member.entry_written phase={} revision={revision} lease={lease}", me.phase.as_str());
                self.keeper.borrow_mut().wrote(version, revision);
            }
            Committed::Conflict(revision) => self.keeper.borrow_mut().conflicted(revision),
        }
        Ok(())
    }

    /// Takes the own entry back when the node is about to exit.
    pub(super) async fn withdraw(self: Rc<Self>) {
        let mut exiting = self.parts.exiting.clone();
        if exiting.wait_for(|exiting| *exiting).await.is_err() {
            return;
        }
        let lease = self.keeper.borrow().lease();
        if let Some(lease) = lease.filter(|_| self.store_answers.get()) {
            self.count("end");
            match timeout(Duration::from_millis(END_MS), self.parts.store.end(lease)).await {
                Ok(Ok(())) => {}
                // The lease runs out by itself.
                Ok(Err(error)) => log::warn!("event=member.lease_not_ended code={} reason=\"{error}\"", error.code()),
                Err(_) => log::warn!("event=member.lease_not_ended reason=\"time limit\""),
            }
        }
        self.parts.departed.send_replace(true);
    }
}
