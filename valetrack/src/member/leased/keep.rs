//! Keeps this node's entry and those of its followers in the store while this node is a relay, and removes its own
//! entry on exit.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{Shell, WATCH_MS};
use crate::clock::now_us;
use crate::code::Code;
use crate::gate::RecordedBy;
use crate::member::{Batch, EntryDoc, EntryStep, entry_key};
use crate::store::{CommitOutcome, Era, Freshness, LeasedWrite, Position, StoreError, TransactionOutcome};

/// Time limit for the removal of the entry when the node stops.
const WITHDRAW_MS: u64 = 300;
/// Longest pause between two checks of the entries of followers.
const FOLLOWER_CHECK_MS: u64 = 500;

impl Shell {
    /// Keeps this node's entry and those of followers in the store while this node is a relay; runs as long as the
    /// node.
    pub(super) async fn keep_entry(self: Rc<Self>) {
        loop {
            if !self.is_relay() {
                self.role_changed.notified().await;
                continue;
            }
            let step = self.next_step();
            let until_us = match step {
                EntryStep::Grant | EntryStep::Write { .. } | EntryStep::Renew { .. } | EntryStep::Ask => {
                    self.perform(step).await;
                    continue;
                }
                EntryStep::Wait { .. } if self.keep_followers().await => continue,
                EntryStep::Wait { until_us } => until_us,
            };
            let longest_ms = if self.registrar.borrow().is_empty() { WATCH_MS } else { FOLLOWER_CHECK_MS };
            let pause = Duration::from_micros(until_us.saturating_sub(now_us()).min(longest_ms * 1000));
            // The next action is determined again after the pause or the notification.
            let _ = timeout(pause, self.entry_due.notified()).await;
        }
    }

    fn next_step(&self) -> EntryStep {
        let keeper = self.keeper.borrow();
        let has_entry = keeper.wanted() > 0;
        if !has_entry && self.registrar.borrow().is_empty() {
            return EntryStep::Wait { until_us: u64::MAX };
        }
        match keeper.next(now_us()) {
            // This node has no entry yet.
            EntryStep::Write { .. } if !has_entry => EntryStep::Wait { until_us: u64::MAX },
            step => step,
        }
    }

    async fn perform(self: &Rc<Self>, step: EntryStep) {
        let result = self.call(step).await;
        self.handle_result(result);
    }

    /// Handles the result of a call that keeps entries.
    fn handle_result(self: &Rc<Self>, result: Result<(), StoreError>) {
        match result {
            Ok(()) => {}
            Err(StoreError::LeaseOver) => {
                log::info!("event=member.lease_over code={}", Code::LeaseOver);
                // This answer does not name its era; the next one does.
                let era = self.keeper.borrow().era();
                self.call_answered(era);
                self.keeper.borrow_mut().lease_over();
                self.registrar.borrow_mut().lease_over();
            }
            Err(error) => {
                self.store_failed("entry", &error);
                self.keeper.borrow_mut().failed(now_us(), &mut self.rng.borrow_mut());
            }
        }
    }

    /// Makes the call of one step, and records the era that the answer names before the answer itself.
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

    /// Records that the store has answered a call that keeps entries. If the store was unreachable before, it is read
    /// again, since an earlier call for changes may never end. The store may also have failed while this call was
    /// pending.
    fn call_answered(self: &Rc<Self>, era: Era) {
        let was_away = self.failing_since_us.get().is_some();
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
            CommitOutcome::At(position) => {
                let phase = entry.member.phase.as_str();
                log::info!("event=member.entry_written phase={phase} position={position} lease={lease}");
                self.call_answered(position.era());
                self.keeper.borrow_mut().wrote(version, position);
                if let Some(departure) = &entry.member.departure {
                    self.departure_recorded(departure, RecordedBy::Store);
                }
            }
            CommitOutcome::Conflict(found) => {
                let position = found.as_ref().map(|item| item.position);
                let known = self.keeper.borrow().era();
                self.call_answered(position.map_or(known, Position::era));
                self.keeper.borrow_mut().conflicted(position);
                if let Some(item) = found {
                    self.former_entry_found(&item);
                }
            }
        }
        Ok(())
    }

    /// Writes the entries of followers that are due; returns whether there were any.
    async fn keep_followers(self: &Rc<Self>) -> bool {
        let names_departure = match self.due_batch() {
            Ok(batch) if batch.is_empty() => return false,
            Ok(batch) => batch.names_departure,
            Err(error) => {
                log::error!("event=member.entries_unwritable code={} reason=\"{error}\"", error.code());
                return false;
            }
        };
        if !names_departure {
            // Followers tend to start and change at the same time, and each call costs money.
            let gather_ms = self.log.borrow().gather_ms();
            sleep(Duration::from_millis(gather_ms)).await;
        }
        let result = self.write_batch().await;
        self.handle_result(result);
        true
    }

    fn due_batch(&self) -> Result<Batch, StoreError> {
        match self.keeper.borrow().lease() {
            Some((lease, confirmed_us)) => self.registrar.borrow_mut().batch(lease, confirmed_us, now_us()),
            None => Ok(Batch::default()),
        }
    }

    async fn write_batch(self: &Rc<Self>) -> Result<(), StoreError> {
        let batch = self.due_batch()?;
        if batch.is_empty() {
            return Ok(());
        }
        self.count("write-followers");
        match self.parts.store.transact(&batch.changes).await? {
            TransactionOutcome::At(position) => {
                log::info!("event=member.entries_written position={position} nodes={}", batch.names());
                self.call_answered(position.era());
                self.registrar.borrow_mut().wrote(&batch, position);
            }
            TransactionOutcome::Conflict(found) => {
                let known = self.keeper.borrow().era();
                let positions: Vec<(String, Option<Position>)> =
                    found.iter().map(|(key, item)| (key.clone(), item.as_ref().map(|item| item.position))).collect();
                let era = positions.iter().find_map(|(_, position)| *position).map_or(known, Position::era);
                self.call_answered(era);
                self.registrar.borrow_mut().conflicted(&batch, &positions);
                found.iter().filter_map(|(_, item)| item.as_ref()).for_each(|item| self.follower_entry_found(item));
            }
        }
        Ok(())
    }

    /// Removes this node's entry when the node is about to exit.
    pub(super) async fn withdraw(self: Rc<Self>) {
        let mut exiting = self.parts.exiting.clone();
        if exiting.wait_for(|exiting| *exiting).await.is_err() {
            return;
        }
        if self.store_reachable.get() {
            match timeout(Duration::from_millis(WITHDRAW_MS), self.remove_entry()).await {
                Ok(Ok(())) => {}
                // The entry is removed when its lease expires.
                Ok(Err(error)) => log::warn!("event=member.entry_not_removed code={} reason=\"{error}\"", error.code()),
                Err(_) => log::warn!("event=member.entry_not_removed reason=\"timed out\""),
            }
        }
        self.parts.departed.send_replace(true);
    }

    /// Removes this node's entry, or notifies the relay that keeps it.
    ///
    /// The entry is removed instead of revoking its lease: after a store rollback the lease's id may belong to another
    /// node, whose entry would be removed with the lease. An entry that names a departure stays until its lease expires,
    /// for the next process of this node.
    async fn remove_entry(&self) -> Result<(), StoreError> {
        if let Some(departure) = &self.me.borrow().departure {
            log::info!("event=departure.left_in_store id={}", departure.id);
            return Ok(());
        }
        if !self.is_relay() {
            self.notify_relay_of_exit().await;
            return Ok(());
        }
        let key = entry_key(&self.parts.me.vm);
        let mut expected = self.keeper.borrow().position();
        while let Some(position) = expected {
            self.count("remove");
            expected = match self.parts.store.remove(&key, position).await? {
                CommitOutcome::At(_) => None,
                CommitOutcome::Conflict(found) => found.map(|item| item.position),
            };
        }
        Ok(())
    }
}
