//! Keeps the own entry in the store, and takes it back at the end.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::{Shell, WATCH_MS};
use crate::clock::now_us;
use crate::code::Code;
use crate::member::{EntryDoc, EntryStep, entry_key};
use crate::store::{Committed, Era, Freshness, LeasedWrite, Position, StoreError};

/// Time that removing the entry may take when the node stops, in milliseconds.
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
                EntryStep::Grant | EntryStep::Write { .. } | EntryStep::Renew { .. } | EntryStep::Ask => {
                    self.step(step).await;
                    continue;
                }
            };
            let pause = Duration::from_micros(until_us.saturating_sub(now_us()).min(WATCH_MS * 1000));
            // Woken or not, the keeper is asked again.
            let _ = timeout(pause, self.entry_due.notified()).await;
        }
    }

    async fn step(self: &Rc<Self>, step: EntryStep) {
        match self.call(step).await {
            Ok(()) => {}
            Err(StoreError::LeaseOver) => {
                log::info!("event=member.lease_over code={}", Code::LeaseOver);
                // An answer, though it does not name its era; the next one will.
                let era = self.keeper.borrow().era();
                self.call_answered(era);
                self.keeper.borrow_mut().lease_over();
            }
            Err(error) => {
                self.store_failed("entry", &error);
                self.keeper.borrow_mut().failed(now_us(), &mut self.rng.borrow_mut());
            }
        }
    }

    /// Makes the call of one step, and takes its answer after the era that it names.
    async fn call(self: &Rc<Self>, step: EntryStep) -> Result<(), StoreError> {
        let sent_us = now_us();
        let store = &self.parts.store;
        match step {
            EntryStep::Grant => {
                self.count("grant");
                let lease = store.grant(self.parts.lease_ms).await?;
                self.call_answered(lease.era);
                self.keeper.borrow_mut().granted(lease, sent_us);
            }
            EntryStep::Renew { lease } => {
                self.count("renew");
                let era = store.renew(lease).await?;
                self.call_answered(era);
                self.keeper.borrow_mut().renewed(era, sent_us);
            }
            EntryStep::Ask => {
                self.count("list-earlier");
                let key = entry_key(&self.parts.me.vm);
                let page = store.list(&key, None, Freshness::Earlier).await?;
                self.call_answered(page.at.era());
                self.keeper.borrow_mut().answered();
            }
            EntryStep::Write { lease, expected } => self.write(lease, expected).await?,
            EntryStep::Wait { .. } => {}
        }
        Ok(())
    }

    /// Notes that the store has answered a call for the own entry, and has it read again where that shows that it is
    /// back: a call for changes from before may hang for good. It may have been lost while the call was out.
    fn call_answered(self: &Rc<Self>, era: Era) {
        let was_away = !self.store_answers.get();
        self.store_answered(era);
        if was_away {
            self.reread.notify_one();
        }
    }

    async fn write(self: &Rc<Self>, lease: u64, expected: Option<Position>) -> Result<(), StoreError> {
        let version = self.keeper.borrow().wanted();
        let entry = EntryDoc { member: self.me.borrow().clone(), era: self.keeper.borrow().era() };
        let value = serde_json::to_vec(&entry).map_err(|error| StoreError::Invalid { reason: error.to_string() })?;
        let write = LeasedWrite { key: entry_key(&entry.member.vm), expected, value, lease: Some(lease) };
        self.count("write");
        match self.parts.store.commit(&write).await? {
            Committed::At(position) => {
                let phase = entry.member.phase.as_str();
                log::info!("event=member.entry_written phase={phase} position={position} lease={lease}");
                self.call_answered(position.era());
                self.keeper.borrow_mut().wrote(version, position);
            }
            Committed::Conflict(position) => {
                let known = self.keeper.borrow().era();
                self.call_answered(position.map_or(known, Position::era));
                self.keeper.borrow_mut().conflicted(position);
            }
        }
        Ok(())
    }

    /// Takes the own entry back when the node is about to exit.
    pub(super) async fn withdraw(self: Rc<Self>) {
        let mut exiting = self.parts.exiting.clone();
        if exiting.wait_for(|exiting| *exiting).await.is_err() {
            return;
        }
        if self.store_answers.get() {
            match timeout(Duration::from_millis(END_MS), self.remove_entry()).await {
                Ok(Ok(())) => {}
                // The lease runs out by itself.
                Ok(Err(error)) => log::warn!("event=member.entry_not_removed code={} reason=\"{error}\"", error.code()),
                Err(_) => log::warn!("event=member.entry_not_removed reason=\"time limit\""),
            }
        }
        self.parts.departed.send_replace(true);
    }

    /// Removes the own entry where it stands.
    ///
    /// The entry and not its lease: where the store has come back older, an end of the lease by its id could end
    /// somebody else's, and another node's entry with it.
    async fn remove_entry(&self) -> Result<(), StoreError> {
        let key = entry_key(&self.parts.me.vm);
        let mut expected = self.keeper.borrow().position();
        while let Some(position) = expected {
            self.count("remove");
            expected = match self.parts.store.remove(&key, position).await? {
                Committed::At(_) => None,
                Committed::Conflict(found) => found,
            };
        }
        Ok(())
    }
}
